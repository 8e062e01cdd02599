"""Rejects at the source the calls that their target set cannot serve.

Each daemon decides from what it observes itself: how much of the work that it
sent to a set was accepted, and the demand that the gates of the set report.
Its budget is the work that a set has accepted from it, times `HEADROOM`.
Calls are admitted in the order of their ranks until the budget is spent, so
all daemons reject the same ranks first without communicating (adaptive
throttling, Beyer et al. 2016; ranks as in DAGOR, Zhou et al. 2018).
"""

import math
import zlib

import msgspec

from sedgering import base
from sedgering.overload import _decay
from sedgering.overload import _fair_share

__all__ = ['AdmissionController', 'AdmissionDecision', 'AdmissionRequest']

#: Time constant of the sums over a daemon's calls.  At ten calls a second to a
#: set it covers twenty calls, and bursts of load last longer than that.
TIME_CONSTANT_S = 2.0
#: Work admitted for each unit of work that is accepted.  Gates need some calls
#: to choose from, so that no slot stays empty by chance.  A set whose demand
#: is little above its capacity refuses no more than a third of its calls
#: anyway.
HEADROOM = 1.5
#: Share of the calls of each rank that is always admitted: callers that retry
#: later then reveal whether there is capacity again.
PROBE_SHARE = 0.05
#: Smallest admitted share of the calls of any workspace, relative to the
#: admitted share of all calls.  The served share of a workspace must be at
#: least a quarter of the overall one, and gates refuse some admitted calls.
MIN_WORKSPACE_SHARE = 0.5
#: Demand on the slots of a set at which the set counts as overloaded.  Below
#: it, callers find a free slot at the second gate that they ask, or shortly
#: afterwards.
OVERLOAD_PERCENT = 120.0
#: Weight of the newest report in the average demand on a set: about the last
#: seven answers count.
DEMAND_WEIGHT = 0.15
#: Half-life of the reported demand: changes of demand last seconds.
DEMAND_HALF_LIFE_S = 1.0
#: Work that is always added to the budget, in calls of the typical work time:
#: fewer accepted calls allow no conclusion.
MIN_CALLS = 4.0
#: Number of different values of a CRC-32.
HASH_RANGE = 2**32


class AdmissionRequest(msgspec.Struct, frozen=True):
    """The properties of a call that its admission depends on.

    Parameters
    ----------
    target_set : str
        Target set that is called.
    request_id : str
        Decides which calls of a rank are admitted.
    work_ms : float
        Typical work time of its route, in milliseconds.
    priority : int
        Priority of its route; 0 is served first.
    is_early_retry : bool
        Whether its caller retried before the retry time that it was given.
        Such calls rank behind the others of their priority, so an early retry
        has no advantage.
    workspace : str
        Workspace of the caller.
    workspace_priority : int
        Priority of the workspace, compared before `priority`.
    is_nested : bool
        Whether a target waits for its answer while serving another call.  Such
        a call is never rejected here, as the work of its parent would be lost.
    """

    target_set: base.TargetSetName
    request_id: base.RequestId
    work_ms: float
    priority: int
    is_early_retry: bool = False
    workspace: base.WorkspaceName = base.NO_WORKSPACE
    workspace_priority: int = 0
    is_nested: bool = False

    @property
    def rank(self) -> tuple:
        """Position in the order of admission; smaller ranks go first."""
        return (
            not self.is_nested,
            self.workspace_priority,
            self.priority,
            self.is_early_retry,
        )


class AdmissionDecision(msgspec.Struct, frozen=True):
    """Whether a call is admitted, and the values behind that decision.

    Parameters
    ----------
    is_admitted : bool
        Whether the call is admitted.
    share : float
        Admitted share of the calls of its rank and workspace, 0 to 1.
    demand_percent : float
        Demand on the slots of the set, as its gates report it.
    age_ms : int
        Age of the newest report, in milliseconds.
    """

    is_admitted: bool = True
    share: float = 1.0
    demand_percent: float = 0.0
    age_ms: int = 0


class _SetState:
    """What is known of one target set.

    All its sums of work decay, and share one landmark.
    """

    def __init__(self):
        self.decay = _decay.ForwardDecay(TIME_CONSTANT_S)
        #: Requested work, by rank.
        self.requested: dict[tuple, _fair_share.WorkspaceWork] = {}
        #: Work that was admitted and not refused afterwards.
        self.accepted_ms = 0.0
        self.demand_percent = 0.0
        self.demand_at_s = -math.inf

    def apply_decay(self, now_s: float) -> None:
        """Rescale the sums when their landmark moves."""
        factor = self.decay.move_landmark(now_s)
        if factor is None:
            return
        self.accepted_ms *= factor
        for rank, work in list(self.requested.items()):
            work.scale(factor)
            if not work.total_ms:
                del self.requested[rank]

    def find_demand_percent(self, now_s: float) -> float:
        """Return the demand on the set, decayed by the age of the report."""
        if self.demand_at_s == -math.inf:
            return 0.0
        age_s = now_s - self.demand_at_s
        return self.demand_percent * 0.5 ** (age_s / DEMAND_HALF_LIFE_S)


class AdmissionController:
    """Admits or rejects the calls of one daemon to all target sets."""

    def __init__(self):
        self._sets: dict[base.TargetSetName, _SetState] = {}

    def add_demand_report(
        self,
        target_set: base.TargetSetName,
        demand_percent: float,
        now_s: float,
    ) -> None:
        """Add a gate's report to the average demand on its set.

        Parameters
        ----------
        target_set : str
            Target set of the gate.
        demand_percent : float
            Demand on the slots of the set.
        now_s : float
            Time of the event loop.
        """
        state = self._find(target_set)
        before = state.find_demand_percent(now_s)
        state.demand_percent = before + DEMAND_WEIGHT * (
            demand_percent - before
        )
        state.demand_at_s = now_s

    def decide(
        self, call: AdmissionRequest, now_s: float
    ) -> AdmissionDecision:
        """Count a call, and decide whether it is admitted.

        Parameters
        ----------
        call : AdmissionRequest
            Call to admit or reject.
        now_s : float
            Time of the event loop.
        """
        state = self._find(call.target_set)
        state.apply_decay(now_s)
        rank_work = state.requested.get(call.rank)
        if rank_work is None:
            rank_work = state.requested[call.rank] = (
                _fair_share.WorkspaceWork()
            )
        work_ms = call.work_ms * state.decay.find_weight(now_s)
        rank_work.add(call.workspace, work_ms)
        decision = self._decide(state, rank_work, call, work_ms, now_s)
        if decision.is_admitted:
            state.accepted_ms += work_ms
        return decision

    def note_refused(self, call: AdmissionRequest, begun_s: float) -> None:
        """Note that the gates refused an admitted call.

        Parameters
        ----------
        call : AdmissionRequest
            The call as passed to `decide`.
        begun_s : float
            When `decide` admitted it.
        """
        state = self._sets.get(call.target_set)
        if state is None or not state.accepted_ms:
            # The set was dropped after the call was admitted.
            return
        work_ms = call.work_ms * state.decay.find_weight(begun_s)
        state.accepted_ms = max(0.0, state.accepted_ms - work_ms)

    def retain(self, target_sets: frozenset[base.TargetSetName]) -> None:
        """Drop the state of all other target sets."""
        for name in [name for name in self._sets if name not in target_sets]:
            del self._sets[name]

    def _find(self, target_set: base.TargetSetName) -> _SetState:
        state = self._sets.get(target_set)
        if state is None:
            state = self._sets[target_set] = _SetState()
        return state

    @staticmethod
    def _decide(
        state: _SetState,
        rank_work: _fair_share.WorkspaceWork,
        call: AdmissionRequest,
        work_ms: float,
        now_s: float,
    ) -> AdmissionDecision:
        """Decide whether a call that has been counted is admitted."""
        demand_percent = state.find_demand_percent(now_s)
        if call.is_nested or demand_percent < OVERLOAD_PERCENT:
            return AdmissionDecision(demand_percent=demand_percent)
        ahead_ms = sum(
            item.total_ms
            for rank, item in state.requested.items()
            if rank < call.rank
        )
        budget_ms = HEADROOM * state.accepted_ms + MIN_CALLS * work_ms
        level_ms = _fair_share.find_fair_level(
            rank_work.list_work_ms(), max(0.0, budget_ms - ahead_ms)
        )
        requested_ms = rank_work.find_work_ms(call.workspace)
        min_share = _find_min_share(state, call)
        share = min(1.0, max(min_share, level_ms / requested_ms))
        hashed = zlib.crc32(call.request_id.encode()) / HASH_RANGE
        age_ms = int((now_s - state.demand_at_s) * 1000)
        return AdmissionDecision(hashed < share, share, demand_percent, age_ms)


def _find_min_share(state: _SetState, call: AdmissionRequest) -> float:
    """Return the share of the calls that is always admitted."""
    if call.workspace == base.NO_WORKSPACE:
        return PROBE_SHARE
    requested_ms = sum(work.total_ms for work in state.requested.values())
    total_share = state.accepted_ms / requested_ms
    return max(PROBE_SHARE, MIN_WORKSPACE_SHARE * total_share)

"""Rejects at the source what its target set cannot serve.

Each daemon decides by what it has seen itself: how much of the work that it
sent to a set was served, and what the gates of the set told of the demand on
them.  What a set serves of this daemon's work, and a little more, is its
budget; calls are let through in the order of their ranks until it is spent,
so that all daemons reject the same ranks first without a word between them
(adaptive throttling, Beyer et al. 2016; ranks as in DAGOR, Zhou et al. 2018).
"""

import math
import zlib

import msgspec

from sedgering import base
from sedgering.overload import _fading
from sedgering.overload import _groups

__all__ = ['AskedCall', 'LevelTable', 'Verdict']

#: Time constant of what a daemon remembers of its calls: at ten calls a
#: second to a set twenty of them count; a burst lasts longer.
MEMORY_S = 2.0
#: Work let through for each unit that is served: gates are to have some to
#: choose from, so that no place stays empty by chance.  A set that is asked
#: for little more than it can do refuses no more than a third anyway.
HEADROOM = 1.5
#: Share of a rank that is let through whatever is known: one of the callers
#: that are told to come back shows whether room has come.
PROBE_SHARE = 0.05
#: Least share of the calls of any workspace that is let through, as a part of
#: that of all calls.  None may be served less than a quarter as often as all,
#: and gates refuse some of what comes.
WORKSPACE_SHARE = 0.5
#: Demand on the places of a set from which on it counts as full.  Below it
#: callers find room at the second gate that they ask, or a moment later.
FULL_PERCENT = 120.0
#: Weight of the newest gate in what is known of the demand on a set: about
#: the last seven answers count.
DEMAND_WEIGHT = 0.15
#: Age at which what gates told counts half: waves of demand last seconds.
DEMAND_HALF_LIFE_S = 1.0
#: Work of this daemon below which nothing is concluded, in calls of its mean
#: work time.
LEAST_CALLS = 4.0
SCALE = 2**32


class AskedCall(msgspec.Struct, frozen=True):
    """What the decision needs to know of a call.

    Parameters
    ----------
    target_set : str
        That is asked.
    request_id : str
        Decides which calls of a rank are let through.
    work_ms : float
        Usual work time of its route.
    priority : int
        Of its route; 0 is served first.
    is_hasty : bool
        Whether its caller came back sooner than it was told: such calls go
        after those of their rank, so that nobody gains by it.
    workspace : str
        That asks.
    workspace_priority : int
        Its rank, before `priority`.
    is_nested : bool
        Whether a target waits for it: such a call is never rejected here,
        as the work of its parent would be lost.
    """

    target_set: base.TargetSetName
    request_id: base.RequestId
    work_ms: float
    priority: int
    is_hasty: bool = False
    workspace: base.WorkspaceName = base.NO_WORKSPACE
    workspace_priority: int = 0
    is_nested: bool = False

    @property
    def rank(self) -> tuple:
        """Its place in the order that all daemons share."""
        return (
            not self.is_nested,
            self.workspace_priority,
            self.priority,
            self.is_hasty,
        )


class Verdict(msgspec.Struct, frozen=True):
    """Whether a call may go on, and what that was decided by.

    Parameters
    ----------
    is_admitted : bool
        Whether it may go on.
    share : float
        Share of the calls of its rank and workspace that may, 0 to 1.
    demand_percent : float
        Demand on the places of the set, as its gates told.
    age_ms : int
        Age of the newest of what they told.
    """

    is_admitted: bool = True
    share: float = 1.0
    demand_percent: float = 0.0
    age_ms: int = 0


class _SetLevel:
    """What is known of one target set.

    Its sums fade: all of them are in the units of one moment.
    """

    def __init__(self):
        self.fading = _fading.Fading(MEMORY_S)
        #: Work that was asked for, by rank.
        self.asked: dict[tuple, _groups.WorkspaceGroups] = {}
        #: Of that, what was let through and not refused since.
        self.passed_ms = 0.0
        self.demand_percent = 0.0
        self.told_s = -math.inf

    def fade(self, now_s: float) -> None:
        """Let what has been seen count for less."""
        factor = self.fading.renew(now_s)
        if factor is None:
            return
        self.passed_ms *= factor
        for rank, groups in list(self.asked.items()):
            groups.scale(factor)
            if not groups.total_ms:
                del self.asked[rank]

    def find_demand_percent(self, now_s: float) -> float:
        """Return the demand on the set; old knowledge counts for less."""
        if self.told_s == -math.inf:
            return 0.0
        age_s = now_s - self.told_s
        return self.demand_percent * 0.5 ** (age_s / DEMAND_HALF_LIFE_S)


class LevelTable:
    """How much of each rank each target set can serve."""

    def __init__(self):
        self._sets: dict[base.TargetSetName, _SetLevel] = {}

    def take_demand(
        self,
        target_set: base.TargetSetName,
        demand_percent: float,
        now_s: float,
    ) -> None:
        """Take in what a gate of a set told of the demand on it."""
        known = self._find(target_set)
        before = known.find_demand_percent(now_s)
        known.demand_percent = before + DEMAND_WEIGHT * (
            demand_percent - before
        )
        known.told_s = now_s

    def judge(self, call: AskedCall, now_s: float) -> Verdict:
        """Count a call, and say whether it may go on."""
        known = self._find(call.target_set)
        known.fade(now_s)
        groups = known.asked.get(call.rank)
        if groups is None:
            groups = known.asked[call.rank] = _groups.WorkspaceGroups()
        work_ms = call.work_ms * known.fading.find_weight(now_s)
        groups.note(call.workspace, work_ms)
        verdict = self._judge(known, groups, call, work_ms, now_s)
        if verdict.is_admitted:
            known.passed_ms += work_ms
        return verdict

    def note_refused(self, call: AskedCall, begun_s: float) -> None:
        """Take in that a call that was let through found no room.

        Parameters
        ----------
        call : AskedCall
            As it was judged.
        begun_s : float
            When that was.
        """
        known = self._sets.get(call.target_set)
        if known is None or not known.passed_ms:
            # Forgotten since.
            return
        work_ms = call.work_ms * known.fading.find_weight(begun_s)
        known.passed_ms = max(0.0, known.passed_ms - work_ms)

    def retain(self, target_sets: frozenset[base.TargetSetName]) -> None:
        """Forget sets that are no longer in force."""
        for name in [name for name in self._sets if name not in target_sets]:
            del self._sets[name]

    def _find(self, target_set: base.TargetSetName) -> _SetLevel:
        known = self._sets.get(target_set)
        if known is None:
            known = self._sets[target_set] = _SetLevel()
        return known

    @staticmethod
    def _judge(
        known: _SetLevel,
        groups: _groups.WorkspaceGroups,
        call: AskedCall,
        work_ms: float,
        now_s: float,
    ) -> Verdict:
        demand_percent = known.find_demand_percent(now_s)
        if call.is_nested or demand_percent < FULL_PERCENT:
            return Verdict(demand_percent=demand_percent)
        ahead_ms = sum(
            item.total_ms
            for rank, item in known.asked.items()
            if rank < call.rank
        )
        room_ms = HEADROOM * known.passed_ms + LEAST_CALLS * work_ms
        level_ms = _groups.find_fair_level(
            groups.list_ms(), max(0.0, room_ms - ahead_ms)
        )
        asked_ms = groups.find_ms(call.workspace)
        least_share = _find_least_share(known, call)
        share = min(1.0, max(least_share, level_ms / asked_ms))
        drawn = zlib.crc32(call.request_id.encode()) / SCALE
        age_ms = int((now_s - known.told_s) * 1000)
        return Verdict(drawn < share, share, demand_percent, age_ms)


def _find_least_share(known: _SetLevel, call: AskedCall) -> float:
    """Return the share of a rank that is let through in any case."""
    if call.workspace == base.NO_WORKSPACE:
        return PROBE_SHARE
    asked_ms = sum(groups.total_ms for groups in known.asked.values())
    all_share = known.passed_ms / asked_ms
    return max(PROBE_SHARE, WORKSPACE_SHARE * all_share)

"""Judges of lost requests and of processes that end, with their records.

There is one for each clause.

They see what callers, targets and processes show, never a daemon's log.
"""

import abc
from collections.abc import Iterator
import enum
import math

import msgspec

__all__ = [
    'Bounds',
    'Clause',
    'Departure',
    'Disruption',
    'End',
    'Finding',
    'JUDGES',
    'Judge',
    'PlannedWork',
    'ProcessEnd',
    'Request',
    'Scope',
    'Trial',
    'Work',
    'WorkKind',
    'is_in_touch',
    'make_finding',
]

#: Cut requests of hosts in touch that are tolerated at any time.
TOLERATED_CUTS = 3
#: A request counts beside a configuration only if cuts are more frequent
#: than at other times by this factor, and before this share of its time.
CONFIG_CUT_FACTOR = 3.0
CONFIG_TIME_SHARE = 0.7
#: A target at work in this last share of the grace time may be cut off, if
#: the request was sent at most this long after SIGTERM.
LAST_GRACE_SHARE = 1 / 6
ACCEPTED_AFTER_SIGTERM_S = 3.0
#: Planned work is watched this much longer than its own bound.
AFTERWARDS_S = 1.0
STATUS_KILLED = -9


class Clause(enum.Enum):
    """Clause of the rules that a finding breaks."""

    KEPT_CONNECTION = 'LOST, kept connection of a host in touch'
    PLANNED_WORK = 'LOST, around planned work'
    REPLACED_ANSWER = 'LOST, own answer for a target at work after SIGTERM'
    ENDED_BY_ITSELF = 'FAULT, a process ended by itself'
    BAD_STATUS = 'FAULT, a status other than 0 after SIGTERM'
    OVERRAN_GRACE = 'FAULT, a process outlasted its grace time'
    MIXED = 'MIXED, an answer that is not its own'
    TWICE = 'TWICE, ran more than once'
    REFUSED = 'REFUSED, ran in spite of a promise'
    UNASKED = 'UNASKED, ran differently from what was sent'
    DENIED = 'DENIED, a proper request'
    DRAIN = 'DRAIN, reached a target that has left'
    CONFIG = 'CONFIG, an older version'
    TIMEOUT = 'CONFIG, the timeout of its route'
    GONE = 'GONE, its caller has left'
    ATTEMPTS = 'BUDGET, attempts'
    REPETITIONS = 'BUDGET, repetitions in a window'


class Scope(enum.Enum):
    """What an unplanned disruption affects."""

    MACHINE = 'machine'
    #: Connections of all hosts, which counts as a reset.
    CONNECTIONS = 'connections'
    #: The path of one host to the store.
    STORE_PATH = 'path to the store'
    STORE = 'store'
    TARGET = 'target'


class WorkKind(enum.Enum):
    """Kind of planned work."""

    TERMINATE = 'SIGTERM'
    RELOAD = 'SIGHUP'
    CONFIGURATION = 'configuration'


class End(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = 'answered'
    #: The daemon answered in place of a target.
    OWN_ANSWER = 'own answer'
    CUT = 'cut'
    CALLER_LEFT = 'the caller left'


class Bounds(msgspec.Struct, frozen=True):
    """Bounds of the deployment in seconds."""

    stable_window_s: float = 3.0
    grace_s: float = 6.0
    loss_slack_s: float = 0.2
    apply_s: float = 2.0
    drain_s: float = 2.0
    max_stretch_s: float = 5.0


class Work(msgspec.Struct):
    """Run of a request at a target.

    Parameters
    ----------
    target, host : str
        Target, and the host it runs on.
    began_s, ended_s : float
        When it began and when the target answered or gave up.
    is_sound : bool
        Whether the target behaved correctly and did not break off.
    status : int
        Status that it answered; 0 for none.
    due_s : float
        When its work ends by itself; 0 if not known.
    line, origin : str
        Method and path, and the set of its caller, as received; empty if not
        known.
    """

    target: str
    host: str
    began_s: float
    ended_s: float = math.inf
    is_sound: bool = True
    status: int = 0
    due_s: float = 0.0
    line: str = ''
    origin: str = ''


class Request(msgspec.Struct, frozen=True):
    """Request of a caller.

    Parameters
    ----------
    request_id, host : str
        Its id, and the host that received it.
    sent_s, ended_s : float
        When its last byte was sent, and when it ended.
    end : End
        How it ended.
    budget_s : float
        The caller's time or the timeout of the route, if shorter.
    is_kept, is_behind : bool
        Whether its connection had carried an answer before, and whether it
        was sent behind an unanswered request.
    is_read : bool
        Whether a process may have read all of it.
    work : tuple of Work
        Its runs at targets.
    sending_s : float
        Time from its first byte to its last one, which is part of its budget.
    status : int
        Status that its caller got; 0 without an answer.
    has_proof, is_own : bool
        Whether the answer has the proof of a target, and whether it is whole
        and belongs to this request.
    is_once, is_proper : bool
        Whether it must run at most once, and whether all versions allow it.
    timeout_s : float
        Timeout of its route.
    attempts : int
        Targets on which its route lets it run.
    route_since_s : float
        When the version with its route was acknowledged.
    line, origin, target_set : str
        Method and path, the set of the caller's host, and the set that its
        route leads to; empty if not known.
    """

    request_id: str
    host: str
    sent_s: float
    ended_s: float
    end: End
    budget_s: float = math.inf
    is_kept: bool = False
    is_behind: bool = False
    is_read: bool = True
    work: tuple[Work, ...] = ()
    sending_s: float = 0.0
    status: int = 0
    has_proof: bool = False
    is_own: bool = False
    is_once: bool = False
    is_proper: bool = True
    timeout_s: float = math.inf
    attempts: int = 2
    route_since_s: float = math.inf
    line: str = ''
    origin: str = ''
    target_set: str = ''

    @property
    def age_s(self) -> float:
        """Time from its first byte to its end."""
        return self.lasted_s + self.sending_s

    @property
    def lasted_s(self) -> float:
        """Time from its last byte to its end."""
        return self.ended_s - self.sent_s


class Departure(msgspec.Struct, frozen=True):
    """Acknowledged departure of a target, and the host that gave it."""

    target: str
    host: str
    acknowledged_s: float


class Disruption(msgspec.Struct, frozen=True):
    """Unplanned disruption; one of the store affects all hosts."""

    scope: Scope
    host: str
    start_s: float
    end_s: float


class PlannedWork(msgspec.Struct, frozen=True):
    """Planned work on a host, or on all for a configuration.

    `end_s` is when the host is back or the store has acknowledged.
    """

    kind: WorkKind
    host: str
    start_s: float
    end_s: float


class ProcessEnd(msgspec.Struct, frozen=True):
    """End of a process, and when it had got signals that may end it."""

    host: str
    started_s: float
    ended_s: float
    status: int
    terminated_s: float = math.inf
    killed_s: float = math.inf


class Finding(msgspec.Struct, frozen=True):
    """Broken clause, with what it concerns and when."""

    clause: Clause
    host: str
    request_id: str
    times_s: tuple[float, ...]
    detail: str

    def __str__(self) -> str:
        times = ', '.join(f'{time_s:.3f}' for time_s in self.times_s)
        subject = f'{self.request_id} at {self.host}'.removeprefix(' at ')
        return f'{self.clause.value}: {subject}, {self.detail} ({times})'


class Trial(msgspec.Struct):
    """Everything that was seen in a trial.

    `unsent` are the ids and runs of requests that no caller sent.
    """

    requests: list[Request] = []
    disruptions: list[Disruption] = []
    planned: list[PlannedWork] = []
    ends: list[ProcessEnd] = []
    departures: list[Departure] = []
    unsent: list[tuple[str, Work]] = []
    bounds: Bounds = Bounds()


def is_in_touch(
    trial: Trial, host: str, at_s: float, needs_store: bool = True
) -> bool:
    """Return whether a host is in touch at a moment.

    Parameters
    ----------
    trial : Trial
        What was seen.
    host : str
        Name of the host.
    at_s : float
        The moment.
    needs_store : bool
        Whether disruption of the store counts.
    """
    since_s = at_s - trial.bounds.stable_window_s
    scopes = {Scope.MACHINE, Scope.CONNECTIONS}
    if needs_store:
        scopes |= {Scope.STORE, Scope.STORE_PATH}
    return not any(
        item.start_s <= at_s
        and item.end_s > since_s
        and (
            item.scope in (Scope.STORE, Scope.CONNECTIONS) or item.host == host
        )
        for item in trial.disruptions
        if item.scope in scopes
    ) and not any(
        item.kind is WorkKind.TERMINATE
        and item.host == host
        and item.start_s <= at_s
        and item.end_s > since_s
        for item in trial.planned
    )


class Judge(abc.ABC):
    """Judge of one clause."""

    @abc.abstractmethod
    def judge(self, trial: Trial) -> Iterator[Finding]:
        """Return the findings in a trial."""


class KeptConnectionJudge(Judge):
    """Cuts of requests that were passed on from kept connections.

    Disruption of the store alone is no excuse.
    """

    def judge(self, trial: Trial) -> Iterator[Finding]:
        """Return the findings in a trial."""
        cut = [
            request
            for request in trial.requests
            if request.end is End.CUT
            and request.is_kept
            and any(work.is_sound for work in request.work)
            and is_in_touch(trial, request.host, request.ended_s, False)
        ]
        if len(cut) > TOLERATED_CUTS:
            for request in cut:
                yield make_finding(
                    Clause.KEPT_CONNECTION, request, f'one of {len(cut)}'
                )


class PlannedWorkJudge(Judge):
    """Requests that were read and got no complete answer."""

    def judge(self, trial: Trial) -> Iterator[Finding]:
        """Return the findings in a trial."""
        lost = [
            request
            for request in trial.requests
            if _is_lost(trial, request) and not _is_disrupted(trial, request)
        ]
        for request in lost:
            for work in trial.planned:
                if _is_beside_restart(trial, request, work):
                    detail = _describe(request, work)
                    yield make_finding(Clause.PLANNED_WORK, request, detail)
                    break
        yield from self._judge_configurations(trial, lost)

    def _judge_configurations(self, trial: Trial, lost: list[Request]):
        """Return the cuts beside configurations, if they are frequent."""
        periods = [
            (item.start_s, item.end_s + trial.bounds.apply_s + AFTERWARDS_S)
            for item in trial.planned
            if item.kind is WorkKind.CONFIGURATION
        ]

        def is_beside(request: Request) -> bool:
            return any(
                start_s <= request.ended_s and request.sent_s <= end_s
                for start_s, end_s in periods
            )

        for host in sorted({request.host for request in lost}):
            own = [item for item in trial.requests if item.host == host]
            cut = [item for item in lost if item.host == host]
            beside = [item for item in cut if is_beside(item)]
            total = sum(map(is_beside, own))
            other_rate = (len(cut) - len(beside)) / max(1, len(own) - total)
            if len(beside) <= CONFIG_CUT_FACTOR * other_rate * total:
                continue
            for request in beside:
                if request.age_s < CONFIG_TIME_SHARE * request.budget_s:
                    yield make_finding(
                        Clause.PLANNED_WORK, request, 'beside a configuration'
                    )


class ReplacedAnswerJudge(Judge):
    """Own answers after SIGTERM for requests at which a target works."""

    def judge(self, trial: Trial) -> Iterator[Finding]:
        """Return the findings in a trial."""
        for request in trial.requests:
            is_replaced = request.end is End.OWN_ANSWER and any(
                work.is_sound and work.ended_s >= request.ended_s
                for work in request.work
            )
            if not is_replaced or _is_disrupted(trial, request):
                continue
            for work in trial.planned:
                if work.kind is WorkKind.TERMINATE and _is_beside_restart(
                    trial, request, work
                ):
                    detail = _describe(request, work)
                    yield make_finding(Clause.REPLACED_ANSWER, request, detail)
                    break


class ProcessJudge(Judge):
    """Ends of processes that nobody asked for, or that went wrong."""

    def judge(self, trial: Trial) -> Iterator[Finding]:
        """Return the findings in a trial."""
        for end in trial.ends:
            clause = self._find_clause(end, trial.bounds.grace_s)
            if clause is not None:
                detail = (
                    f'status {end.status}, '
                    f'{end.ended_s - end.started_s:.3f} s after its start'
                )
                times_s = (end.started_s, end.terminated_s, end.ended_s)
                yield Finding(clause, end.host, '', times_s, detail)

    def _find_clause(self, end: ProcessEnd, grace_s: float) -> Clause | None:
        if end.status == STATUS_KILLED and end.killed_s <= end.ended_s:
            # Killed at the end of its grace time, or by a planned kill.
            has_overrun = end.killed_s >= end.terminated_s + grace_s
            return Clause.OVERRAN_GRACE if has_overrun else None
        if end.terminated_s > end.ended_s:
            return Clause.ENDED_BY_ITSELF
        return Clause.BAD_STATUS if end.status else None


JUDGES = (
    KeptConnectionJudge(),
    PlannedWorkJudge(),
    ReplacedAnswerJudge(),
    ProcessJudge(),
)


def _is_lost(trial: Trial, request: Request) -> bool:
    """Return whether a request was read and ended without an answer."""
    is_counted = (
        request.end is End.CUT
        and request.is_read
        and request.age_s < request.budget_s
    )
    if request.work:
        # A target that broke off explains the end of the answer.
        return is_counted and any(work.is_sound for work in request.work)
    return (
        is_counted
        and not request.is_behind
        and request.lasted_s > trial.bounds.loss_slack_s
    )


def _is_disrupted(trial: Trial, request: Request) -> bool:
    """Return whether unplanned disruption excuses a request.

    Disruption of the store, or of the way there, excuses nothing.
    """
    since_s = request.sent_s - trial.bounds.stable_window_s
    return any(
        item.start_s <= request.ended_s and item.end_s > since_s
        for item in trial.disruptions
        if item.scope in (Scope.MACHINE, Scope.CONNECTIONS, Scope.TARGET)
    )


def _is_beside_restart(
    trial: Trial, request: Request, planned: PlannedWork
) -> bool:
    """Return whether a request counts around a SIGTERM or SIGHUP."""
    bounds = trial.bounds
    if planned.host != request.host or request.ended_s < planned.start_s:
        return False
    if planned.kind is WorkKind.RELOAD:
        return request.sent_s <= planned.start_s + bounds.apply_s
    if planned.kind is not WorkKind.TERMINATE:
        return False
    end_s = planned.start_s + bounds.grace_s + AFTERWARDS_S
    last_s = planned.start_s + (1 - LAST_GRACE_SHARE) * bounds.grace_s
    may_be_cut = (
        request.sent_s <= planned.start_s + ACCEPTED_AFTER_SIGTERM_S
        and any(work.ended_s >= last_s for work in request.work)
    )
    is_over = request.age_s >= request.budget_s
    return request.ended_s <= end_s and not (may_be_cut or is_over)


def _describe(request: Request, planned: PlannedWork) -> str:
    return (
        f'{request.end.value} {request.ended_s - planned.start_s:.3f} s after '
        f'{planned.kind.value}, sent {request.lasted_s:.3f} s before, '
        f'{len(request.work)} runs'
    )


def make_finding(clause: Clause, request: Request, detail: str) -> Finding:
    """Make a finding about a request."""
    times_s = (
        request.sent_s,
        *(work.began_s for work in request.work),
        request.ended_s,
    )
    return Finding(clause, request.host, request.request_id, times_s, detail)

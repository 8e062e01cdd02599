"""Kinds of faults that are injected into processes from outside."""

import enum

import msgspec

__all__ = [
    'DAY_KINDS',
    'DEPARTURE_KINDS',
    'Fault',
    'FaultKind',
    'HALTING_KINDS',
    'HOST_PLAN_KINDS',
    'LOSSLESS_KINDS',
    'PLANNED_KINDS',
    'SIGNAL_KINDS',
    'STORE_KINDS',
    'STRAIN_KINDS',
]


class FaultKind(enum.Enum):
    """Kind of a fault."""

    KILL = 'kill'
    TERMINATE = 'terminate'
    PAUSE = 'pause'
    PEER_LINK = 'peer link'
    STORE_LINK = 'store link'
    STORE = 'store'
    VERSION = 'version'
    TARGET_LEAVES = 'target leaves'
    TARGET_HABIT = 'target habit'
    THROTTLE = 'throttle'
    SUSPEND = 'suspend'
    #: A request that crashes its targets is sent repeatedly.
    FATAL_REQUEST = 'fatal request'
    #: A target states a rate limit.
    TARGET_LIMIT = 'target limit'
    #: A target states in its answers that it is leaving, and reports nothing.
    UNREPORTED_LEAVE = 'unreported leave'
    #: A target leaves, the daemon beside it restarts, and reports that the
    #: target sent before arrive late.
    LEAVE_AND_RESTART = 'leave and restart'
    #: The settings change, with SIGHUP.
    RELOAD = 'reload'
    RELOAD_AT_START = 'reload at start'
    #: SIGTERM again and again, before the daemon is ready.
    RESTART_SERIES = 'restart series'
    #: A target crashes while its daemon leaves.
    CRASH_WHILE_LEAVING = 'crash while leaving'
    #: Open connections go silent for good, while new ones work.
    DEAD_CONNECTIONS = 'dead connections'
    #: The others are steps of the days of a site.
    STORE_SLOW = 'store slow'
    KILL_AFTER_ACK = 'kill after ack'
    TARGET_SLOW = 'target slow'
    TARGET_CRASH = 'target crash'
    TARGET_JOINS = 'target joins'
    #: A target of another set takes over the address.
    TARGET_MOVES = 'target moves'
    #: A target leaves for good.
    TARGET_GOES = 'target goes'
    #: A target sends bytes without an end, or that are no answer.
    BAD_BYTES = 'bad bytes'
    #: Callers send more, repeat or leave.
    CALLERS = 'callers'
    #: A target has crashed on such a request; never planned.
    TARGET_ENDS = 'target ends'


#: Planned operations, which must not cause any request to fail.
PLANNED_KINDS = frozenset(
    (FaultKind.TERMINATE, FaultKind.VERSION, FaultKind.TARGET_LEAVES)
)
#: What targets state in answers, which must not cause a request to fail.
SIGNAL_KINDS = frozenset((FaultKind.TARGET_LIMIT, FaultKind.UNREPORTED_LEAVE))
#: Departures around a restart, which is a fault of its own.
DEPARTURE_KINDS = frozenset((FaultKind.LEAVE_AND_RESTART,))
#: Faults around starts, ends and settings; their parts are recorded, too.
HOST_KINDS = frozenset(
    (
        FaultKind.RELOAD,
        FaultKind.RELOAD_AT_START,
        FaultKind.RESTART_SERIES,
        FaultKind.CRASH_WHILE_LEAVING,
    )
)
#: Kinds that only plans of starts and ends have.
HOST_PLAN_KINDS = HOST_KINDS | {FaultKind.DEAD_CONNECTIONS}
#: Planned steps of days, and all that no other plan has.
PLANNED_DAY_KINDS = frozenset(
    (
        FaultKind.TARGET_JOINS,
        FaultKind.TARGET_GOES,
        FaultKind.CALLERS,
        FaultKind.KILL_AFTER_ACK,
    )
)
DAY_KINDS = PLANNED_DAY_KINDS | {
    FaultKind.STORE_SLOW,
    FaultKind.TARGET_SLOW,
    FaultKind.TARGET_CRASH,
    FaultKind.TARGET_MOVES,
}
#: Kinds that only strained days have; what they do to other requests than
#: their own is not excused.
STRAIN_KINDS = frozenset((FaultKind.BAD_BYTES,))
#: Faults of the store, which alone must not cause a request to fail.
STORE_KINDS = frozenset((FaultKind.STORE, FaultKind.STORE_LINK))
#: Faults that stop a process without notice.
HALTING_KINDS = frozenset((FaultKind.KILL, FaultKind.PAUSE, FaultKind.SUSPEND))
#: Faults that do not explain a lost request.
LOSSLESS_KINDS = STORE_KINDS | {
    FaultKind.THROTTLE,
    FaultKind.FATAL_REQUEST,
    FaultKind.STORE_SLOW,
}


class Fault(msgspec.Struct, frozen=True):
    """One planned fault.

    Parameters
    ----------
    at_s : float
        Start time, from the start of the plan.
    kind : FaultKind
        Kind of the fault.
    host : int
        Number of the affected host.
    for_s : float
        Duration, for kinds that have one; for the crash of a target, the
        time until its restart.
    detail : str
        Mode of a link or of the store, behaviour of a target, rate of a link
        in bytes per second, limits that a target states one after another,
        how a target leaves and how the daemon beside it ends, or delays in
        seconds.
    """

    at_s: float
    kind: FaultKind
    host: int = 0
    for_s: float = 0.0
    detail: str = ''

    @property
    def is_planned(self) -> bool:
        """Whether it is a planned operation."""
        return self.kind in (
            PLANNED_KINDS
            | SIGNAL_KINDS
            | DEPARTURE_KINDS
            | HOST_KINDS
            | PLANNED_DAY_KINDS
        )

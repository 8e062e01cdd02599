"""Data types of the request path and of messages between daemons."""

import enum
from typing import Annotated

import msgspec

from sedgering import base
from sedgering.mesh import _crash_records
from sedgering import rollout
from sedgering import transport

__all__ = [
    'Addresses',
    'CallAnswer',
    'CallOutcome',
    'CallUrgency',
    'HeaderNames',
    'Lifetime',
    'LoadReport',
    'MemberRow',
    'MeshIdentity',
    'NO_ROUTE',
    'RefusalReason',
    'TargetCall',
    'TargetReport',
    'TargetState',
    'UNKNOWN_BORN_MS',
]

#: Route of a request that matches none, and of reports without a call.
NO_ROUTE = base.RouteName('')
#: Start time of a target that does not report one.
UNKNOWN_BORN_MS = 0

_IPV4_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
#: An IPv4 address: any other value would be resolved by name.
_Address = Annotated[
    str, msgspec.Meta(pattern=rf'^({_IPV4_OCTET}\.){{3}}{_IPV4_OCTET}\Z')
]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
#: Names are sent in header fields between daemons, where "|" separates them.
_HEADER_SAFE = msgspec.Meta(pattern=r'^[!-{}~]{1,200}\Z')
_Target = Annotated[base.TargetName, _HEADER_SAFE]
_SoftwareVersion = Annotated[
    base.SoftwareVersion, msgspec.Meta(max_length=200)
]
_TargetSet = Annotated[base.TargetSetName, _HEADER_SAFE]


class TargetState(enum.Enum):
    """State of a target."""

    READY = 'ready'
    #: It finishes its requests, but takes no new ones.
    DRAINING = 'draining'
    #: It has deregistered and sends no more reports.
    GONE = 'gone'
    #: It has ended without deregistering. Its next lifetime, or its next
    #: report, makes it available again. Daemons of the previous release cannot
    #: decode the row of such a target, and send nothing there.
    DOWN = 'down'
    #: It runs, but the daemon beside it has left or restarts.  Daemons of the
    #: previous release cannot decode such a row, and take it as removed.
    AWAY = 'away'

    @property
    def is_final(self) -> bool:
        """Whether the lifetime stays unavailable, whatever it reports."""
        return self in (TargetState.DRAINING, TargetState.GONE)


class CallOutcome(enum.Enum):
    """What is known about the execution of a call to a target."""

    #: The target answered, possibly with an error of its own.
    ANSWERED = 'answered'
    #: The target has certainly not begun to work on it.
    NOT_RUN = 'not run'
    #: It may have run, but no complete answer arrived.
    UNKNOWN = 'unknown'


class RefusalReason(enum.Enum):
    """Why a call was not run, or why its answer is missing."""

    NONE = ''
    #: The host cannot be reached.
    UNREACHABLE = 'unreachable'
    #: The host runs another target than the one that the call names.
    WRONG_TARGET = 'wrong target'
    #: The daemon knows no listening target: it has just started, or its target
    #: has ended.
    TARGET_UNKNOWN = 'target unknown'
    #: The target or its host is leaving.
    LEAVING = 'leaving'
    #: The daemon of the target ends before the call could.
    ENDING = 'ending'
    #: The call could not have finished in time.
    SHED = 'shed'
    #: All slots are taken, and the call may not wait for one.
    BUSY = 'busy'
    #: The target states a rate limit, and the call could not be sent in time
    #: within it.
    RATE_LIMITED = 'rate limited'
    #: Too many request bodies are in transfer to the host.
    LINK_FULL = 'link full'
    #: The target itself refused the call before any work.
    TARGET_REFUSED = 'target refused'
    #: The connection ended without a complete answer.
    CONNECTION_LOST = 'connection lost'
    #: The answer was corrupted, or did not come from the target.
    DAMAGED = 'damaged answer'
    #: The deadline passed.
    DEADLINE = 'deadline'
    #: Targets have crashed while running the request: it may now run on one
    #: target only, as a trial.
    SUSPECTED = 'suspected'
    #: The request has crashed so many targets that it is not run again.
    QUARANTINED = 'quarantined'


class CallUrgency(enum.IntEnum):
    """Who waits for a call; lower values are served first."""

    #: A target that works on a request: its slot is held meanwhile, and its
    #: work is lost if the call fails.
    TARGET = 0
    #: A caller on its first attempt, which can still be served in time.
    FIRST = 1
    #: A caller that has probably been refused before. Its latency goal counts
    #: from its first attempt, so that it is mostly late: if served first, it
    #: would delay calls that can still be in time.
    RETURN = 2


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of the header fields shared with callers and targets.

    Parameters
    ----------
    request_id : str
        Id of one attempt of the caller; returned in answers.
    deadline_ms : str
        Time for which the sender waits, in milliseconds.
    proof : str
        Set by a target on each answer, as proof that it comes from there.
    expected_target : str
        Id of the only target that may run the request.
    origin : str
        Target set of the host on which the request originated.
    not_run : str
        Set by a target when it refuses a request before any work.
    target : str
        Id of the target that answers.
    load : str
        Running calls, waiting calls and slots, in answers of targets. Some
        targets add how long work currently takes, in percent of the usual
        time.
    rate_limit : str
        Requests a second that a target in need takes from all callers
        together, in each of its answers.
    leaving : str
        Set by a target that is leaving in each of its answers.
    workspace : str
        Name of the workspace that sends the request, for the target.
    key_scheme : str
        Scheme of the authorization field that carries a workspace's key.
    """

    request_id: str
    deadline_ms: str
    proof: str
    expected_target: str
    origin: str
    not_run: str
    target: str
    load: str
    rate_limit: str = 'X-Rate-Limit'
    leaving: str = 'X-Leaving'
    workspace: str = 'X-Workspace'
    key_scheme: str = 'Bearer'


class MeshIdentity(msgspec.Struct, frozen=True):
    """Identity of a daemon.

    Parameters
    ----------
    host, data_centre
        Host and data centre of the daemon.
    target_set : str
        Target set of the target on the same host.
    link_mbps : float
        Bandwidth of the link of its host in Mbit/s; 0 when unknown.
    memory_mb : int
        Memory limit of the process in MB; 0 when unknown.
    """

    host: base.HostId
    data_centre: base.DataCentre
    target_set: base.TargetSetName
    link_mbps: float = 0.0
    memory_mb: int = 0


class Addresses(msgspec.Struct, frozen=True):
    """Listening addresses of a daemon and of its target.

    Parameters
    ----------
    address : str
        IP address of the host.
    callers_port, readiness_port, reports_port, peers_port : int
        Ports for callers of this host, for readiness checks, for reports of
        the local target, and for other daemons.
    target_address, target_port
        Address and port of the local target.
    """

    address: str
    callers_port: int
    readiness_port: int
    reports_port: int
    peers_port: int
    target_address: str
    target_port: int


class Lifetime(msgspec.Struct, frozen=True):
    """One run of a target, from its start to its end.

    A restarted target may keep its id; then only the start time distinguishes
    the two runs.

    Parameters
    ----------
    target : str
        Id of the target.
    born_ms : int
        Unix time of its start in milliseconds; 0 when unknown.
    """

    target: base.TargetName
    born_ms: int = UNKNOWN_BORN_MS

    def is_same(self, other: 'Lifetime') -> bool:
        """Whether `other` may be the same run, as far as is known."""
        return (
            self.target == other.target
            and not self.is_before(other)
            and not other.is_before(self)
        )

    def is_before(self, other: 'Lifetime') -> bool:
        """Whether `other` is a later run of the same target."""
        return (
            self.target == other.target
            and self.born_ms != UNKNOWN_BORN_MS
            and self.born_ms < other.born_ms
        )


class TargetReport(msgspec.Struct, frozen=True):
    """Report of the local target on its own state.

    Parameters
    ----------
    target : str
        Id of the target.
    target_set : str
        Target set to which it belongs.
    slots : int
        Number of requests that it can process concurrently.
    state : TargetState
        Ready or draining.
    cold_ms : int
        How much longer it is slow after its start, in milliseconds.
    sequence : int
        Increases with each report of one lifetime.
    born_ms : int
        Unix time of the start of this lifetime in milliseconds; 0 when
        unknown.
    version : str
        Version of its software; empty when unknown.
    """

    target: base.TargetName
    target_set: base.TargetSetName
    slots: int
    state: TargetState
    cold_ms: int
    sequence: int
    born_ms: int = UNKNOWN_BORN_MS
    version: base.SoftwareVersion = rollout.UNKNOWN_VERSION

    @property
    def lifetime(self) -> Lifetime:
        """Lifetime of the target that sent the report."""
        return Lifetime(self.target, self.born_ms)


class MemberRow(msgspec.Struct, frozen=True):
    """Row of a host and its target, as other daemons read it.

    Parameters
    ----------
    host, data_centre, address, port
        Location of the daemon.
    target_set, target, slots, state
        Last report of the target on the same host.
    cold_ms : int
        How much longer the target was slow after its start when the row was
        written, in milliseconds.
    link_mbps : int
        Bandwidth of the link of the host in Mbit/s; 0 when unknown.
    born_ms : int
        Unix time of the start of the target in milliseconds; 0 when unknown.
    crashes : tuple of CrashRecord
        The last crashes of targets on the host.
    version : str
        Version of the software of the target; empty when unknown.
    """

    host: base.HostId
    data_centre: base.DataCentre
    address: _Address
    port: _Port
    target_set: _TargetSet
    target: _Target
    slots: base.Count
    state: TargetState
    cold_ms: base.Count = 0
    link_mbps: base.Count = 0
    born_ms: base.Count = UNKNOWN_BORN_MS
    crashes: Annotated[
        tuple[_crash_records.CrashRecord, ...],
        msgspec.Meta(max_length=_crash_records.MAX_CRASHES),
    ] = ()
    version: _SoftwareVersion = rollout.UNKNOWN_VERSION

    @property
    def lifetime(self) -> Lifetime:
        """Lifetime of the target."""
        return Lifetime(self.target, self.born_ms)


class LoadReport(msgspec.Struct):
    """Load of a gate, sent with each answer.

    Parameters
    ----------
    running, waiting, limit : int
        Calls running at the target, calls waiting, and the limit of concurrent
        calls.
    work_ms : int
        Recent mean processing time at the target in milliseconds.
    route_work_ms : int
        The same for the route of the answered call; 0 when the gate has not
        yet seen the route.
    link_percent : int
        Share of the host's link that incoming bytes use.
    waiting_nested : int
        Waiting calls that were sent by targets; they are served first.
    answer_wait_ms : int
        Time in milliseconds for which a large answer would wait for the link.
    failed_percent : int
        Share of recent calls that failed at the target or were refused by it.
    slowness_percent : int
        How long work currently takes at the target, in percent of the usual
        time; 0 when unknown.
    demand_percent : int
        Demand on the gate, in percent of the capacity of its slots: the work
        of all calls that could end in time, admitted or not; 0 when unknown.
    rate_wait_ms : int
        Time until the rate limit of the target allows one more call, in
        milliseconds; 0 when it does now, or there is none.
    """

    running: int
    waiting: int
    limit: int
    work_ms: int
    route_work_ms: int = 0
    link_percent: int = 0
    waiting_nested: int = 0
    answer_wait_ms: int = 0
    failed_percent: int = 0
    slowness_percent: int = 0
    demand_percent: int = 0
    rate_wait_ms: int = 0


class TargetCall(msgspec.Struct):
    """A request that is sent to the daemon of a chosen target.

    Parameters
    ----------
    request : Request
        Request as the caller sent it.
    request_id : str
        Id of the caller's attempt.
    target_set, target
        Where it is to be run.
    route : str
        Route that it matched; processing times are kept for each route.
    origin : str
        Target set of the host on which it originated.
    priority : int
        0 is served first.
    is_repeatable : bool
        Whether it may run more than once.
    urgency : CallUrgency
        Who waits for the call.
    remaining_ms, goal_ms : int
        Time left until its deadline and until its latency goal, in
        milliseconds.
    version : int
        Bundle version used to route it.
    may_wait : bool
        Whether it may wait for a slot. If not, and none is free, it is refused
        as busy, with the time for which it would have waited.
    is_trial : bool
        At the sender, whether this target is the only one on which the suspect
        request may run; at the gate, whether the call is a trial run of it.
    crashes : tuple of CrashEvidence
        Crashes of targets while the request ran, as known to its sender.
    cleared_crashes : tuple of CrashId
        Those of the crashes that no longer count, since a target has answered
        the request after them.
    workspace : str
        Workspace that sends the request; empty for calls of targets and on
        public routes.
    workspace_priority : int
        Priority of the workspace, which precedes `priority`; 0 is served
        first.
    rate_limit_per_s : float or None
        Rate limit that the target stated in an answer to this sender; None if
        it stated none.
    """

    request: transport.Request
    request_id: base.RequestId
    target_set: base.TargetSetName
    target: base.TargetName
    route: base.RouteName
    origin: base.TargetSetName
    priority: int
    is_repeatable: bool
    urgency: CallUrgency
    remaining_ms: int
    goal_ms: int
    version: base.Version
    may_wait: bool = True
    is_trial: bool = False
    crashes: tuple[_crash_records.CrashEvidence, ...] = ()
    cleared_crashes: tuple[_crash_records.CrashId, ...] = ()
    workspace: base.WorkspaceName = base.NO_WORKSPACE
    workspace_priority: int = 0
    rate_limit_per_s: float | None = None


class CallAnswer(msgspec.Struct):
    """Result of a call to a target.

    Parameters
    ----------
    outcome : CallOutcome
        What is known about its execution.
    response : Response or None
        Answer of the target.
    reason : RefusalReason
        Why there is no answer.
    retry_after_ms : int
        Time after which a refused call may be retried, in milliseconds; 0 when
        unknown.
    load : LoadReport or None
        Load of the gate that answered.
    reached_target : bool
        Whether the request reached the target.
    member : MemberRow or None
        Current row of the host, with a refusal for the wrong target.
    detail : str
        Explanation for logs.
    crashes : tuple of CrashEvidence
        Crashes of targets while the request ran; they make it suspect.
    """

    outcome: CallOutcome
    response: transport.Response | None = None
    reason: RefusalReason = RefusalReason.NONE
    retry_after_ms: int = 0
    load: LoadReport | None = None
    reached_target: bool = False
    member: MemberRow | None = None
    detail: str = ''
    crashes: tuple[_crash_records.CrashEvidence, ...] = ()

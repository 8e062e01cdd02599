"""Typed messages of the request path."""

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

#: Of a request that no route matches, and of reports that belong to no call.
NO_ROUTE = base.RouteName('')
#: Start of a target that does not tell it.
UNKNOWN_BORN_MS = 0

_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
#: An IP number: any other address would be looked up by name.
_Address = Annotated[
    str, msgspec.Meta(pattern=rf'^({_OCTET}\.){{3}}{_OCTET}\Z')
]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
#: Names become header fields between daemons, where "|" separates them.
_PATTERN = msgspec.Meta(pattern=r'^[!-{}~]{1,200}\Z')
_Target = Annotated[base.TargetName, _PATTERN]
_SoftwareVersion = Annotated[
    base.SoftwareVersion, msgspec.Meta(max_length=200)
]
_TargetSet = Annotated[base.TargetSetName, _PATTERN]


class TargetState(enum.Enum):
    """What a target says of itself."""

    READY = 'ready'
    #: It still works, but takes no new work.
    DRAINING = 'draining'
    #: It has said that it is leaving, and says nothing more.
    GONE = 'gone'
    #: It has ended without a word; its next lifetime, or its next report,
    #: opens it again.  Daemons of the version before take the row of such a
    #: target as unreadable, and send nothing there.
    DOWN = 'down'


class CallOutcome(enum.Enum):
    """What is known of a call to a target."""

    #: The target answered, be it with a failure of its own.
    ANSWERED = 'answered'
    #: It is proven that no work was done.
    NOT_RUN = 'not run'
    #: It may have run, and no whole answer came.
    UNKNOWN = 'unknown'


class RefusalReason(enum.Enum):
    """Why a call was not run, or why its answer is missing."""

    NONE = ''
    #: The host cannot be reached.
    UNREACHABLE = 'unreachable'
    #: Another target, or none, is beside that daemon.
    WRONG_TARGET = 'wrong target'
    #: The daemon knows no target that listens: it has just started, or its
    #: target has ended.
    TARGET_UNKNOWN = 'target unknown'
    #: The target or its host is leaving.
    LEAVING = 'leaving'
    #: It could not have finished in time.
    SHED = 'shed'
    #: All places are taken, and the call was only to have a free one.
    BUSY = 'busy'
    #: Too many bodies are on their way to the host.
    LINK_FULL = 'link full'
    #: The target itself refused before work.
    TARGET_REFUSED = 'target refused'
    #: The connection ended without a whole answer.
    CONNECTION_LOST = 'connection lost'
    #: The answer was not the target's, or was damaged.
    DAMAGED = 'damaged answer'
    #: The deadline passed.
    DEADLINE = 'deadline'
    #: Targets have ended under the request: it may run at one place only.
    SUSPECTED = 'suspected'
    #: It has ended so many targets that it is not begun.
    QUARANTINED = 'quarantined'


class CallUrgency(enum.IntEnum):
    """Who waits for a call; smaller values are served first."""

    #: A target that works on a request: its slot is held meanwhile, and
    #: its work is lost if the call fails.
    TARGET = 0
    #: A caller that asks for the first time, and may be served in time.
    FIRST = 1
    #: A caller that seems to have been refused before.  Its goal counts from
    #: its first try, so that it mostly is late: served first, it would make
    #: those late that could still be in time.
    RETURN = 2


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of the header fields that are shared with callers and targets.

    Parameters
    ----------
    request_id : str
        Id of one attempt of the caller; echoed in answers.
    deadline_ms : str
        Time for which the sender waits, in milliseconds.
    proof : str
        Set by a target on each answer that is its own.
    expected_target : str
        Id of the only target that may run the request.
    origin : str
        Target set of the host on which the request began.
    not_run : str
        Set by a target on a refusal before any work.
    target : str
        Id of the target that answers.
    load : str
        Calls that run and that wait, and slots, in answers of targets; some
        add how long work takes at the moment, in percent of the usual time.
    workspace : str
        Name of the workspace that asks, for the target.
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
    workspace: str = 'X-Workspace'
    key_scheme: str = 'Bearer'


class MeshIdentity(msgspec.Struct, frozen=True):
    """Who this daemon is.

    Parameters
    ----------
    host, data_centre
        Of this daemon.
    target_set : str
        Of the target beside it.
    link_mbps : float
        Width of the link of its host; 0 when it is not known.
    """

    host: base.HostId
    data_centre: base.DataCentre
    target_set: base.TargetSetName
    link_mbps: float = 0.0


class Addresses(msgspec.Struct, frozen=True):
    """Where this daemon listens, and where its target does.

    Parameters
    ----------
    address : str
        IP number of the host.
    callers_port, readiness_port, reports_port, peers_port : int
        Ports for callers of this host, for questions of readiness, for
        reports of the local target, and for other daemons.
    target_address, target_port
        Of the local target.
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

    A target that starts again may keep its id; then only the moment of its
    start tells the two runs apart.

    Parameters
    ----------
    target : str
        Id of the target.
    born_ms : int
        Unix time of its start; 0 when it does not tell it.
    """

    target: base.TargetName
    born_ms: int = UNKNOWN_BORN_MS

    def is_before(self, other: 'Lifetime') -> bool:
        """Whether the same target is known to have started again since."""
        return (
            self.target == other.target
            and self.born_ms != UNKNOWN_BORN_MS
            and self.born_ms < other.born_ms
        )


class TargetReport(msgspec.Struct, frozen=True):
    """What the local target says of itself.

    Parameters
    ----------
    target : str
        Id of the target.
    target_set : str
        What it belongs to.
    slots : int
        Requests that it works on at a time.
    state : TargetState
        Ready or draining.
    cold_ms : int
        For how much longer it is slow after its start.
    sequence : int
        Grows with each report of one lifetime.
    born_ms : int
        Unix time of the start of this lifetime; 0 when it is not told.
    version : str
        Of its software; empty when it is not told.
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
        """Lifetime that reports."""
        return Lifetime(self.target, self.born_ms)


class MemberRow(msgspec.Struct, frozen=True):
    """A host and its target, as other daemons find them.

    Parameters
    ----------
    host, data_centre, address, port
        Of the daemon.
    target_set, target, slots, state
        Of the target beside it.
    cold_ms : int
        For how long the target was still cold when the row was written.
    link_mbps : int
        Width of the link of the host; 0 when it is not known.
    born_ms : int
        Unix time of the start of the target; 0 when it is not told.
    crashes : tuple of CrashRecord
        The last ends of targets beside the daemon.
    version : str
        Of the software of the target; empty when it is not told.
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
        msgspec.Meta(max_length=_crash_records.MOST_CRASHES),
    ] = ()
    version: _SoftwareVersion = rollout.UNKNOWN_VERSION

    @property
    def lifetime(self) -> Lifetime:
        """Lifetime of the target."""
        return Lifetime(self.target, self.born_ms)


class LoadReport(msgspec.Struct):
    """What a gate tells of itself with each answer.

    Parameters
    ----------
    running, waiting, limit : int
        Calls at the target, calls that wait, and most calls at a time.
    work_ms : int
        Recent mean time at the target.
    route_work_ms : int
        The same for the route of the call that is answered; 0 when the
        route has not been seen there.
    link_percent : int
        Share of the link of the host that incoming bytes take.
    waiting_nested : int
        Of the calls that wait, those of targets, which go first.
    answer_wait_ms : int
        Time for which a large answer would wait for the link.
    failed_percent : int
        Share of recent calls that the target failed or refused.
    slowness_percent : int
        How long work takes at the target at this moment, in percent of the
        usual time; 0 when it does not tell.
    demand_percent : int
        Work of the calls in time that the gate is asked to run, admitted or
        not, in percent of what its places can do; 0 when it is not told.
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


class TargetCall(msgspec.Struct):
    """A request on its way to the daemon of a chosen target.

    Parameters
    ----------
    request : Request
        As the caller sent it.
    request_id : str
        Of the caller's attempt.
    target_set, target
        Where it is to run.
    route : str
        Route that it matched; work times are kept by route.
    origin : str
        Target set of the host on which it began.
    priority : int
        0 is served first.
    is_repeatable : bool
        Whether it may run more than once.
    urgency : CallUrgency
        Who waits for it.
    remaining_ms, goal_ms : int
        Time left until its deadline, and until its latency goal.
    version : int
        Bundle version by which it was routed.
    may_wait : bool
        Whether it may wait for a place; else it is refused as busy where
        none is free, with the time for which it would have waited.
    is_trial : bool
        Whether its sender takes this target for the one place where it may
        run as a suspect; at the gate whether it runs as one.
    crashes : tuple of CrashEvidence
        Ends of targets under the request, as its sender knows them.
    forgiven : tuple of CrashId
        Those that came before a target answered it.
    workspace : str
        That asks; empty for calls of targets and on public routes.
    workspace_priority : int
        Its rank, before `priority`; 0 is served first.
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
    forgiven: tuple[_crash_records.CrashId, ...] = ()
    workspace: base.WorkspaceName = base.NO_WORKSPACE
    workspace_priority: int = 0


class CallAnswer(msgspec.Struct):
    """How a call to a target ended.

    Parameters
    ----------
    outcome : CallOutcome
        What is known.
    response : Response or None
        The target's answer.
    reason : RefusalReason
        Why there is none.
    retry_after_ms : int
        When a refused call may be tried again; 0 when nothing is known.
    load : LoadReport or None
        Of the gate that answered.
    reached_target : bool
        Whether the request arrived at the target.
    member : MemberRow or None
        The row that holds now, with a refusal as the wrong target.
    detail : str
        For logs.
    crashes : tuple of CrashEvidence
        Ends of targets under the request, which speak against it.
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

"""Load patterns: callers, targets, and scheduled events."""

import enum
import pathlib
from typing import Annotated

import msgspec

from sedgering import settings

__all__ = [
    'CallerKind',
    'DataCentre',
    'Event',
    'EventKind',
    'Load',
    'NestedCalls',
    'Noise',
    'TargetGroup',
    'Wave',
    'load_pattern',
]

Positive = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Noise(settings.SettingsStruct):
    """Slowdown of targets by noisy neighbours on shared hosts.

    Parameters
    ----------
    share : float
        Probability that a target is slowed down during an interval.
    factor : float
        Factor by which processing times grow at a slow target.
    every_ms : float
        Interval after which slow targets are drawn again, in milliseconds.
    """

    share: Share = 0.15
    factor: Positive = 2.5
    every_ms: Positive = 600.0


class DataCentre(settings.SettingsStruct):
    """A data centre; targets of a set are spread over them round-robin.

    Parameters
    ----------
    name : str
        Name of the data centre.
    demand : float
        Demand of its callers, relative to the other data centres.
    phase : float
        Phase offset of its demand wave, in periods.
    """

    name: settings.Name
    demand: Positive = 1.0
    phase: float = 0.0


class Wave(settings.SettingsStruct):
    """Sine wave of the demand of each data centre.

    Parameters
    ----------
    swing : float
        Amplitude of the wave, relative to the mean demand.
    period_s : float
        Period of the wave, in seconds.
    """

    swing: Share = 0.55
    period_s: Positive = 8.0


class TargetGroup(settings.SettingsStruct):
    """Targets of one set, one on each host.

    Parameters
    ----------
    target_set : str
        Name of the set.
    speeds : list of float
        Speed of each target; it divides the processing time of a request.
    slots, queue : int
        Requests that a target processes concurrently, and that it queues.
    noise : Noise or None
        Slowdown by noisy neighbours; none by default.
    tells_slowness : bool
        Whether targets report their current slowness with each answer.
    """

    target_set: settings.Name
    speeds: list[Positive]
    slots: settings.Count = 13
    queue: settings.Count = 52
    noise: Noise | None = None
    tells_slowness: bool = False


class NestedCalls(settings.SettingsStruct):
    """Calls that a target makes while it processes a request.

    Parameters
    ----------
    target_set : str
        Target set that is called.
    count : int
        Number of calls per request.
    share : float
        Share of the requests that make nested calls.
    is_parallel : bool
        Whether the calls of a request are made in parallel.
    work_ms : float
        Mean processing time of a call, in milliseconds.
    deadline_ms : int
        Time for which the calling target waits, in milliseconds.
    answer_bytes : int
        Size of each response body in bytes.
    """

    target_set: settings.Name
    count: settings.Count = 2
    share: Share = 0.7
    is_parallel: bool = False
    work_ms: Positive = 16.0
    deadline_ms: settings.Count = 200
    answer_bytes: settings.CountOrNone = 0


class CallerKind(settings.SettingsStruct):
    """Callers of one route.

    Parameters
    ----------
    name, target_set : str
        Name of the route, and the target set that it leads to.
    rate_per_s : float
        Arrival rate of callers over all hosts, per second, without retries.
    work_ms, work_spread : float
        Mean processing time in milliseconds, and the standard deviation of
        its logarithm.
    goal_ms, deadline_ms, timeout_ms : int
        Latency goal, time for which callers wait, and timeout of the route,
        in milliseconds.
    worth, late_worth : float
        Worth of an answer within the latency goal, and of a later one.
    priority : int
        Priority of the route; 0 is the highest.
    retries : int
        Maximum number of retries of one caller.
    is_repeatable : bool
        Whether a request is idempotent and may be run again.
    nested : NestedCalls or None
        Calls that a target makes while it processes a request.
    from_s : float
        Time at which callers begin to arrive, in seconds.
    is_same : bool
        Whether all callers send an identical request.
    is_fatal : bool
        Whether a request crashes each target that processes it.
    workspace : str
        Workspace of all callers; empty for none.
    workspace_priority : int
        Priority of the workspace, which is compared before `priority`.
    hasty_share : float
        Share of the callers that ignore Retry-After and retry almost at once.
    answer_bytes : int
        Size of each response body in bytes.
    """

    name: settings.Name
    target_set: settings.Name
    rate_per_s: Positive
    work_ms: Positive
    work_spread: float = 0.5
    goal_ms: settings.Count = 200
    deadline_ms: settings.Count = 1200
    timeout_ms: settings.Count = 1200
    worth: float = 1.0
    late_worth: float = 0.3
    priority: int = 1
    retries: int = 2
    is_repeatable: bool = True
    nested: NestedCalls | None = None
    from_s: float = 0.0
    is_same: bool = False
    is_fatal: bool = False
    workspace: str = ''
    workspace_priority: int = 0
    hasty_share: Share = 0.0
    answer_bytes: settings.CountOrNone = 0


class EventKind(enum.Enum):
    """Kinds of events that change the arrival rates or the targets."""

    #: Arrival rates are multiplied by `factor`.
    BURST = 'burst'
    #: Some targets of a set take `factor` times as long for each request.
    SLOW = 'slow'
    #: Some targets of a set refuse the share `factor` of their requests.
    SHED = 'shed'
    #: Some targets of a set crash. They restart at the end of the event, or
    #: earlier after `Load.back_after_s`.
    END = 'end'


class Event(settings.SettingsStruct):
    """A temporary change of the arrival rates or of some targets.

    Parameters
    ----------
    kind : EventKind
        Kind of the change.
    at_s, for_s : float
        Start and duration, in seconds.
    factor : float
        Strength of the change, as defined by the kind.
    callers : str
        Kind of callers that a burst affects; empty for all kinds.
    target_set : str
        Target set that is affected; unused by a burst.
    targets : int
        Number of affected targets of the set.
    skipped : int
        Number of targets of the set that precede the first affected one.
    """

    kind: EventKind
    at_s: float
    for_s: Positive
    factor: Positive = 1.0
    callers: str = ''
    target_set: str = ''
    targets: settings.Count = 1
    skipped: settings.CountOrNone = 0


class Load(settings.SettingsStruct):
    """A load pattern.

    Parameters
    ----------
    name, pattern : str
        Name and description of the load pattern.
    length_s : float
        Time during which callers arrive, in seconds.
    targets : list of TargetGroup
        All targets; each runs on a host of its own with callers and a daemon.
    callers : list of CallerKind
        All kinds of callers.
    events : list of Event
        Scheduled events.
    hop_ms, far_hop_ms : float
        One-way network latency between two hosts of one data centre, and of
        two data centres, in milliseconds.
    data_centres : list of DataCentre
        Data centres of the hosts; if empty, there is a single one.
    wave : Wave or None
        Variation of the demand over time; constant by default.
    back_after_s : float
        Time from the crash of a target to its restart, in seconds.
    """

    name: settings.Name
    pattern: str
    length_s: Positive
    targets: list[TargetGroup]
    callers: list[CallerKind]
    events: list[Event] = []
    hop_ms: float = 2.0
    far_hop_ms: float = 2.0
    data_centres: list[DataCentre] = []
    wave: Wave | None = None
    back_after_s: Positive = 3.0


def load_pattern(path: pathlib.Path) -> Load:
    """Read and validate a load pattern.

    Raises
    ------
    SettingsError
        If the file cannot be read or its content is invalid.
    """
    return settings.load_settings(path, Load)

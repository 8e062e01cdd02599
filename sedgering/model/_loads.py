"""Load patterns: who calls, what stands behind, and what happens when."""

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
    """How much longer work takes on hosts that others use, too.

    Parameters
    ----------
    share : float
        Share of the targets that are slow at any moment.
    factor : float
        Work takes that many times as long there.
    every_ms : float
        Time after which others are slow.
    """

    share: Share = 0.15
    factor: Positive = 2.5
    every_ms: Positive = 600.0


class DataCentre(settings.SettingsStruct):
    """A data centre; targets of a set are spread over them by turns.

    Parameters
    ----------
    name : str
        Of the data centre.
    demand : float
        What its callers ask, beside the others.
    phase : float
        Of its wave, in periods.
    """

    name: settings.Name
    demand: Positive = 1.0
    phase: float = 0.0


class Wave(settings.SettingsStruct):
    """How the demand of each data centre swings.

    Parameters
    ----------
    swing : float
        Highest demand over the mean, less 1.
    period_s : float
        From one highest demand to the next.
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
        One entry a target; work takes its time divided by the speed.
    slots, queue : int
        Requests that a target works on at a time, and that wait there.
    noise : Noise or None
        Of their hosts.
    tells_slowness : bool
        Whether they tell with each answer how long work takes now.
    """

    target_set: settings.Name
    speeds: list[Positive]
    slots: settings.Count = 13
    queue: settings.Count = 52
    noise: Noise | None = None
    tells_slowness: bool = False


class NestedCalls(settings.SettingsStruct):
    """Calls that a target makes while it works on a request.

    Parameters
    ----------
    target_set : str
        That is called.
    count : int
        Calls of one request.
    share : float
        Share of the requests that make them.
    is_parallel : bool
        Whether they are made at the same time.
    work_ms : float
        Mean work of one call.
    deadline_ms : int
        Time for which the target waits.
    answer_bytes : int
        Size of each answer.
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
        Of the route, and where it leads.
    rate_per_s : float
        First tries a second over all hosts.
    work_ms, work_spread : float
        Mean of the work, and the deviation of its logarithm.
    goal_ms, deadline_ms, timeout_ms : int
        Latency goal, time for which callers wait, timeout of the route.
    worth, late_worth : float
        Of an answer within the goal, and of a later one.
    priority : int
        0 is served first.
    retries : int
        Most retries of one caller.
    is_repeatable : bool
        Whether a request may run twice.
    nested : NestedCalls or None
        What its targets call meanwhile.
    from_s : float
        When its callers begin.
    is_same : bool
        Whether all of them ask the very same request.
    is_fatal : bool
        Whether each target that begins such a request ends.
    workspace : str
        That all of them belong to; empty for none.
    workspace_priority : int
        Its rank, before `priority`.
    hasty_share : float
        Share of them that come back at once, whatever they are told.
    answer_bytes : int
        Size of each answer.
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
    """What happens to a load or its targets."""

    #: Rates are multiplied by `factor`.
    BURST = 'burst'
    #: Work at a share of a set's targets takes `factor` times as long.
    SLOW = 'slow'
    #: A share of a set's targets refuses `factor` of its requests.
    SHED = 'shed'
    #: Some of a set's targets end, and are back when it is over.
    END = 'end'


class Event(settings.SettingsStruct):
    """Something that happens for a while.

    Parameters
    ----------
    kind : EventKind
        What.
    at_s, for_s : float
        When, and for how long.
    factor : float
        How strongly.
    callers : str
        Name of the kind that a burst is of; empty for all of them.
    target_set : str
        To whose targets; unused for a burst.
    targets : int
        To how many of them.
    skipped : int
        How many are left out before the first one.
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
    """One load pattern.

    Parameters
    ----------
    name, pattern : str
        Of the load, and what it stands for.
    length_s : float
        Time for which callers arrive.
    targets : list of TargetGroup
        All targets; each has a host with callers and a daemon.
    callers : list of CallerKind
        All kinds of callers.
    events : list of Event
        What happens meanwhile.
    hop_ms, far_hop_ms : float
        Way between two hosts, and between two data centres.
    data_centres : list of DataCentre
        Where hosts stand; a single one where the list is empty.
    wave : Wave or None
        Of the demand.
    back_after_s : float
        Time until a target is back that has ended under a request.
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
        When it is malformed.
    """
    return settings.load_settings(path, Load)

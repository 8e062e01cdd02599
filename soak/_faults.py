"""Plans of faults: what happens when, as a seed determines."""

from collections.abc import Iterator
import enum
import random

import msgspec

from sedgering import testing
from soak import _links

__all__ = ['Fault', 'FaultKind', 'make_plan']

#: Mean time between two faults, and the shortest and longest of one.
MEAN_GAP_S = 0.7
LEAST_S = 0.3
MOST_S = 3.0
#: The same of links that are throttled, and their least and greatest width.
THROTTLE_GAP_S = 2.0
#: Mean time between two suspensions of hosts.
SUSPEND_GAP_S = 6.0
#: When a request that ends targets comes first, as a share of the plan.
FATAL_SHARE = 0.4
THROTTLE_BYTES_PER_S = (60_000, 600_000)
#: Share of faults that are followed by others at the same moment.
SERIES_SHARE = 0.25
SERIES_LENGTH = 3


class FaultKind(enum.Enum):
    """What is done."""

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
    #: A request is asked under which targets end.
    FATAL_REQUEST = 'fatal request'
    #: A target has ended under it; in no plan.
    TARGET_ENDS = 'target ends'


#: Planned work: none of it may cost a request.
PLANNED = frozenset(
    (FaultKind.TERMINATE, FaultKind.VERSION, FaultKind.TARGET_LEAVES)
)
#: Faults of the store alone cost no request.
STORE_KINDS = frozenset((FaultKind.STORE, FaultKind.STORE_LINK))
#: Faults by which a process does nothing from one moment to the next.
HALTS = frozenset((FaultKind.KILL, FaultKind.PAUSE, FaultKind.SUSPEND))
#: Faults that excuse no request that was lost.
COSTLESS = STORE_KINDS | {FaultKind.THROTTLE, FaultKind.FATAL_REQUEST}
#: Kinds of the first plans; those of later ones are drawn by themselves, so
#: that a seed keeps its plan.
_FIRST_KINDS = frozenset(FaultKind) - {
    FaultKind.THROTTLE,
    FaultKind.SUSPEND,
    FaultKind.FATAL_REQUEST,
    FaultKind.TARGET_ENDS,
}
#: How much longer they last: longer than a daemon takes to leave.
STORE_FACTOR = 3
#: Share of plans that are planned work only, and of those with the store.
PLANNED_SHARE = 0.2
_LINK_MODES = tuple(
    mode for mode in _links.LinkMode if mode is not _links.LinkMode.OPEN
)
_STORE_MODES = tuple(
    mode for mode in testing.StoreMode if mode is not testing.StoreMode.SOUND
)
_HABITS = tuple(
    habit
    for habit in testing.TargetHabit
    if habit is not testing.TargetHabit.SOUND
)
_DETAILS = {
    FaultKind.PEER_LINK: _LINK_MODES,
    FaultKind.STORE_LINK: _LINK_MODES,
    FaultKind.STORE: _STORE_MODES,
    FaultKind.TARGET_HABIT: _HABITS,
}


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    Parameters
    ----------
    at_s : float
        Seconds from the start of the plan.
    kind : FaultKind
        What is done.
    host : int
        Number of the host.
    for_s : float
        For how long, where that fits; until the start again of what ends.
    detail : str
        Mode of a link or of the store, habit of a target, or width of a
        link in bytes a second.
    """

    at_s: float
    kind: FaultKind
    host: int
    for_s: float
    detail: str = ''

    @property
    def is_planned(self) -> bool:
        """Whether operators do so on purpose."""
        return self.kind in PLANNED


def make_plan(
    seed: int, hosts: int, seconds: float, has_later_kinds: bool = False
) -> tuple[Fault, ...]:
    """Make the plan of a seed.

    Parameters
    ----------
    seed : int
        The same seed makes the same plan.
    hosts : int
        Hosts of the mesh.
    seconds : float
        Faults begin within this time.
    has_later_kinds : bool
        Whether links between daemons are narrow at times, hosts are
        suspended, and a request ends targets.
    """
    rng = random.Random(seed)
    kinds = _choose_kinds(rng)
    plan = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(1 / MEAN_GAP_S)
        if at_s >= seconds:
            if has_later_kinds:
                plan += _make_throttles(seed, hosts, seconds)
            if has_later_kinds and FaultKind.KILL in kinds:
                # Plans without unplanned work may cost no request.
                plan += _make_suspensions(seed, hosts, seconds)
                plan.append(_make_fatal(seed, seconds))
            return tuple(sorted(plan, key=lambda fault: fault.at_s))
        is_series = rng.random() < SERIES_SHARE
        for _ in range(SERIES_LENGTH if is_series else 1):
            plan.append(_make_fault(rng, kinds, at_s, hosts))


def _make_throttles(seed: int, hosts: int, seconds: float) -> Iterator[Fault]:
    """Make the times at which links between daemons are narrow.

    They are drawn by themselves: the other faults of a seed stay.
    """
    rng = random.Random(f'throttles {seed}')
    at_s = rng.expovariate(1 / THROTTLE_GAP_S)
    while at_s < seconds:
        host, for_s = rng.randrange(hosts), rng.uniform(LEAST_S, MOST_S)
        rate = str(rng.randint(*THROTTLE_BYTES_PER_S))
        yield Fault(at_s, FaultKind.THROTTLE, host, for_s, rate)
        at_s += rng.expovariate(1 / THROTTLE_GAP_S)


def _make_suspensions(
    seed: int, hosts: int, seconds: float
) -> Iterator[Fault]:
    """Make the times for which hosts are suspended, drawn by themselves."""
    rng = random.Random(f'suspensions {seed}')
    at_s = rng.expovariate(1 / SUSPEND_GAP_S)
    while at_s < seconds:
        host, for_s = rng.randrange(hosts), rng.uniform(LEAST_S, MOST_S)
        yield Fault(at_s, FaultKind.SUSPEND, host, for_s)
        at_s += rng.expovariate(1 / SUSPEND_GAP_S)


def _make_fatal(seed: int, seconds: float) -> Fault:
    """Make the time for which a request is asked that ends targets."""
    rng = random.Random(f'fatal {seed}')
    at_s = rng.uniform(0, FATAL_SHARE * seconds)
    return Fault(at_s, FaultKind.FATAL_REQUEST, 0, seconds - at_s)


def _choose_kinds(rng: random.Random) -> list[FaultKind]:
    """Choose what a plan is made of.

    Some plans are planned work only, alone or with the store away, and may
    cost no request.
    """
    draw = rng.random()
    kinds = _FIRST_KINDS
    if draw < PLANNED_SHARE:
        kinds = PLANNED
    elif draw < 2 * PLANNED_SHARE:
        kinds = PLANNED | STORE_KINDS
    return sorted(kinds, key=lambda kind: kind.value)


def _make_fault(
    rng: random.Random, kinds: list[FaultKind], at_s: float, hosts: int
) -> Fault:
    kind = rng.choice(kinds)
    details = _DETAILS.get(kind)
    for_s = rng.uniform(LEAST_S, MOST_S)
    if kind in STORE_KINDS:
        for_s *= STORE_FACTOR
    return Fault(
        at_s,
        kind,
        rng.randrange(hosts),
        for_s,
        rng.choice(details).value if details else '',
    )

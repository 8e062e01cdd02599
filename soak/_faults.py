"""Plans of faults and their times, determined by a seed."""

from collections.abc import Iterator
import random

from sedgering import testing
from soak import _links
from soak import _signals

__all__ = ['Fault', 'FaultKind', 'has_unplanned_faults', 'make_plan']

#: Mean time between faults, and the range of their durations.
MEAN_GAP_S = 0.7
MIN_DURATION_S = 0.3
MAX_DURATION_S = 3.0
#: Mean time between two throttled links.
MEAN_THROTTLE_GAP_S = 2.0
#: Mean time between two suspended hosts.
MEAN_SUSPEND_GAP_S = 6.0
#: Mean time between two targets that state something, the range of the time
#: for which they do, and the share of limits.
MEAN_SIGNAL_GAP_S = 2.5
SIGNAL_DURATION_S = (3.0, 9.0)
LIMIT_SHARE = 0.7
#: Mean time between two departures around a restart, the range of the time
#: for which the target goes on serving, and the ends of the daemon beside it.
MEAN_DEPARTURE_GAP_S = 3.0
DEPARTURE_DURATION_S = (3.0, 6.0)
PLANNED_ENDS = ('terminate', 'terminate|terminate')
UNPLANNED_ENDS = ('kill', 'kill|kill', 'terminate|kill', 'kill|terminate')
#: Requests that crash targets start within this share of the plan.
FATAL_START_SHARE = 0.4
#: Range of the rate of a throttled link.
THROTTLE_BYTES_PER_S = (60_000, 600_000)
#: Share of faults that start together with others, and their number.
SERIES_SHARE = 0.25
FAULTS_PER_SERIES = 3

Fault = testing.Fault
FaultKind = testing.FaultKind
#: Kinds drawn in the base plan.  The others use generators of their own, so
#: that they do not change the base plan of a seed.
_BASE_KINDS = frozenset(FaultKind) - {
    FaultKind.THROTTLE,
    FaultKind.SUSPEND,
    FaultKind.FATAL_REQUEST,
    FaultKind.TARGET_ENDS,
    *testing.SIGNAL_KINDS,
    *testing.DEPARTURE_KINDS,
    *testing.HOST_PLAN_KINDS,
    *testing.DAY_KINDS,
    *testing.STRAIN_KINDS,
}
#: Store faults are longer by this factor, so that they outlast the shutdown
#: of a daemon.
STORE_DURATION_FACTOR = 3
#: Share of plans with planned operations only, and also of plans with planned
#: operations and store faults.
PLANNED_PLAN_SHARE = 0.2
_LINK_MODES = tuple(
    mode for mode in _links.LinkMode if mode is not _links.LinkMode.OPEN
)
_STORE_MODES = tuple(
    mode for mode in testing.StoreMode if mode is not testing.StoreMode.SOUND
)
_HABITS = tuple(
    habit
    for habit in testing.TargetHabit
    if habit
    not in (
        testing.TargetHabit.SOUND,
        testing.TargetHabit.EXTRA_RESPONSE_LATE,
    )
)
_DETAILS_BY_KIND = {
    FaultKind.PEER_LINK: _LINK_MODES,
    FaultKind.STORE_LINK: _LINK_MODES,
    FaultKind.STORE: _STORE_MODES,
    FaultKind.TARGET_HABIT: _HABITS,
}


def make_plan(
    seed: int, hosts: int, seconds: float, has_extra_kinds: bool = False
) -> tuple[Fault, ...]:
    """Make the plan of a seed.

    Parameters
    ----------
    seed : int
        Seed; the same one gives the same plan.
    hosts : int
        Number of hosts in the mesh.
    seconds : float
        Period in which faults start.
    has_later_kinds : bool
        Whether links between daemons are throttled, hosts are suspended,
        and a request crashes targets.
    """
    rng = random.Random(seed)
    kinds = _choose_kinds(rng)
    plan = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(1 / MEAN_GAP_S)
        if at_s >= seconds:
            if has_extra_kinds:
                plan += _make_throttles(seed, hosts, seconds)
                plan += _make_signals(seed, hosts, seconds)
                ends = PLANNED_ENDS
                if FaultKind.KILL in kinds:
                    ends += UNPLANNED_ENDS
                plan += _make_departures(seed, hosts, seconds, ends)
            if has_extra_kinds and FaultKind.KILL in kinds:
                # Plans of planned operations must not cause requests to fail.
                plan += _make_suspensions(seed, hosts, seconds)
                plan.append(_make_fatal_request(seed, seconds))
            return tuple(sorted(plan, key=lambda fault: fault.at_s))
        is_series = rng.random() < SERIES_SHARE
        for _ in range(FAULTS_PER_SERIES if is_series else 1):
            plan.append(_make_fault(rng, kinds, at_s, hosts))


def has_unplanned_faults(seed: int) -> bool:
    """Whether daemons are killed in the plan of a seed."""
    return FaultKind.KILL in _choose_kinds(random.Random(seed))


def _make_throttles(seed: int, hosts: int, seconds: float) -> Iterator[Fault]:
    """Make the faults that throttle links between daemons.

    They have a generator of their own and leave the base plan unchanged.
    """
    rng = random.Random(f'throttles {seed}')
    for at_s in _draw_times(rng, MEAN_THROTTLE_GAP_S, seconds):
        host, for_s = _draw_host_and_duration(rng, hosts)
        bytes_per_s = str(rng.randint(*THROTTLE_BYTES_PER_S))
        yield Fault(at_s, FaultKind.THROTTLE, host, for_s, bytes_per_s)


def _make_suspensions(
    seed: int, hosts: int, seconds: float
) -> Iterator[Fault]:
    """Make the suspensions of hosts, from a generator of their own."""
    rng = random.Random(f'suspensions {seed}')
    for at_s in _draw_times(rng, MEAN_SUSPEND_GAP_S, seconds):
        host, for_s = _draw_host_and_duration(rng, hosts)
        yield Fault(at_s, FaultKind.SUSPEND, host, for_s)


def _draw_times(
    rng: random.Random, mean_gap_s: float, seconds: float
) -> Iterator[float]:
    """Draw times; each one only after what its consumer drew before it."""
    at_s = rng.expovariate(1 / mean_gap_s)
    while at_s < seconds:
        yield at_s
        at_s += rng.expovariate(1 / mean_gap_s)


def _draw_host_and_duration(
    rng: random.Random, hosts: int
) -> tuple[int, float]:
    return (
        rng.randrange(hosts),
        rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
    )


def _make_signals(seed: int, hosts: int, seconds: float) -> Iterator[Fault]:
    """Make the limits and departures that targets state.

    They have a generator of their own, and last longer than other faults: a
    limit binds some seconds after it was stated.
    """
    rng = random.Random(f'signals {seed}')
    for at_s in _draw_times(rng, MEAN_SIGNAL_GAP_S, seconds):
        host = rng.randrange(hosts)
        for_s = rng.uniform(*SIGNAL_DURATION_S)
        if rng.random() < LIMIT_SHARE:
            detail = _signals.choose_limits(rng)
            yield Fault(at_s, FaultKind.TARGET_LIMIT, host, for_s, detail)
        else:
            yield Fault(at_s, FaultKind.UNREPORTED_LEAVE, host, for_s)


def _make_departures(
    seed: int, hosts: int, seconds: float, ends: tuple[str, ...]
) -> Iterator[Fault]:
    """Make departures around a restart, from a generator of their own."""
    rng = random.Random(f'departures {seed}')
    for at_s in _draw_times(rng, MEAN_DEPARTURE_GAP_S, seconds):
        form = rng.choice(('draining', 'deregister'))
        detail = f'{form}|{rng.choice(ends)}'
        for_s = rng.uniform(*DEPARTURE_DURATION_S)
        host = rng.randrange(hosts)
        yield Fault(at_s, FaultKind.LEAVE_AND_RESTART, host, for_s, detail)


def _make_fatal_request(seed: int, seconds: float) -> Fault:
    """Make the period in which a request that crashes targets is sent."""
    rng = random.Random(f'fatal {seed}')
    at_s = rng.uniform(0, FATAL_START_SHARE * seconds)
    return Fault(at_s, FaultKind.FATAL_REQUEST, 0, seconds - at_s)


def _choose_kinds(rng: random.Random) -> list[FaultKind]:
    """Choose the kinds of faults in a plan.

    Some plans consist of planned operations, with or without faults of the
    store, and must not cause requests to fail.
    """
    fraction = rng.random()
    kinds = _BASE_KINDS
    if fraction < PLANNED_PLAN_SHARE:
        kinds = testing.PLANNED_KINDS
    elif fraction < 2 * PLANNED_PLAN_SHARE:
        kinds = testing.PLANNED_KINDS | testing.STORE_KINDS
    return sorted(kinds, key=lambda kind: kind.value)


def _make_fault(
    rng: random.Random, kinds: list[FaultKind], at_s: float, hosts: int
) -> Fault:
    kind = rng.choice(kinds)
    details = _DETAILS_BY_KIND.get(kind)
    for_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
    if kind in testing.STORE_KINDS:
        for_s *= STORE_DURATION_FACTOR
    return Fault(
        at_s,
        kind,
        rng.randrange(hosts),
        for_s,
        rng.choice(details).value if details else '',
    )

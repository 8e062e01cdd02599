"""A rollout of a new version of targets, ordered amid series of restarts."""

from collections.abc import Iterator
import json
import random

import msgspec

from soak import _faults

__all__ = [
    'DURATION_S',
    'NEW_HOSTS',
    'NEW_VERSION',
    'OLD_VERSION',
    'Rollout',
    'RolloutPlan',
    'check_rollout',
    'encode_order',
    'make_rollout_plan',
    'read_state',
]

OLD_VERSION = 'v1'
NEW_VERSION = 'v2'
#: Hosts that join with targets of the new version.
NEW_HOSTS = 3
#: Time within which the operator wants a verdict.
DURATION_S = 16.0
#: Share of the calls, and calls beyond it, that a bad version may get.
EXPOSED_SHARE = 0.1
EXPOSED_SLACK = 50
#: Range of the time of the order, from the start of the plan.
ORDER_S = (3.0, 6.0)
#: Range of the time from the start of the new targets to the order.
JOINED_BEFORE_S = (0.2, 2.5)
#: Range of the start of a series of restarts, from the order.
SERIES_START_S = (-3.0, 9.0)
MAX_SERIES = 3
#: Longest pause between two restarts of a series.
MAX_GAP_S = 1.0
#: Share of series in which all daemons end at once.
AT_ONCE_SHARE = 0.4

_Kind = _faults.FaultKind


class RolloutPlan(msgspec.Struct, frozen=True):
    """When a version is ordered, and which daemons restart around that.

    Parameters
    ----------
    is_good : bool
        Whether the new version answers its calls.
    order_s, join_s : float
        Time of the order and of the start of the new targets, from the start
        of the plan.
    restarts : tuple of Fault
        Daemons that are killed or terminated, in the order of time.
    """

    is_good: bool
    order_s: float
    join_s: float
    restarts: tuple[_faults.Fault, ...]


class Rollout(msgspec.Struct):
    """What was ordered, and what the operator has read.

    Parameters
    ----------
    plan : RolloutPlan
        The plan.
    sent_s, ordered_s : float
        When the order was first sent, and when the store acknowledged it, on
        the monotonic clock; infinite before.  Between the two it may have been
        written.
    state : str
        Last state that the operator read within the duration.
    """

    plan: RolloutPlan
    sent_s: float = float('inf')
    ordered_s: float = float('inf')
    state: str = ''


def make_rollout_plan(seed: int, hosts: int) -> RolloutPlan:
    """Make the plan of a seed, from a generator of its own.

    Parameters
    ----------
    seed : int
        Seed; the same one gives the same plan.
    hosts : int
        Number of hosts with targets of the old version; those with targets of
        the new one follow them.
    """
    rng = random.Random(f'rollout {seed}')
    order_s = rng.uniform(*ORDER_S)
    join_s = order_s - rng.uniform(*JOINED_BEFORE_S)
    old = list(range(hosts))
    new = list(range(hosts, hosts + NEW_HOSTS))
    kinds = [_Kind.TERMINATE]
    if _faults.has_unplanned_faults(seed):
        kinds.append(_Kind.KILL)
    restarts = []
    for _ in range(rng.randint(1, MAX_SERIES)):
        at_s = max(0.0, order_s + rng.uniform(*SERIES_START_S))
        gap_s = rng.uniform(0.0, MAX_GAP_S)
        if rng.random() < AT_ONCE_SHARE:
            gap_s = 0.0
        kind = rng.choice(kinds)
        for host in rng.choice((old, new, old + new)):
            restarts.append(_faults.Fault(at_s, kind, host, 0.0))
            at_s += gap_s
    restarts.sort(key=lambda fault: fault.at_s)
    is_good = rng.random() < 0.5
    return RolloutPlan(is_good, order_s, join_s, tuple(restarts))


def encode_order() -> bytes:
    """Encode the order of the new version."""
    order = {
        'service': 'calendar',
        'to': NEW_VERSION,
        'duration': f'{DURATION_S:g}s',
    }
    return json.dumps(order).encode()


def read_state(value: bytes) -> str:
    """Return the state in the status that the operator reads."""
    return json.loads(value)['state']


def check_rollout(
    rollout: Rollout | None,
    runs_s: dict[str, list[float]],
    disturbances: list,
) -> Iterator[str]:
    """Check what the new version got, and how its rollout ended.

    Parameters
    ----------
    rollout : Rollout or None
        The rollout, if one was ordered.
    runs_s : dict
        Times at which requests began to run, by version.
    disturbances : list of Disturbance
        All faults.
    """
    if rollout is None:
        return
    new_s = runs_s.get(NEW_VERSION, [])
    early = sum(run_s < rollout.sent_s for run_s in new_s)
    if early:
        yield f'{early} requests reached the new version before its order'
    if not rollout.plan.is_good:
        yield from _check_exposure(rollout, runs_s)
        return
    is_planned = all(item.fault.is_planned for item in disturbances)
    if is_planned and rollout.state != 'succeeded':
        yield f'a good version ended as {rollout.state or "not begun"}'


def _check_exposure(
    rollout: Rollout, runs_s: dict[str, list[float]]
) -> Iterator[str]:
    end_s = rollout.ordered_s + DURATION_S
    counts = {
        version: sum(rollout.ordered_s <= run_s < end_s for run_s in times_s)
        for version, times_s in runs_s.items()
    }
    exposed, total = counts.get(NEW_VERSION, 0), sum(counts.values())
    if exposed > EXPOSED_SHARE * total + EXPOSED_SLACK:
        yield f'a bad version got {exposed} of {total} requests'
    if rollout.state == 'succeeded':
        yield 'a bad version succeeded'

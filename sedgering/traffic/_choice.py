"""Which target set and which target a request goes to."""

from collections.abc import Collection
from collections.abc import Sequence
import random

from sedgering import base
from sedgering import bundle as bundles
from sedgering import membership
from sedgering.traffic import _load

__all__ = ['choose_endpoint', 'choose_target_set']

#: Share of a target set that may be ejected; with more, nobody is, since
#: a view from which most look bad is more likely wrong than right.
EJECTED_LIMIT_PERCENT = 50
#: Busy share above which other data centres are considered, too.
SPILL_SHARE = 0.8


def choose_target_set(
    route: bundles.Route, rng: random.Random
) -> base.TargetSetName:
    """Choose a target set of a route by weight."""
    if len(route.targets) == 1:
        return route.targets[0].target_set
    weights = [share.weight for share in route.targets]
    (share,) = rng.choices(route.targets, weights)
    return share.target_set


def choose_endpoint(
    endpoints: Sequence[membership.Endpoint],
    tried: Collection[membership.Endpoint],
    loads: _load.LoadTable,
    data_centre: base.DataCentre,
    rng: random.Random,
    now_ms: int,
) -> membership.Endpoint | None:
    """Choose the better one of two random targets.

    Parameters
    ----------
    endpoints : sequence of Endpoint
        Targets that take new work.
    tried : collection of Endpoint
        Targets that this request was at already.
    loads : LoadTable
        What this proxy knows of them.
    data_centre : DataCentre
        Preferred while its targets are not busy.
    rng : random.Random
        Source of the choice.
    now_ms : int
        Monotonic time in milliseconds.

    Returns
    -------
    Endpoint or None
        None when there is nobody left to try.

    References
    ----------
    .. [1] M. Mitzenmacher, "The power of two choices in randomized load
       balancing", IEEE Transactions on Parallel and Distributed Systems,
       2001.
    """
    sound = _drop_ejected(endpoints, loads, now_ms)
    free = [
        endpoint
        for endpoint in sound
        if endpoint not in tried and loads.free(endpoint, now_ms) > 0
    ]
    near = [item for item in free if item.data_centre == data_centre]
    chosen = _choose_of_two(near, loads, rng, now_ms)
    if chosen and loads.busy_share(chosen, now_ms) <= SPILL_SHARE:
        return chosen
    return _choose_of_two(free, loads, rng, now_ms)


def _drop_ejected(
    endpoints: Sequence[membership.Endpoint],
    loads: _load.LoadTable,
    now_ms: int,
) -> Sequence[membership.Endpoint]:
    sound = [
        endpoint
        for endpoint in endpoints
        if not loads.is_ejected(endpoint, now_ms)
    ]
    ejected = len(endpoints) - len(sound)
    if 100 * ejected > EJECTED_LIMIT_PERCENT * len(endpoints):
        return endpoints
    return sound


def _choose_of_two(
    candidates: Sequence[membership.Endpoint],
    loads: _load.LoadTable,
    rng: random.Random,
    now_ms: int,
) -> membership.Endpoint | None:
    if len(candidates) < 2:
        return candidates[0] if candidates else None
    first, second = rng.sample(candidates, 2)
    if loads.score(second, now_ms) < loads.score(first, now_ms):
        return second
    return first

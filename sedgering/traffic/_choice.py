"""Which target set and which target a request goes to."""

from collections.abc import Collection
from collections.abc import Sequence
import random

from sedgering import base
from sedgering import bundle as bundles
from sedgering import membership
from sedgering.traffic import _load

__all__ = ['choose_endpoint', 'choose_target_set']

#: Consecutive failures after which a target is chosen only if all are bad.
FAILURE_LIMIT = 3


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
        Preferred while its targets have free slots.
    rng : random.Random
        Source of the choice.

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
    free = [
        endpoint
        for endpoint in endpoints
        if endpoint not in tried and loads.in_flight(endpoint) < endpoint.slots
    ]
    sound = [
        endpoint
        for endpoint in free
        if loads.failures(endpoint) < FAILURE_LIMIT
    ]
    candidates = sound or free
    near = [
        endpoint
        for endpoint in candidates
        if endpoint.data_centre == data_centre
    ]
    candidates = near or candidates
    if not candidates:
        return None
    first = rng.choice(candidates)
    second = rng.choice(candidates)
    if _load_share(second, loads) < _load_share(first, loads):
        return second
    return first


def _load_share(
    endpoint: membership.Endpoint, loads: _load.LoadTable
) -> float:
    return loads.in_flight(endpoint) / endpoint.slots

"""Refill rates and bucket capacities that enforce a workspace's quota.

In any window of W seconds no more than B requests of a workspace may run,

    B = (rate x W + burst) x (1 + excess) + slack.

Each request spends a token, which was taken from a bucket at most
`TOKEN_LIFETIME_S` earlier.  All buckets of a workspace together are refilled
at R tokens a second and hold at most C tokens, so in any window

    runs <= C + R x (W + TOKEN_LIFETIME_S) <= B.

A plan holds the parts of R and C that belong to one partition.
"""

from collections.abc import Iterable

import msgspec

from sedgering import base
from sedgering import bundle as bundles
from sedgering.quota import _ranking

__all__ = ['QuotaBounds', 'QuotaPlan', 'TOKEN_LIFETIME_S', 'make_plans']

#: For how long a daemon may spend a token after the request that got it.  A
#: longer lifetime leaves less of the bound for bursts; with a shorter one more
#: prefetched tokens expire unused.
TOKEN_LIFETIME_S = 0.7
#: Share of the bound that is used.  For a moment after a host joins, daemons
#: divide the rates by slightly different numbers of hosts.
USED_SHARE = 0.97
#: Largest share of the bound that refilling takes: the rest is the capacity,
#: which can be granted at once.
REFILL_SHARE = 0.9
#: Share of the capacity for daemons that reach no allocator.
STANDALONE_SHARE = 0.3


class QuotaBounds(msgspec.Struct, frozen=True):
    """What may run beyond the quotas, over the whole fleet.

    Parameters
    ----------
    window_s : float
        Length of the window in which requests are counted.
    excess : float
        Share by which a quota may be exceeded.
    slack : float
        Number of requests by which it may be exceeded in addition.
    """

    window_s: float
    excess: float
    slack: float


class QuotaPlan(msgspec.Struct, frozen=True):
    """Refill rate and capacities of a workspace in one partition.

    Parameters
    ----------
    rate_per_s : float
        Refill rate, in tokens a second, of all buckets together.
    capacity : float
        Capacity, in tokens, of the buckets of all allocators together.
    standalone_capacity : float
        Capacity, in tokens, of the buckets of all daemons together that reach
        no allocator.
    """

    rate_per_s: float
    capacity: float
    standalone_capacity: float


def make_plans(
    workspaces: Iterable[bundles.Workspace], bounds: QuotaBounds
) -> dict[base.WorkspaceName, QuotaPlan]:
    """Make the plans of all workspaces that have a quota.

    Parameters
    ----------
    workspaces : iterable of Workspace
        Workspaces of the bundle in force.
    bounds : QuotaBounds
        What may run beyond the quotas.
    """
    return {
        workspace.name: _make_plan(workspace, bounds)
        for workspace in workspaces
        if workspace.rate_per_s
    }


def _make_plan(workspace: bundles.Workspace, bounds: QuotaBounds) -> QuotaPlan:
    rate_per_s = float(workspace.rate_per_s)
    quota = rate_per_s * bounds.window_s + workspace.burst
    bound = (quota * (1 + bounds.excess) + bounds.slack) * USED_SHARE
    length_s = bounds.window_s + TOKEN_LIFETIME_S
    refill_per_s = min(rate_per_s, bound * REFILL_SHARE / length_s)
    capacity = bound - refill_per_s * length_s
    standalone = capacity * STANDALONE_SHARE
    partitions = _ranking.PARTITIONS_PER_SHARD
    return QuotaPlan(
        refill_per_s / partitions,
        (capacity - standalone) / partitions,
        standalone / partitions,
    )

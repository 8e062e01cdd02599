"""What the quota of a workspace leaves to lend: rate, room, and the sum.

In any window of W seconds no more than B requests of a workspace may run,

    B = (rate x W + burst) x (1 + excess) + slack.

Each request spends a token, which is taken from some bucket at most
`TOKEN_S` before.  All buckets together are refilled at R and hold no more
than C, so in any window

    runs <= C + R x (W + TOKEN_S) <= B.

A plan has the part of R and C of one lane.
"""

from collections.abc import Iterable

import msgspec

from sedgering import base
from sedgering import bundle as bundles
from sedgering.quota import _ranking

__all__ = ['QuotaBounds', 'QuotaPlan', 'TOKEN_S', 'make_plans']

#: For how long a token may be spent by the daemon that it was granted to.
#: Longer, more must be kept back of each burst; shorter, more of the tokens
#: that were fetched ahead end unused.
TOKEN_S = 0.7
#: Share of the bound that is used.  Daemons count the fleet's hosts a little
#: differently for the moment in which one comes.
USED_SHARE = 0.97
#: Share of it that refilling takes at most: the rest is what can be asked
#: for at once.
REFILL_SHARE = 0.9
#: Share of the room that is for daemons that reach no other one.
ALONE_SHARE = 0.3


class QuotaBounds(msgspec.Struct, frozen=True):
    """What may run beyond the quotas, over the whole fleet.

    Parameters
    ----------
    window_s : float
        Length of the window in which requests are counted.
    excess : float
        Share by which a quota may be passed.
    slack : float
        Requests by which it may be passed besides.
    """

    window_s: float
    excess: float
    slack: float


class QuotaPlan(msgspec.Struct, frozen=True):
    """How the tokens of a workspace come about.

    Parameters
    ----------
    rate_per_s : float
        At which all buckets of a lane together are refilled.
    capacity : float
        Of the buckets of all keepers of a lane together.
    alone_capacity : float
        Of the buckets of all daemons that are alone in a lane.
    """

    rate_per_s: float
    capacity: float
    alone_capacity: float


def make_plans(
    workspaces: Iterable[bundles.Workspace], bounds: QuotaBounds
) -> dict[base.WorkspaceName, QuotaPlan]:
    """Make the plans of all workspaces that have a quota.

    Parameters
    ----------
    workspaces : iterable of Workspace
        Of the bundle in force.
    bounds : QuotaBounds
        What may run beyond.
    """
    return {
        workspace.name: _make_plan(workspace, bounds)
        for workspace in workspaces
        if workspace.rate_per_s
    }


def _make_plan(workspace: bundles.Workspace, bounds: QuotaBounds) -> QuotaPlan:
    rate_per_s = float(workspace.rate_per_s)
    usual = rate_per_s * bounds.window_s + workspace.burst
    bound = (usual * (1 + bounds.excess) + bounds.slack) * USED_SHARE
    length_s = bounds.window_s + TOKEN_S
    refill_per_s = min(rate_per_s, bound * REFILL_SHARE / length_s)
    room = bound - refill_per_s * length_s
    alone = room * ALONE_SHARE
    lanes = _ranking.LANES
    return QuotaPlan(
        refill_per_s / lanes, (room - alone) / lanes, alone / lanes
    )

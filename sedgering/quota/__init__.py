"""Quotas of workspaces, kept by the whole fleet without a coordinator.

The tokens of a workspace come from buckets of daemons that are ranked by a
hash of its shard; each daemon lends its part of every rate to the one that it
asks.
Decisions only: no sockets, clocks or tasks (docs/design/0020).
"""

from sedgering.quota._book import ShardBook
from sedgering.quota._hosts import HostLog
from sedgering.quota._keeper import QuotaKeeper
from sedgering.quota._link import LEASE_S
from sedgering.quota._link import ShardLink
from sedgering.quota._messages import QuotaAsk
from sedgering.quota._messages import QuotaGrant
from sedgering.quota._messages import QuotaNeed
from sedgering.quota._messages import QuotaStamp
from sedgering.quota._plan import make_plans
from sedgering.quota._plan import QuotaBounds
from sedgering.quota._plan import QuotaPlan
from sedgering.quota._plan import TOKEN_S
from sedgering.quota._purse import Permit
from sedgering.quota._purse import QuotaPurse
from sedgering.quota._ranking import choose_lane
from sedgering.quota._ranking import count_shards
from sedgering.quota._ranking import find_lanes
from sedgering.quota._ranking import holds_workspace
from sedgering.quota._ranking import LANES
from sedgering.quota._ranking import list_lanes
from sedgering.quota._ranking import rank_keepers
from sedgering.quota._ranking import ShardId
from sedgering.quota._reserve import AloneReserve

__all__ = [
    'AloneReserve',
    'HostLog',
    'LANES',
    'LEASE_S',
    'Permit',
    'QuotaAsk',
    'QuotaBounds',
    'QuotaGrant',
    'QuotaKeeper',
    'QuotaNeed',
    'QuotaPlan',
    'QuotaStamp',
    'ShardBook',
    'ShardId',
    'ShardLink',
    'TOKEN_S',
    'QuotaPurse',
    'choose_lane',
    'count_shards',
    'find_lanes',
    'holds_workspace',
    'list_lanes',
    'make_plans',
    'rank_keepers',
]

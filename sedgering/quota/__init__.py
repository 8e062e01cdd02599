"""Workspace quotas, enforced by all daemons without a coordinator.

Each rate is divided equally among the hosts.  Workspaces are hashed to
shards, and daemons are ranked by a hash of each shard.  The first in rank
that answers is the allocator: the other daemons lease it their shares of the
rates, it fills token buckets with them and grants the tokens.

This package only decides; it uses no sockets, clocks or tasks
(docs/design/0020).
"""

from sedgering.quota._allocator import QuotaAllocator
from sedgering.quota._buckets import LeasedBuckets
from sedgering.quota._hosts import HostTracker
from sedgering.quota._messages import QuotaGrant
from sedgering.quota._messages import QuotaNeed
from sedgering.quota._messages import QuotaRequest
from sedgering.quota._messages import QuotaStamp
from sedgering.quota._permit_cache import Permit
from sedgering.quota._permit_cache import PermitCache
from sedgering.quota._plan import make_plans
from sedgering.quota._plan import QuotaBounds
from sedgering.quota._plan import QuotaPlan
from sedgering.quota._plan import TOKEN_LIFETIME_S
from sedgering.quota._ranking import choose_first_partition
from sedgering.quota._ranking import count_shards
from sedgering.quota._ranking import find_partitions
from sedgering.quota._ranking import holds_workspace
from sedgering.quota._ranking import list_partitions
from sedgering.quota._ranking import PartitionId
from sedgering.quota._ranking import PARTITIONS_PER_SHARD
from sedgering.quota._ranking import rank_allocators
from sedgering.quota._session import AllocatorSession
from sedgering.quota._session import LEASE_S
from sedgering.quota._standalone import StandaloneBuckets

__all__ = [
    'AllocatorSession',
    'HostTracker',
    'LEASE_S',
    'LeasedBuckets',
    'PARTITIONS_PER_SHARD',
    'PartitionId',
    'Permit',
    'PermitCache',
    'QuotaAllocator',
    'QuotaBounds',
    'QuotaGrant',
    'QuotaNeed',
    'QuotaPlan',
    'QuotaRequest',
    'QuotaStamp',
    'StandaloneBuckets',
    'TOKEN_LIFETIME_S',
    'choose_first_partition',
    'count_shards',
    'find_partitions',
    'holds_workspace',
    'list_partitions',
    'make_plans',
    'rank_allocators',
]

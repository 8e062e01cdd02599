"""Assigns workspaces to shards, and daemons to the partitions of a shard.

Workspaces are hashed to shards.  Each shard has two partitions; each of them
has its own allocator and half of each rate.  When one allocator crashes, the
other partition still grants tokens until the hosts have leased their shares to
a successor.
"""

from collections.abc import Iterable
import hashlib
from typing import NewType

from sedgering import base

__all__ = [
    'PARTITIONS_PER_SHARD',
    'PartitionId',
    'check_partition',
    'choose_first_partition',
    'count_shards',
    'find_partitions',
    'holds_workspace',
    'list_partitions',
    'rank_allocators',
    'rank_hosts',
]

#: Names a partition, its shard and the number of shards.  Daemons that
#: disagree on that number use different ids, so their leases are kept apart.
PartitionId = NewType('PartitionId', str)

#: Smallest number of hosts per shard when there is more than one shard; there
#: are always fewer than twice as many.  An allocator answers each host about
#: five times a second.
HOSTS_PER_SHARD = 64
PARTITIONS_PER_SHARD = 2


def count_shards(hosts: int) -> int:
    """Return the number of shards: a power of two, so that it seldom changes.

    Parameters
    ----------
    hosts : int
        Number of hosts in the fleet.
    """
    shards = 1
    while shards * 2 * HOSTS_PER_SHARD <= hosts:
        shards *= 2
    return shards


def list_partitions(shards: int) -> list[PartitionId]:
    """Return the ids of all partitions of all shards."""
    return [
        _make_id(partition, shard, shards)
        for shard in range(shards)
        for partition in range(PARTITIONS_PER_SHARD)
    ]


def find_partitions(
    workspace: base.WorkspaceName, shards: int
) -> list[PartitionId]:
    """Return the partitions that grant tokens of a workspace."""
    shard = _hash(workspace) % shards
    return [
        _make_id(partition, shard, shards)
        for partition in range(PARTITIONS_PER_SHARD)
    ]


def choose_first_partition(
    host: base.HostId, workspace: base.WorkspaceName
) -> int:
    """Return the number of the partition that a daemon asks first.

    Half of the daemons ask each partition first, so that both are used
    equally.
    """
    return _hash(f'{host} {workspace}') % PARTITIONS_PER_SHARD


def holds_workspace(
    partition_id: PartitionId, workspace: base.WorkspaceName
) -> bool:
    """Whether a partition grants tokens of a workspace."""
    _partition, shard, shards = _split_id(partition_id)
    return _hash(workspace) % shards == shard


def check_partition(partition_id: PartitionId) -> PartitionId:
    """Return the id of a partition if it is valid.

    Raises
    ------
    ValueError
        If the id is invalid.
    """
    _split_id(partition_id)
    return partition_id


def rank_allocators(
    hosts: Iterable[base.HostId], partition_id: PartitionId
) -> list[base.HostId]:
    """Return the possible allocators of a partition, the best first.

    The two partitions of a shard rank the hosts in opposite orders, so the
    successor of a crashed allocator is not the allocator of the other
    partition.
    """
    partition, shard, shards = _split_id(partition_id)
    ranked = rank_hosts(hosts, f'{shard}/{shards}')
    return ranked[::-1] if partition else ranked


def rank_hosts(hosts: Iterable[base.HostId], salt: str) -> list[base.HostId]:
    """Return hosts in an order on which all daemons agree.

    Parameters
    ----------
    hosts : iterable of HostId
        Hosts to rank.
    salt : str
        Gives each shard an order of its own.
    """
    return sorted(hosts, key=lambda host: (_hash(f'{salt} {host}'), host))


def _make_id(partition: int, shard: int, shards: int) -> PartitionId:
    return PartitionId(f'{partition}/{shard}/{shards}')


def _split_id(partition_id: PartitionId) -> tuple[int, int, int]:
    partition, shard, shards = map(int, partition_id.split('/'))
    if not (0 <= partition < PARTITIONS_PER_SHARD and 0 <= shard < shards):
        raise ValueError(partition_id)
    return partition, shard, shards


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')

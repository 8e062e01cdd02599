"""Which daemons keep the tokens of which workspaces.

Workspaces are divided into shards.  Each shard has two lanes with a keeper
each and half of all rates: when one ends without a word, what the other has
left serves until its successor is lent to.
"""

from collections.abc import Iterable
import hashlib
from typing import NewType

from sedgering import base

__all__ = [
    'LANES',
    'ShardId',
    'check_lane',
    'choose_lane',
    'count_shards',
    'find_lanes',
    'holds_workspace',
    'list_lanes',
    'rank_hosts',
    'rank_keepers',
]

#: Names a lane, its shard and the number of shards: daemons that disagree on
#: the number ask for different ones, and what they lend is kept apart.
ShardId = NewType('ShardId', str)

#: Hosts for each shard, up to twice as many: a keeper answers each of them
#: some five times a second.
HOSTS_PER_SHARD = 64
LANES = 2


def count_shards(hosts: int) -> int:
    """Return the number of shards: a power of two, so that it seldom changes.

    Parameters
    ----------
    hosts : int
        Of the fleet.
    """
    shards = 1
    while shards * 2 * HOSTS_PER_SHARD <= hosts:
        shards *= 2
    return shards


def list_lanes(shards: int) -> list[ShardId]:
    """Return the ids of all lanes."""
    return [
        _make_id(lane, number, shards)
        for number in range(shards)
        for lane in range(LANES)
    ]


def find_lanes(workspace: base.WorkspaceName, shards: int) -> list[ShardId]:
    """Return the lanes of a workspace."""
    number = _hash(workspace) % shards
    return [_make_id(lane, number, shards) for lane in range(LANES)]


def choose_lane(host: base.HostId, workspace: base.WorkspaceName) -> int:
    """Return the lane that a daemon asks first for a workspace.

    Half of the daemons ask each, so that both are used alike.
    """
    return _hash(f'{host} {workspace}') % LANES


def holds_workspace(shard: ShardId, workspace: base.WorkspaceName) -> bool:
    """Whether a workspace belongs to a lane."""
    _lane, number, shards = _split_id(shard)
    return _hash(workspace) % shards == number


def check_lane(shard: ShardId) -> ShardId:
    """Return the id of a lane.

    Raises
    ------
    ValueError
        When it is none.
    """
    _split_id(shard)
    return shard


def rank_keepers(
    hosts: Iterable[base.HostId], shard: ShardId
) -> list[base.HostId]:
    """Return the keepers of a lane, the best first.

    The lanes of a shard begin at the two ends of one order: whoever follows
    on a keeper that has ended is not the keeper of the other lane.
    """
    lane, number, shards = _split_id(shard)
    ranked = rank_hosts(hosts, f'{number}/{shards}')
    return ranked[::-1] if lane else ranked


def rank_hosts(hosts: Iterable[base.HostId], salt: str) -> list[base.HostId]:
    """Return hosts in an order on which all daemons agree.

    Parameters
    ----------
    hosts : iterable of HostId
        To rank.
    salt : str
        Gives each shard an order of its own.
    """
    return sorted(hosts, key=lambda host: (_hash(f'{salt} {host}'), host))


def _make_id(lane: int, number: int, shards: int) -> ShardId:
    return ShardId(f'{lane}/{number}/{shards}')


def _split_id(shard: ShardId) -> tuple[int, int, int]:
    lane, number, shards = map(int, shard.split('/'))
    if not (0 <= lane < LANES and 0 <= number < shards):
        raise ValueError(shard)
    return lane, number, shards


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')

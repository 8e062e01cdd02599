"""Rendezvous ranking, and the tree that follows from it.

Each host has a fixed rank, a hash of its name.  The live hosts of a data
centre, in the order of their ranks, fill the levels of a tree from the
top: 1, f, f * f hosts and so on.  A host chooses its parent among the
level above by the highest random weight of the pair, so that one death
moves the children of the dead host and a few hosts at the edges of
levels, not the whole tree.
"""

import bisect
from collections.abc import Sequence
import hashlib

from sedgering import base

__all__ = ['choose_parent', 'rank_of', 'tree_level']

_MASK = (1 << 64) - 1
#: Multiplier of the 64-bit finaliser of SplitMix64 (Steele et al., 2014).
_MIX = 0xBF58476D1CE4E5B9


def rank_of(host: base.HostId) -> int:
    """Return the fixed rank of a host, 64 bits without sign."""
    digest = hashlib.blake2b(host.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def tree_level(position: int, fan_out: int) -> range:
    """Return the positions that make up the level of `position`.

    Parameters
    ----------
    position : int
        Number of live hosts with a smaller rank.
    fan_out : int
        Children of one parent, on average.

    Returns
    -------
    range
        Positions of the same level; the top is ``range(0, 1)``.
    """
    start = 0
    size = 1
    while position >= start + size:
        start += size
        size *= fan_out
    return range(start, start + size)


def choose_parent(
    rank: int, ranked: Sequence[tuple[int, int]], fan_out: int
) -> int | None:
    """Choose the parent of a host.

    Parameters
    ----------
    rank : int
        Rank of the host.
    ranked : sequence of (rank, row)
        Live hosts of the data centre in the order of their ranks, the
        host itself among them.
    fan_out : int
        Children of one parent, on average.

    Returns
    -------
    int or None
        Row of the parent; None at the top.
    """
    position = bisect.bisect_left(ranked, (rank, -1))
    level = tree_level(position, fan_out)
    if level.start == 0:
        return None
    above = tree_level(level.start - 1, fan_out)
    candidates = ranked[above.start : above.stop]
    return max(candidates, key=lambda item: _weigh(rank, item[0]))[1]


def _weigh(child: int, parent: int) -> int:
    """Return the random weight of a pair of ranks."""
    mixed = (child ^ (parent * _MIX)) & _MASK
    mixed = ((mixed ^ (mixed >> 30)) * _MIX) & _MASK
    return mixed ^ (mixed >> 31)

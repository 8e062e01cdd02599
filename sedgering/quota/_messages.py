"""What daemons say to the keeper of a shard, and what it answers."""

import msgspec

from sedgering import base
from sedgering.quota import _ranking

__all__ = ['QuotaAsk', 'QuotaGrant', 'QuotaNeed', 'QuotaStamp']


class QuotaStamp(msgspec.Struct, frozen=True, array_like=True):
    """A moment of a keeper's clock.

    Parameters
    ----------
    life : int
        Lifetime of the keeper, drawn at its start.
    at_ms : int
        Time of its event loop.
    """

    life: base.Count
    at_ms: base.Count


class QuotaNeed(msgspec.Struct, frozen=True, array_like=True):
    """The tokens of one workspace that a daemon needs.

    Parameters
    ----------
    workspace : str
        Whose tokens.
    waiting : int
        Requests that wait for one.
    ahead : int
        As many for requests that are expected.
    """

    workspace: base.WorkspaceName
    waiting: base.Count
    ahead: base.Count


class QuotaAsk(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon needs, and its part of all rates.

    Parameters
    ----------
    host : str
        The sender.
    shard : str
        Of all its workspaces.
    needs : tuple of QuotaNeed
        Empty when it only lends.
    lent_from : QuotaStamp or None
        The sender's part may be counted for `LEASE_S` from that moment, which
        the keeper told; None when nothing is lent.  So a message that comes
        late lends nothing.
    is_last : bool
        Whether what was lent ends now.
    """

    host: base.HostId
    shard: _ranking.ShardId
    needs: tuple[QuotaNeed, ...] = ()
    lent_from: QuotaStamp | None = None
    is_last: bool = False


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True):
    """Answer of a keeper.

    Parameters
    ----------
    stamp : QuotaStamp
        When it was made.
    granted : tuple of int
        How many for each of the needs.
    waits_ms : tuple of int
        Time until there will be room; 0 where all that wait got a token.
    """

    stamp: QuotaStamp
    granted: tuple[base.Count, ...] = ()
    waits_ms: tuple[base.Count, ...] = ()

"""Messages between daemons and the allocators of quota tokens."""

import msgspec

from sedgering import base
from sedgering.quota import _ranking

__all__ = ['QuotaStamp', 'QuotaGrant', 'QuotaNeed', 'QuotaRequest']


class QuotaStamp(msgspec.Struct, frozen=True, array_like=True):
    """A timestamp of an allocator's clock.

    Parameters
    ----------
    life : int
        Random id of the allocator's lifetime, drawn at its start.
    at_ms : int
        Time of its event loop, in milliseconds.
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
        Number of requests that wait for a token.
    ahead : int
        Number of tokens wanted for expected requests.
    """

    workspace: base.WorkspaceName
    waiting: base.Count
    ahead: base.Count


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks an allocator for tokens, and leases it a host's rate share.

    Parameters
    ----------
    host : str
        The sender.
    shard : str
        Id of the partition that holds all the workspaces.
    needs : tuple of QuotaNeed
        Empty when the request only starts, extends or ends a lease, or probes
        the allocator.
    lent_from : QuotaStamp or None
        Start of the lease: the allocator may use the sender's share for
        `LEASE_S` from this timestamp, which it sent earlier.  So a request
        that arrives late starts no lease.  None when nothing is leased.
    is_last : bool
        Whether the lease ends now.
    """

    host: base.HostId
    shard: _ranking.PartitionId
    needs: tuple[QuotaNeed, ...] = ()
    lent_from: QuotaStamp | None = None
    is_last: bool = False


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True):
    """Answer of an allocator to a token request.

    Parameters
    ----------
    stamp : QuotaStamp
        When the answer was made.
    granted : tuple of int
        Number of tokens granted for each of the needs.
    waits_ms : tuple of int
        Time until more tokens are expected, for each of the needs; 0 where
        every waiting request got one.
    """

    stamp: QuotaStamp
    granted: tuple[base.Count, ...] = ()
    waits_ms: tuple[base.Count, ...] = ()

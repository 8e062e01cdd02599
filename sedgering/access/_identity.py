"""Authenticates requests by API key, and tells whether a refusal is certain.

A refusal is uncertain if a newer version might accept the key, or if a known
key may have been revoked.
"""

from collections.abc import Sequence

import msgspec

from sedgering.access import _keys
from sedgering import base
from sedgering import bundle as bundles
from sedgering import exceptions

__all__ = [
    'ANONYMOUS',
    'Freshness',
    'Identity',
    'RevocationPolicy',
    'authenticate',
]


class Freshness(msgspec.Struct, frozen=True):
    """How current the version in force at a daemon is.

    Parameters
    ----------
    is_current : bool
        Whether the daemon would know of a newer version if there were one.
    staleness_s : float
        Time since the daemon last knew for certain that there was none.
    """

    is_current: bool = True
    staleness_s: float = 0.0


class RevocationPolicy(msgspec.Struct, frozen=True):
    """Policy of a daemon for keys that may have been revoked.

    Parameters
    ----------
    is_strict : bool
        Whether the daemon stops serving known keys when its data is stale.
    max_staleness_s : float
        Largest staleness at which a strict daemon serves known keys.
    """

    is_strict: bool = False
    max_staleness_s: float = 0.0

    def may_trust(self, freshness: Freshness) -> bool:
        """Whether a known key may be taken as still valid."""
        return (
            not self.is_strict or freshness.staleness_s <= self.max_staleness_s
        )


class Identity(msgspec.Struct, frozen=True):
    """Result of the authentication of a request.

    Parameters
    ----------
    workspace : str
        Workspace of the caller; empty if there is none.
    priority : int
        Priority of the workspace.
    code : Code or None
        Why the request is refused; None if it is accepted.
    key_head : str
        Start of the digest of a refused key, for logs.
    """

    workspace: base.WorkspaceName = base.NO_WORKSPACE
    priority: int = 0
    code: exceptions.Code | None = None
    key_head: str = ''


#: Identity of an anonymous request on a route that needs no key.
ANONYMOUS = Identity()


def authenticate(
    snapshot: bundles.Snapshot,
    route: base.RouteName,
    values: Sequence[str],
    scheme: str,
    freshness: Freshness,
    revocation: RevocationPolicy,
) -> Identity:
    """Find the workspace of a request, and decide whether it is accepted.

    Parameters
    ----------
    snapshot : Snapshot
        Bundle in force when the request began.
    route : str
        Route that the request matched.
    values : sequence of str
        Values of its authorization fields.
    scheme : str
        Authentication scheme that precedes the key.
    freshness : Freshness
        How current the snapshot is.
    revocation : RevocationPolicy
        Policy for keys that may have been revoked.

    Returns
    -------
    Identity
        On a route that needs no key, no request is refused: one with an
        unknown key is treated as anonymous.

    Notes
    -----
    Digests are looked up in a hash table.  The time of a lookup may reveal how
    much of a digest matches, but that reveals nothing about a key: an attacker
    who tries keys cannot choose their digests.
    """
    is_keyed = route in snapshot.keyed_routes
    key = _keys.find_key(values, scheme)
    if key is None:
        if not is_keyed:
            return ANONYMOUS
        # No newer version can accept a request without a valid key.
        return Identity(code=exceptions.Code.REQUEST_KEY_UNKNOWN)
    digest = _keys.compute_key_digest(key)
    workspace = snapshot.workspaces_by_key.get(digest)
    if workspace is not None and revocation.may_trust(freshness):
        return Identity(workspace.name, workspace.priority)
    if not is_keyed:
        return ANONYMOUS
    is_certain = workspace is None and freshness.is_current
    return Identity(
        code=(
            exceptions.Code.REQUEST_KEY_UNKNOWN
            if is_certain
            else exceptions.Code.REQUEST_KEY_UNSURE
        ),
        key_head=_keys.shorten_digest(digest),
    )

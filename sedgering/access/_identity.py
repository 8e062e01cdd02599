"""Decides who asks, and whether that can be said now."""

from collections.abc import Sequence

import msgspec

from sedgering.access import _keys
from sedgering import base
from sedgering import bundle as bundles
from sedgering import exceptions

__all__ = ['Currency', 'Identity', 'NOBODY', 'Revocation', 'identify']


class Currency(msgspec.Struct, frozen=True):
    """How current the version in force at a daemon is.

    Parameters
    ----------
    is_current : bool
        Whether the daemon would have heard of a newer version.
    silent_s : float
        Time since it was last sure that there is none.
    """

    is_current: bool = True
    silent_s: float = 0.0


class Revocation(msgspec.Struct, frozen=True):
    """What a daemon does with keys that may have been taken away.

    Parameters
    ----------
    is_strict : bool
        Whether it stops to serve them.
    limit_s : float
        After how long without news.
    """

    is_strict: bool = False
    limit_s: float = 0.0

    def may_trust(self, currency: Currency) -> bool:
        """Whether a key that is known may still be held."""
        return not self.is_strict or currency.silent_s <= self.limit_s


class Identity(msgspec.Struct, frozen=True):
    """Who asks.

    Parameters
    ----------
    workspace : str
        Empty for nobody.
    priority : int
        Of the workspace.
    code : Code or None
        Why the request is refused; None when it may go on.
    key_head : str
        Start of the digest of a key that was refused, for logs.
    """

    workspace: base.WorkspaceName = base.NO_WORKSPACE
    priority: int = 0
    code: exceptions.Code | None = None
    key_head: str = ''


#: A request that no workspace makes, and that needs none.
NOBODY = Identity()


def identify(
    snapshot: bundles.Snapshot,
    route: base.RouteName,
    values: Sequence[str],
    scheme: str,
    currency: Currency,
    revocation: Revocation,
) -> Identity:
    """Decide who asks, and whether the request may go on.

    Parameters
    ----------
    snapshot : Snapshot
        In force when the request began.
    route : str
        That it matched.
    values : sequence of str
        Of its authorization fields.
    scheme : str
        Of the field that carries a key.
    currency : Currency
        Of the snapshot.
    revocation : Revocation
        What the operator asks for.

    Returns
    -------
    Identity
        On a route that needs no key nothing is refused: an unknown key is
        nobody's there.

    Notes
    -----
    Digests are found in a table.  How long that takes may tell how much of a
    digest is known, which says nothing of a key: who tries keys cannot choose
    the digests that they have.
    """
    is_keyed = route in snapshot.keyed_routes
    key = _keys.find_key(values, scheme)
    if key is None:
        if not is_keyed:
            return NOBODY
        # No newer version would know it.
        return Identity(code=exceptions.Code.REQUEST_KEY_UNKNOWN)
    digest = _keys.compute_key_digest(key)
    workspace = snapshot.workspaces_by_key.get(digest)
    if workspace is not None and revocation.may_trust(currency):
        return Identity(workspace.name, workspace.priority)
    if not is_keyed:
        return NOBODY
    is_sure = workspace is None and currency.is_current
    return Identity(
        code=(
            exceptions.Code.REQUEST_KEY_UNKNOWN
            if is_sure
            else exceptions.Code.REQUEST_KEY_UNSURE
        ),
        key_head=_keys.shorten_digest(digest),
    )

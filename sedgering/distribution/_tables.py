"""State of distribution: the update under way, and the tree."""

import msgspec

from sedgering import base
from sedgering.distribution import _history
from sedgering import peer

__all__ = ['Child', 'TreeTable', 'UpdateTable', 'Wanted']


class Wanted(msgspec.Struct):
    """The greatest version known that is not held.

    Parameters
    ----------
    version : Version
        Version to get.
    digest : Digest or None
        Known when an announcement or the head row named the version.
    sources : list of (str, int)
        Peers that said that they hold it.
    is_from_head : bool
        Whether the head row named it, so that the object store has it.
    """

    version: base.Version
    digest: base.Digest | None
    sources: list[tuple[str, int]]
    is_from_head: bool = False


class UpdateTable:
    """The update under way; written by the update systems.

    Attributes
    ----------
    floor : Version
        Least version that may be put in force.
    is_floor_known : bool
        Whether the floor covers all earlier processes of this host.
    wanted : Wanted or None
        What to get next.
    refused : dict of Version to Code
        Versions that this host refuses for good.
    doubted : dict of Version to int
        Versions that somebody named and nobody had, and until when (in
        ms) they are not asked for again.
    history : ContentHistory or None
        The version held, as others may fetch it.
    delta_from : Version
        Version held before, from which `delta` leads to the one held.
    """

    def __init__(self):
        self.floor = base.NO_VERSION
        self.is_floor_known = False
        self.wanted: Wanted | None = None
        self.refused: dict[base.Version, int] = {}
        self.doubted: dict[base.Version, int] = {}
        self.history: _history.ContentHistory | None = None
        self.delta_from = base.NO_VERSION
        self.delta: bytes | None = None
        self.applied_at_ms = 0

    def raise_floor(self, version: base.Version) -> None:
        """Note that an earlier process of this host held `version`."""
        self.floor = max(self.floor, version)


class Child(msgspec.Struct):
    """A child in the tree and what it acknowledged last."""

    address: tuple[str, int]
    rank: int
    heard_at_ms: int
    acknowledgement: peer.Acknowledgement
    announced_at_ms: int = 0


class TreeTable:
    """This host's place in the tree of its data centre.

    Attributes
    ----------
    parent : int or None
        Row of the parent; None at the top.
    is_top, is_relay : bool
        Whether this host writes the progress row, and reads the head.
    children : dict of HostId to Child
        Hosts that acknowledge to this one.
    """

    def __init__(self):
        self.parent: int | None = None
        self.is_top = False
        self.is_relay = False
        self.children: dict[base.HostId, Child] = {}

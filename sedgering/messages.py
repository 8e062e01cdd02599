"""Events that systems read and commands that they emit."""

import msgspec

from sedgering import base
from sedgering import peer
from sedgering import release

__all__ = [
    'ContentFetched',
    'FetchContent',
    'FetchFailed',
    'FetchObject',
    'HeadRead',
    'Inbox',
    'ObjectFetched',
    'Outbox',
    'PeerAddress',
    'PlatformFailed',
    'PullRows',
    'ReadHead',
    'ReceivedDatagram',
    'RowWriteFailed',
    'RowsPulled',
    'WriteRow',
    'list_differing',
]

#: IP address and peer port.
PeerAddress = tuple[str, int]


class ReceivedDatagram(msgspec.Struct, frozen=True):
    """A validated datagram and the address of its sender."""

    datagram: peer.Datagram
    address: PeerAddress


class HeadRead(msgspec.Struct, frozen=True):
    """The head row has been read; contacts are None if not requested."""

    head: release.HeadRecord
    contacts: tuple[release.ContactRecord, ...] | None


class PlatformFailed(msgspec.Struct, frozen=True):
    """A read of the head row from the platform failed."""

    code: int
    with_contacts: bool


class RowWriteFailed(msgspec.Struct, frozen=True):
    """A row was not written, or the outcome of the write is unknown."""

    key: str


class ContentFetched(msgspec.Struct, frozen=True):
    """A peer has sent the content of a version."""

    content: peer.Content
    address: PeerAddress


class ObjectFetched(msgspec.Struct, frozen=True):
    """The content of a version has been read from the object store."""

    content: release.VersionContent


class FetchFailed(msgspec.Struct, frozen=True):
    """A fetch from a peer or from the object store failed."""

    code: int


class RowsPulled(msgspec.Struct, frozen=True):
    """Host rows from a peer; empty if the pull failed."""

    rows: tuple[peer.HostRow, ...]


class ReadHead(msgspec.Struct, frozen=True):
    """Read the head row and, on request, the contacts of all data centres."""

    with_contacts: bool


class FetchContent(msgspec.Struct, frozen=True):
    """Request the content of the version that a peer holds."""

    address: PeerAddress
    held_version: base.Version


class FetchObject(msgspec.Struct, frozen=True):
    """Read a version from the object store, as a delta if possible."""

    version: base.Version
    digest: base.Digest
    held_version: base.Version


class PullRows(msgspec.Struct, frozen=True):
    """Request the host rows of a peer in the buckets that differ.

    Buckets that are not covered by `bucket_digests` are always included.
    """

    address: PeerAddress
    bucket_digests: tuple[int, ...]


def list_differing(
    own: tuple[int, ...], digests: list[int] | tuple[int, ...]
) -> list[int]:
    """Return the indexes of buckets that differ or are missing in `own`."""
    return [
        index
        for index, digest in enumerate(digests)
        if index >= len(own) or digest != own[index]
    ]


class WriteRow(msgspec.Struct, frozen=True):
    """Write a status or contact row; the last write wins."""

    key: str
    value: bytes


class Inbox:
    """Events since the last tick by type; cleared after each tick."""

    def __init__(self):
        self.datagrams: list[ReceivedDatagram] = []
        self.head_reads: list[HeadRead] = []
        self.platform_failures: list[PlatformFailed] = []
        self.write_failures: list[RowWriteFailed] = []
        self.contents: list[ContentFetched] = []
        self.objects: list[ObjectFetched] = []
        self.fetch_failures: list[FetchFailed] = []
        self.pulled: list[RowsPulled] = []
        self._lists = {
            ReceivedDatagram: self.datagrams,
            HeadRead: self.head_reads,
            PlatformFailed: self.platform_failures,
            RowWriteFailed: self.write_failures,
            ContentFetched: self.contents,
            ObjectFetched: self.objects,
            FetchFailed: self.fetch_failures,
            RowsPulled: self.pulled,
        }

    def add(self, event: msgspec.Struct) -> None:
        """Add an event to the list of its type."""
        self._lists[type(event)].append(event)

    def clear(self) -> None:
        """Remove all events, after every system has run."""
        for events in self._lists.values():
            events.clear()


class Outbox:
    """Commands of one tick.

    Parameters
    ----------
    mesh : str
        Mesh name in all datagrams.
    host : HostId
        Sender of all datagrams.
    """

    def __init__(self, mesh: str, host: base.HostId):
        self.mesh = mesh
        self.host = host
        self.datagrams: dict[PeerAddress, peer.Datagram] = {}
        self.platform: list[ReadHead | FetchObject | WriteRow] = []
        self.peers: list[FetchContent | PullRows] = []

    def datagram_to(
        self, address: PeerAddress, incarnation: int
    ) -> peer.Datagram:
        """Return the datagram of this tick to a peer, created if missing.

        Several systems add their parts to it, so that each peer gets one
        datagram per tick.
        """
        datagram = self.datagrams.get(address)
        if datagram is None:
            datagram = peer.Datagram(
                mesh=self.mesh,
                protocol=peer.PROTOCOL_VERSION,
                sender=self.host,
                incarnation=incarnation,
            )
            self.datagrams[address] = datagram
        return datagram

    def clear(self) -> None:
        """Remove all commands, after they are executed or queued."""
        self.datagrams.clear()
        self.platform.clear()
        self.peers.clear()

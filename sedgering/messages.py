"""Typed events that systems read and commands that they emit."""

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

#: IP number and peer port.
PeerAddress = tuple[str, int]


class ReceivedDatagram(msgspec.Struct, frozen=True):
    """A checked datagram and where it came from."""

    datagram: peer.Datagram
    address: PeerAddress


class HeadRead(msgspec.Struct, frozen=True):
    """The head row; contacts are None when they were not asked for."""

    head: release.HeadRecord
    contacts: tuple[release.ContactRecord, ...] | None


class PlatformFailed(msgspec.Struct, frozen=True):
    """The platform gave no answer to a read of the head."""

    code: int
    with_contacts: bool


class RowWriteFailed(msgspec.Struct, frozen=True):
    """A row that was not written, or perhaps not."""

    key: str


class ContentFetched(msgspec.Struct, frozen=True):
    """Content that a peer sent."""

    content: peer.Content
    address: PeerAddress


class ObjectFetched(msgspec.Struct, frozen=True):
    """Content of a version from the object store."""

    content: release.VersionContent


class FetchFailed(msgspec.Struct, frozen=True):
    """A fetch of content or of an object that brought nothing."""

    code: int


class RowsPulled(msgspec.Struct, frozen=True):
    """Host rows from a peer; empty when the pull failed."""

    rows: tuple[peer.HostRow, ...]


class ReadHead(msgspec.Struct, frozen=True):
    """Read the head row, and the contacts of all data centres."""

    with_contacts: bool


class FetchContent(msgspec.Struct, frozen=True):
    """Ask a peer for the version that it holds."""

    address: PeerAddress
    held_version: base.Version


class FetchObject(msgspec.Struct, frozen=True):
    """Ask the object store for a version, by differences if possible."""

    version: base.Version
    digest: base.Digest
    held_version: base.Version


class PullRows(msgspec.Struct, frozen=True):
    """Ask a peer for the rows of the buckets that differ.

    Buckets without a digest here are asked for in any case.
    """

    address: PeerAddress
    bucket_digests: tuple[int, ...]


def list_differing(
    own: tuple[int, ...], digests: list[int] | tuple[int, ...]
) -> list[int]:
    """Return the buckets whose digests differ, or that `own` lacks."""
    return [
        index
        for index, digest in enumerate(digests)
        if index >= len(own) or digest != own[index]
    ]


class WriteRow(msgspec.Struct, frozen=True):
    """Write a row for display or contact; the last writer wins."""

    key: str
    value: bytes


class Inbox:
    """Events since the last tick, by type.  Emptied after each tick."""

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
        """File an event under its type."""
        self._lists[type(event)].append(event)

    def clear(self) -> None:
        """Drop all events, once every system has seen them."""
        for events in self._lists.values():
            events.clear()


class Outbox:
    """Commands of one tick.

    Parameters
    ----------
    mesh : str
        Mesh that all datagrams name.
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
        """Return this tick's datagram to a peer, for a part to be added.

        Parts of several systems to the same peer travel together.
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
        """Drop all commands, once they are carried out or queued."""
        self.datagrams.clear()
        self.platform.clear()
        self.peers.clear()

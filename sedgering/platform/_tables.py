"""The platform's metadata store behind the product's abstract stores."""

from collections.abc import Sequence

from sedgering import base
from sedgering import exceptions
from sedgering.platform import _store
from sedgering import storage

__all__ = ['PlatformObjects', 'PlatformTable', 'RECORDS_TABLE']

#: Table of the sign-offs, rolls and claims of the product's own tools.
RECORDS_TABLE = 'sedgering'


class PlatformTable(storage.WatchedTable):
    """One table of the store.

    Parameters
    ----------
    client : StoreClient
        Shared by all tables of a process.
    name : str
        Of the table.
    """

    def __init__(self, client: _store.StoreClient, name: str):
        self.client = client
        self.name = name

    def read(self, keys: Sequence[str]) -> tuple[storage.Row, ...]:
        """Read rows as of one moment; see :class:`TableStore`."""
        return self.client.read_rows(self.name, keys)

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> tuple[storage.Row, ...]:
        """Read rows by prefix; see :class:`TableStore`."""
        start = max(prefix, after + '\0' if after else '')
        end = _end_of(prefix)
        return self.client.list_rows(self.name, start, end, limit).rows

    def transact(self, transaction: storage.Transaction) -> storage.Outcome:
        """Try a transaction once; see :class:`TableStore`."""
        try:
            revision = self.client.transact(self.name, transaction)
        except exceptions.PlatformError as error:
            return _tell_failure(error)
        return storage.Outcome(storage.OutcomeKind.DONE, revision=revision)

    def list_rows(self, start: str = '', end: str = '') -> storage.RowsPage:
        """Read a range of rows; see :class:`WatchedTable`."""
        return self.client.list_rows(self.name, start, end)

    def watch(self, after: int, wait_ms: int) -> storage.RowsPage:
        """Wait for changes; see :class:`WatchedTable`."""
        return self.client.watch(self.name, after, wait_ms)


class PlatformObjects(storage.ObjectStore):
    """Objects of the store, named by their digest.

    Parameters
    ----------
    client : StoreClient
        Shared by all tables of a process.
    """

    def __init__(self, client: _store.StoreClient):
        self.client = client

    def put_object(self, digest: base.Digest, body: bytes) -> storage.Outcome:
        """Store an object; see :class:`ObjectStore`."""
        try:
            self.client.put_object(digest.hex(), body)
        except exceptions.PlatformError as error:
            if error.code is not exceptions.Code.PLATFORM_CONFLICT:
                return _tell_failure(error)
            # It is there already, and its name fixes its content.
        return storage.Outcome(storage.OutcomeKind.DONE)

    def get_object(self, digest: base.Digest) -> bytes:
        """Fetch an object; see :class:`ObjectStore`."""
        return self.client.get_object(digest.hex())


def _end_of(prefix: str) -> str:
    """Return the first key after all that start with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else ''


def _tell_failure(error: exceptions.PlatformError) -> storage.Outcome:
    kind = storage.OutcomeKind.NOT_DONE
    if error.code is exceptions.Code.PLATFORM_UNKNOWN:
        kind = storage.OutcomeKind.UNKNOWN
    return storage.Outcome(kind, error.code, error.detail)

"""Asynchronous access to the tables of the platform's metadata store."""

from collections.abc import Sequence

from sedgering import exceptions
from sedgering.platform import _store
from sedgering import storage

__all__ = ['PlatformTable', 'make_failed_outcome']


class PlatformTable(storage.WatchedTable):
    """One table of the store.

    Parameters
    ----------
    client : StoreClient
        Client that all tables of a process share.
    name : str
        Name of the table.
    """

    def __init__(self, client: _store.StoreClient, name: str):
        self.client = client
        self.name = name

    async def read(self, keys: Sequence[str]) -> tuple[storage.Row, ...]:
        """Read a consistent snapshot of rows; see :class:`WatchedTable`."""
        return await self.client.read_rows(self.name, keys)

    async def transact(
        self, transaction: storage.Transaction
    ) -> storage.Outcome:
        """Send a transaction once; see :class:`WatchedTable`."""
        try:
            revision = await self.client.transact(self.name, transaction)
        except exceptions.PlatformError as error:
            return make_failed_outcome(error)
        return storage.Outcome(storage.OutcomeKind.DONE, revision=revision)

    async def list_rows(
        self, start: str = '', end: str = ''
    ) -> storage.RowsPage:
        """Read the rows in a range of keys; see :class:`WatchedTable`."""
        return await self.client.list_rows(self.name, start, end)

    async def watch(self, after: int, wait_ms: int) -> storage.RowsPage:
        """Wait for changes; see :class:`WatchedTable`."""
        return await self.client.watch(self.name, after, wait_ms)


def make_failed_outcome(error: exceptions.PlatformError) -> storage.Outcome:
    """Make the outcome of a failed write.

    Without a response the write may have taken effect.
    """
    kind = storage.OutcomeKind.NOT_DONE
    if error.code is exceptions.Code.PLATFORM_UNKNOWN:
        kind = storage.OutcomeKind.UNKNOWN
    return storage.Outcome(kind, error.code, error.detail)

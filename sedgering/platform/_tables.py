"""Tables that a daemon watches in the platform's metadata store."""

from collections.abc import Sequence

from sedgering import exceptions
from sedgering.platform import _store
from sedgering import storage

__all__ = ['PlatformTable', 'tell_failure']


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

    async def read(self, keys: Sequence[str]) -> tuple[storage.Row, ...]:
        """Read rows as of one moment; see :class:`WatchedTable`."""
        return await self.client.read_rows(self.name, keys)

    async def transact(
        self, transaction: storage.Transaction
    ) -> storage.Outcome:
        """Try a transaction once; see :class:`WatchedTable`."""
        try:
            revision = await self.client.transact(self.name, transaction)
        except exceptions.PlatformError as error:
            return tell_failure(error)
        return storage.Outcome(storage.OutcomeKind.DONE, revision=revision)

    async def list_rows(
        self, start: str = '', end: str = ''
    ) -> storage.RowsPage:
        """Read a range of rows; see :class:`WatchedTable`."""
        return await self.client.list_rows(self.name, start, end)

    async def watch(self, after: int, wait_ms: int) -> storage.RowsPage:
        """Wait for changes; see :class:`WatchedTable`."""
        return await self.client.watch(self.name, after, wait_ms)


def tell_failure(error: exceptions.PlatformError) -> storage.Outcome:
    """Make the outcome of a write that failed."""
    kind = storage.OutcomeKind.NOT_DONE
    if error.code is exceptions.Code.PLATFORM_UNKNOWN:
        kind = storage.OutcomeKind.UNKNOWN
    return storage.Outcome(kind, error.code, error.detail)

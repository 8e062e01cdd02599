"""Keeps this host's row in the store as the daemon wants it."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _members
from sedgering.mesh import _messages
from sedgering.mesh import _watch
from sedgering import storage

__all__ = ['RowKeeper']

LOG = logging.getLogger(__name__)

#: Longest pause between two tries: others must know of the target about two
#: seconds after the store is back.
LONGEST_PAUSE_S = 1.0
OPERATION = base.OperationId('member row')

_ENCODER = msgspec.json.Encoder()


class RowKeeper:
    """Writes this host's row until the store has it.

    Each write is conditional on the revision seen last, so that an older
    write which the store performs late does not undo a newer one.

    Parameters
    ----------
    table : WatchedTable
        One row for each host.
    host : HostId
        Whose row is kept.
    store_return : StoreReturn
        Of the daemon.
    """

    def __init__(
        self,
        table: storage.WatchedTable,
        host: base.HostId,
        store_return: _watch.StoreReturn,
    ):
        self.table = table
        self.host = host
        self._wanted: bytes | None = None
        self._is_new = False
        self._is_wanted = asyncio.Event()
        self._read: Callable[[], Awaitable] | None = None
        #: Of the row in the store, with its value; None when not known.
        self._revision: int | None = None
        self._written: bytes | None = None
        self._pauses = _watch.Pauses(store_return)
        self._pauses.longest_s = LONGEST_PAUSE_S

    def want(self, row: _messages.MemberRow | None) -> None:
        """Make this the row; the newest wish replaces older ones."""
        self._wanted = _encode(row)
        self._is_new = True
        self._is_wanted.set()

    def note_known(self, entry: _members.MemberEntry) -> None:
        """Learn the present row from elsewhere, in place of reading it."""
        if self._revision is None:
            self._revision = entry.revision
            self._written = _encode(entry.row)

    def note_seen(
        self, row: _messages.MemberRow | None, revision: int
    ) -> None:
        """Write the row again where another writer has taken it away.

        Parameters
        ----------
        row : MemberRow or None
            This host's row as the store has it; None when there is none that
            names a target.
        revision : int
            Counter of the store up to which that is known.
        """
        is_written = self._wanted is not None and self._revision
        if row is None and is_written and revision > self._revision:
            LOG.warning('row taken away', extra={'version': revision})
            self._revision = None
            self._is_new = True
            self._is_wanted.set()

    def ask(self, read: Callable[[], Awaitable]) -> None:
        """Read something once in this task."""
        self._read = read
        self._is_wanted.set()

    async def run(self) -> None:
        """Write what is wanted, until cancelled."""
        while True:
            await self._is_wanted.wait()
            self._is_wanted.clear()
            wanted = self._wanted
            is_new, self._is_new = self._is_new, False
            read, self._read = self._read, None
            try:
                if read is not None:
                    await read()
                if is_new:
                    await self._write(wanted)
                self._pauses.reset()
            except exceptions.PlatformError as error:
                await self._note_failure(error, is_new)
            except Exception:
                # A defect must not end the task: the row would stay as it
                # is for good.
                LOG.exception('row not written')
                self._want_again(is_new)
                await self._pauses.wait()

    async def _note_failure(
        self, error: exceptions.PlatformError, is_new: bool
    ) -> None:
        """Try again after a pause, unless only a read has failed."""
        LOG.info(
            'row not written',
            extra={'code': int(error.code), 'detail': error.detail},
        )
        if error.code is not exceptions.Code.PLATFORM_DOWN:
            # It may have been written, or be written later.
            self._revision = None
        self._want_again(is_new)
        await self._pauses.wait()

    def _want_again(self, is_new: bool) -> None:
        """Write the row once more, unless a newer one is wanted already."""
        self._is_new = self._is_new or is_new
        if self._is_new:
            self._is_wanted.set()

    async def _write(self, wanted: bytes | None) -> None:
        if self._revision is None:
            (row,) = await self.table.read([self.host])
            self._revision = row.revision
            self._written = row.value if row.revision else None
        if wanted == self._written:
            return
        outcome = await self.table.transact(self._make_transaction(wanted))
        if outcome.kind is not storage.OutcomeKind.DONE:
            raise outcome.make_error()
        self._revision = 0 if wanted is None else outcome.revision
        self._written = wanted
        LOG.info(
            'row written' if wanted is not None else 'row removed',
            extra={'version': outcome.revision},
        )

    def _make_transaction(self, wanted: bytes | None) -> storage.Transaction:
        conditions = (storage.Condition(self.host, self._revision),)
        if wanted is None:
            return storage.Transaction(
                OPERATION, conditions, deletes=(self.host,)
            )
        puts = (storage.Put(self.host, wanted),)
        return storage.Transaction(OPERATION, conditions, puts)


def _encode(row: _messages.MemberRow | None) -> bytes | None:
    return None if row is None else _ENCODER.encode(row)

"""Writes the member row of this host to the store."""

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

__all__ = ['MemberRowWriter']

LOG = logging.getLogger(__name__)

#: Longest pause between two attempts: other daemons must know of the target
#: about two seconds after the store is back.
LONGEST_PAUSE_S = 1.0
WRITE_OPERATION = base.OperationId('member row')

_ENCODER = msgspec.json.Encoder()


class MemberRowWriter:
    """Writes this host's row, and repeats failed writes.

    Each write is conditional on the last known revision, so that an older
    write that the store executes late does not overwrite a newer one.  While
    such a write may be pending, the row is written even if the stored one has
    the same content: only a new revision makes the condition of the pending
    write fail.  That holds for the first write of each process, since an
    earlier one may have left a write behind.

    Parameters
    ----------
    table : WatchedTable
        One row for each host.
    host : HostId
        Host whose row is written.
    store_recovery : StoreRecovery
        Shared by all tasks of the daemon that call the store.
    """

    def __init__(
        self,
        table: storage.WatchedTable,
        host: base.HostId,
        store_recovery: _watch.StoreRecovery,
    ):
        self.table = table
        self.host = host
        self._desired: bytes | None = None
        self._is_write_due = False
        self._has_work = asyncio.Event()
        self._pending_read: Callable[[], Awaitable] | None = None
        #: Revision and value of the row in the store; the revision is None
        #: while it is not known.
        self._revision: int | None = None
        self._stored: bytes | None = None
        #: Value that is being written.
        self._in_flight: bytes | None = None
        #: Whether no earlier write can take effect any more.
        self._is_settled = False
        #: Called with the stored row after each read and write.
        self.on_stored: Callable[[_messages.MemberRow | None], None] = _ignore
        self._backoff = _watch.RetryBackoff(store_recovery)
        self._backoff.longest_s = LONGEST_PAUSE_S

    @property
    def is_stored_known(self) -> bool:
        """Whether the row in the store is known."""
        return self._revision is not None

    @property
    def stored_row(self) -> _messages.MemberRow | None:
        """Last known row in the store; None if there is none."""
        return _decode(self.host, self._stored)

    def set_row(self, row: _messages.MemberRow | None) -> None:
        """Set the row to be written; it replaces one not yet written."""
        self._desired = _encode(row)
        self._is_write_due = True
        self._has_work.set()

    def set_stored_row(self, entry: _members.MemberEntry) -> None:
        """Set the stored row from another source instead of reading it."""
        if self._revision is None:
            self._revision = entry.revision
            self._stored = _encode(entry.row)

    def check_stored_row(
        self, entry: _members.MemberEntry, revision: int
    ) -> None:
        """Write the row again if it has been changed, damaged or removed.

        Parameters
        ----------
        entry : MemberEntry
            This host's row as stored; without a row when there is none that
            can be decoded.
        revision : int
            Revision of the store at which that holds.
        """
        if self._desired is None or not self._revision:
            return
        if entry.row is None:
            is_overwritten = revision > self._revision
        else:
            expected = self._desired, self._in_flight
            is_newer = entry.revision > self._revision
            is_overwritten = is_newer and _encode(entry.row) not in expected
        if is_overwritten:
            LOG.warning(
                'row overwritten',
                extra={'version': entry.revision or revision},
            )
            self._revision = None
            self._is_write_due = True
            self._has_work.set()

    def outdate(self, claim: _members.MemberEntry) -> None:
        """Write the row again, after one that claims the address of its host.

        Parameters
        ----------
        claim : MemberEntry
            Row of another host with the address of this one.
        """
        if (
            self._desired is None
            or not self._revision
            or self._revision > claim.revision
        ):
            return
        LOG.warning(
            'address claimed by another row',
            extra={'peer': claim.host, 'version': claim.revision},
        )
        self._is_settled = False
        self._is_write_due = True
        self._has_work.set()

    def read_once(self, read: Callable[[], Awaitable]) -> None:
        """Call `read` once in this task, with the task's retry pauses."""
        self._pending_read = read
        self._has_work.set()

    async def run(self) -> None:
        """Write rows as they are set, until cancelled."""
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            desired = self._desired
            is_write_due, self._is_write_due = self._is_write_due, False
            read, self._pending_read = self._pending_read, None
            try:
                if read is not None:
                    await read()
                if is_write_due:
                    await self._write(desired)
                self._backoff.reset()
            except exceptions.PlatformError as error:
                await self._note_failure(error, is_write_due)
            except Exception:
                # An unexpected exception must not end the task: the row would
                # never be updated again.
                LOG.exception('row not written')
                self._schedule_write(is_write_due)
                await self._backoff.wait()

    async def _note_failure(
        self, error: exceptions.PlatformError, is_write_due: bool
    ) -> None:
        """Pause, and repeat the write unless only a read has failed."""
        LOG.info(
            'row not written',
            extra={'code': int(error.code), 'detail': error.detail},
        )
        if error.code is not exceptions.Code.PLATFORM_DOWN:
            # The write may have been executed, or may be executed later.
            self._revision = None
            self._is_settled = False
        self._schedule_write(is_write_due)
        await self._backoff.wait()

    def _schedule_write(self, is_write_due: bool) -> None:
        """Schedule another write, unless a newer row is already pending."""
        self._is_write_due = self._is_write_due or is_write_due
        if self._is_write_due:
            self._has_work.set()

    async def _write(self, desired: bytes | None) -> None:
        if self._revision is None:
            (row,) = await self.table.read([self.host])
            self._revision = row.revision
            self._stored = row.value if row.revision else None
            self.on_stored(self.stored_row)
        if desired != self._desired:
            # What was read has changed the row; it is written next.
            return
        if desired == self._stored and (self._is_settled or desired is None):
            return
        self._in_flight = desired
        outcome = await self.table.transact(self._make_transaction(desired))
        self._in_flight = None
        if outcome.kind is not storage.OutcomeKind.DONE:
            raise outcome.make_error()
        self._revision = 0 if desired is None else outcome.revision
        self._stored = desired
        self._is_settled = True
        self.on_stored(self.stored_row)
        LOG.info(
            'row written' if desired is not None else 'row removed',
            extra={'version': outcome.revision},
        )

    def _make_transaction(self, desired: bytes | None) -> storage.Transaction:
        conditions = (storage.Condition(self.host, self._revision),)
        if desired is None:
            return storage.Transaction(
                WRITE_OPERATION, conditions, deletes=(self.host,)
            )
        puts = (storage.Put(self.host, desired),)
        return storage.Transaction(WRITE_OPERATION, conditions, puts)


def _ignore(_row: _messages.MemberRow | None) -> None:
    """Default for `MemberRowWriter.on_stored`."""


def _decode(
    host: base.HostId, value: bytes | None
) -> _messages.MemberRow | None:
    """Decode a stored row; None where another writer has damaged it."""
    try:
        return None if value is None else _members.decode_row(host, value)
    except exceptions.MemberError as error:
        LOG.warning(
            'stored row not decoded',
            extra={'code': int(error.code), 'detail': error.detail},
        )
        return None


def _encode(row: _messages.MemberRow | None) -> bytes | None:
    return None if row is None else _ENCODER.encode(row)

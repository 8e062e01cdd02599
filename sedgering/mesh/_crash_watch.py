"""Sees that the local target has ended without a word, and under what."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import logging

import msgspec

from sedgering import clock
from sedgering.mesh import _crash_records
from sedgering.mesh import _crashes
from sedgering.mesh import _lost_calls
from sedgering.mesh import _messages
from sedgering import transport

__all__ = ['CrashWatch', 'SentCall']

LOG = logging.getLogger(__name__)

#: Longest wait for an answer of the own host, which takes 0.1 ms: senders of
#: lost calls wait for it.
ASK_TIMEOUT_MS = 100
ASK_TIMEOUT_S = ASK_TIMEOUT_MS / 1000


class SentCall(msgspec.Struct, frozen=True):
    """A call at the target.

    Parameters
    ----------
    request : Request
        That was sent.
    lifetime : Lifetime
        To which.
    at_s, deadline_s : float
        When it was sent, and until when it is to be answered, as times of
        the event loop.
    is_trial : bool
        Whether it runs as a suspect.
    """

    request: transport.Request
    lifetime: _messages.Lifetime
    at_s: float
    deadline_s: float
    is_trial: bool


class CrashWatch:
    """Watches one target from the daemon beside it.

    A connection that ends without an answer says little: targets also reset
    single connections.  That nobody listens any more says that it has ended.

    Parameters
    ----------
    crashes : CrashTable
        Is told of each end.
    is_listening : callable
        Asks whether the target takes connections.
    now_s : callable
        Time of the event loop.
    """

    def __init__(
        self,
        crashes: _crashes.CrashTable,
        is_listening: Callable[[], Awaitable[bool]],
        now_s: Callable[[], float],
    ):
        self.crashes = crashes
        self.now_s = now_s
        #: Told to other daemons with the row of this host.
        self.records: tuple[_crash_records.CrashRecord, ...] = ()
        #: Is told of each end, with a record that may name no request.
        self.on_end: Callable[[_crash_records.CrashRecord], None] = _ignore
        self._is_listening = is_listening
        self._lost = _lost_calls.LostCalls()
        self._question: asyncio.Task | None = None

    def note_lost(self, sent: SentCall) -> None:
        """Take in a call that ended without an answer."""
        fingerprint = self.crashes.make_fingerprint(sent.request)
        self._lost.note(
            fingerprint, sent.lifetime, sent.is_trial, self.now_s()
        )

    async def has_ended(self) -> bool:
        """Ask whether the target has ended.

        Calls that are lost at the same moment share one question, which
        opens a connection.
        """
        if self._question is None or self._question.done():
            loop = asyncio.get_running_loop()
            self._question = loop.create_task(self._ask())
        return await asyncio.shield(self._question)

    async def _ask(self) -> bool:
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return not await self._is_listening()
        except TimeoutError:
            LOG.info('target not asked', extra={'wait_ms': ASK_TIMEOUT_MS})
            return False

    def note_end(
        self,
        lifetime: _messages.Lifetime,
        under_way: Iterable[SentCall],
    ) -> None:
        """Write down the end of a lifetime, and tell of it.

        Parameters
        ----------
        lifetime : Lifetime
            That has ended.
        under_way : iterable of SentCall
            Calls that it had not answered.
        """
        for sent in under_way:
            self.note_lost(sent)
        suspects = self._lost.take(lifetime, self.now_s())
        # Those that ran as suspects first, then those that began last.
        ranked = sorted(suspects, key=suspects.get, reverse=True)
        named = ranked[: _crash_records.MOST_SUSPECTS]
        record = _crash_records.CrashRecord(
            _crash_records.CrashId(f'{lifetime.target}@{lifetime.born_ms}'),
            clock.wall_ms(),
            tuple(named),
            tuple(item for item in named if suspects[item]),
        )
        LOG.info(
            'target lost',
            extra={
                'target': lifetime.target,
                'fingerprints': record.suspects,
            },
        )
        if suspects:
            self._keep(record)
            self.crashes.take_record(record)
        self.on_end(record)

    def restore(self, records: tuple[_crash_records.CrashRecord, ...]) -> None:
        """Keep what an earlier lifetime of this daemon has told."""
        own = self.records
        self.records = ()
        for record in dict.fromkeys((*records, *own)):
            self._keep(record)

    def _keep(self, record: _crash_records.CrashRecord) -> None:
        """Add a record; leave out the oldest, and those of long ago."""
        oldest_ms = clock.wall_ms() - _crashes.KEEP_S * 1000
        recent = [item for item in self.records if item.ended_ms > oldest_ms]
        self.records = (*recent, record)[-_crash_records.MOST_CRASHES :]


def _ignore(_record: _crash_records.CrashRecord) -> None:
    """Tell nobody."""

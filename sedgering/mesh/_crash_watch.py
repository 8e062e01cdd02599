"""Detects crashes of the local target and identifies suspect requests."""

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

#: Timeout of the probe.  Connecting to the local target takes 0.1 ms, and the
#: senders of lost calls wait for the result.
PROBE_TIMEOUT_MS = 100
PROBE_TIMEOUT_S = PROBE_TIMEOUT_MS / 1000


class SentCall(msgspec.Struct, frozen=True):
    """A call that was sent to the target.

    Parameters
    ----------
    request : Request
        Request that was sent.
    lifetime : Lifetime
        Lifetime that received it.
    at_s, deadline_s : float
        Time at which it was sent, and its deadline, in seconds of event loop
        time.
    is_trial : bool
        Whether it is a trial run of a suspect request.
    """

    request: transport.Request
    lifetime: _messages.Lifetime
    at_s: float
    deadline_s: float
    is_trial: bool


class CrashWatch:
    """Detects crashes of the local target.

    A connection that closes without an answer is not sufficient evidence,
    because targets also reset single connections.  A refused connection proves
    a crash.

    Parameters
    ----------
    crashes : CrashTable
        Receives a record of each crash.
    is_listening : callable
        Coroutine function that returns whether the target accepts connections.
    now_s : callable
        Returns the event loop time in seconds.
    """

    def __init__(
        self,
        crashes: _crashes.CrashTable,
        is_listening: Callable[[], Awaitable[bool]],
        now_s: Callable[[], float],
    ):
        self.crashes = crashes
        self.now_s = now_s
        #: Recent crashes, sent to other daemons in the member row.
        self.records: tuple[_crash_records.CrashRecord, ...] = ()
        #: Called with the record of each crash, with or without suspects.
        self.on_crash: Callable[[_crash_records.CrashRecord], None] = _ignore
        self._is_listening = is_listening
        self._lost = _lost_calls.LostCalls()
        self._probe: asyncio.Task | None = None

    def add_lost_call(self, sent: SentCall) -> None:
        """Add a call that ended without an answer."""
        fingerprint = self.crashes.make_fingerprint(sent.request)
        self._lost.add(fingerprint, sent.lifetime, sent.is_trial, self.now_s())

    async def has_crashed(self) -> bool:
        """Probe whether the target has crashed.

        Calls that are lost at the same time share one probe, which opens a
        connection.
        """
        if self._probe is None or self._probe.done():
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(self._run_probe())
        return await asyncio.shield(self._probe)

    async def _run_probe(self) -> bool:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                return not await self._is_listening()
        except TimeoutError:
            LOG.info(
                'target probe timed out', extra={'wait_ms': PROBE_TIMEOUT_MS}
            )
            return False

    def record_crash(
        self,
        lifetime: _messages.Lifetime,
        in_flight: Iterable[SentCall],
    ) -> None:
        """Record the crash of a lifetime and publish it.

        Parameters
        ----------
        lifetime : Lifetime
            Lifetime that crashed.
        in_flight : iterable of SentCall
            Calls that it had not answered.
        """
        for sent in in_flight:
            self.add_lost_call(sent)
        suspects = self._lost.take(lifetime, self.now_s())
        # Trial runs of suspect requests come first, then the latest requests.
        ranked = sorted(suspects, key=suspects.get, reverse=True)
        selected = ranked[: _crash_records.MAX_SUSPECTS]
        record = _crash_records.CrashRecord(
            _crash_records.CrashId(f'{lifetime.target}@{lifetime.born_ms}'),
            clock.wall_ms(),
            tuple(selected),
            tuple(item for item in selected if suspects[item]),
        )
        LOG.info(
            'target crashed',
            extra={
                'target': lifetime.target,
                'fingerprints': record.suspects,
            },
        )
        if suspects:
            self._add_record(record)
            self.crashes.add_record(record)
        self.on_crash(record)

    def restore(self, records: tuple[_crash_records.CrashRecord, ...]) -> None:
        """Add the records that this daemon published before its restart."""
        own = self.records
        self.records = ()
        for record in dict.fromkeys((*records, *own)):
            self._add_record(record)

    def _add_record(self, record: _crash_records.CrashRecord) -> None:
        """Add a record; drop expired ones and those beyond the limit."""
        oldest_ms = clock.wall_ms() - _crashes.RETENTION_S * 1000
        recent = [item for item in self.records if item.ended_ms > oldest_ms]
        self.records = (*recent, record)[-_crash_records.MAX_CRASHES :]


def _ignore(_record: _crash_records.CrashRecord) -> None:
    """Ignore a crash; used until a handler is set."""

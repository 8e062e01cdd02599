"""Reminds restarted daemons of departures that they have acknowledged."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging

import msgspec

from sedgering import base
from sedgering.mesh import _departure_notice
from sedgering.mesh import _messages
from sedgering import transport

__all__ = ['DepartureWitness']

LOG = logging.getLogger(__name__)

#: How long a departure is remembered.  Reports arrive seconds late at most.
MEMORY_S = 15.0
#: Interval between reminders while the connection to the daemon shows no
#: restart.  A host that loses power ends no connection.
REMINDER_INTERVAL_S = 2.0
#: How soon the end of that connection is noticed, and the next process: it
#: holds the first reports for twice as long.
CHECK_INTERVAL_S = 0.05
TIMEOUT_S = 0.3


class _Departure(msgspec.Struct):
    """A departure that is remembered.

    Parameters
    ----------
    row : MemberRow
        Row that tells it.
    known : MemberRow or None
        Row of that host that this daemon knew at that time.  Without the
        store, it may name a target from before the one that leaves.
    until_s : float
        When it is forgotten, in seconds of event loop time.
    """

    row: _messages.MemberRow
    known: _messages.MemberRow | None
    until_s: float

    def has_ended(self, current: _messages.MemberRow | None) -> bool:
        """Whether the host has left, or has a later target."""
        if current is None:
            return self.known is not None
        expected = (self.row, self.known)
        return not any(
            row is not None and row.lifetime.is_same(current.lifetime)
            for row in expected
        )


class DepartureWitness:
    """Departures of other hosts, of which their daemons are reminded.

    A daemon that restarts without the store does not learn from its row that
    its target is leaving.  The connection to the witness ends with its
    process, and the next process is told as soon as it listens.

    Parameters
    ----------
    find_row : callable
        Returns the row of a host, as far as this daemon knows, or None.
    start_task : callable
        Runs a coroutine in the background.
    """

    def __init__(
        self,
        find_row: Callable[[base.HostId], _messages.MemberRow | None],
        start_task: Callable[[Coroutine], None],
    ):
        self.find_row = find_row
        self.start_task = start_task
        self._departures: dict[base.HostId, _Departure] = {}

    def __len__(self) -> int:
        """Return the number of departures that are remembered."""
        return len(self._departures)

    def note(self, row: _messages.MemberRow) -> None:
        """Remember a departure, and remind the daemon of that host of it."""
        is_new = row.host not in self._departures
        until_s = asyncio.get_running_loop().time() + MEMORY_S
        known = self.find_row(row.host)
        self._departures[row.host] = _Departure(row, known, until_s)
        if is_new:
            self.start_task(self._remind(row.host))

    def _find(self, host: base.HostId) -> _messages.MemberRow | None:
        """Return a departure; forget it once it cannot be mistaken."""
        departure = self._departures[host]
        now_s = asyncio.get_running_loop().time()
        has_ended = departure.has_ended(self.find_row(host))
        if now_s < departure.until_s and not has_ended:
            return departure.row
        del self._departures[host]
        return None

    async def _remind(self, host: base.HostId) -> None:
        """Remind a daemon at once, after each restart, and at intervals."""
        loop = asyncio.get_running_loop()
        reminder = _Reminder()
        next_s = loop.time()
        try:
            while (row := self._find(host)) is not None:
                if reminder.has_lost_daemon or loop.time() >= next_s:
                    is_sent = await reminder.send(row)
                    interval_s = REMINDER_INTERVAL_S if is_sent else 0.0
                    next_s = loop.time() + interval_s
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            reminder.close()


class _Reminder:
    """Connection on which one daemon is reminded."""

    def __init__(self):
        self._connection: transport.ClientConnection | None = None

    @property
    def has_lost_daemon(self) -> bool:
        """Whether the connection has ended, as it does with the process."""
        return self._connection is not None and not self._connection.is_sound

    async def send(self, row: _messages.MemberRow) -> bool:
        """Send a reminder; return whether it was answered."""
        was_reached = self._connection is not None
        data = _departure_notice.encode_notice(row)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                if not was_reached or self.has_lost_daemon:
                    self._connection = None
                    self._connection = await transport.connect(
                        row.address, row.port, TIMEOUT_S
                    )
                await self._connection.exchange(data, lambda _answer: True)
        except (
            transport.ConnectFailed,
            transport.ExchangeFailed,
            TimeoutError,
        ) as error:
            self.close()
            if was_reached:
                LOG.info(
                    'daemon not reminded of a departure',
                    extra={'peer': row.host, 'detail': repr(error)},
                )
            return False
        return True

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None

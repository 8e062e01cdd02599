"""Tells peers that do not read from lost hosts.

TCP_USER_TIMEOUT ends both alike.  The host of a peer that does not read has
acknowledged all that was sent, and its window holds the rest back; data to a
lost host stays unacknowledged.  The kernel counts from the first probe of a
closed window on, even if the peer reads a little in between.  Hence the time
without progress is counted here once a window was seen closed.
"""

import asyncio
from collections.abc import Callable
import logging

from sedgering.transport import _sockets

__all__ = ['SendWatch']

LOG = logging.getLogger(__name__)

#: Well below the timeout of a lost host, which is extended in time.
CHECK_INTERVAL_S = 1.0
#: Leaves the end of a connection to the limits of the system.
NO_TIMEOUT_MS = 0


class _Sending:
    """What was seen of a connection that sends.

    Parameters
    ----------
    transport : Transport
        Transport of the connection.
    now_s : float
        Time of the event loop.
    """

    def __init__(self, transport: asyncio.Transport, now_s: float):
        self.transport = transport
        #: Whether its window was closed within the timeout of a lost host.
        self.is_extended = False
        self.closed_s = self.progress_s = now_s
        self._left_bytes = 0

    def look(self, now_s: float) -> bool:
        """Look at what is left to send; return whether anything is."""
        unacknowledged_bytes = _sockets.find_unacknowledged_bytes(
            self.transport
        )
        left_bytes = (
            unacknowledged_bytes + self.transport.get_write_buffer_size()
        )
        if left_bytes != self._left_bytes:
            self._left_bytes = left_bytes
            self.progress_s = now_s
        return unacknowledged_bytes > 0


class SendWatch:
    """Extends the timeout of connections while their window is closed.

    Parameters
    ----------
    lost_timeout_ms : int
        Longest time for which sent data may stay unacknowledged.
    find_paused_timeout_ms : callable
        Returns how long a peer may read nothing.
    """

    def __init__(
        self,
        lost_timeout_ms: int,
        find_paused_timeout_ms: Callable[[], int],
    ):
        self.lost_timeout_ms = lost_timeout_ms
        self.find_paused_timeout_ms = find_paused_timeout_ms
        self._sending: dict[asyncio.Transport, _Sending] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Watch a connection until all that it sends is acknowledged."""
        if transport not in self._sending:
            self._sending[transport] = _Sending(transport, loop.time())
        if self._timer is None:
            self._schedule(loop)

    def discard(self, transport: asyncio.Transport) -> None:
        """Stop watching a connection."""
        self._sending.pop(transport, None)
        if not self._sending and self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check, loop)

    def _check(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        for sending in list(self._sending.values()):
            self._check_one(sending, loop.time())
        if self._sending:
            self._schedule(loop)

    def _check_one(self, sending: _Sending, now_s: float) -> None:
        has_more = sending.look(now_s)
        is_closed = _sockets.has_closed_window(sending.transport)
        if is_closed:
            sending.closed_s = now_s
        lost_timeout_s = self.lost_timeout_ms / 1000
        # The kernel may still count from an earlier probe.
        is_extended = is_closed or (
            has_more
            and sending.is_extended
            and now_s - sending.closed_s < lost_timeout_s
        )
        if is_extended != sending.is_extended:
            sending.is_extended = is_extended
            self._set_timeout(sending)
        if not has_more and not is_closed:
            del self._sending[sending.transport]
        elif is_extended:
            limit_s = lost_timeout_s
            if is_closed:
                limit_s = max(limit_s, self.find_paused_timeout_ms() / 1000)
            self._limit_time(sending, now_s - sending.progress_s, limit_s)

    def _limit_time(
        self, sending: _Sending, waited_s: float, limit_s: float
    ) -> None:
        """Reset a connection without progress for too long."""
        if waited_s >= limit_s:
            LOG.debug('a peer has read nothing for %.1f s', waited_s)
            del self._sending[sending.transport]
            _sockets.reset_connection(sending.transport)

    def _set_timeout(self, sending: _Sending) -> None:
        timeout_ms = (
            NO_TIMEOUT_MS if sending.is_extended else self.lost_timeout_ms
        )
        sock = sending.transport.get_extra_info('socket')
        _sockets.set_user_timeout(sock, timeout_ms)

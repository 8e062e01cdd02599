"""Tells peers that do not read from lost hosts.

TCP_USER_TIMEOUT ends both alike.  The host of a peer that does not read has
acknowledged all that was sent, and its window holds the rest back; data to a
lost host stays unacknowledged.  The kernel counts from the first probe of a
closed window on, even if the peer reads a little in between.  Hence the time
without progress is counted here for a peer that takes something, or whose
window was seen closed.
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
        #: Whether the time without progress is counted here.
        self.is_extended = False
        #: Bytes written since it is watched.
        self.written_bytes = 0
        #: When progress was last seen.
        self.progress_s = now_s
        #: Bytes written less those in the kernel and in the buffer of this
        #: process: those taken, up to a constant.
        self._taken_bytes: int | None = None

    def look(self, now_s: float) -> tuple[bool, bool]:
        """Look at what is left to send.

        Returns
        -------
        tuple of bool
            Whether anything is, and whether the peer has taken some of it
            since the last look.
        """
        unacknowledged_bytes = _sockets.find_unacknowledged_bytes(
            self.transport
        )
        left_bytes = (
            unacknowledged_bytes + self.transport.get_write_buffer_size()
        )
        taken_bytes = self.written_bytes - left_bytes
        has_moved = self._taken_bytes not in (None, taken_bytes)
        self._taken_bytes = taken_bytes
        if has_moved:
            self.progress_s = now_s
        return unacknowledged_bytes > 0, has_moved


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
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        written_bytes: int = 0,
    ) -> None:
        """Watch a connection until all that it sends is acknowledged.

        Parameters
        ----------
        transport : Transport
            Transport of the connection.
        loop : AbstractEventLoop
            Its event loop.
        written_bytes : int
            What has been written since the last call, so that it does not
            hide what the peer has taken meanwhile.
        """
        if transport not in self._sending:
            self._sending[transport] = _Sending(transport, loop.time())
        self._sending[transport].written_bytes += written_bytes
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
        has_more, has_moved = sending.look(now_s)
        is_closed = _sockets.has_closed_window(sending.transport)
        # A window that is open at each look may have been closed in between.
        is_extended = has_more and (
            is_closed or has_moved or sending.is_extended
        )
        if is_extended != sending.is_extended:
            sending.is_extended = is_extended
            self._set_timeout(sending)
        if not has_more:
            del self._sending[sending.transport]
        elif is_extended:
            limit_ms = self.lost_timeout_ms
            if is_closed:
                limit_ms = max(limit_ms, self.find_paused_timeout_ms())
            waited_s = now_s - sending.progress_s
            self._limit_time(sending, waited_s, limit_ms / 1000)

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

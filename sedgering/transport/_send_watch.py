"""Tells peers that do not read from lost hosts.

TCP_USER_TIMEOUT ends both alike.  The host of a peer that does not read has
acknowledged all that was sent, and its window holds the rest back; data to a
lost host stays unacknowledged.
"""

import asyncio
from collections.abc import Callable

from sedgering.transport import _sockets

__all__ = ['SendWatch']

#: Well below the timeout of a lost host, which is extended in time.
CHECK_INTERVAL_S = 1.0


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
        #: Whether the timeout is extended, by transport.
        self._extended: dict[asyncio.Transport, bool] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Watch a connection until all that it sends is acknowledged."""
        self._extended.setdefault(transport, False)
        if self._timer is None:
            self._schedule(loop)

    def discard(self, transport: asyncio.Transport) -> None:
        """Stop watching a connection."""
        self._extended.pop(transport, None)
        if not self._extended and self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check, loop)

    def _check(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        for transport, was_extended in list(self._extended.items()):
            is_extended = _sockets.has_closed_window(transport)
            if is_extended != was_extended:
                self._set_timeout(transport, is_extended)
            if is_extended or _sockets.find_unacknowledged_bytes(transport):
                self._extended[transport] = is_extended
            else:
                del self._extended[transport]
        if self._extended:
            self._schedule(loop)

    def _set_timeout(
        self, transport: asyncio.Transport, is_extended: bool
    ) -> None:
        timeout_ms = self.lost_timeout_ms
        if is_extended:
            timeout_ms = max(timeout_ms, self.find_paused_timeout_ms())
        sock = transport.get_extra_info('socket')
        _sockets.set_user_timeout(sock, timeout_ms)

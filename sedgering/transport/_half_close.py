"""Detects whether a caller that has closed its sending side still reads."""

import asyncio
from collections.abc import Callable
import socket

__all__ = ['HalfCloseProbe']

#: Time between two probes.
PROBE_INTERVAL_S = 0.15
#: Time after the first probe at which its answer is looked for; doubled with
#: each further look, up to the interval of the probes.
FIRST_CHECK_S = 0.001
#: A caller that did not ask for it discards it (RFC 9110, section 15.2.1).
#: Some HTTP/1.1 callers do not skip other interim responses.
_INTERIM_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'


#: State of a TCP socket whose peer has closed its sending side.
_CLOSE_WAIT = 8


class HalfCloseProbe:
    """Sends interim responses until the connection ends.

    The end of the input is the same for a half-close and a full close.  The
    host of a caller that has closed fully answers further data with a reset.
    The event loop no longer watches a connection for that once its input has
    ended, nor while reading is paused.

    Parameters
    ----------
    transport : Transport
        Transport of the connection; aborted if the caller has left.
    loop : AbstractEventLoop
        Event loop of the connection.
    awaits_response : callable
        Returns whether the next data of the connection is the start of a
        response, so that an interim response may precede it.
    is_paused : bool
        Whether the input is not read at present, so that its end may still
        be to come, or wait behind other data.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        awaits_response: Callable[[], bool],
        is_paused: bool = False,
    ):
        self.transport = transport
        self.loop = loop
        self.awaits_response = awaits_response
        self.is_paused = is_paused
        self._timer: asyncio.TimerHandle | None = None
        self._check_after_s = FIRST_CHECK_S
        self._next_probe_s = 0.0

    def run(self) -> None:
        """Probe now, and repeat."""
        if self._abort_if_reset():
            return
        now_s = self.loop.time()
        # Unsent data of a response is a probe, too.
        if (
            now_s >= self._next_probe_s
            and not self.transport.get_write_buffer_size()
            and self.awaits_response()
            and self._has_input_ended()
        ):
            self._next_probe_s = now_s + PROBE_INTERVAL_S
            self.transport.write(_INTERIM_RESPONSE)
            # The network stack of the same host has answered by now.
            if self._abort_if_reset():
                return
        self._timer = self.loop.call_later(self._check_after_s, self.run)
        self._check_after_s = min(2 * self._check_after_s, PROBE_INTERVAL_S)

    def cancel(self) -> None:
        """Stop probing."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _has_input_ended(self) -> bool:
        if not self.is_paused:
            return True
        sock = self.transport.get_extra_info('socket')
        (state,) = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return state == _CLOSE_WAIT

    def _abort_if_reset(self) -> bool:
        """Abort the connection after an error; return whether it is over."""
        if not self.transport.is_closing():
            sock = self.transport.get_extra_info('socket')
            if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.transport.abort()
        return self.transport.is_closing()

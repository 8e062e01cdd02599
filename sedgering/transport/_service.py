"""Services: what answers the requests of one listener, and their limits."""

import abc
import asyncio
import collections
from collections.abc import Coroutine
import math
import typing

import msgspec

from sedgering.transport import _connection_use
from sedgering.transport import _load
from sedgering.transport import _messages
from sedgering.transport import _pacing
from sedgering.transport import _response_memory
from sedgering.transport import _send_watch

if typing.TYPE_CHECKING:
    from sedgering.transport import _server

__all__ = ['CallerLimits', 'Service']

#: TCP_USER_TIMEOUT: the connection fails when sent data stays
#: unacknowledged for longer.
TCP_USER_TIMEOUT_MS = 4000
#: A caller that makes no progress for so long is stalled.  Data arrives in
#: bursts that are up to several round trips apart.
STALL_S = 1.0
#: Time beyond the idle timeout for a request that was sent within it.
IDLE_SLACK_MS = 1000


class CallerLimits(msgspec.Struct, frozen=True):
    """Size and time limits for callers.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest head and body of a request.
    header_timeout_ms : int
        Longest time from the first to the last byte of a head.
    body_timeout_ms : int
        Longest time without received data within a body.
    idle_timeout_ms : int
        Longest time without a request on a persistent connection.  A lower
        value applies to a caller once a response has told it.
    """

    header_bytes: int = 64 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: int = 5000
    body_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000


class Service(abc.ABC):
    """Answers the requests of one listener."""

    #: Whether responses carry ``Connection: close``.
    is_closing = False
    #: Whether a caller that has closed only its sending side is answered.
    keeps_half_closed = False
    #: Paces large responses on the link; None if that is not needed.
    pacer: _pacing.LinkPacer | None = None
    #: Bounds the response data of all requests together; None if unbounded.
    response_memory: _response_memory.ResponseMemory | None = None
    #: A caller that takes no response data for so long does not read.
    patience_s = STALL_S

    def __init__(self):
        self.connections: set['_server.ServerConnection'] = set()
        #: Bytes received on all connections since the start.
        self.received_bytes = 0
        #: When the last request of any connection began to arrive.
        self.last_request_s = -math.inf
        #: Connections closed at the idle timeout since the start.
        self.expired_connections = 0
        #: Connections whose caller may not read what is sent.
        self.sending = _send_watch.SendWatch(
            TCP_USER_TIMEOUT_MS, self._find_pause_ms
        )
        self._check_timer: asyncio.TimerHandle | None = None

    @abc.abstractmethod
    async def answer(
        self, request: _messages.Request
    ) -> _messages.Response | None:
        """Answer one request.

        The call is cancelled when the caller disconnects.

        Returns
        -------
        Response or None
            None closes the connection without a response.
        """

    def begin(
        self, request: _messages.Request
    ) -> Coroutine | _messages.Response:
        """Return a response, or a coroutine that returns it.

        A response that is available immediately needs no task, which saves
        0.1 ms.
        """
        return self.answer(request)

    @abc.abstractmethod
    def find_limits(self) -> CallerLimits:
        """Return the limits in force now."""

    def _find_pause_ms(self) -> int:
        """Return how long a caller may read nothing of an answer."""
        return self.find_limits().idle_timeout_ms

    def add_connection(self, connection: '_server.ServerConnection') -> None:
        """Register a connection and start the timeout checks."""
        self.connections.add(connection)
        if self._check_timer is None:
            self._schedule_check()

    def _schedule_check(self) -> None:
        """Schedule the next timeout check.

        The interval is a quarter of the shorter of the two timeouts.
        """
        limits = self.find_limits()
        held_ms = limits.idle_timeout_ms + IDLE_SLACK_MS
        wait_ms = min(limits.header_timeout_ms, held_ms) / 4
        self._check_timer = asyncio.get_running_loop().call_later(
            wait_ms / 1000, self._check_connections
        )

    def _check_connections(self) -> None:
        """Check the timeouts of all connections.

        One timer serves all connections: a daemon has some hundred, and a
        timer for each would wake up the process far more often.
        """
        self._check_timer = None
        if self.connections:
            self._schedule_check()
        limits = self.find_limits()
        for connection in list(self.connections):
            connection.check_timeouts(limits)

    def count_uses(self) -> collections.Counter:
        """Return the number of connections by their use."""
        return collections.Counter(item.use for item in self.connections)

    def awaits_request(self, now_s: float, quiet_s: float) -> bool:
        """Whether the caller of an idle connection is likely to use it.

        A caller connects in order to send a request, and may take the time
        of a head to begin.  One that has been answered counts until no caller
        has sent a request for some time.

        Parameters
        ----------
        now_s : float
            Time of the event loop.
        quiet_s : float
            Time without requests after which kept connections do not count.
        """
        header_s = self.find_limits().header_timeout_ms / 1000
        is_quiet = now_s - self.last_request_s >= quiet_s
        for connection in self.connections:
            use = connection.use
            if use is _connection_use.ConnectionUse.KEPT and not is_quiet:
                return True
            is_young = now_s - connection.opened_s < header_s
            if use is _connection_use.ConnectionUse.NEW and is_young:
                return True
        return False

    def find_load(self) -> _load.ServiceLoad:
        """Return the pending requests and responses of all connections."""
        load = _load.ServiceLoad()
        for connection in self.connections:
            connection.add_load(load)
        return load

    def make_error_response(self, status: int) -> _messages.Response:
        """Make the response to a request that failed or cannot be read."""
        return _messages.make_json_response(status, {'error': status})

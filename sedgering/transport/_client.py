"""HTTP/1.1 client connections to targets and peers.

A connection carries one exchange at a time.
"""

import asyncio
from collections.abc import Callable
import functools
import logging
import math

import httptools

from sedgering.transport import _body_buffer
from sedgering.transport import _body_room
from sedgering.transport import _headers
from sedgering.transport import _messages
from sedgering.transport import _response_memory
from sedgering.transport import _send_watch
from sedgering.transport import _sockets

__all__ = [
    'ClientConnection',
    'ConnectFailed',
    'ExchangeFailed',
    'ResponseGaveWay',
    'connect',
]

LOG = logging.getLogger(__name__)

#: TCP_USER_TIMEOUT: the connection fails when sent data stays
#: unacknowledged for longer.
TCP_USER_TIMEOUT_MS = 2000
#: The same while the peer has no room; whoever began an exchange limits its
#: time.
PAUSED_TIMEOUT_MS = 60_000
#: Smaller requests fit into the receive buffer of a peer that reads nothing.
WATCHED_BYTES = 8 * 1024
#: Idle time before the first TCP keep-alive probe, and between probes.
KEEPALIVE_INTERVAL_S = 1
#: Largest size of what is not body: status lines, fields, interim responses,
#: chunk size lines, and trailers.  A body of tiny chunks has several bytes of
#: framing for each of its own.
FRAMING_LIMIT_BYTES = 64 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 16
#: Share of the keep-alive timeout announced by the peer for which an idle
#: connection is reused.  The rest covers the time on the network, so that a
#: request does not cross the close by the peer.
KEEP_ALIVE_REUSE_SHARE = 0.7
#: Cached parsed values of ``Keep-Alive``; peers use one or two different
#: ones.
KEEP_ALIVE_CACHE_SIZE = 64
#: Responses to earlier requests that are skipped before the exchange fails.
SKIPPED_RESPONSES_LIMIT = 4

#: Header fields that delimit the body.
_FRAMING_FIELDS = frozenset(('content-length', 'transfer-encoding'))


class ConnectFailed(Exception):
    """The connection could not be established; nothing was sent.

    Parameters
    ----------
    detail : str
        Address and cause.
    is_refused : bool
        Whether the host refused the connection because no process listens
        on the port.
    """

    def __init__(self, detail: str, is_refused: bool = False):
        super().__init__(detail)
        self.is_refused = is_refused


class ExchangeFailed(Exception):
    """No complete response arrived; the request may have been executed."""


class ResponseGaveWay(ExchangeFailed):
    """The response was dropped because others waited for its room."""


#: Receives the response, or the reason why there is none.
ExchangeCallback = Callable[[_messages.Response | ExchangeFailed], None]


class ClientConnection(asyncio.Protocol):
    """One connection to a target or peer.

    A connection whose exchange did not end cleanly is closed and never
    reused, so that a late response is not taken for the response to a later
    request.

    Parameters
    ----------
    loop : AbstractEventLoop
        Event loop of the connection.
    response_memory : ResponseMemory or None
        Bounds the response data of all connections together; None for a peer
        whose responses need no bound.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        response_memory: _response_memory.ResponseMemory | None = None,
    ):
        self.loop = loop
        self.response_memory = response_memory
        self.transport: asyncio.Transport | None = None
        #: Whether the connection may be used for another exchange.
        self.is_sound = True
        self.reusable_until_s = float('inf')
        #: Time of the event loop at which the peer last sent data, or at
        #: which the connection was created.
        self.heard_s = loop.time()
        #: Size of the current response so far, head and body.
        self.received_bytes = 0
        self._parser: httptools.HttpResponseParser | None = None
        #: Callback of the current exchange; None when there is none.
        self._on_end: ExchangeCallback | None = None
        #: Result of the exchange until the callback is called.
        self._outcome: _messages.Response | ExchangeFailed | None = None
        self._matches_request: Callable[[_messages.Response], bool] | None = (
            None
        )
        self._response: _messages.Response | None = None
        self._body = _body_buffer.BodyBuffer()
        #: Present while a large body arrives.
        self._room: _body_room.BodyRoom | None = None
        #: Present once the head states it.
        self._body_length: int | None = None
        #: Size of the bodies of all responses of the current exchange.
        self._bodies_bytes = 0
        self._skipped_responses = 0
        self._is_close_delimited = False
        self._is_head = False
        #: Present once a large request was sent.
        self._send_watch: _send_watch.SendWatch | None = None

    async def exchange(
        self,
        data: bytes,
        matches_request: Callable[[_messages.Response], bool],
        is_head: bool = False,
    ) -> _messages.Response:
        """Send an encoded request and wait for its complete response.

        Parameters
        ----------
        data : bytes
            The encoded request.
        matches_request : callable
            Returns whether a response belongs to this request.  Other
            responses are discarded, and the connection is not reused.
        is_head : bool
            Whether the request is a HEAD request, whose response has no
            body.

        Returns
        -------
        Response
            The complete response.

        Raises
        ------
        ExchangeFailed
            If the connection is lost, or the response is malformed or too
            large.
        """
        waiter = self.loop.create_future()
        self.begin_exchange(
            data,
            matches_request,
            functools.partial(_set_outcome, waiter),
            is_head,
        )
        try:
            return await waiter
        except BaseException:
            self.abandon()
            raise

    def begin_exchange(
        self,
        data: bytes,
        matches_request: Callable[[_messages.Response], bool],
        on_end: ExchangeCallback,
        is_head: bool = False,
    ) -> None:
        """Send an encoded request and call back when the exchange ends.

        Callback variant of :meth:`exchange`, for callers that need no task.

        Parameters
        ----------
        data, matches_request, is_head
            As in :meth:`exchange`.
        on_end : callable
            Called with the response or an `ExchangeFailed`.
        """
        self._parser = self._parser or httptools.HttpResponseParser(self)
        self._on_end = on_end
        self._outcome = None
        self._matches_request = matches_request
        self._is_head = is_head
        self._is_close_delimited = False
        self._skipped_responses = 0
        self.received_bytes = 0
        self._bodies_bytes = 0
        self.transport.write(data)
        if len(data) >= WATCHED_BYTES:
            self._watch_sending()

    def _watch_sending(self) -> None:
        """Let the peer pause before it has read the whole request."""
        if self._send_watch is None:
            self._send_watch = _send_watch.SendWatch(
                TCP_USER_TIMEOUT_MS, lambda: PAUSED_TIMEOUT_MS
            )
        self._send_watch.add(self.transport, self.loop)

    def _notify_end(self) -> None:
        """Call the callback if the exchange has ended."""
        outcome, self._outcome = self._outcome, None
        if outcome is None:
            return
        on_end, self._on_end = self._on_end, None
        is_failed = isinstance(outcome, ExchangeFailed)
        if is_failed:
            self._drop_body()
        if is_failed or self.transport.get_write_buffer_size():
            # The response arrived before the request body was sent
            # completely: the peer would read the rest of the body as the
            # next request.
            self.is_sound = False
        if not self.is_sound:
            self.close()
        on_end(outcome)

    async def wait_unless_silent(
        self, exchange: asyncio.Future, silence_s: float
    ) -> None:
        """Wait for an exchange as long as the peer keeps sending data.

        A large response over a slow link may take long, so only the time
        without any received data is limited.

        Parameters
        ----------
        exchange : Future
            Future of :meth:`exchange`.
        silence_s : float
            Longest time without received data, in seconds.

        Raises
        ------
        ExchangeFailed
            If no data arrives for longer than `silence_s`.
        """
        started_s = self.loop.time()
        while not exchange.done():
            deadline_s = max(started_s, self.heard_s) + silence_s
            remaining_s = deadline_s - self.loop.time()
            if remaining_s <= 0:
                raise ExchangeFailed(f'silent for {silence_s:.1f} s')
            await asyncio.wait((exchange,), timeout=remaining_s)

    def abandon(self) -> None:
        """Close immediately without calling the callback."""
        self._on_end = None
        self._drop_body()
        self.close()

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes sent that the host of the peer has not acknowledged."""
        in_kernel = _sockets.find_unacknowledged_bytes(self.transport)
        return self.transport.get_write_buffer_size() + in_kernel

    def close(self) -> None:
        """Close immediately; the peer cancels a request in progress."""
        self.is_sound = False
        if self.transport is not None:
            self.transport.abort()

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport):
        """Configure the socket."""
        self.transport = transport
        _sockets.configure_socket(
            transport.get_extra_info('socket'),
            TCP_USER_TIMEOUT_MS,
            KEEPALIVE_INTERVAL_S,
        )

    def data_received(self, data):
        """Feed the parser; close the connection on unexpected data."""
        self.heard_s = self.loop.time()
        self.received_bytes += len(data)
        if self._on_end is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self.is_sound = False
            if not self._is_answered():
                self._fail(f'malformed answer: {e}')
        self._check_framing()
        self._notify_end()

    def _check_framing(self) -> None:
        """Fail an exchange whose response has too much besides its body.

        Such bytes may come without an end.  The parser keeps those of a line
        until the line is complete.
        """
        limit_bytes = FRAMING_LIMIT_BYTES
        limit_bytes += FRAMING_BYTES_PER_BODY_BYTE * self._bodies_bytes
        framing_bytes = self.received_bytes - self._bodies_bytes
        if framing_bytes > limit_bytes and not self._is_answered():
            self.is_sound = False
            self._fail(f'{framing_bytes} bytes besides the body')

    def eof_received(self):
        """Complete a response that is delimited by the close.

        Any other unfinished exchange fails in :meth:`connection_lost`.
        """
        self.is_sound = False
        if self._response is not None and self._is_close_delimited:
            self._complete()
            self._notify_end()
        return False

    def connection_lost(self, exc):
        """Fail the exchange in progress."""
        self.is_sound = False
        if self._send_watch is not None:
            self._send_watch.discard(self.transport)
        self._fail(f'connection lost: {exc}')
        self._notify_end()
        self._drop_body()
        # The parser refers to this connection.  Dropping it breaks the
        # reference cycle, which would keep both in memory.
        self._parser = None

    # Callbacks of the parser.

    def on_message_begin(self):
        """Start a response.

        A response after the expected one makes the connection unusable.
        """
        if self._is_answered():
            self.is_sound = False
            self._response = None
            return
        self._response = _messages.Response(0, [])
        self._drop_body()

    def on_status(self, status):
        """Append to the reason phrase."""
        if self._response is not None:
            self._response.reason += status.decode('latin-1')

    def on_header(self, name, value):
        """Add one header field."""
        if self._response is not None:
            self._response.headers.append(
                (name.decode('latin-1'), value.decode('latin-1'))
            )

    def on_headers_complete(self):
        """Determine how the body is delimited."""
        response = self._response
        if response is None:
            return
        response.status = self._parser.get_status_code()
        response.fields = _headers.index_headers(response.headers)
        is_framed = not _FRAMING_FIELDS.isdisjoint(response.fields)
        is_bodiless = response.status < 200 or response.status in (204, 304)
        self._is_close_delimited = not is_framed and not is_bodiless
        if self._is_head and response.status >= 200:
            self.is_sound = False
            self._complete()
        elif is_framed and not is_bodiless:
            self._note_length(response)

    def _note_length(self, response: _messages.Response) -> None:
        """Ask for room for the whole body if its length is known."""
        length = response.find('content-length')
        if length is None or 'transfer-encoding' in response.fields:
            return
        self._body_length = int(length)
        if self._body_length > _response_memory.BODY_LIMIT_BYTES:
            self._refuse_body()
        elif self._body_length > _response_memory.SMALL_BYTES:
            self._find_room(0)

    def on_body(self, body):
        """Add a part of the body."""
        if self._response is None:
            return
        self._bodies_bytes += len(body)
        size_bytes = len(self._body) + len(body)
        if size_bytes > _response_memory.BODY_LIMIT_BYTES:
            self._refuse_body()
            return
        self._body.add(body)
        if size_bytes > _response_memory.SMALL_BYTES:
            self._find_room(size_bytes)

    def _refuse_body(self) -> None:
        self.is_sound = False
        self._response = None
        self._fail('answer too large')

    def _find_room(self, size_bytes: int) -> None:
        """Read on only if there is room for a body that is large."""
        if self._room is None:
            if self.response_memory is None:
                return
            self._room = _body_room.BodyRoom(
                self.response_memory,
                self.transport,
                self.loop,
                self._body_length,
                self._give_way,
            )
        self._room.note_received(size_bytes)

    def _give_way(self) -> None:
        """Fail the exchange: others wait for its room."""
        self.is_sound = False
        self._response = None
        if not self._is_answered():
            self._outcome = ResponseGaveWay('gave way to other answers')
        self._notify_end()

    def _drop_body(self) -> None:
        self._body.clear()
        self._body_length = None
        if self._room is not None:
            room, self._room = self._room, None
            room.release()

    def on_message_complete(self):
        """Complete a response whose length is known."""
        response = self._response
        if response is None or response.status < 200:
            self._response = None
            return
        if not self._parser.should_keep_alive():
            self.is_sound = False
        self._complete()

    def _complete(self):
        response = self._response
        self._response = None
        response.body = self._body.take()
        self._drop_body()
        if not self._matches_request(response):
            # A late response to an earlier request; the expected one may
            # follow.
            self.is_sound = False
            self._skipped_responses += 1
            LOG.info('discarded a response to another request')
            if self._skipped_responses > SKIPPED_RESPONSES_LIMIT:
                self._fail('too many answers of other requests')
            return
        self._update_keep_alive(response)
        if not self._is_answered():
            self._outcome = response

    def _update_keep_alive(self, response: _messages.Response) -> None:
        field_value = response.find('keep-alive')
        if field_value:
            keep_alive_s = _parse_keep_alive_s(field_value)
            self.reusable_until_s = (
                self.loop.time() + keep_alive_s * KEEP_ALIVE_REUSE_SHARE
            )

    def _is_answered(self) -> bool:
        return self._on_end is None or self._outcome is not None

    def _fail(self, detail: str) -> None:
        if not self._is_answered():
            self._outcome = ExchangeFailed(detail)


def _set_outcome(
    waiter: asyncio.Future, outcome: _messages.Response | ExchangeFailed
) -> None:
    """Set the result of an exchange on the future of the waiting task."""
    if waiter.done():
        # Cancelled in this iteration of the event loop; `exchange` closes
        # the connection.
        return
    if isinstance(outcome, ExchangeFailed):
        waiter.set_exception(outcome)
    else:
        waiter.set_result(outcome)


@functools.lru_cache(maxsize=KEEP_ALIVE_CACHE_SIZE)
def _parse_keep_alive_s(field_value: str) -> float:
    """Return the timeout of a ``Keep-Alive`` field; infinite without one."""
    for part in field_value.split(','):
        name, _equals, value = part.strip().partition('=')
        is_number = value.isascii() and value.isdigit()
        if is_number and name.lower() == 'timeout':
            return float(value)
    return math.inf


async def connect(
    address: str,
    port: int,
    timeout_s: float,
    response_memory: _response_memory.ResponseMemory | None = None,
) -> ClientConnection:
    """Open a connection.

    Parameters
    ----------
    address, port
        Where to connect.
    timeout_s : float
        Longest time to establish the connection, in seconds.
    response_memory : ResponseMemory or None
        As in :class:`ClientConnection`.

    Raises
    ------
    ConnectFailed
        If the connection is not established within `timeout_s`.
    """
    loop = asyncio.get_running_loop()
    try:
        # asyncio.wait_for would lose a cancellation in the iteration of the
        # event loop in which the connection opens, and creates an extra task
        # for each call.
        async with asyncio.timeout(timeout_s):
            _transport, connection = await loop.create_connection(
                lambda: ClientConnection(loop, response_memory), address, port
            )
    except (OSError, TimeoutError) as error:
        detail = f'{address}:{port}: {type(error).__name__}: {error}'
        is_refused = isinstance(error, ConnectionRefusedError)
        raise ConnectFailed(detail, is_refused) from error
    return connection

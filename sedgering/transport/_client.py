"""Connections to targets and peers: one exchange at a time."""

import asyncio
from collections.abc import Callable
import functools
import logging
import math

import httptools

from sedgering.transport import _headers
from sedgering.transport import _messages
from sedgering.transport import _sockets

__all__ = ['ClientConnection', 'ConnectFailed', 'ExchangeFailed', 'connect']

LOG = logging.getLogger(__name__)

#: A peer that acknowledges nothing for so long is taken as gone.
UNACKNOWLEDGED_LIMIT_MS = 2000
#: Silence after which a peer is probed, and between probes.
PROBE_AFTER_S = 1
#: Largest answer kept; beyond it the exchange fails.
BODY_LIMIT_BYTES = 16 * 1024 * 1024
#: Share of a stated keep-alive time for which an idle connection is used;
#: the rest covers the way of a request that crosses the close.
KEPT_SHARE = 0.7
#: Values of ``Keep-Alive`` that are remembered as parsed: peers state one or
#: two.
KEEP_ALIVE_VALUES = 64
#: Answers that belong to earlier requests and may precede the own one.
FOREIGN_LIMIT = 4


#: Fields that tell where the body ends.
_FRAMING = frozenset(('content-length', 'transfer-encoding'))


class ConnectFailed(Exception):
    """No connection came about; nothing was sent.

    Parameters
    ----------
    detail : str
        What happened.
    is_refused : bool
        Whether the host answered that nobody listens there.
    """

    def __init__(self, detail: str, is_refused: bool = False):
        super().__init__(detail)
        self.is_refused = is_refused


class ExchangeFailed(Exception):
    """The exchange ended without a whole answer; it may have run."""


#: Told how an exchange ended.
OnEnd = Callable[[_messages.Response | ExchangeFailed], None]


class ClientConnection(asyncio.Protocol):
    """One connection to a target or peer.

    A connection whose exchange did not end cleanly is closed and never
    used again, so that a late answer reaches nobody.

    Parameters
    ----------
    loop : AbstractEventLoop
        Runs the connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.is_sound = True
        self.kept_until_s = float('inf')
        #: When the peer sent anything last, or the connection was made.
        self.heard_s = loop.time()
        #: Of the answer that is awaited, head and body.
        self.received_bytes = 0
        self._parser: httptools.HttpResponseParser | None = None
        #: Told how the exchange ended; None where nobody waits.
        self._on_end: OnEnd | None = None
        #: How it ended, until those that wait are told.
        self._outcome: _messages.Response | ExchangeFailed | None = None
        self._is_own: Callable[[_messages.Response], bool] | None = None
        self._response: _messages.Response | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._foreign = 0
        self._is_unframed = False
        self._is_head = False

    async def exchange(
        self,
        data: bytes,
        is_own: Callable[[_messages.Response], bool],
        is_head: bool = False,
    ) -> _messages.Response:
        """Send an encoded request and wait for its whole answer.

        Parameters
        ----------
        data : bytes
            The encoded request.
        is_own : callable
            Says whether an answer belongs to this request; others are
            left out, and the connection is not used again.
        is_head : bool
            Whether the answer has no body.

        Raises
        ------
        ExchangeFailed
            When the connection ends or the answer is malformed.
        """
        waiter = self.loop.create_future()
        self.begin_exchange(
            data, is_own, functools.partial(_settle, waiter), is_head
        )
        try:
            return await waiter
        except BaseException:
            self.abandon()
            raise

    def begin_exchange(
        self,
        data: bytes,
        is_own: Callable[[_messages.Response], bool],
        on_end: OnEnd,
        is_head: bool = False,
    ) -> None:
        """Send an encoded request, and tell of its whole answer.

        As :meth:`exchange`, for those that need no task to wait in.

        Parameters
        ----------
        data, is_own, is_head
            As there.
        on_end : callable
            Called with the answer, or with why there is none.
        """
        self._parser = self._parser or httptools.HttpResponseParser(self)
        self._on_end = on_end
        self._outcome = None
        self._is_own = is_own
        self._is_head = is_head
        self._is_unframed = False
        self._foreign = 0
        self.received_bytes = 0
        self.transport.write(data)

    def _tell_end(self) -> None:
        """Tell how the exchange ended, if it has."""
        outcome, self._outcome = self._outcome, None
        if outcome is None:
            return
        on_end, self._on_end = self._on_end, None
        is_failed = isinstance(outcome, ExchangeFailed)
        if is_failed or self.transport.get_write_buffer_size():
            # Answered before the body had left: what is due next on this
            # connection is the rest of that body.
            self.is_sound = False
        if not self.is_sound:
            self.close()
        on_end(outcome)

    async def wait_unless_silent(
        self, exchange: asyncio.Future, silence_s: float
    ) -> None:
        """Wait for an exchange as long as the peer goes on sending.

        A large answer over a narrow link takes its time; a peer that sends
        nothing is given up.

        Parameters
        ----------
        exchange : Future
            Of :meth:`exchange`.
        silence_s : float
            Longest time without a byte.

        Raises
        ------
        ExchangeFailed
            When the peer is silent for longer.
        """
        started_s = self.loop.time()
        while not exchange.done():
            until_s = max(started_s, self.heard_s) + silence_s
            left_s = until_s - self.loop.time()
            if left_s <= 0:
                raise ExchangeFailed(f'silent for {silence_s:.1f} s')
            await asyncio.wait((exchange,), timeout=left_s)

    def abandon(self) -> None:
        """Close at once, and tell nobody how the exchange ended."""
        self._on_end = None
        self.close()

    @property
    def unacknowledged_bytes(self) -> int:
        """Of what was sent, what the peer's host has not acknowledged."""
        in_kernel = _sockets.find_unacknowledged_bytes(self.transport)
        return self.transport.get_write_buffer_size() + in_kernel

    def close(self) -> None:
        """Close at once; what is under way is cancelled at the peer."""
        self.is_sound = False
        if self.transport is not None:
            self.transport.abort()

    # What the transport tells.

    def connection_made(self, transport):
        """Set the options of the socket."""
        self.transport = transport
        _sockets.tune_socket(
            transport.get_extra_info('socket'),
            UNACKNOWLEDGED_LIMIT_MS,
            PROBE_AFTER_S,
        )

    def data_received(self, data):
        """Feed the parser; bytes that nobody waits for spoil it."""
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
        self._tell_end()

    def eof_received(self):
        """End an answer without length, or fail."""
        self.is_sound = False
        if self._response is not None and self._is_unframed:
            self._complete()
            self._tell_end()
        return False

    def connection_lost(self, exc):
        """Fail what is under way."""
        self.is_sound = False
        self._fail(f'connection lost: {exc}')
        self._tell_end()
        # It refers to this connection, and would outlive it.
        self._parser = None

    # What the parser tells.

    def on_message_begin(self):
        """Start an answer; a second one after the own spoils it."""
        if self._is_answered():
            self.is_sound = False
            self._response = None
            return
        self._response = _messages.Response(0, [])
        self._chunks = []
        self._size = 0

    def on_status(self, status):
        """Keep the reason phrase."""
        if self._response is not None:
            self._response.reason += status.decode('latin-1')

    def on_header(self, name, value):
        """Gather one field."""
        if self._response is not None:
            self._response.headers.append(
                (name.decode('latin-1'), value.decode('latin-1'))
            )

    def on_headers_complete(self):
        """Find out how the body ends."""
        response = self._response
        if response is None:
            return
        response.status = self._parser.get_status_code()
        response.fields = _headers.index_headers(response.headers)
        is_framed = not _FRAMING.isdisjoint(response.fields)
        bodiless = response.status < 200 or response.status in (204, 304)
        self._is_unframed = not is_framed and not bodiless
        if self._is_head and response.status >= 200:
            self.is_sound = False
            self._complete()

    def on_body(self, body):
        """Gather a piece of the body."""
        if self._response is None:
            return
        self._size += len(body)
        if self._size > BODY_LIMIT_BYTES:
            self.is_sound = False
            self._fail('answer too large')
            return
        self._chunks.append(body)

    def on_message_complete(self):
        """End an answer whose length is known."""
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
        response.body = b''.join(self._chunks)
        self._chunks = []
        if not self._is_own(response):
            # A late answer to an earlier request; the own one may follow.
            self.is_sound = False
            self._foreign += 1
            LOG.info('answer of another request left out')
            if self._foreign > FOREIGN_LIMIT:
                self._fail('too many answers of other requests')
            return
        self._note_keep_alive(response)
        if not self._is_answered():
            self._outcome = response

    def _note_keep_alive(self, response: _messages.Response) -> None:
        stated = response.find('keep-alive')
        if stated:
            kept_s = _parse_keep_alive_s(stated)
            self.kept_until_s = self.loop.time() + kept_s * KEPT_SHARE

    def _is_answered(self) -> bool:
        return self._on_end is None or self._outcome is not None

    def _fail(self, detail: str) -> None:
        if not self._is_answered():
            self._outcome = ExchangeFailed(detail)


def _settle(
    waiter: asyncio.Future, outcome: _messages.Response | ExchangeFailed
) -> None:
    """Wake up the task that waits for an exchange."""
    if waiter.done():
        # Cancelled in this turn; its connection is closed.
        return
    if isinstance(outcome, ExchangeFailed):
        waiter.set_exception(outcome)
    else:
        waiter.set_result(outcome)


@functools.lru_cache(maxsize=KEEP_ALIVE_VALUES)
def _parse_keep_alive_s(stated: str) -> float:
    """Return the time in a field ``Keep-Alive``; endless without one."""
    for part in stated.split(','):
        name, _equals, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.isdigit():
            return float(value)
    return math.inf


async def connect(
    address: str, port: int, timeout_s: float
) -> ClientConnection:
    """Open a connection.

    Raises
    ------
    ConnectFailed
        When it does not come about in time.
    """
    loop = asyncio.get_running_loop()
    try:
        # Not asyncio.wait_for: it loses a cancellation that comes as the
        # connection opens, and makes a task of its own for each.
        async with asyncio.timeout(timeout_s):
            _transport, connection = await loop.create_connection(
                lambda: ClientConnection(loop), address, port
            )
    except (OSError, TimeoutError) as error:
        detail = f'{address}:{port}: {type(error).__name__}: {error}'
        is_refused = isinstance(error, ConnectionRefusedError)
        raise ConnectFailed(detail, is_refused) from error
    return connection

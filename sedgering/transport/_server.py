"""HTTP/1.1 server connections.

A request is answered once it has been received completely.  The responses of a
connection are sent in the order of its requests.
"""

import asyncio
import collections
import logging
import socket

import httptools

from sedgering import ports
from sedgering.transport import _body_memory
from sedgering.transport import _connection_use
from sedgering.transport import _framing
from sedgering.transport import _half_close
from sedgering.transport import _headers
from sedgering.transport import _messages
from sedgering.transport import _pending
from sedgering.transport import _progress
from sedgering.transport import _sending
from sedgering.transport import _service
from sedgering.transport import _sockets
from sedgering.transport import _upgrade

__all__ = ['ServerConnection', 'serve']

LOG = logging.getLogger(__name__)

#: Pipelined requests of one connection that are answered concurrently.
#: Reading pauses at this number; callers rarely pipeline more than a few.
PIPELINE_DEPTH = 16
#: Idle time before the first TCP keep-alive probe, and between probes.
KEEPALIVE_INTERVAL_S = 2
#: Connections accepted in one iteration of the event loop.  Without a free
#: descriptor, each failed attempt is logged and repeated on its own, so that
#: several would multiply.
ACCEPTS = 1
#: How long a caller may take to close after its last response; also the
#: interval at which unsent data is checked while lingering.
LINGER_S = 1.0

#: Bounds of what arrives besides a body: a multiple of the limit of a head,
#: which counts no separators, and of the bytes of the body, as each chunk has
#: a size line.
FRAMING_BYTES_PER_HEAD_BYTE = 2
FRAMING_BYTES_PER_BODY_BYTE = 16

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class ServerConnection(_sending.SendingConnection, _body_memory.BodyReceiver):
    """One connection of a caller.

    Parameters
    ----------
    service : Service
        Answers the requests.
    loop : AbstractEventLoop
        Event loop of the connection.
    """

    def __init__(
        self, service: _service.Service, loop: asyncio.AbstractEventLoop
    ):
        super().__init__(service, loop)
        #: Those at the end of `pending` that have not been begun.
        self._waiting: collections.deque[_pending.PendingRequest] = (
            collections.deque()
        )
        self._is_beginning = False
        self.opened_s = loop.time()
        #: The idle timeout that the caller may rely on.
        self._told_idle_ms = service.find_limits().idle_timeout_ms
        self._parser = httptools.HttpRequestParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._request: _messages.Request | None = None
        self._chunks: list[bytes] = []
        self._body_size = 0
        #: Size of the body that the head states, if it does.
        self._stated_bytes: int | None = None
        self._body_rate = _progress.ProgressRate(service.patience_s)
        self._fields_bytes = 0
        #: Requests begun, and what has arrived of the current one besides its
        #: body, without the piece in which it began.
        self._requests = 0
        self._framing_bytes = 0
        #: Size limit for the head of the request that is being read.
        self._head_limit_bytes = 0
        self._url = b''
        self._is_reading_head = False
        self._is_discarding_input = False
        self._is_paused = False
        self._is_closing = False
        #: Whether the output is closed and the caller is expected to close.
        self._is_lingering = False
        #: Whether all requests were of HTTP/1.1 or later: callers of HTTP/1.0
        #: take an interim response for the final one.
        self._accepts_interim = True
        #: Present once the caller has closed its sending side.
        self._half_close_probe: _half_close.HalfCloseProbe | None = None
        #: Present while reading is paused.
        self._pause_probe: _half_close.HalfCloseProbe | None = None

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport):
        """Configure the socket and register the connection."""
        super().connection_made(transport)
        _sockets.configure_socket(
            transport.get_extra_info('socket'),
            _service.TCP_USER_TIMEOUT_MS,
            KEEPALIVE_INTERVAL_S,
        )
        self.service.add_connection(self)

    def connection_lost(self, exc):
        """Cancel all requests in progress: the caller has disconnected."""
        self._is_closing = True
        self.service.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._half_close_probe is not None:
            self._half_close_probe.cancel()
        if self._pause_probe is not None:
            self._pause_probe.cancel()
        self._release_body()
        for item in self.pending:
            item.cancel()
        self._forget_pending()
        self._stop_sending()

    def data_received(self, data):
        """Feed the parser, which starts each request once it is complete."""
        self.service.received_bytes += len(data)
        if self._is_discarding_input:
            return
        self.last_activity_s = self.loop.time()
        requests, body_size = self._requests, self._body_size
        try:
            self._feed(data)
            if self._request is not None and self._requests == requests:
                self._limit_framing(len(data) - self._body_size + body_size)
        except _framing.RefusedRequest as error:
            self._refuse(error.status)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            status = (
                cause.status
                if isinstance(cause, _framing.RefusedRequest)
                else 400
            )
            self._refuse(status)
        except httptools.HttpParserError as error:
            LOG.info('request refused: %s', error)
            self._refuse(400)
        if len(self.pending) >= PIPELINE_DEPTH and not self._is_paused:
            self._pause()

    def _pause(self) -> None:
        """Pause reading, and watch for the departure of the caller."""
        self._is_paused = True
        self.transport.pause_reading()
        if self.service.keeps_half_closed and self._accepts_interim:
            self._pause_probe = _half_close.HalfCloseProbe(
                self.transport, self.loop, self._awaits_response, True
            )
            self._pause_probe.run()

    def _resume(self) -> None:
        """Resume reading if it is paused."""
        if not self._is_paused:
            return
        self._is_paused = False
        self.transport.resume_reading()
        if self._pause_probe is not None:
            self._pause_probe.cancel()
            self._pause_probe = None

    def _feed(self, data: bytes) -> None:
        """Feed the parser, again without an offer to upgrade if it has one."""
        while True:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                (consumed_bytes,) = upgrade.args
                head = _upgrade.encode_head(
                    self._request, self._parser.get_http_version()
                )
                data = head + data[consumed_bytes:]
                self._parser = httptools.HttpRequestParser(self)
            else:
                return

    def _limit_framing(self, added_bytes: int) -> None:
        """Refuse a request with too much besides its body.

        The parser tells of a field or a chunk size line only once it is
        complete, and such bytes may come without an end.
        """
        self._framing_bytes += added_bytes
        limit_bytes = FRAMING_BYTES_PER_HEAD_BYTE * self._head_limit_bytes
        limit_bytes += FRAMING_BYTES_PER_BODY_BYTE * self._body_size
        if self._framing_bytes > limit_bytes:
            raise _framing.RefusedRequest(
                431 if self._is_reading_head else 400
            )

    def eof_received(self):
        """Return whether the connection stays open for its responses.

        The caller may have closed only its sending side, and still read.
        """
        if not self.service.keeps_half_closed:
            return False
        if self.pending and not self._accepts_interim:
            return False
        if not self.pending and not self._is_writing:
            return False
        # The rest of an incomplete request can no longer arrive.
        self._is_discarding_input = True
        self._release_body()
        self._request = None
        self._half_close_probe = _half_close.HalfCloseProbe(
            self.transport, self.loop, self._awaits_response
        )
        self._half_close_probe.run()
        return True

    def _awaits_response(self) -> bool:
        """Whether the next data to write is the start of a response."""
        return bool(self.pending) and not self._is_writing

    # Callbacks of the parser.

    def on_message_begin(self):
        """Start a request and record when its head begins."""
        self._is_reading_head = True
        self.service.last_request_s = self.loop.time()
        self._requests += 1
        self._framing_bytes = 0
        self._head_limit_bytes = self.service.find_limits().header_bytes
        self._fields_bytes = 0
        self._url = b''
        self._chunks = []
        self._body_size = 0
        self._request = _messages.Request(
            '', '', [], received_s=self.loop.time()
        )

    def on_url(self, url):
        """Append to the request target."""
        self._url += url
        if len(self._url) > self._head_limit_bytes:
            raise _framing.RefusedRequest(431)

    def on_header(self, name, value):
        """Add one header field; trailer fields are dropped.

        Trailer fields are not validated.  If they were merged into the head,
        they would pass for validated header fields (RFC 9110, section 6.5.1).
        """
        self._fields_bytes += len(name) + len(value)
        if self._fields_bytes > self._head_limit_bytes:
            raise _framing.RefusedRequest(431)
        if self._is_reading_head:
            self._request.headers.append(
                (name.decode('latin-1'), value.decode('latin-1'))
            )

    def on_headers_complete(self):
        """Check the head; send ``100 Continue`` if the caller expects it."""
        self._is_reading_head = False
        request = self._request
        request.method = self._parser.get_method().decode('ascii')
        if request.method == 'CONNECT':
            raise _framing.RefusedRequest(400)
        request.url = self._url.decode('latin-1')
        request.fields = _headers.index_headers(request.headers)
        version = self._parser.get_http_version()
        if version < '1.1':
            self._accepts_interim = False
        _framing.check_framing(request, version)
        length = request.find('content-length')
        is_chunked = request.find('transfer-encoding') is not None
        request.has_body = is_chunked or length is not None
        limit = self.service.find_limits().body_bytes
        if length is not None and int(length) > limit:
            raise _framing.RefusedRequest(413)
        self._stated_bytes = None if length is None else int(length)
        self._body_rate.restart(self.last_activity_s, 0)
        expects = request.find('expect')
        if expects and expects.lower() == '100-continue' and not self.pending:
            if (
                self._accepts_interim
                and not self._parser.should_upgrade()
                and not self._paced_writes
            ):
                self._write_interim(_CONTINUE)

    def on_body(self, body):
        """Add a part of the body."""
        self._body_size += len(body)
        if self._body_size > self.service.find_limits().body_bytes:
            raise _framing.RefusedRequest(413)
        now_s = self.last_activity_s
        if not _body_memory.BodyMemory.add(self, len(body), now_s):
            raise _framing.RefusedRequest(503)
        self._body_rate.note(now_s, self._body_size)
        self._chunks.append(body)

    def on_message_complete(self):
        """Start answering a complete request."""
        if self._is_discarding_input:
            # It came in one piece with a request whose answer closes the
            # connection.
            self._release_body()
            self._request = None
            return
        request = self._request
        if (
            _upgrade.UPGRADE in request.fields
            and self._parser.should_upgrade()
        ):
            # Its body has not been read; see `_feed`.
            return
        request.body = b''.join(self._chunks)
        self._chunks = []
        _body_memory.BodyMemory.receivers.discard(self)
        self._request = None
        item = _pending.PendingRequest()
        item.is_head = request.method == 'HEAD'
        item.received_s = request.received_s
        item.must_close = not self._parser.should_keep_alive()
        self.pending.append(item)
        item.body_bytes = len(request.body)
        item.request = request
        self._waiting.append(item)
        self._begin_waiting()

    # Responses.

    def _begin_waiting(self):
        """Begin requests as long as the pipeline and the caller allow it."""
        if self._is_beginning:
            return
        self._is_beginning = True
        try:
            while self._waiting and self._may_begin:
                self._begin(self._waiting.popleft())
        finally:
            self._is_beginning = False

    @property
    def _may_begin(self) -> bool:
        """Whether another request may be begun."""
        begun = len(self.pending) - len(self._waiting)
        return begun < PIPELINE_DEPTH and not self._is_unread

    def _begin(self, item: _pending.PendingRequest):
        request, item.request = item.request, None
        try:
            result = self.service.begin(request)
        except Exception:
            result = self._make_defect_response()
        if isinstance(result, _messages.Response):
            self._finish(item, result)
            return
        item.coroutine = result
        item.task = self.loop.create_task(self._answer(item))

    async def _answer(self, item: _pending.PendingRequest):
        try:
            response = await item.coroutine
        except asyncio.CancelledError:
            raise
        except Exception:
            response = self._make_defect_response()
        self._finish(item, response)

    def _make_defect_response(self) -> _messages.Response:
        """Make the response to a request that met a defect.

        A defect must not leave the caller without a response.  Whether the
        request was executed is unknown.
        """
        LOG.exception('request failed')
        return self.service.make_error_response(502)

    def _finish(
        self,
        item: _pending.PendingRequest,
        response: _messages.Response | None,
    ):
        item.release_body()
        if self._is_closing:
            return
        if response is None:
            self.transport.abort()
            return
        must_close = item.must_close or response.must_close
        if response.must_close:
            # What waits behind it would get no response.
            self._waiting.clear()
        is_last = self.service.is_closing or self._half_close_probe is not None
        if is_last and item is self.pending[-1]:
            # Pipelined requests are answered before the connection closes.
            must_close = True
        item.must_close = must_close
        if must_close:
            # Earlier responses may still be pending, so the connection stays
            # open for a while.  Requests that arrive meanwhile would be
            # executed without getting a response.
            self._is_discarding_input = True
            connection = 'Connection: close'
        else:
            idle_ms = self.service.find_limits().idle_timeout_ms
            idle_s = max(1, idle_ms // 1000)
            self._told_idle_ms = 1000 * idle_s
            connection = f'Keep-Alive: timeout={idle_s}'
        try:
            item.response = _messages.encode_response(
                response, connection, item.is_head
            )
        except UnicodeEncodeError:
            item.response = _messages.encode_response(
                self._make_defect_response(), connection, item.is_head
            )
        self._ready_bytes += item.response.size_bytes
        self._flush()
        self._note_held()

    def _flush(self):
        """Write the responses that are ready, in the order of the requests."""
        while self.pending and self.pending[0].response is not None:
            item = self.pending.popleft()
            self._ready_bytes -= item.response.size_bytes
            self._write(item.response)
            if item.must_close:
                self._close()
                return
        self.last_activity_s = self.loop.time()
        if self._half_close_probe is not None and not self.pending:
            self._close()
            return
        if len(self.pending) < PIPELINE_DEPTH // 2:
            self._resume()
        if self._waiting:
            self._begin_waiting()

    def _on_written(self):
        """Close after the last response."""
        if self._is_closing:
            self._linger()
        elif self._half_close_probe is not None and not self.pending:
            self._close()

    def _close(self):
        """Close after a response and cancel the requests behind it."""
        for item in self.pending:
            item.cancel()
        self._forget_pending()
        self._is_closing = True
        # Further input is read and discarded.
        self._is_discarding_input = True
        self._resume()
        self._note_held()
        if not self._is_writing:
            self._linger()

    def _linger(self):
        """Close once the caller has closed, or some time after the last write.

        A socket that is closed at once resets the connection when more data
        arrives: a request that was already on its way, or the rest of a
        refused one.  A caller that reads slowly then loses the rest of the
        response (12 kB of 300 kB arrived).
        """
        if self._half_close_probe is not None:
            # No more data can arrive.
            self.transport.close()
            return
        if not self._is_lingering:
            self._is_lingering = True
            try:
                self.transport.write_eof()
            except OSError as error:
                # The last write has met a reset.
                LOG.debug('caller has left: %s', error)
                self.transport.abort()
                return
        elif not self._has_unsent:
            self.transport.close()
            return
        self._timer = self.loop.call_later(LINGER_S, self._linger)

    def _forget_pending(self):
        self.pending.clear()
        self._waiting.clear()
        self._ready_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request or response is in progress."""
        is_done = not self.pending and not self._is_writing
        is_sent = not self._is_lingering and not self._has_unsent
        return is_done and is_sent and self._request is None

    @property
    def use(self) -> _connection_use.ConnectionUse:
        """What the caller has used the connection for so far."""
        if not self.is_idle:
            return _connection_use.ConnectionUse.ACTIVE
        if self._requests:
            return _connection_use.ConnectionUse.KEPT
        return _connection_use.ConnectionUse.NEW

    @property
    def owes_answer(self) -> bool:
        """Whether something that has arrived waits for the event loop.

        That is a whole request without its answer, or data still to be read.
        """
        if any(item.response is None for item in self.pending):
            return True
        is_reading = not self._is_paused and not self._is_closing
        return is_reading and _sockets.has_unread(self.transport)

    def close_idle(self) -> bool:
        """Close the connection if it is idle; return whether it was.

        A request that has arrived and is still to be read counts.
        """
        if not self.is_idle or _sockets.has_unread(self.transport):
            return False
        self._is_closing = True
        self.transport.close()
        return True

    def _refuse(self, status: int):
        """Answer a request that cannot be read with an error, then close."""
        self._is_discarding_input = True
        self._release_body()
        self._request = None
        item = _pending.PendingRequest()
        item.must_close = True
        self.pending.append(item)
        self._finish(item, self.service.make_error_response(status))

    def _release_body(self):
        _body_memory.BodyMemory.used_bytes -= sum(
            len(chunk) for chunk in self._chunks
        )
        _body_memory.BodyMemory.receivers.discard(self)
        self._chunks = []

    def find_arrival_s(self, now_s: float) -> float:
        """Return the expected time until the body is complete.

        What is left of a body without a stated size is taken to be as long as
        what has arrived.
        """
        rest_bytes = self._body_size
        if self._stated_bytes is not None:
            rest_bytes = self._stated_bytes - self._body_size
        return self._body_rate.find_duration_s(now_s, rest_bytes)

    def refuse_slow_body(self) -> None:
        """Refuse a request whose body takes too long."""
        self._refuse(408)

    # Timeouts.

    def check_timeouts(self, limits: _service.CallerLimits) -> None:
        """Refuse the request or close the connection after a timeout."""
        if self._is_closing:
            return
        now_s = self.loop.time()
        inactive_ms = (now_s - self.last_activity_s) * 1000
        if self._request is None:
            told_ms = max(limits.idle_timeout_ms, self._told_idle_ms)
            if (
                inactive_ms > told_ms + _service.IDLE_SLACK_MS
                and self.close_idle()
            ):
                self.service.expired_connections += 1
        elif self._is_reading_head:
            age_ms = (now_s - self._request.received_s) * 1000
            if age_ms > limits.header_timeout_ms:
                self._refuse(408)
        elif inactive_ms > limits.body_timeout_ms:
            self._refuse(408)


async def serve(
    service: _service.Service,
    address: str,
    port: int,
    listener: socket.socket | None = None,
) -> asyncio.AbstractServer:
    """Start a server that answers requests with a service.

    Parameters
    ----------
    service : Service
        Answers the requests.
    address, port
        Where to listen.
    listener : socket or None
        Socket that already listens there; opened if None.

    Raises
    ------
    OSError
        If the port cannot be bound.
    """
    loop = asyncio.get_running_loop()
    listener = listener or ports.open_port(address, port)
    server = await loop.create_server(
        lambda: ServerConnection(service, loop),
        sock=listener,
        backlog=ACCEPTS,
    )
    # The event loop has set the length of the queue to its own limit.
    listener.listen(ports.BACKLOG)
    return server

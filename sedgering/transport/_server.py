"""Connections of callers: whole requests in, answers out in their order."""

import abc
import asyncio
import collections
from collections.abc import Coroutine
import logging
import math
import socket

import httptools
import msgspec

from sedgering import ports
from sedgering.transport import _headers
from sedgering.transport import _load
from sedgering.transport import _messages
from sedgering.transport import _pacing
from sedgering.transport import _sockets

__all__ = ['CallerLimits', 'Service', 'serve']

LOG = logging.getLogger(__name__)

#: Requests of one connection that are worked on at the same time; more
#: wait unread.  A caller that sends ahead rarely goes beyond a few.
PIPELINE_DEPTH = 16
#: A peer that acknowledges nothing for so long is taken as gone.
UNACKNOWLEDGED_LIMIT_MS = 4000
#: Silence after which a peer is probed, and between probes.
PROBE_AFTER_S = 2
#: Largest chunk of request bodies kept by one process; beyond it requests
#: with a body are refused.  A fifth of the smallest memory limit, 200 MB.
BODY_MEMORY_BYTES = 40 * 1024 * 1024

#: Time for which a caller that has its last answer may take to close.
LINGER_S = 1.0

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest head and body.
    header_timeout_ms : int
        Longest time from the first byte of a head to its end.
    body_timeout_ms : int
        Longest silence within a body.
    idle_timeout_ms : int
        Longest time without a request on a kept connection.
    """

    header_bytes: int = 64 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: int = 5000
    body_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000


class Service(abc.ABC):
    """Answers the requests of one listener."""

    #: Whether answers carry ``Connection: close`` from now on.
    is_closing = False
    #: Shares the link among large answers; None where that is not needed.
    pacer: _pacing.LinkPacer | None = None

    def __init__(self):
        self.connections: set[ServerConnection] = set()
        #: Bytes of all connections since the start.
        self.received_bytes = 0
        self._look_timer: asyncio.TimerHandle | None = None

    @abc.abstractmethod
    async def answer(
        self, request: _messages.Request
    ) -> _messages.Response | None:
        """Answer one request; None closes the connection unanswered.

        The call is cancelled when the caller is gone.
        """

    def begin(
        self, request: _messages.Request
    ) -> Coroutine | _messages.Response:
        """Return what answers a request, or its answer where it is known.

        An answer that waits for nothing needs no task: 0.1 ms less.
        """
        return self.answer(request)

    @abc.abstractmethod
    def find_limits(self) -> CallerLimits:
        """Return the limits in force now."""

    def note_opened(self, connection: 'ServerConnection') -> None:
        """Take in a connection, and look at its limits from now on."""
        self.connections.add(connection)
        if self._look_timer is None:
            self._plan_look()

    def _plan_look(self) -> None:
        """Look again when the earliest limit may have passed."""
        limits = self.find_limits()
        wait_ms = min(limits.header_timeout_ms, limits.idle_timeout_ms) / 4
        self._look_timer = asyncio.get_running_loop().call_later(
            wait_ms / 1000, self._look
        )

    def _look(self) -> None:
        """Close the connections whose time is up.

        All at once: each look at its own time wakes the process up, and a
        daemon has some hundred connections.
        """
        self._look_timer = None
        if self.connections:
            self._plan_look()
        limits = self.find_limits()
        for connection in list(self.connections):
            connection.check_time(limits)

    def find_load(self) -> _load.ServiceLoad:
        """Tell what all connections hold."""
        load = _load.ServiceLoad()
        for connection in self.connections:
            connection.add_load(load)
        return load

    def refuse(self, status: int) -> _messages.Response:
        """Make the answer to a request that could not be read."""
        return _messages.make_json_response(status, {'error': status})


class _Pending:
    """A request that waits for its answer, and its place in the order."""

    __slots__ = (
        'begun',
        'body_bytes',
        'data',
        'is_head',
        'must_close',
        'received_s',
        'task',
    )

    def __init__(self):
        self.data: bytes | None = None
        self.is_head = False
        self.must_close = False
        self.received_s = math.inf
        #: Of its body, while it is counted.
        self.body_bytes = 0
        #: What answers it, and the task that runs that.
        self.begun: Coroutine | None = None
        self.task: asyncio.Task | None = None

    def release_body(self) -> None:
        """Count its body no more."""
        BodyMemory.used_bytes -= self.body_bytes
        self.body_bytes = 0

    def cancel(self) -> None:
        """Give it up: nobody waits for its answer."""
        self.release_body()
        if self.task is not None:
            self.task.add_done_callback(self._end_unbegun)
            self.task.cancel()

    def _end_unbegun(self, _task: asyncio.Task) -> None:
        """End what was cancelled before its first step."""
        self.begun.close()


class BodyMemory:
    """Bytes of request bodies that this process holds."""

    used_bytes = 0


def _release(size: int) -> None:
    BodyMemory.used_bytes -= size


class ServerConnection(asyncio.Protocol):
    """One connection of a caller.

    Parameters
    ----------
    service : Service
        Answers the requests.
    loop : AbstractEventLoop
        Runs the connection.
    """

    def __init__(self, service: Service, loop: asyncio.AbstractEventLoop):
        self.service = service
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.pending: collections.deque[_Pending] = collections.deque()
        self.last_activity_s = loop.time()
        self._parser = httptools.HttpRequestParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._request: _messages.Request | None = None
        self._chunks: list[bytes] = []
        self._body_size = 0
        self._fields_size = 0
        #: Of the request that is being read.
        self._head_limit_bytes = 0
        self._url = b''
        self._is_reading_head = False
        self._is_refused = False
        self._is_paused = False
        self._is_ended = False
        #: Whether all is written, and the caller is to close.
        self._is_lingering = False
        #: Until when a large answer may wait in the kernel; a system call
        #: tells, so that connections with small ones are not asked.
        self._large_until_s = 0.0
        #: Answers that are being written in pieces.
        self._paced: collections.deque[_pacing.PacedWrite] = (
            collections.deque()
        )

    # What the transport tells.

    def connection_made(self, transport):
        """Start to wait for the first head."""
        self.transport = transport
        _sockets.tune_socket(
            transport.get_extra_info('socket'),
            UNACKNOWLEDGED_LIMIT_MS,
            PROBE_AFTER_S,
        )
        self.service.note_opened(self)

    def connection_lost(self, exc):
        """Cancel what is under way: the caller is gone."""
        self._is_ended = True
        self.service.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        self._release_body()
        for paced in self._paced:
            paced.cancel()
        self._paced.clear()
        for item in self.pending:
            item.cancel()
        self.pending.clear()

    def data_received(self, data):
        """Feed the parser; whole requests start as they end."""
        self.service.received_bytes += len(data)
        if self._is_refused:
            return
        self.last_activity_s = self.loop.time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except _Refused as error:
            self._refuse(error.status)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            status = cause.status if isinstance(cause, _Refused) else 400
            self._refuse(status)
        except httptools.HttpParserError as error:
            LOG.info('request refused: %s', error)
            self._refuse(400)
        if len(self.pending) >= PIPELINE_DEPTH and not self._is_paused:
            self._is_paused = True
            self.transport.pause_reading()

    def eof_received(self):
        """Take the end of the stream as the end of the caller."""
        return False

    # What the parser tells.

    def on_message_begin(self):
        """Note when a head begins."""
        self._is_reading_head = True
        self._head_limit_bytes = self.service.find_limits().header_bytes
        self._fields_size = 0
        self._url = b''
        self._chunks = []
        self._body_size = 0
        self._request = _messages.Request(
            '', '', [], received_s=self.loop.time()
        )

    def on_url(self, url):
        """Gather the request target."""
        self._url += url
        if len(self._url) > self._head_limit_bytes:
            raise _Refused(431)

    def on_header(self, name, value):
        """Gather one field; those behind a body are dropped.

        Nobody has checked them: passed on within the head they would pass for
        fields that were (RFC 9110, section 6.5.1).
        """
        self._fields_size += len(name) + len(value)
        if self._fields_size > self._head_limit_bytes:
            raise _Refused(431)
        if self._is_reading_head:
            self._request.headers.append(
                (name.decode('latin-1'), value.decode('latin-1'))
            )

    def on_headers_complete(self):
        """Check the head, and ask for the body where the caller waits."""
        self._is_reading_head = False
        request = self._request
        request.method = self._parser.get_method().decode('ascii')
        request.url = self._url.decode('latin-1')
        request.fields = _headers.index_headers(request.headers)
        _check_framing(request, self._parser.get_http_version())
        length = request.find('content-length')
        is_chunked = request.find('transfer-encoding') is not None
        request.has_body = is_chunked or length is not None
        limit = self.service.find_limits().body_bytes
        if length is not None and int(length) > limit:
            raise _Refused(413)
        expects = request.find('expect')
        if expects and expects.lower() == '100-continue' and not self.pending:
            self.transport.write(_CONTINUE)

    def on_body(self, body):
        """Gather a piece of the body."""
        self._body_size += len(body)
        if self._body_size > self.service.find_limits().body_bytes:
            raise _Refused(413)
        if BodyMemory.used_bytes + len(body) > BODY_MEMORY_BYTES:
            raise _Refused(503)
        BodyMemory.used_bytes += len(body)
        self._chunks.append(body)

    def on_message_complete(self):
        """Start to answer a whole request."""
        request = self._request
        request.body = b''.join(self._chunks)
        self._chunks = []
        self._request = None
        item = _Pending()
        item.is_head = request.method == 'HEAD'
        item.received_s = request.received_s
        item.must_close = not self._parser.should_keep_alive()
        self.pending.append(item)
        item.body_bytes = len(request.body)
        begun = self.service.begin(request)
        if isinstance(begun, _messages.Response):
            self._finish(item, begun)
            return
        item.begun = begun
        item.task = self.loop.create_task(self._answer(item))

    # Answers.

    async def _answer(self, item: _Pending):
        try:
            response = await item.begun
        except asyncio.CancelledError:
            raise
        except Exception:
            # A defect must not leave the caller without an answer; what
            # ran is unknown.
            LOG.exception('request failed')
            response = self.service.refuse(502)
        self._finish(item, response)

    def _finish(self, item: _Pending, response: _messages.Response | None):
        item.release_body()
        if self._is_ended:
            return
        if response is None:
            self.transport.abort()
            return
        must_close = item.must_close or response.must_close
        if self.service.is_closing and item is self.pending[-1]:
            # Requests sent ahead get their answers first.
            must_close = True
        item.must_close = must_close
        if must_close:
            # What comes now would be passed on, and have no answer: those
            # before this one may still be under way.
            self._is_refused = True
            connection = 'Connection: close'
        else:
            idle_ms = self.service.find_limits().idle_timeout_ms
            connection = f'Keep-Alive: timeout={max(1, idle_ms // 1000)}'
        item.data = _messages.encode_response(
            response, connection, item.is_head
        )
        self._flush()

    def _flush(self):
        """Write the answers that are next in order."""
        while self.pending and self.pending[0].data is not None:
            item = self.pending.popleft()
            self._write(item.data)
            if item.must_close:
                self._close()
                return
        self.last_activity_s = self.loop.time()
        if self._is_paused and len(self.pending) < PIPELINE_DEPTH // 2:
            self._is_paused = False
            self.transport.resume_reading()

    def _write(self, data: bytes):
        """Write an answer, behind those that are still being written."""
        if len(data) >= _pacing.SMALL_BYTES:
            # Later than that its connection is taken as gone.
            limit_s = UNACKNOWLEDGED_LIMIT_MS / 1000
            self._large_until_s = self.loop.time() + limit_s
        pacer = self.service.pacer
        if pacer is None:
            self.transport.write(data)
        elif not self._paced and len(data) < _pacing.SMALL_BYTES:
            self.transport.write(data)
            pacer.note_small(len(data))
        else:
            paced = _pacing.PacedWrite(
                self.transport.write, data, self._end_paced
            )
            self._paced.append(paced)
            pacer.submit(paced)

    def _end_paced(self):
        """Note that the first answer of those in pieces is written."""
        self._paced.popleft()
        self.last_activity_s = self.loop.time()
        if self._is_ended and not self._paced:
            self._linger()

    def _close(self):
        """Close after an answer; requests behind it were not passed on."""
        for item in self.pending:
            item.cancel()
        self.pending.clear()
        self._is_ended = True
        # What comes is read and dropped.
        self._is_refused = True
        if self._is_paused:
            self._is_paused = False
            self.transport.resume_reading()
        if not self._paced:
            self._linger()

    def _linger(self):
        """Close once the caller has closed, or some time after all is sent.

        A request that crosses the close, or the rest of one that was
        refused, would reset the connection if it came to a closed one: a
        caller that reads slowly then loses the answer (12 kB of 300 kB
        arrived).
        """
        if not self._is_lingering:
            self._is_lingering = True
            self.transport.write_eof()
        elif not self._has_unsent:
            self.transport.close()
            return
        self._timer = self.loop.call_later(LINGER_S, self._linger)

    @property
    def _has_unsent(self) -> bool:
        """Whether the socket has not taken all answers yet."""
        return self.transport.get_write_buffer_size() > 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing is under way."""
        is_done = not self.pending and not self._paced
        is_sent = not self._is_lingering and not self._has_unsent
        return is_done and is_sent and self._request is None

    def close_idle(self) -> bool:
        """Close the connection if nothing is under way on it."""
        if not self.is_idle:
            return False
        self._is_ended = True
        self.transport.close()
        return True

    def _refuse(self, status: int):
        """Answer a request that cannot be read, then close."""
        self._is_refused = True
        self._release_body()
        self._request = None
        item = _Pending()
        item.must_close = True
        self.pending.append(item)
        self._finish(item, self.service.refuse(status))

    def _release_body(self):
        _release(sum(len(chunk) for chunk in self._chunks))
        self._chunks = []

    # What is told of it.

    def add_load(self, load: _load.ServiceLoad) -> None:
        """Add what is under way here."""
        ready = [len(item.data) for item in self.pending if item.data]
        paced = [len(item.left) for item in self._paced]
        unwritten = self.transport.get_write_buffer_size()
        unacknowledged = 0
        if self.loop.time() < self._large_until_s:
            unacknowledged = _sockets.find_unacknowledged_bytes(self.transport)
        written = len(paced) or int(unwritten > 0)
        load.requests += len(self.pending) - len(ready)
        load.answers += len(ready) + (written or int(unacknowledged > 0))
        load.held_answers += len(ready) + written
        load.held_bytes += sum(ready) + sum(paced) + unwritten
        load.unacknowledged_bytes += unacknowledged
        if self.pending:
            load.oldest_s = min(load.oldest_s, self.pending[0].received_s)
        elif written or unacknowledged:
            load.oldest_s = min(load.oldest_s, self.last_activity_s)

    # Time.

    def check_time(self, limits: CallerLimits) -> None:
        """Refuse or close where a limit has passed."""
        if self._is_ended:
            return
        now_s = self.loop.time()
        silent_ms = (now_s - self.last_activity_s) * 1000
        if self._request is None:
            is_done = not self.pending and not self._paced
            is_late = is_done and silent_ms > limits.idle_timeout_ms
            if is_late:
                self._is_ended = True
                self.transport.close()
                return
        elif self._is_reading_head:
            age_ms = (now_s - self._request.received_s) * 1000
            if age_ms > limits.header_timeout_ms:
                self._refuse(408)
        elif silent_ms > limits.body_timeout_ms:
            self._refuse(408)


class _Refused(Exception):
    """A request that is answered without being passed on."""

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


#: Fields of which two may be read differently by the next reader.
_SINGLE_NAMES = frozenset(('content-length', 'transfer-encoding', 'host'))


def _check_framing(request: _messages.Request, version: str) -> None:
    """Refuse heads that two readers may frame differently (RFC 9112)."""
    fields = request.fields
    if '' in fields or '\0' in ''.join([item[1] for item in request.headers]):
        raise _Refused(400)
    if len(fields) < len(request.headers):
        _check_repeats(request.headers)
    if version == '1.1' and 'host' not in fields:
        raise _Refused(400)
    coding = fields.get('transfer-encoding')
    if coding is not None:
        if coding.strip().lower() != 'chunked' or 'content-length' in fields:
            raise _Refused(400)


def _check_repeats(headers: _headers.Headers) -> None:
    """Refuse heads in which a field that must be single comes twice."""
    names = [name.lower() for name, _value in headers]
    if any(names.count(name) > 1 for name in _SINGLE_NAMES):
        raise _Refused(400)


async def serve(
    service: Service,
    address: str,
    port: int,
    opened: socket.socket | None = None,
) -> asyncio.AbstractServer:
    """Listen and answer by a service.

    Parameters
    ----------
    service : Service
        Answers the requests.
    address, port
        Where to listen.
    opened : socket or None
        Listens there already.

    Raises
    ------
    OSError
        When the port cannot be bound.
    """
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: ServerConnection(service, loop),
        sock=opened or ports.open_port(address, port),
        backlog=ports.BACKLOG,
    )

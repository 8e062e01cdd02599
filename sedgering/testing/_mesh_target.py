"""Target stand-in that speaks the platform's protocol."""

import asyncio
from collections.abc import Callable
import enum

from sedgering import transport

__all__ = [
    'TargetBooks',
    'TargetHabit',
    'TargetStandin',
    'make_answer_body',
    'make_answer_fields',
]

RESET_DELAY_S = 0.05
#: Time from an answer to one that belongs to no request.
EXTRA_DELAY_S = 0.3
#: Signature with which the target proves that it sent the response.
SIGNATURE = '3e1b.07.5a2.600.0.c9f2a4d1'


class TargetHabit(enum.Enum):
    """How the target responds to requests, correctly or faultily."""

    SOUND = 'sound'
    SHED = 'shed'
    RESET = 'reset'
    ENCODED = 'encoded'
    UNSIGNED = 'no proof'
    FOREIGN_RESPONSE_FIRST = 'foreign answer first'
    EXTRA_RESPONSE_AFTER = 'extra answer after'
    EXTRA_RESPONSE_LATE = 'extra answer late'
    UNFRAMED = 'unframed'
    UNFRAMED_RESET = 'unframed and reset'
    TRUNCATED = 'cut short'
    FAILING = 'failing'


def make_answer_fields(request_id: str) -> list[tuple[str, str]]:
    """Make the header fields that prove whose answer it is."""
    return [('X-Request-Id', request_id), ('X-Response-Signature', SIGNATURE)]


def make_answer_body(request_id: str, size_bytes: int) -> bytes:
    """Make the body of an answer, padded to a minimum size."""
    return f'answer to {request_id}'.encode().ljust(size_bytes)


class TargetStandin(asyncio.Protocol):
    """One raw HTTP connection that responds correctly or faultily.

    Parameters
    ----------
    state : TargetBooks
        State that all connections of the target share.
    """

    def __init__(self, state: 'TargetBooks'):
        self.state = state
        self.buffer = b''
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task | None = None

    def connection_made(self, transport):
        """Register the new connection."""
        self.transport = transport
        self.state.connections += 1
        self.state.open_connections.add(self)

    def connection_lost(self, exc):
        """Cancel the request of a closed connection."""
        self.state.open_connections.discard(self)
        if self.task is not None and not self.task.done():
            self.state.cancelled += 1
            self.task.cancel()

    def data_received(self, data):
        """Start handling a request once its body is complete."""
        self.buffer += data
        head, separator, body = self.buffer.partition(b'\r\n\r\n')
        if not separator:
            return
        lines = head.decode('latin-1').split('\r\n')
        headers = [tuple(line.split(': ', 1)) for line in lines[1:]]
        length = transport.find_header(headers, 'content-length') or '0'
        if len(body) < int(length):
            return
        self.buffer = b''
        self.task = asyncio.get_running_loop().create_task(
            self._answer(lines[0], headers, body)
        )

    async def _answer(self, line: str, headers, body: bytes) -> None:
        state = self.state
        request_id = transport.find_header(headers, 'x-request-id')
        now_s = asyncio.get_running_loop().time()
        if line.startswith('GET /health '):
            state.health_checks_s.append(now_s)
            is_ready = not state.is_leaving and not state.is_unhealthy
            status = '200 OK' if is_ready else '503 Service Unavailable'
            own_headers = [
                ('X-Instance-Id', state.target),
                ('X-Server-Load', state.load_field),
            ]
            has_signals = state.has_signals_in_health
            self._write(status, own_headers, b'', has_signals=has_signals)
            return
        expected = transport.find_header(headers, 'x-expect-instance')
        if expected not in (None, state.target):
            self._write('421 Misdirected Request', [], b'')
            return
        state.arrivals.append((now_s, request_id))
        if state.habit is TargetHabit.SHED:
            self._write(
                '503 Service Unavailable', [('X-Not-Executed', '1')], b''
            )
            return
        state.fields.append(headers)
        state.note_run(request_id, line, dict(headers), body)
        state.running += 1
        state.note_running()
        try:
            await asyncio.sleep(state.work_s)
        finally:
            state.running -= 1
        if line.split()[1] in state.fatal_urls:
            state.end()
            return
        self._finish(request_id, state.habit)

    def _finish(self, request_id: str, habit: TargetHabit) -> None:
        own_headers = make_answer_fields(request_id)
        body = make_answer_body(request_id, self.state.body_bytes)
        if habit is TargetHabit.RESET:
            self.transport.abort()
        elif habit is TargetHabit.ENCODED:
            self._write(
                '200 OK', [*own_headers, ('Content-Encoding', 'gzip')], body
            )
        elif habit is TargetHabit.UNSIGNED:
            self._write('200 OK', own_headers[:1], body)
        elif habit is TargetHabit.FOREIGN_RESPONSE_FIRST:
            foreign_headers = [('X-Request-Id', 'other'), own_headers[1]]
            self._write('200 OK', foreign_headers, b'another body')
            self._write('200 OK', own_headers, body)
        elif habit is TargetHabit.EXTRA_RESPONSE_AFTER:
            self._write('200 OK', own_headers, body)
            self._write('200 OK', own_headers, b'another body')
        elif habit is TargetHabit.EXTRA_RESPONSE_LATE:
            self._write('200 OK', own_headers, body)
            asyncio.get_running_loop().call_later(
                EXTRA_DELAY_S,
                self._write,
                '200 OK',
                own_headers,
                b'another body',
            )
        elif habit is TargetHabit.UNFRAMED:
            self._write('200 OK', own_headers, body, is_framed=False)
            self.transport.close()
        elif habit is TargetHabit.UNFRAMED_RESET:
            self._write('200 OK', own_headers, body, is_framed=False)
            # The delay lets the daemon read the response before the reset.
            asyncio.get_running_loop().call_later(RESET_DELAY_S, self._reset)
        elif habit is TargetHabit.TRUNCATED:
            self._write('200 OK', own_headers, body, missing=3)
            self.transport.close()
        elif habit is TargetHabit.FAILING:
            self._write('500 Internal Server Error', own_headers, body)
        else:
            self._write('200 OK', own_headers, body)

    def _reset(self) -> None:
        """Close with a TCP reset (SO_LINGER of 0 s) instead of a FIN."""
        transport.reset_connection(self.transport)

    def _write(
        self,
        status,
        headers,
        body,
        is_framed=True,
        missing=0,
        has_signals=True,
    ) -> None:
        lines = [f'HTTP/1.1 {status}']
        if has_signals:
            headers = [*headers, *self.state.signal_fields]
        if self.state.is_leaving:
            headers = [*headers, ('Server-Leaving', '1')]
        lines += [f'{name}: {value}' for name, value in headers]
        if is_framed:
            lines.append(f'Content-Length: {len(body) + missing}')
        head = '\r\n'.join([*lines, '\r\n']).encode()
        self.transport.write(head + body)


class TargetBooks:
    """Recorded requests and configured behaviour of a target.

    Parameters
    ----------
    target : str
        Id of the current lifetime of the target.
    """

    def __init__(self, target: str):
        self.target = target
        self.habit = TargetHabit.SOUND
        #: Load report that it sends in `X-Server-Load`.
        self.load_field = '0,0,2'
        #: Fields that it adds to each answer, such as a rate limit.
        self.signal_fields: list[tuple[str, str]] = []
        #: Whether its answers to health checks have them, too.
        self.has_signals_in_health = True
        #: Time and id of each request that reached it, refused ones included;
        #: times of health checks.
        self.arrivals: list[tuple[float, str]] = []
        self.health_checks_s: list[float] = []
        self.work_s = 0.0
        #: Minimum size of response bodies, which are padded with spaces.
        self.body_bytes = 0
        self.runs: list[tuple] = []
        #: Header fields of each executed request as received, with duplicates.
        self.fields: list[list[tuple[str, str]]] = []
        self.running = 0
        self.most_running = 0
        self.cancelled = 0
        self.connections = 0
        self.is_leaving = False
        #: Whether its health check fails although it serves.
        self.is_unhealthy = False
        self.open_connections: set[TargetStandin] = set()
        #: URLs whose requests crash the target after its processing time.
        self.fatal_urls: set[str] = set()
        #: Crashes the target.
        self.end: Callable[[], None] = self.reset_connections

    def reset_connections(self) -> None:
        """Reset all connections, as the crash of a process does."""
        for connection in list(self.open_connections):
            connection.transport.abort()

    def note_running(self) -> None:
        """Record how many requests are running."""
        self.most_running = max(self.most_running, self.running)

    def note_run(
        self, request_id: str, line: str, headers: dict, body: bytes
    ) -> None:
        """Record that the execution of a request has started."""
        self.runs.append((request_id, line, headers, body))

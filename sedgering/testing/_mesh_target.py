"""Stand-in of a target that speaks the platform's protocol."""

import asyncio
from collections.abc import Callable
import enum
import socket
import struct

from sedgering import transport

__all__ = ['TargetBooks', 'TargetHabit', 'TargetStandin']

#: Value of SO_LINGER: on, for 0 s.
NO_LINGER = struct.pack('ii', 1, 0)
RESET_AFTER_S = 0.05
#: Proof that an answer is the target's own.
PROOF = '3e1b.07.5a2.600.0.c9f2a4d1'


class TargetHabit(enum.Enum):
    """How the target treats requests."""

    SOUND = 'sound'
    SHED = 'shed'
    RESET = 'reset'
    ENCODED = 'encoded'
    NO_PROOF = 'no proof'
    FOREIGN = 'foreign answer first'
    EXTRA = 'extra answer after'
    UNFRAMED = 'unframed'
    UNFRAMED_RESET = 'unframed and reset'
    CUT_SHORT = 'cut short'
    FAILING = 'failing'


class TargetStandin(asyncio.Protocol):
    """Answers over raw connections, well or badly.

    Parameters
    ----------
    state : TargetState
        Shared by its connections.
    """

    def __init__(self, state: 'TargetBooks'):
        self.state = state
        self.buffer = b''
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task | None = None

    def connection_made(self, transport):
        """Count the connection."""
        self.transport = transport
        self.state.connections += 1
        self.state.open_connections.add(self)

    def connection_lost(self, exc):
        """Drop a request whose connection is closed."""
        self.state.open_connections.discard(self)
        if self.task is not None and not self.task.done():
            self.state.cancelled += 1
            self.task.cancel()

    def data_received(self, data):
        """Start a request once its body is there."""
        self.buffer += data
        head, mark, body = self.buffer.partition(b'\r\n\r\n')
        if not mark:
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
        books = self.state
        request_id = transport.find_header(headers, 'x-request-id')
        if line.startswith('GET /health '):
            status = (
                '503 Service Unavailable' if books.is_leaving else '200 OK'
            )
            own = [
                ('X-Instance-Id', books.target),
                ('X-Server-Load', books.load_field),
            ]
            self._write(status, own, b'')
            return
        expected = transport.find_header(headers, 'x-expect-instance')
        if expected not in (None, books.target):
            self._write('421 Misdirected Request', [], b'')
            return
        if books.habit is TargetHabit.SHED:
            self._write(
                '503 Service Unavailable', [('X-Not-Executed', '1')], b''
            )
            return
        books.fields.append(headers)
        books.note_run(request_id, line, dict(headers), body)
        books.running += 1
        books.most_running = max(books.most_running, books.running)
        try:
            await asyncio.sleep(books.work_s)
        finally:
            books.running -= 1
        if line.split()[1] in books.fatal_urls:
            books.end()
            return
        self._finish(request_id, books.habit)

    def _finish(self, request_id: str, habit: TargetHabit) -> None:
        own = [('X-Request-Id', request_id), ('X-Response-Signature', PROOF)]
        body = f'answer to {request_id}'.encode().ljust(self.state.body_bytes)
        if habit is TargetHabit.RESET:
            self.transport.abort()
        elif habit is TargetHabit.ENCODED:
            self._write('200 OK', [*own, ('Content-Encoding', 'gzip')], body)
        elif habit is TargetHabit.NO_PROOF:
            self._write('200 OK', own[:1], body)
        elif habit is TargetHabit.FOREIGN:
            foreign = [('X-Request-Id', 'other'), own[1]]
            self._write('200 OK', foreign, b'another body')
            self._write('200 OK', own, body)
        elif habit is TargetHabit.EXTRA:
            self._write('200 OK', own, body)
            self._write('200 OK', own, b'another body')
        elif habit is TargetHabit.UNFRAMED:
            self._write('200 OK', own, body, is_framed=False)
            self.transport.close()
        elif habit is TargetHabit.UNFRAMED_RESET:
            self._write('200 OK', own, body, is_framed=False)
            # The daemon has read what was sent before the reset comes.
            asyncio.get_running_loop().call_later(RESET_AFTER_S, self._reset)
        elif habit is TargetHabit.CUT_SHORT:
            self._write('200 OK', own, body, missing=3)
            self.transport.close()
        elif habit is TargetHabit.FAILING:
            self._write('500 Internal Server Error', own, body)
        else:
            self._write('200 OK', own, body)

    def _reset(self) -> None:
        """Close without the end of the stream (SO_LINGER of 0 s)."""
        sock = self.transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.transport.abort()

    def _write(self, status, headers, body, is_framed=True, missing=0) -> None:
        lines = [f'HTTP/1.1 {status}']
        lines += [f'{name}: {value}' for name, value in headers]
        if is_framed:
            lines.append(f'Content-Length: {len(body) + missing}')
        head = '\r\n'.join([*lines, '\r\n']).encode()
        self.transport.write(head + body)


class TargetBooks:
    """What a target did, and how it is to behave.

    Parameters
    ----------
    target : str
        Id of its lifetime.
    """

    def __init__(self, target: str):
        self.target = target
        self.habit = TargetHabit.SOUND
        #: What it tells of its load.
        self.load_field = '0,0,2'
        self.work_s = 0.0
        #: Least size of answers, which are filled up with spaces.
        self.body_bytes = 0
        self.runs: list[tuple] = []
        #: Fields of each run as they came, doubled ones too.
        self.fields: list[list[tuple[str, str]]] = []
        self.running = 0
        self.most_running = 0
        self.cancelled = 0
        self.connections = 0
        self.is_leaving = False
        self.open_connections: set[TargetStandin] = set()
        #: Requests under which the target ends, after the time of its work.
        self.fatal_urls: set[str] = set()
        #: Ends the target, as a crash would.
        self.end: Callable[[], None] = self.reset_connections

    def reset_connections(self) -> None:
        """Reset all connections, as the end of a process does."""
        for connection in list(self.open_connections):
            connection.transport.abort()

    def note_run(
        self, request_id: str, line: str, headers: dict, body: bytes
    ) -> None:
        """Note that a request began to run."""
        self.runs.append((request_id, line, headers, body))

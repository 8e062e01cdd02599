"""Callers that reuse connections and record how each request ended."""

import http.client
import random
import select
import socket
import threading
import time

import msgspec

from sedgering import platform
from soak import _daemons
from soak import _far_links
from soak import _keys

__all__ = ['CallRecord', 'Caller', 'ONCE_PATH', 'REPEATABLE_PATH']

HEADERS = platform.HEADERS
REPEATABLE_PATH = '/read/'
ONCE_PATH = '/once/'
BODY = 'notes'
HOST_HEADER = 'soak.example'
DEADLINE_MS = 1500
#: Timeout of the routes of the usual callers.
ROUTE_TIMEOUT_S = 1.2
#: Share of requests that must run at most once.
ONCE_SHARE = 0.4
REQUEST_PAUSE_S = 0.02
#: Pause after a refused or failed request.
FAILURE_PAUSE_S = 0.1
#: Receive buffer of a slow reader, much smaller than a large answer.
RECEIVE_BUFFER_BYTES = 8 * 1024
READ_BYTES = 16 * 1024
#: The shortest idle limit of a site: a daemon may close a connection on which
#: nothing has been read for longer.
MAX_PAUSE_S = 2.0
#: An interim response, which callers skip.
CONTINUE_STATUS = b'HTTP/1.1 100 '


class CallRecord(msgspec.Struct):
    """How one request ended.

    Parameters
    ----------
    request_id : str
        Id of the request.
    is_once : bool
        Whether it must run at most once.
    host : str
        Host whose daemon received the request.
    path : str
        Requested path.
    sent_s, done_s : float
        When it was sent and when it ended, on the monotonic clock.
    status : int
        Status of the answer; 0 without one.
    is_own : bool
        Whether the answer carries the proof, the id and the body that belong
        to this request.
    deadline_ms, size_bytes : int
        Deadline that the caller states, and minimum size of the answer.
    end : str
        Why there was no complete answer.
    began_s, reading_s : float
        When an answer began to arrive, its own or the one before it on the
        connection, and the time that the caller deliberately spends on
        reading those answers.
    delay_s : float
        Delay of the link of its caller in each direction.
    paused_s : float
        The part of it in which the caller reads nothing.
    key, workspace : str
        Key that was sent, and the workspace that owns it; empty for a forged
        key.
    last_byte_s : float
        When its last byte was sent; 0 if it was not sent whole.
    is_kept, is_behind : bool
        Whether its connection had carried an answer before, and whether it
        was sent behind an unanswered request.
    has_left : bool
        Whether the caller left before the answer, on purpose.
    timeout_s : float
        Timeout of its route.
    body_bytes : int
        Size of the body of a request that must run at most once.
    has_proof : bool
        Whether the answer carries the proof of a target.
    target_set : str
        Set that its route leads to; empty if not known.
    """

    request_id: str
    is_once: bool
    host: str
    path: str
    sent_s: float
    done_s: float = 0.0
    status: int = 0
    is_own: bool = False
    deadline_ms: int = DEADLINE_MS
    size_bytes: int = 0
    began_s: float = 0.0
    reading_s: float = 0.0
    delay_s: float = 0.0
    paused_s: float = 0.0
    end: str = ''
    key: str = ''
    workspace: str = ''
    last_byte_s: float = 0.0
    is_kept: bool = False
    is_behind: bool = False
    has_left: bool = False
    timeout_s: float = ROUTE_TIMEOUT_S
    body_bytes: int = len(BODY)
    has_proof: bool = False
    target_set: str = ''

    @property
    def method(self) -> str:
        """Method of the request."""
        return 'POST' if self.is_once else 'GET'

    @property
    def is_unread(self) -> bool:
        """Whether its caller read nothing for longer than is waited for."""
        return self.paused_s > MAX_PAUSE_S

    @property
    def is_forged(self) -> bool:
        """Whether its key was never issued."""
        return bool(self.key) and not self.workspace


class Caller(threading.Thread):
    """Thread that sends requests to the daemon of one host.

    Parameters
    ----------
    name : str
        Prefix of its request ids.
    daemon : Daemon
        Daemon that receives the requests.
    seed : int
        Seed of its random choices.
    """

    #: Socket timeout: how long the daemon may send nothing.
    receive_timeout_s = 8.0
    #: Port that it connects to.
    port = _daemons.CALLERS_PORT
    #: Delay of its link in each direction.
    delay_s = 0.0
    #: Pause after an answered request.
    pause_s = REQUEST_PAUSE_S

    def __init__(self, name: str, daemon: _daemons.Daemon, seed: int):
        super().__init__(name=name, daemon=True)
        self.host_daemon = daemon
        self.records: list[CallRecord] = []
        self.is_stopping = False
        #: Reading rate, 0 for unlimited, and the delay between a request
        #: and the next one pipelined on its connection.
        self.read_bytes_per_s, self.pipeline_delay_s = 0, 0.0
        #: None if no route requires a key.
        self.keys: _keys.KeyChooser | None = None
        self._rng = random.Random(seed)
        self._socket: socket.socket | None = None
        self._stream = None
        #: Whether it has sent a request that has not ended.
        self.is_waiting = False
        #: Whether the connection has carried an answer.
        self._has_answers = False

    def run(self) -> None:
        """Send requests until the caller is stopped."""
        while not self.is_stopping:
            records = self._choose_requests()
            try:
                self._exchange(records)
            except (OSError, http.client.HTTPException) as error:
                # Without an answer no guarantee applies to the outcome.
                self._disconnect()
                for record in records:
                    record.end = repr(error)
            self.is_waiting = False
            for record in records:
                record.done_s = record.done_s or time.monotonic()
            self.records += records
            has_succeeded = all(record.status == 200 for record in records)
            time.sleep(self.pause_s if has_succeeded else FAILURE_PAUSE_S)

    def _choose_requests(self) -> list[CallRecord]:
        """Choose the requests of the next exchange, in pipeline order."""
        is_once = self._rng.random() < ONCE_SHARE
        path = ONCE_PATH if is_once else REPEATABLE_PATH
        return [self._make_record(0, is_once, path)]

    def _make_record(self, number: int, is_once: bool, path: str):
        name = f'{self.name}-{len(self.records) + number}'
        host, now_s = self.host_daemon.name, time.monotonic()
        record = CallRecord(name, is_once, host, path, now_s)
        record.delay_s = self.delay_s
        if self.keys is not None:
            sent_key = self.keys.choose_key()
            record.key, record.workspace = sent_key.key, sent_key.workspace
        return record

    def _exchange(self, records: list[CallRecord]) -> None:
        """Send pipelined requests and read their answers."""
        if self.read_bytes_per_s:
            # The receive buffer can only be reduced before connecting.
            self._disconnect()
        if self._socket is None:
            self._connect()
        for record in records:
            if record is not records[0]:
                self._wait_to_pipeline()
            record.sent_s = time.monotonic()
            record.is_kept = self._has_answers
            record.is_behind = record is not records[0]
            self._send(_encode_request(record))
            record.last_byte_s = time.monotonic()
            self.is_waiting = True
        for record in records:
            record.began_s = records[0].began_s
            # What is behind a request is left with it.
            record.has_left = records[0].has_left
            if self._socket is not None and not self._read(record):
                self._disconnect()

    def _wait_to_pipeline(self) -> None:
        """Wait before the next request, unless the connection ends."""
        end_s = time.monotonic() + self.pipeline_delay_s
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        is_readable = poll.poll(1000 * self.pipeline_delay_s)
        if is_readable and not self._socket.recv(1, socket.MSG_PEEK):
            raise http.client.RemoteDisconnected('closed without an answer')
        time.sleep(max(0.0, end_s - time.monotonic()))

    def _send(self, data: bytes) -> None:
        self._socket.sendall(data)

    def _connect(self) -> None:
        self._has_answers = False
        self._socket = socket.socket()
        self._stream = self._socket.makefile('rb')
        self._socket.settimeout(self.receive_timeout_s)
        if self.read_bytes_per_s:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        self._socket.connect((self.host_daemon.address, self.port))
        connected = _far_links.CONNECTED
        if self.delay_s and self._socket.recv(len(connected)) != connected:
            raise ConnectionRefusedError('refused behind a link')

    def _read(self, record: CallRecord) -> bool:
        """Read an answer; return whether the connection stays open."""
        status_line = self._stream.readline()
        while status_line.startswith(CONTINUE_STATUS):
            http.client.parse_headers(self._stream)
            status_line = self._stream.readline()
        if not status_line.endswith(b'\r\n'):
            raise http.client.RemoteDisconnected(
                f'incomplete status line {status_line!r}'
            )
        record.began_s = time.monotonic()
        headers = http.client.parse_headers(self._stream)
        remaining_bytes = int(headers['Content-Length'])
        body = bytearray()
        while remaining_bytes:
            chunk = self._stream.read(min(READ_BYTES, remaining_bytes))
            if not chunk:
                raise http.client.IncompleteRead(bytes(body), remaining_bytes)
            body += chunk
            remaining_bytes -= len(chunk)
            time.sleep(
                len(chunk) / self.read_bytes_per_s
                if self.read_bytes_per_s
                else 0
            )
        record.status = int(status_line.split()[1])
        record.done_s = time.monotonic()
        self._has_answers = True
        expected = f'answer to {record.request_id}'.encode()
        record.has_proof = headers[HEADERS.proof] is not None
        record.is_own = (
            record.has_proof
            and headers[HEADERS.request_id] == record.request_id
            and body == expected.ljust(record.size_bytes)
        )
        return headers['Connection'] != 'close'

    def _disconnect(self) -> None:
        if self._socket is not None:
            self._stream.close()
            self._socket.close()
            self._socket = None


def _encode_key(record: CallRecord) -> str:
    """Encode a key and a workspace header that daemons must ignore."""
    field = f'{_keys.KEY_HEADER}: {HEADERS.key_scheme} {record.key}'
    return f'{field}\r\n{HEADERS.workspace}: claimed-by-caller'


def _encode_request(record: CallRecord) -> bytes:
    """Encode the request of a record."""
    body = BODY.ljust(record.body_bytes) if record.is_once else ''
    lines = (
        f'{record.method} {record.path} HTTP/1.1',
        f'Host: {HOST_HEADER}',
        f'{HEADERS.request_id}: {record.request_id}',
        f'{HEADERS.deadline_ms}: {record.deadline_ms}',
        *([_encode_key(record)] if record.key else []),
        *([f'Content-Length: {len(body)}'] if body else []),
        f'\r\n{body}',
    )
    return '\r\n'.join(lines).encode()

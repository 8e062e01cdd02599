"""Callers that keep connections open, and note how each request ended."""

import http.client
import random
import socket
import threading
import time

import msgspec

from sedgering import platform
from soak import _daemons
from soak import _keys

__all__ = ['CallRecord', 'Caller', 'ONCE_PATH', 'REPEATABLE_PATH']

NAMES = platform.HEADERS
REPEATABLE_PATH = '/read/'
ONCE_PATH = '/once/'
HOST_HEADER = 'soak.example'
DEADLINE_MS = 1500
#: Share of requests that may run once only.
ONCE_SHARE = 0.4
PAUSE_S = 0.02
#: Pause after a refusal or a failure.
RETURN_PAUSE_S = 0.1
#: Of a caller that reads slowly: far less than an answer.
RECEIVE_BUFFER_BYTES = 8 * 1024
PIECE_BYTES = 16 * 1024


class CallRecord(msgspec.Struct):
    """How one request ended.

    Parameters
    ----------
    request_id : str
        Of the request.
    is_once : bool
        Whether it may run once only.
    host : str
        Whose daemon was asked.
    path : str
        Asked for.
    sent_s, done_s : float
        Times of the monotonic clock.
    status : int
        Of the answer; 0 when there was none.
    is_own : bool
        Whether a success carries the proof and the own body.
    deadline_ms, size_bytes : int
        Stated by the caller, and least size of the answer.
    end : str
        Why there was no whole answer.
    began_s, reading_s : float
        When an answer began to arrive, its own or the one before it, and
        the time that the caller takes by choice to read those.
    key, workspace : str
        Sent, and its holder; a key that nobody holds has none.
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
    end: str = ''
    key: str = ''
    workspace: str = ''

    @property
    def is_forged(self) -> bool:
        """Whether its key was never given out."""
        return bool(self.key) and not self.workspace


class Caller(threading.Thread):
    """One caller of one host.

    Parameters
    ----------
    name : str
        Start of the ids of its requests.
    daemon : Daemon
        Asked.
    seed : int
        Of its choices.
    """

    #: Longest silence of a daemon that it bears.
    patience_s = 8.0

    def __init__(self, name: str, daemon: _daemons.Daemon, seed: int):
        super().__init__(name=name, daemon=True)
        self.host_daemon = daemon
        self.records: list[CallRecord] = []
        self.is_stopping = False
        #: Bytes read a second, 0 for as many as come, and time between a
        #: request and one that is sent behind it.
        self.rate, self.behind_s = 0, 0.0
        #: None where no route needs a key.
        self.keys: _keys.KeyRing | None = None
        self._rng = random.Random(seed)
        self._socket: socket.socket | None = None
        self._stream = None

    def run(self) -> None:
        """Ask again and again."""
        while not self.is_stopping:
            records = self._choose()
            try:
                self._exchange(records)
            except (OSError, http.client.HTTPException) as error:
                # No answer: nothing is promised.
                self._drop()
                for record in records:
                    record.end = repr(error)
            for record in records:
                record.done_s = record.done_s or time.monotonic()
            self.records += records
            is_good = all(record.status == 200 for record in records)
            time.sleep(PAUSE_S if is_good else RETURN_PAUSE_S)

    def _choose(self) -> list[CallRecord]:
        """Choose what is asked next, one request behind the other."""
        is_once = self._rng.random() < ONCE_SHARE
        path = ONCE_PATH if is_once else REPEATABLE_PATH
        return [self._make_record(0, is_once, path)]

    def _make_record(self, number: int, is_once: bool, path: str):
        name = f'{self.name}-{len(self.records) + number}'
        host, now_s = self.host_daemon.name, time.monotonic()
        record = CallRecord(name, is_once, host, path, now_s)
        if self.keys is not None:
            sent = self.keys.choose()
            record.key, record.workspace = sent.key, sent.workspace
        return record

    def _exchange(self, records: list[CallRecord]) -> None:
        """Send requests, one behind the other, and read their answers."""
        if self.rate:
            # Only a new connection has a small window.
            self._drop()
        if self._socket is None:
            self._connect()
        for record in records:
            time.sleep(0 if record is records[0] else self.behind_s)
            record.sent_s = time.monotonic()
            self._socket.sendall(_encode(record))
        for record in records:
            record.began_s = records[0].began_s
            if self._socket is not None and not self._read(record):
                self._drop()

    def _connect(self) -> None:
        self._socket = socket.socket()
        self._stream = self._socket.makefile('rb')
        self._socket.settimeout(self.patience_s)
        if self.rate:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        self._socket.connect((self.host_daemon.address, _daemons.CALLERS_PORT))

    def _read(self, record: CallRecord) -> bool:
        """Read an answer; say whether the connection stays open."""
        line = self._stream.readline()
        if not line.endswith(b'\r\n'):
            raise http.client.RemoteDisconnected(f'after {line!r}')
        record.began_s = time.monotonic()
        headers = http.client.parse_headers(self._stream)
        left_bytes = int(headers['Content-Length'])
        body = b''
        while left_bytes:
            piece = self._stream.read(min(PIECE_BYTES, left_bytes))
            if not piece:
                raise http.client.IncompleteRead(body, left_bytes)
            body += piece
            left_bytes -= len(piece)
            time.sleep(len(piece) / self.rate if self.rate else 0)
        record.status = int(line.split()[1])
        record.done_s = time.monotonic()
        expected = f'answer to {record.request_id}'.encode()
        record.is_own = (
            headers[NAMES.proof] is not None
            and headers[NAMES.request_id] == record.request_id
            and body == expected.ljust(record.size_bytes)
        )
        return headers['Connection'] != 'close'

    def _drop(self) -> None:
        if self._socket is not None:
            self._stream.close()
            self._socket.close()
            self._socket = None


def _encode_key(record: CallRecord) -> str:
    """Encode a key, and a claim that is not to be believed."""
    key = f'{_keys.SCHEME_FIELD}: {NAMES.key_scheme} {record.key}'
    return f'{key}\r\n{NAMES.workspace}: claimed-by-caller'


def _encode(record: CallRecord) -> bytes:
    """Encode a request."""
    method, body = ('POST', 'notes') if record.is_once else ('GET', '')
    lines = (
        f'{method} {record.path} HTTP/1.1',
        f'Host: {HOST_HEADER}',
        f'{NAMES.request_id}: {record.request_id}',
        f'{NAMES.deadline_ms}: {record.deadline_ms}',
        *([_encode_key(record)] if record.key else []),
        *([f'Content-Length: {len(body)}'] if body else []),
        f'\r\n{body}',
    )
    return '\r\n'.join(lines).encode()

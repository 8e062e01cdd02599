"""Callers that keep connections open, and note how each request ended."""

import http.client
import random
import threading
import time

import msgspec

from sedgering import platform
from soak import _daemons

__all__ = ['CallRecord', 'Caller', 'ONCE_PATH', 'REPEATABLE_PATH']

NAMES = platform.HEADERS
REPEATABLE_PATH = '/read/'
ONCE_PATH = '/once/'
HOST_HEADER = 'soak.example'
DEADLINE_MS = 1500
#: Longest silence of a daemon that a caller bears.
PATIENCE_S = 8.0
#: Share of requests that may run once only.
ONCE_SHARE = 0.4
PAUSE_S = 0.02
#: Pause after a refusal or a failure.
RETURN_PAUSE_S = 0.1


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
    sent_s, done_s : float
        Times of the monotonic clock.
    status : int
        Of the answer; 0 when there was none.
    is_own : bool
        Whether a success carries the proof and the own body.
    lifetimes : tuple of int
        Lifetimes of the daemon when it was sent and when it ended.
    """

    request_id: str
    is_once: bool
    host: str
    sent_s: float
    done_s: float = 0.0
    status: int = 0
    is_own: bool = False
    lifetimes: tuple[int, int] = (0, 0)


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

    def __init__(self, name: str, daemon: _daemons.Daemon, seed: int):
        super().__init__(name=name, daemon=True)
        self.host_daemon = daemon
        self.records: list[CallRecord] = []
        self.is_stopping = False
        self._rng = random.Random(seed)
        self._connection: http.client.HTTPConnection | None = None

    def run(self) -> None:
        """Ask again and again."""
        while not self.is_stopping:
            record = self._ask(len(self.records))
            self.records.append(record)
            is_good = record.status == 200
            time.sleep(PAUSE_S if is_good else RETURN_PAUSE_S)

    def _ask(self, number: int) -> CallRecord:
        daemon = self.host_daemon
        record = CallRecord(
            f'{self.name}-{number}',
            self._rng.random() < ONCE_SHARE,
            daemon.name,
            time.monotonic(),
        )
        lifetime = daemon.lifetime
        try:
            self._exchange(record)
        except (OSError, http.client.HTTPException):
            # No answer: nothing is promised.
            self._drop()
        record.done_s = time.monotonic()
        record.lifetimes = (lifetime, daemon.lifetime)
        return record

    def _exchange(self, record: CallRecord) -> None:
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self.host_daemon.address,
                _daemons.CALLERS_PORT,
                timeout=PATIENCE_S,
            )
        method, path = 'GET', REPEATABLE_PATH
        if record.is_once:
            method, path = 'POST', ONCE_PATH
        self._connection.request(
            method,
            path,
            body=b'notes' if record.is_once else None,
            headers={
                'Host': HOST_HEADER,
                NAMES.request_id: record.request_id,
                NAMES.deadline_ms: str(DEADLINE_MS),
            },
        )
        response = self._connection.getresponse()
        body = response.read()
        record.status = response.status
        record.is_own = (
            response.getheader(NAMES.proof) is not None
            and response.getheader(NAMES.request_id) == record.request_id
            and body == f'answer to {record.request_id}'.encode()
        )
        if response.will_close:
            self._drop()

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

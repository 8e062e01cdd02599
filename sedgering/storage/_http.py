"""The platform over HTTP, with bounded time, bounded queue and a circuit."""

from collections.abc import Callable
from collections.abc import Sequence
import random
import threading
from typing import TypeVar

import msgspec
import urllib3

from sedgering import base
from sedgering import clock
from sedgering import exceptions
from sedgering import settings
from sedgering.storage import _base
from sedgering.storage import _circuit
from sedgering.storage import _wire

__all__ = ['HttpPlatform', 'make_http_platform']

BodyT = TypeVar('BodyT')

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_BUSY = 429
#: Connections never opened: the request cannot have reached the platform.
NEVER_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)

_ENCODER = msgspec.json.Encoder()


class _NotSent(Exception):
    """The request was not sent; the code says why."""

    def __init__(self, code: exceptions.Code, detail: str):
        super().__init__(code, detail)
        self.code = code
        self.detail = detail


class HttpPlatform(_base.TableStore, _base.ObjectStore):
    """Table service and object store of the platform.

    Parameters
    ----------
    platform_settings : PlatformSettings
        Address, deadline, queue length and circuit.
    circuit : Circuit
        Shared by all calls of this process.
    now_ms : callable
        Monotonic time in milliseconds.
    """

    def __init__(
        self,
        platform_settings: settings.PlatformSettings,
        circuit: _circuit.Circuit,
        now_ms: Callable[[], int],
    ):
        self.platform_settings = platform_settings
        self.circuit = circuit
        self.now_ms = now_ms
        limit = platform_settings.concurrent_calls
        self._calls = threading.BoundedSemaphore(limit)
        self._lock = threading.Lock()
        self._pool = urllib3.HTTPConnectionPool(
            str(platform_settings.address),
            platform_settings.port,
            maxsize=limit,
            retries=False,
            timeout=urllib3.Timeout(total=platform_settings.timeout_ms / 1000),
        )

    def read(self, keys: Sequence[str]) -> tuple[_base.Row, ...]:
        """Read rows as of one moment; see :class:`TableStore`."""
        request = _wire.ReadRequest(keys=tuple(keys))
        return self._fetch_rows('/v1/table/read', request)

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> tuple[_base.Row, ...]:
        """Read rows by prefix; see :class:`TableStore`."""
        request = _wire.ScanRequest(prefix=prefix, after=after, limit=limit)
        return self._fetch_rows('/v1/table/scan', request)

    def transact(self, transaction: _base.Transaction) -> _base.Outcome:
        """Try a transaction once; see :class:`TableStore`."""
        body = _ENCODER.encode(transaction)
        return self._write('POST', '/v1/table/transact', body)

    def put_object(self, digest: base.Digest, body: bytes) -> _base.Outcome:
        """Store an object; see :class:`ObjectStore`."""
        return self._write('PUT', _object_path(digest), body)

    def get_object(self, digest: base.Digest) -> bytes:
        """Fetch an object; see :class:`ObjectStore`."""
        response = self._ask('GET', _object_path(digest), None)
        if response.status == STATUS_NOT_FOUND:
            raise exceptions.PlatformError(
                exceptions.Code.PLATFORM_NO_OBJECT, digest.hex()
            )
        _check_read(response)
        return response.data

    def _fetch_rows(
        self, path: str, request: msgspec.Struct
    ) -> tuple[_base.Row, ...]:
        response = self._ask('POST', path, _ENCODER.encode(request))
        _check_read(response)
        try:
            return msgspec.json.decode(response.data, type=_wire.RowsBody).rows
        except msgspec.DecodeError as error:
            raise exceptions.PlatformError(
                exceptions.Code.PLATFORM_REFUSED, str(error)
            ) from error

    def _ask(
        self, method: str, path: str, body: bytes | None
    ) -> urllib3.BaseHTTPResponse:
        """Send a read; any failure is an error without side effect."""
        try:
            return self._send(method, path, body)
        except _NotSent as error:
            raise exceptions.PlatformError(error.code, error.detail) from error
        except urllib3.exceptions.HTTPError as error:
            raise exceptions.PlatformError(
                exceptions.Code.PLATFORM_DOWN, _describe(error)
            ) from error

    def _write(self, method: str, path: str, body: bytes) -> _base.Outcome:
        try:
            response = self._send(method, path, body)
        except _NotSent as error:
            return _base.Outcome(
                _base.OutcomeKind.NOT_DONE, error.code, error.detail
            )
        except NEVER_SENT as error:
            return _base.Outcome(
                _base.OutcomeKind.NOT_DONE,
                exceptions.Code.PLATFORM_DOWN,
                _describe(error),
            )
        except urllib3.exceptions.HTTPError as error:
            # The request may have taken effect although no answer came.
            return _base.Outcome(
                _base.OutcomeKind.UNKNOWN,
                exceptions.Code.PLATFORM_UNKNOWN,
                _describe(error),
            )
        return _classify_write(response)

    def _send(
        self, method: str, path: str, body: bytes | None
    ) -> urllib3.BaseHTTPResponse:
        with self._lock:
            allowed = self.circuit.allow(self.now_ms())
        if not allowed:
            raise _NotSent(exceptions.Code.PLATFORM_CIRCUIT, 'open')
        wait_s = self.platform_settings.queue_wait_ms / 1000
        if not self._calls.acquire(timeout=wait_s):
            raise _NotSent(exceptions.Code.PLATFORM_BUSY, 'own queue full')
        try:
            response = self._pool.urlopen(method, path, body=body)
        except urllib3.exceptions.HTTPError:
            self._record(False)
            raise
        finally:
            self._calls.release()
        self._record(response.status < 500)
        return response

    def _record(self, succeeded: bool) -> None:
        with self._lock:
            self.circuit.record(succeeded, self.now_ms())


def make_http_platform(
    platform_settings: settings.PlatformSettings, rng: random.Random
) -> HttpPlatform:
    """Make the platform client that settings describe.

    Parameters
    ----------
    platform_settings : PlatformSettings
        Validated settings.
    rng : random.Random
        Jitter of the circuit.
    """
    circuit = _circuit.Circuit(
        platform_settings.circuit_failures,
        platform_settings.circuit_open_ms,
        platform_settings.circuit_max_open_ms,
        rng,
    )
    return HttpPlatform(platform_settings, circuit, clock.monotonic_ms)


def _object_path(digest: base.Digest) -> str:
    return f'/v1/objects/{digest.hex()}'


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'


def _check_read(response: urllib3.BaseHTTPResponse) -> None:
    if response.status == STATUS_OK:
        return
    code = exceptions.Code.PLATFORM_REFUSED
    if response.status == STATUS_BUSY:
        code = exceptions.Code.PLATFORM_BUSY
    elif response.status >= 500:
        code = exceptions.Code.PLATFORM_DOWN
    raise exceptions.PlatformError(code, f'status {response.status}')


def _classify_write(response: urllib3.BaseHTTPResponse) -> _base.Outcome:
    status = response.status
    detail = f'status {status}'
    if status == STATUS_OK:
        return _base.Outcome(_base.OutcomeKind.DONE)
    if status == STATUS_CONFLICT:
        return _base.Outcome(
            _base.OutcomeKind.NOT_DONE,
            exceptions.Code.PLATFORM_CONFLICT,
            detail,
        )
    if status < 500:
        code = exceptions.Code.PLATFORM_REFUSED
        if status == STATUS_BUSY:
            code = exceptions.Code.PLATFORM_BUSY
        return _base.Outcome(_base.OutcomeKind.NOT_DONE, code, detail)
    if _wire.NOT_RUN_HEADER in response.headers:
        return _base.Outcome(
            _base.OutcomeKind.NOT_DONE,
            exceptions.Code.PLATFORM_DOWN,
            detail,
        )
    return _base.Outcome(
        _base.OutcomeKind.UNKNOWN, exceptions.Code.PLATFORM_UNKNOWN, detail
    )

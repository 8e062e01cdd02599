"""Calls of a store, with a bounded queue and a circuit."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import random
import threading

from sedgering import base
from sedgering import clock
from sedgering import exceptions
from sedgering import settings
from sedgering.storage import _base
from sedgering.storage import _circuit

__all__ = ['GuardedStore', 'make_guarded_store']

#: Failures that tell that the platform is away.
_AWAY_CODES = frozenset(
    (exceptions.Code.PLATFORM_DOWN, exceptions.Code.PLATFORM_UNKNOWN)
)


class GuardedStore(_base.TableStore, _base.ObjectStore):
    """Table service and object store of the platform.

    Parameters
    ----------
    table : TableStore
        Asked for rows.
    objects : ObjectStore
        Asked for objects.
    platform_settings : PlatformSettings
        Queue length and wait.
    circuit : Circuit
        Shared by all calls of this store.
    now_ms : callable
        Monotonic time in milliseconds.
    """

    def __init__(
        self,
        table: _base.TableStore,
        objects: _base.ObjectStore,
        platform_settings: settings.PlatformSettings,
        circuit: _circuit.Circuit,
        now_ms: Callable[[], int],
    ):
        self.table = table
        self.objects = objects
        self.platform_settings = platform_settings
        self.circuit = circuit
        self.now_ms = now_ms
        self._calls = threading.BoundedSemaphore(
            platform_settings.concurrent_calls
        )
        self._lock = threading.Lock()

    def read(self, keys: Sequence[str]) -> tuple[_base.Row, ...]:
        """Read rows as of one moment; see :class:`TableStore`."""
        with self._guard_read():
            return self.table.read(keys)

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> tuple[_base.Row, ...]:
        """Read rows by prefix; see :class:`TableStore`."""
        with self._guard_read():
            return self.table.scan(prefix, after, limit)

    def transact(self, transaction: _base.Transaction) -> _base.Outcome:
        """Try a transaction once; see :class:`TableStore`."""
        return self._write(lambda: self.table.transact(transaction))

    def put_object(self, digest: base.Digest, body: bytes) -> _base.Outcome:
        """Store an object; see :class:`ObjectStore`."""
        return self._write(lambda: self.objects.put_object(digest, body))

    def get_object(self, digest: base.Digest) -> bytes:
        """Fetch an object; see :class:`ObjectStore`."""
        with self._guard_read():
            return self.objects.get_object(digest)

    @contextlib.contextmanager
    def _guard_read(self) -> Iterator[None]:
        with self._take_place():
            try:
                yield
            except exceptions.PlatformError as error:
                self._record(error.code)
                raise
            self._record(None)

    def _write(self, write: Callable[[], _base.Outcome]) -> _base.Outcome:
        try:
            with self._take_place():
                outcome = write()
                self._record(outcome.code)
                return outcome
        except exceptions.PlatformError as error:
            # Not sent: the circuit is open, or the own queue is full.
            return _base.Outcome(
                _base.OutcomeKind.NOT_DONE, error.code, error.detail
            )

    @contextlib.contextmanager
    def _take_place(self) -> Iterator[None]:
        with self._lock:
            allowed = self.circuit.allow(self.now_ms())
        if not allowed:
            raise exceptions.PlatformError(
                exceptions.Code.PLATFORM_CIRCUIT, 'open'
            )
        wait_s = self.platform_settings.queue_wait_ms / 1000
        if not self._calls.acquire(timeout=wait_s):
            raise exceptions.PlatformError(
                exceptions.Code.PLATFORM_BUSY, 'own queue full'
            )
        try:
            yield
        finally:
            self._calls.release()

    def _record(self, code: exceptions.Code | None) -> None:
        with self._lock:
            self.circuit.record(code not in _AWAY_CODES, self.now_ms())


def make_guarded_store(
    table: _base.TableStore,
    objects: _base.ObjectStore,
    platform_settings: settings.PlatformSettings,
    rng: random.Random,
) -> GuardedStore:
    """Make a store with the queue and the circuit that settings describe.

    Parameters
    ----------
    table, objects
        The platform.
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
    return GuardedStore(
        table, objects, platform_settings, circuit, clock.monotonic_ms
    )

"""Table service and object store in memory, with faults on demand."""

import collections
from collections.abc import Sequence
import threading
import time

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering import storage

__all__ = ['Faults', 'InMemoryPlatform', 'PlatformEngine', 'Stats']

#: Budgets of the brief: several hundred writes, two thousand reads.
WRITES_PER_S = 400
READS_PER_S = 2000
#: Names of fetched objects that are kept for tests.
FETCHED_LIMIT = 1000


class Faults(msgspec.Struct):
    """Faults in force.

    Parameters
    ----------
    down : bool
        Every call is refused before it does anything.
    slow_ms : int
        Every call takes this much longer.
    lose_answers : int
        So many writes to come take effect without an answer.
    delay_writes : int
        So many transactions to come get no answer, and are carried out
        only by :meth:`PlatformEngine.deliver_delayed`, or never.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    delay_writes: int = 0


class Stats(msgspec.Struct):
    """Calls since the start."""

    reads: int = 0
    writes: int = 0
    object_gets: int = 0
    object_puts: int = 0
    refused: int = 0
    bytes_out: int = 0


class _Bucket:
    """Token bucket with one second of burst."""

    def __init__(self, per_s: int):
        self.per_s = per_s
        self._tokens = float(per_s)
        self._at_s = 0.0

    def take(self, now_s: float) -> bool:
        """Take a token when there is one."""
        gained = (now_s - self._at_s) * self.per_s
        self._tokens = min(float(self.per_s), self._tokens + gained)
        self._at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class AnswerLost(Exception):
    """The write may have taken effect; no answer is given."""


class PlatformEngine:
    """Rows, objects, budgets and faults; thread-safe.

    Parameters
    ----------
    now_s : callable
        Monotonic time in seconds, for the budgets.
    """

    def __init__(self, now_s=time.monotonic):
        self.faults = Faults()
        self.stats = Stats()
        self.fetched_objects: collections.deque[str] = collections.deque(
            maxlen=FETCHED_LIMIT
        )
        self._now_s = now_s
        self._rows: dict[str, storage.Row] = {}
        self._objects: dict[str, bytes] = {}
        self._delayed: list[storage.Transaction] = []
        self._revision = 0
        self._lock = threading.Lock()
        self._writes = _Bucket(WRITES_PER_S)
        self._reads = _Bucket(READS_PER_S)

    def read(self, keys: Sequence[str]) -> tuple[storage.Row, ...]:
        """Read rows as of one moment."""
        with self._lock:
            self._admit(self._reads)
            self.stats.reads += 1
            return tuple(
                self._rows.get(key) or storage.Row(key) for key in keys
            )

    def scan(
        self, prefix: str, after: str, limit: int
    ) -> tuple[storage.Row, ...]:
        """Read rows by prefix."""
        with self._lock:
            self._admit(self._reads)
            self.stats.reads += 1
            keys = sorted(
                key
                for key in self._rows
                if key.startswith(prefix) and key > after
            )
            return tuple(self._rows[key] for key in keys[:limit])

    def transact(self, transaction: storage.Transaction) -> bool:
        """Try a transaction; False when a condition does not hold."""
        with self._lock:
            self._admit(self._writes)
            self.stats.writes += 1
            if self.faults.delay_writes > 0:
                self.faults.delay_writes -= 1
                self._delayed.append(transaction)
                raise AnswerLost
            is_met = self._try(transaction)
            self._lose_answer()
            return is_met

    def deliver_delayed(self) -> None:
        """Carry out the transactions that were held up on their way."""
        with self._lock:
            for transaction in self._delayed:
                self._try(transaction)
            self._delayed.clear()

    def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        with self._lock:
            self._admit(self._writes)
            self.stats.object_puts += 1
            self._objects[name] = body
            self._lose_answer()

    def get_object(self, name: str) -> bytes | None:
        """Fetch an object."""
        with self._lock:
            self._admit(self._reads)
            self.stats.object_gets += 1
            self.fetched_objects.append(name)
            return self._objects.get(name)

    def _admit(self, bucket: _Bucket) -> None:
        if self.faults.down:
            raise exceptions.PlatformError(exceptions.Code.PLATFORM_DOWN)
        if not bucket.take(self._now_s()):
            self.stats.refused += 1
            raise exceptions.PlatformError(exceptions.Code.PLATFORM_BUSY)

    def _revision_of(self, key: str) -> int:
        row = self._rows.get(key)
        return row.revision if row else 0

    def _try(self, transaction: storage.Transaction) -> bool:
        is_met = all(
            self._revision_of(item.key) == item.revision
            for item in transaction.conditions
        )
        if is_met:
            self._commit(transaction)
        return is_met

    def _commit(self, transaction: storage.Transaction) -> None:
        self._revision += 1
        for put in transaction.puts:
            self._rows[put.key] = storage.Row(
                put.key, self._revision, put.value
            )
        for key in transaction.deletes:
            self._rows.pop(key, None)

    def _lose_answer(self) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise AnswerLost


class InMemoryPlatform(storage.TableStore, storage.ObjectStore):
    """The stores of an engine without a network between.

    Parameters
    ----------
    engine : PlatformEngine
        Shared by all clients of a test.
    """

    def __init__(self, engine: PlatformEngine):
        self.engine = engine

    def read(self, keys: Sequence[str]) -> tuple[storage.Row, ...]:
        """Read rows."""
        return self.engine.read(keys)

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> tuple[storage.Row, ...]:
        """Read rows by prefix."""
        return self.engine.scan(prefix, after, limit)

    def transact(self, transaction: storage.Transaction) -> storage.Outcome:
        """Try a transaction."""
        try:
            is_met = self.engine.transact(transaction)
        except (AnswerLost, exceptions.PlatformError) as error:
            return _tell_failure(error)
        if is_met:
            return storage.Outcome(storage.OutcomeKind.DONE)
        return storage.Outcome(
            storage.OutcomeKind.NOT_DONE, exceptions.Code.PLATFORM_CONFLICT
        )

    def put_object(self, digest: base.Digest, body: bytes) -> storage.Outcome:
        """Store an object."""
        try:
            self.engine.put_object(digest.hex(), body)
        except (AnswerLost, exceptions.PlatformError) as error:
            return _tell_failure(error)
        return storage.Outcome(storage.OutcomeKind.DONE)

    def get_object(self, digest: base.Digest) -> bytes:
        """Fetch an object."""
        body = self.engine.get_object(digest.hex())
        if body is None:
            raise exceptions.PlatformError(
                exceptions.Code.PLATFORM_NO_OBJECT, digest.hex()
            )
        return body


def _tell_failure(error: Exception) -> storage.Outcome:
    if isinstance(error, exceptions.PlatformError):
        return storage.Outcome(storage.OutcomeKind.NOT_DONE, error.code)
    return storage.Outcome(
        storage.OutcomeKind.UNKNOWN, exceptions.Code.PLATFORM_UNKNOWN
    )

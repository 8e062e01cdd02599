"""In-memory table service and object store with fault injection."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import enum
import threading
import time

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering import platform
from sedgering import storage

__all__ = [
    'ResponseLost',
    'Faults',
    'InMemoryPlatform',
    'PlatformEngine',
    'Stats',
    'StoreMode',
    'TableEntry',
]

#: Rate limits from the requirements: several hundred writes and two thousand
#: reads per second.
WRITES_PER_S = 400
READS_PER_S = 2000
#: Number of fetched object names that are kept for tests.
MAX_FETCHED_NAMES = 1000
#: Number of changes that are kept for watches.
MAX_HISTORY_CHANGES = 100_000


class StoreMode(enum.Enum):
    """How the store handles calls."""

    SOUND = 'sound'
    #: Every call is rejected before it has any effect.
    BUSY = 'busy'
    LIMITED = 'limited'
    #: Connections are closed without a response; calls have no effect.
    RESET = 'reset'
    SILENT = 'silent'
    #: Writes take effect, and their responses are lost.
    LOSE_ANSWERS = 'lose answers'
    #: Writes take effect after `late_ms`, and their responses are lost.
    LATE = 'late'


class Faults(msgspec.Struct):
    """Currently injected faults.

    Parameters
    ----------
    mode : StoreMode
        How all calls are handled.
    slow_ms : int
        Delay added to every call.
    late_ms : int
        Delay of writes in the mode `LATE`.
    lose_answers : int
        Number of subsequent writes that take effect but get no response.
    delay_writes : int
        Number of subsequent transactions that get no response.  They are
        applied only by :meth:`PlatformEngine.deliver_delayed`, if at all.
    """

    mode: StoreMode = StoreMode.SOUND
    slow_ms: int = 0
    late_ms: int = 100
    lose_answers: int = 0
    delay_writes: int = 0


class Stats(msgspec.Struct):
    """Counts of calls and sent bytes since the start."""

    reads: int = 0
    writes: int = 0
    object_gets: int = 0
    object_puts: int = 0
    refused: int = 0
    bytes_out: int = 0


class TableEntry(msgspec.Struct, frozen=True):
    """One condition, write or deletion of a row.

    Parameters
    ----------
    table, key
        Table and key of the row.
    revision : int
        Revision that a condition requires; unused otherwise.
    value : bytes
        Value to write.
    """

    table: str
    key: str
    revision: int = 0
    value: bytes = b''


class _TokenBucket:
    """Token bucket whose capacity is one second of its rate."""

    def __init__(self, per_s: int):
        self.per_s = per_s
        self._tokens = float(per_s)
        self._refilled_at_s = 0.0

    def take(self, now_s: float) -> bool:
        """Take a token; return whether one was available."""
        gained = (now_s - self._refilled_at_s) * self.per_s
        self._tokens = min(float(self.per_s), self._tokens + gained)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ResponseLost(Exception):
    """The write may have taken effect, but its response is lost."""


class PlatformEngine:
    """Rows, objects, rate limits and faults; thread-safe.

    Parameters
    ----------
    now_s : callable
        Returns the monotonic time in seconds, for the rate limits.
    """

    def __init__(self, now_s=time.monotonic):
        self.faults = Faults()
        self.stats = Stats()
        self.fetched_objects: collections.deque[str] = collections.deque(
            maxlen=MAX_FETCHED_NAMES
        )
        #: Called after each change, in the thread that made the change.
        self.listeners: list[Callable[[], None]] = []
        self.revision = 0
        self._now_s = now_s
        self._rows: dict[tuple[str, str], storage.Row] = {}
        self._changes: collections.deque[tuple[str, storage.Row]] = (
            collections.deque(maxlen=MAX_HISTORY_CHANGES)
        )
        self._oldest_revision = 0
        self._objects: dict[str, bytes] = {}
        self._delayed: list[tuple] = []
        self._lock = threading.Lock()
        self._writes = _TokenBucket(WRITES_PER_S)
        self._reads = _TokenBucket(READS_PER_S)

    def read(
        self, keys: Sequence[str], table: str = platform.RECORDS_TABLE
    ) -> tuple[storage.Row, ...]:
        """Read rows from one consistent snapshot."""
        with self._lock:
            self._admit(self._reads)
            self.stats.reads += 1
            return tuple(
                self._rows.get((table, key)) or storage.Row(key)
                for key in keys
            )

    def scan(
        self, prefix: str, after: str, limit: int
    ) -> tuple[storage.Row, ...]:
        """Read records whose key has a prefix, in key order."""
        with self._lock:
            self._admit(self._reads)
            self.stats.reads += 1
            rows = [
                row
                for row in self._list(platform.RECORDS_TABLE)
                if row.key.startswith(prefix) and row.key > after
            ]
            return tuple(rows[:limit])

    def list_rows(
        self, table: str, start: str, end: str
    ) -> tuple[storage.Row, ...]:
        """Read rows from `start` to before `end`; empty means no end."""
        with self._lock:
            self._admit(self._reads)
            self.stats.reads += 1
            return tuple(
                row
                for row in self._list(table)
                if row.key >= start and (not end or row.key < end)
            )

    def find_changes(self, table: str, after: int) -> tuple[storage.Row, ...]:
        """Return the changes to a table after a revision.

        Raises
        ------
        PlatformError
            With `PLATFORM_HISTORY` when that history has been compacted.
        """
        with self._lock:
            if after < self._oldest_revision:
                raise exceptions.PlatformError(
                    exceptions.Code.PLATFORM_HISTORY
                )
            return tuple(
                row
                for changed, row in self._changes
                if changed == table and row.revision > after
            )

    def admit_watch(self) -> None:
        """Admit a watch and count it as one read."""
        with self._lock:
            self._admit(self._reads)
            self.stats.reads += 1

    def compact(self) -> None:
        """Drop the change history; watches of older revisions then fail."""
        with self._lock:
            self.revision += 1
            self._oldest_revision = self.revision
            self._changes.clear()
        self._notify()

    def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write or delete a row as an operator, bypassing all faults."""
        entry = TableEntry(table, key, value=value or b'')
        with self._lock:
            if value is None:
                self._commit((), (entry,))
            else:
                self._commit((entry,), ())
        self._notify()

    def transact(self, transaction: storage.Transaction) -> bool:
        """Apply a transaction to records; return whether conditions hold."""
        table = platform.RECORDS_TABLE
        return self.apply(
            [
                TableEntry(table, item.key, item.revision)
                for item in transaction.conditions
            ],
            [
                TableEntry(table, item.key, value=item.value)
                for item in transaction.puts
            ],
            [TableEntry(table, key) for key in transaction.deletes],
        )

    def apply(
        self,
        conditions: Sequence[TableEntry],
        puts: Sequence[TableEntry],
        deletes: Sequence[TableEntry],
    ) -> bool:
        """Apply a transaction; return whether its conditions hold.

        Raises
        ------
        ResponseLost, PlatformError
            As the injected faults and the rate limits require.
        """
        with self._lock:
            self._admit(self._writes)
            self.stats.writes += 1
            if self.faults.delay_writes > 0:
                self.faults.delay_writes -= 1
                self._delayed.append((conditions, puts, deletes))
                raise ResponseLost
            is_met = self._apply_if_met(conditions, puts, deletes)
        self._notify()
        self._drop_response()
        return is_met

    def deliver_delayed(self) -> None:
        """Apply the transactions that were delayed in transit."""
        with self._lock:
            for delayed in self._delayed:
                self._apply_if_met(*delayed)
            self._delayed.clear()
        self._notify()

    def put_object(self, name: str, body: bytes) -> bool:
        """Store an object; return False if it already exists."""
        with self._lock:
            self._admit(self._writes)
            self.stats.object_puts += 1
            is_new = name not in self._objects
            self._objects.setdefault(name, body)
        self._drop_response()
        return is_new

    def get_object(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        with self._lock:
            self._admit(self._reads)
            self.stats.object_gets += 1
            self.fetched_objects.append(name)
            return self._objects.get(name)

    def _admit(self, bucket: _TokenBucket) -> None:
        if self.faults.mode is StoreMode.BUSY:
            raise exceptions.PlatformError(exceptions.Code.PLATFORM_DOWN)
        is_limited = self.faults.mode is StoreMode.LIMITED
        if is_limited or not bucket.take(self._now_s()):
            self.stats.refused += 1
            raise exceptions.PlatformError(exceptions.Code.PLATFORM_BUSY)

    def _list(self, table: str) -> list[storage.Row]:
        return [
            row
            for (owner, _key), row in sorted(self._rows.items())
            if owner == table
        ]

    def _revision_of(self, entry: TableEntry) -> int:
        row = self._rows.get((entry.table, entry.key))
        return row.revision if row else 0

    def _apply_if_met(self, conditions, puts, deletes) -> bool:
        is_met = all(
            self._revision_of(entry) == entry.revision for entry in conditions
        )
        if is_met:
            self._commit(puts, deletes)
        return is_met

    def _commit(self, puts, deletes) -> None:
        self.revision += 1
        for entry in puts:
            row = storage.Row(entry.key, self.revision, entry.value)
            self._rows[(entry.table, entry.key)] = row
            self._changes.append((entry.table, row))
        for entry in deletes:
            self._rows.pop((entry.table, entry.key), None)
            row = storage.Row(entry.key, self.revision, is_removed=True)
            self._changes.append((entry.table, row))

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()

    def _drop_response(self) -> None:
        if self.faults.mode is StoreMode.LOSE_ANSWERS:
            raise ResponseLost
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ResponseLost


class InMemoryPlatform(storage.TableStore, storage.ObjectStore):
    """Direct access to the stores of an engine, without a network.

    Parameters
    ----------
    engine : PlatformEngine
        Engine that all clients of a test share.
    """

    def __init__(self, engine: PlatformEngine):
        self.engine = engine

    def read(self, keys: Sequence[str]) -> tuple[storage.Row, ...]:
        """Read rows."""
        return self.engine.read(keys)

    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> tuple[storage.Row, ...]:
        """Read rows whose key has a prefix."""
        return self.engine.scan(prefix, after, limit)

    def transact(self, transaction: storage.Transaction) -> storage.Outcome:
        """Apply a transaction."""
        try:
            is_met = self.engine.transact(transaction)
        except (ResponseLost, exceptions.PlatformError) as error:
            return _make_failure_outcome(error)
        if is_met:
            return storage.Outcome(
                storage.OutcomeKind.DONE, revision=self.engine.revision
            )
        return storage.Outcome(
            storage.OutcomeKind.NOT_DONE, exceptions.Code.PLATFORM_CONFLICT
        )

    def put_object(self, digest: base.Digest, body: bytes) -> storage.Outcome:
        """Store an object."""
        try:
            self.engine.put_object(digest.hex(), body)
        except (ResponseLost, exceptions.PlatformError) as error:
            return _make_failure_outcome(error)
        return storage.Outcome(storage.OutcomeKind.DONE)

    def get_object(self, digest: base.Digest) -> bytes:
        """Fetch an object."""
        body = self.engine.get_object(digest.hex())
        if body is None:
            raise exceptions.PlatformError(
                exceptions.Code.PLATFORM_NO_OBJECT, digest.hex()
            )
        return body


def _make_failure_outcome(error: Exception) -> storage.Outcome:
    if isinstance(error, exceptions.PlatformError):
        return storage.Outcome(storage.OutcomeKind.NOT_DONE, error.code)
    return storage.Outcome(
        storage.OutcomeKind.UNKNOWN, exceptions.Code.PLATFORM_UNKNOWN
    )

"""Table service and object store in memory, with faults on demand."""

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
    'AnswerLost',
    'Faults',
    'InMemoryPlatform',
    'PlatformEngine',
    'Stats',
    'StoreMode',
    'TableEntry',
]

#: Budgets of the brief: several hundred writes, two thousand reads.
WRITES_PER_S = 400
READS_PER_S = 2000
#: Names of fetched objects that are kept for tests.
FETCHED_LIMIT = 1000
#: Changes kept for watches.
HISTORY_LIMIT = 100_000


class StoreMode(enum.Enum):
    """How the store treats calls."""

    SOUND = 'sound'
    #: Every call is refused before it does anything.
    BUSY = 'busy'
    LIMITED = 'limited'
    #: Connections are cut, and nothing is done.
    RESET = 'reset'
    SILENT = 'silent'
    #: Writes are done, and their answers are lost.
    LOSE_ANSWERS = 'lose answers'
    #: Writes are done after `late_ms`, and their answers are lost.
    LATE = 'late'


class Faults(msgspec.Struct):
    """Faults in force.

    Parameters
    ----------
    mode : StoreMode
        How all calls are treated.
    slow_ms : int
        Every call takes this much longer.
    late_ms : int
        After which time late writes are done.
    lose_answers : int
        So many writes to come take effect without an answer.
    delay_writes : int
        So many transactions to come get no answer, and are carried out
        only by :meth:`PlatformEngine.deliver_delayed`, or never.
    """

    mode: StoreMode = StoreMode.SOUND
    slow_ms: int = 0
    late_ms: int = 100
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


class TableEntry(msgspec.Struct, frozen=True):
    """One condition, write or removal, with its table.

    Parameters
    ----------
    table, key
        The row.
    revision : int
        At which it must be, in a condition.
    value : bytes
        What is written.
    """

    table: str
    key: str
    revision: int = 0
    value: bytes = b''


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
        #: Called after each change, in the thread that made it.
        self.listeners: list[Callable[[], None]] = []
        self.revision = 0
        self._now_s = now_s
        self._rows: dict[tuple[str, str], storage.Row] = {}
        self._changes: collections.deque[tuple[str, storage.Row]] = (
            collections.deque(maxlen=HISTORY_LIMIT)
        )
        self._oldest = 0
        self._objects: dict[str, bytes] = {}
        self._delayed: list[tuple] = []
        self._lock = threading.Lock()
        self._writes = _Bucket(WRITES_PER_S)
        self._reads = _Bucket(READS_PER_S)

    def read(
        self, keys: Sequence[str], table: str = platform.RECORDS_TABLE
    ) -> tuple[storage.Row, ...]:
        """Read rows as of one moment."""
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
        """Read records by prefix."""
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
        """Read a range of rows; an empty end is no bound."""
        with self._lock:
            self._admit(self._reads)
            self.stats.reads += 1
            return tuple(
                row
                for row in self._list(table)
                if row.key >= start and (not end or row.key < end)
            )

    def find_changes(self, table: str, after: int) -> tuple[storage.Row, ...]:
        """Return the changes of a table since a revision.

        Raises
        ------
        PlatformError
            With `PLATFORM_HISTORY` when they are no longer known.
        """
        with self._lock:
            if after < self._oldest:
                raise exceptions.PlatformError(
                    exceptions.Code.PLATFORM_HISTORY
                )
            return tuple(
                row
                for changed, row in self._changes
                if changed == table and row.revision > after
            )

    def admit_watch(self) -> None:
        """Count a watch as one read."""
        with self._lock:
            self._admit(self._reads)
            self.stats.reads += 1

    def compact(self) -> None:
        """Drop the history: watches of older revisions fail."""
        with self._lock:
            self.revision += 1
            self._oldest = self.revision
            self._changes.clear()
        self._notify()

    def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove a row past all faults, as the operator does."""
        entry = TableEntry(table, key, value=value or b'')
        with self._lock:
            if value is None:
                self._commit((), (entry,))
            else:
                self._commit((entry,), ())
        self._notify()

    def transact(self, transaction: storage.Transaction) -> bool:
        """Try a transaction on records; False when a condition fails."""
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
        """Try a transaction; False when a condition does not hold.

        Raises
        ------
        AnswerLost, PlatformError
            As the faults in force say.
        """
        with self._lock:
            self._admit(self._writes)
            self.stats.writes += 1
            if self.faults.delay_writes > 0:
                self.faults.delay_writes -= 1
                self._delayed.append((conditions, puts, deletes))
                raise AnswerLost
            is_met = self._try(conditions, puts, deletes)
        self._notify()
        self._lose_answer()
        return is_met

    def deliver_delayed(self) -> None:
        """Carry out the transactions that were held up on their way."""
        with self._lock:
            for delayed in self._delayed:
                self._try(*delayed)
            self._delayed.clear()
        self._notify()

    def put_object(self, name: str, body: bytes) -> bool:
        """Store an object; False when it is there already."""
        with self._lock:
            self._admit(self._writes)
            self.stats.object_puts += 1
            is_new = name not in self._objects
            self._objects.setdefault(name, body)
        self._lose_answer()
        return is_new

    def get_object(self, name: str) -> bytes | None:
        """Fetch an object."""
        with self._lock:
            self._admit(self._reads)
            self.stats.object_gets += 1
            self.fetched_objects.append(name)
            return self._objects.get(name)

    def _admit(self, bucket: _Bucket) -> None:
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

    def _try(self, conditions, puts, deletes) -> bool:
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

    def _lose_answer(self) -> None:
        if self.faults.mode is StoreMode.LOSE_ANSWERS:
            raise AnswerLost
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

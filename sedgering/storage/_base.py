"""Abstract stores and the three outcomes of a write."""

import abc
from collections.abc import Sequence
import enum

import msgspec

from sedgering import base
from sedgering import exceptions

__all__ = [
    'Condition',
    'ObjectStore',
    'Outcome',
    'OutcomeKind',
    'Put',
    'Row',
    'RowsPage',
    'TableStore',
    'Transaction',
    'WatchedTable',
]

#: Revision of a row that is not there.
ABSENT = 0


class Row(msgspec.Struct, frozen=True):
    """One row as read.

    Parameters
    ----------
    key : str
        Key of the row.
    revision : int
        Grows with each write to the row; 0 when the row is absent.
    value : bytes
        Empty when the row is absent.
    is_removed : bool
        Whether a watch tells of its removal.
    is_readable : bool
        Whether the store told a value; without one it is empty.
    """

    key: str
    revision: int = ABSENT
    value: bytes = b''
    is_removed: bool = False
    is_readable: bool = True


class RowsPage(msgspec.Struct, frozen=True):
    """Rows of one table as of one moment.

    Parameters
    ----------
    rows : tuple of Row
        In the order of keys, or of changes in a watch.
    revision : int
        Counter of the store at that moment; a watch goes on from it.
    now_ms : int
        Steady clock of the store at that moment; 0 when it did not tell.
    """

    rows: tuple[Row, ...]
    revision: int
    now_ms: int = 0


class Condition(msgspec.Struct, frozen=True):
    """The row must be at this revision; 0 means that it must be absent."""

    key: str
    revision: int


class Put(msgspec.Struct, frozen=True):
    """The row gets this value."""

    key: str
    value: bytes


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together, or none of them.

    Parameters
    ----------
    operation_id : str
        Names the write in logs; rows that record it are among `puts`.
    conditions : tuple of Condition
        All must hold.
    puts : tuple of Put
        Rows written.
    deletes : tuple of str
        Keys of rows removed.
    """

    operation_id: base.OperationId
    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class OutcomeKind(enum.Enum):
    """What is known of a write."""

    DONE = 'done'
    NOT_DONE = 'not done'
    UNKNOWN = 'unknown'


class Outcome(msgspec.Struct, frozen=True):
    """Outcome of one write.

    Parameters
    ----------
    kind : OutcomeKind
        Done, not done, or unknown.
    code : Code or None
        Why it is not done or not known.
    detail : str
        The particulars.
    revision : int
        Revision of the rows written, when it is done and the store told.
    """

    kind: OutcomeKind
    code: exceptions.Code | None = None
    detail: str = ''
    revision: int = ABSENT

    @property
    def is_conflict(self) -> bool:
        """Whether a condition did not hold."""
        return self.code is exceptions.Code.PLATFORM_CONFLICT

    def make_error(self) -> exceptions.PlatformError:
        """Make the error that tells of an outcome other than done."""
        code = self.code or exceptions.Code.PLATFORM_UNKNOWN
        return exceptions.PlatformError(code, self.detail)


class TableStore(abc.ABC):
    """The transactional table service."""

    @abc.abstractmethod
    def read(self, keys: Sequence[str]) -> tuple[Row, ...]:
        """Read rows as of one moment.

        Parameters
        ----------
        keys : sequence of str
            Keys wanted.

        Returns
        -------
        tuple of Row
            One for each key, in order.

        Raises
        ------
        PlatformError
            When the platform gives no answer in time.
        """

    @abc.abstractmethod
    def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> tuple[Row, ...]:
        """Read rows whose key starts with `prefix`, in the order of keys.

        Parameters
        ----------
        prefix : str
            Start of the keys.
        after : str
            Only keys greater than this one.
        limit : int
            Most rows returned.

        Raises
        ------
        PlatformError
            When the platform gives no answer in time.
        """

    @abc.abstractmethod
    def transact(self, transaction: Transaction) -> Outcome:
        """Try a transaction once.  Never raises for the platform's faults."""


class WatchedTable(abc.ABC):
    """A table whose changes can be waited for, on an event loop."""

    @abc.abstractmethod
    async def read(self, keys: Sequence[str]) -> tuple[Row, ...]:
        """Read rows as of one moment; see :meth:`TableStore.read`."""

    @abc.abstractmethod
    async def transact(self, transaction: Transaction) -> Outcome:
        """Try a transaction once.  Never raises for the platform's faults."""

    @abc.abstractmethod
    async def list_rows(self, start: str = '', end: str = '') -> RowsPage:
        """Read a range of rows, and the counter from which to watch.

        Parameters
        ----------
        start, end : str
            First key, and the first one left out; empty for no bound.

        Raises
        ------
        PlatformError
            When the platform gives no answer in time.
        """

    @abc.abstractmethod
    async def watch(self, after: int, wait_ms: int) -> RowsPage:
        """Wait for changes after a counter; no rows when there were none.

        Raises
        ------
        PlatformError
            When there is no answer, or with `PLATFORM_HISTORY` when the
            changes are no longer known.
        """


class ObjectStore(abc.ABC):
    """The object store; objects are named by their digest."""

    @abc.abstractmethod
    def put_object(self, digest: base.Digest, body: bytes) -> Outcome:
        """Store an object.  Idempotent: the name fixes the content."""

    @abc.abstractmethod
    def get_object(self, digest: base.Digest) -> bytes:
        """Fetch an object.

        Raises
        ------
        PlatformError
            When it is missing, or the platform gives no answer in time.
        """

"""Rollout rows in the store, watched while a rollout runs."""

import abc
from collections.abc import Callable
from collections.abc import Sequence
import logging

import msgspec

from sedgering import exceptions
from sedgering.mesh import _rollout_log
from sedgering.mesh import _watch
from sedgering import observability
from sedgering import rollout
from sedgering import storage

__all__ = ['RolloutStore', 'RolloutWatcher', 'decode_rollout']

LOG = logging.getLogger(__name__)


class RolloutStore(abc.ABC):
    """Writes rollout rows and their status for the operator.

    Attributes
    ----------
    table : WatchedTable
        One row for each target set, keyed by its name.
    """

    table: storage.WatchedTable

    @abc.abstractmethod
    async def write(
        self, row: rollout.Rollout, revision: int
    ) -> storage.Outcome:
        """Write a row and its status for the operator, both or neither.

        Parameters
        ----------
        row : Rollout
            Row to write.
        revision : int
            Revision of the row that it replaces; 0 for none.  If the stored
            row has another one, nothing is written, so that there is a single
            verdict.
        """

    @abc.abstractmethod
    async def record(
        self, rows: Sequence[tuple[rollout.Rollout, int]]
    ) -> storage.Outcome:
        """Write rows of versions in use, all or none; no order causes them.

        Parameters
        ----------
        rows : sequence of tuple
            Each row and the revision of the one that it replaces; see
            :meth:`write`.
        """


def decode_rollout(row: storage.Row) -> rollout.Rollout:
    """Decode a rollout row.

    Raises
    ------
    RolloutError
        If the row is malformed or names another target set.
    """
    code = exceptions.Code.ROLLOUT_UNREADABLE
    try:
        decoded = msgspec.json.decode(row.value, type=rollout.Rollout)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.RolloutError(code, str(error)) from error
    if decoded.target_set != row.key:
        raise exceptions.RolloutError(
            code, f'row names target set {decoded.target_set!r}'
        )
    return decoded


class RolloutWatcher(_watch.TableWatcher):
    """Watches the rollout rows.

    Parameters
    ----------
    table : WatchedTable
        One row for each target set.
    post : callable
        Called with the rows that changed.
    store_recovery : StoreRecovery
        State of the daemon's connection to the store.
    """

    def __init__(
        self,
        table: storage.WatchedTable,
        post: Callable[[list[_rollout_log.RolloutEntry]], None],
        store_recovery: _watch.StoreRecovery,
    ):
        super().__init__('watch-rollouts', table, store_recovery)
        self.post = post
        #: No batching: a daemon that learns of a stage late delays all others.
        self.batch_delay_s = 0.0
        self._refusals = observability.RefusalLog(LOG, logging.ERROR)

    async def read_all(self) -> int:
        """Read all rows."""
        page = await self.table.list_rows()
        self.take_changes(page)
        return page.revision

    def take_changes(self, page: storage.RowsPage) -> None:
        """Process rows that were written."""
        entries = map(self._decode, page.rows)
        self.post([entry for entry in entries if entry is not None])

    def _decode(self, row: storage.Row) -> _rollout_log.RolloutEntry | None:
        if row.is_removed:
            return None
        try:
            decoded = decode_rollout(row)
        except exceptions.RolloutError as error:
            self._refusals.note(
                (row.key, row.revision),
                'rollout refused',
                error,
                target_set=row.key,
                version=row.revision,
            )
            return None
        return _rollout_log.RolloutEntry(row.revision, decoded)

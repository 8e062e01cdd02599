"""Rows of rollouts in the store: watched while an order is followed."""

import abc
from collections.abc import Callable
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
    """Rows of rollouts, and what the operator is told of them.

    Attributes
    ----------
    table : WatchedTable
        One row for each set, by its name.
    """

    table: storage.WatchedTable

    @abc.abstractmethod
    async def write(
        self, row: rollout.Rollout, revision: int
    ) -> storage.Outcome:
        """Write a row, and tell the operator, both or neither.

        Parameters
        ----------
        row : Rollout
            To write.
        revision : int
            Of the row that it takes the place of; 0 for none.  Whoever comes
            first writes: there is one verdict.
        """


def decode_rollout(row: storage.Row) -> rollout.Rollout:
    """Decode the row of a rollout.

    Raises
    ------
    RolloutError
        When another writer has spoilt it.
    """
    code = exceptions.Code.ROLLOUT_UNREADABLE
    try:
        found = msgspec.json.decode(row.value, type=rollout.Rollout)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.RolloutError(code, str(error)) from error
    if found.target_set != row.key:
        raise exceptions.RolloutError(code, f'names {found.target_set!r}')
    return found


class RolloutWatcher(_watch.TableWatcher):
    """Follows the rows of rollouts.

    Parameters
    ----------
    table : WatchedTable
        One row for each set.
    post : callable
        Told the rows that changed.
    store_return : StoreReturn
        Of the daemon.
    """

    def __init__(
        self,
        table: storage.WatchedTable,
        post: Callable[[list[_rollout_log.RolloutEntry]], None],
        store_return: _watch.StoreReturn,
    ):
        super().__init__('watch-rollouts', table, store_return)
        self.post = post
        #: Whoever is told late of a stage holds all others up.
        self.gather_s = 0.0
        self._refusals = observability.RefusalLog(LOG, logging.ERROR)

    async def read_all(self) -> int:
        """Read all rows."""
        page = await self.table.list_rows()
        self.take_changes(page)
        return page.revision

    def take_changes(self, page: storage.RowsPage) -> None:
        """Take in rows that were written."""
        entries = map(self._decode, page.rows)
        self.post([entry for entry in entries if entry is not None])

    def _decode(self, row: storage.Row) -> _rollout_log.RolloutEntry | None:
        if row.is_removed:
            return None
        try:
            found = decode_rollout(row)
        except exceptions.RolloutError as error:
            self._refusals.note(
                row.revision, 'rollout refused', error, version=row.revision
            )
            return None
        return _rollout_log.RolloutEntry(row.revision, found)

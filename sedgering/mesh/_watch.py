"""Follows tables of the store: versions of the operator, and members."""

import abc
from collections.abc import Callable
import logging
import random
import threading
import time

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _config
from sedgering.mesh import _messages
from sedgering import storage

__all__ = ['ConfigRow', 'ConfigWatcher', 'MemberWatcher', 'Pauses']

LOG = logging.getLogger(__name__)

#: Longest wait of one watch.  A store that comes back may have lost the
#: answer of a watch without a word; versions must be in force 5 s after
#: its return at the latest (3 s until it counts as stable, 2 s to apply).
WATCH_WAIT_MS = 3000
#: Pause after changes: several that come in quick succession cost one
#: call.  A third of the shortest time in which a version must be in force.
GATHER_S = 0.7
#: Pauses after failures; spread so that many daemons do not return at once.
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 1.0


class ConfigRow(msgspec.Struct, frozen=True):
    """Where the operator writes versions, and how they are decoded.

    Parameters
    ----------
    table : WatchedTable
        That has the row.
    key : str
        Of the row.
    decode : callable
        Makes an :class:`AcceptedConfig` of its value; raises
        `BundleError` when it cannot be decoded.
    """

    table: storage.WatchedTable
    key: str
    decode: Callable[[bytes], _config.AcceptedConfig]

    def read(self) -> storage.RowsPage:
        """Read the row."""
        return self.table.list_rows(self.key, self.key + '\0')


class Pauses:
    """Growing pauses between calls of a store that fails."""

    def __init__(self):
        self._pause_s = FIRST_PAUSE_S
        self._rng = random.Random()

    def reset(self) -> None:
        """Start with short pauses again."""
        self._pause_s = FIRST_PAUSE_S

    def wait(self) -> None:
        """Wait, longer each time, with jitter."""
        time.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
        self._pause_s = min(LONGEST_PAUSE_S, 2 * self._pause_s)


class TableWatcher(abc.ABC):
    """Follows one table in a thread: reads it whole, then its changes.

    Parameters
    ----------
    name : str
        Of the thread.
    table : WatchedTable
        Followed.
    """

    def __init__(self, name: str, table: storage.WatchedTable):
        self.name = name
        self.table = table
        self.is_stopping = False
        self._is_lost = False
        self._pauses = Pauses()

    def start(self) -> None:
        """Run in the background."""
        threading.Thread(target=self._run, name=self.name, daemon=True).start()

    @abc.abstractmethod
    def read_all(self) -> int:
        """Read the table; return the counter of the store."""

    @abc.abstractmethod
    def take_changes(self, rows: tuple[storage.Row, ...]) -> None:
        """Take in changed rows."""

    def _run(self) -> None:
        while not self.is_stopping:
            try:
                self._follow()
            except exceptions.PlatformError as error:
                self._note_failure(error)
            except Exception:
                # A defect must not end the thread: nothing would be
                # learned any more.
                LOG.exception('watch failed')
                time.sleep(LONGEST_PAUSE_S)

    def _follow(self) -> None:
        revision = self.read_all()
        self._note_success()
        while not self.is_stopping:
            page = self.table.watch(revision, WATCH_WAIT_MS)
            self._note_success()
            revision = max(revision, page.revision)
            if page.rows:
                self.take_changes(page.rows)
                time.sleep(GATHER_S)

    def _note_success(self) -> None:
        self._pauses.reset()
        if self._is_lost:
            self._is_lost = False
            LOG.info('store regained', extra={'detail': self.name})

    def _note_failure(self, error: exceptions.PlatformError) -> None:
        if error.code is exceptions.Code.PLATFORM_HISTORY:
            LOG.info('history dropped', extra={'detail': self.name})
            return
        if not self._is_lost:
            self._is_lost = True
            LOG.warning(
                'store lost',
                extra={
                    'code': int(error.code),
                    'detail': f'{self.name}: {error.detail}',
                },
            )
        self._pauses.wait()


class ConfigWatcher(TableWatcher):
    """Follows the operator's row.

    Parameters
    ----------
    row : ConfigRow
        Followed.
    post : callable
        Told each version that could be decoded.
    """

    def __init__(
        self,
        row: ConfigRow,
        post: Callable[[_config.AcceptedConfig], None],
    ):
        super().__init__('watch-config', row.table)
        self.row = row
        self.post = post

    def read_all(self) -> int:
        """Read the operator's row."""
        page = self.row.read()
        self.take_changes(page.rows)
        return page.revision

    def take_changes(self, rows: tuple[storage.Row, ...]) -> None:
        """Decode the newest version."""
        newest = [row for row in rows if row.key == self.row.key][-1:]
        for row in newest:
            try:
                self.post(self.row.decode(row.value))
            except exceptions.BundleError as error:
                LOG.error(
                    'document refused',
                    extra={
                        'version': row.revision,
                        'code': int(error.code),
                        'detail': error.detail,
                    },
                )


class MemberWatcher(TableWatcher):
    """Follows the rows of hosts.

    Parameters
    ----------
    table : WatchedTable
        One row for each host.
    post : callable
        Told all members after each change, those written last at the end.
    """

    def __init__(
        self,
        table: storage.WatchedTable,
        post: Callable[[dict[base.HostId, _messages.MemberRow]], None],
    ):
        super().__init__('watch-members', table)
        self.post = post
        self._members: dict[str, _messages.MemberRow] = {}

    def read_all(self) -> int:
        """Read all rows."""
        page = self.table.list_rows()
        self._members = {}
        self.take_changes(
            tuple(sorted(page.rows, key=lambda row: row.revision))
        )
        return page.revision

    def take_changes(self, rows: tuple[storage.Row, ...]) -> None:
        """Take in rows that were written or removed."""
        for row in rows:
            # Removed first, so that the newest rows stand at the end.
            self._members.pop(row.key, None)
            if not row.is_removed:
                self._decode(row)
        self.post({member.host: member for member in self._members.values()})

    def _decode(self, row: storage.Row) -> None:
        try:
            self._members[row.key] = msgspec.json.decode(
                row.value, type=_messages.MemberRow
            )
        except msgspec.MsgspecError as error:
            LOG.error('member row refused', extra={'detail': str(error)})

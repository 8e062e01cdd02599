"""Versions and members from the store, and this host's row in it."""

import abc
import asyncio
from collections.abc import Callable
import logging
import random
import threading
import time

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering import mesh
from sedgering.platform import _document
from sedgering.platform import _settings
from sedgering.platform import _store

__all__ = ['PlatformSource']

LOG = logging.getLogger(__name__)

CONFIG_TABLE = 'op'
CONFIG_KEY = 'config'
#: Table of our own with one row for each host.
MEMBER_TABLE = 'sedgering_members'
#: Longest wait of one watch.  A store that comes back may have lost the
#: answer of a watch without a word; versions must be in force 5 s after
#: its return at the latest (3 s until it counts as stable, 2 s to apply).
WATCH_WAIT_MS = 3000
#: Pause after changes: several that come in quick succession cost one
#: call.  A third of the shortest time in which a version must be in force.
GATHER_S = 0.7
#: Between two reads that peers with a newer version cause.
ASK_INTERVAL_S = 0.5
#: Pauses after failures; spread so that many daemons do not return at once.
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 1.0

_ENCODER = msgspec.json.Encoder()


class _Watcher(abc.ABC):
    """Follows one table in a thread: reads it whole, then its changes.

    Parameters
    ----------
    client : StoreClient
        Of this thread alone.
    name : str
        Of the thread.
    table : str
        Followed.
    """

    def __init__(self, client: _store.StoreClient, name: str, table: str):
        self.client = client
        self.name = name
        self.table = table
        self.is_stopping = False
        self._is_lost = False
        self._pause_s = FIRST_PAUSE_S
        self._rng = random.Random()

    def start(self) -> None:
        """Run in the background."""
        threading.Thread(target=self._run, name=self.name, daemon=True).start()

    @abc.abstractmethod
    def read_all(self) -> int:
        """Read the table; return the counter of the store."""

    def read_aside(self, client: _store.StoreClient) -> None:
        """Read the table with another thread's client."""
        raise NotImplementedError

    @abc.abstractmethod
    def take_changes(self, rows: tuple[_store.StoredRow, ...]) -> None:
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
            page = self.client.watch(self.table, revision, WATCH_WAIT_MS)
            self._note_success()
            revision = max(revision, page.revision)
            if page.rows:
                self.take_changes(page.rows)
                time.sleep(GATHER_S)

    def _note_success(self) -> None:
        self._pause_s = FIRST_PAUSE_S
        if self._is_lost:
            self._is_lost = False
            LOG.info('store regained', extra={'detail': self.table})

    def _note_failure(self, error: exceptions.PlatformError) -> None:
        if error.code is exceptions.Code.PLATFORM_HISTORY:
            LOG.info('history dropped', extra={'detail': self.table})
            return
        if not self._is_lost:
            self._is_lost = True
            LOG.warning(
                'store lost',
                extra={
                    'code': int(error.code),
                    'detail': f'{self.table}: {error.detail}',
                },
            )
        time.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
        self._pause_s = min(LONGEST_PAUSE_S, 2 * self._pause_s)


class _ConfigWatcher(_Watcher):
    """Follows the operator's row."""

    def __init__(self, client, post: Callable[[mesh.AcceptedConfig], None]):
        super().__init__(client, 'watch-config', CONFIG_TABLE)
        self.post = post

    def read_all(self) -> int:
        """Read the operator's row."""
        return self._read(self.client)

    def read_aside(self, client: _store.StoreClient) -> None:
        """Read the operator's row with another thread's client."""
        self._read(client)

    def _read(self, client: _store.StoreClient) -> int:
        page = client.read(self.table, CONFIG_KEY, CONFIG_KEY + '\0')
        self.take_changes(page.rows)
        return page.revision

    def take_changes(self, rows: tuple[_store.StoredRow, ...]) -> None:
        """Decode the newest document."""
        newest = [row for row in rows if row.key == CONFIG_KEY][-1:]
        for row in newest:
            try:
                self.post(_document.decode_document(row.value))
            except _document.DocumentError as error:
                LOG.error(
                    'document refused',
                    extra={'version': row.revision, 'detail': str(error)},
                )


class _MemberWatcher(_Watcher):
    """Follows the rows of hosts."""

    def __init__(self, client, post: Callable[[dict], None]):
        super().__init__(client, 'watch-members', MEMBER_TABLE)
        self.post = post
        self._rows: dict[str, _store.StoredRow] = {}

    def read_all(self) -> int:
        """Read all rows."""
        page = self.client.read(self.table)
        self._rows = {row.key: row for row in page.rows}
        self._show()
        return page.revision

    def take_changes(self, rows: tuple[_store.StoredRow, ...]) -> None:
        """Take in rows that were written or removed."""
        for row in rows:
            if row.is_removed:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        self._show()

    def _show(self) -> None:
        """Post the members, those written last at the end."""
        members = {}
        rows = sorted(self._rows.values(), key=lambda row: row.revision)
        for row in rows:
            try:
                member = msgspec.json.decode(row.value, type=mesh.MemberRow)
            except msgspec.MsgspecError as error:
                LOG.error('member row refused', extra={'detail': str(error)})
                continue
            members[member.host] = member
        self.post(members)


class _RowKeeper:
    """Writes this host's row until the store has it.

    Each write is conditional on the revision seen last, so that an older
    write which the store performs late does not undo a newer one.
    """

    def __init__(self, client: _store.StoreClient, host: base.HostId):
        self.client = client
        self.host = host
        self.is_stopping = False
        self._wanted: bytes | None = None
        self._is_new = False
        self._is_wanted = threading.Event()
        self._read: Callable[[_store.StoreClient], None] | None = None
        self._lock = threading.Lock()
        self._revision: int | None = None
        self._rng = random.Random()

    def start(self) -> None:
        """Run in the background."""
        threading.Thread(target=self._run, name='row', daemon=True).start()

    def want(self, row: mesh.MemberRow | None) -> None:
        """Make this the row; the newest wish replaces older ones."""
        with self._lock:
            self._wanted = None if row is None else _ENCODER.encode(row)
            self._is_new = True
            self._is_wanted.set()

    def ask(self, read: Callable[[_store.StoreClient], None]) -> None:
        """Read something once in this thread."""
        with self._lock:
            self._read = read
            self._is_wanted.set()

    def _run(self) -> None:
        while not self.is_stopping:
            self._is_wanted.wait()
            with self._lock:
                self._is_wanted.clear()
                wanted = self._wanted
                is_new, self._is_new = self._is_new, False
                read, self._read = self._read, None
            try:
                if read is not None:
                    read(self.client)
                if is_new:
                    self._write(wanted)
            except exceptions.PlatformError as error:
                LOG.info(
                    'row not written',
                    extra={'code': int(error.code), 'detail': error.detail},
                )
                if error.code is not exceptions.Code.PLATFORM_DOWN:
                    # It may have been written, or be written later.
                    self._revision = None
                with self._lock:
                    self._is_new = self._is_new or is_new
                    if self._is_new:
                        self._is_wanted.set()
                time.sleep(FIRST_PAUSE_S * self._rng.uniform(0.5, 1.0))

    def _write(self, wanted: bytes | None) -> None:
        if self._revision is None:
            page = self.client.read(MEMBER_TABLE, self.host, self.host + '\0')
            row = page.rows[0] if page.rows else None
            self._revision = row.revision if row else 0
            if wanted == (row.value if row else None):
                return
        if wanted is None and not self._revision:
            return
        condition = _store.Condition(MEMBER_TABLE, self.host, self._revision)
        puts = []
        removals = []
        if wanted is None:
            removals.append((MEMBER_TABLE, self.host))
        else:
            puts.append(_store.Put(MEMBER_TABLE, self.host, wanted))
        revision = self.client.transact((condition,), puts, removals)
        self._revision = 0 if wanted is None else revision
        LOG.info(
            'row written' if wanted is not None else 'row removed',
            extra={'version': revision},
        )


class PlatformSource(mesh.MeshSource):
    """Versions and members from the platform's store.

    Parameters
    ----------
    store_settings : StoreSettings
        Where the store listens.
    host : HostId
        Whose row is kept.
    loop : AbstractEventLoop
        In which the callbacks run.
    """

    def __init__(
        self,
        store_settings: _settings.StoreSettings,
        host: base.HostId,
        loop: asyncio.AbstractEventLoop,
    ):
        self.store_settings = store_settings
        self.loop = loop
        self._keeper = _RowKeeper(_store.StoreClient(store_settings), host)
        self._watchers: list[_Watcher] = []
        self._asked_s = 0.0

    def start(self, on_config, on_members) -> None:
        """Start the threads."""
        self._watchers = [
            _ConfigWatcher(
                _store.StoreClient(self.store_settings),
                lambda config: self._post(on_config, config),
            ),
            _MemberWatcher(
                _store.StoreClient(self.store_settings),
                lambda members: self._post(on_members, members),
            ),
        ]
        for watcher in self._watchers:
            watcher.start()
        self._keeper.start()

    def publish(self, row: mesh.MemberRow | None) -> None:
        """Make this the row of this host."""
        self._keeper.want(row)

    def use_store(self, store_settings: _settings.StoreSettings) -> None:
        """Call the store at another address from now on."""
        if store_settings == self.store_settings:
            return
        self.store_settings = store_settings
        for client in (
            self._keeper.client,
            *(watcher.client for watcher in self._watchers),
        ):
            client.move(store_settings)

    def ask_config(self) -> None:
        """Read the newest version soon."""
        now_s = self.loop.time()
        if now_s - self._asked_s < ASK_INTERVAL_S or not self._watchers:
            return
        self._asked_s = now_s
        self._keeper.ask(self._watchers[0].read_aside)

    def stop(self) -> None:
        """Stop the threads after their calls."""
        self._keeper.is_stopping = True
        for watcher in self._watchers:
            watcher.is_stopping = True

    def _post(self, callback: Callable, value) -> None:
        self.loop.call_soon_threadsafe(callback, value)

"""Follows tables of the store: versions of the operator, and members."""

import abc
import asyncio
from collections.abc import Callable
import logging
import math
import random

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _config
from sedgering.mesh import _members
from sedgering.mesh import _messages
from sedgering import observability
from sedgering import rollout
from sedgering import storage

__all__ = [
    'ConfigRow',
    'ConfigWatcher',
    'MemberWatcher',
    'Pauses',
    'StoreReturn',
    'TableWatcher',
]

LOG = logging.getLogger(__name__)

#: Longest wait of one watch.  A store that comes back may have lost the
#: answer of a watch without a word; versions must be in force 5 s after
#: its return at the latest (3 s until it counts as stable, 2 s to apply).
WATCH_WAIT_MS = 3000
#: Pause after changes: several that come in quick succession cost one
#: call.  A third of the shortest time in which a version must be in force.
GATHER_S = 0.7
#: The same in a daemon that others poll: they wait for it.
POLLED_GATHER_S = 0.6
#: For how long others rely on a watch that has lost the store: most lose one
#: connection and have another 0.3 s later.  Told at once, 88 daemons turned to
#: the store together, each for the whole document over 3.5 Mbit/s, and for two
#: seconds three of four callers got no answer in time.  A relay that falls
#: silent is noticed after 1.4 s, so that versions are no later for it.
LOST_GRACE_S = 0.8
#: Pause before the whole table is read because its history is gone: relays
#: have read it by then, and what they tell makes the call needless.  A daemon
#: that others poll waits less, and does wait: while the store keeps no history
#: at all, it would read again and again.
REREAD_PAUSE_S = 1.0
POLLED_REREAD_PAUSE_S = 0.3
#: Wait of the first watch after a pause or a failure, which shows that the
#: store answers.
CONFIRM_WAIT_MS = 20
#: Pauses after failures; spread so that many daemons do not return at once.
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 2.0
#: The longest one in a daemon that others poll, and wait for.
POLLED_LONGEST_PAUSE_S = 1.0
#: Longest time for which one watch leaves it to another to find out whether
#: the store is back.
LEFT_TO_OTHERS_S = 5.0


#: Called with the orders among some rows, whether all orders are among them,
#: and the rows.
OnOrders = Callable[[list[rollout.Order], bool, storage.RowsPage], None]


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
    decode_order : callable or None
        Makes an order of another row of the table, or None where the row is
        no order; raises `RolloutError` when it cannot be decoded.  None where
        the operator orders no rollouts.
    """

    table: storage.WatchedTable
    key: str
    decode: Callable[[bytes], _config.AcceptedConfig]
    decode_order: Callable[[storage.Row], rollout.Order | None] | None = None

    async def read(self) -> storage.RowsPage:
        """Read the row, with the orders beside it."""
        if self.decode_order is None:
            return await self.table.list_rows(self.key, self.key + '\0')
        return await self.table.list_rows()


class StoreReturn:
    """Tells all tasks of a daemon that the store answers again.

    While it does not, one task asks, and the others wait for it: with the
    store away for 9 s, the watches of 195 daemons made 3,000 calls and more,
    each of them refused.

    Attributes
    ----------
    is_away : bool
        Whether the task that asks has had no answer to its last call.
    """

    def __init__(self):
        self.is_away = False
        self._returned = asyncio.Event()

    def tell(self) -> None:
        """End all pauses."""
        self.is_away = False
        self._returned.set()
        self._returned = asyncio.Event()

    async def wait(self, longest_s: float) -> None:
        """Wait until somebody tells, or until time is up."""
        try:
            async with asyncio.timeout(longest_s):
                await self._returned.wait()
        except TimeoutError:
            return


class Pauses:
    """Growing pauses between calls of a store that fails.

    Parameters
    ----------
    store_return : StoreReturn
        Shared by the tasks that ask the same store: the first one that
        is answered ends the pauses of the others.
    """

    def __init__(self, store_return: StoreReturn):
        self.store_return = store_return
        self.longest_s = LONGEST_PAUSE_S
        self._pause_s = FIRST_PAUSE_S
        self._rng = random.Random()

    def reset(self) -> None:
        """Start with short pauses again."""
        if self._pause_s > FIRST_PAUSE_S or self.store_return.is_away:
            self.store_return.tell()
        self._pause_s = FIRST_PAUSE_S

    async def wait(self) -> None:
        """Wait, longer each time, with jitter."""
        longest_s = self._pause_s * self._rng.uniform(0.5, 1.0)
        await self.store_return.wait(longest_s)
        self._pause_s = min(self.longest_s, 2 * self._pause_s)


class TableWatcher(abc.ABC):
    """Follows one table: reads it whole, then its changes.

    Parameters
    ----------
    name : str
        In logs.
    table : WatchedTable
        Followed.
    store_return : StoreReturn
        Of the daemon.
    """

    #: Whether this watch finds out for the others that the store is back.
    asks_while_away = False

    def __init__(
        self,
        name: str,
        table: storage.WatchedTable,
        store_return: StoreReturn,
    ):
        self.name = name
        self.table = table
        #: Longest wait of one watch.
        self.wait_ms = WATCH_WAIT_MS
        #: Pause after changes.
        self.gather_s = GATHER_S
        #: Pause before the first call.
        self.first_pause_s = 0.0
        #: Longest pause before a table is read anew whose history is gone.
        self.reread_pause_s = REREAD_PAUSE_S
        #: Whether the last call was answered, and changes are watched.
        self.is_fresh = False
        #: When the store answered last.
        self.heard_s = -math.inf
        self._revision: int | None = None
        #: When the last call that failed after others ended.
        self._lost_s = -math.inf
        self._is_lost = False
        self.pauses = Pauses(store_return)
        self._store_return = store_return
        #: Told the store's clock with each answer to a watch.
        self.on_clock: Callable[[int], None] | None = None
        self._is_enabled = asyncio.Event()
        self._is_enabled.set()

    @property
    def is_trusted(self) -> bool:
        """Whether others may rely on this watch for a moment more."""
        now_s = asyncio.get_running_loop().time()
        return self.is_fresh or now_s < self._lost_s + LOST_GRACE_S

    def _note_lost(self) -> None:
        if self.is_fresh:
            self.is_fresh = False
            self._lost_s = asyncio.get_running_loop().time()

    def set_enabled(self, is_enabled: bool) -> None:
        """Go on, or stop to ask the store after the call under way."""
        if is_enabled:
            self._is_enabled.set()
        else:
            self._is_enabled.clear()

    def skip_to(self, revision: int) -> None:
        """Note that all up to a revision is known from elsewhere."""
        if revision:
            self._revision = max(self._revision or 0, revision)

    @abc.abstractmethod
    async def read_all(self) -> int:
        """Read the table; return the counter of the store."""

    @abc.abstractmethod
    def take_changes(self, page: storage.RowsPage) -> None:
        """Take in changed rows, or that there are none."""

    async def run(self) -> None:
        """Follow until cancelled."""
        await asyncio.sleep(self.first_pause_s)
        while True:
            await self._is_enabled.wait()
            try:
                await self._follow()
                self.is_fresh = False
            except exceptions.PlatformError as error:
                if error.code is exceptions.Code.PLATFORM_HISTORY:
                    await self._note_history()
                    continue
                self._note_lost()
                await self._note_failure(error)
            except Exception:
                # A defect must not end the task: nothing would be
                # learned any more.
                LOG.exception('watch failed')
                self._note_lost()
                self._revision = None
                await asyncio.sleep(LONGEST_PAUSE_S)

    async def _follow(self) -> None:
        if self._revision is None:
            self._revision = await self.read_all()
            self._note_success()
        while self._is_enabled.is_set():
            wait_ms = self.wait_ms if self.is_fresh else CONFIRM_WAIT_MS
            page = await self.table.watch(self._revision, wait_ms)
            self._note_success()
            self.skip_to(page.revision)
            if self.on_clock is not None and page.now_ms:
                self.on_clock(page.now_ms)
            self.take_changes(page)
            if page.rows:
                await asyncio.sleep(self.gather_s)

    def _note_success(self) -> None:
        self.pauses.reset()
        self.is_fresh = True
        self.heard_s = asyncio.get_running_loop().time()
        if self._is_lost:
            self._is_lost = False
            LOG.info('store regained', extra={'detail': self.name})

    async def _note_history(self) -> None:
        """Read the table anew: the store has answered, and hears this daemon.

        A relay that told its followers otherwise sent all of them to the
        store: with 88 hosts each read the whole document over links of 3.5
        Mbit/s, and for two seconds a quarter of the calls was served in time.
        """
        LOG.info('history dropped', extra={'detail': self.name})
        self._revision = None
        await asyncio.sleep(self.reread_pause_s * random.uniform(0.3, 1.0))

    async def _note_failure(self, error: exceptions.PlatformError) -> None:
        if not self._is_lost:
            self._is_lost = True
            LOG.warning(
                'store lost',
                extra={
                    'code': int(error.code),
                    'detail': f'{self.name}: {error.detail}',
                },
            )
        self._store_return.is_away |= self.asks_while_away
        await self.pauses.wait()
        if self._store_return.is_away and not self.asks_while_away:
            await self._store_return.wait(LEFT_TO_OTHERS_S)


class ConfigWatcher(TableWatcher):
    """Follows the operator's row.

    Parameters
    ----------
    row : ConfigRow
        Followed.
    post : callable
        Told each version that could be decoded, or None, and the counter
        of the store up to which there is no newer one.
    store_return : StoreReturn
        Of the daemon.
    """

    def __init__(
        self,
        row: ConfigRow,
        post: Callable[[_config.AcceptedConfig | None, int], None],
        store_return: StoreReturn,
    ):
        super().__init__('watch-config', row.table, store_return)
        self.row = row
        self.post = post
        #: Told the orders of a page, whether they are all, and the page.
        self.post_orders: OnOrders | None = None
        self._refusals = observability.RefusalLog(LOG, logging.ERROR)
        #: Times that the whole row was read.
        self.reads = 0

    async def read_all(self) -> int:
        """Read the operator's row."""
        self.reads += 1
        page = await self.row.read()
        self._take_orders(page, True)
        self._take_version(page)
        return page.revision

    def take_changes(self, page: storage.RowsPage) -> None:
        """Decode the newest version, and the orders beside it."""
        self._take_orders(page, False)
        self._take_version(page)

    def _take_orders(self, page: storage.RowsPage, is_complete: bool) -> None:
        if self.row.decode_order is None or self.post_orders is None:
            return
        orders = map(self._decode_order, page.rows)
        found = [order for order in orders if order is not None]
        self.post_orders(found, is_complete, page)

    def _decode_order(self, row: storage.Row) -> rollout.Order | None:
        try:
            return self.row.decode_order(row)
        except exceptions.RolloutError as error:
            self._refusals.note(
                row.revision, 'order refused', error, version=row.revision
            )
        return None

    def _take_version(self, page: storage.RowsPage) -> None:
        newest = [row for row in page.rows if row.key == self.row.key][-1:]
        config = self._decode(newest[0]) if newest else None
        self.post(config, page.revision)

    def _decode(self, row: storage.Row) -> _config.AcceptedConfig | None:
        try:
            return self.row.decode(row.value)
        except exceptions.BundleError as error:
            self._refusals.note(
                row.revision, 'document refused', error, version=row.revision
            )
        return None


class MemberWatcher(TableWatcher):
    """Follows the rows of hosts; asks for the others while the store is away.

    Parameters
    ----------
    table : WatchedTable
        One row for each host.
    post : callable
        Told the rows that changed.
    store_return : StoreReturn
        Of the daemon.
    """

    asks_while_away = True

    def __init__(
        self,
        table: storage.WatchedTable,
        post: Callable[[_members.MemberNews], None],
        store_return: StoreReturn,
    ):
        super().__init__('watch-members', table, store_return)
        self.post = post
        self._refusals = observability.RefusalLog(LOG, logging.ERROR)

    async def read_all(self) -> int:
        """Read all rows."""
        page = await self.table.list_rows()
        self._show(page, True)
        return page.revision

    def take_changes(self, page: storage.RowsPage) -> None:
        """Take in rows that were written or removed."""
        self._show(page, False)

    def _show(self, page: storage.RowsPage, is_complete: bool) -> None:
        # The last one of several changes of a row counts.
        rows = {row.key: row for row in page.rows}
        entries = tuple(
            _members.MemberEntry(
                base.HostId(row.key), row.revision, self._decode(row)
            )
            for row in rows.values()
        )
        self.post(_members.MemberNews(entries, page.revision, is_complete))

    def _decode(self, row: storage.Row) -> _messages.MemberRow | None:
        if row.is_removed:
            return None
        try:
            return _members.decode_row(base.HostId(row.key), row.value)
        except exceptions.MemberError as error:
            key = (row.key, row.revision)
            self._refusals.note(key, 'member row refused', error, peer=row.key)
        return None

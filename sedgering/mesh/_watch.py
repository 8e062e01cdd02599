"""Watches tables of the store: versions, orders and member rows."""

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
from sedgering.mesh import _proof
from sedgering import observability
from sedgering import rollout
from sedgering import storage

__all__ = [
    'ConfigRow',
    'ConfigWatcher',
    'MemberWatcher',
    'RetryBackoff',
    'StoreRecovery',
    'TableWatcher',
]

LOG = logging.getLogger(__name__)

#: Longest wait of one watch. A store that comes back may have lost the answer
#: of a watch without closing the connection. Versions must be in force at most
#: 5 s after its return: 3 s until it counts as stable, and 2 s to apply them.
WATCH_WAIT_MS = 3000
#: Pause after a change, so that one call reads several changes in quick
#: succession. It is a third of the shortest time in which a version must be in
#: force.
BATCH_DELAY_S = 0.7
#: The same in a daemon that others poll, since they wait for it.
POLLED_BATCH_DELAY_S = 0.6
#: How long followers rely on a watch that has lost the store: most such
#: watches lose one connection and have another 0.3 s later. When the loss was
#: reported at once, 88 daemons turned to the store together, each for the
#: whole document over 3.5 Mbit/s, and for 2 s three of four callers got no
#: answer in time. A relay that stops answering is detected after 1.4 s, so
#: that this does not delay versions any further.
LOST_GRACE_S = 0.8
#: Pause before the whole table is read because the store has dropped its
#: history. By then relays, which pause for less time, have read it, and their
#: updates make the call unnecessary. They do pause: while the store keeps no
#: history at all, they would otherwise read again and again. At least this
#: share of a pause is waited.
REREAD_PAUSE_S = 1.5
POLLED_REREAD_PAUSE_S = 0.3
LEAST_REREAD_PAUSE_SHARE = 0.6
#: Wait of the first watch after a pause or a failure; it only checks that the
#: store answers.
CONFIRM_WAIT_MS = 20
#: Pauses after failures, with jitter so that many daemons do not call the
#: store at once.
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 2.0
#: Longest pause in a daemon that others poll, since they wait for it.
POLLED_LONGEST_PAUSE_S = 1.0
#: Longest time for which a watch waits for another one to detect that the
#: store is back.
PROBE_WAIT_S = 5.0


#: Called with the orders decoded from a page of rows, whether these are all
#: orders, and the page.
OnOrders = Callable[[list[rollout.Order], bool, storage.RowsPage], None]


class ConfigRow(msgspec.Struct, frozen=True):
    """Row in which the operator writes versions, and its decoders.

    Parameters
    ----------
    table : WatchedTable
        Table that contains the row.
    key : str
        Key of the row.
    decode : callable
        Decodes its value to an :class:`AcceptedConfig`; raises `BundleError`
        when it cannot be decoded.
    decode_order : callable or None
        Decodes another row of the table to an order, or to None where the row
        is no order; raises `RolloutError` when it cannot be decoded. None
        where the operator uses no rollouts.
    """

    table: storage.WatchedTable
    key: str
    decode: Callable[[bytes], _config.AcceptedConfig]
    decode_order: Callable[[storage.Row], rollout.Order | None] | None = None

    async def read(self) -> storage.RowsPage:
        """Read the row, and the orders if they are used."""
        if self.decode_order is None:
            return await self.table.list_rows(self.key, self.key + '\0')
        return await self.table.list_rows()


class StoreRecovery:
    """Notifies all tasks of a daemon that the store answers again.

    During an outage one task calls the store and the others wait for it.
    Without this, an outage of 9 s caused more than 3,000 calls of the watches
    of 195 daemons, all of them refused.

    Attributes
    ----------
    is_away : bool
        Whether the last call of the task that probes the store has failed.
    """

    def __init__(self):
        self.is_away = False
        self._returned = asyncio.Event()

    def notify(self) -> None:
        """End all pauses."""
        self.is_away = False
        self._returned.set()
        self._returned = asyncio.Event()

    async def wait(self, longest_s: float) -> None:
        """Wait until the store is back, or until a timeout."""
        try:
            async with asyncio.timeout(longest_s):
                await self._returned.wait()
        except TimeoutError:
            return


class RetryBackoff:
    """Exponential back-off between calls to a failing store.

    Parameters
    ----------
    store_recovery : StoreRecovery
        Shared by the tasks that call the same store: the first one to get an
        answer ends the pauses of the others.
    """

    def __init__(self, store_recovery: StoreRecovery):
        self.store_recovery = store_recovery
        self.longest_s = LONGEST_PAUSE_S
        self._pause_s = FIRST_PAUSE_S
        self._rng = random.Random()

    def reset(self) -> None:
        """Reset to the first pause after a success."""
        if self._pause_s > FIRST_PAUSE_S or self.store_recovery.is_away:
            self.store_recovery.notify()
        self._pause_s = FIRST_PAUSE_S

    async def wait(self) -> None:
        """Wait with jitter, and double the next pause."""
        longest_s = self._pause_s * self._rng.uniform(0.5, 1.0)
        await self.store_recovery.wait(longest_s)
        self._pause_s = min(self.longest_s, 2 * self._pause_s)


class TableWatcher(abc.ABC):
    """Watches one table: reads all of it, then its changes.

    Parameters
    ----------
    name : str
        Name of the watch in logs.
    table : WatchedTable
        Table to watch.
    store_recovery : StoreRecovery
        Shared by all tasks of the daemon that call the store.
    """

    #: Whether this watch probes the store during an outage.
    probes_during_outage = False

    def __init__(
        self,
        name: str,
        table: storage.WatchedTable,
        store_recovery: StoreRecovery,
    ):
        self.name = name
        self.table = table
        #: Longest wait of one watch.
        self.wait_ms = WATCH_WAIT_MS
        #: Pause after changes.
        self.batch_delay_s = BATCH_DELAY_S
        #: Pause before the first call.
        self.first_pause_s = 0.0
        #: Longest pause before a table is read again after the store has
        #: dropped its history.
        self.reread_pause_s = REREAD_PAUSE_S
        #: Whether the last call was answered and changes are being watched.
        self.is_fresh = False
        #: Until when the known rows are known to be current.
        self.proof_s = -math.inf
        #: Shared by the watches of a daemon; see `MeshSource`.
        self.clock = _proof.StoreClock()
        self.schedule: _proof.WatchSchedule | None = None
        #: Called when the store has dropped its history.
        self.on_dropped_history: Callable[[], None] | None = None
        #: Called with the revision and the time of each answer to a watch, and
        #: with how much longer than its wait the call took, in seconds.
        self.on_answer: Callable[[int, float, float], None] | None = None
        #: Duration of the last call beyond its wait; of a full read, in whole.
        self.delay_s = 0.0
        self._revision: int | None = None
        #: Time of the last failure that followed a success.
        self._last_loss_s = -math.inf
        self._is_lost = False
        self.backoff = RetryBackoff(store_recovery)
        self._store_recovery = store_recovery
        #: Called with the store's clock for each answer to a watch.
        self.on_clock: Callable[[int], None] | None = None
        self._is_enabled = asyncio.Event()
        self._is_enabled.set()

    @property
    def is_trusted(self) -> bool:
        """Whether this watch is fresh, or has only just lost the store."""
        now_s = asyncio.get_running_loop().time()
        return self.is_fresh or now_s < self._last_loss_s + LOST_GRACE_S

    def _note_lost(self) -> None:
        if self.is_fresh:
            self.is_fresh = False
            self._last_loss_s = asyncio.get_running_loop().time()

    def set_enabled(self, is_enabled: bool) -> None:
        """Resume, or stop calling the store after the call under way."""
        if is_enabled:
            self._is_enabled.set()
        else:
            self._is_enabled.clear()

    def skip_to(self, revision: int) -> None:
        """Skip changes up to a revision that is known from other sources."""
        if revision:
            self._revision = max(self._revision or 0, revision)

    @abc.abstractmethod
    async def read_all(self) -> int:
        """Read the whole table; return the revision of the store."""

    @abc.abstractmethod
    def take_changes(self, page: storage.RowsPage) -> None:
        """Process a page of changed rows; it may be empty."""

    async def run(self) -> None:
        """Watch the table until cancelled."""
        await asyncio.sleep(self.first_pause_s)
        while True:
            await self._is_enabled.wait()
            try:
                await self._watch_changes()
                self.is_fresh = False
            except exceptions.PlatformError as error:
                if error.code is exceptions.Code.PLATFORM_HISTORY:
                    await self._note_dropped_history()
                    continue
                self._note_lost()
                await self._note_failure(error)
            except Exception:
                # An unexpected exception must not end the task: no further
                # change would be read.
                LOG.exception('unexpected exception in a watch')
                self._note_lost()
                self._revision = None
                await asyncio.sleep(LONGEST_PAUSE_S)

    def prove(self, revision: int, at_s: float) -> None:
        """Record that the store was at a revision at some time.

        If this watch knows all changes up to that revision, what it knows was
        current then.
        """
        if self._revision is not None and self._revision >= revision:
            self.proof_s = max(self.proof_s, at_s)

    async def confirm(self) -> None:
        """Ask the store at once whether there are changes.

        Raises
        ------
        PlatformError
            When the call fails.
        """
        if self._revision is None:
            return
        try:
            await self._call_watch(CONFIRM_WAIT_MS)
        except exceptions.PlatformError as error:
            if error.code is not exceptions.Code.PLATFORM_HISTORY:
                raise
            # The watch under way reads the table again.
            self._note_contact()

    async def _watch_changes(self) -> None:
        if self._revision is None:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            self._revision = await self.read_all()
            self.delay_s = loop.time() - began_s
            self._note_success()
            self.prove(self._revision, began_s)
        while self._is_enabled.is_set():
            page = await self._call_watch(self._choose_wait_ms())
            if page.rows:
                await asyncio.sleep(self.batch_delay_s)

    def _choose_wait_ms(self) -> int:
        if not self.is_fresh:
            return CONFIRM_WAIT_MS
        if self.schedule is None:
            return self.wait_ms
        return self.schedule.plan_wait_ms(self.name, self.wait_ms)

    async def _call_watch(self, wait_ms: int) -> storage.RowsPage:
        """Wait for changes, and process them."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        page = await self.table.watch(self._revision, wait_ms)
        self.delay_s = loop.time() - began_s - wait_ms / 1000
        self._note_success()
        self.skip_to(page.revision)
        if self.on_clock is not None and page.now_ms:
            self.on_clock(page.now_ms)
        self.take_changes(page)
        at_s = self.clock.find_answer_time_s(page.now_ms)
        self.prove(page.revision, at_s)
        if self.on_answer is not None:
            self.on_answer(page.revision, at_s, self.delay_s)
        return page

    def _note_success(self) -> None:
        self.backoff.reset()
        self.is_fresh = True
        if self._is_lost:
            self._is_lost = False
            LOG.info('store available again', extra={'detail': self.name})

    async def _note_dropped_history(self) -> None:
        """Schedule a full read; the watch still counts as in contact.

        The store has answered. When relays reported a loss of contact here,
        all their followers turned to the store: 88 hosts read the whole
        document over links of 3.5 Mbit/s, and for 2 s only a quarter of the
        calls was served in time.
        """
        LOG.info('store has dropped its history', extra={'detail': self.name})
        self._revision = None
        self._note_contact()
        if self.on_dropped_history is not None:
            self.on_dropped_history()
        share = random.uniform(LEAST_REREAD_PAUSE_SHARE, 1.0)
        await asyncio.sleep(self.reread_pause_s * share)

    def _note_contact(self) -> None:
        """Count an answer without rows as a proof.

        While the store drops its history, versions have longer to be in force.
        """
        self.proof_s = asyncio.get_running_loop().time()

    async def _note_failure(self, error: exceptions.PlatformError) -> None:
        if not self._is_lost:
            self._is_lost = True
            LOG.warning(
                'store unavailable',
                extra={
                    'code': int(error.code),
                    'detail': f'{self.name}: {error.detail}',
                },
            )
        self._store_recovery.is_away |= self.probes_during_outage
        await self.backoff.wait()
        if self._store_recovery.is_away and not self.probes_during_outage:
            await self._store_recovery.wait(PROBE_WAIT_S)


class ConfigWatcher(TableWatcher):
    """Watches the operator's row, and the orders in its table.

    Parameters
    ----------
    row : ConfigRow
        Row to watch.
    post : callable
        Called with each decoded version, or None, and the revision of the
        store up to which there is no newer version.
    store_recovery : StoreRecovery
        Shared by all tasks of the daemon that call the store.
    """

    def __init__(
        self,
        row: ConfigRow,
        post: Callable[[_config.AcceptedConfig | None, int], None],
        store_recovery: StoreRecovery,
    ):
        super().__init__('watch-config', row.table, store_recovery)
        self.row = row
        self.post = post
        #: Called with the orders of a page; see `OnOrders`.
        self.post_orders: OnOrders | None = None
        self._refusals = observability.RefusalLog(LOG, logging.ERROR)
        #: Number of full reads of the row.
        self.reads = 0

    async def read_all(self) -> int:
        """Read the operator's row and the orders."""
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
                (row.key, row.revision),
                'order rejected',
                error,
                target_set=row.key,
                version=row.revision,
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
    """Watches the member rows; probes the store during an outage.

    Parameters
    ----------
    table : WatchedTable
        One row for each host.
    post : callable
        Called with the changed rows.
    store_recovery : StoreRecovery
        Shared by all tasks of the daemon that call the store.
    """

    probes_during_outage = True

    def __init__(
        self,
        table: storage.WatchedTable,
        post: Callable[[_members.MemberUpdate], None],
        store_recovery: StoreRecovery,
    ):
        super().__init__('watch-members', table, store_recovery)
        self.post = post
        self._refusals = observability.RefusalLog(LOG, logging.ERROR)

    async def read_all(self) -> int:
        """Read all rows."""
        page = await self.table.list_rows()
        self._post_page(page, True)
        return page.revision

    def take_changes(self, page: storage.RowsPage) -> None:
        """Process rows that were written or removed."""
        self._post_page(page, False)

    def _post_page(self, page: storage.RowsPage, is_complete: bool) -> None:
        # Only the last of several changes of a row is kept.
        rows = {row.key: row for row in page.rows}
        entries = tuple(
            _members.MemberEntry(
                base.HostId(row.key), row.revision, self._decode(row)
            )
            for row in rows.values()
        )
        self.post(_members.MemberUpdate(entries, page.revision, is_complete))

    def _decode(self, row: storage.Row) -> _messages.MemberRow | None:
        if row.is_removed:
            return None
        try:
            return _members.decode_row(base.HostId(row.key), row.value)
        except exceptions.MemberError as error:
            key = (row.key, row.revision)
            self._refusals.note(
                key, 'member row rejected', error, peer=row.key
            )
        return None

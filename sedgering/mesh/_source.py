"""Merges versions, member rows and rollouts of the store and of relays."""

import asyncio
from collections.abc import Callable
import logging
import math

import msgspec

from sedgering import access
from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _config
from sedgering.mesh import _members
from sedgering.mesh import _messages
from sedgering.mesh import _proof
from sedgering.mesh import _rollout_log
from sedgering.mesh import _rollout_store
from sedgering.mesh import _row_writer
from sedgering.mesh import _versions
from sedgering.mesh import _watch
from sedgering import rollout
from sedgering import storage

__all__ = ['MeshSource']

LOG = logging.getLogger(__name__)

#: Called in the event loop with a new configuration version.
OnConfig = Callable[[_config.AcceptedConfig], None]
#: Called in the event loop with all member rows.
OnMembers = Callable[[dict[base.HostId, _messages.MemberRow]], None]

#: Called in the event loop with this host's row, as read from the store.
OnOwnRow = Callable[[_messages.MemberRow | None], None]
#: Called in the event loop when orders or rollouts have changed.
OnRollouts = Callable[[], None]

#: How long a daemon may lag behind the version of a peer before it reads the
#: store itself. A watch batches changes for 0.7 s.
VERSION_LAG_CHECK_S = 0.8
#: How long a daemon watches the store after the last poll; polls arrive about
#: once a second.
POLLED_S = 5.0
#: Pause before the members are read when the whole fleet starts for the first
#: time. All hosts start and write their rows within 0.3 s; a daemon that reads
#: them earlier sees a small fleet and watches the store itself. At 195 hosts
#: that caused about 1,500 calls.
FIRST_START_PAUSE_S = 1.5
#: Interval between checks of whether this daemon is a relay, and the range of
#: those of whether a relay needs a new proof: the store may become slow.
RELAY_CHECK_S = 0.5
SHORTEST_PROOF_CHECK_S = 0.05
LONGEST_PROOF_CHECK_S = 0.25
#: Pause after a failure.
PROOF_RETRY_S = 0.5
#: How long relays are relied on, whatever the age of their proofs, after the
#: store has answered slowly, or that it has dropped its history.  A call of
#: each follower would not be answered sooner, and make the store slower still;
#: or each would read the whole document.
IMPAIRED_STORE_S = 15.0


class MeshSource:
    """Provides versions, members and rollouts, and publishes this host's row.

    Parameters
    ----------
    config_row : ConfigRow
        Row in which the operator writes versions.
    members : WatchedTable
        One row for each host.
    host : HostId
        Host whose row is published.
    loop : AbstractEventLoop
        Event loop in which the callbacks run.
    is_first_start : bool
        Whether the whole fleet starts for the first time, so that no host has
        a row yet.
    rollout_store : RolloutStore or None
        Rows of rollouts; None where the operator uses no rollouts.
    """

    def __init__(
        self,
        config_row: _watch.ConfigRow,
        members: storage.WatchedTable,
        host: base.HostId,
        loop: asyncio.AbstractEventLoop,
        is_first_start: bool = False,
        rollout_store: _rollout_store.RolloutStore | None = None,
    ):
        self.host = host
        self.loop = loop
        self.versions = _versions.VersionLog()
        self.members = _members.MemberLog()
        store_recovery = _watch.StoreRecovery()
        self._row_writer = _row_writer.MemberRowWriter(
            members, host, store_recovery
        )
        self._config_watcher = _watch.ConfigWatcher(
            config_row, self.apply_version, store_recovery
        )
        self._member_watcher = _watch.MemberWatcher(
            members, self.merge_members, store_recovery
        )
        self.rollouts = _rollout_log.RolloutLog()
        self.rollout_store = rollout_store
        self._rollout_watcher: _rollout_store.RolloutWatcher | None = None
        #: Target sets whose row is about to be written.
        self.awaited_rollouts: frozenset[base.TargetSetName] = frozenset()
        if rollout_store is None:
            self.rollouts.is_known = True
        else:
            self._config_watcher.post_orders = self.merge_orders
            self._rollout_watcher = _rollout_store.RolloutWatcher(
                rollout_store.table, self._take_rows, store_recovery
            )
            self._rollout_watcher.set_enabled(False)
        #: Clock of the store minus that of the event loop; None until an
        #: answer of the store contained the time.
        self._store_offset_ms: int | None = None
        if rollout_store is not None:
            self._config_watcher.on_clock = self._note_clock
            self._member_watcher.on_clock = self._note_clock
        #: Called after this host's row was read before a write, or written.
        self.on_own_row: OnOwnRow | None = None
        self._row_writer.on_stored = self._note_own_row
        self._on_rollouts: OnRollouts | None = None
        self._on_config: OnConfig | None = None
        self._on_members: OnMembers | None = None
        self._is_watching = False
        self._polled_s = -POLLED_S
        self.proof_plan = _proof.ProofPlan()
        #: Last proof of a relay whose data this daemon has.
        self._relay_proof_s = -math.inf
        self._impaired_until_s = -math.inf
        self._schedule = _proof.WatchSchedule()
        self._share_proofs()
        #: Highest version that another daemon used to route a call.
        self._highest_peer_version = base.NO_VERSION
        self._is_check_scheduled = False
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        # The members decide which daemons read versions from the store, so no
        # version is read before they are known: the document takes 0.7 s on a
        # link of 5 Mbit/s, but the same version from a relay only 0.03 s.
        self._config_watcher.set_enabled(False)
        if is_first_start:
            self._row_writer.set_stored_row(
                _members.MemberEntry(host, 0, None)
            )
            self._member_watcher.first_pause_s = FIRST_START_PAUSE_S

    @property
    def is_polled(self) -> bool:
        """Whether other daemons have recently polled this one."""
        return self.loop.time() - self._polled_s < POLLED_S

    @property
    def is_fresh(self) -> bool:
        """Whether this daemon is in contact with the store."""
        return self._config_watcher.is_fresh and self._member_watcher.is_fresh

    def find_freshness(self) -> access.Freshness:
        """Return how up to date the version of this daemon is."""
        proof_s = max(self._config_watcher.proof_s, self._relay_proof_s)
        age_s = self.loop.time() - proof_s
        is_proven = age_s <= self.proof_plan.apply_s
        is_behind = self._highest_peer_version > self.versions.version
        return access.Freshness(
            (self._config_watcher.is_fresh or is_proven) and not is_behind,
            age_s,
        )

    @property
    def proof_s(self) -> float:
        """Time of the last proof that versions and members were current."""
        own_s = min(self._config_watcher.proof_s, self._member_watcher.proof_s)
        return max(own_s, self._relay_proof_s)

    def note_relay_proof(self, proof_s: float) -> None:
        """Record the last proof of a relay whose update was applied."""
        self._relay_proof_s = max(self._relay_proof_s, proof_s)

    @property
    def is_store_impaired(self) -> bool:
        """Whether asking the store has recently shown not to help."""
        return self.loop.time() < self._impaired_until_s

    def _note_impaired_store(self) -> None:
        self._impaired_until_s = self.loop.time() + IMPAIRED_STORE_S

    def _share_proofs(self) -> None:
        """Let the answers to one watch prove the other table, too."""
        clock = _proof.StoreClock()
        for watcher in self._table_watchers:
            watcher.clock = clock
            watcher.on_answer = self._note_answer
            watcher.on_dropped_history = self._note_impaired_store

    @property
    def _table_watchers(self) -> tuple[_watch.TableWatcher, ...]:
        return self._config_watcher, self._member_watcher

    def _note_answer(self, revision: int, at_s: float, delay_s: float) -> None:
        for watcher in self._table_watchers:
            watcher.prove(revision, at_s)
        if delay_s > self.proof_plan.slow_s:
            self._note_impaired_store()
        if self.is_polled:
            self.note_change()

    async def _renew_proofs(self, watcher: _watch.TableWatcher) -> None:
        """Ask the store when followers would soon do so themselves."""
        while True:
            is_relied_on = self.is_polled and self._is_watching
            if not (is_relied_on and watcher.is_fresh):
                await asyncio.sleep(RELAY_CHECK_S)
                continue
            left_s = self._find_renewal_s(watcher) - self.loop.time()
            if left_s <= 0:
                await self._renew_proof(watcher)
            pause_s = max(SHORTEST_PROOF_CHECK_S, left_s)
            await asyncio.sleep(min(pause_s, LONGEST_PROOF_CHECK_S))

    def _find_renewal_s(self, watcher: _watch.TableWatcher) -> float:
        """Return when the store must be asked for a new proof.

        The answer is expected to take as long as the previous one.
        """
        renew_s = self.proof_plan.renew_s
        delay_s = min(max(0.0, watcher.delay_s), renew_s / 2)
        return watcher.proof_s + renew_s - delay_s

    async def _renew_proof(self, watcher: _watch.TableWatcher) -> None:
        try:
            await watcher.confirm()
        except exceptions.PlatformError as error:
            LOG.info(
                'proof not renewed',
                extra={
                    'code': int(error.code),
                    'detail': f'{watcher.name}: {error.detail}',
                },
            )
            await asyncio.sleep(PROOF_RETRY_S)
        except Exception:
            # An unexpected exception must not end the task: followers would
            # turn to the store again and again.
            LOG.exception('proof not renewed')
            await asyncio.sleep(PROOF_RETRY_S)

    @property
    def is_trusted(self) -> bool:
        """Whether other daemons may follow this one instead of the store."""
        return all(watcher.is_trusted for watcher in self._table_watchers)

    def start(
        self,
        on_config: OnConfig,
        on_members: OnMembers,
        on_rollouts: OnRollouts,
    ) -> None:
        """Start the watches; the callbacks run in the event loop."""
        self._on_config = on_config
        self._on_members = on_members
        self._on_rollouts = on_rollouts
        workers = [
            self._config_watcher,
            self._member_watcher,
            self._row_writer,
        ]
        if self._rollout_watcher is not None:
            workers.append(self._rollout_watcher)
        for worker in workers:
            self._tasks.append(self.loop.create_task(worker.run()))
        for watcher in self._table_watchers:
            renewal = self._renew_proofs(watcher)
            self._tasks.append(self.loop.create_task(renewal))

    def set_watching(self, is_watching: bool) -> None:
        """Enable or disable the watches of the store."""
        wait_ms, batch_delay_s = _watch.WATCH_WAIT_MS, _watch.BATCH_DELAY_S
        longest_pause_s = _watch.LONGEST_PAUSE_S
        reread_pause_s = _watch.REREAD_PAUSE_S
        schedule = None
        if self.is_polled:
            schedule = self._schedule
            reread_pause_s = _watch.POLLED_REREAD_PAUSE_S
            wait_ms, batch_delay_s = (
                self.proof_plan.watch_ms,
                _watch.POLLED_BATCH_DELAY_S,
            )
            longest_pause_s = _watch.POLLED_LONGEST_PAUSE_S
        for watcher in self._table_watchers:
            watcher.wait_ms = wait_ms
            watcher.schedule = schedule
            watcher.batch_delay_s = batch_delay_s
            watcher.reread_pause_s = reread_pause_s
            watcher.backoff.longest_s = longest_pause_s
            watcher.set_enabled(is_watching)
        self._is_watching = is_watching
        self._watch_rollouts()

    @property
    def is_watching(self) -> bool:
        """Whether this daemon watches the store itself."""
        return self._is_watching

    def set_awaited_rollouts(
        self, target_sets: frozenset[base.TargetSetName]
    ) -> None:
        """Set the target sets whose row is about to be written."""
        if target_sets != self.awaited_rollouts:
            self.awaited_rollouts = target_sets
            self._watch_rollouts()
            self.note_change()

    def _watch_rollouts(self) -> None:
        """Watch the rows until they are known, and while any may change."""
        if self._rollout_watcher is not None:
            is_followed = (
                not self.rollouts.is_known
                or bool(self.awaited_rollouts)
                or bool(self.rollouts.list_open())
            )
            self._rollout_watcher.set_enabled(
                self._is_watching and is_followed
            )

    def _note_clock(self, now_ms: int) -> None:
        self._store_offset_ms = now_ms - int(self.loop.time() * 1000)

    @property
    def store_now_ms(self) -> int | None:
        """Monotonic clock of the store in milliseconds; None if unknown.

        The daemon's own clock is no substitute: with it, a rollout got a start
        time that was long past for all other daemons, and they rolled it back.
        """
        if self._store_offset_ms is None:
            return None
        return int(self.loop.time() * 1000) + self._store_offset_ms

    def publish(self, row: _messages.MemberRow | None) -> None:
        """Set the row that is published for this host until the next call.

        Parameters
        ----------
        row : MemberRow or None
            None removes the row.
        """
        if self.members.revision:
            self._row_writer.set_stored_row(self.members.find_entry(self.host))
        self._row_writer.set_row(row)

    def apply_version(
        self, config: _config.AcceptedConfig | None, revision: int
    ) -> None:
        """Apply a version from the store or from another daemon.

        Parameters
        ----------
        config : AcceptedConfig or None
            None when there is no newer version.
        revision : int
            Revision of the store up to which there is no newer version.
        """
        versions = self.versions
        versions.revision = max(versions.revision, revision)
        self._config_watcher.skip_to(revision)
        if config is not None and versions.add(config, self.is_polled):
            self._on_config(config)
            self.note_change()

    @property
    def stored_row(self) -> _messages.MemberRow | None:
        """Row of this host in the store, as last read or written."""
        if self._row_writer.is_stored_known:
            return self._row_writer.stored_row
        return self.members.find_entry(self.host).row

    def _note_own_row(self, row: _messages.MemberRow | None) -> None:
        if self.on_own_row is not None:
            self.on_own_row(row)

    def merge_members(self, update: _members.MemberUpdate) -> None:
        """Merge member rows from the store or from another daemon."""
        is_first = not self.members.revision
        is_changed = self.members.merge(update)
        self._member_watcher.skip_to(update.revision)
        own = self.members.find_entry(self.host)
        self._row_writer.check_stored_row(own, self.members.revision)
        claim = self.members.find_claim(self.host) if is_changed else None
        if claim is not None:
            self._row_writer.outdate(claim)
        if is_changed or is_first:
            self._on_members(self.members.list_members())
            self.note_change()

    def merge_orders(
        self,
        orders: list[rollout.Order],
        is_complete: bool,
        page: storage.RowsPage,
    ) -> None:
        """Merge orders of the operator.

        Parameters
        ----------
        orders : list of Order
            Orders that were written or withdrawn.
        is_complete : bool
            Whether all orders that are not listed have been withdrawn.
        page : RowsPage
            Page of rows from which the orders were decoded.
        """
        if page.now_ms:
            self._note_clock(page.now_ms)
        if is_complete:
            ordered_sets = {order.target_set for order in orders}
            orders = orders + [
                msgspec.structs.replace(
                    order,
                    version=_rollout_log.WITHDRAWN,
                    revision=page.revision,
                )
                for order in self.rollouts.list_orders()
                if order.target_set not in ordered_sets and order.version
            ]
        self.merge_rollouts(_rollout_log.RolloutUpdate(tuple(orders)), False)

    def _take_rows(self, entries: list[_rollout_log.RolloutEntry]) -> None:
        self.merge_rollouts(_rollout_log.RolloutUpdate((), tuple(entries)))

    def merge_rollouts(
        self, update: _rollout_log.RolloutUpdate, is_all: bool = True
    ) -> None:
        """Merge orders and rollouts from the store or another daemon.

        Parameters
        ----------
        update : RolloutUpdate
            Orders and rollouts to merge.
        is_all : bool
            Whether all rows of rollouts are known afterwards: orders alone do
            not show how far their rollouts have progressed.
        """
        is_changed = self.rollouts.merge(update)
        if is_all:
            self._note_rollouts_known()
        self._watch_rollouts()
        if is_changed:
            self._on_rollouts()
            self.note_change()

    def _note_rollouts_known(self) -> None:
        if not self.rollouts.is_known:
            self.rollouts.is_known = True
            self._on_rollouts()

    def note_poll(self) -> None:
        """Record that another daemon polls this one."""
        self._polled_s = self.loop.time()

    async def wait_for_change(self, wait_s: float) -> None:
        """Wait for a change of versions, members or rollouts, or a timeout."""
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def note_peer_version(self, version: base.Version) -> None:
        """Record the version that a peer used to route a call.

        A version that is not yet known here usually arrives soon; if not, it
        is read from the store after `VERSION_LAG_CHECK_S`.
        """
        self._highest_peer_version = max(self._highest_peer_version, version)
        if version > self.versions.version and not self._is_check_scheduled:
            self._is_check_scheduled = True
            self.loop.call_later(
                VERSION_LAG_CHECK_S, self._read_if_behind, version
            )

    def stop(self) -> None:
        """Stop all tasks that call the store."""
        for task in self._tasks:
            task.cancel()

    def _read_if_behind(self, version: base.Version) -> None:
        self._is_check_scheduled = False
        if version > self.versions.version:
            self._row_writer.read_once(self._config_watcher.read_all)

    def note_change(self) -> None:
        """Wake the tasks in `wait_for_change`."""
        self._changed.set()
        self._changed = asyncio.Event()

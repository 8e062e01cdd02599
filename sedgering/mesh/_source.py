"""Where versions and member rows come from."""

import asyncio
from collections.abc import Callable
import math

import msgspec

from sedgering import access
from sedgering import base
from sedgering.mesh import _config
from sedgering.mesh import _keeper
from sedgering.mesh import _members
from sedgering.mesh import _messages
from sedgering.mesh import _rollout_log
from sedgering.mesh import _rollout_store
from sedgering.mesh import _versions
from sedgering.mesh import _watch
from sedgering import rollout
from sedgering import storage

__all__ = ['MeshSource']

#: Called in the event loop with a version that the operator wrote.
OnConfig = Callable[[_config.AcceptedConfig], None]
#: Called in the event loop with the whole list of member rows.
OnMembers = Callable[[dict[base.HostId, _messages.MemberRow]], None]

#: Called in the event loop when orders or rollouts have changed.
OnRollouts = Callable[[], None]

#: For how long a daemon may lag behind the version of a peer before it
#: reads the store itself: a watch gathers changes for 0.7 s.
BEHIND_S = 0.8
#: For how long a daemon that was polled goes on to watch the store; polls
#: come about once a second.
POLLED_S = 5.0
#: Pause before the members are read when the whole fleet starts for the first
#: time: all hosts start within 0.3 s and write their rows, and who reads them
#: earlier takes the fleet for a small one, and watches the store itself.  At
#: 195 hosts that made some 1,500 calls.
FIRST_START_S = 1.5
#: Longest wait of a watch in a daemon that others poll: they must learn
#: soon that it does not hear the store.
POLLED_WAIT_MS = 2000
#: For how long the word of a relay holds that there is no newer version: a
#: poll takes 1.4 s at most, and another relay is asked after one that fails.
TOLD_S = 2.0
#: By how much what a relay tells may be older: its own watch waits so long,
#: and others rely on it for a moment after it has lost the store.
RELAY_LAG_S = POLLED_WAIT_MS / 1000 + _watch.LOST_GRACE_S


class MeshSource:
    """Tells versions and members, and keeps this host's row.

    Parameters
    ----------
    config_row : ConfigRow
        The operator's row.
    members : WatchedTable
        One row for each host.
    host : HostId
        Whose row is kept.
    loop : AbstractEventLoop
        In which the callbacks run.
    is_first_start : bool
        Whether the whole fleet starts for the first time: no host has a row
        yet.
    rollout_store : RolloutStore or None
        Rows of rollouts; None where the operator orders none.
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
        store_return = _watch.StoreReturn()
        self._keeper = _keeper.RowKeeper(members, host, store_return)
        self._config_watcher = _watch.ConfigWatcher(
            config_row, self.take_version, store_return
        )
        self._member_watcher = _watch.MemberWatcher(
            members, self.take_members, store_return
        )
        self.rollouts = _rollout_log.RolloutLog()
        self.rollout_store = rollout_store
        self._rollout_watcher: _rollout_store.RolloutWatcher | None = None
        if rollout_store is None:
            self.rollouts.is_known = True
        else:
            self._config_watcher.post_orders = self.take_orders
            self._rollout_watcher = _rollout_store.RolloutWatcher(
                rollout_store.table, self._take_rows, store_return
            )
            self._rollout_watcher.set_enabled(False)
        #: Clock of the store less that of the event loop; None where no
        #: answer of the store has told it.
        self._store_offset_ms: int | None = None
        if rollout_store is not None:
            self._config_watcher.on_clock = self._note_clock
            self._member_watcher.on_clock = self._note_clock
        self._on_rollouts: OnRollouts | None = None
        self._on_config: OnConfig | None = None
        self._on_members: OnMembers | None = None
        self._is_watching = False
        self._polled_s = -POLLED_S
        #: When a relay said last that it hears the store.
        self._told_s = -math.inf
        #: Greatest version by which another daemon routed a call.
        self._heard_version = base.NO_VERSION
        self._is_check_due = False
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        # Who reads the version is decided when the members are known: the
        # document takes 0.7 s on a link of 5 Mbit/s, the same from a relay
        # 0.03 s.
        self._config_watcher.set_enabled(False)
        if is_first_start:
            self._keeper.note_known(_members.MemberEntry(host, 0, None))
            self._member_watcher.first_pause_s = FIRST_START_S

    @property
    def is_polled(self) -> bool:
        """Whether other daemons have polled this one lately."""
        return self.loop.time() - self._polled_s < POLLED_S

    @property
    def is_fresh(self) -> bool:
        """Whether the store tells this daemon of each change."""
        return self._config_watcher.is_fresh and self._member_watcher.is_fresh

    def find_currency(self) -> access.Currency:
        """Tell how current the version of this daemon is."""
        now_s = self.loop.time()
        is_told = now_s - self._told_s <= TOLD_S
        is_behind = self._heard_version > self.versions.version
        heard_s = max(self._config_watcher.heard_s, self._told_s - RELAY_LAG_S)
        return access.Currency(
            (self._config_watcher.is_fresh or is_told) and not is_behind,
            now_s - heard_s,
        )

    def note_told(self) -> None:
        """Note that a relay hears the store, and has told its version."""
        self._told_s = self.loop.time()

    @property
    def is_trusted(self) -> bool:
        """Whether others may rely on this daemon to hear the store."""
        watchers = (self._config_watcher, self._member_watcher)
        return all(watcher.is_trusted for watcher in watchers)

    def start(
        self,
        on_config: OnConfig,
        on_members: OnMembers,
        on_rollouts: OnRollouts,
    ) -> None:
        """Start to watch; the callbacks run in the event loop."""
        self._on_config = on_config
        self._on_members = on_members
        self._on_rollouts = on_rollouts
        workers = [self._config_watcher, self._member_watcher, self._keeper]
        if self._rollout_watcher is not None:
            workers.append(self._rollout_watcher)
        for worker in workers:
            self._tasks.append(self.loop.create_task(worker.run()))

    def set_watching(self, is_watching: bool) -> None:
        """Watch the store, or leave that to others."""
        wait_ms, gather_s = _watch.WATCH_WAIT_MS, _watch.GATHER_S
        longest_pause_s = _watch.LONGEST_PAUSE_S
        reread_pause_s = _watch.REREAD_PAUSE_S
        if self.is_polled:
            reread_pause_s = _watch.POLLED_REREAD_PAUSE_S
            wait_ms, gather_s = POLLED_WAIT_MS, _watch.POLLED_GATHER_S
            longest_pause_s = _watch.POLLED_LONGEST_PAUSE_S
        for watcher in (self._config_watcher, self._member_watcher):
            watcher.wait_ms = wait_ms
            watcher.gather_s = gather_s
            watcher.reread_pause_s = reread_pause_s
            watcher.pauses.longest_s = longest_pause_s
            watcher.set_enabled(is_watching)
        self._is_watching = is_watching
        self._watch_rollouts()

    @property
    def is_watching(self) -> bool:
        """Whether this daemon watches the store itself."""
        return self._is_watching

    def _watch_rollouts(self) -> None:
        """Watch the rows of rollouts while there is an order to follow."""
        if self._rollout_watcher is not None:
            is_followed = bool(self.rollouts.list_open())
            if not self.rollouts.is_known:
                is_followed = bool(self.rollouts.list_orders())
            is_needed = self._is_watching and is_followed
            self._rollout_watcher.set_enabled(is_needed)

    def _note_clock(self, now_ms: int) -> None:
        self._store_offset_ms = now_ms - int(self.loop.time() * 1000)

    @property
    def store_now_ms(self) -> int | None:
        """Steady clock of the store; None where nothing is known of it.

        A daemon that took its own clock for it put the start of a rollout at
        a moment that was long ago for all others, who undid it.
        """
        if self._store_offset_ms is None:
            return None
        return int(self.loop.time() * 1000) + self._store_offset_ms

    def publish(self, row: _messages.MemberRow | None) -> None:
        """Make this the row of this host, until the next call.

        Parameters
        ----------
        row : MemberRow or None
            None removes the row.
        """
        if self.members.revision:
            self._keeper.note_known(self.members.find_entry(self.host))
        self._keeper.want(row)

    def take_version(
        self, config: _config.AcceptedConfig | None, revision: int
    ) -> None:
        """Take in a version from the store or from another daemon.

        Parameters
        ----------
        config : AcceptedConfig or None
            None when there is none that is newer.
        revision : int
            Counter of the store up to which there is no newer version.
        """
        versions = self.versions
        versions.revision = max(versions.revision, revision)
        self._config_watcher.skip_to(revision)
        if config is not None and versions.take(config, self.is_polled):
            self._on_config(config)
            self.note_change()

    def take_members(self, news: _members.MemberNews) -> None:
        """Take in member rows from the store or from another daemon."""
        is_first = not self.members.revision
        is_changed = self.members.merge(news)
        self._member_watcher.skip_to(news.revision)
        own = self.members.find_entry(self.host)
        self._keeper.note_seen(own.row, self.members.revision)
        if is_changed or is_first:
            self._on_members(self.members.list_members())
            self.note_change()

    def take_orders(
        self,
        orders: list[rollout.Order],
        is_complete: bool,
        page: storage.RowsPage,
    ) -> None:
        """Take in orders of the operator.

        Parameters
        ----------
        orders : list of Order
            Those that were written, and those that were withdrawn.
        is_complete : bool
            Whether others have been withdrawn.
        page : RowsPage
            From which they come.
        """
        if page.now_ms:
            self._note_clock(page.now_ms)
        if is_complete:
            named = {order.target_set for order in orders}
            orders = orders + [
                msgspec.structs.replace(
                    order,
                    version=_rollout_log.WITHDRAWN,
                    revision=page.revision,
                )
                for order in self.rollouts.list_orders()
                if order.target_set not in named and order.version
            ]
        if not self.rollouts.list_orders() and not orders:
            # Without an order no rollout is under way.
            self._note_rollouts_known()
        self.take_rollouts(_rollout_log.RolloutNews(tuple(orders)), False)

    def _take_rows(self, entries: list[_rollout_log.RolloutEntry]) -> None:
        self.take_rollouts(_rollout_log.RolloutNews((), tuple(entries)))

    def take_rollouts(
        self, news: _rollout_log.RolloutNews, is_all: bool = True
    ) -> None:
        """Take in orders and rollouts from the store or another daemon.

        Parameters
        ----------
        news : RolloutNews
            What is told.
        is_all : bool
            Whether all rows are known with it: orders alone do not tell how
            far their rollouts have come.
        """
        is_changed = self.rollouts.merge(news)
        self._watch_rollouts()
        if is_all:
            self._note_rollouts_known()
        if is_changed:
            self._on_rollouts()
            self.note_change()

    def _note_rollouts_known(self) -> None:
        if not self.rollouts.is_known:
            self.rollouts.is_known = True
            self._on_rollouts()

    def note_poll(self) -> None:
        """Note that another daemon relies on this one."""
        self._polled_s = self.loop.time()

    async def wait_for_change(self, wait_s: float) -> None:
        """Wait for a new version or member row, or until time is up."""
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def note_newer(self, version: base.Version) -> None:
        """Note that a peer uses a version that is not known here.

        It is usually on its way; it is read when it does not come.
        """
        self._heard_version = max(self._heard_version, version)
        if version > self.versions.version and not self._is_check_due:
            self._is_check_due = True
            self.loop.call_later(BEHIND_S, self._check_behind, version)

    def stop(self) -> None:
        """Stop to ask the store."""
        for task in self._tasks:
            task.cancel()

    def _check_behind(self, version: base.Version) -> None:
        self._is_check_due = False
        if version > self.versions.version:
            self._keeper.ask(self._config_watcher.read_all)

    def note_change(self) -> None:
        """Wake those that wait for news."""
        self._changed.set()
        self._changed = asyncio.Event()

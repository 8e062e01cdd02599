"""Where versions and member rows come from."""

import asyncio
from collections.abc import Callable

from sedgering import base
from sedgering.mesh import _config
from sedgering.mesh import _keeper
from sedgering.mesh import _messages
from sedgering.mesh import _watch
from sedgering import storage

__all__ = ['MeshSource']

#: Called in the event loop with a version that the operator wrote.
OnConfig = Callable[[_config.AcceptedConfig], None]
#: Called in the event loop with the whole list of member rows.
OnMembers = Callable[[dict[base.HostId, _messages.MemberRow]], None]

#: Between two reads that peers with a newer version cause.
ASK_INTERVAL_S = 0.5


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
    """

    def __init__(
        self,
        config_row: _watch.ConfigRow,
        members: storage.WatchedTable,
        host: base.HostId,
        loop: asyncio.AbstractEventLoop,
    ):
        self.config_row = config_row
        self.members = members
        self.loop = loop
        self._keeper = _keeper.RowKeeper(members, host)
        self._watchers: list[_watch.TableWatcher] = []
        self._asked_s = 0.0

    def start(self, on_config: OnConfig, on_members: OnMembers) -> None:
        """Start to watch; the callbacks run in the event loop."""
        self._watchers = [
            _watch.ConfigWatcher(
                self.config_row,
                lambda config: self._post(on_config, config),
            ),
            _watch.MemberWatcher(
                self.members,
                lambda members: self._post(on_members, members),
            ),
        ]
        for watcher in self._watchers:
            watcher.start()
        self._keeper.start()

    def publish(self, row: _messages.MemberRow | None) -> None:
        """Make this the row of this host, until the next call.

        Parameters
        ----------
        row : MemberRow or None
            None removes the row.
        """
        self._keeper.want(row)

    def ask_config(self) -> None:
        """Read the newest version soon; a peer has a newer one."""
        now_s = self.loop.time()
        if now_s - self._asked_s < ASK_INTERVAL_S or not self._watchers:
            return
        self._asked_s = now_s
        self._keeper.ask(self._watchers[0].read_all)

    def stop(self) -> None:
        """Stop the threads after their calls."""
        self._keeper.is_stopping = True
        for watcher in self._watchers:
            watcher.is_stopping = True

    def _post(self, callback: Callable, value) -> None:
        self.loop.call_soon_threadsafe(callback, value)

"""Systems that keep the table of hosts true."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgering import base
from sedgering.membership import _join
from sedgering.membership import _probe
from sedgering.membership import _self
from sedgering import peer

if TYPE_CHECKING:
    from sedgering import control

__all__ = [
    'MergeSystem',
    'PassOnSystem',
    'SelfSystem',
    'make_membership_systems',
]

#: Rows that fit into one datagram beside its other parts.
ROWS_PER_DATAGRAM = 6


class MergeSystem(base.System):
    """Takes in rows from datagrams and pulls, and answers for itself."""

    def run(self, tables: control.ControlTables, now_ms: int) -> None:
        """Merge all rows of the inbox."""
        for received in tables.inbox.datagrams:
            for row in received.datagram.rows or ():
                if self._merge(tables, row, now_ms):
                    index = tables.hosts.find(row.host)
                    tables.rumours.add(index, len(tables.hosts))
        for pulled in tables.inbox.pulled:
            # What was pulled is known widely; passing all of it on would
            # flood the peers of every host that joins.
            for row in pulled.rows:
                self._merge(tables, row, now_ms)

    def _merge(
        self, tables: control.ControlTables, row: peer.HostRow, now_ms: int
    ) -> bool:
        if row.host == tables.settings.host_id:
            self._answer_for_self(tables, row)
            return False
        return tables.hosts.merge(row, now_ms)

    def _answer_for_self(
        self, tables: control.ControlTables, row: peer.HostRow
    ) -> None:
        own = tables.self_row
        tables.updates.raise_floor(base.Version(row.held_version))
        if row.incarnation > own.incarnation:
            # An earlier process had a greater number, after a clock that
            # went back, say.  Only a process that serves already must
            # take it for its successor, and leave.
            if own.state is peer.HostState.STARTING:
                own.incarnation = base.Incarnation(row.incarnation + 1)
                own.sequence += 1
            else:
                own.set_state(peer.HostState.DRAINING)
            return
        if row.incarnation < own.incarnation:
            return
        is_false = row.state in (peer.HostState.SUSPECT, peer.HostState.GONE)
        if row.sequence > own.sequence or (
            is_false and row.sequence == own.sequence
        ):
            own.outbid(row.sequence)


class SelfSystem(base.System):
    """Keeps this host's own row in the table, and drops silent targets."""

    def run(self, tables: control.ControlTables, now_ms: int) -> None:
        """Restate the own row when it changed."""
        self._drop_silent_targets(tables, now_ms)
        message = _self.make_host_row(tables.self_row, tables.holder.version)
        if tables.hosts.merge(message, now_ms):
            row = tables.hosts.find(message.host)
            tables.rumours.add(row, len(tables.hosts))

    def _drop_silent_targets(
        self, tables: control.ControlTables, now_ms: int
    ) -> None:
        own = tables.self_row
        limit_ms = tables.settings.traffic.heartbeat_limit_ms
        for name, heard_at_ms in tuple(own.heard_at_ms.items()):
            if now_ms - heard_at_ms > limit_ms:
                del own.heard_at_ms[name]
                del own.targets[name]
                own.sequence += 1


class CollectSystem(base.System):
    """Turns suspicion into absence, and forgets hosts long gone."""

    def run(self, tables: control.ControlTables, now_ms: int) -> None:
        """Look at the rows that are suspected or gone."""
        hosts = tables.hosts
        membership = tables.settings.membership
        for row in tuple(hosts.unsettled):
            age_ms = now_ms - hosts.changed_at_ms[row]
            if hosts.states[row] == peer.HostState.SUSPECT:
                if age_ms >= membership.suspicion_ms:
                    hosts.set_state(row, peer.HostState.GONE, now_ms)
                    tables.rumours.add(row, len(hosts))
            elif age_ms >= membership.forget_ms:
                tables.rumours.discard(row)
                hosts.forget(row)


class PassOnSystem(base.System):
    """Passes news on: on all datagrams of the tick, and on a few more."""

    def __init__(self):
        self._next_push_ms = 0

    def run(self, tables: control.ControlTables, now_ms: int) -> None:
        """Attach rows to datagrams."""
        tables.view.refresh(tables.hosts)
        if not len(tables.rumours):
            return
        if now_ms >= self._next_push_ms:
            self._next_push_ms = now_ms + tables.settings.tick_interval_ms
            self._open_datagrams(tables)
        for datagram in tables.outbox.datagrams.values():
            if datagram.rows is None and datagram.announcement is None:
                datagram.rows = [
                    tables.hosts.make_message(row)
                    for row in tables.rumours.take(ROWS_PER_DATAGRAM)
                ]

    def _open_datagrams(self, tables: control.ControlTables) -> None:
        count = tables.settings.membership.gossip_fan_out
        for row in _probe.choose_peers(tables, count):
            tables.datagram_to(tables.hosts.address_of(row))


def make_membership_systems() -> tuple[
    tuple[base.System, ...], tuple[base.System, ...]
]:
    """Make the systems that merge news, and those that pass it on."""
    merging = (
        MergeSystem(),
        _join.JoinSystem(),
        _probe.ProbeSystem(),
        CollectSystem(),
        SelfSystem(),
    )
    return merging, (PassOnSystem(),)

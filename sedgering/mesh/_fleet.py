"""Hosts and their targets, as this daemon believes them to be."""

import logging

from sedgering import base
from sedgering.mesh import _messages

__all__ = ['FleetTable']

LOG = logging.getLogger(__name__)


class FleetTable:
    """Member rows by host, and the open ones by target set."""

    def __init__(self):
        self.members: dict[base.HostId, _messages.MemberRow] = {}
        self.by_set: dict[
            base.TargetSetName, tuple[_messages.MemberRow, ...]
        ] = {}
        self.is_known = False
        self._closed: dict[base.HostId, base.TargetName] = {}

    def replace(self, members: dict[base.HostId, _messages.MemberRow]) -> None:
        """Take over the list as the store has it."""
        for host, row in members.items():
            old = self.members.get(host)
            if old != row:
                _log_change('member changed' if old else 'member new', row)
        for host, row in self.members.items():
            if host not in members:
                _log_change('member removed', row)
        self.members = members
        self.is_known = True
        self._closed = {
            host: target
            for host, target in self._closed.items()
            if host in members and members[host].target == target
        }
        self._index()

    def close(self, host: base.HostId, target: base.TargetName) -> None:
        """Send nothing more to a target that refused as leaving or gone.

        It stays closed until another row of its host arrives.
        """
        row = self.members.get(host)
        if row is None or row.target != target:
            return
        if self._closed.get(host) == target:
            return
        self._closed[host] = target
        _log_change('member closed', row)
        self._index()

    def _index(self) -> None:
        by_set: dict[base.TargetSetName, list[_messages.MemberRow]] = {}
        for host, row in self._latest_by_address().items():
            is_open = (
                row.state is _messages.TargetState.READY
                and self._closed.get(host) != row.target
            )
            if is_open:
                by_set.setdefault(row.target_set, []).append(row)
        self.by_set = {name: tuple(rows) for name, rows in by_set.items()}

    def _latest_by_address(self) -> dict[base.HostId, _messages.MemberRow]:
        """Leave out rows whose address another host has taken over."""
        by_address = {
            (row.address, row.port): host for host, row in self.members.items()
        }
        return {
            host: self.members[host] for host in sorted(by_address.values())
        }


def _log_change(message: str, row: _messages.MemberRow) -> None:
    LOG.info(
        message,
        extra={
            'peer': row.host,
            'target': row.target,
            'target_set': row.target_set,
            'detail': row.state.value,
        },
    )

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

    def replace(
        self, members: dict[base.HostId, _messages.MemberRow]
    ) -> list[_messages.MemberRow]:
        """Take over the list as the store has it.

        Returns
        -------
        list of MemberRow
            Those whose target has started since.
        """
        started = []
        for host, row in members.items():
            old = self.members.get(host)
            if old != row:
                _log_change('member changed' if old else 'member new', row)
            if old is None or old.target != row.target:
                started.append(row)
        for host, row in self.members.items():
            if host not in members:
                _log_change('member removed', row)
        self.members = members
        self.is_known = True
        self._index()
        return started

    def _index(self) -> None:
        by_set: dict[base.TargetSetName, list[_messages.MemberRow]] = {}
        for row in self._latest_by_address().values():
            if row.state is _messages.TargetState.READY:
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

"""Hosts and their targets, as this daemon believes them to be."""

import logging

from sedgering import base
from sedgering.mesh import _messages
from sedgering.mesh import _rollout_log
from sedgering import rollout

__all__ = ['FleetTable']

LOG = logging.getLogger(__name__)


class FleetTable:
    """Member rows by host, and the open ones by target set.

    Rows come from the store.  After a loss of power all of them name targets
    that are gone, and the new ones come some 0.4 s after they were written;
    so what a daemon tells of its own target is believed until the store has
    another row of its host.
    """

    def __init__(self):
        #: As the store has them.
        self._stored: dict[base.HostId, _messages.MemberRow] = {}
        #: What daemons told since, in place of the stored rows.
        self._told: dict[base.HostId, _messages.MemberRow] = {}
        self.members: dict[base.HostId, _messages.MemberRow] = {}
        self.by_set: dict[
            base.TargetSetName, tuple[_messages.MemberRow, ...]
        ] = {}
        self.is_known = False
        #: Targets that get a bounded share of the calls to their set.
        self.trials: dict[
            base.TargetSetName, tuple[_messages.MemberRow, ...]
        ] = {}
        #: Whether rows are left out whose address another host has.
        self._has_hidden = False
        #: Orders and rollouts; None where the operator orders none.
        self.rollouts: _rollout_log.RolloutLog | None = None

    def note_rollouts(self) -> None:
        """Work out anew which targets may get calls."""
        self._index(None)

    def list_ready(
        self, target_set: base.TargetSetName
    ) -> list[_messages.MemberRow]:
        """Return the targets of a set that take calls, of any version."""
        return [
            row
            for row in self._list_latest()
            if row.state is _messages.TargetState.READY
            and row.target_set == target_set
        ]

    def replace(
        self, members: dict[base.HostId, _messages.MemberRow]
    ) -> list[_messages.MemberRow]:
        """Take over the list as the store has it.

        Returns
        -------
        list of MemberRow
            Those whose target has started since, under whatever id.
        """
        self._told = {
            host: row
            for host, row in self._told.items()
            if members.get(host) == self._stored[host]
            or _is_earlier(members.get(host), row)
        }
        self._stored = members
        return self._take({**members, **self._told})

    def take_told(self, row: _messages.MemberRow) -> bool:
        """Believe what a daemon tells of the target beside it.

        Returns
        -------
        bool
            Whether it was news.  A host without a row is leaving, or has
            just come, and nobody is told of it.
        """
        if self._stored.get(row.host) is None:
            return False
        known = self.members[row.host]
        if known == row or row.lifetime.is_before(known.lifetime):
            return False
        self._told[row.host] = row
        self._take({**self.members, row.host: row})
        return True

    def _take(
        self, members: dict[base.HostId, _messages.MemberRow]
    ) -> list[_messages.MemberRow]:
        """Put a list in force; return the rows with a new target.

        A row that has not changed is the same object.  Only the sets of the
        others are indexed anew: 130 us rather than 340 with 120 hosts, for
        each row that any of them writes (bench_members.py).
        """
        started = []
        changed = set()
        for host, row in members.items():
            old = self.members.get(host)
            if old is row:
                continue
            if old != row:
                _log_change('member changed' if old else 'member new', row)
                changed.add(row.target_set)
            if old is None or old.lifetime != row.lifetime:
                started.append(row)
            if old is not None:
                changed.add(old.target_set)
        for host in self.members.keys() - members.keys():
            row = self.members[host]
            _log_change('member removed', row)
            changed.add(row.target_set)
        self.members = members
        self.is_known = True
        self._index(changed)
        return started

    def _index(self, changed: set[base.TargetSetName] | None) -> None:
        """Work out which targets get calls; of all sets where None is told."""
        latest = self._list_latest()
        has_hidden = len(latest) < len(self.members)
        if has_hidden or self._has_hidden:
            # Rows of other sets may have come out or gone.
            changed = None
        self._has_hidden = has_hidden
        by_set: dict[base.TargetSetName, list[_messages.MemberRow]] = {}
        for row in latest:
            if row.state is _messages.TargetState.READY and (
                changed is None or row.target_set in changed
            ):
                by_set.setdefault(row.target_set, []).append(row)
        kept = set() if changed is None else self.by_set.keys() - changed
        self.trials = {
            name: rows for name, rows in self.trials.items() if name in kept
        }
        self.by_set = {name: self.by_set[name] for name in kept}
        for name, rows in by_set.items():
            rows.sort(key=_get_host)
            self.by_set[name] = tuple(self._choose_permitted(name, rows))

    def _choose_permitted(
        self,
        target_set: base.TargetSetName,
        rows: list[_messages.MemberRow],
    ) -> list[_messages.MemberRow]:
        """Return the targets of a set to which calls go as usual."""
        if self.rollouts is None:
            return rows
        permits = self.find_permits(target_set)
        usual = [row for row in rows if permits.may_send(row.version)]
        if permits.trial is not None:
            self._choose_trials(target_set, permits.trial, usual, rows)
        if not usual and permits.draining is not None:
            # No target of the new version is there: those of the old one
            # serve as long as they may.
            usual = [row for row in rows if row.version == permits.draining]
        return usual

    def find_permits(self, target_set: base.TargetSetName) -> rollout.Permits:
        """Say which versions of the targets of a set may get calls."""
        versions = [
            row.version
            for row in self.members.values()
            if row.target_set == target_set
        ]
        return self.rollouts.make_permits(target_set, versions)

    def may_run(
        self,
        target_set: base.TargetSetName,
        version: base.SoftwareVersion,
    ) -> bool:
        """Whether a target may run calls, by the version that it has."""
        if self.rollouts is None:
            return True
        return self.find_permits(target_set).may_run(version)

    def _choose_trials(
        self,
        target_set: base.TargetSetName,
        version: base.SoftwareVersion,
        usual: list[_messages.MemberRow],
        rows: list[_messages.MemberRow],
    ) -> None:
        hosts = [row.host for row in rows if row.version == version]
        exposed = rollout.choose_exposed(hosts, len(usual))
        self.trials[target_set] = tuple(
            row for row in rows if row.host in exposed
        )

    def _list_latest(self) -> list[_messages.MemberRow]:
        """Leave out rows whose address another host has taken over."""
        by_address = {
            (row.address, row.port): row for row in self.members.values()
        }
        return list(by_address.values())


def _get_host(row: _messages.MemberRow) -> base.HostId:
    return row.host


def _is_earlier(
    stored: _messages.MemberRow | None, told: _messages.MemberRow
) -> bool:
    """Whether the store still has an earlier lifetime of a target."""
    return stored is not None and stored.lifetime.is_before(told.lifetime)


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

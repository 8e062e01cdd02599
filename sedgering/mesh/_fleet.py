"""Hosts and their targets, as far as this daemon knows."""

import collections
from collections.abc import Iterable
import itertools
import logging

from sedgering import base
from sedgering.mesh import _messages
from sedgering.mesh import _rollout_log
from sedgering import rollout

__all__ = ['FleetTable']

LOG = logging.getLogger(__name__)

FINAL_STATES = tuple(
    state for state in _messages.TargetState if state.is_final
)


class FleetTable:
    """Member rows by host, and those that take calls by target set.

    Rows come from the store.  After a power failure all stored rows name
    targets that have ended, and the new rows arrive some 0.4 s after they
    were written.  So a row that a daemon reports of its own target overrides
    the stored row until the store has another row of that host.
    """

    def __init__(self):
        #: Rows in the store.
        self._stored: dict[base.HostId, _messages.MemberRow] = {}
        #: Newer rows reported by daemons, which override the stored rows.
        self._reported: dict[base.HostId, _messages.MemberRow] = {}
        self.members: dict[base.HostId, _messages.MemberRow] = {}
        #: Targets that run although the daemon beside them does not.
        self.away: tuple[_messages.MemberRow, ...] = ()
        self.ready_by_set: dict[
            base.TargetSetName, tuple[_messages.MemberRow, ...]
        ] = {}
        self.is_known = False
        #: Targets that get a bounded share of the calls to their set.
        self.trials: dict[
            base.TargetSetName, tuple[_messages.MemberRow, ...]
        ] = {}
        #: Whether rows are hidden because another host has their address.
        self._has_hidden = False
        #: Orders and rollouts; None if rollouts are not in use.
        self.rollouts: _rollout_log.RolloutLog | None = None

    def reindex(self) -> None:
        """Recompute which targets may get calls."""
        self._index(None)

    def list_ready(
        self, target_set: base.TargetSetName
    ) -> list[_messages.MemberRow]:
        """Return the ready targets of a set, of any version."""
        return [
            row
            for row in self._list_latest()
            if row.state is _messages.TargetState.READY
            and row.target_set == target_set
        ]

    def count_versions(
        self,
    ) -> dict[base.TargetSetName, dict[base.SoftwareVersion, int]]:
        """Count the targets that have not left, by set and version."""
        rows = itertools.chain(self.members.values(), self.away)
        counts = collections.Counter(
            (row.target_set, row.version)
            for row in rows
            if row.state not in FINAL_STATES
        )
        by_set: dict[base.TargetSetName, dict] = {}
        for (target_set, version), count in counts.items():
            by_set.setdefault(target_set, {})[version] = count
        return by_set

    def replace(
        self,
        members: dict[base.HostId, _messages.MemberRow],
        away: Iterable[_messages.MemberRow] = (),
    ) -> list[_messages.MemberRow]:
        """Replace the stored rows.

        Parameters
        ----------
        members : dict
            Rows of the hosts whose daemon runs.
        away : iterable of MemberRow
            Rows of the other hosts.

        Returns
        -------
        list of MemberRow
            Rows whose target has started since, under the same id or another.
        """
        self._reported = {
            host: row
            for host, row in self._reported.items()
            if members.get(host) == self._stored[host]
            or _is_outdated(members.get(host), row)
        }
        self._stored = members
        self.away = tuple(away)
        return self._apply({**members, **self._reported})

    def apply_reported_row(self, row: _messages.MemberRow) -> bool:
        """Accept the row that a daemon reports of the target beside it.

        Returns
        -------
        bool
            Whether it changed anything.  A host without a stored row is
            leaving or has just joined; its reports are ignored.
        """
        if self._stored.get(row.host) is None:
            return False
        known = self.members[row.host]
        if known == row or _is_outdated(row, known):
            return False
        self._reported[row.host] = row
        self._apply({**self.members, row.host: row})
        return True

    def _apply(
        self, members: dict[base.HostId, _messages.MemberRow]
    ) -> list[_messages.MemberRow]:
        """Apply new rows; return those with a new target.

        An unchanged row is the same object.  Only the target sets of the
        other rows are indexed again: with 120 hosts, this takes 130 us rather
        than 340 us for each row that any host writes (bench_members.py).
        """
        started = []
        changed = set()
        for host, row in members.items():
            old = self.members.get(host)
            if old is row:
                continue
            if old != row:
                _log_change('member changed' if old else 'member added', row)
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
        """Recompute the targets that get calls; of all sets if None."""
        latest = self._list_latest()
        has_hidden = len(latest) < len(self.members)
        if has_hidden or self._has_hidden:
            # Rows of other sets may have become visible or hidden.
            changed = None
        self._has_hidden = has_hidden
        by_set: dict[base.TargetSetName, list[_messages.MemberRow]] = {}
        for row in latest:
            if row.state is _messages.TargetState.READY and (
                changed is None or row.target_set in changed
            ):
                by_set.setdefault(row.target_set, []).append(row)
        kept = set() if changed is None else self.ready_by_set.keys() - changed
        self.trials = {
            name: rows for name, rows in self.trials.items() if name in kept
        }
        self.ready_by_set = {name: self.ready_by_set[name] for name in kept}
        for name, rows in by_set.items():
            rows.sort(key=_get_host)
            self.ready_by_set[name] = tuple(self._choose_permitted(name, rows))

    def _choose_permitted(
        self,
        target_set: base.TargetSetName,
        rows: list[_messages.MemberRow],
    ) -> list[_messages.MemberRow]:
        """Return the targets of a set that get calls outside of a trial."""
        if self.rollouts is None:
            return rows
        permits = self.find_permits(target_set)
        stable = [row for row in rows if permits.may_send(row.version)]
        if permits.trial is not None:
            self._choose_trials(target_set, permits.trial, stable, rows)
        if not stable and permits.draining is not None:
            # No target of the new version is ready: the old ones serve while
            # they are permitted to.
            stable = [row for row in rows if row.version == permits.draining]
        return stable

    def find_permits(self, target_set: base.TargetSetName) -> rollout.Permits:
        """Decide which versions of the targets of a set may get calls."""
        versions = [
            row.version
            for row in (*self.members.values(), *self.away)
            if row.target_set == target_set
        ]
        return self.rollouts.make_permits(target_set, versions)

    def may_run(
        self,
        target_set: base.TargetSetName,
        version: base.SoftwareVersion,
    ) -> bool:
        """Whether a target may run calls, given its version."""
        if self.rollouts is None:
            return True
        return self.find_permits(target_set).may_run(version)

    def _choose_trials(
        self,
        target_set: base.TargetSetName,
        version: base.SoftwareVersion,
        stable: list[_messages.MemberRow],
        rows: list[_messages.MemberRow],
    ) -> None:
        hosts = [row.host for row in rows if row.version == version]
        exposed = rollout.choose_exposed(hosts, len(stable))
        self.trials[target_set] = tuple(
            row for row in rows if row.host in exposed
        )

    def _list_latest(self) -> list[_messages.MemberRow]:
        """Return the rows, without those whose address another host has."""
        by_address = {
            (row.address, row.port): row for row in self.members.values()
        }
        return list(by_address.values())


def _get_host(row: _messages.MemberRow) -> base.HostId:
    return row.host


def _is_outdated(
    row: _messages.MemberRow | None, known: _messages.MemberRow
) -> bool:
    """Whether a row is of an earlier lifetime, or of one that is leaving."""
    if row is None:
        return False
    has_left = known.state.is_final and not row.state.is_final
    return row.lifetime.is_before(known.lifetime) or (
        has_left and row.lifetime.is_same(known.lifetime)
    )


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

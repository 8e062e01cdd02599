"""Records in the store which version of each target set is in use.

The targets that are present do not tell it: daemons restart, and the targets
of the next version may be the only ones present at that moment.
"""

import asyncio
import logging

from sedgering import base
from sedgering.mesh import _fleet
from sedgering.mesh import _rollout_log
from sedgering.mesh import _source
from sedgering.mesh import _turns
from sedgering import rollout
from sedgering import storage

__all__ = ['VersionRecorder']

LOG = logging.getLogger(__name__)

#: Pause between attempts while a version is to be recorded.
RETRY_INTERVAL_S = 0.4
#: Time for which no target of another version may appear before an uncertain
#: version is recorded.  A daemon that restarts is back sooner.
SETTLE_S = 10.0
#: Longest time after which the store executes a write whose answer was lost.
LATE_WRITE_S = 10.0
#: Rows in one transaction, which holds a condition and a write for each.
ROWS_LIMIT = 50

_EntryRows = list[tuple[rollout.Rollout, int]]
_Pending = dict[base.TargetSetName, rollout.RecordChoice]


class VersionRecorder:
    """Writes the version in use of each set that has no record of it.

    Parameters
    ----------
    fleet : FleetTable
        Targets and their versions.
    source : MeshSource
        Source of orders and rows.
    turns : Turns
        Turns of the daemons that watch the store.
    """

    def __init__(
        self,
        fleet: _fleet.FleetTable,
        source: _source.MeshSource,
        turns: _turns.Turns,
    ):
        self.fleet = fleet
        self.source = source
        self.turns = turns
        #: Since when each set has had the same choice.
        self._chosen_s: dict[
            base.TargetSetName, tuple[rollout.RecordChoice, float]
        ] = {}
        #: Revision that each record was written on whose answer was lost, and
        #: until when it may take effect.
        self._late: dict[base.TargetSetName, tuple[int, float]] = {}

    async def run(self) -> None:
        """Record versions until cancelled."""
        while True:
            try:
                is_waiting = await self.record_due()
            except Exception:
                # An unexpected error must not end the task, as no version
                # would be recorded any more.
                LOG.exception('cannot record the version in use')
                is_waiting = True
            if is_waiting:
                await asyncio.sleep(RETRY_INTERVAL_S)
            else:
                await self.source.wait_for_change(_source.POLLED_S)

    async def record_due(self) -> bool:
        """Write what is due; return whether anything is still to be done."""
        pending = self._list_pending()
        self._forget_settled()
        awaited = pending.keys() | self._late.keys()
        self.source.set_awaited_rollouts(frozenset(awaited))
        self._note_choices(pending)
        if not awaited:
            self.turns.clear()
            return False
        await self._record(pending)
        return True

    def _list_pending(self) -> _Pending:
        """Return the sets whose version is to be recorded."""
        source = self.source
        is_known = (
            source.is_watching
            and source.rollouts.is_known
            and source.versions.newest is not None
        )
        if not is_known:
            return {}
        choices = {
            name: self._choose(name, versions)
            for name, versions in self.fleet.count_versions().items()
        }
        return {
            name: choice
            for name, choice in choices.items()
            if choice is not None
        }

    def _choose(
        self,
        target_set: base.TargetSetName,
        versions: dict[base.SoftwareVersion, int],
    ) -> rollout.RecordChoice | None:
        log = self.source.rollouts
        entry = log.find_entry(target_set)
        return rollout.choose_record(
            entry.rollout if entry else None,
            log.find_new_order(target_set),
            versions,
        )

    def _note_choices(self, pending: _Pending) -> None:
        now_s = self.source.loop.time()
        known = self._chosen_s
        self._chosen_s = {
            name: known[name]
            if name in known and known[name][0] == choice
            else (choice, now_s)
            for name, choice in pending.items()
        }

    def _is_due(self, target_set: base.TargetSetName) -> bool:
        choice, since_s = self._chosen_s[target_set]
        is_settled = self.source.loop.time() >= since_s + SETTLE_S
        entry = self.source.rollouts.find_entry(target_set)
        return (choice.is_certain or is_settled) and self.turns.is_own(
            target_set, choice.version, entry.revision if entry else 0
        )

    def _forget_settled(self) -> None:
        """Forget lost writes that cannot take effect any more."""
        now_s = self.source.loop.time()
        log = self.source.rollouts
        self._late = {
            name: (revision, until_s)
            for name, (revision, until_s) in self._late.items()
            if now_s < until_s and _find_revision(log, name) <= revision
        }

    def _list_unwanted(self, pending: _Pending) -> _EntryRows:
        """Return the rows that a lost write may replace without need.

        They are written again as they are: with a new revision, the condition
        of the lost write fails.
        """
        entries = [
            self.source.rollouts.find_entry(name)
            for name in self._late.keys() - pending.keys()
        ]
        return [
            (entry.rollout, entry.revision)
            for entry in entries
            if entry is not None
        ]

    async def _record(self, pending: _Pending) -> None:
        """Write the records that are due, in one transaction."""
        log = self.source.rollouts
        rows = self._list_unwanted(pending)
        for name, choice in pending.items():
            if self._is_due(name):
                entry = log.find_entry(name)
                row = rollout.make_record(
                    name, choice.version, entry.rollout if entry else None
                )
                rows.append((row, _find_revision(log, name)))
        rows = rows[:ROWS_LIMIT]
        if not rows:
            return
        outcome = await self.source.rollout_store.record(rows)
        if outcome.kind is storage.OutcomeKind.DONE:
            entries = tuple(
                _rollout_log.RolloutEntry(outcome.revision, row)
                for row, _revision in rows
            )
            self.source.merge_rollouts(_rollout_log.RolloutUpdate((), entries))
            return
        if outcome.kind is storage.OutcomeKind.UNKNOWN:
            until_s = self.source.loop.time() + LATE_WRITE_S
            for row, revision in rows:
                name = base.TargetSetName(row.target_set)
                self._late[name] = revision, until_s
        LOG.info(
            'version in use not recorded',
            extra={
                'outcome': outcome.kind.value,
                'detail': outcome.detail,
            },
        )


def _find_revision(
    log: _rollout_log.RolloutLog, target_set: base.TargetSetName
) -> int:
    """Return the revision of the row of a set; 0 if it has none."""
    entry = log.find_entry(target_set)
    return entry.revision if entry else 0

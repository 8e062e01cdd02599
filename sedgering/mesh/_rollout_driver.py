"""Carries out rollout orders: gathers evidence and writes each next stage.

There is no elected leader: the daemons that watch the store take turns.  Every
row is written by compare-and-set, so that only the first of several writers
succeeds.
"""

import asyncio
import logging

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _evidence_hop
from sedgering.mesh import _evidence_log
from sedgering.mesh import _fleet
from sedgering.mesh import _messages
from sedgering.mesh import _peers
from sedgering.mesh import _rollout_log
from sedgering.mesh import _source
from sedgering.mesh import _turns
from sedgering import rollout
from sedgering import storage

__all__ = ['RolloutDriver']

LOG = logging.getLogger(__name__)

#: Interval of polls during a rollout; a version that fails half of its calls
#: is detected after one or two of them.
POLL_INTERVAL_S = 0.4
#: Targets of each version that are queried in a poll.  Twelve of each cost
#: 12 ms of processor time over all hosts.
QUERIED_LIMIT = 12
#: The same for the old version in the settling stage, in which no target may
#: have work left.
QUERIED_SETTLING_LIMIT = 512

_Stage = rollout.Stage


class RolloutDriver:
    """Advances rollouts from stage to stage.

    Parameters
    ----------
    fleet : FleetTable
        Targets and their versions.
    peers : PeerTable
        Connections to the daemons beside the targets.
    source : MeshSource
        Source of orders, rows and the time of the store.
    turns : Turns
        Turns of the daemons that watch the store.
    """

    def __init__(
        self,
        fleet: _fleet.FleetTable,
        peers: _peers.PeerTable,
        source: _source.MeshSource,
        turns: _turns.Turns,
    ):
        self.fleet = fleet
        self.peers = peers
        self.source = source
        self.turns = turns
        self._evidence: dict[
            base.TargetSetName, _evidence_log.EvidenceLog
        ] = {}

    async def run(self) -> None:
        """Carry out orders until cancelled."""
        while True:
            names = self.source.rollouts.list_open()
            if not names or not self.source.is_watching:
                self.turns.clear()
                self._evidence.clear()
                await self.source.wait_for_change(_source.POLLED_S)
                continue
            for name in names:
                await self._advance_safely(name)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _advance_safely(self, target_set: base.TargetSetName) -> None:
        try:
            await self._advance(target_set)
        except Exception:
            # An unexpected error must not end the task, as no order would be
            # carried out any more.
            LOG.exception('cannot advance rollout')

    async def _advance(self, target_set: base.TargetSetName) -> None:
        """Advance one rollout, if that is due and this daemon's turn."""
        log = self.source.rollouts
        is_known = log.is_known and log.is_order_known(target_set)
        is_due = is_known and self.source.store_now_ms is not None
        if not is_due or not self._is_own_turn(target_set):
            return
        entry = log.find_entry(target_set)
        if entry is None:
            # The version in use is recorded first.
            return
        order = log.find_new_order(target_set)
        if order is not None:
            await self._start_rollout(order, entry)
        else:
            await self._advance_stage(log.find_order(target_set), entry)

    def _is_own_turn(self, target_set: base.TargetSetName) -> bool:
        log = self.source.rollouts
        entry = log.find_entry(target_set)
        order = log.find_order(target_set)
        return self.turns.is_own(
            target_set,
            order.revision if order else 0,
            entry.revision if entry else 0,
        )

    async def _start_rollout(
        self,
        order: rollout.Order,
        entry: _rollout_log.RolloutEntry,
    ) -> None:
        """Write the first row for an order."""
        if order.target_set in self.source.awaited_rollouts:
            # All targets of the version in use seem to have left; another one
            # is about to be recorded.
            return
        old = entry.rollout.final_version
        row = rollout.make_rollout(order, old, self.source.store_now_ms)
        await self._write(row, entry.revision)

    async def _advance_stage(
        self,
        order: rollout.Order | None,
        entry: _rollout_log.RolloutEntry,
    ) -> None:
        """Gather evidence, and write the next stage if it is due."""
        row = entry.rollout
        new, old = self._choose_queried(row)
        log = self._find_evidence_log(row)
        log.start_poll()
        new_answers = await self._query_evidence(new, log)
        old_answers = await self._query_evidence(old, log)
        if (new or old) and not (new_answers or old_answers):
            # This daemon may be cut off; the next one by rank decides.
            LOG.info(
                'rollout not evaluated',
                extra={
                    'target_set': row.target_set,
                    'detail': f'none of {len(new) + len(old)} targets answers',
                },
            )
            return
        if row.stage is _Stage.SETTLING:
            # A daemon that leaves may still run calls; one that has ended has
            # none.
            await self._query_evidence(self._list_away(row, row.old), log)
        observation = rollout.Observation(
            order,
            self.source.store_now_ms,
            log.list_version(row.new),
            log.list_version(row.old),
            old_answers == len(old),
            self._find_present_share(row, new_answers, len(new)),
        )
        stage = rollout.plan_next(row, observation)
        self._log_evaluation(row, observation, stage)
        if stage is not row.stage:
            row = rollout.advance(row, stage, observation)
            await self._write(row, entry.revision)

    def _list_away(
        self, row: rollout.Rollout, version: str
    ) -> list[_messages.MemberRow]:
        """Return the targets of a version whose daemons leave or restart."""
        return [
            item
            for item in self.fleet.away
            if item.target_set == row.target_set and item.version == version
        ]

    def _find_present_share(
        self, row: rollout.Rollout, answers: int, queried: int
    ) -> float:
        """Estimate the share of the targets of the new version present."""
        if not answers:
            return 0.0
        ready = [
            item
            for item in self.fleet.list_ready(row.target_set)
            if item.version == row.new
        ]
        away = self._list_away(row, row.new)
        answering = len(ready) * answers / queried
        return min(1.0, answering / max(1, len(ready) + len(away)))

    def _choose_queried(
        self, row: rollout.Rollout
    ) -> tuple[list[_messages.MemberRow], list[_messages.MemberRow]]:
        """Choose the targets of each version whose evidence is queried."""
        ready = self.fleet.list_ready(row.target_set)
        ranked = sorted(ready, key=lambda item: rollout.rank_host(item.host))
        new = [item for item in ranked if item.version == row.new]
        old = [item for item in ranked if item.version == row.old]
        is_settling = row.stage is _Stage.SETTLING
        return new[:QUERIED_LIMIT], old[
            : QUERIED_SETTLING_LIMIT if is_settling else QUERIED_LIMIT
        ]

    def _find_evidence_log(
        self, row: rollout.Rollout
    ) -> _evidence_log.EvidenceLog:
        log = self._evidence.get(row.target_set)
        if log is None or log.order_revision != row.order_revision:
            log = _evidence_log.EvidenceLog(row.order_revision)
            self._evidence[row.target_set] = log
        return log

    async def _query_evidence(
        self,
        rows: list[_messages.MemberRow],
        log: _evidence_log.EvidenceLog,
    ) -> int:
        """Query the evidence of targets; return how many have answered."""
        data = _evidence_hop.encode_evidence_request(log.order_revision)
        answers = await asyncio.gather(
            *(
                self.peers.find(row).ask(
                    data, 'no answer to an evidence request'
                )
                for row in rows
            )
        )
        answered = 0
        for row, answer in zip(rows, answers, strict=True):
            if answer is None:
                continue
            try:
                log.note(row, _evidence_hop.decode_evidence(answer))
                answered += 1
            except exceptions.PeerError as error:
                LOG.warning(
                    'evidence refused',
                    extra={
                        'peer': row.host,
                        'code': int(error.code),
                        'detail': error.detail,
                    },
                )
        return answered

    def _log_evaluation(
        self,
        row: rollout.Rollout,
        observation: rollout.Observation,
        stage: _Stage,
    ) -> None:
        new_runs = sum(item.runs for item in observation.new)
        new_failures = sum(item.failures for item in observation.new)
        old_runs = sum(item.runs for item in observation.old)
        old_failures = sum(item.failures for item in observation.old)
        open_tests = rollout.describe_open_tests(
            observation.new, observation.old
        )
        LOG.info(
            'rollout evaluated',
            extra={
                'target_set': row.target_set,
                'outcome': stage.value,
                'age_ms': observation.now_ms - row.began_ms,
                'detail': (
                    f'{row.new}: {new_failures} of {new_runs} failed at '
                    f'{len(observation.new)}; {row.old}: {old_failures} of '
                    f'{old_runs} at {len(observation.old)}; not shown: '
                    f'{open_tests or "nothing"}'
                ),
            },
        )

    async def _write(self, row: rollout.Rollout, revision: int) -> None:
        outcome = await self.source.rollout_store.write(row, revision)
        if outcome.kind is storage.OutcomeKind.DONE:
            entry = _rollout_log.RolloutEntry(outcome.revision, row)
            self.source.merge_rollouts(
                _rollout_log.RolloutUpdate((), (entry,))
            )
            self._warn_if_not_shown(row)
            return
        LOG.info(
            'rollout not written',
            extra={
                'target_set': row.target_set,
                'outcome': outcome.kind.value,
                'detail': outcome.detail,
            },
        )

    @staticmethod
    def _warn_if_not_shown(row: rollout.Rollout) -> None:
        """Log on which routes a version took over without enough calls."""
        is_over = row.stage is _Stage.SUCCEEDED
        if not is_over or not row.unshown_routes:
            return
        LOG.warning(
            'rollout not shown on all routes',
            extra={
                'target_set': row.target_set,
                'code': int(exceptions.Code.ROLLOUT_NOT_SHOWN),
                'detail': f'{row.new}: {", ".join(row.unshown_routes)}',
            },
        )

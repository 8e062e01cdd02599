"""Follows orders of rollouts: gathers evidence, writes each next stage.

No daemon is appointed.  Those that watch the store take turns: the first by
rank follows an order from the start, the others join it a moment later each,
and every row is written on condition that nobody was quicker.
"""

import asyncio
import logging

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _evidence_hop
from sedgering.mesh import _fleet
from sedgering.mesh import _follow
from sedgering.mesh import _messages
from sedgering.mesh import _peers
from sedgering.mesh import _rollout_log
from sedgering.mesh import _source
from sedgering import rollout
from sedgering import storage

__all__ = ['RolloutDriver']

LOG = logging.getLogger(__name__)

#: Between two looks while an order is followed; a version that fails half of
#: its calls is seen after one or two of them.
LOOK_S = 0.4
#: Targets of each version that are asked in a look.  Twelve of each cost 12 ms
#: of processor time over all hosts.
ASKED_LIMIT = 12
#: The same for the old version once it is to end: none may have work left.
ALL_LIMIT = 512
#: Time after which the next daemon by rank follows a stage, too.
TURN_S = 1.2
#: Daemons that may follow one order at a time, at most.
TURNS_LIMIT = 6
#: Revision of a row that is not there.
NO_ROW = 0

_Stage = rollout.Stage


class RolloutDriver:
    """Takes rollouts from stage to stage.

    Parameters
    ----------
    identity : MeshIdentity
        Who this daemon is.
    fleet : FleetTable
        Targets and their versions.
    peers : PeerTable
        Connections to the daemons beside them.
    source : MeshSource
        Orders, rows, and the clock of the store.
    """

    def __init__(
        self,
        identity: _messages.MeshIdentity,
        fleet: _fleet.FleetTable,
        peers: _peers.PeerTable,
        source: _source.MeshSource,
    ):
        self.identity = identity
        self.fleet = fleet
        self.peers = peers
        self.source = source
        #: When the present stage of each set was first seen here.
        self._seen_s: dict[tuple, float] = {}

    async def run(self) -> None:
        """Follow orders until cancelled."""
        while True:
            names = self.source.rollouts.list_open()
            if not names or not self.source.is_watching:
                self._seen_s.clear()
                await self.source.wait_for_change(_source.POLLED_S)
                continue
            for name in names:
                await self._follow_safely(name)
            await asyncio.sleep(LOOK_S)

    async def _follow_safely(self, target_set: base.TargetSetName) -> None:
        try:
            await self._follow(target_set)
        except Exception:
            # A defect must not end the task: no order would be followed.
            LOG.exception('rollout not followed')

    async def _follow(self, target_set: base.TargetSetName) -> None:
        """Take one rollout on, if it is due and this daemon's turn."""
        log = self.source.rollouts
        is_known = log.is_known and log.is_order_known(target_set)
        is_due = is_known and self.source.store_now_ms is not None
        if not is_due or not self._is_my_turn(target_set):
            return
        entry = log.find_entry(target_set)
        order = log.find_new_order(target_set)
        if order is not None:
            await self._begin(order, entry)
        elif entry is not None:
            await self._go_on(log.find_order(target_set), entry)

    def _is_my_turn(self, target_set: base.TargetSetName) -> bool:
        log = self.source.rollouts
        entry = log.find_entry(target_set)
        order = log.find_order(target_set)
        stage = (
            target_set,
            order.revision if order else 0,
            entry.revision if entry else 0,
        )
        now_s = self.source.loop.time()
        seen_s = self._seen_s.setdefault(stage, now_s)
        rank = self._find_rank(target_set)
        return rank < TURNS_LIMIT and now_s >= seen_s + rank * TURN_S

    def _find_rank(self, target_set: base.TargetSetName) -> int:
        """Return this daemon's rank among those that watch the store."""
        rows = _follow.list_watching(
            self.fleet.members, self.peers.mesh_settings.relay_from_hosts
        )
        hosts = [row.host for row in rows]
        own = self.identity.host
        if own not in hosts:
            hosts.append(own)
        hosts.sort(key=lambda host: rollout.rank_host(host, f'{target_set} '))
        return hosts.index(own)

    async def _begin(
        self,
        order: rollout.Order,
        entry: _rollout_log.RolloutEntry | None,
    ) -> None:
        """Write the first row that follows an order."""
        old = entry.rollout.final_version if entry else self._find_old(order)
        if old == rollout.UNKNOWN_VERSION:
            return
        row = rollout.make_rollout(order, old, self.source.store_now_ms)
        await self._write(row, entry.revision if entry else NO_ROW)

    def _find_old(self, order: rollout.Order) -> base.SoftwareVersion:
        """Return the version that gets the calls, before any rollout."""
        versions = [
            row.version
            for row in self.fleet.members.values()
            if row.target_set == order.target_set
        ]
        others = [item for item in versions if item != order.version]
        return rollout.find_majority(others or versions)

    async def _go_on(
        self,
        order: rollout.Order | None,
        entry: _rollout_log.RolloutEntry,
    ) -> None:
        """Write the next stage, if it is due."""
        row = entry.rollout
        new, old = self._choose_asked(row)
        new_found = await self._ask(new, row.order_revision)
        old_found = await self._ask(old, row.order_revision)
        observation = rollout.Observation(
            order,
            self.source.store_now_ms,
            [item for item in new_found if item.version == row.new],
            old_found,
            len(old_found) == len(old),
        )
        stage = rollout.plan_next(row, observation)
        self._log_look(row, observation, stage)
        if stage is not row.stage:
            row = msgspec.structs.replace(
                row, stage=stage, stage_ms=observation.now_ms
            )
            await self._write(row, entry.revision)

    def _choose_asked(
        self, row: rollout.Rollout
    ) -> tuple[list[_messages.MemberRow], list[_messages.MemberRow]]:
        """Choose the targets that are asked what they have shown."""
        ready = self.fleet.list_ready(row.target_set)
        ranked = sorted(ready, key=lambda item: rollout.rank_host(item.host))
        new = [item for item in ranked if item.version == row.new]
        old = [item for item in ranked if item.version == row.old]
        is_ending = row.stage is _Stage.SETTLING
        return new[:ASKED_LIMIT], old[
            : ALL_LIMIT if is_ending else ASKED_LIMIT
        ]

    async def _ask(
        self, rows: list[_messages.MemberRow], order_revision: int
    ) -> list[rollout.Evidence]:
        """Ask the daemons beside some targets; leave out the silent ones."""
        data = _evidence_hop.encode_question(order_revision)
        answers = await asyncio.gather(
            *(self.peers.find(row).ask(data, 'no evidence') for row in rows)
        )
        found = []
        for row, answer in zip(rows, answers, strict=True):
            if answer is None:
                continue
            try:
                found.append(_evidence_hop.decode_evidence(answer))
            except exceptions.PeerError as error:
                LOG.warning(
                    'evidence refused',
                    extra={
                        'peer': row.host,
                        'code': int(error.code),
                        'detail': error.detail,
                    },
                )
        return found

    def _log_look(
        self,
        row: rollout.Rollout,
        observation: rollout.Observation,
        stage: _Stage,
    ) -> None:
        new_runs = sum(item.runs for item in observation.new)
        new_failures = sum(item.failures for item in observation.new)
        old_runs = sum(item.runs for item in observation.old)
        old_failures = sum(item.failures for item in observation.old)
        LOG.info(
            'rollout look',
            extra={
                'target_set': row.target_set,
                'outcome': stage.value,
                'age_ms': observation.now_ms - row.began_ms,
                'detail': (
                    f'{row.new}: {new_failures} of {new_runs} failed at '
                    f'{len(observation.new)}; {row.old}: {old_failures} of '
                    f'{old_runs} at {len(observation.old)}'
                ),
            },
        )

    async def _write(self, row: rollout.Rollout, revision: int) -> None:
        outcome = await self.source.rollout_store.write(row, revision)
        if outcome.kind is storage.OutcomeKind.DONE:
            entry = _rollout_log.RolloutEntry(outcome.revision, row)
            self.source.take_rollouts(_rollout_log.RolloutNews((), (entry,)))
            return
        LOG.info(
            'rollout not written',
            extra={
                'target_set': row.target_set,
                'outcome': outcome.kind.value,
                'detail': outcome.detail,
            },
        )

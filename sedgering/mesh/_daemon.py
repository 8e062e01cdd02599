"""Puts the event-driven daemon together, and takes it apart."""

import asyncio
from collections.abc import Coroutine
import logging
import random

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _answer_room
from sedgering.mesh import _backlog
from sedgering.mesh import _budget
from sedgering.mesh import _config
from sedgering.mesh import _crash_records
from sedgering.mesh import _decisions
from sedgering.mesh import _fleet
from sedgering.mesh import _follow
from sedgering.mesh import _gate
from sedgering.mesh import _inbound
from sedgering.mesh import _leave_log
from sedgering.mesh import _link
from sedgering.mesh import _messages
from sedgering.mesh import _notice
from sedgering.mesh import _outbound
from sedgering.mesh import _pause
from sedgering.mesh import _peers
from sedgering.mesh import _probe
from sedgering.mesh import _relay
from sedgering.mesh import _rollout_driver
from sedgering.mesh import _room
from sedgering.mesh import _settings
from sedgering.mesh import _source
from sedgering.mesh import _state
from sedgering.mesh import _target
from sedgering.mesh import _target_side
from sedgering import ports
from sedgering import transport

__all__ = ['MeshDaemon', 'make_mesh_daemon']

LOG = logging.getLogger(__name__)

#: Time for which the first report of the local target is awaited before it
#: is asked.
AWAIT_REPORT_S = 0.1
#: Between two looks at whether a leaving daemon is idle.
LEAVE_CHECK_S = 0.05
#: A leaving daemon ends when nothing was under way at so many looks in a
#: row, 0.3 s: peers that would send more have been refused meanwhile, and
#: leave it out for 2 s.  Looks are counted, since time also passes while the
#: process stands still.
LEAVE_QUIET_LOOKS = 6
#: Share of the grace time for which a leaving daemon takes requests at most;
#: the rest is for those that are under way.
LEAVE_SERVING_SHARE = 0.5
#: Time before the end of a leaving daemon at which what is still under way
#: is answered: such answers are small, and take a round trip to be read.
LAST_ANSWERS_S = 0.2
#: Share of the grace time that this and the margin take at most: work may be
#: broken off in the last sixth of it only.
LAST_SHARE = 0.15
#: Daemons that are told of the end of a target at once, of those beside the
#: targets of its set; others learn it from its row.  A message takes some
#: 0.5 ms on both hosts together.
NOTICES_LIMIT = 64
#: States of a target that may answer now, whatever its row says.
_LIVING_STATES = frozenset(
    (_messages.TargetState.READY, _messages.TargetState.DOWN)
)


class MeshDaemon:
    """One daemon: its tables, its listeners, and its end.

    Parameters
    ----------
    identity, addresses
        Who it is and where it listens.
    state : RequestState
        Shared by all requests.
    source : MeshSource
        Versions and members.
    """

    def __init__(
        self,
        identity: _messages.MeshIdentity,
        addresses: _messages.Addresses,
        state: _state.RequestState,
        source: _source.MeshSource,
    ):
        self.identity = identity
        self.addresses = addresses
        self.state = state
        self.source = source
        self.pause = _pause.PauseWatch()
        self.outbound = _outbound.OutboundService(state, self.pause)
        self.inbound = _inbound.InboundService(
            state.side,
            source.note_newer,
            self.pause,
            _relay.RelayDesk(source),
            state.quotas,
        )
        self.follower = _follow.RelayFollower(
            identity, state.fleet, state.peers, source
        )
        self.inbound.pacer = state.side.answer_room.pacer
        state.side.link.watch(self.inbound, self.outbound)
        self.backlog = _backlog.AnswerBacklog(
            self.inbound, state.side.answer_room
        )
        self.leave_log = _leave_log.LeaveLog(
            self.outbound, self.inbound, self.pause, state.decisions.counts
        )
        self.rollouts = _rollout_driver.RolloutDriver(
            identity, state.fleet, state.peers, source
        )
        if source.rollout_store is not None:
            state.fleet.rollouts = source.rollouts
        #: A report that waits for another one; see `_needs_another_report`.
        self._early_report: _messages.TargetReport | None = None
        self.is_leaving = False
        state.side.watch.on_end = self._tell_end
        state.find_currency = source.find_currency
        self._servers: list[asyncio.AbstractServer] = []
        self._tasks: list[asyncio.Task] = []

    @property
    def is_ready(self) -> bool:
        """Whether callers of this host may send new work."""
        return (
            not self.is_leaving
            and self.state.config.snapshot is not None
            and self.state.fleet.is_known
            and self.source.rollouts.is_known
        )

    async def start(self, opened: ports.OpenPorts | None = None) -> None:
        """Listen for callers and peers, and start to watch.

        Parameters
        ----------
        opened : OpenPorts or None
            Ports that listen already.
        """
        own = self.addresses
        opened = opened or ports.OpenPorts()
        self._servers = [
            await transport.serve(
                service, own.address, port, opened.take(own.address, port)
            )
            for service, port in (
                (self.outbound, own.callers_port),
                (self.inbound, own.peers_port),
            )
        ]
        loop = asyncio.get_running_loop()
        self.pause.start(self._check_peers)
        self._tasks = [
            loop.create_task(self._find_target()),
            loop.create_task(
                self.state.side.gate_log.run(
                    self.state.side.gate, self.backlog
                )
            ),
            loop.create_task(self.follower.run()),
        ]
        if self.source.rollout_store is not None:
            self._tasks.append(loop.create_task(self.rollouts.run()))
        self.source.start(
            self.take_config, self.take_members, self.take_rollouts
        )
        LOG.info('started', extra={'detail': f'{own.address}'})

    async def _find_target(self) -> None:
        """Ask the local target who it is, unless it says so first."""
        await asyncio.sleep(AWAIT_REPORT_S)
        while not self.is_ready:
            await asyncio.sleep(AWAIT_REPORT_S)
        side = self.state.side
        path = self.state.config.health_paths.get(self.identity.target_set)
        if side.target.report is not None or not path:
            return
        report = await self._probe_target(path)
        if report is None or side.target.report is not None:
            return
        if report.state is not _messages.TargetState.READY:
            LOG.info('probe refused', extra={'target': report.target})
            return
        row = self.state.fleet.members.get(self.identity.host)
        if row is not None and row.target == report.target:
            if row.state not in _LIVING_STATES:
                # An earlier lifetime of this daemon has acknowledged that
                # the target is leaving.
                LOG.info('target is leaving', extra={'target': row.target})
                return
            # A health check does not tell when the target was born.
            report = msgspec.structs.replace(
                report, born_ms=row.born_ms, version=row.version
            )
        self.take_report(report)

    async def _probe_target(self, path: str) -> _messages.TargetReport | None:
        return await _probe.probe_target(
            self.state.side.pool,
            path,
            self.state.names,
            self.identity.target_set,
        )

    async def _settle_rival(self) -> None:
        """Ask who answers at the address that two lifetimes claim."""
        path = self.state.config.health_paths.get(self.identity.target_set)
        answer = await self._probe_target(path) if path else None
        side = self.state.side
        present = answer.target if answer else None
        if side.target.settle_rival(present, side.gate.now_s()):
            side.note_lifetime()
            self._show_target()

    def _check_peers(self, now_s: float) -> None:
        """Ask silent peers whether they live, and give them up."""
        if self.pause.find_lag_s():
            return
        peers = self.state.peers
        for peer in peers.list_unheard(now_s):
            self._start_task(peer.ask_for_life())
        peers.abandon_silent(now_s)

    def take_config(self, config: _config.AcceptedConfig) -> None:
        """Put a version in force, if it is newer."""
        if self.state.config.apply(config):
            routes = config.bundle.routes
            self.state.turns.retain(routes)
            names = frozenset(route.name for route in routes)
            self.state.callers.retain(names)
            self.state.peers.retain_routes(names)
            self.state.side.gate.work.retain(names)
            self.state.side.answer_room.retain(names)
            target_sets = frozenset(
                item.name for item in config.bundle.target_sets
            )
            self.state.levels.retain(target_sets)
            self.state.centres.retain(target_sets)
            self.state.quotas.take_config(config.bundle.workspaces)
            self.state.side.speed.retain(names)
        self._note_ready()

    def _note_ready(self) -> None:
        """Let requests go on that came before the daemon was ready."""
        if self.is_ready:
            self.state.start.end()

    def take_members(
        self, members: dict[base.HostId, _messages.MemberRow]
    ) -> None:
        """Take over the list of members."""
        if not self.state.fleet.is_known and self.identity.host in members:
            own = members[self.identity.host]
            self.state.side.watch.restore(own.crashes)
        for row in members.values():
            if row.crashes:
                self.state.crashes.take_row(row)
        new = self.state.fleet.replace(members)
        self.state.peers.retain(frozenset(members))
        for row in new:
            self.state.note_started(row)
        self.state.budget.daemons = max(1, len(members))
        self.state.quotas.take_members(self.state.fleet.members)
        self._refresh_permit()
        self.follower.note_members_known()
        self._note_ready()

    def take_rollouts(self) -> None:
        """Take in that orders or rollouts have changed."""
        rollouts = self.source.rollouts
        self.state.fleet.note_rollouts()
        self.state.exposure.retain(rollouts.list_trials())
        self._refresh_permit()
        self._note_ready()

    def _refresh_permit(self) -> None:
        """Open or close the gate as the version of the target allows."""
        side = self.state.side
        report = side.target.report
        if report is None:
            return
        entry = self.source.rollouts.find_entry(report.target_set)
        side.version_trial.follow(
            entry.rollout if entry else None, report.version
        )
        may_run = self.state.fleet.may_run(report.target_set, report.version)
        if (
            may_run is not side.is_permitted
            or side.version_trial.has_just_changed()
        ):
            side.is_permitted = may_run
            side.refresh_gate()

    def take_report(self, report: _messages.TargetReport) -> None:
        """Take in what the local target says of itself.

        Raises
        ------
        ReportError
            When it is not the word of a target that can be here.
        """
        self._check_set(report.target_set)
        self.check_lifetime(report.lifetime)
        if self._needs_another_report(report):
            return
        now_s = self.state.side.gate.now_s()
        target = self.state.side.target
        was_settling = target.rival is not None
        is_changed = target.take_report(report, now_s)
        self.state.side.note_lifetime()
        if is_changed:
            self._refresh_permit()
            self._show_target()
        if target.rival is not None and not was_settling:
            self._start_task(self._settle_rival())

    def _start_task(self, work: Coroutine) -> None:
        """Run something beside all else, until the daemon ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    def _needs_another_report(self, report: _messages.TargetReport) -> bool:
        """Whether one report is too little to open the gate for a target.

        It may be a late one, of a target that has said goodbye to an earlier
        lifetime of this daemon while no row could be written: it got calls,
        and ended under them, also once the store was back with the old row.
        A target that is there reports again, 1.5 s later, and answers its
        health check before that.
        """
        is_first = report.sequence <= _target.FIRST_SEQUENCE
        is_ready = report.state is _messages.TargetState.READY
        is_present = self.state.side.target.report is not None
        if is_first or is_present or not is_ready:
            return False
        earlier, self._early_report = self._early_report, report
        if earlier is None or earlier.lifetime != report.lifetime:
            return True
        return report.sequence <= earlier.sequence

    def check_lifetime(
        self, lifetime: _messages.Lifetime
    ) -> _messages.Lifetime:
        """Return a lifetime that is told of.

        Raises
        ------
        ReportError
            When it does not tell its start, and its target does.
        """
        present = self.state.side.target.lifetime
        if (
            present is not None
            and lifetime.target == present.target
            and lifetime.born_ms == _messages.UNKNOWN_BORN_MS
            and present.born_ms != _messages.UNKNOWN_BORN_MS
        ):
            raise exceptions.ReportError(
                exceptions.Code.REPORT_LIFETIME, lifetime.target
            )
        return lifetime

    def _check_set(self, target_set: base.TargetSetName) -> None:
        """Refuse a target set that neither settings nor the bundle name."""
        if target_set == self.identity.target_set:
            return
        snapshot = self.state.config.snapshot
        if snapshot is None or target_set not in snapshot.target_sets:
            raise exceptions.ReportError(
                exceptions.Code.REPORT_SET, target_set
            )

    def take_leave(self, lifetime: _messages.Lifetime) -> None:
        """Note that the local target is leaving for good."""
        if self.state.side.target.leave(lifetime):
            self._show_target()

    def render_metrics(self) -> bytes:
        """Return counters and present values as text."""
        gate = self.state.side.gate
        callers = self.outbound.find_load()
        return self.state.decisions.counts.render(
            {
                'version_in_force': self.state.config.version,
                'members': len(self.state.fleet.members),
                'gate_running': gate.running,
                'gate_waiting': gate.waiting,
                'gate_limit': gate.limit,
                'is_ready': int(self.is_ready),
                'requests_suspected': len(self.state.crashes),
                'requests_quarantined': self.state.crashes.quarantined,
                'caller_answers_waiting': callers.answers,
                'caller_answers_held_bytes': callers.held_bytes,
                'caller_answers_unacknowledged_bytes': (
                    callers.unacknowledged_bytes
                ),
                **self.backlog.find_gauges(),
                **self.state.quotas.find_gauges(),
            },
            self.state.workspace_counts.list_largest(),
        )

    def _tell_end(self, record: _crash_records.CrashRecord) -> None:
        """Tell others that the local target has ended, and under what.

        The daemons beside targets of its set first: each is the only caller
        of its target.
        """
        self._show_target()
        if not record.suspects:
            return
        rows = [
            row
            for row in self.state.fleet.by_set.get(self._target_set, ())
            if row.host != self.identity.host
        ]
        if len(rows) > NOTICES_LIMIT:
            rows = self.state.rng.sample(rows, NOTICES_LIMIT)
        data = _notice.encode_notice(record)
        for row in rows:
            peer = self.state.peers.find(row)
            self._start_task(peer.ask(data, 'notice lost'))

    @property
    def _target_set(self) -> base.TargetSetName:
        report = self.state.side.target.report
        return report.target_set if report else self.identity.target_set

    def _show_target(self) -> None:
        side = self.state.side
        side.refresh_gate()
        side.row = self._make_row()
        if side.row is not None:
            self.state.take_told(side.row)
        self.source.publish(side.row)

    def _make_row(self) -> _messages.MemberRow | None:
        report = self.state.side.target.report
        if report is None or self.is_leaving:
            return None
        return _messages.MemberRow(
            host=self.identity.host,
            data_centre=self.identity.data_centre,
            address=self.addresses.address,
            port=(
                self.state.mesh_settings.advertised_port
                or self.addresses.peers_port
            ),
            target_set=report.target_set,
            target=report.target,
            slots=report.slots,
            state=report.state,
            cold_ms=report.cold_ms,
            link_mbps=round(self.identity.link_mbps),
            born_ms=report.born_ms,
            crashes=self.state.side.watch.records,
            version=report.version,
        )

    async def leave(self, grace_ms: int) -> None:
        """Leave without cutting a request.

        Peers learn that this host is leaving; callers stop when they
        have found it not ready.  Meanwhile it goes on answering both.

        Parameters
        ----------
        grace_ms : int
            Time after which the process is ended from outside.
        """
        end_s = self._plan_end(grace_ms / 1000)
        self.is_leaving = True
        self.outbound.is_closing = True
        self.state.quotas.leave()
        self.source.publish(None)
        LOG.info('leaving')
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self.leave_log.run()))
        serving_ms = min(
            self.state.mesh_settings.leave_serving_ms,
            grace_ms * LEAVE_SERVING_SHARE,
        )
        await asyncio.sleep(serving_ms / 1000)
        # Peers that have not heard of it send calls until they are refused;
        # what is accepted now could be cut at the end.
        self.state.side.leave()
        self.state.serving.is_over = True
        for server in self._servers:
            server.close()
        await self._wait_until_quiet(end_s)
        self._stop_tasks()
        self.leave_log.note_end()

    def _plan_end(self, grace_s: float) -> float:
        """Bound all requests by the grace time; return when to end."""
        margin_s = self.state.mesh_settings.leave_margin_ms / 1000
        last_s = margin_s + LAST_ANSWERS_S
        kept_share = min(1.0, LAST_SHARE * grace_s / last_s)
        end_s = asyncio.get_running_loop().time() + grace_s
        end_s -= margin_s * kept_share
        self.state.serving.end_at(end_s - LAST_ANSWERS_S * kept_share)
        return end_s

    async def _wait_until_quiet(self, end_s: float) -> None:
        """Wait until nothing is under way, or until the end."""
        loop = asyncio.get_running_loop()
        quiet_looks = 0
        while loop.time() < end_s and quiet_looks < LEAVE_QUIET_LOOKS:
            quiet_looks = 0 if self._is_busy() else quiet_looks + 1
            await asyncio.sleep(LEAVE_CHECK_S)

    async def close(self) -> None:
        """End at once, without leaving."""
        self._stop_tasks()
        for server in self._servers:
            server.close()
        for service in (self.outbound, self.inbound):
            for connection in list(service.connections):
                connection.transport.abort()

    def _stop_tasks(self) -> None:
        self.pause.stop()
        self.source.stop()
        self.state.quotas.stop()
        for task in self._tasks:
            task.cancel()

    def _is_busy(self) -> bool:
        """Say whether anything is under way; close idle callers.

        Idle connections of peers stay: a call that crosses their end would
        be lost, while one that arrives is refused and not run.
        """
        callers = [
            connection
            for connection in list(self.outbound.connections)
            if not connection.close_idle()
        ]
        calls = [
            connection
            for connection in self.inbound.connections
            if not connection.is_idle
        ]
        return bool(callers or calls)


def make_mesh_daemon(
    identity: _messages.MeshIdentity,
    addresses: _messages.Addresses,
    names: _messages.HeaderNames,
    mesh_settings: _settings.MeshSettings,
    budget: _budget.RetryWindow,
    source: _source.MeshSource,
    mesh: str,
) -> MeshDaemon:
    """Make a daemon inside a running event loop.

    Parameters
    ----------
    identity, addresses, names, mesh_settings
        See the classes.
    budget : RetryWindow
        Of the whole fleet; the daemon takes its share.
    source : MeshSource
        Versions and members.
    mesh : str
        Mesh whose bundles are accepted.
    """
    loop = asyncio.get_running_loop()
    now_s = loop.time
    pacer = transport.make_pacer(identity.link_mbps, loop)
    rng = random.Random()
    gate = _gate.Gate(mesh_settings, now_s)
    side = _target_side.TargetSide(
        names,
        addresses,
        mesh_settings,
        _target.LocalTarget(),
        gate,
        _link.LinkMeter(identity.link_mbps, now_s),
        _room.LinkRoom(identity.link_mbps, now_s),
        _answer_room.AnswerRoom(pacer, now_s),
    )
    decisions = _decisions.DecisionLog(
        mesh_settings.success_log_every, mesh_settings.log_lines_per_s, now_s
    )
    state = _state.RequestState(
        identity,
        names,
        mesh_settings,
        _config.ConfigHolder(mesh),
        _fleet.FleetTable(),
        _peers.PeerTable(mesh_settings),
        side,
        budget,
        decisions,
        rng,
    )
    return MeshDaemon(identity, addresses, state, source)

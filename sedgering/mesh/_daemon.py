"""Constructs, runs and shuts down the event-driven daemon."""

import asyncio
from collections.abc import Coroutine
import logging
import math
import random

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _answer_admission
from sedgering.mesh import _backlog
from sedgering.mesh import _budget
from sedgering.mesh import _config
from sedgering.mesh import _crash_notice
from sedgering.mesh import _crash_records
from sedgering.mesh import _decisions
from sedgering.mesh import _departure_witness
from sedgering.mesh import _departures
from sedgering.mesh import _fleet
from sedgering.mesh import _follow
from sedgering.mesh import _gate
from sedgering.mesh import _growth
from sedgering.mesh import _inbound
from sedgering.mesh import _limit_check
from sedgering.mesh import _link
from sedgering.mesh import _link_reservations
from sedgering.mesh import _messages
from sedgering.mesh import _outbound
from sedgering.mesh import _pause
from sedgering.mesh import _peers
from sedgering.mesh import _probe
from sedgering.mesh import _proof
from sedgering.mesh import _relay
from sedgering.mesh import _rollout_driver
from sedgering.mesh import _settings
from sedgering.mesh import _shutdown
from sedgering.mesh import _shutdown_log
from sedgering.mesh import _source
from sedgering.mesh import _state
from sedgering.mesh import _target
from sedgering.mesh import _target_client
from sedgering.mesh import _turns
from sedgering.mesh import _version_record
from sedgering import observability
from sedgering import ports
from sedgering import transport

__all__ = ['MeshDaemon', 'make_mesh_daemon']

LOG = logging.getLogger(__name__)

#: Time to wait for the first report of the local target before its health
#: check is called.
FIRST_REPORT_WAIT_S = 0.1
#: Time after the start within which a witness reminds this daemon of a
#: departure, unless the store tells it sooner.
REMINDER_WAIT_S = 0.1
#: Largest share of the grace time during which a leaving daemon accepts new
#: requests; the rest is for requests under way.
LEAVE_SERVING_SHARE = 0.5
#: Time before the end of the shutdown at which requests still under way are
#: answered with an error. These answers are small, but the caller needs a
#: round trip to read them.
FINAL_ANSWERS_S = 0.2
#: Largest share of the grace time that FINAL_ANSWERS_S and the leave margin
#: take together: work may be aborted only in the last sixth of the grace time.
FINAL_SHARE = 0.15
#: Shares of the grace time until which requests that have not begun to arrive
#: are awaited, of callers and peers, and of all services. The rest is for the
#: last of them.
AWAITING_SHARE = 0.75
LAST_AWAITING_SHARE = 0.8
#: Largest number of daemons of the same target set that are notified directly
#: of a crash; others learn of it from the member row. A notice costs about
#: 0.5 ms of processor time on the two hosts together.
CRASH_NOTICES_LIMIT = 64


class MeshDaemon:
    """One daemon with its tables, its listeners and its shutdown.

    Parameters
    ----------
    identity, addresses
        Identity of the daemon, and where it listens.
    state : RequestState
        State that all requests share.
    source : MeshSource
        Provides versions, members and rollouts.
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
        source.proof_plan = _proof.make_proof_plan(
            state.mesh_settings.apply_ms
        )
        self.pause = _pause.PauseDetector()
        self.outbound = _outbound.OutboundService(state, self.pause)
        self.inbound = _inbound.InboundService(
            state.target_client,
            source.note_peer_version,
            self.pause,
            _relay.PollHandler(source),
            state.quotas,
        )
        self.follower = _follow.RelayFollower(
            identity, state.fleet, state.peers, source
        )
        self.inbound.pacer = state.target_client.answer_admission.pacer
        for service in (self.outbound, self.inbound):
            service.response_memory = state.response_memory
        state.target_client.link.watch(self.inbound, self.outbound)
        self.backlog = _backlog.AnswerBacklog(
            self.inbound, state.target_client.answer_admission
        )
        self.shutdown_log = _shutdown_log.ShutdownLog(
            self.outbound, self.inbound, self.pause, state.decisions.counts
        )
        self.rollouts = _rollout_driver.RolloutDriver(
            state.fleet, state.peers, source, self._make_turns()
        )
        self.version_recorder = _version_record.VersionRecorder(
            state.fleet, source, self._make_turns()
        )
        if source.rollout_store is not None:
            state.fleet.rollouts = source.rollouts
        #: A report that a second one has to confirm; see
        #: `_needs_confirmation`.
        self._unconfirmed_report: _messages.TargetReport | None = None
        self.departures = _departures.Departures(
            identity.host,
            state.target_client.target,
            source,
            state.fleet,
            state.peers,
            state.rng,
            self._make_row_of,
            self._start_task,
        )
        self.witness = _departure_witness.DepartureWitness(
            lambda host: state.fleet.members.get(host), self._start_task
        )
        self.inbound.on_departure = self._take_departure_notice
        source.on_own_row = self._take_over_departure
        #: Confirmed report that waits for the store or a reminder.
        self._held_report: _messages.TargetReport | None = None
        #: When this daemon began to listen, in seconds of event loop time.
        self._started_s = -math.inf
        self.is_leaving = False
        #: Whether the row that outlives this daemon has been published.
        self._has_last_row = False
        state.target_client.watch.on_crash = self._send_crash_notices
        state.target_client.on_leaving = self._publish_target
        self.limit_check = _limit_check.LimitCheck(
            state.target_client, self._check_health, self._start_task
        )
        state.find_freshness = source.find_freshness
        self._servers: dict[transport.Service, asyncio.AbstractServer] = {}
        #: Those of services that are used until the daemon ends.
        self._other_servers: dict[
            transport.Service, asyncio.AbstractServer
        ] = {}
        self._tasks: list[asyncio.Task] = []

    def _make_turns(self) -> _turns.Turns:
        return _turns.Turns(
            self.identity, self.state.fleet, self.state.peers, self.source
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers of this host may send new requests."""
        return (
            not self.is_leaving
            and self.state.config.snapshot is not None
            and self.state.fleet.is_known
            and self.source.rollouts.is_known
        )

    async def start(self, opened: ports.OpenPorts | None = None) -> None:
        """Listen for callers and peers, and start the background tasks.

        Parameters
        ----------
        opened : OpenPorts or None
            Sockets that are already listening.
        """
        own = self.addresses
        opened = opened or ports.OpenPorts()
        for service, port in (
            (self.outbound, own.callers_port),
            (self.inbound, own.peers_port),
        ):
            self._servers[service] = await transport.serve(
                service, own.address, port, opened.take(own.address, port)
            )
        loop = asyncio.get_running_loop()
        self._started_s = loop.time()
        self.pause.start(self._check_peers)
        self._tasks = [
            loop.create_task(self._find_target()),
            loop.create_task(
                self.state.target_client.gate_log.run(
                    self.state.target_client.gate, self.backlog
                )
            ),
            loop.create_task(self.follower.run()),
        ]
        if self.source.rollout_store is not None:
            self._tasks += [
                loop.create_task(self.rollouts.run()),
                loop.create_task(self.version_recorder.run()),
            ]
        self.source.start(
            self.apply_config, self.merge_members, self.merge_rollouts
        )
        LOG.info('started', extra={'detail': f'{own.address}'})

    async def _find_target(self) -> None:
        """Call the health check of the local target if it sends no report."""
        await asyncio.sleep(FIRST_REPORT_WAIT_S)
        while not self.is_ready:
            await asyncio.sleep(FIRST_REPORT_WAIT_S)
        target_client = self.state.target_client
        path = self.state.config.health_paths.get(self.identity.target_set)
        if target_client.target.report is not None or not path:
            return
        answer = await self._probe_target(path)
        if answer is None or target_client.target.report is not None:
            return
        report = answer.report
        if report.state is not _messages.TargetState.READY:
            LOG.info('target is not ready', extra={'target': report.target})
            return
        row = self.source.members.find_entry(self.identity.host).row
        if row is not None and row.target == report.target:
            if row.state.is_final:
                # A previous process of this daemon acknowledged that the
                # target is leaving.
                LOG.info('target is leaving', extra={'target': row.target})
                return
            # A health check does not return the start time of the target.
            report = msgspec.structs.replace(report, born_ms=row.born_ms)
        if row is not None and row.target_set == report.target_set:
            # A target that starts again on its host mostly has the version
            # that ran there before; its first report tells.
            report = msgspec.structs.replace(report, version=row.version)
        self.take_report(report)
        target_client.note_probe(answer)

    async def _probe_target(self, path: str) -> _probe.ProbeAnswer | None:
        return await _probe.probe_target(
            self.state.target_client.pool,
            path,
            self.state.names,
            self.identity.target_set,
        )

    async def _check_health(self) -> _probe.ProbeAnswer | None:
        """Call the health check of the local target, if it has one."""
        path = self.state.config.health_paths.get(self._target_set)
        return await self._probe_target(path) if path else None

    async def _resolve_address_conflict(self) -> None:
        """Check which of two lifetimes answers at the target address."""
        path = self.state.config.health_paths.get(self.identity.target_set)
        answer = await self._probe_target(path) if path else None
        target_client = self.state.target_client
        current = answer.report.target if answer else None
        if target_client.target.resolve_conflict(
            current, target_client.gate.now_s()
        ):
            target_client.handle_new_lifetime()
            self._publish_target()

    def _check_peers(self, now_s: float) -> None:
        """Ping silent peers, and abandon those that do not answer."""
        if self.pause.find_lag_s():
            return
        peers = self.state.peers
        for peer in peers.list_silent(now_s):
            self._start_task(peer.ping())
        peers.mark_silent(now_s)

    def apply_config(self, config: _config.AcceptedConfig) -> None:
        """Apply a configuration version unless it is outdated."""
        if self.state.config.apply(config):
            routes = config.bundle.routes
            self.state.route_weights.retain(routes)
            names = frozenset(route.name for route in routes)
            self.state.callers.retain(names)
            self.state.peers.retain_routes(names)
            self.state.target_client.gate.work.retain(names)
            self.state.target_client.answer_admission.retain(names)
            target_sets = frozenset(
                item.name for item in config.bundle.target_sets
            )
            self.state.admission.retain(target_sets)
            self.state.centres.retain(target_sets)
            self.state.search_stats.retain(target_sets)
            self.state.budget.retain(
                target_sets, self.state.target_client.gate.now_s()
            )
            self.state.quotas.set_workspaces(config.bundle.workspaces)
            self.state.target_client.speed.retain(names)
        self._note_ready()

    def _note_ready(self) -> None:
        """Release requests that were held until the daemon was ready."""
        if self.is_ready:
            self.state.start.end()

    def merge_members(
        self, members: dict[base.HostId, _messages.MemberRow]
    ) -> None:
        """Replace the member table."""
        if not self.state.fleet.is_known and self.identity.host in members:
            own = members[self.identity.host]
            self.state.target_client.watch.restore(own.crashes)
        self._take_over_departure(members.get(self.identity.host))
        for row in members.values():
            if row.crashes:
                self.state.crashes.add_row(row)
        present = {
            host: row
            for host, row in members.items()
            if row.state is not _messages.TargetState.AWAY
        }
        away = [row for host, row in members.items() if host not in present]
        new = self.state.fleet.replace(present, away)
        self.state.peers.retain(frozenset(present))
        for row in new:
            self.state.note_started(row)
        self.state.budget.daemons = max(1, len(present))
        self.state.quotas.set_members(self.state.fleet.members)
        self._update_permit()
        self.follower.note_members_known()
        self._note_ready()

    def _take_over_departure(self, row: _messages.MemberRow | None) -> None:
        """Take over a departure from this host's row in the store."""
        published = self._make_row()
        self.departures.take_over(row)
        self._publish_unless(published)
        self._release_report()
        if self.is_leaving and not self._has_last_row:
            # The row of the previous process was not known before.
            self._publish_last_row()

    def _publish_unless(self, published: _messages.MemberRow | None) -> None:
        if self._make_row() != published:
            self._publish_target()

    def _take_departure_notice(self, row: _messages.MemberRow) -> None:
        """Process the notice that a target is leaving, here or elsewhere."""
        if row.host != self.identity.host:
            # It is not taken as a row of that host: a daemon without the
            # store would then never call it, and learn of no next target.
            self.witness.note(row)
            return
        published = self._make_row()
        self.departures.note(row)
        self._publish_unless(published)

    def merge_rollouts(self) -> None:
        """Apply changed orders and rollouts."""
        rollouts = self.source.rollouts
        self.state.fleet.reindex()
        self.state.exposure.retain(rollouts.list_trials())
        self._update_permit()
        self._note_ready()

    def _update_permit(self) -> None:
        """Open or close the gate: rollouts decide which versions may run."""
        target_client = self.state.target_client
        report = target_client.target.report
        if report is None:
            return
        entry = self.source.rollouts.find_entry(report.target_set)
        target_client.version_trial.follow(
            entry.rollout if entry else None, report.version
        )
        may_run = self.state.fleet.may_run(report.target_set, report.version)
        if (
            may_run is not target_client.is_permitted
            or target_client.version_trial.has_just_changed()
        ):
            target_client.is_permitted = may_run
            target_client.refresh_gate()

    def take_report(self, report: _messages.TargetReport) -> None:
        """Process a report of the local target.

        Raises
        ------
        ReportError
            When the report cannot come from a target of this host.
        """
        self._check_set(report.target_set)
        self.check_lifetime(report.lifetime)
        if self._needs_confirmation(report) or self._hold_report(report):
            return
        self._accept_report(report)

    def _accept_report(self, report: _messages.TargetReport) -> None:
        now_s = self.state.target_client.gate.now_s()
        target = self.state.target_client.target
        had_conflict = target.conflicting_report is not None
        is_changed = target.take_report(report, now_s)
        self.state.target_client.handle_new_lifetime()
        if is_changed:
            self._update_permit()
            self._publish_target()
        if target.conflicting_report is not None and not had_conflict:
            self._start_task(self._resolve_address_conflict())

    def _start_task(self, work: Coroutine) -> None:
        """Run a background task that is cancelled when the daemon ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    def _needs_confirmation(self, report: _messages.TargetReport) -> bool:
        """Whether a second report must confirm this one before the gate opens.

        The report may be delayed, from a target that has deregistered with a
        previous process of this daemon while the store was unavailable, so
        that its row was not updated. Without confirmation, such a target
        received calls and ended while they ran, also after the store had
        recovered with the outdated row. A running target reports again after
        1.5 s, and answers its health check before that.
        """
        is_present = self.state.target_client.target.report is not None
        if is_present or not _may_be_delayed(report):
            return False
        earlier, self._unconfirmed_report = self._unconfirmed_report, report
        if earlier is None or earlier.lifetime != report.lifetime:
            return True
        return report.sequence <= earlier.sequence

    def _hold_report(self, report: _messages.TargetReport) -> bool:
        """Hold a report that may be delayed while a reminder is due.

        Reports that arrive while a process starts are read all at once when
        it listens.  Two delayed ones of a target that has left would open the
        gate until a witness has reached this process.
        """
        loop = asyncio.get_running_loop()
        left_s = self._started_s + REMINDER_WAIT_S - loop.time()
        is_present = self.state.target_client.target.report is not None
        is_known = is_present or bool(self.source.members.revision)
        if left_s <= 0 or is_known or not _may_be_delayed(report):
            return False
        if self._held_report is None:
            loop.call_later(left_s, self._release_report)
        self._held_report = report
        return True

    def _release_report(self) -> None:
        """Accept a held report, unless its target is known to have left."""
        report, self._held_report = self._held_report, None
        target = self.state.target_client.target
        if report is not None and target.report is None:
            self._accept_report(report)

    def check_lifetime(
        self, lifetime: _messages.Lifetime
    ) -> _messages.Lifetime:
        """Return the lifetime of a report or deregistration if it is valid.

        Raises
        ------
        ReportError
            When it has no start time although the target has reported one.
        """
        current = self.state.target_client.target.lifetime
        if (
            current is not None
            and lifetime.target == current.target
            and lifetime.born_ms == _messages.UNKNOWN_BORN_MS
            and current.born_ms != _messages.UNKNOWN_BORN_MS
        ):
            raise exceptions.ReportError(
                exceptions.Code.REPORT_LIFETIME, lifetime.target
            )
        return lifetime

    def _check_set(self, target_set: base.TargetSetName) -> None:
        """Refuse a target set that neither settings nor bundle define."""
        if target_set == self.identity.target_set:
            return
        snapshot = self.state.config.snapshot
        if snapshot is None or target_set not in snapshot.target_sets:
            raise exceptions.ReportError(
                exceptions.Code.REPORT_SET, target_set
            )

    def take_leave(self, lifetime: _messages.Lifetime) -> None:
        """Record that the local target has deregistered."""
        if self.departures.leave(lifetime, self.identity.target_set):
            self._publish_target()

    async def hold_departure(self, lifetime: _messages.Lifetime) -> None:
        """Wait until the departure of a lifetime may be acknowledged.

        Raises
        ------
        ReportError
            When the next process of this daemon might not know of it.
        """
        if not await self.departures.hold(lifetime, self._make_row()):
            raise exceptions.ReportError(
                exceptions.Code.REPORT_NOT_HELD, lifetime.target
            )

    def render_metrics(self) -> bytes:
        """Return counters and gauges in the metrics text format."""
        gate = self.state.target_client.gate
        callers = self.outbound.find_load()
        return self.state.decisions.counts.render(
            {
                'version_in_force': self.state.config.version,
                'members': len(self.state.fleet.members),
                'gate_running': gate.running,
                'gate_waiting': gate.waiting,
                'gate_limit': gate.limit,
                **self.state.target_client.signals.find_gauges(),
                'is_ready': int(self.is_ready),
                'log_lines_dropped': observability.count_dropped_lines(),
                'requests_suspected': len(self.state.crashes),
                'requests_quarantined': self.state.crashes.quarantined,
                'caller_answers_waiting': callers.answers,
                'caller_answers_held_bytes': callers.held_bytes,
                'caller_answers_unacknowledged_bytes': (
                    callers.unacknowledged_bytes
                ),
                **self.backlog.find_gauges(),
                **_growth.find_growth_gauges(
                    self.state, self.outbound, self.inbound, self.source.loop
                ),
                **self.state.quotas.find_gauges(),
                **self.state.response_memory.find_gauges(),
            },
            self.state.workspace_counts.list_largest(),
        )

    def _send_crash_notices(self, record: _crash_records.CrashRecord) -> None:
        """Notify other daemons of a crash of the local target.

        Only daemons of the same target set are notified directly: all calls to
        a target pass through the daemon of its host. A crash without suspect
        requests needs no notice.
        """
        self._publish_target()
        if not record.suspects:
            return
        rows = [
            row
            for row in self.state.fleet.ready_by_set.get(self._target_set, ())
            if row.host != self.identity.host
        ]
        if len(rows) > CRASH_NOTICES_LIMIT:
            rows = self.state.rng.sample(rows, CRASH_NOTICES_LIMIT)
        data = _crash_notice.encode_notice(record)
        for row in rows:
            peer = self.state.peers.find(row)
            self._start_task(peer.ask(data, 'crash notice not delivered'))

    @property
    def _target_set(self) -> base.TargetSetName:
        report = self.state.target_client.target.report
        return report.target_set if report else self.identity.target_set

    def _publish_target(self) -> None:
        target_client = self.state.target_client
        target_client.refresh_gate()
        if target_client.target.report is not None:
            self.departures.row = None
        target_client.row = self._make_row()
        if target_client.row is not None:
            self.state.apply_reported_row(target_client.row)
        self.source.publish(self._make_stored_row())

    def _make_stored_row(self) -> _messages.MemberRow | None:
        """Return the row for the store.

        It tells of a target that runs on while the daemon beside it leaves.
        """
        row = self._make_row()
        if row is not None or not self.is_leaving:
            return row
        report = self.state.target_client.target.report
        # Without a report, the row of the previous process stands.
        row = self._make_row_of(report) if report else self.source.stored_row
        if row is None or row.state.is_final:
            return None
        return msgspec.structs.replace(row, state=_messages.TargetState.AWAY)

    def _make_row(self) -> _messages.MemberRow | None:
        report = self.state.target_client.target.report
        if report is None:
            return self.departures.row
        if self.is_leaving and not report.state.is_final:
            return None
        return self._make_row_of(report)

    def _make_row_of(
        self, report: _messages.TargetReport
    ) -> _messages.MemberRow:
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
            crashes=self.state.target_client.watch.records,
            version=report.version,
        )

    async def leave(self, grace_ms: int) -> None:
        """Shut down without aborting a request.

        Peers learn from the row that this host is leaving; callers stop once
        its readiness check fails. Until then the daemon goes on answering
        both. The row remains for the next process of the daemon while the
        target runs.

        Parameters
        ----------
        grace_ms : int
            Time after which the process is killed from outside, in
            milliseconds.
        """
        wait, last_wait = self._plan_end(grace_ms / 1000)
        self.is_leaving = True
        for service in (self.outbound, *self._other_servers):
            service.is_closing = True
        self.state.target_client.gate.review_end()
        self.state.quotas.leave()
        self._publish_last_row()
        LOG.info('leaving', extra={'detail': f'{grace_ms} ms left'})
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self.shutdown_log.run()))
        serving_ms = min(
            self.state.mesh_settings.leave_serving_ms,
            grace_ms * LEAVE_SERVING_SHARE,
        )
        await asyncio.sleep(serving_ms / 1000)
        # Peers that have not yet seen the last row send calls until they
        # are refused. A call that is accepted now might be aborted at the end.
        self.state.target_client.leave()
        self.state.serving.is_over = True
        self.inbound.is_closing = True
        await _stop_listening(self._servers)
        await wait.run()
        await _stop_listening(self._other_servers)
        await last_wait.run(_shutdown.LAST_IDLE_CHECKS)
        await _shutdown.answer_overdue((self.outbound, *self._other_servers))
        self.shutdown_log.note_close()
        await last_wait.close_connections()
        self._stop_tasks()
        self.shutdown_log.note_end()

    def add_server(
        self, service: transport.Service, server: asyncio.AbstractServer
    ) -> None:
        """Add a service that is used until the daemon ends.

        Parameters
        ----------
        service : Service
            Answers until all callers and peers have been answered.
        server : AbstractServer
            Listens for it.
        """
        self._other_servers[service] = server

    def _publish_last_row(self) -> None:
        """Publish the row that remains in the store while the target runs."""
        row = self._make_stored_row()
        if row is not None:
            self._has_last_row = True
            self.source.publish(row)
            self._start_task(self._remove_row_of_ended_target())

    async def _remove_row_of_ended_target(self) -> None:
        if not await self.state.target_client.is_listening():
            self.source.publish(None)

    def _plan_end(
        self, grace_s: float
    ) -> tuple[_shutdown.RequestWait, _shutdown.RequestWait]:
        """Limit all requests to the grace time.

        Returns
        -------
        tuple of RequestWait
            Waits for the requests of callers and peers, and for those of all
            services.
        """
        margin_s = self.state.mesh_settings.leave_margin_ms / 1000
        reserved_s = margin_s + FINAL_ANSWERS_S
        scale = min(1.0, FINAL_SHARE * grace_s / reserved_s)
        now_s = asyncio.get_running_loop().time()
        end_s = now_s + grace_s - margin_s * scale
        self.state.serving.end_at(end_s - FINAL_ANSWERS_S * scale)
        services = tuple(self._servers)
        return (
            _shutdown.RequestWait(
                services, now_s + AWAITING_SHARE * grace_s, end_s
            ),
            _shutdown.RequestWait(
                (*services, *self._other_servers),
                now_s + LAST_AWAITING_SHARE * grace_s,
                end_s,
            ),
        )

    async def close(self) -> None:
        """End at once, without a graceful shutdown."""
        self._stop_tasks()
        for service, server in self._servers.items():
            server.close()
            for connection in list(service.connections):
                connection.transport.abort()

    def _stop_tasks(self) -> None:
        self.pause.stop()
        self.source.stop()
        self.state.quotas.stop()
        for task in self._tasks:
            task.cancel()


async def _stop_listening(
    servers: dict[transport.Service, asyncio.AbstractServer],
) -> None:
    stopping = [
        transport.stop_listening(server, service)
        for service, server in servers.items()
    ]
    await asyncio.gather(*stopping)


def _may_be_delayed(report: _messages.TargetReport) -> bool:
    """Whether a report may be from before the departure of its target."""
    is_first = report.sequence <= _target.FIRST_SEQUENCE
    return not is_first and report.state is _messages.TargetState.READY


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
        See :class:`MeshIdentity`, :class:`Addresses`, :class:`HeaderNames` and
        :class:`MeshSettings`.
    budget : RetryWindow
        Retry budget of the whole fleet; the daemon uses its share.
    source : MeshSource
        Provides versions, members and rollouts.
    mesh : str
        Name of the mesh whose bundles are accepted.
    """
    loop = asyncio.get_running_loop()
    now_s = loop.time
    pacer = transport.make_pacer(identity.link_mbps, loop)
    rng = random.Random()
    gate = _gate.Gate(mesh_settings, now_s)
    response_memory = transport.make_response_memory(identity.memory_mb)
    target_client = _target_client.TargetClient(
        names,
        addresses,
        mesh_settings,
        _target.LocalTarget(),
        gate,
        _link.LinkMeter(identity.link_mbps, now_s),
        _link_reservations.LinkReservations(identity.link_mbps, now_s),
        _answer_admission.AnswerAdmission(pacer, now_s),
        response_memory,
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
        _peers.PeerTable(mesh_settings, response_memory),
        target_client,
        budget,
        decisions,
        rng,
    )
    return MeshDaemon(identity, addresses, state, source)

"""Runs calls at the local target and detects when it crashes."""

import asyncio
from collections.abc import Callable
import logging
import math

from sedgering import balance
from sedgering import base
from sedgering.mesh import _answer_admission
from sedgering.mesh import _crash_records
from sedgering.mesh import _crash_watch
from sedgering.mesh import _crashes
from sedgering.mesh import _gate
from sedgering.mesh import _gate_log
from sedgering.mesh import _link
from sedgering.mesh import _link_reservations
from sedgering.mesh import _local_signals
from sedgering.mesh import _messages
from sedgering.mesh import _probe
from sedgering.mesh import _settings
from sedgering.mesh import _signals
from sedgering.mesh import _target
from sedgering.mesh import _trials
from sedgering.mesh import _version_trial
from sedgering import transport

__all__ = ['TargetClient']

LOG = logging.getLogger(__name__)

#: Part of the remaining time that is reserved for returning the answer.
ANSWER_TRANSIT_MS = 5
#: Idle connections kept in addition to one per slot of the target.
SPARE_CONNECTIONS = 4
MISDIRECTED = 421
SERVER_ERROR = 500
#: Header fields that the daemon sets itself, replacing those of the caller.
_REPLACED_FIELDS = ('deadline_ms', 'expected_target', 'origin', 'workspace')


class TargetClient:
    """Runs calls at the local target.

    Parameters
    ----------
    names : HeaderNames
        Names of the header fields shared with targets.
    addresses : Addresses
        Address at which the target listens.
    mesh_settings : MeshSettings
        Timeouts and limits.
    target : LocalTarget
        State that the target reported.
    gate : Gate
        Admission control for the target.
    link : LinkMeter
        Measures the utilization of the link of this host.
    link_reservations : LinkReservations
        Reservations for large request bodies to this host.
    answer_admission : AnswerAdmission
        Admission control for large answers from this host.
    response_memory : ResponseMemory or None
        Bounds the response data of all requests together.
    """

    def __init__(
        self,
        names: _messages.HeaderNames,
        addresses: _messages.Addresses,
        mesh_settings: _settings.MeshSettings,
        target: _target.LocalTarget,
        gate: _gate.Gate,
        link: _link.LinkMeter,
        link_reservations: _link_reservations.LinkReservations,
        answer_admission: _answer_admission.AnswerAdmission,
        response_memory: transport.ResponseMemory | None = None,
    ):
        self.names = names
        self.target = target
        self.gate = gate
        self.pool = transport.ConnectionPool(
            addresses.target_address,
            addresses.target_port,
            mesh_settings.target_connect_timeout_ms / 1000,
            gate.limit + SPARE_CONNECTIONS,
            mesh_settings.target_idle_ms / 1000,
            response_memory,
        )
        self.gate_log = _gate_log.GateLog()
        self.link = link
        self.link_reservations = link_reservations
        self.answer_admission = answer_admission
        self.speed = balance.OwnSpeed(gate.now_s)
        self.signals = _local_signals.LocalSignals(gate.now_s)
        self.is_leaving = False
        #: The member row of this host, once it is known.
        self.row: _messages.MemberRow | None = None
        #: Calls at the target, by connection.
        self._in_flight: dict[
            transport.ClientConnection, _crash_watch.SentCall
        ] = {}
        #: Lifetime to which the statistics of the gate belong.
        self._lifetime: _messages.Lifetime | None = None
        #: Lifetime for which the gate is open.
        self._open_lifetime: _messages.Lifetime | None = None
        self.crashes = _crashes.CrashTable(
            mesh_settings.caller_fields,
            mesh_settings.quarantine_crashes,
            gate.now_s,
        )
        self.watch = _crash_watch.CrashWatch(
            self.crashes, self.is_listening, gate.now_s
        )
        self.trials = _trials.TrialScheduler()
        self.version_trial = _version_trial.VersionTrial()
        #: Whether the version of the target may receive calls.
        self.is_permitted = True
        #: Called when the target has stated that it is leaving.
        self.on_leaving: Callable[[], None] = _do_nothing
        self._load_name = names.load.lower()
        self._replaced = transport.HOP_NAMES | frozenset(
            getattr(names, field).lower() for field in _REPLACED_FIELDS
        )

    @property
    def calls_in_flight(self) -> int:
        """Number of calls at the target."""
        return len(self._in_flight)

    @property
    def latest_deadline_s(self) -> float:
        """Latest deadline of the calls at the target; -inf if none run."""
        return max(
            (sent.deadline_s for sent in self._in_flight.values()),
            default=-math.inf,
        )

    def leave(self) -> None:
        """Close the gate for good, because this daemon shuts down."""
        self.is_leaving = True
        self.refresh_gate()

    def refresh_gate(self) -> None:
        """Open or close the gate according to the state of the target."""
        self._open_lifetime = None
        may_open = self.is_permitted and not self.version_trial.is_stopped
        if self.target.is_open and not self.is_leaving and may_open:
            self._open_lifetime = self.target.lifetime
            slots = max(1, self.target.report.slots)
            self.pool.idle_limit = slots + SPARE_CONNECTIONS
            self.gate.open(slots)
        elif self.target.is_down and not self.is_leaving:
            self.gate.close(_messages.RefusalReason.TARGET_UNKNOWN)
        else:
            self.gate.close(_messages.RefusalReason.LEAVING)

    async def is_listening(self) -> bool:
        """Return whether the target accepts connections.

        An established connection goes to the pool.  A timeout is no evidence
        of a crash, so the target is then assumed to be listening.
        """
        try:
            connection = await self.pool.open()
        except transport.ConnectFailed as error:
            return not error.is_refused
        self.pool.put(connection)
        return True

    def handle_new_lifetime(self) -> None:
        """Reset statistics and connections when the lifetime has changed."""
        previous, current = self._lifetime, self.target.lifetime
        if current is None:
            # The next lifetime is compared with the last known one.
            return
        self._lifetime = current
        if previous is None:
            return
        is_restart = previous.is_before(current)
        if is_restart or previous.target != current.target:
            self.signals = _local_signals.LocalSignals(self.gate.now_s)
            self.gate.set_rate_limit(None)
            if self._open_lifetime == previous:
                # The crash went undetected until the next lifetime appeared.
                self._open_lifetime = None
                self._report_crash(previous)
            LOG.info('target replaced', extra={'target': current.target})
            self.gate.reset_statistics()
            self.speed = balance.OwnSpeed(self.gate.now_s)
            self.pool.close()
        if is_restart:
            self._close_calls(self.target.previous_reported_s)

    def _close_calls(self, until_s: float) -> None:
        """Close the connections of calls that were sent before a time.

        Calls sent while the earlier lifetime still reported are lost with it.
        Their connections may fail only after seconds or never, and would
        occupy slots of the current lifetime.  Later calls may already have
        reached the current one.
        """
        for connection, sent in list(self._in_flight.items()):
            if sent.at_s < until_s:
                connection.close()

    def _handle_crash(self, lifetime: _messages.Lifetime) -> None:
        """Record that a lifetime has crashed, and close its connections.

        Closing the gate makes peers send calls to other hosts: a host whose
        target refuses at once looks idle and would attract all calls.
        """
        if not self.target.mark_crashed(lifetime):
            return
        self.refresh_gate()
        self._report_crash(lifetime)
        self.pool.close()
        for connection, sent in list(self._in_flight.items()):
            if sent.lifetime == lifetime:
                connection.close()

    def _report_crash(self, lifetime: _messages.Lifetime) -> None:
        in_flight = [
            sent
            for sent in self._in_flight.values()
            if sent.lifetime == lifetime
        ]
        self.watch.record_crash(lifetime, in_flight)

    def make_report(self, route: base.RouteName) -> _messages.LoadReport:
        """Make the load report that is sent to peers with an answer."""
        report = self.gate.make_report(route)
        report.link_percent = max(
            self.link.find_percent(), self.link_reservations.used_percent
        )
        report.answer_wait_ms = int(self.answer_admission.wait_ms)
        if self.speed.is_known:
            self._report_speed(report, route)
        return report

    def _report_speed(
        self, report: _messages.LoadReport, route: base.RouteName
    ) -> None:
        """Report work times at normal speed, and the current slowness."""
        report.slowness_percent = round(self.speed.percent)
        report.work_ms = int(self.speed.work.mean_ms) or report.work_ms
        work_ms = int(self.speed.work.find_ms(route))
        report.route_work_ms = work_ms or report.route_work_ms

    def note_load(self, field: str | None) -> None:
        """Process the load field of an answer of the target, if any."""
        load = balance.decode_target_load(field) if field else None
        if load is not None:
            self.speed.note_load(load)

    def answer_reservation_request(
        self, body_bytes: int
    ) -> _messages.CallAnswer:
        """Answer whether a large body may be sent to this host."""
        if self.link_reservations.reserve(body_bytes):
            return _messages.CallAnswer(
                _messages.CallOutcome.NOT_RUN,
                load=self.make_report(_messages.NO_ROUTE),
            )
        return _messages.CallAnswer(
            _messages.CallOutcome.NOT_RUN,
            reason=_messages.RefusalReason.LINK_FULL,
            load=self.make_report(_messages.NO_ROUTE),
        )

    def refuse_if_busy(
        self, call: _messages.TargetCall
    ) -> _messages.CallAnswer | None:
        """Refuse a call that must not wait unless a slot is free.

        Returns None if it may run; other reasons to refuse it are checked when
        it runs.
        """
        is_usual = (
            self._check_target(call) is _messages.RefusalReason.NONE
            and not call.crashes
            and self.crashes.find(call.request) is None
        )
        if not is_usual:
            return None
        self._assume_rate_limit(call)
        now_s = self.gate.now_s()
        wait_ms = self.gate.find_busy_ms(self._make_ticket(call, now_s))
        if wait_ms is None:
            return self._refuse_if_slow(call)
        return self._refuse(call, _messages.RefusalReason.BUSY, wait_ms)

    def _refuse_if_slow(
        self, call: _messages.TargetCall
    ) -> _messages.CallAnswer | None:
        """Refuse a call that this target currently runs too slowly.

        Applies only while the sender still searches for a free slot.  A few
        hosts at most refuse a call this way; then it runs where its delay is
        shortest.
        """
        left_ms = call.goal_ms or call.remaining_ms
        delay_ms = self.speed.find_delay_ms(call.route, left_ms)
        if call.may_wait or not delay_ms:
            return None
        return self._refuse(call, _messages.RefusalReason.BUSY, delay_ms)

    async def run_for_peer(
        self, call: _messages.TargetCall
    ) -> _messages.CallAnswer:
        """Run a call of a peer, whose answer uses the link of this host."""
        admission = self.answer_admission
        work_ms = self.gate.work.find_mean_ms(call.route)
        goal_s = self.gate.now_s() + call.goal_ms / 1000
        if not admission.can_send_in_time(call.route, work_ms, goal_s):
            self.gate_log.count_refused(call.route)
            return self._refuse(
                call, _messages.RefusalReason.LINK_FULL, int(admission.wait_ms)
            )
        reserved_bytes = admission.reserve(call.route)
        size_bytes = None
        try:
            answer = await self.run(call)
            if answer.response is not None:
                size_bytes = len(answer.response.body)
        finally:
            admission.release(call.route, reserved_bytes, size_bytes)
        return answer

    async def run(self, call: _messages.TargetCall) -> _messages.CallAnswer:
        """Run a call at the local target, or refuse it."""
        arrived_s = self.gate.now_s()
        fingerprint = self._merge_evidence(call)
        if fingerprint is None:
            call.is_trial = False
            return await self._admit(call, arrived_s)
        return await self._run_suspect(call, fingerprint, arrived_s)

    def _merge_evidence(
        self, call: _messages.TargetCall
    ) -> base.Fingerprint | None:
        """Merge the crash evidence of the sender; return the fingerprint.

        Returns None when no crash is known for the request.
        """
        if call.crashes:
            fingerprint = self.crashes.make_fingerprint(call.request)
            self.crashes.add_crashes(fingerprint, call.crashes)
        fingerprint = self.crashes.find(call.request)
        if fingerprint is not None:
            self.crashes.clear(fingerprint, call.cleared_crashes)
        return fingerprint

    async def _run_suspect(
        self,
        call: _messages.TargetCall,
        fingerprint: base.Fingerprint,
        arrived_s: float,
    ) -> _messages.CallAnswer:
        """Run a call of a suspect request, if it may run here.

        A request is suspect when targets have crashed while running it.
        Concurrent calls of the same request wait for the result of the first.
        """
        crashes = self.crashes
        while crashes.find_status(fingerprint) is _crashes.CrashStatus.SUSPECT:
            if not call.is_trial:
                return self._refuse(call, _messages.RefusalReason.SUSPECTED)
            count = crashes.count_crashes(fingerprint)
            if self.trials.try_start(fingerprint, count):
                try:
                    return await self._admit(call, arrived_s)
                finally:
                    self.trials.finish(fingerprint)
            await self.trials.wait()
        if (
            crashes.find_status(fingerprint)
            is _crashes.CrashStatus.QUARANTINED
        ):
            return self._refuse(call, _messages.RefusalReason.QUARANTINED)
        call.is_trial = False
        return await self._admit(call, arrived_s)

    async def _admit(
        self, call: _messages.TargetCall, arrived_s: float
    ) -> _messages.CallAnswer:
        """Pass a call through admission control and send it to the target."""
        reason = self._check_target(call)
        if reason is not _messages.RefusalReason.NONE:
            return self._refuse(call, reason)
        refusal = self._refuse_if_slow(call)
        if refusal is not None:
            return refusal
        self._assume_rate_limit(call)
        ticket = self._make_ticket(call, arrived_s)
        try:
            await self.gate.enter(ticket)
        except _gate.GateRefused as error:
            if error.reason is not _messages.RefusalReason.BUSY:
                self.gate_log.count_refused(call.route)
            return self._refuse(call, error.reason, error.retry_after_ms)
        answer = None
        started_s = self.gate.now_s()
        speed_percent = self.speed.percent
        self.gate_log.count_admitted(
            call.route, (started_s - arrived_s) * 1000
        )
        try:
            answer = await self._send_if_valid(call, ticket)
        finally:
            elapsed_ms = (self.gate.now_s() - started_s) * 1000
            result = _classify_result(answer)
            self.gate.leave(ticket, result, elapsed_ms)
            self._record_trial_result(
                call.route, result, elapsed_ms, started_s
            )
            if result is _gate.CallResult.DONE:
                self.speed.note_work(call.route, elapsed_ms, speed_percent)
            if answer is not None and not answer.reached_target:
                self.gate.allow_call()
        if answer.outcome is _messages.CallOutcome.ANSWERED:
            fingerprint = self.crashes.find(call.request)
            if fingerprint is not None:
                self.crashes.clear(fingerprint)
        answer.load = self.make_report(call.route)
        return answer

    def _record_trial_result(
        self,
        route: base.RouteName,
        result: _gate.CallResult,
        elapsed_ms: float,
        started_s: float,
    ) -> None:
        """Record the result of a call for the trial of the target's version.

        Skipped during warm-up, when every version is slow.
        """
        is_on = (
            self.version_trial.is_on and started_s >= self.target.cold_until_s
        )
        if not is_on or result is _gate.CallResult.REFUSED:
            return
        self.version_trial.note(
            route, result is _gate.CallResult.FAILED, elapsed_ms
        )
        if self.version_trial.has_just_changed():
            self.refresh_gate()

    @staticmethod
    def _make_ticket(
        call: _messages.TargetCall, arrived_s: float
    ) -> _gate.Ticket:
        return _gate.Ticket(
            call.route,
            call.priority,
            call.urgency,
            arrived_s + call.remaining_ms / 1000,
            arrived_s + call.goal_ms / 1000,
            call.may_wait,
            call.workspace,
            call.workspace_priority,
        )

    def _check_target(
        self, call: _messages.TargetCall
    ) -> _messages.RefusalReason:
        """Check that the target of a call is present; return why if not."""
        if self.target.target is None or self.target.is_down:
            return _messages.RefusalReason.TARGET_UNKNOWN
        if self.target.target != call.target:
            return _messages.RefusalReason.WRONG_TARGET
        return _messages.RefusalReason.NONE

    async def _send_if_valid(
        self, call: _messages.TargetCall, ticket: _gate.Ticket
    ) -> _messages.CallAnswer:
        """Send a call unless it became invalid while it waited.

        The target may have been replaced, or other targets may have crashed
        while running the same request.
        """
        reason = self._check_target(call)
        if reason is not _messages.RefusalReason.NONE:
            return self._refuse(call, reason)
        fingerprint = self.crashes.find(call.request)
        if fingerprint is not None and not call.is_trial:
            if (
                self.crashes.find_status(fingerprint)
                is not _crashes.CrashStatus.SOUND
            ):
                return self._refuse(call, _messages.RefusalReason.SUSPECTED)
        return await self._send(call, ticket)

    def _refuse(
        self,
        call: _messages.TargetCall,
        reason: _messages.RefusalReason,
        retry_after_ms: int = 0,
    ) -> _messages.CallAnswer:
        return _messages.CallAnswer(
            _messages.CallOutcome.NOT_RUN,
            reason=reason,
            retry_after_ms=retry_after_ms,
            load=self.make_report(call.route),
            member=self._find_current_row(reason),
            crashes=self._list_crashes(call),
        )

    def _list_crashes(
        self, call: _messages.TargetCall
    ) -> tuple[_crash_records.CrashEvidence, ...]:
        """Return the crashes that count against a request."""
        fingerprint = self.crashes.find(call.request)
        return self.crashes.list_crashes(fingerprint) if fingerprint else ()

    def _find_current_row(
        self, reason: _messages.RefusalReason
    ) -> _messages.MemberRow | None:
        """Return the current member row if that of the sender is outdated."""
        is_outdated = reason is _messages.RefusalReason.WRONG_TARGET
        return self.row if is_outdated and self.gate.is_open else None

    async def _send(
        self, call: _messages.TargetCall, ticket: _gate.Ticket
    ) -> _messages.CallAnswer:
        try:
            connection = await self.pool.take()
        except transport.ConnectFailed as error:
            reason = _messages.RefusalReason.UNREACHABLE
            if error.is_refused and self.target.lifetime is not None:
                self._handle_crash(self.target.lifetime)
                reason = _messages.RefusalReason.TARGET_UNKNOWN
            return _messages.CallAnswer(
                _messages.CallOutcome.NOT_RUN,
                reason=reason,
                detail=str(error),
            )
        lifetime = self.target.lifetime
        if lifetime is None:
            self.pool.put(connection)
            return self._refuse(call, _messages.RefusalReason.TARGET_UNKNOWN)
        remaining_ms = int((ticket.deadline_s - self.gate.now_s()) * 1000)
        if remaining_ms <= ANSWER_TRANSIT_MS:
            self.pool.put(connection)
            return self._refuse(call, _messages.RefusalReason.DEADLINE)
        data = self._encode(call, remaining_ms)
        sent = self._make_sent_call(call, ticket, lifetime)
        self._in_flight[connection] = sent
        try:
            response = await connection.exchange(
                data,
                lambda item: self._matches_call(item, call),
                call.request.method == 'HEAD',
            )
        except transport.ExchangeFailed as error:
            await self._check_lost_call(sent)
            return _messages.CallAnswer(
                _messages.CallOutcome.UNKNOWN,
                reason=_messages.RefusalReason.CONNECTION_LOST,
                reached_target=True,
                detail=str(error),
                crashes=self._list_crashes(call),
            )
        except asyncio.CancelledError:
            self.watch.add_lost_call(sent)
            raise
        finally:
            del self._in_flight[connection]
        self.pool.put(connection)
        self.note_load(response.find(self._load_name))
        self._note_signals(response, sent)
        return self._classify(response, call)

    def _note_signals(
        self, response: transport.Response, sent: _crash_watch.SentCall
    ) -> None:
        """Process what an answer of the current lifetime states about it."""
        current = self.target.lifetime
        is_current = current is not None and current.is_same(sent.lifetime)
        if response.status == MISDIRECTED or not is_current:
            # Another lifetime has answered, or the one that did has ended.
            return
        signals = _signals.decode_signals(response, self.names)
        self.signals.note(signals, current, sent.at_s)
        self._apply_rate_limit()
        if signals.is_leaving and self.target.mark_leaving(current):
            self.refresh_gate()
            self.on_leaving()

    def note_probe(
        self, answer: _probe.ProbeAnswer, has_ended: bool = False
    ) -> bool:
        """Process the answer of the target to a health check.

        Parameters
        ----------
        answer : ProbeAnswer
            Answer to the health check.
        has_ended : bool
            Whether an answer without a limit shows that the limit has ended.
            Targets may state it in answers to calls only.

        Returns
        -------
        bool
            Whether the answer states a limit.
        """
        current = self.target.lifetime
        if current is None or current.target != answer.report.target:
            return False
        is_limited = answer.signals.rate_limit_per_s is not None
        if is_limited or has_ended:
            self.signals.note(answer.signals, current, answer.sent_s)
            self._apply_rate_limit()
        return is_limited

    def _apply_rate_limit(self) -> None:
        if self.gate.rate_limit_per_s != self.signals.rate_limit_per_s:
            self.gate.set_rate_limit(self.signals.rate_limit_per_s)

    def _assume_rate_limit(self, call: _messages.TargetCall) -> None:
        """Apply the rate limit that a sender knows, until the target answers.

        The call itself is allowed, and its answer shows what the target takes.
        """
        per_s = call.rate_limit_per_s
        if per_s is None or self.signals.is_heard_from(self.target.lifetime):
            return
        if self.signals.assume(per_s, self.target.lifetime):
            self.gate.set_rate_limit(per_s, calls=1)

    def _make_sent_call(
        self,
        call: _messages.TargetCall,
        ticket: _gate.Ticket,
        lifetime: _messages.Lifetime,
    ) -> _crash_watch.SentCall:
        return _crash_watch.SentCall(
            call.request,
            lifetime,
            self.gate.now_s(),
            ticket.deadline_s,
            call.is_trial,
        )

    async def _check_lost_call(self, sent: _crash_watch.SentCall) -> None:
        """Check whether a call was lost because its target crashed."""
        self.watch.add_lost_call(sent)
        is_present = self.target.lifetime == sent.lifetime
        if is_present and self.target.is_open:
            if await self.watch.has_crashed():
                self._handle_crash(sent.lifetime)

    def _encode(self, call: _messages.TargetCall, remaining_ms: int) -> bytes:
        names = self.names
        headers = transport.strip_hop_headers(
            call.request.headers, self._replaced
        )
        headers.append((names.deadline_ms, str(remaining_ms)))
        headers.append((names.expected_target, call.target))
        headers.append((names.origin, call.origin))
        if call.workspace:
            headers.append((names.workspace, call.workspace))
        return transport.encode_request(call.request, headers)

    def _matches_call(
        self, response: transport.Response, call: _messages.TargetCall
    ) -> bool:
        """Whether a response belongs to a call, by the echoed request id."""
        echoed = response.find(self.names.request_id.lower())
        return echoed is None or echoed == call.request_id

    def _classify(
        self, response: transport.Response, call: _messages.TargetCall
    ) -> _messages.CallAnswer:
        """Classify a response as answer, refusal or damaged response."""
        if response.status == MISDIRECTED:
            self._note_misdirected(call)
            return _messages.CallAnswer(
                _messages.CallOutcome.NOT_RUN,
                reason=_messages.RefusalReason.WRONG_TARGET,
                reached_target=True,
            )
        if response.find(self.names.not_run.lower()):
            return _messages.CallAnswer(
                _messages.CallOutcome.NOT_RUN,
                reason=_messages.RefusalReason.TARGET_REFUSED,
                reached_target=True,
                detail=f'status {response.status}',
            )
        if not self._is_intact(response):
            return _messages.CallAnswer(
                _messages.CallOutcome.UNKNOWN,
                reason=_messages.RefusalReason.DAMAGED,
                reached_target=True,
                detail=f'status {response.status}',
            )
        return _messages.CallAnswer(
            _messages.CallOutcome.ANSWERED, response, reached_target=True
        )

    def _note_misdirected(self, call: _messages.TargetCall) -> None:
        """Close the gate if another target answers at the address.

        A call that names an earlier target is ignored: the current target is
        right to refuse it.
        """
        lifetime = self.target.lifetime
        if lifetime is None or lifetime.target != call.target:
            return
        if self._open_lifetime == lifetime:
            self._open_lifetime = None
            self._report_crash(lifetime)
        self.target.discard()
        self.refresh_gate()

    def _is_intact(self, response: transport.Response) -> bool:
        if response.find('content-encoding') is not None:
            return False
        return response.find(self.names.proof.lower()) is not None


def _do_nothing() -> None:
    """Default for `TargetClient.on_leaving`."""


def _classify_result(answer: _messages.CallAnswer | None) -> _gate.CallResult:
    """Classify the result of a call for the statistics of the gate."""
    if answer is None:
        return _gate.CallResult.CANCELLED
    if answer.reason is _messages.RefusalReason.TARGET_REFUSED:
        return _gate.CallResult.REFUSED
    if answer.outcome is not _messages.CallOutcome.ANSWERED:
        return _gate.CallResult.FAILED
    if answer.response.status >= SERVER_ERROR:
        return _gate.CallResult.FAILED
    return _gate.CallResult.DONE

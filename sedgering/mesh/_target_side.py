"""Runs calls at the local target: its gate, its connections, its end."""

import asyncio
import logging
import math

from sedgering import balance
from sedgering import base
from sedgering.mesh import _answer_room
from sedgering.mesh import _crash_records
from sedgering.mesh import _crash_watch
from sedgering.mesh import _crashes
from sedgering.mesh import _gate
from sedgering.mesh import _gate_log
from sedgering.mesh import _link
from sedgering.mesh import _messages
from sedgering.mesh import _room
from sedgering.mesh import _settings
from sedgering.mesh import _target
from sedgering.mesh import _trials
from sedgering.mesh import _version_trial
from sedgering import transport

__all__ = ['TargetSide']

LOG = logging.getLogger(__name__)

#: Time kept back from a deadline, for the way of the answer.
ANSWER_WAY_MS = 5
#: Idle connections to the target beyond its slots.
SPARE_CONNECTIONS = 4
MISDIRECTED = 421
SERVER_ERROR = 500
#: Fields of the caller that the daemon sets itself.
_REPLACED = ('deadline_ms', 'expected_target', 'origin', 'workspace')


class TargetSide:
    """Runs calls at the local target.

    Parameters
    ----------
    names : HeaderNames
        Fields shared with targets.
    addresses : Addresses
        Where the target listens.
    mesh_settings : MeshSettings
        Limits.
    target : LocalTarget
        What the target reported.
    gate : Gate
        Admits calls.
    link : LinkMeter
        Tells how much of the link of this host is used.
    room : LinkRoom
        Large bodies that may be on their way to it.
    answer_room : AnswerRoom
        Large answers that are to leave it.
    """

    def __init__(
        self,
        names: _messages.HeaderNames,
        addresses: _messages.Addresses,
        mesh_settings: _settings.MeshSettings,
        target: _target.LocalTarget,
        gate: _gate.Gate,
        link: _link.LinkMeter,
        room: _room.LinkRoom,
        answer_room: _answer_room.AnswerRoom,
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
        )
        self.gate_log = _gate_log.GateLog()
        self.link = link
        self.room = room
        self.answer_room = answer_room
        self.speed = balance.OwnSpeed(gate.now_s)
        self.is_leaving = False
        #: What other daemons should know of this one.
        self.row: _messages.MemberRow | None = None
        #: Calls at the target, by their connections.
        self._busy: dict[
            transport.ClientConnection, _crash_watch.SentCall
        ] = {}
        #: Of which the gate has learnt.
        self._lifetime: _messages.Lifetime | None = None
        #: The one for which the gate is open.
        self._open_lifetime: _messages.Lifetime | None = None
        self.crashes = _crashes.CrashTable(
            mesh_settings.caller_fields,
            mesh_settings.quarantine_crashes,
            gate.now_s,
        )
        self.watch = _crash_watch.CrashWatch(
            self.crashes, self.is_listening, gate.now_s
        )
        self.trials = _trials.TrialDesk()
        self.version_trial = _version_trial.VersionTrial()
        #: Whether the version of the target may get calls.
        self.is_permitted = True
        self._load_name = names.load.lower()
        self._replaced = transport.HOP_NAMES | frozenset(
            getattr(names, field).lower() for field in _REPLACED
        )

    @property
    def latest_deadline_s(self) -> float:
        """Latest deadline of the calls at the target; -inf without any."""
        return max(
            (sent.deadline_s for sent in self._busy.values()),
            default=-math.inf,
        )

    def leave(self) -> None:
        """Take no new calls: this daemon ends, whatever its target does."""
        self.is_leaving = True
        self.refresh_gate()

    def refresh_gate(self) -> None:
        """Open or close the gate as the target last reported."""
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
        """Ask whether the target takes connections.

        A connection that comes about is kept; without an answer nothing is
        known, and the target is taken to be there.
        """
        try:
            connection = await self.pool.open()
        except transport.ConnectFailed as error:
            return not error.is_refused
        self.pool.put(connection)
        return True

    def note_lifetime(self) -> None:
        """Start anew with a target that is not the one before."""
        before, present = self._lifetime, self.target.lifetime
        if present is None:
            # Whoever comes next is compared with the last one known.
            return
        self._lifetime = present
        if before is None:
            return
        is_restart = before.is_before(present)
        if is_restart or before.target != present.target:
            if self._open_lifetime == before:
                # Its end is seen by the next lifetime only.
                self._open_lifetime = None
                self._tell_end(before)
            LOG.info('target renewed', extra={'target': present.target})
            self.gate.renew()
            self.speed = balance.OwnSpeed(self.gate.now_s)
            self.pool.close()
        if is_restart:
            self._end_calls(self.target.earlier_heard_s)

    def _end_calls(self, until_s: float) -> None:
        """End the calls that were sent before a moment.

        Those sent while the earlier lifetime was heard are lost with it, and
        their connections may say so only after seconds, or never: they would
        hold places of the present one.  Later ones may have reached the
        present one already.
        """
        for connection, sent in list(self._busy.items()):
            if sent.at_s < until_s:
                connection.close()

    def _note_end(self, lifetime: _messages.Lifetime) -> None:
        """Note that nobody listens where a lifetime was.

        Calls go where a target listens from now on: a host that refuses at
        once looks as if it were idle, and draws all of them.
        """
        if not self.target.note_down(lifetime):
            return
        self.refresh_gate()
        self._tell_end(lifetime)
        self.pool.close()
        for connection, sent in list(self._busy.items()):
            if sent.lifetime == lifetime:
                connection.close()

    def _tell_end(self, lifetime: _messages.Lifetime) -> None:
        under_way = [
            sent for sent in self._busy.values() if sent.lifetime == lifetime
        ]
        self.watch.note_end(lifetime, under_way)

    def make_report(self, route: base.RouteName) -> _messages.LoadReport:
        """Make what other daemons are told with the answer to a call."""
        report = self.gate.make_report(route)
        report.link_percent = max(
            self.link.find_percent(), self.room.used_percent
        )
        report.answer_wait_ms = int(self.answer_room.wait_ms)
        if self.speed.is_known:
            self._tell_speed(report, route)
        return report

    def _tell_speed(
        self, report: _messages.LoadReport, route: base.RouteName
    ) -> None:
        """Tell work at the usual speed, and the speed of the moment."""
        report.slowness_percent = round(self.speed.percent)
        report.work_ms = int(self.speed.work.mean_ms) or report.work_ms
        work_ms = int(self.speed.work.find_ms(route))
        report.route_work_ms = work_ms or report.route_work_ms

    def note_load(self, field: str | None) -> None:
        """Take in the load field of an answer of the target, if any."""
        load = balance.decode_target_load(field) if field else None
        if load is not None:
            self.speed.note_load(load)

    def answer_room_request(self, body_bytes: int) -> _messages.CallAnswer:
        """Tell whether a large body may be sent here."""
        if self.room.ask(body_bytes):
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
        """Refuse a call that is only to have a free place; None if it may run.

        Whatever else speaks against it is found when it runs.
        """
        is_usual = (
            self._check_target(call) is _messages.RefusalReason.NONE
            and not call.crashes
            and self.crashes.find(call.request) is None
        )
        if not is_usual:
            return None
        now_s = self.gate.now_s()
        wait_ms = self.gate.find_busy_ms(self._make_ticket(call, now_s))
        if wait_ms is None:
            return self._give_back_if_slow(call)
        return self._refuse(call, _messages.RefusalReason.BUSY, wait_ms)

    def _give_back_if_slow(
        self, call: _messages.TargetCall
    ) -> _messages.CallAnswer | None:
        """Refuse a call that is in time elsewhere, and not here just now.

        Only one that still looks for a place: each is given back by a few
        hosts at most, and then runs where it is delayed least.
        """
        left_ms = call.goal_ms or call.remaining_ms
        delay_ms = self.speed.find_delay_ms(call.route, left_ms)
        if call.may_wait or not delay_ms:
            return None
        return self._refuse(call, _messages.RefusalReason.BUSY, delay_ms)

    async def run_for_peer(
        self, call: _messages.TargetCall
    ) -> _messages.CallAnswer:
        """Run a call whose answer leaves over the link of this host."""
        room = self.answer_room
        work_ms = self.gate.work.find_mean_ms(call.route)
        goal_s = self.gate.now_s() + call.goal_ms / 1000
        if not room.has_room(call.route, work_ms, goal_s):
            self.gate_log.note_refused(call.route)
            return self._refuse(
                call, _messages.RefusalReason.LINK_FULL, int(room.wait_ms)
            )
        promised = room.promise(call.route)
        size_bytes = None
        try:
            answer = await self.run(call)
            if answer.response is not None:
                size_bytes = len(answer.response.body)
        finally:
            room.end(call.route, promised, size_bytes)
        return answer

    async def run(self, call: _messages.TargetCall) -> _messages.CallAnswer:
        """Run a call at the local target, or refuse it."""
        arrived_s = self.gate.now_s()
        fingerprint = self._learn_of(call)
        if fingerprint is None:
            call.is_trial = False
            return await self._admit(call, arrived_s)
        return await self._run_suspect(call, fingerprint, arrived_s)

    def _learn_of(self, call: _messages.TargetCall) -> base.Fingerprint | None:
        """Take in what the sender knows of a call."""
        if call.crashes:
            fingerprint = self.crashes.make_fingerprint(call.request)
            self.crashes.blame(fingerprint, call.crashes)
        fingerprint = self.crashes.find(call.request)
        if fingerprint is not None:
            self.crashes.forgive(fingerprint, call.forgiven)
        return fingerprint

    async def _run_suspect(
        self,
        call: _messages.TargetCall,
        fingerprint: base.Fingerprint,
        arrived_s: float,
    ) -> _messages.CallAnswer:
        """Run a call under which targets have ended, if it may run here.

        Copies of it wait for the first one, which shows what to expect.
        """
        crashes = self.crashes
        while crashes.judge(fingerprint) is _crashes.Standing.SUSPECT:
            if not call.is_trial:
                return self._refuse(call, _messages.RefusalReason.SUSPECTED)
            count = crashes.count_crashes(fingerprint)
            if self.trials.begin(fingerprint, count):
                try:
                    return await self._admit(call, arrived_s)
                finally:
                    self.trials.end(fingerprint)
            await self.trials.wait()
        if crashes.judge(fingerprint) is _crashes.Standing.QUARANTINED:
            return self._refuse(call, _messages.RefusalReason.QUARANTINED)
        call.is_trial = False
        return await self._admit(call, arrived_s)

    async def _admit(
        self, call: _messages.TargetCall, arrived_s: float
    ) -> _messages.CallAnswer:
        """Let a call through the gate to the target."""
        reason = self._check_target(call)
        if reason is not _messages.RefusalReason.NONE:
            return self._refuse(call, reason)
        given_back = self._give_back_if_slow(call)
        if given_back is not None:
            return given_back
        ticket = self._make_ticket(call, arrived_s)
        try:
            await self.gate.enter(ticket)
        except _gate.GateRefused as error:
            if error.reason is not _messages.RefusalReason.BUSY:
                self.gate_log.note_refused(call.route)
            return self._refuse(call, error.reason, error.retry_after_ms)
        answer = None
        started_s = self.gate.now_s()
        begin_percent = self.speed.percent
        self.gate_log.note_admitted(call.route, (started_s - arrived_s) * 1000)
        try:
            answer = await self._send_if_there(call, ticket)
        finally:
            elapsed_ms = (self.gate.now_s() - started_s) * 1000
            result = _judge(answer)
            self.gate.leave(ticket, result, elapsed_ms)
            self._note_evidence(call.route, result, elapsed_ms, started_s)
            if result is _gate.CallResult.DONE:
                self.speed.note_work(call.route, elapsed_ms, begin_percent)
        if answer.outcome is _messages.CallOutcome.ANSWERED:
            fingerprint = self.crashes.find(call.request)
            if fingerprint is not None:
                self.crashes.forgive(fingerprint)
        answer.load = self.make_report(call.route)
        return answer

    def _note_evidence(
        self,
        route: base.RouteName,
        result: _gate.CallResult,
        elapsed_ms: float,
        started_s: float,
    ) -> None:
        """Count a call for or against the version of the target.

        Not while it is cold: all versions are slow then.
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
        """Say why a call cannot run here, if its target is not there."""
        if self.target.target is None or self.target.is_down:
            return _messages.RefusalReason.TARGET_UNKNOWN
        if self.target.target != call.target:
            return _messages.RefusalReason.WRONG_TARGET
        return _messages.RefusalReason.NONE

    async def _send_if_there(
        self, call: _messages.TargetCall, ticket: _gate.Ticket
    ) -> _messages.CallAnswer:
        """Send a call, unless that has become wrong while it waited.

        Its target may have changed, and others may have ended under it.
        """
        reason = self._check_target(call)
        if reason is not _messages.RefusalReason.NONE:
            return self._refuse(call, reason)
        fingerprint = self.crashes.find(call.request)
        if fingerprint is not None and not call.is_trial:
            if self.crashes.judge(fingerprint) is not _crashes.Standing.SOUND:
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
            member=self._find_member(reason),
            crashes=self._list_crashes(call),
        )

    def _list_crashes(
        self, call: _messages.TargetCall
    ) -> tuple[_crash_records.CrashEvidence, ...]:
        """Return the ends that speak against a call."""
        fingerprint = self.crashes.find(call.request)
        return self.crashes.list_crashes(fingerprint) if fingerprint else ()

    def _find_member(
        self, reason: _messages.RefusalReason
    ) -> _messages.MemberRow | None:
        """Return the row that a sender should hold, if its own is old."""
        is_old = reason is _messages.RefusalReason.WRONG_TARGET
        return self.row if is_old and self.gate.is_open else None

    async def _send(
        self, call: _messages.TargetCall, ticket: _gate.Ticket
    ) -> _messages.CallAnswer:
        try:
            connection = await self.pool.take()
        except transport.ConnectFailed as error:
            reason = _messages.RefusalReason.UNREACHABLE
            if error.is_refused and self.target.lifetime is not None:
                self._note_end(self.target.lifetime)
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
        if remaining_ms <= ANSWER_WAY_MS:
            self.pool.put(connection)
            return self._refuse(call, _messages.RefusalReason.DEADLINE)
        data = self._encode(call, remaining_ms)
        sent = self._make_sent(call, ticket, lifetime)
        self._busy[connection] = sent
        try:
            response = await connection.exchange(
                data,
                lambda item: self._is_own(item, call),
                call.request.method == 'HEAD',
            )
        except transport.ExchangeFailed as error:
            await self._settle_loss(sent)
            return _messages.CallAnswer(
                _messages.CallOutcome.UNKNOWN,
                reason=_messages.RefusalReason.CONNECTION_LOST,
                reached_target=True,
                detail=str(error),
                crashes=self._list_crashes(call),
            )
        except asyncio.CancelledError:
            self.watch.note_lost(sent)
            raise
        finally:
            del self._busy[connection]
        self.pool.put(connection)
        self.note_load(response.find(self._load_name))
        return self._classify(response, call)

    def _make_sent(
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

    async def _settle_loss(self, sent: _crash_watch.SentCall) -> None:
        """Find out whether a call was lost with its target."""
        self.watch.note_lost(sent)
        is_present = self.target.lifetime == sent.lifetime
        if is_present and self.target.is_open:
            if await self.watch.has_ended():
                self._note_end(sent.lifetime)

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

    def _is_own(
        self, response: transport.Response, call: _messages.TargetCall
    ) -> bool:
        """An answer that names another request belongs to that one."""
        echoed = response.find(self.names.request_id.lower())
        return echoed is None or echoed == call.request_id

    def _classify(
        self, response: transport.Response, call: _messages.TargetCall
    ) -> _messages.CallAnswer:
        """Tell the target's answer from a refusal and from damage."""
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
        if not self._is_sound(response):
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
        """Close the gate where another target answers for the present one.

        A call that names an earlier one says nothing of it.
        """
        lifetime = self.target.lifetime
        if lifetime is None or lifetime.target != call.target:
            return
        if self._open_lifetime == lifetime:
            self._open_lifetime = None
            self._tell_end(lifetime)
        self.target.forget()
        self.refresh_gate()

    def _is_sound(self, response: transport.Response) -> bool:
        if response.find('content-encoding') is not None:
            return False
        return response.find(self.names.proof.lower()) is not None


def _judge(answer: _messages.CallAnswer | None) -> _gate.CallResult:
    """Tell the gate how a call ended, as far as its target shows."""
    if answer is None:
        return _gate.CallResult.CANCELLED
    if answer.reason is _messages.RefusalReason.TARGET_REFUSED:
        return _gate.CallResult.REFUSED
    if answer.outcome is not _messages.CallOutcome.ANSWERED:
        return _gate.CallResult.FAILED
    if answer.response.status >= SERVER_ERROR:
        return _gate.CallResult.FAILED
    return _gate.CallResult.DONE

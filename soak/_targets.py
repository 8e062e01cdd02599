"""Targets of the daemons, which register, serve requests and leave."""

import asyncio
from collections.abc import Callable
import os
import random
import socket
import time

from sedgering import platform
from sedgering import testing
from sedgering.testing import judges
from sedgering import transport
from soak import _bad_bytes
from soak import _crash_requests
from soak import _daemons
from soak import _keys
from soak import _long_requests
from soak import _pacing
from soak import _probes
from soak import _rollouts
from soak import _signals

__all__ = ['Ledger', 'Target']

SLOTS = 4
#: Capacity of the link of a target that sends without an end: 1 Gbit/s.
LINK_BYTES_PER_S = 125_000_000.0
NS_PER_MS = 1_000_000
WORK_S = 0.03
HEARTBEAT_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 1.0
#: How long a draining target keeps serving after the daemon acknowledged its
#: state.
DRAIN_SERVING_S = _daemons.DRAIN_S + 0.6
#: Reports that were sent before a departure and arrive after it, and the range
#: of their delays.  Messages of a target are delayed by seconds at most.
DELAYED_REPORTS = 3
REPORT_DELAY_S = (0.2, 4.0)
#: How long a target tries to have its departure acknowledged.
LEAVE_ATTEMPTS_S = 4.0
#: Interval at which a draining target checks whether its work is done.
POLL_INTERVAL_S = 0.05
#: Time from the end of a target to the start of the next at its address.
ADDRESS_REUSE_S = 0.5
#: Time from the crash of a target to its restart.
RESTART_AFTER_CRASH_S = 1.0


class Ledger:
    """Records what all targets ran.

    Attributes
    ----------
    runs : dict
        Times at which a request began to run, by request id.
    answers : dict
        Time of the last answer by a target that behaves correctly, and the
        id of that target, by request id.
    late_runs : list of str
        Descriptions of requests that reached a target too long after the
        daemon acknowledged that the target is draining.
    ends_s : list of float
        Times at which targets crashed on a request.
    signals : SignalLedger
        Limits that targets stated, and departures.
    workspaces : dict
        Workspaces in the headers that targets received, by request id.
    keys_seen : list of str
        Ids of requests that reached a target with their API key.
    work : dict
        Runs of a request, by its id.
    departures : list of Departure
        Departures that were acknowledged.
    spoilt : set of str
        Ids of requests whose target sent bad bytes in place of an answer.
    """

    def __init__(self):
        self.runs: dict[str, list[float]] = {}
        self.answers: dict[str, tuple[float, str]] = {}
        self.late_runs: list[str] = []
        self.ends_s: list[float] = []
        self.signals = _signals.SignalLedger()
        self.workspaces: dict[str, list[str]] = {}
        #: Times at which requests began to run, by the version of the target.
        self.version_runs_s: dict[str, list[float]] = {}
        self.keys_seen: list[str] = []
        self.work: dict[str, list[judges.Work]] = {}
        self.departures: list[judges.Departure] = []
        self.spoilt: set[str] = set()

    def record_identity_headers(
        self, request_id: str, fields: list[tuple[str, str]]
    ) -> None:
        """Record the workspace and any key in the headers of a request."""
        workspaces = self.workspaces.setdefault(request_id, [])
        for name, value in fields:
            if name.lower() == platform.HEADERS.workspace.lower():
                workspaces.append(value)
            if name.lower() == _keys.KEY_HEADER.lower():
                self.keys_seen.append(request_id)


class _TargetState(testing.TargetBooks):
    """State and records of one lifetime of a target."""

    def __init__(
        self,
        target: str,
        lifetime: int,
        ledger: Ledger,
        version: str = _rollouts.OLD_VERSION,
        host: str = '',
        slots: int = SLOTS,
    ):
        #: Share of the answers that its habit concerns.
        self.habit_share = 1.0
        super().__init__(target)
        self.version = version
        self.host = host
        self.slots = slots
        #: Factor by which work lasts longer.
        self.work_factor = 1.0
        #: Whether it receives and sends nothing.
        self.is_silent = False
        #: What it sends in place of a share of its answers.
        self.bad_bytes: _bad_bytes.BadBytes | None = None
        self.bad_share = 1.0
        self.pacer = _pacing.Pacer(LINK_BYTES_PER_S)
        #: Runs that have not ended, by request id.
        self.open_work: dict[str, judges.Work] = {}
        #: Connections whose request is running.
        self.busy_transports: set[asyncio.Transport] = set()
        self.label = f'{target}#{lifetime}'
        self.arrivals = ledger.signals.arrivals.setdefault(self.label, [])
        self.work_s = WORK_S
        self.ledger = ledger
        #: When the daemon acknowledged that the target is draining.
        self.acknowledged_s: float | None = None
        #: Sizes of answers by request id.
        self.sizes_bytes: dict[str, int] = {}

    @property
    def habit(self) -> testing.TargetHabit:
        """How it treats the next request."""
        is_concerned = random.random() < self.habit_share
        return self._habit if is_concerned else testing.TargetHabit.SOUND

    @habit.setter
    def habit(self, habit: testing.TargetHabit) -> None:
        self._habit = habit

    def note_run(self, request_id, line, headers, body) -> None:
        """Record when a request began to run."""
        super().note_run(request_id, line, headers, body)
        # The stand-in reads `work_s` before another request can change it.
        self.work_s, self.sizes_bytes[request_id] = _long_requests.decode_work(
            line, WORK_S
        )
        self.work_s *= self.work_factor
        for fields in self.fields:
            self.ledger.record_identity_headers(request_id, fields)
        # A long soak would otherwise accumulate the headers of all requests.
        self.fields.clear()
        now_s = time.monotonic()
        self.ledger.runs.setdefault(request_id, []).append(now_s)
        work = judges.Work(
            self.label,
            self.host,
            now_s,
            due_s=now_s + self.work_s,
            line=line.rpartition(' ')[0],
            origin=headers.get(platform.HEADERS.origin, ''),
        )
        self.open_work[request_id] = work
        self.ledger.work.setdefault(request_id, []).append(work)
        runs_s = self.ledger.version_runs_s
        runs_s.setdefault(self.version, []).append(now_s)
        if self.acknowledged_s is not None:
            late_s = now_s - self.acknowledged_s
            if late_s > _daemons.DRAIN_S:
                self.ledger.late_runs.append(
                    f'{request_id} reached {self.target} {late_s:.2f} s after '
                    'its draining state was acknowledged'
                )

    def note_running(self) -> None:
        """Record how many requests are running.

        A request whose connection has been closed is over, even if the event
        loop has not yet seen it.
        """
        running = self.running
        if running > max(self.slots, self.most_running):
            running -= sum(map(_is_closed_by_peer, self.busy_transports))
        self.most_running = max(self.most_running, running)

    def end_work(
        self, request_id: str | None, is_sound: bool = True, status: int = 0
    ) -> None:
        """Record that a run has ended, and what its target answers."""
        work = self.open_work.pop(request_id, None)
        if work is not None:
            work.ended_s = time.monotonic()
            work.is_sound = is_sound
            work.status = status

    @property
    def spoils_next(self) -> bool:
        """Whether it sends bad bytes in place of the next answer."""
        return self.bad_bytes is not None and (
            random.random() < self.bad_share
        )

    def break_off(self) -> None:
        """Record that the target ends, and all runs with it."""
        for request_id in list(self.open_work):
            self.end_work(request_id, is_sound=False)


class _Connection(testing.TargetStandin):
    """Answers each request with the size that it asks for."""

    #: Sends bytes without an end.
    bad_task: asyncio.Task | None = None

    def data_received(self, data):
        """Handle what arrives, unless the target is silent."""
        if not self.state.is_silent:
            super().data_received(data)

    def _write(self, *arguments, **options) -> None:
        if not self.state.is_silent:
            super()._write(*arguments, **options)

    async def _answer(self, line: str, headers, body: bytes) -> None:
        request_id = transport.find_header(headers, 'x-request-id')
        self.state.busy_transports.add(self.transport)
        try:
            await super()._answer(line, headers, body)
        finally:
            self.state.busy_transports.discard(self.transport)
            if self.bad_task is not None:
                # Bad bytes on its connection are taken for its answer.
                self._note_spoilt(request_id)
            self.state.end_work(request_id)

    def _finish(self, request_id: str, habit: testing.TargetHabit) -> None:
        if self.state.spoils_next:
            self._send_bad_bytes(request_id)
            return
        status = 500 if habit is testing.TargetHabit.FAILING else 200
        is_sound = habit is testing.TargetHabit.SOUND
        self.state.end_work(request_id, is_sound, status)
        self.state.body_bytes = self.state.sizes_bytes[request_id]
        state = self.state
        state.ledger.signals.record_answer(
            request_id,
            state.label,
            _signals.is_limit(state.signal_fields),
            state.is_leaving,
        )
        super()._finish(request_id, habit)
        if habit is testing.TargetHabit.SOUND:
            answer = time.monotonic(), self.state.target
            self.state.ledger.answers[request_id] = answer

    def _send_bad_bytes(self, request_id: str) -> None:
        """Send bad bytes; the run ends with them, and is not sound."""
        state = self.state
        self._note_spoilt(request_id)
        start = state.bad_bytes.make_start(
            request_id, state.sizes_bytes[request_id]
        )
        self.bad_task = asyncio.ensure_future(
            _bad_bytes.send_bad_bytes(
                self.transport, start, state.bad_bytes.piece, state.pacer
            )
        )

    def _note_spoilt(self, request_id: str | None) -> None:
        self.state.end_work(request_id, is_sound=False)
        self.state.ledger.spoilt.add(request_id)


class Target:
    """Target of one host across all of its lifetimes.

    Parameters
    ----------
    daemon : Daemon
        Daemon of the same host.
    ledger : Ledger
        Record shared by all targets.
    slots : int
        Requests that it runs at once.
    """

    def __init__(
        self, daemon: _daemons.Daemon, ledger: Ledger, slots: int = SLOTS
    ):
        self.daemon = daemon
        self.slots = slots
        self.ledger = ledger
        self.most_running = 0
        self.lifetime = 0
        self.is_leaving = False
        self.version = _rollouts.OLD_VERSION
        #: How each lifetime begins to answer.
        self.habit = testing.TargetHabit.SOUND
        #: Whether the operator has stopped the target for good.
        self.is_over = False
        self.books: _TargetState | None = None
        self._sequence = 0
        self._started_at_ms = 0
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task | None = None
        self._restart: asyncio.Task | None = None
        #: Called after each crash on a request.
        self.on_crash: Callable[[], None] = _do_nothing
        #: Called when the target has told its daemon that it is leaving.
        self.on_departure: Callable[[], None] = _do_nothing

    async def start(self) -> None:
        """Start a new lifetime, unless the operator has stopped it."""
        if self.is_over:
            return
        self.lifetime += 1
        self._sequence = 0
        self._started_at_ms = time.time_ns() // NS_PER_MS
        self.is_leaving = False
        # Every second start reuses the target id of the previous lifetime.
        number = (self.lifetime + 1) // 2
        self.books = _TargetState(
            f'i-{self.daemon.name}-{number}',
            self.lifetime,
            self.ledger,
            self.version,
            self.daemon.name,
            self.slots,
        )
        self.books.habit = self.habit
        self.books.fatal_urls = {_crash_requests.FATAL_PATH}
        self.books.end = self._crash_on_request
        self._server = await asyncio.get_running_loop().create_server(
            self._make_connection,
            self.daemon.address,
            _daemons.TARGET_PORT,
        )
        self._heartbeats = asyncio.ensure_future(self._send_heartbeats())

    async def replace(self) -> None:
        """Drain, deregister and start a new lifetime."""
        if self.is_leaving or self._restart is not None:
            return
        await self._leave()
        await asyncio.sleep(ADDRESS_REUSE_S)
        await self.start()

    async def _leave(self) -> None:
        """Drain, deregister and end this lifetime."""
        self.is_leaving = True
        self.books.is_leaving = True
        if await self._send_report('heartbeat', 'draining'):
            self._note_acknowledged()
        await asyncio.sleep(DRAIN_SERVING_S)
        while self.books.running:
            await asyncio.sleep(POLL_INTERVAL_S)
        await self._send_report('deregister', 'draining')
        self.stop()

    async def end_lifetime(self, form: str, for_s: float) -> bool:
        """End this lifetime.

        Parameters
        ----------
        form : str
            `drain`; `dark`, to be silent first; otherwise it crashes.
        for_s : float
            How long it is silent or down.

        Returns
        -------
        bool
            False if it was ending already.
        """
        if self.is_leaving or self._restart is not None:
            return False
        if form == 'drain':
            await self._leave()
            return True
        self.is_leaving = True
        self._heartbeats.cancel()
        if form == 'dark':
            self.books.is_silent = True
        else:
            self.stop()
        await asyncio.sleep(for_s)
        self.stop()
        return True

    async def leave_with_delayed_reports(
        self, form: str, for_s: float, seed: str
    ) -> None:
        """Leave, while reports that were sent before are still to arrive.

        Its answers do not tell that it is leaving.

        Parameters
        ----------
        form : str
            State that it reports, or `deregister`: it then sends no more.
        for_s : float
            How long it goes on serving.
        seed : str
            Determines the delays of the reports.
        """
        if self.is_leaving or self._restart is not None:
            return
        rng = random.Random(seed)
        self.is_leaving = True
        self.books.is_unhealthy = True
        self._heartbeats.cancel()
        delayed = self._delay_reports(
            sorted(
                rng.uniform(*REPORT_DELAY_S) for _ in range(DELAYED_REPORTS)
            )
        )
        await self._report_departure(form)
        self.on_departure()
        await asyncio.gather(asyncio.sleep(for_s), delayed)
        end_s = time.monotonic() + LEAVE_ATTEMPTS_S
        while self.books.running and time.monotonic() < end_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.stop()
        await asyncio.sleep(ADDRESS_REUSE_S)
        await self.start()

    async def _report_departure(self, form: str) -> None:
        """Report the departure until it is acknowledged."""
        end_s = time.monotonic() + LEAVE_ATTEMPTS_S
        verb = 'deregister' if form == 'deregister' else 'heartbeat'
        while time.monotonic() < end_s:
            if await self._send_report(verb, 'draining'):
                self._note_acknowledged()
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _note_acknowledged(self) -> None:
        self.books.acknowledged_s = time.monotonic()
        self.ledger.departures.append(
            judges.Departure(
                self.books.label,
                self.daemon.name,
                self.books.acknowledged_s,
            )
        )

    def _delay_reports(self, delays_s: list[float]) -> asyncio.Future:
        """Send the next reports that it is ready, to arrive later."""

        async def send(request: transport.Request, delay_s: float) -> None:
            await asyncio.sleep(delay_s)
            await self._send(request)

        return asyncio.gather(
            *(
                send(self._make_report('heartbeat', 'ready'), delay_s)
                for delay_s in delays_s
            )
        )

    async def send_bad_bytes(
        self, bad_bytes: _bad_bytes.BadBytes, share: float, for_s: float
    ) -> None:
        """Send bad bytes in place of a share of the answers."""
        books = self.books
        if books is None:
            return
        books.bad_bytes, books.bad_share = bad_bytes, share
        await asyncio.sleep(for_s)
        books.bad_bytes = None

    async def leave_unreported(self, for_s: float) -> None:
        """State in answers only that it is leaving, and leave later."""
        if self.is_leaving or self._restart is not None:
            return
        books = self.books
        books.is_leaving = True
        await asyncio.sleep(for_s)
        if self.books is books:
            await self.replace()

    async def limit_rate(self, fields: list[str], for_s: float) -> None:
        """State limits one after the other, and then none."""
        books = self.books
        for field in fields:
            self._state_limit(books, field)
            await asyncio.sleep(for_s / len(fields))
        self._state_limit(books, None)

    def _state_limit(self, books: _TargetState, field: str | None) -> None:
        books.signal_fields = _signals.make_limit_fields(field)
        self.ledger.signals.state_limit(books.label, field, time.monotonic())

    def end(self) -> None:
        """End for good, without notice."""
        self.is_over = self.is_leaving = True
        self.stop()

    def stop(self) -> None:
        """End this lifetime and reset its connections."""
        self.most_running = max(self.most_running, self.books.most_running)
        self._heartbeats.cancel()
        self._server.close()
        self.books.break_off()
        self.books.reset_connections()
        if self._restart is not None:
            self._restart.cancel()

    def _crash_on_request(self) -> None:
        self.ledger.ends_s.append(time.monotonic())
        self.crash()

    def crash(self) -> None:
        """End this lifetime without deregistering, unless it has ended."""
        if self._restart is not None or not self._server.is_serving():
            return
        self.on_crash()
        self.stop()
        if not self.is_leaving:
            self._restart = asyncio.ensure_future(self._restart_later())

    async def _restart_later(self) -> None:
        await asyncio.sleep(RESTART_AFTER_CRASH_S)
        self._restart = None
        await self.start()

    def _make_connection(self) -> testing.TargetStandin:
        return _Connection(self.books)

    async def _send_heartbeats(self) -> None:
        while True:
            state = 'draining' if self.is_leaving else 'ready'
            await self._send_report('heartbeat', state)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_report(self, verb: str, state: str) -> bool:
        """Send a report; return whether the daemon acknowledged it."""
        return await self._send(self._make_report(verb, state))

    def _make_report(self, verb: str, state: str) -> transport.Request:
        self._sequence += 1
        return testing.make_report(
            self.books.target,
            verb,
            self.daemon.target_set,
            state,
            self._sequence,
            self.slots,
            self._started_at_ms,
            self.version,
        )

    async def _send(self, request: transport.Request) -> bool:
        """Send a message; return whether the daemon acknowledged it."""
        answer = await _probes.exchange(
            self.daemon.address,
            _daemons.REPORTS_PORT,
            request,
            REPORT_TIMEOUT_S,
        )
        # Without an answer the next heartbeat tries again.
        return answer is not None and answer.status == 200


def _is_closed_by_peer(stream: asyncio.Transport) -> bool:
    """Return whether everything before the end of a stream was read."""
    if stream.is_closing():
        return True
    descriptor = stream.get_extra_info('socket').fileno()
    with socket.socket(fileno=os.dup(descriptor)) as duplicate:
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return not duplicate.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True


def _do_nothing() -> None:
    """Default for callbacks of `Target`."""

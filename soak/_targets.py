"""Targets beside the daemons: they report themselves, serve and leave."""

import asyncio
from collections.abc import Callable
import time

from sedgering import platform
from sedgering import testing
from sedgering import transport
from soak import _daemons
from soak import _fatal
from soak import _keys
from soak import _long

__all__ = ['Ledger', 'Target']

SLOTS = 4
NS_PER_MS = 1_000_000
WORK_S = 0.03
BEAT_S = 0.5
BEAT_TIMEOUT_S = 1.0
#: For how long a leaving target goes on serving after its acknowledgement.
SERVE_ON_S = _daemons.DRAIN_S + 0.6
#: Between two looks at whether a leaving target has ended its work.
LOOK_S = 0.05
#: Between the end of one target and the start of the next at its address.
REUSE_AFTER_S = 0.5
#: Between the end of a target under a request and its next lifetime.
BACK_AFTER_S = 1.0


class Ledger:
    """What all targets ran.

    Attributes
    ----------
    runs : dict
        By the id of the request, the times at which it began to run.
    answers : dict
        By the id of the request, when a sound target last answered it, and
        which one.
    late_runs : list of str
        Requests that reached a target too long after its acknowledgement.
    ends_s : list of float
        When targets ended under a request.
    workspaces : dict
        By the id of the request, the workspaces that targets were told.
    keys_seen : list of str
        Requests with which a key reached a target.
    """

    def __init__(self):
        self.runs: dict[str, list[float]] = {}
        self.answers: dict[str, tuple[float, str]] = {}
        self.late_runs: list[str] = []
        self.ends_s: list[float] = []
        self.workspaces: dict[str, list[str]] = {}
        self.keys_seen: list[str] = []

    def note_fields(
        self, request_id: str, fields: list[tuple[str, str]]
    ) -> None:
        """Note who asked, as a target was told."""
        told = self.workspaces.setdefault(request_id, [])
        for name, value in fields:
            if name.lower() == platform.HEADERS.workspace.lower():
                told.append(value)
            if name.lower() == _keys.SCHEME_FIELD.lower():
                self.keys_seen.append(request_id)


class _Books(testing.TargetBooks):
    """Books of one lifetime of a target."""

    def __init__(self, target: str, ledger: Ledger):
        super().__init__(target)
        self.work_s = WORK_S
        self.ledger = ledger
        self.left_s: float | None = None
        #: Sizes of answers, by the id of the request.
        self.sizes_bytes: dict[str, int] = {}

    def note_run(self, request_id, line, headers, body) -> None:
        """Note when a request began to run."""
        super().note_run(request_id, line, headers, body)
        # The stand-in takes the time before anything else can run.
        self.work_s, self.sizes_bytes[request_id] = _long.read_work(
            line, WORK_S
        )
        for fields in self.fields:
            self.ledger.note_fields(request_id, fields)
        # A soak runs for long.
        self.fields.clear()
        now_s = time.monotonic()
        self.ledger.runs.setdefault(request_id, []).append(now_s)
        if self.left_s is not None:
            late_s = now_s - self.left_s
            if late_s > _daemons.DRAIN_S:
                self.ledger.late_runs.append(
                    f'{request_id} at {self.target}, {late_s:.2f} s late'
                )


class _Connection(testing.TargetStandin):
    """Answers each request at the size that it asks for."""

    def _finish(self, request_id: str, habit: testing.TargetHabit) -> None:
        self.state.body_bytes = self.state.sizes_bytes[request_id]
        super()._finish(request_id, habit)
        if habit is testing.TargetHabit.SOUND:
            answer = time.monotonic(), self.state.target
            self.state.ledger.answers[request_id] = answer


class Target:
    """The target of one host, through all of its lifetimes.

    Parameters
    ----------
    daemon : Daemon
        Beside it.
    ledger : Ledger
        Of all targets.
    """

    def __init__(self, daemon: _daemons.Daemon, ledger: Ledger):
        self.daemon = daemon
        self.ledger = ledger
        self.most_running = 0
        self.lifetime = 0
        self.is_leaving = False
        self.books: _Books | None = None
        self._sequence = 0
        self._born_ms = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._return: asyncio.Task | None = None
        #: Is told of each end under a request.
        self.note_end: Callable[[], None] = _ignore

    async def start(self) -> None:
        """Start a new lifetime."""
        self.lifetime += 1
        self._sequence = 0
        self._born_ms = time.time_ns() // NS_PER_MS
        self.is_leaving = False
        # Each other start keeps the id of the lifetime before.
        number = (self.lifetime + 1) // 2
        self.books = _Books(f'i-{self.daemon.name}-{number}', self.ledger)
        self.books.fatal_urls = {_fatal.FATAL_PATH}
        self.books.end = self._crash
        self._server = await asyncio.get_running_loop().create_server(
            self._make_connection,
            self.daemon.address,
            _daemons.TARGET_PORT,
        )
        self._beats = asyncio.ensure_future(self._beat())

    async def replace(self) -> None:
        """Leave with an acknowledgement, and start anew."""
        if self.is_leaving or self._return is not None:
            return
        self.is_leaving = True
        self.books.is_leaving = True
        if await self._send('heartbeat', 'draining'):
            self.books.left_s = time.monotonic()
        await asyncio.sleep(SERVE_ON_S)
        while self.books.running:
            await asyncio.sleep(LOOK_S)
        await self._send('deregister', 'draining')
        self.stop()
        await asyncio.sleep(REUSE_AFTER_S)
        await self.start()

    def stop(self) -> None:
        """End this lifetime with its connections."""
        self.most_running = max(self.most_running, self.books.most_running)
        self._beats.cancel()
        self._server.close()
        self.books.reset_connections()
        if self._return is not None:
            self._return.cancel()

    def _crash(self) -> None:
        """End this lifetime without a word."""
        self.ledger.ends_s.append(time.monotonic())
        self.note_end()
        self.stop()
        if not self.is_leaving:
            self._return = asyncio.ensure_future(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(BACK_AFTER_S)
        self._return = None
        await self.start()

    def _make_connection(self) -> testing.TargetStandin:
        return _Connection(self.books)

    async def _beat(self) -> None:
        while True:
            state = 'draining' if self.is_leaving else 'ready'
            await self._send('heartbeat', state)
            await asyncio.sleep(BEAT_S)

    async def _send(self, verb: str, state: str) -> bool:
        """Report to the daemon; say whether it acknowledged."""
        self._sequence += 1
        request = testing.make_report(
            self.books.target,
            verb,
            self.daemon.target_set,
            state,
            self._sequence,
            SLOTS,
            self._born_ms,
        )
        try:
            async with asyncio.timeout(BEAT_TIMEOUT_S):
                connection = await transport.connect(
                    self.daemon.address, _daemons.REPORTS_PORT, BEAT_TIMEOUT_S
                )
                try:
                    response = await connection.exchange(
                        transport.encode_request(request), lambda _answer: True
                    )
                finally:
                    connection.close()
        except (
            transport.ConnectFailed,
            transport.ExchangeFailed,
            TimeoutError,
        ):
            # A dead or paused daemon; the next heartbeat tries again.
            return False
        return response.status == 200


def _ignore() -> None:
    """Tell nobody."""

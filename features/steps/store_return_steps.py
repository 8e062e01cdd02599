"""Steps for one daemon and its store, on a virtual clock."""

import asyncio
import random

from behave import then
from behave import when

from sedgering import base
from sedgering import mesh
from sedgering import model
from sedgering import platform
from sedgering.platform import _carrier
from sedgering import testing
from sedgering import transport

ADDRESS = '127.0.0.1'
HOST = base.HostId('h1')
TARGET_SET = base.TargetSetName('calendar')
#: Duration of a call of the store.
ANSWER_S = 0.004
#: Time until the row of the first daemon is in the store.
SETTLE_S = 3.0
#: Time from the loss of the store to the end of the first daemon.
LEAVING_S = 3.0
GRACE_MS = 6000
#: Time from the start of the second daemon to the delayed report.
STARTED_S = 1.5
#: Interval between reports.
REPORT_S = 1.5
CHECK_INTERVAL_S = 0.01
#: Times of the return of the store, relative to the report.
OFFSETS_S = tuple(step / 50 for step in range(-15, 16))
LATE_SEQUENCE = 22
#: Seeds of the retry pauses of the second daemon.
SEEDS = range(4)


class VirtualCarrier(_carrier.StoreCarrier):
    """Passes calls to a store in the same event loop, or loses them.

    Parameters
    ----------
    service : StoreService
        Answers the calls.
    """

    def __init__(self, service: testing.StoreService):
        self.service = service
        self.is_away = False
        self._calls: set[asyncio.Task] = set()

    async def send(self, call: _carrier.StoreCall) -> _carrier.StoreAnswer:
        """Send a call; it fails while the store is down."""
        if self.is_away:
            raise _carrier.CallNotSent('away')
        task = asyncio.create_task(self._answer(call))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        await asyncio.wait((task,))
        if task.cancelled():
            raise _carrier.CallLost('away')
        return task.result()

    def renew(self) -> None:
        """Do nothing, as there are no connections."""

    def lose(self) -> None:
        """Take the store down, and lose its pending answers."""
        self.is_away = True
        for task in self._calls:
            task.cancel()

    def find(self) -> None:
        """Bring the store back."""
        self.is_away = False

    async def _answer(self, call: _carrier.StoreCall) -> _carrier.StoreAnswer:
        await asyncio.sleep(ANSWER_S)
        response = await self.service.answer(
            transport.Request(
                call.method, call.url, list(call.headers), call.body
            )
        )
        return _carrier.StoreAnswer(response.status, response.body)


class RestartedHost:
    """One host whose daemon restarts while the store is down."""

    def __init__(self, ports: list[int], seed: int):
        self.seed = seed
        loop = asyncio.get_running_loop()
        self.engine = testing.PlatformEngine(loop.time)
        self.engine.write('op', 'config', testing.make_document(1, [{}]))
        self.carrier = VirtualCarrier(testing.StoreService(self.engine))
        self.addresses = mesh.Addresses(ADDRESS, *ports[:4], ADDRESS, ports[4])
        self.daemon: mesh.MeshDaemon | None = None

    async def start_daemon(self) -> None:
        """Start the daemon, or its next process."""
        source = platform.make_mesh_source(
            platform.StoreClient(self.carrier),
            HOST,
            asyncio.get_running_loop(),
        )
        watchers = (source._config_watcher, source._member_watcher)
        for number, watcher in enumerate(watchers):
            seed = 2 * self.seed + number
            watcher.backoff._rng = random.Random(seed)
        self.daemon = mesh.make_mesh_daemon(
            mesh.MeshIdentity(HOST, base.DataCentre('hall'), TARGET_SET, 0),
            self.addresses,
            platform.HEADERS,
            mesh.MeshSettings(),
            mesh.RetryWindow(0.2, 62, 10),
            source,
            platform.MESH,
        )
        self.daemon.state.rng = random.Random(1)
        await self.daemon.start()

    def report(self, sequence: int) -> None:
        """Send a report of the target that it is ready."""
        self.daemon.take_report(
            mesh.TargetReport(
                target=base.TargetName('i-1'),
                target_set=TARGET_SET,
                sequence=sequence,
                slots=5,
                state=mesh.TargetState.READY,
                cold_ms=0,
            )
        )

    async def leave(self, deregisters: bool) -> None:
        """Shut the first daemon down while the store is down."""
        await self.start_daemon()
        self.report(1)
        await asyncio.sleep(SETTLE_S)
        assert self.daemon.state.target_client.gate.is_open
        self.carrier.lose()
        leaving = asyncio.create_task(self.daemon.leave(GRACE_MS))
        await asyncio.sleep(LEAVING_S / 2)
        if deregisters:
            self.daemon.take_leave(
                self.daemon.state.target_client.target.lifetime
            )
        await asyncio.sleep(LEAVING_S / 2)
        await self.daemon.close()
        await leaving

    async def start_again(self, offset_s: float) -> None:
        """Start the next daemon, send a report, and bring the store back."""
        await self.start_daemon()
        loop = asyncio.get_running_loop()
        loop.call_later(STARTED_S + offset_s, self.carrier.find)
        await asyncio.sleep(STARTED_S)
        self.report(LATE_SEQUENCE)

    async def was_open(self) -> bool:
        """Return whether the gate opens before the next report is due."""
        gate = self.daemon.state.target_client.gate
        end_s = asyncio.get_running_loop().time() + REPORT_S
        while asyncio.get_running_loop().time() < end_s:
            if gate.is_open:
                return True
            await asyncio.sleep(CHECK_INTERVAL_S)
        return False


async def play_deregistration(
    offset_s: float, seed: int, ports: list[int]
) -> tuple[bool, mesh.MemberRow | None]:
    """Return whether the gate opened, and the row of the daemon."""
    subject = RestartedHost(ports, seed)
    await subject.leave(True)
    await subject.start_again(offset_s)
    was_open = await subject.was_open()
    row = subject.daemon.state.target_client.row
    await subject.daemon.close()
    return was_open, row


async def play_running_target(
    offset_s: float, seed: int, ports: list[int]
) -> bool:
    """Return whether the gate opens after a second report."""
    subject = RestartedHost(ports, seed)
    await subject.leave(False)
    await subject.start_again(offset_s)
    await asyncio.sleep(REPORT_S)
    subject.report(LATE_SEQUENCE + 1)
    is_open = await subject.was_open()
    await subject.daemon.close()
    return is_open


def play_all(play) -> dict:
    """Run `play` for each return time of the store; return the results."""
    ports = testing.free_ports(5)
    return {
        (offset_s, seed): model.run_virtual(play(offset_s, seed, ports))
        for offset_s in OFFSETS_S
        for seed in SEEDS
    }


@when('a target deregisters with a leaving daemon while the store is down')
def step_deregister(context):
    context.play = play_deregistration


@when('a daemon leaves while the store is down')
def step_leaves(context):
    context.play = play_running_target


@when('the daemon starts again, and a delayed report of the target arrives')
@when('the daemon starts again, and its target reports twice')
def step_returns(context):
    context.found = play_all(context.play)


@then('the gate never opens for it, whenever the store returns')
def step_never_open(context):
    opened = [
        at_s for at_s, (was_open, _row) in context.found.items() if was_open
    ]
    assert not opened, opened


@then('the new daemon publishes no row for it')
def step_no_row(context):
    rows = [
        row for _was_open, row in context.found.values() if row is not None
    ]
    assert not rows, rows


@then('the gate opens for it, whenever the store returns')
def step_open(context):
    closed = [at_s for at_s, is_open in context.found.items() if not is_open]
    assert not closed, closed

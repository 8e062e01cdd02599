"""Steps over one daemon and its store, on a virtual clock."""

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
#: Of a call of the store.
ANSWER_S = 0.004
#: Until the first daemon has its row in the store.
SETTLE_S = 3.0
#: From the loss of the store to the end of the first daemon.
LEAVING_S = 3.0
GRACE_MS = 6000
#: From the start of the second daemon to the report.
STARTED_S = 1.5
#: From one report to the next one.
REPORT_S = 1.5
LOOK_S = 0.01
#: Moments at which the store is back, from the report.
OFFSETS_S = tuple(step / 50 for step in range(-15, 16))
LATE_SEQUENCE = 22
#: Of the pauses after which the second daemon asks the store again.
SEEDS = range(4)


class VirtualCarrier(_carrier.StoreCarrier):
    """Carries calls to a store in the same event loop, or loses them.

    Parameters
    ----------
    service : StoreService
        Answers.
    """

    def __init__(self, service: testing.StoreService):
        self.service = service
        self.is_away = False
        self._calls: set[asyncio.Task] = set()

    async def send(self, call: _carrier.StoreCall) -> _carrier.StoreAnswer:
        """Send a call, if the store is there."""
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
        """Keep no connections."""

    def lose(self) -> None:
        """Lose the store, and all that it has to answer."""
        self.is_away = True
        for task in self._calls:
            task.cancel()

    def find(self) -> None:
        """Have the store back."""
        self.is_away = False

    async def _answer(self, call: _carrier.StoreCall) -> _carrier.StoreAnswer:
        await asyncio.sleep(ANSWER_S)
        response = await self.service.answer(
            transport.Request(
                call.method, call.url, list(call.headers), call.body
            )
        )
        return _carrier.StoreAnswer(response.status, response.body)


class ReturningStore:
    """One host whose daemon starts again while the store is away."""

    def __init__(self, ports: list[int], seed: int):
        self.seed = seed
        loop = asyncio.get_running_loop()
        self.engine = testing.PlatformEngine(loop.time)
        self.engine.write('op', 'config', testing.make_document(1, [{}]))
        self.carrier = VirtualCarrier(testing.StoreService(self.engine))
        self.addresses = mesh.Addresses(ADDRESS, *ports[:4], ADDRESS, ports[4])
        self.daemon: mesh.MeshDaemon | None = None

    async def start_daemon(self) -> None:
        """Start the daemon, or its next lifetime."""
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
        """Let the target say that it is ready."""
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

    async def leave(self, says_goodbye: bool) -> None:
        """Let the first daemon leave without the store."""
        await self.start_daemon()
        self.report(1)
        await asyncio.sleep(SETTLE_S)
        assert self.daemon.state.target_client.gate.is_open
        self.carrier.lose()
        leaving = asyncio.create_task(self.daemon.leave(GRACE_MS))
        await asyncio.sleep(LEAVING_S / 2)
        if says_goodbye:
            self.daemon.take_leave(
                self.daemon.state.target_client.target.lifetime
            )
        await asyncio.sleep(LEAVING_S / 2)
        await self.daemon.close()
        await leaving

    async def start_again(self, offset_s: float) -> None:
        """Start the next daemon; a report comes, and the store is back."""
        await self.start_daemon()
        loop = asyncio.get_running_loop()
        loop.call_later(STARTED_S + offset_s, self.carrier.find)
        await asyncio.sleep(STARTED_S)
        self.report(LATE_SEQUENCE)

    async def was_open(self) -> bool:
        """Say whether the gate opens until the next report would come."""
        gate = self.daemon.state.target_client.gate
        end_s = asyncio.get_running_loop().time() + REPORT_S
        while asyncio.get_running_loop().time() < end_s:
            if gate.is_open:
                return True
            await asyncio.sleep(LOOK_S)
        return False


async def play_goodbye(
    offset_s: float, seed: int, ports: list[int]
) -> tuple[bool, mesh.MemberRow | None]:
    """Return whether the gate opened, and the row of the daemon."""
    store = ReturningStore(ports, seed)
    await store.leave(True)
    await store.start_again(offset_s)
    was_open = await store.was_open()
    row = store.daemon.state.target_client.row
    await store.daemon.close()
    return was_open, row


async def play_stay(offset_s: float, seed: int, ports: list[int]) -> bool:
    """Return whether the gate is open soon after a second report."""
    store = ReturningStore(ports, seed)
    await store.leave(False)
    await store.start_again(offset_s)
    await asyncio.sleep(REPORT_S)
    store.report(LATE_SEQUENCE + 1)
    is_open = await store.was_open()
    await store.daemon.close()
    return is_open


def play_all(play) -> dict:
    """Play each moment of the store's return; return what came of it."""
    ports = testing.free_ports(5)
    return {
        (offset_s, seed): model.run_virtual(play(offset_s, seed, ports))
        for offset_s in OFFSETS_S
        for seed in SEEDS
    }


@when('a target says goodbye to a leaving daemon while the store is away')
def step_goodbye(context):
    context.play = play_goodbye


@when('a daemon leaves while the store is away')
def step_leaves(context):
    context.play = play_stay


@when('the daemon starts again, and a late report of the target comes')
@when('the daemon starts again, and its target reports twice')
def step_returns(context):
    context.found = play_all(context.play)


@then("at no moment of the store's return does the gate open for it")
def step_never_open(context):
    opened = [
        at_s for at_s, (was_open, _row) in context.found.items() if was_open
    ]
    assert not opened, opened


@then('no row of the new daemon says that it is there')
def step_no_row(context):
    rows = [
        row for _was_open, row in context.found.values() if row is not None
    ]
    assert not rows, rows


@then("at each moment of the store's return the gate is open for it")
def step_open(context):
    closed = [at_s for at_s, is_open in context.found.items() if not is_open]
    assert not closed, closed

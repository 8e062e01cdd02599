"""Steps for departures of targets that outlive the daemon beside them."""

import asyncio
import json
import threading

from behave import given
from behave import then
from behave import when
import msgspec

from sedgering import mesh
from sedgering.mesh import _departure_notice
from sedgering.mesh import _departure_witness
from sedgering.mesh import _inbound
from sedgering import testing
from sedgering import transport

GRACE_MS = 2000
#: How long a leaving daemon accepts requests; short, to save time.
LEAVE_SERVING_MS = 100
CALLS = 20
#: How long a gate is watched.
WATCH_S = 1.0
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
BORN_MS = 10


class Departing:
    """A mesh of two hosts, whose second target leaves.

    Attributes
    ----------
    host : MeshHost
        Host of the target that leaves.
    """

    def __init__(self):
        settings = mesh.MeshSettings(leave_serving_ms=LEAVE_SERVING_MS)
        self.fleet = testing.MeshFleet(settings)
        self.fleet.configure(testing.make_document(1, [{}]))
        self.first, self.host = (
            self.fleet.add_host(name) for name in ('h1', 'h2')
        )
        self.host.born_ms = BORN_MS
        self.fleet.report(self.host)
        self.fleet.wait_ready()
        self.blind: testing.MeshHost | None = None
        #: Ends when the daemon has left.
        self.leaving: threading.Thread | None = None

    @property
    def gate(self):
        """Gate of the daemon beside the target."""
        return self.host.daemon.state.target_client.gate

    def leave(self, how: str) -> list[int]:
        """Let the target leave; return the statuses that it got."""
        host = self.host
        host.books.is_leaving = True
        statuses = []
        if 'crashes' in how:
            self.fleet.run(self._mark_crashed())
        if 'draining' in how:
            statuses.append(self.fleet.report(host, 'draining'))
        if 'deregisters' in how:
            statuses.append(self.fleet.deregister(host))
        return statuses

    async def _mark_crashed(self) -> None:
        target = self.host.daemon.state.target_client.target
        assert target.mark_crashed(target.lifetime)

    def end_daemon(self, how: str) -> None:
        """End the daemon once or more, and start it again each time."""
        if how == 'begins to leave':
            self._begin_to_leave()
            return
        self._finish_leaving()
        ends = {
            'killed': [self._kill],
            'killed twice': [self._kill, self._kill],
            'told to leave': [self._terminate],
            'told to leave twice': [self._terminate, self._terminate],
            'killed and then told to leave': [self._kill, self._terminate],
            'told to leave and then killed': [self._terminate, self._kill],
        }
        for end in ends[how.removeprefix('is ')]:
            end()
            self.fleet.restart(self.host)

    def _kill(self) -> None:
        self.fleet.kill(self.host)

    def _terminate(self) -> None:
        self.fleet.terminate(self.host, GRACE_MS)

    def _begin_to_leave(self) -> None:
        """Tell the daemon to leave, and go on."""
        self.leaving = threading.Thread(target=self._terminate)
        self.leaving.start()
        self.fleet.wait_for(lambda: self.host.daemon.is_leaving)

    def _finish_leaving(self) -> None:
        if self.leaving is not None:
            self.leaving.join()

    def read_row(self) -> mesh.MemberRow | None:
        """Return the row of the host in the store."""
        return self.fleet.read_member(self.host)

    @property
    def is_store_sound(self) -> bool:
        """Whether the store answers."""
        return self.fleet.engine.faults.mode is testing.StoreMode.SOUND

    def wait_known(self) -> None:
        """Wait until the daemon may know that the target has left."""
        daemon = self.host.daemon
        target = daemon.state.target_client.target
        left = mesh.Lifetime(self.host.books.target, self.host.born_ms)
        self.fleet.wait_for(
            lambda: (
                daemon.is_ready
                if self.is_store_sound
                else target.has_ended(left) or target.report is not None
            )
        )

    def add_blind_host(self) -> None:
        """Add a host that goes on sending calls to a target that has left."""
        self.blind = self.fleet.add_host('h3')
        self.fleet.wait_ready()
        daemon = self.blind.daemon
        daemon.source.merge_members = lambda _update: None
        daemon.source._member_watcher.post = lambda _update: None
        daemon.state.apply_reported_row = lambda _row: False

    def call(self) -> None:
        """Send calls at all hosts that are ready."""
        hosts = [self.first, self.host]
        if self.blind is not None:
            hosts.append(self.blind)
        if self.is_store_sound:
            self.fleet.wait_for(lambda: self.host.daemon.is_ready)
        for host in hosts:
            if not host.daemon.is_ready:
                continue
            for number in range(CALLS):
                answer = self.fleet.call(
                    host.addresses.callers_port,
                    '/r0/',
                    X_Request_Id=f'{host.name}-{number}',
                    X_Request_Deadline='2000',
                )
                assert answer.status == STATUS_OK, answer

    def wait_available(self, target: str) -> None:
        """Wait until the gate is open for a target, and calls reach it."""
        client = self.host.daemon.state.target_client
        self.fleet.wait_for(
            lambda: self.gate.is_open and client.target.target == target
        )
        fleet_table = self.first.daemon.state.fleet
        self.fleet.wait_for(
            lambda: any(
                row.target == target
                for row in fleet_table.ready_by_set['calendar']
            )
        )


@given('a mesh whose second target is about to leave')
def step_mesh(context):
    context.departing = Departing()
    context.cleanups.append(context.departing.fleet.stop)


@when('that target {how}, which is acknowledged')
def step_leaves(context, how):
    statuses = context.departing.leave(how)
    assert set(statuses) == {STATUS_OK}, statuses


@when('its daemon {how}')
def step_ends(context, how):
    context.departing.end_daemon(how)


@when('{count:d} delayed reports of that target arrive')
def step_delayed(context, count):
    """Send some before the daemon can know its row, and some after that."""
    departing = context.departing
    for number in range(count):
        if number == count // 2:
            departing.wait_known()
        departing.fleet.report(departing.host)


@then('no call reaches that target')
def step_no_call(context):
    departing = context.departing
    departing.fleet.wait_for(lambda: not departing.gate.is_open)
    departing.call()
    assert not departing.gate.is_open
    assert not departing.host.books.arrivals, departing.host.books.arrivals


@then('its row in the store tells that it has left')
def step_row(context):
    departing = context.departing
    row = departing.read_row()
    assert row.target == departing.host.books.target, row
    assert row.state.is_final, row


@given('its health check is {health}')
def step_health(context, health):
    context.departing.host.books.is_unhealthy = health == 'wrong'


@when(
    'another one takes its place under {identity}, with a health check that '
    'is {health}'
)
def step_next(context, identity, health):
    host = context.departing.host
    host.books.is_leaving = False
    host.books.is_unhealthy = health == 'wrong'
    host.born_ms += BORN_MS
    host.sequence = 0
    if identity == 'another id':
        host.books.target = 'i-next'


@when('it reports that it is ready {count:d} times')
def step_reports(context, count):
    for _ in range(count):
        context.departing.fleet.report(context.departing.host)


@then('that target is available')
def step_available(context):
    context.departing.wait_available(context.departing.host.books.target)


@given('a third host that learns of no departure')
def step_blind(context):
    context.departing.add_blind_host()


@given('the store becomes {mode}')
@when('the store becomes {mode}')
def step_store_mode(context, mode):
    faults = context.departing.fleet.engine.faults
    faults.mode = testing.StoreMode(mode)


@when('the store is back')
def step_store_back(context):
    faults = context.departing.fleet.engine.faults
    faults.mode = testing.StoreMode.SOUND


@when(
    'the store is {state} before {count:d} delayed reports of that target '
    'arrive'
)
def step_store_then_reports(context, state, count):
    if state == 'back':
        step_store_back(context)
    step_delayed(context, count)


@then('in the end its row in the store tells that it has left')
def step_row_in_the_end(context):
    departing = context.departing
    departing.fleet.engine.faults.mode = testing.StoreMode.SOUND

    def has_left() -> bool:
        row = departing.read_row()
        return row is not None and row.state.is_final

    departing.fleet.wait_for(has_left)
    departing.fleet.wait_for(lambda: departing.host.daemon.is_ready)
    assert has_left()
    assert not departing.gate.is_open


@given('its daemon reaches no other daemon')
def step_no_witness(context):
    """Let all notices fail, as in a cut."""
    fleet = context.departing.host.daemon.state.fleet
    fleet.members = {
        host: row
        for host, row in fleet.members.items()
        if host == context.departing.host.name
    }


@when('that target deregisters, which is refused with code {code:d}')
def step_refused(context, code):
    departing = context.departing
    departing.host.books.is_leaving = True
    answer = departing.fleet.send_report(departing.host, 'deregister')
    assert answer.status == STATUS_UNAVAILABLE, answer
    assert answer.find('retry-after'), answer
    assert json.loads(answer.body)['code'] == code, answer.body


@when('{count:d} delayed reports wait for the start of its next daemon')
def step_waiting_reports(context, count):
    """Let a daemon read reports before anything else."""
    departing = context.departing
    host = departing.host
    departing.fleet.kill(host)

    async def start() -> None:
        await departing.fleet.start_daemon(host)
        for _ in range(count):
            host.sequence += 1
            host.daemon.take_report(
                mesh.TargetReport(
                    target=host.books.target,
                    target_set=host.target_set,
                    slots=host.slots,
                    state=mesh.TargetState.READY,
                    cold_ms=0,
                    sequence=host.sequence,
                    born_ms=host.born_ms,
                )
            )

    departing.fleet.run(start())


@then('its gate never opens')
def step_never_opens(context):
    gate = context.departing.gate

    async def watch() -> bool:
        end_s = asyncio.get_running_loop().time() + WATCH_S
        while asyncio.get_running_loop().time() < end_s:
            if gate.is_open:
                return True
            await asyncio.sleep(0.002)
        return False

    assert not context.departing.fleet.run(watch())


@when('all daemons are ready again')
def step_ready(context):
    context.departing.fleet.wait_ready()


@when('a target that was there before it deregisters')
def step_earlier(context):
    departing = context.departing
    own = departing.host.books.target
    departing.host.books.target = 'i-earlier'
    departing.fleet.deregister(departing.host)
    departing.host.books.target = own


@then('its gate is {state}')
def step_gate(context, state):
    gate = context.departing.gate
    context.departing.fleet.wait_for(lambda: gate.is_open == (state == 'open'))


@then('no daemon remembers a departure')
def step_forgotten(context):
    for host in context.departing.fleet.hosts.values():
        context.departing.fleet.wait_for(
            lambda h=host: not len(h.daemon.witness)
        )


#: Rows of a host, whose target 'i-1' born at 20 leaves.
KNOWN_ROWS = {
    'that target': ('i-1', 20),
    'an earlier lifetime': ('i-1', 10),
    'a later lifetime': ('i-1', 30),
    'an earlier target': ('i-0', 10),
    'another target': ('i-2', 30),
}


def make_known_row(known: str) -> mesh.MemberRow | None:
    """Make the row that a witness knows; None for no target."""
    if known not in KNOWN_ROWS:
        return None
    target, born_ms = KNOWN_ROWS[known]
    return testing.make_member_row('h1', target=target, born_ms=born_ms)


@given('a witness that knows {known} beside the daemon')
def step_witness(context, known):
    context.rows = [make_known_row(known)]


@when('it is told that a target leaves, and knows {later} after that')
def step_told(context, later):
    context.remembered = asyncio.run(witness_departure(context, later))


async def witness_departure(context, later: str) -> int:
    """Return how many departures are remembered in the end."""
    tasks = []
    witness = _departure_witness.DepartureWitness(
        lambda _host: context.rows[-1],
        lambda work: tasks.append(asyncio.ensure_future(work)),
    )
    row = make_known_row('that target')
    port = testing.free_ports(1)[0]
    witness.note(
        msgspec.structs.replace(
            row, state=mesh.TargetState.GONE, address='127.0.0.1', port=port
        )
    )
    context.rows.append(make_known_row(later))
    # The first reminder is under way; the next look comes after it.
    await asyncio.wait(tasks, timeout=0.5)
    remembered = len(witness)
    for task in tasks:
        task.cancel()
    return remembered


@then('the departure is {result}')
def step_remembered(context, result):
    assert context.remembered == (result == 'remembered'), result


@then('a departure notice {of} is answered {status:d}')
def step_notice(context, of, status):
    """Pass a notice to the service that other daemons call."""
    state = mesh.TargetState.GONE
    if of == 'of a ready target':
        state = mesh.TargetState.READY
    row = testing.make_member_row('h1', state=state)
    if of == 'of a row without a port':
        row = msgspec.structs.replace(row, port=0)
    data = _departure_notice.encode_notice(row)
    body = data.partition(b'\r\n\r\n')[2]
    if of == 'that is truncated':
        body = body[:-1]
    service = _inbound.InboundService(None, None, None, None, None)
    answer = service.begin(
        transport.Request(
            'POST', '/', [(_departure_notice.HEADER, '1')], body, True
        )
    )
    assert answer.status == status, answer

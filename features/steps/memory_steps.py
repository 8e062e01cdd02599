"""Steps for the memory of a daemon that lives long."""

import asyncio
import collections
import gc
import time

from behave import given
from behave import then
from behave import when

from sedgering import mesh
from sedgering.mesh import _quota_client
from sedgering.mesh import _trials
from sedgering import testing

SILENCE_MS = 100
SLOTS = 20
AT_ONCE = 15
WORK_S = 0.02
LEAVE_S = 0.01
BRIEF_MS = 10
PATIENT_MS = 600
FOREVER_S = 3600
#: Time within which pings of silent peers and the tasks of a start end.
SETTLE_S = 1.5
#: Collections that follow the time, or the kinds of answers seen so far.
BOUNDED = ('_Counts.buckets', 'GateLog._counts', 'RequestCounts.counts')
#: Entries of each peer at most, once it has answered: a report, and for the
#: only route its name, its work time and the time of that report.
MOST_PER_PEER = {'LoadReport': 1, 'Peer._route_work': 3}


class MemorySubject:
    """A host without a target of the route, and two peers that have one."""

    def __init__(self, answers: str):
        settings = mesh.MeshSettings(silence_ms=SILENCE_MS)
        self.fleet = testing.MeshFleet(settings)
        self.front = self.fleet.add_host('front', 'ledger')
        self.odd = self.fleet.add_host('odd')
        self.sound = self.fleet.add_host('sound')
        for host in self.fleet.hosts.values():
            host.slots = SLOTS
            host.born_ms = 1
            host.books.work_s = WORK_S
            self.fleet.report(host)
        self.fleet.configure(testing.make_document(1, [{}]))
        self.fleet.wait_ready()
        # Each silent attempt is overtaken by another one.
        self.front.daemon.state.budget.extra = 10_000
        if answers == 'hangs':
            target_client = self.odd.daemon.state.target_client
            target_client.run = _wait_forever
        elif answers == 'is silent':
            self.odd.daemon.inbound.begin = _wait_forever
        self.before = collections.Counter()
        self.ended = 0
        self.version = 1

    async def send(self, number: int, end: str) -> None:
        """Send one request; a third of them ends early."""
        is_early = not number % 3
        is_left = is_early and end in (
            'the caller leaves',
            'the peer is replaced',
        )
        is_brief = is_early and end == 'the deadline passes'
        call = asyncio.ensure_future(
            self.fleet.start_call(
                self.front.addresses.callers_port,
                '/r0/',
                X_Request_Id=f'{number}',
                X_Request_Deadline=str(BRIEF_MS if is_brief else PATIENT_MS),
            )
        )
        await asyncio.wait((call,), timeout=LEAVE_S if is_left else None)
        self.ended += not call.done()
        call.cancel()

    async def send_all(self, count: int, end: str) -> None:
        """Send requests, some at a time."""
        for first in range(0, count, AT_ONCE):
            numbers = range(first, first + AT_ONCE)
            calls = asyncio.gather(*(self.send(item, end) for item in numbers))
            if end == 'the peer is replaced':
                await asyncio.sleep(LEAVE_S / 2)
                await self.replace_peer()
            await calls

    def rename_all(self, count: int) -> None:
        """Serve requests under versions that name nothing as before."""
        for _ in range(count):
            self.version += 1
            route = {
                'name': f'route-{self.version}',
                'split': [
                    {'service': 'calendar', 'weight': 1},
                    {'service': f'none-{self.version}', 'weight': 1},
                ],
            }
            self.fleet.configure(testing.make_document(self.version, [route]))
            self.fleet.wait_for(
                lambda: all(
                    host.daemon.state.config.version == self.version
                    for host in self.fleet.hosts.values()
                )
            )
            self.fleet.run(self.send_all(AT_ONCE, 'all are answered'))

    async def replace_peer(self) -> None:
        """Let the target of the odd host report another lifetime."""
        self.odd.born_ms += 1
        row = self.front.daemon.state.fleet.members['odd']
        self.front.daemon.state.apply_reported_row(
            mesh.MemberRow(
                **{
                    name: getattr(row, name)
                    for name in row.__struct_fields__
                    if name != 'born_ms'
                },
                born_ms=self.odd.born_ms,
            )
        )

    def count(self) -> collections.Counter:
        """Count all entries, tasks and futures once no request is left."""
        self.fleet.run(self._close_idle())
        self.fleet.wait_for(
            lambda: (
                not any(
                    service.connections
                    for host in self.fleet.hosts.values()
                    for service in (host.daemon.outbound, host.daemon.inbound)
                )
            )
        )
        return self.fleet.run(self._count())

    def find_grown(self) -> dict[str, tuple[int, int]]:
        """Return the counts before and after of what has grown."""
        peers = len(self.front.daemon.state.peers._peers)
        per_peer = {name: n * peers for name, n in MOST_PER_PEER.items()}
        bounds = self.before | collections.Counter(per_peer)
        return {
            name: (bounds[name], count)
            for name, count in self.count().items()
            if count > bounds[name]
        }

    async def _close_idle(self) -> None:
        for peer in self.front.daemon.state.peers._peers.values():
            peer.pool.close()

    async def _count(self) -> collections.Counter:
        gc.collect()
        counts = testing.count_entries(self.front.daemon)
        for name in BOUNDED:
            counts.pop(name, None)
        counts['task'] = len(asyncio.all_tasks())
        objects = gc.get_objects()
        counts['future'] = sum(type(i) is asyncio.Future for i in objects)
        return counts


async def _wait_forever(_call) -> None:
    await asyncio.sleep(FOREVER_S)


@given('a front host, a sound peer, and a peer that {answers}')
def step_hosts(context, answers):
    context.memory = MemorySubject(answers)
    context.cleanups.append(context.memory.fleet.stop)


@given('{count:d} requests came of which a third ended early: {end}')
def step_came(context, count, end):
    memory = context.memory
    memory.fleet.run(memory.send_all(count, end))
    # The daemons of the other hosts may still be starting their watches.
    time.sleep(SETTLE_S)
    memory.before = memory.count()


@when('{count:d} more requests come of which a third ends early: {end}')
def step_come(context, count, end):
    memory = context.memory
    memory.fleet.run(memory.send_all(count, end))


@given('{count:d} versions came that renamed the route and its service')
def step_renamed(context, count):
    memory = context.memory
    memory.rename_all(count)
    time.sleep(SETTLE_S)
    memory.before = memory.count()


@when('{count:d} more versions come that rename the route and its service')
def step_rename(context, count):
    context.memory.rename_all(count)


@then('nothing is left of them in any table of the front host')
def step_nothing_left(context):
    memory = context.memory
    until_s = time.monotonic() + SETTLE_S
    while (grown := memory.find_grown()) and time.monotonic() < until_s:
        time.sleep(LEAVE_S)
    assert not grown, grown


@given('a retry window of {window_s:d} s that counted requests to "{name}"')
def step_window(context, window_s, name):
    context.window = mesh.RetryWindow(0.2, 0, window_s)
    for _ in range(10):
        context.window.note_request(name, 0.0)
    context.name = name


@then('it still counts them after {now_s:d} s without that target set')
def step_still_counts(context, now_s):
    context.window.retain((), now_s)
    # A fifth of ten requests allows two retries.
    allowed = [context.window.take(context.name, now_s) for _ in range(3)]
    assert allowed == [True, True, False], allowed


@then('it has dropped them after {now_s:d} s without that target set')
def step_dropped(context, now_s):
    context.window.retain((), now_s)
    assert not testing.count_entries(context.window)['RetryWindow._counts']


class IdleServer(asyncio.Protocol):
    """Accepts connections and answers nothing."""


@given('a connection taken from the pool of a peer')
def step_taken(context):
    context.peers = mesh.PeerTable(mesh.MeshSettings())

    async def take():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(IdleServer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        row = testing.make_member_row('odd', address='127.0.0.1', port=port)
        connection = await context.peers.find(row).pool.take()
        return server, row, connection

    context.loop = asyncio.new_event_loop()
    context.cleanups.append(context.loop.close)
    taken = context.loop.run_until_complete(take())
    context.server, context.row, context.connection = taken


@when('the peer {goes} before the call on that connection ends')
def step_goes(context, goes):
    context.pool = context.peers.find(context.row).pool
    if goes == 'leaves the fleet':
        context.peers.retain(frozenset())
        return
    fields = {'port': context.row.port + 1}
    context.peers.find(testing.make_member_row('odd', **fields))


@then('the connection is closed once the call has ended')
def step_closed(context):
    async def end():
        context.pool.put(context.connection)
        await asyncio.sleep(0.01)
        is_closed = context.connection.transport.is_closing()
        context.connection.close()
        context.server.close()
        await asyncio.sleep(0.01)
        return is_closed

    assert context.loop.run_until_complete(end())


@given('a suspect request that runs')
def step_suspect(context):
    context.trials = _trials.TrialScheduler()
    assert context.trials.try_start('suspect', 1)


@when('{count:d} calls that wait for its end are cancelled')
def step_cancelled(context, count):
    async def wait_and_leave():
        for _ in range(count):
            waiting = asyncio.ensure_future(context.trials.wait())
            await asyncio.wait((waiting,), timeout=0)
            waiting.cancel()
        await asyncio.sleep(0)

    asyncio.run(wait_and_leave())


@then('nobody waits for its end any more')
def step_nobody_waits(context):
    counts = testing.count_entries(context.trials)
    assert not counts['TrialScheduler._waiters'], counts


@given(
    'a daemon that has backed off from {count:d} hosts as relays and '
    'allocators'
)
def step_backed_off(context, count):
    """Let relays and allocators fail, as far as a daemon knows."""
    fleet = testing.MeshFleet()
    context.cleanups.append(fleet.stop)
    context.daemon = fleet.add_host('front').daemon
    context.rows = [testing.make_member_row(f'h{n}') for n in range(count)]
    context.members = {row.host: row for row in context.rows}
    context.daemon.state.fleet.replace(context.members, [])
    follower = context.daemon.follower
    follower._find_candidates()
    client = _quota_client.PartitionClient(
        context.daemon.state.quotas, 'p-0', 0.0
    )
    context.client = client
    client.set_ranked([*context.members])
    for row in context.rows:
        follower._back_off(follower._slots[0], row, 'silent')
        client.session.note_timeout(row.host, 0.0)


@when('all but {count:d} of them have left the fleet')
def step_left(context, count):
    left = {row.host: row for row in context.rows[:count]}
    context.daemon.state.fleet.replace(left, [])
    context.daemon.follower._find_candidates()
    context.client.set_ranked([*left])


@then('it remembers pauses of no more than {limit:d} hosts')
def step_pauses(context, limit):
    counts = testing.count_entries(context.daemon.follower)
    counts += testing.count_entries(context.client.session)
    pauses = {name: counts[name] for name in counts if '_backoff' in name}
    assert pauses and max(pauses.values()) <= limit, pauses


#: Gauges of what a request enters.
ENTERED = (
    'attempts_in_flight',
    'caller_connections',
    'request_body_bytes',
    'silence_watchers',
)


def _read_gauges(memory: MemorySubject) -> dict[str, float]:
    """Read the gauges in the metrics of the front host."""

    async def render():
        return memory.front.daemon.render_metrics().decode()

    lines = memory.fleet.run(render()).splitlines()
    return {
        name.removeprefix('sedgering_'): float(value)
        for name, _space, value in (line.partition(' ') for line in lines)
        if '{' not in name and name != '#'
    }


@when('{count:d} callers wait for a slow answer')
def step_callers_wait(context, count):
    memory = context.memory
    memory.before_gauges = _read_gauges(memory)
    for host in (memory.odd, memory.sound):
        host.books.work_s = FOREVER_S

    async def start():
        port = memory.front.addresses.callers_port
        memory.calls = [
            asyncio.ensure_future(
                memory.fleet.start_call(
                    port,
                    '/r0/',
                    b'body',
                    X_Request_Id=f'slow-{number}',
                    X_Request_Deadline='1000',
                )
            )
            for number in range(count)
        ]

    memory.fleet.run(start())
    memory.fleet.wait_for(
        lambda: memory.odd.books.running + memory.sound.books.running >= count
    )


@then(
    'the gauges of the front host show {count:d} attempts and what they '
    'entered'
)
def step_gauges(context, count):
    gauges = _read_gauges(context.memory)
    assert gauges['attempts_in_flight'] >= count, gauges
    assert gauges['silence_watchers'] == gauges['attempts_in_flight'], gauges
    assert gauges['caller_connections'] == count, gauges
    assert gauges['request_body_bytes'] >= count * len(b'body'), gauges
    assert gauges['tasks'] > context.memory.before_gauges['tasks'], gauges
    assert gauges['peers'] >= 2, gauges
    assert gauges['resident_bytes'] > 1e6, gauges


@then('all of these are 0 once the callers have left')
def step_gauges_after(context):
    memory = context.memory

    async def leave():
        for call in memory.calls:
            call.cancel()

    memory.fleet.run(leave())

    def find_left() -> dict[str, float]:
        gauges = _read_gauges(memory)
        return {name: gauges[name] for name in ENTERED if gauges[name]}

    until_s = time.monotonic() + SETTLE_S
    while (left := find_left()) and time.monotonic() < until_s:
        time.sleep(LEAVE_S)
    assert not left, left


@given('a daemon that fetches quota tokens')
def step_quota_client(context):
    fleet = context.fleet = testing.MeshFleet()
    context.cleanups.append(fleet.stop)
    quotas = fleet.add_host('front').daemon.state.quotas
    context.client = _quota_client.PartitionClient(quotas, 'p-0', 0.0)


@when('a request of each of {count:d} workspaces waits for a token in vain')
def step_tokens(context, count):
    async def wait_all():
        until_s = asyncio.get_running_loop().time() + LEAVE_S
        return await asyncio.gather(
            *(context.client.wait(f'w-{n}', until_s) for n in range(count))
        )

    assert not any(context.fleet.run(wait_all()))


@then('no queue of any workspace is left')
def step_no_queue(context):
    assert not context.client._waiting, context.client._waiting

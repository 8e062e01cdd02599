"""Steps for the bound of all response bodies together."""

import asyncio
import math

from behave import given
from behave import then
from behave import when

from sedgering import platform
from sedgering import testing
from sedgering import transport

ADDRESS = '127.0.0.1'
BYTES_PER_MB = 1024 * 1024
LARGE_BYTES = 12 * BYTES_PER_MB
PIECE = b'x' * (64 * 1024)
#: Read of a connection beyond the room that it has: what is small, and one
#: read of the event loop.
EXCESS_BYTES = (64 + 256) * 1024
TIMEOUT_S = 20
#: More than there are requests.
SLOTS = 18
CHUNKED = 'Transfer-Encoding: chunked'
#: Field that delimits the body, and bytes sent; None for no end.
BODIES = {
    'chunks without an end': (CHUNKED, None),
    'bytes until the connection closes': ('Connection: close', None),
    'chunks that stop after 10 MB': (CHUNKED, 10 * BYTES_PER_MB),
    '11 MB of 12 MB': (f'Content-Length: {LARGE_BYTES}', 11 * BYTES_PER_MB),
    '20 kB': ('Content-Length: 20000', 20_000),
    '12 MB': (f'Content-Length: {LARGE_BYTES}', LARGE_BYTES),
    '12 MB in chunks': (CHUNKED, LARGE_BYTES),
    '17 MB': (f'Content-Length: {17 * BYTES_PER_MB}', 17 * BYTES_PER_MB),
}
UNFINISHED = 'chunks that stop after 10 MB'


class BodySubject:
    """Exchanges with a target, and what they hold together."""

    def __init__(self, bound_mb: int):
        self.loop = asyncio.new_event_loop()
        self.bound_bytes = bound_mb * BYTES_PER_MB
        self.memory = transport.ResponseMemory(self.bound_bytes)
        self.server = self.loop.run_until_complete(
            asyncio.start_server(self._serve, ADDRESS)
        )
        self.senders: set[asyncio.Task] = set()
        #: Connections that the client has closed early.
        self.send_errors: list[OSError] = []
        self.exchanges: dict[asyncio.Task, transport.ClientConnection] = {}
        self.most_held_bytes = 0

    async def _serve(self, reader, writer) -> None:
        self.senders.add(asyncio.current_task())
        request = await reader.readuntil(b'\r\n\r\n')
        name = request.decode().split('\r\n')[1].partition(': ')[2]
        field, size_bytes = BODIES[name]
        writer.write(f'HTTP/1.1 200 OK\r\n{field}\r\n\r\n'.encode())
        try:
            sent_bytes = 0
            while size_bytes is None or sent_bytes < size_bytes:
                piece = PIECE
                if size_bytes is not None:
                    piece = PIECE[: size_bytes - sent_bytes]
                sent_bytes += len(piece)
                if field == CHUNKED:
                    piece = b'%x\r\n%b\r\n' % (len(piece), piece)
                writer.write(piece)
                await writer.drain()
            if field == CHUNKED and name != UNFINISHED:
                writer.write(b'0\r\n\r\n')
            await reader.read()
        except OSError as error:
            self.send_errors.append(error)
        finally:
            writer.transport.abort()

    async def request(self, name: str) -> asyncio.Task:
        """Begin a request that is answered with a body."""
        port = self.server.sockets[0].getsockname()[1]
        connection = await transport.connect(
            ADDRESS, port, TIMEOUT_S, self.memory
        )
        data = f'GET / HTTP/1.1\r\nBody: {name}\r\n\r\n'.encode()
        task = self.loop.create_task(
            connection.exchange(data, lambda _response: True)
        )
        self.exchanges[task] = connection
        return task

    async def request_many(self, name: str, count: int) -> list[asyncio.Task]:
        """Begin several requests, and let their answers begin."""
        tasks = [await self.request(name) for _ in range(count)]
        while not all(self.exchanges[task].received_bytes for task in tasks):
            self._note_held()
            await asyncio.sleep(0)
        return tasks

    async def wait(self, tasks: list[asyncio.Task]) -> None:
        """Wait for exchanges, and note the most that is held meanwhile."""
        async with asyncio.timeout(TIMEOUT_S):
            while not all(task.done() for task in tasks):
                self._note_held()
                await asyncio.sleep(0)

    def _note_held(self) -> None:
        held_bytes = sum(
            connection.received_bytes
            for task, connection in self.exchanges.items()
            if not task.done()
        )
        self.most_held_bytes = max(self.most_held_bytes, held_bytes)

    async def _cancel(self) -> None:
        for task in (*self.exchanges, *self.senders):
            task.cancel()
        await asyncio.gather(
            *self.exchanges, *self.senders, return_exceptions=True
        )
        # Aborted connections end in the next iteration of the event loop.
        await asyncio.sleep(0)

    def cancel(self) -> None:
        """Cancel all exchanges."""
        self.loop.run_until_complete(self._cancel())

    def close(self) -> None:
        """End everything."""
        self.server.close()
        self.cancel()
        self.loop.close()


@given('response data of {bound:d} MB in all')
def step_bound(context, bound):
    context.bodies = BodySubject(bound)
    context.add_cleanup(context.bodies.close)


@when('{count:d} requests are answered with {name}')
def step_requests(context, count, name):
    bodies = context.bodies
    context.tasks = bodies.loop.run_until_complete(
        bodies.request_many(name, count)
    )


@when('further requests are answered with {small} and with {large}')
def step_further(context, small, large):
    bodies = context.bodies
    tasks = [
        bodies.loop.run_until_complete(bodies.request(name))
        for name in (small, large)
    ]
    bodies.loop.run_until_complete(bodies.wait(tasks))
    context.further = tasks


@then('the further answers arrive completely')
def step_further_arrive(context):
    sizes = [len(task.result().body) for task in context.further]
    assert sizes == [20_000, LARGE_BYTES], sizes


@then('all answers arrive completely')
def step_all_arrive(context):
    bodies = context.bodies
    bodies.loop.run_until_complete(bodies.wait(context.tasks))
    sizes = {len(task.result().body) for task in context.tasks}
    assert sizes == {LARGE_BYTES}, sizes


@then('no more than the bound was held')
def step_held(context):
    bodies = context.bodies
    most_bytes = max(bodies.bound_bytes, LARGE_BYTES)
    most_bytes += len(bodies.exchanges) * EXCESS_BYTES
    assert 0 < bodies.most_held_bytes <= most_bytes, bodies.most_held_bytes


@then('nothing gave way')
def step_none_gave_way(context):
    assert context.bodies.memory.released_holders == 0


@then('they fail with less than 1 MB received')
def step_fail_early(context):
    bodies = context.bodies
    bodies.loop.run_until_complete(bodies.wait(context.tasks))
    for task in context.tasks:
        assert isinstance(task.exception(), transport.ExchangeFailed)
        received_bytes = bodies.exchanges[task].received_bytes
        assert received_bytes < BYTES_PER_MB, received_bytes


@when('all requests are cancelled')
def step_cancelled(context):
    context.bodies.cancel()


@then('no room is used, and an answer of 12 MB arrives')
def step_none_used(context):
    bodies = context.bodies
    assert bodies.memory.used_bytes == 0 and not bodies.memory.is_short
    task = bodies.loop.run_until_complete(bodies.request('12 MB'))
    bodies.loop.run_until_complete(bodies.wait([task]))
    assert len(task.result().body) == LARGE_BYTES


class SilentHolder(transport.ResponseHolder):
    """Holds a response that its caller does not take."""

    has_given_way = False

    def find_drain_s(self, now_s):
        return math.inf

    def give_way(self):
        self.has_given_way = True


@when('{count:d} callers hold {size:d} kB each and take nothing')
def step_small_responses(context, count, size):
    async def hold():
        for holder in context.holders:
            context.bodies.memory.set_held(holder, size * 1000)
        context.bodies.memory.limit_sum()

    context.size_bytes = size * 1000
    context.holders = [SilentHolder() for _ in range(count)]
    context.bodies.loop.run_until_complete(hold())


@then('no more than {bound:d} MB is held after a while')
def step_bound_holds(context, bound):
    async def wait():
        async with asyncio.timeout(TIMEOUT_S):
            while memory.used_bytes > bound * BYTES_PER_MB:
                await asyncio.sleep(0.01)

    memory = context.bodies.memory
    context.bodies.loop.run_until_complete(wait())


@then('the callers that gave way are as few as possible')
def step_few_gave_way(context):
    kept = sum(not holder.has_given_way for holder in context.holders)
    assert kept == context.bodies.bound_bytes // context.size_bytes, kept


@given('a daemon whose settings allow {memory:d} MB')
def step_daemon(context, memory):
    names = 'callers', 'readiness', 'reports', 'peers', 'target', 'store'
    data = testing.make_daemon_settings(
        'front',
        'hall',
        'calendar',
        ADDRESS,
        dict.fromkeys(names, 1),
        0,
        limits={'memory_mb': memory},
    )
    identity = platform.decode_settings(data).identity
    context.fleet = testing.MeshFleet(memory_mb=identity.memory_mb)
    context.cleanups.append(context.fleet.stop)
    context.front = context.fleet.add_host('front')


@then(
    'its responses may take {bound:d} MB, of the target, of peers and to '
    'callers'
)
def step_wired(context, bound):
    daemon = context.front.daemon
    state = daemon.state
    peer = state.peers.find(testing.make_member_row('other'))
    memory = state.response_memory
    assert memory.limit_bytes == bound * BYTES_PER_MB, memory.limit_bytes
    for user in (
        state.target_client.pool,
        peer.pool,
        daemon.outbound,
        daemon.inbound,
    ):
        assert user.response_memory is memory, user


@given('a target that fails with {size:d} MB, and one that works for a second')
def step_failing(context, size):
    fleet = context.fleet = testing.MeshFleet()
    context.cleanups.append(fleet.stop)
    context.front = fleet.add_host('front', 'ledger')
    failing, working = fleet.add_host('failing'), fleet.add_host('working')
    route = {'timeout': '9000ms', 'kind': 'safe', 'attempts': 3}
    fleet.configure(testing.make_document(1, [route]))
    fleet.wait_ready()
    for host in (failing, working):
        host.slots = SLOTS
        fleet.report(host)
    failing.books.habit = testing.TargetHabit.FAILING
    failing.books.body_bytes = size * BYTES_PER_MB
    working.books.work_s = 1.0
    context.failing = failing


@when('{count:d} requests come of which some meet the first one')
def step_meet(context, count):
    async def call_all():
        port = context.front.addresses.callers_port
        calls = [
            asyncio.ensure_future(
                context.fleet.start_call(port, '/r0/', X_Request_Id=f'r{item}')
            )
            for item in range(count)
        ]
        most_bytes = 0
        while not all(call.done() for call in calls):
            most_bytes = max(most_bytes, find_kept_bytes(context.front))
            await asyncio.sleep(0.01)
        return most_bytes, [call.result().status for call in calls]

    context.most_kept_bytes, context.statuses = context.fleet.run(call_all())


def find_kept_bytes(host):
    """Return the size of the responses that requests under way keep."""
    kept = [item.last for item in host.daemon.outbound.in_flight]
    return sum(
        len(answer.response.body)
        for answer in kept
        if answer is not None and answer.response is not None
    )


@then('none of its bodies is kept while the other one works')
def step_none_kept(context):
    assert context.failing.books.runs
    assert context.most_kept_bytes == 0, context.most_kept_bytes


@then('all of the requests are answered with {status:d}')
def step_statuses(context, status):
    assert set(context.statuses) == {status}, context.statuses

"""Steps for callers that read slowly beside others."""

import asyncio
import contextlib
import json
import socket

from behave import given
from behave import then
from behave import when

from sedgering.mesh import _inbound
from sedgering import ports
from sedgering import testing
from sedgering import transport
import slow_reader

BYTES_PER_MB = 1024 * 1024
BYTES_PER_KB = 1024
TIMEOUT_MS = 15_000
WAIT_S = 10.0
PAUSE_S = 0.2
#: Time between two requests of others; half of them come after the time for
#: which one that waits for room is patient.
BETWEEN_S = 0.05
NARROW_BUFFER_BYTES = 30_000
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
EXPECTING = (
    b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n'
    b'Expect: 100-continue\r\n\r\n'
)
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'


class Holder(transport.ResponseHolder):
    """Holds response data of an answer that is about to end."""

    def find_drain_s(self, now_s):
        return 0.0

    def give_way(self):
        raise AssertionError('an answer that is about to end gives way')


def has_arrived(caller):
    """Whether something has arrived that the caller has not read."""
    try:
        return bool(caller.socket.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True


class MeshSubject:
    """A daemon with a target, and callers that do not read."""

    def __init__(self, answer_bytes):
        self.fleet = testing.MeshFleet()
        self.front = self.fleet.add_host('front')
        self.books.body_bytes = answer_bytes
        route = {'timeout': f'{TIMEOUT_MS}ms'}
        self.fleet.configure(testing.make_document(1, [route, route]))
        self.fleet.wait_ready()
        self.callers = []

    @property
    def books(self):
        return self.front.books

    @property
    def outbound(self):
        return self.front.daemon.outbound

    async def ask_and_hold(self, count):
        """Send requests; return once each has an answer, or was cut."""
        for number in range(count):
            caller = slow_reader.SlowReader(self.front.addresses.callers_port)
            self.callers.append(caller)
            await caller.ask(f'slow-{number}')
        async with asyncio.timeout(WAIT_S):
            while not all(map(has_arrived, self.callers)):
                await asyncio.sleep(0.01)

    def call(self, path):
        """Send the request of another caller."""
        port = self.front.addresses.callers_port
        return self.fleet.call(port, path, X_Request_Id='other')

    def close(self):
        for caller in self.callers:
            caller.socket.close()
        self.fleet.stop()


def use_mesh(context, answer_bytes):
    context.mesh = MeshSubject(answer_bytes)
    context.cleanups.append(context.mesh.close)


@given('a daemon whose target answers with {size:d} MB')
def step_daemon(context, size):
    use_mesh(context, size * BYTES_PER_MB)


@when('{count:d} callers ask it and read nothing')
def step_read_nothing(context, count):
    if hasattr(context, 'mesh'):
        context.mesh.fleet.run(context.mesh.ask_and_hold(count))
    else:
        context.silent.run(context.silent.ask_and_hold(count))


@then('{count:d} requests of others for small answers are answered with 200')
def step_others(context, count):
    mesh = context.mesh
    mesh.books.body_bytes = 0
    statuses = []
    for _ in range(count):
        statuses.append(mesh.call('/r1/').status)
        mesh.fleet.run(asyncio.sleep(BETWEEN_S))
    assert statuses == [200] * count, statuses


class LargeService(transport.Service):
    """Answers with a large body; its memory has a bound."""

    def __init__(self, size_bytes, limit_bytes):
        super().__init__()
        self.response_memory = transport.ResponseMemory(limit_bytes)
        self.body = bytes(size_bytes)

    def find_limits(self):
        return transport.CallerLimits()

    async def answer(self, request):
        return transport.Response(200, [], self.body)


class ServiceSubject:
    """A service with large answers, and callers of different speed."""

    def __init__(self, size_mb, limit_mb):
        self.loop = asyncio.new_event_loop()
        self.service = LargeService(
            size_mb * BYTES_PER_MB, limit_mb * BYTES_PER_MB
        )
        listener = ports.open_port(slow_reader.ADDRESS, 0)
        self.port = listener.getsockname()[1]
        self.server = self.run(
            transport.serve(
                self.service, slow_reader.ADDRESS, self.port, listener
            )
        )
        self.callers = []
        #: The service's side of the first connection.
        self.first = None
        self.whole_answers = 0

    def run(self, work):
        """Run a coroutine and return its result."""
        return self.loop.run_until_complete(work)

    @property
    def held_bytes(self):
        return self.service.find_load().held_bytes

    async def ask_and_hold(self, count):
        """Send requests; return once all have been answered."""
        for _ in range(count):
            caller = slow_reader.SlowReader(self.port)
            self.callers.append(caller)
            await caller.send(REQUEST)
        while self.service.find_load().answers < count:
            await asyncio.sleep(0.01)

    @property
    def is_drip_cut(self):
        """Whether the first connection has been closed by the service."""
        return self.first not in self.service.connections

    async def read_drip(self, piece_bytes, pause_s):
        """Read a little of the first answer at a time, to its end."""
        while await self.loop.sock_recv(self.callers[0].socket, piece_bytes):
            await asyncio.sleep(pause_s)

    async def read_fast(self):
        """Ask until the drip reader is cut, and read at full speed."""
        while not self.is_drip_cut or not self.whole_answers:
            reader, writer = await asyncio.open_connection(
                slow_reader.ADDRESS, self.port
            )
            writer.write(REQUEST)
            await read_answer(reader)
            writer.close()
            self.whole_answers += 1

    def close(self):
        for caller in self.callers:
            caller.socket.close()
        self.server.close()
        self.run(asyncio.sleep(0))
        self.loop.close()


async def read_answer(reader):
    """Read one answer; return the size of its body."""
    head = await reader.readuntil(b'\r\n\r\n')
    length = int(head.lower().partition(b'content-length: ')[2].split()[0])
    return len(await reader.readexactly(length))


@given('{limit:d} MB for the answers of a service, each of {size:d} MB')
def step_service(context, limit, size):
    context.silent = ServiceSubject(size, limit)
    context.cleanups.append(context.silent.close)


@given('its callers are other daemons')
def step_daemons(context):
    context.silent.service.patience_s = _inbound.InboundService.patience_s


@then('all {count:d} connections are kept for {for_s:g} s')
def step_kept(context, count, for_s):
    subject = context.silent
    subject.run(asyncio.sleep(for_s))
    connections = len(subject.service.connections)
    assert connections == count, connections


@when('{count:d} caller asks it and reads nothing')
def step_one_reads_nothing(context, count):
    context.silent.run(context.silent.ask_and_hold(count))


@then(
    'it holds more than {least:d} MB, of which no more than {most:d} kB are '
    'copies'
)
def step_no_copy(context, least, most):
    subject = context.silent
    assert subject.held_bytes > least * BYTES_PER_MB, subject.held_bytes
    (connection,) = subject.service.connections
    copied_bytes = connection.transport.get_write_buffer_size()
    assert copied_bytes <= most * BYTES_PER_KB, copied_bytes


@then(
    'it holds no more than {most:d} MB after {wait_s:g} s, and some '
    'connections are kept'
)
def step_bound(context, most, wait_s):
    subject = context.silent
    subject.run(asyncio.sleep(wait_s))
    held_bytes = subject.held_bytes
    assert held_bytes <= most * BYTES_PER_MB, held_bytes
    assert subject.service.connections


@when('{count:d} caller asks it and reads {size:d} kB each {pause_ms:d} ms')
def step_drip(context, count, size, pause_ms):
    subject = context.silent
    subject.run(subject.ask_and_hold(count))
    (subject.first,) = subject.service.connections
    drip = subject.loop.create_task(
        subject.read_drip(size * BYTES_PER_KB, pause_ms / 1000)
    )
    context.cleanups.append(drip.cancel)


@when(
    '{count:d} callers ask it, again and again, and read at full speed',
)
def step_fast(context, count):
    subject = context.silent
    context.fast = [
        subject.loop.create_task(subject.read_fast()) for _ in range(count)
    ]


@then('the first one is cut within {limit_s:g} s')
def step_cut(context, limit_s):
    subject = context.silent

    async def wait():
        async with asyncio.timeout(limit_s):
            while not subject.is_drip_cut:
                await asyncio.sleep(0.01)

    subject.run(wait())


@then('all others get whole answers')
def step_whole(context):
    subject = context.silent
    subject.run(asyncio.gather(*context.fast))
    assert subject.whole_answers >= len(context.fast)


@given('a daemon with a route of large answers and one of small ones')
def step_two_routes(context):
    use_mesh(context, 256 * BYTES_PER_KB)
    mesh = context.mesh
    assert mesh.call('/r0/').status == 200
    mesh.books.body_bytes = 0
    assert mesh.call('/r1/').status == 200


@when('an answer waits for room')
def step_waits(context):
    memory = transport.ResponseMemory(BYTES_PER_MB)
    context.memory = context.mesh.outbound.response_memory = memory
    context.waiting = Holder()

    async def wait():
        assert memory.request(Holder(), BYTES_PER_MB, print)
        assert not memory.request(context.waiting, BYTES_PER_MB, print)

    context.mesh.fleet.run(wait())


@then('a request for a large answer is refused with {code:d}, as not run')
def step_refused(context, code):
    mesh = context.mesh
    runs = len(mesh.books.runs)
    answer = mesh.call('/r0/')
    assert answer.status == 503, answer
    assert json.loads(answer.body)['code'] == code, answer
    assert len(mesh.books.runs) == runs


@then('a request for a small answer is answered with {status:d}')
def step_small(context, status):
    assert context.mesh.call('/r1/').status == status


@then('once nothing waits, both are answered with {status:d}')
def step_both(context, status):
    async def forget():
        context.memory.forget(context.waiting)

    context.mesh.fleet.run(forget())
    assert context.mesh.call('/r0/').status == status
    assert context.mesh.call('/r1/').status == status


@when('a caller asks it, and then announces a body with "100-continue"')
def step_expects(context):
    subject = context.silent

    async def run():
        reader, writer = await asyncio.open_connection(
            slow_reader.ADDRESS, subject.port, limit=BYTES_PER_KB
        )
        writer.write(REQUEST)
        while subject.service.find_load().held_answers < 1:
            await asyncio.sleep(0.01)
        writer.write(EXPECTING)
        await asyncio.sleep(PAUSE_S)
        context.sizes = [await read_answer(reader)]
        context.interim = await reader.readexactly(len(INTERIM))
        writer.write(b'ab')
        context.sizes.append(await read_answer(reader))
        with contextlib.suppress(OSError):
            writer.close()

    subject.run(run())


@then('it gets a whole answer, the interim response, and another answer')
def step_order(context):
    size_bytes = len(context.silent.service.body)
    assert context.sizes == [size_bytes, size_bytes], context.sizes
    assert context.interim == INTERIM, context.interim


@given('it {treats} callers that have closed their sending side')
def step_half_closed(context, treats):
    context.silent.service.keeps_half_closed = treats == 'answers'


@when('a caller asks it, half-closes during the answer, and then reads')
def step_half_closes(context):
    subject = context.silent

    async def run():
        reader, writer = await asyncio.open_connection(
            slow_reader.ADDRESS, subject.port, limit=BYTES_PER_KB
        )
        writer.write(REQUEST)
        while subject.service.find_load().held_answers < 1:
            await asyncio.sleep(0.01)
        writer.write_eof()
        await asyncio.sleep(PAUSE_S)
        context.size = await read_answer(reader)
        context.rest = await reader.read()
        writer.close()

    subject.run(run())


@then('it gets the whole answer, and the connection ends')
def step_gets_whole(context):
    assert context.size == len(context.silent.service.body), context.size
    assert not context.rest, context.rest


@when('{count:d} callers behind narrow buffers read whole answers and stay')
def step_narrow(context, count):
    subject = context.silent
    for listener in subject.server.sockets:
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, NARROW_BUFFER_BYTES
        )

    async def read():
        streams = [
            await asyncio.open_connection(slow_reader.ADDRESS, subject.port)
            for _ in range(count)
        ]
        for _reader, writer in streams:
            writer.write(REQUEST)
        for reader, _writer in streams:
            await read_answer(reader)
        await asyncio.sleep(BETWEEN_S)
        context.used_bytes = subject.service.response_memory.used_bytes
        for _reader, writer in streams:
            writer.close()

    subject.run(read())


@then('nothing is recorded as held for them')
def step_none_recorded(context):
    assert context.used_bytes == 0, context.used_bytes


@when('{count:d} callers ask it and read {size:d} MB each {pause_ms:d} ms')
def step_bursts(context, count, size, pause_ms):
    subject = context.silent

    async def read():
        stream = await asyncio.open_connection(
            slow_reader.ADDRESS, subject.port, limit=BYTES_PER_KB
        )
        reader, writer = stream
        writer.write(REQUEST)
        left_bytes = len(subject.service.body)
        head = await reader.readuntil(b'\r\n\r\n')
        assert b' 200 ' in head
        while left_bytes:
            await asyncio.sleep(pause_ms / 1000)
            piece_bytes = min(left_bytes, size * BYTES_PER_MB)
            await reader.readexactly(piece_bytes)
            left_bytes -= piece_bytes
        writer.close()

    async def read_all():
        return await asyncio.gather(
            *(read() for _ in range(count)), return_exceptions=True
        )

    context.ends = subject.run(read_all())


@then('all {count:d} of them get whole answers')
def step_all_whole(context, count):
    assert context.ends == [None] * count, context.ends

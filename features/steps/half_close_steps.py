"""Steps for callers that close their sending side, or both."""

import asyncio
import socket
import struct

from behave import then
from behave import when

from sedgering.mesh import _inbound
from sedgering import ports
from sedgering import testing
from sedgering import transport

ADDRESS = '127.0.0.1'
HOST_FIELD = 'Host: calendar.example\r\n'
DEADLINE = 'X-Request-Deadline: 9000\r\n'
WAIT_S = 8.0
#: Time in which a request reaches its target.
PAUSE_S = 0.2
HALF_CLOSED_S = 1.0
#: Value of SO_LINGER: enabled with a timeout of 0 s.
NO_LINGER = struct.pack('ii', 1, 0)


def make_get(name, fields='', version='1.1'):
    return (
        f'GET /long/ HTTP/{version}\r\n{HOST_FIELD}{DEADLINE}'
        f'X-Request-Id: {name}\r\n{fields}\r\n'
    ).encode()


def make_post(name, body, length):
    head = (
        f'POST /long/ HTTP/1.1\r\n{HOST_FIELD}{DEADLINE}'
        f'X-Request-Id: {name}\r\nContent-Length: {length}\r\n\r\n'
    )
    return head.encode() + body


CHUNKS = (
    f'POST /long/ HTTP/1.1\r\n{HOST_FIELD}X-Request-Id: c\r\n'
    'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n'
).encode()
#: Pieces that are sent in turn, each after the answer to the one before.
REQUESTS = {
    'nothing': [b''],
    'one request': [make_get('a')],
    'one request of HTTP/1.0': [
        make_get('a', 'Connection: keep-alive\r\n', '1.0')
    ],
    'a post with its body': [make_post('a', b'body', 4)],
    'three pipelined requests': [
        make_get('a') + make_get('b') + make_get('c')
    ],
    'many pipelined requests': [
        b''.join(make_get(f'm{number}') for number in range(24))
    ],
    'a request after an earlier one': [make_get('a'), make_get('b')],
    'a request and a part of a post': [
        make_get('a') + make_post('b', b'body', 9)
    ],
    'a request and a part of a head': [make_get('a') + make_get('b')[:-2]],
    'a request and "close"': [make_get('a', 'Connection: close\r\n')],
    'a part of a head': [make_get('a')[:-2]],
    'a part of a post': [make_post('a', b'body', 9)],
    'a part of chunks': [CHUNKS],
}


class Caller:
    """A caller on a plain connection."""

    def __init__(self, port, receive_bytes=0):
        self.loop = asyncio.get_running_loop()
        self.port = port
        self.socket = socket.socket()
        if receive_bytes:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        self.socket.setblocking(False)
        self.data = b''

    async def send(self, pieces):
        """Send the pieces, each after an answer to the one before."""
        await self.loop.sock_connect(self.socket, (ADDRESS, self.port))
        for number, piece in enumerate(pieces):
            if number:
                self.data += await self.loop.sock_recv(self.socket, 65536)
            await self.loop.sock_sendall(self.socket, piece)

    def half_close(self):
        """Close the sending side."""
        self.socket.shutdown(socket.SHUT_WR)

    def reset(self):
        """Close with a reset."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.socket.close()

    async def read(self, pause_s=0.0, piece_bytes=65536):
        """Read until the end of the stream."""
        async with asyncio.timeout(WAIT_S):
            while True:
                piece = await self.loop.sock_recv(self.socket, piece_bytes)
                if not piece:
                    return self.data
                self.data += piece
                await asyncio.sleep(pause_s)


def split_answers(data):
    """Return status and body of each answer; all bytes must belong to one."""
    answers = []
    while data:
        head, separator, data = data.partition(b'\r\n\r\n')
        assert separator, head
        lines = head.decode('latin-1').split('\r\n')
        status = int(lines[0].split()[1])
        if status == 100:
            continue
        fields = dict(line.lower().split(': ', 1) for line in lines[1:])
        length = int(fields['content-length'])
        assert len(data) >= length, (len(data), length)
        answers.append((status, data[:length]))
        data = data[length:]
    return answers


def run_caller(context, work, receive_bytes=0):
    """Run a caller of the first host; keep what it got, and how long."""
    subject = context.mesh

    async def run():
        loop = asyncio.get_running_loop()
        port = subject.first.addresses.callers_port
        caller = Caller(port, receive_bytes)
        started_s = loop.time()
        try:
            await work(caller)
        finally:
            caller.socket.close()
        context.lasted_s = loop.time() - started_s
        context.data = caller.data

    subject.fleet.run(run())


@when('a caller sends {requests} and half-closes')
def step_half_close(context, requests):
    async def work(caller):
        await caller.send(REQUESTS[requests])
        caller.half_close()
        await caller.read()

    run_caller(context, work)


@when('a slow reader sends {requests} and half-closes')
def step_slow_reader(context, requests):
    async def work(caller):
        await caller.send(REQUESTS[requests])
        caller.half_close()
        await asyncio.sleep(PAUSE_S)
        await caller.read(pause_s=0.001, piece_bytes=16 * 1024)

    run_caller(context, work, receive_bytes=8 * 1024)


@when('a caller sends one request and half-closes, and its daemon leaves')
def step_leaving(context):
    daemon = context.mesh.first.daemon

    async def work(caller):
        await caller.send(REQUESTS['one request'])
        caller.half_close()
        await asyncio.sleep(PAUSE_S)
        leaving = asyncio.ensure_future(daemon.leave(4000))
        await caller.read()
        await leaving

    run_caller(context, work)


@then(
    'it gets {count:d} whole answers with status 200, then the end of the '
    'stream'
)
def step_answers(context, count):
    answers = split_answers(context.data)
    assert [status for status, _body in answers] == [200] * count, answers
    context.names = [body.split()[-1].decode() for _status, body in answers]


@then('exactly these {count:d} ran, once each')
def step_ran(context, count):
    ran = sorted(run[0] for run in context.mesh.list_runs())
    assert ran == sorted(context.names) and len(ran) == count, ran


@then('the connection ended within {limit_s:g} s and nothing ran')
def step_ended(context, limit_s):
    assert context.lasted_s < limit_s, context.lasted_s
    assert not context.mesh.list_runs()


@when('a caller with {requests} at work {leaves}')
def step_leaves(context, requests, leaves):
    async def work(caller):
        await caller.send(REQUESTS[requests])
        await asyncio.sleep(PAUSE_S)
        assert any(books.running for books in context.mesh.list_books())
        if leaves.endswith('after half-closing'):
            caller.half_close()
            reading = asyncio.ensure_future(caller.read())
            await asyncio.sleep(HALF_CLOSED_S)
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)
        if leaves.startswith('resets'):
            caller.reset()
        else:
            caller.socket.close()
        await asyncio.sleep(0)

    run_caller(context, work)


@then(
    'all targets are idle within {limit_s:g} s, and the daemon has no '
    'connection'
)
def step_idle(context, limit_s):
    subject = context.mesh
    service = subject.first.daemon.outbound

    async def run():
        async with asyncio.timeout(limit_s):
            while service.connections or any(
                books.running for books in subject.list_books()
            ):
                await asyncio.sleep(0.01)

    subject.fleet.run(run())
    assert sum(books.cancelled for books in subject.list_books())


@when('the target of the first host deregisters and half-closes')
def step_deregisters(context):
    subject = context.mesh
    report = testing.make_report(
        subject.first.books.target, 'deregister', 'calendar', 'draining', 9, 2
    )

    async def run():
        caller = Caller(subject.first.addresses.reports_port)
        try:
            await caller.send([transport.encode_request(report)])
            caller.half_close()
            context.data = await caller.read()
        finally:
            caller.socket.close()

    subject.fleet.run(run())


class LargeService(transport.Service):
    """Answers with a body, in pieces."""

    keeps_half_closed = True

    def __init__(self, size, pacer):
        super().__init__()
        self.size = size
        self.pacer = pacer

    async def answer(self, request):
        return transport.Response(200, [], b'x' * self.size)

    def find_limits(self):
        return transport.CallerLimits()


def ask_service(context, data):
    """Return what a caller gets that half-closes after some requests."""

    async def run():
        port = testing.free_ports(1)[0]
        pacer = transport.make_pacer(50, asyncio.get_running_loop())
        server = await transport.serve(
            LargeService(context.size, pacer),
            ADDRESS,
            port,
            ports.open_port(ADDRESS, port),
        )
        caller = Caller(port)
        try:
            await caller.send([data])
            await asyncio.sleep(0)
            caller.half_close()
            return await caller.read()
        finally:
            caller.socket.close()
            server.close()

    return asyncio.run(run())


@when('a caller asks it for the large answer and half-closes')
def step_paced(context):
    context.raw = ask_service(context, REQUESTS['a request and "close"'][0])


@when('a caller asks it {count:d} times at once and half-closes')
def step_many(context, count):
    context.data = ask_service(context, make_get('a') * count)


class WaitingService(_inbound.InboundService):
    """Serves other daemons; its answers never come."""

    def __init__(self):
        transport.Service.__init__(self)
        self.is_cancelled = False

    def begin(self, request):
        return self.answer(request)

    async def answer(self, request):
        try:
            await asyncio.sleep(WAIT_S)
        except asyncio.CancelledError:
            self.is_cancelled = True
            raise


@when(
    'a caller of a service for other daemons sends a request and half-closes'
)
def step_peer(context):
    context.service = WaitingService()

    async def run():
        port = testing.free_ports(1)[0]
        server = await transport.serve(
            context.service, ADDRESS, port, ports.open_port(ADDRESS, port)
        )
        caller = Caller(port)
        try:
            await caller.send(REQUESTS['one request'])
            await asyncio.sleep(PAUSE_S)
            caller.half_close()
            context.data = await caller.read()
        finally:
            caller.socket.close()
            server.close()

    asyncio.run(run())


@then('that request is cancelled without an interim response')
def step_peer_cancelled(context):
    assert context.service.is_cancelled
    assert not context.data

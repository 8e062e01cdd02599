"""Steps for connections on which a request may still come."""

import asyncio
import re
import socket
import threading
import time

from behave import given
from behave import then
from behave import when
import daemon_process

from sedgering import ports
from sedgering import testing
from sedgering import transport
from soak import _daemons

ADDRESS = '127.0.0.1'
GRACE_MS = 6000
#: Time before a daemon stops listening at which callers connect.
CONNECT_AHEAD_S = 0.05
#: Time between the requests of two kept connections.
TURN_S = 0.25
WAIT_S = 8.0
GET = (
    b'GET /r0/ HTTP/1.1\r\nHost: calendar.example\r\n'
    b'X-Request-Id: x\r\nX-Request-Deadline: 2000\r\n\r\n'
)
PORTS = {
    'callers': _daemons.CALLERS_PORT,
    'control': _daemons.REPORTS_PORT,
    'ready': _daemons.READINESS_PORT,
}


class LimitedService(transport.Service):
    """Answers at once, with an idle timeout that changes."""

    def __init__(self, idle_timeout_ms):
        super().__init__()
        self.idle_timeout_ms = idle_timeout_ms
        self.body = b''

    async def answer(self, request):
        return transport.Response(200, [], self.body)

    def find_limits(self):
        return transport.CallerLimits(
            header_timeout_ms=400, idle_timeout_ms=self.idle_timeout_ms
        )


async def read_answer(reader):
    """Read one answer; return its head, or what happened instead."""
    try:
        async with asyncio.timeout(WAIT_S):
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            length = re.search(r'(?i)\ncontent-length: (\d+)', head)
            await reader.readexactly(int(length[1]))
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return repr(error)
    return head


async def ask(reader, writer):
    """Send one request; return the head of its answer."""
    try:
        writer.write(GET)
        await writer.drain()
    except ConnectionError as error:
        return repr(error)
    return await read_answer(reader)


def begin_leave(context):
    """Shut the first daemon down; return a task that ends with it."""
    daemon = context.mesh.first.daemon
    loop = asyncio.get_running_loop()

    async def leave():
        started_s = loop.time()
        await daemon.leave(GRACE_MS)
        context.left_after_s = loop.time() - started_s
        # The end of the process closes what is left.
        await daemon.close()

    return loop.create_task(leave())


def find_port(context, callers):
    return getattr(context.mesh.first.daemon.addresses, f'{callers}_port')


@when(
    '{count:d} {callers} connect to the first host just before it stops '
    'listening'
)
def step_connect(context, count, callers):
    context.count = count
    context.port = find_port(context, callers)


@when('each sends its first request {pause_s:g} s later')
def step_first_requests(context, pause_s):
    daemon = context.mesh.first.daemon
    serving_s = daemon.state.mesh_settings.leave_serving_ms / 1000

    async def run():
        leaving = begin_leave(context)
        await asyncio.sleep(serving_s - CONNECT_AHEAD_S)
        streams = [
            await asyncio.open_connection(ADDRESS, context.port)
            for _ in range(context.count)
        ]
        await asyncio.sleep(CONNECT_AHEAD_S + pause_s)
        context.answers = await asyncio.gather(
            *(ask(*stream) for stream in streams)
        )
        close_all(streams)
        await leaving

    context.mesh.fleet.run(run())


def close_all(streams):
    for _reader, writer in streams:
        writer.close()


@when(
    '{count:d} {callers} use kept connections to the first host in turn as it '
    'leaves'
)
def step_kept(context, count, callers):
    daemon = context.mesh.first.daemon
    serving_s = daemon.state.mesh_settings.leave_serving_ms / 1000
    port = find_port(context, callers)

    async def run():
        streams = [
            await asyncio.open_connection(ADDRESS, port) for _ in range(count)
        ]
        for stream in streams:
            assert (await ask(*stream)).startswith('HTTP/1.1 ')
        leaving = begin_leave(context)
        await asyncio.sleep(serving_s - 2 * TURN_S)
        context.answers = []
        for stream in streams:
            await asyncio.sleep(TURN_S)
            context.answers.append(await ask(*stream))
        close_all(streams)
        await leaving

    context.mesh.fleet.run(run())


@then('each connection gets an answer')
def step_all_answered(context):
    assert context.answers
    lost = [item for item in context.answers if item[:9] != 'HTTP/1.1 ']
    assert not lost, f'{len(lost)} of {len(context.answers)}: {lost[:3]}'


@then('the daemon ends within its grace time')
def step_in_time(context):
    assert context.left_after_s < GRACE_MS / 1000, context.left_after_s


@when(
    'callers connect to its {name} port until it refuses, and pause '
    '{pause_s:g} s'
)
def step_connect_until_refused(context, name, pause_s):
    context.signalled_s = time.monotonic()
    context.daemon.send_signal('SIGTERM')
    context.answers = []
    threads = []
    while time.monotonic() - context.signalled_s < _daemons.GRACE_S:
        try:
            connection = socket.create_connection(
                (context.daemon.address, PORTS[name]), WAIT_S
            )
        except ConnectionRefusedError:
            break
        thread = threading.Thread(
            target=ask_after, args=(connection, pause_s, context.answers)
        )
        thread.start()
        threads.append(thread)
        time.sleep(0.01)
    for thread in threads:
        thread.join()


def ask_after(connection, pause_s, answers):
    """Send a request after a pause, and add its answer to a list."""
    with connection:
        time.sleep(pause_s)
        try:
            connection.sendall(daemon_process.REQUEST)
            answers.append(connection.recv(4096).decode())
        except OSError as error:
            answers.append(repr(error))


@when('the first host leaves while a caller that has asked sends nothing more')
def step_asked(context):
    leave_beside(context, has_asked=True)


@when('the first host leaves while a caller that just came sends nothing more')
def step_came(context):
    leave_beside(context, has_asked=False)


def leave_beside(context, has_asked):
    """Shut the first daemon down beside a connection that stays open."""
    daemon = context.mesh.first.daemon
    serving_s = daemon.state.mesh_settings.leave_serving_ms / 1000
    port = find_port(context, 'callers')

    async def run():
        if has_asked:
            stream = await asyncio.open_connection(ADDRESS, port)
            await ask(*stream)
            leaving = begin_leave(context)
        else:
            leaving = begin_leave(context)
            await asyncio.sleep(serving_s - CONNECT_AHEAD_S)
            stream = await asyncio.open_connection(ADDRESS, port)
        await leaving
        close_all([stream])

    context.mesh.fleet.run(run())


@then('the daemon ends in the first two thirds of its grace time')
def step_two_thirds(context):
    assert context.left_after_s < GRACE_MS / 1500, context.left_after_s


@then('the daemon ends before the last tenth of its grace time')
def step_last_tenth(context):
    assert context.left_after_s < 0.9 * GRACE_MS / 1000, context.left_after_s


@given('a service with an idle timeout of {timeout_ms:d} ms')
def step_service(context, timeout_ms):
    runner = asyncio.Runner(loop_factory=transport.BootTimeLoop)
    context.cleanups.append(runner.close)
    context.runner = runner
    context.service = LimitedService(timeout_ms)
    context.port = testing.free_ports(1)[0]

    async def serve():
        await transport.serve(
            context.service,
            ADDRESS,
            context.port,
            ports.open_port(ADDRESS, context.port),
        )

    runner.run(serve())


@when('a caller {has_done}, and the idle timeout becomes {timeout_ms:d} ms')
def step_lowered(context, has_done, timeout_ms):
    async def run():
        context.stream = await asyncio.open_connection(ADDRESS, context.port)
        context.cleanups.append(context.stream[1].close)
        if has_done == 'was answered':
            assert '200' in await ask(*context.stream)
        context.service.idle_timeout_ms = timeout_ms

    context.runner.run(run())


@when('the caller sends a request {after_s:g} s later')
def step_sends_later(context, after_s):
    async def run():
        await asyncio.sleep(after_s)
        context.answer = await ask(*context.stream)

    context.runner.run(run())


@then('the request is answered')
def step_answered(context):
    assert '200' in context.answer, context.answer


@then('its connection is closed {least_s:d} to {most_s:d} s later')
def step_closed(context, least_s, most_s):
    async def run():
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        async with asyncio.timeout(most_s):
            while await context.stream[0].readline():
                pass
        assert loop.time() - started_s >= least_s

    context.runner.run(run())


@when('a request arrives while the event loop is busy beyond {limit}')
def step_busy(context, limit):
    caller = socket.create_connection((ADDRESS, context.port), WAIT_S)
    context.cleanups.append(caller.close)

    async def run():
        while not context.service.connections:
            await asyncio.sleep(0)
        (connection,) = context.service.connections
        # The request arrives in the kernel only.
        caller.sendall(GET)
        if limit == 'the idle timeout':
            connection.last_activity_s -= WAIT_S
            connection.check_timeouts(context.service.find_limits())
        else:
            assert not connection.close_idle()
        await asyncio.sleep(0.1)

    context.runner.run(run())
    try:
        context.answer = caller.recv(4096).decode()
    except ConnectionError as error:
        context.answer = repr(error)

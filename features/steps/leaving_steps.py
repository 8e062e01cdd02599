"""Steps for a daemon that shuts down while requests are under way."""

import asyncio
import socket
import time
from unittest import mock

from behave import given
from behave import then
from behave import when
import late_queue
import slow_reader

from sedgering.transport import _listening

#: Time in which a request or an answer arrives.
PAUSE_S = 0.1
DEADLINE_MS = 9000
#: Share of the grace time for which a daemon is stopped at its end.
STOPPED_SHARE = 0.15
#: Grace time where its length does not matter.
GRACE_MS = 8000
BODY = b'body'
GET = (
    b'GET /long/ HTTP/1.1\r\nHost: calendar.example\r\nX-Request-Id: x\r\n\r\n'
)
POST = (
    'POST /long/ HTTP/1.1\r\nHost: calendar.example\r\nX-Request-Id: {}\r\n'
    f'X-Request-Deadline: {{}}\r\nContent-Length: {len(BODY)}\r\n\r\n'
)


async def _end(daemon, grace_ms):
    """Shut a daemon down, and close what is left as its process ends."""
    await daemon.leave(grace_ms)
    await daemon.close()


async def _wait_running(mesh):
    while not any(books.running for books in mesh.list_books()):
        await asyncio.sleep(0.01)


@given('a third host that is ready')
def step_third(context):
    context.mesh.fleet.add_host('hall-3')
    context.mesh.fleet.wait_ready()


@given('answers of {size:d} bytes')
def step_answers(context, size):
    for books in context.mesh.list_books():
        books.body_bytes = size
    context.size = size


@when(
    'the first host has {grace_s:d} s to shut down, {when} a caller asks '
    '"{path}"'
)
def step_leave(context, grace_s, when, path):
    mesh = context.mesh
    port = mesh.first.addresses.callers_port
    context.grace_s = grace_s

    async def ask():
        return await mesh.fleet.start_call(
            port, path, X_Request_Id='x', X_Request_Deadline=str(DEADLINE_MS)
        )

    async def run():
        loop = asyncio.get_running_loop()
        if when == 'before':
            asking = loop.create_task(ask())
            await _wait_running(mesh)
        started_s = loop.time()
        leaving = loop.create_task(_end(mesh.first.daemon, grace_s * 1000))
        if when == 'after':
            await asyncio.sleep(0)
            asking = loop.create_task(ask())
        try:
            context.answer = await asking
        finally:
            context.answered_s = loop.time() - started_s
            await leaving

    mesh.fleet.run(run())


@then('the caller gets status {status:d} in the last third of that time')
def step_status_last_third(context, status):
    assert context.answer.status == status, context.answer
    share = context.answered_s / context.grace_s
    assert 2 / 3 < share < 1, context.answered_s


@then('each target got a deadline of less than {most_s:d} s')
def step_deadline(context, most_s):
    runs = context.mesh.list_runs()
    assert runs
    for _request_id, _line, headers, _body in runs:
        assert 0 < int(headers['X-Request-Deadline']) < most_s * 1000


@when(
    'the first host has {grace_s:d} s to shut down, and is stopped for '
    '{pause_s:g} s'
)
def step_stopped(context, grace_s, pause_s):
    serving_ms = context.mesh.first.daemon.state.mesh_settings.leave_serving_ms
    _leave_stopped(context, grace_s, serving_ms / 1000 + PAUSE_S, pause_s)


@when(
    'the first host has {grace_s:d} s to shut down, and is stopped until '
    '{left_s:g} s before its end'
)
def step_stopped_until(context, grace_s, left_s):
    pause_s = grace_s * STOPPED_SHARE
    _leave_stopped(context, grace_s, grace_s - left_s - pause_s, pause_s)


def _leave_stopped(context, grace_s, after_s, pause_s):
    """Shut the first host down while a caller asks, and stop all meanwhile."""
    mesh = context.mesh
    port = mesh.first.addresses.callers_port
    context.grace_s = grace_s

    async def run():
        loop = asyncio.get_running_loop()
        asking = loop.create_task(
            mesh.fleet.start_call(
                port,
                '/long/',
                X_Request_Id='x',
                X_Request_Deadline=str(DEADLINE_MS),
            )
        )
        await _wait_running(mesh)
        started_s = loop.time()
        leaving = loop.create_task(_end(mesh.first.daemon, grace_s * 1000))
        await asyncio.sleep(after_s)
        # Stops everything that runs in this event loop.
        time.sleep(max(0, started_s + after_s + pause_s - loop.time()))
        context.answer = await asking
        context.answered_s = loop.time() - started_s
        await leaving

    mesh.fleet.run(run())


@then('the request that it had accepted before is answered {status:d}')
def step_accepted_before(context, status):
    assert context.answer.status == status, context.answer


@when('a slow reader calls a daemon that then shuts down within {grace_s:d} s')
def step_slow_reader(context, grace_s):
    mesh = context.mesh

    async def run():
        reader = slow_reader.SlowReader(mesh.first.addresses.callers_port)
        await reader.ask('slow')
        while not mesh.list_runs():
            await asyncio.sleep(0.01)
        leaving = asyncio.ensure_future(
            _end(mesh.first.daemon, grace_s * 1000)
        )
        # By then a daemon without requests would have ended.
        limits = mesh.first.daemon.state.mesh_settings
        await asyncio.sleep(limits.leave_serving_ms / 1000 + 0.6)
        context.data = await reader.read()
        context.ended = reader.ended
        await leaving

    mesh.fleet.run(run())


@when('a slow reader of a leaving daemon sends another request')
def step_concurrent_close(context):
    mesh = context.mesh

    async def run():
        mesh.first.daemon.outbound.is_closing = True
        reader = slow_reader.SlowReader(mesh.first.addresses.callers_port)
        await reader.ask('slow')
        while not mesh.list_runs():
            await asyncio.sleep(0.01)
        await asyncio.sleep(PAUSE_S)
        await reader.ask('concurrent')
        await asyncio.sleep(PAUSE_S)
        context.data = await reader.read()
        context.ended = reader.ended

    mesh.fleet.run(run())


@then('it reads the complete answer')
def step_complete(context):
    _head, _mark, body = context.data.partition(b'\r\n\r\n')
    assert len(body) == context.size, (len(body), context.ended)


@when('a caller of a leaving daemon pipelines requests after a quick one')
def step_pipelined(context):
    mesh = context.mesh

    async def run():
        reader = slow_reader.SlowReader(mesh.first.addresses.callers_port)
        leaving = asyncio.ensure_future(_end(mesh.first.daemon, GRACE_MS))
        await asyncio.sleep(0)
        for number, work_s in enumerate((0.5, 0.0, 0.5)):
            for books in mesh.list_books():
                books.work_s = work_s
            await reader.ask(f'ahead-{number}')
            await asyncio.sleep(PAUSE_S)
        context.data = await reader.read()
        await leaving

    mesh.fleet.run(run())


@then('each request that ran is answered')
def step_all_answered(context):
    ran = {run[0] for run in context.mesh.list_runs()}
    answered = {
        name for name in ran if f'answer to {name}'.encode() in context.data
    }
    assert ran == answered, (ran, answered)


@when('the end of a request with {time_ms:d} ms left reaches a leaving daemon')
def step_late_end(context, time_ms):
    mesh = context.mesh
    head = POST.format('late', time_ms).encode()

    async def run():
        port = mesh.first.addresses.callers_port
        reader, writer = await asyncio.open_connection(
            slow_reader.ADDRESS, port
        )
        leaving = asyncio.ensure_future(_end(mesh.first.daemon, GRACE_MS))
        writer.write(head)
        limits = mesh.first.daemon.state.mesh_settings
        # More than 3 s after the shutdown has begun.
        await asyncio.sleep(limits.leave_serving_ms / 1000 + 0.6)
        started_s = mesh.fleet.loop.time()
        writer.write(BODY)
        context.data = await reader.readline()
        context.waited_s = mesh.fleet.loop.time() - started_s
        writer.close()
        await leaving

    mesh.fleet.run(run())


@then('it gets status {status:d} within {limit_s:d} s')
def step_status_soon(context, status, limit_s):
    assert f' {status} '.encode() in context.data, context.data
    assert context.waited_s < limit_s, context.waited_s


@then('no target ran it')
def step_not_run(context):
    assert not context.mesh.list_runs()


@then('the caller gets status {status:d} in the last sixth of that time')
def step_status_last_sixth(context, status):
    assert context.answer.status == status, context.answer
    share = context.answered_s / context.grace_s
    assert 5 / 6 <= share < 1, context.answered_s


@then('each later attempt got a deadline of less than {most_s:d} s')
def step_retry_deadline(context, most_s):
    # The first attempt was sent before the shutdown began, with all of the
    # caller's time.
    given = [
        int(headers['X-Request-Deadline'])
        for _request_id, _line, headers, _body in context.mesh.list_runs()
    ]
    given.remove(max(given))
    assert given
    assert max(given) < most_s * 1000, given


@when('the shutdown deadline of the first host passes as a request ends')
def step_no_time(context):
    mesh = context.mesh
    loop = mesh.fleet.loop
    daemon = mesh.first.daemon
    context.raised = None

    def expire():
        try:
            daemon.state.serving.end_at(loop.time() - 1)
        except RuntimeError as error:
            context.raised = error

    async def run():
        port = mesh.first.addresses.callers_port
        asking = asyncio.ensure_future(
            mesh.fleet.start_call(port, '/long/', X_Request_Id='x')
        )
        await _wait_running(mesh)
        (limit,) = daemon.state.serving._limits
        # Its timeout and the shutdown deadline expire in one iteration of the
        # event loop.
        loop.call_at(limit.when() + 1e-9, expire)
        await asking

    mesh.fleet.run(run())


@then('the daemon has left')
def step_has_left(context):
    assert context.raised is None, context.raised


@when('a slow reader of a leaving daemon pipelines too many requests')
def step_too_many_pipelined(context):
    mesh = context.mesh

    async def run():
        reader = slow_reader.SlowReader(mesh.first.addresses.callers_port)
        leaving = asyncio.ensure_future(_end(mesh.first.daemon, GRACE_MS))
        await asyncio.sleep(0)
        for books in mesh.list_books():
            books.work_s = 1.0
        await reader.ask('ahead-0')
        await asyncio.sleep(PAUSE_S)
        for books in mesh.list_books():
            books.work_s = 0.0
        for number in range(1, 16):
            await reader.ask(f'ahead-{number}')
        await asyncio.sleep(PAUSE_S)
        # Not read: the connection already holds as many as it accepts.
        await reader.ask('ahead-16')
        # The answers arrive after 1 s, and the connection closes.
        await asyncio.sleep(2.5)
        context.data = await reader.read()
        context.ended = reader.ended
        await leaving

    mesh.fleet.run(run())


@then('its connection is not reset')
def step_not_reset(context):
    assert context.ended == 'end of the stream', context.ended


@when(
    'the first host stops listening just after {count:d} {callers} connected'
)
def step_connect_late(context, count, callers):
    daemon = context.mesh.first.daemon
    port = getattr(daemon.addresses, f'{callers}_port')
    target_client = daemon.state.target_client
    refuse_calls = target_client.leave
    context.late_callers = []

    def connect():
        for _ in range(count):
            caller = socket.create_connection((daemon.addresses.address, port))
            context.cleanups.append(caller.close)
            caller.sendall(GET)
            context.late_callers.append(caller)

    def connect_and_leave():
        refuse_calls()
        connect()

    # The last call before the daemon stops listening.
    target_client.leave = connect_and_leave
    context.mesh.fleet.run(_end(daemon, GRACE_MS))


@then('each of them gets an answer')
def step_late_answered(context):
    assert context.late_callers
    for caller in context.late_callers:
        caller.settimeout(PAUSE_S)
        assert caller.recv(4096).startswith(b'HTTP/1.1 ')


@when('a caller connects after the last accept of a leaving daemon')
def step_late_handshake(context):
    duplicate = _listening._duplicate
    context.queues = []

    def duplicate_late(server):
        queues = [late_queue.LateQueue(item) for item in duplicate(server)]
        context.queues += queues
        return queues

    with mock.patch.object(_listening, '_duplicate', duplicate_late):
        context.mesh.fleet.run(_end(context.mesh.first.daemon, GRACE_MS))


@then('no caller is connected')
def step_not_connected(context):
    outcomes = [queue.outcome for queue in context.queues]
    assert outcomes and all(outcomes), outcomes

"""Steps over a daemon that ends while requests are under way."""

import asyncio
import time

from behave import given
from behave import then
from behave import when
import slow_reader

#: In which a request or an answer has arrived.
PAUSE_S = 0.1
DEADLINE_MS = 9000


async def _end(daemon, grace_ms):
    """Let a daemon leave, and cut what is left as its process ends."""
    await daemon.leave(grace_ms)
    await daemon.close()


async def _wait_running(mesh):
    while not any(books.running for books in mesh.list_books()):
        await asyncio.sleep(0.01)


@given('answers of {size:d} bytes')
def step_answers(context, size):
    for books in context.mesh.list_books():
        books.body_bytes = size
    context.size = size


@when(
    'the first host has {grace_s:d} s to leave, {when} a caller asks "{path}"'
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


@then('the caller is told {status:d} in the last third of that time')
def step_told(context, status):
    assert context.answer.status == status, context.answer
    share = context.answered_s / context.grace_s
    assert 2 / 3 < share < 1, context.answered_s


@then('each target was given less than {most_s:d} s')
def step_given_time(context, most_s):
    runs = context.mesh.list_runs()
    assert runs
    for _request_id, _line, headers, _body in runs:
        assert 0 < int(headers['X-Request-Deadline']) < most_s * 1000


@when(
    'the first host has {grace_s:d} s to leave, and stands still for '
    '{pause_s:g} s'
)
def step_stand_still(context, grace_s, pause_s):
    mesh = context.mesh
    port = mesh.first.addresses.callers_port

    async def run():
        asking = asyncio.ensure_future(
            mesh.fleet.start_call(
                port,
                '/long/',
                X_Request_Id='x',
                X_Request_Deadline=str(DEADLINE_MS),
            )
        )
        await _wait_running(mesh)
        leaving = asyncio.ensure_future(
            _end(mesh.first.daemon, grace_s * 1000)
        )
        serving_ms = mesh.first.daemon.state.mesh_settings.leave_serving_ms
        await asyncio.sleep(serving_ms / 1000 + PAUSE_S)
        # Of all that runs in this loop.
        time.sleep(pause_s)
        context.answer = await asking
        await leaving

    mesh.fleet.run(run())


@then('the request that it had taken before is answered {status:d}')
def step_taken_before(context, status):
    assert context.answer.status == status, context.answer


@when('a slow reader has asked a daemon that then leaves within {grace_s:d} s')
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
def step_crossing(context):
    mesh = context.mesh

    async def run():
        mesh.first.daemon.outbound.is_closing = True
        reader = slow_reader.SlowReader(mesh.first.addresses.callers_port)
        await reader.ask('slow')
        while not mesh.list_runs():
            await asyncio.sleep(0.01)
        await asyncio.sleep(PAUSE_S)
        await reader.ask('crossing')
        await asyncio.sleep(PAUSE_S)
        context.data = await reader.read()
        context.ended = reader.ended

    mesh.fleet.run(run())


@then('it reads the whole answer')
def step_whole(context):
    _head, _mark, body = context.data.partition(b'\r\n\r\n')
    assert len(body) == context.size, (len(body), context.ended)

"""Steps for connections that go silent without a reset."""

import asyncio

from behave import given
from behave import then
from behave import when

#: Timeouts of the routes, and how much later an answer may come.
LIMITS_S = {'safe': 1.0, 'unsafe': 1.0, 'patient': 3.0}
SLACK_S = 0.3
PATHS = {'safe': '/r0/', 'unsafe': '/once/', 'patient': '/long/'}


async def ask_all(context, kind, prefix, count, at_once):
    """Send requests; return status and duration of each by its id."""
    subject = context.mesh
    loop = asyncio.get_running_loop()
    port = subject.first.addresses.callers_port
    places = asyncio.Semaphore(at_once)
    results = {}

    async def ask(number):
        request_id = f'{prefix}{number}'
        async with places:
            started_s = loop.time()
            answer = await subject.fleet.start_call(
                port,
                PATHS[kind],
                b'' if kind == 'unsafe' else None,
                X_Request_Id=request_id,
                X_Request_Deadline='3000',
            )
            results[request_id] = (answer.status, loop.time() - started_s)

    await asyncio.gather(*(ask(number) for number in range(count)))
    return results


@given('{count:d} calls at once that open connections')
def step_open(context, count):
    subject = context.mesh
    for books in subject.list_books():
        books.work_s = 0.05
    results = subject.fleet.run(ask_all(context, 'safe', 'open', count, count))
    context.opened = results


def list_connections(subject, servers):
    """Return the open connections to servers of a kind."""
    hosts = subject.fleet.hosts.values()
    if servers == 'daemons':
        return [c for host in hosts for c in host.daemon.inbound.connections]
    if servers == 'targets':
        return [c for host in hosts for c in host.books.open_connections]
    if servers == 'the first target':
        return list(subject.first.books.open_connections)
    return list(subject.fleet.store_service.connections)


@when('all open connections to {servers} go silent')
def step_silent(context, servers):
    subject = context.mesh

    async def silence():
        connections = list_connections(subject, servers)
        assert connections
        context.silenced = len(connections)
        for connection in connections:
            connection.transport.pause_reading()

    subject.fleet.run(silence())


@when('{count:d} {kind} requests are sent, {at_once:d} at a time')
def step_send(context, count, kind, at_once):
    context.kind = kind
    context.results = context.mesh.fleet.run(
        ask_all(context, kind, 'silent', count, at_once)
    )


@then(
    'each silent connection costs one request at most, which is told the truth'
)
def step_told(context):
    ran = [run[0] for run in context.mesh.list_runs()]
    failed = find_failed(context.results)
    assert len(failed) <= context.silenced, (context.silenced, failed)
    limit_s = LIMITS_S[context.kind] + SLACK_S
    for request_id, (status, lasted_s) in context.results.items():
        assert lasted_s < limit_s, (request_id, lasted_s)
        if context.kind == 'unsafe':
            assert ran.count(request_id) <= 1, request_id
        if request_id in ran:
            assert status not in (408, 421, 429, 503), request_id


@then('all are answered 200')
def step_all(context):
    assert not find_failed(context.results), find_failed(context.results)


def find_failed(results):
    """Return the results other than successes."""
    return {
        request_id: result
        for request_id, result in results.items()
        if result[0] != 200
    }


@then('all of {count:d} more {kind} requests are answered 200')
def step_more(context, count, kind):
    results = context.mesh.fleet.run(ask_all(context, kind, 'more', count, 6))
    assert not find_failed(results), find_failed(results)

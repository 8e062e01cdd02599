"""Steps for daemons, targets and the test store server."""

import asyncio
import json
import re

from behave import given
from behave import then
from behave import when
import msgspec

from sedgering.mesh import _messages
from sedgering.mesh import _watch
from sedgering import testing

ROUTE_FIELDS = [
    {},
    {'name': 'once', 'prefix': '/once/', 'kind': 'non_idempotent'},
]
LEAVING_GRACE_MS = 4000
HEAD = 'GET /r0/ HTTP/1.1\r\nHost: calendar.example\r\nX-Request-Id: x\r\n'
POST = 'POST /once/ HTTP/1.1\r\nHost: calendar.example\r\nX-Request-Id: x\r\n'
FAULTS = {
    'two lengths': POST + 'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab',
    'a length and chunks': POST
    + 'Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'a folded line': HEAD + 'X-A: b\r\n c\r\n\r\n',
    'white space before the colon': HEAD + 'X-A : b\r\n\r\n',
    'a NUL in a value': HEAD + 'X-A: b\0c\r\n\r\n',
    'an overflowing chunk size': POST
    + 'Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff1\r\nab',
    'no host': 'GET /r0/ HTTP/1.1\r\n\r\n',
    'two hosts': HEAD + 'Host: other.example\r\n\r\n',
    'a huge field': HEAD + f'X-A: {"a" * 20000}\r\n\r\n',
    'a huge length': POST + 'Content-Length: 99999999\r\n\r\n',
}


class MeshSubject:
    """A fleet, and the answers that its callers received."""

    def __init__(self):
        self.fleet = testing.MeshFleet()
        self.routes = list(ROUTE_FIELDS)
        self.version = 0
        self.answers: list = []
        self.raw = b''
        self.first: testing.MeshHost | None = None
        self.second: testing.MeshHost | None = None

    def configure(self, *routes: dict, **limits) -> None:
        """Write the next version, with additional routes."""
        self.routes += routes
        self.version += 1
        self.fleet.configure(
            testing.make_document(self.version, self.routes, **limits)
        )
        self.wait_version(self.version)

    def wait_version(self, version: int) -> None:
        """Wait until all hosts have a version in force."""
        self.fleet.wait_for(
            lambda: all(
                host.daemon.state.config.version == version
                for host in self.fleet.hosts.values()
            )
        )

    def ask(self, path: str, request_id: str, body=None, **headers):
        """Ask the first host."""
        port = self.first.addresses.callers_port
        headers.setdefault('X_Request_Id', request_id)
        headers.setdefault('X_Request_Deadline', '3000')
        answer = self.fleet.call(port, path, body, **headers)
        self.answers.append(answer)
        return answer

    def list_runs(self) -> list[tuple]:
        """Return the requests that all targets ran."""
        return [
            run
            for host in self.fleet.hosts.values()
            for run in host.books.runs
        ]

    def list_books(self) -> list:
        """Return the books of all targets."""
        return [host.books for host in self.fleet.hosts.values()]

    async def send_raw(self, data: bytes, wait_s: float = 5.0) -> bytes:
        """Send bytes to the first host, and read until it closes."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.first.addresses.callers_port
        )
        writer.write(data)
        try:
            return await asyncio.wait_for(reader.read(-1), wait_s)
        finally:
            writer.close()


@given('a daemon whose settings allow no retries')
def step_no_retries(context):
    subject = context.mesh
    for host in subject.fleet.hosts.values():
        state = host.daemon.state
        state.mesh_settings = msgspec.structs.replace(
            state.mesh_settings, retry_share_percent=0
        )


@given('its target fails')
def step_fails(context):
    for books in context.mesh.list_books():
        books.habit = testing.TargetHabit.FAILING


@given('a mesh with two calendar hosts')
def step_mesh(context):
    mesh = MeshSubject()
    context.mesh = mesh
    context.cleanups.append(mesh.fleet.stop)
    mesh.first = mesh.fleet.add_host('hall-1')
    mesh.second = mesh.fleet.add_host('hall-2')
    mesh.configure()
    mesh.fleet.wait_ready()


@given('the targets are {habit}')
def step_habit(context, habit):
    for books in context.mesh.list_books():
        books.habit = testing.TargetHabit(habit)


@given('the targets work {work_s:g} s')
def step_work(context, work_s):
    for books in context.mesh.list_books():
        books.work_s = work_s


@given('the store is {mode}')
@when('the store is {mode} again')
def step_store_mode(context, mode):
    context.mesh.fleet.engine.faults.mode = testing.StoreMode(mode)


@given('routes "{short}" and "{long}" where the second fails at once')
def step_two_routes(context, short, long):
    context.mesh.configure({'name': 'deep', 'prefix': long, 'service': 'none'})


@given('a route "{prefix}" with a timeout of {timeout_ms:d} ms')
def step_brief_route(context, prefix, timeout_ms):
    context.mesh.configure(
        {'name': 'brief', 'prefix': prefix, 'timeout': f'{timeout_ms}ms'}
    )


@given('a header timeout of {timeout_ms:d} ms')
def step_header_timeout(context, timeout_ms):
    context.mesh.configure(header_timeout=f'{timeout_ms}ms')


@given('a route "{prefix}" with weights 90 and 10 to calendar and ledger')
def step_split(context, prefix):
    mesh = context.mesh
    split = [
        {'service': 'calendar', 'weight': 90},
        {'service': 'ledger', 'weight': 10},
    ]
    mesh.fleet.add_host('ledger-1', 'ledger')
    mesh.configure({'name': 'split', 'prefix': prefix, 'split': split})
    mesh.fleet.wait_ready()


@given('{count:d} connections that each sent half a head')
def step_half_heads(context, count):
    mesh = context.mesh

    async def open_all():
        port = mesh.first.addresses.callers_port
        for _ in range(count):
            _reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(b'GET /r0/ HT')
            context.cleanups.append(
                lambda writer=writer: mesh.loop_call(writer.close)
            )

    mesh.loop_call = mesh.fleet.loop.call_soon_threadsafe
    mesh.fleet.run(open_all())


@given('another host that has just started')
def step_another_host(context):
    context.mesh.third = context.mesh.fleet.add_host('hall-3')


@when('a caller posts "{body}" to "{path}" with id "{request_id}"')
def step_post(context, body, path, request_id):
    context.mesh.ask(path, request_id, body.encode())


@when('a caller asks "{path}" with id "{request_id}"')
def step_ask(context, path, request_id):
    context.mesh.ask(path, request_id)


@when(
    'a caller sets "{name}" to "{value}" and asks "{path}" as "{request_id}"'
)
def step_ask_header(context, name, value, path, request_id):
    fields = {name.replace('-', '_'): value}
    context.mesh.ask(path, request_id, **fields)


@when('a caller of it asks "{path}" with id "{request_id}"')
def step_ask_third(context, path, request_id):
    mesh = context.mesh
    mesh.answers.append(
        mesh.fleet.call(
            mesh.third.addresses.callers_port, path, X_Request_Id=request_id
        )
    )


@when('a caller asks "{path}" with ids "{first}" to "{last}"')
def step_ask_many(context, path, first, last):
    context.mesh.ids = [chr(n) for n in range(ord(first), ord(last) + 1)]
    for request_id in context.mesh.ids:
        context.mesh.ask(path, request_id)


@when('a caller sends half of a body to "{path}" and closes')
def step_half_body(context, path):
    async def send():
        _reader, writer = await asyncio.open_connection(
            '127.0.0.1', context.mesh.first.addresses.callers_port
        )
        writer.write(f'{POST}Content-Length: 100\r\n\r\nhalf'.encode())
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.2)

    context.mesh.fleet.run(send())


@when('a caller sends a head with {fault}')
def step_bad_head(context, fault):
    mesh = context.mesh
    mesh.raw = mesh.fleet.run(mesh.send_raw(FAULTS[fault].encode('latin-1')))


@when('a caller sends half a head and waits')
def step_half_head(context):
    mesh = context.mesh
    mesh.raw = mesh.fleet.run(mesh.send_raw(b'GET /r0/ HTTP/1.1\r\nHo'))


@when('a caller sends {count:d} requests ahead on one connection')
def step_pipeline(context, count):
    mesh = context.mesh
    mesh.ids = [f'ahead-{number}' for number in range(count)]
    requests = [HEAD.replace('Id: x', f'Id: {item}') for item in mesh.ids]
    requests[-1] += 'Connection: close\r\n'
    data = ''.join(f'{request}\r\n' for request in requests)
    mesh.raw = mesh.fleet.run(mesh.send_raw(data.encode()))


@when('a caller asks "{path}" and closes once a target is at work')
def step_give_up(context, path):
    mesh = context.mesh

    async def leave():
        _reader, writer = await asyncio.open_connection(
            '127.0.0.1', mesh.first.addresses.callers_port
        )
        writer.write(f'{HEAD}\r\n'.encode())
        while not any(books.running for books in mesh.list_books()):
            await asyncio.sleep(0.01)
        writer.close()

    mesh.fleet.run(leave())


@given('the daemon of the second host stops answering')
def step_stand_still(context):
    mesh = context.mesh
    mesh.third = mesh.fleet.add_host('hall-3')
    mesh.configure({'timeout': '2500ms', 'prefix': '/slow/', 'name': 'slow'})
    mesh.fleet.wait_ready()
    mesh.fleet.report(mesh.first, 'draining')
    # It accepts calls and answers none.
    mesh.second.daemon.inbound.begin = lambda _call: asyncio.sleep(3600)


@given('the target of the second host hangs')
def step_target_hangs(context):
    step_stand_still(context)
    mesh = context.mesh
    del mesh.second.daemon.inbound.begin
    mesh.second.daemon.state.target_client.run = lambda _call: asyncio.sleep(
        3600
    )


@given('the second host is the only one that does not refuse')
def step_others_refuse(context):
    step_only_second(context)
    mesh = context.mesh
    mesh.third = mesh.fleet.add_host('hall-3')
    mesh.fleet.wait_ready()
    target_client = mesh.third.daemon.state.target_client

    async def refuse(call):
        return target_client._refuse(call, _messages.RefusalReason.SHED, 100)

    target_client.run = refuse
    # Makes the second host the first choice.
    peers = mesh.first.daemon.state.peers
    row = mesh.first.daemon.state.fleet.members['hall-3']
    peers.find(row).shed_until_s = float('inf')


@given('only the second host has a target')
def step_only_second(context):
    mesh = context.mesh
    mesh.configure({'timeout': '2500ms', 'prefix': '/slow/', 'name': 'slow'})
    mesh.fleet.report(mesh.first, 'draining')


@when(
    '{count:d} requests go to the first host, which has no target of its own'
)
def step_ask_silent(context, count):
    mesh = context.mesh

    async def ask_all():
        port = mesh.first.addresses.callers_port
        calls = [
            mesh.fleet.start_call(port, '/slow/', X_Request_Id=f'silent-{n}')
            for n in range(count)
        ]
        return await asyncio.gather(*calls)

    mesh.answers = mesh.fleet.run(ask_all())


@then('all requests sent to the silent host are answered by the third in time')
def step_all_third(context):
    mesh = context.mesh
    statuses = [answer.status for answer in mesh.answers]
    # Two slots per target: some are shed, none waits for the silent host.
    assert set(statuses) <= {200, 503}, statuses
    assert statuses.count(200) >= 6, statuses
    assert not mesh.second.books.runs


@when('{count:d} callers ask "{path}" at the same time')
def step_many(context, count, path):
    mesh = context.mesh

    async def ask_all():
        port = mesh.first.addresses.callers_port
        calls = [
            mesh.fleet.start_call(port, path, X_Request_Id=f'many-{number}')
            for number in range(count)
        ]
        return await asyncio.gather(*calls)

    mesh.answers = mesh.fleet.run(ask_all())


@when('the target of the first host reports "{state}"')
def step_say(context, state):
    mesh = context.mesh
    mesh.acknowledged = mesh.fleet.report(mesh.first, state)


@given('the target of the first host said "{state}"')
def step_said(context, state):
    step_say(context, state)
    mesh = context.mesh
    mesh.first.books.is_leaving = True
    mesh.fleet.wait_for(
        lambda: (
            b'draining'
            in mesh.fleet.engine.read((mesh.first.name,), 'sedgering_members')[
                0
            ].value
        )
    )


@when('the daemon of the first host is killed and started again')
def step_restart(context):
    mesh = context.mesh
    mesh.fleet.restart(mesh.first)
    # Requests before the daemon is ready get 503.
    mesh.fleet.wait_for(lambda: mesh.first.daemon.is_ready)


@when('both hosts are asked before its target reports again')
def step_ask_early(context):
    mesh = context.mesh
    for number in range(20):
        for host in (mesh.first, mesh.second):
            mesh.fleet.call(
                host.addresses.callers_port, '/r0/', X_Request_Id=f'{number}'
            )


@then('the first host serves the second, whose own target leaves')
def step_serve_second(context):
    mesh = context.mesh
    # Which of two open targets is chosen depends on their work times; with
    # one left there is no choice.
    assert mesh.fleet.report(mesh.second, 'draining') == 200
    mesh.first.books.runs.clear()

    async def ask_until():
        port = mesh.second.addresses.callers_port
        status = None
        while status != 200:
            answer = await mesh.fleet.start_call(
                port, '/r0/', X_Request_Id='x'
            )
            status = answer.status

    mesh.fleet.run(ask_until())
    assert mesh.first.books.runs


@when('the target of the first host deregisters')
def step_deregister(context):
    mesh = context.mesh
    mesh.acknowledged = mesh.fleet.deregister(mesh.first)


@when('it reports "{state}" again')
def step_report_again(context, state):
    context.mesh.fleet.report(context.mesh.first, state)


@when('the target of the first host is replaced unannounced')
def step_replace(context):
    context.mesh.first.books.target = 'i-another'


@when('version 2 sends "{path}" to a service without targets')
def step_version_away(context, path):
    mesh = context.mesh
    mesh.routes[0] = {'service': 'none'}
    mesh.configure()


@when('version 3 and then version 2 are written')
def step_old_version(context):
    mesh = context.mesh
    for version in (3, 2):
        mesh.fleet.configure(testing.make_document(version, mesh.routes))
        mesh.wait_version(3)


@when('a document that is cut short is written')
def step_cut_document(context):
    mesh = context.mesh
    mesh.fleet.configure(testing.make_document(2, mesh.routes)[:-20])


@when('the store drops its history')
def step_compact(context):
    context.mesh.fleet.engine.compact()


@when('the first host is told to leave while a request is under way')
def step_leave(context):
    mesh = context.mesh
    port = mesh.first.addresses.callers_port

    async def leave():
        call = asyncio.ensure_future(
            mesh.fleet.start_call(port, '/r0/', X_Request_Id='leaving')
        )
        while not any(books.running for books in mesh.list_books()):
            await asyncio.sleep(0.01)
        mesh.leaving = asyncio.ensure_future(
            mesh.first.daemon.leave(LEAVING_GRACE_MS)
        )
        await asyncio.sleep(0)
        mesh.was_ready = mesh.first.daemon.is_ready
        return await call

    mesh.answers.append(mesh.fleet.run(leave()))


@when('{count:d} requests are sent to "{path}"')
def step_ask_count(context, count, path):
    for number in range(count):
        context.mesh.ask(path, f'split-{number}')


@then('the answer is {status:d}')
def step_status(context, status):
    answer = context.mesh.answers[-1]
    assert answer.status == status, (answer.status, answer.body)


@then('the answer is 200 with the signature and the body of "{request_id}"')
def step_whole(context, request_id):
    answer = context.mesh.answers[-1]
    assert answer.status == 200, answer
    assert answer.body == f'answer to {request_id}'.encode()
    names = [name for name, _value in answer.headers]
    assert 'X-Response-Signature' in names, names
    assert not [name for name in names if name.startswith('sedgering')]


@then('one target ran "{request_id}" as "{line}" with body "{body}"')
def step_ran(context, request_id, line, body):
    ((ran_id, ran_line, headers, ran_body),) = context.mesh.list_runs()
    assert (ran_id, ran_line) == (request_id, line)
    assert ran_body == body.encode()
    context.mesh.headers = {
        name.lower(): value for name, value in headers.items()
    }


@then('it received its own id, the origin "{origin}" and a shorter deadline')
def step_saw(context, origin):
    headers = context.mesh.headers
    targets = [books.target for books in context.mesh.list_books()]
    assert headers['x-expect-instance'] in targets
    assert headers['x-caller-service'] == origin
    assert 0 < int(headers['x-request-deadline']) <= 1000
    assert not [name for name in headers if name.startswith('sedgering')]


@then('the target saw exactly one "{name}", which was "{value}"')
def step_saw_one(context, name, value):
    ((_id, _line, headers, _body),) = context.mesh.list_runs()
    found = [item for key, item in headers.items() if key.lower() == name]
    assert found == [value], found


@then('"{long}" is answered by the second and "{short}" by the first')
def step_longest(context, long, short):
    assert context.mesh.ask(long, 'long').status == 503
    assert context.mesh.ask(short, 'short').status == 200


@then('"{path}" gets 404')
def step_not_found(context, path):
    assert context.mesh.ask(path, 'lost').status == 404


@then('it arrived {count:d} times at targets')
def step_arrivals(context, count):
    assert len(context.mesh.list_runs()) == count, context.mesh.list_runs()


@then('each gets the body for its own id')
def step_own_bodies(context):
    bodies = [answer.body.decode() for answer in context.mesh.answers]
    assert bodies == [f'answer to {item}' for item in context.mesh.ids], bodies


@then('no target ran anything')
def step_nothing_ran(context):
    assert not context.mesh.list_runs(), context.mesh.list_runs()


@then('the raw answer is {status:d} and the connection is closed')
def step_raw(context, status):
    raw = context.mesh.raw
    assert raw.startswith(f'HTTP/1.1 {status} '.encode()), raw[:200]
    assert b'Connection: close' in raw, raw


@then('their answers come in the order in which they were sent')
def step_in_order(context):
    mesh = context.mesh
    found = re.findall(r'answer to (ahead-\d+)', mesh.raw.decode())
    assert found == mesh.ids, mesh.raw


@then('the target sees its connection close')
def step_cancelled(context):
    mesh = context.mesh
    mesh.fleet.wait_for(
        lambda: sum(books.cancelled for books in mesh.list_books()) == 1
    )


@then('every answer is 200, or 503 with Retry-After')
def step_all_final(context):
    for answer in context.mesh.answers:
        names = {name for name, _value in answer.headers}
        assert answer.status in (200, 503), answer
        assert answer.status == 200 or 'Retry-After' in names, answer


@then('no target worked on more than {count:d} at a time')
def step_most_running(context, count):
    for books in context.mesh.list_books():
        assert 0 < books.most_running <= count, books.most_running


@then('every 503 was not run')
def step_not_run(context):
    served = [item for item in context.mesh.answers if item.status == 200]
    assert len(context.mesh.list_runs()) == len(served)


@then('it is acknowledged, and {count:d} requests all run at the second host')
def step_all_second(context, count):
    assert context.mesh.acknowledged == 200
    step_run_second(context, count)


@then('{count:d} requests all run at the second host')
def step_run_second(context, count):
    mesh = context.mesh
    for host in (mesh.first, mesh.second):
        port = host.addresses.callers_port
        for number in range(count // 2):
            answer = mesh.fleet.call(
                port, '/r0/', X_Request_Id=f'{host.name}-{number}'
            )
            assert answer.status == 200, (answer.status, answer.body)
    assert not mesh.first.books.runs
    assert len(mesh.second.books.runs) == count


@then('"{path}" gets 503 from both hosts')
def step_unavailable(context, path):
    mesh = context.mesh
    for host in (mesh.first, mesh.second):
        answer = mesh.fleet.call(host.addresses.callers_port, path)
        assert answer.status == 503, answer
        assert json.loads(answer.body)['code'] == 5002


@then('both hosts stay at version {version:d}')
def step_stay(context, version):
    mesh = context.mesh
    mesh.fleet.run(asyncio.sleep(1.0))
    mesh.wait_version(version)


@then('it is not ready until the store answers again')
def step_ready_later(context):
    mesh = context.mesh
    assert not mesh.third.daemon.is_ready
    mesh.fleet.engine.faults.mode = testing.StoreMode.SOUND
    mesh.fleet.wait_ready()


@then('all hosts are members of one fleet')
def step_all_known(context):
    context.mesh.fleet.wait_ready()


@then('it is not ready at once, and the request is answered 200')
def step_left(context):
    mesh = context.mesh
    assert not mesh.was_ready
    assert mesh.answers[-1].status == 200


@then('requests of the second host all run there')
def step_second_only(context):
    mesh = context.mesh
    # Once the store has deleted the row, nothing is sent there.
    mesh.fleet.wait_for(
        lambda: len(mesh.second.daemon.state.fleet.members) == 1
    )
    before = len(mesh.second.books.runs)
    for number in range(6):
        answer = mesh.fleet.call(
            mesh.second.addresses.callers_port,
            '/r0/',
            X_Request_Id=f'after-{number}',
        )
        assert answer.status == 200, answer
    assert len(mesh.second.books.runs) == before + 6
    mesh.fleet.run(asyncio.wait_for(mesh.leaving, 10))


@then('{count:d} of them ran at ledger')
def step_split_runs(context, count):
    ledger = context.mesh.fleet.hosts['ledger-1'].books
    assert len(ledger.runs) == count, len(ledger.runs)


@given('the store answers after {slow_s:g} s')
def step_slow_store(context, slow_s):
    context.mesh.fleet.engine.faults.slow_ms = int(slow_s * 1000)


@when('a late heartbeat of a lifetime that crashed arrives there')
def step_late_heartbeat(context):
    mesh = context.mesh
    request = testing.make_report(
        'i-crashed', 'heartbeat', 'calendar', 'ready', 40
    )
    answer = mesh.fleet.call(
        mesh.first.addresses.reports_port, request.url, request.body
    )
    assert answer.status == 200


@when(
    'the first host leaves within {grace_s:d} s while {count:d} callers of '
    'the second post'
)
def step_leave_busy(context, grace_s, count):
    mesh = context.mesh
    port = mesh.second.addresses.callers_port
    context.posts = []

    async def post_again(caller, until_s):
        number = 0
        while mesh.fleet.loop.time() < until_s:
            number += 1
            request_id = f'post-{caller}-{number}'
            answer = await mesh.fleet.start_call(
                port, '/once/', b'x', X_Request_Id=request_id
            )
            context.posts.append((request_id, answer.status))

    async def leave():
        await mesh.first.daemon.leave(grace_s * 1000)
        # As the process does at its end.
        await mesh.first.daemon.close()

    async def run_all():
        until_s = mesh.fleet.loop.time() + grace_s
        await asyncio.gather(
            leave(), *(post_again(caller, until_s) for caller in range(count))
        )

    mesh.fleet.run(run_all())


@then('every post was answered 200 or 503, and ran once at the most')
def step_posts(context):
    mesh = context.mesh
    ran = [
        run[0] for host in (mesh.first, mesh.second) for run in host.books.runs
    ]
    assert len(ran) == len(set(ran))
    statuses = {status for _request_id, status in context.posts}
    assert statuses <= {200, 503}, statuses
    assert any(run[0] for run in mesh.first.books.runs)


@given('three tasks of a daemon that wait for a store')
def step_three_tasks(context):
    context.loop = asyncio.new_event_loop()
    context.cleanups.append(context.loop.close)
    context.loop.run_until_complete(_start_pauses(context))


async def _start_pauses(context):
    store_recovery = _watch.StoreRecovery()
    context.backoffs = [_watch.RetryBackoff(store_recovery) for _ in range(4)]
    for backoff in context.backoffs:
        backoff._pause_s = 3600.0
    loop = asyncio.get_running_loop()
    context.waiting = [
        loop.create_task(backoff.wait()) for backoff in context.backoffs[:3]
    ]
    # Let each task begin to wait.
    await asyncio.sleep(0)


@when('one of them is answered')
def step_answered(context):
    context.backoffs[3].reset()


@then('all three continue at once')
def step_go_on(context):
    waiting = asyncio.wait(context.waiting, timeout=10)
    _done, pending = context.loop.run_until_complete(waiting)
    assert not pending

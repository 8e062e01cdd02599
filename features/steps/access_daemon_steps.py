"""Steps for daemons that require keys."""

import asyncio
import io
import logging
import re
import socket
import time

from behave import given
from behave import then
from behave import when
from mesh_steps import MeshSubject
from mesh_steps import ROUTE_FIELDS
import msgspec
import request_subject

from sedgering import access
from sedgering import base
from sedgering import bundle as bundles
from sedgering.cli import _explain
from sedgering import observability
from sedgering import testing

KEYS = {
    'blue': 'k3y-that-opens-blue',
    'green': 'k3y-that-opens-green',
    'spare': 'k3y-that-was-blue-too',
    'nobody': 'k3y-that-opens-nothing',
}
WORKSPACES = {
    'blue': {'api_keys': [KEYS['blue'], KEYS['spare']], 'priority': 1},
    'green': {'api_keys': [KEYS['green']]},
}
ROUTES = [
    *ROUTE_FIELDS,
    {'name': 'public', 'prefix': '/public/', 'public': True},
    {'name': 'deadly', 'prefix': '/deadly/', 'kind': 'non_idempotent'},
]
HOST = 'Host: calendar.example\r\n'
ID = 'X-Request-Id: raw\r\n'
BLUE = f'Authorization: Token {KEYS["blue"]}\r\n'
GREEN = f'Authorization: Token {KEYS["green"]}\r\n'
FORGED = 'X-Tenant: green\r\n'
CHUNKED = 'Transfer-Encoding: chunked\r\n'
#: Fields of a raw request and, behind a tilde, its trailers.
RAW = {
    'a forged workspace': BLUE + FORGED,
    'two forged workspaces': FORGED + BLUE + FORGED,
    'a forged workspace in odd case': BLUE + 'x-tENANT: green\r\n',
    'the key in odd case': BLUE.replace('Auth', 'aUTH'),
    'a hop field of its own': BLUE + 'Sedgering-Workspace: 0|green\r\n',
    'its key named by Connection': (
        BLUE + 'Connection: authorization, x-tenant\r\n' + FORGED
    ),
    'its claims in a trailer': f'{BLUE}{CHUNKED}~{FORGED}{GREEN}X-A: b\r\n',
    'no key': '',
    'an unknown key': f'Authorization: Token {KEYS["nobody"]}\r\n',
    'another scheme': BLUE.replace('Token', 'Bearer'),
    'two keys': BLUE + GREEN,
    'the same key twice': BLUE + BLUE,
    'a folded key': BLUE.replace('Token ', 'Token\r\n '),
    'a key in a trailer': f'{CHUNKED}~{BLUE}X-A: b\r\n',
    'a forged workspace alone': FORGED,
}


class KeyedMesh(MeshSubject):
    """A mesh with workspaces, and the log lines of its daemons."""

    def __init__(self):
        super().__init__()
        self.routes = list(ROUTES)
        self.workspaces = {
            name: dict(fields) for name, fields in WORKSPACES.items()
        }
        self.lines = io.StringIO()
        self.handler = logging.StreamHandler(self.lines)
        self.handler.setFormatter(observability.JsonFormatter({}))
        self.logger = logging.getLogger()
        self.level = self.logger.level
        self.logger.addHandler(self.handler)
        logging.disable(logging.NOTSET)
        self.logger.setLevel(logging.DEBUG)

    def stop(self) -> None:
        """Stop the mesh and restore the logging settings."""
        self.logger.removeHandler(self.handler)
        self.logger.setLevel(self.level)
        logging.disable(logging.CRITICAL)
        self.fleet.stop()

    def write(self) -> None:
        """Write the next version and wait for it."""
        self.version += 1
        self.fleet.configure(
            testing.make_document(self.version, self.routes, self.workspaces)
        )
        self.wait_version(self.version)

    def ask_as(self, name: str, path: str, request_id: str, body=None):
        """Send a request with a key to the first host."""
        return self.ask(
            path, request_id, body, Authorization=f'Token {KEYS[name]}'
        )

    def list_seen(self, name: str) -> list[str]:
        """Return the values of a field in all requests run by targets."""
        return [
            value
            for books in self.list_books()
            for fields in books.fields
            for other, value in fields
            if other.lower() == name
        ]


def make_raw(kind: str, path: str) -> bytes:
    """Make a raw request of fields and trailers."""
    fields, _tilde, trailers = RAW[kind].partition('~')
    head = f'{HOST}{ID}{fields}'
    if trailers:
        text = (
            f'POST {path} HTTP/1.1\r\n{head}\r\n1\r\nx\r\n0\r\n{trailers}\r\n'
        )
    else:
        text = f'GET {path} HTTP/1.1\r\n{head}\r\n'
    return text.encode()


@given('a mesh with two calendar hosts and workspaces')
def step_mesh(context):
    keyed = context.keyed = KeyedMesh()
    context.cleanups.append(keyed.stop)
    keyed.first = keyed.fleet.add_host('hall-1')
    keyed.second = keyed.fleet.add_host('hall-2')
    keyed.write()
    keyed.fleet.wait_ready()


@given('the operator removes all workspaces')
def step_remove_workspaces(context):
    context.keyed.workspaces = {}
    context.keyed.write()


@given('no daemon reaches the store')
def step_store_unreachable(context):
    keyed = context.keyed
    keyed.fleet.engine.faults.mode = testing.StoreMode.BUSY
    keyed.fleet.wait_for(
        lambda: (
            not any(
                host.daemon.source.find_freshness().is_current
                for host in keyed.fleet.hosts.values()
            )
        )
    )


@given('a daemon that knows no version')
def step_no_version(context):
    keyed = context.keyed
    keyed.first.daemon.state.config.bundles.snapshot = None


@when('a caller with the key of "{name}" asks "{path}" as "{request_id}"')
def step_ask(context, name, path, request_id):
    context.keyed.ask_as(name, path, request_id)


@when('a caller sends raw {kind} to "{path}"')
def step_raw(context, kind, path):
    keyed = context.keyed

    async def send():
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', keyed.first.addresses.callers_port
        )
        writer.write(make_raw(kind, path))
        try:
            return await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
        finally:
            writer.close()

    keyed.raw = keyed.fleet.run(send())


@when('a caller asks "{path}" before and after its key is revoked')
def step_revoke(context, path):
    keyed = context.keyed
    head = f'GET {path} HTTP/1.1\r\n{HOST}{ID}{BLUE}\r\n'.encode()

    async def ask(reader, writer):
        writer.write(head)
        found = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
        length = re.search(rb'Content-Length: (\d+)', found)
        await reader.readexactly(int(length.group(1)))
        return int(found.split()[1])

    async def connect():
        return await asyncio.open_connection(
            '127.0.0.1', keyed.first.addresses.callers_port
        )

    streams = keyed.fleet.run(connect())
    context.cleanups.append(
        lambda: keyed.fleet.loop.call_soon_threadsafe(streams[1].close)
    )
    keyed.statuses = [keyed.fleet.run(ask(*streams))]
    keyed.workspaces['blue']['api_keys'] = [KEYS['spare']]
    keyed.write()
    keyed.statuses.append(keyed.fleet.run(ask(*streams)))


@when('a caller pipelines requests of blue, nobody and green')
def step_pipeline(context):
    keyed = context.keyed
    data = ''.join(
        f'GET /r0/{name} HTTP/1.1\r\n{HOST}X-Request-Id: {name}\r\n'
        f'Authorization: Token {KEYS[name]}\r\n\r\n'
        for name in ('blue', 'nobody', 'green')
    )
    last = data.removesuffix('\r\n') + 'Connection: close\r\n\r\n'
    keyed.raw = keyed.fleet.run(keyed.send_raw(last.encode()))


@when('daemons refuse, serve, fail, crash and explain with known keys')
def step_everything(context):
    keyed = context.keyed
    for name in KEYS:
        keyed.ask_as(name, '/r0/a', f'grep-{name}')
        keyed.ask_as(name, '/public/a', f'open-{name}')
        keyed.ask_as(name, '/nowhere/', f'lost-{name}')
    for kind in RAW:
        step_raw(context, kind, '/r0/raw')
    for habit in (testing.TargetHabit.FAILING, testing.TargetHabit.RESET):
        for books in keyed.list_books():
            books.habit = habit
        keyed.ask_as('blue', '/r0/b', f'bad-{habit.value}')
    for host in keyed.fleet.hosts.values():
        host.books.habit = testing.TargetHabit.SOUND
        host.books.fatal_urls.add('/deadly/')
        keyed.fleet.let_crash(host, 0.2)
    keyed.ask_as('green', '/deadly/', 'fatal', b'x')
    # A document that cannot be decoded, and one that is refused.
    keyed.fleet.configure(b'{"version":"r900","api_keys":["%b"' % KEYS_BYTES)
    keyed.fleet.wait_for(lambda: 'document refused' in keyed.lines.getvalue())
    doubled = {**keyed.workspaces, 'red': keyed.workspaces['blue']}
    keyed.fleet.configure(testing.make_document(901, keyed.routes, doubled))
    keyed.fleet.wait_for(lambda: 'version refused' in keyed.lines.getvalue())


KEYS_BYTES = KEYS['blue'].encode()


@given('four more hosts, most of which follow relays')
def step_more_hosts(context):
    keyed = context.keyed
    for number in range(3, 7):
        keyed.fleet.add_host(f'hall-{number}')
    keyed.fleet.wait_ready()
    keyed.fleet.wait_for(
        lambda: (
            sum(
                not host.daemon.source.is_watching
                and host.daemon.source.find_freshness().is_current
                for host in keyed.fleet.hosts.values()
            )
            >= 3
        )
    )


def ask_all(keyed, name):
    """Send a request with a key to each host; return the statuses."""
    return [
        keyed.fleet.call(
            host.addresses.callers_port,
            '/r0/a',
            X_Request_Id=f'all-{host.name}',
            X_Request_Deadline='3000',
            Authorization=f'Token {KEYS[name]}',
        ).status
        for host in keyed.fleet.hosts.values()
    ]


@when('the key of "{name}" is given to "{holder}"')
def step_give(context, name, holder):
    keyed = context.keyed
    keyed.workspaces[holder]['api_keys'] = [KEYS[holder], KEYS[name]]
    keyed.write()
    context.given_key = name


@when('that key is revoked again')
def step_revoke_again(context):
    context.keyed.workspaces['green']['api_keys'] = [KEYS['green']]
    context.keyed.write()


@then('every daemon serves it, and answers 401 to an unknown key')
def step_all_serve(context):
    keyed = context.keyed
    assert set(ask_all(keyed, context.given_key)) == {200}
    KEYS['stranger'] = 'k3y-that-nobody-has'
    assert set(ask_all(keyed, 'stranger')) == {401}


@then('every daemon answers 401 to it')
def step_all_refuse(context):
    assert set(ask_all(context.keyed, context.given_key)) == {401}


@given('a call by a later version has come to the first host')
def step_later_version(context):
    source = context.keyed.first.daemon.source

    async def note():
        source.note_peer_version(base.Version(source.versions.version + 1))

    context.keyed.fleet.run(note())


@given('daemons that are strict after {limit_ms:d} ms')
def step_strict(context, limit_ms):
    for host in context.keyed.fleet.hosts.values():
        state = host.daemon.state
        state.follow_revocation(
            msgspec.structs.replace(
                state.mesh_settings, revoke_strict=True, revoke_ms=limit_ms
            )
        )


@when(
    'a caller with the key of "{name}" asks "{path}" as "{request_id}" '
    '{pause_ms:d} ms later'
)
def step_ask_later(context, name, path, request_id, pause_ms):
    time.sleep(pause_ms / 1000)
    context.keyed.ask_as(name, path, request_id)


@given('a proxy with a route that needs the key of "{name}"')
def step_proxy(context, name):
    subject = request_subject.RequestSubject()
    context.cleanups.append(subject.stop)
    subject.add_target('answers')
    holder = subject.state.holder
    digest = access.compute_key_digest(KEYS[name])
    content = msgspec.structs.replace(
        holder.snapshot.bundle,
        workspaces=(bundles.Workspace(name, (digest,)),),
        keyed_routes=('repeatable',),
    )
    holder.apply(base.Version(2), b'd', content)
    context.proxy = subject


def ask_proxy(subject, fields: str) -> bytes:
    """Send a request to a threaded proxy; return the head of its answer."""
    path = request_subject.PATHS['repeatable']
    head = (
        f'GET {path} HTTP/1.1\r\nHost: {request_subject.HOST}\r\n'
        f'Connection: close\r\n{fields}\r\n'
    )
    with socket.create_connection(('127.0.0.1', subject.port), 5) as sock:
        sock.sendall(head.encode())
        with sock.makefile('rb') as stream:
            return stream.read().partition(b'\r\n\r\n')[0]


@when('the first daemon restarts and gets known and unknown keys')
def step_restart(context):
    keyed = context.keyed
    keyed.fleet.restart(keyed.first)
    for name in ('blue', 'nobody'):
        keyed.ask_as(name, '/r0/a', f'anew-{name}')


@then('it holds no version, and its answers are 503')
def step_holds_none(context):
    keyed = context.keyed
    assert keyed.first.daemon.state.config.snapshot is None
    assert [answer.status for answer in keyed.answers] == [503, 503]
    assert keyed.list_runs() == []


@then('it answers 401 without the key, and passes "{name}" on with it')
def step_proxy_keys(context, name):
    subject = context.proxy
    refused = ask_proxy(subject, 'X-Workspace: blue\r\n')
    assert refused.startswith(b'HTTP/1.1 401 '), refused
    assert b'WWW-Authenticate: Bearer' in refused, refused
    fields = f'Authorization: Bearer {KEYS[name]}\r\nX-Workspace: green\r\n'
    answer = ask_proxy(subject, fields)
    assert answer.startswith(b'HTTP/1.1 200 '), answer
    (target,) = subject.targets
    (head,) = target.heads
    assert head['x-workspace'] == name, head
    assert 'authorization' not in head, head


@then('the answer with a key is {status:d}')
def step_status(context, status):
    answer = context.keyed.answers[-1]
    assert answer.status == status, (answer.status, answer.body)


@then('the answer with a key is 401 and names the scheme and code {code:d}')
def step_unauthorized(context, code):
    step_status(context, 401)
    answer = context.keyed.answers[-1]
    assert answer.find('www-authenticate') == 'Token'
    assert answer.find('retry-after') is None
    assert f'"code": {code}'.encode() in answer.body


@then('the answer with a key is 503 with a Retry-After field')
def step_unsure(context):
    step_status(context, 503)
    answer = context.keyed.answers[-1]
    assert float(answer.find('retry-after')) > 0
    assert answer.find('www-authenticate') is None


@then('the targets saw the workspace "{name}" once, and no key')
def step_saw(context, name):
    keyed = context.keyed
    assert keyed.list_seen('x-tenant') == [name]
    assert keyed.list_seen('authorization') == []


@then(
    'the metrics count {count:d} answered request of "{name}" and '
    '{refused:d} refused by {code:d}'
)
def step_metrics(context, count, name, refused, code):
    text = context.keyed.first.daemon.render_metrics().decode()
    assert (
        f'sedgering_workspace_requests{{kind="answered",workspace="{name}"}} '
        f'{count:.1f}\n'
    ) in text, text
    assert (
        f'sedgering_requests_total{{kind="refused",label="{code}"}} '
        f'{refused:.1f}\n'
    ) in text, text


@then('the targets saw no workspace and no key')
def step_saw_none(context):
    keyed = context.keyed
    assert len(keyed.list_runs()) == 1
    assert keyed.list_seen('x-tenant') == []
    assert keyed.list_seen('authorization') == []


@then('the targets saw the key and no workspace')
def step_saw_key(context):
    keyed = context.keyed
    assert keyed.list_seen('x-tenant') == []
    assert keyed.list_seen('authorization') == [f'Token {KEYS["blue"]}']


@then('the raw answer starts with {status:d}')
def step_raw_status(context, status):
    raw = context.keyed.raw
    assert raw.startswith(f'HTTP/1.1 {status} '.encode()), raw


@then('no target ran a request')
def step_no_run(context):
    assert context.keyed.list_runs() == []


@then('the first answer is {first:d} and the second one {second:d}')
def step_statuses(context, first, second):
    assert context.keyed.statuses == [first, second], context.keyed.statuses


@then('the answers are 200, 401 and 200, for "blue" and "green"')
def step_pipelined_answers(context):
    keyed = context.keyed
    found = re.findall(rb'HTTP/1.1 (\d+)', keyed.raw)
    assert found == [b'200', b'401', b'200'], keyed.raw
    assert sorted(keyed.list_seen('x-tenant')) == ['blue', 'green']
    for run in keyed.list_runs():
        assert run[2]['X-Tenant'] == run[0], run


@then('the logs contain all of these events')
def step_logged(context):
    lines = context.keyed.lines.getvalue()
    for message in (
        'request refused',
        'request answered',
        'attempt failed',
        'target ended',
        'document refused',
        'version refused',
    ):
        assert f'"message":"{message}"' in lines, message


@then('no key is in the logs, metrics, answers, store or rows')
def step_grep(context):
    keyed = context.keyed
    lines = keyed.lines.getvalue()
    hosts = keyed.fleet.hosts.values()
    records = list(_explain.read_records(lines.splitlines()))
    written = [
        lines,
        *(_explain.explain_request(records, 'grep-nobody')),
        *(_explain.explain_host(records, 'hall-1')),
        *(str(answer) for answer in keyed.answers),
        *(host.daemon.render_metrics().decode() for host in hosts),
        *(
            repr(host.daemon.state.target_client.watch.records)
            for host in hosts
        ),
        *(repr(host.daemon.state.config.snapshot.bundle) for host in hosts),
        *(repr(host.daemon.source.versions.newest) for host in hosts),
        *(repr(host.daemon.state.fleet.members) for host in hosts),
        *(
            repr(fields)
            for books in keyed.list_books()
            for fields in books.fields
        ),
    ]
    for host in hosts:
        (row,) = keyed.fleet.engine.read((host.name,), 'sedgering_members')
        written.append(repr(row.value))
    for name, key in KEYS.items():
        for text in written:
            assert key not in text, (name, text[:200])


@then('the start of the digest of the refused key is logged')
def step_key_head(context):
    digest = access.compute_key_digest(KEYS['nobody'])
    lines = [
        line
        for line in context.keyed.lines.getvalue().splitlines()
        if '"grep-nobody"' in line
    ]
    assert f'"key_head":"{digest[:8]}"' in ''.join(lines), lines
    assert digest not in context.keyed.lines.getvalue()

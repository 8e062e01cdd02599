"""Steps for the start of a daemon."""

import asyncio
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import tomllib

from behave import given
from behave import then
from behave import when
import msgspec

from sedgering.mesh import _fleet
from sedgering import ports
from sedgering import testing
from sedgering import transport

ROOT = pathlib.Path(__file__).parent.parent.parent
ADDRESS = '127.0.0.1'
PIECES = 10
PIECE_S = 0.1


@then("the daemon's program loads neither {names}")
def step_loads(context, names):
    unwanted = {name.strip('" ') for name in names.split(',')[:-1]}
    unwanted |= {
        item.strip('" ') for item in names.split(',')[-1].split('nor')
    }
    script = (
        'import sys\n'
        "sys.modules['ssl'] = None\n"
        'from sedgering.cli import _host\n'
        'print(*[name for name, module in sys.modules.items() if module])\n'
    )
    loaded = subprocess.run(
        [sys.executable, '-c', script],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    ).stdout.split()
    assert 'sedgering.mesh' in loaded
    assert not unwanted & set(loaded), unwanted & set(loaded)


class EchoService(transport.Service):
    """Returns the path of the request."""

    def find_limits(self):
        return transport.CallerLimits()

    async def answer(self, request):
        return transport.Response(200, [], request.url.encode())


@given('ports that are opened before their service starts')
def step_open_ports(context):
    context.port = testing.free_ports(1)[0]
    context.opened = ports.OpenPorts([f'{ADDRESS}:{context.port}'])
    context.cleanups.append(context.opened.close)


@when('a caller sends a request, and the service starts later')
def step_late_service(context):
    async def run():
        connection = await transport.connect(ADDRESS, context.port, 5)
        request = transport.Request('GET', '/x', [('Host', 'h')])
        exchange = asyncio.ensure_future(
            connection.exchange(
                transport.encode_request(request), lambda _response: True
            )
        )
        await asyncio.sleep(0)
        sock = context.opened.take(ADDRESS, context.port)
        server = await transport.serve(
            EchoService(), ADDRESS, context.port, sock
        )
        context.answer = await asyncio.wait_for(exchange, 5)
        connection.close()
        server.close()

    asyncio.run(run())


@then('the caller gets its answer')
def step_gets_answer(context):
    assert context.answer.body == b'/x', context.answer


@then("the daemon's program ends with status 2 on the same port")
def step_port_in_use(context):
    ended = subprocess.run(
        [
            *(sys.executable, '-m', 'sedgering.cli.daemon'),
            f'{ADDRESS}:{context.port}',
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert ended.returncode == 2, ended
    assert 'in use' in ended.stderr, ended.stderr


@given('a host whose daemon starts before the first version is written')
def step_no_version(context):
    context.fleet = testing.MeshFleet()
    context.cleanups.append(context.fleet.stop)
    context.host = context.fleet.add_host('h0')


@given('a host whose daemon started {age:d} s ago and has no version')
def step_old_start(context, age):
    step_no_version(context)
    context.host.daemon.state.start._started_s -= age


async def _ask(context):
    started_s = time.monotonic()
    port = context.host.addresses.callers_port
    context.answer = await context.fleet.start_call(
        port, '/r0/', X_Request_Id='a', X_Request_Deadline='3000'
    )
    context.elapsed_s = time.monotonic() - started_s


@when(
    'a caller sends a request, and the first version arrives {pause:f} s later'
)
def step_ask_before(context, pause):
    async def run():
        asking = asyncio.ensure_future(_ask(context))
        await asyncio.sleep(pause)
        context.fleet.configure(testing.make_document(1, [{}]))
        await asking

    context.fleet.run(run())


@when('a caller sends a request')
def step_ask(context):
    context.fleet.run(_ask(context))


@then('the answer is 200 after {pause:f} s')
def step_answer(context, pause):
    assert context.answer.status == 200, context.answer
    assert context.elapsed_s >= pause


def _check_refused(context):
    answer = context.answer
    assert answer.status == 503, answer
    pause = transport.find_header(answer.headers, 'retry-after')
    assert 0 < float(pause) < 1, pause
    assert not context.host.books.runs


@then('it is refused at once as not run, with a Retry-After time')
def step_refused_at_once(context):
    _check_refused(context)
    held = [item for item in [context.elapsed_s] if item > 0.3]
    assert not held, held


@then('it is refused within {limit:f} s as not run, with a Retry-After time')
def step_refused_soon(context, limit):
    _check_refused(context)
    # It was held, but not until the usual end of a start.
    assert context.elapsed_s > limit / 2, context.elapsed_s


@given('two hosts, the first of which gets no updates of the store')
def step_no_updates(context):
    context.fleet = testing.MeshFleet()
    context.cleanups.append(context.fleet.stop)
    context.first = context.fleet.add_host('h0', 'ledger')
    context.second = context.fleet.add_host('h1')
    context.fleet.configure(testing.make_document(1, [{}]))
    context.fleet.wait_ready()
    context.first.daemon.source.merge_members = lambda _update: None
    watcher = context.first.daemon.source._member_watcher
    watcher.post = lambda _update: None


@when('the target of the second host is replaced by another lifetime')
def step_replaced(context):
    host = context.second
    context.fleet.deregister(host)
    host.books.target = 'i-next'
    host.sequence = 0
    context.fleet.report(host)


def _ask_first(context, count):
    port = context.first.addresses.callers_port

    async def run():
        return await asyncio.gather(
            *(
                context.fleet.start_call(
                    port,
                    '/r0/',
                    X_Request_Id=f'a{number}',
                    X_Request_Deadline='3000',
                )
                for number in range(count)
            )
        )

    return context.fleet.run(run())


@then('a call of the first host runs there, once')
def step_runs_there(context):
    (answer,) = _ask_first(context, 1)
    assert answer.status == 200, answer
    assert len(context.second.books.runs) == 1


@then('{count:d} calls of the first host at once all run there, once each')
def step_all_run(context, count):
    answers = _ask_first(context, count)
    statuses = [(answer.status, answer.body) for answer in answers]
    assert [item[0] for item in statuses] == [200] * count, statuses
    ran = [run[0] for run in context.second.books.runs]
    assert sorted(ran) == sorted(f'a{number}' for number in range(count))


@then('the first host knows the new target')
def step_knows(context):
    rows = context.first.daemon.state.fleet.ready_by_set['calendar']
    assert [row.target for row in rows] == ['i-next'], rows


@given('a member table with a row from the answer of a host')
def step_received_row(context):
    context.member_table = _fleet.FleetTable()
    context.stored = testing.make_member_row('h0', target='i-1')
    context.received = testing.make_member_row('h0', target='i-2')
    context.member_table.replace({'h0': context.stored})
    assert context.member_table.apply_reported_row(context.received)
    assert not context.member_table.apply_reported_row(context.received)


@then('that row is used while the stored one is unchanged')
def step_received_row_used(context):
    other = testing.make_member_row('h1')
    context.member_table.replace({'h0': context.stored, 'h1': other})
    assert context.member_table.members == {
        'h0': context.received,
        'h1': other,
    }
    rows = context.member_table.ready_by_set['calendar']
    assert context.received in rows or other in rows


@then('the next stored row replaces that row')
def step_stored_replaces(context):
    newer = testing.make_member_row('h0', target='i-3')
    context.member_table.replace({'h0': newer})
    assert context.member_table.members == {'h0': newer}
    context.member_table.replace({'h0': context.stored})
    assert context.member_table.members == {'h0': context.stored}


@then('an answer of a host without a stored row is ignored')
def step_row_ignored(context):
    context.member_table.replace({})
    assert not context.member_table.apply_reported_row(context.received)
    assert not context.member_table.members


@then('the daemon that joined has not read the document in the store')
def step_documents(context):
    joined = context.relays.remaining[-1].daemon
    assert not joined.follower.is_watching_store
    assert joined.source._config_watcher.reads == 0


@when('a daemon starts while the member rows still list the killed relays')
def step_start_without_relays(context):
    subject = context.relays
    subject.remaining.append(subject.fleet.add_host('h9'))


@given('a peer that sends its answer {manner}')
def step_slow_peer(context, manner):
    context.is_silent = 'silence' in manner


@then('the exchange with a silence limit of {silence:f} s {result}')
def step_silence(context, silence, result):
    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        length = f'Content-Length: {PIECES}\r\n\r\n'.encode()
        if context.is_silent:
            await asyncio.sleep(PIECES * PIECE_S)
        writer.write(b'HTTP/1.1 200 OK\r\n' + length)
        for _number in range(PIECES):
            await asyncio.sleep(PIECE_S)
            writer.write(b'x')
        writer.close()

    async def run():
        port = testing.free_ports(1)[0]
        server = await asyncio.start_server(answer, ADDRESS, port)
        connection = await transport.connect(ADDRESS, port, 5)
        request = transport.Request('GET', '/', [('Host', 'h')])
        exchange = asyncio.ensure_future(
            connection.exchange(
                transport.encode_request(request), lambda _response: True
            )
        )
        try:
            await connection.wait_unless_silent(exchange, silence)
            return (await exchange).body
        except transport.ExchangeFailed:
            return b''
        finally:
            exchange.cancel()
            connection.close()
            server.close()

    body = asyncio.run(run())
    assert body == (b'x' * PIECES if result == 'ends' else b''), body


@when("the daemon's program is started without the settings of its host")
def step_no_settings(context):
    context.ended = subprocess.run(
        [sys.executable, '-m', 'sedgering.cli.daemon'],
        cwd=ROOT,
        env={},
        capture_output=True,
        text=True,
    )


class CompiledModules:
    """The daemon's compiled modules in a separate folder, without sources."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder

    def build(self) -> None:
        """Compile the modules as the build does."""
        script = ROOT / 'scripts' / 'compile_daemon.py'
        subprocess.run([sys.executable, script, self.folder], check=True)

    def list_files(self) -> dict[pathlib.Path, int]:
        """Return the inode of each file; a rewritten file has a new one."""
        return {
            path: path.stat().st_ino
            for path in self.folder.rglob('*')
            if path.is_file()
        }


@given("the daemon's modules, compiled twice into one folder")
def step_compiled(context):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.compiled = CompiledModules(pathlib.Path(folder.name))
    context.compiled.build()
    context.files = context.compiled.list_files()
    context.compiled.build()


@when("the daemon's program is started from them without its settings")
def step_start_compiled(context):
    words = '-S', '-P', '-m', 'sedgering.cli.daemon'
    context.ended = _run_compiled(context, words)


def _run_compiled(context, words):
    libraries = pathlib.Path(msgspec.__file__).parent.parent
    path = os.pathsep.join(map(str, (context.compiled.folder, libraries)))
    return subprocess.run(
        [sys.executable, *words],
        cwd=ROOT,
        env={'PYTHONPATH': path},
        capture_output=True,
        text=True,
    )


@when('the deployed command is started from them without its settings')
def step_start_deployed(context):
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    (role,) = deploy['roles'].values()
    folder = f'{context.compiled.folder}/'
    _interpreter, *words = role['run'].replace('target/deps/', folder).split()
    words = [word for word in words if not word.startswith('{{')]
    context.ended = _run_compiled(context, words)
    context.traced = _run_compiled(context, ['-X', 'importtime', *words])


@then("only the interpreter's own modules are loaded before its signals")
def step_loaded_first(context):
    lines = context.traced.stderr.splitlines()
    loaded = [line.rpartition('|')[2].strip() for line in lines]
    before = set(loaded[: loaded.index('sedgering.signals')])
    assert 'encodings' in before, before
    late = {
        'runpy',
        'contextlib',
        'collections',
        'functools',
        'importlib.util',
    }
    assert not late & before, late & before


@then('no module was compiled by its start')
def step_none_compiled(context):
    assert context.compiled.list_files() == context.files


@when('a compiled module without a source is added to them')
def step_old_module(context):
    context.old = context.compiled.folder / 'sedgering' / 'gone.pyc'
    context.old.write_bytes(b'')


@then('the next build removes it, and replaces no other')
def step_old_removed(context):
    context.compiled.build()
    assert not context.old.exists()
    assert context.compiled.list_files() == context.files


@then('it ends with status 2 and one line with a code')
def step_one_line(context):
    lines = context.ended.stderr.splitlines()
    assert context.ended.returncode == 2, context.ended
    assert len(lines) == 1 and 'SDG-1' in lines[0], lines

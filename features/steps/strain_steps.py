"""Steps for limits of processes and strains on days of a site."""

import asyncio
import collections
import contextlib
import itertools
import pathlib
import socket
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when

from sedgering import testing
from sedgering.testing import judges
from sedgering import transport
import site_day_steps
from soak import __main__ as soak_main
from soak import _bad_bytes
from soak import _daemons
from soak import _far_links
from soak import _limits
from soak import _settings
from soak import _strains
from soak import _targets
from soak import _world
from soak import days
import soak_steps

HOLD = 'data = b"x" * {} * 1024 * 1024; print(flush=True); input()'
#: Waits for its limit, opens descriptors, and tells how many it got.
OPEN = (
    'input()\nfiles = []\ntry:\n'
    '    for _ in range({}): files.append(open("/dev/null"))\n'
    'except OSError: pass\nprint(len(files), flush=True)\ninput()'
)
DELAY_S = 0.01
TIMEOUT_S = 10.0


class LimitedDaemon(_daemons._Process):
    """A process with limits."""

    def __init__(self, **limits):
        super().__init__(pathlib.Path(), 'host-0')
        self.limits = limits

    async def run(self, program):
        """Start a program."""
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, '-c', program),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.watching = asyncio.ensure_future(
            self._watch(self.process, {}, 0.0)
        )

    async def end(self):
        """End the program."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.watching


@then('its processes are limited to {memory_mb:d} MB and {most:d} descriptors')
def step_limits(context, memory_mb, most):
    for host in context.site.hosts:
        limits = testing.make_process_limits(host)
        assert limits == {'memory_mb': memory_mb, 'max_fds': most}, limits


@when('a process that holds {held:d} MB runs under a limit of {limit:d} MB')
def step_hold(context, held, limit):
    async def run():
        daemon = LimitedDaemon(memory_mb=limit)
        context.watch = _limits.LimitWatch(daemon)
        await daemon.run(HOLD.format(held))
        await daemon.process.stdout.readline()
        context.is_killed = context.watch.check()
        if context.is_killed:
            await daemon.process.wait()
        await daemon.end()
        context.ends = daemon.ends

    asyncio.run(run())


@then('it is still running')
def step_running(context):
    assert not context.is_killed and not context.watch.kills
    assert context.watch.peak.memory_mb > 80, context.watch.peak


@then('it is killed, and the soak reports "{finding}"')
def step_killed(context, finding):
    assert context.is_killed
    results = soak_steps.SoakResults()
    results.world.watches = [context.watch]
    results.world.daemons[0].ends = context.ends
    found = soak_main._checks.check_guarantees(results.world)
    assert any(finding in line for line in found), found


@when(
    'a process that opens {count:d} descriptors runs under a limit of {most:d}'
)
def step_open(context, count, most):
    async def run():
        daemon = LimitedDaemon(max_fds=most)
        await daemon.run(OPEN.format(count))
        _limits.LimitWatch(daemon).check()
        daemon.process.stdin.write(b'\n')
        context.opened = int(await daemon.process.stdout.readline())
        await daemon.end()

    asyncio.run(run())


@then('it has opened fewer than {most:d}')
def step_opened(context, most):
    assert 0 < context.opened < most, context.opened


def make_plan(site, seed):
    """Make the strains of a seed."""
    settings = _settings.WorldSettings(
        seed,
        len(site.hosts),
        60.0,
        site=site,
        strains=frozenset(_strains.Strain),
    )
    return _strains.make_strain_plan(settings)


@then('{seeds:d} seeds give reproducible strains that differ from each other')
def step_reproducible(context, seeds):
    context.plans = [make_plan(context.site, seed) for seed in range(seeds)]
    again = [make_plan(context.site, seed) for seed in range(seeds)]
    assert context.plans == again
    for one, other in itertools.combinations(context.plans, 2):
        assert one != other


@then('they have each kind of bad bytes, at several targets at once')
def step_kinds(context):
    faults = list(itertools.chain(*context.plans))
    kinds = {fault.detail.partition('|')[0] for fault in faults}
    assert kinds == set(_bad_bytes.KINDS), kinds
    starts = collections.Counter(
        fault.at_s for plan in context.plans for fault in plan
    )
    assert max(starts.values()) > 1, starts


@when('a caller asks a target that sends bad bytes "{kind}"')
def step_ask(context, kind):
    async def run():
        books = _targets._TargetState('i-0', 1, _targets.Ledger())
        books.bad_bytes = _bad_bytes.KINDS[kind]()
        server = await asyncio.get_running_loop().create_server(
            lambda: _targets._Connection(books), '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        request = transport.Request(
            'GET', '/read/', [('x-request-id', 'one')], b'', False
        )
        connection = await transport.connect('127.0.0.1', port, TIMEOUT_S)
        context.answer = None
        with contextlib.suppress(transport.ExchangeFailed):
            context.answer = await asyncio.wait_for(
                connection.exchange(
                    transport.encode_request(request), lambda _answer: True
                ),
                TIMEOUT_S,
            )
        connection.close()
        context.work = books.ledger.work['one']
        server.close()
        books.reset_connections()

    asyncio.run(run())


@then('the exchange fails or its answer is whole')
def step_exchange(context):
    if context.answer is not None:
        body = testing.make_answer_body('one', 0)
        assert bytes(context.answer.body) == body, context.answer


@then('the run of that target is not sound')
def step_not_sound(context):
    (work,) = context.work
    assert not work.is_sound and not work.status, work


@given(
    'results of a soak in which an answer is cut after {reading_s:g} s, of '
    'which nothing was read for {paused_s:g} s'
)
def step_cut(context, reading_s, paused_s):
    context.soak = results = soak_steps.SoakResults()
    results.add_request(
        results.world.callers[0],
        'slow',
        status=0,
        is_own=False,
        reading_s=reading_s,
        paused_s=paused_s,
        done_s=soak_steps.SENT_AT_S + reading_s,
    )
    results.record_runs('slow', soak_steps.SENT_AT_S)


@given(
    'results of a soak in which a target sent bad bytes to {whom} as a '
    'request ended unanswered'
)
def step_spoilt(context, whom):
    context.soak = results = soak_steps.SoakResults()
    results.add_fault(testing.FaultKind.BAD_BYTES, 0)
    caller = results.world.callers[0]
    results.add_request(caller, 'cut', status=0, is_own=False)
    results.record_runs('cut', soak_steps.SENT_AT_S)
    results.world.ledger.spoilt.add('cut' if whom == 'it' else 'other')


@given(
    'results of a soak in which a caller that reads for {reading_s:g} s is '
    'cut off after two SIGTERM'
)
def step_two_ends(context, reading_s):
    context.soak = results = soak_steps.SoakResults()
    first_s = soak_steps.FAULT_START_S
    for start_s in (first_s, first_s + 7):
        fault = testing.Fault(0.0, testing.FaultKind.TERMINATE, 0)
        results.world.disturbances.append(
            _world.Disturbance(fault, start_s, start_s + 6)
        )
    results.world.daemons[0].ends = [
        judges.ProcessEnd(
            'host-0', first_s - 9, first_s + 5.6, 0, terminated_s=first_s
        )
    ]
    caller = results.world.callers[0]
    results.add_request(
        caller,
        'cut',
        first_s + 0.5,
        status=0,
        began_s=first_s + 0.7,
        reading_s=reading_s,
        done_s=first_s + 8,
    )
    results.record_runs('cut', first_s + 0.5)


@when('{size:d} kB and the end of the stream are sent over a far link')
def step_far(context, size):
    context.sent = b'x' * size * 1024

    async def run():
        async def answer(reader, writer):
            if await reader.read(1) == b'r':
                transport.reset_connection(writer.transport)
                return
            writer.write(context.sent)
            writer.close()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        with socket.socket() as free:
            free.bind(('127.0.0.1', 0))
            far_port = free.getsockname()[1]
        link = _far_links.FarLink('127.0.0.1', far_port, port, DELAY_S)
        await link.start()
        context.arrived = await ask('127.0.0.1', far_port, b's')
        context.reset = await ask('127.0.0.1', far_port, b'r')
        server.close()
        await server.wait_closed()
        reader, _writer = await asyncio.open_connection('127.0.0.1', far_port)
        try:
            context.refused = await reader.read(1)
        except ConnectionResetError as error:
            context.refused = error
        link.close()

    asyncio.run(run())


async def ask(address, port, data):
    """Send data and return what arrives, or the error."""
    reader, writer = await asyncio.open_connection(address, port)
    connected = await reader.readexactly(len(_far_links.CONNECTED))
    assert connected == _far_links.CONNECTED
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(-1), TIMEOUT_S)
    except ConnectionResetError as error:
        return error
    finally:
        writer.close()


@then('they arrive whole')
def step_whole(context):
    assert context.arrived == context.sent, len(context.arrived)


@then('a reset arrives as a reset')
def step_reset(context):
    assert isinstance(context.reset, ConnectionResetError), context.reset


@then('a refused connection is never established')
def step_refused(context):
    assert isinstance(context.refused, ConnectionResetError), context.refused


@when('the day "{name}" of "{site}" is played with all strains')
def step_play(context, name, site):
    settings = days.make_day_settings(
        site_day_steps.read_site(site),
        name,
        1,
        rate_share=1.0,
        strains=frozenset(_strains.Strain),
    )
    with tempfile.TemporaryDirectory(prefix='soak-') as folder:
        context.violations, summary = soak_main.run_seed(
            pathlib.Path(folder), settings
        )
    print(summary)

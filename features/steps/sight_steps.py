"""Steps for logs and metrics of requests that end late."""

import asyncio
import io
import logging
import re
import socket
import time

from behave import given
from behave import then
from behave import when
import msgspec
import slow_reader

from sedgering.cli import _explain
from sedgering.mesh import _progress
from sedgering import observability
from sedgering import transport

GRACE_MS = 4000
#: Time after which a leaving daemon has logged a line.
LINE_S = 1.2
#: Time within which a request has been forwarded.
SENT_S = 0.3
#: Interval of reading the metrics.
METRICS_INTERVAL_S = 0.1
STAGES = {
    'has no connection': _progress.AttemptStage.CONNECTION,
    'asks for room': _progress.AttemptStage.ROOM,
    'runs at its own host': _progress.AttemptStage.OWN_TARGET,
}


class LogLines:
    """Captures the log of all daemons as JSON lines."""

    def __init__(self):
        self.stream = io.StringIO()
        self.handler = logging.StreamHandler(self.stream)
        self.handler.setFormatter(observability.JsonFormatter({}))
        self.root = logging.getLogger()
        self.level = self.root.level

    def start(self):
        """Start capturing."""
        self.root.addHandler(self.handler)
        self.root.setLevel(logging.INFO)
        logging.disable(logging.NOTSET)

    def stop(self):
        """Stop capturing and restore the logging configuration."""
        logging.disable(logging.CRITICAL)
        self.root.setLevel(self.level)
        self.root.removeHandler(self.handler)

    def list(self, message):
        """Return the records with a message."""
        return [
            msgspec.json.decode(line)
            for line in self.stream.getvalue().splitlines()
            if msgspec.json.decode(line)['message'] == message
        ]


def start_lines(context):
    """Capture logs until the end of the scenario."""
    context.lines = LogLines()
    context.lines.start()
    context.cleanups.append(context.lines.stop)


def _read_gauges(daemon):
    """Return the metrics of a daemon by name and labels."""
    lines = daemon.render_metrics().decode().splitlines()
    pairs = [line.rsplit(' ', 1) for line in lines if line[0] != '#']
    return {name: float(value) for name, value in pairs}


async def _watch_gauges(context, daemon):
    """Read the metrics repeatedly and keep each reading."""
    context.gauges = []
    while True:
        context.gauges.append(_read_gauges(daemon))
        await asyncio.sleep(METRICS_INTERVAL_S)


def _start_call(context, path, request_id):
    mesh = context.mesh
    return asyncio.ensure_future(
        mesh.fleet.start_call(
            mesh.first.addresses.callers_port,
            path,
            X_Request_Id=request_id,
            X_Request_Deadline='5000',
        )
    )


async def _drop(task):
    """Cancel a call whose answer is not needed."""
    task.cancel()
    await asyncio.wait((task,))


@given('an attempt at "{host}" that {stage} since {age_ms:d} ms')
def step_attempt(context, host, stage, age_ms):
    context.progress = _progress.AttemptProgress(host, 1.0)
    context.progress.note(STAGES[stage], 2.0)
    context.told = context.progress.describe(2.0 + age_ms / 1000)


@then('it is described as "{text}"')
def step_described(context, text):
    assert context.told == text, context.told


@when('{size:d} bytes are sent to a host that reads none')
def step_send_unread(context, size):
    context.size = size

    async def run():
        loop = asyncio.get_running_loop()
        with socket.create_server(('127.0.0.1', 0)) as listener:
            port = listener.getsockname()[1]
            progress = _progress.AttemptProgress('hall-2', loop.time())
            progress.connection = await transport.connect(
                '127.0.0.1', port, SENT_S
            )
            sending = asyncio.ensure_future(
                progress.connection.exchange(b'x' * size, lambda _item: True)
            )
            progress.note(_progress.AttemptStage.ANSWER, loop.time())
            await asyncio.sleep(SENT_S)
            context.told = progress.describe(loop.time())
            await _drop(sending)
            # Again, with the connection closed.
            await asyncio.sleep(0)
            context.told_closed = progress.describe(loop.time())

    asyncio.run(run())


@then('the attempt reports no byte received and bytes not acknowledged')
def step_unread(context):
    pattern = (
        r'hall-2: sent \d+ ms ago, no byte came, (\d+) bytes not acknowledged$'
    )
    found = re.match(pattern, context.told)
    assert found, context.told
    assert 0 < int(found[1]) < context.size, context.told
    assert context.told_closed.endswith('no byte came'), context.told_closed


@given('only the first host has a target, and a route of 2.5 s')
def step_only_first(context):
    mesh = context.mesh
    mesh.configure({'timeout': '2500ms', 'prefix': '/slow/', 'name': 'slow'})
    mesh.fleet.report(mesh.second, 'draining')


@given('its daemon answers nothing')
def step_silent(context):
    inbound = context.mesh.second.daemon.inbound
    inbound.begin = lambda _call: asyncio.sleep(3600)


@given('its daemon has answered before, and now answers nothing')
def step_silent_later(context):
    mesh = context.mesh
    assert mesh.ask('/slow/', 'before').status == 200
    row = mesh.first.daemon.state.fleet.members[mesh.second.name]
    assert mesh.first.daemon.state.peers.find(row).pool.has_idle
    step_silent(context)


@given('answers of {size:d} bytes over a link of {rate:d} kB/s')
def step_slow_link(context, size, rate):
    mesh = context.mesh
    for books in mesh.list_books():
        books.body_bytes = size
    daemon = mesh.second.daemon

    async def narrow():
        loop = asyncio.get_running_loop()
        pacer = transport.LinkPacer(rate * 1000, loop)
        daemon.inbound.pacer = (
            daemon.state.target_client.answer_admission.pacer
        ) = pacer

    mesh.fleet.run(narrow())


@when('a caller asks "{path}" with id "{request_id}", and the lines are read')
def step_ask(context, path, request_id):
    start_lines(context)
    daemon = context.mesh.second.daemon

    async def run():
        watching = asyncio.ensure_future(_watch_gauges(context, daemon))
        try:
            await _start_call(context, path, request_id)
        finally:
            await _drop(watching)

    context.mesh.fleet.run(run())


@when('the first host leaves while a caller asks "{path}" with id "{name}"')
def step_leave(context, path, name):
    start_lines(context)
    daemon = context.mesh.first.daemon

    async def run():
        asking = _start_call(context, path, name)
        await asyncio.sleep(SENT_S)
        leaving = asyncio.ensure_future(daemon.leave(GRACE_MS))
        await asyncio.sleep(LINE_S)
        await _drop(asking)
        await leaving

    context.mesh.fleet.run(run())


@when('the first host ends while a caller asks "{path}" with id "{name}"')
def step_end(context, path, name):
    start_lines(context)
    daemon = context.mesh.first.daemon

    async def run():
        asking = _start_call(context, path, name)
        await asyncio.sleep(SENT_S)
        daemon.shutdown_log.note_end()
        await _drop(asking)

    context.mesh.fleet.run(run())


@when('the first host leaves while a slow reader has an answer')
def step_leave_reader(context):
    start_lines(context)
    mesh = context.mesh
    daemon = mesh.first.daemon

    async def run():
        reader = slow_reader.SlowReader(mesh.first.addresses.callers_port)
        await reader.ask('x')
        while not mesh.list_runs():
            await asyncio.sleep(METRICS_INTERVAL_S)
        await asyncio.sleep(SENT_S)
        watching = asyncio.ensure_future(_watch_gauges(context, daemon))
        leaving = asyncio.ensure_future(daemon.leave(GRACE_MS))
        await asyncio.sleep(LINE_S)
        await _drop(watching)
        reader.socket.close()
        await leaving

    mesh.fleet.run(run())


@when('the first host ends while a slow reader has an answer')
def step_end_reader(context):
    mesh = context.mesh

    async def run():
        reader = slow_reader.SlowReader(mesh.first.addresses.callers_port)
        await reader.ask('x')
        while not mesh.list_runs():
            await asyncio.sleep(METRICS_INTERVAL_S)
        await asyncio.sleep(SENT_S)
        mesh.first.daemon.shutdown_log.note_end()
        reader.socket.close()

    mesh.fleet.run(run())


@when('the first host leaves and stands still for {still_s:g} s')
def step_still(context, still_s):
    start_lines(context)
    daemon = context.mesh.first.daemon

    async def run():
        leaving = asyncio.ensure_future(daemon.leave(GRACE_MS))
        await asyncio.sleep(SENT_S)
        time.sleep(still_s)
        await leaving

    context.mesh.fleet.run(run())


@then('the line "{message}" has {field} "{pattern}"')
def step_field(context, message, field, pattern):
    found = context.lines.list(message)
    assert found, context.lines.stream.getvalue()
    value = found[0][field]
    values = value if isinstance(value, list) else [value]
    assert len(values) == 1, values
    assert re.match(pattern, values[0]), values


@then('the line "request refused" has no attempts')
def step_no_attempts(context):
    (line,) = context.lines.list('request refused')
    assert line['attempts'] == [], line


@then('no line "gate" reports waiting answers')
def step_no_answers(context):
    told = [line['answers'] for line in context.lines.list('gate')]
    assert not any(told), told


@then('a line "gate" without calls reports that {count:d} waits for the link')
def step_answers(context, count):
    lines = context.lines.list('gate')
    told = [line['answers'] for line in lines if not line['detail']]
    pattern = (
        rf'{count} wait for the link: (\d+) bytes held, \d+ in sockets,'
        r' (\d+) ms$'
    )
    found = [re.match(pattern, text) for text in told]
    assert found and all(found), lines
    held_bytes, wait_ms = map(int, found[0].groups())
    assert 10_000 < held_bytes < 100_000, told
    # 20 kB/s is 50 us per byte; at most one chunk is in transit.
    assert held_bytes / 20 <= wait_ms + 1 <= (held_bytes + 17_000) / 20, told


@then('the metrics of the second host showed it')
def step_gauges_second(context):
    name = 'sedgering_peer_answers_{}'
    for suffix, least in (
        ('waiting', 1),
        ('held_bytes', 10_000),
        ('wait_ms', 500),
    ):
        seen = [gauges[name.format(suffix)] for gauges in context.gauges]
        assert max(seen) >= least, (suffix, seen)
        assert min(seen) == 0, (suffix, seen)


@then('the metrics of the first host showed it')
def step_gauges_first(context):
    for name, least in (
        ('sedgering_caller_answers_waiting', 1),
        ('sedgering_caller_answers_unacknowledged_bytes', 10_000),
    ):
        seen = [gauges[name] for gauges in context.gauges]
        assert min(seen) >= least, (name, seen)


@then('the metrics of the first host count {count:d} request cut')
def step_cut(context, count):
    gauges = _read_gauges(context.mesh.first.daemon)
    name = 'sedgering_requests_total{{kind="cut",label="{}"}}'
    assert gauges[name.format('request')] == count, gauges
    assert name.format('call') not in gauges, gauges


@then('the metrics of the first host count {count:d} answer cut')
def step_answer_cut(context, count):
    gauges = _read_gauges(context.mesh.first.daemon)
    name = 'sedgering_requests_total{kind="cut",label="answer to a caller"}'
    assert gauges.get(name, 0) == count, gauges


@then('the explanation of "{request_id}" has the line "{message}"')
def step_story(context, request_id, message):
    lines = context.lines.stream.getvalue().splitlines()
    records = list(_explain.read_records(lines))
    story = list(_explain.explain_request(records, request_id))
    (told, *_others) = [line for line in story if f' {message}: ' in line]
    for field in (
        'callers=1 without',
        'requests=[',
        'hall-2: sent',
        'lag_ms=',
    ):
        assert field in told, told
    assert not list(_explain.explain_request(records, 'y'))[1:]


@then(
    'a line "leave waits" reports {lag_ms:d} ms of lag and less processor time'
)
def step_lag(context, lag_ms):
    lines = context.lines.list('leave waits')
    late = [line for line in lines if line['lag_ms'] >= lag_ms]
    assert len(late) == 1, lines
    assert late[0]['cpu_ms'] < lag_ms, late


@then('a line "leave waits" reports less than {lag_ms:d} ms of lag')
def step_no_lag(context, lag_ms):
    lines = context.lines.list('leave waits')
    assert lines and min(line['lag_ms'] for line in lines) < lag_ms, lines

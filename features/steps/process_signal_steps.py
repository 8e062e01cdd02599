"""Steps for signals to a daemon that is starting or ending."""

import asyncio
import os
import resource
import subprocess
import sys
import time
from unittest import mock

from behave import given
from behave import then
from behave import when
import daemon_process

from sedgering.platform import _program
from soak import _daemons

SIGNAL_INTERVAL_S = 0.001
THREAD_PROGRAM = """
import sys, threading, time
from sedgering.cli import daemon
threading.Thread(target=time.sleep, args=({},)).start()
daemon.main(sys.argv[1:])
"""
DESCRIPTOR_LIMIT = 60
IDLE_CALLERS = 100
INCOMPLETE_REQUEST = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n'


@given('a loading daemon process with a request in its listen queue')
def step_loading(context):
    if 'daemon' not in context:
        context.daemon = daemon_process.make_daemon_process(context)
    context.daemon.start()
    context.connection = context.daemon.connect()
    context.cleanups.append(context.connection.close)
    context.connection.sendall(daemon_process.REQUEST)


@given('a daemon process that has started')
def step_started(context):
    context.daemon = daemon_process.make_daemon_process(context)
    context.daemon.start()
    context.daemon.wait_log('"started"')


@given('a daemon process with a thread that goes on for {pause:d} s')
def step_thread(context, pause):
    context.daemon = daemon_process.make_daemon_process(context)
    context.daemon.program = '-P', '-c', THREAD_PROGRAM.format(pause)
    context.daemon.start()
    context.daemon.wait_log('"started"')


def send_signal(context, name):
    context.signalled_s = time.monotonic()
    context.daemon.send_signal(name)


@when('the process gets {name:w}')
def step_signal(context, name):
    send_signal(context, name)


@given('a caller that never completes its request')
def step_incomplete(context):
    connection = context.daemon.connect(_daemons.CALLERS_PORT)
    context.cleanups.append(connection.close)
    connection.sendall(INCOMPLETE_REQUEST)


@given('a caller that has sent the first half of a request')
def step_half_sent(context):
    context.connection = context.daemon.connect(_daemons.CALLERS_PORT)
    context.cleanups.append(context.connection.close)
    context.connection.sendall(INCOMPLETE_REQUEST + b'1234')


@given('idle callers that use up the descriptors of the daemon')
def step_idle_callers(context):
    limits = DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT
    resource.prlimit(
        context.daemon.process.pid, resource.RLIMIT_NOFILE, limits
    )
    for _ in range(IDLE_CALLERS):
        connection = context.daemon.connect(_daemons.CALLERS_PORT)
        context.cleanups.append(connection.close)


@then('it writes at most {count:d} lines a second for {span:d} s')
def step_lines(context, count, span):
    before = count_lines(context)
    time.sleep(span)
    lines = count_lines(context) - before
    assert lines <= count * span, lines


def count_lines(context):
    return context.daemon.log_path.read_bytes().count(b'\n')


@when('the caller sends the rest {pause:d} s later')
def step_rest(context, pause):
    time.sleep(pause)
    context.connection.sendall(b'56789')


@when('the process gets SIGTERM and is stopped for {pause:f} s while it loads')
def step_stopped(context, pause):
    # The handler runs before the next instruction of the program.
    step_stopped_later(context, 0.02, pause)


@when(
    'the process gets SIGTERM, and is stopped {after:f} s later '
    'for {pause:f} s'
)
def step_stopped_later(context, after, pause):
    send_signal(context, 'SIGTERM')
    time.sleep(after)
    context.daemon.send_signal('SIGSTOP')
    time.sleep(pause)
    context.daemon.send_signal('SIGCONT')


@when('the process gets SIGHUP and SIGTERM at once')
def step_both(context):
    # Both wait until the process goes on.
    context.daemon.send_signal('SIGSTOP')
    context.daemon.send_signal('SIGHUP')
    send_signal(context, 'SIGTERM')
    context.daemon.send_signal('SIGCONT')


@when('the process gets {name:w} every millisecond until it has ended')
def step_signals(context, name):
    context.daemon.wait_log('"leaving"')
    end_s = context.signalled_s + _daemons.GRACE_S
    while time.monotonic() < end_s:
        context.daemon.send_signal(name)
        try:
            context.daemon.wait(SIGNAL_INTERVAL_S)
        except subprocess.TimeoutExpired:
            continue
        return


@then('the waiting request is answered with status {status:d}')
def step_answered(context, status):
    found = daemon_process.read_status(context.connection)
    assert found == status, found


@then('the process logs "{message}"')
def step_logs(context, message):
    context.daemon.wait_log(f'"{message}"')


@then('the process ends with status 0 within its grace time')
def step_ends(context):
    left_s = context.signalled_s + _daemons.GRACE_S - time.monotonic()
    status = context.daemon.wait(left_s)
    assert status == 0, (status, context.daemon.read_log())


@then('importing "{program}" loads neither "enum", "socket" nor "typer"')
def step_loads_little(context, program):
    script = f'import sys, {program}; print(*sys.modules)'
    loaded = subprocess.run(
        [sys.executable, '-S', '-P', '-c', script],
        check=True,
        capture_output=True,
        env={'PYTHONPATH': os.pathsep.join(sys.path)},
        text=True,
    ).stdout.split()
    assert program in loaded
    assert not {'enum', 'socket', 'typer'} & set(loaded), loaded


@given('a task that goes on for {pause:f} s after it was cancelled')
def step_stubborn(context, pause):
    async def go_on():
        try:
            await asyncio.sleep(daemon_process.WAIT_S)
        except asyncio.CancelledError:
            await asyncio.sleep(pause)

    context.stubborn = go_on


@then('it is logged once the other tasks of the daemon have ended')
def step_stubborn_logged(context):
    async def run():
        tasks = [
            asyncio.create_task(context.stubborn()),
            asyncio.create_task(asyncio.sleep(daemon_process.WAIT_S)),
        ]
        await asyncio.sleep(0)
        with mock.patch.object(
            _program.LOG, 'warning', autospec=True
        ) as warning:
            await _program._cancel_tasks()
        assert [task.done() for task in tasks] == [False, True], tasks
        warning.assert_called_once()
        detail = warning.call_args.kwargs['extra']['detail']
        assert 'go_on' in detail, detail

    asyncio.run(run())

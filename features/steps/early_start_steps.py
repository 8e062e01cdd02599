"""Steps for a daemon that starts before all around it is ready."""

import json
import socket
import time

from behave import given
from behave import then
from behave import when
import daemon_process

from soak import _daemons

METRICS_PORT = 9464
NESTED_LEVELS = 100_000
#: Time in which a daemon has loaded its modules.
LOADED_S = 1.0


def make_odd_settings(complete, state):
    """Return settings that are valid JSON, but for one odd value."""
    if state == 'nested too deep':
        value = b'[' * NESTED_LEVELS + b']' * NESTED_LEVELS
        return complete[:-1] + b', "later": ' + value + b'}'
    assert state == 'without a finite quota', state
    fields = json.loads(complete)
    fields['bounds'].append('quota_excess=1e999')
    return json.dumps(fields).encode()


@given('a settings file that is {state}')
def step_settings(context, state):
    context.daemon = daemon_process.make_daemon_process(context)
    complete = context.daemon.make_settings()
    if state == 'missing':
        context.daemon.settings_path.unlink()
    elif state not in ('empty', 'half written'):
        odd = make_odd_settings(complete, state)
        context.daemon.write_settings(odd)
    else:
        size = len(complete) // 2 if state == 'half written' else 0
        context.daemon.write_settings(complete[:size])


@given('a daemon process that waits, and a request in its listen queue')
def step_waits(context):
    context.daemon.start()
    context.connection = context.daemon.connect(_daemons.CALLERS_PORT)
    context.cleanups.append(context.connection.close)
    context.connection.sendall(daemon_process.REQUEST)
    time.sleep(LOADED_S)


@then('the process ends with status {status:d} within {limit:d} s')
def step_ends_with(context, status, limit):
    assert context.daemon.wait(limit) == status, context.daemon.read_log()
    lines = context.daemon.read_log().splitlines()
    assert len(lines) == 1, lines


@when('the settings file is complete {pause:f} s later')
def step_complete(context, pause):
    time.sleep(pause)
    context.daemon.write_settings(context.daemon.make_settings())


@then('the process ends within {limit:d} s with status 2 and code "{code}"')
def step_ends(context, limit, code):
    assert context.daemon.wait(limit) == 2
    lines = context.daemon.read_log().splitlines()
    assert len(lines) == 1 and code in lines[0], lines


@given('a port of a host that another process holds')
def step_held_port(context):
    context.daemon = daemon_process.make_daemon_process(context)
    context.holder = socket.create_server(
        (context.daemon.address, _daemons.READINESS_PORT)
    )
    context.cleanups.append(context.holder.close)


@given('the {name:w} port of a host that another process holds')
def step_held_named_port(context, name):
    context.daemon = daemon_process.make_daemon_process(context)
    port = {
        'readiness': _daemons.READINESS_PORT,
        'peers': _daemons.PEERS_PORT,
        'metrics': METRICS_PORT,
    }[name]
    context.holder = socket.create_server((context.daemon.address, port))
    context.cleanups.append(context.holder.close)


@when('the settings file is {state} for a moment')
def step_odd_for_a_moment(context, state):
    complete = context.daemon.make_settings()
    context.daemon.write_settings(make_odd_settings(complete, state))
    time.sleep(1.2)


@when('the settings file changes')
def step_changes(context):
    fields = json.loads(context.daemon.make_settings())
    fields['bounds'].append('quota_slack=7')
    context.daemon.write_settings(json.dumps(fields).encode())


@when('a daemon process starts, and the port is free {pause:f} s later')
def step_freed(context, pause):
    context.daemon.start()
    time.sleep(pause)
    context.holder.close()


@then('the daemon process answers its readiness check')
def step_answers(context):
    with context.daemon.connect() as connection:
        connection.sendall(daemon_process.REQUEST)
        status = daemon_process.read_status(connection)
    assert status == 503, status

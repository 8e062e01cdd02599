"""Steps for a daemon that starts before all around it is ready."""

import socket
import time

from behave import given
from behave import then
from behave import when
import daemon_process

from soak import _daemons


@given('a settings file that is {state}')
def step_settings(context, state):
    context.daemon = daemon_process.make_daemon_process(context)
    complete = context.daemon.make_settings()
    if state == 'missing':
        context.daemon.settings_path.unlink()
    else:
        size = len(complete) // 2 if state == 'half written' else 0
        context.daemon.write_settings(complete[:size])


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

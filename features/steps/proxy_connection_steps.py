"""Steps for callers' connections to sedgering-proxy without a request."""

import errno
import http.client
import socket
import threading
import time
import types
from unittest import mock

from behave import given
from behave import then
from behave import when
import late_queue
from request_subject import HOST
from request_subject import PATHS

from sedgering.proxy import _daemon
from sedgering import settings

ADDRESS = '127.0.0.1'
GRACE_MS = 400
LIMIT_MS = 10_000
#: Time between the requests of two kept connections.
TURN_S = 0.15
WAIT_S = 8.0
HOUR_S = 3600.0
OK = 200
REQUEST = (
    f'GET {PATHS["repeatable"]} HTTP/1.1\r\nHost: {HOST}\r\n'
    'X-Request-Id: x\r\n\r\n'
).encode()


class FullTable:
    """A listening socket whose process has no descriptor left."""

    def __init__(self, listener):
        self.listener = listener
        self.tries = 0

    def accept(self):
        """Fail as no descriptor is left."""
        self.tries += 1
        raise OSError(errno.EMFILE, 'Too many open files')

    def __getattr__(self, name):
        """Pass everything else on."""
        return getattr(self.listener, name)


def connect(context):
    caller = socket.create_connection((ADDRESS, context.requests.port))
    caller.settimeout(WAIT_S)
    context.cleanups.append(caller.close)
    return caller


def ask(caller):
    """Send a request; return its status, or what happened instead."""
    try:
        caller.sendall(REQUEST)
        response = http.client.HTTPResponse(caller)
        response.begin()
        response.read()
    except (OSError, http.client.HTTPException) as error:
        return repr(error)
    return response.status


def make_leaving(context):
    """Make a daemon around the data path that does nothing but leave."""
    subject = context.requests
    subject.path.server.shutdown_timeout = 5
    limits = settings.TrafficSettings(
        drain_grace_ms=GRACE_MS, drain_limit_ms=LIMIT_MS
    )
    tables = types.SimpleNamespace(
        settings=types.SimpleNamespace(traffic=limits, tick_interval_ms=10)
    )
    return _daemon.Daemon(
        tables, mock.Mock(), None, subject.path, mock.Mock(), subject.state
    )


def begin_leave(context):
    """Let the proxy leave in a thread; return the thread."""
    thread = threading.Thread(target=make_leaving(context).leave)
    thread.start()
    return thread


@given('{count:d} callers of the proxy that were answered')
def step_answered(context, count):
    context.callers = [connect(context) for _ in range(count)]
    for caller in context.callers:
        assert ask(caller) == OK


@given('{count:d} callers that connect to the proxy')
def step_connected(context, count):
    context.callers = [connect(context) for _ in range(count)]


@when('the proxy leaves while they send in turn')
def step_leave_in_turn(context):
    thread = begin_leave(context)
    context.answers = []
    for caller in context.callers:
        context.answers.append(ask(caller))
        time.sleep(TURN_S)
    thread.join()


@when('the proxy leaves before they send')
def step_leave_before(context):
    thread = begin_leave(context)
    time.sleep(3 * GRACE_MS / 1000)
    context.answers = [ask(caller) for caller in context.callers]
    thread.join()


@when(
    'the proxy leaves while {count:d} callers connect anew and pause '
    '{pause_s:g} s'
)
def step_leave_anew(context, count, pause_s):
    context.answers = []

    def run():
        while True:
            try:
                caller = connect(context)
            except OSError:
                return
            time.sleep(pause_s)
            context.answers.append(ask(caller))

    threads = [threading.Thread(target=run) for _ in range(count)]
    for thread in threads:
        thread.start()
    begin_leave(context).join()
    for thread in threads:
        thread.join()


@when('the proxy leaves')
def step_leave(context):
    started_s = time.monotonic()
    begin_leave(context).join()
    context.left_after_s = time.monotonic() - started_s


@when('the proxy leaves while a caller connects after its last accept')
def step_late_caller(context):
    server = context.requests.path.server
    context.queue = server.socket = late_queue.LateQueue(server.socket)
    begin_leave(context).join()


@when('the wall clock jumps by an hour, and they send')
def step_jump(context):
    # Workers wait for a moment before they give a connection back.
    time.sleep(TURN_S)
    now_s = time.time()
    with mock.patch('time.time', lambda: now_s + HOUR_S):
        time.sleep(1.2)
        context.answers = [ask(caller) for caller in context.callers]


@when('the proxy cannot accept a connection for {span_s:g} s')
def step_full(context, span_s):
    server = context.requests.path.server
    listener = server.socket
    context.listener = server.socket = FullTable(listener)
    context.late = connect(context)
    time.sleep(span_s)
    server.socket = listener


@then('each caller of the proxy gets an answer')
def step_each(context):
    assert context.answers
    bad = [item for item in context.answers if item != OK]
    assert not bad, (len(bad), len(context.answers), bad[0])


@then('the caller is not connected')
def step_not_connected(context):
    assert context.queue.outcome, context.queue.outcome


@then('it has left within {span_s:g} s')
def step_left(context, span_s):
    assert context.left_after_s < span_s, context.left_after_s


@then('it has tried at most {count:d} times')
def step_tries(context, count):
    assert 0 < context.listener.tries <= count, context.listener.tries


@then('a caller that connected meanwhile gets an answer')
def step_late(context):
    assert ask(context.late) == OK

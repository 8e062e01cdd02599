"""Steps for log output that nobody reads."""

import contextlib
import fcntl
import json
import logging
import os

from behave import given
from behave import then
from behave import when
import daemon_process

from sedgering import observability
from sedgering.observability import _logs
from soak import _daemons

#: Smallest pipe, one page.
PIPE_BYTES = 4096
READ_BYTES = 1 << 16


def start_daemon(context, **streams):
    """Start a daemon process with other output than its log file."""
    context.daemon = daemon_process.make_daemon_process(context)
    context.daemon.start(**streams)


def open_pipe(context):
    """Open a small pipe; return both of its ends."""
    context.stack = contextlib.ExitStack()
    context.cleanups.append(context.stack.close)
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    return reader, writer


@given('a daemon whose standard output is a pipe that is full')
def step_full_pipe(context):
    reader, writer = open_pipe(context)
    context.stack.callback(os.close, reader)
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b'x')
    os.set_blocking(writer, True)
    start_daemon(context, stdout=writer)
    os.close(writer)


@given('a daemon whose standard output and error are a pipe')
def step_pipe(context):
    context.reader, writer = open_pipe(context)
    start_daemon(context, stdout=writer, stderr=writer)
    os.close(writer)


@when('the reader of the pipe ends')
def step_reader_ends(context):
    os.close(context.reader)


def close_streams():
    """Close standard output and error in the process that starts."""
    os.close(1)
    os.close(2)


@given('a daemon that starts without standard output and error')
def step_no_streams(context):
    context.stack = contextlib.ExitStack()
    context.cleanups.append(context.stack.close)
    start_daemon(context, preexec_fn=close_streams)


@then('it answers a readiness check')
def step_answers(context):
    with context.daemon.connect() as connection:
        connection.sendall(daemon_process.REQUEST)
        status = daemon_process.read_status(connection)
    # Without the store no version is in force, so that it is not ready.
    assert status == 503, status


@then('after SIGTERM it ends with status 0')
def step_ends(context):
    context.daemon.send_signal('SIGTERM')
    status = context.daemon.wait(_daemons.GRACE_S + 1.0)
    assert status == 0, status


@given('a log pipe that nobody reads')
def step_log_pipe(context):
    context.reader, writer = open_pipe(context)
    context.stack.callback(os.close, context.reader)
    stream = context.stack.enter_context(os.fdopen(writer, 'w'))
    root = logging.getLogger()
    context.stack.callback(setattr, root, 'handlers', root.handlers[:])
    context.stack.callback(root.setLevel, root.level)
    logging.disable(logging.NOTSET)
    context.stack.callback(logging.disable, logging.CRITICAL)
    observability.configure_logging('INFO', stream)


@when('{count:d} lines of {size:d} bytes are logged and the reader returns')
def step_log(context, count, size):
    logger = logging.getLogger('features.log_output')
    for _ in range(count):
        logger.info('x' * size)
    (handler,) = logging.getLogger().handlers
    os.set_blocking(context.reader, False)
    text = b''
    while piece := read_now(context.reader):
        text += piece
        handler.flush()
    # A line after the others tells of those that were dropped.
    logger.info('last')
    while piece := read_now(context.reader):
        text += piece
        handler.flush()
    context.log_text = text


def read_now(descriptor):
    """Read what is there; return nothing if there is none."""
    try:
        return os.read(descriptor, READ_BYTES)
    except BlockingIOError:
        return b''


@then('all lines that it reads are whole')
def step_whole(context):
    assert context.log_text.endswith(b'\n')
    context.lines = [
        json.loads(line) for line in context.log_text.splitlines()
    ]


@then('the lines read and the lines reported as dropped are {count:d}')
def step_counted(context, count):
    dropped = sum(line.get('dropped_lines', 0) for line in context.lines)
    messages = [
        line['message'].startswith('x')
        for line in context.lines
        if line['logger'] != _logs.__name__
    ]
    assert sum(messages) + dropped == count, (sum(messages), dropped)
    assert dropped == observability.count_dropped_lines(), dropped

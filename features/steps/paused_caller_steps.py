"""Steps for callers that stop reading for a while."""

import asyncio
import socket
from unittest import mock

from behave import given
from behave import then
from behave import when

from sedgering.transport import _send_watch
import slow_reader

KB, MB = 1024, 1024 * 1024
LOST_TIMEOUT_MS = 4000
PIECE_BYTES = 4096
#: Time in which the service has noticed that a caller reads on.
NOTICE_S = 1.5


@when('a caller reads a piece of {size:d} MB and pauses for {pause_s:g} s')
def step_pause(context, size, pause_s):
    context.service.body = bytes(size * MB)

    async def run():
        caller = context.caller = slow_reader.SlowReader(context.port)
        context.cleanups.append(caller.socket.close)
        await caller.ask('paused')
        loop = asyncio.get_running_loop()
        await loop.sock_recv(caller.socket, PIECE_BYTES)
        await asyncio.sleep(pause_s)

    context.runner.run(run())


@when(
    'a caller reads {size:d} kB, {piece:d} kB at a time in {pause_s:g} s each'
)
def step_read_slowly(context, size, piece, pause_s):
    context.service.body = bytes(size * KB)
    context.ended = ''

    async def run():
        caller = slow_reader.SlowReader(context.port)
        context.cleanups.append(caller.socket.close)
        await caller.ask('slow')
        left = size * KB
        while left > 0:
            # The head comes on top.
            read = 0
            while read < min(piece * KB, left):
                try:
                    data = await caller.loop.sock_recv(
                        caller.socket, piece * KB - read
                    )
                except OSError as error:
                    context.ended = repr(error)
                    return
                if not data:
                    context.ended = f'the end, {left - read} bytes early'
                    return
                read += len(data)
            left -= read
            await asyncio.sleep(pause_s)

    context.runner.run(run())


@when('it reads the rest')
def step_read_on(context):
    context.ended = ''

    async def run():
        loop = asyncio.get_running_loop()
        left = len(context.service.body) - PIECE_BYTES
        try:
            while left > 0:
                piece = await loop.sock_recv(context.caller.socket, left)
                left -= len(piece)
                if not piece:
                    context.ended = 'end of the stream'
                    break
        except OSError as error:
            context.ended = repr(error)
        await asyncio.sleep(NOTICE_S)

    context.runner.run(run())


@then('it has got all of it')
def step_whole(context):
    assert not context.ended, context.ended


@then('its connection was reset')
def step_reset(context):
    assert 'Reset' in context.ended, context.ended


@then('its connection may leave data unacknowledged for {limit_s:d} s')
def step_usual_limit(context, limit_s):
    (connection,) = context.service.connections
    limit_ms = find_limit_ms(connection.transport.get_extra_info('socket'))
    assert limit_ms == 1000 * limit_s, limit_ms


def find_limit_ms(sock):
    """Return for how long data may stay unacknowledged."""
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


class LookedAtConnection:
    """A socket, and a loop whose time passes with the looks at it."""

    def __init__(self):
        self.socket = socket.socket()
        self.is_reset = False
        self.now_s = 0.0

    def time(self):
        return self.now_s

    def call_later(self, delay_s, _check, _loop):
        self.now_s += delay_s
        return mock.Mock()

    def get_extra_info(self, _name):
        return self.socket

    def get_write_buffer_size(self):
        return 0

    def abort(self):
        self.is_reset = True


@given('a connection whose window is open at each look')
def step_looked_at(context):
    context.looked_at = LookedAtConnection()
    context.add_cleanup(context.looked_at.socket.close)


@when('{left} bytes are left at the looks at it')
def step_looks(context, left):
    look_at(context, left, 0)


@when(
    '{left} bytes are left at the looks at it, and {written:d} more are '
    'written before each'
)
def step_looks_and_writes(context, left, written):
    look_at(context, left, written)


def look_at(context, left, written_bytes):
    """Look at the connection; data is written before each look."""
    connection = context.looked_at
    watch = _send_watch.SendWatch(LOST_TIMEOUT_MS, lambda: 0)
    _send_watch._sockets.set_user_timeout(connection.socket, LOST_TIMEOUT_MS)
    watch.add(connection, connection)
    for left_bytes in map(int, left.split(', ')):
        if written_bytes:
            watch.add(connection, connection, written_bytes)
        with mock.patch.multiple(
            _send_watch._sockets,
            find_unacknowledged_bytes=lambda _item, left=left_bytes: left,
            has_closed_window=lambda _item: False,
        ):
            watch._check(connection)


@then('its connection may leave data unacknowledged for {limit_ms:d} ms')
def step_limit(context, limit_ms):
    assert find_limit_ms(context.looked_at.socket) == limit_ms


@then('that connection is {end}')
def step_end(context, end):
    assert context.looked_at.is_reset == (end == 'reset')

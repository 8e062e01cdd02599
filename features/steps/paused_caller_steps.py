"""Steps for callers that stop reading for a while."""

import asyncio
import socket

from behave import then
from behave import when

import slow_reader

KB, MB = 1024, 1024 * 1024
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
    sock = connection.transport.get_extra_info('socket')
    limit_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert limit_ms == 1000 * limit_s, limit_ms

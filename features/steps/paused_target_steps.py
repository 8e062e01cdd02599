"""Steps for receivers of requests that stop reading for a while."""

import asyncio
import socket

from behave import then
from behave import when

from sedgering import transport
from sedgering.transport import _client

ADDRESS = '127.0.0.1'
PIECE_BYTES = 8 * 1024
CONNECT_TIMEOUT_S = 1.0
WAIT_S = 10.0
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class PausingReceiver:
    """Reads a piece of a request, pauses, and reads on to its end."""

    def __init__(self, size, pause_s):
        self.left = size
        self.pause_s = pause_s
        self.ended = ''
        self.listener = socket.create_server((ADDRESS, 0))
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE_BYTES
        )
        self.listener.setblocking(False)

    async def run(self):
        """Serve one connection."""
        loop = asyncio.get_running_loop()
        sock, _address = await loop.sock_accept(self.listener)
        with sock:
            try:
                await self._read(loop, sock)
                await loop.sock_sendall(sock, ANSWER)
            except OSError as error:
                self.ended = repr(error)

    async def _read(self, loop, sock):
        pause_s = self.pause_s
        while self.left > 0:
            data = await loop.sock_recv(sock, PIECE_BYTES)
            if not data:
                raise ConnectionError('end of the stream')
            self.left -= len(data)
            await asyncio.sleep(pause_s)
            pause_s = 0.0


async def _send(size, pause_s, give_up_s):
    """Send a request; return its outcome, the receiver and the connection."""
    request = transport.Request('POST', '/', [('Host', 'h')], bytes(size))
    data = transport.encode_request(request, request.headers)
    receiver = PausingReceiver(len(data), pause_s)
    with receiver.listener:
        receiving = asyncio.ensure_future(receiver.run())
        port = receiver.listener.getsockname()[1]
        connection = await _client.connect(ADDRESS, port, CONNECT_TIMEOUT_S)
        try:
            async with asyncio.timeout(give_up_s):
                response = await connection.exchange(data, lambda _item: True)
            outcome = response.status
        except (TimeoutError, _client.ExchangeFailed) as error:
            outcome = repr(error)
        if give_up_s == WAIT_S:
            await receiving
        receiving.cancel()
        connection.close()
        await asyncio.sleep(0)
    return outcome, receiver, connection


def _run(context, size_kb, pause_s, give_up_s):
    context.outcome, context.receiver, context.connection = asyncio.run(
        _send(1000 * size_kb, pause_s, give_up_s)
    )


@when(
    'a request of {size:d} kB is sent to a receiver that pauses for '
    '{pause_s:g} s'
)
def step_sent(context, size, pause_s):
    _run(context, size, pause_s, WAIT_S)


@when(
    'a request of {size:d} kB to a receiver that pauses is given up after '
    '{after_s:g} s'
)
def step_given_up(context, size, after_s):
    _run(context, size, WAIT_S, after_s)


@then('the receiver has got the whole request')
def step_whole(context):
    receiver = context.receiver
    assert not receiver.left, (receiver.left, receiver.ended)


@then('the request is answered by the receiver')
def step_answered(context):
    assert context.outcome == 200, context.outcome


@then('its connection is gone')
def step_gone(context):
    assert 'TimeoutError' in context.outcome, context.outcome
    assert context.connection.transport.is_closing()

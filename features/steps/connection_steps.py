"""Steps for attempts to connect."""

import asyncio
import socket

from behave import given
from behave import then
from behave import when

from sedgering import testing
from sedgering import transport

ADDRESS = '127.0.0.1'
TIMEOUT_S = 5.0
#: More iterations of the event loop than an attempt to connect over loopback
#: needs.
ITERATIONS = 40
#: Connections that fill the listen queue, so that later attempts hang.
QUEUED_CONNECTIONS = 4


class _AcceptedProtocol(asyncio.Protocol):
    """Tracks the open connections of the server."""

    def __init__(self, open_connections: set):
        self.open_connections = open_connections

    def connection_made(self, transport):
        """Add the connection."""
        self.open_connections.add(self)

    def connection_lost(self, exc):
        """Remove the connection."""
        self.open_connections.discard(self)


@given('a server that accepts connections')
def step_accepting(context):
    context.port = testing.free_ports(1)[0]


@when(
    'attempts to connect to it are cancelled after each number of iterations'
)
def step_cancelled(context):
    async def run() -> None:
        loop = asyncio.get_running_loop()
        context.open_connections = set()
        server = await loop.create_server(
            lambda: _AcceptedProtocol(context.open_connections),
            ADDRESS,
            context.port,
        )
        context.outcomes = [
            await _cancel_after(context.port, iterations)
            for iterations in range(ITERATIONS)
        ]
        async with asyncio.timeout(TIMEOUT_S):
            while context.open_connections:
                await asyncio.sleep(0.01)
        server.close()

    try:
        asyncio.run(run())
    except TimeoutError:
        pass


async def _cancel_after(port: int, iterations: int) -> str:
    """Cancel an attempt after some iterations; return how it ended."""
    attempt = asyncio.ensure_future(
        transport.connect(ADDRESS, port, TIMEOUT_S)
    )
    for _iteration in range(iterations):
        await asyncio.sleep(0)
    was_done = attempt.done()
    attempt.cancel()
    try:
        connection = await attempt
    except asyncio.CancelledError:
        return 'cancelled'
    connection.close()
    return 'done before' if was_done else 'not cancelled'


@then('each unfinished attempt was cancelled')
def step_all_cancelled(context):
    assert 'not cancelled' not in context.outcomes, context.outcomes
    # An attempt that finished first shows that the iterations covered the
    # whole duration of an attempt.
    assert 'done before' in context.outcomes, context.outcomes


@then('no attempt has left a connection open')
def step_none_open(context):
    assert not context.open_connections, len(context.open_connections)


@given('a server that accepts no connections')
def step_not_accepting(context):
    listener = socket.create_server((ADDRESS, 0), backlog=0)
    context.cleanups.append(listener.close)
    context.port = listener.getsockname()[1]
    for _number in range(QUEUED_CONNECTIONS):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((ADDRESS, context.port))
        context.cleanups.append(filler.close)


@when('an attempt to connect to it has a timeout of {timeout_ms:d} ms')
def step_short(context, timeout_ms):
    async def run() -> transport.ConnectFailed | None:
        try:
            await transport.connect(ADDRESS, context.port, timeout_ms / 1000)
        except transport.ConnectFailed as error:
            return error
        return None

    context.error = asyncio.run(run())


@then('it failed without being refused')
def step_failed(context):
    assert context.error is not None
    assert not context.error.is_refused

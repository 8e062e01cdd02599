"""Steps over attempts to connect."""

import asyncio
import socket

from behave import given
from behave import then
from behave import when

from sedgering import testing
from sedgering import transport

ADDRESS = '127.0.0.1'
PATIENCE_S = 5.0
#: More turns of the loop than an attempt to connect over loopback needs.
TURNS_LIMIT = 40
#: Of attempts that nobody accepts, the first ones fill the queue.
QUEUE_FILLERS = 4


class _AcceptedProtocol(asyncio.Protocol):
    """Notes which connections are open."""

    def __init__(self, is_open: set):
        self.is_open = is_open

    def connection_made(self, transport):
        """Note a connection."""
        self.is_open.add(self)

    def connection_lost(self, exc):
        """Forget it."""
        self.is_open.discard(self)


@given('a server that accepts connections')
def step_accepting(context):
    context.port = testing.free_ports(1)[0]


@when('attempts to connect to it are cancelled in each of their turns')
def step_cancelled(context):
    async def run() -> None:
        loop = asyncio.get_running_loop()
        context.is_open = set()
        server = await loop.create_server(
            lambda: _AcceptedProtocol(context.is_open), ADDRESS, context.port
        )
        context.outcomes = [
            await _cancel_after(context.port, turns)
            for turns in range(TURNS_LIMIT)
        ]
        async with asyncio.timeout(PATIENCE_S):
            while context.is_open:
                await asyncio.sleep(0.01)
        server.close()

    try:
        asyncio.run(run())
    except TimeoutError:
        pass


async def _cancel_after(port: int, turns: int) -> str:
    """Cancel an attempt after some turns; return how it ended."""
    attempt = asyncio.ensure_future(
        transport.connect(ADDRESS, port, PATIENCE_S)
    )
    for _turn in range(turns):
        await asyncio.sleep(0)
    was_done = attempt.done()
    attempt.cancel()
    try:
        connection = await attempt
    except asyncio.CancelledError:
        return 'cancelled'
    connection.close()
    return 'done before' if was_done else 'not cancelled'


@then('each of these attempts has ended as cancelled')
def step_all_cancelled(context):
    assert 'not cancelled' not in context.outcomes, context.outcomes
    # Some attempts were far enough to be cancelled in their last turn.
    assert 'done before' in context.outcomes, context.outcomes


@then('none of them has left a connection open')
def step_none_open(context):
    assert not context.is_open, len(context.is_open)


@given('a server that accepts no connections')
def step_not_accepting(context):
    listener = socket.create_server((ADDRESS, 0), backlog=0)
    context.cleanups.append(listener.close)
    context.port = listener.getsockname()[1]
    for _number in range(QUEUE_FILLERS):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((ADDRESS, context.port))
        context.cleanups.append(filler.close)


@when('an attempt to connect to it has {time_ms:d} ms')
def step_short(context, time_ms):
    async def run() -> transport.ConnectFailed | None:
        try:
            await transport.connect(ADDRESS, context.port, time_ms / 1000)
        except transport.ConnectFailed as error:
            return error
        return None

    context.error = asyncio.run(run())


@then('it has failed, and was not refused')
def step_failed(context):
    assert context.error is not None
    assert not context.error.is_refused

"""Steps for callers that send requests and read no answer."""

import asyncio

from behave import given
from behave import then
from behave import when

from sedgering import ports
from sedgering import testing
from sedgering import transport
import slow_reader

ANSWER_BYTES = 512 * 1024
SLOTS = 60
#: What an operator's settings allow a daemon, less what it takes at rest.
MEMORY_BYTES = 100 * 1024 * 1024
TIMEOUT_MS = 15_000


class UnreadSubject:
    """A daemon with a target, and callers that do not read."""

    def __init__(self):
        self.fleet = testing.MeshFleet()
        self.front = self.fleet.add_host('front')
        self.front.slots = SLOTS
        self.front.books.body_bytes = ANSWER_BYTES
        self.fleet.report(self.front)
        route = {'timeout': f'{TIMEOUT_MS}ms'}
        self.fleet.configure(testing.make_document(1, [route]))
        self.fleet.wait_ready()
        self.callers: list[slow_reader.SlowReader] = []
        self.most_held_bytes = 0
        self.most_at_once = 0

    @property
    def outbound(self):
        """The service that answers the callers."""
        return self.front.daemon.outbound

    async def send_ahead(self, callers: int, requests: int) -> None:
        """Send requests on each of several connections, and read nothing."""
        for number in range(callers):
            caller = slow_reader.SlowReader(self.front.addresses.callers_port)
            self.callers.append(caller)
            data = ''.join(
                slow_reader.REQUEST.format(f'{number}-{request}')
                for request in range(requests)
            )
            await caller.send(data.encode())

    async def watch(self, for_s: float) -> None:
        """Note the most that the daemon holds for its callers."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        while loop.time() < end_s:
            held_bytes = self.outbound.find_load().held_bytes
            self.most_held_bytes = max(self.most_held_bytes, held_bytes)
            in_flight = len(self.outbound.in_flight)
            self.most_at_once = max(self.most_at_once, in_flight)
            await asyncio.sleep(0.01)

    def close(self) -> None:
        """Close all connections."""
        for caller in self.callers:
            caller.socket.close()


@given('a target with large answers')
def step_target(context):
    context.unread = UnreadSubject()
    context.cleanups.append(context.unread.fleet.stop)
    context.cleanups.append(context.unread.close)


@when(
    '{callers:d} callers send {requests:d} requests ahead, and read nothing '
    'for {for_s:g} s'
)
def step_send_ahead(context, callers, requests, for_s):
    unread = context.unread
    unread.fleet.run(unread.send_ahead(callers, requests))
    unread.fleet.run(unread.watch(for_s))


@then('no more than {limit:d} requests are begun at a time')
def step_begun(context, limit):
    assert 0 < context.unread.most_at_once <= limit, (
        context.unread.most_at_once
    )


@then('the answers held for them fit into the memory of the daemon')
def step_held(context):
    held_bytes = context.unread.most_held_bytes
    assert ANSWER_BYTES < held_bytes <= MEMORY_BYTES, held_bytes


@then('another caller is answered')
def step_other(context):
    unread = context.unread
    unread.close()
    port = unread.front.addresses.callers_port

    def is_answered() -> bool:
        answer = unread.fleet.call(port, '/r0/', X_Request_Id='other')
        return answer.status == 200

    assert any(is_answered() for _ in range(20))


@then('the first caller gets all {requests:d} answers when it reads')
def step_gets_all(context, requests):
    unread = context.unread
    data = unread.fleet.run(
        unread.callers[0].read_until(b'answer to 0-', requests)
    )
    numbers = [f'answer to 0-{number}'.encode() for number in range(requests)]
    places = [data.find(number + b' ') for number in numbers]
    assert min(places) >= 0 and places == sorted(places), places


class LargeService(transport.Service):
    """Gives the answers to all its callers at the same moment."""

    def __init__(self, limit_bytes: int):
        super().__init__()
        self.response_memory = transport.ResponseMemory(limit_bytes)
        self.body = b''
        self.is_open = asyncio.Event()

    def find_limits(self):
        """Return the default limits."""
        return transport.CallerLimits()

    async def answer(self, request):
        """Answer once all callers have asked."""
        await self.is_open.wait()
        return transport.Response(200, [], self.body)


@given('{size:d} MB as the most that a service holds for its callers')
def step_held_limit(context, size):
    context.held_limit_bytes = size * 1024 * 1024


@when(
    '{count:d} callers ask it for {size:g} MB at once, and read at full speed'
)
def step_read_at_once(context, count, size):
    async def ask(port):
        reader, writer = await asyncio.open_connection(
            slow_reader.ADDRESS, port
        )
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            length = int(
                head.lower().partition(b'content-length: ')[2].split()[0]
            )
            return len(await reader.readexactly(length))
        except (OSError, asyncio.IncompleteReadError) as error:
            return repr(error)
        finally:
            writer.close()

    async def run():
        service = LargeService(context.held_limit_bytes)
        service.body = bytes(int(size * 1024 * 1024))
        listener = ports.open_port(slow_reader.ADDRESS, 0)
        port = listener.getsockname()[1]
        server = await transport.serve(
            service, slow_reader.ADDRESS, port, listener
        )
        asking = [asyncio.ensure_future(ask(port)) for _ in range(count)]
        while len(service.connections) < count:
            await asyncio.sleep(0.01)
        service.is_open.set()
        found = await asyncio.gather(*asking)
        server.close()
        return found, len(service.body)

    context.sizes, context.whole_bytes = asyncio.run(run())


@then('each of them gets a whole answer')
def step_whole_answers(context):
    assert set(context.sizes) == {context.whole_bytes}, context.sizes

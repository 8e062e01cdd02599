"""Steps for requests behind an answer that closes their connection."""

import asyncio
import socket

from behave import given
from behave import then
from behave import when

from sedgering import ports
from sedgering import transport

ADDRESS = '127.0.0.1'
REQUESTS = (
    b'GET /first HTTP/1.1\r\nHost: h\r\n\r\n'
    b'POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx'
)
LARGE_BYTES = 40_000
LINK_MBPS = 4
WAIT_S = 5.0


class LeavingService(transport.Service):
    """Refuses the first request without a task."""

    is_closing = True

    def __init__(self):
        super().__init__()
        self.begun = []

    def find_limits(self):
        """Return the default limits."""
        return transport.CallerLimits()

    def begin(self, request):
        """Refuse the first request; answer others in a task."""
        if request.url == '/first':
            return transport.make_json_response(503, {})
        return self.answer(request)

    async def answer(self, request):
        """Answer a request."""
        self.begun.append(request.url)
        return transport.make_json_response(200, {})


@given('a service that leaves and refuses the first request immediately')
def step_service(context):
    context.play = play


async def play(service):
    """Send two requests in one piece; return what is read."""
    listener = ports.open_port(ADDRESS, 0)
    port = listener.getsockname()[1]
    server = await transport.serve(service, ADDRESS, port, listener)
    reader, writer = await asyncio.open_connection(ADDRESS, port)
    writer.write(REQUESTS)
    data = await reader.read()
    writer.close()
    server.close()
    return data


@when('a caller sends two requests in one piece')
def step_send(context):
    context.service = LeavingService()
    context.data = asyncio.run(context.play(context.service))


@then('only the first is answered, and the second is not begun')
def step_not_begun(context):
    assert context.data.startswith(b'HTTP/1.1 503 '), context.data
    assert context.data.count(b'HTTP/1.1') == 1, context.data
    assert not context.service.begun, context.service.begun


class PacedService(LeavingService):
    """Gives large answers in pieces; the first caller leaves meanwhile."""

    def __init__(self):
        super().__init__()
        self.leaving_caller = None

    async def answer(self, request):
        """Answer with a large body."""
        return transport.Response(200, [], bytes(LARGE_BYTES))

    def pace(self):
        """Let the first caller leave before the last piece of its answer."""
        loop = asyncio.get_running_loop()
        self.pacer = transport.make_pacer(LINK_MBPS, loop)
        submit = self.pacer.submit

        def submit_first(item):
            self.pacer.submit = submit
            write = item.write

            def write_piece(piece):
                if not item.remaining:
                    self.leave()
                write(piece)

            item.write = write_piece
            submit(item)

        self.pacer.submit = submit_first

    def leave(self):
        """Close the first caller's socket with all data read: no reset."""
        try:
            while self.leaving_caller.recv(LARGE_BYTES):
                pass
        except BlockingIOError:
            self.leaving_caller.close()


@given('a service that leaves and paces its answers')
def step_paced_service(context):
    context.service = PacedService()


async def leave_early(service):
    """Let one caller leave; return what another reads."""
    service.pace()
    listener = ports.open_port(ADDRESS, 0)
    address = listener.getsockname()
    server = await transport.serve(service, *address, listener)
    request = b'GET /large HTTP/1.1\r\nHost: h\r\n\r\n'
    with socket.create_connection(address) as caller:
        caller.setblocking(False)
        service.leaving_caller = caller
        caller.send(request)
        reader, writer = await asyncio.open_connection(*address)
        # The second request comes while the first answer is being written.
        while not service.pacer.queued_bytes:
            await asyncio.sleep(0)
        writer.write(request)
        try:
            return await asyncio.wait_for(reader.read(), WAIT_S)
        except TimeoutError:
            return b''
        finally:
            writer.close()
            server.close()


@when('a caller leaves just before the last piece of its answer is written')
def step_leave_early(context):
    context.data = asyncio.run(leave_early(context.service))


@then('the answer that waits behind it is complete')
def step_complete(context):
    assert context.data.endswith(bytes(LARGE_BYTES)), len(context.data)

"""Steps for requests behind an answer that closes their connection."""

import asyncio

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

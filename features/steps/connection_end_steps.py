"""Steps for requests that might end their connection without an answer."""

import asyncio

from behave import given
from behave import then
from behave import when

from sedgering import ports
from sedgering import testing
from sedgering import transport

ADDRESS = '127.0.0.1'
WAIT_S = 2.0
WORK_S = 0.05
HOST = 'Host: a\r\n'
UPGRADE = (
    f'{HOST}Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
    'HTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA\r\n'
)
PLAIN = f'GET /plain HTTP/1.1\r\n{HOST}\r\n'
EXPECTING = f'{HOST}Expect: 100-continue\r\nContent-Length: 2\r\n\r\n'
SENT = {
    'a request that offers an upgrade': f'GET /a HTTP/1.1\r\n{UPGRADE}\r\n',
    'a post that offers an upgrade': (
        f'POST /a HTTP/1.1\r\n{UPGRADE}Content-Length: 2\r\n\r\nab'
    ),
    'a chunked post that offers an upgrade': (
        f'POST /a HTTP/1.1\r\n{UPGRADE}Transfer-Encoding: chunked\r\n\r\n'
        '2\r\nab\r\n0\r\n\r\n'
    ),
    'an expecting upgrade': (
        f'POST /a HTTP/1.1\r\n{UPGRADE}Expect: 100-continue\r\n'
        'Content-Length: 2\r\n\r\nab'
    ),
    'a plain request': PLAIN,
    'CONNECT': f'CONNECT a:1 HTTP/1.1\r\n{HOST}\r\n',
    'an expecting post of HTTP/1.0': f'POST /a HTTP/1.0\r\n{EXPECTING}ab',
}


class TryingService(transport.Service):
    """Answers with the path and body of a request, or fails."""

    keeps_half_closed = True

    def __init__(self, fault):
        super().__init__()
        self.fault = fault
        self.ran = []

    def begin(self, request):
        if self.fault == 'raises at once':
            raise ValueError(self.fault)
        return self.answer(request)

    async def answer(self, request):
        self.ran.append((request.url, request.body))
        await asyncio.sleep(WORK_S)
        if self.fault == 'raises':
            raise ValueError(self.fault)
        headers = []
        if self.fault == 'answers with a field that cannot be encoded':
            headers = [('X-Detail', 'täglich \u2192')]
        return transport.Response(200, headers, request.body)

    def find_limits(self):
        return transport.CallerLimits()


@given('a service that {fault}')
def step_service(context, fault):
    context.service = TryingService(fault)


async def connect(service):
    """Serve a service; return the server and a caller's two streams."""
    port = testing.free_ports(1)[0]
    server = await transport.serve(
        service, ADDRESS, port, ports.open_port(ADDRESS, port)
    )
    return server, *await asyncio.open_connection(ADDRESS, port)


@when('a caller sends it {first}, then {second}')
def step_sends(context, first, second):
    async def run():
        server, reader, writer = await connect(context.service)
        context.statuses = []
        try:
            async with asyncio.timeout(WAIT_S):
                for name in (first, second):
                    writer.write(SENT[name].encode())
                    expects = name == 'an expecting upgrade'
                    context.statuses.append(await read_status(reader, expects))
                writer.write_eof()
                context.rest = await reader.read(-1)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            context.rest = None
        finally:
            writer.close()
            server.close()

    asyncio.run(run())


async def read_status(reader, expects=False):
    """Read a response; return its status.

    It follows an interim response if the caller expects one.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    if expects:
        assert head == 'HTTP/1.1 100 Continue\r\n\r\n', head
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    for line in head.split('\r\n'):
        name, _colon, value = line.partition(': ')
        if name.lower() == 'content-length':
            await reader.readexactly(int(value))
    return int(head.split()[1])


@then('it gets {first:d} and {second:d}, and nothing else')
def step_statuses(context, first, second):
    assert context.statuses == [first, second], context.statuses
    assert context.rest == b'', context.rest


@then('the first one ran with the body "{body}"')
def step_body(context, body):
    assert context.service.ran[0] == ('/a', body.encode()), context.service.ran


@then('the first one ran with the body ""')
def step_no_body(context):
    step_body(context, '')


@when(
    'a caller sends it {count:d} requests with an offer each, cut every '
    '{piece:d} bytes'
)
def step_many(context, count, piece):
    data = SENT['a chunked post that offers an upgrade'].encode() * count

    async def run():
        server, reader, writer = await connect(context.service)
        context.statuses = []
        try:
            async with asyncio.timeout(WAIT_S):
                for start in range(0, len(data), piece):
                    writer.write(data[start : start + piece])
                    await writer.drain()
                    await asyncio.sleep(0)
                for _number in range(count):
                    context.statuses.append(await read_status(reader))
        finally:
            writer.close()
            server.close()

    asyncio.run(run())


@then(
    'all {count:d} ran with the body "{body}", and the caller gets '
    '{answers:d} answers'
)
def step_all_ran(context, count, body, answers):
    assert context.service.ran == [('/a', body.encode())] * count
    assert context.statuses == [200] * answers, context.statuses


@then('it gets {first:d}, and the connection ends')
def step_status(context, first):
    assert context.statuses == [first], context.statuses

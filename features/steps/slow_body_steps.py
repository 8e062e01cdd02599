"""Steps for callers that send the bodies of their requests slowly."""

import asyncio

from behave import given
from behave import then
from behave import when

from sedgering import ports
from sedgering import transport

ADDRESS = '127.0.0.1'
BYTES_PER_MB = 1024 * 1024
PIECE = b'y' * 1024
#: Longer than the time over which the rate of a body is measured.
STALL_S = 1.5
PIECE_PAUSE_S = 0.05
ROUNDS = 3
HEAD = b'POST / HTTP/1.1\r\nHost: h\r\n'


class ReadingService(transport.Service):
    """Answers each request at once."""

    def find_limits(self):
        return transport.CallerLimits()

    async def answer(self, request):
        return transport.Response(200, [])


class BodySubject:
    """A service, and callers that send bodies."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.service = ReadingService()
        listener = ports.open_port(ADDRESS, 0)
        self.port = listener.getsockname()[1]
        self.server = self.run(
            transport.serve(self.service, ADDRESS, self.port, listener)
        )
        self.streams = []
        self.tasks = []

    def run(self, work):
        """Run a coroutine and return its result."""
        return self.loop.run_until_complete(work)

    async def begin(self, sent_bytes, stated_bytes, is_chunked):
        """Send a part of a body on a new connection."""
        reader, writer = await asyncio.open_connection(ADDRESS, self.port)
        self.streams.append((reader, writer))
        if is_chunked:
            writer.write(HEAD + b'Transfer-Encoding: chunked\r\n\r\n')
            writer.write(b'%x\r\n%b\r\n' % (sent_bytes, bytes(sent_bytes)))
        else:
            writer.write(HEAD + b'Content-Length: %d\r\n\r\n' % stated_bytes)
            writer.write(bytes(sent_bytes))
        await writer.drain()

    async def go_on(self, is_chunked):
        """Send a little on all connections again and again."""
        piece = b'%x\r\n%b\r\n' % (len(PIECE), PIECE) if is_chunked else PIECE
        while True:
            for _reader, writer in self.streams:
                writer.write(piece)
            await asyncio.sleep(PIECE_PAUSE_S)

    async def post(self, size_bytes):
        """Send a whole request; return the status."""
        reader, writer = await asyncio.open_connection(ADDRESS, self.port)
        writer.write(HEAD + b'Content-Length: %d\r\n\r\n' % size_bytes)
        writer.write(bytes(size_bytes))
        status = await read_status(reader)
        writer.close()
        return status

    def close(self):
        async def end():
            for task in self.tasks:
                task.cancel()
            for _reader, writer in self.streams:
                writer.transport.abort()
            self.server.close()
            while self.service.connections:
                await asyncio.sleep(0.01)

        self.run(end())
        self.loop.close()


async def read_status(reader):
    """Return the status of the next response."""
    return int((await reader.readline()).split()[1])


@given('an empty memory of request bodies')
def step_service(context):
    context.bodies = BodySubject()
    context.cleanups.append(context.bodies.close)


@when('{count:d} callers send {sent:d} MB of {stated:d} MB, and {then}')
def step_send_part(context, count, sent, stated, then):
    subject = context.bodies
    is_chunked = 'chunks' in then

    async def send():
        for _ in range(count):
            await subject.begin(
                sent * BYTES_PER_MB, stated * BYTES_PER_MB, is_chunked
            )
        if then != 'stop':
            subject.tasks.append(
                subject.loop.create_task(subject.go_on(is_chunked))
            )
        await asyncio.sleep(STALL_S)

    subject.run(send())


@then(
    'another caller that sends {size:d} MB at once is answered with {status:d}'
)
def step_other(context, size, status):
    subject = context.bodies
    assert subject.run(subject.post(size * BYTES_PER_MB)) == status


@then(
    'a few of the {count:d} are told {status:d}, the others keep their '
    'connections'
)
def step_told(context, count, status):
    subject = context.bodies
    readers = [reader for reader, _writer in subject.streams]
    subject.run(asyncio.sleep(PIECE_PAUSE_S))
    told = [reader for reader in readers if reader._buffer]
    assert 0 < len(told) < count / 2, len(told)
    for reader in told:
        assert subject.run(read_status(reader)) == status
    others = [reader for reader in readers if reader not in told]
    assert not any(reader.at_eof() for reader in others)


@when(
    '{count:d} callers send bodies of {size:d} MB at full speed, again and '
    'again'
)
def step_full_speed(context, count, size):
    subject = context.bodies

    async def send():
        return [await subject.post(size * BYTES_PER_MB) for _ in range(ROUNDS)]

    async def run():
        return await asyncio.gather(*(send() for _ in range(count)))

    context.statuses = subject.run(run())


@then('each of them is answered with {status:d} each time')
def step_all(context, status):
    statuses = {item for items in context.statuses for item in items}
    assert statuses == {status}, statuses

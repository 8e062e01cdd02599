"""Steps for peers that send bytes without an end."""

import asyncio
import itertools

from behave import given
from behave import then
from behave import when

from sedgering import transport
from sedgering.transport import _client
from sedgering.transport import _server

PIECE_BYTES = 16 * 1024
#: What is sent at most if nothing ends the connection.
LONGEST_BYTES = 4 * 1024 * 1024
HEAD_BYTES = 64 * 1024
STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
REQUEST_LINE = b'POST /r0/x HTTP/1.1\r\n'
CHUNKED = b'Host: a\r\nTransfer-Encoding: chunked\r\n\r\n'
STARTS = {
    'nothing': b'',
    'a status line': STATUS_LINE,
    'the head of chunks': STATUS_LINE + CHUNKED + b'1;',
    'the end of all chunks': STATUS_LINE + CHUNKED + b'0\r\n',
    'a request line': REQUEST_LINE,
    'a request of chunks': REQUEST_LINE + CHUNKED + b'1;',
    'the last chunk': REQUEST_LINE + CHUNKED + b'0\r\n',
}
#: What comes first, and what is repeated.
ENDLESS = {
    'a status line': (b'HTTP/1.1 200 ', b'x'),
    'a request line': (b'POST /', b'x'),
    'a field line': (b'X-Field: ', b'x'),
    'fields': (b'', b'X-Field: y\r\n'),
    'trailers': (b'', b'X-Field: y\r\n'),
    'a chunk extension': (b'', b'x'),
    'interim responses': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
}


class RecordingTransport:
    """A transport that records what is sent, and whether it was closed."""

    def __init__(self):
        self.sent = b''
        self.is_closed = False

    def write(self, data):
        self.sent += data

    def abort(self):
        self.is_closed = True

    close = write_eof = abort

    def is_closing(self):
        return self.is_closed

    def can_write_eof(self):
        return True

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, _name):
        return None

    def pause_reading(self):
        """Ignore; all data is given to the connection."""

    resume_reading = pause_reading


class SilentService(transport.Service):
    """Answers each request with its size."""

    def __init__(self):
        super().__init__()
        self.sizes = []

    async def answer(self, request):
        self.sizes.append(len(request.body))
        return transport.Response(200, [])

    def find_limits(self):
        return transport.CallerLimits(header_bytes=HEAD_BYTES)


@given('a connection to a target that sends {start}')
def step_target(context, start):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    connection = _client.ClientConnection(context.loop)
    connection.transport = context.transport = RecordingTransport()
    context.outcomes = []
    connection.begin_exchange(
        b'', lambda _response: True, context.outcomes.append
    )
    begin(context, connection, start)


@given('a connection of a caller that sends {start}')
def step_caller(context, start):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.service = SilentService()
    connection = _server.ServerConnection(context.service, context.loop)
    connection.transport = context.transport = RecordingTransport()
    begin(context, connection, start)


def begin(context, connection, start):
    """Let the peer send the start of its message."""
    context.connection = connection
    context.given_bytes = 0
    if STARTS[start]:
        connection.data_received(STARTS[start])


@when('it goes on with {more} without an end, 16 kB at a time')
def step_endless(context, more):
    first, repeated = ENDLESS[more]
    count = PIECE_BYTES // len(repeated)
    pieces = itertools.chain([first], itertools.repeat(repeated * count))
    for piece in pieces:
        is_over = context.transport.is_closed or context.transport.sent
        if is_over or context.given_bytes > LONGEST_BYTES:
            break
        if piece:
            context.connection.data_received(piece)
            context.given_bytes += len(piece)


@then(
    'the exchange fails after {most:d} kB at most, and the connection is '
    'closed'
)
def step_failed(context, most):
    assert context.given_bytes <= most * 1024, context.given_bytes
    (outcome,) = context.outcomes
    assert isinstance(outcome, transport.ExchangeFailed), outcome
    assert context.transport.is_closed


@then('it is refused with {status:d} after {most:d} kB at most')
def step_refused(context, status, most):
    assert context.given_bytes <= most * 1024, context.given_bytes
    head = context.transport.sent.split(b'\r\n')[0]
    assert head.startswith(b'HTTP/1.1 %d ' % status), head


@when(
    'it answers with {body:d} bytes in chunks of {chunk:d}, cut every '
    '{piece:d} bytes'
)
def step_sound_answer(context, body, chunk, piece):
    data = STATUS_LINE + CHUNKED
    chunks = b'%x\r\n%b\r\n' % (chunk, b'x' * chunk)
    data += chunks * (body // chunk)
    if rest := body % chunk:
        data += b'%x\r\n%b\r\n' % (rest, b'x' * rest)
    send_in_pieces(context, data + b'0\r\n\r\n', piece)


@then('the exchange ends with {body:d} bytes')
def step_sound(context, body):
    (outcome,) = context.outcomes
    assert isinstance(outcome, transport.Response), outcome
    assert len(outcome.body) == body


@when(
    'it sends {count:d} requests with {body:d} bytes each, cut every '
    '{piece:d} bytes'
)
def step_sound_requests(context, count, body, piece):
    head = REQUEST_LINE + b'Host: a\r\nContent-Length: %d\r\n\r\n' % body
    send_in_pieces(context, (head + b'x' * body) * count, piece)
    context.loop.run_until_complete(asyncio.sleep(0))


@then('all {count:d} are answered')
def step_all_answered(context, count):
    assert len(context.service.sizes) == count, context.service.sizes


def send_in_pieces(context, data, piece):
    """Let the peer send data in pieces."""
    for start in range(0, len(data), piece):
        context.connection.data_received(data[start : start + piece])

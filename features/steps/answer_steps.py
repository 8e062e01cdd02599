"""Steps for large answers on narrow links, and for connections."""

import asyncio
import heapq
import random
import types

from behave import given
from behave import then
from behave import when

from sedgering import mesh
from sedgering.mesh import _answer_admission
from sedgering.mesh import _choice
from sedgering.mesh import _peers
from sedgering import ports
from sedgering import testing
from sedgering import transport

ADDRESS = '127.0.0.1'
SMALL_BYTES = 500
ROUTE = 'download'
SLACK_S = 0.01


class ManualLoop:
    """Virtual time with timers."""

    def __init__(self):
        self.now_s = 0.0
        self._timers = []
        self._count = 0

    def time(self):
        return self.now_s

    def call_later(self, wait_s, callback, *values):
        self._count += 1
        item = (self.now_s + wait_s, self._count, callback, values)
        heapq.heappush(self._timers, item)
        return types.SimpleNamespace(cancel=lambda: None)

    def run(self):
        """Run all timers in their order."""
        while self._timers:
            self.now_s, _count, callback, values = heapq.heappop(self._timers)
            callback(*values)


class PacerSubject:
    """A pacer that records what it writes and when."""

    def __init__(self, mbps):
        self.loop = ManualLoop()
        self.pacer = transport.make_pacer(mbps, self.loop)
        self.written = []
        self.ended_s = {}
        self.items = []

    def submit(self, name, size):
        item = transport.PacedWrite(
            lambda piece: self.written.append(
                (self.loop.now_s, name, len(piece))
            ),
            b'x' * size,
            lambda: self.ended_s.setdefault(name, self.loop.now_s),
        )
        self.items.append(item)
        self.pacer.submit(item)


@given('a link of {mbps:d} Mbit/s')
def step_link(context, mbps):
    context.pacing = PacerSubject(mbps)


@when(
    'an answer of {size:d} bytes is submitted, and a small one {pause:f} s '
    'later'
)
def step_large_and_small(context, size, pause):
    subject = context.pacing

    def write_small():
        subject.small_behind_s = subject.pacer._free_s - subject.loop.now_s
        subject.pacer.note_small(SMALL_BYTES)

    subject.loop.call_later(pause, write_small)
    subject.submit('large', size)
    subject.loop.run()


@then(
    'the small one was written at once, after at most {limit:f} s of the link'
)
def step_small(context, limit):
    assert context.pacing.small_behind_s < limit


@then('the large one took {least:f} to {most:f} s, in pieces')
def step_large(context, least, most):
    subject = context.pacing
    # The last piece is written before it has left the link.
    assert least - 0.02 <= subject.ended_s['large'] <= most, subject.ended_s
    assert len(subject.written) > 20


@when('{count:d} answers of {size:d} bytes are submitted at once')
def step_submit(context, count, size):
    for number in range(count):
        context.pacing.submit(number, size)


@when('the first two are cancelled after {pause:f} s')
def step_cancel(context, pause):
    subject = context.pacing
    for item in subject.items[:2]:
        subject.loop.call_later(pause, item.cancel)


@then('they end in their order, the first after {least:f} to {most:f} s')
def step_order(context, least, most):
    subject = context.pacing
    subject.loop.run()
    ends = [subject.ended_s[number] for number in range(len(subject.items))]
    assert ends == sorted(ends) and len(set(ends)) == len(ends)
    assert least - 0.02 <= ends[0] <= most, ends


@then('the last one ends after {least:f} to {most:f} s')
def step_last(context, least, most):
    subject = context.pacing
    subject.loop.run()
    assert list(subject.ended_s) == [2], subject.ended_s
    assert least - 0.02 <= subject.ended_s[2] <= most, subject.ended_s


@then(
    'there is a pacer for {narrow:d} Mbit/s, and none for {wide:d} or where '
    'unknown'
)
def step_pacers(context, narrow, wide):
    loop = ManualLoop()
    assert transport.make_pacer(narrow, loop) is not None
    assert transport.make_pacer(wide, loop) is None
    assert transport.make_pacer(0, loop) is None


@given('answers of {size:d} bytes on a route, over a link of {mbps:d} Mbit/s')
def step_answer_link(context, mbps, size):
    loop = ManualLoop()
    pacer = transport.make_pacer(mbps, loop)
    context.admission = _answer_admission.AnswerAdmission(pacer, loop.time)
    context.admission.release(ROUTE, context.admission.reserve(ROUTE), size)


@given('{count:d} of them expected')
def step_expected(context, count):
    context.reservations = [
        context.admission.reserve(ROUTE) for _ in range(count)
    ]


@when('{count:d} of them end without an answer')
def step_end(context, count):
    for reserved_bytes in context.reservations[:count]:
        context.admission.release(ROUTE, reserved_bytes, None)


@then(
    'a call with {work:d} ms of work and {goal:d} ms until its goal {result}'
)
def step_admission(context, work, goal, result):
    is_admitted = context.admission.can_send_in_time(ROUTE, work, goal / 1000)
    assert is_admitted is (result == 'is admitted'), context.admission.wait_ms


def _make_peer(peers, host, **report):
    row = testing.make_member_row(host, link_mbps=8)
    peer = peers.find(row)
    load = mesh.LoadReport(0, 0, 9, 200, 200, **report)
    peers.record_report(peer, load, ROUTE, 0.0)
    return row


@given(
    'a peer whose link has a backlog of {wait:d} ms, and another that is free'
)
def step_two_peers(context, wait):
    context.peers = _peers.PeerTable(mesh.MeshSettings())
    context.rows = [
        _make_peer(context.peers, 'full', answer_wait_ms=wait),
        _make_peer(context.peers, 'free'),
    ]


def _choose(context, seed, **kinds):
    costs = _choice.CallCosts(context.peers, 'hall', ROUTE, 0, False, 0.0)
    peer = _choice.choose_member(
        context.rows, (), costs, random.Random(seed), **kinds
    )
    return peer.row.host


@then('a call whose answers have {size:d} bytes goes to the free one')
def step_goes_free(context, size):
    context.peers.note_answer(ROUTE, size)
    chosen = {_choose(context, seed) for seed in range(50)}
    assert chosen == {'free'}, chosen
    del context.peers._answer_bytes[ROUTE]


@then('a call whose answers have {size:d} bytes goes to either')
def step_goes_either(context, size):
    context.peers.note_answer(ROUTE, size)
    chosen = {_choose(context, seed) for seed in range(50)}
    assert chosen == {'free', 'full'}, chosen


@given('a host whose link has {mbps:d} Mbit/s, and answers of {size:d} bytes')
def step_narrow_host(context, mbps, size):
    context.size = size
    context.fleet = testing.MeshFleet(link_mbps=mbps)
    context.cleanups.append(context.fleet.stop)
    context.first = context.fleet.add_host('h0', 'ledger')
    context.second = context.fleet.add_host('h1', 'calendar')
    context.second.books.body_bytes = size
    download = {
        'kind': 'download',
        'timeout': '4000ms',
        'target_latency': '1500ms',
    }
    context.fleet.configure(
        testing.make_document(1, [download, {'service': 'ledger'}])
    )
    context.fleet.wait_ready()
    gate = context.second.daemon.state.target_client.gate
    gate.open(50)


async def _ask(context, path, number):
    return await context.fleet.start_call(
        context.first.addresses.callers_port,
        path,
        X_Request_Id=f'{path[1:3]}-{number}',
        X_Request_Deadline='4000',
    )


@given('the size of its answers is known from {count:d} answers')
def step_known(context, count):
    async def run():
        for number in range(count):
            await _ask(context, '/r0/', 100 + number)

    context.fleet.run(run())


@when(
    '{count:d} callers of another host call it, and small calls come meanwhile'
)
def step_mixed(context, count):
    loop = context.fleet.loop

    async def ping(peer):
        started_s = loop.time()
        await asyncio.sleep(0.02)
        await peer.ping()
        return loop.time() - started_s

    async def run():
        row = context.first.daemon.state.fleet.members['h1']
        peer = context.first.daemon.state.peers.find(row)
        large = [
            asyncio.ensure_future(_ask(context, '/r0/', number))
            for number in range(count)
        ]
        await asyncio.sleep(0.1)
        context.heard_before = peer.heard_s
        context.ping_s = await ping(peer)
        context.left = sum(not item.done() for item in large)
        context.answers = await asyncio.gather(*large)

    context.fleet.run(run())


@then('all answers are complete')
def step_whole(context):
    sizes = [(item.status, len(item.body)) for item in context.answers]
    assert sizes == [(200, context.size)] * len(sizes), sizes


@then('no small call waited for the end of the large ones')
def step_not_waited(context):
    # The first large answer occupies the link for 0.24 s.
    assert context.left == len(context.answers), context.left


@when('{count:d} callers of another host call it at once')
def step_at_once(context, count):
    async def run():
        context.answers = await asyncio.gather(
            *(_ask(context, '/r0/', number) for number in range(count))
        )

    context.fleet.run(run())


@then('those that are answered 200 got complete answers')
def step_some(context):
    good = [item for item in context.answers if item.status == 200]
    assert 0 < len(good) < len(context.answers), len(good)
    assert all(len(item.body) == context.size for item in good)


@then('the others were refused as not run, with a retry time')
def step_others(context):
    refused = [item for item in context.answers if item.status != 200]
    for answer in refused:
        assert answer.status == 503, answer
        assert transport.find_header(answer.headers, 'retry-after')
    ran = [run[0] for run in context.second.books.runs]
    good = len(context.answers) - len(refused)
    known = [request_id for request_id in ran if '-10' in request_id]
    assert len(ran) - len(known) == good, ran


class LargeService(transport.Service):
    """Returns a large body, or a small one for the path /small."""

    size = 0

    def find_limits(self):
        return transport.CallerLimits()

    async def answer(self, request):
        size = 3 if request.url == '/small' else self.size
        return transport.Response(200, [], b'x' * size)


@given('a paced service with an answer of {size:d} bytes')
def step_paced_service(context, size):
    context.size = size


def _talk(context, data):
    async def run():
        port = testing.free_ports(1)[0]
        service = LargeService()
        service.size = context.size
        loop = asyncio.get_running_loop()
        service.pacer = transport.make_pacer(50, loop)
        server = await transport.serve(
            service, ADDRESS, port, ports.open_port(ADDRESS, port)
        )
        reader, writer = await asyncio.open_connection(ADDRESS, port)
        writer.write(data)
        try:
            return await asyncio.wait_for(reader.read(-1), 10)
        finally:
            writer.close()
            server.close()

    return asyncio.run(run())


@when('a caller sends "Connection: close"')
def step_close(context):
    head = 'GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
    context.raw = _talk(context, head.encode())


@then('it gets the whole answer, and the end of the stream')
def step_gets_all(context):
    _head, _mark, body = context.raw.partition(b'\r\n\r\n')
    assert body == b'x' * context.size, len(body)


@when('a caller pipelines requests for the large answer and for a small one')
def step_pipeline(context):
    large = 'GET /large HTTP/1.1\r\nHost: h\r\n\r\n'
    small = 'GET /small HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
    context.raw = _talk(context, (large + small).encode())


@then('the large one comes first, complete')
def step_first(context):
    _head, _mark, rest = context.raw.partition(b'\r\n\r\n')
    assert rest[: context.size] == b'x' * context.size
    assert rest[context.size :].startswith(b'HTTP/1.1 200'), rest[-300:]
    assert rest.endswith(b'xxx')


@given('a peer that was heard {age:f} s ago')
def step_heard(context, age):
    context.peers = _peers.PeerTable(mesh.MeshSettings())
    context.peer = context.peers.find(testing.make_member_row('h0'))
    context.now_s = 100.0
    context.peer.heard_s = context.now_s - age


@when('a connection to it is refused by its host')
def step_connection_refused(context):
    context.peer.note_unreachable(context.now_s, 'refused', True)


@then('it is suspected for {pause:d} ms, however often')
def step_suspected(context, pause):
    peer = context.peer
    for _again in range(3):
        until_s = context.now_s + pause / 1000
        assert peer.is_suspect(until_s - SLACK_S)
        assert not peer.is_suspect(until_s + SLACK_S)
        context.now_s = until_s + SLACK_S
        peer.note_unreachable(context.now_s, 'refused', True)


@when('a connection to it times out')
def step_no_connection(context):
    context.peer.note_unreachable(context.now_s, 'TimeoutError', False)


@then('it is not suspected')
def step_not_suspected(context):
    assert not context.peer.is_suspect(context.now_s)


@then('the same makes it suspect when it was heard {age:f} s ago')
def step_suspected_then(context, age):
    context.peer.heard_s = context.now_s - age
    step_no_connection(context)
    assert context.peer.is_suspect(context.now_s)


@given('a peer with an open connection and a slower answer than others')
def step_open_peer(context):
    context.peers = _peers.PeerTable(mesh.MeshSettings())
    context.rows = [
        _make_peer(context.peers, 'quick'),
        _make_peer(context.peers, 'open', answer_wait_ms=0),
    ]
    slow = context.peers.find(context.rows[1])
    slow._route_work[ROUTE] = (900, 0.0)
    connection = types.SimpleNamespace(is_sound=True, close=lambda: None)
    slow.pool._idle.append((0.0, connection))


@then('it is chosen after a host could not be reached, and not before')
def step_chosen_after(context):
    assert _choose(context, 1) == 'quick'
    assert _choose(context, 1, prefers_open=True) == 'open'

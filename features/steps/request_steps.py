"""Steps on requests, through the real data path and scripted targets."""

import http.client
import socket
import threading
import time
import tracemalloc

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
from request_subject import HOST
from request_subject import make_content
from request_subject import RequestSubject
from request_subject import TIMEOUT_MS
from request_subject import WAIT_S
import scripted_target

from sedgering import bundle as bundles


def get_subject(context):
    if not hasattr(context, 'requests'):
        context.requests = RequestSubject()
        context.cleanups.append(context.requests.stop)
    return context.requests


@given('a target that {behaves}')
def step_target(context, behaves):
    get_subject(context).add_target(behaves)


@when('a request of another host is sent')
def step_other_host(context):
    context.answer = context.requests.send(
        'non-repeatable', {'Host': 'other.example'}
    )


@when('a request with hop-by-hop headers is sent')
def step_hop(context):
    context.answer = context.requests.send(
        'non-repeatable',
        {
            'Connection': 'close, X-Private',
            'X-Private': 'secret',
            'TE': 'trailers',
            'X-Deadline-Ms': '300',
        },
    )


@when('a {kind} request is sent')
def step_send(context, kind):
    context.answer = context.requests.send(kind)


@then('its caller is told {told} and the target ran it {runs:d} times')
def step_told(context, told, runs):
    subject = context.requests
    assert context.answer.told == told, context.answer.told
    (name,) = subject.answers
    assert subject.runs(name) == runs, subject.runs(name)


@when('{count:d} {kind} requests are sent')
def step_send_many(context, count, kind):
    for _ in range(count):
        context.requests.send(kind)


@then(
    'all that are not answered are told {told}, and none ran twice '
    'unless {kind}'
)
def step_all_told(context, told, kind):
    subject = context.requests
    seen = {answer.told for answer in subject.answers.values()} - {'answer'}
    assert seen == (set() if told == 'nothing' else {told}), seen
    if kind == 'non-repeatable':
        for name in subject.answers:
            assert subject.runs(name) <= 1, name


@then('some ran without an answer, and none of these is told not-run')
def step_not_forgotten(context):
    subject = context.requests
    ran = [name for name in subject.answers if subject.runs(name)]
    assert ran, 'no request reached the first target'
    assert {subject.answers[name].told for name in ran} == {'unknown'}


@when('a request times out and another one follows at once')
def step_late(context):
    subject = context.requests
    assert subject.send('non-repeatable').told == 'unknown'
    context.answer = subject.send('non-repeatable')
    time.sleep(scripted_target.LATE_S)
    context.third = subject.send('non-repeatable')


@then('the second caller gets its own answer or none')
def step_own(context):
    assert context.answer.told != 'wrong'
    assert context.third.told != 'wrong'


@when('a caller sends a request and goes away')
def step_gone(context):
    subject = context.requests
    caller = socket.create_connection(('127.0.0.1', subject.port))
    caller.sendall(f'POST /write HTTP/1.1\r\nHost: {HOST}\r\n\r\n'.encode())
    wait_for(lambda: subject.targets[0].ran)
    caller.close()


@then('the target sees its connection closed')
def step_cancelled(context):
    # Well before the deadline of the request would close it.
    assert context.requests.targets[0].closed.wait(TIMEOUT_MS / 2000)


@when('a caller goes away in the middle of an upload')
def step_half_upload(context):
    subject = context.requests
    caller = socket.create_connection(('127.0.0.1', subject.port))
    head = f'POST /write HTTP/1.1\r\nHost: {HOST}\r\n'
    caller.sendall(head.encode() + b'Content-Length: 1000\r\n\r\nhalf')
    wait_for(lambda: subject.targets[0].heads)
    caller.close()
    wait_for(lambda: not subject.state.gate.in_flight)


@then('the target ran nothing')
def step_nothing(context):
    assert context.requests.targets[0].ran == []


@when('{size:d} MB are uploaded')
def step_upload(context, size):
    subject = context.requests
    subject.state.holder.apply(2, b'e', _with_long_timeout())
    chunk = b'x' * 65536
    tracemalloc.start()
    context.answer = subject.send(
        'non-repeatable',
        {'Content-Length': str(size * 2**20)},
        iter([chunk] * (size * 16)),
    )
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    context.size_bytes = size * 2**20


def _with_long_timeout():
    content = make_content()
    slow = bundles.Policy('p', timeout_ms=60_000)
    return bundles.make_bundle(
        'mesh',
        (slow, content.policies[0]),
        content.target_sets,
        content.routes,
    )


@then('the target got all of it and the proxy held less than {limit:d} MB')
def step_bounded(context, limit):
    assert context.answer.told == 'answer', context.answer.told
    assert context.requests.targets[0].body_bytes == context.size_bytes
    assert context.peak_bytes < limit * 2**20, context.peak_bytes


@then('all are answered')
def step_all_answered(context):
    told = [answer.told for answer in context.requests.answers.values()]
    assert told == ['answer'] * len(told), told


@then('all are answered and each slow attempt is cancelled')
def step_hedged(context):
    subject = context.requests
    told = [answer.told for answer in subject.answers.values()]
    assert told == ['answer'] * len(told), told
    slow = subject.targets[0]
    assert slow.ran, 'the slow target was never chosen'
    assert slow.closed.wait(WAIT_S)


RAW = {
    'length and chunked': (
        b'POST /write HTTP/1.1\r\nHost: %s\r\nContent-Length: 5\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        b'GET /read HTTP/1.1\r\nHost: %s\r\n\r\n'
    ),
    'two lengths': (
        b'POST /write HTTP/1.1\r\nHost: %s\r\nContent-Length: 4\r\n'
        b'Content-Length: 5\r\n\r\nabcde'
    ),
    'a negative length': (
        b'POST /write HTTP/1.1\r\nHost: %s\r\nContent-Length: -1\r\n\r\n'
    ),
    'a length that is no number': (
        b'POST /write HTTP/1.1\r\nHost: %s\r\nContent-Length: +4\r\n\r\nabcd'
    ),
    'an unknown encoding': (
        b'POST /write HTTP/1.1\r\nHost: %s\r\n'
        b'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n'
    ),
    'a chunk size that is no hex': (
        b'POST /write HTTP/1.1\r\nHost: %s\r\n'
        b'Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n'
    ),
    'a folded header': (
        b'GET /read HTTP/1.1\r\nHost: %s\r\nX-A: b\r\n c: d\r\n\r\n'
    ),
    'a space before the colon': (
        b'POST /write HTTP/1.1\r\nHost: %s\r\n'
        b'Transfer-Encoding : chunked\r\nContent-Length: 3\r\n\r\nabc'
    ),
    'CONNECT': b'CONNECT %s:80 HTTP/1.1\r\nHost: %s\r\n\r\n',
    'absolute form of another': (
        b'GET http://other.example/read HTTP/1.1\r\nHost: %s\r\n\r\n'
    ),
    'a deadline that is no number': (
        b'GET /read HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: soon\r\n\r\n'
    ),
    'headers without end': (
        b'GET /read HTTP/1.1\r\nHost: %s\r\nX-A: ' + b'a' * 100_000
    ),
    'garbage': b'\x00\xff\x00\xff\r\n\r\n',
}


@when('"{name}" is sent')
def step_raw(context, name):
    data = RAW[name]
    context.received = context.requests.send_raw(
        data.replace(b'%s', HOST.encode())
    )


@then('it is refused and no target saw it, and the proxy lives')
def step_refused(context):
    subject = context.requests
    first = context.received.split(b'\r\n', 1)[0]
    is_refused = not first or first.split(b' ')[1][:1] in (b'4', b'5')
    assert is_refused, first
    time.sleep(0.05)
    assert not subject.targets[0].ran, subject.targets[0].heads
    assert subject.send('non-repeatable').told == 'answer'


@when('a caller expects 100-continue before it sends its body')
def step_continue(context):
    head = (
        f'POST /write HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: me\r\n'
        'Content-Length: 4\r\nExpect: 100-continue\r\n\r\n'
    )
    address = ('127.0.0.1', context.requests.port)
    with socket.create_connection(address) as caller:
        caller.settimeout(WAIT_S)
        caller.sendall(head.encode())
        context.interim = caller.recv(1000)
        caller.sendall(b'body')
        context.received = caller.recv(1000)


@then('it gets the interim answer, and then its own')
def step_continued(context):
    assert context.interim.startswith(b'HTTP/1.1 100'), context.interim
    assert context.received.startswith(b'HTTP/1.1 200'), context.received
    assert context.requests.targets[0].ran == ['me']


@when('a repeatable request is sent by a caller that reads piece by piece')
def step_pieces(context):
    subject = context.requests
    caller = http.client.HTTPConnection(
        '127.0.0.1', subject.port, timeout=WAIT_S
    )
    caller.request('GET', '/read', headers={'Host': HOST})
    response = caller.getresponse()
    context.first = response.read(4)
    subject.targets[0].resume.set()
    context.second = response.read()
    caller.close()


@then('it has the first half before the second is sent')
def step_halves(context):
    assert (context.first, context.second) == (b'half', b'done')


@then('the target saw none of them, and a deadline that has shrunk')
def step_no_hop(context):
    (head,) = context.requests.targets[0].heads
    assert not {'te', 'x-private', 'keep-alive'} & head.keys(), head
    assert head.get('connection') is None
    assert 0 < int(head['x-deadline-ms']) <= 300


@given('the proxy is not ready')
def step_not_ready(context):
    context.requests.state.gate.is_open = False


@given('the proxy is leaving')
def step_leaving(context):
    context.requests.state.gate.is_leaving = True


@then('it gets code {code} and outcome {told}')
def step_code(context, code, told):
    assert context.answer.headers['X-Sedgering-Code'] == code
    assert context.answer.told == told


@then('it is answered and the connection ends')
def step_closes(context):
    assert context.answer.told == 'answer'
    assert context.answer.headers['Connection'] == 'close'


def wait_for(condition):
    deadline_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline_s, 'waited too long'
        time.sleep(0.005)


BEHAVIOURS = [
    'answers',
    'refuses before work',
    'is not there',
    'closes before its answer',
    'cuts its answer',
    'answers garbage',
]


@then('over any faults nothing is lost, doubled or told wrongly')
def step_any(context):
    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=40,
        # Each example starts servers; shrinking would take minutes.
        phases=[hypothesis.Phase.generate],
    )
    @hypothesis.given(
        st.lists(st.sampled_from(BEHAVIOURS), min_size=1, max_size=3),
        st.lists(
            st.sampled_from(['repeatable', 'non-repeatable']),
            min_size=1,
            max_size=6,
        ),
        st.integers(0, 9),
    )
    def check(behaviours, kinds, seed):
        subject = RequestSubject(seed)
        try:
            for behaviour in behaviours:
                subject.add_target(behaviour)
            senders = [
                threading.Thread(target=subject.send, args=(kind,))
                for kind in kinds
            ]
            for sender in senders:
                sender.start()
            for sender in senders:
                sender.join(WAIT_S)
            judge(subject, kinds)
        finally:
            subject.stop()

    check()


def judge(subject, kinds):
    assert len(subject.answers) == len(kinds), 'lost'
    paths = {}
    for target in subject.targets:
        for head in target.heads:
            paths[head['x-request-id']] = head[':line']
    for name, answer in subject.answers.items():
        runs = subject.runs(name)
        assert answer.told != 'wrong', name
        if answer.told == 'not-run':
            assert runs == 0, 'told not run, and ran'
        if answer.told == 'answer':
            assert runs >= 1, 'answered, and did not run'
        if '/write' in paths.get(name, ''):
            assert runs <= 1, 'doubled'

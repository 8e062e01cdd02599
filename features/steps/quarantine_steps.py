"""Steps for the status of requests during which targets crashed."""

import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import msgspec

from sedgering import base
from sedgering import clock
from sedgering import exceptions
from sedgering import mesh
from sedgering.mesh import _choice
from sedgering.mesh import _crash_watch
from sedgering.mesh import _hop
from sedgering.mesh import _members
from sedgering.mesh import _peers
from sedgering.mesh import _trials
from sedgering import testing
from sedgering import transport

FINGERPRINT = base.Fingerprint('00000000-0000000000000000')
LIMIT = 3
OTHER_CRASH = (mesh.CrashEvidence(mesh.CrashId('x')),)
CALLER_FIELDS = ('authorization', 'cookie')
EXAMPLES = 300
SUSPECTS = 200
FIELDS = {'Host': 'a.example', 'Cookie': 'b', 'X-Request-Id': 'c'}
DIFFERENCES = {
    'nothing': {},
    'their ids': {'X-Request-Id': 'd'},
    'their deadlines': {'X-Request-Deadline': '7'},
    'the port of the host': {'Host': 'A.example:80'},
    'the method': {'method': 'PUT'},
    'the host': {'Host': 'b.example'},
    'the path': {'url': '/b?x=1'},
    'the query': {'url': '/a?x=2'},
    'the body': {'body': b'other'},
    'the authorization': {'Authorization': 'e'},
    'the cookie': {'Cookie': 'f'},
}


class TableSubject:
    """The crash table of one daemon, with a clock that the test sets."""

    def __init__(self, limit: int = LIMIT):
        self.now_s = 1000.0
        self.table = mesh.CrashTable(CALLER_FIELDS, limit, lambda: self.now_s)

    def record(self, event: str) -> None:
        """Record ``crash 1``, ``trial 1`` or ``answer``; skip ``nothing``."""
        kind, _space, number = event.strip().partition(' ')
        if kind in ('crash', 'trial'):
            evidence = mesh.CrashEvidence(number, kind == 'trial')
            self.table.add_crashes(FINGERPRINT, (evidence,))
        elif kind == 'answer':
            self.table.clear(FINGERPRINT)

    def find_status(self) -> str:
        """Return the status of the request."""
        return self.table.find_status(FINGERPRINT).value


def make_request(**fields) -> transport.Request:
    """Make a request that differs in some fields."""
    own = {
        name: fields.pop(name)
        for name in ('method', 'url', 'body')
        if name in fields
    }
    values = {'method': 'POST', 'url': '/a?x=1', 'body': b'body', **own}
    return transport.Request(
        headers=list({**FIELDS, **fields}.items()), **values
    )


def make_fingerprint(number: int) -> base.Fingerprint:
    """Make the fingerprint of some other request."""
    return base.Fingerprint(f'{number:08x}-{number:016x}')


@given('a limit of {limit:d} crashes')
def step_limit(context, limit):
    context.subject = TableSubject(limit)


@given('a request for which {events} is recorded')
def step_recorded(context, events):
    if not hasattr(context, 'subject'):
        context.subject = TableSubject()
    for event in events.split(','):
        context.subject.record(event)


@then('it is {status:w}')
def step_status(context, status):
    assert context.subject.find_status() == status, (
        context.subject.find_status()
    )


@then('daemons with the same crashes and answers agree')
def step_agree(_context):
    crashes = st.lists(
        st.builds(
            mesh.CrashEvidence, st.sampled_from('abcdef'), st.booleans()
        ),
        max_size=12,
    )
    forgiven = st.sets(st.sampled_from('abcdef'))

    @hypothesis.settings(
        max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(crashes, forgiven, st.randoms())
    def check(reported, answered, rng):
        subjects = [TableSubject() for _ in range(3)]
        for subject in subjects:
            order = (
                list(reported) + rng.choices(reported, k=3) if reported else []
            )
            rng.shuffle(order)
            for crash in order:
                subject.table.add_crashes(FINGERPRINT, (crash,))
            subject.table.clear(FINGERPRINT, answered)
        assert len({subject.find_status() for subject in subjects}) == 1
        counted = [item for item in reported if item.crash not in answered]
        trials = {item.crash for item in counted if item.was_trial}
        others = {item.crash for item in counted} - trials
        expected = len(trials) + bool(others)
        found = subjects[0].table.count_crashes(FINGERPRINT)
        assert found == expected, (found, expected)

    check()


@then('it may be tried after {wait_s:d} s')
def step_wait(context, wait_s):
    subject = context.subject
    assert subject.find_status() == 'quarantined'
    found_s = subject.table.find_wait_s(FINGERPRINT)
    assert round(found_s) == wait_s, found_s
    before_s = subject.now_s
    subject.now_s += wait_s + 0.001
    assert subject.find_status() == 'suspect'
    subject.now_s = before_s


@when('trial {number:d} is recorded after {pause_s:d} s')
def step_trial(context, number, pause_s):
    context.subject.now_s += pause_s
    context.subject.record(f'trial {number}')


@when('an answer is recorded after {pause_s:d} s')
def step_answer(context, pause_s):
    context.subject.now_s += pause_s
    context.subject.record('answer')


@when('one crash is recorded for each of {count:d} other requests')
def step_others(context, count):
    for number in range(1, count + 1):
        context.subject.now_s += 0.01
        context.subject.table.add_crashes(
            make_fingerprint(number), OTHER_CRASH
        )


@then('{count:d} requests are known, and the first one is {status}')
def step_bounded(context, count, status):
    assert len(context.subject.table) == count, len(context.subject.table)
    step_status(context, status)


@when('{count:d} crashes are recorded for it, each followed by an answer')
def step_many_crashes(context, count):
    for number in range(count):
        context.subject.record(f'crash {number}')
        context.subject.record('answer')


@then('{count:d} crashes are sent with its calls')
def step_sent_crashes(context, count):
    table = context.subject.table
    assert len(table.list_cleared(FINGERPRINT)) == count
    assert not table.list_crashes(FINGERPRINT)


@given(
    'a target with {count:d} calls in flight, of which call {trial:d} runs as '
    'a suspect'
)
def step_many_calls(context, count, trial):
    context.subject = TableSubject()
    context.lifetime = mesh.Lifetime('i-1', 1)
    context.sent = [
        _crash_watch.SentCall(
            make_request(url=f'/{number}'),
            context.lifetime,
            0.0,
            1.0,
            number == trial,
        )
        for number in range(count)
    ]


@when('it crashes')
def step_crashes(context):
    table = context.subject.table
    watch = _crash_watch.CrashWatch(table, None, table.now_s)
    watch.record_crash(context.lifetime, context.sent)
    (context.record,) = watch.records


@then('{count:d} requests are named, call {trial:d} and the latest ones')
def step_named(context, count, trial):
    make = context.subject.table.make_fingerprint
    last = [make(sent.request) for sent in context.sent[-count + 1 :]]
    own = make(context.sent[trial].request)
    assert set(context.record.suspects) == {own, *last}
    assert context.record.trials == (own,)


@when('a crash is recorded for another one {pause_s:d} s later')
def step_later(context, pause_s):
    context.subject.now_s += pause_s
    context.subject.table.add_crashes(make_fingerprint(1), OTHER_CRASH)


@then('{count:d} requests are known')
def step_known(context, count):
    assert len(context.subject.table) == count, len(context.subject.table)


@given(
    'a request for which a row reports {count:d} crashes of {hours:d} hours'
    ' ago'
)
def step_old(context, count, hours):
    context.subject = TableSubject()
    ended_ms = clock.wall_ms() - hours * 3_600_000
    records = tuple(
        mesh.CrashRecord(f'{number}', ended_ms, (FINGERPRINT,), (FINGERPRINT,))
        for number in range(count)
    )
    row = testing.make_member_row('hall-1', crashes=records)
    context.subject.table.add_row(row)


@given(
    'a request for which a row reports {count:d} crashes, its clock '
    '{offset_s:d} s ahead'
)
def step_clock_ahead(context, count, offset_s):
    context.subject = TableSubject()
    ended_ms = clock.wall_ms() + offset_s * 1000
    records = tuple(
        mesh.CrashRecord(f'{number}', ended_ms, (FINGERPRINT,), (FINGERPRINT,))
        for number in range(count)
    )
    row = testing.make_member_row('hall-1', crashes=records)
    context.subject.table.add_row(row)


@given(
    'a daemon that recorded a crash before its clock jumped by {offset_s:d} s'
)
def step_clock_jump(context, offset_s):
    table = TableSubject().table
    context.watch = _crash_watch.CrashWatch(table, None, table.now_s)
    record_crash(context.watch, 'i-1', 0)
    context.offset_s = offset_s


@when('it records another crash')
def step_record_another(context):
    record_crash(context.watch, 'i-2', context.offset_s)


@then('both crashes are in its row')
def step_both_crashes(context):
    crashes = [record.crash for record in context.watch.records]
    assert crashes == ['i-1@0', 'i-2@0'], crashes


def record_crash(watch, target, offset_s):
    """Record the crash of a target, with the wall clock ahead."""
    lifetime = mesh.Lifetime(target)
    sent = _crash_watch.SentCall(make_request(), lifetime, 0.0, 1.0, True)
    now_ms = clock.wall_ms() + offset_s * 1000
    with mock.patch.object(clock, 'wall_ms', lambda: now_ms):
        watch.record_crash(lifetime, [sent])


@given('two requests that differ in {difference}')
def step_two(context, difference):
    table = TableSubject().table
    context.fingerprints = [
        table.make_fingerprint(request)
        for request in (
            make_request(),
            make_request(**DIFFERENCES[difference]),
        )
    ]


@then('they are {result} request')
def step_same(context, result):
    first, second = context.fingerprints
    assert (first == second) == (result == 'the same'), context.fingerprints


@given('a running suspect with {crashes:d} crashes')
def step_runs(context, crashes):
    context.scheduler = _trials.TrialScheduler()
    assert context.scheduler.try_start(FINGERPRINT, crashes)


@then('the same suspect may {run} beside it')
def step_same_suspect(context, run):
    assert context.scheduler.try_start(FINGERPRINT, 1) == (run == 'run')


@then('another one with {crashes:d} crashes may {run} beside it')
def step_other_suspect(context, crashes, run):
    other = make_fingerprint(1)
    assert context.scheduler.try_start(other, crashes) == (run == 'run')
    context.scheduler.finish(FINGERPRINT)
    if run == 'not run':
        assert context.scheduler.try_start(other, crashes)


@given('{count:d} targets of one set')
def step_targets(context, count):
    context.rows = [
        testing.make_member_row(
            f'host-{number}', port=number + 1, data_centre=f'hall-{number % 3}'
        )
        for number in range(count)
    ]


def choose_hosts(rows) -> dict[base.Fingerprint, str]:
    """Choose as one daemon would, with its own order of rows."""
    rows = random.Random().sample(rows, len(rows))
    peers = _peers.PeerTable(mesh.MeshSettings())
    return {
        fingerprint: _choice.choose_suspect_target(
            rows, peers, fingerprint, 1.0
        ).row.host
        for fingerprint in map(make_fingerprint, range(SUSPECTS))
    }


@then('daemons in any data centre choose the same host for each suspect')
def step_same_host(context):
    context.chosen = choose_hosts(context.rows)
    assert choose_hosts(context.rows) == context.chosen
    assert len(set(context.chosen.values())) == len(context.rows)


@then('when a target crashes, only its suspects move to other hosts')
def step_moves(context):
    gone = context.rows[0].host
    later = choose_hosts(context.rows[1:])
    for fingerprint, host in context.chosen.items():
        assert (later[fingerprint] == host) == (host != gone)


@then('they read a refused suspect as a shed request')
def step_read_before(_context):
    for reason in (
        mesh.RefusalReason.SUSPECTED,
        mesh.RefusalReason.QUARANTINED,
    ):
        answer = mesh.CallAnswer(
            mesh.CallOutcome.NOT_RUN,
            reason=reason,
            crashes=(mesh.CrashEvidence('i-1@2', True),),
        )
        response = _hop.encode_answer(answer)
        assert _hop.decode_answer(response) == answer
        outcome = response.find(_hop.OUTCOME).split(_hop.SEPARATOR)
        assert outcome[1] == mesh.RefusalReason.SHED.value, outcome


@then('a row without crashes is read, and one with invalid crashes is not')
def step_rows(_context):
    record = mesh.CrashRecord('i-1@2', 5, (FINGERPRINT,))
    row = testing.make_member_row('hall-1', crashes=(record,))
    fields = msgspec.to_builtins(row)
    decode = _members.decode_row
    assert decode('hall-1', msgspec.json.encode(fields)) == row
    without = {**fields, 'crashes': []}
    assert not decode('hall-1', msgspec.json.encode(without)).crashes
    del without['crashes']
    assert not decode('hall-1', msgspec.json.encode(without)).crashes
    valid = fields['crashes'][0]
    for crashes in (
        None,
        5,
        [{}],
        [{**valid, 'crash': 'with a space'}],
        [{**valid, 'ended_ms': -1}],
        [{**valid, 'suspects': ['other']}],
        [{**valid, 'suspects': [FINGERPRINT] * 33}],
        [valid] * 5,
    ):
        data = msgspec.json.encode({**fields, 'crashes': crashes})
        try:
            decode('hall-1', data)
        except exceptions.MemberError:
            continue
        raise AssertionError(crashes)

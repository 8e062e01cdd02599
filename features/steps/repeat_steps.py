"""Steps on the repeat guard."""

import threading

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import request_subject
from strategies import PROPERTY

from sedgering import exceptions
from sedgering.proxy import _guard
from sedgering import testing
from sedgering import traffic

WAIT_S = 10.0
KEY = {'Idempotency-Key': 'booking-1'}


class RepeatSubject:
    """Two proxies that share one table."""

    def __init__(self, make_proxy, behaviour):
        self.engine = testing.PlatformEngine()
        self.first = make_proxy(1, self.engine)
        self.second = make_proxy(2, self.engine)
        self.first.add_target(behaviour)
        self.second.view.by_set = self.first.view.by_set
        self.second.targets = self.first.targets

    def stop(self):
        self.first.stop()
        self.second.stop()

    def runs(self):
        return sum(len(target.ran) for target in self.first.targets)


@given('two proxies with one target that {behaves}')
def step_proxies(context, behaves):
    context.repeats = RepeatSubject(request_subject.RequestSubject, behaves)
    context.cleanups.append(context.repeats.stop)


@given('a second target that answers, known to the second proxy')
def step_second_target(context):
    context.repeats.second.add_target('answers')


@given('the table is down')
def step_down(context):
    context.repeats.engine.faults.mode = testing.StoreMode.BUSY


@given('the next answer of the table is {fate}')
def step_lost(context, fate):
    faults = context.repeats.engine.faults
    if fate == 'lost after the write':
        faults.lose_answers = 1
    else:
        faults.delay_writes = 1


@when('a booking is sent through the first and repeated through the second')
def step_repeat(context):
    subject = context.repeats
    subject.first.send('non-repeatable', KEY)
    context.answer = subject.second.send('non-repeatable', KEY)


@when('a booking is sent twenty times at once')
def step_twenty(context):
    subject = context.repeats
    senders = [
        threading.Thread(target=proxy.send, args=('non-repeatable', KEY))
        for proxy in (subject.first, subject.second) * 10
    ]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join(WAIT_S)
    context.told = [
        answer.told
        for proxy in (subject.first, subject.second)
        for answer in proxy.answers.values()
    ]


@then('one is told answer and the booking ran once')
def step_one(context):
    assert len(context.told) == 20
    assert context.told.count('answer') == 1, context.told
    others = set(context.told) - {'answer'}
    assert others <= {'unknown', 'run-before', 'not-run'}, others
    assert context.repeats.runs() == 1


@when('a booking is sent, and its key comes again with another path')
def step_reuse(context):
    subject = context.repeats
    subject.first.send('non-repeatable', KEY)
    context.answer = subject.second.send(
        'non-repeatable', KEY, path='/write/other'
    )


@then('the repeat is told {told} with code {code}')
def step_told(context, told, code):
    assert context.answer.told == told, context.answer.told
    assert context.answer.headers['X-Sedgering-Code'] == code


@then('the repeat is told answer')
def step_answer(context):
    assert context.answer.told == 'answer', context.answer.told


@then('the booking ran {times}')
def step_ran(context, times):
    assert context.repeats.runs() == {'once': 1, 'no time': 0}[times]


def make_claim(key, number):
    return traffic.make_claim('party', key, 'POST /write', f'id-{number}', 0)


@given('a guard that may write {count:d} times a second')
def step_guard(context, count):
    context.engine = testing.PlatformEngine()
    store = testing.InMemoryPlatform(context.engine)
    context.guard = _guard.RepeatGuard(store, count, lambda: 1)
    context.guard.start()


@when('{count:d} claims arrive at once')
def step_claims(context, count):
    threads = [
        threading.Thread(
            target=context.guard.claim,
            args=(make_claim(f'key-{number}', number), 9000),
        )
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(WAIT_S)
    context.count = count


@then('all stand after at most {limit:d} transactions')
def step_grouped(context, limit):
    rows = context.engine.scan('claim/', '', 1000)
    assert len(rows) == context.count
    assert context.engine.stats.writes <= limit, context.engine.stats


FAULTS = st.sampled_from(['none', 'lose', 'delay', 'down', 'deliver'])


class ClaimModel:
    """Who holds which key; a holder that proves "not run" lets it go."""

    def __init__(self):
        clock = iter(range(100_000))
        self.engine = testing.PlatformEngine(now_s=lambda: next(clock))
        self.store = testing.InMemoryPlatform(self.engine)
        self.held = {}
        self.refused = []
        self.number = 0

    def break_table(self, fault):
        self.engine.faults = testing.Faults(
            mode=testing.StoreMode.BUSY
            if fault == 'down'
            else testing.StoreMode.SOUND,
            lose_answers=int(fault == 'lose'),
            delay_writes=int(fault == 'delay'),
        )
        if fault == 'deliver':
            self.engine.deliver_delayed()

    def claim(self, keys):
        self.number += 1
        claims = [make_claim(f'k{key}', self.number) for key in keys]
        for result in traffic.commit_claims(self.store, claims):
            if result.code is None:
                key = result.claim.key
                assert key not in self.held, 'granted twice'
                self.held[key] = result.claim
            elif result.code is exceptions.Code.REQUEST_GUARD_DOWN:
                self.refused.append(result.claim)

    def let_go(self, number):
        """One that holds a key, or was refused it, says "not run"."""
        choices = sorted(self.held) + self.refused
        if not choices:
            return
        chosen = choices[number % len(choices)]
        if isinstance(chosen, str):
            chosen = self.held.pop(chosen)
        else:
            self.refused.remove(chosen)
        outcome = traffic.change_claim(chosen, traffic.ClaimState.NOT_RUN)
        traffic.commit_claims(self.store, [outcome])


@then('under any faults of the table no key is granted twice')
def step_any(context):
    group = st.lists(st.integers(0, 2), min_size=1, max_size=3, unique=True)
    action = st.one_of(group, st.integers(0, 9))

    @hypothesis.settings(PROPERTY, max_examples=600)
    @hypothesis.given(st.lists(st.tuples(action, FAULTS), max_size=12))
    def check(rounds):
        model = ClaimModel()
        for what, fault in rounds:
            model.break_table(fault)
            if isinstance(what, list):
                model.claim(what)
            else:
                model.let_go(what)

    check()


OLD_MS = 1000
NEW_MS = 5000
BEFORE_MS = 2000


@given('{old:d} old claims and {new:d} new ones')
def step_old_claims(context, old, new):
    clock = iter(range(100_000))
    context.engine = testing.PlatformEngine(now_s=lambda: next(clock))
    context.store = testing.InMemoryPlatform(context.engine)
    for number in range(old + new):
        made_ms = OLD_MS if number < old else NEW_MS
        claim = traffic.make_claim(
            'party', f'key-{number}', 'POST /', f'id-{number}', made_ms
        )
        traffic.commit_claims(context.store, [claim])


def collect(context):
    return traffic.collect_claims(context.store, BEFORE_MS, 'op', 10_000)


@when('they are collected')
def step_collect(context):
    context.engine.faults = testing.Faults()
    collect(context)


@when('they are collected while answers are lost and writes are late')
def step_collect_faults(context):
    context.engine.faults = testing.Faults(lose_answers=1, delay_writes=1)
    report = collect(context)
    assert report.skipped > 0, report
    context.engine.deliver_delayed()


@when('it is taken anew between the look and the removal')
def step_taken_anew(context):
    claim = traffic.make_claim('party', 'key-0', 'POST /', 'id-0', OLD_MS)
    let_go = traffic.change_claim(claim, traffic.ClaimState.NOT_RUN)
    anew = traffic.make_claim('party', 'key-0', 'POST /', 'id-1', NEW_MS)
    scan = context.store.scan

    def scan_and_change(*arguments):
        rows = scan(*arguments)
        if rows:
            traffic.commit_claims(context.store, [let_go])
            traffic.commit_claims(context.store, [anew])
        return rows

    context.store.scan = scan_and_change
    assert collect(context).skipped == 1


@then('the {count:d} new claims are left')
def step_left(context, count):
    assert len(context.engine.scan('claim/', '', 1000)) == count


@then('the claim that was taken anew is left')
def step_anew_left(context):
    (row,) = context.engine.scan('claim/', '', 10)
    assert b'id-1' in row.value

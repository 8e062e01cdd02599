"""Steps on choice, limits and retries; pure decisions, injected time."""

import collections
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
from strategies import PROPERTY

from sedgering import bundle as bundles
from sedgering import membership
from sedgering import traffic

OLD_MS = 100_000
SHARE = (bundles.WeightedTargetSet('a', 3), bundles.WeightedTargetSet('b', 1))


def make_route(path='/', targets=SHARE):
    return bundles.Route('r', 'party', 'host', path, targets, 'p')


class TrafficSubject:
    """Targets and what one proxy knows of them."""

    def __init__(self, near, far, slots):
        self.rng = random.Random(5)
        self.loads = traffic.LoadTable(random.Random(6))
        self.endpoints = tuple(
            membership.Endpoint(
                f't{number}',
                f'h{number}',
                'near' if number < near else 'far',
                '127.0.0.1',
                9000 + number,
                slots,
            )
            for number in range(near + far)
        )
        for endpoint in self.endpoints:
            self.loads.get(endpoint, 0)
        self.first = self.endpoints[0]

    def choose(self, now_ms):
        return traffic.choose_endpoint(
            self.endpoints, (), self.loads, 'near', self.rng, now_ms
        )

    def serve(self, count, now_ms, held=0):
        """Choose `count` times; keep the last `held` requests in flight."""
        chosen = collections.Counter()
        open_requests = collections.deque()
        for _ in range(count):
            endpoint = self.choose(now_ms)
            assert self.loads.start(endpoint, now_ms)
            chosen[endpoint.name] += 1
            open_requests.append(endpoint)
            if len(open_requests) > held:
                done = open_requests.popleft()
                self.loads.succeed(done, 1.0, now_ms)
        for endpoint in open_requests:
            self.loads.succeed(endpoint, 1.0, now_ms)
        return chosen

    def fail(self, endpoint, times, now_ms):
        for _ in range(times):
            self.loads.start(endpoint, now_ms)
            self.loads.fail(endpoint, now_ms)


@then('a route with weights 3 and 1 sends about three quarters to the first')
def step_weights(context):
    rng = random.Random(2)
    chosen = [
        traffic.choose_target_set(make_route(), rng) for _ in range(2000)
    ]
    assert 1400 < chosen.count('a') < 1600, chosen.count('a')


@then('"/hall" matches "/hall/3" and not "/hallway"')
def step_prefix(context):
    content = bundles.make_bundle(
        'm',
        (bundles.Policy('p'),),
        (bundles.TargetSet('a', 'p'), bundles.TargetSet('b', 'p')),
        (make_route('/hall'),),
    )
    snapshot = bundles.make_snapshot(1, b'', content)

    def find(path):
        head = bundles.RequestHead('GET', 'host', path, {})
        return bundles.find_route(snapshot, head)

    assert find('/hall/3') and find('/hall') and not find('/hallway')


@given('{near:d} near and {far:d} far targets with {slots:d} slots')
def step_targets(context, near, far, slots):
    context.traffic = TrafficSubject(near, far, slots)


@then('the first 20 requests at once stay near and later ones spill')
def step_spill(context):
    subject = context.traffic
    places = []
    for _ in range(80):
        endpoint = subject.choose(OLD_MS)
        subject.loads.start(endpoint, OLD_MS)
        places.append(endpoint.data_centre)
    assert set(places[:20]) == {'near'}, places[:20]
    assert 'far' in places[20:]


@when('one target fails 5 times in a row')
def step_fail(context):
    context.traffic.fail(context.traffic.first, 5, OLD_MS)


@then('it gets no work for a while, then one probe, then work again')
def step_returns(context):
    subject = context.traffic
    assert not subject.serve(200, OLD_MS + 100)['t0']
    later_ms = OLD_MS + 1100
    assert subject.loads.start(subject.first, later_ms)
    # While the probe is under way nobody else is sent there.
    assert not subject.serve(200, later_ms)['t0']
    subject.loads.succeed(subject.first, 1.0, later_ms)
    assert subject.serve(200, later_ms)['t0'] > 20


@when('one target fails every probe')
def step_fail_probes(context):
    subject = context.traffic
    now_ms = OLD_MS
    subject.fail(subject.first, 5, now_ms)
    context.pauses = []
    for _ in range(10):
        started_ms = now_ms
        while subject.loads.is_ejected(subject.first, now_ms):
            now_ms += 50
        context.pauses.append(now_ms - started_ms)
        subject.fail(subject.first, 1, now_ms)


@then('its pauses grow to at most 30 s')
def step_pauses(context):
    assert max(context.pauses) <= 30_050, context.pauses
    assert context.pauses[-1] > 10 * context.pauses[0], context.pauses


@when('{count:d} targets fail 5 times in a row')
def step_fail_many(context, count):
    for endpoint in context.traffic.endpoints[:count]:
        context.traffic.fail(endpoint, 5, OLD_MS)


@then('all 4 targets get work')
def step_all_work(context):
    chosen = {context.traffic.choose(OLD_MS).name for _ in range(100)}
    assert len(chosen) == 4, chosen


@when('one target takes ten times as long as the others')
def step_slow(context):
    subject = context.traffic
    for endpoint in subject.endpoints:
        elapsed_ms = 200.0 if endpoint is subject.first else 20.0
        for _ in range(30):
            subject.loads.start(endpoint, OLD_MS)
            subject.loads.succeed(endpoint, elapsed_ms, OLD_MS)


@then('it is found slow, and the others are not')
def step_found(context):
    subject = context.traffic
    slow = traffic.find_slow(subject.endpoints, subject.loads, OLD_MS)
    assert slow == [subject.first]


@when('one target reports that all its slots are taken')
def step_report(context):
    context.traffic.loads.report(context.traffic.first, 12, OLD_MS)


@then('it is avoided at first, and no longer after 10 s')
def step_lagging(context):
    subject = context.traffic
    assert subject.serve(100, OLD_MS)['t0'] == 0
    assert subject.serve(200, OLD_MS + 10_000)['t0'] > 60


@when('one of them is new')
def step_new(context):
    subject = context.traffic
    subject.loads.retain({(e.address, e.port) for e in subject.endpoints[1:]})
    subject.loads.get(subject.first, OLD_MS)


@then('it gets less than half of a fair share at first, and a fair one later')
def step_slow_start(context):
    subject = context.traffic
    early = subject.serve(300, OLD_MS + 500, held=12)['t0']
    late = subject.serve(300, OLD_MS + 20_000, held=12)['t0']
    assert early < 50, early
    assert 80 < late < 120, late


@given('a target set with {slots:d} slots and a queue of {length:d}')
@given('a target set with {slots:d} slot and a queue of {length:d}')
def step_admission(context, slots, length):
    context.admission = traffic.AdmissionTable(length, 100)
    context.admission.set_limit(slots)


@when('one party sends 100 requests at once and three send 4 each')
def step_greedy(context):
    table = context.admission
    waiters = []
    for number in range(100):
        waiters.append(table.enter('greedy', 1000 + number, 0)[0])
    for party in ('b', 'c', 'd'):
        for number in range(4):
            waiters.append(table.enter(party, 5000 + number, 0)[0])
    admitted = [w for w in waiters if w.state is traffic.WaiterState.ADMITTED]
    context.order = list(admitted)
    queue = collections.deque(admitted)
    while queue and len(context.order) < 16:
        done = queue.popleft()
        changed = table.leave(done.party, 1)
        for waiter in changed:
            if waiter.state is traffic.WaiterState.ADMITTED:
                context.order.append(waiter)
                queue.append(waiter)


@then('each of the three has at least 2 of the first 16 that go on')
def step_fair(context):
    counts = collections.Counter(w.party for w in context.order[:16])
    for party in ('b', 'c', 'd'):
        assert counts[party] >= 2, counts


@then('waiters of one party go on in the order of their deadlines')
def step_deadlines(context):
    table = context.admission
    table.enter('p', 0, 0)
    waiters = [table.enter('p', d, 0)[0] for d in (300, 100, 200)]
    order = []
    for _ in waiters:
        (waiter,) = table.leave('p', 1)
        order.append(waiter.deadline_ms)
    assert order == [100, 200, 300], order


@then('who waits longer than 100 ms is shed')
def step_late(context):
    waiter, _changed = context.admission.enter('p', 9000, 10)
    assert waiter.state is traffic.WaiterState.WAITING
    assert context.admission.expire(109) == []
    assert context.admission.expire(110) == [waiter]
    assert waiter.state is traffic.WaiterState.SHED


@then('10 refusals over a second shrink its limit, and answers restore it')
def step_limit(context):
    subject = context.traffic
    first = subject.first
    now_ms = OLD_MS
    for _ in range(10):
        now_ms += 100
        subject.loads.start(first, now_ms)
        subject.loads.refuse(first, now_ms)
    assert subject.loads.free(first, now_ms) == 1
    assert not subject.loads.is_ejected(first, now_ms)
    for _ in range(600):
        while subject.loads.start(first, now_ms):
            pass
        subject.loads.succeed(first, 1.0, now_ms)
    assert subject.loads.get(first, now_ms).limit == 12


@then('admission never exceeds its limit and loses no waiter')
def step_any(context):
    actions = st.tuples(
        st.sampled_from(['enter', 'leave', 'wait']),
        st.sampled_from(['a', 'b', 'c']),
        st.integers(0, 100),
    )

    @PROPERTY
    @hypothesis.given(st.integers(1, 6), st.lists(actions, max_size=60))
    def check(slots, steps):
        table = traffic.AdmissionTable(5, 100)
        table.set_limit(slots)
        everyone = []
        now_ms = 0
        for action, party, number in steps:
            now_ms += number
            under_way = [w for w in everyone if w.state == ADMITTED]
            if action == 'enter':
                everyone.append(table.enter(party, number, now_ms)[0])
            elif action == 'wait':
                table.expire(now_ms)
            elif under_way:
                done = under_way[number % len(under_way)]
                everyone.remove(done)
                table.leave(done.party, now_ms)
            states = collections.Counter(w.state for w in everyone)
            assert table.in_flight == states[ADMITTED] <= slots
            assert table.waiting == states[traffic.WaiterState.WAITING] <= 5

    check()


ADMITTED = traffic.WaiterState.ADMITTED


@then('1000 requests that all fail cause at most 125 retries')
def step_budget(context):
    budget = traffic.make_retry_budget(1, 0)
    retries = 0
    for number in range(1000):
        budget.deposit(10)
        # A retry that fails asks for one more.
        while budget.take(number * 10):
            retries += 1
    assert 90 <= retries <= 125, retries


@then('a policy of 3 attempts leaves 1 after 2 were spent elsewhere')
def step_spent(context):
    policy = bundles.Policy('p', attempts=3)
    assert traffic.count_allowed(policy, 0) == 3
    assert traffic.count_allowed(policy, 2) == 1
    assert traffic.count_allowed(policy, 9) == 1

"""Steps for uneven targets and uneven demand."""

import asyncio
import pathlib
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import strategies

from sedgering import balance
from sedgering import mesh
from sedgering.mesh import _probe
from sedgering import model
from sedgering.model import _hosts
from sedgering.model import _targets
from sedgering import platform
from sedgering import testing
from sedgering import transport

SET = 'calendar'
#: Smallest positive number, whose half is rounded to 0.
SMALLEST_MS = 5e-324
ADDRESS = '127.0.0.1'
HEALTH_PATH = '/health'
LOADS = pathlib.Path(__file__).parents[2] / 'examples' / 'loads'
#: Age at which a reported slowness is too old to be used.
LATER_S = 1.0
SEEDS = 20
#: Calls from which the spread of a route is learned, and the error of a share
#: after them, in percentage points.
CALLS = 2000
SHARE_SLACK = 5


# The load field.


@given('a target that reports the load "{field}"')
def step_load_field(context, field):
    context.load = balance.decode_target_load(field)


@given('a target that reports the load ""')
def step_empty_load_field(context):
    context.load = balance.decode_target_load('')


@then(
    'it is decoded as {running:d}, {waiting:d} and {slots:d}, '
    'slowness {slowness:d}'
)
def step_load_read(context, running, waiting, slots, slowness):
    expected = balance.TargetLoad(running, waiting, slots, slowness)
    assert context.load == expected, context.load


@then('it is not decoded')
def step_load_unread(context):
    assert context.load is None, context.load


@then('no random load field is decoded out of bounds')
def step_load_bounds(context):
    numbers = st.one_of(st.integers().map(str), st.text(max_size=12))
    fields = st.lists(numbers, max_size=6).map(','.join)

    @strategies.PROPERTY
    @hypothesis.given(fields)
    def check(field):
        load = balance.decode_target_load(field)
        if load is None:
            return
        numbers = [int(number) for number in field.split(',')]
        assert numbers[:3] == [load.running, load.waiting, load.slots]
        assert 1 <= load.slots <= balance.MAX_SLOTS
        assert 0 <= load.slowness_percent <= balance.MAX_SLOWNESS_PERCENT

    check()


# The health check.


class HealthSubject:
    """A target behind a socket, and the health check of its daemon."""

    def __init__(self, field: str):
        self.books = testing.TargetBooks('target-1')
        self.books.load_field = field

    async def probe(self) -> mesh.TargetReport | None:
        """Run the health check."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: testing.TargetStandin(self.books), ADDRESS, 0
        )
        port = server.sockets[0].getsockname()[1]
        pool = transport.ConnectionPool(ADDRESS, port, 1.0, 1, 1.0)
        try:
            answer = await _probe.probe_target(
                pool, HEALTH_PATH, platform.HEADERS, SET
            )
            return answer.report if answer is not None else None
        finally:
            pool.close()
            server.close()


@given('a target whose health check reports the load "{field}"')
def step_health(context, field):
    context.health = HealthSubject(field)


@when('its daemon runs the health check')
def step_probe(context):
    context.report = asyncio.run(context.health.probe())


@then('it is known to have {slots:d} slots')
def step_slots(context, slots):
    assert context.report.slots == slots, context.report


@then('it is not known')
def step_unknown(context):
    assert context.report is None, context.report


# Whether a call leaves its data centre.


@given(
    'a call that leaves for {gain:d} more of 100 in time, or {quicker:d} ms '
    'where none are'
)
def step_distance(context, gain, quicker):
    context.distance = balance.make_distance(gain, 0, 0, quicker)


@when('{share:d} of 100 end in time near, after {expected:d} ms')
def step_near_offer(context, share, expected):
    context.near = balance.Offer(expected, share / 100)


@when('{share:d} of 100 end in time elsewhere, after {expected:d} ms')
def step_far_offer(context, share, expected):
    context.far = balance.Offer(expected, share / 100)


@then('it goes {where}')
def step_goes(context, where):
    distance = context.distance
    is_far = distance.is_worth_asking(context.near)
    is_far = is_far and distance.prefers_far(context.near, context.far)
    assert is_far is (where == 'elsewhere')


@given(
    'a call whose answer has {size:d} bytes, and {gain:d} more of 100, '
    '{per_kb:d} for each kB'
)
def step_large_answer(context, size, gain, per_kb):
    context.distance = balance.make_distance(gain, per_kb, size, 40)


@then('it leaves for more than {gain:d} of 100')
def step_gain(context, gain):
    assert round(100 * context.distance.min_gain_share) == gain


@given(
    'a route whose calls take {factor:g} times what is expected, '
    'spread by {spread:g}'
)
def step_ends(context, factor, spread):
    context.ends = balance.EndTimes()
    rng = random.Random(1)
    for _ in range(CALLS):
        elapsed_ms = 100 * factor * rng.lognormvariate(0, spread)
        context.ends.note(SET, 100, elapsed_ms)


@then(
    'of those expected to take 100 ms about {share:d} of 100 end in '
    '{limit:d} ms'
)
def step_share(context, share, limit):
    found = 100 * context.ends.find_share(SET, 100, limit)
    assert abs(found - share) < SHARE_SLACK, found


@then('a longer limit never lowers the share of calls in time')
def step_shares(context):
    times_ms = st.floats(0, 1e6)
    notes = st.lists(st.tuples(times_ms, times_ms), max_size=30)

    @strategies.PROPERTY
    @hypothesis.example([], 2.0, 0.0, SMALLEST_MS)
    @hypothesis.given(notes, times_ms, times_ms, times_ms)
    def check(learned, expected_ms, one_ms, other_ms):
        ends = balance.EndTimes()
        for past_ms, elapsed_ms in learned:
            ends.note(SET, past_ms, elapsed_ms)
        shares = [
            ends.find_share(SET, expected_ms, limit_ms)
            for limit_ms in sorted((one_ms, other_ms))
        ]
        assert 0 <= shares[0] <= shares[1] <= 1, shares

    check()


class ChoiceSubject:
    """Targets of two data centres, as seen by a daemon of the first."""

    def __init__(self, near: int, near_ms: int, far: int, far_ms: int):
        self.peers = mesh.PeerTable(mesh.MeshSettings())
        self.near = self._make('near', 'hall', near, near_ms)
        self.far = self._make('far', 'elsewhere', far, far_ms)
        self.busy: mesh.Peer | None = None
        self.tried = set()

    def _make(self, name, place, count, work_ms):
        rows = [
            testing.make_member_row(
                f'{name}-{number}', data_centre=place, port=number + 1
            )
            for number in range(count)
        ]
        for row in rows:
            load = mesh.LoadReport(0, 0, 3, work_ms, work_ms)
            peer = self.peers.find(row)
            self.peers.record_report(peer, load, SET, 0.0)
        return rows

    def choose(self, left_ms: int, seed: int = 1) -> str | None:
        """Choose for a call; return the host."""
        costs = mesh.CallCosts(self.peers, 'hall', SET, 0, False, 0.0, left_ms)
        peer = mesh.choose_local_first(
            self.near,
            self.far,
            self.tried,
            costs,
            random.Random(seed),
            self.busy,
        )
        return peer and peer.row.host


@given(
    '{near:d} targets near that take {near_ms:d} ms, and {far:d} elsewhere '
    'that take {far_ms:d} ms'
)
def step_targets(context, near, near_ms, far, far_ms):
    context.choice = ChoiceSubject(near, near_ms, far, far_ms)


@then('a call with {left_ms:d} ms left goes near')
def step_goes_near(context, left_ms):
    for seed in range(SEEDS):
        assert context.choice.choose(left_ms, seed).startswith('near')


@then('a call with {left_ms:d} ms left goes elsewhere')
def step_goes_far(context, left_ms):
    for seed in range(SEEDS):
        assert context.choice.choose(left_ms, seed).startswith('far')


@then(
    'of {count:d} calls with {left_ms:d} ms left each target elsewhere gets '
    'some'
)
def step_spread(context, count, left_ms):
    chosen = {context.choice.choose(left_ms, seed) for seed in range(count)}
    assert chosen == {row.host for row in context.choice.far}, chosen


@when('no target near has a free slot')
def step_near_busy(context):
    subject = context.choice
    subject.tried = {row.host for row in subject.near}
    subject.busy = subject.peers.find(subject.near[0])
    load = mesh.LoadReport(3, 1, 3, 100, 100)
    subject.peers.record_report(subject.busy, load, SET, 0.0)


@then('a call with {left_ms:d} ms left that can wait near goes nowhere else')
def step_waits(context, left_ms):
    assert context.choice.choose(left_ms) is None


@then('at most {percent:d} % of the bytes of answers cross data centres')
def step_far_bytes(context, percent):
    share = context.result.far_bytes_share
    assert 0 < share * 100 <= percent, share


# The current slowness.


class SpeedSubject:
    """What a daemon learns about the speed of its target."""

    def __init__(self):
        self.now_s = 0.0
        self.speed = balance.OwnSpeed(lambda: self.now_s)

    def report(self, percent: int) -> None:
        """Let the target report its slowness."""
        self.speed.note_load(balance.TargetLoad(0, 0, 3, percent))

    def run(self, count: int, elapsed_ms: int, percent: int) -> None:
        """Run calls one after the other."""
        for _ in range(count):
            self.now_s += elapsed_ms / 1000
            self.report(percent)
            self.speed.note_work(SET, elapsed_ms, percent or 100)


@given('a target that reported a slowness of {percent:d} %, and 100 % before')
def step_reported_slowness(context, percent):
    context.moment = balance.MomentSpeed()
    for _ in range(CALLS):
        context.moment.note(100, 0.0)
    context.moment.note(percent, 1.0)


@then(
    'work that begins {age_ms:d} ms later is expected to take {least:d} to '
    '{most:d} %'
)
def step_moment(context, age_ms, least, most):
    found = context.moment.find_percent(1.0 + age_ms / 1000)
    assert least <= found <= most, found


@given(
    'a target whose work takes {work_ms:d} ms, and that reported '
    '{percent:d} % for {count:d} calls'
)
def step_speed(context, work_ms, percent, count):
    context.speed = SpeedSubject()
    context.speed.run(count, work_ms, percent)


@given(
    'a target whose work takes {work_ms:d} ms, and that reported no slowness '
    'for {count:d} calls'
)
def step_no_slowness(context, work_ms, count):
    context.speed = SpeedSubject()
    context.speed.run(count, work_ms, 0)


@when('{count:d} calls take {elapsed_ms:d} ms while it reports {percent:d} %')
def step_slow_calls(context, count, elapsed_ms, percent):
    context.speed.report(percent)
    context.speed.run(count, elapsed_ms, percent)


@when('it reports {percent:d} %')
def step_reports_slowness(context, percent):
    context.speed.report(percent)


@then('its learned work time is {least:d} to {most:d} ms')
def step_usual_work(context, least, most):
    found = context.speed.speed.work.find_ms(SET)
    assert least <= found <= most, found


@then(
    'a peer that gets its report expects {least:d} to {most:d} ms now, '
    '{later_least:d} to {later_most:d} ms later'
)
def step_peer_expects(context, least, most, later_least, later_most):
    speed = context.speed.speed
    peers = mesh.PeerTable(mesh.MeshSettings())
    peer = peers.find(testing.make_member_row('near', data_centre='hall'))
    work_ms = int(speed.work.find_ms(SET))
    load = mesh.LoadReport(
        0, 0, 3, work_ms, work_ms, slowness_percent=round(speed.percent)
    )
    peers.record_report(peer, load, SET, 0.0)
    costs = [
        mesh.CallCosts(peers, 'hall', SET, 0, False, now_s)
        for now_s in (0.0, LATER_S)
    ]
    now_ms, later_ms = [cost.estimate_ms(peer) for cost in costs]
    assert least <= now_ms <= most, now_ms
    assert later_least <= later_ms <= later_most, later_ms


@then('a call with {left_ms:d} ms left may run')
def step_may_run(context, left_ms):
    delay_ms = context.speed.speed.find_delay_ms(SET, left_ms)
    assert delay_ms == 0, delay_ms


@then('a call with {left_ms:d} ms left is delayed {least:d} to {most:d} ms')
def step_delayed(context, left_ms, least, most):
    delay_ms = context.speed.speed.find_delay_ms(SET, left_ms)
    assert least <= delay_ms <= most, delay_ms


@given(
    'a daemon beside a target that reported 100 % for {count:d} calls of '
    '{work_ms:d} ms'
)
def step_daemon_speed(context, count, work_ms):
    context.speed = SpeedSubject()
    context.speed.run(count, work_ms, 100)


def send_call(context, goal_ms, may_wait):
    """Return the answer of the daemon beside the target to a call."""

    async def ask():
        load = model.load_pattern(LOADS / 'few-targets.yaml')
        group = load.targets[0]
        row = testing.make_member_row('near', data_centre='hall')
        target = _targets.ModelTarget(group, 1.0, random.Random(1))
        settings = mesh.MeshSettings()
        budget = mesh.RetryWindow(0.1, 1, 10)
        host = _hosts.ModelHost(row, target, settings, budget, {}, 1)
        host.report()
        host.target_client.speed = context.speed.speed
        call = mesh.TargetCall(
            transport.Request('GET', '/', []),
            'id',
            SET,
            row.target,
            SET,
            SET,
            1,
            True,
            mesh.CallUrgency.FIRST,
            4 * goal_ms,
            goal_ms,
            1,
            may_wait,
        )
        return host.target_client.refuse_if_busy(call)

    return model.run_virtual(ask())


@then('a call of {goal_ms:d} ms that looks for a free slot is returned')
def step_returned(context, goal_ms):
    answer = send_call(context, goal_ms, False)
    assert answer.reason is mesh.RefusalReason.BUSY, answer
    assert answer.retry_after_ms > 0, answer


@then('a call of {goal_ms:d} ms that may wait is not returned')
def step_not_returned(context, goal_ms):
    assert send_call(context, goal_ms, True) is None

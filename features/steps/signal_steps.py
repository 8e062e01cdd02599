"""Steps for what targets state about themselves in their answers."""

import asyncio
import logging

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import mesh_steps
import msgspec

from sedgering import exceptions
from sedgering import mesh
from sedgering.mesh import _local_signals
from sedgering.mesh import _signal_table
from sedgering.mesh import _signals
from sedgering import overload
from sedgering.overload import _rate_bucket
from sedgering import platform
from sedgering import testing
from sedgering import transport

#: Time after the start of the load from which on a limit binds.
SETTLE_S = 1.0
#: A target gets at most this factor of its limit in a window, and some more.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
CALLERS_PER_HOST = 3
CALL_PAUSE_S = 0.01
REFUSED_PAUSE_S = 0.1
LIMIT_FIELD = platform.HEADERS.rate_limit
NOT_RUN = 503
#: Limit at which a target takes one call in 4 s.
LOW_LIMIT_PER_S = 0.25
EXAMPLES = 300
LIFETIME = mesh.Lifetime('i-1')


class SignalSubject:
    """Callers of all hosts, and the answers that they received."""

    def __init__(self, subject):
        self.mesh = subject
        self.answers: list[transport.Response] = []
        #: When requests were refused, with their ids and answers.
        self.refused: list[tuple[float, str, transport.Response]] = []
        self.answered_s: list[float] = []
        #: Hosts that passed on an answer of a target that is leaving.
        self.told_hosts: set[str] = set()
        #: The same, before the last load.
        self.told_before: frozenset[str] = frozenset()
        self.first_load_s = 0.0
        self.last_load_s = 0.0
        self.limit_per_s = 0.0

    @property
    def fleet(self):
        """Fleet of the scenario."""
        return self.mesh.fleet

    @property
    def calendar_books(self) -> list:
        """Books of the targets of both calendar hosts."""
        return [self.mesh.first.books, self.mesh.second.books]

    def now_s(self) -> float:
        """Return the time of the event loop of the fleet."""
        return self.fleet.loop.time()

    def ask_for(
        self, seconds: float, callers: int = CALLERS_PER_HOST, skipped=None
    ) -> None:
        """Ask at all hosts, but for one, at the same time."""
        self.first_load_s = self.first_load_s or self.now_s()
        self.last_load_s = self.now_s()
        self.told_before = frozenset(self.told_hosts)
        end_s = self.now_s() + seconds

        async def ask_all():
            await asyncio.gather(
                *(
                    self._ask_until(host, f'{host.name}-{number}', end_s)
                    for host in self.fleet.hosts.values()
                    for number in range(callers)
                    if host is not skipped
                )
            )

        self.fleet.run(ask_all())

    async def _ask_until(self, host, name, end_s) -> None:
        while self.now_s() < end_s:
            request_id = f'{name}-{len(self.answers)}'
            answer = await self.fleet.start_call(
                host.addresses.callers_port,
                '/r0/',
                X_Request_Id=request_id,
                X_Request_Deadline='1500',
            )
            self.answers.append(answer)
            if answer.find(platform.HEADERS.leaving.lower()):
                self.told_hosts.add(host.name)
            if answer.status == 200:
                self.answered_s.append(self.now_s())
                await asyncio.sleep(CALL_PAUSE_S)
            else:
                self.refused.append((self.now_s(), request_id, answer))
                await asyncio.sleep(REFUSED_PAUSE_S)


def list_arrivals(books, from_s: float) -> list[float]:
    """Return when requests arrived at a target since a time."""
    return [at_s for at_s, _request_id in books.arrivals if at_s >= from_s]


def count_most(times_s: list[float]) -> int:
    """Return the largest number of times within one window."""
    return max(
        (
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
            for start_s in times_s
        ),
        default=0,
    )


@given('a mesh with two calendar hosts and a third one without a target')
def step_mesh(context):
    mesh_steps.step_mesh(context)
    context.mesh.third = context.mesh.fleet.add_host('hall-3', 'ledger')
    context.mesh.fleet.wait_ready()
    context.signals = SignalSubject(context.mesh)


@given('the target of the first host states a limit of "{field}"')
def step_limit(context, field):
    context.signals.limit_per_s = float(field)
    context.mesh.first.books.signal_fields = [(LIMIT_FIELD, field)]


@given('the target of the first host states a limit of "{field}" {where}')
def step_limit_where(context, field, where):
    step_limit(context, field)
    books = context.mesh.first.books
    books.has_signals_in_health = where == 'in all answers'


@given('the targets of both hosts state a limit of "{field}"')
@given('the targets of both hosts state a limit of "{field}" in all answers')
def step_limits(context, field):
    for books in context.signals.calendar_books:
        books.signal_fields = [(LIMIT_FIELD, field)]


@given(
    'the targets of both hosts state a limit of "{field}" but not in their '
    'health check'
)
def step_limits_not_in_health(context, field):
    step_limits(context, field)
    for books in context.signals.calendar_books:
        books.has_signals_in_health = False


@when('the target of the first host states no limit')
def step_no_limit(context):
    context.mesh.first.books.signal_fields = []


@when('the targets of both hosts state no limit')
def step_no_limits(context):
    for books in context.signals.calendar_books:
        books.signal_fields = []


@given(
    'the target of the first host has {slots:d} slots, works {work_s:g} s and '
    'is alone'
)
def step_many_slots(context, slots, work_s):
    subject = context.mesh
    subject.first.slots = slots
    subject.first.books.work_s = work_s
    subject.first.books.load_field = f'0,0,{slots}'
    subject.fleet.report(subject.first)
    subject.fleet.report(subject.second, 'draining')


@when('callers of all hosts ask for {seconds:g} s')
def step_ask(context, seconds):
    context.signals.ask_for(seconds)


@when('{count:d} callers of each host ask for {seconds:g} s')
def step_ask_many(context, count, seconds):
    context.signals.ask_for(seconds, count)


@when('callers of each other host ask for {seconds:g} s')
def step_ask_others(context, seconds):
    context.signals.ask_for(seconds, skipped=context.mesh.first)


@when('{count:d} callers of each other host ask for {seconds:g} s')
def step_ask_elsewhere(context, count, seconds):
    context.signals.ask_for(seconds, count, context.mesh.first)


@when('{count:d} calls arrive there whose senders know a limit of {limit:d}')
def step_hinted_calls(context, count, limit):
    subject = context.mesh
    target_client = subject.first.daemon.state.target_client
    subject.fleet.wait_for(lambda: target_client.target.is_open)

    async def run_all():
        await asyncio.gather(
            *(
                target_client.run(make_call(f'hinted-{number}', limit))
                for number in range(count)
            )
        )

    subject.fleet.run(run_all())


def make_call(request_id: str, limit: int) -> mesh.TargetCall:
    """Make a call of another daemon to the target of the first host."""
    headers = [('Host', 'x'), (platform.HEADERS.request_id, request_id)]
    return mesh.TargetCall(
        transport.Request('GET', '/r0/', headers),
        request_id,
        'calendar',
        'i-hall-1',
        'route-0',
        'calendar',
        1,
        True,
        mesh.CallUrgency.FIRST,
        1500,
        1400,
        1,
        rate_limit_per_s=float(limit),
    )


@then('its target got at most {count:d} of them before its first answer')
def step_before_answer(context, count):
    books = context.mesh.first.books
    times_s = [at_s for at_s, name in books.arrivals if 'hinted' in name]
    first = [at_s for at_s in times_s if at_s < times_s[0] + books.work_s]
    assert 0 < len(first) <= count, times_s


@then('the first target gets no more than its limit allows')
def step_bounded(context):
    subject = context.signals
    times_s = list_arrivals(
        context.mesh.first.books, subject.first_load_s + SETTLE_S
    )
    allowed = ALLOWED_FACTOR * subject.limit_per_s * WINDOW_S + ALLOWED_EXTRA
    assert times_s and count_most(times_s) <= allowed, (
        count_most(times_s),
        allowed,
    )


@then('the first target gets more than {count:d} requests in the last second')
def step_usual_load(context, count):
    subject = context.signals
    times_s = list_arrivals(context.mesh.first.books, subject.now_s() - 1.0)
    assert len(times_s) > count, len(times_s)


@then('each target got at most {count:d} requests since the first second')
def step_rare(context, count):
    subject = context.signals
    for books in subject.calendar_books:
        times_s = list_arrivals(books, subject.first_load_s + SETTLE_S)
        assert len(times_s) <= count, times_s


@then('every caller is answered')
def step_all_answered(context):
    subject = context.signals
    assert subject.answers and not subject.refused, len(subject.refused)


@then('those refused had not run, and were told to return once a call fits')
def step_refused(context):
    subject = context.signals
    arrived = {
        request_id
        for books in subject.calendar_books
        for _at_s, request_id in books.arrivals
    }
    # The targets allow their first calls this long after they state a limit.
    first_s = subject.first_load_s + 1 / LOW_LIMIT_PER_S
    settled_s = subject.first_load_s + SETTLE_S
    assert len(subject.refused) > 20, len(subject.refused)
    for at_s, request_id, answer in subject.refused:
        assert answer.status == NOT_RUN, answer
        assert request_id not in arrived, request_id
        wait_s = float(answer.find('retry-after'))
        assert at_s < settled_s or at_s + wait_s >= first_s, (at_s, wait_s)


@then('no retry was spent')
def step_no_retry(context):
    arrived = [
        request_id
        for books in context.signals.calendar_books
        for _at_s, request_id in books.arrivals
    ]
    assert len(arrived) == len(set(arrived))


@then('the targets got at most {count:d} health checks each')
def step_health_checks(context, count):
    for books in context.signals.calendar_books:
        times_s = [
            at_s
            for at_s in books.health_checks_s
            if at_s >= context.signals.first_load_s
        ]
        assert len(times_s) <= count, times_s


@then('callers were answered in the last second')
def step_answered_last(context):
    subject = context.signals
    last_s = subject.answered_s[-1] if subject.answered_s else 0.0
    assert subject.now_s() - last_s < 1.0, subject.now_s() - last_s


@when('the target of the first host begins to state that it is leaving')
def step_leaving(context):
    context.mesh.first.books.is_leaving = True


@when('both targets begin to state that they are leaving')
def step_both_leaving(context):
    for books in context.signals.calendar_books:
        books.is_leaving = True


@when('its target reports that it is ready')
def step_reports_ready(context):
    subject = context.mesh
    # A restarted daemon waits for a second report.
    for _ in range(2):
        assert subject.fleet.report(subject.first) == 200


@when('all rows say that its target is ready')
def step_rows_ready(context):
    publish_ready_rows(context, [context.mesh.first])


@when('all rows say that both targets are ready')
def step_both_rows_ready(context):
    publish_ready_rows(context, [context.mesh.first, context.mesh.second])


def publish_ready_rows(context, hosts) -> None:
    """Let all daemons read rows of ready targets, as of an earlier time."""
    subject = context.mesh

    async def merge():
        for host in subject.fleet.hosts.values():
            daemon = host.daemon
            members = dict(daemon.state.fleet.members)
            for stale in hosts:
                row = members[stale.name]
                members[stale.name] = msgspec.structs.replace(
                    row, state=mesh.TargetState.READY
                )
            daemon.merge_members(members)

    subject.fleet.run(merge())


@then('the first target got nothing from hosts that were told')
def step_first_nothing(context):
    subject = context.signals
    told = subject.told_before
    origins = [
        request_id.rpartition('-')[0].rpartition('-')[0]
        for at_s, request_id in context.mesh.first.books.arrivals
        if at_s >= subject.last_load_s
    ]
    assert told and not told & set(origins), (told, origins)


@then('both targets got nothing in that time')
def step_both_nothing(context):
    check_nothing(context, context.signals.calendar_books)


def check_nothing(context, all_books) -> None:
    """Check that targets got no request in the last load."""
    subject = context.signals
    for books in all_books:
        times_s = list_arrivals(books, subject.last_load_s)
        assert not times_s, len(times_s)


@then('all callers were told to return')
def step_told(context):
    subject = context.signals
    answers = [
        answer
        for at_s, _id, answer in subject.refused
        if at_s >= subject.last_load_s
    ]
    assert len(answers) > 10, len(answers)
    for answer in answers:
        assert answer.status == NOT_RUN, answer
        assert float(answer.find('retry-after')) > 0, answer


@then('the first target got at most {count:d} requests')
def step_few(context, count):
    arrivals = context.mesh.first.books.arrivals
    assert len(arrivals) <= count, len(arrivals)


@then('all daemons know that the first target is draining')
def step_known_draining(context):
    subject = context.mesh

    def is_known():
        return all(
            host.daemon.state.fleet.members[subject.first.name].state
            is mesh.TargetState.DRAINING
            for host in subject.fleet.hosts.values()
        )

    subject.fleet.wait_for(is_known)


class _LogRecords(logging.Handler):
    """Keeps the log records of one scenario."""

    def __init__(self):
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record):
        """Keep a record."""
        self.records.append(record)


def make_response(field: str) -> transport.Response:
    """Make an answer that states a limit, or none."""
    headers = [] if field == 'none' else [(LIMIT_FIELD, field)]
    return transport.Response(200, headers)


def parse_limit(text: str) -> float | None:
    """Parse a limit of a table."""
    return None if text == 'none' else float(text)


def keep_log(context) -> None:
    """Keep the log records about malformed signals."""
    handler = _LogRecords()
    logger = logging.getLogger(_signals.__name__)
    logger.addHandler(handler)
    context.cleanups.append(lambda: logger.removeHandler(handler))
    logging.disable(logging.NOTSET)
    context.cleanups.append(lambda: logging.disable(logging.CRITICAL))
    context.log_records = handler.records


@when('the target states "{before}", and then "{field}"')
def step_states(context, before, field):
    keep_log(context)
    context.local = _local_signals.LocalSignals(lambda: 0.0)
    for item in (before, field):
        signals = _signals.decode_signals(
            make_response(item), platform.HEADERS
        )
        context.local.note(signals, LIFETIME, 0.0)


@then('its limit is {limit}, and SDG-6301 is {logged}')
def step_logged(context, limit, logged):
    assert context.local.rate_limit_per_s == parse_limit(limit)
    check_logged(context, logged)


def check_logged(context, logged) -> None:
    """Check whether a malformed signal was logged, once."""
    codes = [record.code for record in context.log_records]
    expected = [int(exceptions.Code.ANSWER_SIGNAL)]
    assert codes == (expected if logged == 'logged' else []), codes


@when(
    'answers arrive that asked at {first_s:g} stated {first} and then asked '
    'at {second_s:g} stated {second}'
)
def step_overtaking(context, first_s, first, second_s, second):
    stated = overload.StatedLimit()
    stated.note(parse_limit(first), first_s, 2.0)
    stated.note(parse_limit(second), second_s, 4.0)
    context.limit_per_s = stated.per_s


@when('the target {first} states 5, and then the target {second} answers')
def step_lifetimes(context, first, second):
    local = _local_signals.LocalSignals(lambda: 2.0)
    local.note(_signals.TargetSignals(5.0), parse_lifetime(first), 1.0)
    # Sent before the limit was known, so that it does not end the limit.
    local.note(_signals.NO_SIGNALS, parse_lifetime(second), 1.0)
    context.limit_per_s = local.rate_limit_per_s


def parse_lifetime(text: str) -> mesh.Lifetime:
    """Parse a lifetime such as ``i-1 born 10``."""
    name, _mark, born = text.partition(' born ')
    return mesh.Lifetime(name, int(born or 0))


@then('the limit in force is {limit}')
def step_limit_is(context, limit):
    assert context.limit_per_s == parse_limit(limit), context.limit_per_s


#: Requests as the time until the next one, the time until the target answers,
#: and the time until the answer arrives; and how often the limit changes.
REQUESTS = st.lists(
    st.tuples(st.integers(1, 9), st.integers(0, 20), st.integers(0, 20)),
    min_size=1,
    max_size=25,
)
LIMITS = st.lists(
    st.tuples(
        st.integers(1, 60), st.one_of(st.none(), st.integers(0, 5).map(float))
    ),
    min_size=1,
    max_size=6,
)


def find_value(limits, at: int) -> tuple[float | None, int]:
    """Return the limit at a time, and since when it has been stated."""
    since = 0
    for length, value in limits:
        if at < since + length:
            return value, since
        since += length
    return limits[-1][1], since - limits[-1][0]


def list_answers(requests, limits) -> list[tuple]:
    """Return answers in order of arrival: arrival, sent, stated, limit."""
    answers = []
    sent = 0
    for gap, work, delay in requests:
        sent += gap
        stated = sent + work
        value, _since = find_value(limits, stated)
        answers.append((stated + delay, sent, stated, value))
    return sorted(answers, key=lambda item: item[0])


def check_examples(check, *strategies) -> None:
    """Run a property with repeatable examples."""
    hypothesis.settings(
        max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
    )(hypothesis.given(*strategies)(check))()


@then('after any answers the limit is no higher than the target states')
def step_never_higher(_context):
    def check(requests, limits):
        stated_limit = overload.StatedLimit()
        heard = []
        for arrived, sent, stated, value in list_answers(requests, limits):
            stated_limit.note(value, sent, arrived)
            heard.append(stated)
            now_value, since = find_value(limits, arrived)
            if now_value is not None and max(heard) >= since:
                assert stated_limit.per_s is not None
                assert stated_limit.per_s <= now_value

    check_examples(check, REQUESTS, LIMITS)


@then('it is exactly that once an answer came to a later request')
def step_converges(_context):
    def check(requests, limits):
        stated_limit = overload.StatedLimit()
        end = 0
        for arrived, sent, _stated, value in list_answers(requests, limits):
            stated_limit.note(value, sent, arrived)
            end = arrived
        stated_limit.note(limits[-1][1], end, end + 1)
        assert stated_limit.per_s == limits[-1][1]

    check_examples(check, REQUESTS, LIMITS)


#: Steps of a bucket: milliseconds that pass, calls that want to be sent, and
#: a new limit or none.
BUCKET_STEPS = st.lists(
    st.tuples(
        st.integers(0, 3000),
        st.integers(0, 30),
        st.one_of(st.none(), st.floats(0, 60)),
    ),
    min_size=1,
    max_size=40,
)


@then('no sequence of limits and calls exceeds them in any window')
def step_windows(_context):
    def check(first_per_s, steps):
        now_s = 0.0
        bucket = overload.RateBucket(first_per_s, lambda: now_s)
        # Allowed calls up to each event, as the integral of the limit.
        allowed, per_s = 0.0, first_per_s
        events = []
        burst = max(1.0, _rate_bucket.BURST_S * first_per_s)
        for pause_ms, calls, new_per_s in steps:
            now_s += pause_ms / 1000
            allowed += per_s * pause_ms / 1000
            for _ in range(calls):
                if not bucket.find_wait_s():
                    bucket.take()
                    events.append(allowed)
            if new_per_s is not None:
                per_s = new_per_s
                bucket.set_rate(per_s)
                burst = max(burst, _rate_bucket.BURST_S * per_s)
        for first in range(len(events)):
            for last in range(first, len(events)):
                count = last - first + 1
                limit = events[last] - events[first] + burst
                assert count <= limit + 0.001, (count, limit)

    check_examples(check, st.floats(0, 60), BUCKET_STEPS)


@when('a target states "{value}" in the field for leaving targets')
def step_leaving_value(context, value):
    take_signals(context, [(platform.HEADERS.leaving, value)])


@when('a target states the limit "{limit}" and that it is leaving')
def step_limit_and_leaving(context, limit):
    leaving = platform.HEADERS.leaving
    take_signals(context, [(LIMIT_FIELD, limit), (leaving, '1')])


def take_signals(context, fields) -> None:
    """Let a daemon and its table take an answer with some fields."""
    keep_log(context)
    answer = transport.Response(200, fields)
    signals = _signals.decode_signals(answer, platform.HEADERS)
    _local_signals.LocalSignals(lambda: 0.0).note(signals, LIFETIME, 0.0)
    context.table_of_signals = _signal_table.SignalTable()
    context.table_of_signals.note(LIFETIME, signals, 0.0, 1.0)


@then('it is {state}, and SDG-6301 is {logged}')
def step_leaving_state(context, state, logged):
    row = testing.make_member_row('hall', target='i-1')
    is_leaving = context.table_of_signals.is_leaving(row)
    assert is_leaving == (state == 'leaving')
    check_logged(context, logged)


@when('a target states that it is leaving, and {count:d} others a limit')
def step_leaving_and_others(context, count):
    context.table_of_signals = _signal_table.SignalTable()
    context.table_of_signals.note(
        mesh.Lifetime('i-old', 10), _signals.TargetSignals(None, True), 0, 1
    )
    for number in range(count):
        context.table_of_signals.note(
            mesh.Lifetime(f'i-{number}'), _signals.TargetSignals(5.0), 0, 1
        )


@then('the first one is still known to be leaving')
def step_still_leaving(context):
    row = testing.make_member_row('hall', target='i-old', born_ms=10)
    assert context.table_of_signals.is_leaving(row)


@then('its next lifetime under the same name is not')
def step_next_lifetime(context):
    row = testing.make_member_row('hall', target='i-old', born_ms=20)
    assert not context.table_of_signals.is_leaving(row)


@when('{count:d} targets state a limit in turn')
def step_many_targets(context, count):
    context.table_of_signals = _signal_table.SignalTable()
    for number in range(count):
        context.table_of_signals.note(
            mesh.Lifetime(f'i-{number}'), _signals.TargetSignals(5.0), 0, 1
        )


@then('at most {count:d} of them are remembered')
def step_remembered(context, count):
    table = context.table_of_signals
    assert len(table) == count, len(table)
    row = testing.make_member_row('hall', target='i-4999')
    assert table.find_rate_limit(row) == 5.0

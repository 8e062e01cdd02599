"""Steps for admission control, choice, retry window and member table."""

import asyncio
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import msgspec

from sedgering import base
from sedgering import mesh
from sedgering.mesh import _choice
from sedgering.mesh import _chooser
from sedgering.mesh import _gate
from sedgering.mesh import _gate_log
from sedgering.mesh import _hop
from sedgering.mesh import _link
from sedgering import platform
from sedgering import testing
from sedgering import transport
from sedgering.transport import _headers

ROUTE = base.RouteName('calendar')
SET = base.TargetSetName('calendar')
DEADLINE_S = 2.0
EXAMPLES = 200
#: Number of seeds for random choices.
SEEDS = 20


class GateSubject:
    """A gate with its own event loop, and the calls that entered it."""

    def __init__(self, slots: int, work_ms: float):
        self.loop = asyncio.new_event_loop()
        self.gate = mesh.Gate(mesh.MeshSettings(), self.loop.time)
        self.gate.open(slots)
        self.gate.work.mean_ms = work_ms
        self.tasks: list[asyncio.Task] = []
        self.running: list[mesh.Ticket] = []

    def settle(self) -> None:
        """Run all callbacks that are ready."""
        for _ in range(5):
            self.loop.run_until_complete(asyncio.sleep(0))

    def arrive(self, urgency, goal_ms=400, priority=1) -> asyncio.Task:
        """Send a call to the gate and run it as far as it gets."""
        now_s = self.loop.time()
        ticket = mesh.Ticket(
            ROUTE, priority, urgency, now_s + DEADLINE_S, now_s + goal_ms / 1e3
        )

        async def enter():
            await self.gate.enter(ticket)
            self.running.append(ticket)

        task = self.loop.create_task(enter())
        self.tasks.append(task)
        self.settle()
        return task

    def free(self) -> None:
        """End one running call."""
        self.gate.leave(self.running.pop(0), _gate.CallResult.CANCELLED, 0)
        self.settle()

    def close(self) -> None:
        """Cancel the remaining calls and close the loop."""
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            self.loop.run_until_complete(
                asyncio.gather(*self.tasks, return_exceptions=True)
            )
        self.loop.close()


@given('a gate with {slots:d} slots where work takes {work_ms:d} ms')
def step_gate(context, slots, work_ms):
    context.gate = GateSubject(slots, work_ms)
    context.cleanups.append(context.gate.close)


@given('{running:d} calls run and {waiting:d} first calls wait')
def step_full(context, running, waiting):
    subject = context.gate
    for _ in range(running + waiting):
        subject.arrive(mesh.CallUrgency.FIRST, 100_000)
    step_running(context, running, waiting)


@when('{count:d} first calls arrive with a goal of {goal_ms:d} ms')
def step_arrive_many(context, count, goal_ms):
    for _ in range(count):
        context.gate.arrive(mesh.CallUrgency.FIRST, goal_ms)


@when('a first call arrives with a goal of {goal_ms:d} ms')
def step_arrive_first(context, goal_ms):
    context.task = context.gate.arrive(mesh.CallUrgency.FIRST, goal_ms)


@when("a target's call arrives with a goal of {goal_ms:d} ms")
def step_arrive_target(context, goal_ms):
    context.task = context.gate.arrive(mesh.CallUrgency.TARGET, goal_ms)


@when('a returning call arrives with a goal of {goal_ms:d} ms')
def step_arrive_return(context, goal_ms):
    context.task = context.gate.arrive(mesh.CallUrgency.RETURN, goal_ms)


@when('a first call of priority 0 arrives with a goal of {goal_ms:d} ms')
def step_arrive_urgent(context, goal_ms):
    context.task = context.gate.arrive(mesh.CallUrgency.FIRST, goal_ms, 0)


@when('a slot becomes free')
def step_free(context):
    context.gate.free()


@when('the first waiter is cancelled')
def step_cancel(context):
    subject = context.gate
    next(task for task in subject.tasks if not task.done()).cancel()
    subject.settle()


@when('the target refuses {count:d} calls')
def step_refuse(context, count):
    end_calls(context.gate, count, _gate.CallResult.REFUSED, 1)


@when('the target fails {count:d} calls after {elapsed_ms:d} ms each')
def step_fail(context, count, elapsed_ms):
    end_calls(context.gate, count, _gate.CallResult.FAILED, elapsed_ms)


@when('the gate closes')
def step_close(context):
    context.gate.gate.close(mesh.RefusalReason.LEAVING)
    context.gate.settle()


@then('{running:d} calls run and {waiting:d} waits')
def step_running(context, running, waiting):
    gate = context.gate.gate
    assert (gate.running, gate.waiting) == (running, waiting)


@then('it is refused as shed with a retry time')
def step_refused(context):
    error = context.task.exception()
    assert error.reason is mesh.RefusalReason.SHED
    assert error.retry_after_ms > 0


@then('the late call runs')
@then("the target's call runs")
@then('the call of priority 0 runs')
def step_runs(context):
    assert context.task.done() and context.task.exception() is None


@then('the first call runs and the returning call waits')
def step_first_before_return(context):
    returning, first = context.gate.tasks[-2:]
    assert first.done() and first.exception() is None
    assert not returning.done()


@when('{count:d} calls of priority 0 arrive')
def step_urgent_many(context, count):
    for _ in range(count):
        context.gate.arrive(mesh.CallUrgency.FIRST, 100_000, priority=0)


@then('the returning call is refused as shed with a retry time')
@then('the first call is refused as shed with a retry time')
def step_first_refused(context):
    step_refused(context)


@when('{pause_ms:d} ms pass')
def step_go_by(context, pause_ms):
    context.gate.loop.run_until_complete(asyncio.sleep(pause_ms / 1000))


@then('the waiting calls are refused as leaving')
def step_left(context):
    errors = [
        task.exception()
        for task in context.gate.tasks
        if task.done() and task.exception()
    ]
    assert len(errors) == 2, errors
    assert {item.reason for item in errors} == {mesh.RefusalReason.LEAVING}


@then('the limit is {limit:d}')
def step_limit(context, limit):
    assert context.gate.gate.limit == limit, context.gate.gate.limit


@then(
    'a peer expects less than {most_ms:d} ms again after {count:d}'
    ' successful calls'
)
def step_recovered(context, most_ms, count):
    end_calls(context.gate, count, _gate.CallResult.DONE, 100)
    peers, peer = make_reported_peer(context)
    costs = _choice.CallCosts(
        peers, base.DataCentre('hall'), ROUTE, 0, False, 0.0
    )
    expected_ms = costs.estimate_ms(peer)
    assert expected_ms < most_ms, expected_ms


@given('{count:d} calls were done after {elapsed_ms:d} ms each')
def step_done(context, count, elapsed_ms):
    end_calls(context.gate, count, _gate.CallResult.DONE, elapsed_ms)


def make_reported_peer(context):
    """Make a peer that has just received the report of the gate."""
    report = context.gate.gate.make_report(ROUTE)
    # Encoded and decoded as between two daemons.
    answer = mesh.CallAnswer(mesh.CallOutcome.NOT_RUN, load=report)
    load = _hop.decode_answer(index_response(_hop.encode_answer(answer))).load
    peers = mesh.PeerTable(mesh.MeshSettings())
    peer = peers.find(testing.make_member_row('near', data_centre='hall'))
    peers.record_report(peer, load, ROUTE, 0.0)
    return peers, peer


def index_response(response):
    """Return a response with its headers indexed, as after parsing."""
    response.fields = _headers.index_headers(response.headers)
    return response


@then('a peer that receives its report expects more than {least_ms:d} ms')
def step_expected(context, least_ms):
    peers, peer = make_reported_peer(context)
    costs = _choice.CallCosts(
        peers, base.DataCentre('hall'), ROUTE, 0, False, 0.0
    )
    expected_ms = costs.estimate_ms(peer)
    assert expected_ms > least_ms, expected_ms


@then(
    'a peer that receives its report assumes work of {least_ms:d} to'
    ' {most_ms:d} ms'
)
def step_told_work(context, least_ms, most_ms):
    peers, _peer = make_reported_peer(context)
    work_ms = peers.typical_work_ms(ROUTE)
    assert least_ms <= work_ms <= most_ms, work_ms


@then('a caller with a goal of {goal_ms:d} ms may still meet it')
def step_may_meet(context, goal_ms):
    peers, _peer = make_reported_peer(context)
    assert (
        goal_ms > peers.typical_work_ms(ROUTE) * _chooser.FEASIBLE_GOAL_SHARE
    )


def end_calls(subject, count, result, elapsed_ms):
    """Run calls one after the other, each with the given result."""
    for _ in range(count):
        subject.arrive(mesh.CallUrgency.FIRST)
        subject.gate.leave(subject.running.pop(), result, elapsed_ms)


@given(
    'a retry window of ratio {ratio:g} and extra {extra:g} over {window_s:g}'
    ' s for {daemons:d} daemons'
)
def step_window(context, ratio, extra, window_s, daemons):
    context.window = mesh.RetryWindow(ratio, extra, window_s)
    context.window.daemons = daemons


@when('{count:d} requests are counted at {now_s:g} s')
def step_count(context, count, now_s):
    for _ in range(count):
        context.window.note_request(SET, now_s)


@then('{count:d} retries are allowed at {now_s:g} s')
def step_retries(context, count, now_s):
    assert count_retries(context.window, SET, now_s) == count


@then('{count:d} retries are allowed at {now_s:g} s for another target set')
def step_retries_other(context, count, now_s):
    other = base.TargetSetName('ledger')
    assert count_retries(context.window, other, now_s) == count


@then('{count:d} retries are allowed at {now_s:g} s of a share of {share:g}')
def step_retries_share(context, count, now_s, share):
    assert count_retries(context.window, SET, now_s, share) == count


@given('a set of {far:d} targets elsewhere and {near:d} in hall')
def step_large_set(context, far, near):
    data_centres = ['elsewhere'] * far + ['hall'] * near
    context.members = [
        make_row(f'host-{number}', data_centre, number + 1)
        for number, data_centre in enumerate(data_centres)
    ]


@when('candidates are drawn in hall')
def step_draw(context):
    context.drawn = _choice.sample_candidates(
        context.members, base.DataCentre('hall'), random.Random(1)
    )


@then('{count:d} are drawn, at least {near:d} of them in hall')
def step_drawn(context, count, near):
    data_centres = [row.data_centre for row in context.drawn]
    assert len(data_centres) == count, data_centres
    assert data_centres.count('hall') >= near, data_centres


@when('answers of the route are {size:d} bytes')
def step_answers(context, size):
    context.peers.note_answer(ROUTE, size)


def count_retries(window, target_set, now_s, share=1.0) -> int:
    """Return how many retries the window allows; use them all."""
    count = 0
    while window.take(target_set, now_s, share):
        count += 1
    return count


@then('no sliding window of any sequence holds more than is allowed')
def step_any_sequence(context):
    steps = st.lists(
        st.tuples(st.integers(0, 900), st.sampled_from(['request', 'retry'])),
        max_size=150,
    )

    @hypothesis.settings(
        max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(steps)
    def check(moves):
        window = mesh.RetryWindow(0.2, 4, 10)
        now_ms = 0
        requested = []
        retried = []
        for pause_ms, move in moves:
            now_ms += pause_ms
            if move == 'request':
                window.note_request(SET, now_ms / 1000)
                requested.append(now_ms)
            elif window.take(SET, now_ms / 1000):
                retried.append(now_ms)
                # The limit holds for the window that ends now and the
                # requests in it.
                start_ms = now_ms - 9500
                count = sum(at_ms >= start_ms for at_ms in retried)
                requests = sum(at_ms >= now_ms - 10_000 for at_ms in requested)
                assert count <= 0.2 * requests + 4, (moves, retried)

    check()


@given('targets "near" in hall and "far" elsewhere with 2 slots each')
def step_targets(context):
    context.rows = {
        'near': make_row('near', 'hall', 1),
        'far': make_row('far', 'elsewhere', 2),
    }
    context.fleet = mesh.FleetTable()
    context.fleet.replace(context.rows)
    context.peers = mesh.PeerTable(mesh.MeshSettings())


def make_row(host, data_centre, port, target='i-1') -> mesh.MemberRow:
    """Make a row of a calendar target."""
    return testing.make_member_row(
        host, data_centre=data_centre, port=port, target=target
    )


def choose(
    context, body_bytes=0, tried=(), now_s=0.0, seed=1, is_nested=False
):
    """Choose a target for a caller in the data centre hall."""
    costs = mesh.CallCosts(
        context.peers,
        base.DataCentre('hall'),
        ROUTE,
        body_bytes,
        is_nested,
        now_s,
    )
    peer = mesh.choose_member(
        context.fleet.ready_by_set[SET], tried, costs, random.Random(seed)
    )
    return peer and peer.row.host


def report_load(context, host, route, work_ms, mean_ms):
    """Let a target report its work times with an answer at 0 s."""
    peer = context.peers.find(context.rows[host])
    load = mesh.LoadReport(0, 0, 2, mean_ms, work_ms)
    context.peers.record_report(peer, load, route, 0.0)


@when('"{host}" reports 30 ms of another route and {work_ms:d} ms of this one')
def step_tells_two(context, host, work_ms):
    report_load(context, host, base.RouteName('lookup'), 30, 30)
    report_load(context, host, ROUTE, work_ms, 30)


@when(
    '"near" reports that {percent:d} % of its link of {mbps:d} Mbit/s is used'
)
def step_tells_link(context, percent, mbps):
    for host, row in context.rows.items():
        context.rows[host] = msgspec.structs.replace(row, link_mbps=mbps)
    context.fleet.replace(context.rows)
    context.peers = mesh.PeerTable(mesh.MeshSettings())
    near = context.peers.find(context.rows['near'])
    load = mesh.LoadReport(0, 0, 2, 100, 100, percent)
    context.peers.record_report(near, load, ROUTE, 0.0)


@given(
    'a link of {mbps:d} Mbit/s on which {count:d} bytes came in {seconds:g} s'
)
def step_link(context, mbps, count, seconds):
    moments = iter((0.0, seconds))
    meter = _link.LinkMeter(mbps, lambda: next(moments))
    service = platform.ReadinessService(lambda: True)
    service.received_bytes = count
    meter.watch(service)
    context.percent = meter.find_percent()


@then('{percent:d} % of it are used')
def step_link_used(context, percent):
    assert context.percent == percent, context.percent


@when('"{host}" reports {work_ms:d} ms of this route')
def step_tells(context, host, work_ms):
    report_load(context, host, ROUTE, work_ms, work_ms)


@when(
    '"{host}" reports {running:d} running, {waiting:d} waiting of which'
    ' {nested:d} nested, and work of {work_ms:d} ms'
)
def step_tells_queue(context, host, running, waiting, nested, work_ms):
    peer = context.peers.find(context.rows[host])
    load = mesh.LoadReport(running, waiting, 2, work_ms, 10, 0, nested)
    context.peers.record_report(peer, load, ROUTE, 0.0)


@then('a nested call of 10 ms goes to "{host}"')
def step_nested_goes(context, host):
    assert choose(context, is_nested=True) == host


@then('a caller\'s call goes to "{host}"')
def step_caller_goes(context, host):
    assert choose(context) == host


@when('"{host}" has started cold for {cold_s:d} s')
def step_cold(context, host, cold_s):
    context.peers.find(context.rows[host]).note_cold(cold_s)


@then('"near" is never chosen at 0 s, and sometimes at {now_s:g} s')
def step_tried_again(context, now_s):
    for seed in range(SEEDS):
        assert choose(context, seed=seed) == 'far'
    chosen = {choose(context, now_s=now_s, seed=s) for s in range(SEEDS)}
    assert 'near' in chosen


@then('at {now_s:g} s "{host}" is chosen')
def step_chosen_at(context, now_s, host):
    assert choose(context, now_s=now_s) == host


@when('"{host}" fails')
def step_peer_fails(context, host):
    context.peers.find(context.rows[host]).fail(0.0, 'test')


@when('"near" refuses as {reason} and the same rows arrive again')
def step_closed(context, reason):
    peer = context.peers.find(context.rows['near'])
    peer.close(0.0, mesh.RefusalReason(reason))
    context.fleet.replace(dict(context.rows))


@then('"{host}" is chosen with {count:d} calls in flight there')
@then('"{host}" is chosen with {count:d} calls in flight at near')
def step_chosen(context, host, count):
    context.peers.find(context.rows['near']).in_flight = count
    assert choose(context) == host


@then(
    '"{host}" is chosen for {size:d} bytes with {count:d} calls in flight at'
    ' near'
)
def step_chosen_large(context, host, size, count):
    context.peers.find(context.rows['near']).in_flight = count
    assert choose(context, size) == host


@then('"near" is chosen when "far" was already tried')
def step_chosen_suspect(context):
    assert choose(context, tried=('far',)) == 'near'


@given('member rows where a later host has the address of an earlier one')
def step_same_address(context):
    context.fleet = mesh.FleetTable()
    context.fleet.replace(
        {
            'old': make_row('old', 'hall', 1, 'i-1'),
            'new': make_row('new', 'hall', 1, 'i-2'),
        }
    )


@then('only the later host is open')
def step_only_later(context):
    assert [row.host for row in context.fleet.ready_by_set[SET]] == ['new']


@then('nothing is chosen at {now_s:g} s when "far" was already tried')
def step_none_chosen(context, now_s):
    assert choose(context, tried=('far',), now_s=now_s) is None


@then('"near" is chosen at {now_s:g} s when "far" was already tried')
def step_near_chosen(context, now_s):
    assert choose(context, tried=('far',), now_s=now_s) == 'near'


@then('"near" is chosen at {now_s:g} s with another target')
def step_near_again(context, now_s):
    rows = dict(context.rows, near=make_row('near', 'hall', 1, 'i-9'))
    context.fleet.replace(rows)
    assert choose(context, tried=('far',), now_s=now_s) == 'near'


@given('a target that reported {state} {sequence:d}')
def step_reported_first(context, state, sequence):
    context.target = mesh.LocalTarget()
    report(context, state, sequence)


@when('it reports {state} {sequence:d}')
def step_reported_second(context, state, sequence):
    report(context, state, sequence)


@then('the local target is {state}')
def step_local_state(context, state):
    assert context.target.is_open == (state == 'open')


def report(context, state, sequence):
    """Pass a report to the local target."""
    context.target.take_report(
        mesh.TargetReport(
            target=base.TargetName('i-1'),
            target_set=SET,
            slots=2,
            state=mesh.TargetState(state),
            cold_ms=0,
            sequence=sequence,
        ),
        0.0,
    )


NAMES = st.text('abcdefghij0123456789-.', min_size=1, max_size=12)
FIELDS = st.lists(
    st.tuples(st.sampled_from(['X-A', 'Accept']), NAMES), max_size=3
)
CRASHES = st.lists(NAMES, max_size=4).map(tuple)
EVIDENCE = st.lists(
    st.builds(mesh.CrashEvidence, NAMES, st.booleans()), max_size=4
).map(tuple)


def name_workspace(call):
    """Set the workspace of the request, as a sender does."""
    call.request.workspace = call.workspace
    return call


CALLS = st.builds(
    mesh.TargetCall,
    request=st.builds(
        transport.Request,
        method=st.sampled_from(['GET', 'POST']),
        url=st.just('/a?b'),
        headers=FIELDS,
        body=st.binary(max_size=20),
        has_body=st.just(True),
    ),
    request_id=NAMES,
    target_set=NAMES,
    target=NAMES,
    route=NAMES,
    origin=NAMES,
    priority=st.integers(0, 9),
    is_repeatable=st.booleans(),
    urgency=st.sampled_from(list(mesh.CallUrgency)),
    remaining_ms=st.integers(0, 9999),
    goal_ms=st.integers(0, 9999),
    version=st.integers(0, 9999),
    is_trial=st.booleans(),
    crashes=EVIDENCE,
    cleared_crashes=CRASHES,
    workspace=NAMES,
    workspace_priority=st.integers(0, 9),
).map(name_workspace)
ANSWERS = st.builds(
    mesh.CallAnswer,
    outcome=st.just(mesh.CallOutcome.ANSWERED),
    response=st.builds(
        transport.Response,
        status=st.sampled_from([200, 404, 500]),
        headers=FIELDS,
        body=st.binary(max_size=20),
    ),
    reason=st.sampled_from(list(mesh.RefusalReason)),
    retry_after_ms=st.integers(0, 9999),
    load=st.none()
    | st.builds(mesh.LoadReport, *[st.integers(0, 999) for _ in range(11)]),
    reached_target=st.booleans(),
    detail=NAMES,
    crashes=EVIDENCE,
)


@then('any call and any answer is the same after encoding and decoding')
def step_hop(context):
    @hypothesis.settings(
        max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(CALLS, ANSWERS)
    def check(call, answer):
        data = _hop.encode_call(call)
        head, _mark, body = data.partition(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')[1:]
        headers = [tuple(line.split(': ', 1)) for line in lines]
        request = transport.Request(
            call.request.method,
            call.request.url,
            transport.strip_hop_headers(headers),
            body,
            True,
        )
        assert _hop.decode_call(request) == call
        assert _hop.decode_answer(_hop.encode_answer(answer)) == answer

    check()


@when(
    'its log counts {admitted:d} admitted after {wait_ms:d} ms and'
    ' {refused:d} refused'
)
def step_gate_log(context, admitted, wait_ms, refused):
    context.gate_log = _gate_log.GateLog()
    for _ in range(admitted):
        context.gate_log.count_admitted(ROUTE, wait_ms)
    for _ in range(refused):
        context.gate_log.count_refused(ROUTE)


@then('its line is "{text}"')
def step_gate_line(context, text):
    assert context.gate_log.take_summary(context.gate.gate) == text


@then('its next line is empty')
def step_gate_line_empty(context):
    assert context.gate_log.take_summary(context.gate.gate) == ''


@then('the load field of an answer holds {count:d} numbers')
def step_load_numbers(context, count):
    load = mesh.LoadReport(1, 2, 3, 4, 5, 6, 7)
    answer = mesh.CallAnswer(mesh.CallOutcome.NOT_RUN, load=load)
    headers = _hop.encode_answer(answer).headers
    value = transport.find_header(headers, _hop.LOAD)
    assert len(value.split(_hop.SEPARATOR)) == count, value


@then('no sequence of reports opens a lifetime that left or was replaced')
def step_any_reports(context):
    lifetime = st.integers(0, 3)
    moves = st.one_of(
        st.tuples(st.just('ready'), lifetime, st.integers(0, 9)),
        st.tuples(st.just('draining'), lifetime, st.integers(0, 9)),
        st.tuples(st.just('leave'), lifetime, st.just(0)),
        st.tuples(st.just('misdirected'), lifetime, st.just(0)),
        st.tuples(st.just('probed'), lifetime, st.just(0)),
    )

    @hypothesis.settings(
        max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(st.lists(moves, max_size=30))
    def check(sequence):
        target = mesh.LocalTarget()
        closed = set()
        for kind, number, counter in sequence:
            name = base.TargetName(f'i-{number}')
            before = target.target
            if kind == 'leave':
                target.leave(mesh.Lifetime(name))
                closed.add(name)
            elif kind == 'misdirected':
                closed.add(target.target)
                target.discard()
            elif kind == 'probed':
                is_settled = target.resolve_conflict(name, 0.0)
                if is_settled and not target.is_open:
                    closed.add(name)
                if before not in (None, target.target):
                    closed.add(before)
            else:
                report = mesh.TargetReport(
                    name, SET, 2, mesh.TargetState(kind), 0, counter
                )
                target.take_report(report, 0.0)
                is_taken = target.report is report
                if is_taken and kind == 'draining':
                    closed.add(name)
                if before not in (None, target.target):
                    closed.add(before)
            assert not (target.is_open and target.target in closed), sequence

    check()


@when('the target limits its calls to {per_s:d} a second')
def step_rate_limit(context, per_s):
    context.gate.gate.set_rate_limit(float(per_s))
    context.gate.settle()


@then('it is refused at once')
def step_refused_at_once(context):
    assert context.task.done(), context.task
    reason = context.task.exception().reason
    assert reason is mesh.RefusalReason.RATE_LIMITED, reason


@then('it waits')
def step_waits(context):
    assert not context.task.done(), context.task


@given('a sender that was told that {usable:d} of {slots:d} slots can be used')
def step_told_slots(context, usable, slots):
    row = testing.make_member_row('hall-1', slots=slots)
    context.peer = mesh.PeerTable(mesh.MeshSettings()).find(row)
    report = mesh.LoadReport(0, 0, usable, 100)
    context.peer.record_report(report, ROUTE, 10.0)


@when('it heard nothing for {pause_ms:d} ms')
def step_pause(context, pause_ms):
    context.now_s = 10.0 + pause_ms / 1000


@then('it takes the target to have {slots:d} slots')
def step_known_slots(context, slots):
    found = context.peer.find_limit(context.now_s)
    assert found == slots, found

"""Steps that test the decisions under overload."""

import asyncio
import io
import logging
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st

from sedgering import base
from sedgering.cli import _explain
from sedgering import exceptions
from sedgering import mesh
from sedgering.mesh import _decisions
from sedgering.mesh import _gate
from sedgering.mesh import _hop
from sedgering import observability
from sedgering import overload

SET = base.TargetSetName('catalogue')
WORK_MS = 100.0
LAST_SECOND_S = 1.0
#: Window over which the simulated gates average their demand.
DEMAND_WINDOW_S = 0.5
#: More calls than such a window holds.
WINDOW_CALLS_LIMIT = 400


class AdmissionSubject:
    """One daemon's admission of calls to one set, and its decisions."""

    def __init__(self, demand_percent: float):
        self.table = overload.AdmissionController()
        self.demand_percent = demand_percent
        self.now_s = 0.0
        self.rng = random.Random(1)
        #: Calls served a second; None if a fixed share is refused.
        self.capacity_per_s: float | None = None
        self.refused_share = 0.0
        self.available = 0.0
        #: Admitted calls a second at which the reported demand is 100 %; None
        #: if it is fixed.
        self.full_per_s: float | None = None
        #: Time of each call, name of its kind, and whether it was admitted.
        self.seen: list[tuple[float, str, bool]] = []

    def send_calls(
        self, kinds: dict, length_s: float, is_reported=True
    ) -> None:
        """Send kinds of calls at their rates, in random order."""
        end_s = self.now_s + length_s
        rate_per_s = sum(rate for rate, _fields in kinds.values())
        names = list(kinds)
        weights = [kinds[name][0] for name in names]
        while self.now_s < end_s:
            step_s = 1 / rate_per_s
            self.now_s += step_s
            if self.capacity_per_s is not None:
                self.available = min(
                    5.0, self.available + self.capacity_per_s * step_s
                )
            (name,) = self.rng.choices(names, weights)
            self._send_call(name, kinds[name][1])
            if is_reported:
                percent = self._find_demand_percent()
                self.table.add_demand_report(SET, percent, self.now_s)

    def _find_demand_percent(self) -> float:
        if self.full_per_s is None:
            return self.demand_percent
        from_s = self.now_s - DEMAND_WINDOW_S
        passed = sum(
            is_admitted
            for at_s, _name, is_admitted in self.seen[-WINDOW_CALLS_LIMIT:]
            if at_s > from_s
        )
        return 100 * passed / (self.full_per_s * DEMAND_WINDOW_S)

    def _send_call(self, name: str, fields: dict) -> None:
        request_id = base.RequestId(str(self.rng.random()))
        given_fields = {'priority': 1, **fields}
        call = overload.AdmissionRequest(
            SET, request_id, WORK_MS, **given_fields
        )
        decision = self.table.decide(call, self.now_s)
        self.seen.append((self.now_s, name, decision.is_admitted))
        if decision.is_admitted and not self._is_served():
            self.table.note_refused(call, self.now_s)

    def _is_served(self) -> bool:
        if self.capacity_per_s is None:
            return self.rng.random() >= self.refused_share
        if self.available < 1:
            return False
        self.available -= 1
        return True

    def find_percent(self, name: str, from_s: float, to_s: float) -> float:
        """Return the share of a kind that was admitted, in percent."""
        found = [
            is_admitted
            for at_s, kind, is_admitted in self.seen
            if kind == name and from_s < at_s <= to_s
        ]
        return 100 * sum(found) / len(found)


@given('a set whose gates report a demand of {percent:d} %')
def step_set(context, percent):
    context.admission = AdmissionSubject(percent)


@given(
    'a set whose demand follows the admitted calls, full at {rate:d} a second'
)
def step_demand_follows(context, rate):
    context.admission = AdmissionSubject(0)
    context.admission.full_per_s = rate


@given('capacity for {capacity:d} calls a second')
def step_capacity(context, capacity):
    context.admission.capacity_per_s = capacity


@when(
    '{rate:d} calls a second of priority {priority:d} arrive for '
    '{length_s:d} s, and half are refused'
)
def step_half(context, rate, priority, length_s):
    context.admission.refused_share = 0.5
    kinds = {f'priority {priority}': (rate, {'priority': priority})}
    context.admission.send_calls(kinds, length_s)


@when('{rate:d} calls a second of priority 1 arrive for {length_s:d} s')
def step_arrive_for(context, rate, length_s):
    context.admission.send_calls({'priority 1': (rate, {})}, length_s)


@when(
    '{one:d} of priority 0 and {other:d} of priority 3 arrive a second for 6 s'
)
def step_two(context, one, other):
    kinds = {
        'priority 0': (one, {'priority': 0}),
        'priority 3': (other, {'priority': 3}),
    }
    context.admission.send_calls(kinds, 6)


@when('workspaces send 20, 30 and 200 calls a second for 6 s')
def step_workspaces(context):
    kinds = {
        f'workspace "{number}"': (rate, {'workspace': f'{number}'})
        for number, rate in enumerate((20, 30, 200))
    }
    context.admission.send_calls(kinds, 6)


@when('{rate:d} calls of targets arrive a second for {length_s:d} s')
def step_nested(context, rate, length_s):
    kinds = {'priority 1': (rate, {'is_nested': True})}
    context.admission.send_calls(kinds, length_s)


@when('{one:d} calls and {other:d} early retries arrive a second for 6 s')
def step_early_retries(context, one, other):
    kinds = {
        'the others': (one, {}),
        'the early retries': (other, {'is_early_retry': True}),
    }
    context.admission.send_calls(kinds, 6)


@when('gates report nothing for {length_s:d} s')
def step_silent(context, length_s):
    context.admission.now_s += length_s
    context.admission.seen.clear()


@when(
    'the capacity grows to {capacity:d} calls a second, and {rate:d} arrive '
    'for '
    '{length_s:d} s'
)
def step_grow(context, capacity, rate, length_s):
    context.admission.capacity_per_s = capacity
    context.admission.send_calls({'priority 1': (rate, {})}, length_s)


@then('all of priority 1 are admitted')
def step_all(context):
    assert context.admission.find_percent('priority 1', 0, 99) == 100


@then('all calls are admitted again')
def step_all_again(context):
    context.admission.send_calls(
        {'priority 1': (100, {})}, 0.5, is_reported=False
    )
    assert all(found for _at_s, _name, found in context.admission.seen)


@then('{least:d} to {most:d} % of {name} are admitted in the last second')
def step_share(context, least, most, name):
    admission = context.admission
    found = admission.find_percent(
        name, admission.now_s - LAST_SECOND_S, admission.now_s
    )
    assert least <= found <= most, found


@then('{least:d} to {most:d} % of {name} are admitted in the last 4 seconds')
def step_long_share(context, least, most, name):
    admission = context.admission
    found = admission.find_percent(name, admission.now_s - 4, admission.now_s)
    assert least <= found <= most, found


@then('the admitted shares in the last 6 seconds differ by 12 % at most')
def step_steady(context):
    admission = context.admission
    shares = [
        admission.find_percent('priority 1', admission.now_s - back, at_s)
        for back in range(6, 0, -1)
        for at_s in (admission.now_s - back + 1,)
    ]
    assert max(shares) - min(shares) <= 12, shares


@given('a daemon that has run for {days:d} days')
def step_long(context, days):
    context.admission = AdmissionSubject(200)
    context.admission.now_s = days * 86_400.0


@when('a set is dropped during a call, and its demand is reported again')
def step_forget(context):
    admission = context.admission
    admission.send_calls({'priority 1': (100, {})}, 2)
    admission.table.retain(frozenset())
    admission.table.add_demand_report(SET, 200, admission.now_s)


@then('the call may still be refused, and the next one is admitted')
def step_forgotten(context):
    admission = context.admission
    call = overload.AdmissionRequest(SET, base.RequestId('id-1'), WORK_MS, 1)
    admission.table.note_refused(call, admission.now_s - 0.1)
    assert admission.table.decide(call, admission.now_s).is_admitted


@then('for any demands and capacity the shares fit it and are max-min fair')
def step_fair(_context):
    amounts = st.lists(st.floats(0, 1000), min_size=1, max_size=20)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(amounts, st.floats(0, 5000))
    def check(demands, capacity):
        level = overload.find_fair_level(demands, capacity)
        got = [min(demand, level) for demand in demands]
        slack = 1e-6 * (1 + capacity)
        assert sum(got) <= capacity + slack, (got, capacity)
        # All capacity is used, or every demand is met.
        assert sum(got) >= min(sum(demands), capacity) - slack, (got, capacity)

    check()


@when('{count:d} workspaces add the same work')
def step_many(context, count):
    context.work = overload.WorkspaceWork()
    for number in range(count):
        context.work.add(base.WorkspaceName(f'w{number}'), WORK_MS)
    context.work_ms = count * WORK_MS


@then('at most {most:d} sums are kept, and no work is lost')
def step_bounded(context, most):
    works_ms = list(context.work.list_work_ms())
    assert len(works_ms) <= most, len(works_ms)
    assert sum(works_ms) == context.work_ms, works_ms


@then(
    'a retry is early after {soon_ms:d} ms of a {longest_ms:d} ms timeout, '
    'not after {later_ms:d} ms'
)
def step_is_early(_context, longest_ms, soon_ms, later_ms):
    assert overload.is_early_retry(soon_ms, longest_ms)
    assert not overload.is_early_retry(later_ms, longest_ms)


def _note_requested(shares, asked) -> None:
    for number, count in enumerate(asked):
        for _ in range(count):
            shares.note_requested(
                base.WorkspaceName(f'{number}'), WORK_MS, 0.0
            )


def _note_served(shares, served) -> None:
    for number, count in enumerate(served):
        for _ in range(count):
            shares.note_served(base.WorkspaceName(f'{number}'), WORK_MS, 0.0)


@given('a gate whose workspaces send {one:d} and {other:d} calls')
def step_shares(context, one, other):
    context.shares = overload.WorkspaceShares()
    _note_requested(context.shares, (one, other))


@given(
    'a gate whose workspaces send {one:d} and {other:d} calls, of which '
    '{served:d} of the first are served'
)
def step_shares_served(context, one, other, served):
    context.shares = overload.WorkspaceShares()
    _note_requested(context.shares, (one, other))
    _note_served(context.shares, (served, 0))


@when('{one:d} of the first and {other:d} of the other are served')
def step_serve(context, one, other):
    _note_served(context.shares, (one, other))


def _find_standing(context, name: str) -> overload.ShareStanding:
    return context.shares.find_standing(base.WorkspaceName(name), WORK_MS, 0.0)


@then('the first one got more than its fair share, and the other did not')
def step_over(context):
    assert _find_standing(context, '0') is overload.ShareStanding.OVER
    assert _find_standing(context, '1') is not overload.ShareStanding.OVER


@then('the first one is not starved, and the other is')
def step_starved(context):
    assert _find_standing(context, '0') is not overload.ShareStanding.STARVED
    assert _find_standing(context, '1') is overload.ShareStanding.STARVED


@then('a call without a workspace is neither first nor last of its rank')
def step_alike(context):
    assert (
        _find_standing(context, base.NO_WORKSPACE)
        is overload.ShareStanding.USUAL
    )


@when('a request is rejected at the source with {percent:d} % admitted')
def step_log(context, percent):
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(observability.JsonFormatter({}))
    logger = logging.getLogger(_decisions.__name__)
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logging.disable(logging.NOTSET)
    try:
        log = _decisions.DecisionLog(100, 50, lambda: 0.0)
        log.log_rejection(
            base.RequestId('id-1'),
            int(exceptions.Code.REQUEST_SHED),
            base.RouteName('look-up'),
            SET,
            base.WorkspaceName('north'),
            overload.AdmissionDecision(False, percent / 100, 130.0, 70),
            base.Version(4),
        )
    finally:
        logging.disable(logging.CRITICAL)
        logger.setLevel(level)
        logger.removeHandler(handler)
    assert log.counts.counts == {('rejected', '5008'): 1}, log.counts.counts
    context.records = list(
        _explain.read_records(stream.getvalue().split('\n'))
    )


@then(
    'its log line has {share:d} % admitted, a demand of {demand:d} % and '
    'its age'
)
def step_line(context, share, demand):
    (line,) = context.records
    assert line['message'] == 'request rejected at the source', line
    assert line['admitted_percent'] == share, line
    assert line['demand_percent'] == demand, line
    assert line['age_ms'] == 70, line


@then('explaining the request shows them, and the code')
def step_explained(context):
    lines = '\n'.join(_explain.explain_request(context.records, 'id-1'))
    for text in ('admitted_percent=40', 'demand_percent=130', 'SDG-5008'):
        assert text in lines, lines


class GateSubject:
    """A gate whose clock is stopped, and the calls that got a place."""

    def __init__(self, places: int, work_ms: float):
        self.loop = asyncio.new_event_loop()
        self.gate = mesh.Gate(mesh.MeshSettings(), lambda: 0.0)
        self.gate.open(places)
        self.gate.work.mean_ms = work_ms
        self.tasks: list[asyncio.Task] = []
        self.running: list[mesh.Ticket] = []
        #: All calls that got a place, in that order.
        self.admitted: list[mesh.Ticket] = []

    def arrive(self, workspace=base.NO_WORKSPACE) -> None:
        """Send a call to the gate."""
        ticket = mesh.Ticket(
            base.RouteName('look-up'),
            1,
            mesh.CallUrgency.FIRST,
            5.0,
            4.0,
            workspace=base.WorkspaceName(workspace),
        )

        async def enter():
            await self.gate.enter(ticket)
            self.running.append(ticket)
            self.admitted.append(ticket)

        self.tasks.append(self.loop.create_task(enter()))
        self.settle()

    def settle(self) -> None:
        """Run all tasks that are ready."""
        for _ in range(5):
            self.loop.run_until_complete(asyncio.sleep(0))

    def end_one(self) -> None:
        """End the call that started first."""
        ticket = self.running.pop(0)
        self.gate.leave(ticket, _gate.CallResult.DONE, 100.0)
        self.settle()

    def close(self) -> None:
        """Cancel the waiting calls."""
        for task in self.tasks:
            task.cancel()
        self.settle()
        self.loop.close()


@given('a gate with {places:d} places and work of {work_ms:d} ms')
def step_gate(context, places, work_ms):
    context.subject = GateSubject(places, work_ms)
    context.cleanups.append(context.subject.close)


@when('{count:d} calls arrive at it together')
def step_arrive(context, count):
    for _ in range(count):
        context.subject.arrive()


@when('calls arrive of the workspaces {names}')
def step_arrive_workspaces(context, names):
    for name in names.split(', '):
        context.subject.arrive(name)


@when('{count:d} of them end, one after the other')
def step_end(context, count):
    for _ in range(count):
        context.subject.end_one()


@then('it reports a demand of {percent:d} %')
def step_demand(context, percent):
    context.report = context.subject.gate.make_report(base.RouteName('x'))
    assert context.report.demand_percent == percent, context.report


@then('a daemon that decodes its answer reads the same demand')
def step_hop(context):
    answer = mesh.CallAnswer(mesh.CallOutcome.NOT_RUN, load=context.report)
    decoded = _hop.decode_answer(_hop.encode_answer(answer)).load
    assert decoded.demand_percent == context.report.demand_percent, decoded


@then('the calls of the workspaces {names} got a place')
def step_placed(context, names):
    found = [ticket.workspace for ticket in context.subject.admitted]
    assert found == names.split(', '), found

"""Steps for the table that tells calls of callers from those of targets."""

import math

from behave import given
from behave import then
from behave import when

from sedgering import base
from sedgering import mesh

ROUTE = base.RouteName('calendar')


class CallersSubject:
    """A table, a clock, and the deadlines at the local target."""

    def __init__(self):
        self.table = mesh.CallerTable()
        self.now_s = 100.0
        #: Time left of the newest call at the target; None when it is idle.
        self.target_left_s: float | None = None
        self.found: list[mesh.CallUrgency] = []
        #: Result for the last call.
        self.waited_ms = 0

    def call(self, stated_ms: int) -> None:
        """Let one call arrive."""
        deadline_s = -math.inf
        if self.target_left_s is not None:
            deadline_s = self.now_s + self.target_left_s
        origin = self.table.note_call(ROUTE, stated_ms, self.now_s, deadline_s)
        self.found.append(origin.urgency)
        self.waited_ms = origin.waited_ms


@given('an idle target')
def step_idle(context):
    context.callers = CallersSubject()


@given(
    'a target at work on calls of {left_ms:d} ms that began {age_ms:d} ms ago'
)
def step_busy(context, left_ms, age_ms):
    context.callers = CallersSubject()
    context.callers.target_left_s = (left_ms - age_ms) / 1000


@when('the target is at work on calls of {left_ms:d} ms')
def step_busy_now(context, left_ms):
    context.callers.target_left_s = left_ms / 1000


@when('{count:d} callers state {stated_ms:d} ms, one each {pause_ms:d} ms')
@when(
    '{count:d} nested calls state {stated_ms:d} ms, one each {pause_ms:d} ms'
)
def step_call(context, count, stated_ms, pause_ms):
    for _ in range(count):
        context.callers.call(stated_ms)
        context.callers.now_s += pause_ms / 1000


@when(
    '{count:d} callers state {first:d}, {second:d}, {third:d} and {last:d} ms'
    ' in turn'
)
def step_call_in_turn(context, count, first, second, third, last):
    for number in range(count):
        context.callers.call((first, second, third, last)[number % 4])
        context.callers.now_s += 0.01


@then('it has waited {least_ms:d} to {most_ms:d} ms')
def step_waited(context, least_ms, most_ms):
    assert least_ms <= context.callers.waited_ms <= most_ms


@when('the route is removed and added again')
def step_forget(context):
    context.callers.table.retain([])


@then('all are taken as callers')
def step_all_callers(context):
    assert set(context.callers.found) == {mesh.CallUrgency.FIRST}


@then('all are taken as calls of the target')
def step_all_target(context):
    assert set(context.callers.found) == {mesh.CallUrgency.TARGET}


@then('the last {count:d} are taken as {who}')
def step_last(context, count, who):
    expected = {
        'callers': mesh.CallUrgency.FIRST,
        'returning': mesh.CallUrgency.RETURN,
        'calls of the target': mesh.CallUrgency.TARGET,
    }[who]
    assert set(context.callers.found[-count:]) == {expected}


@when('a caller states the time "{text}"')
def step_state(context, text):
    raw = (
        'GET /r0/ HTTP/1.1\r\nHost: calendar.example\r\n'
        f'X-Request-Id: id-1\r\nX-Request-Deadline: {text}\r\n'
        'Connection: close\r\n\r\n'
    )
    subject = context.mesh
    subject.raw = subject.fleet.run(subject.send_raw(raw.encode()))


@then('it is answered {status:d}')
def step_answered(context, status):
    assert context.mesh.raw.startswith(f'HTTP/1.1 {status} '.encode())

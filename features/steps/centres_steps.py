"""Steps for data centres without spare capacity."""

from behave import given
from behave import then
from behave import when

from sedgering import balance

SET = 'calendar'


class CentresSubject:
    """Demand reported by gates, and a clock."""

    def __init__(self):
        self.demand = balance.CentreDemand()
        self.now_s = 100.0

    def is_short(self, data_centre: str) -> bool:
        """Whether a data centre has no spare capacity now."""
        return self.demand.is_short(SET, data_centre, self.now_s)


@given('{count:d} gates near that report a demand of {percent:d} %')
def step_demand(context, count, percent):
    context.centres = CentresSubject()
    for _ in range(count):
        context.centres.demand.note(
            SET, 'near', percent, context.centres.now_s
        )


@when('{age_ms:d} ms have passed')
def step_later(context, age_ms):
    context.centres.now_s += age_ms / 1000


@when('the set is removed')
def step_removed(context):
    context.centres.demand.retain(['another'])


@then('the data centre is saturated')
def step_short(context):
    assert context.centres.is_short('near')


@then('the data centre is not saturated')
def step_not_short(context):
    assert not context.centres.is_short('near')


@then('another data centre is not saturated')
def step_other(context):
    assert not context.centres.is_short('elsewhere')

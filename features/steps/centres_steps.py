"""Steps over data centres that are short of room."""

from behave import given
from behave import then
from behave import when

from sedgering import balance

SET = 'calendar'


class CentresSubject:
    """What gates told, and a clock."""

    def __init__(self):
        self.demand = balance.CentreDemand()
        self.now_s = 100.0

    def is_short(self, data_centre: str) -> bool:
        """Whether a data centre has no room to spare now."""
        return self.demand.is_short(SET, data_centre, self.now_s)


@given('{count:d} gates near that tell a demand of {percent:d} %')
def step_told(context, count, percent):
    context.centres = CentresSubject()
    for _ in range(count):
        context.centres.demand.note(
            SET, 'near', percent, context.centres.now_s
        )


@when('{age_ms:d} ms have gone by')
def step_later(context, age_ms):
    context.centres.now_s += age_ms / 1000


@when('the set goes')
def step_gone(context):
    context.centres.demand.retain(['another'])


@then('the data centre is short of room')
def step_short(context):
    assert context.centres.is_short('near')


@then('the data centre is not short of room')
def step_not_short(context):
    assert not context.centres.is_short('near')


@then('another data centre is not short of room')
def step_other(context):
    assert not context.centres.is_short('elsewhere')

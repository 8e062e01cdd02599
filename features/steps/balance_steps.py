"""Steps over uneven targets and uneven demand."""

import asyncio

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import strategies

from sedgering import balance
from sedgering import mesh
from sedgering.mesh import _probe
from sedgering import platform
from sedgering import testing
from sedgering import transport

SET = 'calendar'
ADDRESS = '127.0.0.1'
HEALTH_PATH = '/health'


# The load field.


@given('a target that tells of its load "{field}"')
def step_load_field(context, field):
    context.load = balance.decode_target_load(field)


@given('a target that tells of its load ""')
def step_empty_load_field(context):
    context.load = balance.decode_target_load('')


@then(
    'it is read as {running:d}, {waiting:d} and {slots:d}, '
    'slowness {slowness:d}'
)
def step_load_read(context, running, waiting, slots, slowness):
    expected = balance.TargetLoad(running, waiting, slots, slowness)
    assert context.load == expected, context.load


@then('nothing is read of it')
def step_load_unread(context):
    assert context.load is None, context.load


@then('no load field that is drawn is read out of bounds')
def step_load_bounds(context):
    figures = st.one_of(st.integers().map(str), st.text(max_size=12))
    fields = st.lists(figures, max_size=6).map(','.join)

    @strategies.PROPERTY
    @hypothesis.given(fields)
    def check(field):
        load = balance.decode_target_load(field)
        if load is None:
            return
        told = [int(figure) for figure in field.split(',')]
        assert told[:3] == [load.running, load.waiting, load.slots]
        assert 1 <= load.slots <= balance.MOST_SLOTS
        assert 0 <= load.slowness_percent <= balance.MOST_SLOWNESS_PERCENT

    check()


# The health check.


class HealthSubject:
    """A target behind a socket, and what its daemon asks of it."""

    def __init__(self, field: str):
        self.books = testing.TargetBooks('target-1')
        self.books.load_field = field

    async def probe(self) -> mesh.TargetReport | None:
        """Ask who it is."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: testing.TargetStandin(self.books), ADDRESS, 0
        )
        port = server.sockets[0].getsockname()[1]
        pool = transport.ConnectionPool(ADDRESS, port, 1.0, 1, 1.0)
        try:
            return await _probe.probe_target(
                pool, HEALTH_PATH, platform.HEADERS, SET
            )
        finally:
            pool.close()
            server.close()


@given('a target whose health check tells of its load "{field}"')
def step_health(context, field):
    context.health = HealthSubject(field)


@when('its daemon asks who it is')
def step_probe(context):
    context.report = asyncio.run(context.health.probe())


@then('it is known to have {slots:d} places')
def step_slots(context, slots):
    assert context.report.slots == slots, context.report


@then('it is not known')
def step_unknown(context):
    assert context.report is None, context.report

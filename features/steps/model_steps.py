"""Steps for load patterns that are simulated."""

import pathlib
import tempfile

from behave import given
from behave import then
from behave import when
import msgspec
import yaml

from sedgering.cli import _experiment
from sedgering import exceptions
from sedgering import model

LOADS = pathlib.Path(__file__).parents[2] / 'examples' / 'loads'


@given('the load "{name}" for {length_s:d} s')
def step_load(context, name, length_s):
    load = model.load_pattern(LOADS / f'{name}.yaml')
    context.load = msgspec.structs.replace(load, length_s=length_s)


@when('it is played with seed {seed:d}')
def step_simulate(context, seed):
    context.result = model.play(context.load, seed)


@when('it is played twice with seed {seed:d}')
def step_simulate_twice(context, seed):
    context.results = [model.play(context.load, seed) for _ in range(2)]


@then('both results are the same')
def step_same(context):
    first, second = context.results
    assert first.kinds == second.kinds, (first.kinds, second.kinds)


@then('at least {percent:d} % of "{kind}" end within their goal')
def step_in_goal(context, percent, kind):
    result = context.result.kinds[kind]
    assert result.in_goal * 100 >= percent * result.asked, result


@then('at most {most:d} targets crash')
def step_crashes(context, most):
    assert 0 < context.result.ends <= most, context.result.ends


@then('at most {percent:d} % of "{kind}" are refused at their last attempt')
def step_refused(context, percent, kind):
    result = context.result.kinds[kind]
    assert result.refused * 100 <= percent * result.asked, result


@then('refused attempts take at most {most_ms:d} ms on average')
def step_refusal_delay(context, most_ms):
    kinds = context.result.kinds.values()
    refusal_delay_ms = sum(result.refusal_delay_ms for result in kinds)
    refusals = sum(result.refusals for result in kinds)
    assert refusal_delay_ms <= most_ms * refusals, (refusal_delay_ms, refusals)


@given('a load pattern with a rate of 0')
def step_invalid_rate(context):
    text = (LOADS / 'burst.yaml').read_text()
    directory = tempfile.TemporaryDirectory()
    context.cleanups.append(directory.cleanup)
    context.path = pathlib.Path(directory.name) / 'bad.yaml'
    context.path.write_text(text.replace('rate_per_s: 560', 'rate_per_s: 0'))


@when('an experiment runs it with 2 seeds')
def step_run_experiment(context):
    path = getattr(context, 'path', None)
    if path is None:
        directory = tempfile.TemporaryDirectory()
        context.cleanups.append(directory.cleanup)
        path = pathlib.Path(directory.name) / 'load.yaml'
        path.write_text(yaml.safe_dump(msgspec.to_builtins(context.load)))
    context.error = None
    try:
        context.rows = list(_experiment.run_experiment([path], 2))
    except exceptions.SettingsError as error:
        context.error = error


@then('the row for "{kind}" has shares that add up to 1')
def step_row(context, kind):
    (row,) = context.rows
    assert row.callers == kind, row
    total = row.in_goal_share + row.late_share + row.refused_share
    assert abs(total - 1) < 0.01, row
    lines = list(_experiment.show_experiment(context.rows))
    assert len(lines) == 2 and kind in lines[1], lines


@when('it is loaded')
def step_loaded(context):
    try:
        context.load = model.load_pattern(context.path)
        context.error = None
    except exceptions.SettingsError as error:
        context.error = error


@then('it is refused with code {code:d} and names "{key}"')
def step_error_names_key(context, code, key):
    assert context.error is not None
    assert int(context.error.code) == code, context.error
    assert key in str(context.error), context.error


@then('at most {most:g} calls between hosts are sent for each try')
def step_calls_per_attempt(context, most):
    result = context.result.calls_per_attempt
    assert 0 < result <= most, result

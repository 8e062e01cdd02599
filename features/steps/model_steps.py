"""Steps over load patterns that are played in virtual time."""

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
def step_play(context, seed):
    context.result = model.play(context.load, seed)


@when('it is played twice with seed {seed:d}')
def step_play_twice(context, seed):
    context.results = [model.play(context.load, seed) for _ in range(2)]


@then('both results are the same')
def step_same(context):
    first, second = context.results
    assert first.kinds == second.kinds, (first.kinds, second.kinds)


@then('at least {percent:d} % of "{kind}" end within their goal')
def step_in_goal(context, percent, kind):
    found = context.result.kinds[kind]
    assert found.in_goal * 100 >= percent * found.asked, found


@then('at most {most:d} targets end')
def step_ends(context, most):
    assert 0 < context.result.ends <= most, context.result.ends


@then('at most {percent:d} % of "{kind}" are refused in the end')
def step_refused(context, percent, kind):
    found = context.result.kinds[kind]
    assert found.refused * 100 <= percent * found.asked, found


@then(
    'callers that are refused were held for {most_ms:d} ms at most on average'
)
def step_held(context, most_ms):
    kinds = context.result.kinds.values()
    held_ms = sum(found.held_ms for found in kinds)
    refusals = sum(found.refusals for found in kinds)
    assert held_ms <= most_ms * refusals, (held_ms, refusals)


@given('a load pattern with a rate of 0')
def step_malformed(context):
    text = (LOADS / 'burst.yaml').read_text()
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.path = pathlib.Path(folder.name) / 'bad.yaml'
    context.path.write_text(text.replace('rate_per_s: 560', 'rate_per_s: 0'))


@when('2 seeds of it are compared')
def step_compare(context):
    path = getattr(context, 'path', None)
    if path is None:
        folder = tempfile.TemporaryDirectory()
        context.cleanups.append(folder.cleanup)
        path = pathlib.Path(folder.name) / 'load.yaml'
        path.write_text(yaml.safe_dump(msgspec.to_builtins(context.load)))
    context.error = None
    try:
        context.rows = list(_experiment.run_experiment([path], 2))
    except exceptions.SettingsError as error:
        context.error = error


@then('there is a row for "{kind}" with its shares, which add up to 1')
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
def step_names(context, code, key):
    assert context.error is not None
    assert int(context.error.code) == code, context.error
    assert key in str(context.error), context.error


@then('at most {most:g} calls between hosts are sent for each try')
def step_calls(context, most):
    found = context.result.calls_per_try
    assert 0 < found <= most, found

"""Steps on recorded traces."""

import json
import pathlib
import tempfile

from behave import given
from behave import then

from sedgering import testing

TRACES = pathlib.Path(__file__).parent.parent / 'traces'


@then('all {count:d} traces replay with their stated outcomes')
def step_all(context, count):
    paths = sorted(TRACES.glob('*.jsonl'))
    assert len(paths) == count, len(paths)
    for path in paths:
        try:
            testing.replay_trace(path)
        except testing.OutcomeDiffers as error:
            raise AssertionError(f'{path.name}: {error}') from error


@given('the trace {name} where {step} says {value:d} in {field}')
def step_changed(context, name, step, value, field):
    lines = []
    for line in (TRACES / f'{name}.jsonl').read_text().splitlines():
        if not line.startswith('#'):
            content = json.loads(line)
            if content['do'] == step:
                content[field] = value
            line = json.dumps(content)
        lines.append(line)
    context.path = pathlib.Path(tempfile.mkdtemp()) / 'changed.jsonl'
    context.path.write_text('\n'.join(lines))
    context.step = step


@then('replaying it fails at that step')
def step_fails(context):
    try:
        testing.replay_trace(context.path)
    except testing.OutcomeDiffers as error:
        assert f', {context.step}:' in str(error), str(error)
    else:
        raise AssertionError('the trace was accepted')

"""Steps for days of a site that are played on real processes."""

import itertools
import pathlib
import socket
import tempfile

from behave import given
from behave import then
from behave import when

from sedgering import exceptions
from sedgering import testing
from soak import __main__ as soak_main
from soak import _site_callers
from soak import _world
from soak import days

ROOT = pathlib.Path(__file__).parent.parent.parent
SITES = ROOT / 'examples' / 'sites'
#: Kinds that only the ends of days have.
CLOSING_KINDS = {testing.EventKind.ALL_KILLED, testing.EventKind.POWER_LOSS}
CONTENTS = {
    'no TOML': lambda text: 'name = ',
    'no hosts': lambda text: text.replace('machines', 'others'),
    'an unknown service': lambda text: text.replace(
        'app = "writer"', 'app = "other"'
    ),
    'a share that is text': lambda text: text.replace(
        'share = 0.7', 'share = "0.7"'
    ),
}


def read_site(name):
    """Read a site file of the examples."""
    return testing.read_site(SITES / f'{name}.toml')


@given('the site file "{name}"')
def step_site(context, name):
    context.site = read_site(name)


@given('a day with a "{kind}" entry "{how}"')
def step_day(context, kind, how):
    context.site = read_site('three-hosts')
    event = testing.DayEvent(kind, 1.0, how, count=1)
    day = testing.SiteDay('one', 1, (event,))
    context.plan = testing.make_day_plan(context.site, day, 1)


@given('a day with a "{kind}" entry ""')
def step_plain_day(context, kind):
    step_day(context, kind, '')


@given('a site file with {content}')
def step_content(context, content):
    context.content = CONTENTS[content](
        (SITES / 'three-hosts.toml').read_text()
    )


@then('it is refused with SDG-7001')
def step_unreadable(context):
    with tempfile.TemporaryDirectory(prefix='site-') as folder:
        path = pathlib.Path(folder) / 'site.toml'
        path.write_text(context.content)
        try:
            testing.read_site(path)
        except exceptions.SettingsError as error:
            assert error.code is exceptions.Code.SITE_UNREADABLE, error
        else:
            raise AssertionError('the site file was read')


@then('the day is refused with {error}')
def step_refused(context, error):
    refusals = list(map(str, context.plan.refusals))
    if error == 'nothing':
        assert not refusals, refusals
        return
    code, text = error.split(': ')
    assert len(refusals) == 1, refusals
    assert refusals[0].startswith(code) and text in refusals[0], refusals


@then('its steps are {steps}')
def step_steps(context, steps):
    seen = [step.kind.value for step in context.plan.steps]
    assert seen == ([] if steps == 'none' else steps.split(', ')), seen


@then(
    'it has a sample of each kind that days have, but for those at their ends'
)
def step_samples(context):
    kinds = {event.kind for event in context.site.samples}
    expected = {
        kind.value for kind in testing.EventKind if kind not in CLOSING_KINDS
    }
    assert kinds == expected, kinds ^ expected


@then(
    'each of them gives steps that the soak can take, or an error that names '
    'it'
)
def step_all_played(context):
    kinds = set()
    for event in context.site.samples:
        day = testing.make_single_day(context.site, event.kind)
        plan = testing.make_day_plan(context.site, day, 1)
        names = [event.kind in str(error) for error in plan.refusals]
        assert bool(plan.steps) != (names == [True]), event
        for step in plan.steps:
            assert step.kind in _world._ACTIONS, step
            kinds.add(step.kind)
    # No other plan has these.
    assert kinds >= testing.DAY_KINDS, testing.DAY_KINDS - kinds


@then(
    '{seeds:d} seeds give reproducible steps of a mixed day that differ from '
    'each other'
)
def step_reproducible(context, seeds):
    def make_plan(seed):
        day = testing.make_mixed_day(context.site, seed)
        return testing.make_day_plan(context.site, day, seed).steps

    plans = [make_plan(seed) for seed in range(seeds)]
    assert plans == [make_plan(seed) for seed in range(seeds)]
    for one, other in itertools.combinations(plans, 2):
        assert one != other


@then(
    'scale_in, replace_with_reuse and scale_out leave a target of each set '
    'alone in {seeds:d} seeds'
)
def step_targets_left(context, seeds):
    kinds = ('scale_in', 'replace_with_reuse', 'scale_out')
    events = tuple(testing.DayEvent(kind, 1.0, share=1.0) for kind in kinds)
    day = testing.SiteDay('targets', 1, events * 3)
    for seed in range(seeds):
        plan = testing.make_day_plan(context.site, day, seed)
        gone = {step.host for step in plan.steps}
        left = {
            host.target_set
            for number, host in enumerate(context.site.hosts)
            if number not in gone
        }
        assert left == {'reader', 'writer'}, (seed, plan)


@then('its hosts are "{hosts}"')
def step_hosts(context, hosts):
    seen = [
        f'{host.data_centre} {host.target_set} {host.slots} '
        f'{host.rate_per_s:g}'
        for host in context.site.hosts
    ]
    assert ', '.join(seen) == hosts, seen


@then(
    'docs/soak.md tells how each kind of entry is played, or that it is '
    'refused'
)
def step_page(context):
    rows = {}
    for line in (ROOT / 'docs' / 'soak.md').read_text().splitlines():
        cells = [cell.strip() for cell in line.split('|')]
        if line.startswith('| `'):
            rows.update(
                (name.strip(' `'), line) for name in cells[1].split(',')
            )
    for kind in testing.EventKind:
        is_played = kind in testing.PLAYED_WORDS
        assert kind.value in rows, kind
        assert ('| refused' in rows[kind.value]) != is_played, kind


@when('a caller leaves a connection with {count:d} unanswered requests')
def step_leave(context, count):
    class ListedDaemon:
        name = 'host-0'
        address = '127.0.0.1'

    site = read_site('three-hosts')
    caller = _site_callers.SiteCaller(
        'caller', ListedDaemon, 1, site.classes, 1.0
    )
    caller.patience_s = 0.05
    ours, theirs = socket.socketpair()
    caller._socket, caller._stream = ours, ours.makefile('rb')
    context.records = [
        caller._make_class_record(number, site.classes[0])
        for number in range(count)
    ]
    caller._exchange(context.records)
    theirs.close()


@then('both count as left by their caller')
def step_left(context):
    left = [record.has_left for record in context.records]
    assert left == [True, True], left


@when('the day "{name}" of "{site}" is played')
def step_play(context, name, site):
    settings = days.make_day_settings(read_site(site), name, 1, rate_share=1.0)
    with tempfile.TemporaryDirectory(prefix='soak-') as folder:
        context.violations, summary = soak_main.run_seed(
            pathlib.Path(folder), settings
        )
    print(summary)

"""Steps over the days that the bench also plays."""

import pathlib
import tomllib

from behave import then

DAYS = pathlib.Path(__file__).parents[2] / 'deploy' / 'days'
#: Of a day; "closing" is the only one that may be left out.
DAY_FIELDS = {'name', 'seed', 'plan', 'faults'}
ENTRY_FIELDS = {
    'at': float,
    'kind': str,
    'for_s': float,
    'gap_s': float,
    'share': float,
    'count': int,
    'x': float,
    'how': str,
    'on': str,
    'zone': str,
    'service': str,
    'class': str,
}
#: What stands for the first zone, service and kind of request of a site.
PLACES = {'zone': '@z0', 'service': '@s0', 'class': '@c0'}
KINDS = {
    'plan': {
        'big_config',
        'config_change',
        'config_storm',
        'hup',
        'release',
        'roll_term',
        'scale_in',
        'scale_out',
    },
    'faults': {
        'answer_lost',
        'burst',
        'clock_step',
        'core_cut',
        'garble',
        'give_up',
        'idle_race',
        'lossy',
        'node_cut',
        'node_kill',
        'node_slow',
        'platform_compact',
        'platform_down',
        'platform_lost',
        'platform_slow',
        'poison',
        'replace_with_reuse',
        'retry_abuse',
        'shift',
        'srv_crash',
        'srv_flap',
        'srv_grey',
        'srv_lying_health',
        'srv_slow',
    },
}


def read_days() -> dict[str, dict]:
    """Return the days by the names of their files."""
    return {
        path.stem: tomllib.loads(path.read_text())
        for path in sorted(DAYS.glob('*'))
    }


def list_entries() -> list[tuple[str, dict]]:
    """Return all entries with the list that they stand in."""
    return [
        (place, entry)
        for day in read_days().values()
        for place in KINDS
        for entry in day[place]
    ]


@then('the days are "{names}"')
def step_names(context, names):
    assert list(read_days()) == names.split(', '), list(read_days())


@then(
    'each day is named as its file, has a seed, plan and faults, and no more'
)
def step_fields(context):
    for name, day in read_days().items():
        assert set(day) - {'closing'} == DAY_FIELDS, (name, set(day))
        assert day['name'] == name
        assert type(day['seed']) is int
        assert day['plan'] and day['faults'], name


@then('each entry has a known kind, in its list, and known fields only')
def step_entries(context):
    for place, entry in list_entries():
        assert entry['kind'] in KINDS[place], entry
        for field, value in entry.items():
            assert type(value) is ENTRY_FIELDS[field], (field, entry)


@then('each time is within {longest_s:d} s, each share above 0 and at most 1')
def step_times(context, longest_s):
    for _place, entry in list_entries():
        assert 0 <= entry['at'] <= longest_s, entry
        assert 0 < entry.get('share', 1.0) <= 1, entry


@then('zones, services and kinds of requests are the first ones of a site')
def step_places(context):
    for _place, entry in list_entries():
        for field, first in PLACES.items():
            assert entry.get(field, first) == first, entry


@then('"{name}" has the kinds "{kinds}"')
def step_kinds(context, name, kinds):
    day = read_days()[name]
    found = {entry['kind'] for place in KINDS for entry in day[place]}
    assert set(kinds.split(', ')) <= found, found

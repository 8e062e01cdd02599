"""Steps for the simulated days that the test bench runs."""

import pathlib
import tomllib

from behave import then

DAYS = pathlib.Path(__file__).parents[2] / 'deploy' / 'days'
#: Required keys of a day; "closing" is optional.
DAY_KEYS = {'name', 'seed', 'plan', 'faults'}
#: Types of the fields that an entry may have.
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
#: Placeholders for the first zone, service and request class of a site.
PLACEHOLDERS = {'zone': '@z0', 'service': '@s0', 'class': '@c0'}
#: Kinds of entries that the bench supports, by the list they belong to.
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
    """Read all days, by file name without suffix."""
    return {
        path.stem: tomllib.loads(path.read_text())
        for path in sorted(DAYS.glob('*'))
    }


def list_entries() -> list[tuple[str, dict]]:
    """List the entries of all days, each with the name of its list."""
    return [
        (list_name, entry)
        for day in read_days().values()
        for list_name in KINDS
        for entry in day[list_name]
    ]


@then('the days are "{names}"')
def step_names(context, names):
    assert list(read_days()) == names.split(', '), list(read_days())


@then(
    'each day has the name of its file, a seed, a plan, faults and no other '
    'key'
)
def step_fields(context):
    for name, day in read_days().items():
        assert set(day) - {'closing'} == DAY_KEYS, (name, set(day))
        assert day['name'] == name
        assert type(day['seed']) is int
        assert day['plan'] and day['faults'], name


@then('each entry has a kind that its list allows and no unknown field')
def step_entries(context):
    for list_name, entry in list_entries():
        assert entry['kind'] in KINDS[list_name], entry
        for field, value in entry.items():
            assert type(value) is ENTRY_FIELDS[field], (field, entry)


@then('each time is within {longest_s:d} s, each share above 0 and at most 1')
def step_times(context, longest_s):
    for _list_name, entry in list_entries():
        assert 0 <= entry['at'] <= longest_s, entry
        assert 0 < entry.get('share', 1.0) <= 1, entry


@then(
    'zones, services and request classes are placeholders for the first of a '
    'site'
)
def step_placeholders(context):
    for _list_name, entry in list_entries():
        for field, placeholder in PLACEHOLDERS.items():
            assert entry.get(field, placeholder) == placeholder, entry


@then('"{name}" has the kinds "{kinds}"')
def step_kinds(context, name, kinds):
    day = read_days()[name]
    found = {entry['kind'] for list_name in KINDS for entry in day[list_name]}
    assert set(kinds.split(', ')) <= found, found

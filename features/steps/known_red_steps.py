"""Steps for the list of known failures."""

import pathlib
import sys
import tempfile

from behave import given
from behave import then

SCRIPTS = pathlib.Path(__file__).parents[2] / 'scripts'
sys.path.append(str(SCRIPTS))

import known_red  # noqa: E402


class KnownRedList:
    """A list of known failures in a folder of its own."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory()
        self.root = pathlib.Path(self.folder.name)

    def write(self, lines: list[str]) -> None:
        """Write the list."""
        (self.root / 'KNOWN-RED.txt').write_text('\n'.join(lines))

    def read(self) -> dict:
        """Read the list."""
        return known_red.read_entries(self.root / 'KNOWN-RED.txt')

    def is_refused(self, lines: list[str]) -> bool:
        """Return whether a list of these lines is refused."""
        self.write(lines)
        try:
            self.read()
        except ValueError:
            return True
        return False


def make_line(test: str) -> str:
    """Make a complete entry."""
    return f'{test} | run {test.partition(":")[0]} | late | issue 7'


def make_lines(scenarios: int, scripts: int) -> list[str]:
    """Make complete entries of both kinds."""
    return [
        *(make_line(f'features/a.feature: {n}') for n in range(scenarios)),
        *(make_line(f'review/{n}/run.sh') for n in range(scripts)),
    ]


@then('the entry "{line}" is {result}')
def step_entry(context, line, result):
    assert KnownRedList().is_refused([line]) is (result == 'refused'), line


@then('{scenarios:d} scenarios and {scripts:d} scripts are {result}')
def step_counts(context, scenarios, scripts, result):
    lines = make_lines(scenarios, scripts)
    assert KnownRedList().is_refused(lines) is (result == 'refused')


@then('two entries of one test are refused')
def step_twice(context):
    assert KnownRedList().is_refused(2 * make_lines(1, 0))


@given('entries of a scenario, a lost scenario, a script and a lost script')
def step_entries(context):
    context.known = KnownRedList()
    tests = ('features/a.feature: One', 'features/a.feature: Lost')
    scripts = ('run.sh', 'lost.sh')
    context.known.write([make_line(test) for test in (*tests, *scripts)])
    (context.known.root / 'run.sh').touch()


@then('the lost scenario and the lost script are stale, and nothing else')
def step_stale(context):
    stale = known_red.list_stale(
        context.known.read(), {'features/a.feature: One'}, context.known.root
    )
    assert stale == ['features/a.feature: Lost', 'lost.sh'], stale

"""Steps for the report on the burn rate of the error budget."""

import pathlib
import tempfile

from behave import given
from behave import then
from behave import when

from sedgering.cli import _burn
from sedgering import exceptions
from sedgering import observability

HOSTS = ('hall-1', 'hall-2')
GOAL_MS = 400
OBJECTIVE = 0.99


class BurnFixture:
    """Request counters of two hosts, scraped into two folders."""

    def __init__(self):
        self.temporary = tempfile.TemporaryDirectory(prefix='burn-')
        self.folder = pathlib.Path(self.temporary.name)
        self.counts = {host: observability.RequestCounts() for host in HOSTS}
        self.goal_ms = GOAL_MS
        self.objective = OBJECTIVE
        self.scrape('before')

    def scrape(self, name: str) -> None:
        """Write the current metrics of both hosts."""
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        for host, counts in self.counts.items():
            (folder / f'{host}.txt').write_bytes(counts.render({}))

    def answer(self, host, count, elapsed_ms, status='200'):
        """Count `count` answers that took `elapsed_ms` each."""
        for _ in range(count):
            self.counts[host].count('answered', status)
            self.counts[host].observe(elapsed_ms / 1000)

    def report(self) -> _burn.BurnReport:
        """Make the report on the time between the scrapes."""
        return _burn.make_burn_report(
            _burn.read_scrapes(self.folder / 'before'),
            _burn.read_scrapes(self.folder / 'after'),
            self.goal_ms,
            self.objective,
        )


@given('scrapes of two hosts before and after')
def step_scrapes(context):
    context.burn = BurnFixture()
    context.cleanups.append(context.burn.temporary.cleanup)


@when(
    '"{host}" has answered {fast:d} requests in 100 ms and {slow:d} in 1000 ms'
)
def step_answered(context, host, fast, slow):
    context.burn.answer(host, fast, 100)
    context.burn.answer(host, slow, 1000)


@when('"{host}" had answered {count:d} requests in 1000 ms before')
def step_answered_before(context, host, count):
    context.burn.answer(host, count, 1000)
    context.burn.scrape('before')


@when('"{host}" is restarted')
def step_started(context, host):
    context.burn.counts[host] = observability.RequestCounts()


@when('"{host}" has refused {count:d} requests with code {code:d}')
def step_refused(context, host, count, code):
    for _ in range(count):
        context.burn.counts[host].count('refused', str(code))


@when('"{host}" has forwarded {count:d} failures of targets')
def step_failed(context, host, count):
    context.burn.answer(host, count, 100, '500')


@then(
    'of {total:d} requests {good:d} are good, {late:d} late, '
    '{failed:d} failed and {refused:d} refused'
)
def step_report(context, total, good, late, failed, refused):
    context.burn.scrape('after')
    report = context.burn.report()
    found = (report.good, report.late, report.failed, report.refused)
    assert [round(value) for value in found] == [good, late, failed, refused]
    assert round(report.total) == total


@then('the burn rate is {rate:g}')
def step_rate(context, rate):
    assert abs(context.burn.report().burn_rate - rate) < 0.1


@then('the report names SDG-{code:d}')
def step_names(context, code):
    lines = list(_burn.format_burn_report(context.burn.report()))
    assert any(f'SDG-{code}' in line for line in lines), lines


@when('the report is made with {fault}')
def step_fault(context, fault):
    fixture = context.burn
    fixture.answer('hall-1', 1, 100)
    fixture.scrape('after')
    if fault == 'a goal of 123 ms':
        fixture.goal_ms = 123
    elif fault == 'an objective of 1':
        fixture.objective = 1.0
    elif fault == 'an empty folder':
        for path in (fixture.folder / 'after').iterdir():
            path.unlink()
    else:
        (fixture.folder / 'after' / 'hall-1.txt').write_text('no { text')


@then('it is refused as an invalid setting with code {code:d}')
def step_refused_setting(context, code):
    try:
        context.burn.report()
    except exceptions.SettingsError as error:
        assert int(error.code) == code, error
        return
    raise AssertionError('the input was accepted')

"""Report on service-level burn from two scrapes of the daemons' metrics."""

from collections.abc import Iterator
import pathlib

import msgspec
from prometheus_client import parser

from sedgering import exceptions

__all__ = ['BurnReport', 'make_burn_report', 'read_scrapes', 'show_report']

REQUESTS = 'sedgering_requests_total'
BUCKETS = 'sedgering_answer_seconds_bucket'
#: Statuses from which on an answer of a target counts as failed.
FAILED_FROM = 500
MS_PER_S = 1000

#: Value by sample name and labels.
Samples = dict[tuple[str, tuple], float]


class BurnReport(msgspec.Struct):
    """How requests ended between two scrapes.

    Parameters
    ----------
    objective : float
        Share of requests that are to be good, 0 to 1.
    good : float
        Answered without failure within the goal.  Latencies are counted
        over all answers, so that failures are taken as spread alike.
    late, failed, refused : float
        Answered after the goal, answered with a failure of the target's,
        and answered by a daemon itself.
    refusals : dict of str to float
        Refused requests by code.
    """

    objective: float
    good: float = 0.0
    late: float = 0.0
    failed: float = 0.0
    refused: float = 0.0
    refusals: dict[str, float] = msgspec.field(default_factory=dict)

    @property
    def total(self) -> float:
        """All requests."""
        return self.good + self.late + self.failed + self.refused

    @property
    def bad_share(self) -> float:
        """Share of requests that were not good; 0 without requests."""
        return 1 - self.good / self.total if self.total else 0.0

    @property
    def burn_rate(self) -> float:
        """Bad share as a multiple of what the objective allows."""
        return self.bad_share / (1 - self.objective)


def read_scrapes(folder: pathlib.Path) -> dict[str, Samples]:
    """Read one scrape of each host: files named by host.

    Raises
    ------
    SettingsError
        When there is none, or one is no text exposition.
    """
    scrapes = {}
    for path in sorted(folder.glob('*.txt')):
        try:
            scrapes[path.stem] = _parse(path.read_text())
        except (OSError, ValueError) as error:
            raise exceptions.SettingsError(
                exceptions.Code.SETTINGS_UNREADABLE, f'{path}: {error}'
            ) from error
    if not scrapes:
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_UNREADABLE, f'{folder}: no *.txt'
        )
    return scrapes


def make_burn_report(
    before: dict[str, Samples],
    after: dict[str, Samples],
    goal_ms: int,
    objective: float,
) -> BurnReport:
    """Make the report of what happened between two scrapes.

    Parameters
    ----------
    before, after : dict
        Samples of each host.  A host that is missing before, or whose
        counters went back, has started since.
    goal_ms : int
        Latency goal; one of the bounds of the histogram.
    objective : float
        Share of requests that are to be good, 0 to 1.

    Raises
    ------
    SettingsError
        When the goal is no bound of the histogram, or the objective is
        not between 0 and 1.
    """
    if not 0 <= objective < 1:
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_RANGE, f'objective {objective}'
        )
    report = BurnReport(objective)
    for host, samples in after.items():
        grown = _subtract(samples, before.get(host, {}))
        _add_host(report, grown, goal_ms)
    return report


def show_report(report: BurnReport) -> Iterator[str]:
    """Make the lines that operators read."""
    yield (
        f'{report.total:.0f} requests: {report.good:.0f} good, '
        f'{report.late:.0f} late, {report.failed:.0f} failed, '
        f'{report.refused:.0f} refused'
    )
    yield (
        f'{100 * report.bad_share:.2f} % bad, objective '
        f'{100 * (1 - report.objective):.2f} %: burn rate '
        f'{report.burn_rate:.1f}'
    )
    texts = {str(int(code)): code.text for code in exceptions.Code}
    for code, count in sorted(report.refusals.items()):
        yield f'    SDG-{code} {count:.0f}: {texts.get(code, "unknown")}'


def _parse(text: str) -> Samples:
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


def _subtract(after: Samples, before: Samples) -> Samples:
    """Return the growth; from zero where the daemon was started anew."""
    is_new = any(
        value < before.get(key, 0.0)
        for key, value in after.items()
        if key[0] in (REQUESTS, BUCKETS)
    )
    if is_new:
        return after
    return {key: value - before.get(key, 0.0) for key, value in after.items()}


def _add_host(report: BurnReport, grown: Samples, goal_ms: int) -> None:
    answered = 0.0
    for (name, labels), value in grown.items():
        fields = dict(labels)
        if name != REQUESTS:
            continue
        if fields['kind'] == 'refused':
            report.refused += value
            code = fields['label']
            report.refusals[code] = report.refusals.get(code, 0.0) + value
        elif fields['kind'] == 'answered':
            if int(fields['label']) >= FAILED_FROM:
                report.failed += value
            else:
                answered += value
    share = _find_share_in_time(grown, goal_ms)
    report.good += answered * share
    report.late += answered * (1 - share)


def _find_share_in_time(grown: Samples, goal_ms: int) -> float:
    buckets = {
        float(dict(labels)['le']): value
        for (name, labels), value in grown.items()
        if name == BUCKETS
    }
    goal_s = goal_ms / MS_PER_S
    if goal_s not in buckets:
        bounds = ', '.join(
            f'{bound * MS_PER_S:.0f}' for bound in sorted(buckets)[:-1]
        )
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_RANGE,
            f'goal {goal_ms} ms; the histogram has {bounds}',
        )
    total = buckets[float('inf')]
    return buckets[goal_s] / total if total else 1.0

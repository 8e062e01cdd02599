"""Burn rate of the error budget between two scrapes of daemon metrics."""

from collections.abc import Iterator
import pathlib

import msgspec
from prometheus_client import parser

from sedgering import exceptions

__all__ = [
    'BurnReport',
    'format_burn_report',
    'make_burn_report',
    'read_scrapes',
]

REQUESTS_METRIC = 'sedgering_requests_total'
LATENCY_BUCKETS_METRIC = 'sedgering_answer_seconds_bucket'
#: Lowest HTTP status that counts as a failure of the target.
MIN_FAILURE_STATUS = 500
MS_PER_S = 1000

#: Values of samples by name and sorted labels.
Samples = dict[tuple[str, tuple], float]


class BurnReport(msgspec.Struct):
    """Number of requests by outcome between two scrapes.

    Parameters
    ----------
    objective : float
        Service-level objective: share of requests that must be good, 0 to 1.
    good : float
        Requests answered without a failure within the latency goal.  The
        latency histogram covers all answers, so failures are assumed to have
        the same latency distribution as other answers.
    late, failed, refused : float
        Requests answered after the latency goal, answered with a failure by
        the target, and refused by a daemon.
    refusals : dict of str to float
        Refused requests by error code.
    """

    objective: float
    good: float = 0.0
    late: float = 0.0
    failed: float = 0.0
    refused: float = 0.0
    refusals: dict[str, float] = msgspec.field(default_factory=dict)

    @property
    def total(self) -> float:
        """Number of requests."""
        return self.good + self.late + self.failed + self.refused

    @property
    def bad_share(self) -> float:
        """Share of requests that were not good; 0 if there were none."""
        return 1 - self.good / self.total if self.total else 0.0

    @property
    def burn_rate(self) -> float:
        """Bad share as a multiple of the share that the objective allows."""
        return self.bad_share / (1 - self.objective)


def read_scrapes(folder: pathlib.Path) -> dict[str, Samples]:
    """Read one scrape of each host from the files ``HOST.txt`` of a folder.

    Raises
    ------
    SettingsError
        If there are no such files, or one is not in the Prometheus text
        format.
    """
    scrapes = {}
    for path in sorted(folder.glob('*.txt')):
        try:
            scrapes[path.stem] = _parse_scrape(path.read_text())
        except (OSError, ValueError) as error:
            raise exceptions.SettingsError(
                exceptions.Code.SETTINGS_UNREADABLE, f'{path}: {error}'
            ) from error
    if not scrapes:
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_UNREADABLE,
            f'{folder}: contains no *.txt files',
        )
    return scrapes


def make_burn_report(
    before: dict[str, Samples],
    after: dict[str, Samples],
    goal_ms: int,
    objective: float,
) -> BurnReport:
    """Make the report on the time between two scrapes.

    Parameters
    ----------
    before, after : dict
        Samples of each host.  A host that is missing in `before`, or whose
        counters have decreased, was started between the scrapes.
    goal_ms : int
        Latency goal in milliseconds; one of the bucket bounds of the
        histogram.
    objective : float
        Share of requests that must be good: at least 0, less than 1.

    Raises
    ------
    SettingsError
        If the goal is not a bucket bound of the histogram, or the objective
        is out of range.
    """
    if not 0 <= objective < 1:
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_RANGE,
            f'objective {objective} is not in [0, 1)',
        )
    report = BurnReport(objective)
    for host, samples in after.items():
        increase = _compute_increase(samples, before.get(host, {}))
        _add_host_counts(report, increase, goal_ms)
    return report


def format_burn_report(report: BurnReport) -> Iterator[str]:
    """Format a report as lines of text."""
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


def _parse_scrape(text: str) -> Samples:
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


def _compute_increase(after: Samples, before: Samples) -> Samples:
    """Return the increase of each sample; a restart resets counters to 0."""
    is_restarted = any(
        value < before.get(key, 0.0)
        for key, value in after.items()
        if key[0] in (REQUESTS_METRIC, LATENCY_BUCKETS_METRIC)
    )
    if is_restarted:
        return after
    return {key: value - before.get(key, 0.0) for key, value in after.items()}


def _add_host_counts(
    report: BurnReport, increase: Samples, goal_ms: int
) -> None:
    answered = 0.0
    for (name, labels), value in increase.items():
        fields = dict(labels)
        if name != REQUESTS_METRIC:
            continue
        if fields['kind'] == 'refused':
            report.refused += value
            code = fields['label']
            report.refusals[code] = report.refusals.get(code, 0.0) + value
        elif fields['kind'] == 'answered':
            if int(fields['label']) >= MIN_FAILURE_STATUS:
                report.failed += value
            else:
                answered += value
    share = _compute_share_within_goal(increase, goal_ms)
    report.good += answered * share
    report.late += answered * (1 - share)


def _compute_share_within_goal(increase: Samples, goal_ms: int) -> float:
    buckets = {
        float(dict(labels)['le']): value
        for (name, labels), value in increase.items()
        if name == LATENCY_BUCKETS_METRIC
    }
    goal_s = goal_ms / MS_PER_S
    if goal_s not in buckets:
        bounds = ', '.join(
            f'{bound * MS_PER_S:.0f}' for bound in sorted(buckets)[:-1]
        )
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_RANGE,
            f'goal {goal_ms} ms is not one of the histogram bounds {bounds}',
        )
    total = buckets[float('inf')]
    return buckets[goal_s] / total if total else 1.0

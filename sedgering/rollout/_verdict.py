"""Decides whether a new version is as good as the old one.

Two criteria are tested, for all calls and for each route: the share of calls
that fail, and that of calls that fail or take several times the median latency
of their route at the old version.  Both versions are under the same load from
the same callers at the same time, so that a lossy link or a burst, which
affects both, counts against neither.

While calls still come, each test errs with the probabilities of
`_sequential`.  When no more time is left, see :func:`choose_late_verdict`.
"""

from collections.abc import Iterable

import msgspec

from sedgering import base
from sedgering.rollout import _criteria
from sedgering.rollout import _evidence
from sedgering.rollout import _sequential

__all__ = [
    'choose_due_verdict',
    'choose_late_verdict',
    'choose_move_verdict',
    'choose_verdict',
    'describe_open_tests',
    'is_clearly_failing',
    'list_unshown_routes',
]

#: A call is slow if it takes more than four times (8 buckets) the median of
#: its route.  If work times are lognormal with a log standard deviation of
#: 0.8, 4 % of the calls are slow at equal speed, and 19 % at half the speed.
#: If half of the calls of a version are eight times slower, 32 to 45 % are
#: slow.
SLOW_BUCKETS = 8
#: Number of calls of the old version on a route from which on their median is
#: used.  Before, an upper bound of it with this confidence takes its place.
MEDIAN_RUNS = 16
MEDIAN_CONFIDENCE = 0.9
#: Failures at one target, and their share of its calls, at which its daemon
#: stops the trial on its own.  The row with the verdict would reach the daemon
#: only a second later.
LOCAL_STOP_FAILURES = 8
LOCAL_STOP_SHARE = 0.3
#: Tests that are described in a log line.
DESCRIBED_TESTS_LIMIT = 3

_Verdict = _sequential.Verdict


class _Criterion(msgspec.Struct, frozen=True):
    """What counts as bad, and how much of it is accepted.

    Parameters
    ----------
    name : str
        Name in logs.
    in_total : Tolerance
        Tolerance in total.
    on_route : Tolerance
        Tolerance on a single route.
    gross : Tolerance
        Tolerance up to about half of the calls on a route, which few calls
        can tell.
    """

    name: str
    in_total: _sequential.Tolerance
    on_route: _sequential.Tolerance
    gross: _sequential.Tolerance


#: Failures do not depend on the speed of a target.  On a single route, fewer
#: calls must suffice.
FAILED = _Criterion(
    'failed',
    _sequential.Tolerance(0.03, 0.08, 2.0),
    _sequential.Tolerance(0.03, 0.18, 2.0),
    _sequential.Tolerance(0.03, 0.36, 2.0),
)
#: The new version has few targets, and some targets are slower than others.
SLOW_OR_FAILED = _Criterion(
    'slow or failed',
    _sequential.Tolerance(0.08, 0.2),
    _sequential.Tolerance(0.08, 0.2),
    _sequential.Tolerance(0.08, 0.4),
)


class _Tally(msgspec.Struct, frozen=True):
    """Calls of one version by route, and those that are bad."""

    failed: dict[base.RouteName, _sequential.CallCounts]
    #: Includes calls that are slow; see `SLOW_BUCKETS`.  Without any on routes
    #: on which a slow call cannot be told.
    slow_or_failed: dict[base.RouteName, _sequential.CallCounts]


def is_clearly_failing(evidence: _evidence.Evidence) -> bool:
    """Whether the calls to one target suffice to stop the trial there."""
    failures = evidence.failures
    is_many = failures >= LOCAL_STOP_FAILURES
    return is_many and failures >= LOCAL_STOP_SHARE * evidence.runs


def choose_verdict(
    new: list[_evidence.Evidence], old: list[_evidence.Evidence]
) -> _Verdict:
    """Choose the verdict on a new version by comparing it with the old one.

    A version is good when all tests show it: in total and on each route that
    either version has run.  In total, only routes count on which the old
    version has run enough calls: without these, a slow call cannot be told.

    With several targets, the worst one is left out: a single target that is
    slow or fails may have a cause unrelated to its version.  If that leaves
    the verdict open and the version is good with the worst target included,
    it is good, as that target may have run nearly all of the calls.

    Parameters
    ----------
    new, old : list of Evidence
        One item for each target of the version.
    """
    verdicts = {test.verdict for test in _make_tests(new, old)}
    for verdict in (_Verdict.BAD, _Verdict.OPEN):
        if verdict in verdicts:
            return verdict
    return _Verdict.GOOD


def choose_due_verdict(
    new: list[_evidence.Evidence], old: list[_evidence.Evidence]
) -> _Verdict:
    """Choose the verdict once the trial may end.

    As :func:`choose_verdict`, but on a single route odds of 20 to 1 for the
    accepted share suffice; where calls are too few to show these, odds of 5
    to 1 against gross harm do.  Calls on a seldom used route come
    slowly, and those that follow during the move still count.

    Parameters
    ----------
    new, old : list of Evidence
        One item for each target of the version.
    """
    tests = _make_tests(new, old)
    if any(test.verdict is _Verdict.BAD for test in tests):
        return _Verdict.BAD
    is_good = all(test.may_end for test in tests)
    return _Verdict.GOOD if is_good else _Verdict.OPEN


def choose_late_verdict(
    new: list[_evidence.Evidence], old: list[_evidence.Evidence]
) -> _Verdict:
    """Choose the verdict when there is no time for more calls.

    The version as a whole is good only by odds of 20 to 1 for the accepted
    share.  A route with enough calls to show a good version must be more
    likely good than bad.  Routes with fewer calls leave the verdict to the
    total, unless the odds are 20 to 1 for harm or for gross harm at more than
    one target; they are told by :func:`list_unshown_routes`, and the calls
    that follow during the move still count.  A route on which only one target
    is bad does not speak against the version if the odds without it are 5 to
    1.

    Parameters
    ----------
    new, old : list of Evidence
        One item for each target of the version.

    Returns
    -------
    Verdict
        Good or bad.
    """
    verdict = choose_verdict(new, old)
    if verdict is not _Verdict.OPEN:
        return verdict
    tests = _make_tests(new, old)
    is_good = all(test.is_good_late for test in tests)
    return _Verdict.GOOD if is_good else _Verdict.BAD


def choose_move_verdict(
    new: list[_evidence.Evidence], old: list[_evidence.Evidence]
) -> _Verdict:
    """Choose the verdict while all calls go to the new version.

    The old version has no calls of the same time any more; the shares that it
    had until then are the ones to compare with.  A version may show harm only
    under all calls.  On routes that were not shown, odds of 20 to 1 for gross
    harm suffice, as at the end of the trial.

    Parameters
    ----------
    new, old : list of Evidence
        One item for each target of the version.
    """
    tests = _make_tests(new, old)
    is_bad = any(
        test.verdict is _Verdict.BAD
        or (not test.is_shown and test.is_gross_harm_likely)
        for test in tests
    )
    return _Verdict.BAD if is_bad else _Verdict.OPEN


def list_unshown_routes(
    new: list[_evidence.Evidence], old: list[_evidence.Evidence]
) -> list[base.RouteName]:
    """Return the routes of which too few calls have come to be judged.

    Parameters
    ----------
    new, old : list of Evidence
        One item for each target of the version.
    """
    return sorted(
        {
            test.route
            for test in _make_tests(new, old)
            if test.route is not None and not test.is_shown
        }
    )


def describe_open_tests(
    new: list[_evidence.Evidence], old: list[_evidence.Evidence]
) -> str:
    """Describe for logs which tests speak for a version least.

    Of each one, the log ratio of all targets is told, and that without the
    worst target.
    """
    tests = [
        test
        for test in _make_tests(new, old)
        if test.verdict is not _Verdict.GOOD
    ]
    tests.sort(key=lambda test: -test.whole.log_ratio)
    return ', '.join(
        f'{test.name} {test.whole.log_ratio:.1f}/{test.rest.log_ratio:.1f}'
        for test in tests[:DESCRIBED_TESTS_LIMIT]
    )


def _make_tests(
    new: list[_evidence.Evidence], old: list[_evidence.Evidence]
) -> list[_criteria.Test]:
    old_routes = _evidence.merge_routes(old)
    slow_limits = _find_slow_limits(old_routes)
    old_tally = _tally(old_routes, slow_limits)
    whole = _tally(_evidence.merge_routes(new), slow_limits)
    rest_targets = _leave_out_worst_target(new, slow_limits)
    rest = _tally(_evidence.merge_routes(rest_targets), slow_limits)
    routes = sorted(old_tally.failed.keys() | whole.failed.keys())
    comparable = [
        route for route in slow_limits if old_routes[route].runs >= MEDIAN_RUNS
    ]
    return [
        *_make_criterion_tests(
            SLOW_OR_FAILED,
            old_tally.slow_or_failed,
            whole.slow_or_failed,
            rest.slow_or_failed,
            routes,
            comparable,
        ),
        *_make_criterion_tests(
            FAILED,
            old_tally.failed,
            whole.failed,
            rest.failed,
            routes,
            comparable,
        ),
    ]


def _make_criterion_tests(
    criterion: _Criterion,
    old: dict[base.RouteName, _sequential.CallCounts],
    whole: dict[base.RouteName, _sequential.CallCounts],
    rest: dict[base.RouteName, _sequential.CallCounts],
    routes: Iterable[base.RouteName],
    comparable: Iterable[base.RouteName],
) -> list[_criteria.Test]:
    """Make the tests of one criterion, in total and for each route.

    Parameters
    ----------
    criterion : _Criterion
        Name and tolerances.
    old, whole, rest : dict
        Calls by route: of the old version, of the new one, and of the new one
        without its worst target.
    routes : iterable of str
        Routes that either version has run.
    comparable : iterable of str
        Routes that count in total for a version to be good.
    """
    none = _sequential.CallCounts()
    old_total = _sum_counts(old.values())
    set_share = old_total.bad / max(1, old_total.runs)
    total_share = _sequential.estimate_share(old_total, set_share)
    tests: list[_criteria.Test] = []
    for names, title in (
        (routes, 'in total'),
        (comparable, 'where comparable'),
    ):
        results = (
            _sequential.run_sequential_test(
                _sum_counts(counts.get(route, none) for route in names),
                total_share,
                criterion.in_total,
            )
            for counts in (whole, rest)
        )
        tests.append(
            _criteria.TotalTest(f'{criterion.name} {title}', *results)
        )
    for route in routes:
        share = _sequential.estimate_share(old.get(route, none), set_share)
        results = (
            _sequential.run_sequential_test(
                counts.get(route, none), share, tolerance, len(routes)
            )
            for counts, tolerance in (
                (whole, criterion.on_route),
                (rest, criterion.on_route),
                (whole, criterion.gross),
            )
        )
        tests.append(_criteria.RouteTest(criterion.name, route, *results))
    return tests


def _find_slow_limits(
    routes: dict[base.RouteName, _evidence.RouteEvidence],
) -> dict[base.RouteName, int]:
    """Return the last latency bucket that is not slow, by route."""
    slow_limits = {}
    for route, route_evidence in routes.items():
        if route_evidence.runs >= MEDIAN_RUNS:
            median = route_evidence.find_median_bucket()
        else:
            median = route_evidence.find_median_bound(MEDIAN_CONFIDENCE)
        if median is not None:
            slow_limits[route] = median + SLOW_BUCKETS
    return slow_limits


def _tally(
    routes: dict[base.RouteName, _evidence.RouteEvidence],
    slow_limits: dict[base.RouteName, int],
) -> _Tally:
    """Count the calls and the bad calls of each route."""
    tally = _Tally({}, {})
    for route, evidence in routes.items():
        failed = _sequential.CallCounts(evidence.runs, evidence.failures)
        tally.failed[route] = failed
        if route in slow_limits:
            slow = evidence.count_slower(slow_limits[route])
            tally.slow_or_failed[route] = failed + _sequential.CallCounts(
                0, slow
            )
    return tally


def _sum_counts(
    counts: Iterable[_sequential.CallCounts],
) -> _sequential.CallCounts:
    return sum(counts, start=_sequential.CallCounts())


def _leave_out_worst_target(
    evidence: list[_evidence.Evidence], slow_limits: dict[base.RouteName, int]
) -> list[_evidence.Evidence]:
    called = [item for item in evidence if item.runs]
    if len(evidence) < 2 or not called:
        return called
    worst = max(called, key=lambda item: _find_bad_share(item, slow_limits))
    return [item for item in called if item is not worst]


def _find_bad_share(
    evidence: _evidence.Evidence, slow_limits: dict[base.RouteName, int]
) -> float:
    tally = _tally(evidence.routes, slow_limits)
    total = _sum_counts(tally.slow_or_failed.values())
    return total.bad / max(1, total.runs)

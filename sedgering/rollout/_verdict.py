"""Decides whether a new version is as good as the old one.

A call is bad when it fails, or takes several times the median latency of its
route at the old version.  Both versions are under the same load from the same
callers at the same time, so that a lossy link or a burst, which affects both,
counts against neither.
"""

import enum
import math

import msgspec

from sedgering import base
from sedgering.rollout import _evidence

__all__ = [
    'Verdict',
    'choose_verdict',
    'is_clearly_failing',
]

#: A call is slow if it takes more than four times (8 buckets) the median of
#: its route.  If work times are lognormal with a log standard deviation of
#: 0.8, 4 % of the calls are slow at equal speed, and 19 % at half the speed.
#: If half of the calls of a version are eight times slower, 32 to 45 % are
#: slow.
SLOW_BUCKETS = 8
#: Number of calls of the old version on a route before its median is used.
MIN_OLD_RUNS = 16
#: Excess share of bad calls that is accepted in the new version compared with
#: the old one: the new version has few targets, and some targets are slower
#: than others.
TOLERATED_SHARE = 0.08
#: Upper bound of the share of bad calls that is accepted.
MAX_ACCEPTED_SHARE = 0.7
#: Smallest excess over the accepted share of bad calls at which a version is
#: to be found bad.
MIN_HARM_SHARE = 0.2
#: Error probabilities of the test: that a good version is found bad, and that
#: a bad version is found good.
FALSE_BAD_PROBABILITY = 1 / 4000
FALSE_GOOD_PROBABILITY = 1 / 400
#: Failures at one target, and their share of its calls, at which its daemon
#: stops the trial on its own.  The row with the verdict would reach the daemon
#: only a second later.
LOCAL_STOP_FAILURES = 8
LOCAL_STOP_SHARE = 0.3


class Verdict(enum.Enum):
    """What the evidence shows about a new version."""

    OPEN = 'open'
    GOOD = 'good'
    BAD = 'bad'


class CallCounts(msgspec.Struct, frozen=True):
    """Number of calls of a version, and of the bad ones among them."""

    runs: int
    bad: int


def run_sequential_test(counts: CallCounts, accepted_share: float) -> Verdict:
    """Test the calls of the new version against the accepted share.

    Wald's sequential probability ratio test (1945).  It ends as soon as the
    evidence suffices for either verdict.  A version that fails half of its
    calls harmed 34 callers in the median with this test, and 54 with a test on
    windows of 60 calls.  A version that is twice as slow was rolled back in 2
    of 200 runs.

    Parameters
    ----------
    counts : CallCounts
        Calls of the new version.
    accepted_share : float
        Share of bad calls that does not count against a version, 0 to 1.
    """
    harmful_share = min(0.95, accepted_share + MIN_HARM_SHARE)
    good = counts.runs - counts.bad
    log_ratio = counts.bad * math.log(harmful_share / accepted_share)
    log_ratio += good * math.log((1 - harmful_share) / (1 - accepted_share))
    if log_ratio >= -math.log(FALSE_BAD_PROBABILITY):
        return Verdict.BAD
    if log_ratio <= math.log(FALSE_GOOD_PROBABILITY):
        return Verdict.GOOD
    return Verdict.OPEN


def is_clearly_failing(evidence: _evidence.Evidence) -> bool:
    """Whether the calls to one target suffice to stop the trial there."""
    failures = evidence.failures
    is_many = failures >= LOCAL_STOP_FAILURES
    return is_many and failures >= LOCAL_STOP_SHARE * evidence.runs


def choose_verdict(
    new: list[_evidence.Evidence], old: list[_evidence.Evidence]
) -> Verdict:
    """Choose the verdict on a new version by comparing it with the old one.

    A version is good by its calls on routes on which the old version has run
    enough calls, too: without these, a slow call cannot be told.

    With several targets, the worst one is left out: a single target that is
    slow or fails may have a cause unrelated to its version.  If that leaves
    the verdict open and the version is good with the worst target included,
    it is good, as that target may have run nearly all of the calls.

    Parameters
    ----------
    new, old : list of Evidence
        One item for each target of the version.
    """
    old_routes = _evidence.merge_routes(old)
    slow_limits = _find_slow_limits(old_routes)
    old_counts = _sum_counts(_count_by_route(old_routes, slow_limits))
    accepted_share = TOLERATED_SHARE + old_counts.bad / max(1, old_counts.runs)
    accepted_share = min(MAX_ACCEPTED_SHARE, accepted_share)
    verdict = _test_all_routes(
        _leave_out_worst_target(new, slow_limits), slow_limits, accepted_share
    )
    if verdict is Verdict.OPEN:
        with_worst = _test_all_routes(new, slow_limits, accepted_share)
        if with_worst is Verdict.GOOD:
            return with_worst
    return verdict


def _test_all_routes(
    evidence: list[_evidence.Evidence],
    slow_limits: dict[base.RouteName, int],
    accepted_share: float,
) -> Verdict:
    """Test the total and each route; one bad route makes the verdict bad."""
    routes = _evidence.merge_routes(evidence)
    counts_by_route = _count_by_route(routes, slow_limits)
    verdicts = [
        run_sequential_test(item, accepted_share)
        for item in (_sum_counts(counts_by_route), *counts_by_route)
    ]
    if Verdict.BAD in verdicts:
        return Verdict.BAD
    comparable = {
        route: counts
        for route, counts in routes.items()
        if route in slow_limits
    }
    return run_sequential_test(
        _sum_counts(_count_by_route(comparable, slow_limits)), accepted_share
    )


def _find_slow_limits(
    routes: dict[base.RouteName, _evidence.RouteEvidence],
) -> dict[base.RouteName, int]:
    """Return the last latency bucket that is not slow, by route."""
    slow_limits = {}
    for route, route_evidence in routes.items():
        median = route_evidence.find_median_bucket()
        if median is not None and route_evidence.runs >= MIN_OLD_RUNS:
            slow_limits[route] = median + SLOW_BUCKETS
    return slow_limits


def _count_by_route(
    routes: dict[base.RouteName, _evidence.RouteEvidence],
    slow_limits: dict[base.RouteName, int],
) -> list[CallCounts]:
    """Count all and the bad calls of each route."""
    counts_by_route = []
    for route, route_evidence in routes.items():
        slow_limit = slow_limits.get(route, _evidence.LAST_BUCKET)
        bad = route_evidence.failures + route_evidence.count_slower(slow_limit)
        counts_by_route.append(CallCounts(route_evidence.runs, bad))
    return counts_by_route


def _sum_counts(counts_by_route: list[CallCounts]) -> CallCounts:
    return CallCounts(
        sum(item.runs for item in counts_by_route),
        sum(item.bad for item in counts_by_route),
    )


def _leave_out_worst_target(
    evidence: list[_evidence.Evidence], slow_limits: dict[base.RouteName, int]
) -> list[_evidence.Evidence]:
    called = [item for item in evidence if item.runs]
    if len(called) < 2:
        return called
    worst = max(called, key=lambda item: _find_bad_share(item, slow_limits))
    return [item for item in called if item is not worst]


def _find_bad_share(
    evidence: _evidence.Evidence, slow_limits: dict[base.RouteName, int]
) -> float:
    total = _sum_counts(_count_by_route(evidence.routes, slow_limits))
    return total.bad / max(1, total.runs)

"""Whether a new version is as good as the old one.

A call is bad when it fails, or takes several times as long as is usual on its
route at the old version.  Both versions are under the same load from the same
callers at the same time, so that what hurts both, a lossy link or a burst,
speaks against neither.
"""

import enum
import math

import msgspec

from sedgering import base
from sedgering.rollout import _evidence

__all__ = [
    'Verdict',
    'is_plainly_bad',
    'judge',
]

#: A call is slow that takes more than four times (8 buckets) the median of its
#: route.  Of lognormal work with a spread of 0.8 four in a hundred do at equal
#: speed, 19 at half of it; of a version that is eight times slower in half of
#: its calls, 32 to 45 do.
SLOW_BUCKETS = 8
#: Answers of the old version on a route before its median is used.
LEAST_OLD_RUNS = 16
#: Bad calls of the new version that are taken as usual beyond those of the
#: old one: its targets are few, and some are slower than others.
TOLERATED_SHARE = 0.08
#: More than this is never taken as usual.
MOST_USUAL_SHARE = 0.7
#: A bad version does this much worse at least.
HARM_SHARE = 0.2
#: Chances of a wrong verdict for which the test is made: against a
#: good version, and for a bad one.
WRONG_BAD = 1 / 4000
WRONG_GOOD = 1 / 400
#: Failures at one target, and their share, after which its daemon stops by
#: itself: the row with the verdict takes a second to get round.
PLAIN_FAILURES = 8
PLAIN_SHARE = 0.3


class Verdict(enum.Enum):
    """What the evidence says of a new version."""

    OPEN = 'open'
    GOOD = 'good'
    BAD = 'bad'


class Tally(msgspec.Struct, frozen=True):
    """Calls of a version, and the bad ones among them."""

    runs: int
    bad: int


def judge_tally(tally: Tally, usual_share: float) -> Verdict:
    """Judge a tally of the new version by the share usual at the old one.

    Wald's sequential probability ratio test (1945).  It ends as soon as the
    evidence is enough either way.  Windows of 60 calls let a version that
    fails half of its calls harm 54 callers in the median, this test 34, and
    one that is twice as slow was undone twice in 200 times.

    Parameters
    ----------
    tally : Tally
        Of the new version.
    usual_share : float
        Share of bad calls that speaks against nothing.
    """
    harmful_share = min(0.95, usual_share + HARM_SHARE)
    good = tally.runs - tally.bad
    ratio = tally.bad * math.log(harmful_share / usual_share)
    ratio += good * math.log((1 - harmful_share) / (1 - usual_share))
    if ratio >= -math.log(WRONG_BAD):
        return Verdict.BAD
    if ratio <= math.log(WRONG_GOOD):
        return Verdict.GOOD
    return Verdict.OPEN


def is_plainly_bad(evidence: _evidence.Evidence) -> bool:
    """Whether one target alone shows that its version fails."""
    failures = evidence.failures
    is_many = failures >= PLAIN_FAILURES
    return is_many and failures >= PLAIN_SHARE * evidence.runs


def judge(
    new: list[_evidence.Evidence], old: list[_evidence.Evidence]
) -> Verdict:
    """Judge a new version by what its targets and the old ones have shown.

    The worst target is left out where there are several: one that is slow or
    fails for a cause of its own says nothing of its version.  A version that
    is good with it is good: it may have run nearly all of the calls.

    Parameters
    ----------
    new, old : list of Evidence
        One item for each target.
    """
    old_routes = _evidence.merge_routes(old)
    limits = _find_limits(old_routes)
    usual = _sum(_list_tallies(old_routes, limits))
    usual_share = TOLERATED_SHARE + usual.bad / max(1, usual.runs)
    usual_share = min(MOST_USUAL_SHARE, usual_share)
    verdict = _judge_all(_leave_out_worst(new, limits), limits, usual_share)
    if verdict is Verdict.OPEN:
        with_worst = _judge_all(new, limits, usual_share)
        if with_worst is Verdict.GOOD:
            return with_worst
    return verdict


def _judge_all(
    evidence: list[_evidence.Evidence],
    limits: dict[base.RouteName, int],
    usual_share: float,
) -> Verdict:
    """Judge some targets over all routes; bad on one route is bad."""
    tallies = _list_tallies(_evidence.merge_routes(evidence), limits)
    verdicts = [
        judge_tally(item, usual_share) for item in (_sum(tallies), *tallies)
    ]
    return Verdict.BAD if Verdict.BAD in verdicts else verdicts[0]


def _find_limits(
    routes: dict[base.RouteName, _evidence.RouteEvidence],
) -> dict[base.RouteName, int]:
    """Return the bucket beyond which a call is slow, by route."""
    limits = {}
    for route, known in routes.items():
        median = known.find_median_bucket()
        if median is not None and known.runs >= LEAST_OLD_RUNS:
            limits[route] = median + SLOW_BUCKETS
    return limits


def _list_tallies(
    routes: dict[base.RouteName, _evidence.RouteEvidence],
    limits: dict[base.RouteName, int],
) -> list[Tally]:
    """Tally the calls of each route."""
    tallies = []
    for route, known in routes.items():
        limit = limits.get(route, _evidence.LAST_BUCKET)
        bad = known.failures + known.count_slower(limit)
        tallies.append(Tally(known.runs, bad))
    return tallies


def _sum(tallies: list[Tally]) -> Tally:
    return Tally(
        sum(item.runs for item in tallies), sum(item.bad for item in tallies)
    )


def _leave_out_worst(
    evidence: list[_evidence.Evidence], limits: dict[base.RouteName, int]
) -> list[_evidence.Evidence]:
    seen = [item for item in evidence if item.runs]
    if len(seen) < 2:
        return seen
    worst = max(seen, key=lambda item: _find_bad_share(item, limits))
    return [item for item in seen if item is not worst]


def _find_bad_share(
    evidence: _evidence.Evidence, limits: dict[base.RouteName, int]
) -> float:
    total = _sum(_list_tallies(evidence.routes, limits))
    return total.bad / max(1, total.runs)

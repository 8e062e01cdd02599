"""Sequential test of the share of bad calls of a new version."""

import enum
import math

import msgspec

__all__ = [
    'CallCounts',
    'SequentialTest',
    'Tolerance',
    'Verdict',
    'estimate_share',
    'run_sequential_test',
]

#: Error probabilities while calls still come: that a version at the accepted
#: share is found bad, and that one at the harmful share is found good.
FALSE_BAD_PROBABILITY = 1 / 4000
FALSE_GOOD_PROBABILITY = 1 / 400
#: Odds that count as evidence when no further calls are waited for: in total,
#: and on a route without its worst target.
LATE_ODDS = 20
ROUTE_LATE_ODDS = 5
#: Upper bounds of the accepted and the harmful share.
MAX_ACCEPTED_SHARE = 0.7
MAX_HARMFUL_SHARE = 0.95
#: Number of calls that the prior share of an estimate weighs as much as.
PRIOR_RUNS = 10


class Verdict(enum.Enum):
    """What the evidence shows about a new version."""

    OPEN = 'open'
    GOOD = 'good'
    BAD = 'bad'


class CallCounts(msgspec.Struct, frozen=True):
    """Number of calls of a version, and of the bad ones among them."""

    runs: int = 0
    bad: int = 0

    def __add__(self, other: 'CallCounts') -> 'CallCounts':
        return CallCounts(self.runs + other.runs, self.bad + other.bad)


class Tolerance(msgspec.Struct, frozen=True):
    """Excess of bad calls over the old version that is accepted or harmful.

    Parameters
    ----------
    accepted_excess : float
        Excess share that does not count against a version, 0 to 1.
    min_harm_excess : float
        Smallest excess over the accepted share at which a version is to be
        found bad, 0 to 1.
    harm_ratio : float
        Factor by which the accepted share is multiplied before this excess is
        added, 1 or more.  Where the old version often fails, a small excess
        could not be told from chance.
    """

    accepted_excess: float
    min_harm_excess: float
    harm_ratio: float = 1.0


class SequentialTest(msgspec.Struct, frozen=True):
    """Result of a sequential probability ratio test.

    Parameters
    ----------
    log_ratio : float
        Logarithm of the likelihood ratio of the harmful share to the accepted
        one; positive values speak against the version.
    clean_log_ratio : float
        The same if none of the calls had been bad.
    bad_log_ratio : float
        Log ratio from which on the version is bad.
    """

    log_ratio: float
    clean_log_ratio: float
    bad_log_ratio: float

    @property
    def verdict(self) -> Verdict:
        """Verdict at the error probabilities of the test."""
        if self.log_ratio >= self.bad_log_ratio:
            return Verdict.BAD
        if self.log_ratio <= math.log(FALSE_GOOD_PROBABILITY):
            return Verdict.GOOD
        return Verdict.OPEN

    @property
    def has_enough_calls(self) -> bool:
        """Whether so many calls could have shown a good version."""
        return self.clean_log_ratio <= math.log(FALSE_GOOD_PROBABILITY)

    @property
    def may_show_odds(self) -> bool:
        """Whether so many calls could have shown odds of 20 to 1."""
        return self.clean_log_ratio <= -math.log(LATE_ODDS)

    @property
    def is_good_by_odds(self) -> bool:
        """Whether the odds for the accepted share are 20 to 1."""
        return self.log_ratio <= -math.log(LATE_ODDS)

    @property
    def is_good_by_route_odds(self) -> bool:
        """Whether the odds for the accepted share are 5 to 1."""
        return self.log_ratio <= -math.log(ROUTE_LATE_ODDS)

    @property
    def is_bad_by_odds(self) -> bool:
        """Whether the odds for the harmful share are 20 to 1."""
        return self.log_ratio >= math.log(LATE_ODDS)


def estimate_share(counts: CallCounts, prior_share: float) -> float:
    """Estimate the share of bad calls, with a prior and one bad call more.

    The additional bad call makes up for the error of an estimate from few
    calls, which would otherwise be taken for exact.

    Parameters
    ----------
    counts : CallCounts
        Calls of the old version.
    prior_share : float
        Share to assume without calls, 0 to 1.
    """
    bad = counts.bad + 1 + PRIOR_RUNS * prior_share
    return bad / (counts.runs + 1 + PRIOR_RUNS)


def run_sequential_test(
    counts: CallCounts,
    old_share: float,
    tolerance: Tolerance,
    test_count: int = 1,
) -> SequentialTest:
    """Test the calls of the new version against those of the old one.

    Wald's sequential probability ratio test (1945).  Between the accepted and
    the harmful share it may end with either verdict.

    Parameters
    ----------
    counts : CallCounts
        Calls of the new version.
    old_share : float
        Share of bad calls of the old version, 0 to 1.
    tolerance : Tolerance
        Excess that is accepted or harmful.
    test_count : int
        Number of tests of which one suffices to find the version bad; the
        probability of a false one is divided among them.
    """
    accepted = min(MAX_ACCEPTED_SHARE, old_share + tolerance.accepted_excess)
    harmful = min(
        MAX_HARMFUL_SHARE,
        tolerance.harm_ratio * accepted + tolerance.min_harm_excess,
    )
    good_step = math.log((1 - harmful) / (1 - accepted))
    bad_step = math.log(harmful / accepted)
    return SequentialTest(
        counts.bad * bad_step + (counts.runs - counts.bad) * good_step,
        counts.runs * good_step,
        math.log(test_count / FALSE_BAD_PROBABILITY),
    )

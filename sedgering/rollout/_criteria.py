"""Criteria by which a new version is compared with the old one."""

import abc

from sedgering import base
from sedgering.rollout import _sequential

__all__ = ['RouteTest', 'Test', 'TotalTest']

_Verdict = _sequential.Verdict


class Test(abc.ABC):
    """One criterion, in total or on a route.

    Parameters
    ----------
    name : str
        Name of the test in logs.
    whole : SequentialTest
        Test of the calls of all targets.
    rest : SequentialTest
        The same without the target with the largest share of bad calls.

    Attributes
    ----------
    route : RouteName or None
        Route of the calls; None for a test in total.
    """

    route: base.RouteName | None = None

    def __init__(
        self,
        name: str,
        whole: _sequential.SequentialTest,
        rest: _sequential.SequentialTest,
    ):
        self.name = name
        self.whole = whole
        self.rest = rest

    @property
    def verdict(self) -> _Verdict:
        """Verdict without the worst target, if that has one.

        Otherwise that of all targets counts, for a bad version only if the
        others are likely bad, too.
        """
        if self.rest.verdict is not _Verdict.OPEN:
            return self.rest.verdict
        is_bad = self.whole.verdict is _Verdict.BAD
        if is_bad and not self.rest.is_bad_by_odds:
            return _Verdict.OPEN
        return self.whole.verdict

    @property
    @abc.abstractmethod
    def is_shown(self) -> bool:
        """Whether calls, rather than their lack, speak for the version."""

    @property
    def may_end(self) -> bool:
        """Whether the trial need not go on for this test."""
        return self.is_shown

    @property
    def is_gross_harm_likely(self) -> bool:
        """Whether few calls of more than one target show gross harm."""
        return False

    @property
    @abc.abstractmethod
    def is_good_late(self) -> bool:
        """Whether the test speaks for the version as the trial ends."""


class TotalTest(Test):
    """A criterion over several routes, which a good version has to show."""

    @property
    def is_shown(self) -> bool:
        """See :class:`Test`."""
        return self.verdict is _Verdict.GOOD

    @property
    def is_good_late(self) -> bool:
        """See :class:`Test`."""
        return self.whole.is_good_by_odds or self.rest.is_good_by_odds


class RouteTest(Test):
    """A criterion on one route, which may have few calls.

    Parameters
    ----------
    criterion : str
        Name of the criterion.
    route : RouteName
        The route.
    whole, rest : SequentialTest
        See :class:`Test`.
    gross : SequentialTest
        Test of the calls of all targets for gross harm, which fewer calls can
        show or exclude.
    """

    def __init__(
        self,
        criterion: str,
        route: base.RouteName,
        whole: _sequential.SequentialTest,
        rest: _sequential.SequentialTest,
        gross: _sequential.SequentialTest,
    ):
        super().__init__(f'{criterion} on {route}', whole, rest)
        self.route = route
        self.gross = gross

    @property
    def is_shown(self) -> bool:
        """See :class:`Test`."""
        if self.verdict is not _Verdict.OPEN:
            return self.verdict is _Verdict.GOOD
        if self.whole.is_good_by_odds:
            return True
        return self._has_good_few and self.gross.is_good_by_odds

    @property
    def may_end(self) -> bool:
        """See :class:`Test`."""
        has_odds = self._has_good_few and self.gross.is_good_by_route_odds
        return self.is_shown or has_odds

    @property
    def is_good_late(self) -> bool:
        """See :class:`Test`."""
        if self.whole.is_good_by_odds or self.rest.is_good_by_odds:
            return True
        if self.rest.is_good_by_route_odds:
            # What speaks against the version comes from one target only.
            return True
        if self.whole.has_enough_calls:
            return self.whole.log_ratio <= 0
        is_bad = self.whole.is_bad_by_odds or self.gross.is_bad_by_odds
        # A single target that is bad says nothing.
        return not (is_bad and self.rest.log_ratio > 0)

    @property
    def is_gross_harm_likely(self) -> bool:
        """See :class:`Test`."""
        return self.gross.is_bad_by_odds and self.rest.log_ratio > 0

    @property
    def _has_good_few(self) -> bool:
        """Whether calls too few for odds of 20 to 1 are likely good."""
        return not self.whole.may_show_odds and self.whole.log_ratio <= 0

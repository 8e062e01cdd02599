"""Tells calls of callers of this host from calls of the local target.

Both arrive at the same port from the same address; only the deadline tells
them apart.  A target that works on a request hands on no more time than it
was given, so a call whose deadline is later than that of every call in
flight at the local target comes from a caller.
"""

from collections.abc import Collection

import msgspec

from sedgering import base
from sedgering.mesh import _messages
from sedgering import overload

__all__ = ['CallerTable']

#: Calls that state less than this share of the longest timeout count as
#: retries, on routes whose callers all use the same timeout: a caller that
#: retries states the time that it has left.
RETRY_SHARE = 0.97
#: The same on routes whose callers use different timeouts: a caller that was
#: told to retry has waited for an eighth of its time or more.
VARIED_RETRY_SHARE = 0.85
#: Timeouts count as uniform when first tries state this share of the longest
#: one on average; where they vary by up to 15 %, the average is 92 %.
UNIFORM_SHARE = 0.97
#: Weight of the newest first try in the mean stated timeout: it settles within
#: a second or two.
FIRST_TRY_WEIGHT = 1 / 16
#: Margin by which a deadline must be later than those of all calls at the
#: target. Deadlines travel as whole milliseconds left and gain the time of two
#: trips over loopback, about 2 ms; ten times that covers a busy event loop.
DEADLINE_SLACK_S = 0.02
#: Weight of the newest call in the share of calls proven to come from callers:
#: one proof lasts for about forty calls.
PROOF_WEIGHT = 1 / 32
#: Share of proven calls above which the calls of a route count as those of
#: callers. A call of a target is proven wrongly only when its parent ended
#: between the two trips: fewer than one call in a hundred with callers that
#: give up.
PROVEN_SHARE = 0.01


class _RouteCallers(msgspec.Struct):
    """Statistics of the callers of one route.

    Parameters
    ----------
    proven_share : float
        Share of recent calls that can only have come from callers.
    longest_ms : int
        Longest timeout that was stated.
    mean_first_ms : float
        Mean timeout stated at first tries.
    """

    proven_share: float = 0.0
    longest_ms: int = 0
    mean_first_ms: float = 0.0

    def note_stated(self, stated_ms: int) -> None:
        """Record the timeout that a call states."""
        self.longest_ms = max(self.longest_ms, stated_ms)
        if stated_ms < self.longest_ms * VARIED_RETRY_SHARE:
            return
        before_ms = self.mean_first_ms or stated_ms
        self.mean_first_ms = before_ms + FIRST_TRY_WEIGHT * (
            stated_ms - before_ms
        )

    @property
    def is_uniform(self) -> bool:
        """Whether all callers use the same timeout."""
        return self.mean_first_ms >= self.longest_ms * UNIFORM_SHARE

    def find_waited_ms(self, stated_ms: int) -> int:
        """Return the time since the first try; 0 for a first try.

        When timeouts vary, callers are assumed to have started with the mean.
        Assuming the longest would take up to 15 % of the time off the goal of
        each first try, and most would be late on arrival.
        """
        if self.is_uniform:
            if stated_ms >= self.longest_ms * RETRY_SHARE:
                return 0
            return self.longest_ms - stated_ms
        if stated_ms >= self.longest_ms * VARIED_RETRY_SHARE:
            return 0
        return max(0, round(self.mean_first_ms) - stated_ms)


class CallOrigin(msgspec.Struct, frozen=True):
    """Who waits for a call, and since when.

    Parameters
    ----------
    urgency : CallUrgency
        Whether a caller or a target waits, and whether the call is a retry.
    waited_ms : int
        Time since the caller's first try, derived from the time that it has
        left; 0 for the first try.
    is_early_retry : bool
        Whether the caller retried before its Retry-After had passed.
    """

    urgency: _messages.CallUrgency
    waited_ms: int = 0
    is_early_retry: bool = False


class CallerTable:
    """Origin of the calls of each route, derived from their deadlines."""

    def __init__(self):
        self._routes: dict[base.RouteName, _RouteCallers] = {}

    def note_call(
        self,
        route: base.RouteName,
        stated_ms: int,
        received_s: float,
        target_deadline_s: float,
    ) -> CallOrigin:
        """Record one call, and return its origin.

        Parameters
        ----------
        route : str
            Route that the call matched.
        stated_ms : int
            Timeout that its sender states.
        received_s : float
            When its head began to arrive, as time of the event loop.
        target_deadline_s : float
            Latest deadline of the calls in flight at the local target; minus
            infinity when there is none.
        """
        known = self._routes.setdefault(route, _RouteCallers())
        deadline_s = received_s + stated_ms / 1000
        is_proven = deadline_s > target_deadline_s + DEADLINE_SLACK_S
        known.proven_share += PROOF_WEIGHT * (is_proven - known.proven_share)
        known.note_stated(stated_ms)
        if known.proven_share < PROVEN_SHARE:
            return CallOrigin(_messages.CallUrgency.TARGET)
        waited_ms = known.find_waited_ms(stated_ms)
        if not waited_ms:
            return CallOrigin(_messages.CallUrgency.FIRST)
        return CallOrigin(
            _messages.CallUrgency.RETURN,
            waited_ms,
            # Unknown when callers use different timeouts.
            known.is_uniform
            and overload.is_early_retry(waited_ms, known.longest_ms),
        )

    def retain(self, routes: Collection[base.RouteName]) -> None:
        """Drop routes that are no longer in force."""
        for route in [name for name in self._routes if name not in routes]:
            del self._routes[route]

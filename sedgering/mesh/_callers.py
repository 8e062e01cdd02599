"""Who calls each route: callers of this host, or the target beside it.

Both send to the same port from the same address.  What tells them apart is
the deadline.  A target that works on a request hands on no more time than
it was given, so a call whose deadline is later than that of every call
under way at the local target comes from a caller.
"""

from collections.abc import Collection

import msgspec

from sedgering import base
from sedgering.mesh import _messages
from sedgering import overload

__all__ = ['CallerTable']

#: A request with less of its time left than this share seems to have been
#: asked before, where all callers of its route wait alike; callers state the
#: time that is left.
RETURN_SHARE = 0.97
#: The same where callers differ in how long they wait: a caller that was told
#: to come back has waited for an eighth of its time or more.
UNLIKE_RETURN_SHARE = 0.85
#: Callers wait alike where first tries state this share of the longest time
#: on average; of those that differ by up to 15 % the average is 92 %.
ALIKE_SHARE = 0.97
#: Weight of the newest first try in what they state on average: a daemon
#: knows a route after a second or two.
FIRST_WEIGHT = 1 / 16
#: By how much a deadline must be later than those of all calls at the
#: target.  Deadlines travel as whole milliseconds left and gain the time of
#: two ways over loopback, some 2 ms; ten times that covers a busy loop.
DEADLINE_SLACK_S = 0.02
#: Weight of the newest call in the share of calls that were shown to come
#: from callers: one proof holds for about forty calls.
PROOF_WEIGHT = 1 / 32
#: Share of proven calls above which a route is taken as called by callers.
#: A call of a target is proven wrongly only when its parent ended between
#: the two ways: fewer than one call in a hundred with callers that give up.
PROVEN_SHARE = 0.01


class _RouteCallers(msgspec.Struct):
    """What is known of the callers of one route.

    Parameters
    ----------
    proven_share : float
        Share of recent calls that can only have come from callers.
    longest_ms : int
        Longest time that was stated.
    first_ms : float
        Time that is stated at first tries, on average.
    """

    proven_share: float = 0.0
    longest_ms: int = 0
    first_ms: float = 0.0

    def note_stated(self, stated_ms: int) -> None:
        """Take in the time that a call states."""
        self.longest_ms = max(self.longest_ms, stated_ms)
        if stated_ms < self.longest_ms * UNLIKE_RETURN_SHARE:
            return
        before_ms = self.first_ms or stated_ms
        self.first_ms = before_ms + FIRST_WEIGHT * (stated_ms - before_ms)

    @property
    def is_alike(self) -> bool:
        """Whether all callers wait for the same time."""
        return self.first_ms >= self.longest_ms * ALIKE_SHARE

    def find_waited_ms(self, stated_ms: int) -> int:
        """Return the time since the first try; 0 at a first one.

        Callers that wait for different times are taken to have begun with
        the average: 15 % of their time, taken off the goal of each first
        try, would make most of them late as they come.
        """
        if self.is_alike:
            if stated_ms >= self.longest_ms * RETURN_SHARE:
                return 0
            return self.longest_ms - stated_ms
        if stated_ms >= self.longest_ms * UNLIKE_RETURN_SHARE:
            return 0
        return max(0, round(self.first_ms) - stated_ms)


class CallOrigin(msgspec.Struct, frozen=True):
    """Who waits for a call, and since when.

    Parameters
    ----------
    urgency : CallUrgency
        Who waits.
    waited_ms : int
        Time since the caller's first try, as the time that it has left
        tells; 0 at the first one.
    is_hasty : bool
        Whether it came back sooner than it was told.
    """

    urgency: _messages.CallUrgency
    waited_ms: int = 0
    is_hasty: bool = False


class CallerTable:
    """Who calls each route, learned from the deadlines of calls."""

    def __init__(self):
        self._routes: dict[base.RouteName, _RouteCallers] = {}

    def note_call(
        self,
        route: base.RouteName,
        stated_ms: int,
        received_s: float,
        target_deadline_s: float,
    ) -> CallOrigin:
        """Take in one call, and say who waits for it.

        Parameters
        ----------
        route : str
            That the call matched.
        stated_ms : int
            Time for which its sender waits.
        received_s : float
            When its head began to arrive, as time of the event loop.
        target_deadline_s : float
            Latest deadline of the calls under way at the local target;
            minus infinity when there is none.
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
            # Of callers that wait for different times nobody can tell.
            known.is_alike and overload.is_hasty(waited_ms, known.longest_ms),
        )

    def retain(self, routes: Collection[base.RouteName]) -> None:
        """Forget routes that are no longer in force."""
        for route in [name for name in self._routes if name not in routes]:
            del self._routes[route]

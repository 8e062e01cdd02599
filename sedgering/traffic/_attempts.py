"""Whether a request may be sent again, and what its caller is told."""

import enum

from sedgering import bundle as bundles

__all__ = ['AttemptOutcome', 'NOT_RUN_HEADER', 'may_try_again']

#: Set by a target on a refusal that it gave before any work.
NOT_RUN_HEADER = 'X-Not-Run'


class AttemptOutcome(enum.Enum):
    """How one attempt ended."""

    #: An answer arrived; it is passed on whatever its status.
    ANSWERED = 'answered'
    #: Nothing was sent: no connection came about.
    NOT_SENT = 'not sent'
    #: The target refused with the marker that proves it did no work.
    REFUSED = 'refused before work'
    #: Bytes may have left, and no whole answer came.
    UNKNOWN = 'unknown'


#: Outcomes that prove that the target did not run the request.
PROVEN_NOT_RUN = frozenset((AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED))


def may_try_again(
    outcome: AttemptOutcome,
    route: bundles.Route,
    attempts: int,
    limit: int,
    body_consumed: bool,
    remaining_ms: int,
) -> bool:
    """Decide whether another attempt is allowed.

    Parameters
    ----------
    outcome : AttemptOutcome
        Of the attempt that just ended.
    route : Route
        States whether its requests are repeatable.
    attempts : int
        Attempts so far.
    limit : int
        Most attempts that the policy allows.
    body_consumed : bool
        Whether part of the caller's body is gone and cannot be resent.
    remaining_ms : int
        Time until the deadline.
    """
    if outcome is AttemptOutcome.ANSWERED:
        return False
    if attempts >= limit or body_consumed or remaining_ms <= 0:
        return False
    return outcome in PROVEN_NOT_RUN or route.repeatable

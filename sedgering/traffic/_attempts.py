"""Whether a request may be sent again, and when."""

import enum
import random

from sedgering import bundle as bundles

__all__ = [
    'AttemptOutcome',
    'NOT_RUN_HEADER',
    'PROVEN_NOT_RUN',
    'count_allowed',
    'may_hedge',
    'may_try_again',
    'pause_before',
]

#: Set by a target on a refusal that it gave before any work.
NOT_RUN_HEADER = 'X-Not-Run'
FIRST_PAUSE_MS = 20
LONGEST_PAUSE_MS = 500


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
    #: The deadline passed while the target was at work.
    LATE = 'late'


#: Outcomes that prove that the target did not run the request.
PROVEN_NOT_RUN = frozenset((AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED))


def count_allowed(policy: bundles.Policy, spent: int) -> int:
    """Return the attempts left when proxies before spent some.

    Parameters
    ----------
    policy : Policy
        Of the route.
    spent : int
        Attempts that earlier proxies on the way made beyond their first;
        retries in two layers would multiply.
    """
    return max(1, policy.attempts - spent)


def may_try_again(
    outcome: AttemptOutcome,
    route: bundles.Route,
    attempts: int,
    allowed: int,
    body_consumed: bool,
    remaining_ms: int,
) -> bool:
    """Decide whether another attempt is allowed, budget aside.

    Parameters
    ----------
    outcome : AttemptOutcome
        Of the attempt that just ended.
    route : Route
        States whether its requests are repeatable.
    attempts : int
        Attempts so far.
    allowed : int
        Most attempts.
    body_consumed : bool
        Whether part of the caller's body is gone and cannot be resent.
    remaining_ms : int
        Time until the deadline.
    """
    if outcome is AttemptOutcome.ANSWERED:
        return False
    if attempts >= allowed or body_consumed or remaining_ms <= 0:
        return False
    return outcome in PROVEN_NOT_RUN or route.repeatable


def may_hedge(
    route: bundles.Route, policy: bundles.Policy, has_body: bool
) -> bool:
    """Decide whether a second attempt may start before the first ends."""
    return bool(policy.hedge_after_ms) and route.repeatable and not has_body


def pause_before(
    outcome: AttemptOutcome, attempts: int, rng: random.Random
) -> int:
    """Return the pause before the next attempt, in ms, with full jitter.

    Notes
    -----
    After a proof that the target did nothing another target is asked at
    once: the refusal says nothing about the others.
    """
    if outcome in PROVEN_NOT_RUN and attempts == 1:
        return 0
    longest_ms = min(FIRST_PAUSE_MS << (attempts - 1), LONGEST_PAUSE_MS)
    return rng.randint(0, longest_ms)

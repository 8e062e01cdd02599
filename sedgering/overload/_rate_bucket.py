"""A bucket of tokens for the calls that a target with a rate limit takes."""

from collections.abc import Callable
import math

__all__ = ['RateBucket']

#: Time in which a full bucket of tokens accumulates.  The longer it is, the
#: more calls reach the target at once after a quiet moment.
BURST_S = 0.25
#: Tolerance for the rounding of refilled tokens.
EPSILON = 1e-6


class RateBucket:
    """A bucket of tokens for the calls that a target takes.

    Parameters
    ----------
    per_s : float
        Rate limit in calls per second.
    now_s : callable
        Returns the time in seconds.
    tokens : float
        Number of tokens at the start.
    """

    def __init__(
        self, per_s: float, now_s: Callable[[], float], tokens: float = 0.0
    ):
        self.per_s = per_s
        self.now_s = now_s
        self._tokens = tokens
        self._refilled_s = now_s()

    @property
    def capacity(self) -> float:
        """Most tokens that accumulate; one at least, unless none do."""
        return max(1.0, self.per_s * BURST_S) if self.per_s else 0.0

    def set_rate(self, per_s: float) -> None:
        """Change the rate; tokens beyond the new capacity are lost."""
        self._refill()
        self.per_s = per_s
        self._tokens = min(self._tokens, self.capacity)

    def take(self) -> None:
        """Take the token of a call."""
        self._refill()
        self._tokens -= 1.0

    def add(self) -> None:
        """Add a token: of a call that was not sent, or for a trial call."""
        self._refill()
        self._tokens = min(self._tokens + 1.0, max(1.0, self.capacity))

    def find_wait_s(self, calls: int = 1) -> float:
        """Return the time until there are tokens for several calls.

        Parameters
        ----------
        calls : int
            Number of calls, including those that are served first.
        """
        self._refill()
        missing = calls - self._tokens
        if missing <= EPSILON:
            return 0.0
        return missing / self.per_s if self.per_s else math.inf

    def _refill(self) -> None:
        now_s = self.now_s()
        refilled = (now_s - self._refilled_s) * self.per_s
        self._refilled_s = now_s
        if refilled > 0:
            # Does not take away the token of a trial call.
            limit = max(self.capacity, self._tokens)
            self._tokens = min(limit, self._tokens + refilled)

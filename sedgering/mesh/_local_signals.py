"""What the local target states about itself in its answers."""

from collections.abc import Callable
import logging

from sedgering.mesh import _messages
from sedgering.mesh import _signals
from sedgering import overload

__all__ = ['LocalSignals']

LOG = logging.getLogger(__name__)

#: A changed limit is logged when it differs by this share from the logged one.
LOGGED_CHANGE_SHARE = 0.1


class LocalSignals:
    """Follows the rate limit that one lifetime of the local target states.

    Parameters
    ----------
    now_s : callable
        Returns the event loop time in seconds.
    """

    def __init__(self, now_s: Callable[[], float]):
        self.now_s = now_s
        self.lifetime: _messages.Lifetime | None = None
        self._limit = overload.StatedLimit()
        self._logged_per_s: float | None = None
        self._has_logged_malformed = False

    @property
    def rate_limit_per_s(self) -> float | None:
        """Rate limit in force; None for no limit."""
        return self._limit.per_s

    def is_heard_from(self, lifetime: _messages.Lifetime) -> bool:
        """Whether a lifetime has answered."""
        is_same = self.lifetime is not None and lifetime.is_same(self.lifetime)
        return is_same and self._limit.is_heard

    def note(
        self,
        signals: _signals.TargetSignals,
        lifetime: _messages.Lifetime,
        sent_s: float,
    ) -> None:
        """Note the signals in an answer.

        Parameters
        ----------
        signals : TargetSignals
            Decoded signals.
        lifetime : Lifetime
            Lifetime that received the request.
        sent_s : float
            When the request was sent.
        """
        self._follow(lifetime)
        if signals.malformed and not self._has_logged_malformed:
            self._has_logged_malformed = True
            _signals.log_malformed(lifetime.target, signals.malformed)
        if signals.is_limit_malformed:
            return
        is_changed = self._limit.note(
            signals.rate_limit_per_s, sent_s, self.now_s()
        )
        if is_changed:
            self._log_change()

    def find_gauges(self) -> dict[str, float]:
        """Return the limit as a metric, if the target states one."""
        limit_per_s = self.rate_limit_per_s
        if limit_per_s is None:
            return {}
        return {'target_rate_limit_per_s': limit_per_s}

    def assume(self, per_s: float, lifetime: _messages.Lifetime) -> bool:
        """Assume a limit that the sender of a call knows.

        For a daemon that was restarted beside its target: no answer of the
        target has reached it yet.  Return whether the limit changed.
        """
        self._follow(lifetime)
        is_changed = self._limit.assume(per_s)
        if is_changed:
            self._log_change()
        return is_changed

    def _follow(self, lifetime: _messages.Lifetime) -> None:
        """Forget the limit of another lifetime."""
        is_same = self.lifetime is not None and lifetime.is_same(self.lifetime)
        self.lifetime = lifetime
        if not is_same:
            self._limit = overload.StatedLimit()
            self._logged_per_s = None
            self._has_logged_malformed = False

    def _log_change(self) -> None:
        """Log a limit that begins, ends or has changed by much."""
        old, new = self._logged_per_s, self.rate_limit_per_s
        if old is not None and new is not None:
            if abs(new - old) <= LOGGED_CHANGE_SHARE * old:
                return
        self._logged_per_s = new
        LOG.info(
            'target rate limit',
            extra={
                'target': self.lifetime.target,
                'limit_per_s': new,
                'detail': 'none' if new is None else '',
            },
        )

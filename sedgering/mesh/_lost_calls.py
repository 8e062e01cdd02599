"""Calls that ended without an answer shortly before their target crashed."""

import collections

import msgspec

from sedgering import base
from sedgering.mesh import _messages

__all__ = ['LostCalls']

#: Time before a crash within which a lost call may have caused it: callers
#: give up, and a crash is detected a moment after it happened.
RETENTION_S = 2.0
#: Maximum number of calls: those of a target with many slots at its crash.
CALLS_LIMIT = 256


class _LostCall(msgspec.Struct, frozen=True):
    """One call that ended without an answer.

    Parameters
    ----------
    fingerprint : Fingerprint
        Fingerprint of its request.
    lifetime : Lifetime
        Lifetime to which it was sent.
    is_trial : bool
        Whether it ran as a suspect.
    at_s : float
        Time at which it ended, in seconds of event loop time.
    """

    fingerprint: base.Fingerprint
    lifetime: _messages.Lifetime
    is_trial: bool
    at_s: float


class LostCalls:
    """Recent calls to the local target that ended without an answer."""

    def __init__(self):
        self._calls: collections.deque[_LostCall] = collections.deque(
            maxlen=CALLS_LIMIT
        )

    def add(
        self,
        fingerprint: base.Fingerprint,
        lifetime: _messages.Lifetime,
        is_trial: bool,
        now_s: float,
    ) -> None:
        """Add one call."""
        self._calls.append(_LostCall(fingerprint, lifetime, is_trial, now_s))

    def take(
        self, lifetime: _messages.Lifetime, now_s: float
    ) -> dict[base.Fingerprint, bool]:
        """Remove all calls; return those that a lifetime lost, latest first.

        Returns
        -------
        dict of Fingerprint to bool
            Requests of the calls, and whether each ran as a suspect.
        """
        calls, found = list(self._calls), {}
        self._calls.clear()
        for call in reversed(calls):
            if call.lifetime == lifetime and now_s - call.at_s <= RETENTION_S:
                was_trial = found.get(call.fingerprint, False)
                found[call.fingerprint] = was_trial or call.is_trial
        return found

"""Calls that ended without an answer just before their target did."""

import collections

import msgspec

from sedgering import base
from sedgering.mesh import _messages

__all__ = ['LostCalls']

#: For how long before the end of a target a call may have caused it, though
#: its connection is gone: callers give up, and an end is seen a moment later.
KEEP_S = 2.0
#: Calls kept: what targets with many places have under way at their end.
CALLS_LIMIT = 256


class _Lost(msgspec.Struct, frozen=True):
    """One call without an answer.

    Parameters
    ----------
    fingerprint : Fingerprint
        Of its request.
    lifetime : Lifetime
        To which it was sent.
    is_trial : bool
        Whether it ran as a suspect.
    at_s : float
        When it ended, as time of the event loop.
    """

    fingerprint: base.Fingerprint
    lifetime: _messages.Lifetime
    is_trial: bool
    at_s: float


class LostCalls:
    """The last calls to the local target that ended without an answer."""

    def __init__(self):
        self._calls: collections.deque[_Lost] = collections.deque(
            maxlen=CALLS_LIMIT
        )

    def note(
        self,
        fingerprint: base.Fingerprint,
        lifetime: _messages.Lifetime,
        is_trial: bool,
        now_s: float,
    ) -> None:
        """Take in one call."""
        self._calls.append(_Lost(fingerprint, lifetime, is_trial, now_s))

    def take(
        self, lifetime: _messages.Lifetime, now_s: float
    ) -> dict[base.Fingerprint, bool]:
        """Return the calls that a lifetime lost, the last ones first.

        Returns
        -------
        dict of Fingerprint to bool
            Whether each ran as a suspect.
        """
        calls, found = list(self._calls), {}
        self._calls.clear()
        for call in reversed(calls):
            if call.lifetime == lifetime and now_s - call.at_s <= KEEP_S:
                was_trial = found.get(call.fingerprint, False)
                found[call.fingerprint] = was_trial or call.is_trial
        return found

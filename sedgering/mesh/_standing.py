"""What is known of one request under which targets may have ended."""

from sedgering import base
from sedgering.mesh import _crashes
from sedgering.mesh import _messages
from sedgering import transport

__all__ = ['KnownRequest']


class KnownRequest:
    """What is known of one request, at the daemon of its caller.

    Parameters
    ----------
    request : Request
        As the caller sent it.
    crashes : CrashTable
        What this daemon knows of all requests.
    """

    __slots__ = ('_crashes', '_request', 'fingerprint')

    def __init__(
        self, request: transport.Request, crashes: _crashes.CrashTable
    ):
        self._request = request
        self._crashes = crashes
        #: None while nothing is known of the request.
        self.fingerprint = crashes.find(request)

    @property
    def is_suspect(self) -> bool:
        """Whether it may run at one place only."""
        return self._judge() is _crashes.Standing.SUSPECT

    @property
    def is_quarantined(self) -> bool:
        """Whether it may not be begun."""
        return self._judge() is _crashes.Standing.QUARANTINED

    def _judge(self) -> _crashes.Standing:
        if self.fingerprint is None:
            return _crashes.Standing.SOUND
        return self._crashes.judge(self.fingerprint)

    def find_wait_s(self) -> float:
        """Return the time until it may be tried, where it may not begin."""
        return self._crashes.find_wait_s(self.fingerprint)

    def make_fingerprint(self) -> base.Fingerprint:
        """Return the fingerprint, whether or not anything is known."""
        if self.fingerprint is None:
            return self._crashes.make_fingerprint(self._request)
        return self.fingerprint

    def tell(self, call: _messages.TargetCall) -> None:
        """Tell the gate of a target what is known here."""
        if self.fingerprint is None:
            return
        call.is_trial = self.is_suspect
        call.crashes = self._crashes.list_crashes(self.fingerprint)
        call.forgiven = self._crashes.list_forgiven(self.fingerprint)

    def note(self, answer: _messages.CallAnswer) -> None:
        """Take in ends that an answer tells, or that a target answered."""
        if answer.crashes:
            self.fingerprint = self.make_fingerprint()
            self._crashes.blame(self.fingerprint, answer.crashes)
        is_answered = answer.outcome is _messages.CallOutcome.ANSWERED
        if is_answered and self.fingerprint is not None:
            self._crashes.forgive(self.fingerprint)

"""Crash status of one request, during which targets may have crashed."""

from sedgering import base
from sedgering.mesh import _crashes
from sedgering.mesh import _messages
from sedgering import transport

__all__ = ['RequestStatus']


class RequestStatus:
    """Crash status of one request, at the daemon of its caller.

    Parameters
    ----------
    request : Request
        Request as the caller sent it.
    crashes : CrashTable
        Table of all requests that this daemon knows.
    """

    __slots__ = ('_crashes', '_request', 'fingerprint')

    def __init__(
        self, request: transport.Request, crashes: _crashes.CrashTable
    ):
        self._request = request
        self._crashes = crashes
        #: None while no crash is known for the request.
        self.fingerprint = crashes.find(request)

    @property
    def is_suspect(self) -> bool:
        """Whether the request may run at one host only."""
        return self._find_status() is _crashes.CrashStatus.SUSPECT

    @property
    def is_quarantined(self) -> bool:
        """Whether the request must not be started."""
        return self._find_status() is _crashes.CrashStatus.QUARANTINED

    def _find_status(self) -> _crashes.CrashStatus:
        if self.fingerprint is None:
            return _crashes.CrashStatus.SOUND
        return self._crashes.find_status(self.fingerprint)

    def find_wait_s(self) -> float:
        """Return the time until a quarantined request may be tried."""
        return self._crashes.find_wait_s(self.fingerprint)

    def make_fingerprint(self) -> base.Fingerprint:
        """Return the fingerprint, even if no crash is known."""
        if self.fingerprint is None:
            return self._crashes.make_fingerprint(self._request)
        return self.fingerprint

    def add_evidence(self, call: _messages.TargetCall) -> None:
        """Add the evidence that is known here to a call."""
        if self.fingerprint is None:
            return
        call.is_trial = self.is_suspect
        call.crashes = self._crashes.list_crashes(self.fingerprint)
        call.cleared_crashes = self._crashes.list_cleared(self.fingerprint)

    def update(self, answer: _messages.CallAnswer) -> None:
        """Update the table with an answer and the crashes it reports."""
        if answer.crashes:
            self.fingerprint = self.make_fingerprint()
            self._crashes.add_crashes(self.fingerprint, answer.crashes)
        is_answered = answer.outcome is _messages.CallOutcome.ANSWERED
        if is_answered and self.fingerprint is not None:
            self._crashes.clear(self.fingerprint)

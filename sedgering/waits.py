"""Waits at a start for what another process has not made ready yet."""

import time

from sedgering import signals

__all__ = ['StartWait']

#: Longest wait, such as for a port that the process before still holds.
#: Requests wait in the listen queues meanwhile instead of being reset.
WAIT_S = 5.0
RETRY_INTERVAL_S = 0.02


class StartWait:
    """Waits between attempts, until it is too late or the program must stop.

    Parameters
    ----------
    receiver : SignalReceiver or None
        Receives the signals to this process; None if it does not wait for
        any.

    Attributes
    ----------
    first_error : str
        Why the first attempt failed; empty if none has failed.
    """

    def __init__(self, receiver: signals.SignalReceiver | None):
        self.first_error = ''
        self._receiver = receiver
        self._end_s = time.monotonic() + WAIT_S

    def pause(self, error: Exception) -> None:
        """Wait after a failed attempt.

        Parameters
        ----------
        error : Exception
            Why it failed; raised when there is no time for another attempt.

        Raises
        ------
        StopRequested
            When a signal to stop has been received.
        """
        receiver = self._receiver
        if receiver is not None and receiver.stop_requested_s is not None:
            raise signals.StopRequested(f'stopped before the start: {error}')
        if time.monotonic() >= self._end_s:
            raise error
        self.first_error = self.first_error or str(error)
        time.sleep(RETRY_INTERVAL_S)

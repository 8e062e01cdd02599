"""Signals to a process, received from its first instruction on.

Until a signal has a handler, it ends the process at once, and whatever waits
in the listen queues is reset.  A program therefore makes a
:class:`SignalReceiver` before it imports anything else.
"""

# The public module imports `enum`, which takes longer than all before it.
import _signal
import time

__all__ = ['STOP_SIGNALS', 'SignalReceiver', 'StopRequested']

STOP_SIGNALS = (_signal.SIGTERM, _signal.SIGINT)
SIGNALS = (*STOP_SIGNALS, _signal.SIGHUP)
#: Each signal writes a byte.
WAKEUP_BYTES = 4096


class StopRequested(Exception):
    """A signal to stop, received before the program was ready."""


class SignalReceiver:
    """Notes signals until the program is ready to handle them.

    The handlers stay in place until the process ends.  Those of an event loop
    are not used: closing the loop restores the default actions.

    Attributes
    ----------
    stop_requested_s : float or None
        When the first signal to stop was received, in seconds of
        ``CLOCK_BOOTTIME``.
    """

    def __init__(self):
        self.stop_requested_s: float | None = None
        #: Signals that have not been handled yet.
        self._received: list[int] = []
        self._sockets = ()
        for number in SIGNALS:
            _signal.signal(number, self._note)

    def _note(self, number: int, _frame) -> None:
        if number in STOP_SIGNALS and self.stop_requested_s is None:
            self.stop_requested_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        self._received.append(number)

    def listen(self, loop, handle) -> None:
        """Handle signals in an event loop, including those noted before.

        Parameters
        ----------
        loop : AbstractEventLoop
            Event loop of the main thread.
        handle : callable
            Called with the number of each signal; once for several signals of
            the same number that wait.
        """
        reader = self._open_wakeup()
        reader.setblocking(False)
        loop.add_reader(reader, self._wake_up, handle)
        self._handle_received(handle)

    def _open_wakeup(self):
        """Open a socket that is readable after each signal.

        A signal that arrives just before a wait would else not end it.
        """
        # Imported late, as it imports `enum`.
        import socket

        self._sockets = reader, writer = socket.socketpair()
        writer.setblocking(False)
        _signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        return reader

    def _wake_up(self, handle) -> None:
        self._sockets[0].recv(WAKEUP_BYTES)
        self._handle_received(handle)

    def _handle_received(self, handle) -> None:
        received, self._received = self._received, []
        # Those to stop come first: the handler of another one may fail.
        for number in sorted(set(received), key=_is_other):
            handle(number)

    def wait_stop(self) -> None:
        """Wait for a signal to stop, without an event loop."""
        reader = self._open_wakeup()
        while self.stop_requested_s is None:
            reader.recv(WAKEUP_BYTES)

    def ignore(self) -> None:
        """Ignore all signals from now on: the process is about to end.

        The interpreter restores the default action of handled signals as it
        ends, but not of ignored ones.
        """
        for number in SIGNALS:
            _signal.signal(number, _signal.SIG_IGN)
        _signal.set_wakeup_fd(-1)
        for item in self._sockets:
            item.close()
        self._sockets = ()


def _is_other(number: int) -> bool:
    """Whether a signal is not one to stop."""
    return number not in STOP_SIGNALS

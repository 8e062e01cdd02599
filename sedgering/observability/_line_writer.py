"""Writes log lines without ever waiting for their reader."""

from collections.abc import Callable
import os
import select
import stat

__all__ = ['LineWriter', 'make_line_writer']

#: Lines that wait for a reader; beyond it they are dropped.
PENDING_LIMIT_BYTES = 64 * 1024
#: POSIX: a pipe that is ready accepts this much without blocking.
PIECE_BYTES = select.PIPE_BUF


class LineWriter:
    """Writes lines to a descriptor as far as that is possible at once.

    A write to a full pipe blocks until somebody reads.  In an event loop that
    would stop all requests.  The descriptor itself stays in blocking mode,
    since its open file is shared with other processes.

    Parameters
    ----------
    descriptor : int
        Where to write.
    is_ready : callable
        Returns whether the descriptor accepts `PIECE_BYTES` now.
    """

    def __init__(self, descriptor: int, is_ready: Callable[[], bool]):
        self.descriptor = descriptor
        self.is_ready = is_ready
        #: Number of lines dropped since the start.
        self.dropped = 0
        self._reported = 0
        self._pending = bytearray()

    def write(self, line: bytes) -> None:
        """Write a line now, keep it for later, or drop it."""
        if len(self._pending) + len(line) > PENDING_LIMIT_BYTES:
            self.dropped += 1
            self.flush()
            return
        self._pending += line
        self.flush()

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call.

        It is 0 while older lines are still waiting.
        """
        if self._pending:
            return 0
        count = self.dropped - self._reported
        self._reported = self.dropped
        return count

    def flush(self) -> None:
        """Write what the descriptor accepts now."""
        while self._pending and self.is_ready():
            try:
                written = os.write(
                    self.descriptor, self._pending[:PIECE_BYTES]
                )
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone; there is nowhere left to log this.
                self.dropped += self._pending.count(b'\n')
                self._pending.clear()
                return
            del self._pending[:written]


def make_line_writer(descriptor: int) -> LineWriter:
    """Make a writer for an open descriptor."""
    if stat.S_ISREG(os.fstat(descriptor).st_mode):
        return LineWriter(descriptor, lambda: True)
    poller = select.poll()
    poller.register(descriptor, select.POLLOUT)
    return LineWriter(descriptor, lambda: bool(poller.poll(0)))

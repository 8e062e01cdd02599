"""Shares the link of a host among the answers that leave it.

A large answer that is written at once fills the queue of a narrow link, and
all that comes behind it waits: 0.5 MB take 0.6 s on 7.5 Mbit/s.  So large
answers are written in pieces, as fast as the link takes them, one answer
after the other; small ones go in between.
"""

import asyncio
import collections
from collections.abc import Callable

__all__ = ['LinkPacer', 'PacedWrite', 'make_pacer']

#: Answers below this size are written at once: they take 9 ms on 7.5 Mbit/s.
SMALL_BYTES = 8 * 1024
#: Written at a time: the longest time that a small answer waits behind a
#: large one, 17 ms on 7.5 Mbit/s, at some 20 us of processor time a piece.
PIECE_BYTES = 16 * 1024
#: Share of the link that answers take; the rest is for calls, heartbeats and
#: the headers of packets.
PACED_SHARE = 0.92
#: Links from which on nothing is paced: the largest answers take 20 ms.
WIDE_MBPS = 200
BITS = 8


class PacedWrite:
    """An answer that is written in pieces.

    Parameters
    ----------
    write : callable
        Takes each piece.
    data : bytes
        The encoded answer.
    on_end : callable
        Called once all is written.
    """

    def __init__(
        self,
        write: Callable[[memoryview], None],
        data: bytes,
        on_end: Callable[[], None],
    ):
        self.write = write
        self.left = memoryview(data)
        self.on_end = on_end

    def cancel(self) -> None:
        """Write no more: nobody waits for it."""
        self.left = self.left[:0]
        self.on_end = _do_nothing

    def write_piece(self) -> int:
        """Write the next piece; return its size."""
        piece = self.left[:PIECE_BYTES]
        self.left = self.left[PIECE_BYTES:]
        self.write(piece)
        return len(piece)


class LinkPacer:
    """Writes large answers one after the other, as fast as the link is.

    Parameters
    ----------
    bytes_per_s : float
        For answers.
    loop : AbstractEventLoop
        In which they are written.
    """

    def __init__(self, bytes_per_s: float, loop: asyncio.AbstractEventLoop):
        self.bytes_per_s = bytes_per_s
        self._loop = loop
        self._writes: collections.deque[PacedWrite] = collections.deque()
        #: When the link will have taken what was written.
        self._free_s = loop.time()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def queued_bytes(self) -> int:
        """Bytes of answers that wait to be written."""
        return sum(len(item.left) for item in self._writes)

    @property
    def wait_s(self) -> float:
        """Time until a new answer would begin to leave."""
        behind_s = max(0.0, self._free_s - self._loop.time())
        return behind_s + self.queued_bytes / self.bytes_per_s

    def note_small(self, size_bytes: int) -> None:
        """Count an answer that was written at once."""
        self._take(size_bytes)

    def submit(self, item: PacedWrite) -> None:
        """Write an answer behind those that wait."""
        self._writes.append(item)
        if self._timer is None:
            self._pump()

    def _pump(self) -> None:
        """Write pieces until the link is busy for a moment."""
        self._timer = None
        while self._writes:
            wait_s = self._free_s - self._loop.time()
            if wait_s > 0:
                self._timer = self._loop.call_later(wait_s, self._pump)
                return
            item = self._writes[0]
            self._take(item.write_piece())
            if not item.left:
                self._writes.popleft()
                item.on_end()

    def _take(self, size_bytes: int) -> None:
        start_s = max(self._free_s, self._loop.time())
        self._free_s = start_s + size_bytes / self.bytes_per_s


def make_pacer(
    link_mbps: float, loop: asyncio.AbstractEventLoop
) -> LinkPacer | None:
    """Make the pacer of a host.

    Parameters
    ----------
    link_mbps : float
        Width of its link; 0 when it is not known.
    loop : AbstractEventLoop
        In which it writes.

    Returns
    -------
    LinkPacer or None
        None where the link is wide, or not known.
    """
    if not link_mbps or link_mbps >= WIDE_MBPS:
        return None
    return LinkPacer(link_mbps * 1e6 / BITS * PACED_SHARE, loop)


def _do_nothing() -> None:
    """End a write that was cancelled."""

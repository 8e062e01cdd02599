"""Paces the responses that share the outgoing link of a host.

A large response that is written in one piece fills the send queue of a slow
link and delays everything behind it: 0.5 MB take 0.6 s at 7.5 Mbit/s.  Large
responses are therefore written in pieces at the rate of the link, one response
after the other, and small ones are sent between the pieces.
"""

import asyncio
import collections
from collections.abc import Callable

__all__ = ['LinkPacer', 'PacedWrite', 'make_pacer']

#: Smaller responses are written in one piece: they take at most 9 ms at
#: 7.5 Mbit/s.
PACING_THRESHOLD_BYTES = 8 * 1024
#: Size of a piece.  It limits how long a small response waits behind a large
#: one, to 17 ms at 7.5 Mbit/s; a piece costs about 20 us of processor time.
PIECE_BYTES = 16 * 1024
#: Share of the link bandwidth for responses; the rest is for calls,
#: heartbeats and packet headers.
PACED_LINK_SHARE = 0.92
#: Bandwidth at and above which responses are not paced: the largest ones take
#: 20 ms there.
UNPACED_LINK_MBPS = 200
BITS_PER_BYTE = 8


class PacedWrite:
    """A response that is written in pieces.

    Parameters
    ----------
    write : callable
        Called with each piece.
    data : bytes
        Encoded response, or its body.
    on_end : callable
        Called once everything is written.
    head : bytes
        Written before the first piece, and together with it.
    """

    def __init__(
        self,
        write: Callable[[memoryview], None],
        data: bytes,
        on_end: Callable[[], None],
        head: bytes = b'',
    ):
        self.write = write
        self.remaining = memoryview(data)
        self.on_end = on_end
        self._head = head

    def cancel(self) -> None:
        """Stop writing; `on_end` is not called."""
        self._head = b''
        # A view of the data would keep all of it.
        self.remaining = memoryview(b'')
        self.on_end = _do_nothing

    def write_piece(self) -> int:
        """Write the next piece and return its size in bytes."""
        piece = self.remaining[:PIECE_BYTES]
        self.remaining = self.remaining[PIECE_BYTES:]
        head, self._head = self._head, b''
        if head:
            piece = memoryview(head + piece)
        self.write(piece)
        return len(piece)


class LinkPacer:
    """Writes large responses one after the other at the rate of the link.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth for responses.
    loop : AbstractEventLoop
        Event loop that schedules the writes.
    """

    def __init__(self, bytes_per_s: float, loop: asyncio.AbstractEventLoop):
        self.bytes_per_s = bytes_per_s
        self._loop = loop
        self._writes: collections.deque[PacedWrite] = collections.deque()
        #: Time of the event loop at which the link will have sent everything
        #: written so far.
        self._free_s = loop.time()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def queued_bytes(self) -> int:
        """Bytes of responses that wait to be written."""
        return sum(len(item.remaining) for item in self._writes)

    @property
    def wait_s(self) -> float:
        """Time in seconds until a new response would begin to be sent."""
        backlog_s = max(0.0, self._free_s - self._loop.time())
        return backlog_s + self.queued_bytes / self.bytes_per_s

    def note_small(self, size_bytes: int) -> None:
        """Account for a response that was written without pacing."""
        self._occupy_link(size_bytes)

    def submit(self, item: PacedWrite) -> None:
        """Queue a response behind those that are waiting."""
        self._writes.append(item)
        if self._timer is None:
            self._write_pieces()

    def _write_pieces(self) -> None:
        """Write pieces until the link is busy, then schedule the next call."""
        self._timer = None
        while self._writes:
            wait_s = self._free_s - self._loop.time()
            if wait_s > 0:
                self._timer = self._loop.call_later(wait_s, self._write_pieces)
                return
            item = self._writes[0]
            self._occupy_link(item.write_piece())
            if not item.remaining:
                self._writes.popleft()
                item.on_end()

    def _occupy_link(self, size_bytes: int) -> None:
        start_s = max(self._free_s, self._loop.time())
        self._free_s = start_s + size_bytes / self.bytes_per_s


def make_pacer(
    link_mbps: float, loop: asyncio.AbstractEventLoop
) -> LinkPacer | None:
    """Create the pacer of a host.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of its link in Mbit/s; 0 when unknown.
    loop : AbstractEventLoop
        Event loop that schedules the writes.

    Returns
    -------
    LinkPacer or None
        None if the bandwidth is unknown or at least `UNPACED_LINK_MBPS`.
    """
    if not link_mbps or link_mbps >= UNPACED_LINK_MBPS:
        return None
    return LinkPacer(link_mbps * 1e6 / BITS_PER_BYTE * PACED_LINK_SHARE, loop)


def _do_nothing() -> None:
    """Replace the callback of a cancelled write."""

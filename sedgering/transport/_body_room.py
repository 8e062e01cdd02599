"""Room for the body of a response while it arrives."""

import asyncio
from collections.abc import Callable
import math

from sedgering.transport import _response_memory

__all__ = ['BodyRoom']


class BodyRoom(_response_memory.ResponseHolder):
    """Room for one large body: its sender is held back while there is none.

    Parameters
    ----------
    memory : ResponseMemory
        Bounds the response data of all requests together.
    transport : Transport
        Connection of the sender; reading from it is paused.
    loop : AbstractEventLoop
        Event loop of the connection.
    length_bytes : int or None
        Size of the body; None when it is unknown.
    on_give_way : callable
        Drops the body and closes the connection.
    """

    def __init__(
        self,
        memory: _response_memory.ResponseMemory,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        length_bytes: int | None,
        on_give_way: Callable[[], None],
    ):
        self._memory = memory
        self._transport = transport
        self._loop = loop
        self._length_bytes = length_bytes
        self._on_give_way = on_give_way
        #: What was asked for last; there is room for it unless this waits.
        self._asked_bytes = 0
        self._received_bytes = 0
        self._is_waiting = False
        #: Progress counts since there was room, as a wait is no fault of the
        #: sender.
        self._reading_s = 0.0
        self._reading_since_s = loop.time()
        self._heard_s = loop.time()

    def note_received(self, size_bytes: int) -> None:
        """Record the size of what has arrived, and ask for room for more."""
        self._received_bytes = size_bytes
        self._heard_s = self._loop.time()
        if self._is_waiting or max(1, size_bytes) <= self._asked_bytes:
            return
        is_growing = self._length_bytes is None
        self._asked_bytes = self._find_wanted()
        if self._memory.request(
            self, self._asked_bytes, self._resume, is_growing
        ):
            return
        self._is_waiting = True
        self._reading_s += self._loop.time() - self._reading_since_s
        self._transport.pause_reading()

    def _find_wanted(self) -> int:
        if self._length_bytes is not None:
            return self._length_bytes
        wanted_bytes = _response_memory.SMALL_BYTES
        while wanted_bytes <= self._received_bytes:
            wanted_bytes *= 2
        return min(wanted_bytes, _response_memory.BODY_LIMIT_BYTES)

    def _resume(self) -> None:
        """Go on reading: there is room."""
        self._is_waiting = False
        self._reading_since_s = self._heard_s = self._loop.time()
        self._transport.resume_reading()

    def release(self) -> None:
        """Give back the room, and let the connection be read again."""
        self._memory.forget(self)
        if self._is_waiting:
            self._is_waiting = False
            self._transport.resume_reading()

    # Methods of a holder.

    def find_drain_s(self, now_s: float) -> float:
        """Return the expected time until the body is complete.

        What is left of a body of unknown length is taken to be as long as
        what has arrived.  One that waits is not at fault.
        """
        if self._is_waiting:
            return 0.0
        if now_s - self._heard_s >= _response_memory.PATIENCE_S:
            return math.inf
        reading_s = self._reading_s + now_s - self._reading_since_s
        if reading_s < _response_memory.PATIENCE_S:
            # Too early for a rate.
            return 0.0
        if self._length_bytes is None:
            return reading_s
        remaining_bytes = self._length_bytes - self._received_bytes
        return remaining_bytes * reading_s / max(1, self._received_bytes)

    def give_way(self) -> None:
        """Fail the exchange and close its connection."""
        self._on_give_way()

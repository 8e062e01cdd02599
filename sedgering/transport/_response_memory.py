"""Bounds the response data that a process holds for all requests together.

Response data is held while it arrives, and until the caller has taken it.
Small responses are always received.  A larger one is read only as far as there
is room for it; until then, flow control holds it back at its sender.  While
one waits, what is expected to stay longest gives way: a body that does not
end, a sender that has stopped, a caller that does not read.

Responses of unknown length ask for room as they grow.  As with the banker's
algorithm, room is granted to them only if one of them can still grow to the
largest size, so that they do not wait for each other for ever.
"""

import abc
import asyncio
from collections.abc import Callable
import logging

import msgspec

__all__ = ['ResponseHolder', 'ResponseMemory', 'make_response_memory']

LOG = logging.getLogger(__name__)

#: Responses up to this size are received without waiting for room.
SMALL_BYTES = 64 * 1024
#: Longest wait for room before something held has to give way; also the
#: shortest time after which something held counts as stalled.
PATIENCE_S = 0.25
#: Expected time from which on something held gives way although it makes
#: progress.
LONG_DRAIN_S = 5.0
#: Largest body of a response.
BODY_LIMIT_BYTES = 16 * 1024 * 1024
#: Share of the memory limit of the process.
MEMORY_SHARE = 0.2
#: Memory limit assumed when the settings state none: the smallest one.
DEFAULT_MEMORY_MB = 200
BYTES_PER_MB = 1024 * 1024


class ResponseHolder(abc.ABC):
    """Something that holds response data."""

    @abc.abstractmethod
    def find_drain_s(self, now_s: float) -> float:
        """Return the expected time until nothing is held, in seconds.

        Infinite if no progress was made for `PATIENCE_S`.

        Parameters
        ----------
        now_s : float
            Time of the event loop.
        """

    @abc.abstractmethod
    def give_way(self) -> None:
        """Drop what is held and close the connection."""


class _Wait(msgspec.Struct, eq=False):
    """A response that waits for room.

    Parameters
    ----------
    holder : ResponseHolder
        Holds what has been received of it.
    size_bytes : int
        What it will hold.
    on_granted : callable
        Called once there is room.
    is_growing : bool
        Whether it may ask for more.
    """

    holder: ResponseHolder
    size_bytes: int
    on_granted: Callable[[], None]
    is_growing: bool


class ResponseMemory:
    """Bounds the response data held by all holders together.

    Parameters
    ----------
    limit_bytes : int
        Largest sum, without what is granted to small responses beyond it.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        #: Sum over all holders.
        self.used_bytes = 0
        #: Number of times that a holder had to give way, since the start.
        self.released_holders = 0
        self._held: dict[ResponseHolder, int] = {}
        #: Those whose length is unknown.
        self._growing: set[ResponseHolder] = set()
        self._waiting: dict[ResponseHolder, _Wait] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_short(self) -> bool:
        """Whether a response waits for room."""
        return bool(self._waiting)

    def find_gauges(self) -> dict[str, int]:
        """Return gauges for the metrics."""
        return {
            'response_bytes': self.used_bytes,
            'responses_waiting': len(self._waiting),
            'responses_given_way': self.released_holders,
        }

    def find_held(self, holder: ResponseHolder) -> int:
        """Return the number of bytes recorded for a holder."""
        return self._held.get(holder, 0)

    def set_held(self, holder: ResponseHolder, size_bytes: int) -> None:
        """Record what a holder holds, as a number of bytes."""
        previous = self._held.get(holder, 0)
        if size_bytes:
            self._held[holder] = size_bytes
        else:
            self._held.pop(holder, None)
        self.used_bytes += size_bytes - previous
        if size_bytes < previous:
            self._grant()

    def request(
        self,
        holder: ResponseHolder,
        size_bytes: int,
        on_granted: Callable[[], None],
        is_growing: bool = False,
    ) -> bool:
        """Ask for room.

        Parameters
        ----------
        holder : ResponseHolder
            Will hold the response; asks once at a time.
        size_bytes : int
            What it will hold in all.
        on_granted : callable
            Called once there is room, unless there is now.
        is_growing : bool
            Whether its length is unknown, so that it may ask for more.

        Returns
        -------
        bool
            Whether there is room now.
        """
        wait = _Wait(holder, size_bytes, on_granted, is_growing)
        if is_growing:
            self._growing.add(holder)
        if size_bytes <= SMALL_BYTES or self._may_grant(wait):
            self.set_held(holder, size_bytes)
            return True
        self._waiting[holder] = wait
        if self._timer is None:
            self._schedule()
        return False

    def limit_sum(self) -> None:
        """Make room soon if more is held than the limit.

        Who takes over what has arrived already does not wait for room.
        """
        if self._is_exceeded and self._timer is None:
            self._schedule()

    @property
    def has_room(self) -> bool:
        """Whether nothing waits, and no more is held than the limit."""
        return not self._waiting and not self._is_exceeded

    def may_hold(self, size_bytes: float) -> bool:
        """Whether a response of this size would not have to wait now."""
        return self.has_room or size_bytes <= SMALL_BYTES

    @property
    def _is_exceeded(self) -> bool:
        return self.used_bytes > self.limit_bytes

    def forget(self, holder: ResponseHolder) -> None:
        """Drop a holder, whether it holds something or waits."""
        self._waiting.pop(holder, None)
        self._growing.discard(holder)
        self.used_bytes -= self._held.pop(holder, 0)
        self._grant()

    def _may_grant(self, wait: _Wait) -> bool:
        held_bytes = self._held.get(wait.holder, 0)
        others_bytes = self.used_bytes - held_bytes
        if not others_bytes:
            # Whatever the limit, one response passes.
            return True
        free_bytes = self.limit_bytes - others_bytes - wait.size_bytes
        if not wait.is_growing:
            return free_bytes >= 0
        largest_bytes = max(self.find_held(item) for item in self._growing)
        if held_bytes < largest_bytes and self._has_known_waiting():
            return False
        most_bytes = max(largest_bytes, wait.size_bytes)
        return free_bytes >= BODY_LIMIT_BYTES - most_bytes

    def _has_known_waiting(self) -> bool:
        """Whether a response of known length waits."""
        return any(not wait.is_growing for wait in self._waiting.values())

    def _grant(self) -> None:
        """Grant room to those that wait, those of known length first.

        Of these the smallest comes first, of the others the largest.
        """
        if not self._waiting:
            return
        for wait in sorted(self._waiting.values(), key=self._find_turn):
            is_waiting = self._waiting.get(wait.holder) is wait
            if is_waiting and self._may_grant(wait):
                del self._waiting[wait.holder]
                self.set_held(wait.holder, wait.size_bytes)
                wait.on_granted()

    def _find_turn(self, wait: _Wait) -> tuple[bool, int]:
        if wait.is_growing:
            return True, -self.find_held(wait.holder)
        return False, wait.size_bytes

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            PATIENCE_S, self._check
        )

    def _check(self) -> None:
        """Make room for those that have waited for too long."""
        self._timer = None
        if self.has_room:
            return
        self._schedule()
        before, used_bytes = self.released_holders, self.used_bytes
        for _drain_s, _size_bytes, holder in self._list_long_held():
            if not self._needs_room():
                break
            if holder in self._held:
                self.released_holders += 1
                holder.give_way()
                self.forget(holder)
        released = self.released_holders - before
        if released:
            LOG.warning(
                'responses give way',
                extra={'detail': f'{released}, {used_bytes} bytes were held'},
            )

    def _list_long_held(self) -> list[tuple[float, int, ResponseHolder]]:
        """Return what stays for long: times, sizes and holders.

        What is expected to stay longest comes first.
        """
        now_s = asyncio.get_running_loop().time()
        items = [
            (holder.find_drain_s(now_s), size_bytes, holder)
            for holder, size_bytes in self._held.items()
            if size_bytes > SMALL_BYTES or self._is_exceeded
        ]
        items = [item for item in items if item[0] >= LONG_DRAIN_S]
        return sorted(items, key=lambda item: item[:2], reverse=True)

    def _needs_room(self) -> bool:
        """Whether the sum is too large, or nothing that waits may go on."""
        if self._is_exceeded:
            return True
        return self.is_short and not self._may_grant_any()

    def _may_grant_any(self) -> bool:
        return any(self._may_grant(wait) for wait in self._waiting.values())


def make_response_memory(memory_mb: int) -> ResponseMemory:
    """Make the bound for a process.

    Parameters
    ----------
    memory_mb : int
        Memory limit of the process in MB; 0 when unknown.
    """
    memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
    return ResponseMemory(int(memory_bytes * MEMORY_SHARE))

"""Bounds the request bodies that this process holds."""

import abc
import logging

from sedgering.transport import _response_memory

__all__ = ['BodyMemory', 'BodyReceiver']

LOG = logging.getLogger(__name__)

#: Largest total size of the request bodies that one process holds.  It is a
#: fifth of the smallest memory limit, 200 MB.
BODY_MEMORY_LIMIT_BYTES = 40 * 1024 * 1024


class BodyReceiver(abc.ABC):
    """Receives a request body."""

    @abc.abstractmethod
    def find_arrival_s(self, now_s: float) -> float:
        """Return the expected time until the body is complete, in seconds.

        Parameters
        ----------
        now_s : float
            Time of the event loop.
        """

    @abc.abstractmethod
    def refuse_slow_body(self) -> None:
        """Refuse the request and drop what has arrived of its body."""


class BodyMemory:
    """Total size of the request bodies that this process holds."""

    used_bytes = 0
    #: Those that have received a part of a body.
    receivers: set[BodyReceiver] = set()

    @classmethod
    def add(
        cls, receiver: BodyReceiver, size_bytes: int, now_s: float
    ) -> bool:
        """Add a part of a body; return whether there is room for it.

        Without room, the bodies give way that are expected to take longest.

        Parameters
        ----------
        receiver : BodyReceiver
            Receives the body.
        size_bytes : int
            Size of the part.
        now_s : float
            Time of the event loop.
        """
        if not cls._has_room(size_bytes):
            cls._make_room(receiver, size_bytes, now_s)
        if not cls._has_room(size_bytes):
            return False
        cls.used_bytes += size_bytes
        cls.receivers.add(receiver)
        return True

    @classmethod
    def _has_room(cls, size_bytes: int) -> bool:
        return cls.used_bytes + size_bytes <= BODY_MEMORY_LIMIT_BYTES

    @classmethod
    def _make_room(
        cls, receiver: BodyReceiver, size_bytes: int, now_s: float
    ) -> None:
        others = [
            (item.find_arrival_s(now_s), item)
            for item in cls.receivers
            if item is not receiver
        ]
        others.sort(key=lambda item: item[0])
        while others and not cls._has_room(size_bytes):
            arrival_s, slowest = others.pop()
            if arrival_s < _response_memory.LONG_DRAIN_S:
                return
            LOG.warning(
                'request body gives way',
                extra={'detail': f'expected in {arrival_s:.1f} s'},
            )
            slowest.refuse_slow_body()

"""Finds a target with a free place before a call waits at any.

A daemon of a large fleet asks each target once in some seconds, so what it
knows of their load is old, and the target that it chooses is full while
others are idle.  So a call goes out first on condition that a place is free;
whoever has none says at once how long the call would wait.  After a few of
these it waits where that is shortest.
"""

import msgspec

from sedgering import base

__all__ = ['FreePlaces', 'Search']

#: Hosts that are asked for a free place.  Each costs a round trip of 3 ms and
#: 0.5 ms of processor time on both hosts together.
ASKS_LIMIT = 4
#: Bodies above this size are sent once: a refusal would cost the link.
BODY_LIMIT_BYTES = 16 * 1024
#: Weight of the newest search in the share that found a place.
FOUND_WEIGHT = 0.05
#: Share of searches that must find a place; below it the set is full, and
#: asking around only costs processor time.
LEAST_FOUND_SHARE = 0.5
#: Then one in so many still asks, to see whether that has passed.
TRY_EVERY = 8


class _SetShare(msgspec.Struct):
    """How searches among the targets of one set ended.

    Parameters
    ----------
    found_share : float
        Share of recent ones that found a place.
    skipped : int
        Searches left out since the last one.
    """

    found_share: float = 1.0
    skipped: int = 0


class FreePlaces:
    """Whether it is worth to search, learned for each target set."""

    def __init__(self):
        self._sets: dict[base.TargetSetName, _SetShare] = {}

    def is_worth_it(self, target_set: base.TargetSetName) -> bool:
        """Say whether a call should search for a free place."""
        known = self._sets.setdefault(target_set, _SetShare())
        if known.found_share >= LEAST_FOUND_SHARE:
            return True
        known.skipped += 1
        if known.skipped < TRY_EVERY:
            return False
        known.skipped = 0
        return True

    def note(self, target_set: base.TargetSetName, is_found: bool) -> None:
        """Take in how a search ended."""
        known = self._sets.setdefault(target_set, _SetShare())
        # One that still searches stands for some that were left out: four that
        # find a place let all search again.
        stands_for = 1
        if known.found_share < LEAST_FOUND_SHARE:
            stands_for = TRY_EVERY // 2
        kept = (1 - FOUND_WEIGHT) ** stands_for
        known.found_share = is_found + kept * (known.found_share - is_found)


class Search:
    """The search of one request.

    Parameters
    ----------
    places : FreePlaces
        Learns how it ends.
    target_set : str
        Searched.
    body_bytes : int
        Of the request.
    """

    def __init__(
        self,
        places: FreePlaces,
        target_set: base.TargetSetName,
        body_bytes: int,
    ):
        self._places = places
        self._target_set = target_set
        is_small = body_bytes <= BODY_LIMIT_BYTES
        self.is_on = is_small and places.is_worth_it(target_set)
        #: Wait that each host told.
        self._waits_ms: dict[base.HostId, int] = {}

    @property
    def asks(self) -> int:
        """Hosts that had no free place."""
        return len(self._waits_ms)

    def note_busy(self, host: base.HostId, wait_ms: int) -> None:
        """Take in that a host has no free place."""
        self._waits_ms[host] = wait_ms
        if self.asks >= ASKS_LIMIT:
            self.end(False)

    def end(self, is_found: bool) -> None:
        """Search no longer."""
        if self.is_on:
            self.is_on = False
            if self._waits_ms:
                self._places.note(self._target_set, is_found)

    def list_by_wait(self) -> list[base.HostId]:
        """Return the busy hosts, the one with the shortest wait first."""
        return sorted(self._waits_ms, key=self._waits_ms.get)

    def forget(self, host: base.HostId) -> None:
        """Leave a host out: the call has been sent there to wait."""
        if not self.is_on:
            self._waits_ms.pop(host, None)

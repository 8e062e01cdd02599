"""Searches for a target with a free slot before a call queues anywhere.

A daemon of a large fleet calls each target only every few seconds.  Its load
reports are stale, so it may choose a full target while others are idle.
Therefore a call is first sent on condition that a slot is free.  A target
without one refuses at once and states how long the call would wait.  After a
few refusals the call queues at the target with the shortest wait.
"""

from collections.abc import Collection

import msgspec

from sedgering import base

__all__ = ['SearchStats', 'FreeSlotSearch']

#: Maximum number of hosts asked for a free slot. Each costs a round trip of 3
#: ms and 0.5 ms of processor time on both hosts together.
PROBES_LIMIT = 4
#: Larger bodies are not sent on condition of a free slot: a refusal would
#: waste link bandwidth.
BODY_LIMIT_BYTES = 16 * 1024
#: Weight of the newest search in the share of successful ones.
SUCCESS_WEIGHT = 0.05
#: Below this share of successful searches the target set counts as full, and
#: searching only costs processor time.
MIN_SUCCESS_SHARE = 0.5
#: One call in this many still searches a full set, to detect that slots have
#: become free.
SEARCH_INTERVAL = 8


class _SetStats(msgspec.Struct):
    """Results of searches among the targets of one set.

    Parameters
    ----------
    success_share : float
        Share of recent searches that found a free slot.
    skipped : int
        Searches skipped since the last one.
    """

    success_share: float = 1.0
    skipped: int = 0


class SearchStats:
    """Tracks per target set whether searching is worthwhile."""

    def __init__(self):
        self._sets: dict[base.TargetSetName, _SetStats] = {}

    def is_worthwhile(self, target_set: base.TargetSetName) -> bool:
        """Whether a call should search for a free slot."""
        set_stats = self._sets.setdefault(target_set, _SetStats())
        if set_stats.success_share >= MIN_SUCCESS_SHARE:
            return True
        set_stats.skipped += 1
        if set_stats.skipped < SEARCH_INTERVAL:
            return False
        set_stats.skipped = 0
        return True

    def retain(self, target_sets: Collection[base.TargetSetName]) -> None:
        """Drop target sets that are no longer configured."""
        for name in self._sets.keys() - set(target_sets):
            del self._sets[name]

    def note(self, target_set: base.TargetSetName, is_found: bool) -> None:
        """Record the result of a search."""
        set_stats = self._sets.setdefault(target_set, _SetStats())
        # A search of a full set also counts for some of the skipped ones: four
        # successes resume searching for all calls.
        stands_for = 1
        if set_stats.success_share < MIN_SUCCESS_SHARE:
            stands_for = SEARCH_INTERVAL // 2
        kept = (1 - SUCCESS_WEIGHT) ** stands_for
        set_stats.success_share = is_found + kept * (
            set_stats.success_share - is_found
        )


class FreeSlotSearch:
    """The search for a free slot of one request.

    Parameters
    ----------
    stats : SearchStats
        Records the result.
    target_set : str
        Target set that is searched.
    body_bytes : int
        Size of the request body.
    """

    def __init__(
        self,
        stats: SearchStats,
        target_set: base.TargetSetName,
        body_bytes: int,
    ):
        self._stats = stats
        self._target_set = target_set
        is_small = body_bytes <= BODY_LIMIT_BYTES
        self.is_on = is_small and stats.is_worthwhile(target_set)
        #: Estimated wait by host, from the refusals.
        self._waits_ms: dict[base.HostId, int] = {}

    @property
    def probes(self) -> int:
        """Number of hosts that had no free slot."""
        return len(self._waits_ms)

    def note_busy(self, host: base.HostId, wait_ms: int) -> None:
        """Record that a host has no free slot."""
        self._waits_ms[host] = wait_ms
        if self.probes >= PROBES_LIMIT:
            self.end(False)

    def end(self, is_found: bool) -> None:
        """End the search and record its result."""
        if self.is_on:
            self.is_on = False
            if self._waits_ms:
                self._stats.note(self._target_set, is_found)

    def list_by_wait(self) -> list[base.HostId]:
        """Return the busy hosts by estimated wait, shortest first."""
        return sorted(self._waits_ms, key=self._waits_ms.get)

    def forget(self, host: base.HostId) -> None:
        """Remove a host to which the call was sent to wait."""
        if not self.is_on:
            self._waits_ms.pop(host, None)

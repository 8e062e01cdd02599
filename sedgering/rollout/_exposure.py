"""How many calls the version on trial may get."""

from collections.abc import Collection
import math
import zlib

import msgspec

from sedgering import base

__all__ = ['ExposureQuota', 'choose_exposed', 'rank_host']

#: Part of the operator's share that is used.  The total consists mostly of
#: calls to the old version.  While these are still in flight, calls to the new
#: version may already have arrived; the unused rest covers them.
USED_QUOTA_SHARE = 0.8
#: Targets on trial, as a share of the targets of the old version.  At the
#: usual share of the calls, this makes each target on trial as busy as an old
#: one, so that a version that fails only under load is detected.
TRIAL_TARGETS_SHARE = 0.09


class _Counts(msgspec.Struct):
    sent: int = 0
    exposed: int = 0


class ExposureQuota:
    """Bounds the calls that this daemon sends to versions on trial.

    Each daemon applies the share to its own calls, so the whole fleet keeps
    to it without coordination.  A restarted daemon starts with zero counts.

    Parameters
    ----------
    share : float
        Largest share of the calls to a target set that the operator exposes
        to a version on trial, 0 to 1.
    """

    def __init__(self, share: float):
        self.share = share
        self._counts: dict[tuple[base.TargetSetName, int], _Counts] = {}

    def retain(
        self, current: Collection[tuple[base.TargetSetName, int]]
    ) -> None:
        """Drop the counts of all but the current trials."""
        self._counts = {
            key: self._counts.get(key) or _Counts() for key in current
        }

    def note_arrival(self, target_set: base.TargetSetName) -> None:
        """Count a call that has arrived at a target."""
        for key, counts in self._counts.items():
            if key[0] == target_set:
                counts.sent += 1

    def may_expose(self, target_set: base.TargetSetName) -> bool:
        """Whether one more call may go to the version on trial."""
        counts = self._find(target_set)
        if counts is None:
            return False
        allowed = USED_QUOTA_SHARE * self.share * (counts.sent + 1)
        return counts.exposed + 1 <= allowed

    def note_exposed(self, target_set: base.TargetSetName, calls: int) -> None:
        """Add calls to the version on trial; negative to take them back."""
        counts = self._find(target_set)
        if counts is not None:
            counts.exposed = max(0, counts.exposed + calls)

    def _find(self, target_set: base.TargetSetName) -> _Counts | None:
        found = [
            counts
            for (name, _order), counts in self._counts.items()
            if name == target_set
        ]
        return found[0] if found else None


def choose_exposed(
    hosts: Collection[base.HostId], old_count: int
) -> frozenset[base.HostId]:
    """Choose the hosts whose targets are on trial.

    A few targets get a full load, rather than all of them a light one.

    Parameters
    ----------
    hosts : collection of HostId
        Hosts with targets of the new version.
    old_count : int
        Number of targets of the old version.
    """
    count = max(1, math.floor(TRIAL_TARGETS_SHARE * old_count + 0.5))
    return frozenset(sorted(hosts, key=rank_host)[:count])


def rank_host(host: base.HostId, salt: str = '') -> tuple[int, base.HostId]:
    """Return a sort key that ranks hosts alike on all daemons.

    Parameters
    ----------
    host : HostId
        Host to rank.
    salt : str
        Each salt gives another ranking.
    """
    return zlib.crc32(f'{salt}{host}'.encode()), host

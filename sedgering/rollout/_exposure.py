"""How many calls a version on trial may get."""

from collections.abc import Collection
import math
import zlib

import msgspec

from sedgering import base

__all__ = ['ExposureQuota', 'choose_exposed', 'rank_host']

#: Share of what the operator allows that is used.  The rest covers calls that
#: targets of the new version have taken while those of the old one, which
#: make up the total, are still on their way.
USED_SHARE = 0.8
#: Targets on trial, as a share of the targets of the old version.  With this
#: share of the calls each of them is as busy as an old one, so that a version
#: which is bad only under load shows it.
TARGETS_SHARE = 0.09


class _Counts(msgspec.Struct):
    sent: int = 0
    exposed: int = 0


class ExposureQuota:
    """Bounds the calls of this daemon to versions on trial.

    Each daemon keeps to the share by what it sends itself, so that the whole
    fleet does, without a word between them; whoever starts anew begins with
    nothing.

    Parameters
    ----------
    share : float
        Of all calls to the set, how many the operator lets a bad version get.
    """

    def __init__(self, share: float):
        self.share = share
        self._counts: dict[tuple[base.TargetSetName, int], _Counts] = {}

    def retain(
        self, current: Collection[tuple[base.TargetSetName, int]]
    ) -> None:
        """Forget the rollouts that are over; count for those on trial."""
        self._counts = {
            key: self._counts.get(key) or _Counts() for key in current
        }

    def note_arrival(self, target_set: base.TargetSetName) -> None:
        """Count a call that has reached a target."""
        for key, counts in self._counts.items():
            if key[0] == target_set:
                counts.sent += 1

    def may_expose(self, target_set: base.TargetSetName) -> bool:
        """Whether one more call may go to the version on trial."""
        counts = self._find(target_set)
        if counts is None:
            return False
        allowed = USED_SHARE * self.share * (counts.sent + 1)
        return counts.exposed + 1 <= allowed

    def note_exposed(self, target_set: base.TargetSetName, calls: int) -> None:
        """Count a call to the version on trial, or take it back."""
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

    A few of them, as busy as any other, rather than all of them lightly.

    Parameters
    ----------
    hosts : collection of HostId
        With targets of the new version.
    old_count : int
        Targets of the old one.
    """
    count = max(1, math.floor(TARGETS_SHARE * old_count + 0.5))
    return frozenset(sorted(hosts, key=rank_host)[:count])


def rank_host(host: base.HostId, salt: str = '') -> tuple[int, base.HostId]:
    """Return a key for an order of hosts on which all daemons agree.

    Parameters
    ----------
    host : HostId
        To place.
    salt : str
        Others make other orders.
    """
    return zlib.crc32(f'{salt}{host}'.encode()), host

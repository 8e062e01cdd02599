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
#: Largest share of the calls on one route that is exposed.  The others show
#: how the old version serves the same route.
MAX_ROUTE_SHARE = 0.5
#: Part of a call that is kept for routes with fewer exposed calls: whenever
#: the quota has just been used up, a call on a seldom used route is not
#: exposed.
RESERVED_CALLS = 0.5
#: Routes counted in one trial.
ROUTES_LIMIT = 64
#: Targets on trial, as a share of the targets of the old version.  At the
#: usual share of the calls, this makes each target on trial as busy as an old
#: one, so that a version that fails only under load is detected.
TRIAL_TARGETS_SHARE = 0.09
#: With a single target, a slow host could not be told from a slow version.
MIN_TRIAL_TARGETS = 2


class _RouteCounts(msgspec.Struct):
    sent: int = 0
    exposed: int = 0

    def may_expose(self, bonus_calls: float) -> bool:
        """Whether the share of the route allows one more call."""
        allowed = MAX_ROUTE_SHARE * (self.sent + 1) + bonus_calls
        return self.exposed + 1 <= allowed


class _Counts(msgspec.Struct):
    sent: int = 0
    exposed: int = 0
    routes: dict[base.RouteName, _RouteCounts] = {}

    def find_route(self, route: base.RouteName) -> _RouteCounts:
        """Return the counts of a route; uncounted beyond `ROUTES_LIMIT`."""
        counts = self.routes.get(route) or _RouteCounts()
        if len(self.routes) < ROUTES_LIMIT:
            self.routes[route] = counts
        return counts


class ExposureQuota:
    """Bounds the calls that this daemon sends to versions on trial.

    Each daemon applies the share to its own calls, so the whole fleet keeps
    to it without coordination.  A restarted daemon starts with zero counts.

    Within the share, the routes with the fewest exposed calls come first, so
    that seldom used ones show as much as possible.

    Parameters
    ----------
    share : float
        Largest share of the calls to a target set that the operator exposes
        to a version on trial, 0 to 1.
    host : HostId
        Host of this daemon.  It decides whether the first call on a route may
        be exposed, so that half of the daemons do so.
    """

    def __init__(self, share: float, host: base.HostId = base.HostId('')):
        self.share = share
        self.host = host
        self._counts: dict[tuple[base.TargetSetName, int], _Counts] = {}

    def retain(
        self, current: Collection[tuple[base.TargetSetName, int]]
    ) -> None:
        """Drop the counts of all but the current trials."""
        self._counts = {
            key: self._counts.get(key) or _Counts() for key in current
        }

    def note_arrival(
        self, target_set: base.TargetSetName, route: base.RouteName
    ) -> None:
        """Count a call that has arrived at a target."""
        for key, counts in self._counts.items():
            if key[0] == target_set:
                counts.sent += 1
                counts.find_route(route).sent += 1

    def may_expose(
        self, target_set: base.TargetSetName, route: base.RouteName
    ) -> bool:
        """Whether one more call may go to the version on trial."""
        counts = self._find(target_set)
        if counts is None:
            return False
        own = counts.find_route(route)
        if not own.may_expose(self._find_bonus_calls(route)):
            return False
        has_rarer = any(
            other.exposed < own.exposed and other.may_expose(0)
            for other in counts.routes.values()
        )
        reserved = RESERVED_CALLS if has_rarer else 0
        allowed = USED_QUOTA_SHARE * self.share * (counts.sent + 1)
        return counts.exposed + 1 + reserved <= allowed

    def note_exposed(
        self,
        target_set: base.TargetSetName,
        route: base.RouteName,
        calls: int,
    ) -> None:
        """Add calls to the version on trial; negative to take them back."""
        counts = self._find(target_set)
        if counts is not None:
            counts.exposed = max(0, counts.exposed + calls)
            own = counts.find_route(route)
            own.exposed = max(0, own.exposed + calls)

    def _find_bonus_calls(self, route: base.RouteName) -> float:
        """Return a bonus that lets half of the daemons expose a first call."""
        is_first = zlib.crc32(f'{route} {self.host}'.encode()) & 1
        return MAX_ROUTE_SHARE if is_first else 0.0

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
    share_count = math.floor(TRIAL_TARGETS_SHARE * old_count + 0.5)
    count = max(MIN_TRIAL_TARGETS, share_count)
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

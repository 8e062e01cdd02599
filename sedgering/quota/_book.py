"""Buckets of one shard, refilled by what daemons lend."""

from collections.abc import Callable
import math

import msgspec

from sedgering import base
from sedgering.quota import _plan

__all__ = ['ShardBook']

_Plans = dict[base.WorkspaceName, _plan.QuotaPlan]

#: Share of a bucket that one daemon may fetch for requests that are only
#: expected: the others have requests that wait.
AHEAD_SHARE = 0.25
#: Bounds of the time after which a daemon without tokens asks again.
LEAST_WAIT_S = 0.05
LONGEST_WAIT_S = 1.0


class _Bucket(msgspec.Struct):
    """The tokens of one workspace."""

    level: float
    #: Of the book's total, up to which it is refilled.
    seen_s: float
    #: Requests that were refused a token, less those that it had since.
    refused: float = 0.0
    refused_at_s: float = 0.0
    #: Since somebody looked.
    granted_count: int = 0
    refused_count: int = 0


class ShardBook:
    """What daemons lend to one shard, and the tokens that come of it.

    Parameters
    ----------
    plans : dict of str to QuotaPlan
        Of the workspaces of the shard.
    hosts : int
        Among which all rates are divided.
    now_s : float
        Time of the event loop.
    find_capacity : callable
        Returns the capacity of a bucket from its workspace, its plan and the
        share of all hosts that lend.
    """

    def __init__(
        self,
        plans: _Plans,
        hosts: int,
        now_s: float,
        find_capacity: Callable[
            [base.WorkspaceName, _plan.QuotaPlan, float], float
        ],
    ):
        self.plans = plans
        self.hosts = max(1, hosts)
        self.find_capacity = find_capacity
        #: Until when the part of each host counts.
        self._lent_until_s: dict[base.HostId, float] = {}
        #: No part ends before.
        self._next_end_s = math.inf
        #: Time for which the whole fleet has lent, all parts added up.
        self._total_s = 0.0
        self._at_s = now_s
        self._buckets = {name: _Bucket(0.0, 0.0) for name in plans}

    @property
    def share(self) -> float:
        """Share of all hosts that lend."""
        return min(1.0, len(self._lent_until_s) / self.hosts)

    def list_lenders(self, now_s: float) -> list[base.HostId]:
        """Return the hosts whose parts are counted."""
        return [
            host
            for host, until_s in self._lent_until_s.items()
            if until_s > now_s
        ]

    def find_level(self, workspace: base.WorkspaceName) -> float:
        """Return how many tokens a bucket holds."""
        bucket = self._buckets.get(workspace)
        return bucket.level if bucket else 0.0

    def take_counts(self) -> dict[base.WorkspaceName, tuple[int, int]]:
        """Return what was granted and refused since the last look."""
        counts = {}
        for name, bucket in self._buckets.items():
            if bucket.granted_count or bucket.refused_count:
                counts[name] = (bucket.granted_count, bucket.refused_count)
            bucket.granted_count = bucket.refused_count = 0
        return counts

    def lend(self, host: base.HostId, until_s: float, now_s: float) -> None:
        """Count the part of a host for a while."""
        self.advance(now_s)
        if until_s <= now_s:
            return
        until_s = max(until_s, self._lent_until_s.get(host, until_s))
        self._lent_until_s[host] = until_s
        self._next_end_s = min(self._next_end_s, until_s)

    def end(self, host: base.HostId, now_s: float) -> None:
        """Count the part of a host no more."""
        self.advance(now_s)
        if self._lent_until_s.pop(host, None) is not None:
            self._settle_all()

    def take_hosts(
        self, counted: frozenset[base.HostId], now_s: float
    ) -> None:
        """Divide the rates among other hosts from now on."""
        self.advance(now_s)
        self._settle_all()
        self.hosts = max(1, len(counted))
        for host in self._lent_until_s.keys() - counted:
            del self._lent_until_s[host]
        self._settle_all()

    def take_plans(self, plans: _Plans, now_s: float) -> None:
        """Put other quotas in force: lower ones cut what is there."""
        self.advance(now_s)
        self._settle_all()
        self.plans = plans
        self._buckets = {
            name: self._buckets.get(name) or _Bucket(0.0, self._total_s)
            for name in plans
        }
        self._settle_all()

    def advance(self, now_s: float) -> None:
        """Add up what was lent until now."""
        lent = self._lent_until_s
        if now_s < self._next_end_s:
            self._total_s += self.share * (now_s - self._at_s)
            self._at_s = now_s
            return
        parts_s = sum(
            max(0.0, min(now_s, until_s) - self._at_s)
            for until_s in lent.values()
        )
        self._total_s += min(parts_s / self.hosts, now_s - self._at_s)
        self._at_s = now_s
        # Before the parts end: what they have filled is theirs until then.
        self._settle_all()
        self._lent_until_s = {
            host: until_s for host, until_s in lent.items() if until_s > now_s
        }
        self._next_end_s = min(self._lent_until_s.values(), default=math.inf)
        self._settle_all()

    def grant(
        self,
        workspace: base.WorkspaceName,
        waiting: int,
        ahead: int,
        now_s: float,
    ) -> tuple[int, int]:
        """Grant tokens; return how many, and when there will be more.

        Returns
        -------
        tuple of int
            Granted, and milliseconds; 0 when all that wait have got one.
        """
        self.advance(now_s)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return 0, int(1000 * LONGEST_WAIT_S)
        self._settle(workspace, bucket)
        granted = min(waiting, int(bucket.level))
        bucket.level -= granted
        fetched = min(ahead, int(bucket.level * AHEAD_SHARE))
        bucket.level -= fetched
        refused = waiting - granted
        bucket.granted_count += granted + fetched
        bucket.refused_count += refused
        wait_s = 0.0
        if refused:
            wait_s = self._find_wait_s(workspace, bucket, refused, now_s)
        return granted + fetched, math.ceil(1000 * wait_s)

    def _find_wait_s(
        self,
        workspace: base.WorkspaceName,
        bucket: _Bucket,
        refused: int,
        now_s: float,
    ) -> float:
        """Return when those that were refused will find tokens."""
        rate_per_s = self.plans[workspace].rate_per_s * self.share
        if rate_per_s <= 0:
            return LONGEST_WAIT_S
        served = rate_per_s * (now_s - bucket.refused_at_s)
        bucket.refused = max(0.0, bucket.refused - served) + refused
        bucket.refused = min(bucket.refused, rate_per_s * LONGEST_WAIT_S)
        bucket.refused_at_s = now_s
        missing = max(bucket.refused, 1.0) - bucket.level
        return min(LONGEST_WAIT_S, max(LEAST_WAIT_S, missing / rate_per_s))

    def _settle_all(self) -> None:
        for workspace, bucket in self._buckets.items():
            self._settle(workspace, bucket)

    def _settle(self, workspace: base.WorkspaceName, bucket: _Bucket) -> None:
        """Refill a bucket, up to the capacity that its lenders have."""
        plan = self.plans[workspace]
        level = bucket.level
        level += plan.rate_per_s * (self._total_s - bucket.seen_s)
        capacity = self.find_capacity(workspace, plan, self.share)
        bucket.level = min(level, capacity)
        bucket.seen_s = self._total_s

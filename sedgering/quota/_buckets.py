"""The token buckets of one partition, refilled by leased rate shares."""

from collections.abc import Callable
import math

import msgspec

from sedgering import base
from sedgering.quota import _plan

__all__ = ['LeasedBuckets']

_Plans = dict[base.WorkspaceName, _plan.QuotaPlan]

#: Share of a bucket that one daemon may prefetch for expected requests: the
#: rest is left for requests that already wait at other daemons.
PREFETCH_SHARE = 0.25
#: Bounds of the time after which a daemon without tokens asks again.
MIN_WAIT_S = 0.05
MAX_WAIT_S = 1.0


class _Bucket(msgspec.Struct):
    """The tokens of one workspace."""

    level: float
    #: Value of `LeasedBuckets._leased_s` at the last refill.
    refilled_to_s: float
    #: Requests that were refused a token, less the tokens that refilling has
    #: produced since.
    backlog: float = 0.0
    backlog_at_s: float = 0.0
    #: Since the last call of `LeasedBuckets.pop_counts`.
    granted_count: int = 0
    refused_count: int = 0


class LeasedBuckets:
    """Buckets of tokens, and the leases of the hosts that refill them.

    Parameters
    ----------
    plans : dict of str to QuotaPlan
        Plans of the workspaces in the partition.
    hosts : int
        Number of hosts among which each rate is divided.
    now_s : float
        Time of the event loop.
    find_capacity : callable
        Returns the capacity of a bucket from its workspace, its plan and the
        part of all hosts whose shares are leased.
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
        #: End of the lease of each host.
        self._lease_ends_s: dict[base.HostId, float] = {}
        #: No lease ends before this time.
        self._next_end_s = math.inf
        #: Integral of the leased share over time: a bucket is refilled by its
        #: rate times the increase of this value.
        self._leased_s = 0.0
        self._advanced_to_s = now_s
        self._buckets = {name: _Bucket(0.0, 0.0) for name in plans}

    @property
    def leased_share(self) -> float:
        """Part of all hosts whose shares are leased, 0 to 1."""
        return min(1.0, len(self._lease_ends_s) / self.hosts)

    def list_leased_hosts(self, now_s: float) -> list[base.HostId]:
        """Return the hosts whose shares are leased."""
        return [
            host for host, end_s in self._lease_ends_s.items() if end_s > now_s
        ]

    def find_level(self, workspace: base.WorkspaceName) -> float:
        """Return how many tokens a bucket holds."""
        bucket = self._buckets.get(workspace)
        return bucket.level if bucket else 0.0

    def pop_counts(self) -> dict[base.WorkspaceName, tuple[int, int]]:
        """Return the granted and refused requests since the last call."""
        counts = {}
        for name, bucket in self._buckets.items():
            if bucket.granted_count or bucket.refused_count:
                counts[name] = (bucket.granted_count, bucket.refused_count)
            bucket.granted_count = bucket.refused_count = 0
        return counts

    def start_lease(
        self, host: base.HostId, end_s: float, now_s: float
    ) -> None:
        """Start or extend the lease of a host."""
        self.advance(now_s)
        if end_s <= now_s:
            return
        end_s = max(end_s, self._lease_ends_s.get(host, end_s))
        self._lease_ends_s[host] = end_s
        self._next_end_s = min(self._next_end_s, end_s)

    def end_lease(self, host: base.HostId, now_s: float) -> None:
        """End the lease of a host now."""
        self.advance(now_s)
        if self._lease_ends_s.pop(host, None) is not None:
            self._refill_all()

    def set_hosts(self, counted: frozenset[base.HostId], now_s: float) -> None:
        """Divide the rates among these hosts; end the leases of others."""
        self.advance(now_s)
        self._refill_all()
        self.hosts = max(1, len(counted))
        for host in self._lease_ends_s.keys() - counted:
            del self._lease_ends_s[host]
        self._refill_all()

    def set_plans(self, plans: _Plans, now_s: float) -> None:
        """Replace the plans; a lower capacity cuts the level at once."""
        self.advance(now_s)
        self._refill_all()
        self.plans = plans
        self._buckets = {
            name: self._buckets.get(name) or _Bucket(0.0, self._leased_s)
            for name in plans
        }
        self._refill_all()

    def advance(self, now_s: float) -> None:
        """Integrate the leased share up to now, and drop ended leases."""
        ends_s = self._lease_ends_s
        if now_s < self._next_end_s:
            self._leased_s += self.leased_share * (now_s - self._advanced_to_s)
            self._advanced_to_s = now_s
            return
        host_times_s = sum(
            max(0.0, min(now_s, end_s) - self._advanced_to_s)
            for end_s in ends_s.values()
        )
        self._leased_s += min(
            host_times_s / self.hosts, now_s - self._advanced_to_s
        )
        self._advanced_to_s = now_s
        # Refill before the leases are dropped: until then the capacity still
        # includes them.
        self._refill_all()
        self._lease_ends_s = {
            host: end_s for host, end_s in ends_s.items() if end_s > now_s
        }
        self._next_end_s = min(self._lease_ends_s.values(), default=math.inf)
        self._refill_all()

    def grant(
        self,
        workspace: base.WorkspaceName,
        waiting: int,
        prefetch: int,
        now_s: float,
    ) -> tuple[int, int]:
        """Grant tokens to a daemon.

        Parameters
        ----------
        workspace : str
            Whose tokens.
        waiting : int
            Requests that wait for a token.
        prefetch : int
            Number of tokens wanted for expected requests.
        now_s : float
            Time of the event loop.

        Returns
        -------
        tuple of int
            Number of tokens granted, and the time in milliseconds until more
            are expected; 0 when every waiting request got a token.
        """
        self.advance(now_s)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return 0, int(1000 * MAX_WAIT_S)
        self._refill(workspace, bucket)
        granted = min(waiting, int(bucket.level))
        bucket.level -= granted
        prefetched = min(prefetch, int(bucket.level * PREFETCH_SHARE))
        bucket.level -= prefetched
        refused = waiting - granted
        bucket.granted_count += granted + prefetched
        bucket.refused_count += refused
        wait_s = 0.0
        if refused:
            wait_s = self._estimate_wait_s(workspace, bucket, refused, now_s)
        return granted + prefetched, math.ceil(1000 * wait_s)

    def _estimate_wait_s(
        self,
        workspace: base.WorkspaceName,
        bucket: _Bucket,
        refused: int,
        now_s: float,
    ) -> float:
        """Return the time until the refused requests can get tokens."""
        rate_per_s = self.plans[workspace].rate_per_s * self.leased_share
        if rate_per_s <= 0:
            return MAX_WAIT_S
        refilled = rate_per_s * (now_s - bucket.backlog_at_s)
        bucket.backlog = max(0.0, bucket.backlog - refilled) + refused
        bucket.backlog = min(bucket.backlog, rate_per_s * MAX_WAIT_S)
        bucket.backlog_at_s = now_s
        missing = max(bucket.backlog, 1.0) - bucket.level
        return min(MAX_WAIT_S, max(MIN_WAIT_S, missing / rate_per_s))

    def _refill_all(self) -> None:
        for workspace, bucket in self._buckets.items():
            self._refill(workspace, bucket)

    def _refill(self, workspace: base.WorkspaceName, bucket: _Bucket) -> None:
        """Refill a bucket up to the capacity that the leases give it."""
        plan = self.plans[workspace]
        level = bucket.level
        level += plan.rate_per_s * (self._leased_s - bucket.refilled_to_s)
        capacity = self.find_capacity(workspace, plan, self.leased_share)
        bucket.level = min(level, capacity)
        bucket.refilled_to_s = self._leased_s

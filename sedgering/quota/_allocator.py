"""Answers token requests at the daemon that holds the buckets."""

from sedgering import base
from sedgering.quota import _buckets
from sedgering.quota import _messages
from sedgering.quota import _plan
from sedgering.quota import _ranking
from sedgering.quota import _session

__all__ = ['QuotaAllocator']

#: Largest number of partitions held at a time.  A daemon is asked for more
#: only while daemons disagree on the number of shards.
PARTITIONS_LIMIT = 16


class QuotaAllocator:
    """Holds the buckets of the partitions that this daemon is asked for.

    There is no election: a daemon becomes the allocator of a partition when it
    receives the first request for it, and starts with empty buckets.

    Parameters
    ----------
    lifetime_id : int
        Identifies this lifetime of the daemon; it differs after each start.
    """

    def __init__(self, lifetime_id: int):
        self.lifetime_id = lifetime_id
        self._plans: dict[base.WorkspaceName, _plan.QuotaPlan] = {}
        self._counted: frozenset[base.HostId] = frozenset()
        self._established: frozenset[base.HostId] = frozenset()
        self._buckets: dict[_ranking.PartitionId, _buckets.LeasedBuckets] = {}
        self._asked_s: dict[_ranking.PartitionId, float] = {}

    @property
    def partitions(self) -> tuple[_ranking.PartitionId, ...]:
        """Partitions that this daemon was asked for."""
        return tuple(self._buckets)

    def find_leased_share(self, partition: _ranking.PartitionId) -> float:
        """Return the fraction of all hosts that lease their shares."""
        return self._buckets[partition].leased_share

    def list_leased_hosts(
        self, partition: _ranking.PartitionId, now_s: float
    ) -> list[base.HostId]:
        """Return the hosts whose shares are leased in a partition."""
        buckets = self._buckets.get(partition)
        return buckets.list_leased_hosts(now_s) if buckets else []

    def find_level(
        self, partition: _ranking.PartitionId, workspace: base.WorkspaceName
    ) -> float:
        """Return the number of tokens in the bucket of a workspace."""
        buckets = self._buckets.get(partition)
        return buckets.find_level(workspace) if buckets else 0.0

    def pop_counts(
        self, partition: _ranking.PartitionId
    ) -> dict[base.WorkspaceName, tuple[int, int]]:
        """Return the granted and refused requests since the last call."""
        return self._buckets[partition].pop_counts()

    def set_plans(
        self,
        plans: dict[base.WorkspaceName, _plan.QuotaPlan],
        now_s: float,
    ) -> None:
        """Replace the plans of all workspaces."""
        self._plans = plans
        for partition, buckets in self._buckets.items():
            buckets.set_plans(self._select_plans(partition), now_s)

    def set_hosts(
        self,
        counted: frozenset[base.HostId],
        established: frozenset[base.HostId],
        now_s: float,
    ) -> None:
        """Set the hosts that share the rates.

        Parameters
        ----------
        counted : frozenset of HostId
            Hosts among which each rate is divided.
        established : frozenset of HostId
            Those of them that may lease their shares.
        now_s : float
            Time of the event loop.
        """
        self._established = established
        if counted == self._counted:
            return
        self._counted = counted
        for buckets in self._buckets.values():
            buckets.set_hosts(counted, now_s)

    def answer(
        self, request: _messages.QuotaRequest, now_s: float
    ) -> _messages.QuotaGrant:
        """Apply the lease of a daemon, and grant it tokens.

        Parameters
        ----------
        request : QuotaRequest
            From another daemon or from this one.
        now_s : float
            Time of the event loop.

        Raises
        ------
        ValueError
            When the partition id is invalid.
        """
        buckets = self._find_buckets(
            _ranking.check_partition(request.shard), now_s
        )
        if request.is_last:
            buckets.end_lease(request.host, now_s)
        elif request.lent_from is not None:
            self._start_lease(buckets, request, now_s)
        grants = [
            buckets.grant(need.workspace, need.waiting, need.ahead, now_s)
            for need in request.needs
        ]
        return _messages.QuotaGrant(
            _messages.QuotaStamp(self.lifetime_id, int(1000 * now_s)),
            tuple(tokens for tokens, _wait_ms in grants),
            tuple(wait_ms for _tokens, wait_ms in grants),
        )

    def _start_lease(
        self,
        buckets: _buckets.LeasedBuckets,
        request: _messages.QuotaRequest,
        now_s: float,
    ) -> None:
        stamp = request.lent_from
        is_own = stamp.life == self.lifetime_id
        if not is_own or request.host not in self._established:
            return
        start_s = min(now_s, stamp.at_ms / 1000)
        buckets.start_lease(request.host, start_s + _session.LEASE_S, now_s)

    def _find_buckets(
        self, partition: _ranking.PartitionId, now_s: float
    ) -> _buckets.LeasedBuckets:
        self._asked_s[partition] = now_s
        buckets = self._buckets.get(partition)
        if buckets is None:
            if len(self._buckets) >= PARTITIONS_LIMIT:
                oldest = min(self._buckets, key=self._asked_s.__getitem__)
                del self._buckets[oldest], self._asked_s[oldest]
            buckets = _buckets.LeasedBuckets(
                self._select_plans(partition),
                len(self._counted),
                now_s,
                _find_capacity,
            )
            self._buckets[partition] = buckets
        return buckets

    def _select_plans(
        self, partition: _ranking.PartitionId
    ) -> dict[base.WorkspaceName, _plan.QuotaPlan]:
        return {
            name: plan
            for name, plan in self._plans.items()
            if _ranking.holds_workspace(partition, name)
        }


def _find_capacity(
    _workspace: base.WorkspaceName, plan: _plan.QuotaPlan, leased_share: float
) -> float:
    return plan.capacity * leased_share

"""The tokens of a daemon that reaches no allocator."""

from sedgering import base
from sedgering.quota import _buckets
from sedgering.quota import _plan
from sedgering.quota import _ranking

__all__ = ['StandaloneBuckets']


class StandaloneBuckets:
    """Buckets that this host's share fills while no allocator uses it.

    Parameters
    ----------
    host : str
        This daemon.
    now_s : float
        Time of the event loop.
    """

    def __init__(self, host: base.HostId, now_s: float):
        self.host = host
        self._counted: frozenset[base.HostId] = frozenset()
        self._is_established = False
        #: Whether this host may hold a token of a workspace whose standalone
        #: capacity is less than one token for each host.
        self._is_chosen: dict[base.WorkspaceName, bool] = {}
        self._buckets = _buckets.LeasedBuckets(
            {}, 1, now_s, self._find_capacity
        )

    def set_plans(
        self,
        plans: dict[base.WorkspaceName, _plan.QuotaPlan],
        now_s: float,
    ) -> None:
        """Replace the plans of all workspaces."""
        self._is_chosen.clear()
        self._buckets.set_plans(plans, now_s)

    def set_hosts(
        self,
        counted: frozenset[base.HostId],
        established: frozenset[base.HostId],
        now_s: float,
    ) -> None:
        """Set the hosts that share the rates; see `QuotaAllocator`."""
        self._is_established = self.host in established
        if counted == self._counted:
            return
        self._counted = counted
        self._is_chosen.clear()
        self._buckets.set_hosts(counted, now_s)

    def activate(self, end_s: float, now_s: float) -> None:
        """Use this host's share until a time, or until `deactivate`."""
        if self._is_established:
            self._buckets.start_lease(self.host, end_s, now_s)

    def deactivate(self, now_s: float) -> None:
        """Stop using this host's share, and drop the tokens it filled."""
        self._buckets.end_lease(self.host, now_s)

    def is_active(self, now_s: float) -> bool:
        """Whether this host's share fills these buckets."""
        return bool(self._buckets.list_leased_hosts(now_s))

    def find_level(self, workspace: base.WorkspaceName) -> float:
        """Return how many tokens of a workspace are available."""
        return self._buckets.find_level(workspace)

    def take(
        self, workspace: base.WorkspaceName, now_s: float
    ) -> tuple[int, int]:
        """Take a token; see `LeasedBuckets.grant`."""
        return self._buckets.grant(workspace, 1, 0, now_s)

    def _find_capacity(
        self,
        workspace: base.WorkspaceName,
        plan: _plan.QuotaPlan,
        leased_share: float,
    ) -> float:
        if not leased_share:
            return 0.0
        hosts = len(self._counted)
        capacity = plan.standalone_capacity / hosts
        if capacity >= 1:
            return capacity
        if workspace not in self._is_chosen:
            ranked = _ranking.rank_hosts(self._counted, f'alone {workspace}')
            chosen = ranked[: int(plan.standalone_capacity)]
            self._is_chosen[workspace] = self.host in chosen
        return float(self._is_chosen[workspace])

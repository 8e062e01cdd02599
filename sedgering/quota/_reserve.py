"""The tokens of a daemon that reaches no keeper."""

from sedgering import base
from sedgering.quota import _book
from sedgering.quota import _plan
from sedgering.quota import _ranking

__all__ = ['AloneReserve']


class AloneReserve:
    """The daemon's own part of all rates, while nobody else counts it.

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
        self._is_settled = False
        #: Whether this host may hold a token of a workspace of which there is
        #: less than one for each host.
        self._is_chosen: dict[base.WorkspaceName, bool] = {}
        self._book = _book.ShardBook({}, 1, now_s, self._find_capacity)

    def take_plans(
        self,
        plans: dict[base.WorkspaceName, _plan.QuotaPlan],
        now_s: float,
    ) -> None:
        """Put other quotas in force."""
        self._is_chosen.clear()
        self._book.take_plans(plans, now_s)

    def take_hosts(
        self,
        counted: frozenset[base.HostId],
        settled: frozenset[base.HostId],
        now_s: float,
    ) -> None:
        """Divide all rates among other hosts; some of them may lend."""
        self._is_settled = self.host in settled
        if counted == self._counted:
            return
        self._counted = counted
        self._is_chosen.clear()
        self._book.take_hosts(counted, now_s)

    def lend(self, until_s: float, now_s: float) -> None:
        """Count the own part until then, unless it ends before."""
        if self._is_settled:
            self._book.lend(self.host, until_s, now_s)

    def end(self, now_s: float) -> None:
        """Count the own part no more, and drop what it has filled."""
        self._book.end(self.host, now_s)

    def is_counted(self, now_s: float) -> bool:
        """Whether the own part is counted here."""
        return bool(self._book.list_lenders(now_s))

    def find_level(self, workspace: base.WorkspaceName) -> float:
        """Return how many tokens of a workspace are there."""
        return self._book.find_level(workspace)

    def take(
        self, workspace: base.WorkspaceName, now_s: float
    ) -> tuple[int, int]:
        """Take a token; see `ShardBook.grant`."""
        return self._book.grant(workspace, 1, 0, now_s)

    def _find_capacity(
        self,
        workspace: base.WorkspaceName,
        plan: _plan.QuotaPlan,
        share: float,
    ) -> float:
        if not share:
            return 0.0
        hosts = len(self._counted)
        capacity = plan.alone_capacity / hosts
        if capacity >= 1:
            return capacity
        if workspace not in self._is_chosen:
            ranked = _ranking.rank_hosts(self._counted, f'alone {workspace}')
            chosen = ranked[: int(plan.alone_capacity)]
            self._is_chosen[workspace] = self.host in chosen
        return float(self._is_chosen[workspace])

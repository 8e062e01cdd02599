"""The tokens that a daemon holds, and how many more it will need."""

import math

import msgspec

from sedgering import base

__all__ = ['Permit', 'QuotaPurse']

#: Time over which the demand of a workspace at this daemon is averaged.
DEMAND_S = 1.0
#: They are fetched ahead for so long: a round trip takes 3 ms, and what is
#: not used ends.
AHEAD_S = 0.35
#: Below so many requests a second tokens are fetched for requests that wait
#: only; most of those that are fetched ahead would end unused.
AHEAD_LEAST_PER_S = 3.0
#: Share of what is fetched ahead at which more is fetched.
REFETCH_SHARE = 0.4


class Permit(msgspec.Struct, frozen=True):
    """Permission for one request.

    Parameters
    ----------
    workspace : str
        Whose.
    expires_s : float
        Time of the event loop until which it may be spent.
    """

    workspace: base.WorkspaceName
    expires_s: float


class _Held(msgspec.Struct):
    """The tokens and demand of one workspace."""

    #: Ends of the tokens held, the first to end first.
    ends_s: list[float] = []
    demand_per_s: float = 0.0
    demand_at_s: float = -math.inf


class QuotaPurse:
    """The tokens of all workspaces at one daemon."""

    def __init__(self):
        self._tables: dict[base.WorkspaceName, _Held] = {}

    def retain(
        self,
        kept: frozenset[base.WorkspaceName],
        cut: frozenset[base.WorkspaceName],
    ) -> None:
        """Forget workspaces; drop the tokens of those with a lower quota."""
        for name in self._tables.keys() - kept:
            del self._tables[name]
        for name in self._tables.keys() & cut:
            self._tables[name].ends_s.clear()

    def note_demand(self, workspace: base.WorkspaceName, now_s: float) -> None:
        """Count a request, whether or not it gets a token."""
        table = self._find(workspace)
        table.demand_per_s = _find_demand(table, now_s) + 1 / DEMAND_S
        table.demand_at_s = now_s

    def take(
        self, workspace: base.WorkspaceName, now_s: float
    ) -> Permit | None:
        """Take a token that is held, if there is one."""
        table = self._find(workspace)
        _drop_ended(table, now_s)
        if not table.ends_s:
            return None
        return Permit(workspace, table.ends_s.pop(0))

    def put(
        self,
        workspace: base.WorkspaceName,
        count: int,
        expires_s: float,
    ) -> None:
        """Hold tokens that were granted."""
        table = self._find(workspace)
        table.ends_s.extend([expires_s] * count)
        table.ends_s.sort()

    def give_back(self, token: Permit, now_s: float) -> None:
        """Hold a token again whose request has not run."""
        table = self._tables.get(token.workspace)
        if table is not None and now_s < token.expires_s:
            table.ends_s.append(token.expires_s)
            table.ends_s.sort()

    def is_low(self, workspace: base.WorkspaceName, now_s: float) -> bool:
        """Whether it is time to fetch tokens ahead."""
        table = self._find(workspace)
        wanted = _find_wanted(table, now_s)
        return len(table.ends_s) < REFETCH_SHARE * wanted

    def find_ahead(self, workspace: base.WorkspaceName, now_s: float) -> int:
        """Return how many tokens to fetch ahead."""
        table = self._find(workspace)
        _drop_ended(table, now_s)
        wanted = _find_wanted(table, now_s) - len(table.ends_s)
        return max(0, math.ceil(wanted))

    def list_wanted(self, now_s: float) -> list[base.WorkspaceName]:
        """Return the workspaces of which tokens are fetched ahead."""
        return [
            name
            for name, table in self._tables.items()
            if _find_wanted(table, now_s)
        ]

    def count_held(self, now_s: float) -> int:
        """Return how many tokens are held."""
        return sum(
            sum(end_s > now_s for end_s in table.ends_s)
            for table in self._tables.values()
        )

    def _find(self, workspace: base.WorkspaceName) -> _Held:
        table = self._tables.get(workspace)
        if table is None:
            table = self._tables[workspace] = _Held()
        return table


def _find_demand(table: _Held, now_s: float) -> float:
    age_s = now_s - table.demand_at_s
    return table.demand_per_s * math.exp(-age_s / DEMAND_S)


def _find_wanted(table: _Held, now_s: float) -> float:
    demand_per_s = _find_demand(table, now_s)
    if demand_per_s < AHEAD_LEAST_PER_S:
        return 0.0
    return demand_per_s * AHEAD_S


def _drop_ended(table: _Held, now_s: float) -> None:
    ends_s = table.ends_s
    while ends_s and ends_s[0] <= now_s:
        ends_s.pop(0)

"""The tokens that a daemon holds, and how many more it will need."""

import math

import msgspec

from sedgering import base

__all__ = ['Permit', 'PermitCache']

#: Time constant of the average demand of a workspace at this daemon.
DEMAND_TIME_CONSTANT_S = 1.0
#: A daemon holds tokens for the expected demand of this time: a round trip
#: takes 3 ms, and unused tokens expire.
PREFETCH_S = 0.35
#: Below this demand tokens are fetched only for requests that wait; most
#: prefetched ones would expire unused.
PREFETCH_MIN_PER_S = 3.0
#: Share of the prefetched number of tokens below which more are fetched.
REFETCH_SHARE = 0.4


class Permit(msgspec.Struct, frozen=True):
    """A token: permission to run one request.

    Parameters
    ----------
    workspace : str
        Whose request may run.
    expires_s : float
        Time of the event loop until which it may be spent.
    """

    workspace: base.WorkspaceName
    expires_s: float


class _Entry(msgspec.Struct):
    """The tokens and demand of one workspace."""

    #: Expiry times of the tokens held, the earliest first.
    expiries_s: list[float] = []
    demand_per_s: float = 0.0
    demand_at_s: float = -math.inf


class PermitCache:
    """The tokens of all workspaces at one daemon."""

    def __init__(self):
        self._entries: dict[base.WorkspaceName, _Entry] = {}

    def retain(
        self,
        known: frozenset[base.WorkspaceName],
        lowered: frozenset[base.WorkspaceName],
    ) -> None:
        """Drop unknown workspaces, and the tokens under lowered quotas.

        Parameters
        ----------
        known : frozenset of str
            Workspaces that have a quota.
        lowered : frozenset of str
            Workspaces whose quota was lowered.
        """
        for name in self._entries.keys() - known:
            del self._entries[name]
        for name in self._entries.keys() & lowered:
            self._entries[name].expiries_s.clear()

    def note_demand(self, workspace: base.WorkspaceName, now_s: float) -> None:
        """Count a request, whether or not it gets a token."""
        entry = self._find(workspace)
        entry.demand_per_s = (
            _find_demand(entry, now_s) + 1 / DEMAND_TIME_CONSTANT_S
        )
        entry.demand_at_s = now_s

    def take(
        self, workspace: base.WorkspaceName, now_s: float
    ) -> Permit | None:
        """Take the token that expires first; None if there is no token."""
        entry = self._find(workspace)
        _drop_expired(entry, now_s)
        if not entry.expiries_s:
            return None
        return Permit(workspace, entry.expiries_s.pop(0))

    def put(
        self,
        workspace: base.WorkspaceName,
        count: int,
        expires_s: float,
    ) -> None:
        """Add tokens that were granted."""
        entry = self._find(workspace)
        entry.expiries_s.extend([expires_s] * count)
        entry.expiries_s.sort()

    def put_back(self, token: Permit, now_s: float) -> None:
        """Add the token of a request that has not run, unless expired."""
        entry = self._entries.get(token.workspace)
        if entry is not None and now_s < token.expires_s:
            entry.expiries_s.append(token.expires_s)
            entry.expiries_s.sort()

    def is_low(self, workspace: base.WorkspaceName, now_s: float) -> bool:
        """Whether it is time to prefetch tokens."""
        entry = self._find(workspace)
        wanted = _find_wanted(entry, now_s)
        return len(entry.expiries_s) < REFETCH_SHARE * wanted

    def count_missing(
        self, workspace: base.WorkspaceName, now_s: float
    ) -> int:
        """Return how many tokens to prefetch."""
        entry = self._find(workspace)
        _drop_expired(entry, now_s)
        missing = _find_wanted(entry, now_s) - len(entry.expiries_s)
        return max(0, math.ceil(missing))

    def list_prefetched(self, now_s: float) -> list[base.WorkspaceName]:
        """Return the workspaces with enough demand to prefetch tokens."""
        return [
            name
            for name, entry in self._entries.items()
            if _find_wanted(entry, now_s)
        ]

    def count_held(self, now_s: float) -> int:
        """Return how many unexpired tokens are held."""
        return sum(
            sum(expires_s > now_s for expires_s in entry.expiries_s)
            for entry in self._entries.values()
        )

    def _find(self, workspace: base.WorkspaceName) -> _Entry:
        entry = self._entries.get(workspace)
        if entry is None:
            entry = self._entries[workspace] = _Entry()
        return entry


def _find_demand(entry: _Entry, now_s: float) -> float:
    """Return the average demand in requests a second."""
    age_s = now_s - entry.demand_at_s
    return entry.demand_per_s * math.exp(-age_s / DEMAND_TIME_CONSTANT_S)


def _find_wanted(entry: _Entry, now_s: float) -> float:
    """Return how many tokens to hold for expected requests."""
    demand_per_s = _find_demand(entry, now_s)
    if demand_per_s < PREFETCH_MIN_PER_S:
        return 0.0
    return demand_per_s * PREFETCH_S


def _drop_expired(entry: _Entry, now_s: float) -> None:
    expiries_s = entry.expiries_s
    while expiries_s and expiries_s[0] <= now_s:
        expiries_s.pop(0)

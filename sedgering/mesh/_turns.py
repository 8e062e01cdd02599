"""Turns of the daemons that watch the store at a common task."""

from sedgering import base
from sedgering.mesh import _fleet
from sedgering.mesh import _follow
from sedgering.mesh import _messages
from sedgering.mesh import _peers
from sedgering.mesh import _source
from sedgering import rollout

__all__ = ['Turns']

#: Delay after which the next daemon by rank works on a task, too.
RANK_DELAY_S = 1.2
#: Most daemons that may work on one task at a time.
ACTIVE_DAEMONS_LIMIT = 6


class Turns:
    """Ranks the daemons that watch the store, without an elected leader.

    The first one works on a task from the start, and each other one joins
    after a delay that grows with its rank.

    Parameters
    ----------
    identity : MeshIdentity
        Identity of this daemon.
    fleet : FleetTable
        Hosts that may watch the store.
    peers : PeerTable
        Settings of the fleet.
    source : MeshSource
        Source of the time.
    """

    def __init__(
        self,
        identity: _messages.MeshIdentity,
        fleet: _fleet.FleetTable,
        peers: _peers.PeerTable,
        source: _source.MeshSource,
    ):
        self.identity = identity
        self.fleet = fleet
        self.peers = peers
        self.source = source
        #: When this daemon first saw each state of a task.
        self._first_seen_s: dict[tuple, float] = {}

    def clear(self) -> None:
        """Forget all tasks."""
        self._first_seen_s.clear()

    def is_own(self, target_set: base.TargetSetName, *state: object) -> bool:
        """Whether this daemon is to work on a task of a target set now.

        Parameters
        ----------
        target_set : str
            Target set; each has another ranking.
        *state
            State of the task.  The turns begin anew with each.
        """
        now_s = self.source.loop.time()
        first_seen_s = self._first_seen_s.setdefault(
            (target_set, *state), now_s
        )
        rank = self._find_rank(target_set)
        return (
            rank < ACTIVE_DAEMONS_LIMIT
            and now_s >= first_seen_s + rank * RANK_DELAY_S
        )

    def _find_rank(self, target_set: base.TargetSetName) -> int:
        """Return this daemon's rank among those that watch the store."""
        rows = _follow.list_store_watchers(
            self.fleet.members, self.peers.mesh_settings.relay_from_hosts
        )
        hosts = [row.host for row in rows]
        own = self.identity.host
        if own not in hosts:
            hosts.append(own)
        hosts.sort(key=lambda host: rollout.rank_host(host, f'{target_set} '))
        return hosts.index(own)

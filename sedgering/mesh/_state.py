"""State shared by all requests of a daemon."""

from collections.abc import Callable
import random

from sedgering import access
from sedgering import balance
from sedgering.mesh import _budget
from sedgering.mesh import _callers
from sedgering.mesh import _choice
from sedgering.mesh import _config
from sedgering.mesh import _decisions
from sedgering.mesh import _fleet
from sedgering.mesh import _messages
from sedgering.mesh import _peers
from sedgering.mesh import _quotas
from sedgering.mesh import _search
from sedgering.mesh import _sender
from sedgering.mesh import _settings
from sedgering.mesh import _start
from sedgering.mesh import _target_client
from sedgering import overload
from sedgering import rollout

__all__ = ['RequestState']


class RequestState:
    """State shared by all requests of a daemon.

    Parameters
    ----------
    identity : MeshIdentity
        Identity of this daemon.
    names : HeaderNames
        Header field names shared with callers.
    mesh_settings : MeshSettings
        Limits.
    config : ConfigHolder
        The version in force.
    fleet : FleetTable
        Hosts and targets.
    peers : PeerTable
        Load and failures of the targets.
    target_client : TargetClient
        The local target.
    budget : RetryWindow
        Retry budget.
    decisions : DecisionLog
        Logs and metrics.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        identity: _messages.MeshIdentity,
        names: _messages.HeaderNames,
        mesh_settings: _settings.MeshSettings,
        config: _config.ConfigHolder,
        fleet: _fleet.FleetTable,
        peers: _peers.PeerTable,
        target_client: _target_client.TargetClient,
        budget: _budget.RetryWindow,
        decisions: _decisions.DecisionLog,
        rng: random.Random,
    ):
        self.identity = identity
        self.names = names
        self.mesh_settings = mesh_settings
        self.config = config
        self.fleet = fleet
        self.peers = peers
        #: Bounds the response data of all requests together; None without a
        #: bound.
        self.response_memory = peers.response_memory
        self.target_client = target_client
        self.crashes = target_client.crashes
        self.budget = budget
        self.decisions = decisions
        self.rng = rng
        self.sender = _sender.CallSender(identity, target_client, peers)
        self.route_weights = _choice.WeightedRoundRobin()
        self.callers = _callers.CallerTable()
        self.search_stats = _search.SearchStats()
        self.admission = overload.AdmissionController()
        self.centres = balance.CentreDemand()
        self.start = _start.StartupWait()
        self.serving = target_client.gate.serving
        #: Returns how current the version in force is.
        self.find_freshness: Callable[[], access.Freshness] = access.Freshness
        self.workspace_counts = access.WorkspaceCounts()
        self.revocation = access.RevocationPolicy()
        self.follow_revocation(mesh_settings)
        self.quotas = _quotas.make_workspace_quotas(
            identity,
            mesh_settings,
            fleet,
            peers,
            decisions.counts,
            rng,
            target_client.gate.now_s,
        )
        self.exposure = rollout.ExposureQuota(
            mesh_settings.exposed_share_percent / 100, identity.host
        )

    def follow_revocation(self, mesh_settings: _settings.MeshSettings) -> None:
        """Apply the settings for keys that may have been revoked."""
        self.revocation = access.RevocationPolicy(
            mesh_settings.revoke_strict, mesh_settings.revoke_ms / 1000
        )

    def apply_reported_row(self, row: _messages.MemberRow) -> bool:
        """Apply a daemon's report of its local target.

        Returns
        -------
        bool
            Whether the report was new.
        """
        if not self.fleet.apply_reported_row(row):
            return False
        self.note_started(row)
        return True

    def note_started(self, row: _messages.MemberRow) -> None:
        """Record that the target of a row has started."""
        now_s = self.target_client.gate.now_s()
        self.peers.find(row).note_cold(now_s + row.cold_ms / 1000)

"""What this daemon knows of other daemons: load, failures, connections."""

import logging

from sedgering import base
from sedgering.mesh import _messages
from sedgering.mesh import _settings
from sedgering import transport

__all__ = ['PeerTable']

LOG = logging.getLogger(__name__)

#: Idle connections kept to one peer; more than run there at a time are
#: never needed.
IDLE_CONNECTIONS = 32
#: For how long a target gets nothing after a refusal as leaving or gone:
#: about as long as its row takes to change everywhere.
CLOSED_MS = 2000
#: The same when its daemon has just started and does not know it yet.
UNKNOWN_TARGET_MS = 200
#: Work time assumed of a target that has told nothing yet.
UNKNOWN_WORK_MS = 100


class Peer:
    """Load, failures and connections of one peer.

    Parameters
    ----------
    row : MemberRow
        The host and its target.
    mesh_settings : MeshSettings
        Limits.
    """

    def __init__(
        self,
        row: _messages.MemberRow,
        mesh_settings: _settings.MeshSettings,
    ):
        self.row = row
        self.in_flight = 0
        self.report: _messages.LoadReport | None = None
        self.report_in_flight = 0
        self.reported_s = 0.0
        self.failures = 0
        self.suspect_until_s = 0.0
        self.shed_until_s = 0.0
        self.closed_until_s = 0.0
        self.pool = transport.ConnectionPool(
            row.address,
            row.port,
            mesh_settings.connect_timeout_ms / 1000,
            IDLE_CONNECTIONS,
            mesh_settings.peer_idle_ms / 1000,
        )
        self._settings = mesh_settings

    @property
    def limit(self) -> int:
        """Most calls at a time at the target."""
        return self.report.limit if self.report else max(1, self.row.slots)

    @property
    def work_ms(self) -> float:
        """Recent mean time at the target."""
        return self.report.work_ms if self.report else UNKNOWN_WORK_MS

    def estimate_present(self, now_s: float) -> float:
        """Estimate the calls that are at or before the target now."""
        if self.report is None:
            return self.in_flight
        others = (
            self.report.running + self.report.waiting - self.report_in_flight
        )
        age_ms = (now_s - self.reported_s) * 1000
        weight = 0.5 ** (age_ms / self._settings.report_half_life_ms)
        return self.in_flight + max(0, others) * weight

    def take_report(
        self, report: _messages.LoadReport | None, now_s: float
    ) -> None:
        """Take in what its gate told with an answer."""
        self.failures = 0
        self.suspect_until_s = 0.0
        if report is None:
            return
        self.report = report
        self.report_in_flight = self.in_flight
        self.reported_s = now_s

    def close(self, now_s: float, reason: _messages.RefusalReason) -> None:
        """Send nothing to its target for a while.

        A target that is leaving has its row changed meanwhile; a daemon
        that was restarted learns of its target again.
        """
        pause_ms = CLOSED_MS
        if reason is _messages.RefusalReason.TARGET_UNKNOWN:
            pause_ms = UNKNOWN_TARGET_MS
        if now_s >= self.closed_until_s:
            LOG.info(
                'target closed',
                extra={
                    'peer': self.row.host,
                    'target': self.row.target,
                    'reason': reason.value,
                    'wait_ms': pause_ms,
                },
            )
        self.closed_until_s = now_s + pause_ms / 1000

    def fail(self, now_s: float, detail: str) -> None:
        """Note a failed connection: it gets nothing for a while."""
        if now_s < self.suspect_until_s:
            return
        pause_ms = min(
            self._settings.suspect_limit_ms,
            self._settings.suspect_ms << self.failures,
        )
        self.failures = min(self.failures + 1, 8)
        self.suspect_until_s = now_s + pause_ms / 1000
        self.pool.close()
        LOG.warning(
            'peer suspect',
            extra={
                'peer': self.row.host,
                'detail': detail,
                'wait_ms': pause_ms,
            },
        )


class PeerTable:
    """Peers by host; made when they are first needed.

    Parameters
    ----------
    mesh_settings : MeshSettings
        Limits.
    """

    def __init__(self, mesh_settings: _settings.MeshSettings):
        self.mesh_settings = mesh_settings
        self._peers: dict[base.HostId, Peer] = {}

    def find(self, row: _messages.MemberRow) -> Peer:
        """Return the peer of a row; a new target starts unknown."""
        peer = self._peers.get(row.host)
        if peer is not None:
            old = peer.row
            if (old.address, old.port) != (row.address, row.port):
                peer.pool.close()
            elif old.target == row.target:
                return peer
        peer = Peer(row, self.mesh_settings)
        self._peers[row.host] = peer
        return peer

    def retain(self, hosts: frozenset[base.HostId]) -> None:
        """Forget peers that are no longer members."""
        for host in [host for host in self._peers if host not in hosts]:
            self._peers.pop(host).pool.close()

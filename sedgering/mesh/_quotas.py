"""Enforces the quotas of workspaces at one daemon.

The package `quota` makes the decisions.  This module sends and answers token
requests, and lets the requests of callers wait for tokens.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import logging
import math
import random

import msgspec

from sedgering import base
from sedgering import bundle as bundles
from sedgering import exceptions
from sedgering.mesh import _fleet
from sedgering.mesh import _messages
from sedgering.mesh import _peers
from sedgering.mesh import _quota_client
from sedgering.mesh import _quota_hop
from sedgering.mesh import _settings
from sedgering import observability
from sedgering import quota
from sedgering import transport

__all__ = ['WorkspaceQuotas', 'make_workspace_quotas']

LOG = logging.getLogger(__name__)

#: Longest wait of a request for its token; a round trip takes 1 to 3 ms.
WAIT_S = 0.15
#: Part of that wait that is spent on the first partition asked.
FIRST_WAIT_S = 0.05
#: Hosts with less bandwidth rank last as allocators: an allocator receives
#: about 200 messages a second.
MIN_LINK_MBPS = 10
#: Workspaces with a metric label of their own; the others share one.
LABELLED_LIMIT = 16
OTHERS_LABEL = 'rest'
#: Bounds of the retry time sent to a refused caller, relative to the time
#: until there are tokens.  The spread keeps callers that were refused together
#: from retrying together.
RETRY_AFTER_SHARES = (1.0, 1.6)
MIN_RETRY_AFTER_S = 0.05
#: Length of the random id that tells lifetimes of a daemon apart.
LIFETIME_ID_BITS = 48
#: States of a target whose daemon stays in the fleet.
_STAYING = frozenset((_messages.TargetState.READY, _messages.TargetState.DOWN))


class WorkspaceQuotas:
    """Grants and refuses tokens to requests of workspaces.

    Parameters
    ----------
    identity : MeshIdentity
        Identity of this daemon.
    bounds : QuotaBounds or None
        None where no quotas are enforced.
    fleet : FleetTable
        Rows of all daemons.
    peers : PeerTable
        Connections to the other daemons.
    counts : RequestCounts
        Counts granted, refused and returned tokens.
    rng : random.Random
        Spreads the retries of refused callers, and the renewals of leases.
    now_s : callable
        Returns the time of the event loop.
    """

    def __init__(
        self,
        identity: _messages.MeshIdentity,
        bounds: quota.QuotaBounds | None,
        fleet: _fleet.FleetTable,
        peers: _peers.PeerTable,
        counts: observability.RequestCounts,
        rng: random.Random,
        now_s: Callable[[], float],
    ):
        self.identity = identity
        self.bounds = bounds
        self.fleet = fleet
        self.peers = peers
        self.counts = counts
        self.rng = rng
        self.now_s = now_s
        self.plans: dict[base.WorkspaceName, quota.QuotaPlan] = {}
        self.permit_cache = quota.PermitCache()
        self.allocator = quota.QuotaAllocator(
            rng.getrandbits(LIFETIME_ID_BITS)
        )
        self.host_tracker = quota.HostTracker()
        #: Hosts that may be allocators, and those of them whose bandwidth is
        #: unknown or at least `MIN_LINK_MBPS`.
        self._eligible: tuple[frozenset, frozenset] = (frozenset(),) * 2
        self._shards = 0
        self._is_leaving = False
        self._clients: dict[
            quota.PartitionId, _quota_client.PartitionClient
        ] = {}
        self._clients_by_workspace: dict[
            base.WorkspaceName, list[_quota_client.PartitionClient]
        ] = {}
        self._tasks: dict[quota.PartitionId, asyncio.Task] = {}
        #: When a quota was last lowered.
        self.lowered_at_s = -math.inf
        self._labelled: frozenset[base.WorkspaceName] = frozenset()

    def has_quota(self, workspace: base.WorkspaceName) -> bool:
        """Whether requests of a workspace need tokens."""
        return workspace in self.plans

    def take(self, workspace: base.WorkspaceName) -> quota.Permit | None:
        """Count a request, and take a cached token if there is one."""
        now_s = self.now_s()
        permit_cache = self.permit_cache
        permit_cache.note_demand(workspace, now_s)
        token = permit_cache.take(workspace, now_s)
        if token is None:
            return None
        if permit_cache.is_low(workspace, now_s):
            self.find_clients(workspace)[0].wake()
        self._count('quota_granted', workspace)
        return token

    async def wait(
        self, workspace: base.WorkspaceName, until_s: float
    ) -> quota.Permit | None:
        """Request a token; return None when none is granted in time.

        Parameters
        ----------
        workspace : str
            Workspace of the request.
        until_s : float
            Deadline of the request, as time of the event loop.
        """
        start_s = now_s = self.now_s()
        token = None
        wait_s = FIRST_WAIT_S
        for client in self.find_clients(workspace):
            if not client.find_exhausted_s(workspace, now_s):
                token = await client.wait(
                    workspace, min(until_s, start_s + wait_s)
                )
            if token is not None:
                break
            wait_s = WAIT_S
            now_s = self.now_s()
        kind = 'quota_refused' if token is None else 'quota_granted'
        self._count(kind, workspace)
        return token

    def give_back(self, token: quota.Permit) -> None:
        """Put the token of a request that did not run back into the cache."""
        self.permit_cache.put_back(token, self.now_s())
        self._count('quota_returned', token.workspace)

    def find_retry_after_s(self, workspace: base.WorkspaceName) -> float:
        """Return the time after which a refused caller may find a token."""
        now_s = self.now_s()
        waits_s = [
            max(
                client.find_exhausted_s(workspace, now_s),
                client.session.find_unused_s(now_s),
            )
            for client in self.find_clients(workspace)
        ]
        wait_s = max(min(waits_s, default=0.0), MIN_RETRY_AFTER_S)
        return wait_s * self.rng.uniform(*RETRY_AFTER_SHARES)

    def answer(self, request: transport.Request) -> transport.Response:
        """Answer a token request of another daemon."""
        try:
            token_request = _quota_hop.decode_request(request)
        except (msgspec.DecodeError, RecursionError) as error:
            LOG.warning(
                'quota token request invalid', extra={'detail': str(error)}
            )
            return transport.make_json_response(400, {'error': str(error)})
        if not self.plans:
            return transport.make_json_response(
                503, {'error': 'no quotas are known'}
            )
        try:
            grant = self.allocator.answer(token_request, self.now_s())
        except ValueError as error:
            LOG.warning(
                'quota token request invalid', extra={'detail': str(error)}
            )
            return transport.make_json_response(400, {'error': str(error)})
        return _quota_hop.encode_grant(grant)

    async def send(
        self, host: base.HostId, token_request: quota.QuotaRequest
    ) -> quota.QuotaGrant | None:
        """Send a token request to a host; None when it does not answer."""
        if host == self.identity.host:
            return self.allocator.answer(token_request, self.now_s())
        row = self.fleet.members.get(host)
        if row is None:
            return None
        peer = self.peers.find(row)
        data = _quota_hop.encode_request(token_request)
        try:
            async with asyncio.timeout(_quota_client.REQUEST_TIMEOUT_S):
                answer = await peer.ask(data, 'quota token request failed')
        except TimeoutError:
            return None
        if answer is None:
            return None
        try:
            return _quota_hop.decode_grant(answer)
        except exceptions.PeerError as error:
            LOG.info(
                'quota token grant invalid',
                extra={
                    'peer': host,
                    'code': int(error.code),
                    'detail': error.detail,
                },
            )
            return None

    def set_workspaces(self, workspaces: Iterable[bundles.Workspace]) -> None:
        """Apply the quotas of a bundle version.

        Parameters
        ----------
        workspaces : iterable of Workspace
            Workspaces of the bundle in force.
        """
        if self.bounds is None:
            return
        now_s = self.now_s()
        old = self.plans
        self.plans = quota.make_plans(workspaces, self.bounds)
        if self.plans == old:
            return
        lowered = frozenset(
            name
            for name in old.keys() & self.plans.keys()
            if self.plans[name].rate_per_s < old[name].rate_per_s
            or self.plans[name].capacity < old[name].capacity
        )
        self.permit_cache.retain(frozenset(self.plans), lowered)
        if lowered:
            self.lowered_at_s = now_s
        self.allocator.set_plans(self.plans, now_s)
        largest = sorted(
            self.plans, key=lambda name: -self.plans[name].rate_per_s
        )
        self._labelled = frozenset(largest[:LABELLED_LIMIT])
        self._update_clients()

    def set_members(
        self, members: dict[base.HostId, _messages.MemberRow]
    ) -> None:
        """Set the members of the fleet, which share the rates.

        Parameters
        ----------
        members : dict of str to MemberRow
            Rows of all daemons, by host.
        """
        if self.bounds is None:
            return
        self.host_tracker.update(members, self.now_s())
        staying = [row for row in members.values() if row.state in _STAYING]
        eligible = (
            frozenset(row.host for row in staying),
            frozenset(
                row.host
                for row in staying
                if not 0 < row.link_mbps < MIN_LINK_MBPS
            ),
        )
        if eligible != self._eligible:
            self._eligible = eligible
            for client in self._clients.values():
                client.set_ranked(self._rank_hosts(client.session.partition))
        self._update_clients()

    def refresh_hosts(self, now_s: float) -> None:
        """Update the hosts that share the rates.

        They change without a change of the members, too: when the delay of a
        new host or the grace period of a removed one ends.
        """
        counted = self.host_tracker.list_counted(now_s)
        established = self.host_tracker.list_established(now_s)
        self.allocator.set_hosts(counted, established, now_s)
        for client in self._clients.values():
            client.standalone.set_hosts(counted, established, now_s)

    def leave(self) -> None:
        """Start no more leases, as others will soon stop counting this host.

        They then divide the rates among the remaining hosts.
        """
        now_s = self.now_s()
        self._is_leaving = True
        for client in self._clients.values():
            client.session.is_leaving = True
            client.standalone.deactivate(now_s)

    def stop(self) -> None:
        """Stop sending token requests."""
        for task in self._tasks.values():
            task.cancel()

    def find_gauges(self) -> dict[str, float]:
        """Return the values of the gauges; none without quotas."""
        if not self.plans:
            return {}
        sessions = [client.session for client in self._clients.values()]
        now_s = self.now_s()
        return {
            'quota_tokens_held': self.permit_cache.count_held(now_s),
            'quota_shards_kept': sum(
                self.allocator.find_leased_share(partition) > 0
                for partition in self.allocator.partitions
            ),
            'quota_shards_alone': sum(
                session.is_standalone(now_s) for session in sessions
            ),
        }

    def find_clients(
        self, workspace: base.WorkspaceName
    ) -> list[_quota_client.PartitionClient]:
        """Return the clients of a workspace in the order to ask them."""
        clients = self._clients_by_workspace.get(workspace, [])
        if clients and not clients[0].is_healthy:
            return clients[::-1]
        return clients

    def _update_clients(self) -> None:
        """Match the clients to the number of shards and to the plans."""
        now_s = self.now_s()
        shards = quota.count_shards(len(self.host_tracker.present))
        if not self.plans:
            shards = 0
        if shards != self._shards:
            self._shards = shards
            self._replace_clients(now_s)
        self._clients_by_workspace = {
            name: self._order_clients(name) for name in self.plans
        }
        names = frozenset(self.plans)
        for partition, client in self._clients.items():
            client.retain(names)
            client.standalone.set_plans(
                {
                    name: plan
                    for name, plan in self.plans.items()
                    if quota.holds_workspace(partition, name)
                },
                now_s,
            )
        self.refresh_hosts(now_s)

    def _replace_clients(self, now_s: float) -> None:
        """Replace all clients after the number of shards has changed.

        Leases that the former clients started run until their end.
        """
        self.stop()
        for client in self._clients.values():
            client.refuse_all()
        self._clients = {
            partition: _quota_client.PartitionClient(self, partition, now_s)
            for partition in quota.list_partitions(self._shards)
        }
        loop = asyncio.get_running_loop()
        self._tasks = {}
        for partition, client in self._clients.items():
            client.set_ranked(self._rank_hosts(partition))
            client.session.is_leaving = self._is_leaving
            self._tasks[partition] = loop.create_task(client.run())

    def _rank_hosts(self, partition: quota.PartitionId) -> list[base.HostId]:
        """Rank the possible allocators; those with slow links come last."""
        hosts, wide = self._eligible
        ranked = quota.rank_allocators(hosts, partition)
        return sorted(ranked, key=lambda host: host not in wide)

    def _order_clients(
        self, workspace: base.WorkspaceName
    ) -> list[_quota_client.PartitionClient]:
        """Return the clients of a workspace, the preferred one first."""
        partitions = quota.find_partitions(workspace, self._shards)
        first = quota.choose_first_partition(self.identity.host, workspace)
        return [
            self._clients[partition]
            for partition in partitions[first:] + partitions[:first]
        ]

    def _count(self, kind: str, workspace: base.WorkspaceName) -> None:
        label = workspace if workspace in self._labelled else OTHERS_LABEL
        self.counts.count(kind, label)


def make_workspace_quotas(
    identity: _messages.MeshIdentity,
    mesh_settings: _settings.MeshSettings,
    fleet: _fleet.FleetTable,
    peers: _peers.PeerTable,
    counts: observability.RequestCounts,
    rng: random.Random,
    now_s: Callable[[], float],
) -> WorkspaceQuotas:
    """Make the quotas of a daemon from its settings.

    See `WorkspaceQuotas` for the parameters.
    """
    bounds = None
    if mesh_settings.quota_window_ms:
        bounds = quota.QuotaBounds(
            mesh_settings.quota_window_ms / 1000,
            mesh_settings.quota_excess_percent / 100,
            mesh_settings.quota_slack,
        )
    return WorkspaceQuotas(identity, bounds, fleet, peers, counts, rng, now_s)

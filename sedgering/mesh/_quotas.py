"""Quotas of workspaces at one daemon: who waits for tokens, and who asks.

What is decided is in `quota`; here are the messages, and the requests that
wait for their answers.
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
from sedgering.mesh import _quota_hop
from sedgering.mesh import _quota_shard
from sedgering.mesh import _settings
from sedgering import observability
from sedgering import quota
from sedgering import transport

__all__ = ['WorkspaceQuotas', 'make_workspace_quotas']

LOG = logging.getLogger(__name__)

#: Longest wait of a request for its token; a round trip takes 1 to 3 ms.
WAIT_S = 0.15
#: Of it, the time for the first of its lanes.
FIRST_WAIT_S = 0.05
#: Links narrower than this are spared: a keeper gets some 200 messages a
#: second.
LEAST_LINK_MBPS = 10
#: Workspaces with metrics of their own; the others are counted together.
TOLD_LIMIT = 16
REST = 'rest'
#: Bounds of the time after which a refused caller returns, as shares of the
#: time until there is room: those that were refused together are spread.
PAUSE_SHARES = (1.0, 1.6)
LEAST_PAUSE_S = 0.05
#: Bits of the number that tells lifetimes of a daemon apart.
LIFE_BITS = 48
#: States of a target whose daemon stays.
_STAYING = frozenset((_messages.TargetState.READY, _messages.TargetState.DOWN))


class WorkspaceQuotas:
    """Grants and refuses requests of workspaces.

    Parameters
    ----------
    identity : MeshIdentity
        Who this daemon is.
    bounds : QuotaBounds or None
        None where no quotas are counted.
    fleet : FleetTable
        Rows of all daemons.
    peers : PeerTable
        Connections to them.
    counts : RequestCounts
        Where grants and refusals are counted.
    rng : random.Random
        Spreads callers that return.
    now_s : callable
        Time of the event loop.
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
        self.purse = quota.QuotaPurse()
        self.keeper = quota.QuotaKeeper(rng.getrandbits(LIFE_BITS))
        self.hosts = quota.HostLog()
        #: Hosts whose daemons may keep shards, and those with wide links.
        self._eligible: tuple[frozenset, frozenset] = (frozenset(),) * 2
        self._shards = 0
        self._is_leaving = False
        self._drivers: dict[quota.ShardId, _quota_shard.ShardDriver] = {}
        self._lanes_of: dict[
            base.WorkspaceName, list[_quota_shard.ShardDriver]
        ] = {}
        self._tasks: dict[quota.ShardId, asyncio.Task] = {}
        #: When a quota was last lowered.
        self.cut_at_s = -math.inf
        self._told: frozenset[base.WorkspaceName] = frozenset()

    def is_counted(self, workspace: base.WorkspaceName) -> bool:
        """Whether requests of a workspace need tokens."""
        return workspace in self.plans

    def take(self, workspace: base.WorkspaceName) -> quota.Permit | None:
        """Take a token that is held, if there is one; count the request."""
        now_s = self.now_s()
        purse = self.purse
        purse.note_demand(workspace, now_s)
        token = purse.take(workspace, now_s)
        if token is None:
            return None
        if purse.is_low(workspace, now_s):
            self.find_lanes(workspace)[0].wake()
        self._count('quota_granted', workspace)
        return token

    async def wait(
        self, workspace: base.WorkspaceName, until_s: float
    ) -> quota.Permit | None:
        """Ask for a token; return None when there is none in time.

        Parameters
        ----------
        workspace : str
            Whose token.
        until_s : float
            Time of the event loop at which the request ends.
        """
        start_s = now_s = self.now_s()
        token = None
        wait_s = FIRST_WAIT_S
        for lane in self.find_lanes(workspace):
            if not lane.find_dry_s(workspace, now_s):
                token = await lane.wait(
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
        """Take back the token of a request that has not run."""
        self.purse.give_back(token, self.now_s())
        self._count('quota_returned', token.workspace)

    def find_pause_s(self, workspace: base.WorkspaceName) -> float:
        """Return when a caller that was refused may find room."""
        now_s = self.now_s()
        waits_s = [
            max(
                lane.find_dry_s(workspace, now_s),
                lane.link.find_gap_s(now_s),
            )
            for lane in self.find_lanes(workspace)
        ]
        wait_s = max(min(waits_s, default=0.0), LEAST_PAUSE_S)
        return wait_s * self.rng.uniform(*PAUSE_SHARES)

    def answer(self, request: transport.Request) -> transport.Response:
        """Answer another daemon that asks for tokens."""
        try:
            ask = _quota_hop.decode_ask(request)
        except (msgspec.DecodeError, RecursionError) as error:
            LOG.warning('quota ask refused', extra={'detail': str(error)})
            return transport.make_json_response(400, {'error': str(error)})
        if not self.plans:
            return transport.make_json_response(
                503, {'error': 'no quotas are known'}
            )
        try:
            grant = self.keeper.answer(ask, self.now_s())
        except ValueError as error:
            LOG.warning('quota ask refused', extra={'detail': str(error)})
            return transport.make_json_response(400, {'error': str(error)})
        return _quota_hop.encode_grant(grant)

    async def ask(
        self, host: base.HostId, ask: quota.QuotaAsk
    ) -> quota.QuotaGrant | None:
        """Ask a daemon for tokens; return None when it does not answer."""
        if host == self.identity.host:
            return self.keeper.answer(ask, self.now_s())
        row = self.fleet.members.get(host)
        if row is None:
            return None
        peer = self.peers.find(row)
        data = _quota_hop.encode_ask(ask)
        try:
            async with asyncio.timeout(_quota_shard.ASK_S):
                answer = await peer.ask(data, 'quota keeper silent')
        except TimeoutError:
            return None
        if answer is None:
            return None
        try:
            return _quota_hop.decode_grant(answer)
        except exceptions.PeerError as error:
            LOG.info(
                'quota grant refused',
                extra={
                    'peer': host,
                    'code': int(error.code),
                    'detail': error.detail,
                },
            )
            return None

    def take_config(self, workspaces: Iterable[bundles.Workspace]) -> None:
        """Put the quotas of a version in force."""
        if self.bounds is None:
            return
        now_s = self.now_s()
        old = self.plans
        self.plans = quota.make_plans(workspaces, self.bounds)
        if self.plans == old:
            return
        cut = frozenset(
            name
            for name in old.keys() & self.plans.keys()
            if self.plans[name].rate_per_s < old[name].rate_per_s
            or self.plans[name].capacity < old[name].capacity
        )
        self.purse.retain(frozenset(self.plans), cut)
        if cut:
            self.cut_at_s = now_s
        self.keeper.take_plans(self.plans, now_s)
        largest = sorted(
            self.plans, key=lambda name: -self.plans[name].rate_per_s
        )
        self._told = frozenset(largest[:TOLD_LIMIT])
        self._divide()

    def take_members(
        self, members: dict[base.HostId, _messages.MemberRow]
    ) -> None:
        """Divide the rates among other hosts."""
        if self.bounds is None:
            return
        self.hosts.take_hosts(members, self.now_s())
        staying = [row for row in members.values() if row.state in _STAYING]
        eligible = (
            frozenset(row.host for row in staying),
            frozenset(
                row.host
                for row in staying
                if not 0 < row.link_mbps < LEAST_LINK_MBPS
            ),
        )
        if eligible != self._eligible:
            self._eligible = eligible
            for driver in self._drivers.values():
                driver.ranked = self._rank(driver.link.shard)
        self._divide()

    def refresh_hosts(self, now_s: float) -> None:
        """Count hosts no more that have left some time ago."""
        counted = self.hosts.list_counted(now_s)
        settled = self.hosts.list_settled(now_s)
        self.keeper.take_hosts(counted, settled, now_s)
        for driver in self._drivers.values():
            driver.reserve.take_hosts(counted, settled, now_s)

    def leave(self) -> None:
        """Lend nothing more: others are about to count one host less."""
        now_s = self.now_s()
        self._is_leaving = True
        for driver in self._drivers.values():
            driver.link.is_leaving = True
            driver.reserve.end(now_s)

    def stop(self) -> None:
        """Ask nobody any more."""
        for task in self._tasks.values():
            task.cancel()

    def find_gauges(self) -> dict[str, float]:
        """Return present values; none where nothing is counted."""
        if not self.plans:
            return {}
        links = [driver.link for driver in self._drivers.values()]
        now_s = self.now_s()
        return {
            'quota_tokens_held': self.purse.count_held(now_s),
            'quota_shards_kept': sum(
                self.keeper.find_share(shard) > 0
                for shard in self.keeper.shards
            ),
            'quota_shards_alone': sum(link.is_alone(now_s) for link in links),
        }

    def find_lanes(
        self, workspace: base.WorkspaceName
    ) -> list[_quota_shard.ShardDriver]:
        """Return the lanes of a workspace, the one to ask first first."""
        lanes = self._lanes_of.get(workspace, [])
        if lanes and not lanes[0].is_sound:
            return lanes[::-1]
        return lanes

    def _divide(self) -> None:
        """Follow the number of shards, and give each its workspaces."""
        now_s = self.now_s()
        shards = quota.count_shards(len(self.hosts.present))
        if not self.plans:
            shards = 0
        if shards != self._shards:
            self._shards = shards
            self._replace_drivers(now_s)
        self._lanes_of = {
            name: self._choose_lanes(name) for name in self.plans
        }
        names = frozenset(self.plans)
        for shard, driver in self._drivers.items():
            driver.retain(names)
            driver.reserve.take_plans(
                {
                    name: plan
                    for name, plan in self.plans.items()
                    if quota.holds_workspace(shard, name)
                },
                now_s,
            )
        self.refresh_hosts(now_s)

    def _replace_drivers(self, now_s: float) -> None:
        """Start with other shards: what was lent ends by itself."""
        self.stop()
        for driver in self._drivers.values():
            driver.refuse_all()
        self._drivers = {
            shard: _quota_shard.ShardDriver(self, shard, now_s)
            for shard in quota.list_lanes(self._shards)
        }
        loop = asyncio.get_running_loop()
        self._tasks = {}
        for shard, driver in self._drivers.items():
            driver.ranked = self._rank(shard)
            driver.link.is_leaving = self._is_leaving
            self._tasks[shard] = loop.create_task(driver.run())

    def _rank(self, shard: quota.ShardId) -> list[base.HostId]:
        """Rank the hosts for a shard; those with narrow links come last."""
        hosts, wide = self._eligible
        ranked = quota.rank_keepers(hosts, shard)
        return sorted(ranked, key=lambda host: host not in wide)

    def _choose_lanes(
        self, workspace: base.WorkspaceName
    ) -> list[_quota_shard.ShardDriver]:
        shards = quota.find_lanes(workspace, self._shards)
        first = quota.choose_lane(self.identity.host, workspace)
        return [
            self._drivers[shard] for shard in shards[first:] + shards[:first]
        ]

    def _count(self, kind: str, workspace: base.WorkspaceName) -> None:
        label = workspace if workspace in self._told else REST
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
    """Make the quotas of a daemon; see `WorkspaceQuotas`."""
    bounds = None
    if mesh_settings.quota_window_ms:
        bounds = quota.QuotaBounds(
            mesh_settings.quota_window_ms / 1000,
            mesh_settings.quota_excess_percent / 100,
            mesh_settings.quota_slack,
        )
    return WorkspaceQuotas(identity, bounds, fleet, peers, counts, rng, now_s)

"""Simulates a fleet that shares quotas, in virtual time.

Each daemon runs the production code of its quotas.  Only the messages between
daemons, their crashes, suspensions and network partitions are simulated.
"""

import asyncio
import collections
import random

import msgspec

from sedgering import base
from sedgering import bundle as bundles
from sedgering import mesh
from sedgering.mesh import _fleet
from sedgering.mesh import _peers
from sedgering.mesh import _quota_client
from sedgering.mesh import _quotas
from sedgering import observability
from sedgering import quota
from sedgering import testing

BOUNDS = quota.QuotaBounds(window_s=5.0, excess=0.1, slack=20)
#: Bounds of the one-way latency between two hosts.
LATENCY_S = (0.0005, 0.002)
#: Time until all daemons know of a changed row.
ROW_DELAY_S = 0.7


class _SimulatedQuotas(_quotas.WorkspaceQuotas):
    """Quotas of one daemon whose messages go through the simulation."""

    simulation = None

    async def send(self, host, token_request):
        return await self.simulation.deliver(
            self.identity.host, host, token_request
        )


class SimulatedDaemon:
    """The quotas of a daemon's present lifetime, and its host's faults."""

    def __init__(self, name: str):
        self.name = name
        self.quotas: _SimulatedQuotas | None = None
        self.network_part = 0
        self.suspended_until_s = 0.0

    async def wait_resumed(self) -> None:
        """Wait until the host is not suspended."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self.suspended_until_s:
            await asyncio.sleep(self.suspended_until_s - now_s)


class SimulatedFleet:
    """A fleet, its callers, and a record of the tokens granted."""

    def __init__(self, seed: int, hosts: int, workspaces: dict[str, tuple]):
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.bounds = BOUNDS
        self.messages = 0
        #: Leases of one host at two allocators: time, partition and host.
        self.double_leases: list[tuple] = []
        self.sent_bytes = 0
        self.rows: dict[base.HostId, mesh.MemberRow] = {}
        self.workspaces = [
            bundles.Workspace(name, rate_per_s=rate, burst=burst)
            for name, (rate, burst) in workspaces.items()
        ]
        self.daemons: dict[str, SimulatedDaemon] = {}
        #: Times at which requests were granted, by workspace.
        self.granted: dict[str, list[float]] = collections.defaultdict(list)
        self.refused: dict[str, list[float]] = collections.defaultdict(list)
        self._callers: set[asyncio.Task] = set()
        for number in range(hosts):
            self._add_row(f'h{number}')
        for name in list(self.rows):
            self.daemons[name] = SimulatedDaemon(name)
            self.start(name)

    def _add_row(self, name: str) -> None:
        self.rows[name] = testing.make_member_row(name)

    def start(self, name: str) -> None:
        """Start or restart a daemon."""
        identity = mesh.MeshIdentity(name, 'hall', 'calendar')
        quotas = _SimulatedQuotas(
            identity,
            self.bounds,
            _fleet.FleetTable(),
            _peers.PeerTable(mesh.MeshSettings()),
            observability.RequestCounts(),
            random.Random(self.rng.random()),
            self.loop.time,
        )
        quotas.simulation = self
        self.daemons[name].quotas = quotas
        quotas.set_members(dict(self.rows))
        quotas.set_workspaces(self.workspaces)

    def kill(self, name: str) -> None:
        """Crash a daemon: it sends no message."""
        daemon = self.daemons[name]
        if daemon.quotas is not None:
            daemon.quotas.stop()
        daemon.quotas = None

    def suspend(self, name: str, length_s: float) -> None:
        """Suspend a host for a while."""
        end_s = self.loop.time() + length_s
        self.daemons[name].suspended_until_s = end_s

    def partition_network(self, network_parts: dict[str, int]) -> None:
        """Cut the links between hosts of different network parts."""
        for name, daemon in self.daemons.items():
            daemon.network_part = network_parts.get(name, 0)

    def set_quota(self, name: str, rate: int, burst: int) -> None:
        """Change the quota of a workspace at all daemons."""
        self.workspaces = [
            msgspec.structs.replace(item, rate_per_s=rate, burst=burst)
            if item.name == name
            else item
            for item in self.workspaces
        ]
        for daemon in self.daemons.values():
            if daemon.quotas is not None:
                daemon.quotas.set_workspaces(self.workspaces)

    def leave(self, name: str) -> None:
        """Remove the row of a host, and stop the host some time later."""
        row = self.rows.pop(name, None)
        quotas = self.daemons[name].quotas
        if quotas is not None:
            quotas.leave()
        if row is not None:
            self.loop.call_later(ROW_DELAY_S, self._distribute_rows)
            self.loop.call_later(3.0, self.kill, name)

    def join(self, name: str) -> None:
        """Start a new host, and add its row."""
        self._add_row(name)
        self.daemons[name] = SimulatedDaemon(name)
        self.start(name)
        self.loop.call_later(ROW_DELAY_S, self._distribute_rows)

    def _distribute_rows(self) -> None:
        for daemon in self.daemons.values():
            if daemon.quotas is not None and not daemon.network_part:
                daemon.quotas.set_members(dict(self.rows))

    async def deliver(self, sender, host, token_request):
        """Deliver a request and its answer, as links and hosts allow."""
        own, other = self.daemons[sender], self.daemons[host]
        quotas = own.quotas
        try:
            async with asyncio.timeout(_quota_client.REQUEST_TIMEOUT_S):
                answer = await asyncio.shield(
                    self._transmit(own, other, token_request)
                )
        except TimeoutError:
            answer = None
        await own.wait_resumed()
        return answer if own.quotas is quotas else None

    async def _transmit(self, own, other, token_request):
        """Deliver a request, even if its sender has timed out meanwhile."""
        await own.wait_resumed()
        if own is other:
            grant = own.quotas.allocator.answer(
                token_request, self.loop.time()
            )
            self.check_leases()
            return grant
        self.messages += 1
        self.sent_bytes += len(msgspec.msgpack.encode(token_request))
        await asyncio.sleep(self.rng.uniform(*LATENCY_S))
        if own.network_part != other.network_part:
            # The request is read when the link is back, if at all.
            await asyncio.sleep(self.rng.uniform(0, 2))
            if own.network_part != other.network_part:
                await asyncio.sleep(_quota_client.REQUEST_TIMEOUT_S)
                return None
        await other.wait_resumed()
        if other.quotas is None:
            return None
        grant = other.quotas.allocator.answer(token_request, self.loop.time())
        self.check_leases()
        self.sent_bytes += len(msgspec.msgpack.encode(grant))
        await asyncio.sleep(self.rng.uniform(*LATENCY_S))
        return grant

    def check_leases(self) -> None:
        """Check that the share of each host is leased at most once.

        Then the buckets of a partition together hold no more than its
        capacity.
        """
        now_s = self.loop.time()
        living = [i.quotas for i in self.daemons.values() if i.quotas]
        for partition in quota.list_partitions(1):
            counted = collections.Counter(
                host
                for quotas in living
                for host in quotas.allocator.list_leased_hosts(
                    partition, now_s
                )
            )
            for quotas in living:
                client = quotas._clients.get(partition)
                if client and client.standalone.is_active(now_s):
                    counted[quotas.identity.host] += 1
            twice = [host for host, times in counted.items() if times > 1]
            self.double_leases += [(now_s, partition, host) for host in twice]

    def call(self, workspace: str, host: str) -> None:
        """Send a request of a workspace to a host."""
        task = self.loop.create_task(self._call(workspace, host))
        self._callers.add(task)
        task.add_done_callback(self._callers.discard)

    async def _call(self, workspace, host) -> None:
        daemon = self.daemons[host]
        await daemon.wait_resumed()
        quotas = daemon.quotas
        if quotas is None:
            return
        if not quotas.has_quota(workspace):
            return
        permit = quotas.take(workspace)
        if permit is None:
            permit = await quotas.wait(workspace, self.loop.time() + 1)
        now_s = self.loop.time()
        table = self.refused if permit is None else self.granted
        table[workspace].append(now_s)

    async def send_load(
        self, demand: dict[str, float], length_s: float, hosts=None
    ) -> None:
        """Send requests at the given rates, at random times, for a while."""
        hosts = hosts or list(self.daemons)
        end_s = self.loop.time() + length_s
        names = list(demand)
        total = sum(demand.values())
        weights = [demand[name] for name in names]
        while True:
            pause_s = self.rng.expovariate(total) if total else length_s
            if self.loop.time() + pause_s > end_s:
                await asyncio.sleep(end_s - self.loop.time())
                return
            await asyncio.sleep(pause_s)
            (name,) = self.rng.choices(names, weights)
            self.call(name, self.rng.choice(hosts))

    def find_peak_share(self, name: str, since_s: float = 0.0) -> float:
        """Return the most tokens granted in a window, as part of the bound."""
        (workspace,) = (i for i in self.workspaces if i.name == name)
        usual = workspace.rate_per_s * self.bounds.window_s + workspace.burst
        bound = usual * (1 + self.bounds.excess) + self.bounds.slack
        times = [time_s for time_s in self.granted[name] if time_s >= since_s]
        peak = first = 0
        for last, time_s in enumerate(times):
            while times[first] < time_s - self.bounds.window_s:
                first += 1
            peak = max(peak, last - first + 1)
        return peak / bound

    def find_refused_share(self, name: str, since_s: float = 0.0) -> float:
        """Return the share of refused requests of a workspace."""
        refused = sum(time_s >= since_s for time_s in self.refused[name])
        granted = sum(time_s >= since_s for time_s in self.granted[name])
        return refused / max(1, refused + granted)

    def close(self) -> None:
        """Stop all daemons."""
        for name in self.daemons:
            self.kill(name)

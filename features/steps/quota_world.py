"""Daemons that share quotas, in virtual time: links, ends, suspensions.

The daemons' own code runs; only the messages between them are made here.
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
from sedgering.mesh import _quota_shard
from sedgering.mesh import _quotas
from sedgering import observability
from sedgering import quota
from sedgering import testing

BOUNDS = quota.QuotaBounds(window_s=5.0, excess=0.1, slack=20)
#: One way between two hosts.
LATENCY_S = (0.0005, 0.002)
#: Time until all daemons know of a change of a row.
ROW_DELAY_S = 0.7


class _ModelQuotas(_quotas.WorkspaceQuotas):
    """Quotas of one daemon whose messages go through the model."""

    world = None

    async def ask(self, host, ask):
        return await self.world.carry(self.identity.host, host, ask)


class ModelDaemon:
    """One daemon: a lifetime of its quotas, and what befalls its host."""

    def __init__(self, name: str):
        self.name = name
        self.quotas: _ModelQuotas | None = None
        self.side = 0
        self.frozen_until_s = 0.0

    async def thaw(self) -> None:
        """Wait while the host is suspended."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self.frozen_until_s:
            await asyncio.sleep(self.frozen_until_s - now_s)


class QuotaWorld:
    """A fleet, its callers, and the books of what was granted."""

    def __init__(self, seed: int, hosts: int, workspaces: dict[str, tuple]):
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.bounds = BOUNDS
        self.messages = 0
        #: Parts that were counted twice.
        self.faults: list[tuple] = []
        self.sent_bytes = 0
        self.rows: dict[base.HostId, mesh.MemberRow] = {}
        self.workspaces = [
            bundles.Workspace(name, rate_per_s=rate, burst=burst)
            for name, (rate, burst) in workspaces.items()
        ]
        self.daemons: dict[str, ModelDaemon] = {}
        #: Times at which requests were granted, by workspace.
        self.granted: dict[str, list[float]] = collections.defaultdict(list)
        self.refused: dict[str, list[float]] = collections.defaultdict(list)
        self._callers: set[asyncio.Task] = set()
        for number in range(hosts):
            self._add_row(f'h{number}')
        for name in list(self.rows):
            self.daemons[name] = ModelDaemon(name)
            self.start(name)

    def _add_row(self, name: str) -> None:
        self.rows[name] = testing.make_member_row(name)

    def start(self, name: str) -> None:
        """Start a daemon, or start it again."""
        identity = mesh.MeshIdentity(name, 'hall', 'calendar')
        quotas = _ModelQuotas(
            identity,
            self.bounds,
            _fleet.FleetTable(),
            _peers.PeerTable(mesh.MeshSettings()),
            observability.RequestCounts(),
            random.Random(self.rng.random()),
            self.loop.time,
        )
        quotas.world = self
        self.daemons[name].quotas = quotas
        quotas.take_members(dict(self.rows))
        quotas.take_config(self.workspaces)

    def kill(self, name: str) -> None:
        """End a daemon without a word."""
        daemon = self.daemons[name]
        if daemon.quotas is not None:
            daemon.quotas.stop()
        daemon.quotas = None

    def freeze(self, name: str, length_s: float) -> None:
        """Suspend a host for a while."""
        end_s = self.loop.time() + length_s
        self.daemons[name].frozen_until_s = end_s

    def divide(self, sides: dict[str, int]) -> None:
        """Cut the links between hosts of different sides."""
        for name, daemon in self.daemons.items():
            daemon.side = sides.get(name, 0)

    def set_rate(self, name: str, rate: int, burst: int) -> None:
        """Put another quota in force."""
        self.workspaces = [
            msgspec.structs.replace(item, rate_per_s=rate, burst=burst)
            if item.name == name
            else item
            for item in self.workspaces
        ]
        for daemon in self.daemons.values():
            if daemon.quotas is not None:
                daemon.quotas.take_config(self.workspaces)

    def leave(self, name: str) -> None:
        """Let a host take its row back, and go some time later."""
        row = self.rows.pop(name, None)
        quotas = self.daemons[name].quotas
        if quotas is not None:
            quotas.leave()
        if row is not None:
            self.loop.call_later(ROW_DELAY_S, self._tell_rows)
            self.loop.call_later(3.0, self.kill, name)

    def join(self, name: str) -> None:
        """Let a host start, and write its row."""
        self._add_row(name)
        self.daemons[name] = ModelDaemon(name)
        self.start(name)
        self.loop.call_later(ROW_DELAY_S, self._tell_rows)

    def _tell_rows(self) -> None:
        for daemon in self.daemons.values():
            if daemon.quotas is not None and not daemon.side:
                daemon.quotas.take_members(dict(self.rows))

    async def carry(self, sender, host, ask):
        """Carry a question and its answer, as links and hosts allow."""
        own, other = self.daemons[sender], self.daemons[host]
        quotas = own.quotas
        try:
            async with asyncio.timeout(_quota_shard.ASK_S):
                answer = await asyncio.shield(self._answer(own, other, ask))
        except TimeoutError:
            answer = None
        await own.thaw()
        return answer if own.quotas is quotas else None

    async def _answer(self, own, other, ask):
        """Answer a question; one that was given up is read all the same."""
        await own.thaw()
        if own is other:
            grant = own.quotas.keeper.answer(ask, self.loop.time())
            self.check_parts()
            return grant
        self.messages += 1
        self.sent_bytes += len(msgspec.msgpack.encode(ask))
        await asyncio.sleep(self.rng.uniform(*LATENCY_S))
        if own.side != other.side:
            # What was sent is read when the link is back, if at all.
            await asyncio.sleep(self.rng.uniform(0, 2))
            if own.side != other.side:
                await asyncio.sleep(_quota_shard.ASK_S)
                return None
        await other.thaw()
        if other.quotas is None:
            return None
        grant = other.quotas.keeper.answer(ask, self.loop.time())
        self.check_parts()
        self.sent_bytes += len(msgspec.msgpack.encode(grant))
        await asyncio.sleep(self.rng.uniform(*LATENCY_S))
        return grant

    def check_parts(self) -> None:
        """Check that the part of each host is counted once at most.

        So is what buckets hold: all of them together no more than a lane's
        capacity.
        """
        now_s = self.loop.time()
        living = [i.quotas for i in self.daemons.values() if i.quotas]
        for shard in quota.list_lanes(1):
            counted = collections.Counter(
                host
                for quotas in living
                for host in quotas.keeper.list_lenders(shard, now_s)
            )
            for quotas in living:
                driver = quotas._drivers.get(shard)
                if driver and driver.reserve.is_counted(now_s):
                    counted[quotas.identity.host] += 1
            twice = [host for host, times in counted.items() if times > 1]
            self.faults += [(now_s, shard, host) for host in twice]

    def call(self, workspace: str, host: str) -> None:
        """Let a caller of a host send a request."""
        task = self.loop.create_task(self._call(workspace, host))
        self._callers.add(task)
        task.add_done_callback(self._callers.discard)

    async def _call(self, workspace, host) -> None:
        daemon = self.daemons[host]
        await daemon.thaw()
        quotas = daemon.quotas
        if quotas is None:
            return
        if not quotas.is_counted(workspace):
            return
        permit = quotas.take(workspace)
        if permit is None:
            permit = await quotas.wait(workspace, self.loop.time() + 1)
        now_s = self.loop.time()
        table = self.refused if permit is None else self.granted
        table[workspace].append(now_s)

    async def play(
        self, demand: dict[str, float], length_s: float, hosts=None
    ) -> None:
        """Let callers send at some rates, at random times, for a while."""
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

    def find_worst(self, name: str, since_s: float = 0.0) -> float:
        """Return the most that was granted, as a share of what may be."""
        (workspace,) = (i for i in self.workspaces if i.name == name)
        usual = workspace.rate_per_s * self.bounds.window_s + workspace.burst
        bound = usual * (1 + self.bounds.excess) + self.bounds.slack
        times = [time_s for time_s in self.granted[name] if time_s >= since_s]
        worst = first = 0
        for last, time_s in enumerate(times):
            while times[first] < time_s - self.bounds.window_s:
                first += 1
            worst = max(worst, last - first + 1)
        return worst / bound

    def find_refused_share(self, name: str, since_s: float = 0.0) -> float:
        """Return the share of requests that were refused."""
        refused = sum(time_s >= since_s for time_s in self.refused[name])
        granted = sum(time_s >= since_s for time_s in self.granted[name])
        return refused / max(1, refused + granted)

    def close(self) -> None:
        """End all daemons."""
        for name in self.daemons:
            self.kill(name)

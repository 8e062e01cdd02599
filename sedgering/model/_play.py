"""Simulates a load pattern on hosts that run the daemon's decisions."""

import asyncio
from collections.abc import Iterable
import itertools
import math
import random

from sedgering import access
from sedgering import base
from sedgering import bundle as bundles
from sedgering import mesh
from sedgering.model import _clock
from sedgering.model import _hosts
from sedgering.model import _loads
from sedgering.model import _results
from sedgering.model import _targets
from sedgering import transport

__all__ = ['play']

#: Upper limit of the delay before a retry, as a share of the time that the
#: caller has left; a longer Retry-After is cut to it.
MAX_RETRY_DELAY_SHARE = 1 / 3
#: Delay before a retry of a caller that ignores Retry-After.
HASTY_RETRY_DELAY_S = 0.02
#: Standard deviation of the logarithm of the processing time of nested calls.
NESTED_WORK_SPREAD = 0.5
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
#: Interval at which arrivals are drawn.
ARRIVAL_INTERVAL_S = 0.02
#: Data centre of all hosts if the load pattern defines none.
DEFAULT_DATA_CENTRE = 'hall'
#: Retry budget of the whole fleet: retries per request, and a fixed allowance
#: per window.
RETRY_RATIO = 0.2
RETRY_EXTRA = 60
RETRY_WINDOW_S = 10.0
#: Time until all daemons have received a changed row: the write to the store,
#: the longest delay at a relay, and its answer.
ROW_PROPAGATION_S = 0.7


def play(
    load: _loads.Load,
    seed: int,
    mesh_settings: mesh.MeshSettings | None = None,
) -> _results.LoadResult:
    """Simulate a load pattern once.

    Parameters
    ----------
    load : Load
        Load pattern.
    seed : int
        Random seed; the same seed gives the same result.
    mesh_settings : MeshSettings or None
        Settings of all daemons; the default settings if None.

    Returns
    -------
    LoadResult
        Results of all callers.
    """
    settings = mesh_settings or mesh.MeshSettings()
    return _clock.run_virtual(_Simulation(load, seed, settings).run())


class _Simulation:
    """State of one simulation of a load pattern."""

    def __init__(self, load, seed, mesh_settings):
        self.load: _loads.Load = load
        self.mesh_settings: mesh.MeshSettings = mesh_settings
        self.rng = random.Random(seed)
        self.seed = seed
        self.hosts: dict[base.HostId, _hosts.ModelHost] = {}
        self.request_ids = itertools.count()
        self.results = {
            kind.name: _results.KindResult() for kind in load.callers
        }
        self.work_by_request: _hosts.WorkByRequest = {}
        self.tasks: set[asyncio.Task] = set()
        #: Current factor of the arrival rate of each kind of callers.
        self.rate_factors = {kind.name: 1.0 for kind in load.callers}

    async def run(self) -> _results.LoadResult:
        """Run the simulation until the last caller has finished."""
        loop = asyncio.get_running_loop()
        self._make_hosts()
        for event in self.load.events:
            begin, end = self._apply_event, self._apply_event
            if event.kind is _loads.EventKind.END:
                begin, end = self._crash_targets, self._restart_targets
            loop.call_at(event.at_s, begin, event, event.factor)
            loop.call_at(event.at_s + event.for_s, end, event, 1)
        while loop.time() < self.load.length_s:
            await asyncio.sleep(ARRIVAL_INTERVAL_S)
            self._add_arrivals()
        await asyncio.gather(*self.tasks)
        crashes = sum(host.target.crash_count for host in self.hosts.values())
        call_stats = _results.CallStats()
        for host in self.hosts.values():
            call_stats.add(host.state.sender.call_stats)
        return _results.LoadResult(
            self.load, self.results, crashes, call_stats
        )

    # Hosts and targets.

    def _make_hosts(self) -> None:
        config = mesh.AcceptedConfig(
            base.Version(1), self._make_bundle(), transport.CallerLimits(), {}
        )
        for group in self.load.targets:
            for number, speed in enumerate(group.speeds):
                self._make_host(group, number, speed)
        for host in self.hosts.values():
            host.join_fleet(self.hosts, self.load)
            host.state.config.apply(config)
            host.state.budget.daemons = len(self.hosts)

    def _make_host(self, group, number: int, speed: float) -> None:
        name = base.HostId(f'{group.target_set}-{number}')
        data_centres = self.load.data_centres or [
            _loads.DataCentre(DEFAULT_DATA_CENTRE)
        ]
        row = mesh.MemberRow(
            name,
            base.DataCentre(data_centres[number % len(data_centres)].name),
            _hosts.ADDRESS,
            len(self.hosts) + 1,
            base.TargetSetName(group.target_set),
            base.TargetName(name),
            group.slots,
            mesh.TargetState.READY,
        )
        seed = self.rng.random()
        target = _targets.ModelTarget(group, speed, random.Random(seed))
        share = self.mesh_settings.retry_share_percent / 100
        budget = mesh.RetryWindow(
            RETRY_RATIO * share, RETRY_EXTRA * share, RETRY_WINDOW_S
        )
        host = _hosts.ModelHost(
            row, target, self.mesh_settings, budget, self.work_by_request, seed
        )
        self.hosts[name] = host
        if group.noise is not None:
            self._redraw_noise(host)

        async def call_nested(nested, work_ms, deadline_s):
            return await self._call_nested(host, nested, work_ms, deadline_s)

        target.call_nested = call_nested
        target.schedule_restart = lambda: self._schedule_restart(host)
        host.target_client.watch.on_crash = lambda record: (
            self._announce_crash(host, record)
        )

    def _redraw_noise(self, host: _hosts.ModelHost) -> None:
        target = host.target
        target.draw_noise()
        interval_s = target.group.noise.every_ms / 1000
        loop = asyncio.get_running_loop()
        loop.call_later(interval_s, self._redraw_noise, host)

    def _schedule_restart(self, host: _hosts.ModelHost) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.load.back_after_s, self._restart_target, host)

    def _restart_target(self, host: _hosts.ModelHost) -> None:
        if not host.target.is_up:
            host.restart_target()
            self._schedule_row_update()

    def _announce_crash(self, host, record: mesh.CrashRecord) -> None:
        """Announce a crash to all daemons.

        The daemons of the same target set receive the record after one hop.
        All daemons receive it with the next update of the membership rows.
        """
        host.mark_target_down()
        self._schedule_row_update()
        loop = asyncio.get_running_loop()
        for other in self.hosts.values():
            if other.row.target_set == host.row.target_set:
                add = other.state.crashes.add_record
                loop.call_later(self.load.hop_ms / 1000, add, record)

    def _schedule_row_update(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(ROW_PROPAGATION_S, self._update_rows)

    def _update_rows(self) -> None:
        rows = {name: host.row for name, host in self.hosts.items()}
        for host in self.hosts.values():
            host.update_rows(rows)

    def _make_bundle(self) -> bundles.Bundle:
        policies = []
        routes = []
        nested = {
            kind.nested.target_set: kind.nested
            for kind in self.load.callers
            if kind.nested is not None
        }
        for kind in self.load.callers:
            routes.append(
                _make_route(kind.name, kind.target_set, kind.is_repeatable)
            )
            policies.append(
                bundles.Policy(
                    base.PolicyName(kind.name),
                    timeout_ms=kind.timeout_ms,
                    attempts=2,
                    latency_goal_ms=kind.goal_ms,
                    priority=kind.priority,
                )
            )
        for name, item in nested.items():
            routes.append(_make_route(_make_nested_name(name), name, True))
            policies.append(
                bundles.Policy(
                    base.PolicyName(_make_nested_name(name)),
                    timeout_ms=item.deadline_ms,
                    attempts=2,
                    latency_goal_ms=item.deadline_ms // 3,
                    priority=1,
                )
            )
        target_sets = [
            bundles.TargetSet(
                base.TargetSetName(group.target_set),
                base.PartyId('model'),
                connections=110,
            )
            for group in self.load.targets
        ]
        return bundles.make_bundle(
            _hosts.MESH_NAME,
            tuple(policies),
            tuple(target_sets),
            tuple(routes),
            _make_workspaces(self.load.callers),
        )

    # Events.

    def _apply_event(self, event: _loads.Event, factor: float) -> None:
        """Apply the factor of an event; the factor 1 reverts the event."""
        if event.kind is _loads.EventKind.BURST:
            for name in self.rate_factors:
                if event.callers in ('', name):
                    self.rate_factors[name] = factor
            return
        for target in [
            host.target for host in self._list_affected_hosts(event)
        ]:
            if event.kind is _loads.EventKind.SLOW:
                target.slowness = factor
            else:
                target.shed_share = 0.0 if factor == 1 else factor

    def _list_affected_hosts(
        self, event: _loads.Event
    ) -> list[_hosts.ModelHost]:
        hosts = [
            host
            for host in self.hosts.values()
            if host.row.target_set == event.target_set
        ]
        return hosts[event.skipped : event.skipped + event.targets]

    def _crash_targets(self, event: _loads.Event, _factor: float) -> None:
        for host in self._list_affected_hosts(event):
            host.target.crash()

    def _restart_targets(self, event: _loads.Event, _factor: float) -> None:
        for host in self._list_affected_hosts(event):
            self._restart_target(host)

    # Callers.

    def _add_arrivals(self) -> None:
        for data_centre in self.load.data_centres:
            hosts = [
                host
                for host in self.hosts.values()
                if host.row.data_centre == data_centre.name
            ]
            self._add_arrivals_at(hosts, self._compute_demand(data_centre))
        if not self.load.data_centres:
            self._add_arrivals_at(list(self.hosts.values()), 1.0)

    def _compute_demand(self, data_centre: _loads.DataCentre) -> float:
        """Return the demand of a data centre, as a share of the total mean.

        The total mean is the demand of all data centres without the wave.
        """
        total = sum(other.demand for other in self.load.data_centres)
        share = data_centre.demand / total
        wave = self.load.wave
        if wave is None:
            return share
        now_s = asyncio.get_running_loop().time()
        periods = now_s / wave.period_s + data_centre.phase
        return share * (1 + wave.swing * math.sin(2 * math.pi * periods))

    def _add_arrivals_at(self, hosts, share: float) -> None:
        loop = asyncio.get_running_loop()
        for kind in self.load.callers:
            if loop.time() < kind.from_s:
                continue
            mean = (
                kind.rate_per_s
                * self.rate_factors[kind.name]
                * ARRIVAL_INTERVAL_S
                * share
            )
            for _ in range(_draw_poisson(self.rng, mean)):
                host = self.rng.choice(hosts)
                delay_s = self.rng.random() * ARRIVAL_INTERVAL_S
                work = _draw_work(self.rng, kind)
                task = loop.create_task(
                    self._run_caller(kind, host, work, delay_s)
                )
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def _run_caller(self, kind, host, work, delay_s: float) -> None:
        """Simulate one caller, from its first attempt to its last."""
        await asyncio.sleep(delay_s)
        loop = asyncio.get_running_loop()
        result = self.results[kind.name]
        result.asked += 1
        arrived_s = loop.time()
        deadline_s = arrived_s + kind.deadline_ms / 1000
        path = f'/{kind.name}/'
        if not kind.is_same:
            path += f'{next(self.request_ids)}'
        is_hasty = work.is_hasty
        for attempt in range(kind.retries + 1):
            status, retry_delay_s = await self._send_attempt(
                kind, host, path, work, deadline_s
            )
            if is_hasty:
                retry_delay_s = HASTY_RETRY_DELAY_S
            now_s = loop.time()
            if status == STATUS_OK:
                if (now_s - arrived_s) * 1000 <= kind.goal_ms:
                    result.in_goal += 1
                else:
                    result.late += 1
                return
            may_retry = status == STATUS_UNAVAILABLE or kind.is_repeatable
            retry_delay_s = min(
                retry_delay_s, (deadline_s - now_s) * MAX_RETRY_DELAY_SHARE
            )
            if attempt == kind.retries or not may_retry or now_s >= deadline_s:
                break
            await asyncio.sleep(max(0.0, retry_delay_s))
        result.failed_after_retry += attempt > 0
        if status == STATUS_UNAVAILABLE:
            result.refused += 1
        else:
            result.failed += 1

    async def _send_attempt(
        self, kind, host, path, work, deadline_s
    ) -> tuple[int, float]:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        remaining_ms = max(1, int((deadline_s - started_s) * 1000))
        response = await self._send_request(
            host, path, work, remaining_ms, kind.workspace
        )
        if response.status == STATUS_UNAVAILABLE:
            result = self.results[kind.name]
            result.refusals += 1
            result.record_refusal_delay(kind, (loop.time() - started_s) * 1000)
        retry_after_s = dict(response.headers).get('Retry-After', '0')
        return response.status, float(retry_after_s)

    async def _send_request(
        self, host, path, work, remaining_ms, workspace=base.NO_WORKSPACE
    ) -> transport.Response:
        request_id = f'{next(self.request_ids)}'
        self.work_by_request[request_id] = work
        try:
            return await host.send_request(
                path, request_id, remaining_ms, workspace
            )
        finally:
            del self.work_by_request[request_id]

    async def _call_nested(self, host, nested, work_ms, deadline_s) -> bool:
        loop = asyncio.get_running_loop()
        remaining_ms = int((deadline_s - loop.time()) * 1000)
        request_deadline_ms = min(nested.deadline_ms, remaining_ms)
        if request_deadline_ms <= 0:
            return False
        work = _targets.Work(work_ms, answer_bytes=nested.answer_bytes)
        path = (
            f'/{_make_nested_name(nested.target_set)}/{next(self.request_ids)}'
        )
        response = await self._send_request(
            host, path, work, request_deadline_ms
        )
        return response.status == STATUS_OK


def _make_workspaces(
    callers: Iterable[_loads.CallerKind],
) -> tuple[bundles.Workspace, ...]:
    """Make the workspaces of all callers; the API key of each is its name."""
    priorities = {
        kind.workspace: kind.workspace_priority
        for kind in callers
        if kind.workspace
    }
    return tuple(
        bundles.Workspace(
            base.WorkspaceName(name),
            (access.compute_key_digest(name),),
            priority,
        )
        for name, priority in priorities.items()
    )


def _make_nested_name(target_set: str) -> str:
    return f'nested-{target_set}'


def _make_route(
    name: str, target_set: str, is_repeatable: bool
) -> bundles.Route:
    return bundles.Route(
        name=base.RouteName(name),
        party=base.PartyId('model'),
        host=_hosts.MESH_NAME,
        path_prefix=f'/{name}/',
        targets=(
            bundles.WeightedTargetSet(base.TargetSetName(target_set), 1),
        ),
        policy=base.PolicyName(name),
        repeatable=is_repeatable,
    )


def _draw_work(rng: random.Random, kind: _loads.CallerKind) -> _targets.Work:
    """Draw all work of a caller in advance.

    The demand then depends on the seed only, not on the responses.
    """
    work_ms = _draw_work_ms(rng, kind.work_ms, kind.work_spread)
    is_hasty = kind.hasty_share > 0 and rng.random() < kind.hasty_share
    nested = kind.nested
    if nested is None or rng.random() >= nested.share:
        return _targets.Work(
            work_ms,
            is_fatal=kind.is_fatal,
            is_hasty=is_hasty,
            answer_bytes=kind.answer_bytes,
        )
    nested_ms = tuple(
        _draw_work_ms(rng, nested.work_ms, NESTED_WORK_SPREAD)
        for _ in range(nested.count)
    )
    return _targets.Work(
        work_ms,
        nested,
        nested_ms,
        is_hasty=is_hasty,
        answer_bytes=kind.answer_bytes,
    )


def _draw_work_ms(rng: random.Random, mean_ms: float, spread: float) -> float:
    """Draw a processing time from a lognormal distribution.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.
    mean_ms : float
        Mean of the distribution, in milliseconds.
    spread : float
        Standard deviation of the logarithm.
    """
    return rng.lognormvariate(math.log(mean_ms) - spread**2 / 2, spread)


def _draw_poisson(rng: random.Random, mean: float) -> int:
    """Draw from a Poisson distribution.

    Uses Knuth's algorithm, which suits small means only, as its running time
    grows with the mean.
    """
    limit = math.exp(-mean)
    count = 0
    product = rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count

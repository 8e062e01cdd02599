"""Plays a load pattern against hosts that run the daemon's decisions."""

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

#: Share of a caller's time left for which it waits at most when it is told
#: when to come back.
LONGEST_WAIT_SHARE = 1 / 3
#: After which a caller is back that honours nothing it is told.
HASTY_PAUSE_S = 0.02
NESTED_SPREAD = 0.5
SUCCESS = 200
REFUSED = 503
TICK_S = 0.02
#: Data centre of hosts where a load names none.
ONLY_PLACE = 'hall'
#: Retries that the whole fleet may add: a share of the requests, and some.
RETRY_RATIO = 0.2
RETRY_EXTRA = 60
RETRY_WINDOW_S = 10.0
#: Time until all daemons know of a change of a row: the store, the longest
#: pause of a relay, and its answer.
ROW_DELAY_S = 0.7


def play(
    load: _loads.Load,
    seed: int,
    mesh_settings: mesh.MeshSettings | None = None,
) -> _results.LoadResult:
    """Play a load pattern once.

    Parameters
    ----------
    load : Load
        Pattern.
    seed : int
        The same seed gives the same result.
    mesh_settings : MeshSettings or None
        Of all daemons; the defaults where it is left out.
    """
    settings = mesh_settings or mesh.MeshSettings()
    return _clock.run_virtual(_Player(load, seed, settings).run())


class _Player:
    """One play of a load."""

    def __init__(self, load, seed, mesh_settings):
        self.load: _loads.Load = load
        self.mesh_settings: mesh.MeshSettings = mesh_settings
        self.rng = random.Random(seed)
        self.seed = seed
        self.hosts: dict[base.HostId, _hosts.ModelHost] = {}
        self.ids = itertools.count()
        self.results = {
            kind.name: _results.KindResult() for kind in load.callers
        }
        self.work_book: _hosts.WorkBook = {}
        self.tasks: set[asyncio.Task] = set()
        #: Of the rates of each kind.
        self.factors = {kind.name: 1.0 for kind in load.callers}

    async def run(self) -> _results.LoadResult:
        """Play, and wait for the last caller."""
        loop = asyncio.get_running_loop()
        self._make_hosts()
        for event in self.load.events:
            begin, end = self._start_event, self._start_event
            if event.kind is _loads.EventKind.END:
                begin, end = self._end_targets, self._bring_all_back
            loop.call_at(event.at_s, begin, event, event.factor)
            loop.call_at(event.at_s + event.for_s, end, event, 1)
        while loop.time() < self.load.length_s:
            await asyncio.sleep(TICK_S)
            self._let_arrive()
        await asyncio.gather(*self.tasks)
        ends = sum(host.target.ends for host in self.hosts.values())
        sent = _results.SentCalls()
        for host in self.hosts.values():
            sent.add(host.state.sender.sent)
        return _results.LoadResult(self.load, self.results, ends, sent)

    # Hosts and targets.

    def _make_hosts(self) -> None:
        config = mesh.AcceptedConfig(
            base.Version(1), self._make_bundle(), transport.CallerLimits(), {}
        )
        for group in self.load.targets:
            for number, speed in enumerate(group.speeds):
                self._make_host(group, number, speed)
        for host in self.hosts.values():
            host.join(self.hosts, self.load)
            host.state.config.apply(config)
            host.state.budget.daemons = len(self.hosts)

    def _make_host(self, group, number: int, speed: float) -> None:
        name = base.HostId(f'{group.target_set}-{number}')
        places = self.load.data_centres or [_loads.DataCentre(ONLY_PLACE)]
        row = mesh.MemberRow(
            name,
            base.DataCentre(places[number % len(places)].name),
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
            row, target, self.mesh_settings, budget, self.work_book, seed
        )
        self.hosts[name] = host
        if group.noise is not None:
            self._change_noise(host)

        async def call(nested, work_ms, deadline_s):
            return await self._call_nested(host, nested, work_ms, deadline_s)

        target.call = call
        target.on_end = lambda: self._plan_return(host)
        host.target_client.watch.on_crash = lambda record: self._tell_end(
            host, record
        )

    def _change_noise(self, host: _hosts.ModelHost) -> None:
        target = host.target
        target.change_noise()
        every_s = target.group.noise.every_ms / 1000
        loop = asyncio.get_running_loop()
        loop.call_later(every_s, self._change_noise, host)

    def _plan_return(self, host: _hosts.ModelHost) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.load.back_after_s, self._bring_back, host)

    def _bring_back(self, host: _hosts.ModelHost) -> None:
        if not host.target.is_up:
            host.renew()
            self._publish()

    def _tell_end(self, host, record: mesh.CrashRecord) -> None:
        """Tell the daemons beside the set at once, and all by the row."""
        host.note_down()
        self._publish()
        loop = asyncio.get_running_loop()
        for other in self.hosts.values():
            if other.row.target_set == host.row.target_set:
                add = other.state.crashes.add_record
                loop.call_later(self.load.hop_ms / 1000, add, record)

    def _publish(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(ROW_DELAY_S, self._show_rows)

    def _show_rows(self) -> None:
        rows = {name: host.row for name, host in self.hosts.items()}
        for host in self.hosts.values():
            host.take_rows(rows)

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
            routes.append(_make_route(_nested_name(name), name, True))
            policies.append(
                bundles.Policy(
                    base.PolicyName(_nested_name(name)),
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

    # What happens.

    def _start_event(self, event: _loads.Event, factor: float) -> None:
        if event.kind is _loads.EventKind.BURST:
            for name in self.factors:
                if event.callers in ('', name):
                    self.factors[name] = factor
            return
        for target in [host.target for host in self._list_hit(event)]:
            if event.kind is _loads.EventKind.SLOW:
                target.slowness = factor
            else:
                target.shed_share = 0.0 if factor == 1 else factor

    def _list_hit(self, event: _loads.Event) -> list[_hosts.ModelHost]:
        found = [
            host
            for host in self.hosts.values()
            if host.row.target_set == event.target_set
        ]
        return found[event.skipped : event.skipped + event.targets]

    def _end_targets(self, event: _loads.Event, _factor: float) -> None:
        for host in self._list_hit(event):
            host.target.end()

    def _bring_all_back(self, event: _loads.Event, _factor: float) -> None:
        for host in self._list_hit(event):
            self._bring_back(host)

    # Callers.

    def _let_arrive(self) -> None:
        for place in self.load.data_centres:
            hosts = [
                host
                for host in self.hosts.values()
                if host.row.data_centre == place.name
            ]
            self._let_arrive_at(hosts, self._find_demand(place))
        if not self.load.data_centres:
            self._let_arrive_at(list(self.hosts.values()), 1.0)

    def _find_demand(self, place: _loads.DataCentre) -> float:
        """Return the share of all demand that a data centre has now."""
        total = sum(other.demand for other in self.load.data_centres)
        share = place.demand / total
        wave = self.load.wave
        if wave is None:
            return share
        now_s = asyncio.get_running_loop().time()
        turns = now_s / wave.period_s + place.phase
        return share * (1 + wave.swing * math.sin(2 * math.pi * turns))

    def _let_arrive_at(self, hosts, share: float) -> None:
        loop = asyncio.get_running_loop()
        for kind in self.load.callers:
            if loop.time() < kind.from_s:
                continue
            mean = kind.rate_per_s * self.factors[kind.name] * TICK_S * share
            for _ in range(_draw_poisson(self.rng, mean)):
                host = self.rng.choice(hosts)
                delay_s = self.rng.random() * TICK_S
                work = _draw_work(self.rng, kind)
                task = loop.create_task(self._call(kind, host, work, delay_s))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def _call(self, kind, host, work, delay_s: float) -> None:
        """Be one caller, from the first try to the last."""
        await asyncio.sleep(delay_s)
        loop = asyncio.get_running_loop()
        found = self.results[kind.name]
        found.asked += 1
        first_s = loop.time()
        end_s = first_s + kind.deadline_ms / 1000
        path = f'/{kind.name}/'
        if not kind.is_same:
            path += f'{next(self.ids)}'
        is_hasty = work.is_hasty
        for number in range(kind.retries + 1):
            status, pause_s = await self._try(kind, host, path, work, end_s)
            if is_hasty:
                pause_s = HASTY_PAUSE_S
            now_s = loop.time()
            if status == SUCCESS:
                if (now_s - first_s) * 1000 <= kind.goal_ms:
                    found.in_goal += 1
                else:
                    found.late += 1
                return
            may_retry = status == REFUSED or kind.is_repeatable
            pause_s = min(pause_s, (end_s - now_s) * LONGEST_WAIT_SHARE)
            if number == kind.retries or not may_retry or now_s >= end_s:
                break
            await asyncio.sleep(max(0.0, pause_s))
        found.refused_again += number > 0
        if status == REFUSED:
            found.refused += 1
        else:
            found.failed += 1

    async def _try(self, kind, host, path, work, end_s) -> tuple[int, float]:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        left_ms = max(1, int((end_s - started_s) * 1000))
        response = await self._ask(host, path, work, left_ms, kind.workspace)
        if response.status == REFUSED:
            found = self.results[kind.name]
            found.refusals += 1
            found.note_hold(kind, (loop.time() - started_s) * 1000)
        told = dict(response.headers).get('Retry-After', '0')
        return response.status, float(told)

    async def _ask(
        self, host, path, work, left_ms, workspace=base.NO_WORKSPACE
    ) -> transport.Response:
        request_id = f'{next(self.ids)}'
        self.work_book[request_id] = work
        try:
            return await host.ask(path, request_id, left_ms, workspace)
        finally:
            del self.work_book[request_id]

    async def _call_nested(self, host, nested, work_ms, deadline_s) -> bool:
        loop = asyncio.get_running_loop()
        left_ms = int((deadline_s - loop.time()) * 1000)
        stated_ms = min(nested.deadline_ms, left_ms)
        if stated_ms <= 0:
            return False
        work = _targets.Work(work_ms, answer_bytes=nested.answer_bytes)
        path = f'/{_nested_name(nested.target_set)}/{next(self.ids)}'
        response = await self._ask(host, path, work, stated_ms)
        return response.status == SUCCESS


def _make_workspaces(
    callers: Iterable[_loads.CallerKind],
) -> tuple[bundles.Workspace, ...]:
    """Make the workspaces that callers name; their names are their keys."""
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


def _nested_name(target_set: str) -> str:
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
    """Draw all work of one caller, so that a seed fixes what is asked."""
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
        _draw_work_ms(rng, nested.work_ms, NESTED_SPREAD)
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
    """Draw from a lognormal distribution of the given mean."""
    return rng.lognormvariate(math.log(mean_ms) - spread**2 / 2, spread)


def _draw_poisson(rng: random.Random, mean: float) -> int:
    """Draw a number of arrivals (Knuth's method; small means only)."""
    limit = math.exp(-mean)
    count = 0
    product = rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count

"""Steps over quotas of workspaces."""

import asyncio
import json
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
import quota_world

from sedgering import bundle as bundles
from sedgering import mesh
from sedgering.mesh import _fleet
from sedgering.mesh import _peers
from sedgering.mesh import _quota_hop
from sedgering.mesh import _quotas
from sedgering import model
from sedgering import observability
from sedgering import quota
from sedgering import testing
from sedgering import transport

#: Quotas are used by so much.
USED = 0.6
#: Time in which a fleet that has just started lends its parts.
START_S = 4.0
SKEW = 1.2
TOTAL_PER_S = 300
HOSTS = 5
#: Times the quota that callers ask for in the property.
PRESSURE = 3
#: Hosts that come in one run of the property.
MOST_JOINED = 3


class QuotaMachine(stateful.RuleBasedStateMachine):
    """Whatever happens, no window holds more than the bound."""

    quotas = {'small': (5, 5), 'large': (60, 60), 'flat': (20, 0)}
    names = st.sampled_from([f'h{number}' for number in range(HOSTS)])
    lengths = st.sampled_from([0.1, 0.4, 0.9, 1.4, 2.5])

    def __init__(self):
        super().__init__()
        self.runner = model.make_virtual_runner()
        self.world = self.runner.run(self._make())
        self.since_s = dict.fromkeys(self.quotas, 0.0)
        self.joined = 0

    async def _make(self):
        return quota_world.QuotaWorld(1, HOSTS, self.quotas)

    def _run(self, function, *arguments):
        async def call():
            function(*arguments)

        self.runner.run(call())

    @stateful.rule(length_s=lengths, hosts=st.integers(1, HOSTS))
    def ask(self, length_s, hosts):
        demand = {
            item.name: PRESSURE * item.rate_per_s + 10
            for item in self.world.workspaces
        }
        names = list(self.world.daemons)[:hosts]
        self.runner.run(self.world.play(demand, length_s, names))

    @stateful.rule(length_s=lengths)
    def rest(self, length_s):
        self.runner.run(asyncio.sleep(length_s))

    @stateful.rule(name=names)
    def kill(self, name):
        self._run(self.world.kill, name)

    @stateful.rule(name=names)
    def restart(self, name):
        if name not in self.world.rows:
            return
        self._run(self.world.kill, name)
        self._run(self.world.start, name)

    @stateful.rule(name=names, length_s=lengths)
    def suspend(self, name, length_s):
        self._run(self.world.freeze, name, 2 * length_s)

    @stateful.rule(sides=st.lists(st.integers(0, 2), min_size=HOSTS))
    def cut(self, sides):
        names = list(self.world.daemons)
        table = dict(zip(names, sides, strict=False))
        self._run(self.world.divide, table)

    @stateful.rule()
    def mend(self):
        self._run(self.world.divide, {})

    @stateful.rule(name=names)
    def leave(self, name):
        self._run(self.world.leave, name)

    @stateful.rule()
    def join(self):
        if self.joined >= MOST_JOINED:
            return
        self.joined += 1
        self._run(self.world.join, f'new{self.joined}')

    @stateful.rule(
        name=st.sampled_from(['small', 'large', 'flat']),
        rate=st.sampled_from([1, 5, 30, 80]),
        burst=st.sampled_from([0, 10, 80]),
    )
    def change(self, name, rate, burst):
        self.keeps_bound()
        self._run(self.world.set_rate, name, rate, burst)
        self.since_s[name] = self.world.loop.time()

    @stateful.invariant()
    def keeps_bound(self):
        for name, since_s in self.since_s.items():
            worst = self.world.find_worst(name, since_s)
            assert worst <= 1, (name, worst)
        assert not self.world.faults, self.world.faults

    def teardown(self):
        self._run(self.world.close)
        self.runner.close()


@then('of {count:d} hosts the two lanes never share a keeper while most live')
def step_lanes(context, count):
    hosts = [f'h{number}' for number in range(count)]
    for shard in range(8):
        lanes = [f'{lane}/{shard}/8' for lane in range(quota.LANES)]
        alive = set(hosts)
        while len(alive) > count / 2:
            kept = [
                next(
                    host
                    for host in quota.rank_keepers(hosts, lane)
                    if host in alive
                )
                for lane in lanes
            ]
            assert len(set(kept)) == len(kept), (shard, kept)
            # The worst that may happen: the first lane loses its keeper.
            alive.remove(kept[0])


@then(
    'no window holds more than the bound, in {runs:d} runs of {steps:d} steps'
)
def step_property(context, runs, steps):
    settings = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=runs,
        stateful_step_count=steps,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(QuotaMachine, settings=settings)


class QuotaSubject:
    """A plan, or a keeper, and what it says."""

    def __init__(self, workspace=None):
        self.workspace = workspace
        self.bounds = None
        self.plan = None
        self.keeper = None
        self.now_s = 10.0


@given('a quota of {rate:d} a second with a burst of {burst:d}')
def step_quota(context, rate, burst):
    context.quota = QuotaSubject(
        bundles.Workspace('crew', rate_per_s=rate, burst=burst)
    )


@when('it is planned with an excess of {excess:g} and a slack of {slack:d}')
def step_plan(context, excess, slack):
    subject = context.quota
    subject.bounds = quota.QuotaBounds(5.0, excess, slack)
    plans = quota.make_plans([subject.workspace], subject.bounds)
    subject.plan = plans['crew']


@then('all that its plan lets run in a window is within the bound')
def step_plan_bound(context):
    subject = context.quota
    plan, bounds = subject.plan, subject.bounds
    usual = subject.workspace.rate_per_s * bounds.window_s
    usual += subject.workspace.burst
    bound = usual * (1 + bounds.excess) + bounds.slack
    runs = plan.capacity + plan.alone_capacity
    runs += plan.rate_per_s * (bounds.window_s + quota.TOKEN_S)
    assert quota.LANES * runs <= bound, (runs, bound)


@then('its buckets refill at {least:d} % of its rate at least')
def step_plan_rate(context, least):
    subject = context.quota
    rate_per_s = quota.LANES * subject.plan.rate_per_s
    assert rate_per_s * 100 >= least * subject.workspace.rate_per_s, rate_per_s


class WorldSubject:
    """A fleet in virtual time, and what its callers asked for."""

    def __init__(self, hosts, quotas):
        self.quotas = quotas
        self.runner = model.make_virtual_runner()
        self.world = self.runner.run(self._make(hosts))
        self.demand = {
            name: USED * rate for name, (rate, _burst) in quotas.items()
        }
        self.since_s = self.world.loop.time()
        self.others: list[str] = []

    async def _make(self, hosts):
        world = quota_world.QuotaWorld(1, hosts, self.quotas)
        await asyncio.sleep(START_S)
        return world

    def play(self, demand, length_s, hosts=None):
        """Let callers send for a while."""
        self.runner.run(self.world.play(demand, length_s, hosts))

    def call(self, function, *arguments):
        """Change something at a moment of the world."""

        async def run():
            function(*arguments)

        self.runner.run(run())

    def find_refused_share(self, names=None):
        """Return the share of all requests that were refused."""
        names = names or self.quotas
        refused = sum(len(self.world.refused[name]) for name in names)
        granted = sum(len(self.world.granted[name]) for name in names)
        return refused / (refused + granted)

    def close(self):
        """End the world."""
        self.call(self.world.close)
        self.runner.close()


def _start_world(context, hosts, quotas):
    context.world = WorldSubject(hosts, quotas)
    context.cleanups.append(context.world.close)


@given('{hosts:d} daemons and {count:d} workspaces of which some are large')
def step_world(context, hosts, count):
    parts = [(number + 1) ** -SKEW for number in range(count)]
    rates = [max(5, round(TOTAL_PER_S * i / sum(parts))) for i in parts]
    quotas = {f'w{i}': (rate, rate) for i, rate in enumerate(rates)}
    _start_world(context, hosts, quotas)


@given('{hosts:d} daemons and a workspace with {rate:d} requests a second')
def step_one_workspace(context, hosts, rate):
    _start_world(context, hosts, {'w0': (rate, rate)})


@when('they ask for 60 % of their quotas for {length_s:d} s')
def step_ask(context, length_s):
    context.world.play(context.world.demand, length_s)


@when('all callers go to {count:d} of the daemons, for {length_s:d} s')
def step_move(context, count, length_s):
    hosts = list(context.world.world.daemons)[:count]
    context.world.play(context.world.demand, length_s, hosts)


@when('the largest asks for {times:d} times as much for {length_s:d} s')
def step_hot(context, times, length_s):
    subject = context.world
    subject.play(subject.demand, 1)
    demand = {**subject.demand, 'w0': times * subject.demand['w0']}
    subject.since_s = subject.world.loop.time()
    subject.length_s = length_s
    subject.play(demand, length_s)


@then(
    'it got at least {percent:d} % of its quota, and not more than the bound'
)
def step_got(context, percent):
    subject = context.world
    rate, burst = subject.quotas['w0']
    times = subject.world.granted['w0']
    got = sum(time_s >= subject.since_s for time_s in times)
    assert got * 100 >= percent * rate * subject.length_s, got
    assert subject.world.find_worst('w0') <= 1


@then('less than {percent:d} % of the requests of the others were refused')
def step_others(context, percent):
    names = [name for name in context.world.quotas if name != 'w0']
    share = context.world.find_refused_share(names)
    assert share * 100 < percent, share


@then('less than {percent:d} % of the requests were refused')
def step_refused(context, percent):
    share = context.world.find_refused_share()
    assert share * 100 < percent, share


def _list_keepers(world):
    return [
        driver.link.keeper
        for driver in world.daemons['h0'].quotas._drivers.values()
    ]


@when('a keeper ends, and they go on for {length_s:d} s')
def step_keeper_ends(context, length_s):
    subject = context.world
    keeper = _list_keepers(subject.world)[0]
    subject.call(subject.world.kill, keeper)
    subject.play(subject.demand, length_s)


@when('a third of the hosts is cut off for {length_s:d} s')
def step_third(context, length_s):
    subject = context.world
    world = subject.world
    keepers = _list_keepers(world)
    others = [name for name in world.daemons if name not in keepers]
    cut = others[: len(world.daemons) // 3]
    subject.call(world.divide, {name: 1 + i for i, name in enumerate(cut)})
    subject.others = [name for name in world.daemons if name not in cut]
    demand = {name: rate * 2 / 3 for name, rate in subject.demand.items()}
    world.refused.clear()
    subject.play(demand, length_s, subject.others)


@then('no workspace has passed its bound')
def step_in_bound(context):
    subject = context.world
    found = {name: subject.world.find_worst(name) for name in subject.quotas}
    assert max(found.values()) <= 1, found


@then('less than {percent:d} % of the requests at the others were refused')
def step_refused_others(context, percent):
    share = context.world.find_refused_share()
    assert share * 100 < percent, share


@when(
    'one daemon is cut off, and its callers ask for {rate:d} a second '
    'for {length_s:d} s'
)
def step_alone(context, rate, length_s):
    subject = context.world
    world = subject.world
    name = next(n for n in world.daemons if n not in _list_keepers(world))
    subject.call(world.divide, {name: 1})
    subject.play({'w0': rate}, 4, [name])
    world.granted.clear()
    subject.length_s = length_s - 4
    subject.play({'w0': rate}, subject.length_s, [name])


@then('between {least:d} and {most:d} a second were granted there')
def step_alone_granted(context, least, most):
    subject = context.world
    got = len(subject.world.granted['w0']) / subject.length_s
    assert least <= got <= most, got


@when(
    'it asks for {rate:d} a second for {length_s:d} s, and then its quota '
    'falls to {lower:d}'
)
def step_lower(context, rate, length_s, lower):
    subject = context.world
    subject.play({'w0': rate}, length_s)
    subject.call(subject.world.set_rate, 'w0', lower, lower)
    subject.since_s = subject.world.loop.time()
    subject.play({'w0': rate}, 8)


@then('no more than the lower bound was granted in any window since')
def step_lower_bound(context):
    subject = context.world
    worst = subject.world.find_worst('w0', subject.since_s)
    assert 0.5 < worst <= 1, worst


@given('a daemon whose settings have no quota window')
def step_no_window(context):
    quotas = _quotas.make_workspace_quotas(
        mesh.MeshIdentity('h0', 'hall', 'calendar'),
        mesh.MeshSettings(),
        _fleet.FleetTable(),
        _peers.PeerTable(mesh.MeshSettings()),
        observability.RequestCounts(),
        random.Random(1),
        lambda: 1.0,
    )
    quotas.take_members({'h0': testing.make_member_row('h0')})
    quotas.take_config([bundles.Workspace('crew', rate_per_s=1)])
    context.quotas = quotas


@then('requests of a workspace need no token')
def step_no_token(context):
    assert not context.quotas.is_counted('crew')
    assert context.quotas.find_gauges() == {}


@given('a keeper with four hosts of which three have lent their part')
def step_keeper(context):
    subject = QuotaSubject()
    hosts = frozenset(f'h{number}' for number in range(4))
    subject.keeper = quota.QuotaKeeper(7)
    subject.keeper.take_hosts(hosts, hosts, subject.now_s)
    context.quota = subject
    for number in range(3):
        _lend(subject, f'h{number}', 7, 10_000)


def _lend(subject, host, life, at_ms):
    (shard, _other) = quota.list_lanes(1)
    stamp = quota.QuotaStamp(life, at_ms)
    ask = quota.QuotaAsk(host, shard, (), stamp)
    subject.keeper.answer(ask, subject.now_s)


CREW = {'crew': quota.QuotaPlan(100.0, 8.0, 1.0)}


@when('a workspace of it has rested for a second')
def step_rest(context):
    subject = context.quota
    subject.keeper.take_plans(CREW, subject.now_s)
    subject.now_s += 1


def _find_level(subject):
    (shard,) = subject.keeper.shards
    ask = quota.QuotaAsk('h9', shard, (quota.QuotaNeed('crew', 0, 0),))
    subject.keeper.answer(ask, subject.now_s)
    return subject.keeper.find_level(shard, 'crew')


@then('its bucket holds three quarters of the capacity of a lane')
def step_level(context):
    assert _find_level(context.quota) == 6.0, _find_level(context.quota)


@when('two of the three end what they lent')
def step_end_two(context):
    subject = context.quota
    (shard,) = subject.keeper.shards
    for host in ('h0', 'h1'):
        ask = quota.QuotaAsk(host, shard, is_last=True)
        subject.keeper.answer(ask, subject.now_s)


@then('its bucket holds one quarter of the capacity of a lane')
def step_level_after(context):
    assert _find_level(context.quota) == 2.0, _find_level(context.quota)


@given('a purse with two tokens that end at {end_s:g} s')
def step_purse(context, end_s):
    context.purse = quota.QuotaPurse()
    context.purse.put('crew', 2, end_s)


@when('one is taken at {taken_s:g} s, and given back at {back_s:g} s')
def step_give_back(context, taken_s, back_s):
    permit = context.purse.take('crew', taken_s)
    context.purse.give_back(permit, back_s)


@then('no token can be taken at {now_s:g} s')
def step_no_more(context, now_s):
    assert context.purse.take('crew', now_s) is None


@when('the fourth lends by a moment that is long past')
def step_late(context):
    _lend(context.quota, 'h3', 7, 5000)


@when('it lends by a moment of another lifetime')
def step_other_life(context):
    _lend(context.quota, 'h3', 8, 10_000)


@when('a host that is no member lends its part')
def step_no_member(context):
    _lend(context.quota, 'h9', 7, 10_000)


@then('three quarters of the rates are counted')
def step_three_quarters(context):
    (shard,) = context.quota.keeper.shards
    assert context.quota.keeper.find_share(shard) == 0.75


FAULTS = {
    'no message': b'\xff',
    'a lane that cannot be': msgspec.msgpack.encode(['h', '9/0/1', []]),
    'a negative count': msgspec.msgpack.encode(
        ['h', '0/0/1', [['crew', -1, 0]]]
    ),
}


@when('a daemon is asked for tokens with {fault}')
def step_damaged(context, fault):
    quotas = context.mesh.first.daemon.state.quotas
    quotas.plans = {'crew': quota.QuotaPlan(1.0, 1.0, 1.0)}
    headers = [(_quota_hop.MARK, '1')]
    context.answer = quotas.answer(
        transport.Request('POST', '/quota', headers, FAULTS[fault], True)
    )


@then('it answers with status {status:d}')
def step_status(context, status):
    assert context.answer.status == status, context.answer


class CrewMesh:
    """Daemons in one loop, and callers of a workspace."""

    def __init__(self, hosts, rate):
        settings = mesh.MeshSettings(
            quota_window_ms=5000, quota_excess_percent=10, quota_slack=20
        )
        self.fleet = testing.MeshFleet(settings)
        self.names = [f'hall-{number}' for number in range(hosts)]
        self.hosts = [self.fleet.add_host(name) for name in self.names]
        workspaces = {
            'crew': {
                'api_keys': ['k-crew'],
                'rate_per_s': rate,
                'burst': rate,
            },
            'guests': {'api_keys': ['k-guests']},
        }
        self.fleet.configure(testing.make_document(1, [{}], workspaces))
        self.fleet.wait_ready()
        self.fleet.wait_for(self.is_lent)
        self.answers = []

    def is_lent(self):
        """Whether all parts are lent, and the buckets are filled a little."""
        shares = [
            keeper.find_share(shard)
            for keeper in (h.daemon.state.quotas.keeper for h in self.hosts)
            for shard in keeper.shards
        ]
        return shares.count(1.0) >= quota.LANES

    def is_filled(self):
        """Whether the buckets of both lanes are full."""
        full = 0
        for host in self.hosts:
            quotas = host.daemon.state.quotas
            least = 0.9 * quotas.plans['crew'].capacity
            for shard in quotas.keeper.shards:
                need = quota.QuotaNeed('crew', 0, 0)
                ask = quota.QuotaAsk('nobody', shard, (need,))
                quotas.keeper.answer(ask, quotas.now_s())
                full += quotas.keeper.find_level(shard, 'crew') >= least
        return full >= quota.LANES

    def ask_all(self, workspace, count, host=0, is_together=True):
        """Send requests of a workspace."""
        port = self.hosts[host].addresses.callers_port
        self.answers = self.fleet.run(
            self._ask_all(port, workspace, count, is_together)
        )

    async def _ask_all(self, port, workspace, count, is_together):
        calls = [
            self.fleet.start_call(
                port,
                '/r0/',
                X_Request_Id=f'q{number}',
                Authorization=f'Token k-{workspace}',
            )
            for number in range(count)
        ]
        if is_together:
            return await asyncio.gather(*calls)
        return [await call for call in calls]

    def list_refused(self):
        """Return the answers by which a quota refused."""
        return [item for item in self.answers if item.status == 429]


def _make_crew(context, hosts, rate):
    context.crew = CrewMesh(hosts, rate)
    context.cleanups.append(context.crew.fleet.stop)


@given('a mesh of two hosts with a quota of {rate:d} a second for "crew"')
def step_crew(context, rate):
    _make_crew(context, 2, rate)


@given('a mesh of four hosts with a quota of {rate:d} a second for "crew"')
def step_crew_four(context, rate):
    _make_crew(context, 4, rate)


@given('the buckets of both lanes are full')
def step_filled(context):
    context.crew.fleet.wait_for(context.crew.is_filled)


@when('callers of "{name}" send {count:d} requests at once')
def step_send(context, name, count):
    context.crew.ask_all(name, count)


@when('callers of "{name}" send {count:d} requests, one after the other')
def step_send_in_turn(context, name, count):
    context.crew.ask_all(name, count, is_together=False)


@then(
    'between {least:d} and {most:d} were answered, and the others refused '
    'with 429'
)
def step_some(context, least, most):
    answers = context.crew.answers
    good = sum(item.status == 200 for item in answers)
    assert least <= good <= most, good
    assert good + len(context.crew.list_refused()) == len(answers)


@then('each refusal tells code {code:d} and when to come back')
def step_refusal(context, code):
    for item in context.crew.list_refused():
        assert json.loads(item.body)['code'] == code, item.body
        assert 0 < float(item.find('retry-after')) <= 2, item.headers


@then('the target ran no request that was refused')
def step_not_run(context):
    crew = context.crew
    runs = sum(len(host.books.runs) for host in crew.hosts)
    assert runs == len(crew.answers) - len(crew.list_refused()), runs


@then('all {count:d} were answered')
def step_all(context, count):
    statuses = [item.status for item in context.crew.answers]
    assert statuses == [200] * count, statuses


@given('no target that takes requests')
def step_no_target(context):
    crew = context.crew
    for host in crew.hosts:
        crew.fleet.report(host, 'draining')
    crew.fleet.wait_for(
        lambda: all(
            row.state is mesh.TargetState.DRAINING
            for host in crew.hosts
            for row in host.daemon.state.fleet.members.values()
        )
    )


@then('none was refused for its quota')
def step_none_refused(context):
    statuses = {item.status for item in context.crew.answers}
    assert statuses == {503}, statuses


@given('the targets fail every second request')
def step_fail_second(context):
    for host in context.crew.hosts[:1]:
        host.books.habit = testing.TargetHabit.FAILING


@then(
    '{count:d} tokens were taken, and targets saw more than {runs:d} requests'
)
def step_tokens(context, count, runs):
    crew = context.crew
    counts = crew.hosts[0].daemon.state.decisions.counts.counts
    assert counts[('quota_granted', 'crew')] == count, counts
    seen = sum(len(host.books.runs) for host in crew.hosts)
    assert seen > runs, (seen, counts)


@when(
    'a keeper is killed, and callers of another host send {count:d} requests'
)
def step_kill_keeper(context, count):
    crew = context.crew
    drivers = crew.hosts[0].daemon.state.quotas._drivers
    keeper = next(iter(drivers.values())).link.keeper
    crew.fleet.kill(crew.fleet.hosts[keeper])
    other = next(i for i, name in enumerate(crew.names) if name != keeper)
    crew.ask_all('crew', count, other, is_together=False)


@then('none was refused with 429')
def step_no_quota_refusal(context):
    assert not context.crew.list_refused(), context.crew.answers


@then('at least {count:d} of them were answered')
def step_at_least(context, count):
    statuses = [item.status for item in context.crew.answers]
    assert statuses.count(200) >= count, statuses

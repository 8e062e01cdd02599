"""Steps that test the quotas of workspaces."""

import asyncio
import itertools
import json
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
import quota_simulation

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

#: Part of its quota that each workspace asks for.
USED_SHARE = 0.6
#: Time in which the daemons of a new fleet start their leases.
START_S = 4.0
#: Exponent of the power law of the workspaces' quotas, and their sum.
SKEW = 1.2
TOTAL_PER_S = 300
#: Hosts in the property test.
HOSTS = 5
#: Demand of callers in the property test, relative to the quota.
OVERDEMAND = 3
#: Most hosts that join in one run of the property test.
JOINS_LIMIT = 3


class QuotaMachine(stateful.RuleBasedStateMachine):
    """No sequence of faults lets a window exceed the bound.

    Hypothesis sorts the rules by name, so another name may change which
    sequences are drawn.
    """

    quotas = {'small': (5, 5), 'large': (60, 60), 'flat': (20, 0)}
    names = st.sampled_from([f'h{number}' for number in range(HOSTS)])
    lengths = st.sampled_from([0.1, 0.4, 0.9, 1.4, 2.5])

    def __init__(self):
        super().__init__()
        self.runner = model.make_virtual_runner()
        self.fleet = self.runner.run(self._make())
        self.since_s = dict.fromkeys(self.quotas, 0.0)
        self.joined = 0

    async def _make(self):
        return quota_simulation.SimulatedFleet(1, HOSTS, self.quotas)

    def _run(self, function, *arguments):
        async def call():
            function(*arguments)

        self.runner.run(call())

    @stateful.rule(length_s=lengths, hosts=st.integers(1, HOSTS))
    def ask(self, length_s, hosts):
        demand = {
            item.name: OVERDEMAND * item.rate_per_s + 10
            for item in self.fleet.workspaces
        }
        names = list(self.fleet.daemons)[:hosts]
        self.runner.run(self.fleet.send_load(demand, length_s, names))

    @stateful.rule(length_s=lengths)
    def rest(self, length_s):
        self.runner.run(asyncio.sleep(length_s))

    @stateful.rule(name=names)
    def kill(self, name):
        self._run(self.fleet.kill, name)

    @stateful.rule(name=names)
    def restart(self, name):
        if name not in self.fleet.rows:
            return
        self._run(self.fleet.kill, name)
        self._run(self.fleet.start, name)

    @stateful.rule(name=names, length_s=lengths)
    def suspend(self, name, length_s):
        self._run(self.fleet.suspend, name, 2 * length_s)

    @stateful.rule(network_parts=st.lists(st.integers(0, 2), min_size=HOSTS))
    def disconnect(self, network_parts):
        names = list(self.fleet.daemons)
        table = dict(zip(names, network_parts, strict=False))
        self._run(self.fleet.partition_network, table)

    @stateful.rule()
    def reconnect(self):
        self._run(self.fleet.partition_network, {})

    @stateful.rule(name=names)
    def leave(self, name):
        self._run(self.fleet.leave, name)

    @stateful.rule()
    def join(self):
        if self.joined >= JOINS_LIMIT:
            return
        self.joined += 1
        self._run(self.fleet.join, f'new{self.joined}')

    @stateful.rule(
        name=st.sampled_from(['small', 'large', 'flat']),
        rate=st.sampled_from([1, 5, 30, 80]),
        burst=st.sampled_from([0, 10, 80]),
    )
    def change(self, name, rate, burst):
        self.keeps_bound()
        self._run(self.fleet.set_quota, name, rate, burst)
        self.since_s[name] = self.fleet.loop.time()

    @stateful.invariant()
    def keeps_bound(self):
        for name, since_s in self.since_s.items():
            peak = self.fleet.find_peak_share(name, since_s)
            assert peak <= 1, (name, peak)
        assert not self.fleet.double_leases, self.fleet.double_leases

    def teardown(self):
        self._run(self.fleet.close)
        self.runner.close()


@then('of {count:d} hosts the two partitions share none while most run')
def step_partitions(context, count):
    hosts = [f'h{number}' for number in range(count)]
    for shard in range(8):
        partitions = [
            f'{number}/{shard}/8'
            for number in range(quota.PARTITIONS_PER_SHARD)
        ]
        alive = set(hosts)
        while len(alive) > count / 2:
            allocators = [
                next(
                    host
                    for host in quota.rank_allocators(hosts, partition)
                    if host in alive
                )
                for partition in partitions
            ]
            assert len(set(allocators)) == len(allocators), (shard, allocators)
            # The worst case: the first partition loses its allocator.
            alive.remove(allocators[0])


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
    """A plan or an allocator under test, and its inputs."""

    def __init__(self, workspace=None):
        self.workspace = workspace
        self.bounds = None
        self.plan = None
        self.allocator = None
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
    allowed = subject.workspace.rate_per_s * bounds.window_s
    allowed += subject.workspace.burst
    bound = allowed * (1 + bounds.excess) + bounds.slack
    runs = plan.capacity + plan.standalone_capacity
    runs += plan.rate_per_s * (bounds.window_s + quota.TOKEN_LIFETIME_S)
    assert quota.PARTITIONS_PER_SHARD * runs <= bound, (runs, bound)


@then('its buckets refill at {least:d} % of its rate at least')
def step_plan_rate(context, least):
    subject = context.quota
    rate_per_s = quota.PARTITIONS_PER_SHARD * subject.plan.rate_per_s
    assert rate_per_s * 100 >= least * subject.workspace.rate_per_s, rate_per_s


class SimulationSubject:
    """A simulated fleet, and the demand of its callers."""

    def __init__(self, hosts, quotas):
        self.quotas = quotas
        self.runner = model.make_virtual_runner()
        self.fleet = self.runner.run(self._make(hosts))
        self.demand = {
            name: USED_SHARE * rate for name, (rate, _burst) in quotas.items()
        }
        self.since_s = self.fleet.loop.time()
        self.others: list[str] = []

    async def _make(self, hosts):
        fleet = quota_simulation.SimulatedFleet(1, hosts, self.quotas)
        await asyncio.sleep(START_S)
        return fleet

    def send_load(self, demand, length_s, hosts=None):
        """Send requests at the given rates for a while."""
        self.runner.run(self.fleet.send_load(demand, length_s, hosts))

    def call(self, function, *arguments):
        """Call a function in the event loop of the simulation."""

        async def run():
            function(*arguments)

        self.runner.run(run())

    def find_refused_share(self, names=None):
        """Return the share of all requests that were refused."""
        names = names or self.quotas
        refused = sum(len(self.fleet.refused[name]) for name in names)
        granted = sum(len(self.fleet.granted[name]) for name in names)
        return refused / (refused + granted)

    def close(self):
        """Stop the fleet."""
        self.call(self.fleet.close)
        self.runner.close()


def _start_simulation(context, hosts, quotas):
    context.simulation = SimulationSubject(hosts, quotas)
    context.cleanups.append(context.simulation.close)


@given('{hosts:d} daemons and {count:d} workspaces of which some are large')
def step_world(context, hosts, count):
    parts = [(number + 1) ** -SKEW for number in range(count)]
    rates = [max(5, round(TOTAL_PER_S * i / sum(parts))) for i in parts]
    quotas = {f'w{i}': (rate, rate) for i, rate in enumerate(rates)}
    _start_simulation(context, hosts, quotas)


@given('{hosts:d} daemons and a workspace with {rate:d} requests a second')
def step_one_workspace(context, hosts, rate):
    _start_simulation(context, hosts, {'w0': (rate, rate)})


@when('they ask for 60 % of their quotas for {length_s:d} s')
def step_ask(context, length_s):
    context.simulation.send_load(context.simulation.demand, length_s)


@when('all callers go to {count:d} of the daemons, for {length_s:d} s')
def step_move(context, count, length_s):
    hosts = list(context.simulation.fleet.daemons)[:count]
    context.simulation.send_load(context.simulation.demand, length_s, hosts)


@when('the largest asks for {times:d} times as much for {length_s:d} s')
def step_hot(context, times, length_s):
    subject = context.simulation
    subject.send_load(subject.demand, 1)
    demand = {**subject.demand, 'w0': times * subject.demand['w0']}
    subject.since_s = subject.fleet.loop.time()
    subject.length_s = length_s
    subject.send_load(demand, length_s)


@then(
    'it got at least {percent:d} % of its quota, and not more than the bound'
)
def step_got(context, percent):
    subject = context.simulation
    rate, burst = subject.quotas['w0']
    times = subject.fleet.granted['w0']
    got = sum(time_s >= subject.since_s for time_s in times)
    assert got * 100 >= percent * rate * subject.length_s, got
    assert subject.fleet.find_peak_share('w0') <= 1


@then('less than {percent:d} % of the requests of the others were refused')
def step_others(context, percent):
    names = [name for name in context.simulation.quotas if name != 'w0']
    share = context.simulation.find_refused_share(names)
    assert share * 100 < percent, share


@then('less than {percent:d} % of the requests were refused')
def step_refused(context, percent):
    share = context.simulation.find_refused_share()
    assert share * 100 < percent, share


def _list_allocators(fleet):
    return [
        client.session.allocator
        for client in fleet.daemons['h0'].quotas._clients.values()
    ]


@when('an allocator crashes, and they go on for {length_s:d} s')
def step_allocator_crashes(context, length_s):
    subject = context.simulation
    allocator = _list_allocators(subject.fleet)[0]
    subject.call(subject.fleet.kill, allocator)
    subject.send_load(subject.demand, length_s)


@when('a third of the hosts is disconnected for {length_s:d} s')
def step_disconnect_third(context, length_s):
    subject = context.simulation
    fleet = subject.fleet
    allocators = _list_allocators(fleet)
    others = [name for name in fleet.daemons if name not in allocators]
    cut = others[: len(fleet.daemons) // 3]
    subject.call(
        fleet.partition_network, {name: 1 + i for i, name in enumerate(cut)}
    )
    subject.others = [name for name in fleet.daemons if name not in cut]
    demand = {name: rate * 2 / 3 for name, rate in subject.demand.items()}
    fleet.refused.clear()
    subject.send_load(demand, length_s, subject.others)


@then('no workspace has exceeded its bound')
def step_in_bound(context):
    subject = context.simulation
    found = {
        name: subject.fleet.find_peak_share(name) for name in subject.quotas
    }
    assert max(found.values()) <= 1, found


@then('less than {percent:d} % of the requests at the others were refused')
def step_refused_others(context, percent):
    share = context.simulation.find_refused_share()
    assert share * 100 < percent, share


@when(
    'one daemon is disconnected, and asked for {rate:d} tokens a second for '
    '{length_s:d} s'
)
def step_disconnect_one(context, rate, length_s):
    subject = context.simulation
    fleet = subject.fleet
    name = next(n for n in fleet.daemons if n not in _list_allocators(fleet))
    subject.call(fleet.partition_network, {name: 1})
    subject.send_load({'w0': rate}, 4, [name])
    fleet.granted.clear()
    subject.length_s = length_s - 4
    subject.send_load({'w0': rate}, subject.length_s, [name])


@then('between {least:d} and {most:d} a second were granted there')
def step_standalone_granted(context, least, most):
    subject = context.simulation
    got = len(subject.fleet.granted['w0']) / subject.length_s
    assert least <= got <= most, got


@when(
    'it asks for {rate:d} a second for {length_s:d} s, and then its quota '
    'falls to {lower:d}'
)
def step_lower(context, rate, length_s, lower):
    subject = context.simulation
    subject.send_load({'w0': rate}, length_s)
    subject.call(subject.fleet.set_quota, 'w0', lower, lower)
    subject.since_s = subject.fleet.loop.time()
    subject.send_load({'w0': rate}, 8)


@then('no more than the lower bound was granted in any window since')
def step_lower_bound(context):
    subject = context.simulation
    peak = subject.fleet.find_peak_share('w0', subject.since_s)
    assert 0.5 < peak <= 1, peak


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
    quotas.set_members({'h0': testing.make_member_row('h0')})
    quotas.set_workspaces([bundles.Workspace('crew', rate_per_s=1)])
    context.quotas = quotas


@then('requests of a workspace need no token')
def step_no_token(context):
    assert not context.quotas.has_quota('crew')
    assert context.quotas.find_gauges() == {}


@given('an allocator with four hosts of which three lease their share')
def step_allocator(context):
    subject = QuotaSubject()
    hosts = frozenset(f'h{number}' for number in range(4))
    subject.allocator = quota.QuotaAllocator(7)
    subject.allocator.set_hosts(hosts, hosts, subject.now_s)
    context.quota = subject
    for number in range(3):
        _start_lease(subject, f'h{number}', 7, 10_000)


def _start_lease(subject, host, life, at_ms):
    (partition, _other) = quota.list_partitions(1)
    stamp = quota.QuotaStamp(life, at_ms)
    request = quota.QuotaRequest(host, partition, (), stamp)
    subject.allocator.answer(request, subject.now_s)


CREW = {'crew': quota.QuotaPlan(100.0, 8.0, 1.0)}


@when('no tokens of a workspace are requested for a second')
def step_rest(context):
    subject = context.quota
    subject.allocator.set_plans(CREW, subject.now_s)
    subject.now_s += 1


def _find_level(subject):
    (partition,) = subject.allocator.partitions
    request = quota.QuotaRequest(
        'h9', partition, (quota.QuotaNeed('crew', 0, 0),)
    )
    subject.allocator.answer(request, subject.now_s)
    return subject.allocator.find_level(partition, 'crew')


@then('its bucket holds three quarters of the capacity of a partition')
def step_level(context):
    assert _find_level(context.quota) == 6.0, _find_level(context.quota)


@when('two of the three end their leases')
def step_end_two(context):
    subject = context.quota
    (partition,) = subject.allocator.partitions
    for host in ('h0', 'h1'):
        request = quota.QuotaRequest(host, partition, is_last=True)
        subject.allocator.answer(request, subject.now_s)


@then('its bucket holds one quarter of the capacity of a partition')
def step_level_after(context):
    assert _find_level(context.quota) == 2.0, _find_level(context.quota)


@given('a cache with two tokens that expire at {end_s:g} s')
def step_cache(context, end_s):
    context.permit_cache = quota.PermitCache()
    context.permit_cache.put('crew', 2, end_s)


@when('one is taken at {taken_s:g} s, and given back at {back_s:g} s')
def step_put_back(context, taken_s, back_s):
    permit = context.permit_cache.take('crew', taken_s)
    context.permit_cache.put_back(permit, back_s)


@then('no token can be taken at {now_s:g} s')
def step_no_more(context, now_s):
    assert context.permit_cache.take('crew', now_s) is None


@when('the fourth leases its share from a timestamp that is long past')
def step_late(context):
    _start_lease(context.quota, 'h3', 7, 5000)


@when('it leases its share from a timestamp of another lifetime')
def step_other_lifetime(context):
    _start_lease(context.quota, 'h3', 8, 10_000)


@when('a host that is no member leases a share')
def step_no_member(context):
    _start_lease(context.quota, 'h9', 7, 10_000)


@then('three quarters of the rates are leased')
def step_three_quarters(context):
    (partition,) = context.quota.allocator.partitions
    assert context.quota.allocator.find_leased_share(partition) == 0.75


FAULTS = {
    'a body that is no message': b'\xff',
    'an invalid partition id': msgspec.msgpack.encode(['h', '9/0/1', []]),
    'a negative count': msgspec.msgpack.encode(
        ['h', '0/0/1', [['crew', -1, 0]]]
    ),
}


@when('a daemon receives a token request with {fault}')
def step_damaged(context, fault):
    quotas = context.mesh.first.daemon.state.quotas
    quotas.plans = {'crew': quota.QuotaPlan(1.0, 1.0, 1.0)}
    headers = [(_quota_hop.MARK_HEADER, '1')]
    context.answer = quotas.answer(
        transport.Request('POST', '/quota', headers, FAULTS[fault], True)
    )


@then('it answers with status {status:d}')
def step_status(context, status):
    assert context.answer.status == status, context.answer


class QuotaMesh:
    """Daemons in one event loop, and callers of workspaces."""

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
        self.fleet.wait_for(self.is_leased)
        self.answers = []

    def is_leased(self):
        """Whether all hosts lease their shares, so that the buckets fill."""
        shares = [
            allocator.find_leased_share(partition)
            for allocator in (
                h.daemon.state.quotas.allocator for h in self.hosts
            )
            for partition in allocator.partitions
        ]
        return shares.count(1.0) >= quota.PARTITIONS_PER_SHARD

    def is_filled(self):
        """Whether the buckets of both partitions are full."""
        full = 0
        for host in self.hosts:
            quotas = host.daemon.state.quotas
            least = 0.9 * quotas.plans['crew'].capacity
            for partition in quotas.allocator.partitions:
                need = quota.QuotaNeed('crew', 0, 0)
                request = quota.QuotaRequest('nobody', partition, (need,))
                quotas.allocator.answer(request, quotas.now_s())
                full += quotas.allocator.find_level(partition, 'crew') >= least
        return full >= quota.PARTITIONS_PER_SHARD

    def ask_all(self, workspace, count, host=0, is_together=True):
        """Send requests of a workspace to a host."""
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
        """Return the answers that refuse a request for its quota."""
        return [item for item in self.answers if item.status == 429]


def _make_mesh(context, hosts, rate):
    context.quota_mesh = QuotaMesh(hosts, rate)
    context.cleanups.append(context.quota_mesh.fleet.stop)


@given('a mesh of two hosts with a quota of {rate:d} a second for "crew"')
def step_mesh(context, rate):
    _make_mesh(context, 2, rate)


@given('a mesh of four hosts with a quota of {rate:d} a second for "crew"')
def step_mesh_four(context, rate):
    _make_mesh(context, 4, rate)


@given('the buckets of both partitions are full')
def step_filled(context):
    context.quota_mesh.fleet.wait_for(context.quota_mesh.is_filled)


@when('callers of "{name}" send {count:d} requests at once')
def step_send(context, name, count):
    context.quota_mesh.ask_all(name, count)


@when('callers of "{name}" send {count:d} requests, one after the other')
def step_send_in_turn(context, name, count):
    context.quota_mesh.ask_all(name, count, is_together=False)


@then(
    'between {least:d} and {most:d} were answered, and the others refused '
    'with 429'
)
def step_some(context, least, most):
    answers = context.quota_mesh.answers
    good = sum(item.status == 200 for item in answers)
    assert least <= good <= most, good
    assert good + len(context.quota_mesh.list_refused()) == len(answers)


@then('each refusal has code {code:d} and a time to retry after')
def step_refusal(context, code):
    for item in context.quota_mesh.list_refused():
        assert json.loads(item.body)['code'] == code, item.body
        assert 0 < float(item.find('retry-after')) <= 2, item.headers


@then('the target ran no request that was refused')
def step_not_run(context):
    quota_mesh = context.quota_mesh
    runs = sum(len(host.books.runs) for host in quota_mesh.hosts)
    assert runs == len(quota_mesh.answers) - len(quota_mesh.list_refused()), (
        runs
    )


@then('all {count:d} were answered')
def step_all(context, count):
    statuses = [item.status for item in context.quota_mesh.answers]
    assert statuses == [200] * count, statuses


@given('no target that accepts requests')
def step_no_target(context):
    quota_mesh = context.quota_mesh
    for host in quota_mesh.hosts:
        quota_mesh.fleet.report(host, 'draining')
    quota_mesh.fleet.wait_for(
        lambda: all(
            row.state is mesh.TargetState.DRAINING
            for host in quota_mesh.hosts
            for row in host.daemon.state.fleet.members.values()
        )
    )


@then('none was refused for its quota')
def step_none_refused(context):
    statuses = {item.status for item in context.quota_mesh.answers}
    assert statuses == {503}, statuses


@given('the targets fail every second request')
def step_fail_second(context):
    numbers = itertools.count()
    for host in context.quota_mesh.hosts:
        fail_alternately(host.books, numbers)


def fail_alternately(books: testing.TargetBooks, numbers) -> None:
    """Fail every second of the requests that targets get together."""
    note_run = books.note_run

    def note_and_choose(*details) -> None:
        note_run(*details)
        is_failing = next(numbers) % 2 == 0
        books.habit = (
            testing.TargetHabit.FAILING
            if is_failing
            else testing.TargetHabit.SOUND
        )

    books.note_run = note_and_choose


@then(
    '{count:d} tokens were taken, and targets saw more than {runs:d} requests'
)
def step_tokens(context, count, runs):
    quota_mesh = context.quota_mesh
    counts = quota_mesh.hosts[0].daemon.state.decisions.counts.counts
    assert counts[('quota_granted', 'crew')] == count, counts
    seen = sum(len(host.books.runs) for host in quota_mesh.hosts)
    assert seen > runs, (seen, counts)


@when(
    'an allocator is killed, and callers of another host send {count:d} '
    'requests'
)
def step_kill_allocator(context, count):
    quota_mesh = context.quota_mesh
    clients = quota_mesh.hosts[0].daemon.state.quotas._clients
    allocator = next(iter(clients.values())).session.allocator
    quota_mesh.fleet.kill(quota_mesh.fleet.hosts[allocator])
    other = next(
        i for i, name in enumerate(quota_mesh.names) if name != allocator
    )
    quota_mesh.ask_all('crew', count, other, is_together=False)


@then('none was refused with 429')
def step_no_quota_refusal(context):
    assert not context.quota_mesh.list_refused(), context.quota_mesh.answers


@then('at least {count:d} of them were answered')
def step_at_least(context, count):
    statuses = [item.status for item in context.quota_mesh.answers]
    assert statuses.count(200) >= count, statuses

"""Steps on distribution, over the real systems without sockets."""

from behave import given
from behave import step
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import msgspec

from sedgering import bundle as bundles
from sedgering.distribution import _tree
from sedgering import exceptions
from sedgering import peer
from sedgering import release
from sedgering import storage
from sedgering import testing

DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c')
SEEDS = [{'address': f'127.1.0.{n}', 'port': 7000} for n in (2, 3, 4, 5)]


def make_content(number):
    return bundles.make_bundle(
        'mesh', policies=(bundles.Policy('p', timeout_ms=number),)
    )


class FleetSubject:
    """A few proxies over one platform."""

    def __init__(self, count, seed=1, options=None):
        self.now_s = 0
        self.engine = testing.PlatformEngine(now_s=self.clock)
        self.store = testing.InMemoryPlatform(self.engine)
        self.exchange = testing.Exchange(self.store, seed, options)
        self.client = release.ReleaseClient(
            self.store, self.store, lambda: 0, lambda attempt: None
        )
        for number in range(count):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            self.exchange.add(data_centre, number + 1)
        self.histories = {}

    def clock(self):
        # Calls are spread out, so that budgets never run out.
        self.now_s += 1
        return self.now_s

    @property
    def nodes(self):
        return list(self.exchange.nodes.values())

    def roll(self, number):
        self.client.sign_off(
            make_content(number), 'anna', release.make_operation_id()
        )
        version = self.client.read_head().latest_signed
        self.client.roll(version, 'anna', release.make_operation_id())
        return version

    def start(self):
        self.roll(1)
        count = len(self.nodes)
        self.exchange.run_until(
            lambda: all(
                node.is_serving and len(node.tables.hosts) == count
                for node in self.nodes
            ),
            30,
        )
        self.exchange.run(3)

    def all_hold(self, version):
        return all(node.version == version for node in self.nodes)

    def went_back(self):
        return [
            node.name
            for node in self.nodes
            if node.versions != sorted(node.versions)
        ]

    def restart(self, node):
        self.exchange.kill(node)
        number = int(node.name.rpartition('-')[2])
        return self.exchange.add(node.tables.settings.data_centre, number)

    def progress(self):
        return release.read_progress(self.store)


@given('12 proxies in 3 data centres that hold version 1')
def step_fleet(context):
    context.fleet = FleetSubject(12, options={'membership': {'seeds': SEEDS}})
    context.fleet.start()


@when('version {version:d} is rolled')
def step_roll(context, version):
    assert context.fleet.roll(version) == version


@step('every proxy holds version {version:d} within {seconds:d} s')
def step_hold(context, version, seconds):
    fleet = context.fleet
    fleet.exchange.run_until(lambda: fleet.all_hold(version), seconds)


@then('the progress rows say {holding:d} of {members:d}')
def step_progress(context, holding, members):
    step_progress_within(context, holding, members, 5)


@then('the progress rows say {holding:d} of {members:d} within {seconds:d} s')
def step_progress_within(context, holding, members, seconds):
    fleet = context.fleet

    def is_complete():
        progress = fleet.progress()
        return release.check_complete(progress, progress.version) and (
            progress.holding,
            progress.members,
        ) == (holding, members)

    fleet.exchange.run_until(is_complete, seconds)


@given('proxies that compare versions once in 600 s')
def step_rare_compare(context):
    for node in context.fleet.nodes:
        options = msgspec.structs.replace(
            node.tables.settings.membership, compare_interval_ms=600_000
        )
        node.tables.settings = msgspec.structs.replace(
            node.tables.settings, membership=options
        )
    # The probes that are due already still go out.
    context.fleet.exchange.run(3)


@given('no announcement and no acknowledgement arrives')
def step_no_tree(context):
    parts = {'announcement', 'acknowledgement'}
    context.fleet.exchange.dropped_parts = parts


@given('30 % of the messages are lost, 30 % doubled and all delayed')
def step_faults(context):
    exchange = context.fleet.exchange
    exchange.loss = 0.3
    exchange.duplication = 0.3
    exchange.delay_ticks = 8


@when('versions 2, 3 and 4 are rolled one second apart')
def step_roll_three(context):
    for version in (2, 3, 4):
        context.fleet.roll(version)
        context.fleet.exchange.run(1)


@then('no proxy ever went back')
def step_never_back(context):
    assert not context.fleet.went_back()


@given('an announcement of version 1 is recorded')
def step_record(context):
    node = context.fleet.nodes[0]
    context.recorded = (
        node,
        peer.Datagram(
            mesh='mesh',
            protocol=peer.PROTOCOL_VERSION,
            sender=node.name,
            incarnation=1,
            announcement=peer.Announcement(
                version=1, digest=node.tables.holder.snapshot.digest
            ),
        ),
    )


@when('the recorded announcement arrives everywhere')
def step_replay(context):
    sender, datagram = context.recorded
    for node in context.fleet.nodes:
        context.fleet.exchange.replay(sender, node, datagram)
    context.fleet.exchange.run(2)


@when('the relays of a data centre die')
def step_kill_relays(context):
    fleet = context.fleet
    for node in fleet.nodes:
        is_there = node.tables.settings.data_centre == 'dc-a'
        if is_there and node.tables.tree.is_relay:
            fleet.exchange.kill(node)
    assert len(fleet.nodes) == 9


@given('a data centre that can reach neither others nor the platform')
def step_part(context):
    exchange = context.fleet.exchange
    exchange.cut = {frozenset(('dc-a', other)) for other in DATA_CENTRES[1:]}
    exchange.cut_platform = {'dc-a'}


@when('{seconds:d} s pass')
def step_pass(context, seconds):
    context.fleet.exchange.run(seconds)


@then('the proxies apart hold version 1')
def step_apart(context):
    for node in context.fleet.nodes:
        is_apart = node.tables.settings.data_centre == 'dc-a'
        assert node.version == (1 if is_apart else 2), node.name


@when('the data centre is back')
def step_rejoin(context):
    context.fleet.exchange.cut = set()
    context.fleet.exchange.cut_platform = set()


@when('the first proxy holds version 2')
def step_first(context):
    fleet = context.fleet

    def find():
        return [node for node in fleet.nodes if node.version == 2]

    fleet.exchange.run_until(find, 5)
    context.first = find()[0]
    assert len(find()) < len(fleet.nodes)


@when('the platform goes down')
def step_down(context):
    context.fleet.engine.faults = testing.Faults(mode=testing.StoreMode.BUSY)


@when('a proxy that kept contact rows restarts')
def step_restart(context):
    context.restarted = context.fleet.restart(context.fleet.nodes[0])


@then('it serves nothing under version 2')
def step_serves_nothing(context):
    for _ in range(50):
        context.fleet.exchange.step()
        node = context.restarted
        assert not node.is_serving or node.version >= 2, node.version


@then('it serves version 2 within {seconds:d} s')
def step_serves(context, seconds):
    node = context.restarted
    context.fleet.exchange.run_until(
        lambda: node.is_serving and node.version == 2, seconds
    )


@given('all other proxies are unreachable')
def step_unreachable(context):
    first = context.fleet.nodes[0]
    context.fleet.exchange.cut = {frozenset((first.name,))}


@then('it is still waiting for a floor')
def step_waiting(context):
    tables = context.restarted.tables
    assert not tables.updates.is_floor_known
    assert not context.restarted.is_serving


@given('version 2 is rolled and held by the others')
def step_others_hold(context):
    fleet = context.fleet
    fleet.roll(2)
    context.others = [
        node
        for node in fleet.nodes
        if node.tables.settings.data_centre != 'dc-a'
    ]
    fleet.exchange.run_until(
        lambda: all(node.version == 2 for node in context.others), 5
    )


@given('the platform is down and the others are paused')
def step_others_paused(context):
    context.fleet.engine.faults = testing.Faults(mode=testing.StoreMode.BUSY)
    for node in context.others:
        node.is_paused = True


@when(
    'a proxy that held version 2 restarts where only the lagging ones answer'
)
def step_restart_lagging(context):
    fleet = context.fleet
    held = context.others.pop()
    assert held.is_serving and held.version == 2
    context.restarted = fleet.restart(held)
    fleet.exchange.cut = set()


@when('the others wake')
def step_others_wake(context):
    for node in context.others:
        node.is_paused = False


@given('the next 3 contents that peers send are damaged')
def step_damage(context):
    context.fleet.exchange.damage_contents = 3


@given('a proxy was away and missed versions 2 and 3')
def step_away(context):
    fleet = context.fleet
    context.away = fleet.nodes[-1]
    fleet.exchange.cut = {frozenset((context.away.name,))}
    fleet.exchange.cut_platform = {context.away.name}
    fleet.roll(2)
    fleet.roll(3)
    fleet.exchange.run(4)
    assert context.away.version == 1


@when('it is back')
def step_back(context):
    context.fleet.exchange.cut = set()
    context.fleet.exchange.cut_platform = set()


@when('a bundle with a dangling route is rolled around the checks')
def step_bad(context):
    fleet = context.fleet
    broken = bundles.make_bundle(
        'mesh',
        policies=(bundles.Policy('p'),),
        routes=(
            bundles.Route(
                'r',
                'party',
                'host',
                '/',
                (bundles.WeightedTargetSet('missing'),),
                'p',
            ),
        ),
    )
    encoded = bundles.encode_bundle(broken)
    digest = bundles.compute_digest(encoded)
    fleet.store.put_object(digest, encoded)
    head = release.HeadRecord(
        version=2, digest=digest, latest_signed=2, changed_by='mallory'
    )
    put = storage.Put(release.HEAD_KEY, release.encode_record(head))
    fleet.store.transact(storage.Transaction('op', puts=(put,)))


@then('the progress rows name code {code:d} from {hosts:d} hosts')
def step_refusals(context, code, hosts):
    refusals = [
        refusal
        for report in context.fleet.progress().data_centres
        for refusal in report.refusals
    ]
    assert {refusal.code for refusal in refusals} == {code}
    assert sum(refusal.hosts for refusal in refusals) == hosts


@when('one host acknowledges twice while another one is silent')
def step_twice(context):
    top = next(n for n in context.fleet.nodes if n.tables.tree.is_top)
    children = top.tables.tree.children
    first, second = sorted(children)[:2]
    children[second].acknowledgement = children[first].acknowledgement
    context.report = context.fleet.nodes.index(top)


@then('the progress of its data centre is not exact')
def step_not_exact(context):
    node = context.fleet.nodes[context.report]
    record = _tree.make_progress(node.tables)
    assert record.covered == record.members
    assert not record.is_exact


@then('6 and 60 proxies read the head equally often')
def step_source_load(context):
    rates = []
    for count in (6, 60):
        fleet = FleetSubject(count)
        fleet.start()
        fleet.exchange.run(5)
        before = fleet.engine.stats.reads
        fleet.exchange.run(20)
        rates.append(fleet.engine.stats.reads - before)
    # Six proxies are all relays; sixty have three in each data centre.
    relays = (6, 9)
    per_relay = [rate / count for rate, count in zip(rates, relays)]
    assert max(per_relay) <= 1.2 * min(per_relay), rates


FAULTS = st.sampled_from(
    ['roll', 'kill', 'pause', 'wake', 'down', 'up', 'part', 'join', 'loss']
)


def carry_out(fleet, fault, number):
    nodes = fleet.nodes
    node = nodes[number % len(nodes)]
    exchange = fleet.exchange
    if fault == 'roll' and fleet.engine.faults.mode is testing.StoreMode.SOUND:
        fleet.roll(number + 10)
    elif fault == 'kill':
        held = node.version
        serving = node.is_serving
        fresh = fleet.restart(node)
        # What an earlier process of the host had in force while serving.
        known = fleet.histories.get(node.name, 0)
        fleet.histories[fresh.name] = max(known, held if serving else 0)
    elif fault == 'pause':
        node.is_paused = True
    elif fault == 'wake':
        for item in nodes:
            item.is_paused = False
    elif fault in ('down', 'up'):
        fleet.engine.faults = testing.Faults(
            mode=testing.StoreMode.BUSY
            if fault == 'down'
            else testing.StoreMode.SOUND
        )
    elif fault == 'part':
        exchange.cut = {frozenset(DATA_CENTRES[:2])}
    elif fault == 'join':
        exchange.cut = set()
    elif fault == 'loss':
        exchange.loss = (number % 4) / 10
        exchange.delay_ticks = 1 + number % 5


@then('whatever happens, no proxy goes back and all end up together')
def step_any(context):
    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=12
    )
    @hypothesis.given(
        st.lists(
            st.tuples(FAULTS, st.integers(0, 40)), min_size=4, max_size=14
        )
    )
    def check(faults):
        fleet = FleetSubject(6, options={'membership': {'seeds': SEEDS}})
        fleet.start()
        for fault, number in faults:
            try:
                carry_out(fleet, fault, number)
            except exceptions.ReleaseError:
                pass  # Unchanged content; nothing to roll.
            for _ in range(10):
                fleet.exchange.step()
                check_floors(fleet)
        fleet.exchange.cut = set()
        fleet.exchange.loss = 0.0
        fleet.exchange.delay_ticks = 1
        fleet.engine.faults = testing.Faults()
        for node in fleet.nodes:
            node.is_paused = False
        rolled = fleet.client.read_head().version
        fleet.exchange.run_until(
            lambda: fleet.all_hold(rolled) or check_floors(fleet), 40
        )
        assert not fleet.went_back()
        fleet.exchange.run(15)
        digests = {node.tables.hosts.digest for node in fleet.nodes}
        assert len(digests) == 1, 'member tables differ'

    check()


def check_floors(fleet):
    for node in fleet.nodes:
        floor = fleet.histories.get(node.name, 0)
        if node.is_serving:
            assert node.version >= floor, (node.name, node.version, floor)


@when('versions 2, 3 and 4 are rolled at once')
def step_roll_at_once(context):
    fleet = context.fleet
    digests = fleet.engine.fetched_objects
    digests.clear()
    for version in (2, 3, 4):
        fleet.roll(version)
    # What the operator read to make the differences does not count.
    digests.clear()


@then('no whole bundle was fetched from the object store')
def step_no_whole(context):
    fleet = context.fleet
    names = {record.digest.hex() for record in fleet.client.list_sign_offs()}
    assert fleet.engine.fetched_objects
    assert not names & set(fleet.engine.fetched_objects)


@given('relays that read the head once in 60 s')
def step_slow_relays(context):
    options = {'distribution': {'head_poll_interval_ms': 60_000}}
    context.fleet = FleetSubject(6, options=options)
    context.fleet.start()


def send_notice(fleet, node):
    datagram = peer.Datagram(
        mesh='mesh', sender='anna', incarnation=0, head_changed=True
    )
    fleet.exchange.replay(node, node, datagram)


@when('version {version:d} is rolled with a notice')
def step_roll_notice(context, version):
    fleet = context.fleet
    assert fleet.roll(version) == version
    for node in fleet.nodes:
        send_notice(fleet, node)


@when('{count:d} notices arrive at a relay within {seconds:d} s')
def step_flood(context, count, seconds):
    fleet = context.fleet
    relay = next(n for n in fleet.nodes if n.tables.tree.is_relay)
    context.reads_before = fleet.engine.stats.reads
    steps = seconds * 10
    for _ in range(steps):
        for _ in range(count // steps):
            send_notice(fleet, relay)
        fleet.exchange.step()


@then('it has read the head at most {limit:d} times')
def step_reads(context, limit):
    reads = context.fleet.engine.stats.reads - context.reads_before
    assert 1 <= reads <= limit, reads


@given('every proxy hears again and again of version 999999 that nobody has')
def step_forged(context):
    fleet = context.fleet
    liar = fleet.nodes[0]
    forged = peer.Datagram(
        mesh='mesh',
        protocol=peer.PROTOCOL_VERSION,
        sender='nobody',
        incarnation=1,
        announcement=peer.Announcement(version=999999, digest=b'x' * 32),
    )
    step = fleet.exchange.step

    def step_and_lie():
        for node in fleet.nodes:
            fleet.exchange.replay(liar, node, forged)
        step()

    fleet.exchange.step = step_and_lie
    fleet.exchange.run(2)

"""Steps for relays, and for the logs of members and versions."""

import asyncio
import itertools
import math
import threading
import time

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering import mesh
from sedgering.mesh import _members
from sedgering.mesh import _proof
from sedgering.mesh import _relay
from sedgering.mesh import _versions
from sedgering import platform
from sedgering import testing

EXAMPLES = 300
HOSTS = ('a', 'b', 'c', 'd')
LOGS = 3
RELAY_FROM_HOSTS = 3


def make_row(host, number=0, link_mbps=10) -> mesh.MemberRow:
    """Make a row; `number` makes its content unique."""
    return testing.make_member_row(
        host, target=f'i-{number}', link_mbps=link_mbps
    )


class StoreHistory:
    """Rows of a store, with all changes."""

    def __init__(self):
        self.entries: list[_members.MemberEntry] = []

    @property
    def revision(self) -> int:
        """Current revision of the store; the first one is 1."""
        return len(self.entries) + 1

    def change(self, host: str, is_removed: bool) -> None:
        """Write or remove a row."""
        revision = self.revision + 1
        row = None if is_removed else make_row(host, revision)
        self.entries.append(_members.MemberEntry(host, revision, row))

    def rows_at(self, revision: int) -> dict:
        """Return the rows as of a revision."""
        rows = {}
        for entry in self.entries:
            if entry.revision <= revision:
                rows[entry.host] = entry.row
        return {host: row for host, row in rows.items() if row is not None}

    def read(self, lag: int) -> _members.MemberUpdate:
        """Return all rows, as of `lag` changes ago."""
        revision = max(1, self.revision - lag)
        entries = tuple(
            entry
            for entry in self.entries
            if entry.revision <= revision
            and self.rows_at(revision).get(entry.host) == entry.row
            and entry.row is not None
        )
        return _members.MemberUpdate(entries, revision, True)

    def watch(self, after: int, lag: int) -> _members.MemberUpdate:
        """Return the changes since a revision, up to `lag` changes ago."""
        revision = max(after, self.revision - lag)
        last = {
            entry.host: entry
            for entry in self.entries
            if after < entry.revision <= revision
        }
        return _members.MemberUpdate(tuple(last.values()), revision, False)


@then('member logs agree with the store for any order of updates')
def step_logs(context):
    log = st.integers(0, LOGS - 1)
    lag = st.integers(0, 3)
    moves = st.one_of(
        st.tuples(st.just('write'), st.sampled_from(HOSTS), st.booleans()),
        st.tuples(st.just('read'), log, lag),
        st.tuples(st.just('watch'), log, lag),
        st.tuples(st.just('learn'), log, log),
        st.tuples(st.just('restart'), log, lag),
    )

    @hypothesis.settings(
        max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(st.lists(moves, max_size=40))
    def check(sequence):
        store = StoreHistory()
        logs = [_members.MemberLog() for _ in range(LOGS)]
        for kind, first, second in sequence:
            if kind == 'write':
                store.change(first, second)
            elif kind == 'read':
                logs[first].merge(store.read(second))
            elif kind == 'watch' and logs[first].revision:
                update = store.watch(logs[first].revision, second)
                logs[first].merge(update)
            elif kind == 'learn':
                known = logs[first].revision
                logs[first].merge(logs[second].make_update(known))
            elif kind == 'restart':
                logs[first] = _members.MemberLog()
            for item in logs:
                rows = store.rows_at(item.revision) if item.revision else {}
                assert item.list_members() == rows, sequence

    check()


def make_config(version: int) -> mesh.AcceptedConfig:
    """Make a version whose routes depend on its number."""
    routes = [{'timeout': f'{1000 + version * number}ms'} for number in (1, 2)]
    routes += [{'priority': number} for number in range(version % 3)]
    document = testing.make_document(version, routes)
    return platform.decode_document(document)


@then('each held version can be updated to the newest one')
def step_versions(context):
    configs = [make_config(version) for version in (2, 3, 7, 8, 12)]
    for first_requested in range(len(configs)):
        log = _versions.VersionLog()
        for number, config in enumerate(configs):
            assert log.add(config, keeps_delta=number > first_requested)
            assert not log.add(config, keeps_delta=True)
        assert log.make_update(base.Version(12)) is None
        for held in [None, *configs[:-1]]:
            version = held.version if held else base.NO_VERSION
            update = log.make_update(version)
            assert _versions.decode_update(update, held) == configs[-1]
        is_full = log.make_update(base.Version(8)).base_version == 0
        assert is_full is (first_requested == len(configs) - 1)


@given('an update of a version by differences')
def step_update(context):
    log = _versions.VersionLog()
    for version in (1, 2, 3):
        log.add(make_config(version), True)
    context.held = make_config(1)
    context.update = log.make_update(context.held.version)
    context.full = log.make_update(base.NO_VERSION)


@when('a difference is truncated')
def step_truncated(context):
    first, second = context.update.steps
    context.update = msgspec.structs.replace(
        context.update, steps=(first[:-4], second)
    )


@when('the last difference is missing')
def step_missing_difference(context):
    context.update = msgspec.structs.replace(
        context.update, steps=context.update.steps[:-1]
    )


@when('the base version is another one')
def step_other_base(context):
    context.held = make_config(2)


@when('the full bundle has another digest')
def step_other_digest(context):
    context.update = msgspec.structs.replace(context.full, digest=b'x' * 32)


@then('they are refused with code {code:d}')
def step_refused(context, code):
    try:
        _versions.decode_update(context.update, context.held)
    except exceptions.BundleError as error:
        assert int(error.code) == code, error
        return
    raise AssertionError('accepted')


@given('{hosts:d} hosts of one data centre, {fast:d} of them with fast links')
def step_hosts(context, hosts, fast):
    context.rows = [
        make_row(f'h{number}', link_mbps=200 if number < fast else 10)
        for number in range(hosts)
    ]


@then('{relays:d} relays are chosen, including all {fast:d} with fast links')
def step_chosen(context, relays, fast):
    chosen = _relay.choose_relays(context.rows)
    assert len(chosen) == relays
    assert sum(row.link_mbps == 200 for row in chosen) == fast
    assert chosen == _relay.choose_relays(context.rows[::-1])


class RelaySubject:
    """A mesh that has relays if it is large enough."""

    def __init__(self, hosts: int, is_first_start: bool = False):
        self.fleet = testing.MeshFleet(
            mesh.MeshSettings(relay_from_hosts=RELAY_FROM_HOSTS),
            is_first_start=is_first_start,
        )
        for number in range(hosts):
            self.fleet.add_host(f'h{number}')
        self.fleet.configure(testing.make_document(1, [{}]))
        self.fleet.wait_ready()
        self.remaining = list(self.fleet.hosts.values())

    def find_relays(self) -> list[testing.MeshHost]:
        """Return the hosts that watch the store."""
        return [
            host
            for host in self.remaining
            if host.daemon.follower.is_watching_store
        ]

    def wait_relays(self, count: int) -> list[testing.MeshHost]:
        """Wait until so many hosts watch the store; return them."""
        self.fleet.wait_for(lambda: len(self.find_relays()) == count)
        return self.find_relays()


@given('a mesh of {hosts:d} hosts with relays')
def step_mesh(context, hosts):
    context.relays = RelaySubject(hosts)
    context.cleanups.append(context.relays.fleet.stop)
    if hosts >= RELAY_FROM_HOSTS:
        context.relays.wait_relays(2)


@then('{count:d} hosts watch the store')
def step_watching(context, count):
    context.relays.wait_relays(count)


@when('version {version:d} is written')
def step_write(context, version):
    document = testing.make_document(version, [{}] * version)
    context.relays.fleet.configure(document)


def record_reads(context) -> None:
    """Record the relays, and how often each host has read the document."""
    subject = context.relays
    context.reads = {
        host.name: host.daemon.source._config_watcher.reads
        for host in subject.remaining
    }
    context.relay_names = {host.name for host in subject.find_relays()}


@when(
    'the store resets all connections for {seconds:g} s and drops its history'
)
def step_reset_store(context, seconds):
    record_reads(context)
    engine = context.relays.fleet.engine
    engine.write('other', 'key', b'1')
    engine.faults.mode = testing.StoreMode.RESET
    engine.compact()
    time.sleep(seconds)
    engine.faults.mode = testing.StoreMode.SOUND
    engine.faults.slow_ms = 100


@when('the store drops its history {times:d} times, with a version after each')
def step_drop_history(context, times):
    subject = context.relays
    fleet = subject.fleet
    record_reads(context)
    # The transfer time of a document over a link of 5 Mbit/s.
    fleet.engine.faults.slow_ms = 500
    for number in range(times):
        # Watches from before this row have to read the table again.
        fleet.engine.write('other', 'key', b'%d' % number)
        fleet.engine.compact()
        step_write(context, number + 2)
        step_version(context, number + 2)


@then('only the {count:d} relays have read the document since')
def step_only_relays(context, count):
    reading_hosts = {
        host.name
        for host in context.relays.remaining
        if host.daemon.source._config_watcher.reads > context.reads[host.name]
    }
    assert reading_hosts <= context.relay_names, (
        reading_hosts,
        context.relay_names,
    )
    assert len(context.relay_names) == count, context.relay_names


@given('a relay that knows {count:d} members, and a follower')
def step_list(context, count):
    context.entries = [
        _members.MemberEntry(f'h{number}', number + 1, make_row(f'h{number}'))
        for number in range(count)
    ]
    update = _members.MemberUpdate(tuple(context.entries), count, True)
    context.logs = [_members.MemberLog() for _ in range(2)]
    for log in context.logs:
        log.merge(update)


@when('the relay reads the full list again, with a row added and one removed')
def step_list_again(context):
    revision = len(context.entries) + 5
    more = _members.MemberEntry('new', revision - 1, make_row('new'))
    entries = (*context.entries[1:], more)
    context.logs[0].merge(_members.MemberUpdate(entries, revision, True))


@then(
    'the follower gets these {count:d} changes only, and both know the same '
    'members'
)
def step_follower_update(context, count):
    relay, follower = context.logs
    update = relay.make_update(follower.revision)
    assert not update.is_complete
    assert len(update.entries) == count, update.entries
    follower.merge(update)
    assert follower.list_members() == relay.list_members()
    assert 'h0' not in follower.list_members()


@then('all hosts have version {version:d}, and 2 hosts have read it in full')
def step_full_reads(context, version):
    step_version(context, version)
    watching = context.relays.wait_relays(2)
    document = context.relays.fleet.engine.read(('config',), 'op')[0]
    revisions = [
        host.daemon.source.versions.revision >= document.revision
        for host in watching
    ]
    assert revisions == [True, True]


@then('all hosts have version {version:d}')
def step_version(context, version):
    subject = context.relays
    subject.fleet.wait_for(
        lambda: all(
            host.daemon.state.config.version == version
            for host in subject.remaining
        )
    )


@then('all remaining hosts have version {version:d}')
def step_remaining(context, version):
    step_version(context, version)


@when('another host starts')
def step_join(context):
    context.relays.remaining.append(context.relays.fleet.add_host('h9'))


@then('all hosts know {count:d} members')
def step_know(context, count):
    context.relays.fleet.wait_ready(count)


@when('both relays are killed')
def step_kill(context):
    subject = context.relays
    for host in subject.wait_relays(2):
        subject.fleet.kill(host)
        subject.remaining.remove(host)


@when('both relays stop answering polls')
def step_stop_answering(context):
    subject = context.relays
    for host in subject.wait_relays(2):
        poll_handler = host.daemon.inbound.poll_handler
        poll_handler.answer = _never_answer
        host.daemon.follower.source.set_watching(False)
        subject.remaining.remove(host)


async def _never_answer(_request):
    await asyncio.sleep(3600)


@when('both relays lose contact with the store')
def step_lose_store(context):
    subject = context.relays
    for host in subject.wait_relays(2):
        source = host.daemon.source
        for watcher in (source._config_watcher, source._member_watcher):
            watcher.table = UnavailableTable()
        subject.remaining.remove(host)


class SilentTable:
    """A table whose answers are held back while the store is cut off."""

    def __init__(self, table):
        self.table = table
        self.open = asyncio.Event()
        self.open.set()

    async def list_rows(self, start='', end=''):
        return await self._pass_on(self.table.list_rows(start, end))

    async def watch(self, after, wait_ms):
        return await self._pass_on(self.table.watch(after, wait_ms))

    async def _pass_on(self, call):
        await self.open.wait()
        answer = await call
        await self.open.wait()
        return answer


@when('both relays lose the store without notice')
def step_silent_store(context):
    subject = context.relays
    context.cut = subject.wait_relays(2)
    watchers = [
        watcher
        for host in context.cut
        for watcher in host.daemon.source._table_watchers
    ]
    for watcher in watchers:
        watcher.table = SilentTable(watcher.table)
        watcher.cut_proof_s = watcher.proof_s
    # The calls under way end first.
    subject.fleet.wait_for(
        lambda: all(item.proof_s > item.cut_proof_s + 2 for item in watchers)
    )
    context.silent_tables = [watcher.table for watcher in watchers]
    for table in context.silent_tables:
        table.open.clear()
    for host in context.cut:
        subject.remaining.remove(host)


@when('the relays reach the store again')
def step_store_back(context):
    context.relays.remaining.extend(context.cut)
    loop = context.relays.fleet.loop
    for table in context.silent_tables:
        loop.call_soon_threadsafe(table.open.set)


@then(
    'all remaining hosts have version {version:d} and know {count:d} members'
)
def step_remaining_know(context, version, count):
    step_version(context, version)
    subject = context.relays
    subject.fleet.wait_for(
        lambda: all(
            len(host.daemon.state.fleet.members) == count
            for host in subject.remaining
        )
    )


@then('both relays take themselves to be in contact with the store')
def step_unnoticed(context):
    for host in context.cut:
        assert host.daemon.source.is_fresh


# Proofs.


@given('versions that must be in force within {apply_ms:d} ms')
def step_plan(context, apply_ms):
    context.plan = _proof.make_proof_plan(apply_ms)


@then('relays get proofs more often than they ask for one')
def step_plan_renew(context):
    assert context.plan.watch_ms / 2000 < context.plan.renew_s


@then('they ask before their followers turn to the store')
def step_plan_follow(context):
    assert context.plan.renew_s < context.plan.follow_s


@then('followers have {left_ms:d} ms left for that')
def step_plan_left(context, left_ms):
    left_s = context.plan.apply_s - context.plan.follow_s
    assert math.isclose(left_s, left_ms / 1000), left_s


class SetLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is set by a test."""

    now_s = 0.0

    def time(self):
        return self.now_s

    def call(self, function, *values):
        """Call a function that asks the running loop for the time."""

        async def call():
            return function(*values)

        return self.run_until_complete(call())


@given('answers of the store that arrive at {arrivals} s')
def step_arrivals(context, arrivals):
    context.arrivals_s = [float(text) for text in arrivals.split()]


@given('tell {clocks} s on its clock')
def step_clocks(context, clocks):
    loop = SetLoop()
    context.add_cleanup(loop.close)
    clock = _proof.StoreClock()
    pairs = zip(context.arrivals_s, clocks.split(), strict=True)
    for loop.now_s, text in pairs:
        now_ms = int(float(text) * 1000)
        context.sent_s = loop.call(clock.find_answer_time_s, now_ms)


@then('the last one was sent at {sent:g} s')
def step_sent(context, sent):
    assert math.isclose(context.sent_s, sent), context.sent_s


@given('two watches of {wait_ms:d} ms that begin together')
def step_two_watches(context, wait_ms):
    context.wait_ms = wait_ms


@when('each is repeated {times:d} times')
def step_repeat_watches(context, times):
    loop = SetLoop()
    context.add_cleanup(loop.close)
    schedule = _proof.WatchSchedule()
    ends_s = {'one': 0.0, 'other': 0.0}
    context.ends_s = []
    for _call in range(2 * times):
        name = min(ends_s, key=ends_s.get)
        loop.now_s = ends_s[name]
        wait_ms = loop.call(schedule.plan_wait_ms, name, context.wait_ms)
        ends_s[name] += wait_ms / 1000
        context.ends_s.append(ends_s[name])


@then('they end {gap_ms:d} ms after each other')
def step_turns(context, gap_ms):
    last_s = sorted(context.ends_s)[-6:]
    for earlier_s, later_s in itertools.pairwise(last_s):
        assert math.isclose(later_s - earlier_s, gap_ms / 1000), last_s


@then('each was called {times:d} times in {seconds:g} s at least')
def step_watch_calls(context, times, seconds):
    assert len(context.ends_s) == 2 * times
    assert min(context.ends_s[-2:]) >= seconds, context.ends_s


class UnavailableTable:
    """A table of a store that is down."""

    async def list_rows(self, start='', end=''):
        raise exceptions.PlatformError(exceptions.Code.PLATFORM_DOWN)

    async def watch(self, after, wait_ms):
        threading.Event().wait(0.05)
        raise exceptions.PlatformError(exceptions.Code.PLATFORM_DOWN)


@when('the differences kept by the relays are corrupted')
def step_damage(context):
    subject = context.relays
    for host in subject.wait_relays(2):
        log = host.daemon.source.versions
        make_update = log.make_update

        def find_damaged(version, make_update=make_update):
            update = make_update(version)
            if update is None or not update.base_version:
                return update
            return msgspec.structs.replace(update, steps=(b'damaged',))

        log.make_update = find_damaged


@when('a daemon has rejected a difference, and got its version elsewhere')
def step_refused_elsewhere(context):
    subject = context.relays
    relays = subject.wait_relays(2)
    context.follower = next(
        host for host in subject.remaining if host not in relays
    )
    context.requested_versions = []
    for host in relays:
        log = host.daemon.source.versions

        def make_update(version, find=log.make_update):
            context.requested_versions.append(version)
            return find(version)

        log.make_update = make_update
    # The version that is requested in full is held already.
    context.follower.daemon.follower._needs_whole = True


@then('its next polls are held, and it requests no full version again')
def step_polls_held(context):
    subject = context.relays
    subject.fleet.wait_for(
        lambda: base.NO_VERSION in context.requested_versions
    )
    subject.fleet.wait_for(
        lambda: not context.follower.daemon.follower._needs_whole
    )
    # Two polls that are under way may still request it.
    subject.fleet.wait_for(lambda: len(context.requested_versions) > 20)
    assert context.requested_versions.count(base.NO_VERSION) <= 4, (
        context.requested_versions
    )


@when('the store refuses all calls for {seconds:d} s')
def step_store_away(context, seconds):
    engine = context.relays.fleet.engine
    engine.faults = testing.Faults(mode=testing.StoreMode.LIMITED)
    refused = engine.stats.refused

    async def wait():
        await asyncio.sleep(seconds)

    context.relays.fleet.run(wait())
    engine.faults = testing.Faults()
    context.refused = engine.stats.refused - refused


@then('it got at most {most:d} calls')
def step_call_count(context, most):
    # 5 daemons, each with one call in 0.1 s at first and in 0.5 to 2 s later.
    assert 5 <= context.refused <= most, context.refused


@given('a mesh of {hosts:d} hosts that all start for the first time')
def step_first_start(context, hosts):
    context.relays = RelaySubject(hosts, is_first_start=True)
    context.cleanups.append(context.relays.fleet.stop)


@then('{count:d} hosts have read the document in the store')
def step_readers(context, count):
    reading_hosts = [
        host.name
        for host in context.relays.remaining
        if host.daemon.source._config_watcher.reads
    ]
    assert len(reading_hosts) == count, reading_hosts


@then('the store was written {count:d} times')
def step_written(context, count):
    engine = context.relays.fleet.engine
    assert engine.stats.writes == count, engine.stats

"""Steps over relays, and over the logs of members and versions."""

import asyncio
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
from sedgering.mesh import _relay
from sedgering.mesh import _versions
from sedgering import platform
from sedgering import testing

EXAMPLES = 300
HOSTS = ('a', 'b', 'c', 'd')
LOGS = 3
RELAY_FROM_HOSTS = 3


def make_row(host, number=0, link_mbps=10) -> mesh.MemberRow:
    """Make a row; `number` tells versions of it apart."""
    return testing.make_member_row(
        host, target=f'i-{number}', link_mbps=link_mbps
    )


class StoreHistory:
    """Rows of a store with all of their changes."""

    def __init__(self):
        self.entries: list[_members.MemberEntry] = []

    @property
    def revision(self) -> int:
        """Counter of the store; it starts at 1."""
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
        """Read all rows, as of some changes ago."""
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
        """Tell the changes since a revision, up to some changes ago."""
        revision = max(after, self.revision - lag)
        last = {
            entry.host: entry
            for entry in self.entries
            if after < entry.revision <= revision
        }
        return _members.MemberUpdate(tuple(last.values()), revision, False)


@then('logs that learn from the store and each other in any order are right')
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


@then('any version held leads to the newest one')
def step_versions(context):
    configs = [make_config(version) for version in (2, 3, 7, 8, 12)]
    for first_asked in range(len(configs)):
        log = _versions.VersionLog()
        for number, config in enumerate(configs):
            assert log.add(config, keeps_delta=number > first_asked)
            assert not log.add(config, keeps_delta=True)
        assert log.make_update(base.Version(12)) is None
        for held in [None, *configs[:-1]]:
            version = held.version if held else base.NO_VERSION
            update = log.make_update(version)
            assert _versions.decode_update(update, held) == configs[-1]
        is_whole = log.make_update(base.Version(8)).base_version == 0
        assert is_whole is (first_asked == len(configs) - 1)


@given('news of a version by differences')
def step_update(context):
    log = _versions.VersionLog()
    for version in (1, 2, 3):
        log.add(make_config(version), True)
    context.held = make_config(1)
    context.update = log.make_update(context.held.version)
    context.whole = log.make_update(base.NO_VERSION)


@when('a difference is cut short')
def step_cut(context):
    first, second = context.update.steps
    context.update = msgspec.structs.replace(
        context.update, steps=(first[:-4], second)
    )


@when('the last difference is left out')
def step_left_out(context):
    context.update = msgspec.structs.replace(
        context.update, steps=context.update.steps[:-1]
    )


@when('they start from another version')
def step_other_base(context):
    context.held = make_config(2)


@when('the whole bundle has another digest')
def step_other_digest(context):
    context.update = msgspec.structs.replace(context.whole, digest=b'x' * 32)


@then('they are refused with code {code:d}')
def step_refused(context, code):
    try:
        _versions.decode_update(context.update, context.held)
    except exceptions.BundleError as error:
        assert int(error.code) == code, error
        return
    raise AssertionError('accepted')


@given('{hosts:d} hosts of one data centre, {wide:d} of them with wide links')
def step_hosts(context, hosts, wide):
    context.rows = [
        make_row(f'h{number}', link_mbps=200 if number < wide else 10)
        for number in range(hosts)
    ]


@then('{relays:d} relays are chosen, among them all {wide:d} wide ones')
def step_chosen(context, relays, wide):
    chosen = _relay.choose_relays(context.rows)
    assert len(chosen) == relays
    assert sum(row.link_mbps == 200 for row in chosen) == wide
    assert chosen == _relay.choose_relays(context.rows[::-1])


class RelaySubject:
    """A mesh in which relays serve from a few hosts on."""

    def __init__(self, hosts: int, is_first_start: bool = False):
        self.fleet = testing.MeshFleet(
            mesh.MeshSettings(relay_from_hosts=RELAY_FROM_HOSTS),
            is_first_start=is_first_start,
        )
        for number in range(hosts):
            self.fleet.add_host(f'h{number}')
        self.fleet.configure(testing.make_document(1, [{}]))
        self.fleet.wait_ready()
        self.living = list(self.fleet.hosts.values())

    def find_relays(self) -> list[testing.MeshHost]:
        """Return the hosts that watch the store."""
        return [
            host
            for host in self.living
            if host.daemon.follower.is_watching_store
        ]

    def wait_relays(self, count: int) -> list[testing.MeshHost]:
        """Wait until so many hosts watch the store; return them."""
        self.fleet.wait_for(lambda: len(self.find_relays()) == count)
        return self.find_relays()


@given('a mesh of {hosts:d} hosts in which relays serve')
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


def note_readers(context) -> None:
    """Note how often each host has read the document, and the relays."""
    subject = context.relays
    context.reads = {
        host.name: host.daemon.source._config_watcher.reads
        for host in subject.living
    }
    context.relay_names = {host.name for host in subject.find_relays()}


@when(
    'the store cuts all connections for {seconds:g} s and forgets its history'
)
def step_reset_store(context, seconds):
    note_readers(context)
    engine = context.relays.fleet.engine
    engine.write('other', 'key', b'1')
    engine.faults.mode = testing.StoreMode.RESET
    engine.compact()
    time.sleep(seconds)
    engine.faults.mode = testing.StoreMode.SOUND
    engine.faults.slow_ms = 100


@when(
    'the store forgets its history {times:d} times, with a version after each'
)
def step_forget(context, times):
    subject = context.relays
    fleet = subject.fleet
    note_readers(context)
    # As a document takes over a link of 5 Mbit/s.
    fleet.engine.faults.slow_ms = 500
    for number in range(times):
        # Whoever watches from before this row is told to read again.
        fleet.engine.write('other', 'key', b'%d' % number)
        fleet.engine.compact()
        step_write(context, number + 2)
        step_version(context, number + 2)


@then('only the {count:d} relays have read the document since')
def step_only_relays(context, count):
    readers = {
        host.name
        for host in context.relays.living
        if host.daemon.source._config_watcher.reads > context.reads[host.name]
    }
    assert readers <= context.relay_names, (readers, context.relay_names)
    assert len(context.relay_names) == count, context.relay_names


@given('a relay that knows {count:d} members, and one who follows it')
def step_list(context, count):
    context.entries = [
        _members.MemberEntry(f'h{number}', number + 1, make_row(f'h{number}'))
        for number in range(count)
    ]
    update = _members.MemberUpdate(tuple(context.entries), count, True)
    context.logs = [_members.MemberLog() for _ in range(2)]
    for log in context.logs:
        log.merge(update)


@when('it reads the whole list again, with a member more and one less')
def step_list_again(context):
    revision = len(context.entries) + 5
    more = _members.MemberEntry('new', revision - 1, make_row('new'))
    entries = (*context.entries[1:], more)
    context.logs[0].merge(_members.MemberUpdate(entries, revision, True))


@then(
    'it tells the follower of these {count:d} only, and both know the same '
    'members'
)
def step_told(context, count):
    relay, follower = context.logs
    update = relay.make_update(follower.revision)
    assert not update.is_complete
    assert len(update.entries) == count, update.entries
    follower.merge(update)
    assert follower.list_members() == relay.list_members()
    assert 'h0' not in follower.list_members()


@then('all hosts have version {version:d}, and it was read whole by 2 hosts')
def step_read_by_two(context, version):
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
            for host in subject.living
        )
    )


@then('all hosts that live have version {version:d}')
def step_living(context, version):
    step_version(context, version)


@when('another host starts')
def step_join(context):
    context.relays.living.append(context.relays.fleet.add_host('h9'))


@then('all hosts know {count:d} members')
def step_know(context, count):
    context.relays.fleet.wait_ready(count)


@when('both relays are killed')
def step_kill(context):
    subject = context.relays
    for host in subject.wait_relays(2):
        subject.fleet.kill(host)
        subject.living.remove(host)


@when('both relays stand still')
def step_freeze(context):
    subject = context.relays
    for host in subject.wait_relays(2):
        poll_handler = host.daemon.inbound.poll_handler
        poll_handler.answer = _stand_still
        host.daemon.follower.source.set_watching(False)
        subject.living.remove(host)


async def _stand_still(_request):
    await asyncio.sleep(3600)


@when('both relays lose the store')
def step_lose_store(context):
    subject = context.relays
    for host in subject.wait_relays(2):
        source = host.daemon.source
        for watcher in (source._config_watcher, source._member_watcher):
            watcher.table = LostTable()
        subject.living.remove(host)


class LostTable:
    """A table whose store is away."""

    async def list_rows(self, start='', end=''):
        raise exceptions.PlatformError(exceptions.Code.PLATFORM_DOWN)

    async def watch(self, after, wait_ms):
        threading.Event().wait(0.05)
        raise exceptions.PlatformError(exceptions.Code.PLATFORM_DOWN)


@when('the differences that the relays keep are damaged')
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


@when('a daemon has refused a difference, and got its version elsewhere')
def step_refused_elsewhere(context):
    subject = context.relays
    relays = subject.wait_relays(2)
    context.follower = next(
        host for host in subject.living if host not in relays
    )
    context.asked = []
    for host in relays:
        log = host.daemon.source.versions

        def make_update(version, find=log.make_update):
            context.asked.append(version)
            return find(version)

        log.make_update = make_update
    # The version that was asked for whole is held already.
    context.follower.daemon.follower._needs_whole = True


@then('it holds its next polls, and asks for no whole version again')
def step_polls_held(context):
    subject = context.relays
    subject.fleet.wait_for(lambda: base.NO_VERSION in context.asked)
    subject.fleet.wait_for(
        lambda: not context.follower.daemon.follower._needs_whole
    )
    # Two polls that are under way may still ask for it.
    subject.fleet.wait_for(lambda: len(context.asked) > 20)
    assert context.asked.count(base.NO_VERSION) <= 4, context.asked


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


@then('it was asked {most:d} times at the most')
def step_asked(context, most):
    # 5 daemons, one call in 0.1 s at first and in 0.5 to 2 s later.
    assert 5 <= context.refused <= most, context.refused


@given('a mesh of {hosts:d} hosts that all start for the first time')
def step_first_start(context, hosts):
    context.relays = RelaySubject(hosts, is_first_start=True)
    context.cleanups.append(context.relays.fleet.stop)


@then('{count:d} hosts have read the document in the store')
def step_readers(context, count):
    readers = [
        host.name
        for host in context.relays.living
        if host.daemon.source._config_watcher.reads
    ]
    assert len(readers) == count, readers


@then('the store was written {count:d} times')
def step_written(context, count):
    engine = context.relays.fleet.engine
    assert engine.stats.writes == count, engine.stats

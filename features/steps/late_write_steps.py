"""Steps for writes that the store executes after their answer was lost."""

import asyncio
import random
import types

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _departures
from sedgering.mesh import _members
from sedgering.mesh import _messages
from sedgering.mesh import _rollout_log
from sedgering.mesh import _row_writer
from sedgering.mesh import _version_record
from sedgering.mesh import _watch
from sedgering import rollout
from sedgering import storage
from sedgering import testing

HOST = base.HostId('hall')
SET = base.TargetSetName('calendar')
EXAMPLES = 200
#: Rounds of the event loop after which a writer has nothing left to do.
ROUNDS = 12
UNKNOWN = storage.Outcome(
    storage.OutcomeKind.UNKNOWN, exceptions.Code.PLATFORM_UNKNOWN
)


class LossyTable(storage.WatchedTable):
    """A table of one row whose writes may be lost and done later."""

    def __init__(self):
        self.row = storage.Row(HOST)
        self.revision = 0
        self.writes = 0
        self.loses = False
        self.late: list[storage.Transaction] = []

    async def read(self, keys):
        return (self.row,)

    async def transact(self, transaction):
        if self.loses:
            self.late.append(transaction)
            return UNKNOWN
        if not self.apply(transaction):
            code = exceptions.Code.PLATFORM_CONFLICT
            return storage.Outcome(storage.OutcomeKind.NOT_DONE, code)
        return storage.Outcome(
            storage.OutcomeKind.DONE, revision=self.revision
        )

    def apply(self, transaction) -> bool:
        """Do a write if its condition holds."""
        (condition,) = transaction.conditions
        if condition.revision != self.row.revision:
            return False
        self.put(transaction.puts[0].value)
        return True

    def put(self, value: bytes) -> None:
        """Write the row."""
        self.writes += 1
        self.revision += 1
        self.row = storage.Row(HOST, self.revision, value)

    def apply_late(self) -> None:
        """Do the lost writes whose condition still holds."""
        late, self.late = self.late, []
        for transaction in late:
            self.apply(transaction)

    async def list_rows(self, start='', end=''):
        raise NotImplementedError

    async def watch(self, after, wait_ms):
        raise NotImplementedError


class Daemon:
    """The row writers of one daemon and of its next processes."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.table = LossyTable()
        self.desired = 'A'
        self.task = None
        self.start()

    def start(self) -> None:
        """Start the next process; it reads its row."""
        if self.task is not None:
            self.task.cancel()
        self.recovery = _watch.StoreRecovery()
        self.writer = _row_writer.MemberRowWriter(
            self.table, HOST, self.recovery
        )
        self.task = self.loop.create_task(self.writer.run())
        self.want(self.desired)

    def want(self, name: str) -> None:
        """Set the row that the daemon publishes, and let it work."""
        self.desired = name
        self.writer.set_row(make_row(name))
        self.work()

    def work(self) -> None:
        """Run the event loop; failed calls are repeated without a pause."""

        async def wait():
            for _round in range(ROUNDS):
                self.recovery.notify()
                await asyncio.sleep(0)

        self.loop.run_until_complete(wait())

    def tell(self) -> None:
        """Tell the daemon of its row, as the watch of the members does."""
        row = self.table.row
        decoded = _members.decode_row(HOST, row.value) if row.value else None
        entry = _members.MemberEntry(HOST, row.revision, decoded)
        self.writer.check_stored_row(entry, self.table.revision)
        self.work()

    def read_name(self) -> str:
        """Return the name of the stored row."""
        return _members.decode_row(HOST, self.table.row.value).target

    def close(self) -> None:
        """End the process."""
        self.task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


def make_row(name: str):
    """Make the row of a daemon; rows differ by their targets."""
    return testing.make_member_row(HOST, target=name)


@given('a daemon whose row is A')
def step_daemon(context):
    context.daemon = Daemon()
    context.add_cleanup(context.daemon.close)
    assert context.daemon.read_name() == 'A'


@when('its write of B is lost, and the {process} process wants A')
def step_lost(context, process):
    daemon = context.daemon
    daemon.table.loses = True
    daemon.want('B')
    daemon.table.loses = False
    daemon.desired = 'A'
    if process == 'next':
        daemon.start()
    else:
        daemon.want('A')


@when('the lost writes take effect')
def step_late(context):
    assert context.daemon.table.late
    context.daemon.table.apply_late()


@when('another writer writes B, and the daemon is told')
def step_other_writer(context):
    daemon = context.daemon
    daemon.table.put(_row_writer._encode(make_row('B')))
    daemon.tell()


@when('the next process wants A, three times')
def step_again(context):
    context.daemon.start()
    for _time in range(2):
        context.daemon.want('A')


@then('the row is A')
def step_row(context):
    assert context.daemon.read_name() == 'A'


@then('the row was written {count:d} times')
def step_writes(context, count):
    assert context.daemon.table.writes == count, context.daemon.table.writes


@then('the row is what the last process wants, whatever happened before')
def step_any_order(context):
    moves = st.sampled_from(
        ['A', 'B', 'C', 'lose', 'answer', 'late', 'restart', 'tell']
    )

    @hypothesis.settings(
        max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(st.lists(moves, max_size=25))
    def check(found):
        daemon = Daemon()
        for move in found:
            if move in ('lose', 'answer'):
                daemon.table.loses = move == 'lose'
            elif move == 'late':
                daemon.table.apply_late()
            elif move == 'restart':
                daemon.start()
            elif move == 'tell':
                daemon.tell()
            else:
                daemon.want(move)
        daemon.table.loses = False
        daemon.work()
        daemon.table.apply_late()
        name = daemon.read_name()
        daemon.close()
        assert name == daemon.desired, (name, daemon.desired)

    check()


# The record of the version in use.


class LossyRolloutStore:
    """Rows of rollouts whose writes may be lost and done later."""

    def __init__(self):
        self.revision = 10
        self.rows: dict[str, tuple[int, rollout.Rollout]] = {}
        self.loses = False
        self.late: list = []

    async def record(self, rows):
        if self.loses:
            self.late.append(rows)
            return UNKNOWN
        if not self.apply(rows):
            code = exceptions.Code.PLATFORM_CONFLICT
            return storage.Outcome(storage.OutcomeKind.NOT_DONE, code)
        return storage.Outcome(
            storage.OutcomeKind.DONE, revision=self.revision
        )

    def apply(self, rows) -> bool:
        """Write rows if all are at the expected revisions."""
        for row, revision in rows:
            found, _row = self.rows.get(row.target_set, (0, None))
            if found != revision:
                return False
        self.revision += 1
        for row, _revision in rows:
            self.rows[row.target_set] = self.revision, row
        return True


class RecorderSource:
    """What the recorder uses of a `MeshSource`."""

    def __init__(self, loop):
        self.loop = types.SimpleNamespace(time=lambda: self.now_s)
        self.now_s = 0.0
        self.is_watching = True
        self.versions = types.SimpleNamespace(newest=object())
        self.rollouts = _rollout_log.RolloutLog()
        self.rollouts.is_known = True
        self.rollout_store = LossyRolloutStore()
        self.awaited = frozenset()

    def set_awaited_rollouts(self, names):
        self.awaited = names

    def merge_rollouts(self, update):
        self.rollouts.merge(update)


@given('targets of v1 that are recorded as in use, and leave for long')
def step_recorded(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    source = context.source = RecorderSource(context.loop)
    context.versions = {'v1': 2, 'v2': 1}
    fleet = types.SimpleNamespace(
        count_versions=lambda: {SET: dict(context.versions)}
    )
    turns = types.SimpleNamespace(
        is_own=lambda *_task: True, clear=lambda: None
    )
    context.recorder = _version_record.VersionRecorder(fleet, source, turns)
    record(context)
    assert source.rollouts.find_entry(SET).rollout.new == 'v1'
    context.versions = {'v2': 1}
    record(context)
    source.now_s += _version_record.SETTLE_S


@when('the record of v2 is lost, and the targets of v1 return')
def step_record_lost(context):
    store = context.source.rollout_store
    store.loses = True
    record(context)
    store.loses = False
    assert store.late
    context.versions = {'v1': 2, 'v2': 1}
    record(context)


@when('the lost record takes effect')
def step_record_late(context):
    store = context.source.rollout_store
    for rows in store.late:
        store.apply(rows)


@then('v1 is in use')
def step_in_use(context):
    _revision, row = context.source.rollout_store.rows[SET]
    assert row.final_version == 'v1', row


def record(context):
    """Let the recorder look once at what is to be recorded."""
    context.loop.run_until_complete(context.recorder.record_due())


# Departures that only other daemons hold.


@given('a daemon without the store whose peers answer once')
def step_witnesses(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    answers = [types.SimpleNamespace(status=_departures.STATUS_OK)]

    async def ask(_data, _detail):
        return answers.pop() if answers else None

    other = testing.make_member_row('other')
    context.departures = _departures.Departures(
        HOST,
        types.SimpleNamespace(is_superseded=lambda _lifetime: False),
        types.SimpleNamespace(stored_row=None),
        types.SimpleNamespace(members={'other': other}),
        types.SimpleNamespace(
            find=lambda _row: types.SimpleNamespace(ask=ask)
        ),
        random.Random(1),
        lambda report: report,
        context.loop.create_task,
    )


@then('it holds a departure the first time, and not the second time')
def step_witnessed_once(context):
    row = testing.make_member_row(HOST, state=_messages.TargetState.GONE)
    for is_held in (True, False):
        hold = context.departures.hold(row.lifetime, row)
        assert context.loop.run_until_complete(hold) is is_held

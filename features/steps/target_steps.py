"""Steps for lifetimes of targets and for rows of other writers."""

import asyncio
import time

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import msgspec

from sedgering import base
from sedgering import mesh
from sedgering.mesh import _gate
from sedgering.mesh import _members
from sedgering.mesh import _relay
from sedgering.mesh import _rollout_log
from sedgering import rollout
from sedgering import testing

SET = base.TargetSetName('calendar')
ROUTE = base.RouteName('calendar')
TARGET = base.TargetName('i-1')
#: Time within which a call of an ended lifetime must be answered; the work
#: takes several times as long.
AT_ONCE_S = 1.5
EXAMPLES = 500


class LifetimeSubject:
    """A local target that gets the lines of a table as messages."""

    def __init__(self):
        self.target = mesh.LocalTarget()

    def process(self, line: str) -> None:
        """Process a line such as ``ready 40 born 10``."""
        words, _mark, born = line.partition(' born ')
        kind, _space, sequence = words.partition(' ')
        if kind == 'leaving':
            self._take_report('ready', 2, born)
            self.target.leave(mesh.Lifetime(TARGET, int(born)))
        elif kind == 'down':
            self._take_report('ready', sequence, born)
            self.target.mark_crashed(mesh.Lifetime(TARGET, int(born)))
        elif kind == 'forgotten':
            self._take_report('ready', 2, born)
            self.target.discard()
        else:
            self._take_report(kind, sequence, born)

    def move(self, kind, lifetime, counter) -> set[mesh.Lifetime]:
        """Process a message; return the lifetimes that it ends."""
        before = self.target.lifetime
        ended = set()
        if kind == 'leave':
            self.target.leave(lifetime)
            ended.add(lifetime)
        elif kind == 'misdirected':
            self.target.discard()
        elif kind == 'probed':
            self.target.resolve_conflict(lifetime.target, 0.0)
        else:
            report = make_report(kind, counter, lifetime)
            self.target.take_report(report, 0.0)
            if kind == 'draining' and self.target.report is report:
                ended.add(lifetime)
        if before is not None and before != self.target.lifetime:
            ended.add(before)
        return ended

    def _take_report(self, state, sequence, born) -> None:
        lifetime = mesh.Lifetime(TARGET, int(born))
        report = make_report(state, int(sequence), lifetime)
        self.target.take_report(report, 0.0)


def make_report(state, sequence, lifetime) -> mesh.TargetReport:
    """Make a report of a lifetime."""
    return mesh.TargetReport(
        lifetime.target,
        SET,
        2,
        mesh.TargetState(state),
        0,
        sequence,
        lifetime.born_ms,
    )


@given('a target whose lifetime reported {first} born {born:d}')
def step_first(context, first, born):
    context.subject = LifetimeSubject()
    context.subject.process(f'{first} born {born}')


@when('the target then sends {second} born {born:d}')
def step_second(context, second, born):
    if second == 'leaving':
        lifetime = mesh.Lifetime(TARGET, born)
        context.subject.target.leave(lifetime)
    else:
        context.subject.process(f'{second} born {born}')


@then('the target is {state} in the lifetime born at {born:d}')
def step_state(context, state, born):
    target = context.subject.target
    assert target.is_open == (state == 'open'), target.report
    found = target.report.born_ms if target.report else 0
    assert found == born, target.report
    assert (target.report is None) == (state == 'none')


@then('no order of reports and deregistrations opens an ended lifetime')
def step_any_order(context):
    lifetimes = st.builds(
        mesh.Lifetime,
        st.sampled_from(['i-1', 'i-2']),
        st.integers(1, 3),
    )
    kinds = ('ready', 'draining', 'leave', 'misdirected', 'probed')
    moves = st.tuples(st.sampled_from(kinds), lifetimes, st.integers(0, 5))

    @hypothesis.settings(
        max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(st.lists(moves, max_size=30))
    def check(sequence):
        subject = LifetimeSubject()
        ended: set[mesh.Lifetime] = set()
        for kind, lifetime, counter in sequence:
            ended |= subject.move(kind, lifetime, counter)
            present = subject.target.lifetime
            if subject.target.is_open:
                assert not [
                    item
                    for item in ended
                    if item == present or present.is_before(item)
                ], sequence

    check()


@given('a target beside which another one, born at {born:d}, reported late')
def step_rival(context, born):
    context.subject = LifetimeSubject()
    context.subject.process('ready 5 born 1')
    other = mesh.Lifetime(base.TargetName('i-2'), born)
    report = make_report('ready', 7, other)
    assert not context.subject.target.take_report(report, 0.0)


@when('that one starts again, born at {born:d}, before it is asked who it is')
def step_rival_again(context, born):
    other = mesh.Lifetime(base.TargetName('i-2'), born)
    target = context.subject.target
    target.take_report(make_report('ready', 1, other), 0.0)
    target.resolve_conflict(other.target, 0.0)


@when('that one {leaves} before it is asked who it is')
def step_rival_leaves(context, leaves):
    context.rival = mesh.Lifetime(base.TargetName('i-2'), 10)
    target = context.subject.target
    if leaves == 'deregisters':
        target.leave(context.rival)
    else:
        target.take_report(make_report('draining', 8, context.rival), 0.0)


@then('the departure of that one waits for the answer')
def step_rival_waits(context):
    target = context.subject.target
    assert target.is_open
    assert not target.is_superseded(context.rival)


@when('the {which} id is there')
def step_rival_answers(context, which):
    present = {'same': TARGET, 'other': context.rival.target}[which]
    context.subject.target.resolve_conflict(present, 0.0)


@then('the gate is {state}, and the departure waits no more')
def step_rival_gone(context, state):
    target = context.subject.target
    assert target.is_open is (state == 'open'), target.report
    assert target.is_superseded(context.rival) is target.is_open
    assert (target.target == context.rival.target) is not target.is_open


@when('another id reports itself for the first time, born at {born:d}')
def step_other_first(context, born):
    other = mesh.Lifetime(base.TargetName('i-2'), born)
    report = make_report('ready', 1, other)
    context.subject.target.take_report(report, 0.0)


@then('the {which} id is taken for the target beside the daemon')
def step_which_taken(context, which):
    target = context.subject.target
    assert target.is_open
    assert target.target == {'same': TARGET, 'other': 'i-2'}[which]
    # The other id is checked where it is not accepted.
    assert (target.conflicting_report is not None) == (which == 'same')


@given('a daemon that has learned about a target born at {born:d}')
def step_learned(context, born):
    context.fleet = mesh.FleetTable()
    context.peers = mesh.PeerTable(mesh.MeshSettings())
    row = testing.make_member_row('near', born_ms=born)
    context.fleet.replace({row.host: row})
    peer = context.peers.find(row)
    load = mesh.LoadReport(2, 2, 1, 900, 900)
    context.peers.record_report(peer, load, ROUTE, 0.0)
    peer.close(0.0, mesh.RefusalReason.LEAVING)
    peer.fail(0.0, 'test')
    context.old = peer


@when('the row of its host names the same target born at {born:d}')
def step_row_again(context, born):
    row = testing.make_member_row('near', born_ms=born, cold_ms=3000)
    context.started = context.fleet.replace({row.host: row})
    context.row = row


@then('it is cold, its load and work times are not known, and it is open')
def step_new_peer(context):
    assert context.started == [context.row], context.started
    peer = context.peers.find(context.row)
    assert peer is not context.old
    assert peer.report is None
    assert not peer.closed_until_s and not peer.suspect_until_s
    assert peer.estimate_work_ms(ROUTE, 100.0, 0.0) == 100.0


@then('the connections to its daemon are kept')
def step_pool_kept(context):
    assert context.peers.find(context.row).pool is context.old.pool


@given('a member table that has a target born at {born:d}')
def step_table(context, born):
    context.fleet = mesh.FleetTable()
    step_stored(context, born)


@when("the store's row of it is written again, born at {born:d}")
def step_stored(context, born):
    row = testing.make_member_row('near', born_ms=born)
    context.fleet.replace({row.host: row})


@when('a daemon reports the same target born at {born:d}')
def step_reported(context, born):
    row = testing.make_member_row('near', born_ms=born)
    context.fleet.apply_reported_row(row)


@then('the member table has it born at {born:d}')
def step_table_has(context, born):
    row = context.fleet.members['near']
    assert row.born_ms == born, row
    assert context.fleet.ready_by_set[SET] == (row,)


@then('a member row without the start of its target is decoded')
def step_old_row(context):
    row = testing.make_member_row('near')
    fields = msgspec.to_builtins(row)
    del fields['born_ms']
    found = msgspec.json.decode(msgspec.json.encode(fields), type=type(row))
    assert found == row and found.born_ms == 0


@then('the row of a target born at {born:d} keeps that on its way to others')
def step_row_way(context, born):
    row = testing.make_member_row('near', born_ms=born)
    entry = _members.MemberEntry(row.host, 7, row)
    update = _relay.RelayUpdate(
        True, 7, None, _members.MemberUpdate((entry,), 7, True)
    )
    found = _relay.decode_relay_update(_relay.encode_relay_update(update))
    assert found == update


@given('a gate that has learned of a slow target that refuses calls')
def step_gate_learned(context):
    gate = mesh.Gate(mesh.MeshSettings(), lambda: 0.0)
    gate.open(12)
    ticket = mesh.Ticket(ROUTE, 1, mesh.CallUrgency.FIRST, 9.0, 9.0)
    for result in (_gate.CallResult.DONE, _gate.CallResult.REFUSED):
        for _ in range(20):
            gate.running += 1
            gate.leave(ticket, result, 900.0)
    report = gate.make_report(ROUTE)
    assert report.failed_percent > 0, report
    assert report.work_ms > 800, report
    context.gate = gate


@when('its target starts again')
def step_gate_renewed(context):
    context.gate.reset_statistics()


@then('its work times and failures are those of a new target')
def step_gate_new(context):
    new = mesh.Gate(mesh.MeshSettings(), lambda: 0.0)
    new.open(12)
    assert context.gate.make_report(ROUTE) == new.make_report(ROUTE)


@given(
    'the target of the first host said "{state}" in a lifetime born at'
    ' {born:d}'
)
def step_said_born(context, state, born):
    subject = context.mesh
    subject.first.born_ms = born
    subject.first.sequence = 40
    assert subject.fleet.report(subject.first, state) == 200


@when('it starts again, born at {born:d}, and says "{state}"')
def step_starts_again(context, state, born):
    subject = context.mesh
    subject.first.born_ms = born
    subject.first.sequence = 0
    assert subject.fleet.report(subject.first, state) == 200


@when('a deregistration of the lifetime born at {born:d} arrives late')
def step_late_deregistration(context, born):
    subject = context.mesh
    living, subject.first.born_ms = subject.first.born_ms, born
    assert subject.fleet.deregister(subject.first) == 200
    subject.first.born_ms = living


@then('all daemons have a row of a target born at {born:d}')
def step_rows_born(context, born):
    subject = context.mesh

    def is_known():
        rows = [
            host.daemon.state.fleet.members.get(subject.first.name)
            for host in subject.fleet.hosts.values()
        ]
        return all(row and row.born_ms == born for row in rows)

    subject.fleet.wait_for(is_known)


@given('only the first host has a target')
def step_only_first(context):
    subject = context.mesh
    subject.configure(
        {'timeout': '9000ms', 'prefix': '/slow/', 'name': 'slow'}
    )
    assert subject.fleet.report(subject.second, 'draining') == 200


@when('{count:d} callers ask "{path}", and all places of the target are taken')
def step_callers(context, count, path):
    subject = context.mesh
    port = subject.first.addresses.callers_port

    async def start():
        return [
            asyncio.ensure_future(
                subject.fleet.start_call(
                    port,
                    path,
                    X_Request_Id=f'{number}',
                    X_Request_Deadline='9000',
                )
            )
            for number in range(count)
        ]

    context.calls = subject.fleet.run(start())
    subject.fleet.wait_for(lambda: subject.first.books.running == count)


@then('the {count:d} calls of the earlier lifetime end at once')
def step_calls_end(context, count):
    async def wait():
        return await asyncio.wait(context.calls, timeout=AT_ONCE_S)

    done, pending = context.mesh.fleet.run(wait())
    assert len(done) == count, pending


@when('it says "{state}" once more')
def step_reports_again(context, state):
    assert context.mesh.fleet.report(context.mesh.first, state) == 200


@then('the {count:d} calls are answered {status:d}')
def step_calls_answered(context, count, status):
    async def wait():
        return [await call for call in context.calls]

    answers = context.mesh.fleet.run(wait())
    assert [item.status for item in answers] == [status] * count, answers


@given('its daemon has learned that its work takes {work_ms:d} ms')
def step_learned_work(context, work_ms):
    gate = context.mesh.first.daemon.state.target_client.gate
    for _ in range(20):
        gate.work.note(ROUTE, work_ms)


@when('another target answers at its address')
def step_other_answers(context):
    subject = context.mesh

    async def discard():
        target_client = subject.first.daemon.state.target_client
        target_client.target.discard()
        target_client.refresh_gate()

    subject.fleet.run(discard())


@then('its daemon does not know how long its work takes')
def step_work_unknown(context):
    gate = context.mesh.first.daemon.state.target_client.gate
    assert gate.work.find_reported_ms(ROUTE) == 0, gate.work.find_reported_ms(
        ROUTE
    )


@then('no place of the target is taken')
def step_no_place(context):
    gate = context.mesh.first.daemon.state.target_client.gate
    context.mesh.fleet.wait_for(lambda: not gate.running)


@when('it reports its start for the first time')
def step_reports_start(context):
    host = context.mesh.first
    assert host.born_ms == 0, host.born_ms
    host.born_ms = 10
    assert context.mesh.fleet.report(host) == 200


@then('no request is suspected of a crash')
def step_none_suspected(context):
    for host in context.mesh.fleet.hosts.values():
        assert not len(host.daemon.state.crashes)
        assert not host.daemon.state.target_client.watch.records


@given('two hosts with targets, and the store unavailable')
def step_store_unavailable(context):
    fleet = context.fleet = testing.MeshFleet()
    context.cleanups.append(fleet.stop)
    fleet.configure(testing.make_document(1, [{}]))
    context.hosts = [fleet.add_host(name) for name in ('h1', 'h2')]
    fleet.wait_ready()
    fleet.engine.faults.mode = testing.StoreMode.RESET


@when('the second target deregisters, and its daemon restarts')
def step_deregister(context):
    second = context.hosts[1]
    second.books.is_leaving = True
    context.fleet.deregister(second)
    assert not second.daemon.state.target_client.gate.is_open
    context.fleet.restart(second)


@when('the daemon of the second target restarts')
def step_start_again(context):
    context.fleet.restart(context.hosts[1])


@when('the store is back, and that daemon knows the rows')
def step_store_back(context):
    context.fleet.engine.faults.mode = testing.StoreMode.SOUND
    daemon = context.hosts[1].daemon
    context.fleet.wait_for(lambda: daemon.is_ready)


@when('two reports of that target arrive')
def step_two_reports(context):
    context.fleet.report(context.hosts[1])
    context.fleet.report(context.hosts[1])


@then('the gate before it opens')
def step_gate_opens(context):
    target_client = context.hosts[1].daemon.state.target_client
    context.fleet.wait_for(lambda: target_client.gate.is_open)


@when('a late report of that target arrives')
def step_late_report(context):
    context.fleet.report(context.hosts[1])


@then('the gate before it stays closed')
def step_gate_closed(context):
    target_client = context.hosts[1].daemon.state.target_client
    end_s = time.monotonic() + AT_ONCE_S
    while time.monotonic() < end_s:
        assert not target_client.gate.is_open, target_client.target.report
        time.sleep(0.01)


@then('the same targets get calls, however the rows have changed before')
def step_same_index(context):
    """Compare a table that gets each change with a new one.

    Hosts share addresses, change their sets, versions and states, and leave.
    """
    change = st.builds(
        dict,
        host=st.sampled_from('abcde'),
        port=st.integers(1, 4),
        target_set=st.sampled_from(('calendar', 'ledger')),
        version=st.sampled_from(('v1', 'v2')),
        target=st.sampled_from(('i-1', 'i-2')),
        state=st.sampled_from(
            (mesh.TargetState.READY, mesh.TargetState.DRAINING)
        ),
    )
    moves = st.lists(st.one_of(change, st.sampled_from('abcde')), max_size=30)

    @hypothesis.settings(
        max_examples=400, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(moves)
    def check(steps):
        table = _make_rollout_table()
        members = {}
        for step in steps:
            # The row written last is at the end.
            host = step if isinstance(step, str) else step['host']
            members = {
                name: row for name, row in members.items() if name != host
            }
            if not isinstance(step, str):
                members[host] = testing.make_member_row(**step)
            table.replace(members)
            fresh = _make_rollout_table()
            fresh.replace(members)
            assert table.ready_by_set == fresh.ready_by_set, steps
            assert table.trials == fresh.trials, steps

    check()


def _make_rollout_table() -> mesh.FleetTable:
    """Make a table with a version on trial in one of two sets."""
    table = mesh.FleetTable()
    table.rollouts = _rollout_log.RolloutLog()
    order = rollout.Order(SET, base.SoftwareVersion('v2'), 9000, 7)
    row = rollout.Rollout(SET, 'v1', 'v2', 7, rollout.Stage.TRIAL, 0, 0)
    entry = _rollout_log.RolloutEntry(8, row)
    table.rollouts.merge(_rollout_log.RolloutUpdate((order,), (entry,)))
    return table

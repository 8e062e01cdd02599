"""Steps for the version in use: its record, and daemons that are away."""

import collections

from behave import given
from behave import then
from behave import when
import rollout_subject

from sedgering import base
from sedgering import mesh
from sedgering import rollout

SET = rollout_subject.SET

_Stage = rollout.Stage

#: Rows of the target set by the words of the scenarios.
ROWS = {
    'no row': None,
    'v1 in use': rollout.make_record(SET, base.SoftwareVersion('v1')),
    'v2 on trial': rollout.Rollout(SET, 'v1', 'v2', 5, _Stage.TRIAL),
    'v2 rolled back': rollout.Rollout(SET, 'v1', 'v2', 5, _Stage.ROLLED_BACK),
    'v1 after a move': rollout.Rollout(SET, 'v0', 'v1', 5, _Stage.SUCCEEDED),
}


def list_versions(text: str) -> list[str]:
    """Return the versions that a step names."""
    words = [word for word in text.split() if word != 'none']
    return ['' if word == 'empty' else word for word in words]


@given('a target set with {row}, and {order}')
def step_set(context, row, order):
    context.row = ROWS[row]
    version = order.removeprefix('an order of ')
    context.order = None
    if version != order:
        context.order = rollout.Order(
            SET, base.SoftwareVersion(version), 10_000, 7
        )


@when('its targets have the versions {versions}')
def step_versions(context, versions):
    context.choice = rollout.choose_record(
        context.row,
        context.order,
        collections.Counter(list_versions(versions)),
    )


@then('{recorded} is recorded, {when}')
def step_recorded(context, recorded, when):
    choice = context.choice
    if recorded == 'nothing':
        assert choice is None, choice
        return
    assert choice.version == recorded, choice
    assert choice.is_certain == (when == 'at once'), choice


@then('the record of v2 in its place is based on the same order')
def step_same_order(context):
    record = rollout.make_record(SET, base.SoftwareVersion('v2'), context.row)
    assert record.order_revision == context.row.order_revision
    assert record.final_version == 'v2'


@then('only targets of {version} get calls')
def step_only(context, version):
    permits = rollout.make_permits(
        context.row, context.order, base.SoftwareVersion('v2')
    )
    versions = ('v0', 'v1', 'v2', rollout.UNKNOWN_VERSION)
    assert [item for item in versions if permits.may_send(item)] == [version]
    assert [item for item in versions if permits.may_run(item)] == [version]


# Whole fleets.


@given('a fleet with {count:d} calendar targets of the version v2')
def step_fleet_of_new(context, count):
    context.subject = rollout_subject.RolloutFleet(count, 'v2')
    context.cleanups.append(context.subject.fleet.stop)
    wait_for_record(context.subject)


@given('{count:d} hosts whose callers send the calls')
def step_callers(context, count):
    context.subject.add_callers(count)
    wait_for_record(context.subject)


def wait_for_record(subject) -> None:
    """Wait until all daemons know the version in use."""
    subject.fleet.wait_for(
        lambda: all(
            host.daemon.source.rollouts.find_entry(SET)
            for host in subject.fleet.hosts.values()
        )
    )


def order(context) -> None:
    """Order the version v2."""
    context.subject.fleet.order_rollout('calendar', 'v2', 7000)


@when('the daemons beside {version} are {ended}, and v2 is ordered {ordered}')
def step_end_and_order(context, version, ended, ordered):
    context.ended = context.subject.list_hosts(version)
    if ordered == 'before that':
        order(context)
    context.subject.end_daemons(context.ended, ended)
    if ordered != 'before that':
        order(context)


@when('all daemons of the set are {ended}, and v2 is ordered after that')
def step_end_all_and_order(context, ended):
    subject = context.subject
    context.ended = subject.list_hosts('v2') + subject.list_hosts('v1')
    subject.end_daemons(context.ended, ended)
    order(context)


@when('the daemons beside v1 are told to leave')
def step_old_leave(context):
    subject = context.subject
    subject.end_daemons(subject.list_hosts('v1'), 'told to leave')


@when('these daemons start again')
def step_start_again(context):
    context.subject.start_daemons(context.ended)


@when('these daemons start again, those of v2 first')
def step_start_new_first(context):
    subject = context.subject
    new = subject.list_hosts('v2')
    subject.start_daemons(new)
    subject.ask_until(lambda: False, 1)
    subject.start_daemons([item for item in context.ended if item not in new])


@when('a target of the version v2 joins that has not reported yet')
def step_join_unreported(context):
    fleet = context.subject.fleet
    fleet.add_host('new-0', version='v2', is_reporting=False)
    fleet.wait_ready()


@when('a host loses power, and its next target has not reported yet')
def step_lose_power(context):
    subject = context.subject
    host = context.host = subject.list_hosts('v1')[0]
    subject.fleet.kill(host)
    host.books.target = 'i-next'
    host.books.runs.clear()
    subject.fleet.run(subject.fleet.start_daemon(host))
    subject.fleet.wait_ready()


@then('this target got calls')
def step_target_called(context):
    assert context.host.books.runs


@then('the version v2 got no calls')
def step_no_calls(context):
    runs = context.subject.count_runs('v2')
    assert runs == 0, runs


@when('v2 is ordered for them')
def step_order(context):
    order(context)


@then('the rollout has succeeded without a trial')
def step_succeeded(context):
    fleet = context.subject.fleet
    fleet.wait_for(lambda: fleet.read_rollout('calendar') == 'succeeded')
    host = next(iter(fleet.hosts.values()))
    fleet.wait_for(
        lambda: host.daemon.source.rollouts.find_new_order(SET) is None
    )
    entry = host.daemon.source.rollouts.find_entry(SET)
    assert entry.rollout.old == entry.rollout.new == 'v2', entry


@when('the daemon beside one of them is {ended}')
def step_one_ends(context, ended):
    subject = context.subject
    context.host = subject.list_hosts('v1')[0]
    first, _comma, then_again = ended.partition(', ')
    subject.end_daemons([context.host], first)
    if then_again:
        subject.fleet.run(subject.fleet.start_daemon(context.host))
        subject.end_daemons([context.host], 'told to leave')


@when('one of them ends, and the daemon beside it is told to leave')
def step_target_ends(context):
    subject = context.subject
    context.host = subject.list_hosts('v1')[0]
    context.host.target_server.close()
    context.host.books.reset_connections()
    subject.end_daemons([context.host], 'told to leave')


@then('its row tells that the target is {state}, of the version {version}')
def step_row(context, state, version):
    row = context.subject.fleet.read_member(context.host)
    assert row is not None
    assert row.state is mesh.TargetState(state), row
    assert row.version == version, row


@then('its row is removed')
def step_row_removed(context):
    assert context.subject.fleet.read_member(context.host) is None


@then('no other daemon counts it as a member')
def step_no_member(context):
    fleet = context.subject.fleet
    others = [item for item in fleet.hosts.values() if item != context.host]
    fleet.wait_for(
        lambda: all(
            context.host.name not in item.daemon.state.fleet.members
            for item in others
        )
    )

"""Steps for rollouts: permits, exposure, verdicts, and whole fleets."""

import asyncio
import collections
import random
import time

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import msgspec
import rollout_subject
import rollout_trial

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _evidence_hop
from sedgering.mesh import _evidence_log
from sedgering.mesh import _fleet
from sedgering.mesh import _rollout_driver
from sedgering.mesh import _rollout_log
from sedgering.platform import _rollouts
from sedgering import rollout
from sedgering import storage
from sedgering import testing

SET = base.TargetSetName('calendar')
ROUTE = base.RouteName('browse')
OTHER_ROUTE = base.RouteName('book')
EXAMPLES = 300
#: Calls at each of three new and eight old targets between two polls.
CALLS_PER_POLL = 12
POLLS = 12
#: Median and spread of the work time.
WORK_MS = 130
SPREAD = 0.8
#: Relative speeds of the targets of one set.
SPEEDS = (0.5, 1.0, 1.5)
SHARE = 0.1
#: Share of the new targets that are present.
PRESENT_SHARES = {
    '': 1.0,
    'half away': 0.5,
    'most away': 0.3,
    'all away': 0.0,
}
#: An event loop under load reads the clock late.
CLOCK_SLACK_MS = 1000


def list_versions(text: str) -> list[str]:
    """Return the versions that a step names."""
    words = [word for word in text.split() if word != 'none']
    return ['' if word == 'empty' else word for word in words]


def make_row(stage: str, stage_ms: int = 0) -> rollout.Rollout:
    """Make a rollout from v1 to v2."""
    return rollout.Rollout(
        SET, 'v1', 'v2', 7, rollout.Stage(stage), 0, stage_ms
    )


def make_order(revision: int = 7, duration_ms: int = 10_000) -> rollout.Order:
    """Make an order of v2."""
    return rollout.Order(
        SET, base.SoftwareVersion('v2'), duration_ms, revision
    )


@given('a rollout from v1 to v2 in the stage {stage}')
def step_stage(context, stage):
    context.permits = rollout.make_permits(
        make_row(stage), make_order(), base.SoftwareVersion('v1')
    )


@given('targets of the versions {versions}, and {order}')
def step_versions(context, versions, order):
    majority = rollout.find_majority(list_versions(versions))
    found = None if order == 'no order' else make_order()
    context.permits = rollout.make_permits(None, found, majority)


@then('calls go to {usual}, a share of them to {trial}')
def step_usual(context, usual, trial):
    permits = context.permits
    sent = [item for item in ('v1', 'v2', 'v3') if permits.may_send(item)]
    assert sent == [usual], sent
    assert permits.trial == (None if trial == 'none' else trial)


@then('the gates of {opened} are open, those of {closed} are not')
def step_gates(context, opened, closed):
    permits = context.permits
    for version in list_versions(opened):
        assert permits.may_run(version), version
    for version in list_versions(closed):
        assert not permits.may_run(version), version


# Exposure.


@then('no order of calls and answers exposes more than a tenth of them')
def step_exposure(context):
    @hypothesis.settings(
        max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from('aer'), st.sampled_from((ROUTE, OTHER_ROUTE))
            ),
            max_size=200,
        )
    )
    def check(moves):
        quota = rollout.ExposureQuota(SHARE)
        quota.retain([(SET, 7)])
        sent, exposed = 0, collections.Counter()
        for move, route in moves:
            if move == 'a':
                quota.note_arrival(SET, route)
                sent += 1
            elif move == 'e' and quota.may_expose(SET, route):
                quota.note_exposed(SET, route, 1)
                exposed[route] += 1
            elif move == 'r' and exposed[route]:
                quota.note_exposed(SET, route, -1)
                exposed[route] -= 1
            quota.retain([(SET, 7)])
            total = exposed.total()
            assert total <= SHARE * (sent + total), moves

    check()
    assert not rollout.ExposureQuota(SHARE).may_expose(SET, ROUTE)


@then(
    'of {new:d} new targets beside {old:d} old ones {count:d} {verb} on '
    'trial, in any order'
)
def step_exposed(context, new, old, count, verb):
    hosts = [base.HostId(f'host-{number}') for number in range(new)]
    found = rollout.choose_exposed(hosts, old)
    assert len(found) == count, found
    assert found == rollout.choose_exposed(hosts[::-1], old)


# Verdicts.


class Version:
    """Draws the results of calls to the targets of one version.

    Parameters
    ----------
    kind : str
        Kind of version, as in the scenario.
    rng : random.Random
        Source of random numbers.
    """

    def __init__(self, kind: str, rng: random.Random):
        self.kind = kind
        self.rng = rng

    def note(self, evidence: rollout.Evidence, number: int, poll: int):
        """Draw the result of one call to one target."""
        rng = self.rng
        route = ROUTE if rng.random() < 0.6 else OTHER_ROUTE
        work_ms = WORK_MS * rng.lognormvariate(0, SPREAD)
        work_ms /= SPEEDS[number % len(SPEEDS)]
        fails = rng.random() < 0.004
        if self.kind == 'twice as slow':
            work_ms *= 2 * SPEEDS[number % len(SPEEDS)]
        elif self.kind == 'failing like the old ones':
            fails = rng.random() < 0.2
        elif self.kind == 'bad at one of three targets':
            fails = fails or (number == 0 and rng.random() < 0.5)
        elif self.kind == 'failing by half':
            fails = fails or rng.random() < 0.5
        elif self.kind == 'failing by a third':
            fails = fails or rng.random() < 0.36
        elif self.kind == 'eight times slower by half':
            work_ms *= 8 if rng.random() < 0.5 else 1
        elif self.kind == 'failing on one route':
            fails = fails or (route == OTHER_ROUTE and rng.random() < 0.5)
        elif self.kind == 'failing after a while':
            fails = fails or (poll > 3 and rng.random() < 0.5)
        evidence.note(route, fails, work_ms)


def compute_verdict(kind: str, seed: int):
    """Return the verdict after some polls, and the failures until then."""
    rng = random.Random(seed)
    new = [rollout.Evidence('v2', 7) for _ in range(3)]
    old = [rollout.Evidence('v1', 7) for _ in range(8)]
    new_version = Version(kind, rng)
    is_shared = kind == 'failing like the old ones'
    old_version = Version(kind if is_shared else 'usual', rng)
    verdict = rollout.Verdict.OPEN
    for poll in range(POLLS):
        for _ in range(CALLS_PER_POLL):
            for number, evidence in enumerate(new):
                new_version.note(evidence, number, poll)
            for number, evidence in enumerate(old):
                old_version.note(evidence, number, poll)
        verdict = rollout.choose_verdict(new, old)
        if verdict is rollout.Verdict.BAD:
            break
    return verdict, sum(evidence.failures for evidence in new)


@given('a new version whose calls are {kind}')
def step_kind(context, kind):
    context.kind = kind


def make_evidence(version: str, runs: int, bad: int) -> rollout.Evidence:
    """Make the evidence of a target; its bad calls come last."""
    evidence = rollout.Evidence(base.SoftwareVersion(version), 7)
    for number in range(runs):
        evidence.note(ROUTE, number >= runs - bad, WORK_MS)
    return evidence


@given('old targets of which each ran {runs:d} calls well')
def step_old_targets(context, runs):
    context.old = [make_evidence('v1', runs, 0) for _number in range(8)]


@given(
    'old targets of which each ran {runs:d} calls, of which {bad:d} were bad'
)
def step_old_failures(context, runs, bad):
    context.old = [make_evidence('v1', runs, bad) for _number in range(8)]


@given('new targets that ran {runs} calls, of which {bad} were bad')
def step_new_targets(context, runs, bad):
    pairs = zip(runs.split(), bad.split(), strict=True)
    context.new = [
        make_evidence('v2', int(calls), int(failed)) for calls, failed in pairs
    ]


@given(
    'the evidence of a daemon with {runs:d} calls, of which {bad:d} were bad'
)
def step_evidence_log(context, runs, bad):
    context.log = _evidence_log.EvidenceLog(7)
    note_evidence(context.log, make_evidence('v2', runs, bad))


@when('the daemon restarts and runs {runs:d} calls, of which {bad:d} are bad')
@when('it runs {runs:d} calls, of which {bad:d} is bad')
def step_evidence_after(context, runs, bad):
    note_evidence(context.log, make_evidence('v2', runs, bad))


@when('it restarts and does not know the order yet')
def step_evidence_unknown(context):
    evidence = rollout.Evidence(rollout.UNKNOWN_VERSION, 7, running=1)
    note_evidence(context.log, evidence)


def note_evidence(
    log: _evidence_log.EvidenceLog, evidence: rollout.Evidence
) -> None:
    """Record the answer of the daemon beside a target of v2."""
    log.start_poll()
    log.note(testing.make_member_row('hall', version='v2'), evidence)
    (total,) = log.list_version(base.SoftwareVersion('v2'))
    assert total.running == evidence.running


@then('{runs:d} calls count, of which {bad:d} were bad')
def step_evidence_total(context, runs, bad):
    (total,) = context.log.list_version(base.SoftwareVersion('v2'))
    assert (total.runs, total.failures) == (runs, bad), total


@then('the new version is {verdict}')
def step_new_verdict(context, verdict):
    found = rollout.choose_verdict(context.new, context.old)
    assert found is rollout.Verdict(verdict), found


@then('the verdict on the move is {verdict}')
def step_move_verdict(context, verdict):
    found = rollout.choose_move_verdict(context.new, context.old)
    assert found is rollout.Verdict(verdict), found


@when('its verdict is computed {times:d} times')
def step_compute_verdicts(context, times):
    context.found = [
        compute_verdict(context.kind, seed) for seed in range(times)
    ]


@then('each verdict is {verdict}')
def step_verdict(context, verdict):
    others = [
        seed
        for seed, (found, _bad) in enumerate(context.found)
        if found.value != verdict
    ]
    assert not others, others[:20]


@then('that takes {bad:d} bad calls in the median at most')
def step_bad_calls(context, bad):
    counts = sorted(count for _verdict, count in context.found)
    assert counts[len(counts) // 2] <= bad, counts[len(counts) // 2]


# Trials.


@given('a set with {usual:g} usual and {seldom:g} seldom calls a second')
def step_trial_set(context, usual, seldom):
    context.rates_per_s = {
        rollout_trial.USUAL: usual,
        rollout_trial.SELDOM: seldom,
    }
    context.has_slow_target = False


@given('an old version that fails {share:g} of its calls')
def step_trial_old(context, share):
    context.old_version = make_version(share, share)


@given(
    'a new one that fails {usual:g} of the usual and {seldom:g} of the rest'
)
def step_trial_new(context, usual, seldom):
    context.new_version = make_version(usual, seldom)


@given('a new one that is {factor:g} times slower on the seldom route')
def step_trial_slow_route(context, factor):
    context.new_version = make_version(0, 0)
    context.new_version.slowdowns = {rollout_trial.SELDOM: factor}


@given('one of two targets of the new version is slow')
def step_trial_slow_target(context):
    context.new_version.has_slow_target = True


def make_version(usual: float, seldom: float) -> rollout_trial.Version:
    """Make a version that fails a share of its calls on each route."""
    return rollout_trial.Version(
        {rollout_trial.USUAL: usual, rollout_trial.SELDOM: seldom}
    )


@when('its trial is played {times:d} times')
def step_play_trials(context, times):
    context.trials = [
        rollout_trial.Trial(
            context.rates_per_s, context.old_version, context.new_version, seed
        )
        for seed in range(times)
    ]
    context.stages = [trial.play() for trial in context.trials]


@then('{count:d} of them at most end with the calls {moved}')
def step_trials_ended(context, count, moved):
    wrong = {
        'moved': rollout.Stage.MOVING,
        'left where they were': rollout.Stage.ROLLED_BACK,
    }[moved]
    seeds = [
        seed for seed, stage in enumerate(context.stages) if stage is wrong
    ]
    assert len(seeds) <= count, seeds


@then('half of the trials end within {limit_ms:d} ms')
def step_half_soon(context, limit_ms):
    ends_ms = sorted(trial.ended_ms for trial in context.trials)
    assert ends_ms[len(ends_ms) // 2] <= limit_ms, ends_ms


@then('{count:d} of 10 trials end within {limit_ms:d} ms')
def step_trials_soon(context, count, limit_ms):
    ends_ms = sorted(trial.ended_ms for trial in context.trials)
    soon = sum(end_ms <= limit_ms for end_ms in ends_ms)
    assert soon * 10 >= count * len(ends_ms), ends_ms


@then(
    'between {least:g} and {most:g} of the seldom calls were exposed, and a '
    'tenth of all at most'
)
def step_trials_exposed(context, least, most):
    for trial in context.trials:
        shares = {}
        for route in (rollout_trial.USUAL, rollout_trial.SELDOM):
            new = trial.count_runs(trial.new_evidence, route)
            shares[route] = new, trial.count_runs(trial.old_evidence, route)
        new, old = shares[rollout_trial.SELDOM]
        assert least <= new / (new + old) <= most, shares
        new, old = (sum(counts) for counts in zip(*shares.values()))
        assert new <= SHARE * (new + old), shares


@given('a new version that ran {runs:d} more calls on another route')
def step_new_other_route(context, runs):
    context.new = [make_evidence('v2', 60, 0) for _number in range(2)]
    context.other_runs = runs


@given('of these {bad:d} were bad')
def step_new_other_bad(context, bad):
    for number in range(context.other_runs):
        context.new[number % 2].note(OTHER_ROUTE, number < bad, WORK_MS)
    for evidence in context.old:
        for _number in range(5):
            evidence.note(OTHER_ROUTE, False, WORK_MS)


@then('the operator reads {code} for {routes} once the calls have moved')
def step_status(context, code, routes):
    observation = rollout.Observation(
        make_order(), 6000, context.new, context.old
    )
    row = rollout.advance(make_row('trial'), rollout.Stage.MOVING, observation)
    status = msgspec.to_builtins(_rollouts.make_status(row))
    expected = [] if routes == 'no route' else routes.split()
    assert list(status.get('routes', ())) == expected, status
    assert status.get('code', 'no code') == code, status
    row = rollout.advance(row, rollout.Stage.ROLLED_BACK, observation)
    assert 'code' not in msgspec.to_builtins(_rollouts.make_status(row))


@then('it is {verdict}, and {late} when the trial ends')
def step_late_verdict(context, verdict, late):
    found = rollout.choose_verdict(context.new, context.old)
    assert found is rollout.Verdict(verdict), found
    found = rollout.choose_late_verdict(context.new, context.old)
    assert found is rollout.Verdict(late), found


# Updates, stages, orders.


@then('the newest of each set is kept, whatever the order of updates')
def step_updates(context):
    sets = st.sampled_from(['calendar', 'ledger'])
    orders = st.builds(
        rollout.Order,
        sets,
        st.sampled_from(['', 'v2']),
        st.just(1000),
        st.integers(1, 9),
    )
    stages = st.sampled_from(list(rollout.Stage))
    rows = st.builds(
        rollout.Rollout, sets, st.just('v1'), st.just('v2'), st.just(7), stages
    )
    entries = st.builds(_rollout_log.RolloutEntry, st.integers(1, 9), rows)
    items = st.lists(st.one_of(orders, entries), max_size=20)

    @hypothesis.settings(
        max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(items)
    def check(items):
        log = _rollout_log.RolloutLog()
        newest: dict[tuple, int] = {}
        for item in items:
            if isinstance(item, rollout.Order):
                log.merge(_rollout_log.RolloutUpdate((item,)))
                key = ('order/', item.target_set)
            else:
                log.merge(_rollout_log.RolloutUpdate((), (item,)))
                key = ('rollout/', item.rollout.target_set)
            newest[key] = max(newest.get(key, 0), item.revision)
        log.is_known = True
        known = {kind + name: at for (kind, name), at in newest.items()}
        assert log.list_known() == known
        assert log.make_update(known) is None
        other = _rollout_log.RolloutLog()
        other.merge(log.make_update(None))
        other.is_known = True
        assert other.list_known() == known

    check()


@given('a daemon that has the row of a rollout based on order 7')
def step_row_alone(context):
    context.log = _rollout_log.RolloutLog()
    context.log.is_known = True
    entry = _rollout_log.RolloutEntry(8, make_row('trial'))
    context.log.merge(_rollout_log.RolloutUpdate((), (entry,)))


@when('it receives {order}')
def step_order_received(context, order):
    orders = {
        'no order': (),
        'order 5': (make_order(5),),
        'order 7': (make_order(7),),
        'the withdrawal after 7': (
            make_order(7),
            rollout.Order(SET, base.SoftwareVersion(''), 0, 9),
        ),
    }
    context.log.merge(_rollout_log.RolloutUpdate(orders[order]))


@then('it {verb} what to do with the rollout, of which the order {stands}')
def step_order_known(context, verb, stands):
    assert context.log.is_order_known(SET) == (verb == 'knows')
    has_order = context.log.find_order(SET) is not None
    assert has_order == (stands in ('stands', 'is an earlier'))


@given('a rollout of 10 s in the stage {stage} since {age:d} ms')
def step_row(context, stage, age):
    context.row = make_row(stage, age)


@when('its new version {shows} at {now:d} ms')
def step_shows(context, shows, now):
    shows, _comma, away = shows.partition(', ')
    fails = shows == 'is bad'
    new = [rollout.Evidence('v2', 7) for _ in range(3)]
    old = [rollout.Evidence('v1', 7) for _ in range(3)]
    for evidence in new + old:
        if shows == 'shows nothing':
            break
        for _ in range(40):
            evidence.note(ROUTE, fails and evidence in new, 100.0)
    if shows == 'is stopped':
        new[0].is_stopped = new[1].is_stopped = True
    if shows == 'leaves work behind':
        old[0].running = 1
    order = None if shows == 'is withdrawn' else make_order()
    observation = rollout.Observation(
        order, now, new, old, shows != 'is silent', PRESENT_SHARES[away]
    )
    context.next = rollout.plan_next(context.row, observation)


@then('its next stage is {stage}')
def step_next(context, stage):
    assert context.next.value == stage, context.next


@when("the operator's order is {order}")
def step_order_text(context, order):
    row = storage.Row('rollout/calendar', 7, order.encode())
    try:
        context.order = _rollouts.decode_order(row)
    except exceptions.RolloutError as error:
        context.order = error


@then('the order is refused as unreadable')
def step_order_refused(context):
    error = context.order
    assert isinstance(error, exceptions.RolloutError), error
    assert error.code is exceptions.Code.ROLLOUT_UNREADABLE


# Whole fleets.


@given('a fleet with {count:d} calendar targets of the version v1')
def step_fleet(context, count):
    context.subject = rollout_subject.RolloutFleet(count)
    context.cleanups.append(context.subject.fleet.stop)


@when('{count:d} targets of the version v2 join')
def step_join(context, count):
    context.subject.add(count, 'v2')


@when(
    '{count:d} targets of the version v2 join, and are ordered within '
    '{duration:d} ms'
)
def step_ordered(context, count, duration):
    context.subject.add(count, 'v2')
    context.subject.fleet.order_rollout('calendar', 'v2', duration)


@when('all of these fail their calls')
def step_fail(context):
    for host in context.subject.list_hosts('v2'):
        host.books.habit = testing.TargetHabit.FAILING


@when('callers send calls until the operator reads {state}')
def step_ask_until(context, state):
    subject = context.subject
    fleet = subject.fleet
    trial = {}

    def is_over() -> bool:
        stages = {
            entry.rollout.stage
            for host in fleet.hosts.values()
            if (entry := host.daemon.source.rollouts.find_entry(SET))
        }
        if stages <= {rollout.Stage.TRIAL}:
            # As long as no daemon has moved the calls.
            trial.update(
                new=subject.count_runs('v2'), old=subject.count_runs('v1')
            )
        return fleet.read_rollout('calendar') == state

    subject.ask_until(is_over, 15)
    assert fleet.read_rollout('calendar') == state
    context.trial = trial


@when('the store is unavailable once the version is on trial')
def step_store_unavailable(context):
    fleet = context.subject.fleet
    fleet.wait_for(
        lambda: all(
            host.daemon.source.rollouts.list_trials()
            for host in fleet.hosts.values()
        )
    )
    fleet.engine.faults.mode = testing.StoreMode.RESET


@when('callers send calls for {seconds:g} s')
def step_ask_for(context, seconds):
    subject = context.subject
    subject.statuses.clear()
    context.before = subject.count_runs('v2')
    subject.ask_until(lambda: False, seconds)


@when('all daemons are restarted')
def step_restart_all(context):
    context.subject.fleet.restart_all()
    context.subject.fleet.wait_ready()


@then('all calls were answered with 200')
def step_answered(context):
    statuses = context.subject.statuses
    assert statuses and set(statuses) == {200}, (
        len(statuses),
        [status for status in statuses if status != 200][:9],
    )


@then('no call is in progress at the version v1, and none arrives any more')
def step_old_idle(context):
    subject = context.subject
    assert not any(host.books.running for host in subject.list_hosts('v1'))
    runs = subject.count_runs('v1')
    subject.ask_until(lambda: False, 0.5)
    assert subject.count_runs('v1') == runs


@then('before the move the version v2 got a tenth of the calls at most')
def step_tenth(context):
    new, old = context.trial['new'], context.trial['old']
    assert 0 < new <= SHARE * (new + old), context.trial


@then('the version v2 failed {count:d} calls at most')
def step_failed(context, count):
    runs = context.subject.count_runs('v2')
    assert 0 < runs <= count, runs


@then('no call arrives at the version v2 any more')
def step_new_idle(context):
    subject = context.subject
    runs = subject.count_runs('v2')
    subject.ask_until(lambda: False, 0.5)
    assert subject.count_runs('v2') == runs


@then('each daemon that watches the store knows its clock')
def step_clocks(context):
    for host in context.subject.fleet.hosts.values():
        source = host.daemon.source
        context.subject.fleet.wait_for(lambda: source.store_now_ms is not None)
        off_ms = source.store_now_ms - time.monotonic() * 1000
        assert abs(off_ms) < CLOCK_SLACK_MS, off_ms


@then('a daemon that does not know it writes no rollout row')
def step_no_clock(context):
    fleet = context.subject.fleet
    host = next(iter(fleet.hosts.values()))
    driver = host.daemon.rollouts
    driver.source = _ClocklessSource(host.daemon.source)
    entry = _rollout_log.RolloutUpdate((make_order(),))
    driver.source.rollouts.merge(entry)
    fleet.run(driver._advance(SET))
    assert not driver.source.rollout_store.written


@when('a daemon at which {answer} evaluates it at {now:d} ms')
def step_evaluate(context, answer, now):
    answering = {
        'nobody answers': (),
        'only v1 answers': ('v1',),
        'all answer': ('v1', 'v2'),
    }[answer]
    table = _fleet.FleetTable()
    table.replace(
        {
            f'{version}-{number}': testing.make_member_row(
                f'{version}-{number}',
                address=f'10.0.{version[1]}.{number}',
                version=version,
            )
            for version in ('v1', 'v2')
            for number in (1, 2)
        }
    )
    context.source = _TimedSource(now)
    driver = _rollout_driver.RolloutDriver(
        table, _AnsweringPeers(answering), context.source, None
    )
    entry = _rollout_log.RolloutEntry(8, context.row)
    asyncio.run(driver._advance_stage(make_order(), entry))


@then('it writes {written}')
def step_written(context, written):
    rows = context.source.rollout_store.written
    stages = [row.stage.value for row, _revision in rows]
    assert stages == ([] if written == 'nothing' else [written]), stages


class _TimedSource:
    """A source at one time of the store's clock."""

    def __init__(self, now_ms):
        self.store_now_ms = now_ms
        self.rollout_store = _Rows()


class _AnsweringPeers:
    """Daemons of which those beside targets of some versions answer."""

    def __init__(self, versions):
        self.versions = versions

    def find(self, row):
        is_answering = row.version in self.versions
        return _EvidencePeer(row.version if is_answering else None)


class _EvidencePeer:
    """A daemon that answers with good calls, or not at all."""

    def __init__(self, version):
        self.version = version

    async def ask(self, _data, _problem):
        if self.version is None:
            return None
        evidence = make_evidence(self.version, 60, 0)
        return _evidence_hop.encode_evidence(evidence)


class _ClocklessSource:
    """A source that has had no answer from the store."""

    store_now_ms = None
    is_watching = True

    def __init__(self, source):
        self.loop = source.loop
        self.rollouts = _rollout_log.RolloutLog()
        self.rollouts.is_known = True
        self.rollout_store = _Rows()


class _Rows:
    """Rows that are recorded and not stored."""

    def __init__(self):
        self.written = []

    async def write(self, row, revision):
        self.written.append((row, revision))
        return storage.Outcome(storage.OutcomeKind.NOT_DONE)

"""Steps for the plans and checks of the soak, and for short runs."""

import asyncio
import collections
import contextlib
import hashlib
import pathlib
import socket
import sys
import tempfile
import threading
import time

from behave import given
from behave import then
from behave import when

from sedgering import testing
from sedgering.testing import judges
from soak import __main__ as soak_main
from soak import _callers
from soak import _checks
from soak import _faults
from soak import _host_faults
from soak import _links
from soak import _long_requests
from soak import _power_loss
from soak import _rollouts
from soak import _settings
from soak import _targets
from soak import _world

SEEDS = 50
SENT_AT_S = 100.0
FINAL_LOAD_START_S = 200.0
#: Start of the faults around the requests.
FAULT_START_S = SENT_AT_S - 1
#: Digest of the base plans of seeds 0 to 1999 for 5 hosts and 12 s.  A seed
#: keeps its base plan when kinds of faults are added.
BASE_PLANS_SHA256 = (
    '1b99e284b62dd4cc56c190f876170b8b9d804e5ad3bb6aa3b269701a293d032a'
)
#: Digest of the same plans with throttled links added.
THROTTLED_PLANS_SHA256 = (
    '6b966889aafced56b396a05e332f7ef5cc03b8461c829e4ae79561c9650c546b'
)
#: Kinds in plans that must not cause requests to fail.
LOSSLESS_PLAN_KINDS = (
    testing.PLANNED_KINDS
    | testing.STORE_KINDS
    | testing.SIGNAL_KINDS
    | testing.DEPARTURE_KINDS
    | {_faults.FaultKind.THROTTLE}
)
CRASH_AND_SUSPEND_KINDS = frozenset(
    (_faults.FaultKind.SUSPEND, _faults.FaultKind.FATAL_REQUEST)
)
#: Kinds that were added to the plans of seeds after throttled links.
ADDED_KINDS = (
    CRASH_AND_SUSPEND_KINDS | testing.SIGNAL_KINDS | testing.DEPARTURE_KINDS
)
#: SIGTERM handlers of a program that stands for a daemon.  The program prints
#: a line when its handler is installed.
SIGTERM_HANDLERS = {
    'ignores it': 'signal.SIG_IGN',
    'exits with 1': 'lambda *_: sys.exit(1)',
    'exits with 0': 'lambda *_: sys.exit(0)',
    'exits soon': 'lambda *_: (time.sleep(0.3), sys.exit(0))',
}
PROGRAM = (
    'import signal, sys, time; signal.signal(signal.SIGTERM, {}); '
    'print(flush=True); time.sleep(30)'
)
#: Time from SIGTERM until the soak is blocked.
BLOCKED_AFTER_S = 0.1
#: Size of an answer, which the link forwards in ten chunks, and its rate.
THROTTLED_BYTES = 10 * _links.PACED_CHUNK_BYTES
THROTTLE_BYTES_PER_S = 2 * THROTTLED_BYTES


class SoakResults:
    """World without any running process, with records made by hand."""

    def __init__(self):
        folder = tempfile.TemporaryDirectory(prefix='soak-results-')
        self.folder = folder
        settings = _settings.WorldSettings(1, hosts=2, callers=1)
        self.world = _world.World(pathlib.Path(folder.name), settings)
        self.world.final_load_start_s = FINAL_LOAD_START_S
        self.world.version = 2
        self.records = {}
        for number, caller in enumerate(self.world.callers):
            self.add_request(caller, f'good-{number}', FINAL_LOAD_START_S + 1)
            target = self.world.targets[number]
            target.books = _targets._TargetState(
                f'i-{number}', 1, target.ledger
            )
            self.world.probes[number].version = 2

    def add_request(self, caller, request_id, sent_s=SENT_AT_S, **fields):
        """Add a successful request, with `fields` replaced."""
        values = {'status': 200, 'is_own': True, **fields}
        record = _callers.CallRecord(
            request_id,
            values.pop('is_once', True),
            caller.host_daemon.name,
            _callers.ONCE_PATH,
            sent_s,
            values.pop('done_s', sent_s + 0.1),
            **values,
        )
        caller.records.append(record)
        return record

    def record_runs(self, request_id, *times):
        """Record in the ledger when a request ran."""
        self.world.ledger.runs[request_id] = list(times)

    def add_fault(self, kind, host):
        """Record a fault that was active during the requests."""
        fault = _faults.Fault(0.0, kind, host, 1.0)
        self.world.disturbances.append(
            _world.Disturbance(fault, FAULT_START_S, FAULT_START_S + 8)
        )


def run_twice(results):
    results.record_runs('good-0', SENT_AT_S, SENT_AT_S)


def run_unsent(results):
    results.record_runs('nobody', SENT_AT_S)


def return_foreign_answer(results):
    results.add_request(results.world.callers[0], 'mixed', is_own=False)


def refuse_and_run(results):
    results.add_request(results.world.callers[0], 'refused', status=503)
    results.record_runs('refused', SENT_AT_S)


def reject(results):
    results.add_request(results.world.callers[0], 'denied', status=404)


def send_forged_key(results, status=503):
    results.add_request(
        results.world.callers[0], 'forged', status=status, key='k'
    )


def run_with_forged_key(results):
    send_forged_key(results, 500)
    results.record_runs('forged', SENT_AT_S)


def answer_forged_key(results):
    send_forged_key(results, 200)


def refuse_forged_key(results):
    send_forged_key(results, 401)


def send_valid_key(results, **fields):
    results.add_request(
        results.world.callers[0],
        'known',
        key='k',
        workspace='harbour',
        **fields,
    )


def refuse_valid_key(results):
    send_valid_key(results, status=401)


def run_for_workspaces(results, *workspaces):
    send_valid_key(results)
    results.record_runs('known', SENT_AT_S)
    fields = [('X-Tenant', workspace) for workspace in workspaces]
    results.world.ledger.record_identity_headers('known', fields)


def run_for_other_workspace(results):
    run_for_workspaces(results, 'quay')


def run_for_own_workspace(results):
    run_for_workspaces(results, 'harbour')


def forward_key(results):
    run_for_workspaces(results, 'harbour')
    fields = [('aUTHORIZATION', 'Token k')]
    results.world.ledger.record_identity_headers('known', fields)


def answer_late(results):
    results.add_request(
        results.world.callers[0], 'held', status=504, done_s=SENT_AT_S + 6
    )


def lose_request(results):
    results.add_request(results.world.callers[0], 'lost', status=0)
    results.record_runs('lost', SENT_AT_S)


def return_bad_gateway(results):
    results.add_request(results.world.callers[0], 'cut', status=502)
    results.record_runs('cut', SENT_AT_S)


def add_cut_off_request(results, after_s, **fields):
    """Add a request that ran but was cut off 5.6 s after SIGTERM.

    It was sent `after_s` after SIGTERM.
    """
    sent_s = FAULT_START_S + after_s
    record = results.add_request(
        results.world.callers[0],
        'cut-off',
        sent_s,
        status=0,
        done_s=FAULT_START_S + 5.6,
        deadline_ms=_long_requests.DEADLINE_MS,
        **fields,
    )
    results.record_runs(record.request_id, sent_s)


def cut_waiting_request(results):
    results.add_request(
        results.world.callers[0],
        'waiting',
        status=0,
        last_byte_s=SENT_AT_S,
        done_s=SENT_AT_S + 0.5,
    )


def end_by_itself(results):
    end = judges.ProcessEnd('host-0', SENT_AT_S, SENT_AT_S + 1, -1)
    results.world.daemons[0].ends.append(end)


def cut_off_sent_before(results):
    add_cut_off_request(results, -0.5)


def cut_off_sent_after(results):
    add_cut_off_request(results, 2.9)


def cut_off_sent_late(results):
    add_cut_off_request(results, 3.1)


def cut_off_readable(results):
    add_cut_off_request(results, 0.5, began_s=FAULT_START_S + 4, reading_s=1.0)


def cut_off_slow_reader(results):
    add_cut_off_request(results, 0.5, began_s=FAULT_START_S + 4, reading_s=2.0)


def lose_target_answer(
    results, answered_s=FAULT_START_S + 5.3, target='i-host-1-1'
):
    lose_unanswered(results)
    results.world.ledger.answers['unknown'] = answered_s, target


def lose_last_answer(results):
    lose_target_answer(results, FAULT_START_S + 5.6)


def lose_other_answer(results):
    lose_target_answer(results, FAULT_START_S + 5.6, 'i-host-0-1')


def lose_unanswered(results):
    results.add_request(
        results.world.callers[0],
        'unknown',
        status=502,
        done_s=FAULT_START_S + 5.8,
        deadline_ms=_long_requests.DEADLINE_MS,
    )
    results.record_runs('unknown', SENT_AT_S)


def answer_long_late(results):
    add_long_request(results, 12.0)


def read_slowly(results):
    add_long_request(results, 9.0)


def add_long_request(results, duration_s):
    results.add_request(
        results.world.callers[0],
        'reader',
        done_s=SENT_AT_S + duration_s,
        deadline_ms=_long_requests.DEADLINE_MS,
        reading_s=1.0,
    )


def run_late(results):
    books = results.world.targets[0].books
    books.acknowledged_s = -1e9
    books.note_run('good-0', '', {}, b'')


#: A target that states a limit, and requests that reach it in 4 s.
LIMITED = 'i-0#1'
LIMIT_PER_S = 2.0


def reach_limited(count, is_told=True, after_s=4.0, per_s=LIMIT_PER_S):
    """Return a change: requests of one host reach a limited target."""

    def change(results):
        caller = results.world.callers[0]
        signals = results.world.ledger.signals
        signals.state_limit(LIMITED, str(per_s), SENT_AT_S)
        results.add_request(caller, 'first', SENT_AT_S + 0.1)
        signals.record_answer('first', LIMITED, is_told, False)
        times_s = [SENT_AT_S + after_s + 0.1 * item for item in range(count)]
        for number, at_s in enumerate(times_s):
            results.add_request(caller, f'limited-{number}', at_s)
            signals.arrivals[LIMITED].append((at_s, f'limited-{number}'))

    return change


def reach_leaving(after_s, is_told=True):
    """Return a change: a request reaches a target that is leaving."""

    def change(results):
        caller = results.world.callers[0]
        signals = results.world.ledger.signals
        results.add_request(caller, 'first', SENT_AT_S, done_s=SENT_AT_S + 1)
        signals.record_answer('first', LIMITED, False, is_told)
        sent_s = SENT_AT_S + 1 + after_s
        results.add_request(caller, 'late', sent_s)
        signals.arrivals[LIMITED].append((sent_s + 0.1, 'late'))

    return change


def overload(results):
    results.world.targets[0].books.most_running = _targets.SLOTS + 1


def revert_version(results):
    results.world.probes[0].regressions.append(
        'had 2, but now lacks version 1'
    )


def answer_nobody(results):
    results.world.callers[0].records.clear()


def miss_version(results):
    results.world.probes[1].version = 1


def reach_targets(count, after_s, crashes):
    """Make a request reach targets after it had crashed some."""

    def change(results):
        results.world.ledger.ends_s += [SENT_AT_S] * crashes
        for number in range(count):
            request_id = f'fatal-{number}'
            results.world.crash_caller.ids.add(request_id)
            results.record_runs(request_id, SENT_AT_S + after_s)

    return change


def roll_out(is_good, state, exposed=0, total=0, early=0):
    """Return a change that records the rollout of a version."""

    def change(results):
        plan = _rollouts.RolloutPlan(is_good, 0.0, 0.0, ())
        results.world.rollout = _rollouts.Rollout(
            plan, SENT_AT_S, SENT_AT_S, state
        )
        new_s = [SENT_AT_S + 1] * exposed + [SENT_AT_S - 1] * early
        results.world.ledger.version_runs_s = {
            _rollouts.OLD_VERSION: [SENT_AT_S + 1] * (total - exposed),
            _rollouts.NEW_VERSION: new_s,
        }

    return change


CHANGES = {
    'a bad version got 61 of 110 requests': roll_out(False, '', 61, 110),
    'a bad version got 62 of 110 requests': roll_out(False, '', 62, 110),
    'a bad version succeeded': roll_out(False, 'succeeded'),
    'a good version was rolled back': roll_out(True, 'rolled_back'),
    'a good version was never begun': roll_out(True, ''),
    'a version got 1 request before its order': roll_out(
        True, 'succeeded', early=1
    ),
    'all is well': lambda results: None,
    'a request that may run once ran twice': run_twice,
    'a request ran that nobody sent': run_unsent,
    'a request ran with a forged key': run_with_forged_key,
    'a forged key was answered': answer_forged_key,
    'a forged key got 401': refuse_forged_key,
    'a valid key got 401': refuse_valid_key,
    'a request ran for another workspace': run_for_other_workspace,
    'a request ran for its workspace': run_for_own_workspace,
    'an API key reached a target': forward_key,
    "a success is not the caller's own": return_foreign_answer,
    'a request got 503 and ran': refuse_and_run,
    'a request with a route got 404': reject,
    'a request was overdue at a healthy daemon': answer_late,
    'a request was lost during planned operations': lose_request,
    'a request got 502 during planned operations': return_bad_gateway,
    'a request sent before SIGTERM was cut off': cut_off_sent_before,
    'a request sent 2.9 s after SIGTERM was cut off': cut_off_sent_after,
    'a request sent 3.1 s after SIGTERM was cut off': cut_off_sent_late,
    'a request was cut off that could be read in time': cut_off_readable,
    'a request was cut off that took too long to read': cut_off_slow_reader,
    'a long request got 502 and no target answered': lose_unanswered,
    'a long request got 502 and its target answered': lose_target_answer,
    'a long request got 502, answered too late': lose_last_answer,
    'a long request got 502, answered on another host': lose_other_answer,
    'a long request was overdue': answer_long_late,
    'a long request was read slowly': read_slowly,
    'a waiting request was cut off': cut_waiting_request,
    'a daemon ended by itself': end_by_itself,
    'a target that had left ran a request': run_late,
    'a target worked on more than its slots': overload,
    'a target with a limit of 2 got 18 requests in 4 s': reach_limited(18),
    'a target with a limit of 2 got 17 requests in 4 s': reach_limited(17),
    'a target with a limit of 0 got 6 requests in 4 s': reach_limited(
        6, per_s=0.0
    ),
    'a target got 18 requests before its limit bound': reach_limited(
        18, after_s=1.1
    ),
    'a target got 18 requests of a host that was not told': reach_limited(
        18, False
    ),
    'a request reached a leaving target 2.1 s later': reach_leaving(2.1),
    'a request reached a leaving target 1.9 s later': reach_leaving(1.9),
    'a host that was not told asked a leaving target': reach_leaving(
        2.1, False
    ),
    'a daemon went back to an older version': revert_version,
    'a daemon answered nobody after the last fault': answer_nobody,
    'a daemon lacks the newest version': miss_version,
    'a request reached 4 targets 3.1 s after 3 crashes': reach_targets(
        4, 3.1, 3
    ),
    'a request reached 3 targets 3.1 s after 3 crashes': reach_targets(
        3, 3.1, 3
    ),
    'a request reached 9 targets 2.9 s after 3 crashes': reach_targets(
        9, 2.9, 3
    ),
    'a request reached 9 targets 3.1 s after 2 crashes': reach_targets(
        9, 3.1, 2
    ),
}
FAULTS = {
    'the store was away': (_faults.FaultKind.STORE, 1),
    'its daemon was paused': (_faults.FaultKind.PAUSE, 0),
    'another daemon was paused': (_faults.FaultKind.PAUSE, 1),
    'another daemon was killed': (_faults.FaultKind.KILL, 1),
    'its daemon was killed': (_faults.FaultKind.KILL, 0),
    'a link was throttled': (_faults.FaultKind.THROTTLE, 1),
    'another daemon was terminated': (_faults.FaultKind.TERMINATE, 1),
    'its daemon was terminated': (_faults.FaultKind.TERMINATE, 0),
}


@then('plans of {seeds:d} seeds are reproducible and differ from each other')
def step_plans(context, seeds):
    plans = [_faults.make_plan(seed, 5, 12.0, True) for seed in range(seeds)]
    repeated = [
        _faults.make_plan(seed, 5, 12.0, True) for seed in range(seeds)
    ]
    assert plans == repeated
    assert len(set(plans)) == seeds
    kinds = {fault.kind for plan in plans for fault in plan}
    # The crash of a target follows from a request and is never planned.
    assert kinds == (
        set(_faults.FaultKind)
        - testing.HOST_PLAN_KINDS
        - testing.DAY_KINDS
        - testing.STRAIN_KINDS
        - {_faults.FaultKind.TARGET_ENDS}
    )


@then('so are the plans of faults around starts and ends')
def step_host_plans(context):
    def make_plans():
        return [
            _host_faults.make_host_plan(seed, 5, 12.0, True)
            for seed in range(SEEDS)
        ]

    plans = make_plans()
    assert plans == make_plans()
    assert len(set(plans)) == SEEDS
    kinds = {fault.kind for plan in plans for fault in plan}
    planned = {_faults.FaultKind.TERMINATE}
    assert kinds == testing.HOST_PLAN_KINDS | planned
    for seed, plan in enumerate(plans):
        assert _faults.has_unplanned_faults(seed) or not any(
            fault.kind in _host_faults.UNPLANNED_KINDS for fault in plan
        ), seed


@then('losses of power follow each kind of acknowledgement')
def step_power_losses(context):
    def make_losses(seed):
        return list(_power_loss.make_power_losses(seed, 5, 3))

    assert make_losses(1) == make_losses(1) != make_losses(2)
    for seed in range(SEEDS):
        events = {loss.event for loss in make_losses(seed)}
        assert events == set(_power_loss.EVENTS), (seed, events)


@then('the plans of earlier releases are unchanged but for added faults')
def step_base_plans(context):
    digest, throttled = hashlib.sha256(), hashlib.sha256()
    for seed in range(2000):
        plan = _faults.make_plan(seed, 5, 12.0)
        digest.update(repr(plan).encode())
        full_plan = _faults.make_plan(seed, 5, 12.0, True)
        throttled_plan = tuple(
            item for item in full_plan if item.kind not in ADDED_KINDS
        )
        throttled.update(repr(throttled_plan).encode())
        base = [
            fault
            for fault in throttled_plan
            if fault.kind is not _faults.FaultKind.THROTTLE
        ]
        assert tuple(base) == plan, seed
    assert digest.hexdigest() == BASE_PLANS_SHA256, digest.hexdigest()
    assert throttled.hexdigest() == THROTTLED_PLANS_SHA256, (
        throttled.hexdigest()
    )


@then(
    'rollout plans of {seeds:d} seeds are reproducible and differ from each '
    'other'
)
def step_rollout_plans(context, seeds):
    context.plans = [
        _rollouts.make_rollout_plan(seed, 5) for seed in range(seeds)
    ]
    repeated = [_rollouts.make_rollout_plan(seed, 5) for seed in range(seeds)]
    assert context.plans == repeated
    assert len(set(context.plans)) == seeds


@then('daemons of each version and of both are restarted in them')
def step_rollout_hosts(context):
    groups = set()
    for plan in context.plans:
        hosts = {fault.host for fault in plan.restarts}
        groups.add((bool(hosts & set(range(5))), bool(hosts - set(range(5)))))
    assert groups == {(True, False), (False, True), (True, True)}, groups
    for kind in (_faults.FaultKind.KILL, _faults.FaultKind.TERMINATE):
        assert any(
            fault.kind is kind
            for plan in context.plans
            for fault in plan.restarts
        ), kind


@then(
    'plans with unplanned faults also have suspended hosts and a request that '
    'crashes targets'
)
def step_extra_kinds(context):
    counts = collections.Counter()
    for seed in range(SEEDS):
        plan = _faults.make_plan(seed, 5, 12.0, True)
        kinds = collections.Counter(fault.kind for fault in plan)
        fatal = kinds[_faults.FaultKind.FATAL_REQUEST]
        is_planned = (
            not kinds.keys() - LOSSLESS_PLAN_KINDS - CRASH_AND_SUSPEND_KINDS
        )
        assert fatal == (not is_planned), (seed, kinds)
        if is_planned:
            assert not kinds.keys() & CRASH_AND_SUSPEND_KINDS, (seed, kinds)
        counts += kinds
    assert counts[_faults.FaultKind.SUSPEND] > SEEDS / 2, counts
    assert counts[_faults.FaultKind.FATAL_REQUEST] > SEEDS / 2, counts


@given('a target of the soak with {count:d} requests at work')
def step_busy_target(context, count):
    context.busy_count = count


@when(
    '{closed:d} of their connections are closed, and it gets {new:d} requests '
    'at once'
)
def step_close_and_send(context, closed, new):
    books = _targets._TargetState('i-1', 1, _targets.Ledger())
    books.work_s = _targets.WORK_S

    async def run():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _targets._Connection(books), '127.0.0.1', 0
        )
        address = server.sockets[0].getsockname()

        total = context.busy_count + new
        callers = [socket.create_connection(address) for _ in range(total)]
        while books.connections < total:
            await asyncio.sleep(0)

        def send(number):
            head = f'GET / HTTP/1.1\r\nX-Request-Id: busy-{number}\r\n\r\n'
            callers[number].sendall(head.encode())

        for number in range(context.busy_count):
            send(number)
        while books.running < context.busy_count:
            await asyncio.sleep(0)
        # The loop of the target sees all of this in one iteration, the new
        # requests first.
        for caller in callers[:closed]:
            caller.close()
        for number in range(context.busy_count, total):
            send(number)
        while len(books.runs) < total:
            await asyncio.sleep(0)
        for caller in callers:
            caller.close()
        server.close()
        await asyncio.sleep(2 * _targets.WORK_S)

    asyncio.run(run())
    context.most_running = books.most_running


@then('it ran {count:d} requests at once')
def step_most_running(context, count):
    assert context.most_running == count, context.most_running


@given('soak results in which {change}')
def step_results(context, change):
    context.soak = SoakResults()
    context.cleanups.append(context.soak.folder.cleanup)
    CHANGES[change](context.soak)


@given('{fault} at that time')
def step_fault(context, fault):
    for name in fault.split(', and '):
        context.soak.add_fault(*FAULTS[name])


@when('a daemon that {end} gets SIGTERM and {grace_s:g} s to exit')
def step_sigterm(context, end, grace_s):
    terminate(context.soak.world, end, grace_s)


@when(
    'a daemon that {end} gets SIGTERM and {grace_s:g} s to exit, while the '
    'soak is blocked for {pause_s:g} s'
)
def step_sigterm_while_blocked(context, end, grace_s, pause_s):
    terminate(context.soak.world, end, grace_s, pause_s)


def terminate(world, end, grace_s, pause_s=0.0):
    """Send SIGTERM to a program and block the soak soon after."""

    async def run():
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            PROGRAM.format(SIGTERM_HANDLERS[end]),
            stdout=asyncio.subprocess.PIPE,
        )
        world.daemons[0].process = process
        await process.stdout.readline()
        loop = asyncio.get_running_loop()
        loop.call_later(BLOCKED_AFTER_S, time.sleep, pause_s)
        await world.terminate_daemon(world.daemons[0], grace_s)
        assert process.returncode is not None

    asyncio.run(run())


@then('each caller waits until after a request is overdue')
def step_receive_timeout(context):
    world = context.soak.world
    assert world.long_callers
    for caller in (*world.callers, *world.long_callers):
        deadlines_ms = [
            record.deadline_ms for record in caller._choose_requests()
        ]
        overdue_after_s = max(deadlines_ms) / 1000 + _checks.OVERDUE_S
        assert caller.receive_timeout_s > overdue_after_s, (
            caller.name,
            overdue_after_s,
        )


@when(
    'a caller waits {delay_s:d} s to pipeline a request, and its connection '
    'is closed'
)
def step_close_while_waiting(context, delay_s):
    class ListedDaemon:
        name = 'host-0'
        address = '127.0.0.1'

    caller = _long_requests.LongCaller('caller', ListedDaemon, 1)
    records = [
        caller._make_record(number, False, '/long/30/0/')
        for number in range(2)
    ]
    records[0].sent_s = time.monotonic()
    caller._choose_requests = lambda: records
    caller.pipeline_delay_s = float(delay_s)
    ours, theirs = socket.socketpair()
    caller._socket, caller._stream = ours, ours.makefile('rb')
    caller.is_stopping = False

    def close():
        theirs.recv(1)
        caller.is_stopping = True
        theirs.close()

    thread = threading.Thread(target=close)
    thread.start()
    caller.run()
    thread.join()
    context.records, context.delay_s = records, delay_s


@then('its first request ended before it would have sent the second')
def step_ended_early(context):
    first, second = context.records
    assert first.status == 0 and first.end, first
    assert first.done_s - first.sent_s < context.delay_s, first
    assert not second.last_byte_s, second


@then('a throttled link forwards answers at its rate')
def step_throttled(context):
    async def run():
        async def answer(_reader, writer):
            writer.write(bytes(THROTTLED_BYTES))
            writer.close()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        link = _links.Link('127.0.0.1', 0, '127.0.0.1', port)
        await link.start()
        link.set_rate(THROTTLE_BYTES_PER_S)
        reader, writer = await asyncio.open_connection(
            *link._server.sockets[0].getsockname()
        )
        started_s = time.monotonic()
        arrivals = []
        size_bytes = 0
        while data := await reader.read(THROTTLED_BYTES):
            size_bytes += len(data)
            arrivals.append(time.monotonic() - started_s)
        writer.close()
        link.close()
        server.close()
        return size_bytes, arrivals

    size_bytes, arrivals = asyncio.run(run())
    assert size_bytes == THROTTLED_BYTES, size_bytes
    # Nine of ten chunks wait for the one before.
    assert 0.4 < arrivals[-1] < 1.5, arrivals
    assert len(arrivals) > 5, arrivals


ECHO_TIMEOUT_S = 0.3


@when('the open connection of a link to an echo server goes silent')
def step_silence(context):
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    async def echo_once(stream):
        stream[1].write(b'hello')
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ECHO_TIMEOUT_S):
                return await stream[0].read(100)

    async def run():
        server = await asyncio.start_server(echo, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        link = _links.Link('127.0.0.1', 0, '127.0.0.1', port)
        await link.start()
        address = link._server.sockets[0].getsockname()
        old = await asyncio.open_connection(*address)
        echoes = [await echo_once(old)]
        link.silence_open()
        new = await asyncio.open_connection(*address)
        echoes += [await echo_once(old), await echo_once(new)]
        old[1].close()
        new[1].close()
        link.close()
        server.close()
        # Ends the tasks of the link.
        await asyncio.sleep(ECHO_TIMEOUT_S)
        return echoes

    context.echoes = asyncio.run(run())


@then('it echoes no more, is not closed, and a new connection echoes')
def step_echoes(context):
    assert context.echoes == [b'hello', None, b'hello'], context.echoes


@then('the soak reports {finding}')
def step_finding(context, finding):
    violations = _checks.check_guarantees(context.soak.world)
    if finding == 'no violation':
        assert not violations, violations
    else:
        assert len(violations) == 1, violations
        assert finding in violations[0], violations


@when('seed {seed:d} runs on {hosts:d} hosts for {seconds:d} s')
def step_run(context, seed, hosts, seconds):
    run(context, _settings.WorldSettings(seed, hosts, float(seconds)))


@when(
    'seed {seed:d} rolls out a version on {hosts:d} hosts amid {seconds:d} s '
    'of faults'
)
def step_roll_out(context, seed, hosts, seconds):
    run(
        context,
        _settings.WorldSettings(
            seed, hosts, float(seconds), has_rollouts=True
        ),
    )


@when(
    'seed {seed:d} with faults around starts and ends runs on {hosts:d} hosts '
    'for {seconds:d} s'
)
def step_run_host_faults(context, seed, hosts, seconds):
    run(
        context,
        _settings.WorldSettings(
            seed, hosts, float(seconds), has_host_faults=True
        ),
    )


@when(
    'seed {seed:d} with {losses:d} losses of power runs on {hosts:d} hosts '
    'for {seconds:d} s'
)
def step_run_power_losses(context, seed, losses, hosts, seconds):
    run(
        context,
        _settings.WorldSettings(
            seed, hosts, float(seconds), power_losses=losses
        ),
    )


def run(context, settings):
    """Run a soak and keep what it finds."""
    with tempfile.TemporaryDirectory(prefix='soak-') as folder:
        path = pathlib.Path(folder)
        context.violations, summary = soak_main.run_seed(path, settings)
    print(summary)


@then('no guarantee is violated')
def step_guarantees(context):
    assert not context.violations, context.violations

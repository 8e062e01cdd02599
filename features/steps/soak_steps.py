"""Steps over the soak: its plans, its checks, and a short run."""

import asyncio
import collections
import hashlib
import pathlib
import sys
import tempfile
import time

from behave import given
from behave import then
from behave import when

from soak import __main__ as soak_main
from soak import _callers
from soak import _checks
from soak import _faults
from soak import _links
from soak import _long
from soak import _targets
from soak import _world

SEEDS = 50
SENT_S = 100.0
CLOSING_S = 200.0
#: Of faults around the requests.
FAULT_S = SENT_S - 1
#: Of the plans of seeds 0 to 1999 for 5 hosts and 12 s, before links were
#: throttled: seeds that were used keep them.
FIRST_PLANS_SHA256 = (
    '1b99e284b62dd4cc56c190f876170b8b9d804e5ad3bb6aa3b269701a293d032a'
)
#: The same with throttled links, before hosts were suspended.
SECOND_PLANS_SHA256 = (
    '6b966889aafced56b396a05e332f7ef5cc03b8461c829e4ae79561c9650c546b'
)
#: Of plans that may cost no request.
COSTLESS_KINDS = (
    _faults.PLANNED | _faults.STORE_KINDS | {_faults.FaultKind.THROTTLE}
)
LAST_KINDS = frozenset(
    (_faults.FaultKind.SUSPEND, _faults.FaultKind.FATAL_REQUEST)
)
#: A program that stays when it is told to leave, one that fails then, and
#: one that ends as it should; each says when it is ready to be told.
ENDS = {
    'stays': 'signal.SIG_IGN',
    'fails': 'lambda *_: sys.exit(1)',
    'ends well': 'lambda *_: sys.exit(0)',
    'ends soon': 'lambda *_: (time.sleep(0.3), sys.exit(0))',
}
PROGRAM = (
    'import signal, sys, time; signal.signal(signal.SIGTERM, {}); '
    'print(flush=True); time.sleep(30)'
)
#: From SIGTERM on, when the soak stands still.
STILL_AFTER_S = 0.1
#: Pieces that a link must have moved one by one, and its width.
THROTTLED_BYTES = 10 * _links.PIECE_BYTES
THROTTLE_BYTES_PER_S = 2 * THROTTLED_BYTES


class SoakSubject:
    """A world that nothing was started for, and its books."""

    def __init__(self):
        folder = tempfile.TemporaryDirectory(prefix='soak-books-')
        self.folder = folder
        settings = _world.WorldSettings(1, hosts=2, callers=1)
        self.world = _world.World(pathlib.Path(folder.name), settings)
        self.world.closing_s = CLOSING_S
        self.world.version = 2
        self.records = {}
        for number, caller in enumerate(self.world.callers):
            self.add(caller, f'good-{number}', CLOSING_S + 1)
            target = self.world.targets[number]
            target.books = _targets._Books(f'i-{number}', target.ledger)
            self.world.probes[number].version = 2

    def add(self, caller, request_id, sent_s=SENT_S, **fields):
        """Add a request that was answered well, but for `fields`."""
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

    def ran(self, request_id, *times):
        """Note in the ledger when a request ran."""
        self.world.ledger.runs[request_id] = list(times)

    def disturb(self, kind, host):
        """Note a fault around the requests."""
        fault = _faults.Fault(0.0, kind, host, 1.0)
        self.world.disturbances.append(
            _world.Disturbance(fault, FAULT_S, FAULT_S + 8)
        )


def run_twice(subject):
    subject.ran('good-0', SENT_S, SENT_S)


def run_unasked(subject):
    subject.ran('nobody', SENT_S)


def mix(subject):
    subject.add(subject.world.callers[0], 'mixed', is_own=False)


def refuse_and_run(subject):
    subject.add(subject.world.callers[0], 'refused', status=503)
    subject.ran('refused', SENT_S)


def deny(subject):
    subject.add(subject.world.callers[0], 'denied', status=404)


def forge(subject, status=503):
    subject.add(subject.world.callers[0], 'forged', status=status, key='k')


def forge_and_run(subject):
    forge(subject, 500)
    subject.ran('forged', SENT_S)


def forge_and_answer(subject):
    forge(subject, 200)


def forge_and_refuse(subject):
    forge(subject, 401)


def add_known(subject, **fields):
    subject.add(
        subject.world.callers[0],
        'known',
        key='k',
        workspace='harbour',
        **fields,
    )


def deny_known(subject):
    add_known(subject, status=401)


def run_for(subject, *told):
    add_known(subject)
    subject.ran('known', SENT_S)
    fields = [('X-Tenant', workspace) for workspace in told]
    subject.world.ledger.note_fields('known', fields)


def run_for_other(subject):
    run_for(subject, 'quay')


def run_for_own(subject):
    run_for(subject, 'harbour')


def show_key(subject):
    run_for(subject, 'harbour')
    fields = [('aUTHORIZATION', 'Token k')]
    subject.world.ledger.note_fields('known', fields)


def hold(subject):
    subject.add(
        subject.world.callers[0], 'held', status=504, done_s=SENT_S + 6
    )


def lose(subject):
    subject.add(subject.world.callers[0], 'lost', status=0)
    subject.ran('lost', SENT_S)


def cut(subject):
    subject.add(subject.world.callers[0], 'cut', status=502)
    subject.ran('cut', SENT_S)


def add_cut(subject, told_s, **fields):
    """Add a request that ran, sent so long after SIGTERM, and was cut."""
    sent_s = FAULT_S + told_s
    record = subject.add(
        subject.world.callers[0],
        'cut-off',
        sent_s,
        status=0,
        done_s=FAULT_S + 5.6,
        deadline_ms=_long.DEADLINE_MS,
        **fields,
    )
    subject.ran(record.request_id, sent_s)


def cut_before(subject):
    add_cut(subject, -0.5)


def cut_after(subject):
    add_cut(subject, 2.9)


def cut_late(subject):
    add_cut(subject, 3.1)


def cut_reading(subject):
    add_cut(subject, 0.5, began_s=FAULT_S + 4, reading_s=1.0)


def cut_reading_on(subject):
    add_cut(subject, 0.5, began_s=FAULT_S + 4, reading_s=2.0)


def lose_answer(subject, answered_s=FAULT_S + 5.3, target='i-host-1-1'):
    lose_unanswered(subject)
    subject.world.ledger.answers['unknown'] = answered_s, target


def lose_last_answer(subject):
    lose_answer(subject, FAULT_S + 5.6)


def lose_other_answer(subject):
    lose_answer(subject, FAULT_S + 5.6, 'i-host-0-1')


def lose_unanswered(subject):
    subject.add(
        subject.world.callers[0],
        'unknown',
        status=502,
        done_s=FAULT_S + 5.8,
        deadline_ms=_long.DEADLINE_MS,
    )
    subject.ran('unknown', SENT_S)


def hold_reader(subject):
    hold_long(subject, 12.0)


def read_slowly(subject):
    hold_long(subject, 9.0)


def hold_long(subject, took_s):
    subject.add(
        subject.world.callers[0],
        'reader',
        done_s=SENT_S + took_s,
        deadline_ms=_long.DEADLINE_MS,
        reading_s=1.0,
    )


def run_late(subject):
    books = subject.world.targets[0].books
    books.left_s = -1e9
    books.note_run('good-0', '', {}, b'')


def overload(subject):
    subject.world.targets[0].books.most_running = _targets.SLOTS + 1


def go_back(subject):
    subject.world.probes[0].broken.append('had 2, and lacks version 1')


def serve_nobody(subject):
    subject.world.callers[0].records.clear()


def lag(subject):
    subject.world.probes[1].version = 1


def reach_late(count, after_s, ends):
    """Let a request reach targets after some had ended under it."""

    def deed(subject):
        subject.world.ledger.ends_s += [SENT_S] * ends
        for number in range(count):
            request_id = f'fatal-{number}'
            subject.world.fatal.ids.add(request_id)
            subject.ran(request_id, SENT_S + after_s)

    return deed


DEEDS = {
    'nothing is wrong': lambda subject: None,
    'a request that may run once ran twice': run_twice,
    'a request ran that nobody sent': run_unasked,
    'a request ran with a forged key': forge_and_run,
    'a forged key was answered': forge_and_answer,
    'a forged key was told 401': forge_and_refuse,
    'a key that is held was told 401': deny_known,
    'a request ran for another workspace': run_for_other,
    'a request ran for its workspace': run_for_own,
    'a key came along to a target': show_key,
    "a success is not the caller's own": mix,
    'a request was told 503 and ran': refuse_and_run,
    'a request with a route was told 404': deny,
    'a request was held by a sound daemon': hold,
    'a request was lost beside planned work': lose,
    'a request was cut beside planned work': cut,
    'a request was cut that was sent before SIGTERM': cut_before,
    'a request was cut that was sent 2.9 s after': cut_after,
    'a request was cut that was sent 3.1 s after': cut_late,
    'a request was cut that could still be read': cut_reading,
    'a request was cut that was read for too long': cut_reading_on,
    'a long request was told 502 and not answered': lose_unanswered,
    'a long request was told 502 and answered': lose_answer,
    'a long request was told 502 and answered last': lose_last_answer,
    'a long request was told 502, answered elsewhere': lose_other_answer,
    'a long request was held': hold_reader,
    'a long request was read slowly': read_slowly,
    'a target that had left ran a request': run_late,
    'a target worked on more than its slots': overload,
    'a daemon went back to an older version': go_back,
    'a daemon served nobody after the last fault': serve_nobody,
    'a daemon lacks the newest version': lag,
    'a request reached 4 targets 3.1 s after 3 ends': reach_late(4, 3.1, 3),
    'a request reached 3 targets 3.1 s after 3 ends': reach_late(3, 3.1, 3),
    'a request reached 9 targets 2.9 s after 3 ends': reach_late(9, 2.9, 3),
    'a request reached 9 targets 3.1 s after 2 ends': reach_late(9, 3.1, 2),
}
FAULTS = {
    'the store was away': (_faults.FaultKind.STORE, 1),
    'its daemon was paused': (_faults.FaultKind.PAUSE, 0),
    'another daemon was paused': (_faults.FaultKind.PAUSE, 1),
    'another daemon was killed': (_faults.FaultKind.KILL, 1),
    'its daemon was killed': (_faults.FaultKind.KILL, 0),
    'a link was narrow': (_faults.FaultKind.THROTTLE, 1),
    'another daemon was terminated': (_faults.FaultKind.TERMINATE, 1),
    'its daemon was terminated': (_faults.FaultKind.TERMINATE, 0),
}


@then('plans of {seeds:d} seeds are alike twice, and differ from others')
def step_plans(context, seeds):
    plans = [_faults.make_plan(seed, 5, 12.0, True) for seed in range(seeds)]
    again = [_faults.make_plan(seed, 5, 12.0, True) for seed in range(seeds)]
    assert plans == again
    assert len(set(plans)) == seeds
    kinds = {fault.kind for plan in plans for fault in plan}
    # The end of a target follows from a request, and is in no plan.
    assert kinds == set(_faults.FaultKind) - {_faults.FaultKind.TARGET_ENDS}


@then('the plans that were there before links were throttled are unchanged')
def step_first_plans(context):
    digest, throttled = hashlib.sha256(), hashlib.sha256()
    for seed in range(2000):
        plan = _faults.make_plan(seed, 5, 12.0)
        digest.update(repr(plan).encode())
        whole = _faults.make_plan(seed, 5, 12.0, True)
        second = tuple(item for item in whole if item.kind not in LAST_KINDS)
        throttled.update(repr(second).encode())
        first = [
            fault
            for fault in second
            if fault.kind is not _faults.FaultKind.THROTTLE
        ]
        assert tuple(first) == plan, seed
    assert digest.hexdigest() == FIRST_PLANS_SHA256, digest.hexdigest()
    assert throttled.hexdigest() == SECOND_PLANS_SHA256, throttled.hexdigest()


@then(
    'plans have suspended hosts, and a request that ends targets, but for '
    'those without unplanned work'
)
def step_later_kinds(context):
    counts = collections.Counter()
    for seed in range(SEEDS):
        plan = _faults.make_plan(seed, 5, 12.0, True)
        kinds = collections.Counter(fault.kind for fault in plan)
        fatal = kinds[_faults.FaultKind.FATAL_REQUEST]
        is_planned = not kinds.keys() - COSTLESS_KINDS - LAST_KINDS
        assert fatal == (not is_planned), (seed, kinds)
        if is_planned:
            assert not kinds.keys() & LAST_KINDS, (seed, kinds)
        counts += kinds
    assert counts[_faults.FaultKind.SUSPEND] > SEEDS / 2, counts
    assert counts[_faults.FaultKind.FATAL_REQUEST] > SEEDS / 2, counts


@given('books in which {deed}')
def step_books(context, deed):
    context.soak = SoakSubject()
    context.cleanups.append(context.soak.folder.cleanup)
    DEEDS[deed](context.soak)


@given('{fault} then')
def step_fault(context, fault):
    for name in fault.split(', and '):
        context.soak.disturb(*FAULTS[name])


@when('a daemon that {end} is told to leave within {grace_s:g} s')
def step_told_to_leave(context, end, grace_s):
    tell(context.soak.world, end, grace_s)


@when(
    'a daemon that {end} is told to leave within {grace_s:g} s, while the '
    'soak stands still for {pause_s:g} s'
)
def step_told_to_leave_still(context, end, grace_s, pause_s):
    tell(context.soak.world, end, grace_s, pause_s)


def tell(world, end, grace_s, pause_s=0.0):
    """Tell a program to leave, and stand still soon after."""

    async def run():
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            PROGRAM.format(ENDS[end]),
            stdout=asyncio.subprocess.PIPE,
        )
        world.daemons[0].process = process
        await process.stdout.readline()
        loop = asyncio.get_running_loop()
        loop.call_later(STILL_AFTER_S, time.sleep, pause_s)
        await world.end_daemon(world.daemons[0], grace_s)
        assert process.returncode is not None

    asyncio.run(run())


@then('each caller waits for longer than a request may be held')
def step_patience(context):
    world = context.soak.world
    assert world.long_callers
    for caller in (*world.callers, *world.long_callers):
        deadlines_ms = [record.deadline_ms for record in caller._choose()]
        held_s = max(deadlines_ms) / 1000 + _checks.HELD_S
        assert caller.patience_s > held_s, (caller.name, held_s)


@then('a throttled link moves answers as slowly as it should')
def step_throttled(context):
    async def run():
        async def answer(_reader, writer):
            writer.write(bytes(THROTTLED_BYTES))
            writer.close()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        link = _links.Link('127.0.0.1', 0, '127.0.0.1', port)
        await link.start()
        link.bytes_per_s = THROTTLE_BYTES_PER_S
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
    # Nine of ten pieces wait for the one before.
    assert 0.4 < arrivals[-1] < 1.5, arrivals
    assert len(arrivals) > 5, arrivals


@then('the soak says that {finding}')
def step_finding(context, finding):
    broken = _checks.check_promises(context.soak.world)
    if finding == 'nothing is broken':
        assert not broken, broken
    else:
        assert len(broken) == 1, broken
        assert finding in broken[0], broken


@when('seed {seed:d} runs on {hosts:d} hosts for {seconds:d} s')
def step_run(context, seed, hosts, seconds):
    settings = _world.WorldSettings(seed, hosts, float(seconds))
    with tempfile.TemporaryDirectory(prefix='soak-') as folder:
        path = pathlib.Path(folder)
        context.broken, summary = soak_main.run_seed(path, settings)
    print(summary)


@then('no promise is broken')
def step_kept(context):
    assert not context.broken, context.broken

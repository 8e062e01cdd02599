"""Steps over the soak: its plans, its checks, and a short run."""

import pathlib
import tempfile

from behave import given
from behave import then
from behave import when

from soak import __main__ as soak_main
from soak import _callers
from soak import _checks
from soak import _faults
from soak import _targets
from soak import _world

SEEDS = 50
SENT_S = 100.0
CLOSING_S = 200.0


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
            _world.Disturbance(fault, SENT_S - 1, SENT_S + 1)
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


DEEDS = {
    'nothing is wrong': lambda subject: None,
    'a request that may run once ran twice': run_twice,
    'a request ran that nobody sent': run_unasked,
    "a success is not the caller's own": mix,
    'a request was told 503 and ran': refuse_and_run,
    'a request with a route was told 404': deny,
    'a request was held by a sound daemon': hold,
    'a request was lost beside planned work': lose,
    'a request was cut beside planned work': cut,
    'a target that had left ran a request': run_late,
    'a target worked on more than its slots': overload,
    'a daemon went back to an older version': go_back,
    'a daemon served nobody after the last fault': serve_nobody,
    'a daemon lacks the newest version': lag,
}
FAULTS = {
    'the store was away': (_faults.FaultKind.STORE, 1),
    'its daemon was paused': (_faults.FaultKind.PAUSE, 0),
    'another daemon was paused': (_faults.FaultKind.PAUSE, 1),
    'another daemon was killed': (_faults.FaultKind.KILL, 1),
    'its daemon was terminated': (_faults.FaultKind.TERMINATE, 0),
}


@then('plans of {seeds:d} seeds are alike twice, and differ from others')
def step_plans(context, seeds):
    plans = [_faults.make_plan(seed, 5, 12.0) for seed in range(seeds)]
    again = [_faults.make_plan(seed, 5, 12.0) for seed in range(seeds)]
    assert plans == again
    assert len(set(plans)) == seeds
    kinds = {fault.kind for plan in plans for fault in plan}
    assert kinds == set(_faults.FaultKind)


@given('books in which {deed}')
def step_books(context, deed):
    context.soak = SoakSubject()
    context.cleanups.append(context.soak.folder.cleanup)
    DEEDS[deed](context.soak)


@given('{fault} then')
def step_fault(context, fault):
    context.soak.disturb(*FAULTS[fault])


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

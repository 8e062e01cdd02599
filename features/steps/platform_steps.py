"""Steps on the platform client, against the stand-in over HTTP."""

import random

from behave import given
from behave import then
from behave import when

from sedgering import exceptions
from sedgering import platform
from sedgering import settings
from sedgering import storage
from sedgering import testing


class PlatformSubject:
    """A client with an injected clock, and the stand-in it talks to."""

    def __init__(self):
        self.budget_s = 0
        self.engine = testing.PlatformEngine(now_s=self.clock_s)
        (port,) = testing.free_ports(1)
        self.server = testing.StoreServer('127.0.0.1', port, self.engine)
        self.server.start()
        self.now_ms = 0
        self.settings = settings.PlatformSettings(
            address='127.0.0.1',
            port=port,
            timeout_ms=300,
            concurrent_calls=2,
            queue_wait_ms=20,
            circuit_failures=3,
        )
        calls = platform.StoreClient(
            platform.BlockingHttpClient(
                platform.StoreSettings('127.0.0.1', port, 300)
            )
        )
        self.client = storage.GuardedStore(
            platform.RecordsTable(calls, platform.RECORDS_TABLE),
            platform.PlatformObjectStore(calls),
            self.settings,
            storage.Circuit(3, 500, 8000, random.Random(1)),
            lambda: self.now_ms,
        )

    def clock_s(self):
        self.budget_s += 1
        return self.budget_s

    def write(self, key='k', conditions=()):
        return self.client.transact(
            storage.Transaction('op', conditions, (storage.Put(key, b'v'),))
        )

    def get_in_state(self, state):
        faults = self.engine.faults
        if state == 'down':
            faults.mode = testing.StoreMode.BUSY
        elif state == 'gone':
            self.server.stop()
        elif state == 'losing the answer':
            faults.lose_answers = 1
        elif state == 'slower than the deadline':
            faults.slow_ms = 1000
        elif state == 'over its budget':
            self.engine._now_s = lambda: 0.0
            for bucket in (self.engine._writes, self.engine._reads):
                bucket._tokens = 0.0
                bucket._at_s = 0.0


@given('a platform stand-in over HTTP')
def step_platform(context):
    context.platform = PlatformSubject()
    context.cleanups.append(context.platform.server.stop)


@when('the stand-in is {state}')
def step_state(context, state):
    context.platform.get_in_state(state)


@then('a write is {kind} with code {code:d}')
def step_write(context, kind, code):
    outcome = context.platform.write()
    assert outcome.kind.value == kind, outcome
    assert int(outcome.code or 0) == code, outcome


@given('a row written once')
def step_row(context):
    outcome = context.platform.write()
    assert outcome.kind is storage.OutcomeKind.DONE


@then('writing it as if it were absent is a conflict and changes nothing')
def step_conflict(context):
    subject = context.platform
    (before,) = subject.client.read(['k'])
    outcome = subject.write(conditions=(storage.Condition('k', 0),))
    assert outcome.is_conflict
    assert outcome.kind is storage.OutcomeKind.NOT_DONE
    assert subject.client.read(['k']) == (before,)


def code_of(call):
    try:
        call()
    except exceptions.PlatformError as error:
        return int(error.code)
    return 0


@then('a read fails with code {code:d}')
def step_read(context, code):
    assert code_of(lambda: context.platform.client.read(['k'])) == code


@then('fetching an unknown object fails with code {code:d}')
def step_object(context, code):
    client = context.platform.client
    assert code_of(lambda: client.get_object(b'\x01' * 32)) == code


@when('{count:d} calls fail in a row')
def step_failures(context, count):
    context.platform.engine.faults.mode = testing.StoreMode.BUSY
    for _ in range(count):
        assert code_of(lambda: context.platform.client.read(['k'])) == 3001


@then('the next call is not sent and has code {code:d}')
def step_not_sent(context, code):
    subject = context.platform
    subject.engine.faults.mode = testing.StoreMode.SOUND
    before = subject.engine.stats.writes
    outcome = subject.write()
    assert int(outcome.code) == code
    assert outcome.kind is storage.OutcomeKind.NOT_DONE
    assert subject.engine.stats.writes == before


@when('the platform is back and the pause is over')
def step_pause_over(context):
    context.platform.now_ms += 10_000


@then('one call passes and closes the circuit')
def step_closed(context):
    subject = context.platform
    assert subject.write().kind is storage.OutcomeKind.DONE
    assert subject.client.circuit.state is storage.CircuitState.CLOSED


@then('a circuit whose probes fail waits at most 8000 ms, jittered')
def step_growth(context):
    circuit = storage.Circuit(1, 500, 8000, random.Random(7))
    circuit.record(False, 0)
    now_ms = 0
    pauses = []
    for _ in range(12):
        started_ms = now_ms
        while not circuit.allow(now_ms):
            now_ms += 10
        pauses.append(now_ms - started_ms)
        circuit.record(False, now_ms)
    assert max(pauses) <= 8010, pauses
    assert max(pauses) > 4000, pauses
    assert len(set(pauses[5:])) > 1, 'no jitter'


@when('as many calls are under way as are allowed')
def step_full(context):
    subject = context.platform
    for _ in range(subject.settings.concurrent_calls):
        assert subject.client._calls.acquire(blocking=False)


@then('one more call fails with code {code:d} without being sent')
def step_busy(context, code):
    subject = context.platform
    outcome = subject.write()
    assert int(outcome.code) == code
    assert outcome.kind is storage.OutcomeKind.NOT_DONE
    assert subject.engine.stats.writes == 0

"""Steps for the client of the metadata store, with a fake store over HTTP."""

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
    """A client with an injected clock, and the fake store that it calls."""

    def __init__(self):
        self.time_s = 0
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
        store_client = platform.StoreClient(
            platform.BlockingHttpClient(
                platform.StoreSettings('127.0.0.1', port, 300)
            )
        )
        self.client = storage.GuardedStore(
            platform.RecordsTable(store_client, platform.RECORDS_TABLE),
            platform.PlatformObjectStore(store_client),
            self.settings,
            storage.Circuit(3, 500, 8000, random.Random(1)),
            lambda: self.now_ms,
        )

    def clock_s(self):
        self.time_s += 1
        return self.time_s

    def write(self, key='k', conditions=()):
        return self.client.transact(
            storage.Transaction('op', conditions, (storage.Put(key, b'v'),))
        )

    def enter_state(self, state):
        faults = self.engine.faults
        if state == 'unavailable':
            faults.mode = testing.StoreMode.BUSY
        elif state == 'stopped':
            self.server.stop()
        elif state == 'losing the response':
            faults.lose_answers = 1
        elif state == 'slower than the timeout':
            faults.slow_ms = 1000
        elif state == 'over its rate limit':
            self.engine._now_s = lambda: 0.0
            for bucket in (self.engine._writes, self.engine._reads):
                bucket._tokens = 0.0
                bucket._at_s = 0.0


@given('a fake metadata store over HTTP')
def step_platform(context):
    context.platform = PlatformSubject()
    context.cleanups.append(context.platform.server.stop)


@when('the fake store is {state}')
def step_state(context, state):
    context.platform.enter_state(state)


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


def find_error_code(call):
    try:
        call()
    except exceptions.PlatformError as error:
        return int(error.code)
    return 0


@then('a read fails with code {code:d}')
def step_read(context, code):
    assert find_error_code(lambda: context.platform.client.read(['k'])) == code


@then('fetching an unknown object fails with code {code:d}')
def step_object(context, code):
    client = context.platform.client
    assert find_error_code(lambda: client.get_object(b'\x01' * 32)) == code


@when('{count:d} calls fail in a row')
def step_failures(context, count):
    context.platform.engine.faults.mode = testing.StoreMode.BUSY
    for _ in range(count):
        assert (
            find_error_code(lambda: context.platform.client.read(['k']))
            == 3001
        )


@then('the next call is not sent and has code {code:d}')
def step_not_sent(context, code):
    subject = context.platform
    subject.engine.faults.mode = testing.StoreMode.SOUND
    before = subject.engine.stats.writes
    outcome = subject.write()
    assert int(outcome.code) == code
    assert outcome.kind is storage.OutcomeKind.NOT_DONE
    assert subject.engine.stats.writes == before


@when('the store has recovered and the open time has elapsed')
def step_open_time_over(context):
    context.platform.now_ms += 10_000


@then('one call succeeds and closes the circuit')
def step_closed(context):
    subject = context.platform
    assert subject.write().kind is storage.OutcomeKind.DONE
    assert subject.client.circuit.state is storage.CircuitState.CLOSED


@then('a circuit whose probes fail stays open for at most 8000 ms, jittered')
def step_growth(context):
    circuit = storage.Circuit(1, 500, 8000, random.Random(7))
    circuit.record(False, 0)
    now_ms = 0
    open_times_ms = []
    for _ in range(12):
        started_ms = now_ms
        while not circuit.allow(now_ms):
            now_ms += 10
        open_times_ms.append(now_ms - started_ms)
        circuit.record(False, now_ms)
    assert max(open_times_ms) <= 8010, open_times_ms
    assert max(open_times_ms) > 4000, open_times_ms
    assert len(set(open_times_ms[5:])) > 1, 'no jitter'


@when('the limit of concurrent calls is reached')
def step_calls_limit(context):
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

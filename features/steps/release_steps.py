"""Steps on sign-off and roll."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sedgering import bundle as bundles
from sedgering import exceptions
from sedgering import release
from sedgering import testing

CERTAIN_FAILURES = frozenset(exceptions.Code) - {
    exceptions.Code.RELEASE_UNKNOWN
}


class Crash(BaseException):
    """The operator's process ends here."""


def make_faults(is_down, lose_answers, delay_writes):
    """Make faults of the platform."""
    mode = testing.StoreMode.BUSY if is_down else testing.StoreMode.SOUND
    return testing.Faults(mode, 0, 0, lose_answers, delay_writes)


class HookedPlatform(testing.InMemoryPlatform):
    """Runs a hook before a certain call of one client.

    Calls are counted over reads, transactions and objects.
    """

    def __init__(self, engine):
        super().__init__(engine)
        self.hooks = {}
        self.calls = 0

    def _count(self):
        self.calls += 1
        hook = self.hooks.pop(self.calls, None)
        if hook:
            hook()

    def read(self, keys):
        self._count()
        return super().read(keys)

    def transact(self, transaction):
        self._count()
        return super().transact(transaction)

    def put_object(self, digest, body):
        self._count()
        return super().put_object(digest, body)


def make_content(number):
    return bundles.make_bundle(
        'mesh', policies=(bundles.Policy('p', timeout_ms=number + 1),)
    )


def make_engine():
    # Time moves on with each call, so that budgets never run out.
    clock = iter(range(10_000_000))
    return testing.PlatformEngine(now_s=lambda: next(clock))


class ReleaseSubject:
    """A platform, its operators and what they were told."""

    def __init__(self):
        self.engine = make_engine()
        self.errors = {}
        self.stores = {}
        self.numbers = iter(range(1, 1000))

    def store(self, operator):
        return self.stores.setdefault(operator, HookedPlatform(self.engine))

    def client(self, operator):
        store = self.store(operator)
        return release.ReleaseClient(
            store, store, lambda: 0, lambda attempt: None
        )

    def sign_off(self, operator, number=None, operation=None):
        number = next(self.numbers) if number is None else number
        return self.client(operator).sign_off(
            make_content(number),
            operator,
            operation or release.make_operation_id(),
        )

    def roll(self, operator, version, operation=None):
        try:
            return self.client(operator).roll(
                version, operator, operation or release.make_operation_id()
            )
        except exceptions.SedgeringError as error:
            self.errors[operator] = error

    def head(self):
        return self.client('reader').read_head()


@given('an empty platform')
def step_empty(context):
    context.release = ReleaseSubject()


@given('versions 1 and 2 are signed off')
def step_signed(context):
    context.release.sign_off('anna')
    context.release.sign_off('anna')


@given('version {version:d} is rolled by {operator}')
def step_rolled(context, version, operator):
    assert context.release.roll(operator, version)


@when('anna signs off while bela is between reading and writing')
def step_race_sign_off(context):
    subject = context.release
    # Call 1 reads, call 2 stores the content, call 3 is the transaction:
    # nothing is rolled yet, so that there is no difference to store.
    subject.store('bela').hooks[3] = lambda: subject.sign_off('anna')
    try:
        subject.sign_off('bela')
    except exceptions.ReleaseError as error:
        subject.errors['bela'] = error


@when('anna rolls 2 while bela rolls 1')
def step_race_roll(context):
    subject = context.release
    # Call 1 reads the head, call 2 the sign-off, call 3 is the transaction.
    subject.store('bela').hooks[3] = lambda: subject.roll('anna', 2)
    subject.roll('bela', 1)


@then('{operator} is refused with {code:d} naming "{named}"')
def step_refused(context, operator, code, named):
    error = context.release.errors[operator]
    assert int(error.code) == code, str(error)
    assert named in str(error), str(error)


@then('{count:d} version is signed off')
def step_count(context, count):
    assert len(context.release.client('x').list_sign_offs()) == count


@then('version {version:d} is rolled')
def step_head(context, version):
    assert context.release.head().version == version


@when('{operator} rolls {version:d}')
def step_roll(context, operator, version):
    context.release.roll(operator, version)


@when('{operator} rolls {version:d} as operation {operation}')
def step_roll_as(context, operator, version, operation):
    context.release.errors.pop(operator, None)
    context.release.roll(operator, version, operation)


@when('anna signs off the content of version 1 again')
def step_undo(context):
    client = context.release.client('anna')
    client.sign_off(client.read_bundle(1), 'anna', release.make_operation_id())


@then('version 3 has the content of version 1')
def step_undone(context):
    client = context.release.client('anna')
    assert client.read_bundle(3) == client.read_bundle(1)
    assert client.read_bundle(3) != client.read_bundle(2)


@given('the next write is carried out without an answer')
def step_lose_answer(context):
    context.release.engine.faults.lose_answers = 1


@given('the next write is lost on its way')
def step_lose_write(context):
    context.release.engine.faults.delay_writes = 1


@given('the next write is carried out and then the platform is down')
def step_lose_and_down(context):
    subject = context.release
    subject.engine.faults.lose_answers = 1

    def go_down():
        subject.engine.faults.mode = testing.StoreMode.BUSY

    # Call 4 is the first look at what became of the transaction.
    subject.store('bela').hooks[4] = go_down


@when('the platform is back')
def step_back(context):
    context.release.engine.faults = testing.Faults()


@when('the write that was lost arrives after all')
def step_late(context):
    context.release.engine.deliver_delayed()


@then('version {version:d} is rolled once by {operator}')
def step_rolled_once(context, version, operator):
    subject = context.release
    assert operator not in subject.errors, str(subject.errors[operator])
    subject.engine.deliver_delayed()
    rolls = subject.client('x').list_rolls()
    assert [(r.version, r.operator) for r in rolls] == [(version, operator)]
    assert subject.head().version == version


@then('a roll that is hit by an outage at any call is told what is true')
def step_any_call(context):
    seen = set()
    for call in range(1, 12):
        for lose in (0, 1):
            subject = ReleaseSubject()
            subject.sign_off('anna')
            store = subject.store('bela')

            def go_down(engine=subject.engine, lose=lose):
                engine.faults = make_faults(not lose, lose, lose)

            store.hooks[call] = go_down
            record = subject.roll('bela', 1)
            subject.engine.faults = testing.Faults()
            subject.engine.deliver_delayed()
            rolled = subject.head().version == 1
            error = subject.errors.get('bela')
            if record:
                assert rolled, call
            elif error.code in CERTAIN_FAILURES:
                assert not rolled, (call, str(error))
            seen.add((bool(record), error and error.code))
    assert len(seen) >= 2, seen


class ReleaseMachine(stateful.RuleBasedStateMachine):
    """Operators against a sequential model.

    The model is what each operator was told.  What was told done stands
    in the table exactly once; what was told not done never does.
    """

    operators = st.sampled_from(['anna', 'bela', 'csaba'])
    call_numbers = st.one_of(st.none(), st.integers(1, 8))

    def __init__(self):
        super().__init__()
        self.subject = ReleaseSubject()
        self.done = set()
        self.not_done = set()
        self.open = {}
        self.count = 0
        self.last_head = 0

    def _run(self, operator, operation, crash_at, action):
        store = self.subject.store(operator)
        store.calls = 0
        store.hooks = {crash_at: self._crash} if crash_at else {}
        try:
            action(self.subject.client(operator))
        except Crash:
            self.open[operation] = (operator, action)
        except exceptions.SedgeringError as error:
            if error.code is exceptions.Code.RELEASE_UNKNOWN:
                self.open[operation] = (operator, action)
            elif operation not in self.open:
                self.not_done.add(operation)
            # The first try of an operation that is open may yet arrive.
        else:
            self.done.add(operation)
            self.open.pop(operation, None)

    def _crash(self):
        raise Crash

    @stateful.rule(operator=operators, crash_at=call_numbers)
    def sign_off(self, operator, crash_at):
        self.count += 1
        number = self.count
        operation = f'op-{number}'
        self._run(
            operator,
            operation,
            crash_at,
            lambda client: client.sign_off(
                make_content(number), operator, operation
            ),
        )

    @stateful.rule(
        operator=operators, crash_at=call_numbers, version=st.integers(1, 6)
    )
    def roll(self, operator, crash_at, version):
        self.count += 1
        operation = f'op-{self.count}'
        self._run(
            operator,
            operation,
            crash_at,
            lambda client: client.roll(version, operator, operation),
        )

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(data=st.data())
    def resume(self, data):
        operation = data.draw(st.sampled_from(sorted(self.open)))
        operator, action = self.open[operation]
        self._run(operator, operation, None, action)

    @stateful.rule(
        down=st.booleans(), lose=st.integers(0, 2), delay=st.integers(0, 2)
    )
    def break_platform(self, down, lose, delay):
        self.subject.engine.faults = make_faults(down, lose, delay)

    @stateful.rule()
    def mend_platform(self):
        self.subject.engine.faults = testing.Faults()

    @stateful.rule()
    def late_writes_arrive(self):
        self.subject.engine.deliver_delayed()

    @stateful.invariant()
    def told_is_true(self):
        faults = self.subject.engine.faults
        self.subject.engine.faults = testing.Faults()
        client = self.subject.client('reader')
        sign_offs = client.list_sign_offs()
        rolls = client.list_rolls()
        head = client.read_head()
        self.subject.engine.faults = faults
        took_effect = [r.operation_id for r in (*sign_offs, *rolls)]
        assert len(took_effect) == len(set(took_effect)), 'doubled'
        assert self.done <= set(took_effect), 'told done, is not'
        assert not self.not_done & set(took_effect), 'told not done, is'
        versions = [record.version for record in sign_offs]
        assert versions == list(range(1, len(versions) + 1))
        assert head.latest_signed == len(versions)
        assert head.version >= self.last_head, 'went back'
        self.last_head = head.version
        rolled = [record.version for record in rolls]
        assert head.version == max(rolled, default=0)
        for record in rolls:
            assert record.from_version < record.version <= len(versions)


@then('any sequence agrees with the sequential model')
def step_machine(context):
    stateful.run_state_machine_as_test(
        ReleaseMachine,
        settings=hypothesis.settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=120,
            stateful_step_count=30,
        ),
    )

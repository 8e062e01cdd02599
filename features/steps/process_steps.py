"""Steps on the programs as processes of their own."""

import collections
import contextlib
import pathlib
import signal

from behave import given
from behave import then
from behave import when

from sedgering import testing

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / 'examples'
FILES = {'first': 'bundle.yaml', 'second': 'bundle-2.yaml'}
TARGET_SETS = ('calendar', 'ledger', 'archive')
GROUPS = 2
STOP_TIMEOUT_S = 30
CALLS = (
    testing.CallKind('GET', '/calendar/halls'),
    testing.CallKind('POST', '/bookings', 300, False, True),
    testing.CallKind('PUT', '/scores/parts.pdf', 20_000, False),
)
OPTIONS = {'traffic': {'drain_grace_ms': 500}}


class ProcessSubject:
    """A small fleet, its targets and its callers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.groups = []
        self.callers = []
        self.ledger_file = fleet.folder / 'ledger.txt'

    def path(self, which):
        return str(EXAMPLES / 'tuulai' / FILES[which])

    def start_targets(self):
        for number in range(GROUPS):
            targets = self.fleet.make_targets(
                [self.fleet.proxies[number]],
                TARGET_SETS,
                ledger_file=str(self.ledger_file),
            )
            self.groups.append(self.fleet.start_targets(targets))

    def start_callers(self, ports):
        for seed in range(3):
            caller = testing.Caller(ports, 'tuulai.example', CALLS, seed, 0.01)
            self.callers.append(caller)
            caller.start()

    def wait_calls(self, count):
        start = sum(len(caller.records) for caller in self.callers)
        self.fleet.wait_until(
            lambda: (
                sum(len(caller.records) for caller in self.callers)
                >= start + count
            ),
            f'{count} more calls',
        )

    def judge(self):
        for caller in self.callers:
            caller.stop()
        records = [item for caller in self.callers for item in caller.records]
        ledger = collections.Counter(self.ledger_file.read_text().split())
        return testing.judge_calls(records, ledger)


@given('a platform and {count:d} proxies in 2 data centres')
def step_fleet(context, count):
    stack = contextlib.ExitStack()
    context.cleanups.append(stack.close)
    fleet = stack.enter_context(testing.make_fleet('tuulai', OPTIONS))
    fleet.start_platform()
    names = ['khan-uul', 'sukhbaatar'] * count
    fleet.add_proxies(names[:count])
    fleet.wait_members()
    context.process = ProcessSubject(fleet)


@then('"sedgering {command}" says "{said}"')
def step_says(context, command, said):
    subject = context.process
    arguments = command.split()
    if command == 'check':
        output = subject.fleet.run_operator(
            'check', subject.path('first'), needs_config=False
        )
    else:
        output = subject.fleet.run_operator(*arguments)
    assert said in output, output


@then('"sedgering {command}" of the {which} bundle says "{said}"')
def step_file_says(context, command, which, said):
    subject = context.process
    output = subject.fleet.run_operator(command, subject.path(which))
    assert said in output, output


@then('"sedgering {command}" fails with "{said}"')
def step_fails(context, command, said):
    try:
        context.process.fleet.run_operator(*command.split())
    except RuntimeError as error:
        assert said in str(error), str(error)
        assert 'Traceback' not in str(error), str(error)
    else:
        raise AssertionError('it succeeded')


@given('targets, a bundle in force and callers')
def step_in_force(context):
    subject = context.process
    subject.start_targets()
    version = subject.fleet.roll_file(subject.path('first'))
    subject.fleet.wait_version(version)
    subject.fleet.wait_targets(dict.fromkeys(TARGET_SETS, GROUPS))
    # The third proxy is the one that goes; callers that would go on
    # asking it would only learn that it is not there.
    ports = [proxy.data_port for proxy in subject.fleet.proxies]
    subject.start_callers(ports)
    subject.wait_calls(60)


@when('a proxy is told to reload, which it does not support, and to leave')
def step_leave(context):
    subject = context.process
    context.leaving = subject.fleet.proxies[2].process
    context.leaving.send_signal(signal.SIGHUP)
    subject.wait_calls(60)
    context.leaving.send_signal(signal.SIGTERM)
    subject.wait_calls(60)


@then('it ends by itself with status 0')
def step_ended(context):
    assert context.leaving.wait(STOP_TIMEOUT_S) == 0


@when('all targets but one group are told to leave')
def step_targets_leave(context):
    subject = context.process
    subject.groups[1].send_signal(signal.SIGTERM)
    assert subject.groups[1].wait(STOP_TIMEOUT_S) == 0
    subject.wait_calls(60)


@then('every proxy knows one target of each set')
def step_one_target(context):
    context.process.fleet.wait_targets(dict.fromkeys(TARGET_SETS, 1))


@when('a proxy is killed, a version is rolled, and the proxy starts again')
def step_kill(context):
    subject = context.process
    proxy = subject.fleet.proxies[2]
    proxy.process.send_signal(signal.SIGKILL)
    proxy.process.wait(STOP_TIMEOUT_S)
    context.version = subject.fleet.roll_file(subject.path('second'))
    subject.fleet.start_proxy(proxy)
    subject.wait_calls(60)


@then('every proxy holds the version rolled')
def step_holds(context):
    context.process.fleet.wait_version(context.version)


@then('no call was lost, doubled, cut or told wrongly')
def step_sound(context):
    verdict = context.process.judge()
    assert verdict.answered > 0, verdict
    faults = (
        verdict.lost,
        verdict.doubled,
        verdict.cut,
        verdict.told_wrongly,
    )
    assert faults == (0, 0, 0, 0), verdict


def fetch(context, path, body=None):
    port = context.process.fleet.proxies[0].admin_port
    return context.process.fleet.http.request(
        'POST' if body else 'GET', f'http://127.0.0.1:{port}{path}', body=body
    )


@then('/healthz answers 200 and /readyz 503 before the first bundle')
def step_health(context):
    assert fetch(context, '/healthz').status == 200
    assert fetch(context, '/readyz').status == 503


@then('a malformed report of a target is refused with 400')
def step_report(context):
    for body in (b'{', b'{"name": "x"}', b'[]'):
        response = fetch(context, '/targets', body)
        assert response.status == 400, response.status
        assert b'SDG-5009' in response.data


@then('/metrics has "{name}"')
def step_metrics(context, name):
    assert name.encode() in fetch(context, '/metrics').data

"""Steps for targets that crash, and the requests that crash them."""

import asyncio

from behave import given
from behave import then
from behave import when
import mesh_steps
import sight_steps

from sedgering import testing

FATAL_URLS = {'/r0/fatal', '/once/fatal'}
#: Pause between two requests that crash targets.
FATAL_GAP_S = 0.05
#: Pause between two requests of each other caller.
OTHERS_GAP_S = 0.02
OTHERS = 4
#: Part of the answer to a quarantined request.
QUARANTINED_CODE = b'"code": 5015'
#: Minimum retry time in the answer to a quarantined request.
MIN_QUARANTINE_S = 50
#: How many targets crash in a row, and the pause between two crashes.
CAUSES = {
    'unrelated faults': (3, 0.3),
    'unrelated faults, together': (3, 0.0),
}
FIRST_CRASH_S = 0.5
#: Pause between two series of crashes.
SERIES_GAP_S = 1.0
#: Work time of the test targets.
WORK_S = 0.02
#: Restart time of a target that crashed because of an unrelated fault.
RESTART_S = 0.4
#: Time within which a member row is written.
ROWS_S = 0.5
#: Deadline of each request.
DEADLINE_MS = 2000


class _RepeatingCaller:
    """Sends a request to the hosts of a mesh in turn; keeps the answers."""

    def __init__(self, mesh, name, url, gap_s, waits=False):
        #: Whether it repeats the request only after an answer, so that the
        #: result does not depend on how busy the machine is.
        self.waits = waits
        self.mesh = mesh
        self.name = name
        self.url = url
        self.gap_s = gap_s
        self.answers: dict[str, object] = {}

    async def run(self, for_s: float) -> None:
        """Send requests for some time; then wait for the last answers."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        hosts = list(self.mesh.fleet.hosts.values())
        tasks = []
        while loop.time() < end_s:
            host = hosts[len(tasks) % len(hosts)]
            request_id = f'{self.name}-{len(tasks)}'
            tasks.append(loop.create_task(self._send(host, request_id)))
            if self.waits:
                await tasks[-1]
            await asyncio.sleep(self.gap_s)
        await asyncio.gather(*tasks)

    async def _send(self, host, request_id: str) -> None:
        self.answers[request_id] = await self.mesh.fleet.start_call(
            host.addresses.callers_port,
            self.url,
            X_Request_Id=request_id,
            X_Request_Deadline=str(DEADLINE_MS),
        )


@given(
    'a mesh with {count:d} calendar hosts whose targets come back after '
    '{back_s:g} s'
)
def step_mesh_of(context, count, back_s):
    mesh = mesh_steps.MeshSubject()
    mesh.back_s = back_s
    context.mesh = mesh
    context.cleanups.append(mesh.fleet.stop)
    for number in range(count):
        host = mesh.fleet.add_host(f'hall-{number}')
        host.books.work_s = WORK_S
        host.books.fatal_urls = set(FATAL_URLS)
        mesh.fleet.let_crash(host, back_s)
    mesh.routes[0] = {'attempts': 3}
    mesh.configure()
    mesh.fleet.wait_ready()


@given('the store does not answer')
def step_store_away(context):
    context.mesh.fleet.engine.faults = testing.Faults(
        mode=testing.StoreMode.SILENT
    )


@given('requests go to {attempts:d} target at most')
def step_attempts(context, attempts):
    context.mesh.routes[0] = {'attempts': attempts}
    context.mesh.configure()


@when(
    '"{url}" is requested from each host in turn for {for_s:g} s, '
    'as others request "{other_url}"'
)
def step_request_fatal(context, url, for_s, other_url):
    mesh = context.mesh
    context.fatal = _RepeatingCaller(
        mesh, 'fatal', url, FATAL_GAP_S, waits=True
    )
    context.others = [
        _RepeatingCaller(
            mesh, f'other-{number}', f'{other_url}{number}', OTHERS_GAP_S
        )
        for number in range(OTHERS)
    ]

    async def run():
        callers = (context.fatal, *context.others)
        await asyncio.gather(*(caller.run(for_s) for caller in callers))

    mesh.fleet.run(run())


@when('all daemons are killed and start again')
def step_restart(context):
    mesh = context.mesh
    # Wait until rows with the last crash are written.
    mesh.fleet.run(asyncio.sleep(ROWS_S))
    mesh.fleet.restart_all()
    mesh.fleet.wait_ready()


async def _crash_targets(mesh, cause: str) -> None:
    """Crash targets with the fatal request, or without any request."""
    if cause not in CAUSES:
        caller = _RepeatingCaller(
            mesh, 'fatal', '/r0/fatal', FATAL_GAP_S, waits=True
        )
        await caller.run(2.0)
        return
    hosts = list(mesh.fleet.hosts.values())
    count, pause_s = CAUSES[cause]
    await asyncio.sleep(FIRST_CRASH_S)
    for group in (hosts[:count], hosts[count:]):
        for host in group:
            mesh.fleet.crash(host, RESTART_S)
            await asyncio.sleep(pause_s)
        await asyncio.sleep(SERIES_GAP_S)


@when(
    '"{url}" is requested from each host in turn for {for_s:g} s, '
    'as targets crash because of {cause}'
)
def step_request_same(context, url, for_s, cause):
    mesh = context.mesh
    context.others = [
        _RepeatingCaller(mesh, f'same-{number}', url, OTHERS_GAP_S)
        for number in range(OTHERS)
    ]

    async def run():
        callers = (caller.run(for_s) for caller in context.others)
        await asyncio.gather(_crash_targets(mesh, cause), *callers)

    mesh.fleet.run(run())


@then('none of its callers was told that it is quarantined')
def step_not_quarantined(context):
    for caller in context.others:
        for answer in caller.answers.values():
            assert QUARANTINED_CODE not in answer.body, answer


@then('no attempt of it ran twice')
def step_once(context):
    ids = [run[0] for run in context.mesh.list_runs()]
    ran = [item for item in ids if item in context.fatal.answers]
    assert ran and len(set(ran)) == len(ran), ran


@when('{count:d} of the targets crash')
def step_some_crash(context, count):
    sight_steps.start_lines(context)
    mesh = context.mesh

    async def run():
        for host in list(mesh.fleet.hosts.values())[:count]:
            mesh.fleet.crash(host, mesh.back_s)

    mesh.fleet.run(run())
    context.crashed = count


@then('{count:d} calls of each host are answered, and few attempts fail')
def step_calls_go(context, count):
    mesh = context.mesh
    hosts = list(mesh.fleet.hosts.values())
    for host in hosts:
        for number in range(count):
            answer = mesh.fleet.call(
                host.addresses.callers_port,
                f'/r0/{number}',
                X_Request_Id=f'{host.name}-{number}',
                X_Request_Deadline=str(DEADLINE_MS),
            )
            assert answer.status == 200, answer
    failed = context.lines.list('attempt failed')
    # Each daemon detects each crash with one or two failed attempts.
    assert len(failed) <= 2 * context.crashed * len(hosts), len(failed)


@then('at most {most:d} targets have crashed')
def step_crashed(context, most):
    hosts = context.mesh.fleet.hosts.values()
    crashed = sum(host.crashes for host in hosts)
    assert 0 < crashed <= most, f'{crashed} targets have crashed'


@then('it was answered 502 where it had run, and else 503 with a retry time')
def step_statuses(context):
    ran = {run[0] for run in context.mesh.list_runs()}
    for request_id, answer in context.fatal.answers.items():
        expected = 502 if request_id in ran else 503
        assert answer.status == expected, (request_id, answer)
        if expected == 503:
            retry_after_s = float(answer.find('retry-after'))
            minimum_s = (
                MIN_QUARANTINE_S if QUARANTINED_CODE in answer.body else 0
            )
            assert retry_after_s > minimum_s, answer


@then('{percent:d} % of its callers were answered by a target')
@then('{percent:d} % of the others were answered by a target')
def step_others(context, percent):
    answers = [
        answer
        for caller in context.others
        for answer in caller.answers.values()
    ]
    good = sum(answer.status == 200 for answer in answers)
    assert good * 100 >= percent * len(answers), (good, len(answers))


@given('only the second host has a target, which works {work_s:g} s')
def step_second_only(context, work_s):
    mesh = context.mesh
    mesh.second.books.work_s = work_s
    assert mesh.fleet.report(mesh.first, 'draining') == 200


@when('it is replaced while a call that names it is in flight')
def step_replaced(context):
    """Queue calls that name the old target, and replace it meanwhile."""
    mesh = context.mesh
    target_client = mesh.second.daemon.state.target_client
    gate = target_client.gate
    slots = gate.limit

    async def run():
        calls = [
            asyncio.ensure_future(
                mesh.fleet.start_call(
                    mesh.first.addresses.callers_port,
                    '/r0/',
                    X_Request_Id=f'{number}',
                    X_Request_Deadline=str(DEADLINE_MS),
                )
            )
            for number in range(slots + 1)
        ]
        while not gate.waiting:
            await asyncio.sleep(0.01)
        # One call is queued and names the previous target.
        mesh.second.books.target = 'i-new'
        mesh.second.sequence = 0
        report = asyncio.to_thread(mesh.fleet.report, mesh.second)
        assert await report == 200
        await asyncio.gather(*calls)

    mesh.fleet.run(run())


@then('the new target is open')
def step_new_open(context):
    mesh = context.mesh
    mesh.fleet.report(mesh.second)
    target = mesh.second.daemon.state.target_client.target
    assert target.is_open, target.report
    assert target.target == 'i-new', target.report


@when('"{url}" and "{other_url}" are asked twice, and the lines are read')
def step_ask_twice(context, url, other_url):
    sight_steps.start_lines(context)
    mesh = context.mesh
    context.ids = set()
    for number in range(2):
        context.ids.add(f'{url}-{number}')
        for asked_url in (url, other_url):
            mesh.fleet.call(
                mesh.fleet.hosts['hall-0'].addresses.callers_port,
                asked_url,
                X_Request_Id=f'{asked_url}-{number}',
                X_Request_Deadline=str(DEADLINE_MS),
            )


@then('the lines "{message}" of "{url}" have one fingerprint')
def step_one_fingerprint(context, message, url):
    lost = [
        line
        for line in context.lines.list(message)
        if line['outcome'] == 'unknown'
    ]
    assert {line['request_id'] for line in lost} == context.ids, lost
    assert len({line['fingerprint'] for line in lost}) == 1, lost
    assert lost[0]['fingerprint'], lost

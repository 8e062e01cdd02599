"""Steps over targets that end, and requests under which they do."""

import asyncio

from behave import given
from behave import then
from behave import when
import mesh_steps
import sight_steps

from sedgering import testing

FATAL_URLS = {'/r0/fatal', '/once/fatal'}
#: Between two asks of the request that ends targets.
ASK_GAP_S = 0.05
#: Between two asks of each of the others.
OTHERS_GAP_S = 0.02
OTHERS = 4
#: Told to those whose request is held back.
HELD_BACK = b'"code": 5015'
#: A caller whose request is held back is told to come back later than this.
LEAST_HOLD_S = 50
#: Targets that end together, or one after the other with these pauses.
CAUSES = {
    'a cause of their own': (3, 0.3),
    'a cause of their own, together': (3, 0.0),
}
FIRST_END_S = 0.5
#: Between two series of ends.
SERIES_GAP_S = 1.0
#: Time that the target of the tests takes for its work.
WORK_S = 0.02
#: Time until a target is back that has ended for a cause of its own.
BACK_S = 0.4
#: Time in which a row is written.
ROWS_S = 0.5
#: Beyond it nobody waits for an answer.
STATED_MS = 2000


class _Asker:
    """Asks the hosts of a mesh in turn, and keeps what it was told."""

    def __init__(self, mesh, name, url, gap_s, waits=False):
        #: Whether it asks again only once it has been answered, so that what
        #: it meets does not depend on how busy the machine is.
        self.waits = waits
        self.mesh = mesh
        self.name = name
        self.url = url
        self.gap_s = gap_s
        self.answers: dict[str, object] = {}

    async def run(self, for_s: float) -> None:
        """Ask until the time is over; then wait for the last answers."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        hosts = list(self.mesh.fleet.hosts.values())
        asking = []
        while loop.time() < end_s:
            host = hosts[len(asking) % len(hosts)]
            request_id = f'{self.name}-{len(asking)}'
            asking.append(loop.create_task(self._ask(host, request_id)))
            if self.waits:
                await asking[-1]
            await asyncio.sleep(self.gap_s)
        await asyncio.gather(*asking)

    async def _ask(self, host, request_id: str) -> None:
        self.answers[request_id] = await self.mesh.fleet.start_call(
            host.addresses.callers_port,
            self.url,
            X_Request_Id=request_id,
            X_Request_Deadline=str(STATED_MS),
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


@given('the store answers nothing')
def step_store_away(context):
    context.mesh.fleet.engine.faults = testing.Faults(
        mode=testing.StoreMode.SILENT
    )


@given('requests go to {attempts:d} target at most')
def step_attempts(context, attempts):
    context.mesh.routes[0] = {'attempts': attempts}
    context.mesh.configure()


@when(
    '"{url}" is asked at each host in turn for {for_s:g} s, '
    'as others ask "{other_url}"'
)
def step_ask_fatal(context, url, for_s, other_url):
    mesh = context.mesh
    context.fatal = _Asker(mesh, 'fatal', url, ASK_GAP_S, waits=True)
    context.others = [
        _Asker(mesh, f'other-{number}', f'{other_url}{number}', OTHERS_GAP_S)
        for number in range(OTHERS)
    ]

    async def run():
        askers = (context.fatal, *context.others)
        await asyncio.gather(*(asker.run(for_s) for asker in askers))

    mesh.fleet.run(run())


@when('all daemons are killed and start again')
def step_restart(context):
    mesh = context.mesh
    # Rows that tell of the last end are written by now.
    mesh.fleet.run(asyncio.sleep(ROWS_S))
    mesh.fleet.restart_all()
    mesh.fleet.wait_ready()


async def _end_targets(mesh, cause: str) -> None:
    """End targets for a cause that no request has."""
    if cause not in CAUSES:
        asker = _Asker(mesh, 'fatal', '/r0/fatal', ASK_GAP_S, waits=True)
        await asker.run(2.0)
        return
    hosts = list(mesh.fleet.hosts.values())
    count, pause_s = CAUSES[cause]
    await asyncio.sleep(FIRST_END_S)
    for group in (hosts[:count], hosts[count:]):
        for host in group:
            mesh.fleet.crash(host, BACK_S)
            await asyncio.sleep(pause_s)
        await asyncio.sleep(SERIES_GAP_S)


@when(
    '"{url}" is asked at each host in turn for {for_s:g} s, '
    'as targets end for {cause}'
)
def step_ask_same(context, url, for_s, cause):
    mesh = context.mesh
    context.others = [
        _Asker(mesh, f'same-{number}', url, OTHERS_GAP_S)
        for number in range(OTHERS)
    ]

    async def run():
        askers = (asker.run(for_s) for asker in context.others)
        await asyncio.gather(_end_targets(mesh, cause), *askers)

    mesh.fleet.run(run())


@then('none of its askers was told that it is held back')
def step_not_held(context):
    for asker in context.others:
        for answer in asker.answers.values():
            assert HELD_BACK not in answer.body, answer


@then('no attempt of it ran twice')
def step_once(context):
    ids = [run[0] for run in context.mesh.list_runs()]
    ran = [item for item in ids if item in context.fatal.answers]
    assert ran and len(set(ran)) == len(ran), ran


@when('{count:d} of the targets end')
def step_some_end(context, count):
    sight_steps.start_lines(context)
    mesh = context.mesh

    async def run():
        for host in list(mesh.fleet.hosts.values())[:count]:
            mesh.fleet.crash(host, mesh.back_s)

    mesh.fleet.run(run())
    context.ended = count


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
                X_Request_Deadline=str(STATED_MS),
            )
            assert answer.status == 200, answer
    failed = context.lines.list('attempt failed')
    # Each daemon finds each of them gone, once or twice.
    assert len(failed) <= 2 * context.ended * len(hosts), len(failed)


@then('{most:d} targets have ended at most')
def step_ended(context, most):
    hosts = context.mesh.fleet.hosts.values()
    ended = sum(host.crashes for host in hosts)
    assert 0 < ended <= most, f'{ended} targets have ended'


@then('it was told 502 where it had run, and else 503 with a time to return')
def step_told(context):
    ran = {run[0] for run in context.mesh.list_runs()}
    for request_id, answer in context.fatal.answers.items():
        expected = 502 if request_id in ran else 503
        assert answer.status == expected, (request_id, answer)
        if expected == 503:
            pause_s = float(answer.find('retry-after'))
            least_s = LEAST_HOLD_S if HELD_BACK in answer.body else 0
            assert pause_s > least_s, answer


@then('{percent:d} % of its askers were answered by a target')
@then('{percent:d} % of the others were answered by a target')
def step_others(context, percent):
    answers = [
        answer for asker in context.others for answer in asker.answers.values()
    ]
    good = sum(answer.status == 200 for answer in answers)
    assert good * 100 >= percent * len(answers), (good, len(answers))


@given('only the second host has a target, which works {work_s:g} s')
def step_second_only(context, work_s):
    mesh = context.mesh
    mesh.second.books.work_s = work_s
    assert mesh.fleet.report(mesh.first, 'draining') == 200


@when('it is replaced while a call that names it is on its way')
def step_replaced(context):
    """Send what a daemon sends that has not heard of the new target yet."""
    mesh = context.mesh
    side = mesh.second.daemon.state.side
    gate = side.gate
    places = gate.limit

    async def run():
        calls = [
            asyncio.ensure_future(
                mesh.fleet.start_call(
                    mesh.first.addresses.callers_port,
                    '/r0/',
                    X_Request_Id=f'{number}',
                    X_Request_Deadline=str(STATED_MS),
                )
            )
            for number in range(places + 1)
        ]
        while not gate.waiting:
            await asyncio.sleep(0.01)
        # One waits for a place, and names the target before.
        mesh.second.books.target = 'i-new'
        mesh.second.sequence = 0
        report = asyncio.to_thread(mesh.fleet.report, mesh.second)
        assert await report == 200
        await asyncio.gather(*calls)

    mesh.fleet.run(run())


@then('the target that is there is open')
def step_present_open(context):
    mesh = context.mesh
    mesh.fleet.report(mesh.second)
    target = mesh.second.daemon.state.side.target
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
                X_Request_Deadline=str(STATED_MS),
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

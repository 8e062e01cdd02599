"""Steps for work that a leaving daemon is known not to end."""

import asyncio

from behave import given
from behave import then
from behave import when

from sedgering import mesh as meshes
from sedgering.mesh import _hop
from sedgering import testing

DEADLINE_MS = 9000
SLOTS = 12
#: Calls of each host from which the work of a route is known: more than there
#: are targets, so that each target gets some.
KNOWN_CALLS = 4
REFUSED = 503


def _ask(mesh, host, path, name, deadline_ms=DEADLINE_MS):
    return mesh.fleet.start_call(
        host.addresses.callers_port,
        path,
        X_Request_Id=name,
        X_Request_Deadline=str(deadline_ms),
    )


def _set_slots(mesh, slots):
    for host in mesh.fleet.hosts.values():
        host.slots = slots
        mesh.fleet.report(host)


def _work_by_path(books, work_by_path):
    """Let a target work for as long as the path of a request says."""
    note_run = books.note_run

    def note(request_id, line, headers, body):
        path = line.split()[1]
        books.work_s = work_by_path.get(path, books.work_s)
        note_run(request_id, line, headers, body)

    books.note_run = note


@given('a third host whose target serves something else')
def step_other(context):
    mesh = context.mesh
    mesh.third = mesh.fleet.add_host('desk-1', 'ledger')
    mesh.fleet.wait_ready()
    _set_slots(mesh, SLOTS)
    context.work_by_path = {}
    for books in mesh.list_books():
        _work_by_path(books, context.work_by_path)


@given('a {kind} route "{path}" whose work takes {work_s:g} s')
def step_known(context, kind, path, work_s):
    mesh = context.mesh
    context.work_by_path[path] = work_s
    mesh.configure(
        {
            'name': path.strip('/'),
            'prefix': path,
            'kind': kind,
            'timeout': '10000ms',
            'target_latency': '10000ms',
        }
    )

    async def ask_all():
        return await asyncio.gather(
            *(
                _ask(mesh, host, path, f'known {path} {host.name} {number}')
                for host in mesh.fleet.hosts.values()
                for number in range(KNOWN_CALLS)
            )
        )

    answers = mesh.fleet.run(ask_all())
    assert {answer.status for answer in answers} == {200}, answers
    for host in (mesh.first, mesh.second):
        assert any(run[1].split()[1] == path for run in host.books.runs)


@given('targets with one slot')
def step_one_slot(context):
    _set_slots(context.mesh, 1)


@given('the target of the first host is {habit}')
def step_first_habit(context, habit):
    context.mesh.first.books.habit = testing.TargetHabit(habit)


def _find_hosts(mesh, hosts):
    return (
        (mesh.first, mesh.second)
        if hosts == 'both calendar hosts have'
        else (mesh.first,)
    )


def _leave_and_ask(
    context, hosts, asked, paths, count, late_s, deadline_ms=DEADLINE_MS
):
    """Let hosts leave, and ask one of them or another some time later.

    Asks before that if `late_s` is negative.
    """
    mesh = context.mesh
    leaving = _find_hosts(mesh, hosts)
    asked_host = mesh.third if asked == 'the third' else mesh.first
    context.answered_s = {}

    async def leave(host):
        await asyncio.sleep(max(0.0, -late_s))
        await host.daemon.leave(context.grace_ms)
        await host.daemon.close()

    async def ask(path, number):
        await asyncio.sleep(max(0.0, late_s))
        name = f'late {path} {number}'
        answer = await _ask(mesh, asked_host, path, name, deadline_ms)
        context.answered_s[name] = mesh.fleet.loop.time() - started_s
        return name, path, answer

    started_s = mesh.fleet.loop.time()

    async def run():
        ends = [asyncio.ensure_future(leave(host)) for host in leaving]
        context.answers = await asyncio.gather(
            *(ask(path, n) for path in paths for n in range(count))
        )
        await asyncio.gather(*ends)

    mesh.fleet.run(run())
    context.runs = [run[0] for run in mesh.list_runs()]


@when(
    '{hosts} {grace_s:d} s to shut down, and {late_s:g} s later {count:d} '
    'callers ask {asked} for "{path}"'
)
def step_ask_late(context, hosts, grace_s, late_s, count, asked, path):
    context.grace_ms = grace_s * 1000
    paths = path.split('" and "')
    _leave_and_ask(context, hosts, asked, paths, count, late_s)


@when(
    '{hosts} {grace_s:d} s to shut down, and {late_s:g} s later {count:d} '
    'callers with {time_ms:d} ms ask {asked} for "{path}"'
)
def step_ask_briefly(
    context, hosts, grace_s, late_s, count, time_ms, asked, path
):
    context.grace_ms = grace_s * 1000
    _leave_and_ask(context, hosts, asked, [path], count, late_s, time_ms)


@when(
    '{hosts} {grace_s:d} s to shut down, and {early_s:g} s before {count:d} '
    'callers ask {asked} for "{path}"'
)
def step_ask_before(context, hosts, grace_s, early_s, count, asked, path):
    context.grace_ms = grace_s * 1000
    _leave_and_ask(context, hosts, asked, [path], count, -early_s)


def _check_refused(context, name, answer):
    assert answer.status == REFUSED, (name, answer.status, answer.body)
    assert float(answer.find('retry-after')) > 0, answer.headers
    assert name not in context.runs, name


@then('each of them is told to return')
def step_told(context):
    for name, _path, answer in context.answers:
        _check_refused(context, name, answer)


@then('each of them is told to close, and to return')
def step_told_to_close(context):
    step_told(context)
    for name, _path, answer in context.answers:
        assert answer.find('connection') == 'close', (name, answer.headers)


@then('each of them is told to return after {end_s:g} s of that time')
def step_told_when(context, end_s):
    for name, _path, answer in context.answers:
        _check_refused(context, name, answer)
        return_s = context.answered_s[name] + float(answer.find('retry-after'))
        assert return_s > end_s, (name, return_s)


@then('none of these requests ran')
def step_none_ran(context):
    assert not any(name.startswith('late') for name in context.runs)


@then('none of these requests ran for "{path}"')
def step_none_ran_for(context, path):
    for name, asked_path, answer in context.answers:
        if asked_path == path:
            _check_refused(context, name, answer)


@then('each of them gets status {status:d}')
def step_status(context, status):
    for name, _path, answer in context.answers:
        assert answer.status == status, (name, answer.status, answer.body)


@then('each of them gets status {status:d} for "{path}"')
def step_status_for(context, status, path):
    for name, asked_path, answer in context.answers:
        if asked_path == path:
            assert answer.status == status, (name, answer.status, answer.body)


@then('each of these requests ran once')
def step_ran_once(context):
    for name, _path, _answer in context.answers:
        assert context.runs.count(name) == 1, (name, context.runs)


@then('{count:d} of them get status {status:d}')
def step_count(context, count, status):
    statuses = [answer.status for _name, _path, answer in context.answers]
    assert statuses.count(status) == count, statuses


@then('the others are told to return, and did not run')
def step_others(context):
    for name, _path, answer in context.answers:
        if answer.status != 200:
            _check_refused(context, name, answer)


@then(
    'they read a call refused for the end of its daemon as one that is leaving'
)
def step_previous_version(context):
    answer = meshes.CallAnswer(
        meshes.CallOutcome.NOT_RUN, reason=meshes.RefusalReason.ENDING
    )
    response = _hop.encode_answer(answer)
    assert _hop.decode_answer(response) == answer
    assert response.find(_hop.REASON) is None
    outcome = response.find(_hop.OUTCOME).split(_hop.SEPARATOR)
    assert outcome[1] == meshes.RefusalReason.LEAVING.value, outcome

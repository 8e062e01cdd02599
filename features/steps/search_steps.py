"""Steps for the search for a free slot."""

import asyncio

from behave import given
from behave import then
from behave import when

from sedgering import mesh
from sedgering.mesh import _gate
from sedgering.mesh import _search
from sedgering import testing

SET = 'calendar'
#: Far longer than a call over loopback takes, shorter than any work here.
HELD_S = 1.5


@when('a call arrives that may only run in a free slot')
def step_free_place(context):
    subject = context.gate
    now_s = subject.loop.time()
    ticket = mesh.Ticket(
        SET, 1, mesh.CallUrgency.FIRST, now_s + 300, now_s + 200, False
    )
    context.waiting = subject.gate.waiting
    context.looked_ms = subject.gate.find_busy_ms(ticket)
    context.refusal = None
    try:
        subject.loop.run_until_complete(subject.gate.enter(ticket))
    except _gate.GateRefused as error:
        context.refusal = error


@then('it is refused as busy, with a wait of {least:d} to {most:d} ms')
def step_busy(context, least, most):
    assert context.refusal.reason is mesh.RefusalReason.BUSY
    assert least <= context.refusal.retry_after_ms <= most, context.refusal


@then('no further call waits')
def step_nothing_waits(context):
    assert context.gate.gate.waiting == context.waiting


@then('find_busy_ms gives the same result')
def step_find_busy_ms(context):
    looked_ms, refusal = context.looked_ms, context.refusal
    assert (looked_ms is None) == (refusal is None), looked_ms
    if refusal is not None:
        assert abs(looked_ms - refusal.retry_after_ms) <= 1, looked_ms


@given(
    'a target with {slots:d} places that reported {running:d} running '
    'and {waiting:d} waiting calls'
)
def step_reported(context, slots, running, waiting):
    peers = mesh.PeerTable(mesh.MeshSettings())
    context.peer = peers.find(testing.make_member_row('h1'))
    load = mesh.LoadReport(running, waiting, slots, 100, 100)
    peers.record_report(context.peer, load, SET, 1.0)


@then('{age:d} ms later it is {known} to be full')
def step_known_full(context, age, known):
    found = context.peer.is_known_full(1.0 + age / 1000)
    assert found == (known == 'known')


@then('it runs at once')
def step_runs(context):
    assert context.refusal is None
    assert context.gate.gate.running == 2


@given('a search among hosts')
def step_search(context):
    context.search = _search.FreeSlotSearch(_search.SearchStats(), SET, 0)


@given('a search among hosts for a body of {size:d} bytes')
def step_search_body(context, size):
    context.search = _search.FreeSlotSearch(_search.SearchStats(), SET, size)


@when(
    'hosts report waits of {first:d}, {second:d}, {third:d} and {fourth:d} ms'
)
def step_waits(context, first, second, third, fourth):
    for wait_ms in (first, second, third, fourth):
        assert context.search.is_on
        context.search.note_busy(f'h{wait_ms}', wait_ms)


@then('the search has ended, and each host is listed once, by wait')
def step_by_waits(context):
    search = context.search
    assert not search.is_on
    assert search.list_by_wait() == ['h100', 'h200', 'h300', 'h400']
    search.forget('h100')
    assert search.list_by_wait() == ['h200', 'h300', 'h400']


@then('no search takes place')
def step_not_searched(context):
    assert not context.search.is_on
    assert not context.search.list_by_wait()


def _search_without_success(places):
    """Search without success; return whether a search was started."""
    search = _search.FreeSlotSearch(places, SET, 0)
    if not search.is_on:
        return False
    for number in range(_search.PROBES_LIMIT):
        search.note_busy(f'h{number}', 100)
    return True


@given('{count:d} searches of a set that found no free slot')
def step_in_vain(context, count):
    context.places = _search.SearchStats()
    for _number in range(count):
        _search_without_success(context.places)


@then('of {count:d} more calls {searching:d} search')
def step_some_search(context, count, searching):
    found = [_search_without_success(context.places) for _ in range(count)]
    assert sum(found) == searching, sum(found)


@then('once these find free slots again, all calls search')
def step_found_again(context):
    for _number in range(8 * _search.SEARCH_INTERVAL):
        search = _search.FreeSlotSearch(context.places, SET, 0)
        if search.is_on:
            search.note_busy('h1', 100)
            search.end(True)
    for _number in range(3):
        assert _search.FreeSlotSearch(context.places, SET, 0).is_on


@then('a call of another set searches')
def step_other_set(context):
    assert _search.FreeSlotSearch(context.places, 'ledger', 0).is_on


@given('a mesh of {hosts:d} hosts, {full:d} of which have all places taken')
def step_full_mesh(context, hosts, full):
    context.fleet = testing.MeshFleet()
    context.cleanups.append(context.fleet.stop)
    context.first = context.fleet.add_host('h0', 'ledger')
    others = [
        context.fleet.add_host(f'h{number}') for number in range(1, hosts)
    ]
    context.fleet.configure(testing.make_document(1, [{}]))
    context.fleet.wait_ready()
    context.free = others[-1]
    for host in others[:full]:
        gate = host.daemon.state.target_client.gate
        gate.running = gate.limit


@when('a caller of the first host asks {count:d} times, one after the other')
def step_ask(context, count):
    port = context.first.addresses.callers_port

    async def run():
        loop = asyncio.get_running_loop()
        context.statuses = []
        started_s = loop.time()
        for number in range(count):
            answer = await context.fleet.start_call(
                port,
                '/r0/',
                X_Request_Id=f'a{number}',
                X_Request_Deadline='3000',
            )
            context.statuses.append(answer.status)
        context.elapsed_s = loop.time() - started_s

    context.fleet.run(run())


@then('all were answered at the host that is free, and no call was held')
def step_at_free(context):
    count = len(context.statuses)
    assert context.statuses == [200] * count, context.statuses
    assert len(context.free.books.runs) == count
    # Slots elsewhere never become free.
    assert context.elapsed_s < HELD_S * count, context.elapsed_s

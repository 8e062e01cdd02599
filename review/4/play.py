"""A new version fails half of its requests on one seldom used route."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as rigs  # noqa: E402

#: Bounds of the settings, as in the sheets of the deployments with roll-outs.
SHARE, SLACK, ROLLBACK_S = 0.1, 50, 5.0
BOUNDS = {
    'expose_share': str(SHARE),
    'expose_slack': str(SLACK),
    'rollback': f'{ROLLBACK_S:.0f}s',
}
#: Time budget of the order, and how long consumers go on after it.
DURATION_S, AFTER_S = 16.0, 24.0
#: Requests a second at each machine: on the usual and on the seldom route.
USUAL_PER_S, SELDOM_PER_S = 20.0, 1.0
SERVICES = 'lobby', 'vault'
HOST = 'shop.example'


class NewServer(rigs.Server):
    """Server of the new version: every second booking fails."""

    bad_answers = []
    bookings = 0

    async def work(self, request_id, message):
        """Fail every second request on the route of bookings."""
        await asyncio.sleep(self.work_s)
        if message.start.split(' ')[1].startswith('/book/'):
            NewServer.bookings += 1
            if rigs.WITH_TROUBLE and NewServer.bookings % 2:
                NewServer.bad_answers.append(time.monotonic())
                return rigs.encode_message(
                    'HTTP/1.1 500 Internal Server Error',
                    [
                        ('X-Request-Id', request_id),
                        ('X-Response-Signature', f'sig.{self.id}'),
                        ('X-Server-Load', f'{self.running},0,{self.slots}'),
                    ],
                )
        return self.make_success(request_id, f'{self.id} {request_id}')


async def send(rig, machine, path, method, per_s, until_s, sent):
    """Send requests of consumers at a fixed rate."""
    tasks = set()
    while time.monotonic() < until_s:
        task = asyncio.ensure_future(rig.request(machine, path, HOST, method))
        tasks.add(task)
        await asyncio.sleep(1 / per_s)
    for request_id, sent_s, status, _message in await asyncio.gather(*tasks):
        sent[request_id] = (sent_s, path, status)


async def follow_status(rig, old, states):
    """Note the status that the operator reads; stop the old servers."""
    while not states or states[-1][1] not in ('succeeded', 'rolled_back'):
        status = rig.store.read_document('status', 'rollout/lobby')
        state = status and status['state']
        if state and (not states or states[-1][1] != state):
            states.append((time.monotonic(), state))
            rig.record.note(f'status   rollout/lobby is {state}')
        await asyncio.sleep(0.02)
    if states[-1][1] == 'succeeded':
        for machine in old:
            machine.server.end()
            rig.record.note(f'stopped  {machine.server.id}')


async def play(rig):
    """Order a roll-out while consumers use both routes."""
    old = [rig.add(f'hall-{n % 2}', SERVICES[0]) for n in range(4)]
    other = [rig.add(f'hall-{n}', SERVICES[1]) for n in range(2)]
    routes = [
        ('r-look', rigs.make_route('/look/', SERVICES[0])),
        ('r-book', rigs.make_route('/book/', SERVICES[0], 'non_idempotent')),
    ]
    await rig.start(rigs.make_document(1, routes, SERVICES))
    new = [rig.add(f'hall-{n}', SERVICES[0]) for n in range(2)]
    end_s = time.monotonic() + 5.0 + DURATION_S + AFTER_S
    sent = {}
    senders = [
        asyncio.ensure_future(
            send(rig, machine, path, method, per_s, end_s, sent)
        )
        for machine in (*old, *other)
        for path, method, per_s in (
            ('/look/1', 'GET', USUAL_PER_S),
            ('/book/1', 'POST', SELDOM_PER_S),
        )
    ]
    await asyncio.sleep(5.0)
    order = {'service': 'lobby', 'to': 'v2', 'duration': f'{DURATION_S:.0f}s'}
    rig.store.write_operator('rollout/lobby', order)
    ordered_s = time.monotonic()
    rig.record.note('ordered  lobby to v2')
    states = []
    watch = asyncio.ensure_future(follow_status(rig, old, states))
    for machine in new:
        machine.server = NewServer(machine, rig.record)
        machine.server.version = 'v2'
        await machine.door.listen(machine.address, rig.ports['store'])
        await machine.start_daemon()
        await machine.server.start(f'i-{machine.name}')
    await asyncio.gather(*senders)
    watch.cancel()
    return judge(rig, old, new, sent, ordered_s, states)


def judge(rig, old, new, sent, ordered_s, states):
    """Check the rule EXPOSURE; it binds bad versions only."""
    limit_s = ordered_s + DURATION_S
    runs_new = {
        request_id
        for machine in new
        for at_s, request_id, _message in machine.server.runs
        if at_s <= limit_s
    }
    runs = runs_new | {
        request_id
        for machine in old
        for at_s, request_id, _message in machine.server.runs
        if ordered_s <= at_s <= limit_s
    }
    allowed = SHARE * len(runs) + SLACK
    bad = NewServer.bad_answers
    late = []
    if len(bad) >= 50:
        late = [
            request_id
            for machine in new
            for _at_s, request_id, _message in machine.server.runs
            if request_id in sent
            and sent[request_id][0] > bad[49] + ROLLBACK_S
        ]
    told = ', '.join(f'{text} {at - ordered_s:.1f} s' for at, text in states)
    rig.record.note(
        f'summary: {len(runs_new)} of {len(runs)} requests in the time budget'
        f' went to v2, {allowed:.0f} allowed; {len(bad)} bad answers;'
        f' {len(late)} requests later than rollback; status: {told}'
    )
    if not rigs.WITH_TROUBLE:
        return []
    broken = []
    if len(runs_new) > allowed:
        broken.append(
            f'EXPOSURE: the bad version got {len(runs_new)} of {len(runs)}'
            f' requests in the time budget, {allowed:.0f} are allowed;'
            f' status: {told}'
        )
    if late:
        broken.append(
            f'EXPOSURE: the bad version got {len(late)} requests that were'
            ' sent later than rollback after its 50th bad answer'
        )
    return broken


if __name__ == '__main__':
    sys.exit(rigs.run_case(FOLDER, play, BOUNDS))

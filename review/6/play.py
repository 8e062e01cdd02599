"""The two machines that watch the store are cut from it, a route moves."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as rigs  # noqa: E402

#: The bounds `apply` of the settings, and the length of a cut.
APPLY_S = 2.0
CUT_S = 4.0
#: Longer than `stable_window`, 3 s.
CALM_S = 4.5
#: Somewhat more than the time between two watches of a machine.
WATCH_S = 2.5
ROUNDS = 5
SERVICES = 'lobby', 'vault'


def list_feeds(machine):
    """Return when each watch of the store by a machine began, by table."""
    feeds = {}
    for at_s, call in machine.door.reads:
        if '/v1/rows-feed' in call:
            feeds[call.split('table=')[1].split('&')[0]] = at_s
    return feeds


async def find_store_readers(rig):
    """Wait until just two machines watch the store, and return them.

    The moment is not chosen: their watches are renewed every two seconds.
    """
    await asyncio.sleep(CALM_S + random.uniform(0, WATCH_S))
    end_s = time.monotonic() + 12.0
    while time.monotonic() < end_s:
        since_s = time.monotonic() - WATCH_S
        readers = [
            machine
            for machine in rig.machines
            if max(list_feeds(machine).values(), default=0.0) > since_s
        ]
        if len(readers) == 2:
            names = ', '.join(machine.name for machine in readers)
            rig.record.note(f'watch the store: {names}')
            return readers
        await asyncio.sleep(0.1)
    raise rigs.NotReadyError('there are not two that watch the store')


async def send_requests(rig, machine, until_s, results):
    """Send requests of one consumer, one after the other."""
    while time.monotonic() < until_s:
        result = await rig.request(machine, '/moved/1', 'shop.example')
        results.append((machine, *result))
        await asyncio.sleep(0.1)


async def play_round(rig, number):
    """Move the route just after two machines were cut from the store."""
    version = number + 2
    old, new = SERVICES[number % 2], SERVICES[1 - number % 2]
    cut = await find_store_readers(rig)
    if rigs.WITH_TROUBLE:
        for machine in cut:
            rig.record.note(f'cut from the store: {machine.name}')
            machine.door.open.clear()
    route = rigs.make_route('/moved/', new)
    document = rigs.make_document(version, [('r-moved', route)], SERVICES)
    rig.store.write_operator('config', document)
    acknowledged_s = time.monotonic()
    rig.record.note(f'version {version} acknowledged: /moved/ goes to {new}')
    results = []
    calm = [machine for machine in rig.machines if machine not in cut]
    senders = [
        send_requests(rig, machine, acknowledged_s + CUT_S, results)
        for machine in calm
    ]
    await asyncio.gather(*senders)
    for machine in cut:
        machine.door.open.set()
    ran_old = {
        request_id: machine
        for machine in rig.machines
        if machine.service == old
        for _at_s, request_id, _message in machine.server.runs
    }
    late = [
        f'CONFIG: request {request_id} sent to {machine.name}'
        f' {sent_s - acknowledged_s:.2f} s after the acknowledgement of'
        f' version {version} was run by {ran_old[request_id].server.id} of'
        f' {old}, as only an older version says'
        for machine, request_id, sent_s, _status, _message in results
        if sent_s - acknowledged_s > APPLY_S and request_id in ran_old
    ]
    rig.record.note(f'round {number + 1}: {len(late)} requests too late')
    return late


async def play(rig):
    """Cut the two machines that watch the store, several times."""
    for number in range(8):
        rig.add(('hall-a', 'hall-b')[number % 2], SERVICES[number // 2 % 2])
    route = rigs.make_route('/moved/', SERVICES[0])
    await rig.start(rigs.make_document(1, [('r-moved', route)], SERVICES))
    late = []
    for number in range(ROUNDS):
        late += await play_round(rig, number)
    return late


if __name__ == '__main__':
    sys.exit(rigs.run_case(FOLDER, play))

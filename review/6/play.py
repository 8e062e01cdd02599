"""Two machines are cut from the store while a route moves."""

import asyncio
import math
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as rigs  # noqa: E402

#: The bounds `apply` of the settings, and the length of a cut.
APPLY_S = 2.0
CUT_S = 5.5
SERVICES = 'lobby', 'vault'


def list_feeds(machine):
    """Return when each watch of the store by a machine began, by table."""
    feeds = {}
    for at_s, call in machine.door.reads:
        if '/v1/rows-feed' in call:
            feeds[call.split('table=')[1].split('&')[0]] = at_s
    return feeds


def choose_store_readers(rig):
    """Return the two machines that have called the store most in 4 s."""
    since_s = time.monotonic() - 4.0
    counts = {
        machine.name: sum(at_s > since_s for at_s, _call in machine.door.reads)
        for machine in rig.machines
    }
    rig.record.note(f'calls to the store in 4 s: {counts}')
    ranked = sorted(rig.machines, key=lambda item: -counts[item.name])
    return ranked[:2]


async def wait_for_moment(machines):
    """Wait until the watches of the machines have begun recently.

    They are renewed every two seconds, each at a moment of its own.
    """
    youngest_s = math.inf
    end_s = time.monotonic() + 4.2
    while True:
        now_s = time.monotonic()
        begun_s = [
            at_s
            for machine in machines
            for at_s in list_feeds(machine).values()
        ]
        oldest_s = now_s - min(begun_s)
        if now_s > end_s and oldest_s < youngest_s + 0.05:
            return
        youngest_s = min(youngest_s, oldest_s)
        if now_s > end_s + 10.0:
            raise rigs.NotReadyError('no moment for the cut')
        await asyncio.sleep(0.01)


async def send_requests(rig, machine, until_s, results):
    """Send requests of one consumer, one after the other."""
    while time.monotonic() < until_s:
        result = await rig.request(machine, '/moved/1', 'shop.example')
        results.append((machine, *result))
        await asyncio.sleep(0.1)


async def play(rig):
    """Move a route just after two machines were cut from the store."""
    for number in range(8):
        rig.add(('hall-a', 'hall-b')[number % 2], SERVICES[number // 2 % 2])
    route = rigs.make_route('/moved/', SERVICES[0])
    await rig.start(rigs.make_document(1, [('r-moved', route)], SERVICES))
    cut = choose_store_readers(rig)
    await wait_for_moment(cut)
    if rigs.WITH_TROUBLE:
        for machine in cut:
            rig.record.note(f'cut from the store: {machine.name}')
            machine.door.open.clear()
    await asyncio.sleep(0.1)
    route = rigs.make_route('/moved/', SERVICES[1])
    document = rigs.make_document(2, [('r-moved', route)], SERVICES)
    rig.store.write_operator('config', document)
    acknowledged_s = time.monotonic()
    rig.record.note('version 2 acknowledged: /moved/ goes to vault')
    results = []
    calm = [machine for machine in rig.machines if machine not in cut]
    senders = [
        send_requests(rig, machine, acknowledged_s + CUT_S, results)
        for machine in calm
    ]
    await asyncio.gather(*senders)
    for machine in cut:
        machine.door.open.set()
    old = {
        request_id: machine
        for machine in rig.machines
        if machine.service == SERVICES[0]
        for _at_s, request_id, _message in machine.server.runs
    }
    return [
        f'CONFIG: request {request_id} sent to {machine.name}'
        f' {sent_s - acknowledged_s:.2f} s after the acknowledgement of'
        f' version 2 was run by {old[request_id].server.id} of'
        f' {SERVICES[0]}, as only version 1 says'
        for machine, request_id, sent_s, _status, _message in results
        if sent_s - acknowledged_s > APPLY_S and request_id in old
    ]


if __name__ == '__main__':
    sys.exit(rigs.run_case(FOLDER, play))

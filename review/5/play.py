"""Machines are restarted in turn while the store loses answers of writes."""

import asyncio
import base64
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as rigs  # noqa: E402

GRACE_S = 6.0
#: When the late writes are done, after the SIGTERM: 1 to 6 s after they were
#: sent.  And the length of the disruption.
LATE_AT_S, LOST_S = 5.6, 4.5
SERVICES = 'lobby', 'vault'
HOST = 'shop.example'


async def restart(rig, machine):
    """Stop a daemon as the platform does, and start it again."""
    rig.record.note(f'SIGTERM  {machine.name}')
    machine.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(machine.process.wait(), GRACE_S)
    except TimeoutError:
        await machine.kill()
    rig.record.note(f'ended    {machine.name}')
    await asyncio.sleep(0.1)
    await machine.start_daemon()
    rig.record.note(f'started  {machine.name}')


async def send(rig, machine, path, per_s, until_s, results):
    """Send requests of a consumer at a fixed rate."""
    tasks = []
    while time.monotonic() < until_s:
        tasks.append(asyncio.ensure_future(rig.request(machine, path, HOST)))
        await asyncio.sleep(1 / per_s)
    for _id, sent_s, status, _message in await asyncio.gather(*tasks):
        results.append((path, sent_s, status))


async def play(rig):
    """Restart three machines, one of them that of the only vault."""
    for number in range(5):
        rig.add(('hall-a', 'hall-b')[number % 2], SERVICES[0])
    vault = rig.add('hall-b', SERVICES[1])
    first = ('r-first', rigs.make_route('/first/', SERVICES[0]))
    later = ('r-later', rigs.make_route('/later/', SERVICES[1]))
    await rig.start(rigs.make_document(1, [first], SERVICES))
    document = rigs.make_document(2, [first, later], SERVICES)
    rig.store.write_operator('config', document)
    await asyncio.sleep(5.0)
    restarted = [rig.machines[0], rig.machines[1], vault]
    begun_s = time.monotonic()
    counts = {'writes': 0, 'lost': 0}

    def find_delay_s(is_lossy, body):
        """Lose the answers of writes of one machine for `LOST_S`."""
        after_s = time.monotonic() - begun_s
        if after_s > LOST_S:
            return None
        counts['writes'] += 1
        rows = [
            json.loads(base64.b64decode(put['value'])) for put in body['puts']
        ]
        rig.record.note(
            f'write    {[(row.get("host"), row.get("state")) for row in rows]}'
            f'{" lost" if is_lossy else ""}'
        )
        if not is_lossy:
            return None
        counts['lost'] += 1
        return LATE_AT_S - after_s + 0.1 * counts['lost']

    for machine in rig.machines:
        is_lossy = rigs.WITH_TROUBLE and machine is vault
        machine.door.find_delay_s = lambda body, is_lossy=is_lossy: (
            find_delay_s(is_lossy, body)
        )
    await asyncio.gather(*(restart(rig, item) for item in restarted))
    # The late writes are done, and after them the stable window and more.
    await asyncio.sleep(begun_s + LATE_AT_S + 10.0 - time.monotonic())
    rig.record.note(
        f'{counts["lost"]} of {counts["writes"]} writes were lost; row of'
        f' the vault: {read_state(rig, vault)}'
    )
    results = []
    until_s = time.monotonic() + 15.0
    await asyncio.gather(
        *(
            send(rig, machine, path, 4.0, until_s, results)
            for machine in rig.machines
            for path in ('/first/1', '/later/1')
        )
    )
    if not all([await machine.is_ready() for machine in rig.machines]):
        raise rigs.NotReadyError('a daemon is not ready after its restart')
    return judge(rig, results)


def read_state(rig, machine):
    """Return the state in the row of a machine, for the record."""
    found = [
        json.loads(base64.b64decode(row['value']))
        for (table, key), row in rig.store.rows.items()
        if key == machine.name
    ]
    return [row.get('state') for row in found]


def judge(rig, results):
    """Compare how often requests on the two routes are served."""
    shares = {}
    for path in ('/first/1', '/later/1'):
        statuses = [status for name, _s, status in results if name == path]
        served = sum(status == 200 for status in statuses)
        shares[path] = served / len(statuses)
        rig.record.note(
            f'summary: {path}: {served} of {len(statuses)} served, statuses'
            f' {sorted(set(map(str, statuses)))}'
        )
    if shares['/later/1'] < shares['/first/1'] / 4:
        return [
            'CONFIG: in steady state, requests on the route that was added'
            f' later are served {shares["/later/1"]:.2f} of the time, on the'
            f' first route {shares["/first/1"]:.2f}'
        ]
    return []


if __name__ == '__main__':
    sys.exit(rigs.run_case(FOLDER, play))

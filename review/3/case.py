"""A daemon is killed after it acknowledged that its server is leaving."""

import asyncio
import pathlib
import random
import sys

import standins

#: Pause from the acknowledgement to the kill: the store has the row by then.
KILL_AFTER_S = 0.5
START_DELAY_S = 0.5
#: How late the last two check-ins before the deregistration arrive.
BEAT_DELAYS_S = [3.2, 2.8]
#: How long the leaving server still serves after the acknowledgement.
SERVES_S = 8.0
CONSUMERS = 4
LONGEST_PAUSE_S = 0.1


async def consume(consumer: standins.Consumer, ended: list) -> None:
    """Book and look by turns."""
    while True:
        await asyncio.sleep(random.uniform(0, LONGEST_PAUSE_S))
        ended.append(await consumer.send('/book/', 'POST', b'a deposit'))
        await asyncio.sleep(random.uniform(0, LONGEST_PAUSE_S))
        ended.append(await consumer.send('/look/'))


async def play(world: standins.World) -> int:
    """Play the case."""
    names = ('hall-1', 'ledger'), ('hall-2', 'ledger')
    others = ('hall-3', 'calendar'), ('hall-4', 'calendar')
    for name, service in (*names, *others):
        world.add_daemon(name, service)
    servers = [world.add_server(daemon) for daemon in world.daemons]
    for server in servers:
        server.work_s = 0.15
    routes = [
        {'prefix': '/book/', 'kind': 'non_idempotent', 'service': 'ledger'},
        {'prefix': '/look/', 'kind': 'safe', 'service': 'ledger'},
    ]
    config = standins.make_config(1, routes, ['ledger', 'calendar'])
    world.store.put('op', 'config', config)
    for daemon in world.daemons:
        await daemon.start()
    for server in servers:
        await server.start()
    if not await standins.wait_until_ready(world.daemons, 20.0):
        return standins.NOT_RUN
    await asyncio.sleep(2.0)
    ended: list[standins.Sent] = []
    for daemon in world.daemons[2:]:
        for _ in range(CONSUMERS):
            consumer = standins.Consumer(daemon, world.record)
            world.start_task(consume(consumer, ended))
    await asyncio.sleep(4.0)
    return await leave(world, servers[0], world.daemons[0], ended)


async def leave(world, server, daemon, ended: list) -> int:
    """Let one server leave, and restart the daemon beside it."""
    if world.has_trouble:
        server.beat_delays_s = list(BEAT_DELAYS_S)
        while server.beat_delays_s:
            await asyncio.sleep(0.01)
    else:
        await asyncio.sleep(2 * server.beat_interval_s)
    await asyncio.sleep(0.4)
    # It sends no check-in after this.
    server.stop_beats()
    status = await server.tell('deregister', {})
    acknowledged_s = world.record.note(
        f'server {server.id} deregistered, answer {status}'
    )
    server.state = 'leaving'
    if status != 200:
        return standins.NOT_RUN
    if world.has_trouble:
        await asyncio.sleep(KILL_AFTER_S)
        row = world.store.read('sedgering_members', daemon.name)
        world.record.note(f'row in the store: {row}')
        await daemon.kill()
        await asyncio.sleep(START_DELAY_S)
        await daemon.start()
    end_s = acknowledged_s + SERVES_S
    now_s = world.record.note('waiting for the end of the server')
    await asyncio.sleep(end_s - now_s)
    server.exit()
    await asyncio.sleep(2.5)
    return judge(world, server, acknowledged_s, ended)


def judge(world, server, acknowledged_s: float, ended: list) -> int:
    """Apply the rule DRAIN to the requests of calm machines."""
    note = world.record.note
    late = [
        (request_id, at_s - acknowledged_s)
        for request_id, _path, at_s in server.runs
        if at_s > acknowledged_s + standins.DRAIN_S
    ]
    lost = [
        sent
        for sent in ended
        if sent.request_id in server.lost and sent.status != 200
    ]
    for request_id, late_s in late:
        note(f'{request_id} reached the server {late_s:.2f} s after the ack')
    for sent in lost:
        note(f'{sent.request_id} {sent.path} lost at the exit: {sent.status}')
    result = 'broken' if late else 'held'
    summary = (
        f'DRAIN {result}: {len(late)} requests later than '
        f'{standins.DRAIN_S} s after the acknowledgement, '
        f'{len(lost)} of {len(server.lost)} at work at the exit not served'
    )
    note(summary)
    print(summary)
    if len(ended) < 200:
        return standins.NOT_RUN
    return standins.BROKEN if late else standins.HELD


if __name__ == '__main__':
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(standins.run_case(play, folder))

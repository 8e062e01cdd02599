"""A rollout is ordered while the old servers' daemons restart in turn."""

import asyncio
import pathlib
import random
import signal
import sys

import standins

DURATION_S = 16.0
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
OLD, NEW = 'v1', 'v2'
#: Share of the new version's requests that fail.
BAD_SHARE = 0.5
#: Pause between the SIGTERMs of two daemons.
ROLL_GAP_S = 1.0
#: Pause of the platform before it starts a daemon again.
START_DELAY_S = 0.5
CONSUMERS = 4
PAUSE_S = 0.1


class VersionServer(standins.Server):
    """A server of one version; some requests of the new one fail."""

    version = OLD

    async def _work(self, request, request_id, path, fields, end_s) -> bytes:
        answer = await super()._work(request, request_id, path, fields, end_s)
        if self.version == NEW and random.random() < BAD_SHARE:
            return answer.replace(b'200 OK', b'500 Internal Server Error', 1)
        return answer


async def restart(daemon: standins.Daemon) -> None:
    """Stop a daemon with SIGTERM, and start it again."""
    daemon.signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(6.0):
            await daemon.process.wait()
    except TimeoutError:
        await daemon.kill()
    await asyncio.sleep(START_DELAY_S)
    await daemon.start()


async def consume(consumer: standins.Consumer, ended: list) -> None:
    """Send safe requests, one after the other."""
    while True:
        ended.append(await consumer.send('/slots/'))
        await asyncio.sleep(PAUSE_S)


async def follow_status(world, servers: list) -> None:
    """Do what the platform does when the system has decided."""
    while True:
        status = world.store.read('status', 'rollout/calendar')
        if status is not None and status['state'] == 'succeeded':
            world.record.note(f'operator reads {status}: old servers stop')
            for server in servers:
                server.exit()
            return
        await asyncio.sleep(0.05)


async def play(world: standins.World) -> int:
    """Play the case."""
    old = [world.add_daemon(f'hall-old-{n}', 'calendar') for n in (1, 2, 3)]
    new = world.add_daemon('hall-new-1', 'calendar')
    others = [world.add_daemon(f'hall-other-{n}', 'ledger') for n in (1, 2)]
    servers = []
    for daemon in world.daemons:
        server = VersionServer(
            daemon.address, daemon.service, daemon.zone, world.record
        )
        server.version = NEW if daemon is new else OLD
        world.listeners.append(server)
        servers.append(server)
    route = {'prefix': '/slots/', 'kind': 'safe', 'service': 'calendar'}
    config = standins.make_config(1, [route], ['calendar', 'ledger'])
    world.store.put('op', 'config', config)
    # The new server joins when the rollout is ordered.
    early = [item for item in world.daemons if item is not new]
    for daemon in early:
        await daemon.start()
    for server in servers:
        if server.version == OLD:
            await server.start()
    if not await standins.wait_until_ready(early, 20.0):
        return standins.NOT_RUN
    await asyncio.sleep(2.0)
    ended: list[standins.Sent] = []
    for daemon in others:
        for _ in range(CONSUMERS):
            consumer = standins.Consumer(daemon, world.record)
            world.start_task(consume(consumer, ended))
    await new.start()
    await servers[3].start()
    await asyncio.sleep(4.0)
    world.record.note(f'server {servers[3].id} is the one of {NEW}')
    if world.has_trouble:
        for daemon in old:
            world.start_task(restart(daemon))
            await asyncio.sleep(ROLL_GAP_S)
    else:
        await asyncio.sleep(len(old) * ROLL_GAP_S)
    order = {'service': 'calendar', 'to': NEW, 'duration': f'{DURATION_S}s'}
    ordered_s = world.store.put('op', 'rollout/calendar', order)
    world.start_task(follow_status(world, servers[:3]))
    await asyncio.sleep(DURATION_S)
    return judge(world, servers, ordered_s)


def judge(world, servers: list, ordered_s: float) -> int:
    """Apply the rule EXPOSURE to the requests of the rollout's time."""
    note = world.record.note
    runs = [
        (server.version, at_s)
        for server in servers
        if server.service == 'calendar'
        for _id, _path, at_s in server.runs
        if ordered_s <= at_s < ordered_s + DURATION_S
    ]
    exposed = sum(version == NEW for version, _at_s in runs)
    allowed = EXPOSE_SHARE * len(runs) + EXPOSE_SLACK
    status = world.store.read('status', 'rollout/calendar')
    note(f'status: {status}')
    note(f'{exposed} of {len(runs)} requests ran at {NEW}')
    note(f'EXPOSURE allows {allowed:.0f}')
    is_broken = exposed > allowed
    result = 'broken' if is_broken else 'held'
    print(
        f'EXPOSURE {result}: {exposed} of {len(runs)} at {NEW}, '
        f'allowed {allowed:.0f}; status {status}'
    )
    note(f'EXPOSURE {result}')
    if len(runs) < 200:
        return standins.NOT_RUN
    return standins.BROKEN if is_broken else standins.HELD


if __name__ == '__main__':
    standins.BOUNDS += [
        f'expose_share={EXPOSE_SHARE}',
        f'expose_slack={EXPOSE_SLACK}',
        'rollback=5000ms',
    ]
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(standins.run_case(play, folder))

"""Daemons restart in turn while answers of the store are lost."""

import asyncio
import base64
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import kit  # noqa: E402

#: `roll_term` of the site file: one at a time, 1.3 s apart; all at most.
GAP_S = 1.3
ORDER = (1, 2, 0, 3, 4)
#: `platform_lost`, `how = "late"`: at most 0.35 of the writes, 4.5 s, done 1
#: to 6 s later.
LOST_SHARE = 0.35
LOST_S = 4.5
LATE_S = 5.8
LENGTH_S = 45
#: A process that ends is started again after a short delay.
RESTART_S = 0.5
INTERVAL_S = 0.25


class Losses:
    """Loses the answers to some writes, and counts all."""

    def __init__(self, bench, host):
        self.bench = bench
        self.host = host
        self.until_s = 0.0
        self.writes = 0
        self.lost = 0

    def find_late_s(self, asked):
        """Return how late a write is done whose answer is lost."""
        if time.monotonic() > self.until_s:
            return None
        self.writes += 1
        puts = asked.get('puts') or []
        keys = [item['key'] for item in puts]
        self.bench.record.note(f'write     {keys}')
        if not kit.TROUBLE or keys != [self.host] or self.lost == 2:
            return None
        self.lost += 1
        row = json.loads(base64.b64decode(puts[0]['value']))
        self.bench.record.note(f'lost      {row["host"]} {row["state"]}')
        return LATE_S


async def restart(bench, daemon, delay_s):
    """Stop a daemon as planned, and start it again."""
    await asyncio.sleep(delay_s)
    bench.record.note(f'SIGTERM   {daemon.name}')
    daemon.signal(15)
    await daemon.process.wait()
    bench.record.note(f'ended     {daemon.name}')
    await asyncio.sleep(RESTART_S)
    await daemon.start()


async def consume(bench, path, counts, end_s):
    """Send requests to a machine that is not restarted."""
    daemon = bench.daemons[-1]
    while time.monotonic() < end_s:
        counts[0] += 1
        _id, status, _fields, _body = await bench.request(daemon, path)
        counts[1] += status == 200
        await asyncio.sleep(INTERVAL_S)


async def case(bench):
    """Play the case; return how the rule was broken."""
    bench.set_config(
        11, [('a', '/a/', 'red', 'safe'), ('b', '/b/', 'blue', 'safe')]
    )
    await bench.start()
    await asyncio.sleep(4)
    losses = Losses(bench, bench.daemons[0].name)
    bench.store.find_late_s = losses.find_late_s
    start_s = time.monotonic()
    counts = {'/a/1': [0, 0], '/b/1': [0, 0]}
    tasks = [
        asyncio.ensure_future(consume(bench, path, count, start_s + LENGTH_S))
        for path, count in counts.items()
    ]
    for number, place in enumerate(ORDER):
        delay_s = number * GAP_S
        daemon = bench.daemons[place]
        tasks.append(asyncio.ensure_future(restart(bench, daemon, delay_s)))
    await asyncio.sleep(ORDER.index(0) * GAP_S - 0.1)
    losses.until_s = time.monotonic() + LOST_S
    await asyncio.gather(*tasks)
    bench.record.note(f'{losses.lost} of {losses.writes} writes lost')
    print(f'{losses.lost} of {losses.writes} writes lost; served: {counts}')
    if kit.TROUBLE and losses.lost > LOST_SHARE * losses.writes:
        raise kit.CannotRun('too few writes for the share of lost ones')
    sent = sum(count[0] for count in counts.values())
    served = sum(count[1] for count in counts.values())
    return [
        f'{path}: {done} of {asked} served, {served} of {sent} of all'
        for path, (asked, done) in counts.items()
        if done / asked < 0.25 * served / sent
    ]


if __name__ == '__main__':
    kit.play(
        FOLDER, lambda: kit.Bench(FOLDER, ['blue'] + ['red'] * 7), case, 115
    )

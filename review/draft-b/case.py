"""The two machines that read the store for the others are cut off from it."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import kit  # noqa: E402

#: "Of `apply`": 2000 ms in the settings.
APPLY_S = 2.0
#: `core_cut` of the site file, `how = "leader race"`: two machines, 4 s.
CUT_S = 4.0
#: Longer than `stable_window`.
CALM_S = 4.5
ROUNDS = 5
PROBE_INTERVAL_S = 0.1
#: Longest time between two watches of a machine that watches the store.
WATCH_S = 2.5
WATCH = b'/v1/rows-feed?table=op&'


class WatchedLink(kit.Link):
    """Notes when the machine last watched the operator's table."""

    watched_s = 0.0

    def note_data(self, data):
        """Note what the machine sends to the store."""
        if WATCH in data:
            self.watched_s = time.monotonic()


async def probe(bench, daemon, ack_s, old, late):
    """Send requests to a calm machine and see which version routes them."""
    while time.monotonic() < ack_s + CUT_S:
        sent_s = time.monotonic()
        request_id, status, _fields, body = await bench.request(daemon, '/a/1')
        after_s = sent_s - ack_s
        is_old = status == 200 and body.startswith(old.encode())
        if is_old and after_s > APPLY_S:
            late.append(
                f'{daemon.name}: request {request_id}, sent {after_s:.2f} s '
                f'after the acknowledgement, was run by the old service'
            )
        await asyncio.sleep(PROBE_INTERVAL_S)


async def find_watchers(bench):
    """Wait until just two machines watch the store, and return them."""
    # Not always at the same moment of their watches.
    await asyncio.sleep(random.uniform(0, WATCH_S))
    end_s = time.monotonic() + 12
    while time.monotonic() < end_s:
        since_s = time.monotonic() - WATCH_S
        found = [d for d in bench.daemons if d.store_link.watched_s > since_s]
        if len(found) == 2:
            return found
        await asyncio.sleep(0.1)
    raise kit.CannotRun('there are not two machines that watch the store')


async def case(bench):
    """Play the case; return how the rule was broken."""
    for daemon in bench.daemons:
        daemon.store_link = WatchedLink(daemon.store_link.target)
    services = ('red', 'blue')
    version = 11
    bench.set_config(version, [('a', '/a/', 'red', 'safe')])
    await bench.start()
    late = []
    for number in range(ROUNDS):
        await asyncio.sleep(CALM_S)
        old, new = services[number % 2], services[1 - number % 2]
        cut = await find_watchers(bench)
        calm = [daemon for daemon in bench.daemons if daemon not in cut]
        if kit.TROUBLE:
            for daemon in cut:
                daemon.store_link.cut()
            names = ', '.join(daemon.name for daemon in cut)
            bench.record.note(f'cut       {names} from the store')
        version += 3
        ack_s = bench.set_config(version, [('a', '/a/', new, 'safe')])
        found = []
        await asyncio.gather(
            *(probe(bench, daemon, ack_s, old, found) for daemon in calm)
        )
        for daemon in cut:
            daemon.store_link.heal()
        bench.record.note(f'healed; {len(found)} late')
        print(f'round {number + 1}: {len(found)} requests on the old version')
        late += found
    return late


if __name__ == '__main__':
    kit.play(FOLDER, lambda: kit.Bench(FOLDER, ['red', 'blue'] * 4), case, 110)

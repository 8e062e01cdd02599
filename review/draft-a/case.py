"""Consumers leave before they are answered; the daemon's memory grows."""

import asyncio
import multiprocessing
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import kit  # noqa: E402

#: `memory_mb` of the machines: "A process that exceeds `memory_mb` is killed."
MEMORY_MB = 300
#: Rule: on a tenth of the machines in use, two at least, three times each.
MACHINES = 2
TIMES = 3
#: `give_up` of the site file: share 0.3, for 4 to 5.5 s, within half of the
#: objective, which is 500 ms here.
LEAVING_SHARE = 0.3
PHASE_S = 5.5
PAUSE_S = 0.5
LEAVES_MS = (50, 250)
#: Largest body of the site file, and requests a second to each machine.
BODY_BYTES = 360_000
RATE_PER_S = 100
LENGTH_S = 95
WORK_S = 0.3


async def send(address, number, leaves_ms, counts):
    """Send one request; leave early where `leaves_ms` is set."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(address, kit.OUTBOUND)
        head = (
            'POST /a/find HTTP/1.1\r\nHost: shop.example\r\n'
            f'X-Request-Id: {number:016x}\r\nX-Request-Deadline: 2000\r\n'
            f'Content-Length: {BODY_BYTES}\r\n\r\n'
        )
        writer.write(head.encode() + bytes(BODY_BYTES))
        await writer.drain()
        if leaves_ms:
            await asyncio.sleep(leaves_ms / 1000)
            counts['left'] += 1
            return
        async with asyncio.timeout(2.2):
            line, _fields, _body = await kit.read_message(reader)
        counts[line.split(' ')[1]] = counts.get(line.split(' ')[1], 0) + 1
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        counts['cut'] = counts.get('cut', 0) + 1
    finally:
        if writer is not None:
            writer.transport.abort() if leaves_ms else writer.close()


async def consume(address, salt, queue):
    """Be the consumers of one machine."""
    counts = {'left': 0}
    start_s = time.monotonic()
    tasks = set()
    number = 0
    told_s = start_s
    while time.monotonic() < start_s + LENGTH_S:
        number += 1
        in_phase = (time.monotonic() - start_s) % (PHASE_S + PAUSE_S) < PHASE_S
        leaves_ms = 0
        if kit.TROUBLE and in_phase and random.random() < LEAVING_SHARE:
            leaves_ms = random.uniform(*LEAVES_MS)
        task = asyncio.ensure_future(
            send(address, salt * 10**9 + number, leaves_ms, counts)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        if time.monotonic() > told_s + 5:
            told_s = time.monotonic()
            queue.put((address, number, dict(counts)))
        due_s = start_s + number / RATE_PER_S
        await asyncio.sleep(max(0, due_s - time.monotonic()))
    await asyncio.gather(*tasks)
    queue.put((address, number, dict(counts)))


def run_consumers(address, salt, queue):
    """Run the consumers of one machine as a process."""
    asyncio.run(consume(address, salt, queue))


def find_mb(daemon):
    """Return the resident memory of a daemon in MB."""
    try:
        text = pathlib.Path(f'/proc/{daemon.process.pid}/status').read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0.0


async def case(bench):
    """Play the case; return how the rule was broken."""
    bench.set_config(11, [('find', '/a/', 'red', 'safe')])
    await bench.start()
    for server in bench.servers:
        server.work_s = WORK_S
    await asyncio.sleep(2)
    watched = [d for d in bench.daemons if d.service == 'blue']
    queue = multiprocessing.Queue()
    processes = [
        multiprocessing.Process(
            target=run_consumers, args=(daemon.address, salt, queue)
        )
        for salt, daemon in enumerate(watched)
    ]
    for process in processes:
        process.start()
    kills = {daemon.name: 0 for daemon in watched}
    told_s = 0.0
    try:
        while any(process.is_alive() for process in processes):
            await asyncio.sleep(0.1)
            while not queue.empty():
                address, sent, counts = queue.get()
                bench.record.note(f'consumers {address} sent {sent} {counts}')
            if time.monotonic() > told_s + 2:
                told_s = time.monotonic()
                sizes = ', '.join(f'{find_mb(d):.0f} MB' for d in watched)
                bench.record.note(f'memory    {sizes}')
            for daemon in watched:
                size_mb = find_mb(daemon)
                if size_mb > MEMORY_MB:
                    kills[daemon.name] += 1
                    bench.record.note(
                        f'platform  kills {daemon.name} at {size_mb:.0f} MB'
                    )
                    await daemon.kill()
                    await daemon.start()
            if sum(n >= TIMES for n in kills.values()) >= MACHINES:
                break
    finally:
        for process in processes:
            process.kill()
            process.join()
    bench.record.note(f'over the limit: {kills}')
    print(f'over {MEMORY_MB} MB: {kills}')
    often = [name for name, number in kills.items() if number >= TIMES]
    if len(often) < MACHINES:
        return []
    return [
        f'{n} ended {kills[n]} times: memory over the limit' for n in often
    ]


if __name__ == '__main__':
    kit.play(
        FOLDER,
        lambda: kit.Bench(FOLDER, ['red'] * 6 + ['blue'] * 2),
        case,
        118,
    )

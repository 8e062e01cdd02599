"""Time from power on to the first good answer, as all hosts start at once.

Daemons and the stand-in store run in their own processes, targets and callers
in this one.  All daemons and targets are killed, then started again at the
same time; one caller for each host retries until it gets a good answer.  The
table has the time of each step since the start of the daemon in milliseconds,
and the processor time and peak memory of the daemon, each as median and worst
value of all hosts.  The last line is one JSON object.

All processes share the machine: with more hosts than cores the elapsed times
grow, but the processor times do not.
"""

import argparse
import asyncio
import datetime
import json
import os
import pathlib
import statistics
import tempfile
import time

from sedgering import platform
from sedgering import testing
from sedgering import transport
from soak import _daemons
from soak import _settings
from soak import _world

#: Routes of the version; a large deployment has 1,200.
ROUTES = 1217
#: The step of the start that each log message of a daemon completes.
STEPS_BY_MESSAGE = {
    'started': 'listening',
    'target reported': 'target known',
    'row written': 'own row written',
    'version in force': 'version in force',
}
FIRST_ANSWER = 'first good answer'
RETRY_INTERVAL_S = 0.02
FIRST_ANSWER_TIMEOUT_S = 20.0
SETTLE_S = 3.0
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def make_version() -> bytes:
    """Make the operator's document: a route for callers and many others."""
    routes = [{'prefix': f'/p{number}/'} for number in range(ROUTES)]
    return testing.make_document(2, routes)


async def wait_for_first_answer(daemon: _daemons.Daemon) -> float:
    """Send requests until one succeeds; return the time of its answer."""
    headers = [
        ('Host', 'calendar.example'),
        (platform.HEADERS.deadline_ms, '1000'),
    ]
    number = 0
    while True:
        number += 1
        request_id_header = (
            platform.HEADERS.request_id,
            f'{daemon.name}-{number}',
        )
        request = transport.Request(
            'GET', '/p0/', [*headers, request_id_header]
        )
        try:
            connection = await transport.connect(
                daemon.address, _daemons.CALLERS_PORT, 1.0
            )
            response = await connection.exchange(
                transport.encode_request(request), lambda _response: True
            )
            connection.close()
        except (transport.ConnectFailed, transport.ExchangeFailed):
            await asyncio.sleep(RETRY_INTERVAL_S)
            continue
        if response.status == 200:
            return time.time()
        await asyncio.sleep(RETRY_INTERVAL_S)


def read_steps_ms(log: pathlib.Path, started_s: float) -> dict[str, float]:
    """Return when each step was completed, from the log of a daemon."""
    found: dict[str, float] = {}
    for line in log.read_text().splitlines():
        if not line.startswith('{'):
            continue
        record = json.loads(line)
        logged_s = datetime.datetime.fromisoformat(record['time']).timestamp()
        step = STEPS_BY_MESSAGE.get(record['message'])
        if step is not None and logged_s >= started_s:
            found.setdefault(step, (logged_s - started_s) * 1000)
    return found


def read_process_usage(pid: int) -> tuple[float, float]:
    """Return processor time in ms and peak memory in MB of a process."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(') ')[2]
    fields = stat.split()
    ticks = int(fields[11]) + int(fields[12])
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    peak_kb = next(
        line.split()[1]
        for line in status.splitlines()
        if line.startswith('VmHWM')
    )
    return ticks * 1000 / TICKS_PER_S, int(peak_kb) / 1024


async def measure(folder: pathlib.Path, hosts: int) -> dict:
    """Start a fleet, kill it, and measure its restart."""
    world = _world.World(folder, _settings.WorldSettings(1, hosts, callers=0))
    for daemon in world.daemons:
        daemon.is_suspendable = False
    try:
        await world._start()
        path, body = testing.encode_write('op', 'config', make_version())
        await world._call_store(path, body)
        await asyncio.sleep(SETTLE_S)
        await asyncio.gather(*(daemon.kill() for daemon in world.daemons))
        for target in world.targets:
            target.stop()
        started_s = {}
        answers = []
        for daemon in world.daemons:
            started_s[daemon.name] = time.time()
            await daemon.start()
            answers.append(
                asyncio.ensure_future(wait_for_first_answer(daemon))
            )
        await asyncio.gather(*(target.start() for target in world.targets))
        first_answers_s = await asyncio.wait_for(
            asyncio.gather(*answers), FIRST_ANSWER_TIMEOUT_S
        )
        await asyncio.sleep(SETTLE_S)
        return summarize(folder, world, started_s, first_answers_s)
    finally:
        await world.stop()


def summarize(
    folder: pathlib.Path,
    world: _world.World,
    started_s: dict[str, float],
    first_answers_s: list[float],
) -> dict:
    """Return the median and worst value of each step."""
    values: dict[str, list[float]] = {}
    for daemon, answered_s in zip(world.daemons, first_answers_s):
        start_s = started_s[daemon.name]
        steps = read_steps_ms(folder / f'{daemon.name}.log', start_s)
        steps[FIRST_ANSWER] = (answered_s - start_s) * 1000
        processor_ms, peak_mb = read_process_usage(daemon.process.pid)
        steps['processor time'] = processor_ms
        steps['peak memory, MB'] = peak_mb
        for name, value in steps.items():
            values.setdefault(name, []).append(value)
    return {
        name: {
            'median': round(statistics.median(found), 1),
            'worst': round(max(found), 1),
            'hosts': len(found),
        }
        for name, found in values.items()
    }


def main() -> None:
    """Measure the restart and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--hosts', type=int, default=8)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        table = asyncio.run(measure(pathlib.Path(folder), arguments.hosts))
    for name, row in table.items():
        print(f'{name:20} {row["median"]:8} {row["worst"]:8} {row["hosts"]:4}')
    print(json.dumps({'hosts': arguments.hosts, 'steps': table}))


if __name__ == '__main__':
    main()

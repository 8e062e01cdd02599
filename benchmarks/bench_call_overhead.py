"""Time that a proxy adds to a call, against a bare pass-through.

Direct calls, calls through the naive proxy and calls through
sedgering-proxy are interleaved in one run.  The last line is one JSON
object.
"""

import argparse
import http.client
import json
import pathlib
import queue
import random
import statistics
import threading
import time

from sedgering import testing

HOST = 'tuulai.example'
TARGET_PATH = '/calendar/halls'
TARGETS = 4
WARM_UP_CALLS = 200
CLOCK_TICKS_PER_S = 100
WAYS = ('direct', 'naive', 'proxy')
BUNDLE = pathlib.Path(__file__).parent.parent / 'examples/tuulai/bundle.yaml'


def main() -> None:
    """Run all rates and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=3000)
    parser.add_argument('--rates', type=int, nargs='+', default=[100, 300])
    parser.add_argument('--threads', type=int, default=8)
    options = parser.parse_args()
    with testing.make_fleet('tuulai') as fleet:
        setup = start(fleet)
        results = {
            rate: measure(setup, rate, options) for rate in options.rates
        }
    for rate, result in results.items():
        print(json.dumps({'rate': rate, **result}), flush=True)
    last = results[options.rates[-1]]
    print(
        json.dumps(
            {
                'bench': 'call_overhead',
                'rates': options.rates,
                'added_p99_ms': [
                    results[rate]['added_p99_ms'] for rate in options.rates
                ],
                'ratio_p99_to_naive': [
                    results[rate]['ratio_p99_to_naive']
                    for rate in options.rates
                ],
                'ratio_p50_to_naive': [
                    results[rate]['ratio_p50_to_naive']
                    for rate in options.rates
                ],
                'cpu_ms_per_call': last['proxy_cpu_ms_per_call'],
                'naive_cpu_ms_per_call': last['naive_cpu_ms_per_call'],
                'target_added_p99_ms': 0.51,
            }
        )
    )


class Setup:
    """Ports of the three ways, and the processes behind two of them."""

    def __init__(self, ports, processes):
        self.ports: dict[str, int] = ports
        self.processes = processes


def start(fleet: testing.Fleet) -> Setup:
    """Start one proxy, one naive proxy and a few targets."""
    fleet.start_platform()
    fleet.add_proxies(['khan-uul'])
    proxy = fleet.proxies[0]
    targets = fleet.make_targets(
        [proxy], ['calendar'] * TARGETS, slots=12, work_ms=0
    )
    fleet.start_targets(targets)
    ports = [target['port'] for target in targets]
    (naive_port,) = testing.free_ports(1)
    arguments = ['passthrough', '--port', str(naive_port)]
    for port in ports:
        arguments += ['--target', str(port)]
    naive = fleet.start_program('standin', arguments, 'naive')
    fleet.wait_until(lambda: fleet.status(proxy), 'the proxy')
    fleet.wait_version(fleet.roll_file(BUNDLE))
    fleet.wait_targets({'calendar': TARGETS})
    return Setup(
        {'direct': ports[0], 'naive': naive_port, 'proxy': proxy.data_port},
        {'naive': naive, 'proxy': proxy.process},
    )


def measure(setup: Setup, rate: int, options) -> dict:
    """Send interleaved calls at a rate; return the figures."""
    pace = Pace(rate, options.calls + WARM_UP_CALLS)
    before = {way: read_cpu_s(p.pid) for way, p in setup.processes.items()}
    threads = [
        threading.Thread(target=send_calls, args=(setup, pace, seed))
        for seed in range(options.threads)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    calls = options.calls + WARM_UP_CALLS
    cpu_ms = {
        way: (read_cpu_s(p.pid) - before[way]) * 1000 / calls
        for way, p in setup.processes.items()
    }
    return summarise(pace, cpu_ms)


class Pace:
    """Hands out calls at a steady rate, and takes their times."""

    def __init__(self, rate: int, calls: int):
        self.started_s = time.perf_counter()
        self.due: queue.SimpleQueue = queue.SimpleQueue()
        for number in range(calls):
            self.due.put((number, self.started_s + number / rate))
        self.times_ms: dict[str, list[float]] = {way: [] for way in WAYS}

    def next_call(self) -> int | None:
        """Wait for the next call; None after the last one."""
        try:
            number, due_s = self.due.get_nowait()
        except queue.Empty:
            return None
        time.sleep(max(0.0, due_s - time.perf_counter()))
        return number


def send_calls(setup: Setup, pace: Pace, seed: int) -> None:
    """Send each call the three ways, in random order."""
    rng = random.Random(seed)
    connections = {
        way: http.client.HTTPConnection('127.0.0.1', port, timeout=10)
        for way, port in setup.ports.items()
    }
    while (number := pace.next_call()) is not None:
        ways = list(WAYS)
        rng.shuffle(ways)
        for way in ways:
            elapsed_ms = send_call(connections[way])
            if number >= WARM_UP_CALLS:
                pace.times_ms[way].append(elapsed_ms)


def send_call(connection: http.client.HTTPConnection) -> float:
    """Send one call and return its time in ms."""
    started_s = time.perf_counter()
    connection.request('GET', TARGET_PATH, headers={'Host': HOST})
    response = connection.getresponse()
    response.read()
    if response.status != 200:
        raise RuntimeError(f'status {response.status}')
    return (time.perf_counter() - started_s) * 1000


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S


def summarise(pace: Pace, cpu_ms: dict[str, float]) -> dict:
    """Make the quantiles added by each way, and their ratios."""
    quantiles = {
        way: statistics.quantiles(times, n=100)
        for way, times in pace.times_ms.items()
    }
    result = {}
    for percent in (50, 90, 99):
        direct = quantiles['direct'][percent - 1]
        added = quantiles['proxy'][percent - 1] - direct
        naive = quantiles['naive'][percent - 1] - direct
        result[f'direct_p{percent}_ms'] = round(direct, 3)
        result[f'added_p{percent}_ms'] = round(added, 3)
        result[f'naive_added_p{percent}_ms'] = round(naive, 3)
        result[f'ratio_p{percent}_to_naive'] = round(added / naive, 3)
    for way, value in cpu_ms.items():
        result[f'{way}_cpu_ms_per_call'] = round(value, 3)
    return result


if __name__ == '__main__':
    main()

"""Latency that a proxy adds to a call, compared with a pass-through proxy.

Direct calls, calls through the naive proxy (a plain pass-through) and calls
through sedgering-proxy are interleaved in one run.  The last line is one JSON
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
VARIANTS = ('direct', 'naive', 'proxy')
BUNDLE_FILE = (
    pathlib.Path(__file__).parent.parent / 'examples/tuulai/bundle.yaml'
)


def main() -> None:
    """Measure all call rates and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=3000)
    parser.add_argument('--rates', type=int, nargs='+', default=[100, 300])
    parser.add_argument('--threads', type=int, default=8)
    options = parser.parse_args()
    with testing.make_fleet('tuulai') as fleet:
        endpoints = start(fleet)
        results = {
            rate: measure(endpoints, rate, options) for rate in options.rates
        }
    for rate, result in results.items():
        print(json.dumps({'rate': rate, **result}), flush=True)
    last_result = results[options.rates[-1]]
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
                'cpu_ms_per_call': last_result['proxy_cpu_ms_per_call'],
                'naive_cpu_ms_per_call': last_result['naive_cpu_ms_per_call'],
                'target_added_p99_ms': 0.51,
            }
        )
    )


class Endpoints:
    """Ports of the three variants, and the processes of the two proxies."""

    def __init__(self, ports, processes):
        self.ports: dict[str, int] = ports
        self.processes = processes


def start(fleet: testing.Fleet) -> Endpoints:
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
    fleet.wait_version(fleet.roll_file(BUNDLE_FILE))
    fleet.wait_targets({'calendar': TARGETS})
    return Endpoints(
        {'direct': ports[0], 'naive': naive_port, 'proxy': proxy.data_port},
        {'naive': naive, 'proxy': proxy.process},
    )


def measure(endpoints: Endpoints, rate: int, options) -> dict:
    """Send interleaved calls at a rate per second; return the results."""
    schedule = CallSchedule(rate, options.calls + WARM_UP_CALLS)
    cpu_before_s = {
        variant: read_cpu_s(process.pid)
        for variant, process in endpoints.processes.items()
    }
    threads = [
        threading.Thread(target=send_calls, args=(endpoints, schedule, seed))
        for seed in range(options.threads)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    calls = options.calls + WARM_UP_CALLS
    cpu_ms = {
        variant: (read_cpu_s(process.pid) - cpu_before_s[variant])
        * 1000
        / calls
        for variant, process in endpoints.processes.items()
    }
    return summarise(schedule, cpu_ms)


class CallSchedule:
    """Hands out calls at a constant rate, and collects their latencies."""

    def __init__(self, rate: int, calls: int):
        self.started_s = time.perf_counter()
        self.pending: queue.SimpleQueue = queue.SimpleQueue()
        for number in range(calls):
            self.pending.put((number, self.started_s + number / rate))
        self.times_ms: dict[str, list[float]] = {
            variant: [] for variant in VARIANTS
        }

    def wait_for_next_call(self) -> int | None:
        """Wait until the next call is due; return its number.

        Returns None after the last call.
        """
        try:
            number, due_s = self.pending.get_nowait()
        except queue.Empty:
            return None
        time.sleep(max(0.0, due_s - time.perf_counter()))
        return number


def send_calls(
    endpoints: Endpoints, schedule: CallSchedule, seed: int
) -> None:
    """Send each call by all three variants, in random order."""
    rng = random.Random(seed)
    connections = {
        variant: http.client.HTTPConnection('127.0.0.1', port, timeout=10)
        for variant, port in endpoints.ports.items()
    }
    while (number := schedule.wait_for_next_call()) is not None:
        variants = list(VARIANTS)
        rng.shuffle(variants)
        for variant in variants:
            elapsed_ms = measure_call_ms(connections[variant])
            if number >= WARM_UP_CALLS:
                schedule.times_ms[variant].append(elapsed_ms)


def measure_call_ms(connection: http.client.HTTPConnection) -> float:
    """Send one call and return its latency in milliseconds."""
    started_s = time.perf_counter()
    connection.request('GET', TARGET_PATH, headers={'Host': HOST})
    response = connection.getresponse()
    response.read()
    if response.status != 200:
        raise RuntimeError(
            f'call answered with status {response.status}, expected 200'
        )
    return (time.perf_counter() - started_s) * 1000


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S


def summarise(schedule: CallSchedule, cpu_ms: dict[str, float]) -> dict:
    """Return the latency that each proxy adds, and the ratios of the two."""
    quantiles = {
        variant: statistics.quantiles(times, n=100)
        for variant, times in schedule.times_ms.items()
    }
    result = {}
    for percent in (50, 90, 99):
        direct = quantiles['direct'][percent - 1]
        added_ms = quantiles['proxy'][percent - 1] - direct
        naive = quantiles['naive'][percent - 1] - direct
        result[f'direct_p{percent}_ms'] = round(direct, 3)
        result[f'added_p{percent}_ms'] = round(added_ms, 3)
        result[f'naive_added_p{percent}_ms'] = round(naive, 3)
        result[f'ratio_p{percent}_to_naive'] = round(added_ms / naive, 3)
    for variant, value in cpu_ms.items():
        result[f'{variant}_cpu_ms_per_call'] = round(value, 3)
    return result


if __name__ == '__main__':
    main()

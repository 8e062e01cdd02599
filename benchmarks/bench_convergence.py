"""Convergence time and control bytes, against the naive version.

Starts N proxies in four data centres and rolls changes of one route; then
stops them and lets N naive pollers follow as many changes from the same
source.  The last line is one JSON object.
"""

import argparse
import json
import random
import statistics
import time

from sedgering.cli import _notice
from sedgering import clock
from sedgering import platform
from sedgering import release
from sedgering import settings
from sedgering import storage
from sedgering import testing

MESH = 'bench'
DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c', 'dc-d')
OPERATOR = 'bench'
POLL_INTERVAL_S = 1.0
START_BATCH = 25
CHANGE_TIMEOUT_S = 30.0
#: News of the last join is passed on for a while.
SETTLE_S = 5.0

PROFILES = {
    'default': {},
    # Weighs control bytes: fewer relays, probes and acknowledgements.
    'tuulai': {
        'distribution': {
            'relays': 2,
            'acknowledge_interval_ms': 2000,
            'merge_interval_ms': 200,
        },
        'membership': {'compare_interval_ms': 2000},
    },
    # Weighs convergence time: the head is read more often.
    'kask-parn': {
        'distribution': {'head_poll_interval_ms': 250, 'fan_out': 12},
    },
}


def main() -> None:
    """Run both versions and print the figures."""
    options = parse_options()
    with testing.make_fleet(MESH, PROFILES[options.profile]) as fleet:
        fleet.start_platform()
        client = make_client(fleet)
        versions = Versions(client, options.services, not options.no_notice)
        start_proxies(fleet, options.proxies)
        versions.roll_next()
        fleet.wait_version(1)
        fleet.wait_settled()
        time.sleep(SETTLE_S)
        idle = measure_idle(fleet, options.idle_s)
        measured = measure_changes(fleet, versions, options, idle)
        fleet.stop_proxies()
        naive = measure_naive(fleet, versions, options)
    print(json.dumps(summarise(options, idle, measured, naive)))


def parse_options() -> argparse.Namespace:
    """Read the arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--proxies', type=int, default=100)
    parser.add_argument('--changes', type=int, default=10)
    parser.add_argument('--services', type=int, default=200)
    parser.add_argument('--idle-s', type=float, default=10.0)
    parser.add_argument('--pause-s', type=float, default=2.0)
    parser.add_argument('--no-notice', action='store_true')
    parser.add_argument(
        '--profile', choices=sorted(PROFILES), default='default'
    )
    return parser.parse_args()


class Versions:
    """Signs off and rolls one change after the other."""

    def __init__(self, client, services: int, sends_notice: bool):
        self.client: release.ReleaseClient = client
        self.sends_notice = sends_notice
        self.services = services
        self.number = 0

    def roll_next(self) -> tuple[int, int]:
        """Roll the next change; return version and start in ms."""
        content = testing.make_sample_bundle(MESH, self.services, self.number)
        self.number += 1
        started_ms = clock.monotonic_ms()
        record = self.client.sign_off(
            content, OPERATOR, release.make_operation_id()
        )
        self.client.roll(record.version, OPERATOR, release.make_operation_id())
        if self.sends_notice:
            _notice.notify_relays(self.client.table, MESH, OPERATOR)
        return record.version, started_ms


def make_store(fleet: testing.Fleet) -> storage.GuardedStore:
    """Make a client of the platform stand-in."""
    return platform.make_records_store(
        settings.PlatformSettings(
            address='127.0.0.1', port=fleet.platform_port
        ),
        random.Random(0),
    )


def make_client(fleet: testing.Fleet) -> release.ReleaseClient:
    """Make the operator's client."""
    store = make_store(fleet)
    return release.ReleaseClient(
        store, store, clock.monotonic_ms, lambda attempt: time.sleep(0.2)
    )


def start_proxies(fleet: testing.Fleet, count: int) -> None:
    """Start proxies in batches, so that start-up fits the machine."""
    names = [DATA_CENTRES[i % len(DATA_CENTRES)] for i in range(count)]
    for start in range(0, count, START_BATCH):
        fleet.add_proxies(names[start : start + START_BATCH])
        for proxy in fleet.proxies[start:]:
            fleet.wait_until(
                lambda proxy=proxy: fleet.status(proxy), proxy.host
            )


def total_bytes(fleet: testing.Fleet) -> float:
    """Return the control bytes that all proxies received."""
    return sum(fleet.control_bytes(proxy) for proxy in fleet.proxies)


def measure_idle(fleet: testing.Fleet, seconds: float) -> dict:
    """Measure traffic, source reads and processor time without changes."""
    bytes_before = total_bytes(fleet)
    reads_before = fleet.stats().reads
    ticks_before = fleet.sum_metric('sedgering_tick_seconds_total')
    started_s = time.monotonic()
    time.sleep(seconds)
    bytes_after = total_bytes(fleet)
    elapsed_s = time.monotonic() - started_s
    count = len(fleet.proxies)
    ticks = fleet.sum_metric('sedgering_tick_seconds_total') - ticks_before
    return {
        'bytes_per_s': (bytes_after - bytes_before) / elapsed_s / count,
        'reads_per_s': (fleet.stats().reads - reads_before) / elapsed_s,
        'core_share': ticks / elapsed_s / count,
    }


def measure_changes(fleet, versions, options, idle) -> dict:
    """Roll changes; gather when each proxy had each version in force."""
    delays_ms: list[int] = []
    started_s = time.monotonic()
    bytes_before = total_bytes(fleet)
    for _ in range(options.changes):
        version, started_ms = versions.roll_next()
        time.sleep(options.pause_s)
        fleet.wait_version(version, CHANGE_TIMEOUT_S)
        for proxy in fleet.proxies:
            status = fleet.status(proxy)
            delays_ms.append(status['applied_at_ms'] - started_ms)
    elapsed_s = time.monotonic() - started_s
    received = total_bytes(fleet) - bytes_before
    count = len(fleet.proxies) * options.changes
    idle_bytes = idle['bytes_per_s'] * elapsed_s * len(fleet.proxies)
    return {
        'delays_ms': delays_ms,
        'bytes_per_change': received / count,
        'bytes_over_idle': max(0.0, received - idle_bytes) / count,
        'seconds_per_change': elapsed_s / options.changes,
    }


def measure_naive(fleet, versions, options) -> dict:
    """Let as many naive pollers follow as many changes."""
    rng = random.Random(1)
    pollers = [
        testing.NaivePoller(
            make_store(fleet), POLL_INTERVAL_S, rng.random() * POLL_INTERVAL_S
        )
        for _ in range(options.proxies)
    ]
    for poller in pollers:
        poller.start()
    time.sleep(2 * POLL_INTERVAL_S)
    started_s = time.monotonic()
    bytes_before = sum(poller.received_bytes for poller in pollers)
    reads_before = fleet.stats().reads + fleet.stats().object_gets
    starts = []
    for _ in range(options.changes):
        starts.append(versions.roll_next())
        time.sleep(options.pause_s)
    elapsed_s = time.monotonic() - started_s
    received = sum(p.received_bytes for p in pollers) - bytes_before
    stats = fleet.stats()
    reads = stats.reads + stats.object_gets - reads_before
    for poller in pollers:
        poller.stop()
    delays_ms = [
        poller.applied_at_ms[version] - started_ms
        for poller in pollers
        for version, started_ms in starts
        if version in poller.applied_at_ms
    ]
    return {
        'delays_ms': delays_ms,
        'bytes_per_change': received / options.proxies / options.changes,
        'reads_per_s': reads / elapsed_s,
        'seconds_per_change': elapsed_s / options.changes,
    }


def quantile(values: list[int], percent: int) -> float:
    """Return a percentile."""
    return statistics.quantiles(values, n=100, method='inclusive')[percent - 1]


def summarise(options, idle, measured, naive) -> dict:
    """Make the figures of both versions and their ratios."""
    p99 = quantile(measured['delays_ms'], 99)
    naive_p99 = quantile(naive['delays_ms'], 99)
    per_s = measured['bytes_per_change'] / measured['seconds_per_change']
    naive_per_s = naive['bytes_per_change'] / naive['seconds_per_change']
    return {
        'bench': 'convergence',
        'profile': options.profile,
        'proxies': options.proxies,
        'services': options.services,
        'changes': options.changes,
        'convergence_p50_ms': quantile(measured['delays_ms'], 50),
        'convergence_p99_ms': p99,
        'convergence_max_ms': max(measured['delays_ms']),
        'naive_p50_ms': quantile(naive['delays_ms'], 50),
        'naive_p99_ms': naive_p99,
        'ratio_convergence_p99': round(p99 / naive_p99, 3),
        'control_bytes_per_proxy_per_change': round(
            measured['bytes_per_change']
        ),
        'control_bytes_over_idle_per_change': round(
            measured['bytes_over_idle']
        ),
        'naive_bytes_per_proxy_per_change': round(naive['bytes_per_change']),
        'ratio_control_bytes': round(per_s / naive_per_s, 4),
        'idle_bytes_per_proxy_per_s': round(idle['bytes_per_s']),
        'idle_core_share': round(idle['core_share'], 5),
        'source_reads_per_s': round(idle['reads_per_s'], 1),
        'naive_source_reads_per_s': round(naive['reads_per_s'], 1),
        'ratio_source_reads': round(
            idle['reads_per_s'] / naive['reads_per_s'], 4
        ),
        'seconds_per_change': round(measured['seconds_per_change'], 2),
    }


if __name__ == '__main__':
    main()

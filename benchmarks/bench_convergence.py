"""Convergence time and control bytes, compared with naive polling.

Starts N proxies in four data centres and rolls versions that change one route
each.  Then stops the proxies and lets N naive pollers follow as many versions
from the same source.  The last line is one JSON object.
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
START_BATCH_SIZE = 25
CHANGE_TIMEOUT_S = 30.0
#: Row changes of the last join are still gossiped for this long.
SETTLE_S = 5.0

PROFILES = {
    'default': {},
    # Saves control bytes: fewer relays, probes and acknowledgements.
    'tuulai': {
        'distribution': {
            'relays': 2,
            'acknowledge_interval_ms': 2000,
            'merge_interval_ms': 200,
        },
        'membership': {'compare_interval_ms': 2000},
    },
    # Shortens convergence: the head is polled more often.
    'kask-parn': {
        'distribution': {'head_poll_interval_ms': 250, 'fan_out': 12},
    },
}


def main() -> None:
    """Measure the proxies and the naive pollers; print the results."""
    options = parse_options()
    with testing.make_fleet(MESH, PROFILES[options.profile]) as fleet:
        fleet.start_platform()
        client = make_client(fleet)
        publisher = VersionPublisher(
            client, options.services, not options.no_notice
        )
        start_proxies(fleet, options.proxies)
        publisher.publish_next()
        fleet.wait_version(1)
        fleet.wait_settled()
        time.sleep(SETTLE_S)
        idle = measure_idle(fleet, options.idle_s)
        measured = measure_changes(fleet, publisher, options, idle)
        fleet.stop_proxies()
        naive = measure_naive(fleet, publisher, options)
    print(json.dumps(summarise(options, idle, measured, naive)))


def parse_options() -> argparse.Namespace:
    """Parse the command line."""
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


class VersionPublisher:
    """Signs off and rolls one version after another."""

    def __init__(self, client, services: int, sends_notice: bool):
        self.client: release.ReleaseClient = client
        self.sends_notice = sends_notice
        self.services = services
        self.change_number = 0

    def publish_next(self) -> tuple[int, int]:
        """Sign off and roll the next version.

        Returns its number, and the monotonic time of the start in ms.
        """
        content = testing.make_sample_bundle(
            MESH, self.services, self.change_number
        )
        self.change_number += 1
        started_ms = clock.monotonic_ms()
        record = self.client.sign_off(
            content, OPERATOR, release.make_operation_id()
        )
        self.client.roll(record.version, OPERATOR, release.make_operation_id())
        if self.sends_notice:
            _notice.notify_relays(self.client.table, MESH, OPERATOR)
        return record.version, started_ms


def make_store(fleet: testing.Fleet) -> storage.GuardedStore:
    """Make a client of the stand-in platform."""
    return platform.make_records_store(
        settings.PlatformSettings(
            address='127.0.0.1', port=fleet.platform_port
        ),
        random.Random(0),
    )


def make_client(fleet: testing.Fleet) -> release.ReleaseClient:
    """Make the release client of the operator."""
    store = make_store(fleet)
    return release.ReleaseClient(
        store, store, clock.monotonic_ms, lambda attempt: time.sleep(0.2)
    )


def start_proxies(fleet: testing.Fleet, count: int) -> None:
    """Start proxies in batches, to limit the load on the machine."""
    data_centres = [
        DATA_CENTRES[index % len(DATA_CENTRES)] for index in range(count)
    ]
    for start in range(0, count, START_BATCH_SIZE):
        fleet.add_proxies(data_centres[start : start + START_BATCH_SIZE])
        for proxy in fleet.proxies[start:]:
            fleet.wait_until(
                lambda proxy=proxy: fleet.status(proxy), proxy.host
            )


def sum_control_bytes(fleet: testing.Fleet) -> float:
    """Return the total control bytes that all proxies have received."""
    return sum(fleet.control_bytes(proxy) for proxy in fleet.proxies)


def measure_idle(fleet: testing.Fleet, seconds: float) -> dict:
    """Measure control traffic, source reads and processor time when idle."""
    bytes_before = sum_control_bytes(fleet)
    reads_before = fleet.stats().reads
    tick_before_s = fleet.sum_metric('sedgering_tick_seconds_total')
    started_s = time.monotonic()
    time.sleep(seconds)
    bytes_after = sum_control_bytes(fleet)
    elapsed_s = time.monotonic() - started_s
    count = len(fleet.proxies)
    tick_s = fleet.sum_metric('sedgering_tick_seconds_total') - tick_before_s
    return {
        'bytes_per_s': (bytes_after - bytes_before) / elapsed_s / count,
        'reads_per_s': (fleet.stats().reads - reads_before) / elapsed_s,
        'core_share': tick_s / elapsed_s / count,
    }


def measure_changes(fleet, publisher, options, idle) -> dict:
    """Roll versions; measure when each proxy has each of them in force."""
    delays_ms: list[int] = []
    started_s = time.monotonic()
    bytes_before = sum_control_bytes(fleet)
    for _ in range(options.changes):
        version, started_ms = publisher.publish_next()
        time.sleep(options.pause_s)
        fleet.wait_version(version, CHANGE_TIMEOUT_S)
        for proxy in fleet.proxies:
            status = fleet.status(proxy)
            delays_ms.append(status['applied_at_ms'] - started_ms)
    elapsed_s = time.monotonic() - started_s
    received = sum_control_bytes(fleet) - bytes_before
    count = len(fleet.proxies) * options.changes
    idle_bytes = idle['bytes_per_s'] * elapsed_s * len(fleet.proxies)
    return {
        'delays_ms': delays_ms,
        'bytes_per_change': received / count,
        'bytes_over_idle': max(0.0, received - idle_bytes) / count,
        'seconds_per_change': elapsed_s / options.changes,
    }


def measure_naive(fleet, publisher, options) -> dict:
    """Measure as many naive pollers following as many versions."""
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
    rolls = []
    for _ in range(options.changes):
        rolls.append(publisher.publish_next())
        time.sleep(options.pause_s)
    elapsed_s = time.monotonic() - started_s
    received = sum(poller.received_bytes for poller in pollers) - bytes_before
    stats = fleet.stats()
    reads = stats.reads + stats.object_gets - reads_before
    for poller in pollers:
        poller.stop()
    delays_ms = [
        poller.applied_at_ms[version] - started_ms
        for poller in pollers
        for version, started_ms in rolls
        if version in poller.applied_at_ms
    ]
    return {
        'delays_ms': delays_ms,
        'bytes_per_change': received / options.proxies / options.changes,
        'reads_per_s': reads / elapsed_s,
        'seconds_per_change': elapsed_s / options.changes,
    }


def compute_percentile(values: list[int], percent: int) -> float:
    """Return a percentile of the values."""
    return statistics.quantiles(values, n=100, method='inclusive')[percent - 1]


def summarise(options, idle, measured, naive) -> dict:
    """Return the results of proxies and pollers, and their ratios."""
    p99_ms = compute_percentile(measured['delays_ms'], 99)
    naive_p99_ms = compute_percentile(naive['delays_ms'], 99)
    bytes_per_s = measured['bytes_per_change'] / measured['seconds_per_change']
    naive_bytes_per_s = naive['bytes_per_change'] / naive['seconds_per_change']
    return {
        'bench': 'convergence',
        'profile': options.profile,
        'proxies': options.proxies,
        'services': options.services,
        'changes': options.changes,
        'convergence_p50_ms': compute_percentile(measured['delays_ms'], 50),
        'convergence_p99_ms': p99_ms,
        'convergence_max_ms': max(measured['delays_ms']),
        'naive_p50_ms': compute_percentile(naive['delays_ms'], 50),
        'naive_p99_ms': naive_p99_ms,
        'ratio_convergence_p99': round(p99_ms / naive_p99_ms, 3),
        'control_bytes_per_proxy_per_change': round(
            measured['bytes_per_change']
        ),
        'control_bytes_over_idle_per_change': round(
            measured['bytes_over_idle']
        ),
        'naive_bytes_per_proxy_per_change': round(naive['bytes_per_change']),
        'ratio_control_bytes': round(bytes_per_s / naive_bytes_per_s, 4),
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

"""Offered load at 0.5, 1, 2, 4 times capacity, and back to 1.

The same load goes through the naive proxies and through sedgering-proxy,
to the same kind of targets, one of which lies about its load.  One party
offers most of it.  The last line is one JSON object.
"""

import argparse
import json
import random
import statistics

import _load

from sedgering import bundle as bundles
from sedgering.cli import _notice
from sedgering import platform
from sedgering import release
from sedgering import settings
from sedgering import testing

MESH = 'bench'
PROXIES = 3
TARGETS = 4
SLOTS = 3
WORK_MS = 60
LIE_FACTOR = 5
FACTORS = (0.5, 1.0, 2.0, 4.0, 1.0)
PARTIES = ('a', 'b', 'c', 'd')
#: The first party offers this share; the others share the rest.
GREEDY_SHARE = 0.7
#: An answer later than this helps nobody.
GOOD_MS = 1000.0
WINDOW_S = 1.0
#: Share of the usual good answers at which the load counts as recovered.
RECOVERED_SHARE = 0.85
THREADS = 160


def main() -> None:
    """Run both versions and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--phase-s', type=float, default=5.0)
    options = parser.parse_args()
    results = {}
    for way in ('naive', 'proxy'):
        with testing.make_fleet(MESH) as fleet:
            ports, targets = start(fleet, way)
            loop = _load.OpenLoop(ports, THREADS, 7)
            calls = loop.run(make_plans(options.phase_s))
            results[way] = summarise(
                calls, options.phase_s, count_attempts(fleet, targets)
            )
        print(json.dumps({'way': way, **results[way]}), flush=True)
    print(json.dumps(compare(results)))


def capacity_per_s() -> float:
    """Return the calls that the targets can run each second."""
    honest = (TARGETS - 1) * SLOTS * 1000 / WORK_MS
    return honest + SLOTS * 1000 / (WORK_MS * LIE_FACTOR)


def start(fleet: testing.Fleet, way: str) -> tuple[list[int], list[int]]:
    """Start targets and one kind of proxy; return both kinds of ports."""
    fleet.start_platform()
    fleet.add_proxies(['dc'] * PROXIES)
    settings_of_targets = fleet.make_targets(
        fleet.proxies[:1], ['set'] * TARGETS, slots=SLOTS, work_ms=WORK_MS
    )
    settings_of_targets[0]['lies'] = True
    fleet.start_targets(settings_of_targets)
    targets = [target['port'] for target in settings_of_targets]
    fleet.wait_members()
    roll(fleet)
    fleet.wait_targets({'set': TARGETS})
    if way == 'proxy':
        return [proxy.data_port for proxy in fleet.proxies], targets
    ports = testing.free_ports(PROXIES)
    for port in ports:
        arguments = ['passthrough', '--port', str(port)]
        for target in targets:
            arguments += ['--target', str(target)]
        fleet.start_program('standin', arguments, f'naive-{port}')
        fleet.wait_until(
            lambda port=port: testing.is_listening(port), 'naive proxy'
        )
    return ports, targets


def roll(fleet: testing.Fleet) -> None:
    """Roll a bundle with one route for each party."""
    share = (bundles.WeightedTargetSet('set'),)
    content = bundles.make_bundle(
        MESH,
        (bundles.Policy('p', timeout_ms=2000, attempts=3),),
        (bundles.TargetSet('set', 'a', slots=SLOTS),),
        tuple(
            bundles.Route(
                party,
                party,
                _load.HOST,
                f'/{party}',
                share,
                'p',
                repeatable=True,
            )
            for party in PARTIES
        ),
    )
    store = platform.make_records_store(
        settings.PlatformSettings(
            address='127.0.0.1', port=fleet.platform_port
        ),
        random.Random(0),
    )
    client = release.ReleaseClient(
        store, store, lambda: 0, lambda attempt: None
    )
    client.sign_off(content, 'bench', release.make_operation_id())
    client.roll(1, 'bench', release.make_operation_id())
    _notice.notify_relays(store, MESH, 'bench')
    fleet.wait_version(1)


def make_plans(phase_s: float) -> list[_load.CallPlan]:
    """Plan Poisson arrivals for each phase."""
    rng = random.Random(11)
    plans = []
    for phase, factor in enumerate(FACTORS):
        now_s = phase * phase_s
        while now_s < (phase + 1) * phase_s:
            party = PARTIES[0]
            if rng.random() > GREEDY_SHARE:
                party = rng.choice(PARTIES[1:])
            plans.append(_load.CallPlan(now_s, party, phase))
            now_s += rng.expovariate(factor * capacity_per_s())
    return plans


def count_attempts(fleet: testing.Fleet, targets: list[int]) -> int:
    """Return the attempts that reached the targets."""
    total = 0
    for port in targets:
        counts = fleet.get_json(port, '/standin/counts')
        total += counts.get('run', 0) + counts.get('refused', 0)
    return total


def is_good(call: _load.Call) -> bool:
    """Say whether the answer came in time to be of use."""
    return call.is_good and call.elapsed_ms <= GOOD_MS


def summarise(calls, phase_s: float, attempts: int) -> dict:
    """Make the figures of one version."""
    phases = []
    for phase, factor in enumerate(FACTORS):
        chosen = [call for call in calls if call.plan.phase == phase]
        good = [call for call in chosen if is_good(call)]
        times = [call.elapsed_ms for call in good] or [0.0, 0.0]
        phases.append(
            {
                'factor': factor,
                'good_per_s': round(len(good) / phase_s, 1),
                'p99_ms': round(statistics.quantiles(times, n=100)[98], 1),
                'not_good_share': round(1 - len(good) / len(chosen), 3),
                'small_parties_good_share': small_share(chosen),
            }
        )
    return {
        'phases': phases,
        'attempts_per_request': round(attempts / len(calls), 3),
        'recovery_s': measure_recovery(calls, phase_s),
    }


def small_share(calls) -> float:
    """Return the share of good answers of all parties but the greedy one."""
    small = [call for call in calls if call.plan.party != PARTIES[0]]
    good = [call for call in small if is_good(call)]
    return round(len(good) / max(1, len(small)), 3)


def measure_recovery(calls, phase_s: float) -> float:
    """Return the time until the last phase is as good as the second.

    Both offer the same load; the time is that of the end of the last
    window whose share of good answers is under 85 % of the second
    phase's.
    """
    before = [call for call in calls if call.plan.phase == 1]
    usual = sum(is_good(call) for call in before) / len(before)
    last = len(FACTORS) - 1
    recovered_s = 0.0
    for index in range(int(phase_s / WINDOW_S)):
        start_s = last * phase_s + index * WINDOW_S
        window = [
            call
            for call in calls
            if start_s <= call.plan.due_s < start_s + WINDOW_S
        ]
        good = sum(is_good(call) for call in window)
        if window and good < RECOVERED_SHARE * usual * len(window):
            recovered_s = (index + 1) * WINDOW_S
    return recovered_s


def compare(results: dict) -> dict:
    """Put both versions side by side."""
    proxy = results['proxy']['phases']
    naive = results['naive']['phases']
    best = max(item['good_per_s'] for item in proxy)
    return {
        'bench': 'overload',
        'capacity_per_s': round(capacity_per_s(), 1),
        'good_per_s': [item['good_per_s'] for item in proxy],
        'naive_good_per_s': [item['good_per_s'] for item in naive],
        'good_at_4x_to_best': round(proxy[3]['good_per_s'] / best, 3),
        'ratio_good_at_4x_to_naive': round(
            proxy[3]['good_per_s'] / max(0.1, naive[3]['good_per_s']), 3
        ),
        'p99_ms': [item['p99_ms'] for item in proxy],
        'naive_p99_ms': [item['p99_ms'] for item in naive],
        'small_parties_good_share_at_4x': proxy[3]['small_parties_good_share'],
        'naive_small_parties_good_share_at_4x': naive[3][
            'small_parties_good_share'
        ],
        'recovery_s': results['proxy']['recovery_s'],
        'naive_recovery_s': results['naive']['recovery_s'],
        'attempts_per_request': results['proxy']['attempts_per_request'],
    }


if __name__ == '__main__':
    main()

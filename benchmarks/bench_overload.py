"""Answers under load of 0.5, 1, 2 and 4 times the capacity, then 1 again.

The same load goes through the naive proxies and through sedgering-proxy, to
targets of the same kind.  One target is slow and always reports that it is
idle.  One tenant sends most of the calls; the printed names call tenants
parties.  The last line is one JSON object.
"""

import argparse
import json
import random
import statistics

import _open_loop

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
#: Work time of the misreporting target, relative to the others.
SLOWDOWN_FACTOR = 5
LOAD_FACTORS = (0.5, 1.0, 2.0, 4.0, 1.0)
TENANTS = ('a', 'b', 'c', 'd')
#: Share of the calls that the first tenant sends; the others send the rest.
HEAVY_TENANT_SHARE = 0.7
#: A later answer is of no use to the caller and does not count as good.
GOOD_ANSWER_LIMIT_MS = 1000.0
RECOVERY_WINDOW_S = 1.0
#: The fleet has recovered when the share of good answers, relative to that
#: before the overload, is at least this.
RECOVERY_SHARE = 0.85
THREADS = 160


def main() -> None:
    """Run both kinds of proxy and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--phase-s', type=float, default=5.0)
    options = parser.parse_args()
    results = {}
    for variant in ('naive', 'proxy'):
        with testing.make_fleet(MESH) as fleet:
            ports, targets = start(fleet, variant)
            generator = _open_loop.LoadGenerator(ports, THREADS, 7)
            calls = generator.run(plan_calls(options.phase_s))
            results[variant] = summarise(
                calls, options.phase_s, count_attempts(fleet, targets)
            )
        print(json.dumps({'way': variant, **results[variant]}), flush=True)
    print(json.dumps(compare(results)))


def compute_capacity_per_s() -> float:
    """Return how many calls a second the targets can complete."""
    regular_per_s = (TARGETS - 1) * SLOTS * 1000 / WORK_MS
    return regular_per_s + SLOTS * 1000 / (WORK_MS * SLOWDOWN_FACTOR)


def start(fleet: testing.Fleet, variant: str) -> tuple[list[int], list[int]]:
    """Start targets and one kind of proxy.

    Returns the ports of the proxies and those of the targets.
    """
    fleet.start_platform()
    fleet.add_proxies(['dc'] * PROXIES)
    target_settings = fleet.make_targets(
        fleet.proxies[:1], ['set'] * TARGETS, slots=SLOTS, work_ms=WORK_MS
    )
    target_settings[0]['lies'] = True
    fleet.start_targets(target_settings)
    targets = [target['port'] for target in target_settings]
    fleet.wait_members()
    roll_routes(fleet)
    fleet.wait_targets({'set': TARGETS})
    if variant == 'proxy':
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


def roll_routes(fleet: testing.Fleet) -> None:
    """Roll a bundle with one route for each tenant."""
    weighted_sets = (bundles.WeightedTargetSet('set'),)
    content = bundles.make_bundle(
        MESH,
        (bundles.Policy('p', timeout_ms=2000, attempts=3),),
        (bundles.TargetSet('set', 'a', slots=SLOTS),),
        tuple(
            bundles.Route(
                tenant,
                tenant,
                _open_loop.HOST,
                f'/{tenant}',
                weighted_sets,
                'p',
                repeatable=True,
            )
            for tenant in TENANTS
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


def plan_calls(phase_s: float) -> list[_open_loop.PlannedCall]:
    """Plan calls with Poisson arrivals for each phase."""
    rng = random.Random(11)
    planned_calls = []
    for phase, factor in enumerate(LOAD_FACTORS):
        now_s = phase * phase_s
        while now_s < (phase + 1) * phase_s:
            tenant = TENANTS[0]
            if rng.random() > HEAVY_TENANT_SHARE:
                tenant = rng.choice(TENANTS[1:])
            planned_calls.append(_open_loop.PlannedCall(now_s, tenant, phase))
            now_s += rng.expovariate(factor * compute_capacity_per_s())
    return planned_calls


def count_attempts(fleet: testing.Fleet, targets: list[int]) -> int:
    """Return the number of attempts that reached the targets."""
    total = 0
    for port in targets:
        counts = fleet.get_json(port, '/standin/counts')
        total += counts.get('run', 0) + counts.get('refused', 0)
    return total


def is_good(call: _open_loop.CallResult) -> bool:
    """Return whether the answer arrived in time to be of use."""
    return call.is_good and call.elapsed_ms <= GOOD_ANSWER_LIMIT_MS


def summarise(calls, phase_s: float, attempts: int) -> dict:
    """Return the results of one kind of proxy."""
    phases = []
    for phase, factor in enumerate(LOAD_FACTORS):
        phase_calls = [call for call in calls if call.planned.phase == phase]
        good = [call for call in phase_calls if is_good(call)]
        times = [call.elapsed_ms for call in good] or [0.0, 0.0]
        phases.append(
            {
                'factor': factor,
                'good_per_s': round(len(good) / phase_s, 1),
                'p99_ms': round(statistics.quantiles(times, n=100)[98], 1),
                'not_good_share': round(1 - len(good) / len(phase_calls), 3),
                'small_parties_good_share': compute_small_tenants_share(
                    phase_calls
                ),
            }
        )
    return {
        'phases': phases,
        'attempts_per_request': round(attempts / len(calls), 3),
        'recovery_s': measure_recovery(calls, phase_s),
    }


def compute_small_tenants_share(calls) -> float:
    """Return the share of good answers to all tenants but the first."""
    small_tenant_calls = [
        call for call in calls if call.planned.tenant != TENANTS[0]
    ]
    good = [call for call in small_tenant_calls if is_good(call)]
    return round(len(good) / max(1, len(small_tenant_calls)), 3)


def measure_recovery(calls, phase_s: float) -> float:
    """Return how long the last phase takes to recover from the overload.

    The last phase has the same load as the second.  It has recovered, in
    seconds after its start, at the end of its last window in which the
    share of good answers is less than 85 % of that of the second phase.
    """
    reference_calls = [call for call in calls if call.planned.phase == 1]
    expected_share = sum(is_good(call) for call in reference_calls) / len(
        reference_calls
    )
    last_phase = len(LOAD_FACTORS) - 1
    recovered_s = 0.0
    for index in range(int(phase_s / RECOVERY_WINDOW_S)):
        start_s = last_phase * phase_s + index * RECOVERY_WINDOW_S
        window = [
            call
            for call in calls
            if start_s <= call.planned.due_s < start_s + RECOVERY_WINDOW_S
        ]
        good = sum(is_good(call) for call in window)
        if window and good < RECOVERY_SHARE * expected_share * len(window):
            recovered_s = (index + 1) * RECOVERY_WINDOW_S
    return recovered_s


def compare(results: dict) -> dict:
    """Return the results of both kinds of proxy side by side."""
    proxy = results['proxy']['phases']
    naive = results['naive']['phases']
    best_per_s = max(item['good_per_s'] for item in proxy)
    return {
        'bench': 'overload',
        'capacity_per_s': round(compute_capacity_per_s(), 1),
        'good_per_s': [item['good_per_s'] for item in proxy],
        'naive_good_per_s': [item['good_per_s'] for item in naive],
        'good_at_4x_to_best': round(proxy[3]['good_per_s'] / best_per_s, 3),
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

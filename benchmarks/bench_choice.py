"""Processor time of one choice, by the number of targets in the set.

Compares all targets with the few that are drawn, and with those of the own
data centre before others.  The last line is one
JSON object.
"""

import argparse
import json
import random
import time

from sedgering import mesh
from sedgering.mesh import _choice
from sedgering import testing

DATA_CENTRES = 4
ROUTE = 'calendar'
US_PER_S = 1_000_000
#: Some times the work: near targets are good enough, as they mostly are.
GOAL_MS = 1000


def main() -> None:
    """Measure all sizes and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--choices', type=int, default=2000)
    parser.add_argument(
        '--sizes', type=int, nargs='+', default=[6, 12, 24, 100, 300]
    )
    options = parser.parse_args()
    results = {size: measure(size, options.choices) for size in options.sizes}
    print(json.dumps({'bench': 'choice', 'us_per_choice': results}))


def measure(size: int, choices: int) -> dict[str, float]:
    """Return the time of a choice among all, and among those drawn."""
    rows = [
        testing.make_member_row(
            f'host-{number}',
            data_centre=f'hall-{number % DATA_CENTRES}',
            port=number + 1,
        )
        for number in range(size)
    ]
    peers = mesh.PeerTable(mesh.MeshSettings())
    for row in rows:
        report = mesh.LoadReport(5, 1, 13, 80, 60)
        peers.record_report(peers.find(row), report, ROUTE, 0.0)
    rng = random.Random(1)

    def choose(members) -> None:
        costs = mesh.CallCosts(peers, 'hall-0', ROUTE, 0, False, 0.1)
        mesh.choose_member(members, (), costs, rng)

    def choose_near() -> None:
        near, far = _choice.split_candidates(rows, 'hall-0', rng)
        costs = mesh.CallCosts(peers, 'hall-0', ROUTE, 0, False, 0.1, GOAL_MS)
        mesh.choose_local_first(near, far, (), costs, rng)

    return {
        'near': time_us(choose_near, choices),
        'all': time_us(lambda: choose(rows), choices),
        'drawn': time_us(
            lambda: choose(_choice.sample_candidates(rows, 'hall-0', rng)),
            choices,
        ),
    }


def time_us(call, count: int) -> float:
    """Return the processor time of one call."""
    started_s = time.process_time()
    for _ in range(count):
        call()
    elapsed_s = time.process_time() - started_s
    return round(elapsed_s * US_PER_S / count, 1)


if __name__ == '__main__':
    main()

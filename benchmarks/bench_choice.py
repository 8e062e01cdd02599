"""Processor time of choosing a target, by the size of the target set.

Measures the choice among all targets, among a random sample of them, and among
a sample that prefers targets of the caller's own data centre.  The last line
is one JSON object.
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
#: Several times the work time, so that the local targets meet the goal, as
#: they mostly do.
GOAL_MS = 1000


def main() -> None:
    """Measure all set sizes and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--choices', type=int, default=2000)
    parser.add_argument(
        '--sizes', type=int, nargs='+', default=[6, 12, 24, 100, 300]
    )
    options = parser.parse_args()
    results = {
        targets: measure(targets, options.choices) for targets in options.sizes
    }
    print(json.dumps({'bench': 'choice', 'us_per_choice': results}))


def measure(targets: int, choices: int) -> dict[str, float]:
    """Return the processor time of each kind of choice in microseconds."""
    rows = [
        testing.make_member_row(
            f'host-{number}',
            data_centre=f'hall-{number % DATA_CENTRES}',
            port=number + 1,
        )
        for number in range(targets)
    ]
    peers = mesh.PeerTable(mesh.MeshSettings())
    for row in rows:
        report = mesh.LoadReport(5, 1, 13, 80, 60)
        peers.record_report(peers.find(row), report, ROUTE, 0.0)
    rng = random.Random(1)

    def choose_among(candidates) -> None:
        costs = mesh.CallCosts(peers, 'hall-0', ROUTE, 0, False, 0.1)
        mesh.choose_member(candidates, (), costs, rng)

    def choose_preferring_local() -> None:
        local, remote = _choice.split_candidates(rows, 'hall-0', rng)
        costs = mesh.CallCosts(peers, 'hall-0', ROUTE, 0, False, 0.1, GOAL_MS)
        mesh.choose_local_first(local, remote, (), costs, rng)

    return {
        'near': measure_call_us(choose_preferring_local, choices),
        'all': measure_call_us(lambda: choose_among(rows), choices),
        'drawn': measure_call_us(
            lambda: choose_among(
                _choice.sample_candidates(rows, 'hall-0', rng)
            ),
            choices,
        ),
    }


def measure_call_us(function, count: int) -> float:
    """Return the processor time of one call in microseconds."""
    started_s = time.process_time()
    for _ in range(count):
        function()
    elapsed_s = time.process_time() - started_s
    return round(elapsed_s * US_PER_S / count, 1)


if __name__ == '__main__':
    main()

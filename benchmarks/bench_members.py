"""Processor time of one changed member row, by the size of the fleet.

    python -m benchmarks.bench_members

Each daemon of a fleet takes in each row that a target or daemon writes as it
starts, gets ready, leaves or ends.  Operators order rollouts here, as on the
deployments where rows change most.  The last line is one JSON object.
"""

import argparse
import json
import time

from sedgering import base
from sedgering import mesh
from sedgering.mesh import _members
from sedgering.mesh import _rollout_log
from sedgering import testing

SETS = 8
DATA_CENTRES = 4
US_PER_S = 1_000_000


class Table:
    """What a daemon works out from member rows.

    Parameters
    ----------
    size : int
        Hosts of the fleet.
    """

    def __init__(self, size: int):
        self.log = _members.MemberLog()
        self.fleet = mesh.FleetTable()
        self.fleet.rollouts = _rollout_log.RolloutLog()
        self.fleet.rollouts.is_known = True
        self.peers = mesh.PeerTable(mesh.MeshSettings())
        self.size = size
        entries = tuple(self._make_entry(number, 1) for number in range(size))
        self._take(_members.MemberUpdate(entries, 1, True))

    def change(self, revision: int) -> None:
        """Take in one row whose target has started anew."""
        entry = self._make_entry(revision % self.size, revision)
        self._take(_members.MemberUpdate((entry,), revision, False))

    def _make_entry(self, number: int, revision: int) -> _members.MemberEntry:
        row = testing.make_member_row(
            f'host-{number}',
            data_centre=f'hall-{number % DATA_CENTRES}',
            port=number + 1,
            target_set=f'set-{number % SETS}',
            target=f'i-{revision}-{number}',
        )
        return _members.MemberEntry(base.HostId(row.host), revision, row)

    def _take(self, update: _members.MemberUpdate) -> None:
        self.log.merge(update)
        members = self.log.list_members()
        self.fleet.replace(members)
        self.peers.retain(frozenset(members))


def measure(size: int, changes: int) -> float:
    """Return the time of one change."""
    table = Table(size)
    started_s = time.process_time()
    for number in range(changes):
        table.change(number + 2)
    elapsed_s = time.process_time() - started_s
    return round(elapsed_s * US_PER_S / changes, 1)


def main() -> None:
    """Measure all sizes and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=1000)
    parser.add_argument(
        '--sizes', type=int, nargs='+', default=[13, 88, 120, 300]
    )
    options = parser.parse_args()
    results = {size: measure(size, options.changes) for size in options.sizes}
    print(json.dumps({'bench': 'members', 'us_per_change': results}))


if __name__ == '__main__':
    main()

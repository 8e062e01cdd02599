"""Processor time of applying one changed member row, by fleet size.

    python -m benchmarks.bench_members

Every daemon of a fleet applies every row that a target or daemon writes when
it starts, becomes ready, deregisters or stops.  Operators order rollouts here,
as on the deployments whose rows change most often.  The last line is one JSON
object.
"""

import argparse
import json
import time

from sedgering import base
from sedgering import mesh
from sedgering.mesh import _members
from sedgering.mesh import _rollout_log
from sedgering import testing

TARGET_SETS = 8
DATA_CENTRES = 4
US_PER_S = 1_000_000


class MemberTables:
    """The tables that a daemon derives from member rows.

    Parameters
    ----------
    hosts : int
        Number of hosts in the fleet.
    """

    def __init__(self, hosts: int):
        self.log = _members.MemberLog()
        self.fleet = mesh.FleetTable()
        self.fleet.rollouts = _rollout_log.RolloutLog()
        self.fleet.rollouts.is_known = True
        self.peers = mesh.PeerTable(mesh.MeshSettings())
        self.hosts = hosts
        entries = tuple(self._make_entry(number, 1) for number in range(hosts))
        self._apply_update(_members.MemberUpdate(entries, 1, True))

    def apply_change(self, revision: int) -> None:
        """Apply one row whose target has restarted."""
        entry = self._make_entry(revision % self.hosts, revision)
        self._apply_update(_members.MemberUpdate((entry,), revision, False))

    def _make_entry(self, number: int, revision: int) -> _members.MemberEntry:
        row = testing.make_member_row(
            f'host-{number}',
            data_centre=f'hall-{number % DATA_CENTRES}',
            port=number + 1,
            target_set=f'set-{number % TARGET_SETS}',
            target=f'i-{revision}-{number}',
        )
        return _members.MemberEntry(base.HostId(row.host), revision, row)

    def _apply_update(self, update: _members.MemberUpdate) -> None:
        self.log.merge(update)
        members = self.log.list_members()
        self.fleet.replace(members)
        self.peers.retain(frozenset(members))


def measure(hosts: int, changes: int) -> float:
    """Return the processor time of one change in microseconds."""
    tables = MemberTables(hosts)
    started_s = time.process_time()
    for number in range(changes):
        tables.apply_change(number + 2)
    elapsed_s = time.process_time() - started_s
    return round(elapsed_s * US_PER_S / changes, 1)


def main() -> None:
    """Measure all fleet sizes and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=1000)
    parser.add_argument(
        '--sizes', type=int, nargs='+', default=[13, 88, 120, 300]
    )
    options = parser.parse_args()
    results = {
        hosts: measure(hosts, options.changes) for hosts in options.sizes
    }
    print(json.dumps({'bench': 'members', 'us_per_change': results}))


if __name__ == '__main__':
    main()

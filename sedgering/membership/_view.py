"""Targets by target set, as the request path reads them."""

from collections.abc import Iterator

import msgspec

from sedgering import base
from sedgering.membership import _table
from sedgering import peer

__all__ = ['Endpoint', 'TargetView']


class Endpoint(msgspec.Struct, frozen=True):
    """One target that new work may go to.

    Parameters
    ----------
    name : TargetName
        Name that the target announced.
    host : HostId
        Host on which it runs.
    data_centre : DataCentre
        Data centre of the host.
    address, port
        Where it listens.
    slots : int
        Requests that it works on at a time.
    """

    name: base.TargetName
    host: base.HostId
    data_centre: base.DataCentre
    address: str
    port: int
    slots: int


class TargetView:
    """Immutable lists of endpoints, replaced whole when they change.

    The request path reads :attr:`by_set` without a lock.
    """

    def __init__(self):
        self.by_set: dict[str, tuple[Endpoint, ...]] = {}

    def refresh(self, table: _table.HostTable) -> None:
        """Make the lists of the target sets that changed anew."""
        if not table.changed_sets:
            return
        changed = table.changed_sets
        table.changed_sets = set()
        by_set = dict(self.by_set)
        for name in changed:
            by_set[name] = tuple(_list_endpoints(table, name))
        self.by_set = by_set


def _list_endpoints(
    table: _table.HostTable, target_set: str
) -> Iterator[Endpoint]:
    for row in table.rows_of_set(target_set):
        if table.is_alive(row):
            yield from _list_of_host(table, row, target_set)


def _list_of_host(
    table: _table.HostTable, row: int, target_set: str
) -> Iterator[Endpoint]:
    targets = table.targets
    for item in targets.walk(table.first_targets[row]):
        if targets.target_sets[item] != target_set:
            continue
        if targets.states[item] != peer.TargetState.SERVING:
            continue
        yield Endpoint(
            name=base.TargetName(targets.names[item]),
            host=table.hosts[row],
            data_centre=table.data_centres[row],
            address=table.address_of(row)[0],
            port=targets.ports[item],
            slots=targets.slots[item],
        )

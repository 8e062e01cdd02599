"""What a proxy says of itself on its admin pages."""

import msgspec

from sedgering import control
from sedgering import peer

__all__ = ['ProxyStatus', 'make_status']


class ProxyStatus(msgspec.Struct, frozen=True):
    """State of one proxy at the end of a tick.

    Parameters
    ----------
    host, data_centre : str
        Who.
    state : str
        State of the host.
    is_ready : bool
        Whether requests are taken.
    held_version, floor : int
        Version in force, and the least one allowed.
    is_floor_known : bool
        Whether the floor covers earlier processes of the host.
    wanted_version : int
        Version under way; 0 for none.
    refused : dict of int to int
        Refused versions and codes.
    members : int
        Rows in the member table.
    is_relay, is_top : bool
        Place in the tree.
    parent : str
        Parent in the tree; empty at the top.
    children : int
        Hosts that acknowledge here.
    members_digest : int
        Digest of the member table, to compare with that of others.
    targets : dict of str to int
        Number of targets that take new work, by target set.
    applied_at_ms : int
        Monotonic time of this host at which the version came into force.
    """

    host: str
    data_centre: str
    state: str
    is_ready: bool
    held_version: int
    floor: int
    is_floor_known: bool
    wanted_version: int
    refused: dict[int, int]
    members: int
    is_relay: bool
    is_top: bool
    parent: str
    children: int
    members_digest: int
    targets: dict[str, int]
    applied_at_ms: int


def make_status(tables: control.ControlTables) -> ProxyStatus:
    """Make the status; called by the control thread."""
    tree = tables.tree
    updates = tables.updates
    parent = '' if tree.parent is None else tables.hosts.hosts[tree.parent]
    return ProxyStatus(
        host=tables.settings.host,
        data_centre=tables.settings.data_centre,
        state=tables.self_row.state.name.lower(),
        is_ready=tables.self_row.state is peer.HostState.SERVING,
        held_version=tables.holder.version,
        floor=updates.floor,
        is_floor_known=updates.is_floor_known,
        wanted_version=updates.wanted.version if updates.wanted else 0,
        refused=dict(updates.refused),
        members=len(tables.hosts),
        is_relay=tree.is_relay,
        is_top=tree.is_top,
        parent=parent,
        children=len(tree.children),
        members_digest=tables.hosts.digest,
        targets={
            name: len(endpoints)
            for name, endpoints in tables.view.by_set.items()
        },
        applied_at_ms=updates.applied_at_ms,
    )

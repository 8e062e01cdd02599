"""Makes the source of versions and members of one daemon."""

import asyncio

from sedgering import base
from sedgering import mesh
from sedgering.platform import _document
from sedgering.platform import _rollouts
from sedgering.platform import _store
from sedgering.platform import _tables

__all__ = ['make_mesh_source']

#: The row that the operator writes.
CONFIG_TABLE = 'op'
CONFIG_KEY = 'config'
#: Table of our own with one row for each host.
MEMBERS_TABLE = 'sedgering_members'


def make_mesh_source(
    client: _store.StoreClient,
    host: base.HostId,
    loop: asyncio.AbstractEventLoop,
    is_first_start: bool = False,
    has_rollouts: bool = False,
) -> mesh.MeshSource:
    """Make the source of versions and members of one daemon.

    Parameters
    ----------
    client : StoreClient
        With a carrier of the event loop.
    host : HostId
        Of the daemon.
    loop : AbstractEventLoop
        In which the daemon runs.
    is_first_start : bool
        Whether the whole fleet starts for the first time.
    has_rollouts : bool
        Whether the operator orders rollouts.
    """
    config_row = mesh.ConfigRow(
        _tables.PlatformTable(client, CONFIG_TABLE),
        CONFIG_KEY,
        _document.DocumentDecoder().decode,
        _rollouts.decode_order if has_rollouts else None,
    )
    members = _tables.PlatformTable(client, MEMBERS_TABLE)
    rollout_store = _rollouts.PlatformRollouts(client)
    return mesh.MeshSource(
        config_row,
        members,
        host,
        loop,
        is_first_start,
        rollout_store if has_rollouts else None,
    )

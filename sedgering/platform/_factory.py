"""Constructs the configuration and membership source of a daemon."""

import asyncio

from sedgering import base
from sedgering import mesh
from sedgering.platform import _document
from sedgering.platform import _rollouts
from sedgering.platform import _store
from sedgering.platform import _tables

__all__ = ['MEMBERS_TABLE', 'make_mesh_source']

#: Row to which the operator writes the configuration document.
CONFIG_TABLE = 'op'
CONFIG_KEY = 'config'
#: Table of this project, with one row for each host.
MEMBERS_TABLE = 'sedgering_members'


def make_mesh_source(
    client: _store.StoreClient,
    host: base.HostId,
    loop: asyncio.AbstractEventLoop,
    is_first_start: bool = False,
    has_rollouts: bool = False,
) -> mesh.MeshSource:
    """Make the source of configuration versions and members for a daemon.

    Parameters
    ----------
    client : StoreClient
        With an HTTP client that uses the event loop.
    host : HostId
        Host of the daemon.
    loop : AbstractEventLoop
        Event loop in which the daemon runs.
    is_first_start : bool
        Whether all daemons of the fleet start for the first time.
    has_rollouts : bool
        Whether the operator uses rollouts.
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

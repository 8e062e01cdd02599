"""Makes the stores and sources of the product from settings."""

import asyncio
import random

from sedgering import base
from sedgering import mesh
from sedgering.platform import _document
from sedgering.platform import _settings
from sedgering.platform import _store
from sedgering.platform import _tables
from sedgering import settings
from sedgering import storage

__all__ = ['make_mesh_source', 'make_records_store']

#: The row that the operator writes.
CONFIG_TABLE = 'op'
CONFIG_KEY = 'config'
#: Table of our own with one row for each host.
MEMBERS_TABLE = 'sedgering_members'


def make_records_store(
    platform_settings: settings.PlatformSettings, rng: random.Random
) -> storage.GuardedStore:
    """Make the store of sign-offs, rolls, claims and content.

    Parameters
    ----------
    platform_settings : PlatformSettings
        Validated settings.
    rng : random.Random
        Jitter of the circuit.
    """
    client = _store.StoreClient(
        _settings.StoreSettings(
            str(platform_settings.address),
            platform_settings.port,
            platform_settings.timeout_ms,
        )
    )
    return storage.make_guarded_store(
        _tables.PlatformTable(client, _tables.RECORDS_TABLE),
        _tables.PlatformObjects(client),
        platform_settings,
        rng,
    )


def make_mesh_source(
    client: _store.StoreClient,
    host: base.HostId,
    loop: asyncio.AbstractEventLoop,
) -> mesh.MeshSource:
    """Make the source of versions and members of one daemon.

    Parameters
    ----------
    client : StoreClient
        Shared by its threads.
    host : HostId
        Of the daemon.
    loop : AbstractEventLoop
        In which the daemon runs.
    """
    config_row = mesh.ConfigRow(
        _tables.PlatformTable(client, CONFIG_TABLE),
        CONFIG_KEY,
        _document.decode_document,
    )
    members = _tables.PlatformTable(client, MEMBERS_TABLE)
    return mesh.MeshSource(config_row, members, host, loop)

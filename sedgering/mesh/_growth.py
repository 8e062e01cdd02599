"""Gauges of what could grow as long as a daemon lives."""

import asyncio
import os

from sedgering.mesh import _state
from sedgering import transport

__all__ = ['find_growth_gauges', 'read_resident_bytes']

#: Resident pages are the second field.
STATM_PATH = '/proc/self/statm'


def find_growth_gauges(
    state: _state.RequestState,
    callers: transport.Service,
    peers: transport.Service,
    loop: asyncio.AbstractEventLoop,
) -> dict[str, float]:
    """Return the gauges.

    Each is bounded by the load, the member table or the version in force; one
    that keeps rising shows a leak, and which table has it.

    Parameters
    ----------
    state : RequestState
        Tables of the daemon.
    callers, peers : Service
        Services of callers and of other daemons.
    loop : AbstractEventLoop
        Event loop of the daemon.
    """
    return {
        'resident_bytes': read_resident_bytes(),
        'tasks': len(asyncio.all_tasks(loop)),
        'caller_connections': len(callers.connections),
        'peer_connections': len(peers.connections),
        'caller_connections_expired': callers.expired_connections,
        'peer_connections_expired': peers.expired_connections,
        'request_body_bytes': transport.BodyMemory.used_bytes,
        **state.peers.count_entries(),
        'targets_with_signals': len(state.peers.signals),
        'calls_at_target': state.target_client.calls_in_flight,
    }


def read_resident_bytes() -> int:
    """Return the resident memory of this process; 0 when unknown."""
    try:
        with open(STATM_PATH, encoding='ascii') as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf('SC_PAGE_SIZE')

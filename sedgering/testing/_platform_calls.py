"""Reports, store writes and settings in the formats of the platform."""

import base64
import json
import urllib.parse

from sedgering.testing import _sites
from sedgering import transport

__all__ = [
    'encode_read',
    'encode_write',
    'make_daemon_settings',
    'make_process_limits',
    'make_report',
]

#: Time bounds and retry budget as configured in production.
BOUNDS = (
    'apply=2000ms',
    'grace=6s',
    'budget_ratio=0.2',
    'budget_extra=62',
    'budget_window=10s',
)
#: Bounds where the operator uses rollouts.
ROLLOUT_BOUNDS = ('expose_share=0.1',)


def make_report(
    target: str,
    verb: str,
    target_set: str,
    state: str,
    sequence: int,
    slots: int = 2,
    born_ms: int = 0,
    version: str = 'v1',
) -> transport.Request:
    """Make the report of a target to the daemon on its host.

    Parameters
    ----------
    target : str
        Id of the current lifetime of the target.
    verb : str
        `heartbeat` or `deregister`.
    target_set, state, sequence, slots
        Contents of the heartbeat.
    born_ms : int
        Start of the lifetime; 0 if the target does not report it.
    version : str
        Software version of the target.
    """
    body = {'born': born_ms} if born_ms else {}
    if verb == 'heartbeat':
        body |= {
            'service': target_set,
            'address': '10.128.0.9:8080',
            'zone': 'hall',
            'version': version,
            'slots': slots,
            'state': state,
            'cold_remaining': '0ms',
            'sequence': sequence,
        }
    return transport.Request(
        'POST',
        f'/v1/instances/{target}/{verb}',
        [('Host', 'daemon')],
        json.dumps(body).encode() if body else b'',
        True,
    )


def encode_read(table: str, key: str) -> str:
    """Return the path of the call that reads one store row."""
    query = {'table': table, 'part': '', 'from': key, 'to': key + '\0'}
    return f'/v1/rows-get?{urllib.parse.urlencode(query)}'


def encode_write(table: str, key: str, value: bytes) -> tuple[str, bytes]:
    """Return the path and body of the call that writes one store row."""
    row = {
        'table': table,
        'part': '',
        'key': key,
        'value': base64.b64encode(value).decode(),
    }
    body = {'precondition': [], 'puts': [row], 'remove': []}
    return '/v1/rows-tx', json.dumps(body).encode()


def make_process_limits(host: _sites.SiteHost) -> dict[str, int]:
    """Make the limits in the settings of a host that its site states."""
    limits = {
        'memory_mb': host.memory_mb,
        'max_fds': host.max_descriptors,
    }
    return {name: limit for name, limit in limits.items() if limit}


def make_daemon_settings(
    host: str,
    data_centre: str,
    target_set: str,
    address: str,
    ports: dict[str, int],
    link_mbps: float,
    has_rollouts: bool = False,
    limits: dict[str, int] | None = None,
) -> bytes:
    """Make the settings file of one daemon.

    Parameters
    ----------
    host, data_centre, target_set, address
        Identity and address of the daemon.
    ports : dict
        Ports `callers`, `readiness`, `reports`, `peers`, `target` and
        `store`, all on the address of the host.
    link_mbps : float
        Capacity of the link of the host in Mbit/s.
    has_rollouts : bool
        Whether the operator uses rollouts.
    limits : dict
        Other limits of a process, by their names in the settings.
    """
    fields = {
        'node': host,
        'ip': address,
        'zone': data_centre,
        'service': target_set,
        'app': f'{address}:{ports["target"]}',
        'listen': {
            'outbound': f'{address}:{ports["callers"]}',
            'ready': f'{address}:{ports["readiness"]}',
            'control': f'{address}:{ports["reports"]}',
        },
        'internal_ports': [ports['peers'], ports['peers'] + 15],
        'bounds': BOUNDS + (ROLLOUT_BOUNDS if has_rollouts else ()),
        'platform': {'address': f'{address}:{ports["store"]}'},
        'limits': {'link_mbps': link_mbps, **(limits or {})},
    }
    return json.dumps(fields).encode()

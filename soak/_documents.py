"""Versions of the configuration that a soak uses."""

import bisect
import itertools

from sedgering import testing
from soak import _callers
from soak import _crash_requests
from soak import _keys
from soak import _long_requests
from soak import _odd_callers
from soak import _probes
from soak import _settings

__all__ = ['choose_set', 'make_document']

TARGET_SETS = ('calendar', 'notes', 'archive')
#: Shares of the sets if there are several.
SET_SHARES = (6, 4, 3)
#: Fields of routes that require no key.
_PUBLIC = {'public': True}


def choose_set(number: int, settings: _settings.WorldSettings) -> str:
    """Return the target set of a host."""
    if not settings.has_sets:
        return TARGET_SETS[0]
    shares = itertools.accumulate(SET_SHARES)
    share = (number % settings.hosts + 0.5) / settings.hosts * sum(SET_SHARES)
    return TARGET_SETS[bisect.bisect(list(shares), share)]


def make_document(version: int, settings: _settings.WorldSettings) -> bytes:
    """Make a version with the common routes and one per version so far."""
    common = {
        'host': _callers.HOST_HEADER,
        'timeout': f'{_callers.ROUTE_TIMEOUT_S}s',
    }
    once_route = {
        **common,
        'prefix': _callers.ONCE_PATH,
        'kind': 'non_idempotent',
    }
    routes = [{**common, 'prefix': _callers.REPEATABLE_PATH}, once_route]
    if settings.long_callers:
        extra_routes = (
            *_long_requests.ROUTES,
            {**_crash_requests.ROUTE, **_PUBLIC},
        )
        routes += [{**common, **fields} for fields in extra_routes]
    routes += [
        {**common, **_PUBLIC, 'prefix': _probes.make_path(number)}
        for number in range(1, version + 1)
    ]
    if settings.has_sets:
        once_route['service'] = TARGET_SETS[1]
        for route in routes:
            if route['prefix'].startswith('/long'):
                route['service'] = TARGET_SETS[2]
    workspaces = _keys.WORKSPACES if settings.has_keys else None
    limits = {}
    if settings.has_host_faults:
        limits['idle_timeout'] = f'{_odd_callers.IDLE_LIMIT_S}s'
    return testing.make_document(version, routes, workspaces, **limits)

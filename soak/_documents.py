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
#: Idle limits between which versions of a site change, and the factor by
#: which their timeouts do.
IDLE_LIMITS_S = (5, _callers.MAX_PAUSE_S)
OTHER_TIMEOUT_FACTOR = 1.2
#: Fields of routes that require no key.
_PUBLIC = {'public': True}


def choose_set(number: int, settings: _settings.WorldSettings) -> str:
    """Return the target set of a host."""
    if settings.site is not None:
        return settings.site.hosts[number].target_set
    if not settings.has_sets:
        return TARGET_SETS[0]
    shares = itertools.accumulate(SET_SHARES)
    share = (number % settings.hosts + 0.5) / settings.hosts * sum(SET_SHARES)
    return TARGET_SETS[bisect.bisect(list(shares), share)]


def make_document(
    version: int,
    settings: _settings.WorldSettings,
    changes: dict[str, int] | None = None,
) -> bytes:
    """Make a version with the common routes and one per version so far.

    Parameters
    ----------
    version : int
        Number of the version.
    settings : WorldSettings
        Options of the soak.
    changes : dict
        How often the timeouts and the idle limit of a site have changed.
    """
    if settings.site is not None:
        return _make_site_document(version, settings.site, changes or {})
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


def _make_site_document(
    version: int, site: testing.Site, changes: dict[str, int]
) -> bytes:
    """Make a version with a route for each class of requests."""
    is_other = changes.get('timeout', 0) % 2
    routes = testing.make_site_routes(
        site, OTHER_TIMEOUT_FACTOR if is_other else 1.0
    )
    target_set = site.classes[0].target_set
    routes += [
        {'prefix': _probes.make_path(number), 'service': target_set}
        for number in range(1, version + 1)
    ]
    routes = [{'host': _callers.HOST_HEADER, **fields} for fields in routes]
    idle_s = IDLE_LIMITS_S[changes.get('idle', 0) % 2]
    return testing.make_document(version, routes, idle_timeout=f'{idle_s:g}s')

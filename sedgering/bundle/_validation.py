"""The one place where the rules of a bundle are declared."""

import re

from sedgering.bundle import _model
from sedgering import exceptions

__all__ = ['check_bundle']

NAME_PATTERN = re.compile(r'[a-z0-9][a-z0-9._-]{0,62}')
METHOD_PATTERN = re.compile(r'[A-Z]{1,20}')
TIMEOUT_RANGE_MS = range(1, 3_600_001)
ATTEMPTS_RANGE = range(1, 11)
HEDGE_RANGE_MS = range(0, 60_001)
GOAL_RANGE_MS = range(0, 3_600_001)
PRIORITY_RANGE = range(0, 1_001)
BUDGET_RANGE_PERCENT = range(0, 101)
SLOTS_RANGE = range(1, 10_001)
CONNECTIONS_RANGE = range(1, 100_001)
WEIGHT_RANGE = range(0, 1_000_001)
MAX_OBJECTS = 100_000


def check_bundle(bundle: _model.Bundle) -> _model.Bundle:
    """Validate every rule and reference of a bundle.

    Parameters
    ----------
    bundle : Bundle
        As made, decoded or patched.

    Returns
    -------
    Bundle
        The same object.

    Raises
    ------
    BundleError
        At the first rule broken, with the path of the object.
    """
    _check_name(bundle.mesh, 'mesh')
    _check_names(bundle.policies, 'policies')
    _check_names(bundle.target_sets, 'target_sets')
    _check_names(bundle.routes, 'routes')
    for policy in bundle.policies:
        _check_policy(policy)
    for target_set in bundle.target_sets:
        _check_target_set(target_set)
    _check_routes(bundle)
    return bundle


def _check_names(items: tuple, kind: str) -> None:
    if len(items) > MAX_OBJECTS:
        _fail(exceptions.Code.BUNDLE_RANGE, f'{kind}: {len(items)} objects')
    previous = ''
    for item in items:
        path = f'{kind}.{item.name}'
        _check_name(item.name, path)
        if item.name == previous:
            _fail(exceptions.Code.BUNDLE_DUPLICATE, path)
        if item.name < previous:
            _fail(exceptions.Code.BUNDLE_UNREADABLE, f'{path} out of order')
        previous = item.name


def _check_policy(policy: _model.Policy) -> None:
    path = f'policies.{policy.name}'
    _check_range(policy.timeout_ms, TIMEOUT_RANGE_MS, f'{path}.timeout_ms')
    _check_range(policy.attempts, ATTEMPTS_RANGE, f'{path}.attempts')
    _check_range(
        policy.retry_budget_percent,
        BUDGET_RANGE_PERCENT,
        f'{path}.retry_budget_percent',
    )
    _check_range(
        policy.hedge_after_ms, HEDGE_RANGE_MS, f'{path}.hedge_after_ms'
    )
    _check_range(
        policy.latency_goal_ms, GOAL_RANGE_MS, f'{path}.latency_goal_ms'
    )
    _check_range(policy.priority, PRIORITY_RANGE, f'{path}.priority')


def _check_target_set(target_set: _model.TargetSet) -> None:
    path = f'target_sets.{target_set.name}'
    _check_name(target_set.party, f'{path}.party')
    _check_range(target_set.slots, SLOTS_RANGE, f'{path}.slots')
    _check_range(
        target_set.connections, CONNECTIONS_RANGE, f'{path}.connections'
    )


def _check_routes(bundle: _model.Bundle) -> None:
    policies = {policy.name for policy in bundle.policies}
    target_sets = {target_set.name for target_set in bundle.target_sets}
    matches: dict[tuple, str] = {}
    for route in bundle.routes:
        path = f'routes.{route.name}'
        _check_match(route, path)
        if route.policy not in policies:
            _dangling(f'{path}.policy', route.policy)
        for share in route.targets:
            if share.target_set not in target_sets:
                _dangling(f'{path}.targets', share.target_set)
        _check_shares(route, path)
        _check_overlap(route, matches)


def _check_match(route: _model.Route, path: str) -> None:
    _check_name(route.party, f'{path}.party')
    if not route.host or route.host != route.host.lower():
        _fail(exceptions.Code.BUNDLE_RANGE, f'{path}.host: {route.host!r}')
    if not route.path_prefix.startswith('/'):
        detail = f'{path}.path_prefix: {route.path_prefix!r}'
        _fail(exceptions.Code.BUNDLE_RANGE, detail)
    for method in route.methods:
        if not METHOD_PATTERN.fullmatch(method):
            _fail(exceptions.Code.BUNDLE_RANGE, f'{path}.methods: {method!r}')
    for header in route.headers:
        if not header.name or header.name != header.name.lower():
            detail = f'{path}.headers: {header.name!r}'
            _fail(exceptions.Code.BUNDLE_RANGE, detail)


def _check_shares(route: _model.Route, path: str) -> None:
    names = [share.target_set for share in route.targets]
    if len(names) != len(set(names)):
        _fail(exceptions.Code.BUNDLE_DUPLICATE, f'{path}.targets')
    for share in route.targets:
        _check_range(share.weight, WEIGHT_RANGE, f'{path}.targets.weight')
    if not any(share.weight for share in route.targets):
        _fail(exceptions.Code.BUNDLE_RANGE, f'{path}.targets: no weight')


def _check_overlap(route: _model.Route, matches: dict[tuple, str]) -> None:
    headers = frozenset((match.name, match.value) for match in route.headers)
    for method in route.methods or ('*',):
        key = (route.host, route.path_prefix, method, headers)
        other = matches.setdefault(key, route.name)
        if other != route.name:
            detail = f'routes.{route.name} and routes.{other}'
            _fail(exceptions.Code.BUNDLE_OVERLAP, detail)


def _check_name(name: str, path: str) -> None:
    if not NAME_PATTERN.fullmatch(name):
        _fail(exceptions.Code.BUNDLE_RANGE, f'{path}: name {name!r}')


def _check_range(value: int, allowed: range, path: str) -> None:
    if value not in allowed:
        detail = f'{path}: {value} not in {allowed.start}..{allowed.stop - 1}'
        _fail(exceptions.Code.BUNDLE_RANGE, detail)


def _dangling(path: str, name: str) -> None:
    _fail(exceptions.Code.BUNDLE_DANGLING, f'{path}: {name!r}')


def _fail(code: exceptions.Code, detail: str) -> None:
    raise exceptions.BundleError(code, detail)

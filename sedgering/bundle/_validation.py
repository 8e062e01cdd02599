"""Validation of bundles: all rules are declared in this module."""

import re

from sedgering.bundle import _model
from sedgering import exceptions

__all__ = ['check_bundle']

NAME_PATTERN = re.compile(r'[a-z0-9][a-z0-9._-]{0,62}')
METHOD_PATTERN = re.compile(r'[A-Z]{1,20}')
#: SHA-256 digest in lowercase hexadecimal digits.
KEY_DIGEST_PATTERN = re.compile(r'[0-9a-f]{64}')
#: Allowed values of the fields of policies, target sets and workspaces.
POLICY_RANGES = {
    'timeout_ms': range(1, 3_600_001),
    'attempts': range(1, 11),
    'retry_budget_percent': range(0, 101),
    'hedge_after_ms': range(0, 60_001),
    'latency_goal_ms': range(0, 3_600_001),
    'priority': range(0, 1_001),
}
TARGET_SET_RANGES = {
    'slots': range(1, 10_001),
    'connections': range(1, 100_001),
}
WORKSPACE_RANGES = {
    'priority': range(0, 1_001),
    'rate_per_s': range(0, 1_000_001),
    'burst': range(0, 1_000_001),
}
#: Number of leading digits of a key digest shown in error messages.
SHOWN_DIGEST_DIGITS = 8
WEIGHT_RANGE = range(0, 1_000_001)
MAX_OBJECTS = 100_000


def check_bundle(
    bundle: _model.Bundle, validated: _model.Bundle | None = None
) -> _model.Bundle:
    """Validate all objects and references of a bundle.

    Parameters
    ----------
    bundle : Bundle
        Bundle to validate.
    validated : Bundle or None
        A bundle that has passed validation.  Objects that `bundle` shares
        with it by identity are not checked individually again; rules across
        objects are always checked.  With one changed route out of 1,200,
        validation takes a tenth of the time.

    Returns
    -------
    Bundle
        `bundle` itself.

    Raises
    ------
    BundleError
        For the first rule violated, with the path of the object.
    """
    validated = validated or _model.Bundle(bundle.mesh)
    _check_name(bundle.mesh, 'mesh')
    policies = _find_unvalidated(bundle.policies, validated.policies)
    target_sets = _find_unvalidated(bundle.target_sets, validated.target_sets)
    routes = _find_unvalidated(bundle.routes, validated.routes)
    _check_names(policies, bundle.policies, 'policies')
    _check_names(target_sets, bundle.target_sets, 'target_sets')
    _check_names(routes, bundle.routes, 'routes')
    for policy in policies:
        _check_ranges(policy, POLICY_RANGES, 'policies')
    for target_set in target_sets:
        _check_target_set(target_set)
    for route in routes:
        _check_match(route)
        _check_weights(route)
    workspaces = _find_unvalidated(bundle.workspaces, validated.workspaces)
    _check_names(workspaces, bundle.workspaces, 'workspaces')
    for workspace in workspaces:
        _check_ranges(workspace, WORKSPACE_RANGES, 'workspaces')
        _check_key_digests(workspace)
    _check_unique_keys(bundle.workspaces)
    _check_keyed_routes(bundle)
    _check_references(bundle)
    _check_overlaps(bundle.routes)
    return bundle


def _find_unvalidated(items: tuple, validated: tuple) -> list:
    """Return the items that are not identical to a validated one."""
    validated_ids = set(map(id, validated))
    return [item for item in items if id(item) not in validated_ids]


def _check_names(new: list, items: tuple, kind: str) -> None:
    """Check the names of new objects, and the number and order of all."""
    if len(items) > MAX_OBJECTS:
        _fail(
            exceptions.Code.BUNDLE_RANGE,
            f'{kind}: {len(items)} objects exceed the limit',
        )
    for item in new:
        if not NAME_PATTERN.fullmatch(item.name):
            _check_name(item.name, f'{kind}.{item.name}')
    previous = ''
    for item in items:
        if item.name <= previous:
            _fail_unsorted(item.name, previous, kind)
        previous = item.name


def _fail_unsorted(name: str, previous: str, kind: str) -> None:
    path = f'{kind}.{name}'
    if name == previous:
        _fail(exceptions.Code.BUNDLE_DUPLICATE, path)
    _fail(exceptions.Code.BUNDLE_UNREADABLE, f'{path}: not sorted by name')


def _check_ranges(
    item: _model.Policy | _model.TargetSet | _model.Workspace,
    ranges: dict[str, range],
    kind: str,
) -> None:
    for field, allowed in ranges.items():
        value = getattr(item, field)
        if value not in allowed:
            _check_range(value, allowed, f'{kind}.{item.name}.{field}')


def _check_target_set(target_set: _model.TargetSet) -> None:
    if not NAME_PATTERN.fullmatch(target_set.party):
        path = f'target_sets.{target_set.name}.party'
        _check_name(target_set.party, path)
    _check_ranges(target_set, TARGET_SET_RANGES, 'target_sets')


def _check_key_digests(workspace: _model.Workspace) -> None:
    for digest in workspace.key_digests:
        if not KEY_DIGEST_PATTERN.fullmatch(digest):
            # The value is not shown: it may be an API key written in place
            # of its digest.
            path = f'workspaces.{workspace.name}.key_digests'
            _fail(
                exceptions.Code.BUNDLE_RANGE,
                f'{path}: not a hexadecimal SHA-256 digest',
            )


def _check_unique_keys(workspaces: tuple[_model.Workspace, ...]) -> None:
    """Check that no key digest occurs twice: it identifies one workspace."""
    names_by_digest: dict[str, str] = {}
    for workspace in workspaces:
        for digest in workspace.key_digests:
            if digest in names_by_digest:
                detail = (
                    f'workspaces.{workspace.name} and '
                    f'workspaces.{names_by_digest[digest]}: '
                    f'key digest {digest[:SHOWN_DIGEST_DIGITS]}'
                )
                _fail(exceptions.Code.BUNDLE_KEY, detail)
            names_by_digest[digest] = workspace.name


def _check_keyed_routes(bundle: _model.Bundle) -> None:
    routes = {route.name for route in bundle.routes}
    previous = ''
    for name in bundle.keyed_routes:
        if name not in routes:
            _fail_dangling('keyed_routes', name)
        if name <= previous:
            _fail_unsorted(name, previous, 'keyed_routes')
        previous = name


def _check_references(bundle: _model.Bundle) -> None:
    policies = {policy.name for policy in bundle.policies}
    target_sets = {target_set.name for target_set in bundle.target_sets}
    for route in bundle.routes:
        if route.policy not in policies:
            _fail_dangling(f'routes.{route.name}.policy', route.policy)
        for weighted in route.targets:
            if weighted.target_set not in target_sets:
                _fail_dangling(
                    f'routes.{route.name}.targets', weighted.target_set
                )


def _check_overlaps(routes: tuple[_model.Route, ...]) -> None:
    """Check that no two routes match the same requests.

    Only routes with the same host and path prefix are compared.
    """
    by_prefix: dict[tuple[str, str], list[_model.Route]] = {}
    for route in routes:
        key = (route.host, route.path_prefix)
        by_prefix.setdefault(key, []).append(route)
    for group in by_prefix.values():
        if len(group) == 1:
            continue
        names_by_match: dict[tuple, str] = {}
        for route in group:
            _check_overlap(route, names_by_match)


def _check_match(route: _model.Route) -> None:
    if not NAME_PATTERN.fullmatch(route.party):
        _check_name(route.party, f'routes.{route.name}.party')
    if not route.host or route.host != route.host.lower():
        _fail_route(route, f'host: {route.host!r}')
    if not route.path_prefix.startswith('/'):
        _fail_route(route, f'path_prefix: {route.path_prefix!r}')
    for method in route.methods:
        if not METHOD_PATTERN.fullmatch(method):
            _fail_route(route, f'methods: {method!r}')
    for header in route.headers:
        if not header.name or header.name != header.name.lower():
            _fail_route(route, f'headers: {header.name!r}')


def _check_weights(route: _model.Route) -> None:
    names = {weighted.target_set for weighted in route.targets}
    if len(names) != len(route.targets):
        path = f'routes.{route.name}.targets'
        _fail(exceptions.Code.BUNDLE_DUPLICATE, path)
    for weighted in route.targets:
        if weighted.weight not in WEIGHT_RANGE:
            path = f'routes.{route.name}.targets.weight'
            _check_range(weighted.weight, WEIGHT_RANGE, path)
    if not any(weighted.weight for weighted in route.targets):
        _fail_route(route, 'targets: no weight above 0')


def _check_overlap(
    route: _model.Route, names_by_match: dict[tuple, str]
) -> None:
    headers = frozenset((match.name, match.value) for match in route.headers)
    for method in route.methods or ('*',):
        key = (method, headers)
        other = names_by_match.setdefault(key, route.name)
        if other != route.name:
            detail = f'routes.{route.name} and routes.{other}'
            _fail(exceptions.Code.BUNDLE_OVERLAP, detail)


def _check_name(name: str, path: str) -> None:
    if not NAME_PATTERN.fullmatch(name):
        _fail(exceptions.Code.BUNDLE_RANGE, f'{path}: invalid name {name!r}')


def _check_range(value: int, allowed: range, path: str) -> None:
    if value not in allowed:
        detail = f'{path}: {value} not in {allowed.start}..{allowed.stop - 1}'
        _fail(exceptions.Code.BUNDLE_RANGE, detail)


def _fail_route(route: _model.Route, detail: str) -> None:
    detail = f'routes.{route.name}.{detail}'
    _fail(exceptions.Code.BUNDLE_RANGE, detail)


def _fail_dangling(path: str, name: str) -> None:
    _fail(exceptions.Code.BUNDLE_DANGLING, f'{path}: {name!r} is not defined')


def _fail(code: exceptions.Code, detail: str) -> None:
    raise exceptions.BundleError(code, detail)

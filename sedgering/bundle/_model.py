"""Typed model of a bundle.

All objects are immutable.  Their constructors do not validate; every rule
is declared in :mod:`sedgering.bundle._validation`.
"""

import operator
from typing import TypeVar

import msgspec

from sedgering import base

__all__ = [
    'Bundle',
    'HeaderMatch',
    'Policy',
    'Route',
    'TargetSet',
    'WeightedTargetSet',
    'Workspace',
    'make_bundle',
]

DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_SLOTS = 12
DEFAULT_CONNECTIONS = 130

NamedT = TypeVar('NamedT', 'Policy', 'TargetSet', 'Route', 'Workspace')


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timeout, retries, hedging and priority of the requests of a route.

    Parameters
    ----------
    name : str
        Unique among the policies of the bundle.
    timeout_ms : int
        Timeout of a request that has no deadline of its own, in
        milliseconds.
    attempts : int
        Maximum number of attempts for a request that may be retried.
    retry_budget_percent : int
        Retries allowed, as a percentage of requests.
    hedge_after_ms : int
        Time without an answer, in milliseconds, after which a repeatable
        request without a body is also sent to a second target; 0 disables
        hedging.
    latency_goal_ms : int
        Time in milliseconds within which an answer is worth most to its
        caller; 0 if there is no goal.
    priority : int
        Priority under overload; 0 is served first.
    """

    name: base.PolicyName
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    attempts: int = 2
    retry_budget_percent: int = 10
    hedge_after_ms: int = 0
    latency_goal_ms: int = 0
    priority: int = 0


class TargetSet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Interchangeable targets, which register under the name of the set.

    Parameters
    ----------
    name : str
        Unique among the target sets of the bundle.
    party : str
        Owner of the targets.
    slots : int
        Number of requests that one target processes concurrently.
    connections : int
        Number of connections that one target accepts from all hosts
        together.
    """

    name: base.TargetSetName
    party: base.PartyId
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS


class WeightedTargetSet(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Share of a route's requests that goes to one target set.

    Parameters
    ----------
    target_set : str
        Name of a target set of the same bundle.
    weight : int
        Relative share; with 0 the target set stays listed but receives no
        requests.
    """

    target_set: base.TargetSetName
    weight: int = 1


class HeaderMatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request header that must be present with exactly this value.

    Parameters
    ----------
    name : str
        Header name, in lower case.
    value : str
        Expected value, compared case-sensitively.
    """

    name: str
    value: str


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Maps matching requests to target sets and a policy.

    Parameters
    ----------
    name : str
        Unique among the routes of the bundle.
    party : str
        Zone whose users the route serves.
    host : str
        Host name of the request, in lower case.
    path_prefix : str
        Prefix of the path, matched on whole path segments; the longest
        matching prefix wins.
    targets : tuple of WeightedTargetSet
        At least one with a weight above 0.
    policy : str
        Name of a policy of the same bundle.
    methods : tuple of str
        HTTP methods to match; empty for all.
    headers : tuple of HeaderMatch
        Headers that must all match.
    repeatable : bool
        Whether a request may be retried when its outcome is unknown.
    """

    name: base.RouteName
    party: base.PartyId
    host: str
    path_prefix: str
    targets: tuple[WeightedTargetSet, ...]
    policy: base.PolicyName
    methods: tuple[str, ...] = ()
    headers: tuple[HeaderMatch, ...] = ()
    repeatable: bool = False


class Workspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """API keys, priority and rate limit of one customer of the mesh.

    Parameters
    ----------
    name : str
        Unique among the workspaces of the bundle.
    key_digests : tuple of str
        SHA-256 digests of its API keys; the keys themselves are not stored.
    priority : int
        Priority under overload, which precedes that of the policy; 0 is
        served first.
    rate_per_s : int
        Requests per second that all hosts together serve; 0 for no limit.
    burst : int
        Requests above the rate that may arrive at once.
    """

    name: base.WorkspaceName
    key_digests: tuple[str, ...] = ()
    priority: int = 0
    rate_per_s: int = 0
    burst: int = 0


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete configuration of one version.

    Parameters
    ----------
    mesh : str
        Mesh that the bundle is for.
    policies, target_sets, routes : tuple
        Sorted by name; :func:`make_bundle` sorts them.
    workspaces : tuple of Workspace
        Sorted by name.  A bundle with neither workspaces nor keyed routes
        is encoded in the format that earlier releases decode.
    keyed_routes : tuple of str
        Sorted names of the routes that require the API key of a workspace.
    """

    mesh: str
    policies: tuple[Policy, ...] = ()
    target_sets: tuple[TargetSet, ...] = ()
    routes: tuple[Route, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    keyed_routes: tuple[base.RouteName, ...] = ()


def _sort_by_name(items: tuple[NamedT, ...]) -> tuple[NamedT, ...]:
    return tuple(sorted(items, key=operator.attrgetter('name')))


def make_bundle(
    mesh: str,
    policies: tuple[Policy, ...] = (),
    target_sets: tuple[TargetSet, ...] = (),
    routes: tuple[Route, ...] = (),
    workspaces: tuple[Workspace, ...] = (),
    keyed_routes: tuple[base.RouteName, ...] = (),
) -> Bundle:
    """Make a bundle whose objects are in canonical order.

    Parameters
    ----------
    mesh : str
        Mesh that the bundle is for.
    policies, target_sets, routes, workspaces, keyed_routes : iterable
        In any order.

    Returns
    -------
    Bundle
        Not yet validated; see :func:`check_bundle`.
    """
    return Bundle(
        mesh=mesh,
        policies=_sort_by_name(policies),
        target_sets=_sort_by_name(target_sets),
        routes=_sort_by_name(routes),
        workspaces=_sort_by_name(workspaces),
        keyed_routes=tuple(sorted(keyed_routes)),
    )

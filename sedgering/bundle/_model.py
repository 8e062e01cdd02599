"""Typed model of a bundle.

All objects are frozen.  Their constructors only store; every rule is
declared in :mod:`sedgering.bundle._validation`.
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
    """How requests of a route are treated.

    Parameters
    ----------
    name : str
        Unique among the policies of the bundle.
    timeout_ms : int
        Deadline of a request that states none, in milliseconds.
    attempts : int
        Most attempts for a request that may be sent again.
    retry_budget_percent : int
        Retries allowed, as a share of requests in percent.
    hedge_after_ms : int
        Silence after which a repeatable request without body is also sent
        to a second target; 0 never.
    latency_goal_ms : int
        Time within which an answer is worth most; 0 when none is stated.
    priority : int
        Rank under load; 0 is served first.
    """

    name: base.PolicyName
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    attempts: int = 2
    retry_budget_percent: int = 10
    hedge_after_ms: int = 0
    latency_goal_ms: int = 0
    priority: int = 0


class TargetSet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Interchangeable targets, which announce themselves under its name.

    Parameters
    ----------
    name : str
        Unique among the target sets of the bundle.
    party : str
        Owner of the targets.
    slots : int
        Requests that one target works on at a time.
    connections : int
        Connections that one target accepts from the whole fleet.
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
        Relative share; 0 keeps the target set without sending to it.
    """

    target_set: base.TargetSetName
    weight: int = 1


class HeaderMatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A header that must be there with exactly this value.

    Parameters
    ----------
    name : str
        Header name, in lower case.
    value : str
        Value to equal.
    """

    name: str
    value: str


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which requests go to which target sets, and how.

    Parameters
    ----------
    name : str
        Unique among the routes of the bundle.
    party : str
        Zone whose users the route serves.
    host : str
        Host name of the request, in lower case.
    path_prefix : str
        Prefix of the path, cut at a path segment; the longest one wins.
    targets : tuple of WeightedTargetSet
        At least one with a weight above 0.
    policy : str
        Name of a policy of the same bundle.
    methods : tuple of str
        Methods matched; empty for all.
    headers : tuple of HeaderMatch
        Headers that must all match.
    repeatable : bool
        Whether a request may be sent again when its outcome is unknown.
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
    """A customer's share of the mesh: who may call, and how much.

    Parameters
    ----------
    name : str
        Unique among the workspaces of the bundle.
    key_digests : tuple of str
        Digests of its API keys; the keys themselves are not kept.
    priority : int
        Rank under load, before that of the policy; 0 is served first.
    rate_per_s : int
        Requests a second that the whole fleet serves; 0 for no limit.
    burst : int
        Requests beyond the rate that may come at once.
    """

    name: base.WorkspaceName
    key_digests: tuple[str, ...] = ()
    priority: int = 0
    rate_per_s: int = 0
    burst: int = 0


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that one version puts in force.

    Parameters
    ----------
    mesh : str
        Mesh that the bundle is for.
    policies, target_sets, routes : tuple
        Sorted by name; :func:`make_bundle` sorts them.
    workspaces : tuple of Workspace
        Sorted by name.  Without any, and without keyed routes, the encoding
        is the one that earlier releases read.
    keyed_routes : tuple of str
        Sorted names of the routes that need the key of a workspace.
    """

    mesh: str
    policies: tuple[Policy, ...] = ()
    target_sets: tuple[TargetSet, ...] = ()
    routes: tuple[Route, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    keyed_routes: tuple[base.RouteName, ...] = ()


def _sorted_by_name(items: tuple[NamedT, ...]) -> tuple[NamedT, ...]:
    return tuple(sorted(items, key=operator.attrgetter('name')))


def make_bundle(
    mesh: str,
    policies: tuple[Policy, ...] = (),
    target_sets: tuple[TargetSet, ...] = (),
    routes: tuple[Route, ...] = (),
    workspaces: tuple[Workspace, ...] = (),
    keyed_routes: tuple[base.RouteName, ...] = (),
) -> Bundle:
    """Make a bundle with its objects in canonical order.

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
        policies=_sorted_by_name(policies),
        target_sets=_sorted_by_name(target_sets),
        routes=_sorted_by_name(routes),
        workspaces=_sorted_by_name(workspaces),
        keyed_routes=tuple(sorted(keyed_routes)),
    )

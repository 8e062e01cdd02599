"""Which route a request takes; pure functions over a snapshot."""

from collections.abc import Mapping

import msgspec

from sedgering.bundle import _model
from sedgering.bundle import _snapshot

__all__ = ['RequestHead', 'find_route']


class RequestHead(msgspec.Struct, frozen=True):
    """What routing needs to know of a request.

    Parameters
    ----------
    method : str
        In upper case.
    host : str
        In lower case, without port.
    path : str
        Without query.
    headers : mapping of str to str
        Names in lower case.
    """

    method: str
    host: str
    path: str
    headers: Mapping[str, str]


def find_route(
    snapshot: _snapshot.Snapshot, head: RequestHead
) -> _model.Route | None:
    """Find the most specific route that matches a request.

    Parameters
    ----------
    snapshot : Snapshot
        Taken when the request began.
    head : RequestHead
        The request.

    Returns
    -------
    Route or None
        Longest path prefix first, then most headers, then by method.
    """
    for route in snapshot.routes_by_host.get(head.host, ()):
        if _matches(route, head):
            return route
    return None


def _matches(route: _model.Route, head: RequestHead) -> bool:
    if not _has_prefix(head.path, route.path_prefix):
        return False
    if route.methods and head.method not in route.methods:
        return False
    return all(
        head.headers.get(match.name) == match.value for match in route.headers
    )


def _has_prefix(path: str, prefix: str) -> bool:
    """Compare whole path segments: /hall does not match /hallway."""
    if not path.startswith(prefix):
        return False
    is_cut = prefix.endswith('/') or len(path) == len(prefix)
    return is_cut or path[len(prefix)] == '/'

"""Route lookup: pure functions over a snapshot."""

from collections.abc import Iterator
from collections.abc import Mapping

import msgspec

from sedgering.bundle import _model
from sedgering.bundle import _snapshot

__all__ = ['RequestHead', 'find_route']


class RequestHead(msgspec.Struct, frozen=True):
    """The parts of a request that routing depends on.

    Parameters
    ----------
    method : str
        HTTP method, in upper case.
    host : str
        Host name, in lower case, without a port.
    path : str
        Path, without the query.
    headers : mapping of str to str
        Header values by name, in lower case.
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
        Snapshot taken at the start of the request.
    head : RequestHead
        Head of the request.

    Returns
    -------
    Route or None
        The matching route with the longest path prefix, then with the most
        header matches; then a route that lists its methods precedes one for
        all methods.  None if no route matches.
    """
    host_routes = snapshot.routes_by_host.get(head.host)
    if host_routes is None:
        return None
    for prefix in _generate_prefixes(head.path, host_routes.longest_prefix):
        for route in host_routes.by_prefix.get(prefix, ()):
            if _matches(route, head):
                return route
    return None


def _generate_prefixes(path: str, max_length: int) -> Iterator[str]:
    """Yield the prefixes of a path that end at a segment, longest first.

    Prefixes longer than `max_length` are skipped, so that a path that
    consists of slashes takes no longer than others.

    ``/hall`` is a prefix of ``/hall`` and ``/hall/7``, not of ``/hallway``.
    Looking up each prefix takes 1 us per segment; comparing each of 600
    routes took 350 us, a third of the CPU time of a call.
    """
    if len(path) <= max_length:
        yield path
    end = min(len(path), max_length + 1)
    while (slash_index := path.rfind('/', 0, end)) >= 0:
        if slash_index + 1 < len(path):
            yield path[: slash_index + 1]
        if slash_index > 0:
            yield path[:slash_index]
        end = slash_index


def _matches(route: _model.Route, head: RequestHead) -> bool:
    if route.methods and head.method not in route.methods:
        return False
    return all(
        head.headers.get(match.name) == match.value for match in route.headers
    )

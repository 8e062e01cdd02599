"""The bundle in force, and the one place where it is replaced."""

import threading

import msgspec

from sedgering import base
from sedgering.bundle import _model
from sedgering.bundle import _validation
from sedgering import exceptions

__all__ = ['BundleHolder', 'Snapshot', 'make_snapshot']


class HostRoutes(msgspec.Struct, frozen=True):
    """Routes of one host.

    Parameters
    ----------
    by_prefix : dict
        Routes by path prefix; those of one prefix with the most specific
        ones first.
    longest_prefix : int
        Length of the longest prefix, in characters.
    """

    by_prefix: dict[str, tuple[_model.Route, ...]]
    longest_prefix: int


class Snapshot:
    """A validated bundle, compiled for lookups.  Never changes.

    A request takes the snapshot once and keeps it until it ends.

    Parameters
    ----------
    version : Version
        Version of the bundle.
    digest : Digest
        Digest of the bundle.
    bundle : Bundle
        Validated content.
    """

    __slots__ = (
        'bundle',
        'digest',
        'keyed_routes',
        'policies',
        'routes_by_host',
        'target_sets',
        'version',
        'workspaces',
        'workspaces_by_key',
    )

    def __init__(
        self,
        version: base.Version,
        digest: base.Digest,
        bundle: _model.Bundle,
    ):
        self.version = version
        self.digest = digest
        self.bundle = bundle
        self.policies = {policy.name: policy for policy in bundle.policies}
        self.target_sets = {item.name: item for item in bundle.target_sets}
        self.routes_by_host = _index_routes(bundle)
        self.workspaces = {item.name: item for item in bundle.workspaces}
        #: Workspaces by the digests of their keys.
        self.workspaces_by_key = {
            digest: item
            for item in bundle.workspaces
            for digest in item.key_digests
        }
        self.keyed_routes = frozenset(bundle.keyed_routes)

    @property
    def has_workspaces(self) -> bool:
        """Whether callers may have to say who they are."""
        return bool(self.workspaces or self.keyed_routes)


def make_snapshot(
    version: base.Version,
    digest: base.Digest,
    bundle: _model.Bundle,
    held: _model.Bundle | None = None,
) -> Snapshot:
    """Validate a bundle and compile it.

    Parameters
    ----------
    version, digest, bundle
        See :class:`Snapshot`.
    held : Bundle or None
        Validated before; see :func:`check_bundle`.

    Raises
    ------
    BundleError
        When any rule is broken; nothing is compiled then.
    """
    _validation.check_bundle(bundle, held)
    return Snapshot(version, digest, bundle)


class BundleHolder:
    """Holds the snapshot in force; it only ever moves to a greater version.

    Parameters
    ----------
    mesh : str
        Mesh whose bundles are accepted.

    Notes
    -----
    Readers take :attr:`snapshot` without a lock: it is replaced by one
    reference assignment, so they see the old one or the new one, whole.
    """

    def __init__(self, mesh: str):
        self.mesh = mesh
        self.snapshot: Snapshot | None = None
        self._lock = threading.Lock()

    @property
    def version(self) -> base.Version:
        """Version in force; `NO_VERSION` when there is none."""
        snapshot = self.snapshot
        return snapshot.version if snapshot else base.NO_VERSION

    def apply(
        self,
        version: base.Version,
        digest: base.Digest,
        bundle: _model.Bundle,
        floor: base.Version = base.NO_VERSION,
    ) -> Snapshot:
        """Put a bundle in force, whole or not at all.

        Parameters
        ----------
        version : Version
            Must be greater than the version in force.
        digest : Digest
            Digest of `bundle`, already compared by the decoder.
        bundle : Bundle
            Validated here.
        floor : Version
            Least version allowed, which an earlier incarnation may have
            held.

        Returns
        -------
        Snapshot
            Now in force.

        Raises
        ------
        BundleError
            When the bundle is refused; the version in force stays.
        """
        if bundle.mesh != self.mesh:
            raise exceptions.BundleError(
                exceptions.Code.BUNDLE_MESH, repr(bundle.mesh)
            )
        held = self.snapshot.bundle if self.snapshot else None
        snapshot = make_snapshot(version, digest, bundle, held)
        with self._lock:
            if version <= self.version or version < floor:
                least = max(self.version + 1, floor)
                detail = f'{version}, accepted from {least}'
                raise exceptions.BundleError(
                    exceptions.Code.BUNDLE_ORDER, detail
                )
            self.snapshot = snapshot
        return snapshot


def _index_routes(bundle: _model.Bundle) -> dict[str, HostRoutes]:
    """Group routes by host and path prefix, the most specific ones first."""
    by_host: dict[str, dict[str, list[_model.Route]]] = {}
    for route in bundle.routes:
        by_prefix = by_host.setdefault(route.host, {})
        by_prefix.setdefault(route.path_prefix, []).append(route)
    return {
        host: HostRoutes(
            {prefix: _order(routes) for prefix, routes in by_prefix.items()},
            max(map(len, by_prefix)),
        )
        for host, by_prefix in by_host.items()
    }


def _order(routes: list[_model.Route]) -> tuple[_model.Route, ...]:
    if len(routes) == 1:
        return tuple(routes)
    return tuple(sorted(routes, key=_specificity))


def _specificity(route: _model.Route) -> tuple[int, int, str]:
    return (-len(route.headers), 0 if route.methods else 1, route.name)

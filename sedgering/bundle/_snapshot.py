"""The bundle in force, and the holder that replaces it atomically."""

import threading

import msgspec

from sedgering import base
from sedgering.bundle import _model
from sedgering.bundle import _validation
from sedgering import exceptions

__all__ = ['BundleHolder', 'Snapshot', 'make_snapshot']


class HostRoutes(msgspec.Struct, frozen=True):
    """Routes of one host name.

    Parameters
    ----------
    by_prefix : dict of str to tuple of Route
        Routes by path prefix; the routes of one prefix are sorted from the
        most to the least specific one.
    longest_prefix : int
        Length of the longest prefix, in characters.
    """

    by_prefix: dict[str, tuple[_model.Route, ...]]
    longest_prefix: int


class Snapshot:
    """An immutable, validated bundle, indexed for lookups.

    A request takes the snapshot once and uses it until the request ends.

    Parameters
    ----------
    version : Version
        Version of the bundle.
    digest : Digest
        Digest of the bundle.
    bundle : Bundle
        Validated bundle.
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
        self.target_sets = {
            target_set.name: target_set for target_set in bundle.target_sets
        }
        self.routes_by_host = _index_routes(bundle)
        self.workspaces = {
            workspace.name: workspace for workspace in bundle.workspaces
        }
        #: Workspaces by the digests of their API keys.
        self.workspaces_by_key = {
            key_digest: workspace
            for workspace in bundle.workspaces
            for key_digest in workspace.key_digests
        }
        self.keyed_routes = frozenset(bundle.keyed_routes)

    @property
    def has_workspaces(self) -> bool:
        """Whether some requests may have to be authenticated by API key."""
        return bool(self.workspaces or self.keyed_routes)


def make_snapshot(
    version: base.Version,
    digest: base.Digest,
    bundle: _model.Bundle,
    validated: _model.Bundle | None = None,
) -> Snapshot:
    """Validate a bundle and make a snapshot of it.

    Parameters
    ----------
    version, digest, bundle
        See :class:`Snapshot`.
    validated : Bundle or None
        A bundle that has passed validation; see :func:`check_bundle`.

    Raises
    ------
    BundleError
        If the bundle violates a rule.
    """
    _validation.check_bundle(bundle, validated)
    return Snapshot(version, digest, bundle)


class BundleHolder:
    """Holds the snapshot in force, whose version only ever increases.

    Parameters
    ----------
    mesh : str
        Name of the mesh whose bundles are accepted.

    Notes
    -----
    :attr:`snapshot` is read without a lock.  It is replaced by a single
    reference assignment, so a reader gets either the old snapshot or the new
    one, never a mixture.
    """

    def __init__(self, mesh: str):
        self.mesh = mesh
        self.snapshot: Snapshot | None = None
        self._lock = threading.Lock()

    @property
    def version(self) -> base.Version:
        """Version in force, or `NO_VERSION` if there is none."""
        snapshot = self.snapshot
        return snapshot.version if snapshot else base.NO_VERSION

    def apply(
        self,
        version: base.Version,
        digest: base.Digest,
        bundle: _model.Bundle,
        floor: base.Version = base.NO_VERSION,
    ) -> Snapshot:
        """Put a bundle in force atomically.

        Parameters
        ----------
        version : Version
            Must be greater than the version in force.
        digest : Digest
            Digest of `bundle`, already verified by the decoder.
        bundle : Bundle
            Bundle, which is validated by this method.
        floor : Version
            Lowest version accepted, because an earlier lifetime of the daemon
            on this host may already have had it in force.

        Returns
        -------
        Snapshot
            Snapshot now in force.

        Raises
        ------
        BundleError
            If the bundle is rejected; the version in force is unchanged.
        """
        if bundle.mesh != self.mesh:
            raise exceptions.BundleError(
                exceptions.Code.BUNDLE_MESH, repr(bundle.mesh)
            )
        current = self.snapshot.bundle if self.snapshot else None
        snapshot = make_snapshot(version, digest, bundle, current)
        with self._lock:
            if version <= self.version or version < floor:
                lowest_accepted = max(self.version + 1, floor)
                detail = (
                    f'version {version}, lowest accepted is {lowest_accepted}'
                )
                raise exceptions.BundleError(
                    exceptions.Code.BUNDLE_ORDER, detail
                )
            self.snapshot = snapshot
        return snapshot


def _index_routes(bundle: _model.Bundle) -> dict[str, HostRoutes]:
    """Index routes by host and path prefix, most specific routes first."""
    by_host: dict[str, dict[str, list[_model.Route]]] = {}
    for route in bundle.routes:
        by_prefix = by_host.setdefault(route.host, {})
        by_prefix.setdefault(route.path_prefix, []).append(route)
    return {
        host: HostRoutes(
            {
                prefix: _sort_by_specificity(routes)
                for prefix, routes in by_prefix.items()
            },
            max(map(len, by_prefix)),
        )
        for host, by_prefix in by_host.items()
    }


def _sort_by_specificity(
    routes: list[_model.Route],
) -> tuple[_model.Route, ...]:
    if len(routes) == 1:
        return tuple(routes)
    return tuple(sorted(routes, key=_make_specificity_key))


def _make_specificity_key(route: _model.Route) -> tuple[int, int, str]:
    return (-len(route.headers), 0 if route.methods else 1, route.name)

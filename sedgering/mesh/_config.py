"""Bundle in force, with the limits and health paths of its version."""

import collections
import logging

import msgspec

from sedgering import base
from sedgering import bundle as bundles
from sedgering import exceptions
from sedgering import transport

__all__ = ['AcceptedConfig', 'ConfigHolder']

LOG = logging.getLogger(__name__)


class AcceptedConfig(msgspec.Struct, frozen=True):
    """One configuration version as the operator wrote it.

    Parameters
    ----------
    version : int
        Version number; increases with each version.
    bundle : Bundle
        Routes, target sets and policies.
    limits : CallerLimits
        Limits on the requests of callers.
    health_paths : dict of str to str
        Path of the health check of each target set.
    """

    version: base.Version
    bundle: bundles.Bundle
    limits: transport.CallerLimits
    health_paths: dict[str, str]


class ConfigHolder:
    """Holds the version in force; only a newer one replaces it.

    Parameters
    ----------
    mesh : str
        Name of the mesh whose bundles are accepted.
    """

    def __init__(self, mesh: str):
        self.bundles = bundles.BundleHolder(mesh)
        self.limits = transport.CallerLimits()
        self.health_paths: dict[str, str] = {}
        self.refused: collections.deque[int] = collections.deque(maxlen=8)

    @property
    def snapshot(self) -> bundles.Snapshot | None:
        """Snapshot of the bundle in force, or None before the first one."""
        return self.bundles.snapshot

    @property
    def version(self) -> base.Version:
        """Number of the version in force."""
        return self.bundles.version

    def apply(self, config: AcceptedConfig) -> bool:
        """Put a version in force if it is newer and valid.

        Returns
        -------
        bool
            Whether it is in force now.
        """
        if config.version <= self.version or config.version in self.refused:
            return False
        digest = base.Digest(b'')
        try:
            self.bundles.apply(config.version, digest, config.bundle)
        except exceptions.BundleError as error:
            self.refused.append(config.version)
            LOG.error(
                'version refused',
                extra={
                    'version': config.version,
                    'code': int(error.code),
                    'detail': error.detail,
                },
            )
            return False
        self.limits = config.limits
        self.health_paths = config.health_paths
        LOG.info(
            'version in force',
            extra={
                'version': config.version,
                'detail': f'{len(config.bundle.routes)} routes',
            },
        )
        return True

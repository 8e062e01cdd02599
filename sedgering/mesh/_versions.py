"""Newest version of the configuration, and deltas from the previous ones."""

import collections
import functools
import zlib

import msgspec

from sedgering import base
from sedgering import bundle as bundles
from sedgering import exceptions
from sedgering.mesh import _config
from sedgering import transport

__all__ = ['VersionLog', 'VersionUpdate', 'decode_update']

#: Deltas that are kept; a daemon that is further behind gets a full bundle.
#: In a burst, a new version arrives every 60 ms, and daemons ask at least once
#: a second.
DELTAS_LIMIT = 24
#: Largest full bundle accepted after decompression, in bytes.
BUNDLE_LIMIT_BYTES = 32 * 1024 * 1024


class VersionUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A version, as a full bundle or as deltas from an earlier one.

    Parameters
    ----------
    version : int
        Version of the result.
    base_version : int
        Version that the first delta applies to; 0 for a full bundle.
    steps : tuple of bytes
        Encoded deltas in order, or one compressed full bundle.
    digest : bytes
        Digest (32 bytes) of the resulting bundle.
    limits, health_paths
        As in :class:`AcceptedConfig`.
    """

    version: base.Version
    base_version: base.Version
    steps: tuple[bytes, ...]
    digest: bytes
    limits: transport.CallerLimits
    health_paths: dict[str, str]


class _VersionDelta(msgspec.Struct, frozen=True):
    base_version: base.Version
    delta: bytes


class VersionLog:
    """Newest version, and the deltas that lead to it."""

    def __init__(self):
        #: Revision of the store up to which no newer version was written.
        self.revision = 0
        self.newest: _config.AcceptedConfig | None = None
        #: Consecutive deltas that end at the newest version.
        self._deltas: collections.deque[_VersionDelta] = collections.deque(
            maxlen=DELTAS_LIMIT
        )
        self._digest = base.Digest(b'')
        self._full_bundle = b''

    @property
    def version(self) -> base.Version:
        """Newest known version."""
        return self.newest.version if self.newest else base.NO_VERSION

    def add(self, config: _config.AcceptedConfig, keeps_delta: bool) -> bool:
        """Add a version, unless it is outdated.

        Parameters
        ----------
        config : AcceptedConfig
            Version as the operator wrote it.
        keeps_delta : bool
            Whether to keep the delta for other daemons; most daemons are
            never asked for one and keep none.

        Returns
        -------
        bool
            Whether the version is newer than the newest known one.
        """
        if config.version <= self.version:
            return False
        old, old_digest = self.newest, self._digest
        self.newest = config
        self._digest = base.Digest(b'')
        self._full_bundle = b''
        if old is None or not keeps_delta:
            self._deltas.clear()
            return True
        delta = bundles.make_delta(
            old.bundle,
            old_digest or _compute_digest(old.bundle),
            config.bundle,
            self._find_newest_digest(),
        )
        self._deltas.append(
            _VersionDelta(old.version, bundles.encode_delta(delta))
        )
        return True

    def make_update(self, version: base.Version) -> VersionUpdate | None:
        """Return the update for a daemon that holds a version, if any."""
        newest = self.newest
        if newest is None or version >= newest.version:
            return None
        bases = [step.base_version for step in self._deltas]
        if version in bases:
            first = bases.index(version)
            steps = tuple(step.delta for step in self._deltas)[first:]
        else:
            version = base.NO_VERSION
            steps = (self._encode_full_bundle(),)
        return VersionUpdate(
            newest.version,
            version,
            steps,
            self._find_newest_digest(),
            newest.limits,
            newest.health_paths,
        )

    def _encode_full_bundle(self) -> bytes:
        if not self._full_bundle:
            encoded = bundles.encode_bundle(self.newest.bundle)
            self._full_bundle = zlib.compress(encoded)
        return self._full_bundle

    def _find_newest_digest(self) -> base.Digest:
        if not self._digest:
            self._digest = _compute_digest(self.newest.bundle)
        return self._digest


def _compute_digest(bundle: bundles.Bundle) -> base.Digest:
    return bundles.compute_digest(bundles.encode_bundle(bundle))


def decode_update(
    update: VersionUpdate, held: _config.AcceptedConfig | None
) -> _config.AcceptedConfig:
    """Decode an update into the version that it contains.

    Parameters
    ----------
    update : VersionUpdate
        Update from another daemon.
    held : AcceptedConfig or None
        Version that this daemon holds, to which deltas are applied.

    Raises
    ------
    BundleError
        If the update is damaged, or its base version is not held.
    """
    if not update.steps:
        raise exceptions.BundleError(
            exceptions.Code.BUNDLE_UNREADABLE,
            f'version {update.version} without any step',
        )
    if not update.base_version:
        encoded = bundles.decompress(update.steps[0], BUNDLE_LIMIT_BYTES)
        bundle = bundles.decode_bundle(encoded, base.Digest(update.digest))
    elif held is None or held.version != update.base_version:
        raise exceptions.BundleError(
            exceptions.Code.BUNDLE_BASE, f'version {update.base_version}'
        )
    else:
        bundle = _apply_deltas(update, held.bundle)
    return _config.AcceptedConfig(
        update.version, bundle, update.limits, update.health_paths
    )


def _apply_deltas(
    update: VersionUpdate, bundle: bundles.Bundle
) -> bundles.Bundle:
    """Compose the deltas into one, check its digest and apply it.

    Composing deltas is faster than encoding and hashing 1,200 routes, so a
    daemon that is three versions behind catches up in the time of one version.
    """
    joined = functools.reduce(
        bundles.compose_deltas, map(bundles.decode_delta, update.steps)
    )
    if joined.digest != update.digest:
        raise exceptions.BundleError(
            exceptions.Code.BUNDLE_DIGEST, f'version {update.version}'
        )
    return bundles.apply_delta(bundle, base.Digest(joined.base_digest), joined)

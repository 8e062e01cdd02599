"""Versions of the operator, and the differences between the last ones."""

import collections
import functools
import zlib

import msgspec

from sedgering import base
from sedgering import bundle as bundles
from sedgering import exceptions
from sedgering.mesh import _config
from sedgering import transport

__all__ = ['VersionLog', 'VersionNews', 'decode_news']

#: Differences kept; whoever lags behind more of them gets a whole version.
#: A storm of versions brings one each 60 ms, and daemons ask at least once
#: a second.
STEPS_LIMIT = 24
#: Largest whole version accepted after decompression, in bytes.
BUNDLE_LIMIT_BYTES = 32 * 1024 * 1024


class VersionNews(msgspec.Struct, frozen=True, array_like=True):
    """A version, whole or as differences from an earlier one.

    Parameters
    ----------
    version : int
        The version.
    base_version : int
        To which the first difference applies; 0 when it is whole.
    steps : tuple of bytes
        Encoded differences in order, or one whole encoded bundle.
    digest : bytes
        Digest (32 bytes) of the whole bundle.
    limits, health_paths
        As in :class:`AcceptedConfig`.
    """

    version: base.Version
    base_version: base.Version
    steps: tuple[bytes, ...]
    digest: bytes
    limits: transport.CallerLimits
    health_paths: dict[str, str]


class _Step(msgspec.Struct, frozen=True):
    base_version: base.Version
    delta: bytes


class VersionLog:
    """The newest version, and how to get there from the last ones."""

    def __init__(self):
        #: Counter of the store up to which no newer version was written.
        self.revision = 0
        self.newest: _config.AcceptedConfig | None = None
        #: Differences that lead to the newest version, without a gap.
        self._steps: collections.deque[_Step] = collections.deque(
            maxlen=STEPS_LIMIT
        )
        self._digest = base.Digest(b'')
        self._whole = b''

    @property
    def version(self) -> base.Version:
        """The newest version known."""
        return self.newest.version if self.newest else base.NO_VERSION

    def take(self, config: _config.AcceptedConfig, keeps_step: bool) -> bool:
        """Take in a version.

        Parameters
        ----------
        config : AcceptedConfig
            As the operator wrote it.
        keeps_step : bool
            Whether others ask for differences; most daemons are never
            asked, and keep none.

        Returns
        -------
        bool
            Whether it is newer.
        """
        if config.version <= self.version:
            return False
        old, old_digest = self.newest, self._digest
        self.newest = config
        self._digest = base.Digest(b'')
        self._whole = b''
        if old is None or not keeps_step:
            self._steps.clear()
            return True
        delta = bundles.make_delta(
            old.bundle,
            old_digest or _find_digest(old.bundle),
            config.bundle,
            self._find_own_digest(),
        )
        self._steps.append(_Step(old.version, bundles.encode_delta(delta)))
        return True

    def find_news(self, version: base.Version) -> VersionNews | None:
        """Return what somebody needs who holds a version."""
        newest = self.newest
        if newest is None or version >= newest.version:
            return None
        bases = [step.base_version for step in self._steps]
        if version in bases:
            first = bases.index(version)
            steps = tuple(step.delta for step in self._steps)[first:]
        else:
            version = base.NO_VERSION
            steps = (self._make_whole(),)
        return VersionNews(
            newest.version,
            version,
            steps,
            self._find_own_digest(),
            newest.limits,
            newest.health_paths,
        )

    def _make_whole(self) -> bytes:
        if not self._whole:
            encoded = bundles.encode_bundle(self.newest.bundle)
            self._whole = zlib.compress(encoded)
        return self._whole

    def _find_own_digest(self) -> base.Digest:
        if not self._digest:
            self._digest = _find_digest(self.newest.bundle)
        return self._digest


def _find_digest(bundle: bundles.Bundle) -> base.Digest:
    return bundles.compute_digest(bundles.encode_bundle(bundle))


def decode_news(
    news: VersionNews, held: _config.AcceptedConfig | None
) -> _config.AcceptedConfig:
    """Make the version of news.

    Parameters
    ----------
    news : VersionNews
        From another daemon.
    held : AcceptedConfig or None
        The version from which differences start.

    Raises
    ------
    BundleError
        When it is damaged, or starts from a version that is not held.
    """
    if not news.base_version:
        encoded = bundles.decompress(news.steps[0], BUNDLE_LIMIT_BYTES)
        bundle = bundles.decode_bundle(encoded, base.Digest(news.digest))
    elif held is None or held.version != news.base_version:
        raise exceptions.BundleError(
            exceptions.Code.BUNDLE_BASE, f'version {news.base_version}'
        )
    else:
        bundle = _apply_steps(news, held.bundle)
    return _config.AcceptedConfig(
        news.version, bundle, news.limits, news.health_paths
    )


def _apply_steps(news: VersionNews, bundle: bundles.Bundle) -> bundles.Bundle:
    """Apply differences, joined into one; its result has the digest stated.

    Encoding 1,200 routes and hashing them takes longer than joining: a daemon
    that is three versions behind catches up in the time of one.
    """
    joined = functools.reduce(
        bundles.compose_deltas, map(bundles.decode_delta, news.steps)
    )
    if joined.digest != news.digest:
        raise exceptions.BundleError(
            exceptions.Code.BUNDLE_DIGEST, f'version {news.version}'
        )
    return bundles.apply_delta(bundle, base.Digest(joined.base_digest), joined)

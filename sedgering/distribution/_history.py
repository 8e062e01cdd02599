"""The version held and the last steps that led to it, for others to fetch.

Immutable: the control thread replaces the whole object, and the threads
of the peer service read whichever they find.
"""

import zlib

import msgspec

from sedgering import base
from sedgering import bundle as bundles
from sedgering import exceptions
from sedgering import peer

__all__ = ['ContentHistory', 'decode_full', 'make_history']

COMPRESSION_LEVEL = 6
#: A composed delta larger than this share of the whole is not worth it.
WORTHWHILE_SHARE = 0.5


class Step(msgspec.Struct, frozen=True):
    """A delta between two versions that were held one after the other."""

    from_version: base.Version
    delta: bundles.Delta


class ContentHistory:
    """The version held, whole and as differences.

    Parameters
    ----------
    snapshot : Snapshot
        In force.
    compressed : bytes
        The whole bundle, encoded and compressed.
    steps : tuple of Step
        Consecutive, oldest first; the last one leads to `snapshot`.
    """

    def __init__(
        self,
        snapshot: bundles.Snapshot,
        compressed: bytes,
        steps: tuple[Step, ...],
    ):
        self.snapshot = snapshot
        self.compressed = compressed
        self.steps = steps

    def content_since(self, held_version: int) -> peer.Content:
        """Return the version held, as a delta where possible.

        Parameters
        ----------
        held_version : int
            Version that the caller holds.
        """
        delta = self._compose_from(held_version)
        base_version = held_version
        body = bundles.encode_delta(delta) if delta else None
        if body is None or len(body) > self._worthwhile_bytes():
            body = self.compressed
            base_version = base.NO_VERSION
        return peer.Content(
            version=self.snapshot.version,
            digest=self.snapshot.digest,
            base_version=base_version,
            body=body,
        )

    def _worthwhile_bytes(self) -> float:
        return WORTHWHILE_SHARE * len(self.compressed)

    def _compose_from(self, held_version: int) -> bundles.Delta | None:
        composed = None
        for step in self.steps:
            if composed is not None:
                composed = bundles.compose_deltas(composed, step.delta)
            elif step.from_version == held_version:
                composed = step.delta
        return composed


def make_history(
    snapshot: bundles.Snapshot,
    previous: ContentHistory | None,
    limit: int,
) -> ContentHistory:
    """Make the history after a version came into force.

    Parameters
    ----------
    snapshot : Snapshot
        Just put in force.
    previous : ContentHistory or None
        History until now.
    limit : int
        Most steps kept; 0 keeps none, so that all content is sent whole.
    """
    steps: tuple[Step, ...] = ()
    if previous is not None and limit:
        old = previous.snapshot
        delta = bundles.make_delta(
            old.bundle, old.digest, snapshot.bundle, snapshot.digest
        )
        steps = (*previous.steps, Step(old.version, delta))[-limit:]
    encoded = bundles.encode_bundle(snapshot.bundle)
    compressed = zlib.compress(encoded, COMPRESSION_LEVEL)
    return ContentHistory(snapshot, compressed, steps)


def decode_full(body: bytes, digest: base.Digest) -> bundles.Bundle:
    """Decode the body of a whole bundle.

    Raises
    ------
    BundleError
        When it is damaged, too large or has another digest.
    """
    encoded = bundles.decompress(body, bundles.MAX_BUNDLE_BYTES + 1)
    if len(encoded) > bundles.MAX_BUNDLE_BYTES:
        raise exceptions.BundleError(exceptions.Code.BUNDLE_UNREADABLE)
    return bundles.decode_bundle(encoded, digest)

"""Canonical encoding of a bundle, and its digest.

Equal bundles have equal encodings: objects are sorted by name, and every
field is written in the order in which its struct declares it.  A bundle with
neither workspaces nor keyed routes is encoded without these two fields.
"""

import hashlib

import msgspec

from sedgering import base
from sedgering.bundle import _model
from sedgering import exceptions

__all__ = ['compute_digest', 'decode_bundle', 'encode_bundle']

#: Largest encoded bundle accepted, in bytes.
MAX_BUNDLE_BYTES = 32 * 1024 * 1024


class _BundleWithoutKeys(msgspec.Struct, frozen=True):
    """Fields of a bundle without API keys, as earlier releases decode it."""

    mesh: str
    policies: tuple[_model.Policy, ...]
    target_sets: tuple[_model.TargetSet, ...]
    routes: tuple[_model.Route, ...]


_ENCODER = msgspec.msgpack.Encoder(order='deterministic')
_DECODER = msgspec.msgpack.Decoder(_model.Bundle)


def encode_bundle(bundle: _model.Bundle) -> bytes:
    """Encode a bundle in its canonical form.

    Parameters
    ----------
    bundle : Bundle
        Made by :func:`make_bundle` or decoded.

    Returns
    -------
    bytes
        MessagePack; the same bytes for equal bundles.
    """
    if bundle.workspaces or bundle.keyed_routes:
        return _ENCODER.encode(bundle)
    return _ENCODER.encode(
        _BundleWithoutKeys(
            bundle.mesh, bundle.policies, bundle.target_sets, bundle.routes
        )
    )


def compute_digest(encoded: bytes) -> base.Digest:
    """Return the SHA-256 digest (32 bytes) of an encoded bundle."""
    return base.Digest(hashlib.sha256(encoded).digest())


def decode_bundle(encoded: bytes, digest: base.Digest) -> _model.Bundle:
    """Decode a bundle after verifying its digest.

    Parameters
    ----------
    encoded : bytes
        Returned by :func:`encode_bundle`.
    digest : Digest
        Digest recorded by the sign-off.

    Returns
    -------
    Bundle
        Not yet validated; see :func:`check_bundle`.

    Raises
    ------
    BundleError
        If `encoded` is too large, does not match `digest` or cannot be
        decoded as a bundle.
    """
    if len(encoded) > MAX_BUNDLE_BYTES:
        detail = f'{len(encoded)} bytes exceed the limit'
        raise exceptions.BundleError(exceptions.Code.BUNDLE_UNREADABLE, detail)
    if compute_digest(encoded) != digest:
        raise exceptions.BundleError(exceptions.Code.BUNDLE_DIGEST)
    try:
        return _DECODER.decode(encoded)
    except (msgspec.DecodeError, RecursionError) as error:
        raise exceptions.BundleError(
            exceptions.Code.BUNDLE_UNREADABLE, str(error)
        ) from error

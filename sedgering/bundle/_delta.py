"""Deltas between two bundles.

A delta contains the digests of its base bundle and of its result.  It is
applied only to its base, and the result is used only if it matches the
stated digest, so a corrupted delta changes nothing.
"""

from typing import TypeVar
import zlib

import msgspec

from sedgering import base
from sedgering.bundle import _codec
from sedgering.bundle import _model
from sedgering import exceptions

__all__ = [
    'Delta',
    'apply_delta',
    'compose_deltas',
    'decode_delta',
    'encode_delta',
    'make_delta',
]

#: Largest delta accepted after decompression, in bytes.
MAX_DELTA_BYTES = 32 * 1024 * 1024
COMPRESSION_LEVEL = 6

ItemT = TypeVar('ItemT')


class ObjectDelta(msgspec.Struct, frozen=True, array_like=True):
    """Changes to one kind of object.

    Parameters
    ----------
    removed : tuple of str
        Names of the objects to delete.
    put : tuple
        Objects to add, or to replace those of the same name.
    """

    removed: tuple[str, ...]
    put: tuple


class PolicyDelta(ObjectDelta, frozen=True, array_like=True):
    """Changes to policies."""

    put: tuple[_model.Policy, ...]


class TargetSetDelta(ObjectDelta, frozen=True, array_like=True):
    """Changes to target sets."""

    put: tuple[_model.TargetSet, ...]


class RouteDelta(ObjectDelta, frozen=True, array_like=True):
    """Changes to routes."""

    put: tuple[_model.Route, ...]


class WorkspaceDelta(ObjectDelta, frozen=True, array_like=True):
    """Changes to workspaces."""

    put: tuple[_model.Workspace, ...]


class KeyedRouteDelta(ObjectDelta, frozen=True, array_like=True):
    """Changes to the names of routes that require an API key."""

    put: tuple[base.RouteName, ...]


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Changes that turn one bundle into another.

    Parameters
    ----------
    base_digest, digest : bytes
        Digests (32 bytes) of the base bundle and of the result.
    mesh : str
        Mesh of both bundles.
    policies, target_sets, routes : ObjectDelta
        Changes to each kind of object.
    workspaces, keyed_routes : ObjectDelta
        Changes to workspaces and to keyed routes.  They come last because
        earlier releases ignore trailing array elements.
    """

    base_digest: bytes
    digest: bytes
    mesh: str
    policies: PolicyDelta
    target_sets: TargetSetDelta
    routes: RouteDelta
    workspaces: WorkspaceDelta = WorkspaceDelta((), ())
    keyed_routes: KeyedRouteDelta = KeyedRouteDelta((), ())


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Delta)


def make_delta(
    old: _model.Bundle,
    old_digest: base.Digest,
    new: _model.Bundle,
    new_digest: base.Digest,
) -> Delta:
    """Compute the delta between two bundles.

    Parameters
    ----------
    old, new : Bundle
        Validated bundles of the same mesh.
    old_digest, new_digest : Digest
        Digests of `old` and `new`; the caller has them already.

    Returns
    -------
    Delta
        ``apply_delta(old, old_digest, delta)`` returns a bundle equal to
        `new`.
    """
    return Delta(
        base_digest=old_digest,
        digest=new_digest,
        mesh=new.mesh,
        policies=PolicyDelta(*_compute_changes(old.policies, new.policies)),
        target_sets=TargetSetDelta(
            *_compute_changes(old.target_sets, new.target_sets)
        ),
        routes=RouteDelta(*_compute_changes(old.routes, new.routes)),
        workspaces=WorkspaceDelta(
            *_compute_changes(old.workspaces, new.workspaces)
        ),
        keyed_routes=KeyedRouteDelta(
            *_compute_changes(old.keyed_routes, new.keyed_routes)
        ),
    )


def apply_delta(
    old: _model.Bundle, old_digest: base.Digest, delta: Delta
) -> _model.Bundle:
    """Apply a delta to its base bundle.

    Parameters
    ----------
    old : Bundle
        Bundle to change.
    old_digest : Digest
        Digest of `old`.
    delta : Delta
        Decoded delta whose base is `old`.

    Returns
    -------
    Bundle
        A new bundle that matches the digest in `delta`; `old` is
        unchanged.

    Raises
    ------
    BundleError
        If `old` is not the base of the delta, or the result does not match
        the digest in the delta.
    """
    if delta.base_digest != old_digest:
        raise exceptions.BundleError(exceptions.Code.BUNDLE_BASE)
    new = _model.make_bundle(
        delta.mesh,
        _apply_changes(old.policies, delta.policies),
        _apply_changes(old.target_sets, delta.target_sets),
        _apply_changes(old.routes, delta.routes),
        _apply_changes(old.workspaces, delta.workspaces),
        _apply_changes(old.keyed_routes, delta.keyed_routes),
    )
    digest = _codec.compute_digest(_codec.encode_bundle(new))
    if digest != delta.digest:
        raise exceptions.BundleError(exceptions.Code.BUNDLE_DIGEST)
    return new


def compose_deltas(first: Delta, second: Delta) -> Delta:
    """Compose two consecutive deltas into one.

    Parameters
    ----------
    first, second : Delta
        The base of `second` is the result of `first`.

    Returns
    -------
    Delta
        Leads from the base of `first` to the result of `second`.

    Raises
    ------
    BundleError
        If the base of `second` is not the result of `first`.
    """
    if first.digest != second.base_digest:
        raise exceptions.BundleError(exceptions.Code.BUNDLE_BASE)
    return Delta(
        base_digest=first.base_digest,
        digest=second.digest,
        mesh=second.mesh,
        policies=PolicyDelta(
            *_compose_changes(first.policies, second.policies)
        ),
        target_sets=TargetSetDelta(
            *_compose_changes(first.target_sets, second.target_sets)
        ),
        routes=RouteDelta(*_compose_changes(first.routes, second.routes)),
        workspaces=WorkspaceDelta(
            *_compose_changes(first.workspaces, second.workspaces)
        ),
        keyed_routes=KeyedRouteDelta(
            *_compose_changes(first.keyed_routes, second.keyed_routes)
        ),
    )


def encode_delta(delta: Delta) -> bytes:
    """Encode and compress a delta."""
    return zlib.compress(_ENCODER.encode(delta), COMPRESSION_LEVEL)


def decode_delta(encoded: bytes) -> Delta:
    """Decompress and decode a delta.

    Raises
    ------
    BundleError
        If the delta is corrupted or too large.
    """
    try:
        return _DECODER.decode(decompress(encoded, MAX_DELTA_BYTES))
    except (msgspec.DecodeError, RecursionError) as error:
        raise exceptions.BundleError(
            exceptions.Code.BUNDLE_UNREADABLE, str(error)
        ) from error


def decompress(encoded: bytes, limit_bytes: int) -> bytes:
    """Decompress zlib data of at most `limit_bytes` bytes.

    Raises
    ------
    BundleError
        If the data is corrupted, truncated or too large, or is followed by
        other bytes.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(encoded, limit_bytes)
    except zlib.error as error:
        raise exceptions.BundleError(
            exceptions.Code.BUNDLE_UNREADABLE, str(error)
        ) from error
    if not decompressor.eof or decompressor.unused_data:
        raise exceptions.BundleError(
            exceptions.Code.BUNDLE_UNREADABLE,
            'compressed data is truncated, too large or has trailing bytes',
        )
    return data


def _index_by_name(items: tuple[ItemT, ...]) -> dict[str, ItemT]:
    """Index objects by name; an item that is itself a name is its own key."""
    return {getattr(item, 'name', item): item for item in items}


def _compute_changes(
    old: tuple[ItemT, ...], new: tuple[ItemT, ...]
) -> tuple[tuple[str, ...], tuple[ItemT, ...]]:
    old_by_name = _index_by_name(old)
    new_by_name = _index_by_name(new)
    removed = tuple(name for name in old_by_name if name not in new_by_name)
    put = tuple(
        item
        for name, item in new_by_name.items()
        if old_by_name.get(name) != item
    )
    return removed, put


def _apply_changes(
    old: tuple[ItemT, ...], delta: ObjectDelta
) -> tuple[ItemT, ...]:
    if not delta.removed and not delta.put:
        return old
    items = _index_by_name(old)
    for name in delta.removed:
        items.pop(name, None)
    items.update(_index_by_name(delta.put))
    return tuple(items.values())


def _compose_changes(
    first: ObjectDelta, second: ObjectDelta
) -> tuple[tuple[str, ...], tuple]:
    put = _index_by_name(first.put)
    removed = set(first.removed)
    for name in second.removed:
        put.pop(name, None)
        removed.add(name)
    second_put = _index_by_name(second.put)
    put.update(second_put)
    removed.difference_update(second_put)
    return tuple(sorted(removed)), tuple(put.values())

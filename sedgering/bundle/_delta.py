"""Differences between two bundles.

A delta names the digests at both of its ends.  It is applied only to the
bundle that it starts from, and its result is used only when the digest
of the result is the one stated: a damaged delta changes nothing.
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


class KindDelta(msgspec.Struct, frozen=True, array_like=True):
    """Changes to one kind of object: names removed, objects put."""

    removed: tuple[str, ...]
    put: tuple


class PolicyDelta(KindDelta, frozen=True, array_like=True):
    """Changes to policies."""

    put: tuple[_model.Policy, ...]


class TargetSetDelta(KindDelta, frozen=True, array_like=True):
    """Changes to target sets."""

    put: tuple[_model.TargetSet, ...]


class RouteDelta(KindDelta, frozen=True, array_like=True):
    """Changes to routes."""

    put: tuple[_model.Route, ...]


class WorkspaceDelta(KindDelta, frozen=True, array_like=True):
    """Changes to workspaces."""

    put: tuple[_model.Workspace, ...]


class KeyedRouteDelta(KindDelta, frozen=True, array_like=True):
    """Changes to the names of routes that need a key."""

    put: tuple[base.RouteName, ...]


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """What leads from one bundle to another.

    Parameters
    ----------
    base_digest, digest : bytes
        Digests (32 bytes) of the bundle to start from and of the result.
    mesh : str
        Mesh of both bundles.
    policies, target_sets, routes : KindDelta
        Changes to each kind of object.
    workspaces, keyed_routes : KindDelta
        The same; at the end, where earlier releases read over them.
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
    """Compute what leads from one bundle to another.

    Parameters
    ----------
    old, new : Bundle
        Validated bundles of the same mesh.
    old_digest, new_digest : Digest
        Their digests; handed in, since both ends hold them already.

    Returns
    -------
    Delta
        Such that ``apply_delta(old, old_digest, delta)`` equals `new`.
    """
    return Delta(
        base_digest=old_digest,
        digest=new_digest,
        mesh=new.mesh,
        policies=PolicyDelta(*_diff(old.policies, new.policies)),
        target_sets=TargetSetDelta(*_diff(old.target_sets, new.target_sets)),
        routes=RouteDelta(*_diff(old.routes, new.routes)),
        workspaces=WorkspaceDelta(*_diff(old.workspaces, new.workspaces)),
        keyed_routes=KeyedRouteDelta(
            *_diff(old.keyed_routes, new.keyed_routes)
        ),
    )


def apply_delta(
    old: _model.Bundle, old_digest: base.Digest, delta: Delta
) -> _model.Bundle:
    """Apply a delta to the bundle that it starts from.

    Parameters
    ----------
    old : Bundle
        Bundle held.
    old_digest : Digest
        Digest of the bundle held.
    delta : Delta
        As decoded.

    Returns
    -------
    Bundle
        A new bundle, its digest checked; `old` is unchanged.

    Raises
    ------
    BundleError
        When the delta starts elsewhere or its result has another digest.
    """
    if delta.base_digest != old_digest:
        raise exceptions.BundleError(exceptions.Code.BUNDLE_BASE)
    new = _model.make_bundle(
        delta.mesh,
        _patch(old.policies, delta.policies),
        _patch(old.target_sets, delta.target_sets),
        _patch(old.routes, delta.routes),
        _patch(old.workspaces, delta.workspaces),
        _patch(old.keyed_routes, delta.keyed_routes),
    )
    digest = _codec.compute_digest(_codec.encode_bundle(new))
    if digest != delta.digest:
        raise exceptions.BundleError(exceptions.Code.BUNDLE_DIGEST)
    return new


def compose_deltas(first: Delta, second: Delta) -> Delta:
    """Join two consecutive deltas into one.

    Parameters
    ----------
    first, second : Delta
        `second` starts where `first` ends.

    Returns
    -------
    Delta
        From the start of `first` to the end of `second`.

    Raises
    ------
    BundleError
        When the two do not meet.
    """
    if first.digest != second.base_digest:
        raise exceptions.BundleError(exceptions.Code.BUNDLE_BASE)
    return Delta(
        base_digest=first.base_digest,
        digest=second.digest,
        mesh=second.mesh,
        policies=PolicyDelta(*_join(first.policies, second.policies)),
        target_sets=TargetSetDelta(
            *_join(first.target_sets, second.target_sets)
        ),
        routes=RouteDelta(*_join(first.routes, second.routes)),
        workspaces=WorkspaceDelta(*_join(first.workspaces, second.workspaces)),
        keyed_routes=KeyedRouteDelta(
            *_join(first.keyed_routes, second.keyed_routes)
        ),
    )


def encode_delta(delta: Delta) -> bytes:
    """Encode and compress a delta."""
    return zlib.compress(_ENCODER.encode(delta), COMPRESSION_LEVEL)


def decode_delta(encoded: bytes) -> Delta:
    """Decode a delta.

    Raises
    ------
    BundleError
        When it is damaged or too large.
    """
    try:
        return _DECODER.decode(decompress(encoded, MAX_DELTA_BYTES))
    except (msgspec.DecodeError, RecursionError) as error:
        raise exceptions.BundleError(
            exceptions.Code.BUNDLE_UNREADABLE, str(error)
        ) from error


def decompress(encoded: bytes, limit_bytes: int) -> bytes:
    """Decompress at most `limit_bytes`; refuse more, less or damage."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(encoded, limit_bytes)
    except zlib.error as error:
        raise exceptions.BundleError(
            exceptions.Code.BUNDLE_UNREADABLE, str(error)
        ) from error
    if not decompressor.eof or decompressor.unused_data:
        raise exceptions.BundleError(
            exceptions.Code.BUNDLE_UNREADABLE, 'compressed data cut or long'
        )
    return data


def _by_name(items: tuple[ItemT, ...]) -> dict[str, ItemT]:
    """Return items by their names; a name stands for itself."""
    return {getattr(item, 'name', item): item for item in items}


def _diff(
    old: tuple[ItemT, ...], new: tuple[ItemT, ...]
) -> tuple[tuple[str, ...], tuple[ItemT, ...]]:
    old_by_name = _by_name(old)
    new_by_name = _by_name(new)
    removed = tuple(name for name in old_by_name if name not in new_by_name)
    put = tuple(
        item
        for name, item in new_by_name.items()
        if old_by_name.get(name) != item
    )
    return removed, put


def _patch(old: tuple[ItemT, ...], delta: KindDelta) -> tuple[ItemT, ...]:
    if not delta.removed and not delta.put:
        return old
    items = _by_name(old)
    for name in delta.removed:
        items.pop(name, None)
    items.update(_by_name(delta.put))
    return tuple(items.values())


def _join(
    first: KindDelta, second: KindDelta
) -> tuple[tuple[str, ...], tuple]:
    put = _by_name(first.put)
    removed = set(first.removed)
    for name in second.removed:
        put.pop(name, None)
        removed.add(name)
    put_later = _by_name(second.put)
    put.update(put_later)
    removed.difference_update(put_later)
    return tuple(sorted(removed)), tuple(put.values())

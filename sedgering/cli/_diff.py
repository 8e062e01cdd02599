"""Differences between two bundles, as lines to read."""

from collections.abc import Iterator

import msgspec

from sedgering import bundle as bundles

__all__ = ['describe_changes']

_KINDS = ('policies', 'target_sets', 'routes', 'workspaces')


def describe_changes(
    old: bundles.Bundle, new: bundles.Bundle
) -> Iterator[str]:
    """Describe what changes from one bundle to another.

    Yields
    ------
    str
        `+` for objects that come, `-` for those that go, and for those
        that stay, `~` with each field that changes.
    """
    for kind in _KINDS:
        before = {item.name: item for item in getattr(old, kind)}
        after = {item.name: item for item in getattr(new, kind)}
        for name in sorted(before.keys() | after.keys()):
            path = f'{kind}.{name}'
            if name not in after:
                yield f'- {path}'
            elif name not in before:
                yield f'+ {path}'
            else:
                yield from _describe_fields(path, before[name], after[name])
    yield from _describe_keyed(set(old.keyed_routes), set(new.keyed_routes))


def _describe_keyed(before: set[str], after: set[str]) -> Iterator[str]:
    for name in sorted(before ^ after):
        yield f'{"+" if name in after else "-"} keyed_routes.{name}'


def _describe_fields(
    path: str, before: msgspec.Struct, after: msgspec.Struct
) -> Iterator[str]:
    for field in before.__struct_fields__:
        old = getattr(before, field)
        new = getattr(after, field)
        if old != new:
            yield f'~ {path}.{field}: {_show(old)} -> {_show(new)}'


def _show(value) -> str:
    return msgspec.json.encode(value).decode()

"""Text descriptions of the differences between two bundles."""

from collections.abc import Iterator

import msgspec

from sedgering import bundle as bundles

__all__ = ['describe_changes']

_OBJECT_KINDS = ('policies', 'target_sets', 'routes', 'workspaces')


def describe_changes(
    old: bundles.Bundle, new: bundles.Bundle
) -> Iterator[str]:
    """Describe the changes from one bundle to another.

    Yields
    ------
    str
        One line for each change: `+` for an added object, `-` for a removed
        one, and `~` for a changed field of an object.
    """
    for kind in _OBJECT_KINDS:
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
    yield from _describe_keyed_routes(
        set(old.keyed_routes), set(new.keyed_routes)
    )


def _describe_keyed_routes(before: set[str], after: set[str]) -> Iterator[str]:
    for name in sorted(before ^ after):
        yield f'{"+" if name in after else "-"} keyed_routes.{name}'


def _describe_fields(
    path: str, before: msgspec.Struct, after: msgspec.Struct
) -> Iterator[str]:
    for field in before.__struct_fields__:
        old = getattr(before, field)
        new = getattr(after, field)
        if old != new:
            yield f'~ {path}.{field}: {_to_json(old)} -> {_to_json(new)}'


def _to_json(value) -> str:
    return msgspec.json.encode(value).decode()

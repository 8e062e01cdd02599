"""Counts the entries of all tables that an object refers to."""

import collections
from collections.abc import Iterator
import types
from typing import Any

__all__ = ['count_entries']

_SEQUENCES = (list, tuple, set, frozenset, collections.deque)
_LEAVES = (str, bytes, int, float, type, types.ModuleType, type(None))
_PACKAGE = 'sedgering.'


def count_entries(root: Any) -> collections.Counter:
    """Count the entries of the collections in the objects of this package.

    Parameters
    ----------
    root : object
        Followed through its attributes and the entries of collections.

    Returns
    -------
    Counter
        Entries by class and attribute, summed over the instances, and
        instances by class.  Collections with a fixed length are left out.
    """
    counts: collections.Counter = collections.Counter()
    seen: set[int] = set()
    pending = [('', root)]
    while pending:
        name, item = pending.pop()
        if isinstance(item, _LEAVES) or id(item) in seen:
            continue
        seen.add(id(item))
        if isinstance(item, dict):
            _count(counts, name, item)
            pending += [(name, entry) for entry in item]
            pending += [(name, entry) for entry in item.values()]
        elif isinstance(item, _SEQUENCES):
            _count(counts, name, item)
            pending += [(name, entry) for entry in item]
        elif type(item).__module__.startswith(_PACKAGE):
            counts[type(item).__qualname__] += 1
            pending += _list_attributes(item)
        elif isinstance(item, types.MethodType):
            pending.append((name, item.__self__))
    return counts


def _count(counts: collections.Counter, name: str, item: Any) -> None:
    if getattr(item, 'maxlen', None) is None and item:
        counts[name] += len(item)


def _list_attributes(item: Any) -> Iterator[tuple[str, Any]]:
    owner = type(item).__qualname__
    names = set(getattr(item, '__dict__', ()))
    for kind in type(item).__mro__:
        slots = getattr(kind, '__slots__', ())
        names.update((slots,) if isinstance(slots, str) else slots)
    for name in sorted(names):
        value = getattr(item, name, None)
        yield f'{owner}.{name}', value

"""How often workspaces are answered and refused, for the largest ones."""

from sedgering import base

__all__ = ['OTHERS', 'WorkspaceCounts']

#: Workspaces that have labels of their own: counters of all would be a page
#: of thousands of lines, and the largest ones are those that are asked about.
LARGEST_LIMIT = 16
#: Workspaces counted in all; of more, the one with the fewest requests goes to
#: the others.
COUNTED_LIMIT = 256
#: Label of all that have none of their own; no name begins so.
OTHERS = '_others'


class WorkspaceCounts:
    """Counts requests by workspace and by how they ended."""

    def __init__(self):
        self._counts: dict[base.WorkspaceName, dict[str, int]] = {}
        self._others: dict[str, int] = {}

    def count(self, workspace: base.WorkspaceName, kind: str) -> None:
        """Count one request of a workspace.

        Parameters
        ----------
        workspace : str
            That asked; nothing is counted without one.
        kind : str
            Of a few, such as ``answered``.
        """
        if not workspace:
            return
        counts = self._counts.get(workspace)
        if counts is None:
            counts = self._begin(workspace)
        counts[kind] = counts.get(kind, 0) + 1

    def list_largest(self) -> list[tuple[str, str, int]]:
        """Return label, kind and count: the largest ones, then the others."""
        ranked = sorted(
            self._counts,
            key=lambda name: (-sum(self._counts[name].values()), name),
        )
        others = dict(self._others)
        for name in ranked[LARGEST_LIMIT:]:
            _add(others, self._counts[name])
        tables = [(name, self._counts[name]) for name in ranked]
        rows = [*tables[:LARGEST_LIMIT], (OTHERS, others)]
        return [
            (name, kind, value)
            for name, counts in rows
            for kind, value in sorted(counts.items())
        ]

    def _begin(self, workspace: base.WorkspaceName) -> dict[str, int]:
        if len(self._counts) >= COUNTED_LIMIT:
            least = min(
                self._counts, key=lambda name: sum(self._counts[name].values())
            )
            _add(self._others, self._counts.pop(least))
        counts = self._counts[workspace] = {}
        return counts


def _add(total: dict[str, int], counts: dict[str, int]) -> None:
    for kind, value in counts.items():
        total[kind] = total.get(kind, 0) + value

"""Request counters by workspace, for the largest workspaces."""

from sedgering import base

__all__ = ['OTHERS', 'WorkspaceCounts']

#: Workspaces with a metric label of their own.  Counters of all workspaces
#: would take thousands of lines, and mostly the largest ones are asked about.
LABELLED_LIMIT = 16
#: Workspaces counted separately.  Beyond that, the one with the fewest
#: requests is merged into the others.
COUNTED_LIMIT = 256
#: Label of all other workspaces; no workspace name has this prefix.
OTHERS = '_others'


class WorkspaceCounts:
    """Counts requests by workspace and outcome."""

    def __init__(self):
        self._counts: dict[base.WorkspaceName, dict[str, int]] = {}
        self._others: dict[str, int] = {}

    def count(self, workspace: base.WorkspaceName, kind: str) -> None:
        """Count one request of a workspace.

        Parameters
        ----------
        workspace : str
            Workspace of the caller; nothing is counted if it is empty.
        kind : str
            One of a few outcomes, such as ``answered``.
        """
        if not workspace:
            return
        counts = self._counts.get(workspace)
        if counts is None:
            counts = self._add_workspace(workspace)
        counts[kind] = counts.get(kind, 0) + 1

    def list_largest(self) -> list[tuple[str, str, int]]:
        """Return label, kind and count: largest first, then the others."""
        ranked = sorted(
            self._counts,
            key=lambda name: (-sum(self._counts[name].values()), name),
        )
        others = dict(self._others)
        for name in ranked[LABELLED_LIMIT:]:
            _add(others, self._counts[name])
        tables = [(name, self._counts[name]) for name in ranked]
        rows = [*tables[:LABELLED_LIMIT], (OTHERS, others)]
        return [
            (name, kind, value)
            for name, counts in rows
            for kind, value in sorted(counts.items())
        ]

    def _add_workspace(self, workspace: base.WorkspaceName) -> dict[str, int]:
        if len(self._counts) >= COUNTED_LIMIT:
            smallest = min(
                self._counts, key=lambda name: sum(self._counts[name].values())
            )
            _add(self._others, self._counts.pop(smallest))
        counts = self._counts[workspace] = {}
        return counts


def _add(total: dict[str, int], counts: dict[str, int]) -> None:
    for kind, value in counts.items():
        total[kind] = total.get(kind, 0) + value

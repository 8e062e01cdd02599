"""Work of each workspace in bounded memory, and max-min fair shares of it."""

from collections.abc import Iterable
import zlib

from sedgering import base

__all__ = ['WorkspaceWork', 'find_fair_level']

#: Workspaces that are counted by name.  This exceeds the 40 that can call one
#: daemon within the time constant of two seconds at twenty calls a second.
NAMED_LIMIT = 48
#: Groups into which the others are hashed.
GROUPS = 16
#: Work below which a workspace is forgotten: a thousandth of a short call.
MIN_WORK_MS = 0.05


class WorkspaceWork:
    """Work by workspace: the first ones by name, the others in hash groups."""

    def __init__(self):
        self._work_ms: dict[str, float] = {}
        #: Work of all workspaces.
        self.total_ms = 0.0

    def add(self, workspace: base.WorkspaceName, work_ms: float) -> None:
        """Add work of a workspace."""
        name = self._find_name(workspace)
        self._work_ms[name] = self._work_ms.get(name, 0.0) + work_ms
        self.total_ms += work_ms

    def find_work_ms(self, workspace: base.WorkspaceName) -> float:
        """Return the work of a workspace, or of its hash group."""
        return self._work_ms.get(self._find_name(workspace), 0.0)

    def list_work_ms(self) -> Iterable[float]:
        """Return the work of each workspace and each hash group."""
        return self._work_ms.values()

    def scale(self, factor: float) -> None:
        """Multiply all work, and drop workspaces with negligible work."""
        self._work_ms = {
            name: work_ms * factor
            for name, work_ms in self._work_ms.items()
            if work_ms * factor > MIN_WORK_MS
        }
        self.total_ms = sum(self._work_ms.values())

    def _find_name(self, workspace: base.WorkspaceName) -> str:
        if workspace in self._work_ms or len(self._work_ms) < NAMED_LIMIT:
            return workspace
        # Workspace names never start with '#'.
        return f'#{zlib.crc32(workspace.encode()) % GROUPS}'


def find_fair_level(demands: Iterable[float], capacity: float) -> float:
    """Return the largest share in a max-min fair allocation.

    Whoever demands less than this level gets all of it; the rest of the
    capacity is divided equally among the others (Bertsekas and Gallager
    1992).

    Parameters
    ----------
    demands : iterable of float
        What each one demands.
    capacity : float
        Sum of all shares at most.
    """
    ordered = sorted(demands)
    remaining = capacity
    for number, demand in enumerate(ordered):
        level = remaining / (len(ordered) - number)
        if demand >= level:
            return max(0.0, level)
        remaining -= demand
    return max(ordered, default=capacity)

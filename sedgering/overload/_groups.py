"""Shares of room by workspace, in bounded memory."""

from collections.abc import Iterable
import zlib

from sedgering import base

__all__ = ['WorkspaceGroups', 'find_fair_level']

#: Workspaces that are counted by name; more than ask one daemon within its
#: memory of two seconds at twenty calls a second.
MOST_NAMED = 48
#: Groups into which the others are hashed.
GROUPS = 16
#: Work below which a workspace is forgotten: a thousandth of a short call.
LEAST_WORK_MS = 0.05


class WorkspaceGroups:
    """Work by workspace: the first ones by name, all others in groups."""

    def __init__(self):
        self._work_ms: dict[str, float] = {}
        #: Work of all together.
        self.total_ms = 0.0

    def note(self, workspace: base.WorkspaceName, work_ms: float) -> None:
        """Add work of a workspace."""
        name = self._find_name(workspace)
        self._work_ms[name] = self._work_ms.get(name, 0.0) + work_ms
        self.total_ms += work_ms

    def find_ms(self, workspace: base.WorkspaceName) -> float:
        """Return the work of a workspace, or of the group that it is in."""
        return self._work_ms.get(self._find_name(workspace), 0.0)

    def list_ms(self) -> Iterable[float]:
        """Return the work of each workspace or group."""
        return self._work_ms.values()

    def scale(self, factor: float) -> None:
        """Let all work count for less, and forget what counts for nothing."""
        self._work_ms = {
            name: work_ms * factor
            for name, work_ms in self._work_ms.items()
            if work_ms * factor > LEAST_WORK_MS
        }
        self.total_ms = sum(self._work_ms.values())

    def _find_name(self, workspace: base.WorkspaceName) -> str:
        if workspace in self._work_ms or len(self._work_ms) < MOST_NAMED:
            return workspace
        # No workspace has a name that begins so.
        return f'#{zlib.crc32(workspace.encode()) % GROUPS}'


def find_fair_level(asked: Iterable[float], room: float) -> float:
    """Return the share that nobody exceeds when room is shared max-min.

    Whoever asks for less than the level gets all of it; what is left over
    goes to the others in equal parts (Bertsekas and Gallager 1992).

    Parameters
    ----------
    asked : iterable of float
        What each one asks for.
    room : float
        What there is in all.
    """
    ordered = sorted(asked)
    left = room
    for number, amount in enumerate(ordered):
        level = left / (len(ordered) - number)
        if amount >= level:
            return max(0.0, level)
        left -= amount
    return max(ordered, default=room)

"""Shares the capacity of one gate fairly among the workspaces that call it."""

import enum

from sedgering import base
from sedgering.overload import _decay
from sedgering.overload import _fair_share

__all__ = ['ShareStanding', 'WorkspaceShares']

#: Time constant of the sums of work from which shares are computed.  It spans
#: several work times, so that a workspace that sends too many calls is
#: distinguished from one that happened to send two.
TIME_CONSTANT_S = 2.0
#: Factor by which a workspace may exceed its fair share before its calls rank
#: behind others.  The tolerance, one call in ten, is smaller than random
#: deviations.
OVER_FACTOR = 1.1
#: A workspace whose served share is below this fraction of the overall one is
#: served before the others.  No workspace may fall below a quarter; at a half
#: there is still time to prevent that.
STARVED_SHARE = 0.5
#: Number of calls that a workspace must have sent before it counts as starved;
#: fewer calls may all be refused by chance.
MIN_CALLS = 3.0


class ShareStanding(enum.IntEnum):
    """How a workspace was served recently; smaller values go first."""

    #: Served far less often than the others.
    STARVED = 0
    USUAL = 1
    #: Served more than its fair share.
    OVER = 2


class WorkspaceShares:
    """Requested and served work of each workspace at one gate."""

    def __init__(self):
        self._requested = _fair_share.WorkspaceWork()
        self._served = _fair_share.WorkspaceWork()
        self._decay = _decay.ForwardDecay(TIME_CONSTANT_S)

    def note_requested(
        self, workspace: base.WorkspaceName, work_ms: float, now_s: float
    ) -> None:
        """Count a call that has arrived."""
        self._add(self._requested, workspace, work_ms, now_s)

    def note_served(
        self, workspace: base.WorkspaceName, work_ms: float, now_s: float
    ) -> None:
        """Count a call that got a slot."""
        self._add(self._served, workspace, work_ms, now_s)

    def find_standing(
        self, workspace: base.WorkspaceName, work_ms: float, now_s: float
    ) -> ShareStanding:
        """Return how a workspace was served recently.

        Parameters
        ----------
        workspace : str
            Workspace of the call.
        work_ms : float
            Typical work time of the call, in milliseconds.
        now_s : float
            Time of the event loop.
        """
        if workspace == base.NO_WORKSPACE:
            return ShareStanding.USUAL
        requested_ms = self._requested.find_work_ms(workspace)
        served_ms = self._served.find_work_ms(workspace)
        min_ms = MIN_CALLS * work_ms * self._decay.find_weight(now_s)
        if requested_ms >= min_ms and self._is_starved(
            requested_ms, served_ms
        ):
            return ShareStanding.STARVED
        level_ms = _fair_share.find_fair_level(
            self._requested.list_work_ms(), self._served.total_ms
        )
        is_over = served_ms > OVER_FACTOR * level_ms
        return ShareStanding.OVER if is_over else ShareStanding.USUAL

    def _is_starved(self, requested_ms: float, served_ms: float) -> bool:
        total_share = self._served.total_ms / self._requested.total_ms
        return served_ms < STARVED_SHARE * total_share * requested_ms

    def _add(
        self,
        work: _fair_share.WorkspaceWork,
        workspace: base.WorkspaceName,
        work_ms: float,
        now_s: float,
    ) -> None:
        factor = self._decay.move_landmark(now_s)
        if factor is not None:
            self._requested.scale(factor)
            self._served.scale(factor)
        work.add(workspace, work_ms * self._decay.find_weight(now_s))

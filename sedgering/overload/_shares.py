"""Shares the room of one gate among the workspaces that ask it."""

import enum

from sedgering import base
from sedgering.overload import _fading
from sedgering.overload import _groups

__all__ = ['RoomShares', 'Standing']

#: Time constant over which shares are met: some work times, so that a
#: workspace that floods is told from one that had two calls by chance.
MEMORY_S = 2.0
#: By how much the share of a workspace may exceed its fair one before its
#: calls go after others: one call of ten, below what chance gives.
OVER_SHARE = 1.1
#: A workspace that is served less often than all by this factor goes before
#: the others.  None may fall below a quarter; at a half there is time left.
STARVED_SHARE = 0.5
#: Work that a workspace must have asked for before it counts as starved, in
#: calls: fewer are refused by chance.
LEAST_CALLS = 3.0


class Standing(enum.IntEnum):
    """How a workspace has fared; smaller values go first."""

    #: Served far less often than the others.
    STARVED = 0
    USUAL = 1
    #: It has had more than its fair share.
    OVER = 2


class RoomShares:
    """What each workspace asked of a gate lately, and what it got."""

    def __init__(self):
        self._asked = _groups.WorkspaceGroups()
        self._served = _groups.WorkspaceGroups()
        self._fading = _fading.Fading(MEMORY_S)

    def note_asked(
        self, workspace: base.WorkspaceName, work_ms: float, now_s: float
    ) -> None:
        """Take in a call that has arrived."""
        self._note(self._asked, workspace, work_ms, now_s)

    def note_served(
        self, workspace: base.WorkspaceName, work_ms: float, now_s: float
    ) -> None:
        """Take in a call that got a place."""
        self._note(self._served, workspace, work_ms, now_s)

    def judge(
        self, workspace: base.WorkspaceName, work_ms: float, now_s: float
    ) -> Standing:
        """Say how a workspace has fared.

        Parameters
        ----------
        workspace : str
            That asks.
        work_ms : float
            Usual work of its call.
        now_s : float
            Time of the event loop.
        """
        if workspace == base.NO_WORKSPACE:
            return Standing.USUAL
        asked_ms = self._asked.find_ms(workspace)
        served_ms = self._served.find_ms(workspace)
        least_ms = LEAST_CALLS * work_ms * self._fading.find_weight(now_s)
        if asked_ms >= least_ms and self._is_starved(asked_ms, served_ms):
            return Standing.STARVED
        level_ms = _groups.find_fair_level(
            self._asked.list_ms(), self._served.total_ms
        )
        is_over = served_ms > OVER_SHARE * level_ms
        return Standing.OVER if is_over else Standing.USUAL

    def _is_starved(self, asked_ms: float, served_ms: float) -> bool:
        all_share = self._served.total_ms / self._asked.total_ms
        return served_ms < STARVED_SHARE * all_share * asked_ms

    def _note(
        self,
        groups: _groups.WorkspaceGroups,
        workspace: base.WorkspaceName,
        work_ms: float,
        now_s: float,
    ) -> None:
        factor = self._fading.renew(now_s)
        if factor is not None:
            self._asked.scale(factor)
            self._served.scale(factor)
        groups.note(workspace, work_ms * self._fading.find_weight(now_s))

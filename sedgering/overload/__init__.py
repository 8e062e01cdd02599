"""Decides which calls are served under overload; does no I/O."""

from sedgering.overload._admission import AskedCall
from sedgering.overload._admission import LevelTable
from sedgering.overload._admission import Verdict
from sedgering.overload._fair_share import find_fair_level
from sedgering.overload._fair_share import WorkspaceWork
from sedgering.overload._retry_after import is_hasty
from sedgering.overload._retry_after import REJECTED_AFTER_SHARES
from sedgering.overload._retry_after import RETRY_AFTER_SHARES
from sedgering.overload._shares import RoomShares
from sedgering.overload._shares import Standing

__all__ = [
    'AskedCall',
    'LevelTable',
    'REJECTED_AFTER_SHARES',
    'RETRY_AFTER_SHARES',
    'RoomShares',
    'Standing',
    'Verdict',
    'WorkspaceWork',
    'find_fair_level',
    'is_hasty',
]

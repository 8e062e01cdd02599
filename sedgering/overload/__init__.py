"""Who is served where there is too little room: decisions, without I/O."""

from sedgering.overload._groups import find_fair_level
from sedgering.overload._groups import WorkspaceGroups
from sedgering.overload._level import AskedCall
from sedgering.overload._level import LevelTable
from sedgering.overload._level import Verdict
from sedgering.overload._returns import is_hasty
from sedgering.overload._returns import REJECTED_AFTER_SHARES
from sedgering.overload._returns import RETRY_AFTER_SHARES
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
    'WorkspaceGroups',
    'find_fair_level',
    'is_hasty',
]

"""Judges of the rules, on records of what was seen from outside.

They take what callers, targets and processes show, never a daemon's log, and
know nothing of how it was recorded.
"""

from sedgering.testing.judges._judging import judge_trial
from sedgering.testing.judges._judging import JUDGES
from sedgering.testing.judges._lost import Bounds
from sedgering.testing.judges._lost import Clause
from sedgering.testing.judges._lost import Departure
from sedgering.testing.judges._lost import Disruption
from sedgering.testing.judges._lost import End
from sedgering.testing.judges._lost import Finding
from sedgering.testing.judges._lost import is_in_touch
from sedgering.testing.judges._lost import PlannedWork
from sedgering.testing.judges._lost import ProcessEnd
from sedgering.testing.judges._lost import Request
from sedgering.testing.judges._lost import Scope
from sedgering.testing.judges._lost import Trial
from sedgering.testing.judges._lost import Work
from sedgering.testing.judges._lost import WorkKind

__all__ = [
    'Bounds',
    'Clause',
    'Departure',
    'Disruption',
    'End',
    'Finding',
    'JUDGES',
    'PlannedWork',
    'ProcessEnd',
    'Request',
    'Scope',
    'Trial',
    'Work',
    'WorkKind',
    'is_in_touch',
    'judge_trial',
]

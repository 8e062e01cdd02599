"""Where work goes when targets and demand are uneven: pure decisions, no I/O.

What a target tells of its load is read in one place
(:func:`decode_target_load`).
"""

from sedgering.balance._load import decode_target_load
from sedgering.balance._load import MOST_SLOTS
from sedgering.balance._load import MOST_SLOWNESS_PERCENT
from sedgering.balance._load import TargetLoad

__all__ = [
    'MOST_SLOTS',
    'MOST_SLOWNESS_PERCENT',
    'TargetLoad',
    'decode_target_load',
]

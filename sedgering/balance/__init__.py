"""Where work goes when targets and demand are uneven: pure decisions, no I/O.

What a target tells of its load is read in one place
(:func:`decode_target_load`), and the speed of its host at the moment is told
apart from that of its work (:class:`OwnSpeed`, :class:`MomentSpeed`).  How
likely a call ends in its time at a target is learned from earlier ones
(:class:`EndTimes`), and decides whether it leaves its data centre
(:class:`Distance`).
"""

from sedgering.balance._centres import CentreDemand
from sedgering.balance._distance import Distance
from sedgering.balance._distance import make_distance
from sedgering.balance._distance import Offer
from sedgering.balance._goal import EndTimes
from sedgering.balance._load import decode_target_load
from sedgering.balance._load import MOST_SLOTS
from sedgering.balance._load import MOST_SLOWNESS_PERCENT
from sedgering.balance._load import TargetLoad
from sedgering.balance._moment import MomentSpeed
from sedgering.balance._moment import UsualWork
from sedgering.balance._own import OwnSpeed

__all__ = [
    'CentreDemand',
    'Distance',
    'EndTimes',
    'MOST_SLOTS',
    'MOST_SLOWNESS_PERCENT',
    'MomentSpeed',
    'Offer',
    'OwnSpeed',
    'TargetLoad',
    'UsualWork',
    'decode_target_load',
    'make_distance',
]

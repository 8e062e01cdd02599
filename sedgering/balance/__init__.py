"""Load balancing over uneven targets and demand: pure decisions, no I/O.

:func:`decode_target_load` reads the load reports of targets.
:class:`OwnSpeed` and :class:`MomentSpeed` separate the current speed of a host
from the time that the work itself takes.  :class:`EndTimes` learns from
earlier calls how likely a call is to end in time at a target, and
:class:`RemoteThreshold` uses that to decide whether the call leaves its data
centre.
"""

from sedgering.balance._centre_demand import CentreDemand
from sedgering.balance._end_times import EndTimes
from sedgering.balance._host_speed import MomentSpeed
from sedgering.balance._host_speed import NormalWork
from sedgering.balance._own_speed import OwnSpeed
from sedgering.balance._remote import make_distance
from sedgering.balance._remote import Offer
from sedgering.balance._remote import RemoteThreshold
from sedgering.balance._target_load import decode_target_load
from sedgering.balance._target_load import MAX_SLOTS
from sedgering.balance._target_load import MAX_SLOWNESS_PERCENT
from sedgering.balance._target_load import TargetLoad

__all__ = [
    'CentreDemand',
    'EndTimes',
    'MAX_SLOTS',
    'MAX_SLOWNESS_PERCENT',
    'MomentSpeed',
    'NormalWork',
    'Offer',
    'OwnSpeed',
    'RemoteThreshold',
    'TargetLoad',
    'decode_target_load',
    'make_distance',
]

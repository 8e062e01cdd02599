"""Rollouts of a new version of targets: pure decisions, no I/O.

The operator orders that the calls of a target set move to targets of another
version of its software.  A bounded share of them goes there first
(:class:`ExposureQuota`), what both versions show is compared
(:func:`judge`), and all calls move, or none (:func:`plan_next`).  Which
version may get calls meanwhile, :class:`Permits` tells.
"""

from sedgering.rollout._evidence import bucket_of
from sedgering.rollout._evidence import Evidence
from sedgering.rollout._evidence import RouteEvidence
from sedgering.rollout._exposure import choose_exposed
from sedgering.rollout._exposure import ExposureQuota
from sedgering.rollout._exposure import rank_host
from sedgering.rollout._model import Order
from sedgering.rollout._model import Rollout
from sedgering.rollout._model import Stage
from sedgering.rollout._permits import find_majority
from sedgering.rollout._permits import make_permits
from sedgering.rollout._permits import Permits
from sedgering.rollout._permits import UNKNOWN_VERSION
from sedgering.rollout._plan import make_rollout
from sedgering.rollout._plan import plan_next
from sedgering.rollout._plan import Sight
from sedgering.rollout._verdict import is_plainly_bad
from sedgering.rollout._verdict import judge
from sedgering.rollout._verdict import Verdict

__all__ = [
    'Evidence',
    'ExposureQuota',
    'Order',
    'Permits',
    'Rollout',
    'RouteEvidence',
    'Sight',
    'Stage',
    'UNKNOWN_VERSION',
    'Verdict',
    'bucket_of',
    'choose_exposed',
    'find_majority',
    'is_plainly_bad',
    'judge',
    'make_permits',
    'make_rollout',
    'plan_next',
    'rank_host',
]

"""Canary rollouts of a new version of targets: pure decisions, no I/O.

The operator orders that the calls of a target set move to targets of another
version of its software.  First a bounded share of the calls goes to the new
version (:class:`ExposureQuota`) and the results of both versions are compared
(:func:`choose_verdict`).  Then all calls move or none (:func:`plan_next`).
:class:`Permits` says which versions may get calls in the meantime.
"""

from sedgering.rollout._evidence import compute_latency_bucket
from sedgering.rollout._evidence import Evidence
from sedgering.rollout._evidence import RouteEvidence
from sedgering.rollout._exposure import choose_exposed
from sedgering.rollout._exposure import ExposureQuota
from sedgering.rollout._exposure import rank_host
from sedgering.rollout._model import make_record
from sedgering.rollout._model import NO_ORDER
from sedgering.rollout._model import Order
from sedgering.rollout._model import Rollout
from sedgering.rollout._model import Stage
from sedgering.rollout._permits import find_majority
from sedgering.rollout._permits import make_permits
from sedgering.rollout._permits import Permits
from sedgering.rollout._permits import UNKNOWN_VERSION
from sedgering.rollout._plan import advance
from sedgering.rollout._plan import make_rollout
from sedgering.rollout._plan import Observation
from sedgering.rollout._plan import plan_next
from sedgering.rollout._record import choose_record
from sedgering.rollout._record import RecordChoice
from sedgering.rollout._sequential import Verdict
from sedgering.rollout._verdict import choose_late_verdict
from sedgering.rollout._verdict import choose_move_verdict
from sedgering.rollout._verdict import choose_verdict
from sedgering.rollout._verdict import describe_open_tests
from sedgering.rollout._verdict import is_clearly_failing

__all__ = [
    'Evidence',
    'NO_ORDER',
    'ExposureQuota',
    'Observation',
    'Order',
    'Permits',
    'RecordChoice',
    'Rollout',
    'RouteEvidence',
    'Stage',
    'UNKNOWN_VERSION',
    'Verdict',
    'advance',
    'choose_exposed',
    'choose_late_verdict',
    'choose_move_verdict',
    'choose_record',
    'choose_verdict',
    'compute_latency_bucket',
    'describe_open_tests',
    'find_majority',
    'is_clearly_failing',
    'make_permits',
    'make_record',
    'make_rollout',
    'plan_next',
    'rank_host',
]

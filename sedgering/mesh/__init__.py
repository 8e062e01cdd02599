"""The request path: target selection, admission control and retries.

Each daemon is the only caller of the target on its host. A request goes from
the daemon of its caller to the daemon of the chosen target, which runs it,
queues it, or refuses it before any work.
"""

from sedgering.mesh._budget import RetryWindow
from sedgering.mesh._callers import CallerTable
from sedgering.mesh._choice import CallCosts
from sedgering.mesh._choice import choose_local_first
from sedgering.mesh._choice import choose_member
from sedgering.mesh._choice import WeightedRoundRobin
from sedgering.mesh._config import AcceptedConfig
from sedgering.mesh._config import ConfigHolder
from sedgering.mesh._crash_records import CrashEvidence
from sedgering.mesh._crash_records import CrashId
from sedgering.mesh._crash_records import CrashRecord
from sedgering.mesh._crashes import CrashStatus
from sedgering.mesh._crashes import CrashTable
from sedgering.mesh._daemon import make_mesh_daemon
from sedgering.mesh._daemon import MeshDaemon
from sedgering.mesh._early_end import refuse_waiting
from sedgering.mesh._fleet import FleetTable
from sedgering.mesh._gate import Gate
from sedgering.mesh._gate import GateRefused
from sedgering.mesh._gate import Ticket
from sedgering.mesh._messages import Addresses
from sedgering.mesh._messages import CallAnswer
from sedgering.mesh._messages import CallOutcome
from sedgering.mesh._messages import CallUrgency
from sedgering.mesh._messages import HeaderNames
from sedgering.mesh._messages import Lifetime
from sedgering.mesh._messages import LoadReport
from sedgering.mesh._messages import MemberRow
from sedgering.mesh._messages import MeshIdentity
from sedgering.mesh._messages import RefusalReason
from sedgering.mesh._messages import TargetCall
from sedgering.mesh._messages import TargetReport
from sedgering.mesh._messages import TargetState
from sedgering.mesh._messages import UNKNOWN_BORN_MS
from sedgering.mesh._pause import PauseDetector
from sedgering.mesh._peers import PeerTable
from sedgering.mesh._rollout_store import RolloutStore
from sedgering.mesh._settings import MeshSettings
from sedgering.mesh._source import MeshSource
from sedgering.mesh._target import LocalTarget
from sedgering.mesh._watch import ConfigRow

__all__ = [
    'AcceptedConfig',
    'Addresses',
    'CallAnswer',
    'CallCosts',
    'CallOutcome',
    'CallUrgency',
    'CallerTable',
    'ConfigHolder',
    'ConfigRow',
    'CrashEvidence',
    'CrashId',
    'CrashRecord',
    'CrashStatus',
    'CrashTable',
    'FleetTable',
    'Gate',
    'GateRefused',
    'HeaderNames',
    'Lifetime',
    'LoadReport',
    'LocalTarget',
    'MemberRow',
    'MeshDaemon',
    'MeshIdentity',
    'MeshSettings',
    'MeshSource',
    'PauseDetector',
    'PeerTable',
    'RefusalReason',
    'RetryWindow',
    'RolloutStore',
    'TargetCall',
    'TargetReport',
    'TargetState',
    'Ticket',
    'UNKNOWN_BORN_MS',
    'WeightedRoundRobin',
    'choose_local_first',
    'choose_member',
    'make_mesh_daemon',
    'refuse_waiting',
]

"""Test doubles for the platform, the targets and the callers.

Used by the tests, the demo, the soak test and the benchmarks.  Within the
product, only the development programs in ``sedgering.cli`` import it.
"""

from sedgering.testing._callers import Caller
from sedgering.testing._callers import CallKind
from sedgering.testing._callers import CallRecord
from sedgering.testing._callers import judge_calls
from sedgering.testing._callers import Verdict
from sedgering.testing._census import count_entries
from sedgering.testing._engine import Faults
from sedgering.testing._engine import InMemoryPlatform
from sedgering.testing._engine import PlatformEngine
from sedgering.testing._engine import StoreMode
from sedgering.testing._exchange import Exchange
from sedgering.testing._exchange import Node
from sedgering.testing._fleet import Fleet
from sedgering.testing._fleet import free_ports
from sedgering.testing._fleet import is_listening
from sedgering.testing._fleet import make_fleet
from sedgering.testing._fleet import ProxyProcess
from sedgering.testing._mesh_fleet import make_document
from sedgering.testing._mesh_fleet import make_member_row
from sedgering.testing._mesh_fleet import MeshFleet
from sedgering.testing._mesh_fleet import MeshHost
from sedgering.testing._mesh_target import TargetBooks
from sedgering.testing._mesh_target import TargetHabit
from sedgering.testing._mesh_target import TargetStandin
from sedgering.testing._naive import make_sample_bundle
from sedgering.testing._naive import NaivePoller
from sedgering.testing._passthrough import make_passthrough
from sedgering.testing._platform_calls import encode_read
from sedgering.testing._platform_calls import encode_write
from sedgering.testing._platform_calls import make_daemon_settings
from sedgering.testing._platform_calls import make_report
from sedgering.testing._replay import OutcomeDiffers
from sedgering.testing._replay import replay_trace
from sedgering.testing._store_server import StoreServer
from sedgering.testing._store_server import StoreService
from sedgering.testing._targets import make_target
from sedgering.testing._targets import StandinTarget
from sedgering.testing._targets import TargetSettings

__all__ = [
    'CallKind',
    'CallRecord',
    'Caller',
    'Exchange',
    'Faults',
    'Fleet',
    'InMemoryPlatform',
    'MeshFleet',
    'MeshHost',
    'NaivePoller',
    'Node',
    'OutcomeDiffers',
    'PlatformEngine',
    'ProxyProcess',
    'StandinTarget',
    'StoreMode',
    'StoreServer',
    'StoreService',
    'TargetBooks',
    'TargetHabit',
    'TargetSettings',
    'TargetStandin',
    'Verdict',
    'count_entries',
    'encode_read',
    'encode_write',
    'free_ports',
    'is_listening',
    'judge_calls',
    'make_daemon_settings',
    'make_document',
    'make_fleet',
    'make_member_row',
    'make_passthrough',
    'make_report',
    'make_sample_bundle',
    'make_target',
    'replay_trace',
]

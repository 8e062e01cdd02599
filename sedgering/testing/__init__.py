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
from sedgering.testing._fault_kinds import DAY_KINDS
from sedgering.testing._fault_kinds import DEPARTURE_KINDS
from sedgering.testing._fault_kinds import Fault
from sedgering.testing._fault_kinds import FaultKind
from sedgering.testing._fault_kinds import HALTING_KINDS
from sedgering.testing._fault_kinds import HOST_PLAN_KINDS
from sedgering.testing._fault_kinds import LOSSLESS_KINDS
from sedgering.testing._fault_kinds import PLANNED_KINDS
from sedgering.testing._fault_kinds import SIGNAL_KINDS
from sedgering.testing._fault_kinds import STORE_KINDS
from sedgering.testing._fault_kinds import STRAIN_KINDS
from sedgering.testing._fleet import Fleet
from sedgering.testing._fleet import free_ports
from sedgering.testing._fleet import is_listening
from sedgering.testing._fleet import make_fleet
from sedgering.testing._fleet import ProxyProcess
from sedgering.testing._mesh_fleet import make_document
from sedgering.testing._mesh_fleet import make_member_row
from sedgering.testing._mesh_fleet import MeshFleet
from sedgering.testing._mesh_fleet import MeshHost
from sedgering.testing._mesh_target import make_answer_body
from sedgering.testing._mesh_target import make_answer_fields
from sedgering.testing._mesh_target import TargetBooks
from sedgering.testing._mesh_target import TargetHabit
from sedgering.testing._mesh_target import TargetStandin
from sedgering.testing._naive import make_sample_bundle
from sedgering.testing._naive import NaivePoller
from sedgering.testing._passthrough import make_passthrough
from sedgering.testing._platform_calls import encode_read
from sedgering.testing._platform_calls import encode_write
from sedgering.testing._platform_calls import make_daemon_settings
from sedgering.testing._platform_calls import make_process_limits
from sedgering.testing._platform_calls import make_report
from sedgering.testing._replay import OutcomeDiffers
from sedgering.testing._replay import replay_trace
from sedgering.testing._site_days import DayPlan
from sedgering.testing._site_days import make_day_plan
from sedgering.testing._site_days import make_mixed_day
from sedgering.testing._site_days import make_single_day
from sedgering.testing._site_days import PLAYED_WORDS
from sedgering.testing._sites import DayEvent
from sedgering.testing._sites import EventKind
from sedgering.testing._sites import make_site_routes
from sedgering.testing._sites import read_site
from sedgering.testing._sites import Site
from sedgering.testing._sites import SiteClass
from sedgering.testing._sites import SiteDay
from sedgering.testing._sites import SiteHost
from sedgering.testing._store_server import StoreServer
from sedgering.testing._store_server import StoreService
from sedgering.testing._targets import make_target
from sedgering.testing._targets import StandinTarget
from sedgering.testing._targets import TargetSettings

__all__ = [
    'CallKind',
    'CallRecord',
    'Caller',
    'DAY_KINDS',
    'DEPARTURE_KINDS',
    'DayEvent',
    'DayPlan',
    'EventKind',
    'Exchange',
    'Fault',
    'FaultKind',
    'Faults',
    'Fleet',
    'HALTING_KINDS',
    'HOST_PLAN_KINDS',
    'InMemoryPlatform',
    'LOSSLESS_KINDS',
    'MeshFleet',
    'MeshHost',
    'NaivePoller',
    'Node',
    'OutcomeDiffers',
    'PLANNED_KINDS',
    'PLAYED_WORDS',
    'PlatformEngine',
    'ProxyProcess',
    'SIGNAL_KINDS',
    'STORE_KINDS',
    'STRAIN_KINDS',
    'Site',
    'SiteClass',
    'SiteDay',
    'SiteHost',
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
    'make_answer_body',
    'make_answer_fields',
    'make_daemon_settings',
    'make_day_plan',
    'make_document',
    'make_fleet',
    'make_member_row',
    'make_mixed_day',
    'make_passthrough',
    'make_process_limits',
    'make_report',
    'make_sample_bundle',
    'make_single_day',
    'make_site_routes',
    'make_target',
    'read_site',
    'replay_trace',
]

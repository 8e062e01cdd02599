"""The adapter to the users' platform: names decoded once, nothing decided.

Nothing outside this package knows a name of the platform.
"""

from sedgering.platform._document import decode_document
from sedgering.platform._document import MESH
from sedgering.platform._factory import make_mesh_source
from sedgering.platform._factory import make_records_store
from sedgering.platform._metrics import MetricsService
from sedgering.platform._program import run_daemon
from sedgering.platform._readiness import ReadinessService
from sedgering.platform._reload import SettingsFollower
from sedgering.platform._reports import ReportsService
from sedgering.platform._settings import decode_settings
from sedgering.platform._settings import HostSettings
from sedgering.platform._settings import read_settings
from sedgering.platform._settings import StoreSettings
from sedgering.platform._store import StoreClient
from sedgering.platform._tables import PlatformObjects
from sedgering.platform._tables import PlatformTable
from sedgering.platform._tables import RECORDS_TABLE
from sedgering.platform._wire import HEADERS
from sedgering.platform._wire import parse_duration_ms
from sedgering.platform._wire import parse_version
from sedgering.platform._wire import SETTINGS_VARIABLE

__all__ = [
    'HEADERS',
    'HostSettings',
    'MESH',
    'MetricsService',
    'PlatformObjects',
    'PlatformTable',
    'RECORDS_TABLE',
    'SETTINGS_VARIABLE',
    'ReadinessService',
    'ReportsService',
    'SettingsFollower',
    'StoreClient',
    'StoreSettings',
    'decode_document',
    'decode_settings',
    'make_mesh_source',
    'make_records_store',
    'parse_duration_ms',
    'parse_version',
    'read_settings',
    'run_daemon',
]

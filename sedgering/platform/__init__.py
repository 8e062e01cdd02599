"""The adapter to the users' platform: names decoded once, nothing decided.

Nothing outside this package knows a name of the platform.
"""

from sedgering.platform._document import decode_document
from sedgering.platform._document import DocumentError
from sedgering.platform._document import MESH
from sedgering.platform._metrics import MetricsService
from sedgering.platform._program import run_daemon
from sedgering.platform._readiness import ReadinessService
from sedgering.platform._reload import SettingsFollower
from sedgering.platform._reports import ReportsService
from sedgering.platform._settings import decode_settings
from sedgering.platform._settings import HostSettings
from sedgering.platform._settings import read_settings
from sedgering.platform._settings import StoreSettings
from sedgering.platform._source import PlatformSource
from sedgering.platform._store import Condition
from sedgering.platform._store import Page
from sedgering.platform._store import Put
from sedgering.platform._store import StoreClient
from sedgering.platform._store import StoredRow
from sedgering.platform._wire import HEADERS
from sedgering.platform._wire import parse_duration_ms
from sedgering.platform._wire import parse_version

__all__ = [
    'Condition',
    'DocumentError',
    'HEADERS',
    'HostSettings',
    'MESH',
    'MetricsService',
    'Page',
    'PlatformSource',
    'Put',
    'ReadinessService',
    'ReportsService',
    'SettingsFollower',
    'StoreClient',
    'StoreSettings',
    'StoredRow',
    'decode_document',
    'decode_settings',
    'parse_duration_ms',
    'parse_version',
    'read_settings',
    'run_daemon',
]

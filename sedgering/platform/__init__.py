"""Adapter to the users' platform.

Translates the platform's files and messages to and from the types of this
project.  It makes no decisions, and no other package uses the platform's
names.
"""

import importlib
from typing import Any

from sedgering.platform._async_http import LoopCarrier
from sedgering.platform._document import decode_document
from sedgering.platform._document import MESH
from sedgering.platform._factory import make_mesh_source
from sedgering.platform._factory import MEMBERS_TABLE
from sedgering.platform._metrics import MetricsService
from sedgering.platform._program import run_daemon
from sedgering.platform._readiness import ReadinessService
from sedgering.platform._reload import SettingsWatcher
from sedgering.platform._reports import ReportsService
from sedgering.platform._settings import decode_settings
from sedgering.platform._settings import HostSettings
from sedgering.platform._settings import read_settings
from sedgering.platform._settings import StoreSettings
from sedgering.platform._settings import wait_for_settings
from sedgering.platform._store import decode_rows
from sedgering.platform._store import StoreClient
from sedgering.platform._tables import PlatformTable
from sedgering.platform._wire import HEADERS
from sedgering.platform._wire import parse_duration_ms
from sedgering.platform._wire import parse_version
from sedgering.platform._wire import SETTINGS_VARIABLE

__all__ = [
    'BlockingHttpClient',
    'HEADERS',
    'HostSettings',
    'LoopCarrier',
    'MEMBERS_TABLE',
    'MESH',
    'MetricsService',
    'PlatformObjectStore',
    'PlatformTable',
    'RECORDS_TABLE',
    'ReadinessService',
    'RecordsTable',
    'ReportsService',
    'SETTINGS_VARIABLE',
    'SettingsWatcher',
    'StoreClient',
    'StoreSettings',
    'decode_document',
    'decode_rows',
    'decode_settings',
    'make_mesh_source',
    'make_records_store',
    'parse_duration_ms',
    'parse_version',
    'read_settings',
    'run_daemon',
    'wait_for_settings',
]

#: Names that only tools use, with their modules.  They are imported on first
#: use: they need urllib3, which would cost each daemon 8 MB of memory.
_LAZY_MODULES = {
    'BlockingHttpClient': '_blocking_http',
    'PlatformObjectStore': '_records',
    'RECORDS_TABLE': '_records',
    'RecordsTable': '_records',
    'make_records_store': '_records',
}


def __getattr__(name: str) -> Any:
    """Import a name that only tools need on its first use."""
    module_name = _LAZY_MODULES.get(name)
    if module_name is None:
        raise AttributeError(name)
    module = importlib.import_module(f'{__name__}.{module_name}')
    return getattr(module, name)

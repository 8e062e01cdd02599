"""The platform's table service and object store, and how they are asked."""

from sedgering.platform._base import Condition
from sedgering.platform._base import ObjectStore
from sedgering.platform._base import Outcome
from sedgering.platform._base import OutcomeKind
from sedgering.platform._base import Put
from sedgering.platform._base import Row
from sedgering.platform._base import TableStore
from sedgering.platform._base import Transaction
from sedgering.platform._circuit import Circuit
from sedgering.platform._circuit import CircuitState
from sedgering.platform._http import HttpPlatform
from sedgering.platform._http import make_http_platform
from sedgering.platform._wire import ErrorBody
from sedgering.platform._wire import NOT_RUN_HEADER
from sedgering.platform._wire import ReadRequest
from sedgering.platform._wire import RowsBody
from sedgering.platform._wire import ScanRequest

__all__ = [
    'Circuit',
    'CircuitState',
    'Condition',
    'ErrorBody',
    'HttpPlatform',
    'NOT_RUN_HEADER',
    'ObjectStore',
    'Outcome',
    'OutcomeKind',
    'Put',
    'ReadRequest',
    'Row',
    'RowsBody',
    'ScanRequest',
    'TableStore',
    'Transaction',
    'make_http_platform',
]

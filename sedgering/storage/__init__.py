"""The platform's table service and object store, and how they are asked."""

from sedgering.storage._base import Condition
from sedgering.storage._base import ObjectStore
from sedgering.storage._base import Outcome
from sedgering.storage._base import OutcomeKind
from sedgering.storage._base import Put
from sedgering.storage._base import Row
from sedgering.storage._base import TableStore
from sedgering.storage._base import Transaction
from sedgering.storage._circuit import Circuit
from sedgering.storage._circuit import CircuitState
from sedgering.storage._http import HttpPlatform
from sedgering.storage._http import make_http_platform
from sedgering.storage._wire import ErrorBody
from sedgering.storage._wire import NOT_RUN_HEADER
from sedgering.storage._wire import ReadRequest
from sedgering.storage._wire import RowsBody
from sedgering.storage._wire import ScanRequest

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

"""The platform's table service and object store, and how they are asked."""

from sedgering.storage._base import Condition
from sedgering.storage._base import ObjectStore
from sedgering.storage._base import Outcome
from sedgering.storage._base import OutcomeKind
from sedgering.storage._base import Put
from sedgering.storage._base import Row
from sedgering.storage._base import RowsPage
from sedgering.storage._base import TableStore
from sedgering.storage._base import Transaction
from sedgering.storage._base import WatchedTable
from sedgering.storage._circuit import Circuit
from sedgering.storage._circuit import CircuitState
from sedgering.storage._guarded import GuardedStore
from sedgering.storage._guarded import make_guarded_store

__all__ = [
    'Circuit',
    'CircuitState',
    'Condition',
    'GuardedStore',
    'ObjectStore',
    'Outcome',
    'OutcomeKind',
    'Put',
    'Row',
    'RowsPage',
    'TableStore',
    'Transaction',
    'WatchedTable',
    'make_guarded_store',
]

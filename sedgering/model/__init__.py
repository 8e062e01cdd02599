"""Simulates load patterns against the real request path.

Admission control, target choice, retries and responses to callers are the
daemon's own code. Targets, callers and the network between hosts are simple
models. There are no sockets, no store and no threads, and time is simulated,
so that the same seed gives the same result.
"""

from sedgering.model._clock import make_virtual_runner
from sedgering.model._clock import run_virtual
from sedgering.model._loads import CallerKind
from sedgering.model._loads import Event
from sedgering.model._loads import EventKind
from sedgering.model._loads import Load
from sedgering.model._loads import load_pattern
from sedgering.model._loads import NestedCalls
from sedgering.model._loads import TargetGroup
from sedgering.model._play import play
from sedgering.model._results import KindResult
from sedgering.model._results import LoadResult

__all__ = [
    'CallerKind',
    'Event',
    'EventKind',
    'KindResult',
    'Load',
    'LoadResult',
    'NestedCalls',
    'TargetGroup',
    'load_pattern',
    'make_virtual_runner',
    'play',
    'run_virtual',
]

"""Logs and metrics."""

from typing import Any

from sedgering.observability._counts import RequestCounts
from sedgering.observability._logs import configure_logging
from sedgering.observability._logs import JsonFormatter
from sedgering.observability._refusals import RefusalLog

__all__ = [
    'JsonFormatter',
    'Metrics',
    'RefusalLog',
    'RequestCounts',
    'configure_logging',
    'make_metrics',
]

_LAZY = frozenset(('Metrics', 'make_metrics'))


def __getattr__(name: str) -> Any:
    """Import metrics on first use: their library takes 6 MB."""
    if name not in _LAZY:
        raise AttributeError(name)
    from sedgering.observability import _metrics

    return getattr(_metrics, name)

"""Logs and metrics."""

from typing import Any

from sedgering.observability._counts import RequestCounts
from sedgering.observability._logs import configure_logging
from sedgering.observability._logs import count_dropped_lines
from sedgering.observability._logs import JsonFormatter
from sedgering.observability._refusals import RefusalLog

__all__ = [
    'JsonFormatter',
    'Metrics',
    'RefusalLog',
    'RequestCounts',
    'configure_logging',
    'count_dropped_lines',
    'make_metrics',
]

_LAZY_NAMES = frozenset(('Metrics', 'make_metrics'))


def __getattr__(name: str) -> Any:
    """Import the metrics on first use: prometheus_client takes 6 MB."""
    if name not in _LAZY_NAMES:
        raise AttributeError(name)
    from sedgering.observability import _metrics

    return getattr(_metrics, name)

"""Logs and metrics."""

from sedgering.observability._logs import configure_logging
from sedgering.observability._metrics import make_metrics
from sedgering.observability._metrics import Metrics

__all__ = ['Metrics', 'configure_logging', 'make_metrics']

"""How a version reaches every proxy: relays, trees and comparison."""

from sedgering.distribution._history import ContentHistory
from sedgering.distribution._history import make_history
from sedgering.distribution._systems import make_distribution_systems
from sedgering.distribution._tables import TreeTable
from sedgering.distribution._tables import UpdateTable

__all__ = [
    'ContentHistory',
    'TreeTable',
    'UpdateTable',
    'make_distribution_systems',
    'make_history',
]

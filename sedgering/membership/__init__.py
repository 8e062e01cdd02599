"""Who is there: hosts and targets, in compact tables."""

from sedgering.membership._probe import make_compare
from sedgering.membership._rank import choose_parent
from sedgering.membership._rank import rank_of
from sedgering.membership._rank import tree_level
from sedgering.membership._rumours import RumourTable
from sedgering.membership._self import announce_target
from sedgering.membership._self import make_host_row
from sedgering.membership._self import SelfRow
from sedgering.membership._self import TargetReport
from sedgering.membership._systems import make_membership_systems
from sedgering.membership._table import BUCKETS
from sedgering.membership._table import HostTable
from sedgering.membership._table import make_host_table
from sedgering.membership._view import Endpoint
from sedgering.membership._view import TargetView

__all__ = [
    'BUCKETS',
    'Endpoint',
    'HostTable',
    'RumourTable',
    'SelfRow',
    'TargetReport',
    'TargetView',
    'announce_target',
    'choose_parent',
    'make_compare',
    'make_host_row',
    'make_host_table',
    'make_membership_systems',
    'rank_of',
    'tree_level',
]

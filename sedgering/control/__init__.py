"""The tables of one proxy, and the order in which systems run."""

from sedgering.control._systems import make_systems
from sedgering.control._systems import run_tick
from sedgering.control._tables import ControlTables
from sedgering.control._tables import make_control_tables

__all__ = [
    'ControlTables',
    'make_control_tables',
    'make_systems',
    'run_tick',
]

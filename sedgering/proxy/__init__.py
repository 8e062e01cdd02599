"""The daemon: adapters around the tables and systems of one proxy."""

from sedgering.proxy._daemon import Daemon
from sedgering.proxy._daemon import make_daemon

__all__ = ['Daemon', 'make_daemon']

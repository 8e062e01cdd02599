"""The systems of one proxy and one tick over them."""

from sedgering import base
from sedgering.control import _tables
from sedgering import distribution
from sedgering import membership

__all__ = ['make_systems', 'run_tick']


def make_systems() -> tuple[base.System, ...]:
    """Make the systems in the order in which they run.

    Membership comes first, so that distribution decides on who is there
    now; passing on news comes last, so that it travels with whatever is
    sent anyway.
    """
    merging, passing_on = membership.make_membership_systems()
    return (
        *merging,
        *distribution.make_distribution_systems(),
        *passing_on,
    )


def run_tick(
    systems: tuple[base.System, ...],
    tables: _tables.ControlTables,
    now_ms: int,
) -> None:
    """Run every system once, then empty the inbox.

    Parameters
    ----------
    systems : tuple of System
        Made by :func:`make_systems`.
    tables : ControlTables
        Their outbox holds the commands afterwards.
    now_ms : int
        Monotonic time in milliseconds.
    """
    for system in systems:
        system.run(tables, now_ms)
    tables.inbox.clear()

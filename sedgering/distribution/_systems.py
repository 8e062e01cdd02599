"""The systems of distribution, in the order in which they run."""

from sedgering import base
from sedgering.distribution import _relay
from sedgering.distribution import _tree
from sedgering.distribution import _update

__all__ = ['make_distribution_systems']


def make_distribution_systems() -> tuple[base.System, ...]:
    """Make the systems of distribution.

    A version that arrives is put in force before the tree runs, so that
    it is announced and acknowledged in the same tick.
    """
    return (
        _update.FloorSystem(),
        _relay.RelaySystem(),
        _update.UpdateSystem(),
        _tree.TreeSystem(),
        _tree.ProgressSystem(),
    )

"""Keeps the departure of the local target beyond the end of this process."""

from sedgering.mesh import _messages
from sedgering.mesh import _target

__all__ = ['Departures']


class Departures:
    """Departures that an earlier process of this daemon has acknowledged.

    An acknowledged departure is final, whatever report of the target arrives
    later.  A daemon has no memory that outlives it, so the state stands in the
    member row of its host, from which the next process takes it over.

    Parameters
    ----------
    target : LocalTarget
        State of the local target.
    """

    def __init__(self, target: _target.LocalTarget):
        self.target = target
        #: Row of a target that has left, while no target has reported itself
        #: to this process.
        self.row: _messages.MemberRow | None = None

    def take_over(self, row: _messages.MemberRow | None) -> None:
        """Take over the departure that the row of this host tells, if any.

        Parameters
        ----------
        row : MemberRow or None
            Row of this host; None when it has none.
        """
        if row is None or not row.state.is_final:
            return
        self.target.leave(row.lifetime, row.state)
        if self.target.report is None:
            self.row = row

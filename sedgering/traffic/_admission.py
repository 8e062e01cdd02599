"""How many requests to one target set are under way from this proxy.

The limit is what the targets of the set may get from here together; it
shrinks when they refuse.  Beyond it requests wait for a moment in a
bounded queue, the nearest deadline first, and are shed at once when the
queue is full.  Parties share both the limit and the queue: the one that
uses least comes next, and the one that uses most is shed first.
"""

import enum

import msgspec

from sedgering import base

__all__ = ['AdmissionTable', 'Waiter', 'WaiterState']


class WaiterState(enum.Enum):
    """What became of a request that asked to go on."""

    WAITING = 'waiting'
    ADMITTED = 'admitted'
    SHED = 'shed'


class Waiter(msgspec.Struct, eq=False):
    """A request that asked to go on.

    Parameters
    ----------
    party : PartyId
        Whose it is.
    deadline_ms : int
        The nearest deadline goes first.
    give_up_ms : int
        When it is shed if it still waits.
    state : WaiterState
        Written by the table.
    """

    party: base.PartyId
    deadline_ms: int
    give_up_ms: int
    state: WaiterState = WaiterState.WAITING


class AdmissionTable:
    """Admission to one target set.  Not thread-safe; its owner locks.

    Parameters
    ----------
    queue_limit : int
        Most requests that wait.
    wait_ms : int
        Longest wait.

    Attributes
    ----------
    limit : int
        Requests under way at a time.
    in_flight : int
        Requests under way.
    """

    def __init__(self, queue_limit: int, wait_ms: int):
        self.queue_limit = queue_limit
        self.wait_ms = wait_ms
        self.limit = 1
        self.in_flight = 0
        self._by_party: dict[base.PartyId, int] = {}
        self._waiting: list[Waiter] = []

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    def set_limit(self, limit: int) -> None:
        """Set what the targets of the set may get; at least one."""
        self.limit = max(1, limit)

    def enter(
        self, party: base.PartyId, deadline_ms: int, now_ms: int
    ) -> tuple[Waiter, list[Waiter]]:
        """Ask to go on.

        Returns
        -------
        waiter : Waiter
            Admitted, waiting or shed.
        changed : list of Waiter
            Other requests that were shed for it.
        """
        changed = self.expire(now_ms)
        waiter = Waiter(party, deadline_ms, now_ms + self.wait_ms)
        if not self._waiting and self.in_flight < self.limit:
            self._admit(waiter)
            return waiter, changed
        self._waiting.append(waiter)
        if len(self._waiting) > self.queue_limit:
            changed.append(self._shed_of_greediest())
        return waiter, changed

    def leave(self, party: base.PartyId, now_ms: int) -> list[Waiter]:
        """Note that a request ended; return waiters that changed."""
        self.in_flight -= 1
        self._by_party[party] -= 1
        if not self._by_party[party]:
            del self._by_party[party]
        changed = self.expire(now_ms)
        while self._waiting and self.in_flight < self.limit:
            changed.append(self._admit_next())
        return changed

    def expire(self, now_ms: int) -> list[Waiter]:
        """Shed requests that waited too long; return them."""
        late = [item for item in self._waiting if now_ms >= item.give_up_ms]
        for waiter in late:
            self._waiting.remove(waiter)
            waiter.state = WaiterState.SHED
        return late

    def _admit(self, waiter: Waiter) -> None:
        waiter.state = WaiterState.ADMITTED
        self.in_flight += 1
        count = self._by_party.get(waiter.party, 0)
        self._by_party[waiter.party] = count + 1

    def _admit_next(self) -> Waiter:
        chosen = min(
            self._waiting,
            key=lambda item: (
                self._by_party.get(item.party, 0),
                item.deadline_ms,
            ),
        )
        self._waiting.remove(chosen)
        self._admit(chosen)
        return chosen

    def _shed_of_greediest(self) -> Waiter:
        """Shed the last waiter of the party that uses most."""
        used = dict(self._by_party)
        for waiter in self._waiting:
            used[waiter.party] = used.get(waiter.party, 0) + 1
        waiting = {waiter.party for waiter in self._waiting}
        greediest = max(sorted(waiting), key=lambda party: used[party])
        chosen = max(
            (item for item in self._waiting if item.party == greediest),
            key=lambda item: item.deadline_ms,
        )
        self._waiting.remove(chosen)
        chosen.state = WaiterState.SHED
        return chosen

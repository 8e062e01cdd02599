"""Keeps the departure of the local target beyond the end of this process."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
import random

import msgspec

from sedgering import base
from sedgering.mesh import _departure_notice
from sedgering.mesh import _fleet
from sedgering.mesh import _messages
from sedgering.mesh import _peers
from sedgering.mesh import _source
from sedgering.mesh import _target

__all__ = ['Departures']

LOG = logging.getLogger(__name__)

#: How long the store alone is waited for.  A write takes 0.02 s.
STORE_WAIT_S = 0.3
#: How long a witness is waited for after that.  A target waits a second.
WITNESS_WAIT_S = 0.5
#: Number of daemons that are told of a departure.  Any of them can remind the
#: next process of this daemon of it.
WITNESSES = 3
STATUS_OK = 200


class Departures:
    """Departures of the local target, also to earlier processes.

    An acknowledged departure is final, whatever report of the target arrives
    later.  A daemon has no memory that outlives it, so a departure is held by
    the member row of its host, from which the next process takes it over.
    While the store cannot be reached, other daemons hold it: its witnesses.

    Parameters
    ----------
    host : HostId
        Host of this daemon.
    target : LocalTarget
        State of the local target.
    source : MeshSource
        Knows the row of this host in the store.
    fleet : FleetTable
        Hosts from which the witnesses are chosen.
    peers : PeerTable
        Connections to them.
    rng : random.Random
        Chooses the witnesses.
    make_row : callable
        Makes the row of this host from a report of its target.
    start_task : callable
        Runs a coroutine in the background.
    """

    def __init__(
        self,
        host: base.HostId,
        target: _target.LocalTarget,
        source: _source.MeshSource,
        fleet: _fleet.FleetTable,
        peers: _peers.PeerTable,
        rng: random.Random,
        make_row: Callable[[_messages.TargetReport], _messages.MemberRow],
        start_task: Callable[[Coroutine], None],
    ):
        self.host = host
        self.target = target
        self.source = source
        self.fleet = fleet
        self.peers = peers
        self.rng = rng
        self.make_row = make_row
        self.start_task = start_task
        #: Row of a target that has left, while no target has reported itself
        #: to this process.
        self.row: _messages.MemberRow | None = None
        #: The same while it is not known which target the stored row names.
        self._pending: _messages.MemberRow | None = None
        #: Departure that a witness holds.
        self._witnessed: _messages.Lifetime | None = None
        self._changed = asyncio.Event()

    def take_over(self, stored: _messages.MemberRow | None) -> None:
        """Take over the departure that the row of this host tells, if any.

        Parameters
        ----------
        stored : MemberRow or None
            Row of this host in the store; None when it has none.
        """
        pending, self._pending = self._pending, None
        if pending is not None and self.target.report is None:
            self.row = _merge(stored, pending) or self.row
        if stored is not None and stored.state.is_final:
            self.target.leave(stored.lifetime, stored.state)
            if self.target.report is None:
                self.row = stored
        self._note_change()

    def note(self, row: _messages.MemberRow) -> None:
        """Record a departure of which a witness reminds this daemon."""
        self.target.leave(row.lifetime, row.state)
        if self.target.report is None:
            self._add_pending(row)

    def leave(
        self, lifetime: _messages.Lifetime, target_set: base.TargetSetName
    ) -> bool:
        """Record that a lifetime has deregistered.

        Returns
        -------
        bool
            Whether anything changed that peers must be told.
        """
        if self.target.leave(lifetime):
            return True
        if self.target.report is not None:
            return False
        known = self.row
        report = _messages.TargetReport(
            target=lifetime.target,
            target_set=target_set,
            slots=0,
            state=_messages.TargetState.GONE,
            cold_ms=0,
            sequence=0,
            born_ms=lifetime.born_ms,
        )
        self._add_pending(self.make_row(report))
        return self.row != known

    def _add_pending(self, row: _messages.MemberRow) -> None:
        """Publish a departure unless the stored row names a later target."""
        self._pending = row
        if self.source.members.revision:
            self.take_over(self.source.stored_row)

    async def hold(
        self,
        lifetime: _messages.Lifetime,
        row: _messages.MemberRow | None,
    ) -> bool:
        """Wait until a departure outlives this process.

        Parameters
        ----------
        lifetime : Lifetime
            Lifetime that is leaving.
        row : MemberRow or None
            Row of this host that tells it; None if there is none.

        Returns
        -------
        bool
            Whether it does, so that it may be acknowledged.
        """
        if self._is_held(lifetime):
            return True
        # An earlier witness may have restarted, or forgotten the departure.
        self._witnessed = None
        if row is not None and row.state.is_final:
            self._tell_witnesses(row)
        if await self._wait(lambda: self._is_held(lifetime), STORE_WAIT_S):
            return True
        if await self._wait(
            lambda: self._is_held(lifetime) or self._is_witnessed(lifetime),
            WITNESS_WAIT_S,
        ):
            return True
        LOG.warning('departure not held', extra={'target': lifetime.target})
        return False

    def _is_held(self, lifetime: _messages.Lifetime) -> bool:
        """Whether the store holds a departure, or nothing needs to."""
        stored = self.source.stored_row
        if (
            stored is not None
            and stored.state.is_final
            and stored.target == lifetime.target
            and stored.born_ms >= lifetime.born_ms
        ):
            return True
        return self.target.is_superseded(lifetime)

    def _is_witnessed(self, lifetime: _messages.Lifetime) -> bool:
        witnessed = self._witnessed
        return (
            witnessed is not None
            and witnessed.target == lifetime.target
            and witnessed.born_ms >= lifetime.born_ms
        )

    def _tell_witnesses(self, row: _messages.MemberRow) -> None:
        """Tell some daemons of a departure."""
        others = [
            other
            for other in self.fleet.members.values()
            if other.host != self.host
        ]
        data = _departure_notice.encode_notice(row)
        for other in self.rng.sample(others, min(WITNESSES, len(others))):
            self.start_task(self._tell(other, row.lifetime, data))

    async def _tell(
        self,
        other: _messages.MemberRow,
        lifetime: _messages.Lifetime,
        data: bytes,
    ) -> None:
        answer = await self.peers.find(other).ask(
            data, 'departure notice not delivered'
        )
        if answer is not None and answer.status == STATUS_OK:
            self._witnessed = lifetime
            self._note_change()

    async def _wait(
        self, condition: Callable[[], bool], wait_s: float
    ) -> bool:
        """Wait for a condition; return whether it holds."""
        try:
            async with asyncio.timeout(wait_s):
                while not condition():
                    await self._changed.wait()
        except TimeoutError:
            return condition()
        return True

    def _note_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _merge(
    stored: _messages.MemberRow | None, departure: _messages.MemberRow
) -> _messages.MemberRow | None:
    """Return the row that tells a departure.

    Returns None where the stored row names another target: that one may be
    running, and the one that has left has ended before it.
    """
    if stored is None:
        return departure
    is_other = stored.target != departure.target
    if is_other or departure.lifetime.is_before(stored.lifetime):
        return None
    return msgspec.structs.replace(
        stored,
        state=departure.state,
        cold_ms=0,
        born_ms=max(stored.born_ms, departure.born_ms),
    )

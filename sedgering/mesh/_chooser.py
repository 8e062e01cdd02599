"""Chooses which target a request goes to, one attempt after the other."""

from collections.abc import Sequence

import msgspec

from sedgering import base
from sedgering.mesh import _choice
from sedgering.mesh import _messages
from sedgering.mesh import _peers
from sedgering.mesh import _search
from sedgering.mesh import _standing
from sedgering.mesh import _state

__all__ = ['ChosenCall', 'TargetChooser']

#: Share of the typical work time that must be left until the goal for a
#: request to count as one that may still meet it.
HOPE_SHARE = 0.7
#: Hosts of the own data centre that are asked for a free place before one
#: elsewhere is thought of: with one of two full another is free more often
#: than not.
NEAR_ASKS = 2


class ChosenCall(msgspec.Struct, frozen=True):
    """What a choice needs to know of a request.

    Parameters
    ----------
    target_set, route : str
        Where it goes.
    body_bytes : int
        Size of its body.
    urgency : CallUrgency
        Who waits for it.
    deadline_s, goal_s : float
        Times of the event loop.
    """

    target_set: base.TargetSetName
    route: base.RouteName
    body_bytes: int
    urgency: _messages.CallUrgency
    deadline_s: float
    goal_s: float


class TargetChooser:
    """Chooses targets for one request, by what earlier attempts told.

    Parameters
    ----------
    state : RequestState
        Shared by all requests.
    call : ChosenCall
        The request.
    standing : KnownRequest
        What is known of it.
    search : Search
        For a free place.
    """

    def __init__(
        self,
        state: _state.RequestState,
        call: ChosenCall,
        standing: _standing.KnownRequest,
        search: _search.Search,
    ):
        self.state = state
        self.call = call
        self.standing = standing
        self.search = search
        #: Hosts that had no free place, when that was asked.
        self.busy_answers = 0
        #: Gates that refused since the last long silence.
        self.sheds = 0
        #: Hosts that may be asked again, or had no target that listens.
        self.corrections = 0
        #: Whether a host could not be reached: a connection that is open
        #: spares the caller another wait.
        self.was_unreachable = False
        self.asked: list[base.HostId] = []
        #: Of these, the ones that are not asked again.
        self.tried: set[base.HostId] = set()
        #: Target of a version on trial, where the request went first.
        self.exposed: _peers.Peer | None = None

    @property
    def _now_s(self) -> float:
        return self.state.side.gate.now_s()

    def note_asked(self, host: base.HostId) -> None:
        """Note that an attempt goes to a host."""
        self.asked.append(host)
        self.tried.add(host)
        self.search.forget(host)

    def choose(self) -> _peers.Peer | None:
        """Choose where the request goes next; None where to nobody."""
        if not self.asked and not self.standing.is_suspect:
            peer = self._choose_exposed()
            if peer is not None:
                return peer
        hops = len(self.asked) - self.corrections - self.busy_answers
        if hops >= self.state.mesh_settings.hops_limit:
            return None
        if self.standing.is_suspect:
            self.search.end(False)
            return self._choose_trial_place()
        if self.search.is_on:
            peer = self._choose_maybe_free()
            if peer is not None:
                return peer
            self.search.end(False)
        return self._choose_shortest_wait() or self._choose_untried()

    def _choose_exposed(self) -> _peers.Peer | None:
        """Choose a target of a version on trial, if it may get one more call.

        Only for a first attempt: what failed there goes to the version that
        is known to serve.
        """
        state = self.state
        now_s = self._now_s
        rows = [
            row
            for row in state.fleet.trials.get(self.call.target_set, ())
            if not state.peers.find(row).is_cold(now_s)
        ]
        if not rows or not state.exposure.may_expose(self.call.target_set):
            return None
        peer = self._choose_of(rows)
        if peer is None or peer.is_suspect(now_s):
            return None
        state.exposure.note_exposed(self.call.target_set, 1)
        self.exposed = peer
        return peer

    def _choose_trial_place(self) -> _peers.Peer | None:
        """Choose the one target at which a suspect may run now.

        All daemons choose the same one, so that a request which does harm
        ends one target after the other, and none beside them.
        """
        peer = _choice.choose_trial_place(
            self.state.fleet.by_set.get(self.call.target_set, ()),
            self.state.peers,
            self.standing.fingerprint,
            self._now_s,
        )
        is_tried = peer is not None and peer.row.host in self.tried
        return None if is_tried else peer

    def _choose_maybe_free(self) -> _peers.Peer | None:
        """Choose an untried host that may have a free place.

        Whoever is known to be full is not asked: it would say so.
        """
        peer = self._choose_untried()
        while peer is not None and peer.is_known_full(self._now_s):
            host = peer.row.host
            self.tried.add(host)
            self.search.note_busy(host, peer.told_wait_ms)
            if not self.search.is_on:
                return None
            peer = self._choose_untried()
        return peer

    def _choose_shortest_wait(self) -> _peers.Peer | None:
        """Choose among the hosts that had no free place."""
        for host in self.search.list_by_wait():
            row = self.state.fleet.members.get(host)
            if row is None or row.state is not _messages.TargetState.READY:
                continue
            peer = self.state.peers.find(row)
            if self._now_s >= peer.closed_until_s:
                return peer
        return None

    def _choose_untried(self) -> _peers.Peer | None:
        """Choose among the hosts that were not asked yet."""
        members = self.state.fleet.by_set.get(self.call.target_set, ())
        near, far = _choice.split_candidates(
            members, self.state.identity.data_centre, self.state.rng
        )
        if near and far and not self.was_unreachable:
            peer = self._choose_near_first(near, far)
        else:
            peer = self._choose_drawn(members)
        if peer is None or not self.sheds:
            return peer
        # One that is full has told the truth at once; a suspect would keep
        # the caller waiting for an answer that may never come.
        return None if peer.is_suspect(self._now_s) else peer

    def _choose_near_first(
        self,
        near: Sequence[_messages.MemberRow],
        far: Sequence[_messages.MemberRow],
    ) -> _peers.Peer | None:
        """Choose in the own data centre, unless others serve better."""
        far = self._leave_out_short(far)
        if not far:
            return self._choose_of(near)
        busy = None
        if self.search.is_on and self.search.asks >= NEAR_ASKS:
            busy = self._choose_shortest_wait()
        peer = _choice.choose_near_first(
            near, far, self.tried, self.make_costs(), self.state.rng, busy
        )
        if peer is None and busy is None:
            members = self.state.fleet.by_set[self.call.target_set]
            return self._choose_of(members)
        return peer

    def _leave_out_short(
        self, far: Sequence[_messages.MemberRow]
    ) -> Sequence[_messages.MemberRow]:
        """Leave out data centres as short of room as the own one.

        Not for calls of targets: their parents hold places until they end.
        """
        if self.call.urgency is _messages.CallUrgency.TARGET:
            return far
        is_short = self.state.centres.is_short
        now_s = self._now_s
        own = self.state.identity.data_centre
        if not is_short(self.call.target_set, own, now_s):
            return far
        return [
            row
            for row in far
            if not is_short(self.call.target_set, row.data_centre, now_s)
        ]

    def _choose_drawn(
        self, members: Sequence[_messages.MemberRow]
    ) -> _peers.Peer | None:
        """Choose among some of a set, wherever they are."""
        candidates = _choice.draw_candidates(
            members, self.state.identity.data_centre, self.state.rng
        )
        peer = self._choose_of(candidates)
        if peer is None and candidates is not members:
            return self._choose_of(members)
        return peer

    def _choose_of(
        self, members: Sequence[_messages.MemberRow]
    ) -> _peers.Peer | None:
        return _choice.choose_member(
            members,
            self.tried,
            self.make_costs(),
            self.state.rng,
            self.was_unreachable,
        )

    def make_costs(self) -> _choice.CallCosts:
        """Make what the call costs, by the time that it has now."""
        now_s = self._now_s
        left_ms = self.find_goal_ms(now_s)
        if not left_ms:
            left_ms = (self.call.deadline_s - now_s) * 1000
        return _choice.CallCosts(
            self.state.peers,
            self.state.identity.data_centre,
            self.call.route,
            self.call.body_bytes,
            self.call.urgency is _messages.CallUrgency.TARGET,
            now_s,
            left_ms,
        )

    def find_goal_ms(self, now_s: float) -> int:
        """Return the time left until the goal; 0 when it cannot be met."""
        goal_ms = int((self.call.goal_s - now_s) * 1000)
        typical_ms = self.state.peers.typical_work_ms(self.call.route)
        return goal_ms if goal_ms > typical_ms * HOPE_SHARE else 0

"""Chooses the target of each attempt of a request."""

from collections.abc import Sequence

import msgspec

from sedgering import base
from sedgering.mesh import _choice
from sedgering.mesh import _messages
from sedgering.mesh import _peers
from sedgering.mesh import _request_status
from sedgering.mesh import _search
from sedgering.mesh import _state

__all__ = ['CallParameters', 'TargetChooser']

#: Share of the typical work time that must be left until the goal; with less,
#: the goal counts as out of reach.
FEASIBLE_GOAL_SHARE = 0.7
#: Local hosts that are asked for a free slot before a remote one is
#: considered: when half of the hosts are full, two probes find a free slot
#: more often than not.
LOCAL_PROBES_LIMIT = 2


class CallParameters(msgspec.Struct, frozen=True):
    """Properties of a request that decide which target it goes to.

    Parameters
    ----------
    target_set, route : str
        Target set that serves the request, and route that it matched.
    body_bytes : int
        Size of the request body.
    urgency : CallUrgency
        Whether a caller or a target waits for the answer.
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
    """Chooses targets for one request from the results of its attempts.

    Parameters
    ----------
    state : RequestState
        Shared by all requests.
    call : CallParameters
        Properties of the request.
    request_status : RequestStatus
        Crash evidence against the request.
    search : FreeSlotSearch
        Search for a target with a free slot.
    """

    def __init__(
        self,
        state: _state.RequestState,
        call: CallParameters,
        request_status: _request_status.RequestStatus,
        search: _search.FreeSlotSearch,
    ):
        self.state = state
        self.call = call
        self.request_status = request_status
        self.search = search
        #: Hosts that refused because they had no free slot.
        self.busy_refusals = 0
        #: Refusals by load shedding since the last long silence.
        self.shed_refusals = 0
        #: Attempts that do not count towards the hops limit: the host named
        #: another target, or had none that listens.
        self.uncounted_hops = 0
        #: Whether a host could not be reached. Peers with an open connection
        #: are then preferred, to spare the caller another connect timeout.
        self.was_unreachable = False
        self.asked_hosts: list[base.HostId] = []
        #: Hosts that are not asked again.
        self.tried: set[base.HostId] = set()
        #: Target of a version on trial that the first attempt went to.
        self.exposed: _peers.Peer | None = None

    @property
    def _now_s(self) -> float:
        return self.state.target_client.gate.now_s()

    def record_attempt(self, host: base.HostId) -> None:
        """Record that an attempt goes to a host."""
        self.asked_hosts.append(host)
        self.tried.add(host)
        self.search.forget(host)

    def choose(self) -> _peers.Peer | None:
        """Choose the target of the next attempt; None when there is none."""
        if not self.asked_hosts and not self.request_status.is_suspect:
            peer = self._choose_exposed()
            if peer is not None:
                return peer
        hops = len(self.asked_hosts) - self.uncounted_hops - self.busy_refusals
        if hops >= self.state.mesh_settings.hops_limit:
            return None
        if self.request_status.is_suspect:
            self.search.end(False)
            return self._choose_trial_target()
        if self.search.is_on:
            peer = self._choose_possibly_free()
            if peer is not None:
                return peer
            self.search.end(False)
        return self._choose_shortest_wait() or self._choose_untried()

    def _choose_exposed(self) -> _peers.Peer | None:
        """Choose a target of a version on trial, if its quota allows a call.

        Only for a first attempt: a request that fails there is retried at the
        version that is known to work.
        """
        state = self.state
        now_s = self._now_s
        rows = [
            row
            for row in state.fleet.trials.get(self.call.target_set, ())
            if not state.peers.find(row).is_cold(now_s)
        ]
        target_set, route = self.call.target_set, self.call.route
        if not rows or not state.exposure.may_expose(target_set, route):
            return None
        peer = self._choose_among(rows)
        if peer is None or peer.is_suspect(now_s):
            return None
        state.exposure.note_exposed(target_set, route, 1)
        self.exposed = peer
        return peer

    def _choose_trial_target(self) -> _peers.Peer | None:
        """Choose the one target at which a suspect request may run now.

        All daemons choose the same target, so that a request that crashes
        targets crashes one after the other, never several at once.
        """
        peer = _choice.choose_suspect_target(
            self.state.fleet.ready_by_set.get(self.call.target_set, ()),
            self.state.peers,
            self.request_status.fingerprint,
            self._now_s,
        )
        is_tried = peer is not None and peer.row.host in self.tried
        return None if is_tried else peer

    def _choose_possibly_free(self) -> _peers.Peer | None:
        """Choose an untried host that may have a free slot.

        Hosts known to be full are skipped: they would refuse.
        """
        peer = self._choose_untried()
        while peer is not None and peer.is_known_full(self._now_s):
            host = peer.row.host
            self.tried.add(host)
            self.search.note_busy(host, peer.reported_wait_ms)
            if not self.search.is_on:
                return None
            peer = self._choose_untried()
        return peer

    def _choose_shortest_wait(self) -> _peers.Peer | None:
        """Choose among the hosts that had no free slot."""
        for host in self.search.list_by_wait():
            row = self.state.fleet.members.get(host)
            if row is None or row.state is not _messages.TargetState.READY:
                continue
            peer = self.state.peers.find(row)
            if self.state.peers.may_call(peer, self._now_s):
                return peer
        return None

    def _choose_untried(self) -> _peers.Peer | None:
        """Choose among the hosts that have not been tried."""
        members = self.state.fleet.ready_by_set.get(self.call.target_set, ())
        near, far = _choice.split_candidates(
            members, self.state.identity.data_centre, self.state.rng
        )
        if near and far and not self.was_unreachable:
            peer = self._choose_local_first(near, far)
        else:
            peer = self._choose_sampled(members)
        if peer is None or not self.shed_refusals:
            return peer
        # A full target refuses at once; a suspect one would keep the caller
        # waiting for an answer that may never come.
        return None if peer.is_suspect(self._now_s) else peer

    def _choose_local_first(
        self,
        near: Sequence[_messages.MemberRow],
        far: Sequence[_messages.MemberRow],
    ) -> _peers.Peer | None:
        """Choose in the own data centre, unless a remote one serves better."""
        far = self._exclude_overloaded(far)
        if not far:
            return self._choose_among(near)
        busy = None
        if self.search.is_on and self.search.probes >= LOCAL_PROBES_LIMIT:
            busy = self._choose_shortest_wait()
        peer = _choice.choose_local_first(
            near, far, self.tried, self.make_costs(), self.state.rng, busy
        )
        if peer is None and busy is None:
            members = self.state.fleet.ready_by_set[self.call.target_set]
            return self._choose_among(members)
        return peer

    def _exclude_overloaded(
        self, far: Sequence[_messages.MemberRow]
    ) -> Sequence[_messages.MemberRow]:
        """Exclude remote data centres that are overloaded like the own one.

        Not for calls of targets: their parent calls hold slots until they end.
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

    def _choose_sampled(
        self, members: Sequence[_messages.MemberRow]
    ) -> _peers.Peer | None:
        """Choose among a sample of a target set from all data centres."""
        candidates = _choice.sample_candidates(
            members, self.state.identity.data_centre, self.state.rng
        )
        peer = self._choose_among(candidates)
        if peer is None and candidates is not members:
            return self._choose_among(members)
        return peer

    def _choose_among(
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
        """Make the cost estimator of the call for the time it has left."""
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
        return goal_ms if goal_ms > typical_ms * FEASIBLE_GOAL_SHARE else 0

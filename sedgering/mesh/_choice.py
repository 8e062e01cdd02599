"""Chooses the target set, and the target within it, for a request."""

from collections.abc import Collection
from collections.abc import Sequence
import random
import zlib

from sedgering import balance
from sedgering import base
from sedgering import bundle as bundles
from sedgering.mesh import _messages
from sedgering.mesh import _peers

__all__ = [
    'CallCosts',
    'WeightedRoundRobin',
    'choose_local_first',
    'choose_member',
    'choose_suspect_target',
    'sample_candidates',
    'split_candidates',
]

#: Relative noise on estimates, so that daemons with the same load reports do
#: not all choose the same target.
NOISE_SHARE = 0.15
#: Queueing time on a link at 50 % utilisation. Uploading 60 kB takes 48 ms on
#: 10 Mbit/s; this is twice as much, since other transfers wait behind the
#: upload.
HALF_USED_LINK_WAIT_MS = 100
#: Utilisation is capped here: at 1 the estimated wait would be infinite.
MAX_LINK_SHARE = 0.95
BITS_PER_BYTE = 8
#: Answers that take less time on the link do not wait behind large ones.
SHORT_ANSWER_MS = 10.0
#: Relative cost added per share of calls that a target fails. One that fails
#: half of them needs two attempts, of which the first is lost. The factor
#: ranks targets; it is not a duration.
FAILURE_PENALTY = 5.0
#: Targets that are compared for one call. A comparison takes 3 us: all 24
#: targets of a set take 66 us, 12 take 38 us, and 12 out of 300 take 71 us.
#: Two random choices are nearly as good as comparing all targets; this is six
#: times as many.
MAX_CANDIDATES = 12
#: Maximum number of local targets among the candidates.
MAX_LOCAL_CANDIDATES = 8


class WeightedRoundRobin:
    """Smooth weighted round robin over the target sets of a route.

    Each target set stays within one request of its share. Random draws
    would miss the weights by chance.
    """

    def __init__(self):
        self._balances: dict[
            tuple[base.RouteName, tuple], dict[base.TargetSetName, float]
        ] = {}

    def choose(self, route: bundles.Route) -> base.TargetSetName:
        """Return the next target set in turn."""
        if len(route.targets) == 1:
            return route.targets[0].target_set
        key = (route.name, route.targets)
        balances = self._balances.get(key)
        if balances is None:
            balances = dict.fromkeys(
                (share.target_set for share in route.targets), 0.0
            )
            self._balances[key] = balances
        total = 0
        for share in route.targets:
            balances[share.target_set] += share.weight
            total += share.weight
        chosen = max(balances, key=balances.get)
        balances[chosen] -= total
        return chosen

    def retain(self, routes: Collection[bundles.Route]) -> None:
        """Drop the state of routes that are no longer in force."""
        if not self._balances:
            return
        keys = {(route.name, route.targets) for route in routes}
        for key in [key for key in self._balances if key not in keys]:
            del self._balances[key]


class CallCosts:
    """Estimates the cost of one call at each of several targets.

    Terms that are the same for all targets are computed once per call.

    Parameters
    ----------
    peers : PeerTable
        Load and failures of the targets.
    data_centre : DataCentre
        Of this daemon.
    route : str
        Route that the request matched; work times are kept by route.
    body_bytes : int
        Size of the request body.
    is_nested : bool
        Whether a target waits for the call.
    now_s : float
        Time of the event loop.
    left_ms : float
        Time within which the call should end.
    """

    def __init__(
        self,
        peers: _peers.PeerTable,
        data_centre: base.DataCentre,
        route: base.RouteName,
        body_bytes: int,
        is_nested: bool,
        now_s: float,
        left_ms: float = 0.0,
    ):
        self.peers = peers
        self.now_s = now_s
        self._data_centre = data_centre
        self._route = route
        self._body_bytes = body_bytes
        self._is_nested = is_nested
        self._left_ms = left_ms
        self._typical_ms = peers.typical_work_ms(route)
        self._answer_bytes = peers.typical_answer_bytes(route)
        limits = peers.mesh_settings
        way_bytes = body_bytes + self._answer_bytes
        remote_ms = limits.remote_penalty_ms
        remote_ms += limits.remote_penalty_us_per_byte * way_bytes / 1000
        self._remote_ms = remote_ms
        self.distance = balance.make_distance(
            limits.remote_gain_percent,
            limits.remote_gain_percent_per_kb,
            way_bytes,
            remote_ms,
        )

    def estimate_ms(self, peer: _peers.Peer) -> float:
        """Estimate the time until a target would finish this call."""
        now_s = self.now_s
        limit = peer.find_limit(now_s)
        present = peer.estimate_present(now_s, self._is_nested)
        turns = max(0.0, present + 1 - limit) / limit
        # Partly loaded targets cost more before they are full.
        spread = 0.1 * present / limit
        slowness = peer.find_slowness(now_s)
        work_ms = peer.estimate_work_ms(self._route, self._typical_ms, now_s)
        work_ms *= slowness
        cost_ms = work_ms + peer.work_ms * slowness * (turns + spread)
        if self._is_nested:
            # Each call that is overtaken is delayed by the work of this one.
            overtaken = peer.estimate_present(now_s, False) - present
            cost_ms += max(0.0, overtaken) * work_ms / limit
        cost_ms += peer.find_rate_wait_ms(now_s)
        cost_ms *= 1 + FAILURE_PENALTY * peer.estimate_failed_share(now_s)
        if peer.row.link_mbps:
            cost_ms += self._estimate_link_ms(peer)
            cost_ms += self._estimate_answer_ms(peer, work_ms)
        if peer.row.data_centre != self._data_centre:
            cost_ms += self._remote_ms
        return cost_ms

    def make_offer(self, peer: _peers.Peer) -> balance.Offer:
        """Estimate completion time and success probability at a target."""
        expected_ms = self.estimate_ms(peer)
        if peer.row.data_centre != self._data_centre:
            expected_ms -= self._remote_ms
        share = self.peers.end_times.find_share(
            self._route, expected_ms, self._left_ms
        )
        return balance.Offer(expected_ms, share)

    def _estimate_link_ms(self, peer: _peers.Peer) -> float:
        """Estimate the time that the request spends on the link of a target.

        Only for targets whose link bandwidth is known.
        """
        used = min(MAX_LINK_SHARE, peer.estimate_link_share(self.now_s))
        transfer_ms = (
            self._body_bytes * BITS_PER_BYTE / (peer.row.link_mbps * 1000)
        )
        return transfer_ms + HALF_USED_LINK_WAIT_MS * used / (1 - used)

    def _estimate_answer_ms(self, peer: _peers.Peer, work_ms: float) -> float:
        """Estimate the time to transfer the answer once the work is done."""
        transfer_ms = (
            self._answer_bytes * BITS_PER_BYTE / (peer.row.link_mbps * 1000)
        )
        if transfer_ms < SHORT_ANSWER_MS:
            # Short answers are sent in between the large ones.
            return transfer_ms
        wait_ms = peer.estimate_answer_wait_ms(self.now_s)
        return transfer_ms + max(0.0, wait_ms - work_ms)


def sample_candidates(
    members: Sequence[_messages.MemberRow],
    data_centre: base.DataCentre,
    rng: random.Random,
) -> Sequence[_messages.MemberRow]:
    """Sample the targets that are compared for one call.

    All targets of a small set are compared. Of a large set, some targets of
    the own data centre and some of all others are sampled, so that the cost
    of a choice does not grow with the set.

    Parameters
    ----------
    members : sequence of MemberRow
        Open targets of the set.
    data_centre : DataCentre
        Of this daemon.
    rng : random.Random
        Source of the sample.
    """
    if len(members) <= MAX_CANDIDATES:
        return members
    near = _sample_local(members, data_centre, rng)
    return [*near, *rng.sample(members, MAX_CANDIDATES - len(near))]


def _sample_local(
    members: Sequence[_messages.MemberRow],
    data_centre: base.DataCentre,
    rng: random.Random,
) -> list[_messages.MemberRow]:
    """Sample targets of the own data centre."""
    near = [row for row in members if row.data_centre == data_centre]
    if len(near) > MAX_LOCAL_CANDIDATES:
        return rng.sample(near, MAX_LOCAL_CANDIDATES)
    return near


def split_candidates(
    members: Sequence[_messages.MemberRow],
    data_centre: base.DataCentre,
    rng: random.Random,
) -> tuple[Sequence[_messages.MemberRow], Sequence[_messages.MemberRow]]:
    """Sample local and remote targets as two separate sequences.

    Together at most as many as :func:`sample_candidates` samples.

    Parameters
    ----------
    members : sequence of MemberRow
        Open targets of the set.
    data_centre : DataCentre
        Of this daemon.
    rng : random.Random
        Source of the sample.
    """
    near = _sample_local(members, data_centre, rng)
    far = [row for row in members if row.data_centre != data_centre]
    if len(far) > MAX_CANDIDATES - len(near):
        far = rng.sample(far, MAX_CANDIDATES - len(near))
    return near, far


def choose_local_first(
    near: Sequence[_messages.MemberRow],
    far: Sequence[_messages.MemberRow],
    tried: Collection[base.HostId],
    costs: CallCosts,
    rng: random.Random,
    busy: _peers.Peer | None = None,
) -> _peers.Peer | None:
    """Choose a local target, unless a remote one serves better.

    Parameters
    ----------
    near, far : sequence of MemberRow
        Open targets of the own data centre, and of others.
    tried : collection of HostId
        Hosts that are not asked again.
    costs : CallCosts
        Cost estimator of the call.
    rng : random.Random
        Noise on the estimates.
    busy : Peer or None
        Local target at which the call can wait, when those that were asked
        have no free slot.

    Returns
    -------
    Peer or None
        None when no target is left, or when waiting at `busy` serves better.
    """
    best = choose_member(near, tried, costs, rng)
    if best is not None and _has_recent_failure(best, costs.now_s):
        return choose_member([*near, *far], tried, costs, rng)
    known = busy or best
    if known is None:
        return choose_member(far, tried, costs, rng)
    offer = costs.make_offer(known)
    if not costs.distance.is_worth_asking(offer):
        return best
    other = choose_member(far, tried, costs, rng)
    if other is None or _has_recent_failure(other, costs.now_s):
        return best
    if costs.distance.prefers_far(offer, costs.make_offer(other)):
        return other
    return best


def _has_recent_failure(peer: _peers.Peer, now_s: float) -> bool:
    """Whether a target has recently failed or shed a call."""
    return peer.is_suspect(now_s) or now_s < peer.shed_until_s


def choose_member(
    members: Sequence[_messages.MemberRow],
    tried: Collection[base.HostId],
    costs: CallCosts,
    rng: random.Random,
    prefers_open: bool = False,
) -> _peers.Peer | None:
    """Choose the target that is expected to finish first.

    Parameters
    ----------
    members : sequence of MemberRow
        Open targets of the set.
    tried : collection of HostId
        Hosts that are not asked again.
    costs : CallCosts
        Cost estimator of the call.
    rng : random.Random
        Noise on the estimates.
    prefers_open : bool
        Whether peers with an open connection are preferred.

    Returns
    -------
    Peer or None
        None when no target is left.  Suspect peers are chosen only when
        there is no other.
    """
    best = None
    best_key = None
    now_s = costs.now_s
    for row in members:
        if row.host in tried:
            continue
        peer = costs.peers.find(row)
        if not costs.peers.may_call(peer, now_s):
            continue
        cost_ms = costs.estimate_ms(peer)
        cost_ms *= 1 + NOISE_SHARE * rng.random()
        key = (
            peer.is_suspect(now_s),
            prefers_open and not peer.pool.has_idle,
            now_s < peer.shed_until_s,
            cost_ms,
        )
        if best_key is None or key < best_key:
            best, best_key = peer, key
    return best


def choose_suspect_target(
    members: Sequence[_messages.MemberRow],
    peers: _peers.PeerTable,
    fingerprint: base.Fingerprint,
    now_s: float,
) -> _peers.Peer | None:
    """Choose the one target at which a suspect request may run.

    Uses highest random weight hashing (Thaler and Ravishankar 1998):
    daemons that see the same open targets agree, and when one target ends,
    only the requests assigned to it move.

    Parameters
    ----------
    members : sequence of MemberRow
        Open targets of the set.
    peers : PeerTable
        Load and failures of the targets.
    fingerprint : Fingerprint
        Of the request.
    now_s : float
        Time of the event loop.
    """
    candidates = [
        row for row in members if _is_usable(peers, peers.find(row), now_s)
    ]
    if not candidates:
        return None
    best = max(
        candidates,
        key=lambda row: zlib.crc32(f'{fingerprint} {row.host}'.encode()),
    )
    return peers.find(best)


def _is_usable(
    peers: _peers.PeerTable, peer: _peers.Peer, now_s: float
) -> bool:
    return peers.may_call(peer, now_s) and not peer.is_suspect(now_s)

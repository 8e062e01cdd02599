"""Which target set, and which target, a request goes to."""

from collections.abc import Collection
from collections.abc import Sequence
import random
import zlib

from sedgering import base
from sedgering import bundle as bundles
from sedgering.mesh import _messages
from sedgering.mesh import _peers

__all__ = [
    'WeightedTurns',
    'choose_member',
    'choose_trial_place',
    'draw_candidates',
]

#: Relative noise on estimates, so that many daemons with the same reports
#: do not all choose the same target.
NOISE_SHARE = 0.15
#: Wait on a link of which half is used.  An upload of 60 kB takes 48 ms on
#: 10 Mbit/s; it counts twice, since others wait behind it.
LINK_QUEUE_MS = 100
#: A link counts as used by this share at most: the wait would be endless.
MOST_USED = 0.95
BITS = 8
#: Answers that take less time on the link wait behind no large one.
SHORT_ANSWER_MS = 10.0
#: How much more a target costs for each share of calls that it fails: one that
#: fails half of them takes two tries, of which the first one is lost.  This
#: weighs targets against each other; it is no time that a call takes.
FAILURE_COST = 5.0
#: Targets that are compared for one call.  A comparison takes 3 us: with all
#: 24 of a set 66 us, with these 38, and 71 of 300 (bench_choice.py).
#: Two choices at random are nearly as good as all; this is six times as many.
MOST_COMPARED = 12
#: Of these, at most so many of the own data centre.
NEAR_COMPARED = 8


class WeightedTurns:
    """Smooth weighted turns: shares are met over any short run.

    Random draws miss a weight by chance; turns are off by less than one
    request for each target set.
    """

    def __init__(self):
        self._balances: dict[
            tuple[base.RouteName, tuple], dict[base.TargetSetName, float]
        ] = {}

    def choose(self, route: bundles.Route) -> base.TargetSetName:
        """Return the target set whose turn it is."""
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
        """Forget routes that are no longer in force."""
        if not self._balances:
            return
        keys = {(route.name, route.targets) for route in routes}
        for key in [key for key in self._balances if key not in keys]:
            del self._balances[key]


def estimate_ms(
    peer: _peers.Peer,
    data_centre: base.DataCentre,
    route: base.RouteName,
    body_bytes: int,
    is_nested: bool,
    peers: _peers.PeerTable,
    now_s: float,
) -> float:
    """Estimate the time until a target has finished one more request."""
    mesh_settings = peers.mesh_settings
    present = peer.estimate_present(now_s, is_nested)
    turns = max(0.0, present + 1 - peer.limit) / peer.limit
    # A busy target is preferred less before it is full.
    spread = 0.1 * present / peer.limit
    typical_ms = peers.typical_work_ms(route)
    work_ms = peer.estimate_work_ms(route, typical_ms, now_s)
    cost_ms = work_ms
    if is_nested:
        # Each call that it overtakes is delayed by its work.
        overtaken = peer.estimate_present(now_s, False) - present
        cost_ms += max(0.0, overtaken) * work_ms / peer.limit
    cost_ms += peer.work_ms * (turns + spread)
    cost_ms *= 1 + FAILURE_COST * peer.estimate_failed_share(now_s)
    cost_ms += estimate_link_ms(peer, body_bytes, now_s)
    cost_ms += estimate_answer_ms(peer, peers, route, work_ms, now_s)
    if peer.row.data_centre != data_centre:
        way_bytes = body_bytes + peers.typical_answer_bytes(route)
        cost_ms += mesh_settings.remote_penalty_ms
        cost_ms += mesh_settings.remote_penalty_us_per_byte * way_bytes / 1000
    return cost_ms


def estimate_link_ms(
    peer: _peers.Peer, body_bytes: int, now_s: float
) -> float:
    """Estimate the time that a request spends on the link of a target."""
    if not peer.row.link_mbps:
        return 0.0
    used = min(MOST_USED, peer.estimate_link_share(now_s))
    transfer_ms = body_bytes * BITS / (peer.row.link_mbps * 1000)
    return transfer_ms + LINK_QUEUE_MS * used / (1 - used)


def estimate_answer_ms(
    peer: _peers.Peer,
    peers: _peers.PeerTable,
    route: base.RouteName,
    work_ms: float,
    now_s: float,
) -> float:
    """Estimate the time that an answer takes once its work is done."""
    if not peer.row.link_mbps:
        return 0.0
    size_bytes = peers.typical_answer_bytes(route)
    transfer_ms = size_bytes * BITS / (peer.row.link_mbps * 1000)
    if transfer_ms < SHORT_ANSWER_MS:
        # It goes in between the large ones.
        return transfer_ms
    wait_ms = peer.estimate_answer_wait_ms(now_s)
    return transfer_ms + max(0.0, wait_ms - work_ms)


def draw_candidates(
    members: Sequence[_messages.MemberRow],
    data_centre: base.DataCentre,
    rng: random.Random,
) -> Sequence[_messages.MemberRow]:
    """Draw the targets that are compared for one call.

    A small set is compared whole.  Of a large one some of the own data
    centre and some of all are drawn, so that the cost of a choice does not
    grow with the set.

    Parameters
    ----------
    members : sequence of MemberRow
        Open targets of the set.
    data_centre : DataCentre
        Of this daemon.
    rng : random.Random
        Source of the draw.
    """
    if len(members) <= MOST_COMPARED:
        return members
    near = [row for row in members if row.data_centre == data_centre]
    if len(near) > NEAR_COMPARED:
        near = rng.sample(near, NEAR_COMPARED)
    return [*near, *rng.sample(members, MOST_COMPARED - len(near))]


def choose_member(
    members: Sequence[_messages.MemberRow],
    tried: Collection[base.HostId],
    peers: _peers.PeerTable,
    data_centre: base.DataCentre,
    route: base.RouteName,
    body_bytes: int,
    is_nested: bool,
    rng: random.Random,
    now_s: float,
    prefers_open: bool = False,
) -> _peers.Peer | None:
    """Choose the target that is expected to finish first.

    Parameters
    ----------
    members : sequence of MemberRow
        Open targets of the set.
    tried : collection of HostId
        Hosts that were asked already.
    peers : PeerTable
        What is known of them.
    data_centre : DataCentre
        Of this daemon.
    route : str
        That the request matched; work times are kept by route.
    body_bytes : int
        Size of the request body.
    is_nested : bool
        Whether a target waits for the call.
    rng : random.Random
        Noise on the estimates.
    now_s : float
        Time of the event loop.
    prefers_open : bool
        Whether a peer with an open connection goes before all others.

    Returns
    -------
    Peer or None
        None when there is nobody left to ask.  Suspects are asked only
        when there is nobody else.
    """
    best = None
    best_key = None
    for row in members:
        if row.host in tried:
            continue
        peer = peers.find(row)
        if now_s < peer.closed_until_s:
            continue
        cost_ms = estimate_ms(
            peer, data_centre, route, body_bytes, is_nested, peers, now_s
        )
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


def choose_trial_place(
    members: Sequence[_messages.MemberRow],
    peers: _peers.PeerTable,
    fingerprint: base.Fingerprint,
    now_s: float,
) -> _peers.Peer | None:
    """Choose the one target at which a suspect request may run.

    By highest random weight (Thaler and Ravishankar 1998): daemons that know
    of the same open targets agree, and when one of them ends, only what was
    to run there goes elsewhere.

    Parameters
    ----------
    members : sequence of MemberRow
        Open targets of the set.
    peers : PeerTable
        What is known of them.
    fingerprint : Fingerprint
        Of the request.
    now_s : float
        Time of the event loop.
    """
    candidates = [row for row in members if _may_ask(peers.find(row), now_s)]
    if not candidates:
        return None
    best = max(
        candidates,
        key=lambda row: zlib.crc32(f'{fingerprint} {row.host}'.encode()),
    )
    return peers.find(best)


def _may_ask(peer: _peers.Peer, now_s: float) -> bool:
    return now_s >= peer.closed_until_s and not peer.is_suspect(now_s)

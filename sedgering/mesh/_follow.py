"""Polls relays instead of the store, and falls back to the store."""

import asyncio
import logging

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _fleet
from sedgering.mesh import _messages
from sedgering.mesh import _peers
from sedgering.mesh import _relay
from sedgering.mesh import _source
from sedgering.mesh import _versions
from sedgering import transport

__all__ = ['RelayFollower', 'list_store_watchers']

LOG = logging.getLogger(__name__)

#: Relays polled concurrently, so that the failure of one delays no update.
RELAYS_FOLLOWED = 2
#: Time beyond that of a poll after which its answer counts as lost. A round
#: trip takes 3 ms; a busy link adds about 200 ms.
POLL_MARGIN_S = 0.4
#: How long a failed relay is not polled, at first and at most.
FIRST_BACKOFF_S = 1.0
LONGEST_BACKOFF_S = 8.0
#: Interval between checks of whether this daemon needs relays.
CHECK_INTERVAL_S = 0.25
#: Delay of a check after the moment that it waits for.
CHECK_MARGIN_S = 0.005
#: Fleet size from which each data centre has its own relays. In smaller fleets
#: two relays serve all: a poll between data centres costs 1.2 kB/s for each
#: daemon, and one call to the store costs more than a second of polls.
OWN_RELAYS_FROM_HOSTS = 32
#: How long a starting daemon waits for relays that do not answer yet before it
#: calls the store. Relays take as long to start themselves when all hosts
#: restart after a power failure.
START_WAIT_S = 0.8
#: Interval between attempts to reach a relay during this time.
START_RETRY_S = 0.1
#: Delay of the polls of the other relays while the first one is asked for a
#: full version.
FULL_VERSION_STAGGER_S = 0.15
#: Pause after a rejected difference, before a full version is requested.
REJECTED_DIFFERENCE_PAUSE_S = 0.3


class _RelaySlot:
    """One of the concurrently polled relays.

    Attributes
    ----------
    host : str or None
        Host of the relay; None while none is assigned.
    is_healthy : bool
        Whether its last answer arrived in time and said that the relay is in
        contact with the store.
    """

    def __init__(self):
        self.host: base.HostId | None = None
        self.is_healthy = False


class _RelayCandidates(msgspec.Struct):
    """Members that may relay to this daemon.

    These are the members of its data centre, or all in a small fleet.

    Parameters
    ----------
    members : dict
        Member table from which they were selected.
    rows, relays : list of MemberRow
        All these members, and those among them that are relays.
    """

    members: dict[base.HostId, _messages.MemberRow]
    rows: list[_messages.MemberRow]
    relays: list[_messages.MemberRow]


def list_store_watchers(
    members: dict[base.HostId, _messages.MemberRow], relay_from_hosts: int
) -> list[_messages.MemberRow]:
    """Return the hosts that watch the store while no relay has failed.

    Parameters
    ----------
    members : dict
        Rows of all hosts.
    relay_from_hosts : int
        Fleet size from which a few hosts watch the store for the others.
    """
    if len(members) < relay_from_hosts:
        return list(members.values())
    centres = {row.data_centre for row in members.values()}
    relays = {
        relay.host: relay
        for centre in centres
        for relay in _relay.choose_relays(_list_candidates(members, centre))
    }
    return list(relays.values())


def _list_candidates(
    members: dict[base.HostId, _messages.MemberRow],
    data_centre: base.DataCentre,
) -> list[_messages.MemberRow]:
    """Return the members that share relays with a data centre."""
    is_small = len(members) < OWN_RELAYS_FROM_HOSTS
    return [
        row
        for row in members.values()
        if is_small or row.data_centre == data_centre
    ]


class RelayFollower:
    """Polls relays, and decides whether this daemon watches the store.

    A daemon watches the store itself in a small fleet, when it is a relay,
    when other daemons poll it, and when no relay answers.

    Parameters
    ----------
    identity : MeshIdentity
        Identity of this daemon.
    fleet : FleetTable
        Hosts from which the relays are chosen.
    peers : PeerTable
        Connections to the hosts.
    source : MeshSource
        Merges the updates of the relays.

    Attributes
    ----------
    is_watching_store : bool
        Whether this daemon watches the store itself.
    """

    def __init__(
        self,
        identity: _messages.MeshIdentity,
        fleet: _fleet.FleetTable,
        peers: _peers.PeerTable,
        source: _source.MeshSource,
    ):
        self.identity = identity
        self.fleet = fleet
        self.peers = peers
        self.source = source
        self._slots = [_RelaySlot() for _ in range(RELAYS_FOLLOWED)]
        #: Failed relays: the length of the next back-off, and the end of the
        #: current one.
        self._backoffs_s: dict[base.HostId, float] = {}
        self._backoff_until_s: dict[base.HostId, float] = {}
        self.is_watching_store = True
        #: End of the time in which relays may still be starting; None before
        #: the members are known.
        self._start_until_s: float | None = None
        self._are_members_known = asyncio.Event()
        self._needs_whole = False
        self._candidates = _RelayCandidates({}, [], [])
        self._was_fresh = False

    async def run(self) -> None:
        """Poll relays until cancelled."""
        await self._are_members_known.wait()
        async with asyncio.TaskGroup() as group:
            for slot in self._slots:
                group.create_task(self._follow(slot))
            group.create_task(self._check_periodically())

    @property
    def needs_relays(self) -> bool:
        """Whether this daemon should poll relays instead of the store."""
        members = self.fleet.members
        if len(members) < self.peers.mesh_settings.relay_from_hosts:
            return False
        relays = self._find_candidates().relays
        return all(row.host != self.identity.host for row in relays)

    def note_members_known(self) -> None:
        """Start polling: the members, and so the relays, are known."""
        if self._start_until_s is None:
            self._start_until_s = self.source.loop.time() + START_WAIT_S
            self._choose_source()
            self._are_members_known.set()

    @property
    def _is_starting(self) -> bool:
        """Whether relays that do not answer may still be starting."""
        until_s = self._start_until_s
        return until_s is not None and self.source.loop.time() < until_s

    def _is_recent(self, proof_s: float) -> bool:
        """Whether data with this proof may be used without asking the store.

        If the store is impaired, asking it would not help.
        """
        age_s = self.source.loop.time() - proof_s
        limit_s = self.source.proof_plan.follow_s
        return age_s <= limit_s or self.source.is_store_impaired

    def _find_check_pause_s(self) -> float:
        """Return the time until the next check, at most until a proof ends."""
        plan = self.source.proof_plan
        age_s = self.source.loop.time() - self.source.proof_s
        left_s = plan.follow_s - age_s
        if left_s <= 0:
            return CHECK_INTERVAL_S
        return min(CHECK_INTERVAL_S, left_s + CHECK_MARGIN_S)

    async def _check_periodically(self) -> None:
        while True:
            await asyncio.sleep(self._find_check_pause_s())
            self._note_store_recovery()
            self._choose_source()

    def _note_store_recovery(self) -> None:
        """Clear all back-offs when contact with the store returns.

        The relays were backed off because they had lost the store too. Most
        regain it at the same time, and in a large fleet no other daemon should
        go on watching in their place.
        """
        is_fresh = self.source.is_fresh
        if is_fresh and not self._was_fresh:
            self._backoffs_s.clear()
            self._backoff_until_s.clear()
        self._was_fresh = is_fresh

    def _choose_source(self) -> None:
        """Choose between watching the store and following relays."""
        has_relay = self._is_starting or (
            any(slot.is_healthy for slot in self._slots)
            and self._is_recent(self.source.proof_s)
        )
        is_watching = (
            self.source.is_polled or not has_relay or not self.needs_relays
        )
        if is_watching is not self.is_watching_store:
            self.is_watching_store = is_watching
            LOG.info(
                'watching the store' if is_watching else 'following relays',
                extra={
                    'detail': ', '.join(
                        str(slot.host) for slot in self._slots
                    ),
                    'version': self.source.versions.version,
                },
            )
        self.source.set_watching(is_watching)

    async def _follow(self, slot: _RelaySlot) -> None:
        while True:
            try:
                await self._poll_or_wait(slot)
            except Exception:
                # An unexpected exception must not end the task: the relay
                # would count as healthy forever.
                LOG.exception('polling of a relay failed')
                self._set_healthy(slot, False)
                await asyncio.sleep(FIRST_BACKOFF_S)

    async def _poll_or_wait(self, slot: _RelaySlot) -> None:
        """Poll once, or wait if there is no relay to poll."""
        row = self._choose_relay(slot) if self.needs_relays else None
        slot.host = row.host if row else None
        if row is None:
            self._set_healthy(slot, False)
            await asyncio.sleep(
                START_RETRY_S if self._is_starting else CHECK_INTERVAL_S
            )
            return
        try:
            update = await self._poll(slot, row)
        except (
            exceptions.PeerError,
            transport.ConnectFailed,
            transport.ExchangeFailed,
            TimeoutError,
        ) as error:
            self._back_off(slot, row, repr(error))
            return
        await self._apply_update(slot, row, update)

    async def _poll(
        self, slot: _RelaySlot, row: _messages.MemberRow
    ) -> _relay.RelayUpdate:
        version = await self._choose_base_version(slot)
        poll = _relay.RelayPoll(
            self.identity.host,
            version,
            self.source.members.revision,
            self.source.rollouts.list_known(),
        )
        peer = self.peers.find(row)
        async with asyncio.timeout(_relay.POLL_WAIT_S + POLL_MARGIN_S):
            connection = await peer.pool.take()
            response = await connection.exchange(
                _relay.encode_poll(poll), lambda _response: True
            )
        peer.pool.put(connection)
        return _relay.decode_relay_update(response)

    async def _choose_base_version(self, slot: _RelaySlot) -> base.Version:
        """Return the version from which the relay may send differences.

        A full version is requested from one relay first: its transfer takes
        0.05 s on a slow link, and all daemons request it at once when the
        whole fleet starts.
        """
        if self._needs_full_version and slot is not self._slots[0]:
            await asyncio.sleep(FULL_VERSION_STAGGER_S)
        if self._needs_full_version:
            return base.NO_VERSION
        return self.source.versions.version

    @property
    def _needs_full_version(self) -> bool:
        """Whether a full version is needed instead of differences."""
        has_none = self.source.versions.version == base.NO_VERSION
        return self._needs_whole or has_none

    async def _apply_update(
        self,
        slot: _RelaySlot,
        row: _messages.MemberRow,
        update: _relay.RelayUpdate,
    ) -> None:
        if update.members is not None:
            self.source.merge_members(update.members)
        if update.rollouts is not None:
            self.source.merge_rollouts(update.rollouts)
        if update.version is not None and not self._take_version(update):
            await asyncio.sleep(REJECTED_DIFFERENCE_PAUSE_S)
            return
        if not update.is_fresh:
            self._back_off(slot, row, 'relay has lost the store')
            return
        if update.version is None:
            self.source.apply_version(None, update.version_revision)
        proof_s = self.source.loop.time() - (update.proof_age_ms or 0) / 1000
        self.source.note_relay_proof(proof_s)
        if not self._is_recent(proof_s):
            # If the store does not answer this daemon either, another relay
            # would not help.
            is_store_reached = self._is_recent(self.source.proof_s)
            if is_store_reached and not _relay.has_content(update):
                self._back_off(slot, row, 'relay has no recent proof')
            return
        self._backoffs_s.pop(row.host, None)
        self._set_healthy(slot, True)

    def _take_version(self, update: _relay.RelayUpdate) -> bool:
        held = self.source.versions.newest
        if held is not None and held.version >= update.version.version:
            # The other relay or the store has provided it meanwhile.
            self._needs_whole = False
            return True
        try:
            config = _versions.decode_update(update.version, held)
        except exceptions.BundleError as error:
            self._needs_whole = True
            LOG.info(
                'difference rejected',
                extra={
                    'version': update.version.version,
                    'code': int(error.code),
                    'detail': error.detail,
                },
            )
            return False
        self._needs_whole = False
        self.source.apply_version(config, update.version_revision)
        return True

    def _choose_relay(self, slot: _RelaySlot) -> _messages.MemberRow | None:
        """Choose a relay that is neither backed off nor already polled."""
        now_s = self.source.loop.time()
        used = {other.host for other in self._slots if other is not slot}
        # A daemon that is polled watches the store. While all hosts start,
        # only the relays should do so.
        ranked = (
            self._rank_relays() if self._is_starting else self._rank_hosts()
        )
        for row in ranked:
            backoff_until_s = self._backoff_until_s.get(row.host, 0.0)
            if row.host not in used and now_s >= backoff_until_s:
                return row
        return None

    def _rank_hosts(self) -> list[_messages.MemberRow]:
        """Rank hosts: relays first, then the others."""
        candidates = self._find_candidates()
        own = self.identity.host
        chosen = {row.host for row in candidates.relays}
        others = [
            row
            for row in candidates.rows
            if row.host not in chosen and row.host != own
        ]
        return self._rank_relays() + others

    def _rank_relays(self) -> list[_messages.MemberRow]:
        """Rank the relays; the order differs between daemons."""
        own = self.identity.host
        relays = [
            row for row in self._find_candidates().relays if row.host != own
        ]
        return sorted(relays, key=lambda row: _relay.hash_text(own + row.host))

    def _find_candidates(self) -> _RelayCandidates:
        """Return the possible relays; recomputed when the members change."""
        members = self.fleet.members
        if self._candidates.members is not members:
            for table in (self._backoffs_s, self._backoff_until_s):
                for host in table.keys() - members.keys():
                    del table[host]
            rows = _list_candidates(members, self.identity.data_centre)
            self._candidates = _RelayCandidates(
                members, rows, _relay.choose_relays(rows)
            )
        return self._candidates

    def _back_off(
        self, slot: _RelaySlot, row: _messages.MemberRow, detail: str
    ) -> None:
        """Back off from a relay, for longer after each failure."""
        backoff_s = START_RETRY_S
        if not self._is_starting:
            backoff_s = self._backoffs_s.get(row.host, FIRST_BACKOFF_S)
            self._backoffs_s[row.host] = min(LONGEST_BACKOFF_S, 2 * backoff_s)
        self._backoff_until_s[row.host] = self.source.loop.time() + backoff_s
        LOG.info(
            'relay backed off',
            extra={
                'peer': row.host,
                'detail': detail,
                'wait_ms': int(backoff_s * 1000),
            },
        )
        self._set_healthy(slot, False)

    def _set_healthy(self, slot: _RelaySlot, is_healthy: bool) -> None:
        if slot.is_healthy is not is_healthy:
            slot.is_healthy = is_healthy
            self._choose_source()

"""Follows relays in place of the store, and goes back to it without them."""

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

__all__ = ['RelayFollower', 'list_watching']

LOG = logging.getLogger(__name__)

#: Relays polled at the same time: news that one misses come by the other.
RELAYS_FOLLOWED = 2
#: Time beyond that of a poll after which its answer is taken as lost: a
#: round trip takes 3 ms, a busy link adds some 200 ms.
POLL_MARGIN_S = 0.4
#: For how long a relay that failed is left out, at first and at most.
FIRST_REST_S = 1.0
LONGEST_REST_S = 8.0
#: Between two looks at whether this daemon needs relays.
LOOK_S = 0.25
#: Hosts from which on each data centre has relays of its own.  Below, two
#: serve all: polls between data centres take 1.2 kB/s a daemon, and a call to
#: the store that is spared is dearer than a second of them.
OWN_RELAYS_FROM_HOSTS = 32
#: Time for which a daemon that starts leaves the store to relays that do not
#: answer yet: as long as they take to start themselves, after a loss of power.
START_S = 0.8
#: Between two tries of a relay meanwhile.
START_REST_S = 0.1
#: Time for which the other relays are left alone meanwhile.
WHOLE_STAGGER_S = 0.15
#: Pause when news could not be used, before a whole version is asked for.
REFUSED_PAUSE_S = 0.3


class _Link:
    """One of the relays that are polled.

    Attributes
    ----------
    host : str or None
        The relay; None when there is none.
    is_sound : bool
        Whether its last answer came in time and it hears the store.
    """

    def __init__(self):
        self.host: base.HostId | None = None
        self.is_sound = False


class _Near(msgspec.Struct):
    """Members of the own data centre; of a small fleet, all of them.

    Parameters
    ----------
    members : dict
        Member table that they are of.
    rows, relays : list of MemberRow
        All of them, and those among them that are relays.
    """

    members: dict[base.HostId, _messages.MemberRow]
    rows: list[_messages.MemberRow]
    relays: list[_messages.MemberRow]


def list_watching(
    members: dict[base.HostId, _messages.MemberRow], relay_from_hosts: int
) -> list[_messages.MemberRow]:
    """Return the hosts that watch the store while all are well.

    Parameters
    ----------
    members : dict
        All hosts.
    relay_from_hosts : int
        Hosts from which on a few watch the store for the others.
    """
    if len(members) < relay_from_hosts:
        return list(members.values())
    centres = {row.data_centre for row in members.values()}
    relays = {
        relay.host: relay
        for centre in centres
        for relay in _relay.choose_relays(_list_near(members, centre))
    }
    return list(relays.values())


def _list_near(
    members: dict[base.HostId, _messages.MemberRow],
    data_centre: base.DataCentre,
) -> list[_messages.MemberRow]:
    """Return the members that share relays with those of a data centre."""
    is_small = len(members) < OWN_RELAYS_FROM_HOSTS
    return [
        row
        for row in members.values()
        if is_small or row.data_centre == data_centre
    ]


class RelayFollower:
    """Polls relays of its data centre, and decides who asks the store.

    A daemon watches the store itself in a small fleet, when it is a relay,
    when others poll it, and when no relay answers.

    Parameters
    ----------
    identity : MeshIdentity
        Who this daemon is.
    fleet : FleetTable
        Hosts among which the relays are.
    peers : PeerTable
        Connections to them.
    source : MeshSource
        Takes the news in.

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
        self._links = [_Link() for _ in range(RELAYS_FOLLOWED)]
        #: Relays that failed: how long the next rest is, and until when
        #: the present one lasts.
        self._rests: dict[base.HostId, float] = {}
        self._rest_until_s: dict[base.HostId, float] = {}
        self.is_watching_store = True
        #: Until then relays are awaited; None before the members are known.
        self._start_until_s: float | None = None
        self._are_members_known = asyncio.Event()
        self._needs_whole = False
        self._near = _Near({}, [], [])
        self._was_fresh = False

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._are_members_known.wait()
        async with asyncio.TaskGroup() as group:
            for link in self._links:
                group.create_task(self._follow(link))
            group.create_task(self._look_again())

    @property
    def needs_relays(self) -> bool:
        """Whether others should watch the store for this daemon."""
        members = self.fleet.members
        if len(members) < self.peers.mesh_settings.relay_from_hosts:
            return False
        relays = self._find_near().relays
        return all(row.host != self.identity.host for row in relays)

    def note_members_known(self) -> None:
        """Begin to follow: the members are known, and the relays with them."""
        if self._start_until_s is None:
            self._start_until_s = self.source.loop.time() + START_S
            self._decide()
            self._are_members_known.set()

    @property
    def _is_starting(self) -> bool:
        """Whether relays that do not answer may do so in a moment."""
        until_s = self._start_until_s
        return until_s is not None and self.source.loop.time() < until_s

    async def _look_again(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            self._note_store_return()
            self._decide()

    def _note_store_return(self) -> None:
        """Ask the relays again once this daemon hears the store again.

        They were given up since they did not; most hear it again, too, and
        in a large fleet nobody should watch on in their place.
        """
        is_fresh = self.source.is_fresh
        if is_fresh and not self._was_fresh:
            self._rests.clear()
            self._rest_until_s.clear()
        self._was_fresh = is_fresh

    def _decide(self) -> None:
        """Watch the store, or leave it to the relays."""
        is_followed = self._is_starting or any(
            link.is_sound for link in self._links
        )
        is_watching = (
            self.source.is_polled or not is_followed or not self.needs_relays
        )
        if is_watching is not self.is_watching_store:
            self.is_watching_store = is_watching
            LOG.info(
                'watching the store' if is_watching else 'following relays',
                extra={
                    'detail': ', '.join(
                        str(link.host) for link in self._links
                    ),
                    'version': self.source.versions.version,
                },
            )
        self.source.set_watching(is_watching)

    async def _follow(self, link: _Link) -> None:
        while True:
            try:
                await self._step(link)
            except Exception:
                # A defect must not end the task: the link would seem
                # sound for good.
                LOG.exception('relay link failed')
                self._set_sound(link, False)
                await asyncio.sleep(FIRST_REST_S)

    async def _step(self, link: _Link) -> None:
        """Poll once, or wait until that is needed."""
        row = self._choose(link) if self.needs_relays else None
        link.host = row.host if row else None
        if row is None:
            self._set_sound(link, False)
            await asyncio.sleep(START_REST_S if self._is_starting else LOOK_S)
            return
        try:
            news = await self._poll(link, row)
        except (
            exceptions.PeerError,
            transport.ConnectFailed,
            transport.ExchangeFailed,
            TimeoutError,
        ) as error:
            self._give_up(link, row, repr(error))
            return
        await self._take(link, row, news)

    async def _poll(
        self, link: _Link, row: _messages.MemberRow
    ) -> _relay.RelayNews:
        version = await self._find_version_to_tell(link)
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
        return _relay.decode_relay_news(response)

    async def _find_version_to_tell(self, link: _Link) -> base.Version:
        """Return the version held, from which news may start.

        A whole version is asked of one relay first: it takes 0.05 s of a
        narrow link, and all daemons ask when all start.
        """
        if self._wants_whole and link is not self._links[0]:
            await asyncio.sleep(WHOLE_STAGGER_S)
        if self._wants_whole:
            return base.NO_VERSION
        return self.source.versions.version

    @property
    def _wants_whole(self) -> bool:
        """Whether differences lead nowhere."""
        has_none = self.source.versions.version == base.NO_VERSION
        return self._needs_whole or has_none

    async def _take(
        self, link: _Link, row: _messages.MemberRow, news: _relay.RelayNews
    ) -> None:
        if news.members is not None:
            self.source.take_members(news.members)
        if news.rollouts is not None:
            self.source.take_rollouts(news.rollouts)
        if news.version is not None and not self._take_version(news):
            await asyncio.sleep(REFUSED_PAUSE_S)
            return
        if not news.is_fresh:
            self._give_up(link, row, 'does not hear the store')
            return
        if news.version is None:
            self.source.take_version(None, news.version_revision)
        self.source.note_told()
        self._rests.pop(row.host, None)
        self._set_sound(link, True)

    def _take_version(self, news: _relay.RelayNews) -> bool:
        held = self.source.versions.newest
        if held is not None and held.version >= news.version.version:
            # It came from the other relay or from the store meanwhile.
            self._needs_whole = False
            return True
        try:
            config = _versions.decode_news(news.version, held)
        except exceptions.BundleError as error:
            self._needs_whole = True
            LOG.info(
                'difference refused',
                extra={
                    'version': news.version.version,
                    'code': int(error.code),
                    'detail': error.detail,
                },
            )
            return False
        self._needs_whole = False
        self.source.take_version(config, news.version_revision)
        return True

    def _choose(self, link: _Link) -> _messages.MemberRow | None:
        """Choose a relay that is neither left out nor polled already."""
        now_s = self.source.loop.time()
        used = {other.host for other in self._links if other is not link}
        # Whoever is polled watches the store: while all hosts start, that
        # should be the relays alone.
        ranked = self._rank_relays() if self._is_starting else self._rank()
        for row in ranked:
            rest_until_s = self._rest_until_s.get(row.host, 0.0)
            if row.host not in used and now_s >= rest_until_s:
                return row
        return None

    def _rank(self) -> list[_messages.MemberRow]:
        """Order hosts: relays first, then the others."""
        near = self._find_near()
        own = self.identity.host
        chosen = {row.host for row in near.relays}
        others = [
            row
            for row in near.rows
            if row.host not in chosen and row.host != own
        ]
        return self._rank_relays() + others

    def _rank_relays(self) -> list[_messages.MemberRow]:
        """Order the relays in an order of this daemon's own."""
        own = self.identity.host
        relays = [row for row in self._find_near().relays if row.host != own]
        return sorted(relays, key=lambda row: _relay.hash_text(own + row.host))

    def _find_near(self) -> _Near:
        """Return the members near by, worked out anew when any change."""
        members = self.fleet.members
        if self._near.members is not members:
            rows = _list_near(members, self.identity.data_centre)
            self._near = _Near(members, rows, _relay.choose_relays(rows))
        return self._near

    def _give_up(
        self, link: _Link, row: _messages.MemberRow, detail: str
    ) -> None:
        """Leave a relay out for a while."""
        rest_s = START_REST_S
        if not self._is_starting:
            rest_s = self._rests.get(row.host, FIRST_REST_S)
            self._rests[row.host] = min(LONGEST_REST_S, 2 * rest_s)
        self._rest_until_s[row.host] = self.source.loop.time() + rest_s
        LOG.info(
            'relay given up',
            extra={
                'peer': row.host,
                'detail': detail,
                'wait_ms': int(rest_s * 1000),
            },
        )
        self._set_sound(link, False)

    def _set_sound(self, link: _Link, is_sound: bool) -> None:
        if link.is_sound is not is_sound:
            link.is_sound = is_sound
            self._decide()

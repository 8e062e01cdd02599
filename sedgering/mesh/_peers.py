"""What this daemon knows of other daemons: load, failures, connections."""

import asyncio
from collections.abc import Collection
import logging

from sedgering import balance
from sedgering import base
from sedgering.mesh import _hop
from sedgering.mesh import _messages
from sedgering.mesh import _settings
from sedgering import transport

__all__ = ['PeerTable']

LOG = logging.getLogger(__name__)

#: Idle connections kept to one peer; more than run there at a time are
#: never needed.
IDLE_CONNECTIONS = 32
#: For how long a target gets nothing after a refusal as leaving or gone:
#: about as long as its row takes to change everywhere.
CLOSED_MS = 2000
#: The same when its daemon has just started and does not know it yet.
UNKNOWN_TARGET_MS = 200
#: For how long a peer gets nothing whose host answers that nobody listens:
#: its daemon is starting again, which takes some 0.3 s, or is gone, and its
#: row with it.  Asking costs a round trip of 3 ms.
REFUSED_MS = 150
#: A peer that was heard so recently is not suspected because a new connection
#: did not come about: its host lives, and the connections that are open work.
HEARD_RECENTLY_S = 0.5
#: Share of the allowed silence after which a daemon is asked whether it
#: lives: a round trip takes 3 ms, and a busy link adds some 200 ms.
ASK_SHARE = 0.4
#: Longest wait for its answer; the daemon is given up before.
ASK_TIMEOUT_S = 1.0
#: A target that answers nothing for so many of its work times is taken as
#: hung: work is spread, and one call in a hundred takes three to five times
#: as long as usual.
LATE_WORKS = 4
#: Work time assumed of a target that has told nothing yet.
UNKNOWN_WORK_MS = 100
#: Age at which the work time that a target told counts half: slow and grey
#: targets stay so for some seconds.
WORK_HALF_LIFE_MS = 3000
#: The same for the share of its link that is used: a burst lasts a few
#: seconds.
LINK_HALF_LIFE_MS = 2000
#: For how long a queue that a target told of is taken to be there still: with
#: a dozen places one gets shorter by a call each 5 to 10 ms.  In a small fleet
#: that is short of places, three of four questions for a free place went to
#: targets that had just told of a queue.
KNOWN_FULL_S = 0.04
#: How much longer work takes at a target that has just started.
COLD_COST = 2.0
#: Weight of the newest answer in the work time and the size of answers of a
#: route over all targets.
TYPICAL_WEIGHT = 0.05
#: Weight of the newest report in the calls that are there on average.
USUAL_WEIGHT = 0.2


class Peer:
    """Load, failures and connections of one peer.

    Parameters
    ----------
    row : MemberRow
        The host and its target.
    mesh_settings : MeshSettings
        Limits.
    pool : ConnectionPool
        Connections to its daemon.
    """

    def __init__(
        self,
        row: _messages.MemberRow,
        mesh_settings: _settings.MeshSettings,
        pool: transport.ConnectionPool,
    ):
        self.row = row
        self.in_flight = 0
        #: Of these, calls of targets.
        self.in_flight_nested = 0
        #: When its daemon answered anything, and when its target did.
        self.heard_s = 0.0
        self.answered_s = 0.0
        self.busy_since_s = 0.0
        self.is_asked_for_life = False
        self._silences: set[asyncio.Future] = set()
        self.report: _messages.LoadReport | None = None
        #: Work time of each route, and when it was told.
        self._route_work: dict[base.RouteName, tuple[int, float]] = {}
        self._cold_until_s = 0.0
        self._moment = balance.MomentSpeed()
        #: Calls of others that were there on average, and those of them that
        #: go before a call of a target.
        self._usual_present = 0.0
        self._usual_nested = 0.0
        self.report_in_flight = 0
        self.report_in_flight_nested = 0
        self.reported_s = 0.0
        self.failures = 0
        self.suspect_until_s = 0.0
        self.shed_until_s = 0.0
        self.closed_until_s = 0.0
        self.pool = pool
        self._settings = mesh_settings

    @property
    def limit(self) -> int:
        """Most calls at a time at the target."""
        return self.report.limit if self.report else max(1, self.row.slots)

    @property
    def work_ms(self) -> float:
        """Recent mean time at the target."""
        return self.report.work_ms if self.report else UNKNOWN_WORK_MS

    def find_slowness(self, now_s: float) -> float:
        """Return how many times as long as usual work takes there now."""
        if not self._moment.is_known:
            return 1.0
        return self._moment.find_percent(now_s) / 100

    def estimate_work_ms(
        self, route: base.RouteName, typical_ms: float, now_s: float
    ) -> float:
        """Estimate the work time of a route at the target.

        What was told is believed less the older it is: a target that was
        slow gets calls again in time, and shows whether it still is.

        Parameters
        ----------
        route : str
            Of the call.
        typical_ms : float
            Work time of the route over all targets.
        now_s : float
            Time of the event loop.
        """
        told = self._route_work.get(route)
        work_ms = typical_ms
        if told is not None:
            told_ms, told_s = told
            age_ms = (now_s - told_s) * 1000
            weight = 0.5 ** (age_ms / WORK_HALF_LIFE_MS)
            work_ms += (told_ms - typical_ms) * weight
        return work_ms * (COLD_COST if now_s < self._cold_until_s else 1)

    def estimate_failed_share(self, now_s: float) -> float:
        """Estimate the share of calls that its target fails, 0 to 1.

        Believed less the older it is, as its work times are.
        """
        if self.report is None or not self.report.failed_percent:
            return 0.0
        age_ms = (now_s - self.reported_s) * 1000
        weight = 0.5 ** (age_ms / WORK_HALF_LIFE_MS)
        return self.report.failed_percent / 100 * weight

    def is_cold(self, now_s: float) -> bool:
        """Whether the target has just started and is slow."""
        return now_s < self._cold_until_s

    def note_cold(self, until_s: float) -> None:
        """Note that the target has just started and is slow until then."""
        self._cold_until_s = until_s

    def estimate_link_share(self, now_s: float) -> float:
        """Estimate how much of the link of its host is used, 0 to 1."""
        if self.report is None or not self.report.link_percent:
            return 0.0
        age_ms = (now_s - self.reported_s) * 1000
        weight = 0.5 ** (age_ms / LINK_HALF_LIFE_MS)
        return self.report.link_percent / 100 * weight

    def estimate_answer_wait_ms(self, now_s: float) -> float:
        """Estimate how long a large answer of its target waits to leave."""
        if self.report is None:
            return 0.0
        age_ms = (now_s - self.reported_s) * 1000
        weight = 0.5 ** (age_ms / LINK_HALF_LIFE_MS)
        return self.report.answer_wait_ms * weight

    def estimate_present(self, now_s: float, is_nested: bool) -> float:
        """Estimate the calls that go before a new one at the target.

        Those of targets go before all others that wait.  Two targets of
        which one was slow and had them all, while the quick one worked on
        the queue of the others, made every nested call wait 40 to 50 ms.

        Parameters
        ----------
        now_s : float
            Time of the event loop.
        is_nested : bool
            Whether the new call is one of a target.
        """
        report = self.report
        if report is None:
            return self.in_flight
        own = self.in_flight
        others = report.running + report.waiting - self.report_in_flight
        if is_nested:
            own = self.in_flight_nested
            others = report.running + report.waiting_nested
            others -= self.report_in_flight_nested
        age_ms = (now_s - self.reported_s) * 1000
        weight = 0.5 ** (age_ms / self._settings.report_half_life_ms)
        usual = self._usual_nested if is_nested else self._usual_present
        return own + max(0, others) * weight + usual * (1 - weight)

    def is_known_full(self, now_s: float) -> bool:
        """Whether it told just now that all places are taken and others wait.

        A place that becomes free goes to one of those.
        """
        report = self.report
        if report is None or now_s - self.reported_s > KNOWN_FULL_S:
            return False
        return report.waiting > 0 and report.running >= report.limit

    @property
    def told_wait_ms(self) -> int:
        """Time for which a call waits that comes behind those it told of."""
        report = self.report
        if report is None:
            return 0
        return (report.waiting + 1) * report.work_ms // max(1, report.limit)

    def start_call(self, now_s: float, is_nested: bool) -> None:
        """Note that a call is under way."""
        if not self.in_flight:
            self.busy_since_s = now_s
        self.in_flight += 1
        self.in_flight_nested += is_nested

    def end_call(self, is_nested: bool) -> None:
        """Note that a call has ended, in whatever way."""
        self.in_flight -= 1
        self.in_flight_nested -= is_nested

    def find_silence_ms(self, now_s: float) -> float:
        """Return for how long its daemon has answered nothing at all."""
        return self._find_silence_ms(self.heard_s, now_s)

    def find_target_silence_ms(self, now_s: float) -> float:
        """Return for how long its target has answered no call."""
        return self._find_silence_ms(self.answered_s, now_s)

    def _find_silence_ms(self, heard_s: float, now_s: float) -> float:
        if not self.in_flight:
            return 0.0
        return (now_s - max(heard_s, self.busy_since_s)) * 1000

    @property
    def longest_work_ms(self) -> int:
        """Work time of the route that takes longest at the target."""
        return max(
            (work_ms for work_ms, _told_s in self._route_work.values()),
            default=UNKNOWN_WORK_MS,
        )

    def abandon(self, now_s: float) -> None:
        """Give up a daemon that is silent."""
        self.fail(now_s, f'silent, {self.in_flight} calls under way')
        self.end_waits()

    def end_waits(self) -> None:
        """Tell the calls under way that they wait for a silent target."""
        futures, self._silences = self._silences, set()
        for future in futures:
            if not future.done():
                future.set_result(None)

    def watch_silence(self) -> asyncio.Future:
        """Return what is done when the target or its daemon is silent."""
        future = asyncio.get_running_loop().create_future()
        self._silences.add(future)
        return future

    def forget_silence(self, future: asyncio.Future) -> None:
        """Give up what :meth:`watch_silence` returned."""
        self._silences.discard(future)

    async def ask_for_life(self) -> None:
        """Ask its daemon for any answer at all."""
        self.is_asked_for_life = True
        try:
            answer = await self.ask(_hop.encode_ping(), 'peer unheard')
            if answer is not None:
                self.heard_s = asyncio.get_running_loop().time()
        finally:
            self.is_asked_for_life = False

    async def ask(
        self, data: bytes, failure: str
    ) -> transport.Response | None:
        """Send its daemon what is answered at once; return the answer, if any.

        Parameters
        ----------
        data : bytes
            The encoded request.
        failure : str
            What to write where no answer comes.
        """
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                connection = await self.pool.take()
                response = await connection.exchange(
                    data, lambda _response: True
                )
        except (
            transport.ConnectFailed,
            transport.ExchangeFailed,
            TimeoutError,
        ) as error:
            LOG.info(
                failure,
                extra={'peer': self.row.host, 'detail': repr(error)},
            )
            return None
        self.pool.put(connection)
        return response

    def take_report(
        self,
        report: _messages.LoadReport | None,
        route: base.RouteName,
        now_s: float,
    ) -> None:
        """Take in what its gate told with the answer to a call."""
        self.failures = 0
        self.suspect_until_s = 0.0
        self.heard_s = now_s
        self.answered_s = now_s
        if report is None:
            return
        self.report = report
        self.report_in_flight = self.in_flight
        self.report_in_flight_nested = self.in_flight_nested
        self.reported_s = now_s
        if report.slowness_percent:
            self._moment.note(report.slowness_percent, now_s)
        others = report.running + report.waiting - self.in_flight
        self._usual_present += USUAL_WEIGHT * (
            max(0, others) - self._usual_present
        )
        nested = report.running + report.waiting_nested
        nested -= self.in_flight_nested
        self._usual_nested += USUAL_WEIGHT * (
            max(0, nested) - self._usual_nested
        )
        if report.route_work_ms:
            self._route_work[route] = (report.route_work_ms, now_s)

    def close(self, now_s: float, reason: _messages.RefusalReason) -> None:
        """Send nothing to its target for a while.

        A target that is leaving has its row changed meanwhile; a daemon
        that was restarted learns of its target again.
        """
        pause_ms = CLOSED_MS
        if reason is _messages.RefusalReason.TARGET_UNKNOWN:
            pause_ms = UNKNOWN_TARGET_MS
        if now_s >= self.closed_until_s:
            LOG.info(
                'target closed',
                extra={
                    'peer': self.row.host,
                    'target': self.row.target,
                    'reason': reason.value,
                    'wait_ms': pause_ms,
                },
            )
        self.closed_until_s = now_s + pause_ms / 1000

    def is_suspect(self, now_s: float) -> bool:
        """Whether it failed just now, and gets nothing if it can be."""
        return now_s < self.suspect_until_s

    def note_unreachable(
        self, now_s: float, detail: str, is_refused: bool
    ) -> None:
        """Note that a new connection did not come about.

        Parameters
        ----------
        now_s : float
            Time of the event loop.
        detail : str
            For logs.
        is_refused : bool
            Whether its host answered that nobody listens.
        """
        if is_refused:
            self._suspect(now_s, REFUSED_MS, detail)
        elif now_s - self.heard_s > HEARD_RECENTLY_S:
            self.fail(now_s, detail)

    def fail(self, now_s: float, detail: str) -> None:
        """Note a failed connection: it gets nothing for a while."""
        if self.is_suspect(now_s):
            return
        pause_ms = min(
            self._settings.suspect_limit_ms,
            self._settings.suspect_ms << self.failures,
        )
        self.failures = min(self.failures + 1, 8)
        self.pool.close()
        self._suspect(now_s, pause_ms, detail)

    def _suspect(self, now_s: float, pause_ms: int, detail: str) -> None:
        if self.is_suspect(now_s):
            return
        self.suspect_until_s = now_s + pause_ms / 1000
        LOG.warning(
            'peer suspect',
            extra={
                'peer': self.row.host,
                'detail': detail,
                'wait_ms': pause_ms,
            },
        )


class PeerTable:
    """Peers by host; made when they are first needed.

    Parameters
    ----------
    mesh_settings : MeshSettings
        Limits.
    """

    def __init__(self, mesh_settings: _settings.MeshSettings):
        self.mesh_settings = mesh_settings
        self._peers: dict[base.HostId, Peer] = {}
        #: How calls have ended, beside what was expected of them.
        self.end_times = balance.EndTimes()
        self._typical_ms: dict[base.RouteName, float] = {}
        self._answer_bytes: dict[base.RouteName, float] = {}

    def typical_work_ms(self, route: base.RouteName) -> float:
        """Return the work time of a route over all targets."""
        return self._typical_ms.get(route, UNKNOWN_WORK_MS)

    def take_report(
        self,
        peer: Peer,
        report: _messages.LoadReport | None,
        route: base.RouteName,
        now_s: float,
    ) -> None:
        """Take in what the gate of a peer told with the answer to a call."""
        peer.take_report(report, route, now_s)
        if report is None or not report.route_work_ms:
            return
        _note_typical(self._typical_ms, route, report.route_work_ms)

    def typical_answer_bytes(self, route: base.RouteName) -> float:
        """Return the size of answers of a route; 0 while unknown."""
        return self._answer_bytes.get(route, 0.0)

    def note_answer(self, route: base.RouteName, size_bytes: int) -> None:
        """Take in the size of one answer."""
        _note_typical(self._answer_bytes, route, size_bytes)

    def retain_routes(self, routes: Collection[base.RouteName]) -> None:
        """Forget what was learned of routes that are no longer in force."""
        for table in (self._typical_ms, self._answer_bytes):
            for route in table.keys() - set(routes):
                del table[route]
        self.end_times.retain(routes)

    def find(self, row: _messages.MemberRow) -> Peer:
        """Return the peer of a row; a new target starts unknown."""
        peer = self._peers.get(row.host)
        pool = None
        if peer is not None:
            old = peer.row
            if old is row:
                return peer
            if (old.address, old.port) != (row.address, row.port):
                peer.pool.close()
            elif old.lifetime == row.lifetime:
                return peer
            else:
                # The same daemon, or one that took its place: connections
                # that are still open lead to it.
                pool = peer.pool
        peer = Peer(row, self.mesh_settings, pool or self._make_pool(row))
        self._peers[row.host] = peer
        return peer

    def _make_pool(self, row: _messages.MemberRow) -> transport.ConnectionPool:
        return transport.ConnectionPool(
            row.address,
            row.port,
            self.mesh_settings.connect_timeout_ms / 1000,
            IDLE_CONNECTIONS,
            self.mesh_settings.peer_idle_ms / 1000,
        )

    def abandon_silent(self, now_s: float) -> None:
        """Give up daemons and targets that are silent for too long."""
        limit_ms = self.mesh_settings.silence_ms
        for peer in self._list_busy():
            if peer.find_silence_ms(now_s) > limit_ms:
                peer.abandon(now_s)
                continue
            target_limit_ms = max(limit_ms, LATE_WORKS * peer.longest_work_ms)
            if peer.find_target_silence_ms(now_s) > target_limit_ms:
                peer.end_waits()

    def _list_busy(self) -> list[Peer]:
        """Return the peers with calls under way.

        Most have none: with 195 hosts a look at all of them ten times a
        second takes 0.37 % of a core (368 us a look, and 6 us of these).
        """
        return [peer for peer in self._peers.values() if peer.in_flight]

    def list_unheard(self, now_s: float) -> list[Peer]:
        """Return peers whose daemons should be asked whether they live."""
        wait_ms = self.mesh_settings.silence_ms * ASK_SHARE
        return [
            peer
            for peer in self._list_busy()
            if not peer.is_asked_for_life
            and peer.find_silence_ms(now_s) > wait_ms
        ]

    def retain(self, hosts: frozenset[base.HostId]) -> None:
        """Forget peers that are no longer members."""
        for host in [host for host in self._peers if host not in hosts]:
            self._peers.pop(host).pool.close()


def _note_typical(
    table: dict[base.RouteName, float], route: base.RouteName, value: float
) -> None:
    """Move the mean of a route towards a new value."""
    old = table.get(route, value)
    table[route] = old + TYPICAL_WEIGHT * (value - old)

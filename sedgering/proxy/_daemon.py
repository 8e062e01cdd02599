"""Puts the parts of one sedgering-proxy together, and takes them apart."""

from collections.abc import Callable
import logging
import random
import threading
import time

import msgspec

from sedgering import base
from sedgering import clock
from sedgering import control
from sedgering import exceptions
from sedgering import membership
from sedgering import observability
from sedgering import peer
from sedgering.proxy import _admin
from sedgering.proxy import _control
from sedgering.proxy import _data_path
from sedgering.proxy import _guard
from sedgering.proxy import _shared
from sedgering.proxy import _status
from sedgering.proxy import _workers
from sedgering import settings
from sedgering import storage
from sedgering import traffic

__all__ = ['Daemon', 'make_daemon']

LOG = logging.getLogger(__name__)

STATUS_TIMEOUT_S = 2.0
#: Time between two looks at the latencies of targets.
OUTLIER_INTERVAL_MS = 1000
_OPEN_STATES = (peer.HostState.SERVING, peer.HostState.DRAINING)


class _PeerHandler(peer.PeerHandler):
    """Answers peers from the tables."""

    def __init__(self, tables: control.ControlTables, metrics):
        self.tables = tables
        self.bytes_out = metrics.control_bytes.labels('peer-tcp', 'out')

    def content_since(self, held_version: int) -> peer.Content:
        """Return the version held."""
        history = self.tables.updates.history
        if history is None:
            raise exceptions.PeerError(exceptions.Code.PEER_NOTHING_HELD)
        content = history.content_since(held_version)
        self.bytes_out.inc(len(content.body) + _workers.TCP_OVERHEAD_BYTES)
        return content

    def list_bucket_digests(self) -> list[int]:
        """Return the digests of the member buckets."""
        return list(self.tables.hosts.bucket_digests)

    def list_rows(self, buckets: list[int]) -> list[peer.HostRow]:
        """Return the rows of the buckets named."""
        return self.tables.hosts.list_bucket(frozenset(buckets))


class Daemon:
    """One sedgering-proxy.

    Parameters
    ----------
    tables : ControlTables
        State of the control thread.
    loop : ControlLoop
        The control thread.
    peers : PeerServer
        Answers peers.
    data_path : DataPath
        Answers callers.
    admin : AdminServer
        Answers operators and local targets.
    state : RequestState
        Shared by control thread and request threads.
    """

    def __init__(self, tables, loop, peers, data_path, admin, state):
        self.tables: control.ControlTables = tables
        self.loop: _control.ControlLoop = loop
        self.peers = peers
        self.data_path: _data_path.DataPath = data_path
        self.admin: _admin.AdminServer = admin
        self.state: _shared.RequestState = state

    def start(self) -> None:
        """Bind all ports and run in the background."""
        self.loop.bind()
        self.peers.start()
        self.data_path.start()
        self.loop.platform_worker.start()
        self.loop.peer_worker.start()
        self.state.guard.start()
        self.loop.start()
        self.admin.start()
        LOG.info('started')

    def leave(self) -> None:
        """Leave without cutting a request.

        Peers and targets' callers learn that the host is leaving while
        it still accepts; then whatever is in flight or on its way is
        finished, bounded by `drain_limit_ms`; then the host is gone.
        """
        limits = self.tables.settings.traffic
        self._set_state(peer.HostState.DRAINING)
        self.state.gate.is_leaving = True
        time.sleep(limits.drain_grace_ms / 1000)
        if not self.data_path.finish(limits.drain_limit_ms / 1000):
            LOG.warning('requests in flight or expected at the drain limit')
        self.data_path.stop()
        self._set_state(peer.HostState.GONE)
        # A few ticks, so that the news leaves this host.
        time.sleep(3 * self.tables.settings.tick_interval_ms / 1000)
        self.loop.stop()
        self.admin.stop()
        LOG.info('left')

    def announce(self, report: membership.TargetReport) -> None:
        """Take in the report of a local target."""
        now_ms = clock.monotonic_ms()
        self.loop.post(
            lambda: membership.announce_target(
                self.tables.self_row, report, now_ms
            )
        )

    def read_status(self) -> _status.ProxyStatus:
        """Return the status, made by the control thread."""
        result: list[_status.ProxyStatus] = []
        done = threading.Event()

        def read() -> None:
            result.append(_status.make_status(self.tables))
            done.set()

        self.loop.post(read)
        if not done.wait(STATUS_TIMEOUT_S):
            raise TimeoutError('control thread is busy')
        return result[0]

    def _set_state(self, state: peer.HostState) -> None:
        self.loop.post(lambda: self.tables.self_row.set_state(state))


def make_daemon(
    proxy_settings: settings.ProxySettings,
    make_store: Callable[[], storage.GuardedStore],
) -> Daemon:
    """Make a proxy from its settings.

    Parameters
    ----------
    proxy_settings : ProxySettings
        Validated.
    make_store : callable
        Makes a store with a circuit and a queue of its own.

    Returns
    -------
    Daemon
        Not yet started.
    """
    rng = random.Random()
    incarnation = base.Incarnation(clock.wall_ms())
    tables = control.make_control_tables(proxy_settings, incarnation, rng)
    metrics = observability.make_metrics()
    store = make_store()
    # Claims have a circuit and a queue of their own, so that neither
    # bookings nor control wait behind the other.
    claims_store = make_store()
    guard = _guard.RepeatGuard(
        claims_store,
        proxy_settings.traffic.guard_writes_per_s,
        lambda: len(tables.hosts),
    )
    state = _shared.RequestState(
        proxy_settings,
        tables.holder,
        tables.view,
        metrics,
        guard,
        random.Random(),
        clock.monotonic_ms(),
    )
    loop = _control.ControlLoop(tables, metrics, _Publisher(state).publish)
    _add_workers(loop, proxy_settings, incarnation, metrics, store)
    peers = peer.make_peer_server(
        str(proxy_settings.address),
        proxy_settings.peer_port,
        proxy_settings.mesh,
        _PeerHandler(tables, metrics),
    )
    data_path = _data_path.make_data_path(proxy_settings, state)
    daemon = Daemon(tables, loop, peers, data_path, None, state)
    daemon.admin = _admin.make_admin_server(
        proxy_settings, metrics, daemon.read_status, daemon.announce
    )
    return daemon


def _add_workers(loop, proxy_settings, incarnation, metrics, store) -> None:
    loop.platform_worker = _workers.PlatformWorker(
        loop.post, metrics, store, store
    )
    caller = peer.Caller(
        mesh=proxy_settings.mesh,
        protocol=peer.PROTOCOL_VERSION,
        host=proxy_settings.host,
        incarnation=incarnation,
    )
    loop.peer_worker = _workers.PeerWorker(loop.post, metrics, caller)


class _Logged(msgspec.Struct, frozen=True):
    """What was logged last, so that each change is logged once."""

    state: peer.HostState = peer.HostState.STARTING
    version: base.Version = base.NO_VERSION
    refused: frozenset[base.Version] = frozenset()
    is_relay: bool = False
    is_floor_known: bool = False


def _log_changes(logged: _Logged, tables: control.ControlTables) -> _Logged:
    """Log what a tick changed, for operators who ask what happened."""
    updates = tables.updates
    present = _Logged(
        tables.self_row.state,
        tables.holder.version,
        frozenset(updates.refused),
        tables.tree.is_relay,
        updates.is_floor_known,
    )
    if present == logged:
        return logged
    if present.version != logged.version:
        LOG.info('version in force', extra={'version': present.version})
    for version in present.refused - logged.refused:
        code = updates.refused[version]
        LOG.error('version refused', extra={'version': version, 'code': code})
    if present.state is not logged.state:
        name = present.state.name.lower()
        LOG.info('state changed', extra={'detail': name})
    if present.is_relay != logged.is_relay:
        word = 'became' if present.is_relay else 'is no longer'
        LOG.info('%s a relay', word)
    if present.is_floor_known != logged.is_floor_known:
        LOG.info('floor known', extra={'version': updates.floor})
    return present


class _Publisher:
    """Shows the request threads and the metrics what a tick decided."""

    def __init__(self, state: _shared.RequestState):
        self.state = state
        self._next_check_ms = 0
        self._logged = _Logged()

    def publish(self, tables: control.ControlTables) -> None:
        """Called in the control thread after each tick."""
        state = self.state
        own = tables.self_row.state
        self._logged = _log_changes(self._logged, tables)
        state.gate.is_open = own in _OPEN_STATES
        state.metrics.held_version.set(tables.holder.version)
        state.metrics.members.set(len(tables.hosts))
        now_ms = clock.monotonic_ms()
        if now_ms >= self._next_check_ms:
            self._next_check_ms = now_ms + OUTLIER_INTERVAL_MS
            self._check_targets(now_ms)

    def _check_targets(self, now_ms: int) -> None:
        """Eject slow targets and forget those that are gone."""
        loads = self.state.loads
        keys = set()
        # Only the target sets that this proxy has sent to.
        for target_set in self.state.admission.list_target_sets():
            endpoints = self.state.view.by_set.get(target_set, ())
            keys.update((item.address, item.port) for item in endpoints)
            for endpoint in traffic.find_slow(endpoints, loads, now_ms):
                loads.eject(endpoint, now_ms)
        loads.retain(keys)

"""Target stand-ins that log which requests they executed."""

import collections
import ipaddress
import logging
import threading
import time

from cheroot import server as cheroot_server
import msgspec
import urllib3

from sedgering import membership
from sedgering.testing import _http
from sedgering import traffic

__all__ = ['StandinTarget', 'TargetSettings', 'make_target']

LOG = logging.getLogger(__name__)

REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 1.0
LEDGER_PATH = '/standin/ledger'
COUNTS_PATH = '/standin/counts'
SLOWDOWN_FACTOR = 5


class TargetSettings(msgspec.Struct, frozen=True):
    """One target stand-in.

    Parameters
    ----------
    name, target_set : str
        Name and target set that the target reports.
    address, port
        Address and port to listen on.
    admin_port : int
        Admin port of the proxy on the same host, at the same address.
    slots : int
        Maximum number of concurrent requests.
    work_ms : int
        Processing time of each request, in milliseconds.
    lies : bool
        Whether the target always reports that it is idle, and takes five
        times `work_ms` for each request.
    ledger_file : str
        File to which the id of each executed request is appended, so that
        the log outlives the process; empty for none.
    """

    name: str
    target_set: str
    address: ipaddress.IPv4Address
    port: int
    admin_port: int
    slots: int = 12
    work_ms: int = 2
    lies: bool = False
    ledger_file: str = ''


class _Gateway(cheroot_server.Gateway):
    """Executes one request and logs it."""

    def respond(self):
        """Respond with the name of the target and of the request."""
        target: StandinTarget = self.req.server.target
        path = self.req.uri.decode('ascii')
        if path == LEDGER_PATH:
            _http.send_json(self.req, b'200 OK', target.ledger)
            return
        if path == COUNTS_PATH:
            _http.send_json(self.req, b'200 OK', target.counts)
            return
        if not target.slots.acquire(blocking=False):
            self._reject(target)
            return
        try:
            self._execute(target)
        finally:
            target.slots.release()

    def _execute(self, target) -> None:
        body_sha256 = _http.digest_body(self.req)
        name = self.req.inheaders.get(b'X-Request-Id', b'').decode()
        work_ms = target.settings.work_ms
        in_use = target.settings.slots - target.slots._value
        if target.settings.lies:
            work_ms *= SLOWDOWN_FACTOR
            in_use = 0
        time.sleep(work_ms / 1000)
        with target.lock:
            target.log_execution(name)
        answer = {
            'target': target.settings.name,
            'request': name,
            'body_sha256': body_sha256,
        }
        self.req.close_connection |= target.is_leaving
        self.req.outheaders.append((b'X-Target-Load', str(in_use).encode()))
        _http.send_json(self.req, b'200 OK', answer)

    def _reject(self, target) -> None:
        with target.lock:
            target.counts['refused'] += 1
        marker = (traffic.NOT_RUN_HEADER.encode(), b'1')
        self.req.close_connection = True
        _http.send(
            self.req, b'503 Service Unavailable', b'', headers=(marker,)
        )


class StandinTarget:
    """One target with a limited number of slots and an execution log.

    Parameters
    ----------
    target_settings : TargetSettings
        Settings of the target.
    server : HTTPServer
        Server that accepts the requests of proxies.
    """

    def __init__(self, target_settings, server):
        self.settings: TargetSettings = target_settings
        self.server: cheroot_server.HTTPServer = server
        self.ledger: collections.Counter = collections.Counter()
        self.counts: collections.Counter = collections.Counter()
        self.lock = threading.Lock()
        self.slots = threading.BoundedSemaphore(target_settings.slots)
        self.is_leaving = False
        self.is_draining = False
        self.draining_at_s = 0.0
        self._ledger_file = None
        if target_settings.ledger_file:
            # Line buffered: a request must be logged before its response.
            self._ledger_file = open(target_settings.ledger_file, 'a', 1)
        self._is_stopped = threading.Event()
        self._pool = urllib3.HTTPConnectionPool(
            str(target_settings.address),
            target_settings.admin_port,
            timeout=REPORT_TIMEOUT_S,
            retries=False,
        )

    def log_execution(self, name: str) -> None:
        """Log an executed request; the caller holds the lock."""
        self.ledger[name] += 1
        self.counts['run'] += 1
        if self.draining_at_s:
            since_ms = (time.monotonic() - self.draining_at_s) * 1000
            self.counts['last_run_after_draining_ms'] = int(since_ms)
        if self._ledger_file is not None:
            self._ledger_file.write(f'{name}\n')

    def start(self) -> None:
        """Serve requests and send reports in the background."""
        self.server.prepare()
        for work in (self.server.serve, self._report_periodically):
            threading.Thread(target=work, daemon=True).start()

    def leave(self, grace_s: float) -> None:
        """Report draining, keep serving for the grace period, then stop."""
        self.draining_at_s = time.monotonic()
        self.is_draining = True
        self.announce('draining')
        time.sleep(grace_s)
        self.is_leaving = True
        self._is_stopped.set()
        self.announce('gone')
        self.server.stop()

    def announce(self, state: str) -> None:
        """Report the state to the proxy of the host, which may not run yet."""
        report = membership.TargetReport(
            name=self.settings.name,
            target_set=self.settings.target_set,
            port=self.settings.port,
            slots=self.settings.slots,
            state=state,
        )
        try:
            self._pool.urlopen(
                'POST', '/targets', body=msgspec.json.encode(report)
            )
        except urllib3.exceptions.HTTPError as error:
            LOG.debug('target report failed: %s', error)

    def _report_periodically(self) -> None:
        while not self._is_stopped.is_set():
            if not self.is_draining:
                self.announce('serving')
            self._is_stopped.wait(REPORT_INTERVAL_S)


def make_target(target_settings: TargetSettings) -> StandinTarget:
    """Make a target stand-in; the caller starts it."""
    server = cheroot_server.HTTPServer(
        (str(target_settings.address), target_settings.port),
        _Gateway,
        minthreads=target_settings.slots + 4,
        maxthreads=target_settings.slots + 4,
    )
    server.error_log = _http.ignore_errors
    server.request_queue_size = 256
    target = StandinTarget(target_settings, server)
    server.target = target
    return target

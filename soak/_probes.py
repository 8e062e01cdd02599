"""Probes of the version in force and of the readiness of a daemon."""

import asyncio

from sedgering import transport
from soak import _callers
from soak import _daemons

__all__ = ['Probe', 'ask', 'exchange', 'make_path']

INTERVAL_S = 0.3
TIMEOUT_S = 2.0
STATUS_OK = 200
STATUS_NO_ROUTE = 404


def make_path(version: int) -> str:
    """Return the path of the route that a version adds.

    Daemons answer on this path once that version is in force.
    """
    return f'/v{version}/'


async def ask(
    address: str,
    port: int,
    path: str,
    body: bytes | None = None,
    headers: tuple[tuple[str, str], ...] = (),
) -> transport.Response | None:
    """Send a request for a path; return None without an answer."""
    request = transport.Request(
        'GET' if body is None else 'POST',
        path,
        [('Host', _callers.HOST_HEADER), *headers],
        body or b'',
        body is not None,
    )
    return await exchange(address, port, request, TIMEOUT_S)


async def exchange(
    address: str, port: int, request: transport.Request, timeout_s: float
) -> transport.Response | None:
    """Send a request on a new connection; return None without an answer."""
    try:
        async with asyncio.timeout(timeout_s):
            connection = await transport.connect(address, port, timeout_s)
            try:
                return await connection.exchange(
                    transport.encode_request(request), lambda _answer: True
                )
            finally:
                connection.close()
    except (
        transport.ConnectFailed,
        transport.ExchangeFailed,
        TimeoutError,
    ):
        # Expected if the server is down, paused or disconnected.
        return None


class Probe:
    """Tracks the version in force at one daemon.

    Parameters
    ----------
    daemon : Daemon
        Daemon to probe.

    Attributes
    ----------
    version : int
        Highest version seen in force since the last start of the daemon.
    regressions : list of str
        Descriptions of versions that the daemon no longer has in force.
    """

    def __init__(self, daemon: _daemons.Daemon):
        self.daemon = daemon
        self.version = 0
        self.regressions: list[str] = []
        self._lifetime = 0
        self._probe_count = 0
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start probing the version periodically."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()

    async def is_ready(self) -> bool:
        """Return whether the daemon accepts new requests."""
        answer = await self._request_readiness()
        return answer is not None and answer.status == STATUS_OK

    async def is_responding(self) -> bool:
        """Return whether the daemon answers, ready or not."""
        return await self._request_readiness() is not None

    async def probe_version(self, version: int) -> bool:
        """Probe a version and return whether it is in force."""
        lifetime = self.daemon.lifetime
        if lifetime != self._lifetime:
            self._lifetime = lifetime
            self.version = 0
        self._probe_count += 1
        request_id = f'{self.daemon.name}-p{self._probe_count}'
        answer = await ask(
            self.daemon.address,
            _daemons.CALLERS_PORT,
            make_path(version),
            headers=((_callers.HEADERS.request_id, request_id),),
        )
        if answer is None or lifetime != self.daemon.lifetime:
            return False
        is_missing = answer.status == STATUS_NO_ROUTE
        if is_missing and version <= self.version:
            self.regressions.append(
                f'{self.daemon.name} had version {self.version} in force, '
                f'but now lacks version {version}'
            )
        if answer.status == STATUS_OK:
            self.version = max(self.version, version)
        return answer.status == STATUS_OK

    async def _run(self) -> None:
        while True:
            await self.probe_version(max(1, self.version))
            await self.probe_version(self.version + 1)
            await asyncio.sleep(INTERVAL_S)

    async def _request_readiness(self) -> transport.Response | None:
        return await ask(
            self.daemon.address, _daemons.READINESS_PORT, '/v1/ready'
        )

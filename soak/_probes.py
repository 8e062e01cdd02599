"""Asks a daemon which version it has in force, and whether it is ready."""

import asyncio

from sedgering import transport
from soak import _callers
from soak import _daemons

__all__ = ['Probe', 'ask', 'make_path']

INTERVAL_S = 0.3
TIMEOUT_S = 2.0
STATUS_OK = 200
STATUS_NO_ROUTE = 404


def make_path(version: int) -> str:
    """Return the path of the route that a version adds."""
    return f'/v{version}/'


async def ask(
    address: str,
    port: int,
    path: str,
    body: bytes | None = None,
    headers: tuple[tuple[str, str], ...] = (),
) -> transport.Response | None:
    """Send one request on a connection of its own; None without answer."""
    request = transport.Request(
        'GET' if body is None else 'POST',
        path,
        [('Host', _callers.HOST_HEADER), *headers],
        body or b'',
        body is not None,
    )
    try:
        async with asyncio.timeout(TIMEOUT_S):
            connection = await transport.connect(address, port, TIMEOUT_S)
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
        # Expected: the other side is dead, paused or cut off.
        return None


class Probe:
    """Follows the version in force of one daemon.

    Parameters
    ----------
    daemon : Daemon
        Asked.

    Attributes
    ----------
    version : int
        Greatest version seen in force in the present lifetime.
    broken : list of str
        Where a daemon went back.
    """

    def __init__(self, daemon: _daemons.Daemon):
        self.daemon = daemon
        self.version = 0
        self.broken: list[str] = []
        self._lifetime = 0
        self._number = 0
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Look again and again."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Look no more."""
        if self._task is not None:
            self._task.cancel()

    async def is_ready(self) -> bool:
        """Say whether the daemon takes new work."""
        answer = await self._ask_readiness()
        return answer is not None and answer.status == STATUS_OK

    async def answers(self) -> bool:
        """Say whether the daemon has started."""
        return await self._ask_readiness() is not None

    async def look(self, version: int) -> bool:
        """Say whether a version is in force."""
        lifetime = self.daemon.lifetime
        if lifetime != self._lifetime:
            self._lifetime = lifetime
            self.version = 0
        self._number += 1
        request_id = f'{self.daemon.name}-p{self._number}'
        answer = await ask(
            self.daemon.address,
            _daemons.CALLERS_PORT,
            make_path(version),
            headers=((_callers.NAMES.request_id, request_id),),
        )
        if answer is None or lifetime != self.daemon.lifetime:
            return False
        is_missing = answer.status == STATUS_NO_ROUTE
        if is_missing and version <= self.version:
            self.broken.append(
                f'{self.daemon.name} had version {self.version} in force, '
                f'and lacks version {version}'
            )
        if answer.status == STATUS_OK:
            self.version = max(self.version, version)
        return answer.status == STATUS_OK

    async def _run(self) -> None:
        while True:
            await self.look(max(1, self.version))
            await self.look(self.version + 1)
            await asyncio.sleep(INTERVAL_S)

    async def _ask_readiness(self) -> transport.Response | None:
        return await ask(
            self.daemon.address, _daemons.READINESS_PORT, '/v1/ready'
        )

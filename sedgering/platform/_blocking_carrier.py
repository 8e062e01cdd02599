"""Calls of the store that block their thread: the way of tools."""

from collections.abc import Coroutine
from typing import Any

import urllib3

from sedgering.platform import _carrier
from sedgering.platform import _settings

__all__ = ['BlockingCarrier', 'run_blocking']

#: Idle connections kept: calls that a tool makes at the same time.
CONNECTIONS = 3
#: Failures before anything was sent.
_NEVER_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class BlockingCarrier(_carrier.StoreCarrier):
    """Carries calls with urllib3; threads may share one.

    Its coroutine never waits for an event loop; see :func:`run_blocking`.

    Parameters
    ----------
    store_settings : StoreSettings
        Where the store listens, and how long a call may take.
    """

    def __init__(self, store_settings: _settings.StoreSettings):
        self.store_settings = store_settings
        self._pool = _make_pool(store_settings)

    def renew(self) -> None:
        """Use none of the idle connections again."""
        old, self._pool = self._pool, _make_pool(self.store_settings)
        old.close()

    async def send(self, call: _carrier.StoreCall) -> _carrier.StoreAnswer:
        """Send a call; see :class:`StoreCarrier`."""
        usual_s = self.store_settings.timeout_ms / 1000
        timeout = urllib3.Timeout(
            connect=min(_carrier.CONNECT_TIMEOUT_S, usual_s),
            read=usual_s + call.wait_ms / 1000,
        )
        try:
            response = self._pool.urlopen(
                call.method,
                call.url,
                body=call.body or None,
                headers=dict(call.headers),
                timeout=timeout,
            )
        except _NEVER_SENT as error:
            raise _carrier.CallNotSent(_describe(error)) from error
        except urllib3.exceptions.HTTPError as error:
            raise _carrier.CallLost(_describe(error)) from error
        return _carrier.StoreAnswer(response.status, response.data)


def run_blocking(call: Coroutine) -> Any:
    """Run a coroutine whose calls all block; return its result."""
    try:
        call.send(None)
    except StopIteration as end:
        return end.value
    call.close()
    raise RuntimeError('the call waits for an event loop')


def _make_pool(
    store_settings: _settings.StoreSettings,
) -> urllib3.HTTPConnectionPool:
    return urllib3.HTTPConnectionPool(
        store_settings.address,
        store_settings.port,
        maxsize=CONNECTIONS,
        retries=False,
    )


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'

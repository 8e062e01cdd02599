"""Blocking HTTP client of the metadata store, for command-line tools."""

from collections.abc import Coroutine
from typing import Any

import urllib3
from urllib3 import connection as urllib3_connection

from sedgering.platform import _carrier
from sedgering.platform import _settings
from sedgering import responses

__all__ = ['BlockingHttpClient', 'run_blocking']

#: One for each request that a tool sends at the same time.
MAX_IDLE_CONNECTIONS = 3
#: Errors that occur before any part of the request is sent.
_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class _Connection(urllib3_connection.HTTPConnection):
    """A connection on which a response that ends early fails."""

    response_class = responses.WholeResponse


class _ConnectionPool(urllib3.HTTPConnectionPool):
    """A pool of such connections."""

    ConnectionCls = _Connection


class BlockingHttpClient(_carrier.StoreCarrier):
    """HTTP client that uses urllib3; threads may share an instance.

    :meth:`send` blocks instead of waiting for an event loop; see
    :func:`run_blocking`.

    Parameters
    ----------
    store_settings : StoreSettings
        Address of the store, and the timeout of a request.
    """

    def __init__(self, store_settings: _settings.StoreSettings):
        self.store_settings = store_settings
        self._pool = _make_pool(store_settings)

    def renew(self) -> None:
        """Discard the idle connections; see :class:`StoreCarrier`."""
        old, self._pool = self._pool, _make_pool(self.store_settings)
        old.close()

    async def send(self, call: _carrier.StoreCall) -> _carrier.StoreAnswer:
        """Send a request; see :class:`StoreCarrier`."""
        timeout_s = self.store_settings.timeout_ms / 1000
        timeout = urllib3.Timeout(
            connect=min(_carrier.CONNECT_TIMEOUT_S, timeout_s),
            read=timeout_s + call.wait_ms / 1000,
        )
        try:
            response = self._pool.urlopen(
                call.method,
                call.url,
                body=call.body or None,
                headers=dict(call.headers),
                timeout=timeout,
            )
        except _NOT_SENT_ERRORS as error:
            raise _carrier.CallNotSent(_describe(error)) from error
        except urllib3.exceptions.HTTPError as error:
            raise _carrier.CallLost(_describe(error)) from error
        return _carrier.StoreAnswer(response.status, response.data)


def run_blocking(coroutine: Coroutine) -> Any:
    """Run a coroutine that never suspends, and return its result.

    Raises
    ------
    RuntimeError
        When the coroutine suspends to wait for an event loop.
    """
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    coroutine.close()
    raise RuntimeError('the coroutine waits for an event loop')


def _make_pool(
    store_settings: _settings.StoreSettings,
) -> urllib3.HTTPConnectionPool:
    return _ConnectionPool(
        store_settings.address,
        store_settings.port,
        maxsize=MAX_IDLE_CONNECTIONS,
        retries=False,
    )


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'

"""Asynchronous HTTP client of the metadata store, for daemons.

It uses the HTTP client that the daemon has for its peers.  Compared with
urllib3 and a thread for each watch, the imports of a daemon take 8.4 MB less
resident memory and 60 ms less processor time.
"""

import asyncio

from sedgering.platform import _carrier
from sedgering.platform import _settings
from sedgering import transport

__all__ = ['LoopCarrier']

#: Time after the end of a watch's wait at which its response is taken as
#: lost.
WATCH_MARGIN_S = 1.0
#: Two for watches, and one for all other requests.
MAX_IDLE_CONNECTIONS = 3
#: Idle time after which a connection is not used again.  The daemon sends a
#: request every few seconds at least, and the store closes no connection in
#: use.
MAX_IDLE_S = 30.0


class LoopCarrier(_carrier.StoreCarrier):
    """HTTP client on the running event loop.

    Parameters
    ----------
    store_settings : StoreSettings
        Address of the store, and the longest time without a byte from it.
    """

    def __init__(self, store_settings: _settings.StoreSettings):
        self.store_settings = store_settings
        self._pool = _make_pool(store_settings)

    def change_store(self, store_settings: _settings.StoreSettings) -> None:
        """Send all further requests to the address in new settings."""
        self.store_settings = store_settings
        self.renew()

    def renew(self) -> None:
        """Discard the idle connections; see :class:`StoreCarrier`."""
        old, self._pool = self._pool, _make_pool(self.store_settings)
        old.close()

    async def send(self, call: _carrier.StoreCall) -> _carrier.StoreAnswer:
        """Send a request; see :class:`StoreCarrier`."""
        pool = self._pool
        try:
            connection = await pool.take()
        except transport.ConnectFailed as error:
            raise _carrier.CallNotSent(str(error)) from error
        response = await self._exchange(connection, call)
        if pool is self._pool:
            pool.put(connection)
        else:
            connection.close()
        return _carrier.StoreAnswer(response.status, response.body)

    async def _exchange(
        self, connection: transport.ClientConnection, call: _carrier.StoreCall
    ) -> transport.Response:
        """Send a request and wait for its response.

        Fails when the store sends nothing for too long.
        """
        silence_timeout_s = self.store_settings.timeout_ms / 1000
        if call.wait_ms:
            silence_timeout_s = call.wait_ms / 1000 + WATCH_MARGIN_S
        exchange = asyncio.ensure_future(
            connection.exchange(self._encode(call), lambda _response: True)
        )
        try:
            await connection.wait_unless_silent(exchange, silence_timeout_s)
            return await exchange
        except transport.ExchangeFailed as error:
            raise _carrier.CallLost(str(error)) from error
        finally:
            exchange.cancel()

    def _encode(self, call: _carrier.StoreCall) -> bytes:
        settings = self.store_settings
        headers = [('Host', f'{settings.address}:{settings.port}')]
        headers.extend(call.headers)
        return transport.encode_request(
            transport.Request(call.method, call.url, headers, call.body)
        )


def _make_pool(
    store_settings: _settings.StoreSettings,
) -> transport.ConnectionPool:
    return transport.ConnectionPool(
        store_settings.address,
        store_settings.port,
        min(_carrier.CONNECT_TIMEOUT_S, store_settings.timeout_ms / 1000),
        MAX_IDLE_CONNECTIONS,
        MAX_IDLE_S,
    )

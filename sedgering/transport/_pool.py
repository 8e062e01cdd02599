"""Pool of idle connections to one address, last used first."""

import asyncio

from sedgering.transport import _client
from sedgering.transport import _response_memory

__all__ = ['ConnectionPool']


class ConnectionPool:
    """Pool of connections to one address.

    Parameters
    ----------
    address, port
        Where to connect.
    connect_timeout_s : float
        Longest time to establish a new connection, in seconds.
    idle_limit : int
        Largest number of idle connections kept.
    idle_s : float
        Longest idle time, in seconds, after which a connection is reused,
        unless the peer announces a shorter one.
    response_memory : ResponseMemory or None
        Bounds the response data of all connections together.
    """

    def __init__(
        self,
        address: str,
        port: int,
        connect_timeout_s: float,
        idle_limit: int,
        idle_s: float,
        response_memory: _response_memory.ResponseMemory | None = None,
    ):
        self.address = address
        self.port = port
        self.connect_timeout_s = connect_timeout_s
        self.idle_limit = idle_limit
        self.idle_s = idle_s
        self.response_memory = response_memory
        self._idle: list[tuple[float, _client.ClientConnection]] = []
        self._is_retired = False

    @property
    def has_idle(self) -> bool:
        """Whether a reusable idle connection exists."""
        return any(item.is_sound for _since_s, item in self._idle)

    @property
    def idle_connections(self) -> int:
        """Number of idle connections, reusable or not."""
        return len(self._idle)

    async def take(self) -> _client.ClientConnection:
        """Take a reusable idle connection, or open a new one.

        Raises
        ------
        ConnectFailed
            If a new connection cannot be established.
        """
        return self.take_idle() or await self.open()

    def take_idle(self) -> _client.ClientConnection | None:
        """Take a reusable idle connection; None if there is none.

        Idle connections that are no longer reusable are closed.
        """
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            since_s, connection = self._idle.pop()
            is_fresh = now_s - since_s < self.idle_s
            if (
                connection.is_sound
                and is_fresh
                and now_s < connection.reusable_until_s
            ):
                return connection
            connection.close()
        return None

    async def open(self) -> _client.ClientConnection:
        """Open a new connection.

        Raises
        ------
        ConnectFailed
            If it cannot be established.
        """
        return await _client.connect(
            self.address,
            self.port,
            self.connect_timeout_s,
            self.response_memory,
        )

    def put(self, connection: _client.ClientConnection) -> None:
        """Return a connection; close it if it cannot be used again."""
        is_full = len(self._idle) >= self.idle_limit
        if not connection.is_sound or is_full or self._is_retired:
            connection.close()
            return
        now_s = asyncio.get_running_loop().time()
        self._idle.append((now_s, connection))

    def retire(self) -> None:
        """Close all connections, those in use once they are returned."""
        self._is_retired = True
        self.close()

    def close(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for _since_s, connection in idle:
            connection.close()

"""Loopback links that can be delayed, reset, cut one way or silenced."""

import asyncio
import contextlib
import enum

__all__ = ['Link', 'LinkMode']

CHUNK_BYTES = 64 * 1024
DELAY_S = 0.15
#: Moved at a time by a link that is throttled.
PIECE_BYTES = 4 * 1024
#: Between two looks at whether a silent link is open again.
LOOK_S = 0.02


class LinkMode(enum.Enum):
    """How a link treats bytes."""

    OPEN = 'open'
    DELAYED = 'delayed'
    #: Connections are reset, and new ones as well.
    RESET = 'reset'
    #: Bytes wait in both directions; connections stay.
    SILENT = 'silent'
    #: Requests pass, and answers wait.
    ONE_WAY = 'one way'


class Link:
    """Forwards the connections of one port to another one.

    Parameters
    ----------
    address, port
        Where to listen.
    target_address, target_port
        Where to forward to.
    """

    def __init__(
        self, address: str, port: int, target_address: str, target_port: int
    ):
        self.address = address
        self.port = port
        self.target_address = target_address
        self.target_port = target_port
        self.mode = LinkMode.OPEN
        #: Width of each direction, for all connections; 0 for any.
        self.bytes_per_s = 0.0
        #: When each direction will have moved what was read, by whether it
        #: is the one of answers.
        self._free_s = {False: 0.0, True: 0.0}
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port
        )

    def set_mode(self, mode: LinkMode) -> None:
        """Treat bytes in another way from now on."""
        self.mode = mode
        if mode is LinkMode.RESET:
            self._reset_all()

    def close(self) -> None:
        """End with all connections."""
        self._server.close()
        self._reset_all()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            if self.mode is LinkMode.RESET:
                return
            await self._wait_open(False)
            far_reader, far_writer = await asyncio.open_connection(
                self.target_address, self.target_port
            )
            self._writers.add(far_writer)
            try:
                await self._join(reader, writer, far_reader, far_writer)
            finally:
                self._writers.discard(far_writer)
                far_writer.transport.abort()
        except OSError:
            # The far end is down: the near end is reset, as its kernel
            # would do.
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _join(self, reader, writer, far_reader, far_writer) -> None:
        pumps = [
            asyncio.ensure_future(self._pump(reader, far_writer, False)),
            asyncio.ensure_future(self._pump(far_reader, writer, True)),
        ]
        _done, pending = await asyncio.wait(
            pumps, return_when=asyncio.FIRST_COMPLETED
        )
        # What was read already still arrives.
        if pending:
            await asyncio.wait(pending, timeout=2 * DELAY_S)
        for pump in pumps:
            pump.cancel()
        await asyncio.gather(*pumps, return_exceptions=True)

    async def _pump(self, reader, writer, is_answer: bool) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is LinkMode.DELAYED:
                    await asyncio.sleep(DELAY_S)
                await self._wait_open(is_answer)
                for start in range(0, len(data), PIECE_BYTES):
                    piece = data[start : start + PIECE_BYTES]
                    await self._wait_room(is_answer, len(piece))
                    writer.write(piece)
                    await writer.drain()

    async def _wait_room(self, is_answer: bool, size_bytes: int) -> None:
        if not self.bytes_per_s:
            return
        now_s = asyncio.get_running_loop().time()
        free_s = max(now_s, self._free_s[is_answer])
        self._free_s[is_answer] = free_s + size_bytes / self.bytes_per_s
        await asyncio.sleep(free_s - now_s)

    async def _wait_open(self, is_answer: bool) -> None:
        while self.mode is LinkMode.SILENT or (
            is_answer and self.mode is LinkMode.ONE_WAY
        ):
            await asyncio.sleep(LOOK_S)

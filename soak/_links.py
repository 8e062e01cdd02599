"""Loopback links that can be delayed, reset, throttled or blocked."""

import asyncio
import contextlib
import enum

from soak import _pacing

__all__ = ['Link', 'LinkMode']

READ_BYTES = 64 * 1024
DELAY_S = 0.15
#: Unit of forwarding; a throttled link paces each chunk.
PACED_CHUNK_BYTES = 4 * 1024
#: Interval at which a blocked link checks its mode again.
POLL_INTERVAL_S = 0.02


class LinkMode(enum.Enum):
    """How a link forwards bytes."""

    OPEN = 'open'
    DELAYED = 'delayed'
    #: Open and new connections are reset.
    RESET = 'reset'
    #: Bytes are held back in both directions; connections stay open.
    SILENT = 'silent'
    #: Requests are forwarded, answers are held back.
    ONE_WAY = 'one way'


class Link:
    """Forwards the connections of one port to another port.

    Parameters
    ----------
    address, port
        Address and port to listen on.
    target_address, target_port
        Address and port to forward to.
    """

    def __init__(
        self, address: str, port: int, target_address: str, target_port: int
    ):
        self.address = address
        self.port = port
        self.target_address = target_address
        self.target_port = target_port
        self.mode = LinkMode.OPEN
        #: Rate of each direction, shared by all connections; the key says
        #: whether it is the direction of answers.
        self._pacers = {False: _pacing.Pacer(), True: _pacing.Pacer()}
        self._writers: set[asyncio.StreamWriter] = set()
        #: Connections from before the last change are silent for good.
        self._epoch = 0
        self._closed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port
        )

    def set_rate(self, bytes_per_s: float) -> None:
        """Change the rate of each direction; 0 for unlimited."""
        for pacer in self._pacers.values():
            pacer.bytes_per_s = bytes_per_s

    def set_mode(self, mode: LinkMode) -> None:
        """Change how bytes are forwarded from now on."""
        self.mode = mode
        if mode is LinkMode.RESET:
            self._reset_all()

    def silence_open(self) -> None:
        """Silence the open connections for good; new ones work."""
        self._epoch += 1

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self._closed.set()
        self._reset_all()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            if self.mode is LinkMode.RESET:
                return
            await self._wait_until_open(False)
            remote_reader, remote_writer = await asyncio.open_connection(
                self.target_address, self.target_port
            )
            self._writers.add(remote_writer)
            try:
                await self._forward_both(
                    reader, writer, remote_reader, remote_writer
                )
            finally:
                self._writers.discard(remote_writer)
                remote_writer.transport.abort()
        except OSError:
            # The remote end is down.  The client connection is reset, as
            # the kernel of the remote end would do.
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward_both(
        self, reader, writer, remote_reader, remote_writer
    ) -> None:
        forwarders = [
            asyncio.ensure_future(self._forward(reader, remote_writer, False)),
            asyncio.ensure_future(self._forward(remote_reader, writer, True)),
        ]
        epoch = self._epoch
        _done, pending = await asyncio.wait(
            forwarders, return_when=asyncio.FIRST_COMPLETED
        )
        if epoch != self._epoch:
            # Neither end learns that the other has closed.
            await self._closed.wait()
        # Bytes that were already read are still delivered.
        if pending:
            await asyncio.wait(pending, timeout=2 * DELAY_S)
        for forwarder in forwarders:
            forwarder.cancel()
        await asyncio.gather(*forwarders, return_exceptions=True)

    async def _forward(self, reader, writer, is_answer: bool) -> None:
        epoch = self._epoch
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.mode is LinkMode.DELAYED:
                    await asyncio.sleep(DELAY_S)
                await self._wait_until_open(is_answer)
                if epoch != self._epoch:
                    continue
                for start in range(0, len(data), PACED_CHUNK_BYTES):
                    chunk = data[start : start + PACED_CHUNK_BYTES]
                    await self._pacers[is_answer].wait(len(chunk))
                    writer.write(chunk)
                    await writer.drain()

    async def _wait_until_open(self, is_answer: bool) -> None:
        while self.mode is LinkMode.SILENT or (
            is_answer and self.mode is LinkMode.ONE_WAY
        ):
            await asyncio.sleep(POLL_INTERVAL_S)

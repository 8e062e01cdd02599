"""Links of callers that are far away, in a process of their own.

    python -m soak._far_links ADDRESS:PORT:TARGET_PORT:DELAY_S ...

The threads of the callers would delay links in the process of the soak.
"""

import asyncio
import contextlib
import sys

from sedgering import transport

__all__ = ['CONNECTED', 'FarLink', 'encode_link']

READ_BYTES = 64 * 1024
#: What a caller gets first once its connection is established at the other
#: end; the link itself accepts before that is known.
CONNECTED = b'\0'
#: Pieces that are under way at most in one direction of a connection.
PIECES = 64


class FarLink:
    """Delays the connections to a port, without reducing their rate.

    The end of a direction arrives behind its bytes.

    Parameters
    ----------
    address, port, target_port
        Where it listens, and the port on the same address it forwards to.
    delay_s : float
        Delay in each direction.
    """

    def __init__(
        self, address: str, port: int, target_port: int, delay_s: float
    ):
        self.address = address
        self.port = port
        self.target_port = target_port
        self.delay_s = delay_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port
        )

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        writers = [writer]
        self._writers.add(writer)
        try:
            await asyncio.sleep(self.delay_s)
            remote_reader, remote_writer = await asyncio.open_connection(
                self.address, self.target_port
            )
            writers.append(remote_writer)
            self._writers.add(remote_writer)
            await asyncio.sleep(self.delay_s)
            writer.write(CONNECTED)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, remote_writer))
                group.create_task(self._forward(remote_reader, writer))
        except OSError:
            # The daemon is down; its kernel would reset the connection.
            with contextlib.suppress(OSError):
                transport.reset_connection(writer.transport)
        finally:
            for open_writer in writers:
                self._writers.discard(open_writer)
                open_writer.close()

    async def _forward(self, reader, writer) -> None:
        """Forward one direction; a reset resets the other side, too."""
        pieces = asyncio.Queue(PIECES)
        sending = asyncio.ensure_future(self._send(pieces, writer))
        now_s = asyncio.get_running_loop().time
        try:
            while True:
                try:
                    data = await reader.read(READ_BYTES)
                except OSError:
                    data = None
                await pieces.put((now_s() + self.delay_s, data))
                if not data:
                    break
            await sending
        finally:
            sending.cancel()

    async def _send(self, pieces: asyncio.Queue, writer) -> None:
        """Send pieces when they are due; None is a reset."""
        now_s = asyncio.get_running_loop().time
        while True:
            due_s, data = await pieces.get()
            await asyncio.sleep(due_s - now_s())
            with contextlib.suppress(OSError):
                if data:
                    writer.write(data)
                    await writer.drain()
                elif data is None:
                    transport.reset_connection(writer.transport)
                else:
                    writer.write_eof()
            if not data:
                return


def encode_link(
    address: str, port: int, target_port: int, delay_s: float
) -> str:
    """Encode a link as an argument of the program."""
    return f'{address}:{port}:{target_port}:{delay_s}'


async def _run(arguments: list[str]) -> None:
    """Forward the connections of all links until the process ends."""
    for argument in arguments:
        address, port, target_port, delay_s = argument.split(':')
        link = FarLink(address, int(port), int(target_port), float(delay_s))
        await link.start()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_run(sys.argv[1:]))

"""A caller whose connection takes a little at a time."""

import asyncio
import socket

ADDRESS = '127.0.0.1'
#: Far less than an answer.
RECEIVE_BUFFER_BYTES = 8 * 1024
PIECE_BYTES = 256 * 1024
REQUEST = (
    'GET /r0/ HTTP/1.1\r\nHost: calendar.example\r\nX-Request-Id: {}\r\n\r\n'
)


class SlowReader:
    """A caller whose connection takes a little at a time."""

    def __init__(self, port):
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.socket.setblocking(False)
        self.port = port
        self.loop = asyncio.get_running_loop()
        #: How the stream ended.
        self.ended = 'end of the stream'

    async def ask(self, request_id):
        """Send a request, on a new connection if there is none."""
        await self.send(REQUEST.format(request_id).encode())

    async def send(self, data):
        """Send encoded requests, on a new connection if there is none."""
        if not self.socket.getsockname()[1]:
            await self.loop.sock_connect(self.socket, (ADDRESS, self.port))
        await self.loop.sock_sendall(self.socket, data)

    async def read_until(self, mark, count):
        """Read until a mark has come several times, or until the end."""
        pieces, seen, tail = [], 0, b''
        while seen < count:
            piece = await self.loop.sock_recv(self.socket, PIECE_BYTES)
            if not piece:
                break
            pieces.append(piece)
            seen += (tail + piece).count(mark)
            tail = (tail + piece)[1 - len(mark) :]
        return b''.join(pieces)

    async def read(self):
        """Read until the end of the stream or a reset."""
        data = b''
        try:
            while piece := await self.loop.sock_recv(self.socket, PIECE_BYTES):
                data += piece
        except ConnectionResetError as error:
            self.ended = repr(error)
        finally:
            self.socket.close()
        return data

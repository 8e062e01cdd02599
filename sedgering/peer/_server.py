"""The peer service: content and member rows over TCP."""

import abc
import logging
import queue
import threading

from thrift.server import TServer
from thrift.transport import TSocket
from thrift.transport import TTransport

from sedgering import exceptions
from sedgering.peer import _codec
from sedgering.peer.gen.wire import Peer
from sedgering.peer.gen.wire import ttypes

__all__ = ['PeerHandler', 'PeerServer', 'make_peer_server']

LOG = logging.getLogger(__name__)

#: Requests are small; only answers are large.
MAX_REQUEST_BYTES = 64 * 1024
CONNECTION_TIMEOUT_MS = 3000
WORKERS = 2
#: Connections that wait for a worker; more wait in the listen queue.
WAITING_LIMIT = 64


class PeerHandler(abc.ABC):
    """What the service answers with.  Called from the worker threads."""

    @abc.abstractmethod
    def content_since(self, held_version: int) -> ttypes.Content:
        """Return the version held, as a delta when possible.

        Raises
        ------
        PeerError
            When nothing is held, or the peer is busy.
        """

    @abc.abstractmethod
    def list_bucket_digests(self) -> list[int]:
        """Return the digests of the member buckets."""

    @abc.abstractmethod
    def list_rows(self, buckets: list[int]) -> list[ttypes.HostRow]:
        """Return the rows of the buckets named."""


class _Service(Peer.Iface):
    """Checks the caller, then asks the handler."""

    def __init__(self, mesh: str, handler: PeerHandler):
        self.mesh = mesh
        self.handler = handler

    def fetch(self, caller, held_version):
        """Answer a call for content."""
        return self._guard(caller, self.handler.content_since, held_version)

    def bucket_digests(self, caller):
        """Answer a call for bucket digests."""
        return self._guard(caller, self.handler.list_bucket_digests)

    def pull_rows(self, caller, buckets):
        """Answer a call for rows."""
        return self._guard(caller, self.handler.list_rows, buckets)

    def _guard(self, caller, answer, *arguments):
        try:
            if caller is None:
                raise exceptions.PeerError(exceptions.Code.PEER_DAMAGED)
            _codec.check_origin(caller.mesh, caller.protocol, self.mesh)
            return answer(*arguments)
        except exceptions.PeerError as error:
            LOG.info('peer refused', extra={'code': int(error.code)})
            raise ttypes.PeerRefusal(
                code=int(error.code),
                message=error.detail,
                retry_after_ms=0,
            ) from error


class _TimedServerSocket(TSocket.TServerSocket):
    """Accepts connections that cannot hold a worker for ever."""

    def listen(self):
        """Bind once: at the start, so that its errors are seen there."""
        if self.handle is None:
            super().listen()

    def accept(self):
        """Accept one connection and bound its silence."""
        client = super().accept()
        if client is not None:
            client.setTimeout(CONNECTION_TIMEOUT_MS)
        return client


class _ProtocolFactory:
    """Makes protocols that bound every length they read."""

    def getProtocol(self, transport):
        """Make a protocol over `transport`; thrift names the method."""
        return _codec.make_protocol(transport, MAX_REQUEST_BYTES)


class PeerServer:
    """Listens for peers in threads of its own.

    Parameters
    ----------
    server : TThreadPoolServer
        Made by :func:`make_peer_server`.
    """

    def __init__(self, server: TServer.TThreadPoolServer):
        self._server = server

    def start(self) -> None:
        """Bind the port, then serve in the background."""
        self._server.serverTransport.listen()
        thread = threading.Thread(
            target=self._server.serve, name='peer-accept', daemon=True
        )
        thread.start()


def make_peer_server(
    address: str, port: int, mesh: str, handler: PeerHandler
) -> PeerServer:
    """Make the TCP side of the peer service.

    Parameters
    ----------
    address, port
        Where to listen.
    mesh : str
        Callers of other meshes are refused.
    handler : PeerHandler
        What to answer with.
    """
    factory = _ProtocolFactory()
    server = TServer.TThreadPoolServer(
        Peer.Processor(_Service(mesh, handler)),
        _TimedServerSocket(address, port),
        TTransport.TFramedTransportFactory(MAX_REQUEST_BYTES),
        factory,
        daemon=True,
    )
    server.setNumThreads(WORKERS)
    server.clients = queue.Queue(WAITING_LIMIT)
    return PeerServer(server)

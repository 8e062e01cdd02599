"""Calls to the peer service of another proxy; one connection each."""

from collections.abc import Iterator
import contextlib

from thrift import Thrift
from thrift.transport import TSocket
from thrift.transport import TTransport

from sedgering import exceptions
from sedgering.peer import _codec
from sedgering.peer.gen.wire import Peer
from sedgering.peer.gen.wire import ttypes

__all__ = ['bucket_digests', 'fetch_content', 'pull_rows']

#: Largest message accepted from a peer, in bytes.
MAX_MESSAGE_BYTES = 48 * 1024 * 1024


def fetch_content(
    address: tuple[str, int],
    caller: ttypes.Caller,
    held_version: int,
    timeout_ms: int,
) -> ttypes.Content:
    """Fetch the version that a peer holds.

    Parameters
    ----------
    address : (str, int)
        IP number and peer port.
    caller : Caller
        Who asks.
    held_version : int
        Version held here; the answer is a delta from it when possible.
    timeout_ms : int
        Longest silence, in milliseconds.

    Returns
    -------
    Content
        As received; not yet decoded.

    Raises
    ------
    PeerError
        Unreachable, or refused with the peer's own code.
    """
    with _connect(address, timeout_ms) as client:
        return client.fetch(caller, held_version)


def bucket_digests(
    address: tuple[str, int], caller: ttypes.Caller, timeout_ms: int
) -> list[int]:
    """Fetch the digests of a peer's member buckets."""
    with _connect(address, timeout_ms) as client:
        return client.bucket_digests(caller)


def pull_rows(
    address: tuple[str, int],
    caller: ttypes.Caller,
    buckets: list[int],
    timeout_ms: int,
) -> list[ttypes.HostRow]:
    """Fetch a peer's rows in the buckets named, each row checked."""
    with _connect(address, timeout_ms) as client:
        rows = client.pull_rows(caller, buckets)
    for row in rows:
        _codec.check_row(row)
    return rows


@contextlib.contextmanager
def _connect(
    address: tuple[str, int], timeout_ms: int
) -> Iterator[Peer.Client]:
    connection = TSocket.TSocket(*address)
    connection.setTimeout(timeout_ms)
    transport = TTransport.TFramedTransport(
        connection, max_frame_size=MAX_MESSAGE_BYTES
    )
    protocol = _codec.make_protocol(transport, MAX_MESSAGE_BYTES)
    try:
        transport.open()
        yield Peer.Client(protocol)
    except ttypes.PeerRefusal as refusal:
        raise exceptions.PeerError(
            _known_code(refusal.code), refusal.message or ''
        ) from refusal
    except (OSError, Thrift.TException, EOFError, ValueError) as error:
        raise exceptions.PeerError(
            exceptions.Code.PEER_UNREACHABLE,
            f'{address[0]}:{address[1]} {type(error).__name__}',
        ) from error
    finally:
        transport.close()


def _known_code(number: int | None) -> exceptions.Code:
    try:
        return exceptions.Code(number)
    except ValueError:
        return exceptions.Code.PEER_DAMAGED

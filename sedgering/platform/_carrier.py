"""Interface of the HTTP clients of the platform's metadata store."""

import abc

import msgspec

__all__ = [
    'CONNECT_TIMEOUT_S',
    'CallLost',
    'CallNotSent',
    'StoreAnswer',
    'StoreCall',
    'StoreCarrier',
]


#: Longest wait for a connection to the store, which responds in 4 ms when it
#: is not slow.
CONNECT_TIMEOUT_S = 0.7


class CallNotSent(Exception):
    """The request did not reach the store."""


class CallLost(Exception):
    """The request was sent, but no complete response arrived.

    The store may have carried it out.
    """


class StoreCall(msgspec.Struct, frozen=True):
    """One HTTP request to the store.

    Parameters
    ----------
    method : str
        HTTP method.
    url : str
        Path and query.
    body : bytes
        Empty when the request has no body.
    headers : tuple of (str, str)
        Names and values, in addition to those that the client sets.
    wait_ms : int
        Milliseconds for which the store may delay the response; more than
        0 only for a watch.
    """

    method: str
    url: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    wait_ms: int = 0


class StoreAnswer(msgspec.Struct, frozen=True):
    """HTTP response of the store.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Empty when the response has no body.
    """

    status: int
    body: bytes


class StoreCarrier(abc.ABC):
    """Sends requests to the store over persistent connections."""

    @abc.abstractmethod
    async def send(self, call: StoreCall) -> StoreAnswer:
        """Send a request and return the response.

        Raises
        ------
        CallNotSent
            When no connection can be established.
        CallLost
            When the connection closes or times out before the response is
            complete.
        """

    @abc.abstractmethod
    def renew(self) -> None:
        """Discard the idle connections.

        After one connection has stopped responding, the others may have
        stopped too, and a request on each of them would take a whole
        timeout to fail.
        """

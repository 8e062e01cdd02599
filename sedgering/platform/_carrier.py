"""How calls reach the platform's metadata store."""

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


#: Longest wait for a connection to the store: it answers in 4 ms.
CONNECT_TIMEOUT_S = 0.7


class CallNotSent(Exception):
    """Nothing reached the store."""


class CallLost(Exception):
    """The call was sent, and no whole answer came; it may have been done."""


class StoreCall(msgspec.Struct, frozen=True):
    """One call.

    Parameters
    ----------
    method : str
        Of HTTP.
    url : str
        Path and query.
    body : bytes
        Empty where there is none.
    headers : tuple of (str, str)
        Beside those of the connection.
    wait_ms : int
        For how long the store may hold the answer back; a watch.
    """

    method: str
    url: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    wait_ms: int = 0


class StoreAnswer(msgspec.Struct, frozen=True):
    """What the store answered."""

    status: int
    body: bytes


class StoreCarrier(abc.ABC):
    """Carries calls to the store over kept connections."""

    @abc.abstractmethod
    async def send(self, call: StoreCall) -> StoreAnswer:
        """Send a call and return its answer.

        Raises
        ------
        CallNotSent
            When there is no connection.
        CallLost
            When the connection ends or falls silent.
        """

    @abc.abstractmethod
    def renew(self) -> None:
        """Use none of the idle connections again.

        When one has fallen silent the others may have, too, and each
        would cost a whole time limit.
        """

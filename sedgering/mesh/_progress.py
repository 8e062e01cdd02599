"""Progress of an attempt, logged when its request ends without an answer."""

import enum

from sedgering import base
from sedgering import transport

__all__ = ['AttemptProgress', 'AttemptStage']


class AttemptStage(enum.Enum):
    """What an attempt waits for."""

    CONNECTION = 'not connected'
    ROOM = 'asks for room'
    OWN_TARGET = 'at the own target'
    #: The call was sent to the other daemon, or is being sent.
    ANSWER = 'sent'


class AttemptProgress:
    """Stage of an attempt.

    Parameters
    ----------
    host : str
        Host of the target.
    now_s : float
        Time of the event loop.
    """

    __slots__ = ('connection', 'host', 'since_s', 'stage')

    def __init__(self, host: base.HostId, now_s: float):
        self.host = host
        self.stage = AttemptStage.CONNECTION
        self.since_s = now_s
        self.connection: transport.ClientConnection | None = None

    def note(self, stage: AttemptStage, now_s: float) -> None:
        """Record that a stage begins."""
        self.stage = stage
        self.since_s = now_s

    def describe(self, now_s: float) -> str:
        """Describe the stage, its age, and what has arrived of the answer."""
        age_ms = _find_age_ms(self.since_s, now_s)
        if self.stage is not AttemptStage.ANSWER:
            return f'{self.host}: {self.stage.value} for {age_ms} ms'
        return (
            f'{self.host}: {self.stage.value} {age_ms} ms ago,'
            f' {self._describe_answer(now_s)}'
        )

    def _describe_answer(self, now_s: float) -> str:
        connection = self.connection
        if connection.received_bytes:
            heard_ms = _find_age_ms(connection.heard_s, now_s)
            return (
                f'{connection.received_bytes} bytes came,'
                f' the last {heard_ms} ms ago'
            )
        unacknowledged = connection.unacknowledged_bytes
        if unacknowledged:
            return f'no byte came, {unacknowledged} bytes not acknowledged'
        return 'no byte came'


def _find_age_ms(since_s: float, now_s: float) -> int:
    return round((now_s - since_s) * 1000)

"""Answers that are ready and wait for the link of this host."""

from sedgering.mesh import _answer_room
from sedgering import transport

__all__ = ['AnswerBacklog']

#: Bytes in sockets that are worth a line: up to one piece is on its way most
#: of the time.
QUEUED_FROM_BYTES = 16 * 1024


class AnswerBacklog:
    """Tells how much of the answers to peers has not left this host.

    A caller whose answer waits here sees a target that is slow, and the
    target is done long ago.  Narrow links queue in the pacer; what a link
    takes more slowly than the pacer expects queues in sockets.

    Parameters
    ----------
    service : Service
        Answers the peers.
    room : AnswerRoom
        Knows the pacer.
    """

    def __init__(
        self, service: transport.Service, room: _answer_room.AnswerRoom
    ):
        self.service = service
        self.room = room

    def describe(self) -> str:
        """Say what waits; nothing when answers leave as they come."""
        load = self.service.find_load()
        in_sockets = load.unacknowledged_bytes
        if not load.held_bytes and in_sockets < QUEUED_FROM_BYTES:
            return ''
        return (
            f'{load.answers} wait for the link: {load.held_bytes} bytes held,'
            f' {in_sockets} in sockets, {self.room.backlog_ms:.0f} ms'
        )

    def find_gauges(self) -> dict[str, float]:
        """Return the present values for metrics."""
        load = self.service.find_load()
        return {
            'peer_answers_waiting': load.answers,
            'peer_answers_held_bytes': load.held_bytes,
            'peer_answers_unacknowledged_bytes': load.unacknowledged_bytes,
            'peer_answers_wait_ms': round(self.room.backlog_ms),
        }

"""Reports answers that are ready and wait for the link of this host."""

from sedgering.mesh import _answer_admission
from sedgering import transport

__all__ = ['AnswerBacklog']

#: Bytes in socket buffers from which on they are reported: up to one piece
#: of an answer is in transit most of the time.
MIN_QUEUED_BYTES = 16 * 1024


class AnswerBacklog:
    """Reports how much of the answers to peers has not left this host.

    A caller whose answer is delayed here sees a slow target, although the
    target finished long ago.  On narrow links answers queue in the pacer;
    where a link is slower than the pacer assumes, they queue in sockets.

    Parameters
    ----------
    service : Service
        Service that answers peers.
    answer_admission : AnswerAdmission
        Holds the pacer of the link.
    """

    def __init__(
        self,
        service: transport.Service,
        answer_admission: _answer_admission.AnswerAdmission,
    ):
        self.service = service
        self.answer_admission = answer_admission

    def describe(self) -> str:
        """Describe the delayed answers; empty when none is delayed."""
        load = self.service.find_load()
        in_sockets = load.unacknowledged_bytes
        if not load.held_bytes and in_sockets < MIN_QUEUED_BYTES:
            return ''
        return (
            f'{load.answers} wait for the link: {load.held_bytes} bytes held,'
            f' {in_sockets} in sockets,'
            f' {self.answer_admission.backlog_ms:.0f} ms'
        )

    def find_gauges(self) -> dict[str, float]:
        """Return the current values of the metrics."""
        load = self.service.find_load()
        return {
            'peer_answers_waiting': load.answers,
            'peer_answers_held_bytes': load.held_bytes,
            'peer_answers_unacknowledged_bytes': load.unacknowledged_bytes,
            'peer_answers_wait_ms': round(self.answer_admission.backlog_ms),
        }

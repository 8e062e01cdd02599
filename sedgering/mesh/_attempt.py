"""One attempt of a request, in flight at a target."""

import asyncio

from sedgering.mesh import _peers
from sedgering.mesh import _progress
from sedgering.mesh import _sender

__all__ = ['Attempt']


class Attempt:
    """A call in flight.

    Parameters
    ----------
    peer : Peer
        Where the call was sent.
    task : Task or SentCall
        Done when the call has ended; its result is the answer.
    progress : AttemptProgress
        Stage of the attempt.
    """

    def __init__(
        self,
        peer: _peers.Peer,
        task: asyncio.Task | _sender.SentCall,
        progress: _progress.AttemptProgress,
    ):
        self.peer = peer
        self.task = task
        self.progress = progress
        #: When it was sent, and its estimated duration.
        self.started_s = 0.0
        self.expected_ms = 0.0
        #: Done when the target or its daemon is silent for too long; None when
        #: not watched.
        self.silence: asyncio.Future | None = None

    @property
    def has_update(self) -> bool:
        """Whether it has ended, or is silent for too long."""
        return self.task.done() or self.is_silent

    @property
    def is_silent(self) -> bool:
        """Whether the target or its daemon is silent for too long."""
        return self.silence is not None and self.silence.done()

    def watch_silence(self) -> None:
        """Watch for silence of the target or its daemon."""
        self.silence = self.peer.watch_silence()

    def forget_silence(self) -> None:
        """Stop watching for silence."""
        if self.silence is not None:
            self.peer.forget_silence(self.silence)

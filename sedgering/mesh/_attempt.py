"""One attempt of a request, under way at a target."""

import asyncio

from sedgering.mesh import _peers
from sedgering.mesh import _progress
from sedgering.mesh import _sender

__all__ = ['Attempt']


class Attempt:
    """A call under way.

    Parameters
    ----------
    peer : Peer
        Asked.
    task : Task or SentCall
        Ends with the answer.
    progress : AttemptProgress
        Where it is.
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
        #: When it was sent, and the time that was estimated for it.
        self.started_s = 0.0
        self.expected_ms = 0.0
        #: Done when the target or its daemon is silent for too long; None
        #: where nobody asks.
        self.silence: asyncio.Future | None = None

    @property
    def has_news(self) -> bool:
        """Whether it has ended, or is silent for too long."""
        return self.task.done() or self.is_silent

    @property
    def is_silent(self) -> bool:
        """Whether the target or its daemon is silent for too long."""
        return self.silence is not None and self.silence.done()

    def watch_silence(self) -> None:
        """Be told when the target or its daemon is silent."""
        self.silence = self.peer.watch_silence()

    def forget_silence(self) -> None:
        """Be told no more."""
        if self.silence is not None:
            self.peer.forget_silence(self.silence)

"""One attempt of a request, under way at a target."""

import asyncio

from sedgering.mesh import _peers
from sedgering.mesh import _progress

__all__ = ['Attempt']


class Attempt:
    """A call under way.

    Parameters
    ----------
    peer : Peer
        Asked.
    task : Task
        Ends with the answer.
    progress : AttemptProgress
        Where it is.
    loop : AbstractEventLoop
        In which it runs.
    """

    def __init__(
        self,
        peer: _peers.Peer,
        task: asyncio.Task,
        progress: _progress.AttemptProgress,
        loop: asyncio.AbstractEventLoop,
    ):
        self.peer = peer
        self.task = task
        self.progress = progress
        #: When it was sent, and the time that was estimated for it.
        self.started_s = 0.0
        self.expected_ms = 0.0
        #: Done when the target or its daemon is silent for too long.
        self.silence: asyncio.Future = loop.create_future()

    @property
    def has_news(self) -> bool:
        """Whether it has ended, or is silent for too long."""
        return self.task.done() or self.silence.done()

    def watch_silence(self) -> None:
        """Be told when the target or its daemon is silent."""
        self.silence = self.peer.watch_silence()

    def forget_silence(self) -> None:
        """Be told no more."""
        self.peer.forget_silence(self.silence)

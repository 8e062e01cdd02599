"""The attempts of one request that are in flight at targets."""

import asyncio
from collections.abc import Iterator

from sedgering.mesh import _peers
from sedgering.mesh import _progress
from sedgering.mesh import _sender

__all__ = ['Attempt', 'AttemptGroup']


class Attempt(_peers.SilenceWatcher):
    """A call in flight.

    Parameters
    ----------
    peer : Peer
        Where the call was sent.
    task : Task or SentCall
        Done when the call has ended; its result is the answer.
    progress : AttemptProgress
        Stage of the attempt.
    started_s : float
        When it was sent, as time of the event loop.
    expected_ms : float
        Its estimated duration.
    """

    def __init__(
        self,
        peer: _peers.Peer,
        task: asyncio.Task | _sender.SentCall,
        progress: _progress.AttemptProgress,
        started_s: float,
        expected_ms: float,
    ):
        self.peer = peer
        self.task = task
        self.progress = progress
        self.started_s = started_s
        self.expected_ms = expected_ms
        #: Whether the target or its daemon is silent for too long.
        self.is_silent = False
        self._group: AttemptGroup | None = None

    @property
    def has_update(self) -> bool:
        """Whether it has ended, or is silent for too long."""
        return self.task.done() or self.is_silent

    def begin(self, group: 'AttemptGroup', watches_silence: bool) -> None:
        """Notify a group when the call ends, or when its peer is silent."""
        self._group = group
        self.task.add_done_callback(group.note_update)
        if watches_silence:
            self.peer.watch_silence(self)

    def note_silence(self) -> None:
        """Notify the group that the target or its daemon is silent."""
        self.is_silent = True
        self._group.note_update()

    def end(self) -> None:
        """Cancel the call if it is in flight; leave nothing with the peer."""
        self.peer.forget_silence(self)
        self.task.cancel()


class AttemptGroup:
    """The attempts of one request that are in flight.

    A context manager: leaving it ends all attempts.

    Parameters
    ----------
    loop : AbstractEventLoop
        Event loop of the request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._attempts: list[Attempt] = []
        #: Done when any attempt has ended or is silent.
        self._update: asyncio.Future | None = None

    def __enter__(self) -> 'AttemptGroup':
        """Return the group."""
        return self

    def __exit__(self, *_error: object) -> None:
        """End all attempts; they stay listed for the logs."""
        for attempt in self._attempts:
            attempt.end()

    def __len__(self) -> int:
        """Return the number of attempts in flight."""
        return len(self._attempts)

    def __iter__(self) -> Iterator[Attempt]:
        """Iterate over the attempts, the oldest first."""
        return iter(self._attempts)

    def add(self, attempt: Attempt, watches_silence: bool) -> None:
        """Add an attempt that has just been sent.

        Parameters
        ----------
        attempt : Attempt
            The attempt.
        watches_silence : bool
            Whether the request goes on elsewhere when its peer is silent.
        """
        self._attempts.append(attempt)
        attempt.begin(self, watches_silence)

    async def wait(self) -> Attempt | None:
        """Wait for an attempt to end, and remove it from the group.

        Returns
        -------
        Attempt or None
            None when a target or daemon is silent.
        """
        while not any(attempt.has_update for attempt in self._attempts):
            self._update = self._loop.create_future()
            await self._update
        for attempt in self._attempts:
            if attempt.task.done():
                self._attempts.remove(attempt)
                attempt.end()
                return attempt
        for attempt in self._attempts:
            attempt.is_silent = False
        return None

    def note_update(self, _ended: object = None) -> None:
        """Wake the waiting request: an attempt has ended or is silent."""
        if self._update is not None and not self._update.done():
            self._update.set_result(None)

"""Requests of a connection that have not been answered yet."""

import asyncio
from collections.abc import Coroutine
import math

from sedgering.transport import _body_memory
from sedgering.transport import _messages

__all__ = ['PendingRequest']


class PendingRequest:
    """A request of a connection that has not been answered yet."""

    __slots__ = (
        'coroutine',
        'body_bytes',
        'is_head',
        'must_close',
        'received_s',
        'request',
        'response',
        'task',
    )

    def __init__(self):
        self.response: _messages.EncodedResponse | None = None
        self.is_head = False
        self.must_close = False
        self.received_s = math.inf
        #: The request, until it is begun.
        self.request: _messages.Request | None = None
        #: Size of the body while it counts towards `BodyMemory`.
        self.body_bytes = 0
        #: Coroutine that answers the request, and the task that runs it.
        self.coroutine: Coroutine | None = None
        self.task: asyncio.Task | None = None

    def release_body(self) -> None:
        """Subtract the body from `BodyMemory`."""
        _body_memory.BodyMemory.used_bytes -= self.body_bytes
        self.body_bytes = 0

    def cancel(self) -> None:
        """Cancel the task: the caller no longer waits for the response."""
        self.release_body()
        if self.task is not None:
            self.task.add_done_callback(self._close_unstarted)
            self.task.cancel()

    def _close_unstarted(self, _task: asyncio.Task) -> None:
        """Close the coroutine of a task cancelled before its first step."""
        self.coroutine.close()

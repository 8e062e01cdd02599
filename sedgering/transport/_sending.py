"""Sends the responses of one connection, in order and without copies.

A transport copies what the kernel does not accept at once.  A large response
is therefore passed on in pieces, as its caller takes them.
"""

import abc
import asyncio
import collections
import logging

from sedgering.transport import _load
from sedgering.transport import _messages
from sedgering.transport import _pacing
from sedgering.transport import _pending
from sedgering.transport import _progress
from sedgering.transport import _response_memory
from sedgering.transport import _service
from sedgering.transport import _sockets

__all__ = ['SendingConnection']

LOG = logging.getLogger(__name__)

#: Size of a piece; the next one is passed on once the kernel has taken it.
PIECE_BYTES = 64 * 1024
#: Unsent response data of one connection from which on no further request of
#: it is begun, until its caller has read most of that.
UNREAD_BYTES = 256 * 1024
UNREAD_LOW_BYTES = UNREAD_BYTES // 4


class SendingConnection(asyncio.Protocol, _response_memory.ResponseHolder):
    """The side of a caller's connection that sends responses.

    Parameters
    ----------
    service : Service
        Answers the requests.
    loop : AbstractEventLoop
        Event loop of the connection.
    """

    def __init__(
        self, service: _service.Service, loop: asyncio.AbstractEventLoop
    ):
        self.service = service
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.last_activity_s = loop.time()
        self.pending: collections.deque[_pending.PendingRequest] = (
            collections.deque()
        )
        #: Size of the responses that wait for an earlier one.
        self._ready_bytes = 0
        #: What the transport has not been given yet.
        self._queue: collections.deque[memoryview] = collections.deque()
        self._queue_bytes = 0
        self._is_buffer_full = False
        #: Whether something was queued since all had been passed on.
        self._awaits_room = False
        #: Whether the caller leaves so much unread that nothing is begun.
        self._is_unread = False
        #: Responses that are being written in pieces at the rate of the link.
        self._paced_writes: collections.deque[_pacing.PacedWrite] = (
            collections.deque()
        )
        #: Data submitted since the start, and how much of that is no longer
        #: queued here.
        self._submitted_bytes = 0
        self._passed_bytes = 0
        #: Submitted responses that are kept until they have been passed on:
        #: their ends among the submitted data, and their sizes.
        self._kept: collections.deque[tuple[int, int]] = collections.deque()
        self._kept_bytes = 0
        #: Whether the memory of responses has been told of any.
        self._is_holding = False
        self._take_rate = _progress.ProgressRate(service.patience_s)
        #: Time until which a large response may be unacknowledged.  Finding
        #: out takes a system call, which connections with only small
        #: responses avoid.
        self._large_unacknowledged_until_s = 0.0

    @abc.abstractmethod
    def _on_written(self) -> None:
        """Process that the transport has been given all responses."""

    @abc.abstractmethod
    def _begin_waiting(self) -> None:
        """Begin the requests that wait: the caller has read."""

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport):
        """Ask to be told once the write buffer is empty."""
        self.transport = transport
        transport.set_write_buffer_limits(0)

    def pause_writing(self):
        """Pass on no further piece: the caller does not read."""
        self._is_buffer_full = True

    def resume_writing(self):
        """Pass on further pieces: the caller has read."""
        self._is_buffer_full = False
        self._pass_on()
        # The transport may not be closed within this callback.
        self.loop.call_soon(self._process_room)

    def _process_room(self) -> None:
        if self.transport.is_closing():
            return
        self._note_held()
        if self._unsent_bytes <= UNREAD_LOW_BYTES:
            self._is_unread = False
        if self._awaits_room and not self._is_writing:
            self._end_writing()
        if not self._is_unread:
            self._begin_waiting()

    # Sending.

    def _write(self, response: _messages.EncodedResponse) -> None:
        """Send a response behind those that are still being sent."""
        size_bytes = response.size_bytes
        self._submitted_bytes += size_bytes
        is_large = size_bytes >= _pacing.PACING_THRESHOLD_BYTES
        if is_large:
            self._expect_unacknowledged()
        pacer = self.service.pacer
        if pacer is not None and (is_large or self._paced_writes):
            self._pace(response)
        else:
            self._send(response.head)
            self._send(response.body)
            if pacer is not None:
                pacer.note_small(size_bytes)
        if self._passed_bytes < self._submitted_bytes:
            self._kept.append((self._submitted_bytes, size_bytes))
            self._kept_bytes += size_bytes

    def _write_interim(self, data: bytes) -> None:
        """Send an interim response; nothing may be paced."""
        self._submitted_bytes += len(data)
        self._send(data)

    def _pace(self, response: _messages.EncodedResponse) -> None:
        paced = _pacing.PacedWrite(
            self._send, response.body, self._remove_paced_write, response.head
        )
        self._paced_writes.append(paced)
        self.service.pacer.submit(paced)

    def _expect_unacknowledged(self) -> None:
        # The connection fails if data is unacknowledged for longer.
        limit_s = _service.TCP_USER_TIMEOUT_MS / 1000
        self._large_unacknowledged_until_s = self.loop.time() + limit_s

    def _send(self, data: bytes | memoryview) -> None:
        """Send a part of a response as the caller takes it."""
        if not data:
            return
        had_unsent = self._has_unsent
        passed_bytes = self._passed_bytes
        if self._queue or self._is_buffer_full or len(data) > PIECE_BYTES:
            self._queue.append(memoryview(data))
            self._queue_bytes += len(data)
            self._pass_on()
        else:
            self._passed_bytes += len(data)
            self.transport.write(data)
            self.service.sending.add(self.transport, self.loop, len(data))
        if self._has_unsent:
            if not had_unsent:
                self._take_rate.restart(self.loop.time(), passed_bytes)
            if self._unsent_bytes > UNREAD_BYTES:
                self._is_unread = True

    def _pass_on(self) -> None:
        """Give the transport what it has room for, and watch the caller."""
        if self._queue_bytes >= _pacing.PACING_THRESHOLD_BYTES:
            self._expect_unacknowledged()
        passed_bytes = self._passed_bytes
        while self._queue and not self._is_buffer_full:
            view = self._queue.popleft()
            if len(view) > PIECE_BYTES:
                self._queue.appendleft(view[PIECE_BYTES:])
                view = view[:PIECE_BYTES]
            self._queue_bytes -= len(view)
            self._passed_bytes += len(view)
            self.transport.write(view)
        while self._kept and self._kept[0][0] <= self._passed_bytes:
            _end_bytes, size_bytes = self._kept.popleft()
            self._kept_bytes -= size_bytes
        self._awaits_room = self._awaits_room or bool(self._queue)
        self.service.sending.add(
            self.transport, self.loop, self._passed_bytes - passed_bytes
        )

    def _remove_paced_write(self) -> None:
        """Remove the first paced response, which is completely written."""
        self._paced_writes.popleft()
        self.last_activity_s = self.loop.time()
        self._note_held()
        if not self._is_writing:
            self._end_writing()

    def _end_writing(self) -> None:
        self._awaits_room = False
        self.last_activity_s = self.loop.time()
        self._on_written()

    def _stop_sending(self) -> None:
        """Drop what has not been passed on: the connection is lost."""
        self.service.sending.discard(self.transport)
        for paced in self._paced_writes:
            paced.cancel()
        self._paced_writes.clear()
        self._queue.clear()
        self._queue_bytes = 0
        self._kept.clear()
        self._kept_bytes = 0
        if self.service.response_memory is not None:
            self.service.response_memory.forget(self)

    @property
    def _is_writing(self) -> bool:
        """Whether the transport is still to be given response data."""
        return bool(self._paced_writes or self._queue)

    @property
    def _unsent_bytes(self) -> int:
        """Response data that the kernel has not taken, without paced data."""
        return self._queue_bytes + self.transport.get_write_buffer_size()

    @property
    def _has_unsent(self) -> bool:
        return bool(self._queue or self.transport.get_write_buffer_size())

    @property
    def _taken_bytes(self) -> int:
        """Response data that the kernel has taken since the start."""
        return self._passed_bytes - self.transport.get_write_buffer_size()

    # Memory.

    def _note_held(self) -> None:
        """Record the memory that the responses of this connection take."""
        memory = self.service.response_memory
        if memory is None:
            return
        held_bytes = self._ready_bytes + self._kept_bytes
        held_bytes += self.transport.get_write_buffer_size()
        if not held_bytes and not self._is_holding:
            return
        self._is_holding = held_bytes > 0
        memory.set_held(self, held_bytes)
        if held_bytes:
            self._take_rate.note(self.loop.time(), self._taken_bytes)
            memory.limit_sum()

    def find_drain_s(self, now_s: float) -> float:
        """Return the expected time until the caller has taken everything.

        What waits for an earlier response is expected to do so for as long
        again as the request of that one has waited.
        """
        paced_bytes = sum(len(item.remaining) for item in self._paced_writes)
        if self._has_unsent:
            self._take_rate.note(now_s, self._taken_bytes)
            return self._take_rate.find_duration_s(
                now_s, self._unsent_bytes + paced_bytes + self._ready_bytes
            )
        if paced_bytes:
            return self.service.pacer.wait_s
        return now_s - self.pending[0].received_s if self.pending else 0.0

    def give_way(self) -> None:
        """Close the connection: others wait for the memory that it takes."""
        LOG.warning(
            'caller does not read',
            extra={'detail': f'{self._unsent_bytes} bytes unsent'},
        )
        self.transport.abort()
        self._stop_sending()

    # Load.

    def add_load(self, load: _load.ServiceLoad) -> None:
        """Add the pending requests and responses of this connection."""
        ready = [
            item.response.size_bytes for item in self.pending if item.response
        ]
        paced = [len(item.remaining) for item in self._paced_writes]
        unwritten = self._unsent_bytes
        unacknowledged = 0
        if self.loop.time() < self._large_unacknowledged_until_s:
            unacknowledged = _sockets.find_unacknowledged_bytes(self.transport)
        written = len(paced) or int(unwritten > 0)
        load.requests += len(self.pending) - len(ready)
        load.answers += len(ready) + (written or int(unacknowledged > 0))
        load.held_answers += len(ready) + written
        load.held_bytes += sum(ready) + sum(paced) + unwritten
        load.unacknowledged_bytes += unacknowledged
        if self.pending:
            load.oldest_since_s = min(
                load.oldest_since_s, self.pending[0].received_s
            )
        elif written or unacknowledged:
            load.oldest_since_s = min(
                load.oldest_since_s, self.last_activity_s
            )

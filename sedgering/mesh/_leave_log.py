"""One log line a second on what a leaving daemon waits for, and its end."""

import asyncio
import heapq
import logging
import time

from sedgering.mesh import _inbound
from sedgering.mesh import _outbound
from sedgering.mesh import _pause
from sedgering import observability
from sedgering import transport

__all__ = ['LeaveLog']

LOG = logging.getLogger(__name__)

#: Between two lines: a daemon has some seconds to leave.
INTERVAL_S = 1.0
#: Most requests named in one line, the oldest first.
MOST_REQUESTS = 4


class LeaveLog:
    """Writes down what is under way while a daemon leaves.

    Parameters
    ----------
    outbound : OutboundService
        Requests of callers, and answers to them.
    inbound : InboundService
        Calls of peers, and answers to them.
    pause : PauseWatch
        Tells how late the event loop is.
    counts : RequestCounts
        Is told what is cut at the end.
    """

    def __init__(
        self,
        outbound: _outbound.OutboundService,
        inbound: _inbound.InboundService,
        pause: _pause.PauseWatch,
        counts: observability.RequestCounts,
    ):
        self.outbound = outbound
        self.inbound = inbound
        self.pause = pause
        self.counts = counts
        self._cpu_s = 0.0

    async def run(self) -> None:
        """Write a line each second until the daemon has left."""
        self.pause.take_longest_lag_s()
        self._cpu_s = time.process_time()
        while True:
            await asyncio.sleep(INTERVAL_S)
            self._write('leave waits')

    def note_end(self) -> None:
        """Write down, and count, what the end of the daemon cuts."""
        callers = self.outbound.find_load()
        peers = self.inbound.find_load()
        polls = self.inbound.desk.polls
        for label, number in (
            ('request', callers.requests),
            ('answer to a caller', callers.held_answers),
            ('call', peers.requests - polls),
            ('answer to a peer', peers.held_answers),
        ):
            for _ in range(number):
                self.counts.count('cut', label)
        number = len(self.outbound.connections)
        self._write('left', detail=f'{number} connections cut')

    def _write(self, message: str, **fields) -> None:
        now_s = asyncio.get_running_loop().time()
        oldest = heapq.nsmallest(
            MOST_REQUESTS,
            self.outbound.under_way,
            key=lambda item: item.request.received_s,
        )
        cpu_s, self._cpu_s = self._cpu_s, time.process_time()
        polls = self.inbound.desk.polls
        LOG.info(
            message,
            extra={
                'callers': _describe(self.outbound.find_load(), now_s, 0),
                'peers': _describe(self.inbound.find_load(), now_s, polls),
                'requests': [item.describe() for item in oldest],
                'request_ids': [item.request_id for item in oldest],
                'lag_ms': int(self.pause.take_longest_lag_s() * 1000),
                'cpu_ms': int((self._cpu_s - cpu_s) * 1000),
                **fields,
            },
        )


def _describe(load: transport.ServiceLoad, now_s: float, polls: int) -> str:
    """Say what one listener waits for."""
    # A poll whose connection has gone is given up a moment later.
    calls = max(0, load.requests - polls)
    text = (
        f'{calls} without answer, {load.answers} answers unread:'
        f' {load.held_bytes} bytes held,'
        f' {load.unacknowledged_bytes} in sockets,'
        f' oldest {load.find_age_ms(now_s)} ms'
    )
    return f'{text}, {polls} polls' if polls else text

"""Logs once a second what delays the shutdown of a daemon."""

import asyncio
import heapq
import logging
import time

from sedgering.mesh import _inbound
from sedgering.mesh import _outbound
from sedgering.mesh import _pause
from sedgering import observability
from sedgering import transport

__all__ = ['ShutdownLog']

LOG = logging.getLogger(__name__)

#: Interval between two lines; a daemon has several seconds to shut down.
INTERVAL_S = 1.0
#: Limit of requests listed in one line, the oldest first.
LISTED_REQUESTS = 4


class ShutdownLog:
    """Logs what is still under way while a daemon shuts down.

    Parameters
    ----------
    outbound : OutboundService
        Serves callers; provides the number of their requests and answers.
    inbound : InboundService
        Serves peers; provides the number of their calls and answers.
    pause : PauseDetector
        Measures the delay of the event loop.
    counts : RequestCounts
        Counts what is aborted at the end.
    """

    def __init__(
        self,
        outbound: _outbound.OutboundService,
        inbound: _inbound.InboundService,
        pause: _pause.PauseDetector,
        counts: observability.RequestCounts,
    ):
        self.outbound = outbound
        self.inbound = inbound
        self.pause = pause
        self.counts = counts
        self._cpu_s = 0.0

    async def run(self) -> None:
        """Log a line each second until cancelled."""
        self.pause.take_longest_lag_s()
        self._cpu_s = time.process_time()
        while True:
            await asyncio.sleep(INTERVAL_S)
            self._write('leave waits')

    def note_close(self) -> None:
        """Log which connections are closed although they could be used."""
        self._write('closing connections')

    def note_end(self) -> None:
        """Log and count what the end of the daemon aborts."""
        callers = self.outbound.find_load()
        peers = self.inbound.find_load()
        polls = self.inbound.poll_handler.polls
        for label, number in (
            ('request', callers.requests),
            ('answer to a caller', callers.held_answers),
            ('call', peers.requests - polls),
            ('answer to a peer', peers.held_answers),
        ):
            for _ in range(number):
                self.counts.count('cut', label)
        number = len(self.outbound.connections)
        self._write('left', detail=f'{number} connections aborted')

    def _write(self, message: str, **fields) -> None:
        now_s = asyncio.get_running_loop().time()
        oldest = heapq.nsmallest(
            LISTED_REQUESTS,
            self.outbound.in_flight,
            key=lambda item: item.request.received_s,
        )
        cpu_s, self._cpu_s = self._cpu_s, time.process_time()
        polls = self.inbound.poll_handler.polls
        LOG.info(
            message,
            extra={
                'callers': _describe(self.outbound.find_load(), now_s, 0),
                'peers': _describe(self.inbound.find_load(), now_s, polls),
                'caller_connections': _describe_uses(self.outbound),
                'peer_connections': _describe_uses(self.inbound),
                'requests': [item.describe() for item in oldest],
                'request_ids': [item.request_id for item in oldest],
                'lag_ms': int(self.pause.take_longest_lag_s() * 1000),
                'cpu_ms': int((self._cpu_s - cpu_s) * 1000),
                **fields,
            },
        )


def _describe(load: transport.ServiceLoad, now_s: float, polls: int) -> str:
    """Describe what one listener waits for."""
    # A poll whose connection has closed is still counted for a moment.
    calls = max(0, load.requests - polls)
    text = (
        f'{calls} without answer, {load.answers} answers unread:'
        f' {load.held_bytes} bytes held,'
        f' {load.unacknowledged_bytes} in sockets,'
        f' oldest {load.find_age_ms(now_s)} ms'
    )
    return f'{text}, {polls} polls' if polls else text


def _describe_uses(service: transport.Service) -> str:
    """Count the open connections by what they are used for."""
    uses = service.count_uses()
    return ', '.join(
        f'{uses[use]} {use.value}' for use in transport.ConnectionUse
    )

"""The control thread: events in, ticks, commands out."""

from collections.abc import Callable
import logging
import queue
import selectors
import socket
import threading
import time

import msgspec

from sedgering import base
from sedgering import clock
from sedgering import control
from sedgering import exceptions
from sedgering import messages
from sedgering import observability
from sedgering import peer
from sedgering.proxy import _workers

__all__ = ['ControlLoop']

LOG = logging.getLogger(__name__)

#: Headers of IPv4 and UDP on each datagram.
UDP_OVERHEAD_BYTES = 28
RECEIVE_BUFFER_BYTES = 1 << 20
#: Datagrams taken in before a tick runs, so that a flood cannot stop it.
DATAGRAMS_PER_TICK = 256


class ControlLoop:
    """Runs the systems whenever something arrives, and at each tick.

    Parameters
    ----------
    tables : ControlTables
        Written by this thread only.
    metrics : Metrics
        Counts bytes and refused messages.
    after_tick : callable
        Called in this thread after each tick with the tables.
    """

    def __init__(
        self,
        tables: control.ControlTables,
        metrics: observability.Metrics,
        after_tick: Callable[[control.ControlTables], None],
    ):
        self.tables = tables
        self.metrics = metrics
        self.after_tick = after_tick
        self.platform_worker: _workers.PlatformWorker | None = None
        self.peer_worker: _workers.PeerWorker | None = None
        self._systems: tuple[base.System, ...] = control.make_systems()
        self._events: queue.SimpleQueue = queue.SimpleQueue()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._is_stopping = threading.Event()
        self._bytes_in = metrics.control_bytes.labels('udp', 'in')
        self._bytes_out = metrics.control_bytes.labels('udp', 'out')

    def bind(self) -> None:
        """Bind the datagram port; raises OSError when it is taken."""
        own = self.tables.settings
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.bind((str(own.address), own.peer_port))
        self._socket.setblocking(False)

    def start(self) -> threading.Thread:
        """Run in the background."""
        thread = threading.Thread(
            target=self._run, name='control', daemon=True
        )
        thread.start()
        return thread

    def stop(self) -> None:
        """End after the tick under way."""
        self._is_stopping.set()
        self._wake()

    def post(self, event: msgspec.Struct | Callable[[], None]) -> None:
        """Hand an event over; a callable runs in the control thread."""
        self._events.put(event)
        self._wake()

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b'.')
        except BlockingIOError:
            # Full: the thread has not yet taken in earlier wake-ups.
            pass

    def _run(self) -> None:
        selector = selectors.DefaultSelector()
        selector.register(self._socket, selectors.EVENT_READ)
        selector.register(self._wake_reader, selectors.EVENT_READ)
        interval_s = self.tables.settings.tick_interval_ms / 1000
        while not self._is_stopping.is_set():
            ready = selector.select(interval_s)
            started_s = time.thread_time()
            for key, _mask in ready:
                if key.fileobj is self._socket:
                    self._receive()
                else:
                    self._drain_wake_ups()
            self._take_in_events()
            self._tick()
            self.metrics.tick_seconds.inc(time.thread_time() - started_s)

    def _receive(self) -> None:
        for _ in range(DATAGRAMS_PER_TICK):
            try:
                data, address = self._socket.recvfrom(
                    peer.MAX_DATAGRAM_BYTES + 1
                )
            except BlockingIOError:
                return
            except OSError as error:
                # Linux reports that an earlier datagram was rejected.
                LOG.debug('receive: %s', error)
                continue
            self._bytes_in.inc(len(data) + UDP_OVERHEAD_BYTES)
            self._file_datagram(data, address)

    def _file_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            datagram = peer.decode_datagram(data, self.tables.settings.mesh)
        except exceptions.PeerError as error:
            code = int(error.code)
            self.metrics.refused_messages.labels(str(code)).inc()
            LOG.debug('datagram refused', extra={'code': code})
            return
        self.tables.inbox.add(messages.ReceivedDatagram(datagram, address))

    def _drain_wake_ups(self) -> None:
        try:
            while self._wake_reader.recv(4096):
                pass
        except BlockingIOError:
            pass

    def _take_in_events(self) -> None:
        while True:
            try:
                event = self._events.get_nowait()
            except queue.Empty:
                return
            if callable(event):
                event()
            else:
                self.tables.inbox.add(event)

    def _tick(self) -> None:
        try:
            control.run_tick(self._systems, self.tables, clock.monotonic_ms())
        except Exception:
            # A defect in one decision must not end the process's control.
            LOG.exception('tick failed')
            self.tables.inbox.clear()
        self._carry_out()
        self.after_tick(self.tables)

    def _carry_out(self) -> None:
        outbox = self.tables.outbox
        for address, datagram in outbox.datagrams.items():
            self._send(address, datagram)
        for command in outbox.platform:
            self.platform_worker.submit(command)
        for command in outbox.peers:
            self.peer_worker.submit(command)
        outbox.clear()

    def _send(
        self, address: messages.PeerAddress, datagram: peer.Datagram
    ) -> None:
        data = peer.encode_datagram(datagram)
        if len(data) > peer.MAX_DATAGRAM_BYTES:
            # The rows go by another datagram, or by a pull later.
            datagram.rows = None
            data = peer.encode_datagram(datagram)
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            # Lost like any datagram that the network drops.
            LOG.debug('send: %s', error)
            return
        self._bytes_out.inc(len(data) + UDP_OVERHEAD_BYTES)

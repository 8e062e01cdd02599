"""Accepts callers, and waits for their next requests, in one thread.

Takes the place of cheroot's manager of connections, which closes all of its
connections at once when it stops, and resets those that it did not accept.
"""

import logging
import os
import select
import selectors
import socket
import threading
import time

from cheroot import server as cheroot_server
import msgspec

__all__ = ['ConnectionLoop', 'has_input']

LOG = logging.getLogger(__name__)

#: Time for which a leaving proxy waits for the first request of a connection.
FIRST_REQUEST_S = 5.0
#: Time without requests of any caller after which kept connections are closed.
#: Callers that go on sending are told to close with their next response.
QUIET_S = 1.0


class _Idle(msgspec.Struct, frozen=True):
    """A connection without a request.

    Parameters
    ----------
    connection : HTTPConnection
        Waits to be read.
    since_s : float
        Monotonic time of its last response, or of its start.
    is_new : bool
        Whether it has carried no request yet.
    """

    connection: cheroot_server.HTTPConnection
    since_s: float
    is_new: bool


class ConnectionLoop:
    """All connections of callers, with a request or without.

    Has the interface of `cheroot.connections.ConnectionManager`.

    Parameters
    ----------
    server : HTTPServer
        Its socket listens already.
    """

    def __init__(self, server: cheroot_server.HTTPServer):
        self.server = server
        self._lock = threading.Lock()
        self._selector = selectors.DefaultSelector()
        self._wakeup = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._idle: dict[int, _Idle] = {}
        self._busy: set[cheroot_server.HTTPConnection] = set()
        self._heard_s = time.monotonic()
        self._is_stopping = False
        self._stops_listening = False
        self._listener_closed = threading.Event()
        self._is_stopped = threading.Event()
        server.socket.setblocking(False)
        self._selector.register(self._wakeup, selectors.EVENT_READ)
        self._selector.register(server.socket, selectors.EVENT_READ)

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether one more connection may be kept."""
        return len(self._idle) < self.server.keep_alive_conn_limit

    def run(self, expiration_interval: float) -> None:
        """Serve until :meth:`stop`.

        Parameters
        ----------
        expiration_interval : float
            Time between two looks for expired connections, in seconds.
        """
        self._is_stopped.clear()
        try:
            self._run(expiration_interval)
        finally:
            self._is_stopped.set()

    def stop_listening(self) -> None:
        """Accept what is established, and no more; waits for :meth:`run`."""
        if not self._listener_closed.is_set():
            self._stops_listening = True
            self._wake()
            self._listener_closed.wait()

    def expects_request(self) -> bool:
        """Whether a request is under way, or may be on its way."""
        now_s = time.monotonic()
        is_quiet = now_s - self._heard_s >= QUIET_S
        with self._lock:
            return bool(self._busy) or any(
                now_s - item.since_s < FIRST_REQUEST_S
                if item.is_new
                else not is_quiet
                for item in self._idle.values()
            )

    def put(self, connection: cheroot_server.HTTPConnection) -> None:
        """Keep a connection until its next request arrives."""
        if connection.rfile.has_data():
            self.server.process_conn(connection)
            return
        self._keep(connection, is_new=False)

    def discard(self, connection: cheroot_server.HTTPConnection) -> None:
        """Forget a connection that is being closed."""
        with self._lock:
            self._busy.discard(connection)

    def stop(self) -> None:
        """End :meth:`run`."""
        self._is_stopping = True
        self._wake()
        self._is_stopped.wait()

    def close(self) -> None:
        """Close the connections on which nothing has arrived."""
        self._close_until(time.monotonic())
        self._selector.close()
        os.close(self._wakeup)

    def _run(self, interval_s: float) -> None:
        next_check_s = time.monotonic() + interval_s
        while not self._is_stopping:
            for key, _events in self._selector.select(interval_s):
                self._serve(key.fd)
            if self._stops_listening and not self._listener_closed.is_set():
                self._close_listener()
            now_s = time.monotonic()
            if now_s >= next_check_s:
                next_check_s = now_s + interval_s
                self._expire(now_s)
                self._listen_again()

    def _wake(self) -> None:
        os.eventfd_write(self._wakeup, 1)

    def _serve(self, descriptor: int) -> None:
        if descriptor == self._wakeup:
            os.eventfd_read(self._wakeup)
            return
        item = self._release(descriptor)
        if item is None:
            self._accept()
            return
        self._heard_s = time.monotonic()
        self.server.process_conn(item.connection)

    def _accept(self) -> None:
        try:
            accepted, address = self.server.socket.accept()
        except BlockingIOError:
            return
        except OSError as error:
            # Without a free descriptor, the next try would fail at once too.
            LOG.warning('not accepted', extra={'detail': str(error)})
            self._selector.unregister(self.server.socket)
            return
        self._add(accepted, address)

    def _add(self, accepted: socket.socket, address: tuple[str, int]) -> None:
        accepted.settimeout(self.server.timeout)
        connection = self.server.ConnectionClass(self.server, accepted)
        connection.remote_addr, connection.remote_port = address
        self._keep(connection, is_new=True)

    def _close_listener(self) -> None:
        try:
            # The callers are served only once the socket is closed: they would
            # connect again, and the queue might never be empty.
            for accepted, address in self._accept_all():
                self._add(accepted, address)
        finally:
            self._listener_closed.set()

    def _accept_all(self) -> list[tuple[socket.socket, tuple[str, int]]]:
        """Accept what waits in the queue: closing would reset it."""
        listener, self.server.socket = self.server.socket, None
        if listener in self._selector.get_map():
            self._selector.unregister(listener)
        accepted = []
        with listener:
            try:
                while True:
                    accepted.append(listener.accept())
            except BlockingIOError:
                pass
            except OSError as error:
                LOG.warning(
                    'listen queue is reset', extra={'detail': str(error)}
                )
        return accepted

    def _listen_again(self) -> None:
        listener = self.server.socket
        if listener is None or listener in self._selector.get_map():
            return
        self._selector.register(listener, selectors.EVENT_READ)

    def _keep(self, connection, is_new: bool) -> None:
        descriptor = connection.socket.fileno()
        item = _Idle(connection, time.monotonic(), is_new)
        with self._lock:
            self._busy.discard(connection)
            self._idle[descriptor] = item
            self._selector.register(descriptor, selectors.EVENT_READ)

    def _release(self, descriptor: int) -> _Idle | None:
        """Take a connection out to use it; None if it is not there."""
        with self._lock:
            item = self._idle.pop(descriptor, None)
            if item is not None:
                self._selector.unregister(descriptor)
                self._busy.add(item.connection)
            return item

    def _expire(self, now_s: float) -> None:
        self._close_until(now_s - self.server.timeout)

    def _close_until(self, limit_s: float) -> None:
        """Close what is without a request since a time or longer."""
        with self._lock:
            expired = [
                descriptor
                for descriptor, item in self._idle.items()
                if item.since_s <= limit_s
            ]
        for descriptor in expired:
            connection = self._release(descriptor).connection
            if has_input(connection.socket):
                self.server.process_conn(connection)
            else:
                connection.close()


def has_input(connection: socket.socket, timeout_ms: int = 0) -> bool:
    """Return whether something can be read from a socket in time."""
    poller = select.poll()
    poller.register(connection, select.POLLIN)
    return bool(poller.poll(timeout_ms))

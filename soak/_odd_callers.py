"""Callers that use their connections in unusual, but valid ways."""

import random
import socket
import time

from soak import _callers

__all__ = ['EarlyLeaver', 'IDLE_LIMIT_S', 'make_odd_callers']

#: Idle limit of the configuration, and the share of it for which a caller
#: leaves its connection idle.
IDLE_LIMIT_S = 5.0
IDLE_SHARE = 0.8
PIECE_BYTES = 7
PIECE_PAUSE_S = 0.001
#: Range of the time after which a caller leaves.
LEAVE_AFTER_S = (0.0, 0.3)


class PieceCaller(_callers.Caller):
    """Caller that sends a few bytes at a time."""

    def _connect(self) -> None:
        super()._connect()
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _send(self, data: bytes) -> None:
        for start in range(0, len(data), PIECE_BYTES):
            self._socket.sendall(data[start : start + PIECE_BYTES])
            time.sleep(PIECE_PAUSE_S)


class IdleCaller(_callers.Caller):
    """Caller that reuses connections shortly before their idle limit."""

    pause_s = IDLE_SHARE * IDLE_LIMIT_S


class EarlyLeaver(_callers.Caller):
    """Caller that closes its connection before most answers."""

    def _read(self, record: _callers.CallRecord) -> bool:
        patience_s = self._draw_patience_s()
        if patience_s is None:
            return super()._read(record)
        self._socket.settimeout(patience_s)
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except (TimeoutError, BlockingIOError):
            record.has_left = True
            return False
        self._socket.settimeout(self.receive_timeout_s)
        return super()._read(record)

    def _draw_patience_s(self) -> float | None:
        """Return how long it waits for an answer to begin; None for ever."""
        return self._rng.uniform(*LEAVE_AFTER_S)


class HalfCloser(_callers.Caller):
    """Caller that closes its sending direction after each request."""

    def _send(self, data: bytes) -> None:
        super()._send(data)
        self._socket.shutdown(socket.SHUT_WR)

    def _read(self, record: _callers.CallRecord) -> bool:
        super()._read(record)
        return False


KINDS = {
    'piece': PieceCaller,
    'idle': IdleCaller,
    'early': EarlyLeaver,
    'half': HalfCloser,
}


def make_odd_callers(seed: int, daemons: list) -> list[_callers.Caller]:
    """Make one caller of each kind for each host.

    Parameters
    ----------
    seed : int
        Seed of their own generators.
    daemons : list of Daemon
        Daemons of the hosts.
    """
    callers = []
    for daemon in daemons:
        for name, make in KINDS.items():
            rng = random.Random(f'{name} {daemon.name} {seed}')
            callers.append(
                make(f'{daemon.name}-{name}', daemon, rng.randrange(1 << 30))
            )
    return callers

"""Limits of memory and descriptors that daemons run under."""

import asyncio
import contextlib
import math
import os
import pathlib
import resource
import signal

import msgspec

from soak import _daemons

__all__ = ['LimitWatch', 'Usage']

INTERVAL_S = 0.05
KB_PER_MB = 1024
#: Time from the end of a process at its limit to its restart.
RESTART_DELAY_S = 1.0


class Usage(msgspec.Struct):
    """What a process has used at most.

    Parameters
    ----------
    memory_mb : float
        Peak of its resident memory.
    descriptors : int
        Most open descriptors that were seen.
    """

    memory_mb: float = 0.0
    descriptors: int = 0

    def add(self, other: 'Usage') -> None:
        """Keep the greater values."""
        self.memory_mb = max(self.memory_mb, other.memory_mb)
        self.descriptors = max(self.descriptors, other.descriptors)

    def __str__(self) -> str:
        return f'{self.memory_mb:.0f} MB and {self.descriptors} descriptors'


class LimitWatch:
    """Applies the limits in the settings of a daemon, as the platform does.

    A process above its memory is killed.

    Parameters
    ----------
    daemon : Daemon
        The daemon.
    """

    def __init__(self, daemon: _daemons.Daemon):
        self.daemon = daemon
        #: Most that any of its processes used.
        self.peak = Usage()
        #: Descriptions of processes that were killed at their limit.
        self.kills: list[str] = []
        self._limited_pid = 0

    async def run(self, restart) -> None:
        """Watch the processes of the daemon until cancelled.

        Parameters
        ----------
        restart : callable
            Starts the daemon again.
        """
        while True:
            if self.check():
                await asyncio.sleep(RESTART_DELAY_S)
                await restart()
            await asyncio.sleep(INTERVAL_S)

    def check(self) -> bool:
        """Look at the process; return whether it was killed at its limit."""
        if not self.daemon.is_running:
            return False
        pid = self.daemon.process.pid
        self._limit_descriptors(pid)
        usage = _read_usage(pid)
        self.peak.add(usage)
        memory_mb = self.daemon.limits.get('memory_mb', math.inf)
        if usage.memory_mb <= memory_mb:
            return False
        # Not by `Daemon.signal`: nobody has asked for this end.
        self.daemon.process.send_signal(signal.SIGKILL)
        self.kills.append(
            f'FAULT, {self.daemon.name} was killed at its limit of '
            f'{memory_mb:.0f} MB, with {usage}'
        )
        return True

    def _limit_descriptors(self, pid: int) -> None:
        most = self.daemon.limits.get('max_fds')
        if most is None or pid == self._limited_pid:
            return
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (most, most))
            self._limited_pid = pid


def _read_usage(pid: int) -> Usage:
    """Return what a process uses, nothing if it has ended."""
    folder = pathlib.Path(f'/proc/{pid}')
    try:
        descriptors = len(os.listdir(folder / 'fd'))
        for line in (folder / 'status').read_text().splitlines():
            if line.startswith('VmHWM:'):
                memory_mb = int(line.split()[1]) / KB_PER_MB
                return Usage(memory_mb, descriptors)
    except (OSError, IndexError):
        pass
    return Usage()

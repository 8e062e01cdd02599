"""Daemons and the stand-in store as child processes."""

import asyncio
import math
import os
import pathlib
import signal
import sys
import time
from typing import BinaryIO

import yaml

from sedgering import platform
from sedgering import testing
from sedgering.testing import judges
from soak import _links
from soak import _slow_logs

__all__ = ['Daemon', 'FarLinkProcess', 'StoreProcess', 'make_address']

CALLERS_PORT = 7101
READINESS_PORT = 7102
REPORTS_PORT = 7103
PEERS_PORT = 7600
ADVERTISED_PORT = 7700
TARGET_PORT = 7900
STORE_PORT = 7800
STORE_LINK_PORT = 7801
GRACE_S = 6.0
NS_PER_S = 1_000_000_000
PORTS = {
    'callers': CALLERS_PORT,
    'readiness': READINESS_PORT,
    'reports': REPORTS_PORT,
    'peers': PEERS_PORT,
    'target': TARGET_PORT,
    'store': STORE_LINK_PORT,
}
LINK_MBPS = 1000.0
#: Difference in link capacity between two settings files of one length.
OTHER_LINK_MBPS = 0.5
DRAIN_S = 2.0


def make_address(number: int) -> str:
    """Make a loopback address that differs between processes."""
    pid = os.getpid()
    return f'127.{64 + pid % 128}.{pid // 128 % 250}.{number + 1}'


class _Process:
    """Child process that can be started, signalled and restarted."""

    def __init__(self, folder: pathlib.Path, name: str):
        self.folder = folder
        self.name = name
        #: Folder with the code to run; None for the working directory.
        self.code_folder: pathlib.Path | None = None
        self.process: asyncio.subprocess.Process | None = None
        #: Whether its log output goes to a pipe that is read slowly.
        self.has_slow_log = False
        #: When it was last started.
        self.started_s = 0.0
        #: Ends of the processes so far.
        self.ends: list[judges.ProcessEnd] = []
        self._watchers: set[asyncio.Task] = set()
        #: When signals that may end the process were first sent to it.
        self._signalled_s: dict[signal.Signals, float] = {}

    async def _start(self, arguments: list[str], **environment: str) -> None:
        with self._open_log() as output:
            self.started_s = time.monotonic()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                *arguments,
                stdout=output,
                stderr=output,
                env={**os.environ, **environment},
                cwd=self.code_folder,
            )
        self._signalled_s = {}
        watcher = asyncio.ensure_future(
            self._watch(self.process, self._signalled_s, self.started_s)
        )
        self._watchers.add(watcher)
        watcher.add_done_callback(self._watchers.discard)

    def _open_log(self) -> BinaryIO:
        path = self.folder / f'{self.name}.log'
        if self.has_slow_log:
            return open(_slow_logs.start_slow_reader(path), 'wb')
        return path.open('ab')

    async def _watch(self, process, signalled_s, started_s: float) -> None:
        """Record the end of a process."""
        status = await process.wait()
        self.ends.append(
            judges.ProcessEnd(
                self.name,
                started_s,
                time.monotonic(),
                status,
                signalled_s.get(signal.SIGTERM, math.inf),
                signalled_s.get(signal.SIGKILL, math.inf),
            )
        )

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    def read_run_delay_s(self) -> float:
        """Return how long the main thread has waited for a processor."""
        try:
            path = pathlib.Path(f'/proc/{self.process.pid}/schedstat')
            return int(path.read_text().split()[1]) / NS_PER_S
        except (OSError, IndexError):
            return 0.0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            self._signalled_s.setdefault(number, time.monotonic())
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self.is_running:
            self.signal(signal.SIGKILL)
            await self.process.wait()


class StoreProcess(_Process):
    """Stand-in for the store of the platform."""

    def __init__(self, folder: pathlib.Path, address: str):
        super().__init__(folder, 'store')
        self.address = address

    async def start(self) -> None:
        """Start the process; it listens shortly after."""
        await self._start(
            [
                *('sedgering.cli.standin', 'platform'),
                *('--port', str(STORE_PORT), '--address', self.address),
            ]
        )


class FarLinkProcess(_Process):
    """Links of the callers that are far away.

    Parameters
    ----------
    folder : Path
        Folder of its log.
    links : list of str
        Arguments of the program.
    """

    def __init__(self, folder: pathlib.Path, links: list[str]):
        super().__init__(folder, 'links')
        self.links = links

    async def start(self) -> None:
        """Start the process if there are links."""
        if self.links:
            await self._start(['soak._far_links', *self.links])


class Daemon(_Process):
    """One daemon with its links to peers and to the store.

    Parameters
    ----------
    folder : Path
        Folder of settings and logs.
    number : int
        Number of the host, which determines its address.
    target_set, data_centre : str
        Values in the settings file of the platform.
    store_address : str
        Address of the store.
    mesh_settings : dict
        Settings of the request path.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        number: int,
        target_set: str,
        data_centre: str,
        store_address: str,
        mesh_settings: dict,
    ):
        super().__init__(folder, f'host-{number}')
        self.address = make_address(number)
        self.target_set = target_set
        self.data_centre = data_centre
        #: Link capacity in the settings file of the daemon.
        self.link_mbps = LINK_MBPS
        #: Whether the operator uses rollouts.
        self.has_rollouts = False
        #: Limits of its processes in the settings.
        self.limits: dict[str, int] = {}
        #: Whether the settings state a slightly higher link capacity.
        self.has_other_link_rate = False
        #: Number of starts so far.
        self.lifetime = 0
        #: Whether its monotonic clock can leave out suspensions.
        self.is_suspendable = True
        #: When it was last started, stopped, paused or resumed.
        self.disturbed_s = 0.0
        self.peer_link = _links.Link(
            self.address, ADVERTISED_PORT, self.address, PEERS_PORT
        )
        self.store_link = _links.Link(
            self.address, STORE_LINK_PORT, store_address, STORE_PORT
        )
        self.settings_path = folder / f'{self.name}.json'
        self._config_path = folder / f'{self.name}.yaml'
        self._config_path.write_text(
            yaml.safe_dump(
                {**mesh_settings, 'advertised_port': ADVERTISED_PORT}
            )
        )

    async def start_links(self) -> None:
        """Start the links, which stay open when the daemon restarts."""
        await self.peer_link.start()
        await self.store_link.start()

    async def start(self) -> None:
        """Start the daemon."""
        self.lifetime += 1
        self.settings_path.write_bytes(self.encode_settings())
        launcher = ['soak._suspendable'] if self.is_suspendable else []
        await self._start(
            [
                *launcher,
                'sedgering.cli.daemon',
                f'--config={self._config_path}',
                *(
                    f'{self.address}:{port}'
                    for port in (CALLERS_PORT, REPORTS_PORT, READINESS_PORT)
                ),
            ],
            **{platform.SETTINGS_VARIABLE: str(self.settings_path)},
        )

    async def suspend(self, for_s: float) -> None:
        """Simulate a suspended host.

        SIGUSR1 makes the monotonic clock of the daemon leave out the time
        until SIGCONT.
        """
        self.signal(signal.SIGUSR1)
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.signal(signal.SIGCONT)

    def encode_settings(self) -> bytes:
        """Return the settings file of the platform."""
        return testing.make_daemon_settings(
            self.name,
            self.data_centre,
            self.target_set,
            self.address,
            PORTS,
            self.link_mbps + OTHER_LINK_MBPS * self.has_other_link_rate,
            self.has_rollouts,
            self.limits,
        )

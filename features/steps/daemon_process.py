"""A daemon as a process of its own, whose store does not answer."""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from sedgering import platform
from sedgering import testing
from soak import _daemons

ROOT = pathlib.Path(__file__).parent.parent.parent
#: Apart from the addresses of other processes of the same test run.
HOST_NUMBER = 201
WAIT_S = 10.0
#: What a failed step shows of the log.
LOG_CHARACTERS = 2000
REQUEST = b'GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n'


class DaemonProcess:
    """The daemon's program with its ports opened first, as deployed."""

    #: Arguments of the interpreter.
    program = '-P', '-m', 'sedgering.cli.daemon'

    def __init__(self, folder: pathlib.Path):
        self.address = _daemons.make_address(HOST_NUMBER)
        self.settings_path = folder / 'settings.json'
        self.log_path = folder / 'daemon.log'
        self.process: subprocess.Popen | None = None
        self.write_settings(self.make_settings())

    def make_settings(self) -> bytes:
        """Make the content of the settings file."""
        return testing.make_daemon_settings(
            'h0',
            'north',
            'calendar',
            self.address,
            _daemons.PORTS,
            _daemons.LINK_MBPS,
        )

    def write_settings(self, data: bytes) -> None:
        """Replace the settings file."""
        path = self.settings_path.with_suffix('.new')
        path.write_bytes(data)
        path.replace(self.settings_path)

    def start(self, **streams) -> None:
        """Start the process; its output goes to the log file by default.

        Parameters
        ----------
        **streams
            Arguments of `subprocess.Popen` in place of the log file.
        """
        ports = (
            _daemons.CALLERS_PORT,
            _daemons.REPORTS_PORT,
            _daemons.READINESS_PORT,
        )
        environment = {platform.SETTINGS_VARIABLE: str(self.settings_path)}
        with self.log_path.open('ab') as output:
            self.process = subprocess.Popen(
                [
                    *(sys.executable, *self.program),
                    *(f'{self.address}:{port}' for port in ports),
                ],
                cwd=ROOT,
                env={**os.environ, **environment, 'PYTHONPATH': str(ROOT)},
                **(streams or {'stdout': output, 'stderr': output}),
            )

    def connect(self, port: int = _daemons.READINESS_PORT) -> socket.socket:
        """Connect as soon as the port is open."""
        end_s = time.monotonic() + WAIT_S
        while True:
            try:
                return socket.create_connection((self.address, port), WAIT_S)
            except ConnectionRefusedError:
                assert time.monotonic() < end_s, self.read_log()
                assert self.process.poll() is None, self.read_log()

    def send_signal(self, name: str) -> None:
        """Send a signal by its name."""
        self.process.send_signal(signal.Signals[name])

    def wait(self, limit_s: float) -> int:
        """Wait until the process has ended; return its status."""
        return self.process.wait(limit_s)

    def read_log(self) -> str:
        """Return what the process has written so far."""
        return self.log_path.read_text()[-LOG_CHARACTERS:]

    def wait_log(self, text: str) -> None:
        """Wait until the process has written a text."""
        end_s = time.monotonic() + WAIT_S
        while text not in self.log_path.read_text():
            assert time.monotonic() < end_s, self.read_log()
            time.sleep(0.01)

    def stop(self) -> None:
        """Kill the process if it is still there."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


def make_daemon_process(context) -> DaemonProcess:
    """Make a daemon process that ends with the scenario."""
    stack = contextlib.ExitStack()
    context.cleanups.append(stack.close)
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    daemon = DaemonProcess(pathlib.Path(folder))
    stack.callback(daemon.stop)
    return daemon


def read_status(connection: socket.socket) -> int:
    """Read the status of one response."""
    data = b''
    while b'\r\n\r\n' not in data:
        piece = connection.recv(4096)
        assert piece, data
        data += piece
    return int(data.split(b' ', 2)[1])

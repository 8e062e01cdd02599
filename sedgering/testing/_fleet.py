"""Starts and stops the processes of a small fleet on loopback.

For development only: no program of the product starts another process.
"""

from collections.abc import Sequence
import contextlib
import itertools
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import msgspec
import urllib3
import yaml

from sedgering.testing import _engine

__all__ = [
    'Fleet',
    'ProxyProcess',
    'free_ports',
    'is_listening',
    'make_fleet',
]

ADDRESS = '127.0.0.1'
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.05


def free_ports(count: int) -> list[int]:
    """Find ports that are free for both TCP and UDP.

    All sockets stay bound until the last port is found, so that no port is
    returned twice.
    """
    ports = []
    with contextlib.ExitStack() as held:
        while len(ports) < count:
            tcp = held.enter_context(socket.socket())
            tcp.bind((ADDRESS, 0))
            port = tcp.getsockname()[1]
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            held.enter_context(udp)
            try:
                udp.bind((ADDRESS, port))
            except OSError:
                continue
            ports.append(port)
    return ports


def is_listening(port: int) -> bool:
    """Return whether a process accepts connections on a loopback port."""
    try:
        socket.create_connection((ADDRESS, port), timeout=1.0).close()
    except OSError:
        return False
    return True


class ProxyProcess(msgspec.Struct):
    """One sedgering-proxy process and its ports."""

    host: str
    data_centre: str
    data_port: int
    peer_port: int
    admin_port: int
    config: pathlib.Path
    process: subprocess.Popen | None = None


class Fleet:
    """Platform stand-in and proxies, each in a separate process.

    Parameters
    ----------
    folder : Path
        Directory of the settings files and logs.
    mesh : str
        Mesh of all proxies.
    overrides : dict
        Settings of every proxy that replace the defaults.
    """

    def __init__(self, folder: pathlib.Path, mesh: str, overrides: dict):
        self.folder = folder
        self.mesh = mesh
        self.overrides = overrides
        self.platform_port = free_ports(1)[0]
        self.proxies: list[ProxyProcess] = []
        self.http = urllib3.PoolManager(
            num_pools=400, timeout=5.0, retries=False
        )
        self._processes: list[subprocess.Popen] = []

    def start_platform(self) -> None:
        """Start the platform stand-in and wait until it responds."""
        self.start_program(
            'standin',
            ['platform', '--port', str(self.platform_port)],
            'platform',
        )
        self.wait_until(lambda: self.stats() is not None, 'platform')

    def add_proxies(self, data_centres: Sequence[str]) -> None:
        """Write the settings of one proxy per entry and start the proxy."""
        ports = free_ports(3 * len(data_centres))
        for index, data_centre in enumerate(data_centres):
            data_port, peer_port, admin_port = ports[3 * index : 3 * index + 3]
            number = len(self.proxies) + 1
            proxy = ProxyProcess(
                f'{data_centre}-{number:03d}',
                data_centre,
                data_port,
                peer_port,
                admin_port,
                self.folder / f'proxy-{number:03d}.yaml',
            )
            self._write_settings(proxy)
            self.start_proxy(proxy)
            self.proxies.append(proxy)

    def start_proxy(self, proxy: ProxyProcess) -> None:
        """Start or restart a proxy."""
        proxy.process = self.start_program(
            'proxy', ['--config', str(proxy.config)], proxy.host
        )

    def start_program(
        self, name: str, arguments: list[str], log: str
    ) -> subprocess.Popen:
        """Start a program that appends its output to a log file."""
        with (self.folder / f'{log}.log').open('ab') as output:
            process = subprocess.Popen(
                [sys.executable, '-m', f'sedgering.cli.{name}', *arguments],
                stdout=output,
                stderr=output,
            )
        self._processes.append(process)
        return process

    def make_targets(
        self,
        proxies: Sequence[ProxyProcess],
        target_sets: Sequence[str],
        **options,
    ) -> list[dict]:
        """Make the settings of one target per entry.

        Parameters
        ----------
        proxies : sequence of ProxyProcess
            Proxies on whose hosts the targets run, in round-robin order.
        target_sets : sequence of str
            Target set of each target to make.
        **options
            Further fields of :class:`TargetSettings`.
        """
        ports = free_ports(len(target_sets))
        hosts = itertools.cycle(proxies)
        return [
            {
                'name': f'{target_set}-{port}',
                'target_set': target_set,
                'address': ADDRESS,
                'port': port,
                'admin_port': next(hosts).admin_port,
                **options,
            }
            for target_set, port in zip(target_sets, ports)
        ]

    def start_targets(self, targets: list[dict]) -> subprocess.Popen:
        """Start all given target stand-ins in one process."""
        number = len(list(self.folder.glob('targets-*.yaml')))
        config = self.folder / f'targets-{number}.yaml'
        config.write_text(yaml.safe_dump(targets))
        arguments = ['targets', '--config', str(config)]
        return self.start_program('standin', arguments, config.stem)

    def wait_targets(self, expected: dict[str, int]) -> None:
        """Wait until every proxy knows the expected targets per set."""
        for proxy in self.proxies:
            self.wait_until(
                lambda proxy=proxy: (
                    (self.status(proxy) or {}).get('targets') == expected
                ),
                f'{proxy.host} to know {expected}',
            )

    def run_operator(self, *arguments: str, needs_config: bool = True) -> str:
        """Run `sedgering` to completion and return its standard output.

        Raises
        ------
        RuntimeError
            With the output of the program when its exit status is not 0.
        """
        command = [sys.executable, '-m', 'sedgering.cli.operator', *arguments]
        if needs_config:
            command += ['--config', str(self.write_operator_settings())]
        completed = subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=START_TIMEOUT_S,
        )
        if completed.returncode:
            raise RuntimeError(completed.stdout + completed.stderr)
        return completed.stdout

    def roll_file(self, path: pathlib.Path) -> int:
        """Sign off and roll a bundle; return its version."""
        self.run_operator('sign-off', str(path))
        history = self.run_operator('history', '--json')
        version = sum(1 for _line in history.splitlines())
        self.run_operator('roll', str(version))
        return version

    def write_operator_settings(self) -> pathlib.Path:
        """Write the settings file of the operator's tools."""
        path = self.folder / 'operator.yaml'
        content = {
            'mesh': self.mesh,
            'operator': 'anna',
            'platform': self._make_platform_settings(),
        }
        path.write_text(yaml.safe_dump(content))
        return path

    def status(self, proxy: ProxyProcess) -> dict | None:
        """Return the status of a proxy; None if it does not respond."""
        return self.get_json(proxy.admin_port, '/status')

    def control_bytes(self, proxy: ProxyProcess) -> float:
        """Return the number of control bytes that a proxy has received."""
        samples = self._samples(proxy, 'sedgering_control_bytes_total')
        return sum(
            value for name, value in samples if 'direction="in"' in name
        )

    def sum_metric(self, name: str) -> float:
        """Return the sum of a metric over all proxies."""
        return sum(
            value
            for proxy in self.proxies
            for _name, value in self._samples(proxy, name)
        )

    def _samples(
        self, proxy: ProxyProcess, metric: str
    ) -> list[tuple[str, float]]:
        response = self.http.request(
            'GET', f'http://{ADDRESS}:{proxy.admin_port}/metrics'
        )
        samples = []
        for line in response.data.decode().splitlines():
            name, _, value = line.rpartition(' ')
            if name.partition('{')[0] == metric:
                samples.append((name, float(value)))
        return samples

    def stats(self) -> _engine.Stats | None:
        """Return the counts of the platform; None if it does not respond."""
        found = self.get_json(self.platform_port, '/standin/stats')
        return None if found is None else msgspec.convert(found, _engine.Stats)

    def set_faults(self, **faults) -> None:
        """Replace the injected platform faults; no arguments clear them."""
        self.http.request(
            'POST',
            f'http://{ADDRESS}:{self.platform_port}/standin/faults',
            body=msgspec.json.encode(faults),
        )

    def wait_until(
        self, condition, what: str, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait for a condition, up to a timeout.

        Raises
        ------
        TimeoutError
            Naming the condition that was not met.
        """
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise TimeoutError(what)
            time.sleep(POLL_S)

    def wait_members(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until every proxy knows every other proxy."""
        count = len(self.proxies)
        for proxy in self.proxies:
            self.wait_until(
                lambda proxy=proxy: (
                    (self.status(proxy) or {}).get('members') == count
                ),
                f'{proxy.host} to know {count} members',
                timeout_s,
            )

    def wait_settled(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until the member tables of all proxies are equal."""
        self.wait_members(timeout_s)
        self.wait_until(
            self._are_members_equal, 'equal member tables', timeout_s
        )

    def _are_members_equal(self) -> bool:
        statuses = [self.status(proxy) or {} for proxy in self.proxies]
        return len({item.get('members_digest') for item in statuses}) == 1

    def wait_version(
        self, version: int, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until every proxy holds a version or a later one."""
        for proxy in self.proxies:
            self.wait_until(
                lambda proxy=proxy: (
                    (self.status(proxy) or {}).get('held_version', 0)
                    >= version
                ),
                f'{proxy.host} to hold version {version}',
                timeout_s,
            )

    def stop_proxies(self) -> None:
        """Kill all proxies and wait until they have exited."""
        _kill([proxy.process for proxy in self.proxies])

    def stop(self) -> None:
        """Kill every process that this fleet started."""
        _kill(self._processes)

    def get_json(self, port: int, path: str):
        """Fetch a JSON document from loopback; None if that fails."""
        try:
            response = self.http.request(
                'GET', f'http://{ADDRESS}:{port}{path}'
            )
        except urllib3.exceptions.HTTPError:
            return None
        if response.status != 200:
            return None
        return msgspec.json.decode(response.data)

    def _make_platform_settings(self) -> dict:
        return {'address': ADDRESS, 'port': self.platform_port}

    def _write_settings(self, proxy: ProxyProcess) -> None:
        content = {
            'mesh': self.mesh,
            'host': proxy.host,
            'data_centre': proxy.data_centre,
            'address': ADDRESS,
            'data_port': proxy.data_port,
            'peer_port': proxy.peer_port,
            'admin_port': proxy.admin_port,
            'platform': self._make_platform_settings(),
            **self.overrides,
        }
        proxy.config.write_text(yaml.safe_dump(content))


def _kill(processes: list[subprocess.Popen]) -> None:
    for process in processes:
        if process.poll() is None:
            process.send_signal(signal.SIGKILL)
    for process in processes:
        process.wait(STOP_TIMEOUT_S)


@contextlib.contextmanager
def make_fleet(mesh: str, overrides: dict | None = None):
    """Make a fleet whose processes are killed when the context exits.

    Parameters
    ----------
    mesh : str
        Mesh of all proxies.
    overrides : dict
        Settings of every proxy that replace the defaults.
    """
    with tempfile.TemporaryDirectory(prefix='sedgering-') as folder:
        fleet = Fleet(pathlib.Path(folder), mesh, overrides or {})
        try:
            yield fleet
        finally:
            fleet.stop()

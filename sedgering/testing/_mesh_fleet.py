"""Daemons, targets and a store in one event loop, in a separate thread."""

import asyncio
from collections.abc import Coroutine
import json
import threading
from typing import Any

import msgspec

from sedgering import base
from sedgering import mesh
from sedgering import platform
from sedgering.testing import _engine
from sedgering.testing import _fleet
from sedgering.testing import _loops
from sedgering.testing import _mesh_target
from sedgering.testing import _platform_calls
from sedgering.testing import _store_server
from sedgering import transport

__all__ = ['MeshFleet', 'MeshHost', 'make_document', 'make_member_row']

ADDRESS = '127.0.0.1'
#: Longest time that a test waits for a coroutine or a connection.
WAIT_TIMEOUT_S = 20.0
PORTS_PER_HOST = 5
HOST_HEADER = 'calendar.example'


def make_document(
    version: int,
    routes: list[dict],
    workspaces: dict[str, dict] | None = None,
    **limits: Any,
) -> bytes:
    """Make an operator's configuration document.

    Parameters
    ----------
    version : int
        Number of the version.
    routes : list of dict
        Fields of each route that replace the defaults, those of a
        repeatable route to `calendar`.
    workspaces : dict of str to dict
        Fields of each workspace, such as its keys, by workspace name.
    **limits
        Limits that replace the generous defaults.
    """
    resources = []
    services = set()
    for number, fields in enumerate(routes):
        spec = {
            'host': HOST_HEADER,
            'prefix': f'/r{number}/',
            'kind': 'safe',
            'timeout': '1000ms',
            'target_latency': '400ms',
            'priority': 1,
            'attempts': 2,
            'service': 'calendar',
            **fields,
        }
        services.update(
            share['service'] for share in spec.get('split', [spec])
        )
        name = fields.get('name', f'route-{number}')
        resources.append(_resource('routes', name, spec))
    for name in sorted(services):
        spec = {'health_path': '/health', 'max_connections': 130}
        resources.append(_resource('services', name, spec))
    for name, spec in (workspaces or {}).items():
        resources.append(_resource('tenants', name, spec))
    defaults = {
        'max_header_bytes': 16384,
        'max_body_bytes': 1048576,
        'header_timeout': '3000ms',
        'idle_timeout': '15000ms',
    }
    resources.append(_resource('limits', '', {**defaults, **limits}))
    document = {'version': f'r{version}', 'resources': resources}
    return json.dumps(document).encode()


def _resource(kind: str, name: str, spec: dict) -> dict:
    return {'resource_type': kind, 'metadata': {'name': name}, 'spec': spec}


def make_member_row(host: str, **fields: Any) -> mesh.MemberRow:
    """Make the row of a ready calendar target.

    Parameters
    ----------
    host : str
        Host of the row.
    **fields
        Fields that replace the defaults.
    """
    return mesh.MemberRow(
        **{
            'host': host,
            'data_centre': 'hall',
            'address': '10.0.0.1',
            'port': 1,
            'target_set': 'calendar',
            'target': 'i-1',
            'slots': 2,
            'state': mesh.TargetState.READY,
            **fields,
        }
    )


class MeshHost:
    """One host: its daemon, its target, and the state of the target.

    Parameters
    ----------
    name, target_set : str
        Name of the host and target set of its target.
    ports : list of int
        Free ports, :data:`PORTS_PER_HOST` of them.
    """

    def __init__(self, name: str, target_set: str, ports: list[int]):
        self.name = name
        self.target_set = target_set
        self.addresses = mesh.Addresses(ADDRESS, *ports[:4], ADDRESS, ports[4])
        self.books = _mesh_target.TargetBooks(f'i-{name}')
        #: Software version of the target.
        self.version = 'v1'
        self.daemon: mesh.MeshDaemon | None = None
        self.servers: list = []
        self.target_server: asyncio.AbstractServer | None = None
        self.sequence = 0
        #: Slots that the target reports.
        self.slots = 2
        #: Start of the lifetime of the target; 0 if it is not reported.
        self.born_ms = 0
        #: Number of lifetimes of the target that ended in a crash.
        self.crashes = 0


class MeshFleet:
    """A store and several hosts that a test starts and stops.

    Parameters
    ----------
    mesh_settings : MeshSettings
        Settings of all daemons.
    link_mbps : float
        Capacity of the link of each host in Mbit/s; 0 if it is unknown.
    is_first_start : bool
        Whether all daemons are configured for the first start of the fleet.
    has_rollouts : bool
        Whether all daemons are configured to follow the operator's rollouts.
    memory_mb : int
        Memory limit of each daemon in MB; 0 if it is unknown.
    """

    def __init__(
        self,
        mesh_settings: mesh.MeshSettings | None = None,
        link_mbps: float = 0,
        is_first_start: bool = False,
        has_rollouts: bool = False,
        memory_mb: int = 0,
    ):
        self.memory_mb = memory_mb
        self.is_first_start = is_first_start
        self.has_rollouts = has_rollouts
        self.link_mbps = link_mbps
        self.mesh_settings = mesh_settings or mesh.MeshSettings()
        self.loop = asyncio.new_event_loop()
        # A daemon thread, so that a task that never ends in one test does
        # not block the other tests.
        self.thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self.thread.start()
        self.store_port = _fleet.free_ports(1)[0]
        self.hosts: dict[str, MeshHost] = {}
        self.engine = _engine.PlatformEngine()
        self.store_service: _store_server.StoreService | None = None
        self.run(self._start_store())

    def run(self, work: Coroutine) -> Any:
        """Run a coroutine in the event loop and return its result."""
        future = asyncio.run_coroutine_threadsafe(work, self.loop)
        return future.result(WAIT_TIMEOUT_S)

    def add_host(
        self,
        name: str,
        target_set: str = 'calendar',
        version: str = 'v1',
        is_reporting: bool = True,
    ) -> MeshHost:
        """Start a host and let its target report that it is ready."""
        ports = _fleet.free_ports(PORTS_PER_HOST)
        host = MeshHost(name, target_set, ports)
        host.version = version
        self.hosts[name] = host
        self.run(self._start_host(host))
        if is_reporting:
            self.report(host)
        return host

    def kill(self, host: MeshHost) -> None:
        """Kill a daemon without deregistration."""
        self.run(self.close_daemon(host))

    def restart(self, host: MeshHost) -> None:
        """Kill a daemon and restart it next to the same target."""
        self.run(self.close_daemon(host))
        self.run(self.start_daemon(host))

    def terminate(self, host: MeshHost, grace_ms: int) -> None:
        """Let a daemon leave, and wait until it has left."""

        async def leave() -> None:
            await host.daemon.leave(grace_ms)
            await self.close_daemon(host)

        self.run(leave())

    def read_member(self, host: MeshHost) -> mesh.MemberRow | None:
        """Return the row of a host in the store."""
        (row,) = self.engine.read((host.name,), platform.MEMBERS_TABLE)
        if not row.revision:
            return None
        return msgspec.json.decode(row.value, type=mesh.MemberRow)

    def restart_all(self) -> None:
        """Kill all daemons, then restart them all."""
        for host in self.hosts.values():
            self.kill(host)
        for host in self.hosts.values():
            self.run(self.start_daemon(host))
        for host in self.hosts.values():
            self.report(host)

    def report(self, host: MeshHost, state: str = 'ready') -> int:
        """Send a heartbeat of a target; return the HTTP status."""
        host.sequence += 1
        return self.send_report(host, 'heartbeat', state).status

    def deregister(self, host: MeshHost) -> int:
        """Deregister a target; return the HTTP status."""
        return self.send_report(host, 'deregister').status

    def configure(self, document: bytes) -> None:
        """Write the operator's configuration document to the store."""
        self.engine.write('op', 'config', document)

    def order_rollout(
        self, target_set: str, version: str, duration_ms: int
    ) -> None:
        """Write the operator's order to roll a target set out to a version."""
        order = {
            'service': target_set,
            'to': version,
            'duration': f'{duration_ms}ms',
        }
        key = f'rollout/{target_set}'
        self.engine.write('op', key, json.dumps(order).encode())

    def read_rollout(self, target_set: str) -> str:
        """Return the rollout state shown to the operator; empty if none."""
        (row,) = self.engine.read((f'rollout/{target_set}',), 'status')
        return json.loads(row.value)['state'] if row.revision else ''

    def call(
        self, port: int, path: str, body: bytes | None = None, **headers: str
    ) -> transport.Response:
        """Send one request on a new connection."""
        return self.run(self.start_call(port, path, body, **headers))

    async def start_call(
        self, port: int, path: str, body: bytes | None = None, **headers: str
    ) -> transport.Response:
        """Send one request on a new connection; coroutine for the loop."""
        connection = await transport.connect(ADDRESS, port, WAIT_TIMEOUT_S)
        fields = [('Host', HOST_HEADER)]
        fields += [
            (name.replace('_', '-'), value) for name, value in headers.items()
        ]
        request = transport.Request(
            'GET' if body is None else 'POST',
            path,
            fields,
            body or b'',
            body is not None,
        )
        try:
            return await connection.exchange(
                transport.encode_request(request), lambda _response: True
            )
        finally:
            connection.close()

    def send_report(
        self, host: MeshHost, verb: str, state: str = 'draining'
    ) -> transport.Response:
        """Send a message of a target to the daemon beside it."""
        request = self._make_report(host, verb, state)
        port = host.addresses.reports_port
        return self.call(port, request.url, request.body)

    def _make_report(
        self, host: MeshHost, verb: str, state: str
    ) -> transport.Request:
        return _platform_calls.make_report(
            host.books.target,
            verb,
            host.target_set,
            state,
            host.sequence,
            host.slots,
            born_ms=host.born_ms,
            version=host.version,
        )

    def let_crash(self, host: MeshHost, back_after_s: float) -> None:
        """Let the target crash on a fatal request and restart later.

        Parameters
        ----------
        host : MeshHost
            Host of the target.
        back_after_s : float
            Time until the restart, which gives the target a new id.
        """
        host.books.end = lambda: self.crash(host, back_after_s)

    def crash(self, host: MeshHost, back_after_s: float) -> None:
        """Crash a target; must run in the thread of the event loop."""
        host.crashes += 1
        host.target_server.close()
        host.books.reset_connections()
        self.loop.call_later(
            back_after_s,
            lambda: self.loop.create_task(self._restart_target(host)),
        )

    async def _restart_target(self, host: MeshHost) -> None:
        host.books.target = f'i-{host.name}-{host.crashes}'
        await self._start_target(host)
        host.sequence = 1
        request = self._make_report(host, 'heartbeat', 'ready')
        port = host.addresses.reports_port
        await self.start_call(port, request.url, request.body)

    def wait_for(self, condition) -> None:
        """Wait until a condition holds; fail after half of the time limit."""

        async def poll() -> None:
            async with asyncio.timeout(WAIT_TIMEOUT_S / 2):
                while not condition():
                    await asyncio.sleep(0.01)

        self.run(poll())

    def wait_ready(self, members: int | None = None) -> None:
        """Wait until all daemons are ready and know the expected members."""
        count = len(self.hosts) if members is None else members
        self.wait_for(
            lambda: all(
                host.daemon.is_ready
                and len(host.daemon.state.fleet.members) == count
                for host in self.hosts.values()
            )
        )

    def stop(self) -> None:
        """Stop all hosts, the store and the event loop."""
        try:
            self.run(self._stop())
        finally:
            self.loop.call_soon_threadsafe(self.loop.stop)
            self.thread.join()
        _loops.finish_loop(self.loop)

    async def _start_store(self) -> None:
        self.store_service = _store_server.StoreService(self.engine)
        await transport.serve(self.store_service, ADDRESS, self.store_port)

    async def _start_host(self, host: MeshHost) -> None:
        await self._start_target(host)
        await self.start_daemon(host)

    async def _start_target(self, host: MeshHost) -> None:
        host.target_server = await self.loop.create_server(
            lambda: _mesh_target.TargetStandin(host.books),
            ADDRESS,
            host.addresses.target_port,
        )

    async def close_daemon(self, host: MeshHost) -> None:
        """End a daemon at once; coroutine for the loop."""
        for server in host.servers:
            server.close()
        await host.daemon.close()

    async def start_daemon(self, host: MeshHost) -> None:
        """Start a daemon; coroutine for the loop."""
        identity = mesh.MeshIdentity(
            base.HostId(host.name),
            base.DataCentre('hall'),
            base.TargetSetName(host.target_set),
            self.link_mbps,
            self.memory_mb,
        )
        client = platform.StoreClient(
            platform.LoopCarrier(
                platform.StoreSettings(ADDRESS, self.store_port)
            )
        )
        source = platform.make_mesh_source(
            client,
            identity.host,
            self.loop,
            self.is_first_start,
            self.has_rollouts,
        )
        host.daemon = mesh.make_mesh_daemon(
            identity,
            host.addresses,
            platform.HEADERS,
            self.mesh_settings,
            mesh.RetryWindow(0.2, 62, 10),
            source,
            platform.MESH,
        )
        daemon = host.daemon
        addresses = host.addresses
        host.servers = [
            await transport.serve(
                platform.ReadinessService(lambda: daemon.is_ready),
                ADDRESS,
                addresses.readiness_port,
            ),
            await transport.serve(
                platform.ReportsService(daemon),
                ADDRESS,
                addresses.reports_port,
            ),
        ]
        await daemon.start()

    async def _stop(self) -> None:
        for host in self.hosts.values():
            await self.close_daemon(host)
            host.target_server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

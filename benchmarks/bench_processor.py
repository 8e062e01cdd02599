"""Processor time of a daemon for a call, a version and an idle second.

    python -m benchmarks.bench_processor [--tree NAME=FOLDER ...]

Each daemon and the stand-in store run in their own processes, the target in
this one.  Each tree is a checkout whose daemons are compared with those of the
working directory.  The runs of all trees alternate, so that the load of the
machine is the same for all.  Results are in microseconds, as minimum, median
and maximum of the runs; the kernel counts the processor time of processes in
nanoseconds.  The last line is one JSON object.
"""

import argparse
import asyncio
import json
import pathlib
import statistics
import tempfile
import time

import msgspec

from sedgering import mesh
from sedgering import platform
from sedgering import testing
from sedgering import transport
from soak import _callers
from soak import _daemons
from soak import _probes
from soak import _targets

RUNS = 5
CALLS = 800
WARM_UP_CALLS = 200
IDLE_S = 2.0
#: Time for a version or rows to spread before the next measurement.
SETTLE_S = 1.5
ROUTES = 1200
TIMEOUT_S = 20.0
RETRY_INTERVAL_S = 0.05
NS_PER_US = 1000
SERVED_PATH = '/p0/'
#: Prefix of a route to a service without targets.
REFUSED_PATH = '/refused/'
MEMBER_COUNTS = (13, 67, 195)
MEMBER_TABLE = 'sedgering_members'


class TwoDaemonFleet:
    """Two daemons of one tree: one for callers, one next to a target.

    Parameters
    ----------
    folder : Path
        Directory for settings and logs.
    code_folder : Path
        Directory of the tree.
    """

    def __init__(self, folder: pathlib.Path, code_folder: pathlib.Path):
        self.store = _daemons.StoreProcess(folder, _daemons.make_address(2))
        self.daemons = [
            _daemons.Daemon(
                folder, number, name, 'hall', self.store.address, {}
            )
            for number, name in enumerate(('other', 'calendar'))
        ]
        for daemon in self.daemons:
            daemon.is_suspendable = False
            daemon.code_folder = code_folder
        ledger = _targets.Ledger()
        self.target = _targets.Target(self.daemons[1], ledger)
        self.version = 0
        self._last_request_id = 0

    async def start(self) -> None:
        """Start all parts, and wait until a call succeeds."""
        await self.store.start()
        await self._write_version()
        for daemon in self.daemons:
            await daemon.start_links()
            await daemon.start()
        await self.target.start()
        async with asyncio.timeout(TIMEOUT_S):
            while await self._fetch_status(SERVED_PATH) != 200:
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def stop(self) -> None:
        """Stop all parts."""
        if self.target.books is not None:
            self.target.stop()
        for daemon in self.daemons:
            daemon.peer_link.close()
            daemon.store_link.close()
            await daemon.kill()
        await self.store.kill()

    async def measure(self) -> dict[str, float]:
        """Return the measurements of one run in microseconds."""
        await self._send_calls(SERVED_PATH, WARM_UP_CALLS)
        first_hop_us, target_hop_us = await self._measure_us(
            self._send_calls(SERVED_PATH, CALLS), CALLS
        )
        refused_us, _target_daemon_us = await self._measure_us(
            self._send_calls(REFUSED_PATH, CALLS), CALLS
        )
        measured = {
            'first hop': first_hop_us,
            'hop at the target': target_hop_us,
            'refusal': refused_us,
        }
        (
            measured['version, one route changed'],
            _target_daemon_us,
        ) = await self._measure_us(self._change_version(), 1)
        for count in MEMBER_COUNTS:
            await self._write_members(count)
            await asyncio.sleep(SETTLE_S)
            idle_us, _target_daemon_us = await self._measure_us(
                asyncio.sleep(IDLE_S), IDLE_S
            )
            measured[f'second at rest, {count} members'] = idle_us
        return measured

    async def _measure_us(self, work, units: float) -> list[float]:
        """Return the processor time of each daemon per unit of work."""
        before = [self._read_ns(daemon) for daemon in self.daemons]
        await work
        after = [self._read_ns(daemon) for daemon in self.daemons]
        return [
            (after_ns - before_ns) / units / NS_PER_US
            for before_ns, after_ns in zip(before, after, strict=True)
        ]

    @staticmethod
    def _read_ns(daemon: _daemons.Daemon) -> int:
        path = pathlib.Path(f'/proc/{daemon.process.pid}/schedstat')
        return int(path.read_text().split()[0])

    async def _send_calls(self, path: str, count: int) -> None:
        """Send calls one after another on one connection."""
        connection = await transport.connect(
            self.daemons[0].address, _daemons.CALLERS_PORT, TIMEOUT_S
        )
        for _ in range(count):
            await connection.exchange(
                transport.encode_request(self._make_request(path)),
                lambda _response: True,
            )
        connection.close()

    def _make_request(self, path: str) -> transport.Request:
        self._last_request_id += 1
        fields = [
            ('Host', _callers.HOST_HEADER),
            (platform.HEADERS.request_id, f'{self._last_request_id}'),
            (platform.HEADERS.deadline_ms, '2000'),
        ]
        return transport.Request(
            'GET', f'{path}{self._last_request_id}', fields
        )

    async def _fetch_status(self, path: str) -> int:
        request = self._make_request(path)
        response = await _probes.ask(
            self.daemons[0].address,
            _daemons.CALLERS_PORT,
            request.url,
            headers=tuple(request.headers[1:]),
        )
        return response.status if response else 0

    async def _change_version(self) -> None:
        await self._write_version()
        await asyncio.sleep(SETTLE_S)

    async def _write_version(self) -> None:
        """Write a version that differs from the previous one in one route."""
        self.version += 1
        routes = [
            {'host': _callers.HOST_HEADER, 'prefix': f'/p{number}/'}
            for number in range(ROUTES)
        ]
        routes[-1]['timeout'] = f'{1000 + self.version}ms'
        routes.append(
            {
                'host': _callers.HOST_HEADER,
                'prefix': REFUSED_PATH,
                'service': 'nobody',
            }
        )
        document = testing.make_document(self.version, routes)
        await self._write_row('op', 'config', document)

    async def _write_members(self, count: int) -> None:
        """Write the rows of hosts in another data centre."""
        for number in range(count):
            row = testing.make_member_row(
                f'far-{number}',
                data_centre='far',
                address='127.0.0.1',
                port=number + 1,
                target_set='far',
            )
            await self._write_row(
                MEMBER_TABLE, row.host, encode_common_fields(row)
            )

    async def _write_row(self, table: str, key: str, value: bytes) -> None:
        """Write a row; retry until the store accepts it."""
        path, body = testing.encode_write(table, key, value)
        async with asyncio.timeout(TIMEOUT_S):
            response = None
            while response is None or response.status != 200:
                response = await _probes.ask(
                    self.store.address, _daemons.STORE_PORT, path, body
                )
                await asyncio.sleep(0 if response else RETRY_INTERVAL_S)


def encode_common_fields(row: mesh.MemberRow) -> bytes:
    """Encode a row with only the fields that all trees support."""
    fields = msgspec.to_builtins(row)
    del fields['crashes']
    return msgspec.json.encode(fields)


async def run(code_folder: pathlib.Path) -> dict[str, float]:
    """Run the measurements of one tree once."""
    with tempfile.TemporaryDirectory(prefix='processor-') as name:
        fleet = TwoDaemonFleet(pathlib.Path(name), code_folder)
        try:
            await fleet.start()
            return await fleet.measure()
        finally:
            await fleet.stop()


def summarize(measured: list[dict[str, float]]) -> dict[str, list[int]]:
    """Return the minimum, median and maximum of each measurement."""
    return {
        name: [
            round(statistic(item[name] for item in measured))
            for statistic in (min, statistics.median, max)
        ]
        for name in measured[0]
    }


def main() -> None:
    """Measure all trees in alternation and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--tree', action='append', default=[])
    parser.add_argument('--runs', type=int, default=RUNS)
    options = parser.parse_args()
    trees = {'working folder': pathlib.Path.cwd()}
    for item in options.tree:
        name, _separator, folder = item.partition('=')
        trees[name] = pathlib.Path(folder).resolve()
    measured: dict[str, list] = {name: [] for name in trees}
    started_s = time.monotonic()
    for _ in range(options.runs):
        for name, folder in trees.items():
            measured[name].append(asyncio.run(run(folder)))
    results = {name: summarize(items) for name, items in measured.items()}
    for name, figures in results.items():
        for figure, values in figures.items():
            print(f'{name:16} {figure:32} {values}')
    elapsed_s = round(time.monotonic() - started_s)
    print(
        json.dumps({'bench': 'processor', 'us': results, 'took_s': elapsed_s})
    )


if __name__ == '__main__':
    main()

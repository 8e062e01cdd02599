"""Processor time of a daemon: for a call, a version, and a second at rest.

    python -m benchmarks.bench_processor [--tree NAME=FOLDER ...]

Daemons run as processes of their own, beside a stand-in store and a target in
this one.  Each tree is a checkout whose daemons are measured beside those of
the working folder, in turn, so that the load of the machine is the same for
all.  Figures are microseconds, as least, median and most of the runs; the
kernel counts the time of the processes in nanoseconds.  The last line is one
JSON object.
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
REST_S = 2.0
#: For which a version or a row settles before the next figure.
SETTLE_S = 1.5
ROUTES = 1200
PATIENCE_S = 20.0
LOOK_S = 0.05
NS_PER_US = 1000
SERVED_PATH = '/p0/'
#: Of a route to a set without targets.
REFUSED_PATH = '/refused/'
MEMBER_COUNTS = (13, 67, 195)
MEMBERS_TABLE = 'sedgering_members'


class Bench:
    """Two daemons of one tree: of a caller, and beside a target.

    Parameters
    ----------
    folder : Path
        Settings and logs.
    code_folder : Path
        Of the tree.
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
        self._ids = 0

    async def start(self) -> None:
        """Start everything, and wait until a call is answered."""
        await self.store.start()
        await self._write_version()
        for daemon in self.daemons:
            await daemon.start_links()
            await daemon.start()
        await self.target.start()
        async with asyncio.timeout(PATIENCE_S):
            while await self._ask_once(SERVED_PATH) != 200:
                await asyncio.sleep(LOOK_S)

    async def stop(self) -> None:
        """End everything."""
        if self.target.books is not None:
            self.target.stop()
        for daemon in self.daemons:
            daemon.peer_link.close()
            daemon.store_link.close()
            await daemon.kill()
        await self.store.kill()

    async def measure(self) -> dict[str, float]:
        """Return the figures of one run."""
        await self._call(SERVED_PATH, WARM_UP_CALLS)
        first_us, second_us = await self._time(
            self._call(SERVED_PATH, CALLS), CALLS
        )
        refused_us, _other_us = await self._time(
            self._call(REFUSED_PATH, CALLS), CALLS
        )
        found = {
            'first hop': first_us,
            'hop at the target': second_us,
            'refusal': refused_us,
        }
        found['version, one route changed'], _other_us = await self._time(
            self._change_version(), 1
        )
        for count in MEMBER_COUNTS:
            await self._write_members(count)
            await asyncio.sleep(SETTLE_S)
            rest_us, _other_us = await self._time(
                asyncio.sleep(REST_S), REST_S
            )
            found[f'second at rest, {count} members'] = rest_us
        return found

    async def _time(self, work, units: float) -> list[float]:
        """Return the processor time of both daemons for each unit."""
        before = [self._read_ns(daemon) for daemon in self.daemons]
        await work
        after = [self._read_ns(daemon) for daemon in self.daemons]
        return [
            (now_ns - then_ns) / units / NS_PER_US
            for then_ns, now_ns in zip(before, after, strict=True)
        ]

    @staticmethod
    def _read_ns(daemon: _daemons.Daemon) -> int:
        path = pathlib.Path(f'/proc/{daemon.process.pid}/schedstat')
        return int(path.read_text().split()[0])

    async def _call(self, path: str, count: int) -> None:
        """Make calls one after the other on one connection."""
        connection = await transport.connect(
            self.daemons[0].address, _daemons.CALLERS_PORT, PATIENCE_S
        )
        for _ in range(count):
            await connection.exchange(
                transport.encode_request(self._make_request(path)),
                lambda _answer: True,
            )
        connection.close()

    def _make_request(self, path: str) -> transport.Request:
        self._ids += 1
        fields = [
            ('Host', _callers.HOST_HEADER),
            (platform.HEADERS.request_id, f'{self._ids}'),
            (platform.HEADERS.deadline_ms, '2000'),
        ]
        return transport.Request('GET', f'{path}{self._ids}', fields)

    async def _ask_once(self, path: str) -> int:
        request = self._make_request(path)
        answer = await _probes.ask(
            self.daemons[0].address,
            _daemons.CALLERS_PORT,
            request.url,
            headers=tuple(request.headers[1:]),
        )
        return answer.status if answer else 0

    async def _change_version(self) -> None:
        await self._write_version()
        await asyncio.sleep(SETTLE_S)

    async def _write_version(self) -> None:
        """Write a version of which one route differs from the last one."""
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
        await self._write('op', 'config', document)

    async def _write_members(self, count: int) -> None:
        """Write rows of hosts of another data centre."""
        for number in range(count):
            row = testing.make_member_row(
                f'far-{number}',
                data_centre='far',
                address='127.0.0.1',
                port=number + 1,
                target_set='far',
            )
            await self._write(MEMBERS_TABLE, row.host, _encode(row))

    async def _write(self, table: str, key: str, value: bytes) -> None:
        """Write a row, once the store listens."""
        path, body = testing.encode_write(table, key, value)
        async with asyncio.timeout(PATIENCE_S):
            answer = None
            while answer is None or answer.status != 200:
                answer = await _probes.ask(
                    self.store.address, _daemons.STORE_PORT, path, body
                )
                await asyncio.sleep(0 if answer else LOOK_S)


def _encode(row: mesh.MemberRow) -> bytes:
    """Encode a row with the fields that all trees know."""
    fields = msgspec.to_builtins(row)
    del fields['crashes']
    return msgspec.json.encode(fields)


async def run(code_folder: pathlib.Path) -> dict[str, float]:
    """Measure one tree once."""
    with tempfile.TemporaryDirectory(prefix='processor-') as name:
        bench = Bench(pathlib.Path(name), code_folder)
        try:
            await bench.start()
            return await bench.measure()
        finally:
            await bench.stop()


def summarize(found: list[dict[str, float]]) -> dict[str, list[int]]:
    """Return least, median and most of each figure."""
    return {
        name: [
            round(choose(item[name] for item in found))
            for choose in (min, statistics.median, max)
        ]
        for name in found[0]
    }


def main() -> None:
    """Measure all trees in turn, and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--tree', action='append', default=[])
    parser.add_argument('--runs', type=int, default=RUNS)
    options = parser.parse_args()
    trees = {'working folder': pathlib.Path.cwd()}
    for item in options.tree:
        name, _mark, folder = item.partition('=')
        trees[name] = pathlib.Path(folder).resolve()
    found: dict[str, list] = {name: [] for name in trees}
    started_s = time.monotonic()
    for _ in range(options.runs):
        for name, folder in trees.items():
            found[name].append(asyncio.run(run(folder)))
    results = {name: summarize(items) for name, items in found.items()}
    for name, figures in results.items():
        for figure, values in figures.items():
            print(f'{name:16} {figure:32} {values}')
    took_s = round(time.monotonic() - started_s)
    print(json.dumps({'bench': 'processor', 'us': results, 'took_s': took_s}))


if __name__ == '__main__':
    main()

"""Store calls and bytes by fleet size, with relays and without.

Daemons, targets and the stand-in store run in one process; calls and bytes
are counted, so that the figures do not depend on the machine's load. The
last line is one JSON object.
"""

import argparse
import json
import time

from sedgering import mesh
from sedgering.mesh import _relay
from sedgering import testing

#: Routes of a version; the users' grown sites have 800.
ROUTES = 800
WITHOUT_RELAYS = 10_000
WITH_RELAYS = 4
SETTLE_S = 4.0


class NewsCount:
    """Bytes of answers to polls."""

    def __init__(self):
        self.bytes = 0
        self.polls = 0
        self._answer = _relay.PollHandler.answer

    def install(self) -> None:
        """Count from now on."""
        count = self

        async def answer(handler, request):
            response = await count._answer(handler, request)
            count.bytes += len(response.body)
            count.polls += 1
            return response

        _relay.PollHandler.answer = answer


def make_version(version: int) -> bytes:
    """Make a version of which one route differs from the one before."""
    routes = [{'prefix': f'/p{number}/'} for number in range(ROUTES)]
    routes[0]['timeout'] = f'{1000 + version}ms'
    return testing.make_document(version, routes)


def measure(
    hosts: int, relay_from_hosts: int, seconds: float, news: NewsCount
) -> dict:
    """Measure one fleet, idle and over one version."""
    fleet = testing.MeshFleet(
        mesh.MeshSettings(relay_from_hosts=relay_from_hosts)
    )
    try:
        fleet.configure(make_version(1))
        for number in range(hosts):
            fleet.add_host(f'host-{number}')
        fleet.wait_ready()
        time.sleep(SETTLE_S)
        idle = _count(fleet, news, lambda: time.sleep(seconds))
        change = _count(fleet, news, lambda: _change(fleet))
    finally:
        fleet.stop()
    return {
        'hosts': hosts,
        'relays': relay_from_hosts != WITHOUT_RELAYS,
        'idle_calls_per_s': round(idle['calls'] / seconds, 2),
        'idle_polls_per_s': round(idle['polls'] / seconds, 1),
        'idle_news_bytes_per_s': round(idle['news_bytes'] / seconds),
        'change_store_bytes': change['store_bytes'],
        'change_news_bytes': change['news_bytes'],
    }


def _change(fleet: testing.MeshFleet) -> None:
    fleet.configure(make_version(2))
    fleet.wait_for(
        lambda: all(
            host.daemon.state.config.version == 2
            for host in fleet.hosts.values()
        )
    )
    time.sleep(1.0)


def _count(fleet: testing.MeshFleet, news: NewsCount, work) -> dict:
    stats = fleet.engine.stats
    before = (stats.reads, stats.bytes_out, news.bytes, news.polls)
    work()
    after = (stats.reads, stats.bytes_out, news.bytes, news.polls)
    names = ('calls', 'store_bytes', 'news_bytes', 'polls')
    return {
        name: end - start
        for name, start, end in zip(names, before, after, strict=True)
    }


def main() -> None:
    """Measure all sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--hosts', type=int, nargs='+', default=[6, 12, 24])
    parser.add_argument('--seconds', type=float, default=10.0)
    arguments = parser.parse_args()
    news = NewsCount()
    news.install()
    results = []
    for hosts in arguments.hosts:
        for relay_from_hosts in (WITHOUT_RELAYS, WITH_RELAYS):
            result = measure(hosts, relay_from_hosts, arguments.seconds, news)
            print(result, flush=True)
            results.append(result)
    print(json.dumps({'routes': ROUTES, 'results': results}))


if __name__ == '__main__':
    main()

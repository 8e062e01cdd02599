"""Store calls and bytes by fleet size, with and without relays.

Daemons, targets and the stand-in store run in one process.  The benchmark
counts calls and bytes instead of measuring time, so that the results do not
depend on the load of the machine.  The last line is one JSON object.
"""

import argparse
import json
import time

from sedgering import mesh
from sedgering.mesh import _relay
from sedgering import testing

#: Routes of a version; large deployments have 800.
ROUTES = 800
#: Values of ``relay_from_hosts``, the fleet size from which relays are used.
THRESHOLD_WITHOUT_RELAYS = 10_000
THRESHOLD_WITH_RELAYS = 4
SETTLE_S = 4.0


class PollCounter:
    """Counts the polls that relays answer, and the bytes of the answers."""

    def __init__(self):
        self.bytes = 0
        self.polls = 0
        self._original_answer = _relay.PollHandler.answer

    def install(self) -> None:
        """Replace the answer method of relays by one that counts."""
        counter = self

        async def answer(relay, request):
            response = await counter._original_answer(relay, request)
            counter.bytes += len(response.body)
            counter.polls += 1
            return response

        _relay.PollHandler.answer = answer


def make_version(version: int) -> bytes:
    """Make a version that differs from the previous one in one route."""
    routes = [{'prefix': f'/p{number}/'} for number in range(ROUTES)]
    routes[0]['timeout'] = f'{1000 + version}ms'
    return testing.make_document(version, routes)


def measure(
    hosts: int,
    relay_from_hosts: int,
    seconds: float,
    poll_counter: PollCounter,
) -> dict:
    """Measure one fleet, first idle and then during one new version."""
    fleet = testing.MeshFleet(
        mesh.MeshSettings(relay_from_hosts=relay_from_hosts)
    )
    try:
        fleet.configure(make_version(1))
        for number in range(hosts):
            fleet.add_host(f'host-{number}')
        fleet.wait_ready()
        time.sleep(SETTLE_S)
        idle = _count_traffic(fleet, poll_counter, lambda: time.sleep(seconds))
        change = _count_traffic(
            fleet, poll_counter, lambda: _change_version(fleet)
        )
    finally:
        fleet.stop()
    return {
        'hosts': hosts,
        'relays': relay_from_hosts != THRESHOLD_WITHOUT_RELAYS,
        'idle_calls_per_s': round(idle['calls'] / seconds, 2),
        'idle_polls_per_s': round(idle['polls'] / seconds, 1),
        'idle_news_bytes_per_s': round(idle['news_bytes'] / seconds),
        'change_store_bytes': change['store_bytes'],
        'change_news_bytes': change['news_bytes'],
    }


def _change_version(fleet: testing.MeshFleet) -> None:
    fleet.configure(make_version(2))
    fleet.wait_for(
        lambda: all(
            host.daemon.state.config.version == 2
            for host in fleet.hosts.values()
        )
    )
    time.sleep(1.0)


def _count_traffic(
    fleet: testing.MeshFleet, poll_counter: PollCounter, work
) -> dict:
    stats = fleet.engine.stats
    before = (
        stats.reads,
        stats.bytes_out,
        poll_counter.bytes,
        poll_counter.polls,
    )
    work()
    after = (
        stats.reads,
        stats.bytes_out,
        poll_counter.bytes,
        poll_counter.polls,
    )
    names = ('calls', 'store_bytes', 'news_bytes', 'polls')
    return {
        name: end - start
        for name, start, end in zip(names, before, after, strict=True)
    }


def main() -> None:
    """Measure all fleet sizes and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--hosts', type=int, nargs='+', default=[6, 12, 24])
    parser.add_argument('--seconds', type=float, default=10.0)
    arguments = parser.parse_args()
    poll_counter = PollCounter()
    poll_counter.install()
    results = []
    for hosts in arguments.hosts:
        for relay_from_hosts in (
            THRESHOLD_WITHOUT_RELAYS,
            THRESHOLD_WITH_RELAYS,
        ):
            result = measure(
                hosts, relay_from_hosts, arguments.seconds, poll_counter
            )
            print(result, flush=True)
            results.append(result)
    print(json.dumps({'routes': ROUTES, 'results': results}))


if __name__ == '__main__':
    main()

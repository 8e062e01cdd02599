"""Faults during a load of bookings, uploads and browsing.

Targets and proxies are killed, paused, drained and started, and the
platform loses answers and goes away.  What callers were told is compared
with ledgers that outlive the targets.  The last line is one JSON object.
"""

import argparse
import collections
import json
import pathlib
import signal
import time

import msgspec

from sedgering import testing

EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples' / 'tuulai'
HOST = 'tuulai.example'
DATA_CENTRES = ('sukhbaatar', 'khan-uul', 'bayanzurkh')
TARGET_SETS = ('calendar', 'ledger', 'archive')
GROUPS = 3
CALLERS = 8
CALL_PAUSE_S = 0.02
SLOTS = 12
WORK_MS = 10
CALLS = (
    testing.CallKind('GET', '/calendar/halls'),
    testing.CallKind('POST', '/bookings', 300, False, True),
    testing.CallKind('GET', '/calendar/halls/3'),
    testing.CallKind('PUT', '/scores/parts.pdf', 200_000, False),
)


class Bench:
    """A fleet, its groups of targets, and what was done to them."""

    def __init__(self, fleet: testing.Fleet):
        self.fleet = fleet
        self.ledger_file = fleet.folder / 'ledger.txt'
        self.processes = []
        self.groups = []
        self.drain_ms = None

    def start(self) -> None:
        """Start everything and roll the example."""
        fleet = self.fleet
        fleet.start_platform()
        fleet.add_proxies(DATA_CENTRES * 2)
        fleet.wait_members()
        for number in range(GROUPS):
            self.start_targets(number)
        fleet.wait_version(fleet.roll_file(EXAMPLE / 'bundle.yaml'))
        self.wait_targets(GROUPS)

    def start_targets(self, number: int) -> None:
        """Start one target of each set in one process."""
        targets = self.fleet.make_targets(
            [self.fleet.proxies[number]],
            TARGET_SETS,
            slots=SLOTS,
            work_ms=WORK_MS,
            ledger_file=str(self.ledger_file),
        )
        self.groups.append(targets)
        self.processes.append(self.fleet.start_targets(targets))

    def wait_targets(self, count: int) -> None:
        """Wait until every proxy knows so many targets of each set."""
        expected = dict.fromkeys(TARGET_SETS, count)
        self.fleet.wait_targets(expected)

    def kill_targets(self) -> None:
        """Kill a group of targets at work, and start another one."""
        self.processes[0].send_signal(signal.SIGKILL)
        time.sleep(3)
        self.start_targets(0)

    def pause_targets(self) -> None:
        """Stop a group of targets for two seconds, then let it go on."""
        self.processes[1].send_signal(signal.SIGSTOP)
        time.sleep(2)
        self.processes[1].send_signal(signal.SIGCONT)

    def drain_targets(self) -> None:
        """Let a group leave, and note when it got its last new work."""
        self.processes[2].send_signal(signal.SIGTERM)
        time.sleep(3)
        self.drain_ms = max(
            (self.fleet.get_json(item['port'], '/standin/counts') or {}).get(
                'last_run_after_draining_ms', 0
            )
            for item in self.groups[2]
        )

    def lose_answers(self) -> None:
        """Let answers of the table be lost after the write."""
        for _ in range(6):
            self.fleet.set_faults(lose_answers=2)
            time.sleep(0.5)
        self.fleet.set_faults()

    def stop_table(self) -> None:
        """Let the platform be away for three seconds."""
        self.fleet.set_faults(mode='busy')
        time.sleep(3)
        self.fleet.set_faults()

    def leave_proxy(self) -> None:
        """Let a proxy leave gracefully while callers use it."""
        self.fleet.proxies[-1].process.send_signal(signal.SIGTERM)
        time.sleep(3)

    def kill_proxy(self) -> None:
        """Kill a proxy at work, and start it anew."""
        proxy = self.fleet.proxies[-2]
        proxy.process.send_signal(signal.SIGKILL)
        time.sleep(1)
        self.fleet.start_proxy(proxy)
        time.sleep(3)

    def read_ledger(self) -> collections.Counter:
        """Return how often each call ran."""
        return collections.Counter(self.ledger_file.read_text().split())


def main() -> None:
    """Run the faults one after the other, and judge each window."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calm-s', type=float, default=2.0)
    options = parser.parse_args()
    with testing.make_fleet('tuulai') as fleet:
        bench = Bench(fleet)
        bench.start()
        ports = [proxy.data_port for proxy in fleet.proxies]
        verdicts = {}
        for fault in (
            bench.lose_answers,
            bench.stop_table,
            bench.pause_targets,
            bench.kill_targets,
            bench.drain_targets,
            bench.leave_proxy,
            bench.kill_proxy,
        ):
            callers = start_callers(ports, len(verdicts))
            time.sleep(options.calm_s / 2)
            fault()
            time.sleep(options.calm_s / 2)
            for caller in callers:
                caller.stop()
            records = [item for caller in callers for item in caller.records]
            verdict = testing.judge_calls(records, bench.read_ledger())
            verdicts[fault.__name__] = verdict
            row = {'fault': fault.__name__, **msgspec.to_builtins(verdict)}
            print(json.dumps(row), flush=True)
    print(json.dumps(summarise(verdicts, bench)))


def start_callers(ports: list[int], window: int) -> list[testing.Caller]:
    """Start callers with ids of their own."""
    callers = [
        testing.Caller(
            ports, HOST, CALLS, window * CALLERS + index, CALL_PAUSE_S
        )
        for index in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    return callers


def summarise(verdicts: dict, bench: Bench) -> dict:
    """Add all windows up."""

    def total(field: str) -> int:
        return sum(getattr(item, field) for item in verdicts.values())

    fields = (
        'sent',
        'answered',
        'lost',
        'doubled',
        'cut',
        'told_wrongly',
        'told_not_run',
        'told_unknown',
        'broken',
    )
    return {
        'bench': 'faults',
        **{field: total(field) for field in fields},
        'last_new_work_after_draining_ms': bench.drain_ms,
    }


if __name__ == '__main__':
    main()

"""Outcome of calls during faults of targets, proxies and the platform.

Callers book, upload and browse while targets and proxies are killed, paused,
drained and started, and while the platform loses answers or is unavailable.
The answers that callers received are compared with a ledger file of the calls
that the targets ran, which outlives the targets.  The last line is one JSON
object.
"""

import argparse
import collections
import json
import pathlib
import signal
import time

import msgspec

from sedgering import testing

EXAMPLE_DIRECTORY = (
    pathlib.Path(__file__).parent.parent / 'examples' / 'tuulai'
)
HOST = 'tuulai.example'
DATA_CENTRES = ('sukhbaatar', 'khan-uul', 'bayanzurkh')
TARGET_SETS = ('calendar', 'ledger', 'archive')
TARGET_GROUPS = 3
CALLERS = 8
CALL_INTERVAL_S = 0.02
SLOTS = 12
WORK_MS = 10
CALL_KINDS = (
    testing.CallKind('GET', '/calendar/halls'),
    testing.CallKind('POST', '/bookings', 300, False, True),
    testing.CallKind('GET', '/calendar/halls/3'),
    testing.CallKind('PUT', '/scores/parts.pdf', 200_000, False),
)


class FaultInjector:
    """Causes faults in a fleet and its groups of targets.

    The names of the fault methods are printed.
    """

    def __init__(self, fleet: testing.Fleet):
        self.fleet = fleet
        self.ledger_file = fleet.folder / 'ledger.txt'
        self.target_processes = []
        self.target_groups = []
        self.last_run_after_draining_ms = None

    def start(self) -> None:
        """Start the fleet and roll the example bundle."""
        fleet = self.fleet
        fleet.start_platform()
        fleet.add_proxies(DATA_CENTRES * 2)
        fleet.wait_members()
        for number in range(TARGET_GROUPS):
            self.start_targets(number)
        fleet.wait_version(fleet.roll_file(EXAMPLE_DIRECTORY / 'bundle.yaml'))
        self.wait_targets(TARGET_GROUPS)

    def start_targets(self, number: int) -> None:
        """Start a group: one target of each target set, in one process."""
        targets = self.fleet.make_targets(
            [self.fleet.proxies[number]],
            TARGET_SETS,
            slots=SLOTS,
            work_ms=WORK_MS,
            ledger_file=str(self.ledger_file),
        )
        self.target_groups.append(targets)
        self.target_processes.append(self.fleet.start_targets(targets))

    def wait_targets(self, count: int) -> None:
        """Wait until every proxy knows a number of targets of each set."""
        expected = dict.fromkeys(TARGET_SETS, count)
        self.fleet.wait_targets(expected)

    def kill_targets(self) -> None:
        """Kill a group of targets during calls, and start another group."""
        self.target_processes[0].send_signal(signal.SIGKILL)
        time.sleep(3)
        self.start_targets(0)

    def pause_targets(self) -> None:
        """Suspend a group of targets for two seconds, then resume it."""
        self.target_processes[1].send_signal(signal.SIGSTOP)
        time.sleep(2)
        self.target_processes[1].send_signal(signal.SIGCONT)

    def drain_targets(self) -> None:
        """Drain a group; record how long after that it last ran a call."""
        self.target_processes[2].send_signal(signal.SIGTERM)
        time.sleep(3)
        self.last_run_after_draining_ms = max(
            (self.fleet.get_json(item['port'], '/standin/counts') or {}).get(
                'last_run_after_draining_ms', 0
            )
            for item in self.target_groups[2]
        )

    def lose_answers(self) -> None:
        """Lose answers of the platform after it has done the write."""
        for _ in range(6):
            self.fleet.set_faults(lose_answers=2)
            time.sleep(0.5)
        self.fleet.set_faults()

    def stop_table(self) -> None:
        """Make the platform unavailable for three seconds."""
        self.fleet.set_faults(mode='busy')
        time.sleep(3)
        self.fleet.set_faults()

    def leave_proxy(self) -> None:
        """Deregister a proxy gracefully while callers use it."""
        self.fleet.proxies[-1].process.send_signal(signal.SIGTERM)
        time.sleep(3)

    def kill_proxy(self) -> None:
        """Kill a proxy during calls, and restart it."""
        proxy = self.fleet.proxies[-2]
        proxy.process.send_signal(signal.SIGKILL)
        time.sleep(1)
        self.fleet.start_proxy(proxy)
        time.sleep(3)

    def read_ledger(self) -> collections.Counter:
        """Return how often each call was run."""
        return collections.Counter(self.ledger_file.read_text().split())


def main() -> None:
    """Cause the faults one after another and check the calls of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calm-s', type=float, default=2.0)
    options = parser.parse_args()
    with testing.make_fleet('tuulai') as fleet:
        injector = FaultInjector(fleet)
        injector.start()
        ports = [proxy.data_port for proxy in fleet.proxies]
        verdicts = {}
        for fault in (
            injector.lose_answers,
            injector.stop_table,
            injector.pause_targets,
            injector.kill_targets,
            injector.drain_targets,
            injector.leave_proxy,
            injector.kill_proxy,
        ):
            callers = start_callers(ports, len(verdicts))
            time.sleep(options.calm_s / 2)
            fault()
            time.sleep(options.calm_s / 2)
            for caller in callers:
                caller.stop()
            records = [item for caller in callers for item in caller.records]
            verdict = testing.judge_calls(records, injector.read_ledger())
            verdicts[fault.__name__] = verdict
            row = {'fault': fault.__name__, **msgspec.to_builtins(verdict)}
            print(json.dumps(row), flush=True)
    print(json.dumps(summarise(verdicts, injector)))


def start_callers(ports: list[int], run_number: int) -> list[testing.Caller]:
    """Start callers with ids that no other run of callers uses."""
    callers = [
        testing.Caller(
            ports,
            HOST,
            CALL_KINDS,
            run_number * CALLERS + index,
            CALL_INTERVAL_S,
        )
        for index in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    return callers


def summarise(verdicts: dict, injector: FaultInjector) -> dict:
    """Return the totals over all faults."""

    def sum_field(field: str) -> int:
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
        **{field: sum_field(field) for field in fields},
        'last_new_work_after_draining_ms': injector.last_run_after_draining_ms,
    }


if __name__ == '__main__':
    main()

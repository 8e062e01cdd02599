"""Demo: rolls two bundles on a fleet of stand-ins and checks the calls.

Starts the platform stand-in, six proxies in three data centres and the
targets of the example.  Checks, signs off and rolls a bundle, sends calls, and
rolls a second version under load.  Exits with status 0 only if no call was
lost, run more than once or answered wrongly, and none that ran was reported as
not run.
"""

import collections
import json
import pathlib
import signal
import sys
import time

import yaml

from sedgering import testing

DATA_CENTRES = ('sukhbaatar', 'khan-uul', 'bayanzurkh')
PROXIES_PER_DATA_CENTRE = 2
TARGET_SETS = {'calendar': 6, 'ledger': 4, 'archive': 3}
SLOTS = 12
HOST = 'tuulai.example'
CALLS = (
    testing.CallKind('GET', '/calendar/halls'),
    testing.CallKind('POST', '/bookings', 300, False, True),
    testing.CallKind('GET', '/calendar/halls/3'),
    testing.CallKind('PUT', '/scores/parts.pdf', 200_000, False),
)
CALLERS = 6
CALL_PAUSE_S = 0.01
EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples' / 'tuulai'


def main() -> int:
    """Run the demo and return its exit status."""
    with testing.make_fleet('tuulai') as fleet:
        start_fleet(fleet)
        roll(fleet, EXAMPLES / 'bundle.yaml')
        fleet.wait_targets(TARGET_SETS)
        print(f'all proxies list {sum(TARGET_SETS.values())} targets')
        callers = start_callers(fleet)
        time.sleep(2)
        print('rolling a second version under load')
        convergence_ms = roll(fleet, EXAMPLES / 'bundle-2.yaml')
        time.sleep(2)
        for caller in callers:
            caller.stop()
        verdict = compare_records(fleet, callers)
        print_figures(fleet, convergence_ms, verdict)
    has_no_failures = not (verdict.lost or verdict.doubled or verdict.cut)
    return 0 if has_no_failures and not verdict.told_wrongly else 1


def start_fleet(fleet: testing.Fleet) -> None:
    """Start the platform stand-in, the proxies and the targets."""
    fleet.start_platform()
    fleet.add_proxies(DATA_CENTRES * PROXIES_PER_DATA_CENTRE)
    target_sets = [
        target_set
        for target_set, count in TARGET_SETS.items()
        for _ in range(count)
    ]
    fleet.start_targets(
        fleet.make_targets(fleet.proxies, target_sets, slots=SLOTS)
    )
    fleet.wait_members()
    print(f'{len(fleet.proxies)} proxies have complete membership')


def roll(fleet: testing.Fleet, path: pathlib.Path) -> float:
    """Check, sign off and roll a bundle; return the convergence time in ms."""
    print(fleet.run_operator('check', str(path), needs_config=False).strip())
    print(fleet.run_operator('sign-off', str(path)).strip())
    version = len(fleet.run_operator('history', '--json').splitlines())
    started_s = time.monotonic()
    print(fleet.run_operator('roll', str(version)).strip())
    fleet.wait_version(version)
    convergence_ms = (time.monotonic() - started_s) * 1000
    print(fleet.run_operator('watch').strip().splitlines()[-1])
    return convergence_ms


def start_callers(fleet: testing.Fleet) -> list[testing.Caller]:
    """Start the callers that generate the load."""
    ports = [proxy.data_port for proxy in fleet.proxies]
    callers = [
        testing.Caller(ports, HOST, CALLS, seed, CALL_PAUSE_S)
        for seed in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    return callers


def compare_records(
    fleet: testing.Fleet, callers: list[testing.Caller]
) -> testing.Verdict:
    """Compare the records of callers with the ledgers of targets."""
    ledger: collections.Counter = collections.Counter()
    for target in yaml.safe_load(
        (fleet.folder / 'targets-0.yaml').read_text()
    ):
        ledger.update(fleet.get_json(target['port'], '/standin/ledger'))
    records = [record for caller in callers for record in caller.records]
    return testing.judge_calls(records, ledger)


def print_figures(
    fleet: testing.Fleet, convergence_ms: float, verdict: testing.Verdict
) -> None:
    """Print convergence time, control traffic and call counts."""
    control_bytes = sum(fleet.control_bytes(proxy) for proxy in fleet.proxies)
    print(f'convergence: {convergence_ms:.0f} ms from roll to all proxies')
    print(f'control bytes: {control_bytes} received by all proxies so far')
    print(
        f'calls: {verdict.sent} sent, {verdict.answered} answered, '
        f'{verdict.lost} lost, {verdict.doubled} run more than once, '
        f'{verdict.cut} with a wrong or incomplete answer, '
        f'{verdict.told_not_run} reported as not run, '
        f'{verdict.told_wrongly} of them although they ran, '
        f'{verdict.told_unknown} with unknown outcome'
    )
    stats = fleet.stats()
    print(json.dumps({'platform_reads': stats.reads, 'writes': stats.writes}))


if __name__ == '__main__':
    signal.signal(signal.SIGTERM, lambda *_arguments: sys.exit(1))
    sys.exit(main())

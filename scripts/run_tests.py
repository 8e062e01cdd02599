"""Formatter check, linter and behave, with one verdict.

The last line counts scenarios from behave's own results, and each of the
two checks as one.  Scenarios that KNOWN-RED.txt lists are run and printed,
and do not count as failed.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
#: One line each: feature file and scenario, cause, issue, with ``|`` between.
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
#: More than so many known faults are mended first.
KNOWN_RED_LIMIT = 3
BIN = pathlib.Path(sys.executable).parent
CHECKS = (
    ('formatter', ['ruff', 'format', '--check', '--quiet', '.']),
    ('linter', ['flake8']),
)
TIMEOUT_S = 1800
#: Last lines of what a step said that failed: the assertion and its values.
CAUSE_LINES = 6
#: The same verdict every run: no hash seed of the day, no cached examples.
ENVIRONMENT = {**os.environ, 'PYTHONHASHSEED': '0'}


def main() -> int:
    """Run everything and print the verdict."""
    passed = 0
    failed = 0
    for name, command in CHECKS:
        if run_check(name, command):
            passed += 1
        else:
            failed += 1
    scenarios_passed, scenarios_failed = run_behave()
    passed += scenarios_passed
    failed += scenarios_failed
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not scenarios_passed else 0


def run_check(name: str, command: list[str]) -> bool:
    """Run the formatter check or the linter."""
    program, *arguments = command
    completed = subprocess.run([BIN / program, *arguments], cwd=ROOT)
    print(f'{name}: {"ok" if completed.returncode == 0 else "failed"}')
    return completed.returncode == 0


def run_behave() -> tuple[int, int]:
    """Run all scenarios and count them from behave's report."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / 'report.json'
        try:
            completed = subprocess.run(
                [
                    *(sys.executable, '-m', 'behave', '--no-capture'),
                    *('--format', 'progress', '--format', 'json'),
                    *('--outfile', '/dev/stdout', '--outfile', str(report)),
                    *sys.argv[1:],
                ],
                cwd=ROOT,
                env=ENVIRONMENT,
                timeout=TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            print(f'behave has not ended in {TIMEOUT_S} s')
            return 0, 1
        if not report.exists():
            # Behave could not even load the steps.
            return 0, 1
        features = json.loads(report.read_text() or '[]')
    passed, failed, excused = judge(features)
    if completed.returncode and not failed and not excused:
        failed = 1
    return passed, failed


def judge(features: list[dict]) -> tuple[int, int, int]:
    """Count what passed, what failed, and what is known to fail."""
    known = read_known_red()
    seen = set()
    passed = failed = excused = 0
    for feature in features:
        results = [
            (name_scenario(feature, element), element['status'] == 'passed')
            for element in feature['elements']
            if element['type'] != 'background'
        ]
        seen.update(name for name, _is_passed in results)
        red = [name for name, is_passed in results if not is_passed]
        passed += len(results) - len(red)
        print_causes(feature)
        for name in red:
            if name in known:
                excused += 1
                print(f'known red: {name}: {known[name]}')
            else:
                failed += 1
        if not red and feature['status'] != 'passed':
            print(f'failed around its scenarios: {feature["location"]}')
            failed += 1
    if not sys.argv[1:]:
        # A line that outlives its scenario could excuse another one.
        failed += report_stale(known.keys() - seen)
    return passed, failed, excused


def print_causes(feature: dict) -> None:
    """Print the step at which each scenario failed, and what it said."""
    for element in feature['elements']:
        for step in element.get('steps', ()):
            result = step.get('result', {})
            lines = result.get('error_message') or []
            if isinstance(lines, str):
                lines = lines.splitlines()
            if lines:
                print(f'{element["location"]}: {step["name"]}')
                print('    ' + '\n    '.join(lines[-CAUSE_LINES:]))


def name_scenario(feature: dict, element: dict) -> str:
    """Return file and name of a scenario, one for all rows of an outline."""
    path = feature['location'].partition(':')[0]
    return f'{path}: {element["name"].partition(" -- @")[0]}'


def read_known_red() -> dict[str, str]:
    """Return cause and issue of each scenario that is known to fail.

    Raises
    ------
    ValueError
        When there are too many lines, or one lacks a part.
    """
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line]
    if len(lines) > KNOWN_RED_LIMIT:
        raise ValueError(
            f'{len(lines)} known faults, {KNOWN_RED_LIMIT} may be'
        )
    known = {}
    for line in lines:
        name, cause, issue = (part.strip() for part in line.split('|'))
        known[name] = f'{cause} ({issue})'
    return known


def report_stale(names: set[str]) -> int:
    """Print lines of KNOWN-RED.txt that name no scenario; count them."""
    for name in sorted(names):
        print(f'KNOWN-RED.txt names no scenario: {name}')
    return len(names)


if __name__ == '__main__':
    sys.exit(main())

"""Formatter check, linter and behave, with one verdict.

The last line counts scenarios from behave's own results, and each of the
two checks as one.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
BIN = pathlib.Path(sys.executable).parent
CHECKS = (
    ('formatter', ['ruff', 'format', '--check', '--quiet', '.']),
    ('linter', ['flake8']),
)
TIMEOUT_S = 1800
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
        if not report.exists():
            # Behave could not even load the steps.
            return 0, 1
        features = json.loads(report.read_text() or '[]')
    statuses = [
        element['status']
        for feature in features
        for element in feature['elements']
        if element['type'] != 'background'
    ]
    passed = statuses.count('passed')
    failed = len(statuses) - passed
    if completed.returncode and not failed:
        failed = 1
    return passed, failed


if __name__ == '__main__':
    sys.exit(main())

"""sedgering: the command line interface for operators."""

from collections.abc import Iterator
import contextlib
import datetime
import itertools
import pathlib
import random
import sys
import time
from typing import Annotated

import msgspec
import typer

from sedgering import access
from sedgering import base
from sedgering import bundle as bundles
from sedgering.cli import _burn
from sedgering.cli import _common
from sedgering.cli import _diff
from sedgering.cli import _experiment
from sedgering.cli import _explain
from sedgering.cli import _losses
from sedgering.cli import _notice
from sedgering import clock
from sedgering import exceptions
from sedgering import platform
from sedgering import release
from sedgering import settings
from sedgering import storage
from sedgering import traffic

__all__ = ['main']

app = typer.Typer(
    add_completion=True,
    pretty_exceptions_enable=False,
    no_args_is_help=True,
    help='Check, sign off and roll bundles, and watch their distribution.',
)

WATCH_INTERVAL_S = 0.2
RETRY_PAUSE_S = 0.2
MS_PER_DAY = 86_400_000

Config = Annotated[
    pathlib.Path,
    typer.Option(
        help='YAML file with the settings of the operator.',
        envvar='SEDGERING_CONFIG',
    ),
]
BundleFile = Annotated[pathlib.Path, typer.Argument(help='YAML bundle file.')]
VersionArgument = Annotated[int, typer.Argument(help='Version.', min=1)]
OperationOption = Annotated[
    str | None,
    typer.Option(
        '--operation-id',
        help='Id of an earlier operation whose outcome is unknown, to '
        'resume it.',
    ),
]
JsonOption = Annotated[bool, typer.Option('--json', help='Print JSON lines.')]


@app.command()
def check(file: BundleFile) -> None:
    """Validate a bundle file without connecting to a platform.

    Example: sedgering check first.yaml
    """
    bundle = bundles.load_bundle(file)
    digest = bundles.compute_digest(bundles.encode_bundle(bundle))
    print(
        f'ok: {len(bundle.routes)} routes, '
        f'{len(bundle.target_sets)} target sets, '
        f'{len(bundle.policies)} policies, '
        f'{len(bundle.workspaces)} workspaces, sha256 {digest.hex()}'
    )


@app.command()
def diff(
    file: BundleFile,
    config: Config,
    version: Annotated[
        int | None,
        typer.Option(help='Version to compare with; default: rolled last.'),
    ] = None,
) -> None:
    """Show the changes that a bundle file would make.

    Example: sedgering diff next.yaml --config operator.yaml
    """
    bundle = bundles.load_bundle(file)
    client = _make_client(config)[1]
    compared_version = base.Version(version or client.read_head().version)
    old = bundles.make_bundle(bundle.mesh)
    if compared_version:
        old = client.read_bundle(compared_version)
    lines = list(_diff.describe_changes(old, bundle))
    for line in lines:
        print(line)
    if not lines:
        print(f'equal to version {compared_version}')


@app.command('key-digest')
def key_digest() -> None:
    """Print the digest, for a bundle file, of the API key on standard input.

    The key is not an argument, because arguments appear in the shell history
    and in process lists.

    Example: sedgering key-digest < key.txt
    """
    print(access.compute_key_digest(sys.stdin.read().strip()))


@app.command()
def explain(
    subject: Annotated[str, typer.Argument(help='Request id, or host name.')],
    logs: Annotated[
        list[pathlib.Path] | None,
        typer.Option('--log', help='Log file; default: standard input.'),
    ] = None,
    host: Annotated[
        bool, typer.Option('--host', help='The subject is a host.')
    ] = False,
) -> None:
    """Show the log records about a request or a host.

    Example: sedgering explain 9c41d07be2a35f68 --log hall-1.log
    """
    explain_subject = (
        _explain.explain_host if host else _explain.explain_request
    )
    with contextlib.ExitStack() as stack:
        files = [
            stack.enter_context(path.open(encoding='utf-8'))
            for path in logs or ()
        ] or [sys.stdin]
        records = _explain.read_records(itertools.chain(*files))
        for line in explain_subject(records, subject):
            print(line)


@app.command()
def burn(
    before: Annotated[
        pathlib.Path, typer.Argument(help='Folder of scrapes named HOST.txt.')
    ],
    after: Annotated[
        pathlib.Path, typer.Argument(help='Folder of later scrapes.')
    ],
    goal_ms: Annotated[
        int, typer.Option(help='Latency goal, a bound of the histogram.')
    ] = 400,
    objective: Annotated[
        float,
        typer.Option(help='Share of requests that must be good, 0 to 1.'),
    ] = 0.99,
    as_json: JsonOption = False,
) -> None:
    """Report the burn rate of the error budget between two scrapes.

    Example: sedgering burn scrapes/1200 scrapes/1210 --goal-ms 400
    """
    report = _burn.make_burn_report(
        _burn.read_scrapes(before),
        _burn.read_scrapes(after),
        goal_ms,
        objective,
    )
    if as_json:
        print(msgspec.json.encode(report).decode())
        return
    for line in _burn.format_burn_report(report):
        print(line)


@app.command()
def losses(
    logs: Annotated[
        list[pathlib.Path],
        typer.Argument(help='Logs of daemons.', exists=True, dir_okay=False),
    ],
    window_s: Annotated[
        float, typer.Option(help='Length of a time window, in seconds.')
    ] = 5.0,
    from_s: Annotated[
        float, typer.Option(help='Start of the time range, in seconds.')
    ] = float('-inf'),
    until_s: Annotated[
        float,
        typer.Option(help='End of the time range, in seconds, exclusive.'),
    ] = float('inf'),
    as_json: JsonOption = False,
) -> None:
    """Report from the logs of daemons where requests were lost.

    Example: sedgering losses host-1.log host-2.log --window-s 2
    """
    time_range = _losses.TimeRange(from_s, until_s, window_s)
    report = _losses.make_loss_report(_read_lines(logs), time_range)
    if as_json:
        print(msgspec.json.encode(report).decode())
        return
    for line in _losses.format_loss_report(report):
        print(line)


def _read_lines(paths: list[pathlib.Path]) -> Iterator[str]:
    """Yield the lines of several files."""
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as lines:
            yield from lines


@app.command('sign-off')
def sign_off(
    config: Config,
    file: Annotated[
        pathlib.Path | None, typer.Argument(help='YAML bundle file.')
    ] = None,
    content_of: Annotated[
        int | None,
        typer.Option(help='Use the bundle of this older version.', min=1),
    ] = None,
    operation_id: OperationOption = None,
) -> None:
    """Sign off a bundle as the next version, without rolling it.

    Example: sedgering sign-off next.yaml --config operator.yaml

    To revert a change, sign off the bundle of an older version again:
    sedgering sign-off --content-of 3 --config operator.yaml
    """
    operator_settings, client = _make_client(config)
    if (file is None) == (content_of is None):
        raise typer.BadParameter(
            'give either a file or --content-of, not both'
        )
    if file is None:
        bundle = client.read_bundle(base.Version(content_of))
    else:
        bundle = bundles.load_bundle(file)
    if bundle.mesh != operator_settings.mesh:
        raise exceptions.BundleError(
            exceptions.Code.BUNDLE_MESH,
            f'mesh {bundle.mesh}, expected {operator_settings.mesh}',
        )
    record = client.sign_off(
        bundle, operator_settings.operator, _choose_operation_id(operation_id)
    )
    print(f'signed off version {record.version}')


@app.command()
def roll(
    version: VersionArgument,
    config: Config,
    operation_id: OperationOption = None,
) -> None:
    """Roll a signed-off version to all hosts.

    Example: sedgering roll 4 --config operator.yaml
    """
    operator_settings, client = _make_client(config)
    record = client.roll(
        base.Version(version),
        operator_settings.operator,
        _choose_operation_id(operation_id),
    )
    _notice.notify_relays(
        client.table, operator_settings.mesh, operator_settings.operator
    )
    print(f'rolled version {record.version} over {record.from_version}')


@app.command()
def watch(
    config: Config,
    version: Annotated[
        int | None, typer.Option(help='Version; default: rolled last.')
    ] = None,
    timeout_s: Annotated[
        float, typer.Option(help='Time after which to give up, in seconds.')
    ] = 60.0,
    as_json: JsonOption = False,
) -> None:
    """Watch until every proxy has a version or a later one in force.

    Exits with status 0 when all of them have it, and with 1 on a timeout.

    Example: sedgering watch --config operator.yaml
    """
    operator_settings = settings.load_settings(
        config, settings.OperatorSettings
    )
    store = platform.make_records_store(
        operator_settings.platform, random.Random()
    )
    deadline_s = time.monotonic() + timeout_s
    last_line = ''
    while True:
        progress, line = _read_progress_line(store, as_json)
        expected_version = base.Version(version or progress.version)
        if line != last_line:
            print(line, flush=True)
            last_line = line
        if expected_version and release.check_complete(
            progress, expected_version
        ):
            return
        if time.monotonic() > deadline_s:
            raise exceptions.ReleaseError(
                exceptions.Code.RELEASE_INCOMPLETE,
                f'version {expected_version}',
            )
        time.sleep(WATCH_INTERVAL_S)


@app.command()
def status(config: Config, as_json: JsonOption = False) -> None:
    """Show which versions are rolled, signed off and in force.

    Example: sedgering status --config operator.yaml
    """
    operator_settings, client = _make_client(config)
    head = client.read_head()
    progress = release.read_progress(client.table)
    if as_json:
        print(msgspec.json.encode((head, progress)).decode())
        return
    print(
        f'mesh {operator_settings.mesh}: version {head.version} rolled, '
        f'{head.latest_signed} signed off; last change by {head.changed_by}'
    )
    for line in _describe_progress(progress):
        print(line)


@app.command()
def history(config: Config, as_json: JsonOption = False) -> None:
    """Show all sign-offs and rolls, with their operators and times.

    Example: sedgering history --config operator.yaml
    """
    client = _make_client(config)[1]
    rolls = {record.version: record for record in client.list_rolls()}
    for record in client.list_sign_offs():
        rolled = rolls.get(record.version)
        if as_json:
            print(msgspec.json.encode((record, rolled)).decode())
            continue
        print(
            f'{record.version} signed off by {record.operator} '
            f'{_format_time(record.signed_at_ms)} from '
            f'{record.base_version}, operation {record.operation_id}'
        )
        if rolled:
            print(
                f'{rolled.version} rolled by {rolled.operator} '
                f'{_format_time(rolled.rolled_at_ms)} over '
                f'{rolled.from_version}, operation {rolled.operation_id}'
            )


@app.command()
def collect(
    config: Config,
    older_than_days: Annotated[
        int,
        typer.Option(
            help='Minimum age of the claims to remove, in days.', min=1
        ),
    ] = 7,
    limit: Annotated[
        int, typer.Option(help='Maximum number of claims to read.', min=1)
    ] = 100_000,
) -> None:
    """Remove old idempotency claims, in bounded batches.

    A repeat of a request whose claim was removed is no longer detected. It
    is safe to run this command concurrently, and again after an outage.

    Example: sedgering collect --older-than-days 7 --config operator.yaml
    """
    client = _make_client(config)[1]
    report = traffic.collect_claims(
        client.table,
        clock.wall_ms() - older_than_days * MS_PER_DAY,
        release.make_operation_id(),
        limit,
    )
    print(
        f'{report.seen} claims seen, {report.removed} removed, '
        f'{report.skipped} skipped'
    )


@app.command()
def experiment(
    loads: Annotated[
        list[pathlib.Path], typer.Argument(help='YAML files of load patterns.')
    ],
    seeds: Annotated[
        int,
        typer.Option(
            help='Number of simulations of each load.', min=1, max=1000
        ),
    ] = 3,
    as_json: JsonOption = False,
) -> None:
    """Simulate load patterns with the decisions of the daemon, offline.

    Example: sedgering experiment examples/loads/burst.yaml --seeds 5
    """
    rows = _experiment.run_experiment(loads, seeds)
    lines = _experiment.show_experiment(rows)
    if as_json:
        lines = (msgspec.json.encode(row).decode() for row in rows)
    for line in lines:
        print(line, flush=True)


def _make_client(
    config: pathlib.Path,
) -> tuple[settings.OperatorSettings, release.ReleaseClient]:
    operator_settings = settings.load_settings(
        config, settings.OperatorSettings
    )
    store = platform.make_records_store(
        operator_settings.platform, random.Random()
    )
    client = release.ReleaseClient(
        store,
        store,
        wall_ms=clock.wall_ms,
        pause=lambda attempt: time.sleep(RETRY_PAUSE_S * attempt),
    )
    return operator_settings, client


def _choose_operation_id(given_id: str | None) -> base.OperationId:
    if given_id:
        return base.OperationId(given_id)
    return release.make_operation_id()


def _read_progress_line(
    store: storage.TableStore, as_json: bool
) -> tuple[release.FleetProgress, str]:
    """Read the progress and format it as one line."""
    progress = release.read_progress(store)
    if as_json:
        return progress, msgspec.json.encode(progress).decode()
    line = (
        f'version {progress.version}: {progress.holding} of {progress.members}'
    )
    if not sys.stdout.isatty():
        parts = '; '.join(_describe_progress(progress))
        line = f'{line} ({parts})'
    return progress, line


def _describe_progress(progress: release.FleetProgress) -> Iterator[str]:
    for report in progress.data_centres:
        count_suffix = '' if report.is_exact else ', count settling'
        yield (
            f'{report.data_centre}: {report.covered} of {report.members} '
            f'report, versions {report.lowest_version} to '
            f'{report.highest_version}{count_suffix}'
        )
        for refusal in report.refusals:
            yield (
                f'{report.data_centre}: {refusal.hosts} refuse '
                f'{refusal.version} with SDG-{refusal.code}, '
                f'such as {refusal.example_host}'
            )
    for data_centre in progress.silent:
        yield f'{data_centre}: no report'


def _format_time(wall_ms: int) -> str:
    utc_time = datetime.datetime.fromtimestamp(
        wall_ms / 1000, datetime.timezone.utc
    )
    return utc_time.isoformat(timespec='milliseconds')


def main() -> None:
    """Run the program; the entry point of the installed script."""
    _common.run_program(app)


if __name__ == '__main__':
    main()

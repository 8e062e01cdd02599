"""sedgering: what operators do to bundles."""

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
    help='Check, sign off and roll bundles, and watch them arrive.',
)

WATCH_INTERVAL_S = 0.2
SETTLE_PAUSE_S = 0.2
MS_PER_DAY = 86_400_000

Config = Annotated[
    pathlib.Path,
    typer.Option(
        help='YAML settings of the operator.', envvar='SEDGERING_CONFIG'
    ),
]
BundleFile = Annotated[pathlib.Path, typer.Argument(help='YAML bundle.')]
VersionArgument = Annotated[int, typer.Argument(help='Version.', min=1)]
OperationOption = Annotated[
    str | None,
    typer.Option(
        '--operation-id',
        help='Resume the operation of an earlier try whose outcome is '
        'unknown.',
    ),
]
JsonOption = Annotated[bool, typer.Option('--json', help='JSON lines.')]


@app.command()
def check(file: BundleFile) -> None:
    """Validate a bundle file; asks no platform.

    Example: sedgering check first.yaml
    """
    content = bundles.load_bundle(file)
    digest = bundles.compute_digest(bundles.encode_bundle(content))
    print(
        f'ok: {len(content.routes)} routes, '
        f'{len(content.target_sets)} target sets, '
        f'{len(content.policies)} policies, '
        f'{len(content.workspaces)} workspaces, sha256 {digest.hex()}'
    )


@app.command()
def diff(
    file: BundleFile,
    config: Config,
    version: Annotated[
        int | None,
        typer.Option(help='Version to compare with; rolled last if none.'),
    ] = None,
) -> None:
    """Show what a bundle file would change.

    Example: sedgering diff next.yaml --config operator.yaml
    """
    content = bundles.load_bundle(file)
    client = _make_client(config)[1]
    compared = base.Version(version or client.read_head().version)
    old = bundles.make_bundle(content.mesh)
    if compared:
        old = client.read_bundle(compared)
    lines = list(_diff.describe_changes(old, content))
    for line in lines:
        print(line)
    if not lines:
        print(f'equal to version {compared}')


@app.command('key-digest')
def key_digest() -> None:
    """Turn the API key on standard input into what a bundle file holds.

    Not an argument: those stand in the shell's history and in lists of
    processes.

    Example: sedgering key-digest < key.txt
    """
    print(access.compute_key_digest(sys.stdin.read().strip()))


@app.command()
def explain(
    subject: Annotated[str, typer.Argument(help='Request id, or host.')],
    logs: Annotated[
        list[pathlib.Path] | None,
        typer.Option('--log', help='Log file; standard input if none.'),
    ] = None,
    host: Annotated[
        bool, typer.Option('--host', help='The subject is a host.')
    ] = False,
) -> None:
    """Show from logs what happened to a request, or on a host.

    Example: sedgering explain 9c41d07be2a35f68 --log hall-1.log
    """
    tell = _explain.explain_host if host else _explain.explain_request
    with contextlib.ExitStack() as stack:
        files = [
            stack.enter_context(path.open(encoding='utf-8'))
            for path in logs or ()
        ] or [sys.stdin]
        records = _explain.read_records(itertools.chain(*files))
        for line in tell(records, subject):
            print(line)


@app.command()
def burn(
    before: Annotated[
        pathlib.Path, typer.Argument(help='Folder of HOST.txt scrapes.')
    ],
    after: Annotated[
        pathlib.Path, typer.Argument(help='The same, some time later.')
    ],
    goal_ms: Annotated[
        int, typer.Option(help='Latency goal, a bound of the histogram.')
    ] = 400,
    objective: Annotated[
        float, typer.Option(help='Share of requests that are to be good.')
    ] = 0.99,
    as_json: JsonOption = False,
) -> None:
    """Report how much of the error budget was used between two scrapes.

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
    for line in _burn.show_report(report):
        print(line)


@app.command()
def losses(
    logs: Annotated[
        list[pathlib.Path],
        typer.Argument(help='Logs of daemons.', exists=True, dir_okay=False),
    ],
    window_s: Annotated[
        float, typer.Option(help='Length of a time window.')
    ] = 5.0,
    from_s: Annotated[
        float, typer.Option(help='First second that is looked at.')
    ] = float('-inf'),
    until_s: Annotated[
        float, typer.Option(help='First second that is left out.')
    ] = float('inf'),
    as_json: JsonOption = False,
) -> None:
    """Tell where requests were lost, from the logs of daemons.

    Example: sedgering losses host-1.log host-2.log --window-s 2
    """
    span = _losses.Span(from_s, until_s, window_s)
    report = _losses.make_loss_report(_read_all(logs), span)
    if as_json:
        print(msgspec.json.encode(report).decode())
        return
    for line in _losses.show_losses(report):
        print(line)


def _read_all(paths: list[pathlib.Path]) -> Iterator[str]:
    """Yield the lines of several files."""
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as lines:
            yield from lines


@app.command('sign-off')
def sign_off(
    config: Config,
    file: Annotated[
        pathlib.Path | None, typer.Argument(help='YAML bundle.')
    ] = None,
    content_of: Annotated[
        int | None,
        typer.Option(help='Take the content of this older version.', min=1),
    ] = None,
    operation_id: OperationOption = None,
) -> None:
    """Give a bundle the next version; it is not yet rolled.

    Example: sedgering sign-off next.yaml --config operator.yaml

    To undo, sign off older content as a new version:
    sedgering sign-off --content-of 3 --config operator.yaml
    """
    own, client = _make_client(config)
    if (file is None) == (content_of is None):
        raise typer.BadParameter('give either a file or --content-of')
    if file is None:
        content = client.read_bundle(base.Version(content_of))
    else:
        content = bundles.load_bundle(file)
    if content.mesh != own.mesh:
        raise exceptions.BundleError(
            exceptions.Code.BUNDLE_MESH, f'{content.mesh}, not {own.mesh}'
        )
    record = client.sign_off(
        content, own.operator, _choose_operation_id(operation_id)
    )
    print(f'signed off version {record.version}')


@app.command()
def roll(
    version: VersionArgument,
    config: Config,
    operation_id: OperationOption = None,
) -> None:
    """Make a signed-off version the one to be in force everywhere.

    Example: sedgering roll 4 --config operator.yaml
    """
    own, client = _make_client(config)
    record = client.roll(
        base.Version(version),
        own.operator,
        _choose_operation_id(operation_id),
    )
    _notice.notify_relays(client.table, own.mesh, own.operator)
    print(f'rolled version {record.version} over {record.from_version}')


@app.command()
def watch(
    config: Config,
    version: Annotated[
        int | None, typer.Option(help='Version; rolled last if none.')
    ] = None,
    timeout_s: Annotated[
        float, typer.Option(help='Give up after this time.')
    ] = 60.0,
    as_json: JsonOption = False,
) -> None:
    """Watch until every proxy holds a version.

    Ends with status 0 when all hold it, with 1 when time runs out.

    Example: sedgering watch --config operator.yaml
    """
    own = settings.load_settings(config, settings.OperatorSettings)
    store = platform.make_records_store(own.platform, random.Random())
    deadline_s = time.monotonic() + timeout_s
    shown = ''
    while True:
        progress, line = _look(store, as_json)
        wanted = base.Version(version or progress.version)
        if line != shown:
            print(line, flush=True)
            shown = line
        if wanted and release.check_complete(progress, wanted):
            return
        if time.monotonic() > deadline_s:
            raise exceptions.ReleaseError(
                exceptions.Code.RELEASE_INCOMPLETE, f'version {wanted}'
            )
        time.sleep(WATCH_INTERVAL_S)


@app.command()
def status(config: Config, as_json: JsonOption = False) -> None:
    """Show what is rolled, signed off and in force.

    Example: sedgering status --config operator.yaml
    """
    own, client = _make_client(config)
    head = client.read_head()
    progress = release.read_progress(client.table)
    if as_json:
        print(msgspec.json.encode((head, progress)).decode())
        return
    print(
        f'mesh {own.mesh}: version {head.version} rolled, '
        f'{head.latest_signed} signed off; last change by {head.changed_by}'
    )
    for line in _describe_progress(progress):
        print(line)


@app.command()
def history(config: Config, as_json: JsonOption = False) -> None:
    """Show who signed off and rolled what, and when.

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
        int, typer.Option(help='Age of claims to remove.', min=1)
    ] = 7,
    limit: Annotated[
        int, typer.Option(help='Most claims to look at.', min=1)
    ] = 100_000,
) -> None:
    """Remove old idempotency claims, in bounded batches.

    Repeats of a request older than that are no longer caught. Safe to run
    twice at once, and again after an outage.

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
        list[pathlib.Path], typer.Argument(help='YAML load patterns.')
    ],
    seeds: Annotated[
        int, typer.Option(help='Plays of each load.', min=1, max=1000)
    ] = 3,
    as_json: JsonOption = False,
) -> None:
    """Play load patterns against the daemon's decisions; asks no platform.

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
    own = settings.load_settings(config, settings.OperatorSettings)
    store = platform.make_records_store(own.platform, random.Random())
    client = release.ReleaseClient(
        store,
        store,
        wall_ms=clock.wall_ms,
        pause=lambda attempt: time.sleep(SETTLE_PAUSE_S * attempt),
    )
    return own, client


def _choose_operation_id(stated: str | None) -> base.OperationId:
    if stated:
        return base.OperationId(stated)
    return release.make_operation_id()


def _look(
    store: storage.TableStore, as_json: bool
) -> tuple[release.FleetProgress, str]:
    """Read the progress and make the line that shows it."""
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
        exact = '' if report.is_exact else ', count settling'
        yield (
            f'{report.data_centre}: {report.covered} of {report.members} '
            f'report, versions {report.lowest_version} to '
            f'{report.highest_version}{exact}'
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
    moment = datetime.datetime.fromtimestamp(
        wall_ms / 1000, datetime.timezone.utc
    )
    return moment.isoformat(timespec='milliseconds')


def main() -> None:
    """Entry point."""
    _common.run_program(app)


if __name__ == '__main__':
    main()

"""Steps for the report on lost requests."""

import pathlib

from behave import given
from behave import then
from behave import when
import msgspec
from typer import testing

from sedgering.cli import _losses
from sedgering.cli import operator
from sedgering import exceptions

ROOT = pathlib.Path(__file__).parent.parent.parent


@given('the collected log of two daemons, {path}')
def step_log(context, path):
    context.log = ROOT / path
    context.lines = context.log.read_text().splitlines()


@when('losses are reported in windows of {window_s:g} s')
def step_windows(context, window_s):
    time_range = _losses.TimeRange(window_s=window_s)
    try:
        context.report = _losses.make_loss_report(context.lines, time_range)
    except exceptions.SettingsError as error:
        context.error = error


@when('losses are reported from second {from_s:g} to second {until_s:g}')
def step_span(context, from_s, until_s):
    time_range = _losses.TimeRange(from_s, until_s)
    context.report = _losses.make_loss_report(context.lines, time_range)


@when('losses are reported for the same lines without their prefixes')
def step_plain(context):
    lines = [line[max(0, line.find('{')) :] for line in context.lines]
    context.report = _losses.make_loss_report(lines, _losses.TimeRange())


@when('"sedgering losses" is run on the log')
def step_run(context):
    runner = testing.CliRunner()
    arguments = ['losses', str(context.log), '--window-s', '2']
    context.shown = runner.invoke(operator.app, arguments)
    context.shown_json = runner.invoke(operator.app, [*arguments, '--json'])


@then('the rows are')
def step_rows(context):
    found = [
        (
            f'{row.from_s:.1f}',
            str(row.requests),
            row.code,
            str(row.attempts),
            row.hop,
            row.reason,
            row.route,
        )
        for row in context.report.rows
    ]
    assert found == [tuple(row.cells) for row in context.table], found


@then('{requests:d} requests are lost, and {lines:d} lines dropped')
def step_totals(context, requests, lines):
    found = (context.report.requests, context.report.dropped_lines)
    assert found == (requests, lines), context.report


@then('the first row begins at second {from_s:g}')
def step_first(context, from_s):
    assert context.report.rows[0].from_s == from_s, context.report


@then('its table and its JSON have {count:d} rows each')
def step_table(context, count):
    assert context.shown.exit_code == 0, context.shown.output
    # Apart from the header and the line of totals.
    assert len(context.shown.output.splitlines()) == count + 2
    report = msgspec.json.decode(
        context.shown_json.output, type=_losses.LossReport
    )
    assert len(report.rows) == count, report


@then('that is refused with code {code:d}')
def step_refused(context, code):
    assert int(context.error.code) == code, context.error

"""Steps for rows, reports and documents of other writers."""

import asyncio
import base64
import copy
import json
import logging

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import msgspec

from sedgering import exceptions
from sedgering import mesh
from sedgering.mesh import _members
from sedgering.mesh import _relay
from sedgering import platform
from sedgering.platform import _store
from sedgering import testing
from sedgering import transport

MEMBERS = 'sedgering_members'
EXAMPLES = 400
INVALID_BYTES = {
    'of bytes': b'\xff\xfe\x00{',
    'of nothing': b'',
    'of a list': b'[1, 2]',
    'of null': b'null',
    # Deeper than the recursion limit of any decoder.
    'nested too deeply': b'{"new":' + b'[' * 100_000,
}
#: Values that are too long for a table of a feature.
LONG_VALUES = {'"a year"': '"31536000s"', '"endless"': f'"{"9" * 400}s"'}
INVALID_ROWS = (
    *INVALID_BYTES,
    'without target',
    'of port "80"',
    'of port 70000',
    'of state "unheard-of"',
    'of host "hall-1"',
)
INVALID_DOCUMENTS = (
    *INVALID_BYTES,
    'without version',
    'without resources',
    'of version 2',
    'of version "2"',
    'of version null',
    'of resources {}',
    'of resources [5]',
    'of resources [{"resource_type":"routes"}]',
    'of resources [{"resource_type":"routes","spec":[]}]',
    'of resources [{"resource_type":7,"spec":{}}]',
    'of resources [{"resource_type":"limits","spec":{}}]',
    'of resources [{"resource_type":"limits","spec":{"max_header_bytes":-1,'
    '"max_body_bytes":9,"header_timeout":"1s","idle_timeout":"1s"}}]',
    'of resources [{"resource_type":"limits","spec":{"max_header_bytes":9,'
    '"max_body_bytes":9,"header_timeout":"0s","idle_timeout":"1s"}}]',
)
#: Time in which daemons have processed a change.
SETTLE_S = 1.0


def encode_invalid(fields: dict, kind: str) -> bytes:
    """Encode an object with one invalid detail.

    Parameters
    ----------
    fields : dict
        Fields of the valid object.
    kind : str
        One of `INVALID_BYTES`, ``truncated``, ``without FIELD``, or ``of FIELD
        VALUE`` with the literal JSON value.
    """
    if kind in INVALID_BYTES:
        return INVALID_BYTES[kind]
    if kind == 'truncated':
        return json.dumps(fields).encode()[:-5]
    word, _space, rest = kind.partition(' ')
    name, _space, value = rest.partition(' ')
    others = {key: item for key, item in fields.items() if key != name}
    if word == 'without':
        return json.dumps(others).encode()
    value = LONG_VALUES.get(value, value)
    # The literal value: an encoder would write another one.
    body = json.dumps({**others, name: '@'})
    return body.replace('"@"', value).encode()


def make_row_value(kind: str, host: str = 'x') -> bytes:
    """Encode a member row with one invalid detail."""
    row = testing.make_member_row(host, target='i-invalid', port=9)
    return encode_invalid(msgspec.to_builtins(row), kind)


class LogCollector(logging.Handler):
    """Collects log records and their error codes."""

    def __init__(self):
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record):
        """Store a record."""
        self.records.append(record)

    def list_codes(self) -> list[int]:
        """Return the codes of errors and refused reports."""
        return [
            record.code
            for record in self.records
            if record.levelno >= logging.WARNING and hasattr(record, 'code')
        ]


def collect_log(context) -> None:
    """Collect log records until the scenario ends."""
    context.logged = LogCollector()
    root = logging.getLogger()
    root.addHandler(context.logged)
    logging.disable(logging.NOTSET)

    def stop():
        logging.disable(logging.CRITICAL)
        root.removeHandler(context.logged)

    context.cleanups.append(stop)


# Rows.


@then('the row {kind} of host "{host}" is refused with code {code:d}')
def step_row_refused(context, kind, host, code):
    try:
        _members.decode_row(host, make_row_value(kind, host))
    except exceptions.MemberError as error:
        assert error.code == code, error
        return
    raise AssertionError('accepted')


@then('the row {kind} of host "{host}" names a target')
def step_row_accepted(context, kind, host):
    row = _members.decode_row(host, make_row_value(kind, host))
    assert row.target == 'i-invalid'


@when('another writer puts invalid rows of every kind')
def step_invalid_rows(context):
    collect_log(context)
    engine = context.mesh.fleet.engine
    for number, kind in enumerate(INVALID_ROWS):
        key = f'invalid-{number}'
        engine.write(MEMBERS, key, make_row_value(kind, key))


@when('a third host starts')
def step_third(context):
    context.mesh.third = context.mesh.fleet.add_host('hall-3')


@then('all daemons know the hosts "{names}" and no other')
def step_known_hosts(context, names):
    hosts = context.mesh.fleet.hosts.values()
    expected = set(names.split(', '))
    context.mesh.fleet.wait_for(
        lambda: all(
            set(host.daemon.state.fleet.members) == expected for host in hosts
        )
    )


@then('each daemon has logged one error {code:d} for each invalid row')
def step_logged_rows(context, code):
    expected = len(INVALID_ROWS) * len(context.mesh.fleet.hosts)

    def count():
        return context.logged.list_codes().count(code)

    context.mesh.fleet.wait_for(lambda: count() >= expected)
    assert count() == expected, (count(), expected)


@when('version 2 is written after them')
def step_version(context):
    context.mesh.configure({'name': 'later', 'prefix': '/later/'})


@then('{count:d} requests are all answered 200')
def step_all_good(context, count):
    for number in range(count):
        answer = context.mesh.ask('/r0/', f'good-{number}')
        assert answer.status == 200, answer


@then('a page of the store with such a value keeps the other rows intact')
def step_page(context):
    good = {
        'key': 'good',
        'value': base64.b64encode(b'{}').decode(),
        'schema_version': 3,
    }
    invalid = [
        {'key': f'invalid-{number}', 'value': value, 'schema_version': 4}
        for number, value in enumerate(('a', '=', 'ä', 5, None, [], {}))
    ]
    page = {'rows': [*invalid, good], 'schema_version': 5}
    rows = _store.decode_rows(json.dumps(page).encode())
    found = {row.key: (row.value, row.is_readable) for row in rows}
    assert found.pop('good') == (b'{}', True)
    assert set(found.values()) == {(b'', False)}, found
    assert len(found) == len(invalid)


@when('another writer puts the row of a target of set "{name}"')
def step_unknown_set(context, name):
    collect_log(context)
    row = testing.make_member_row('x', target_set=name, port=9)
    value = msgspec.json.encode(row)
    context.mesh.fleet.engine.write(MEMBERS, 'x', value)
    context.mesh.fleet.wait_ready(3)


@then('no daemon has logged an error')
def step_no_error(context):
    assert not context.logged.list_codes(), context.logged.records


@when('another writer corrupts the row of the first host')
def step_corrupt_own(context):
    subject = context.mesh
    subject.fleet.engine.write(MEMBERS, subject.first.name, b'\xff')


@when('another writer removes the row of the first host')
def step_remove_own(context):
    subject = context.mesh
    subject.fleet.engine.write(MEMBERS, subject.first.name, None)


@then('the store has the row of the first host again')
def step_row_again(context):
    subject = context.mesh
    name = subject.first.name

    def is_known():
        return all(
            name in host.daemon.state.fleet.members
            for host in subject.fleet.hosts.values()
        )

    # A row received before the change of the store must not count.
    subject.fleet.run(asyncio.sleep(SETTLE_S))
    subject.fleet.wait_for(is_known)
    (row,) = subject.fleet.engine.list_rows(MEMBERS, name, name + '\0')
    assert _members.decode_row(name, row.value).target == 'i-hall-1'


@then('an update with an invalid row keeps the other rows and the version')
def step_invalid_update(context):
    rows = {
        host: msgspec.to_builtins(testing.make_member_row(host))
        for host in ('a', 'b', 'c')
    }
    rows['b']['port'] = 'x'
    entries = [[host, 7, row] for host, row in rows.items()]
    entries.append(['d', 'seven', rows['a']])
    version = [9, 0, [b''], b'', [1, 2, 3, 4], {}]
    limits = msgspec.to_builtins(transport.CallerLimits())
    version[4] = limits
    body = msgspec.msgpack.encode([True, 8, version, [entries, 8, False]])
    update = _relay.decode_relay_update(transport.Response(200, [], body))
    found = {entry.host: entry.row for entry in update.members.entries}
    assert found.pop('b') is None
    assert {host: row.host for host, row in found.items()} == {
        'a': 'a',
        'c': 'c',
    }
    assert update.is_fresh and update.version.version == 9


# Reports.


def send_report(context, target, report) -> transport.Response:
    """Send the first host a report with one invalid detail."""
    verb, _space, kind = report.partition(' ')
    subject = context.mesh
    valid = testing.make_report(
        target, verb, 'calendar', 'draining', 99, born_ms=30
    )
    body = encode_invalid(json.loads(valid.body), kind)
    port = subject.first.addresses.reports_port
    return subject.fleet.call(port, valid.url, body)


def check_refused(context, target) -> None:
    """Send all reports of the table, and check that each is refused."""
    target_client = context.mesh.first.daemon.state.target_client
    before = (
        target_client.target.report,
        target_client.target.conflicting_report,
    )
    for row in context.table:
        answer = send_report(context, target, row['report'])
        assert answer.status == 400, (row, answer)
        found = json.loads(answer.body)
        assert found['code'] == int(row['code']), (row, found)
        assert found['error']
        now = (
            target_client.target.report,
            target_client.target.conflicting_report,
        )
        assert now == before and target_client.gate.is_open, (row, now)


@then(
    'these reports to the first host are refused with 400 and change nothing'
)
def step_reports_refused(context):
    check_refused(context, context.mesh.first.books.target)


@then(
    'these reports of another id to the first host are refused and change'
    ' nothing'
)
def step_others_refused(context):
    check_refused(context, 'i-another')


@then(
    'a report whose path has the id "{target}" is refused with code {code:d}'
)
def step_id_refused(context, target, code):
    for kind in ('heartbeat', 'deregister'):
        answer = send_report(context, target, f'{kind} of new 1')
        assert answer.status == 400, answer
        assert json.loads(answer.body)['code'] == code


@when('another writer sends the first host {count:d} reports without a state')
def step_many_reports(context, count):
    collect_log(context)
    for _ in range(count):
        answer = send_report(context, 'i-another', 'heartbeat without state')
        assert answer.status == 400


@then('the first host has logged one line of code {code:d}')
def step_one_line(context, code):
    assert context.logged.list_codes() == [code], context.logged.list_codes()


@when('the target of the first host reports with an unknown field')
def step_new_field(context):
    target = context.mesh.first.books.target
    answer = send_report(context, target, 'heartbeat of new {"deep":[1]}')
    assert answer.status == 200, answer


@then('that report is accepted')
def step_accepted(context):
    target = context.mesh.first.daemon.state.target_client.target
    assert target.report.state is mesh.TargetState.DRAINING


# Documents.


@when('invalid documents of every kind are written, one after the other')
def step_invalid_documents(context):
    subject = context.mesh
    valid = json.loads(testing.make_document(2, subject.routes))
    for kind in INVALID_DOCUMENTS:
        subject.fleet.engine.write('op', 'config', encode_invalid(valid, kind))
        subject.fleet.run(asyncio.sleep(SETTLE_S / 10))
    subject.fleet.run(asyncio.sleep(SETTLE_S))


@then('each invalid document is refused with code {code:d}')
def step_documents_refused(context, code):
    valid = json.loads(testing.make_document(2, [{}]))
    for kind in (*INVALID_DOCUMENTS, 'truncated'):
        try:
            platform.decode_document(encode_invalid(valid, kind))
        except exceptions.BundleError as error:
            assert error.code == code, (kind, error)
        else:
            raise AssertionError(kind)


@then('all daemons still have version 1, and still watch the store')
def step_still_first(context):
    for host in context.mesh.fleet.hosts.values():
        assert host.daemon.state.config.version == 1
        assert host.daemon.source.is_fresh


SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=5),
    st.sampled_from(['9' * 400 + 's', '1e9s', '-1s', 'r1', '', [], {}]),
)


@then('any value anywhere in a document is accepted or refused as a bundle')
def step_any_document(context):
    split = [
        {'service': 'calendar', 'weight': 1},
        {'service': 'ledger', 'weight': 2},
    ]
    valid = json.loads(testing.make_document(2, [{}, {'split': split}]))
    paths = list(_list_paths(valid))

    @hypothesis.settings(
        max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(st.sampled_from(paths), SCALARS)
    def check(path, value):
        document = copy.deepcopy(valid)
        parent = document
        for step in path[:-1]:
            parent = parent[step]
        parent[path[-1]] = value
        try:
            data = json.dumps(document).encode()
            config = platform.decode_document(data)
        except exceptions.BundleError:
            return
        mesh.ConfigHolder(platform.MESH).apply(config)

    check()


def _list_paths(value, path=()):
    """Return the paths of all values of a document."""
    items = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    for step, item in items:
        yield (*path, step)
        yield from _list_paths(item, (*path, step))

"""Steps over rows, reports and documents of other writers."""

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
STRANGE_BYTES = {
    'of bytes': b'\xff\xfe\x00{',
    'of nothing': b'',
    'of a list': b'[1, 2]',
    'of null': b'null',
    # Deeper than any decoder follows.
    'nested without end': b'{"new":' + b'[' * 100_000,
}
#: Values that do not fit into a table of a feature.
LONG_VALUES = {'"a year"': '"31536000s"', '"endless"': f'"{"9" * 400}s"'}
STRANGE_ROWS = (
    *STRANGE_BYTES,
    'without target',
    'of port "80"',
    'of port 70000',
    'of state "unheard-of"',
    'of host "hall-1"',
)
STRANGE_DOCUMENTS = (
    *STRANGE_BYTES,
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
#: Time in which a daemon that was told of something has acted on it.
SETTLE_S = 1.0


def spoil(fields: dict, kind: str) -> bytes:
    """Encode an object with one strange thing about it.

    Parameters
    ----------
    fields : dict
        Of the sound object.
    kind : str
        One of `STRANGE_BYTES`, ``cut short``, ``without FIELD``, or
        ``of FIELD VALUE`` with a value as it is to stand there.
    """
    if kind in STRANGE_BYTES:
        return STRANGE_BYTES[kind]
    if kind == 'cut short':
        return json.dumps(fields).encode()[:-5]
    word, _space, rest = kind.partition(' ')
    name, _space, value = rest.partition(' ')
    others = {key: item for key, item in fields.items() if key != name}
    if word == 'without':
        return json.dumps(others).encode()
    value = LONG_VALUES.get(value, value)
    # The value as it stands: an encoder would write another one.
    body = json.dumps({**others, name: '@'})
    return body.replace('"@"', value).encode()


def make_row_value(kind: str, host: str = 'x') -> bytes:
    """Encode a member row with one strange thing about it."""
    row = testing.make_member_row(host, target='i-strange', port=9)
    return spoil(msgspec.to_builtins(row), kind)


class LoggedErrors(logging.Handler):
    """Counts the log lines that carry a number."""

    def __init__(self):
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record):
        """Keep a line."""
        self.records.append(record)

    def list_codes(self) -> list[int]:
        """Return the numbers of errors and refused reports."""
        return [
            record.code
            for record in self.records
            if record.levelno >= logging.WARNING and hasattr(record, 'code')
        ]


def watch_log(context) -> None:
    """Keep what is logged until the scenario ends."""
    context.logged = LoggedErrors()
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
def step_row_taken(context, kind, host):
    row = _members.decode_row(host, make_row_value(kind, host))
    assert row.target == 'i-strange'


@when('another writer puts rows of every strange kind')
def step_strange_rows(context):
    watch_log(context)
    engine = context.mesh.fleet.engine
    for number, kind in enumerate(STRANGE_ROWS):
        key = f'strange-{number}'
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


@then('each daemon has logged one error {code:d} for each strange row')
def step_logged_rows(context, code):
    expected = len(STRANGE_ROWS) * len(context.mesh.fleet.hosts)

    def count():
        return context.logged.list_codes().count(code)

    context.mesh.fleet.wait_for(lambda: count() >= expected)
    assert count() == expected, (count(), expected)


@when('version 2 is written beside them')
def step_version(context):
    context.mesh.configure({'name': 'later', 'prefix': '/later/'})


@then('{count:d} requests are all answered 200')
def step_all_good(context, count):
    for number in range(count):
        answer = context.mesh.ask('/r0/', f'good-{number}')
        assert answer.status == 200, answer


@then('a page of the store with such a value has the other rows whole')
def step_page(context):
    good = {
        'key': 'good',
        'value': base64.b64encode(b'{}').decode(),
        'schema_version': 3,
    }
    strange = [
        {'key': f'strange-{number}', 'value': value, 'schema_version': 4}
        for number, value in enumerate(('a', '=', 'ä', 5, None, [], {}))
    ]
    page = {'rows': [*strange, good], 'schema_version': 5}
    rows = _store.decode_rows(json.dumps(page).encode())
    found = {row.key: (row.value, row.is_readable) for row in rows}
    assert found.pop('good') == (b'{}', True)
    assert set(found.values()) == {(b'', False)}, found
    assert len(found) == len(strange)


@when('another writer puts the row of a target of set "{name}"')
def step_unknown_set(context, name):
    watch_log(context)
    row = testing.make_member_row('x', target_set=name, port=9)
    value = msgspec.json.encode(row)
    context.mesh.fleet.engine.write(MEMBERS, 'x', value)
    context.mesh.fleet.wait_ready(3)


@then('no daemon has logged an error')
def step_no_error(context):
    assert not context.logged.list_codes(), context.logged.records


@when('another writer spoils the row of the first host')
def step_spoil_own(context):
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

    # What was told before the store's word must not count.
    subject.fleet.run(asyncio.sleep(SETTLE_S))
    subject.fleet.wait_for(is_known)
    (row,) = subject.fleet.engine.list_rows(MEMBERS, name, name + '\0')
    assert _members.decode_row(name, row.value).target == 'i-hall-1'


@then('news with a strange row have the other rows, and the version')
def step_strange_update(context):
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
    """Send the first host a report with one strange thing about it."""
    verb, _space, kind = report.partition(' ')
    subject = context.mesh
    sound = testing.make_report(
        target, verb, 'calendar', 'draining', 99, born_ms=30
    )
    body = spoil(json.loads(sound.body), kind)
    port = subject.first.addresses.reports_port
    return subject.fleet.call(port, sound.url, body)


def check_refused(context, target) -> None:
    """Send all reports of the table; each must be refused."""
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
    watch_log(context)
    for _ in range(count):
        answer = send_report(context, 'i-another', 'heartbeat without state')
        assert answer.status == 400


@then('the first host has logged one line of code {code:d}')
def step_one_line(context, code):
    assert context.logged.list_codes() == [code], context.logged.list_codes()


@when('the target of the first host reports with a field that is not known')
def step_new_field(context):
    target = context.mesh.first.books.target
    answer = send_report(context, target, 'heartbeat of new {"deep":[1]}')
    assert answer.status == 200, answer


@then('that report is taken')
def step_taken(context):
    target = context.mesh.first.daemon.state.target_client.target
    assert target.report.state is mesh.TargetState.DRAINING


# Documents.


@when('documents of every strange kind are written, one after the other')
def step_strange_documents(context):
    subject = context.mesh
    sound = json.loads(testing.make_document(2, subject.routes))
    for kind in STRANGE_DOCUMENTS:
        subject.fleet.engine.write('op', 'config', spoil(sound, kind))
        subject.fleet.run(asyncio.sleep(SETTLE_S / 10))
    subject.fleet.run(asyncio.sleep(SETTLE_S))


@then('each strange document is refused with code {code:d}')
def step_documents_refused(context, code):
    sound = json.loads(testing.make_document(2, [{}]))
    for kind in (*STRANGE_DOCUMENTS, 'cut short'):
        try:
            platform.decode_document(spoil(sound, kind))
        except exceptions.BundleError as error:
            assert error.code == code, (kind, error)
        else:
            raise AssertionError(kind)


@then('all daemons still have version 1, and read the store on')
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


@then('any value in any place of a document is taken or refused as a bundle')
def step_any_document(context):
    split = [
        {'service': 'calendar', 'weight': 1},
        {'service': 'ledger', 'weight': 2},
    ]
    sound = json.loads(testing.make_document(2, [{}, {'split': split}]))
    places = list(_list_places(sound))

    @hypothesis.settings(
        max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(st.sampled_from(places), SCALARS)
    def check(place, value):
        document = copy.deepcopy(sound)
        parent = document
        for step in place[:-1]:
            parent = parent[step]
        parent[place[-1]] = value
        try:
            data = json.dumps(document).encode()
            config = platform.decode_document(data)
        except exceptions.BundleError:
            return
        mesh.ConfigHolder(platform.MESH).apply(config)

    check()


def _list_places(value, place=()):
    """Return the paths of all values of a document."""
    items = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    for step, item in items:
        yield (*place, step)
        yield from _list_places(item, (*place, step))

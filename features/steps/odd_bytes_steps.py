"""Steps for odd bytes from other writers, daemons and operators."""

import asyncio
import copy
import itertools
import json
import logging
import math
import zlib

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import msgspec
import writer_steps

from sedgering import bundle
from sedgering import exceptions
from sedgering import mesh
from sedgering.mesh import _follow
from sedgering.mesh import _hop
from sedgering.mesh import _members
from sedgering.mesh import _relay
from sedgering.mesh import _rollout_store
from sedgering.mesh import _versions
from sedgering.mesh import _watch
from sedgering import platform
from sedgering.platform import _reload
from sedgering.platform import _rollouts
from sedgering import storage
from sedgering import testing
from sedgering import transport

EXAMPLES = 300
NESTED = b'{"new":' + b'[' * 100_000
#: Nesting that fits into the head of a message, beyond any recursion limit.
NESTED_FIELD = '{"new":' + '[' * 50_000
LARGEST = 10**18 - 1
ANSWER_TIMEOUT_S = 2.0
#: Largest count in a row, and the time in which daemons process a change.
LARGEST_COUNT = 2**53 - 1
SETTLE_S = 2.0
NUMBERS = {
    '10^30': str(10**30),
    '10^400': str(10**400),
    '400 digits': '9' * 400,
    '5000 digits': '9' * 5000,
}
CALL_FIELDS = (
    'priority',
    'repeatable',
    'urgency',
    'remaining_ms',
    'goal_ms',
    'version',
)
ODD_NUMBERS = st.one_of(
    st.integers().map(str),
    st.sampled_from([*NUMBERS.values(), '-1', '²', '', '1_0', 'nan', '1e999']),
)
#: Mostly sound, so that what is decoded after a number is reached too.
NUMBERS_OR_ODD = st.tuples(st.integers(0, 5), ODD_NUMBERS).map(
    lambda it: '1' if it[0] else it[1]
)
ODD_BODIES = st.one_of(
    st.binary(max_size=40),
    st.sampled_from([NESTED, b'\x91' * 100_000, b'\xdd\xff\xff\xff\xff']),
    st.recursive(
        st.none() | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=4),
        lambda items: st.lists(items, max_size=6),
        max_leaves=10,
    ).map(msgspec.msgpack.encode),
)
MARKS = (
    'sedgering-relay',
    'sedgering-quota',
    'sedgering-crash',
    'sedgering-departure',
    'sedgering-evidence',
    'sedgering-room',
)
CALL_MARKS = (
    'sedgering-crashes',
    'sedgering-forgiven',
    'sedgering-rate-limit',
    'sedgering-workspace',
    'sedgering-free-place',
    'sedgering-trial',
)


def fuzz(*strategies):
    """Run a check on examples that are the same in each run."""

    def decorate(check):
        hypothesis.settings(
            max_examples=EXAMPLES,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        )(hypothesis.given(*strategies)(check))()

    return decorate


def make_number(text: str) -> str:
    """Return the digits of a number that is named in a scenario."""
    return NUMBERS.get(text, text)


# Messages of other daemons.


def make_call(target: str, **fields: str) -> list[tuple[str, str]]:
    """Make the header fields of a call with odd numbers."""
    numbers = {
        'priority': '1',
        'repeatable': '1',
        'urgency': '1',
        'remaining_ms': '400',
        'goal_ms': '300',
        'version': '1',
    }
    numbers.update(fields)
    names = ('id-1', 'calendar', target, 'route-0', 'calendar')
    value = '|'.join((*names, *(numbers[name] for name in CALL_FIELDS)))
    return [('sedgering-call', value), ('X-Request-Id', 'id-1')]


def make_message(text: str) -> tuple[list[tuple[str, str]], bytes]:
    """Make the header fields and the body of a message."""
    kind, _word, detail = text.partition(' of ')
    if kind.endswith('that is nested'):
        mark = kind.split()[0]
        body = NESTED
        if mark in ('relay', 'quota'):
            body = b'\x91' * 100_000
        return [(f'sedgering-{mark}', '1')], body
    if kind == 'evidence query':
        return [('sedgering-evidence', make_number(detail))], b''
    if kind == 'reservation':
        return [('sedgering-room', make_number(detail))], b''
    name, _space, number = detail.partition(' ')
    if name == 'workspace':
        value = f'{make_number(number)}|desk'
        return [*make_call('i-hall-1'), ('sedgering-workspace', value)], b''
    return make_call('i-hall-1', **{name: make_number(number)}), b''


async def send(context, fields, body) -> transport.Response:
    """Send a message to the peer port of the first host."""
    addresses = context.mesh.first.addresses
    connection = await transport.connect(
        addresses.address, addresses.peers_port, ANSWER_TIMEOUT_S
    )
    request = transport.Request(
        'POST' if body else 'GET',
        '/r0/odd',
        [('Host', 'calendar.example'), *fields],
        body,
        bool(body),
    )
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await connection.exchange(
                transport.encode_request(request), lambda _answer: True
            )
    finally:
        connection.close()


@when('another daemon sends the first host a {message}')
def step_send(context, message):
    fields, body = make_message(message)
    context.answer = context.mesh.fleet.run(send(context, fields, body))


@then('that message is answered {status:d}')
def step_status(context, status):
    assert context.answer.status == status, context.answer


@then('any message to the first host is answered, and none with 502')
def step_any_message(context):
    service = context.mesh.first.daemon.inbound
    calls = st.builds(
        lambda numbers, extra: (
            make_call(
                'i-another', **dict(zip(CALL_FIELDS, numbers, strict=True))
            )
            + extra,
            b'',
        ),
        st.tuples(*itertools.repeat(NUMBERS_OR_ODD, 6)),
        st.lists(st.tuples(st.sampled_from(CALL_MARKS), ODD_NUMBERS)),
    )
    others = st.tuples(
        st.tuples(st.sampled_from(MARKS), ODD_NUMBERS).map(lambda it: [it]),
        ODD_BODIES,
    )

    async def answer(fields, body):
        request = transport.Request('POST', '/r0/odd', fields, body, True)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await service.answer(request)

    @fuzz(calls | others)
    def check(message):
        response = context.mesh.fleet.run(answer(*message))
        assert response.status != 502, response


# Answers of other daemons.


def make_answer(**fields: str) -> transport.Response:
    """Make an answer with odd fields."""
    headers = {
        'sedgering-outcome': 'answered||0|1|',
        'sedgering-load': '1|0|2|50|50|0',
    }
    headers.update(
        (name.replace('_', '-'), value) for name, value in fields.items()
    )
    return transport.Response(200, list(headers.items()), b'whole')


ODD_ANSWERS = {
    'a member that is nested': {'sedgering_member': NESTED_FIELD},
    'a member of 400 digits': {'sedgering_member': '9' * 400},
    'a load of 10^400': {'sedgering_load': f'{10**400}|0|2|50|50|0'},
    'a load of -1': {'sedgering_load': '-1|0|2|50|50|0'},
    'a work time of 10^30': {'sedgering_load': f'1|0|2|50|{10**30}|0'},
    'a demand of 10^400': {'sedgering_demand': str(10**400)},
    'a wait of 10^400': {'sedgering_outcome': f'not run|busy|{10**400}|0|'},
    'a wait of 5000 digits': {
        'sedgering_outcome': f'not run|busy|{"9" * 5000}|0|'
    },
}


@then('an answer of another daemon with {field} is refused')
def step_odd_answer(context, field):
    try:
        answer = _hop.decode_answer(make_answer(**ODD_ANSWERS[field]))
    except _hop.HopError:
        return
    raise AssertionError(answer)


@then('any answer of another daemon is decoded within bounds or refused')
def step_any_answer(context):
    names = (
        'sedgering_nested',
        'sedgering_answer_wait',
        'sedgering_failed',
        'sedgering_slowness',
        'sedgering_demand',
        'sedgering_rate_wait',
        'sedgering_crashes',
        'sedgering_member',
        'sedgering_reason',
    )
    numbers = NUMBERS_OR_ODD
    loads = st.lists(numbers, min_size=5, max_size=7).map('|'.join)
    outcomes = st.tuples(
        st.sampled_from(['answered', 'not run', 'unknown', 'odd']),
        st.sampled_from(['', 'busy', 'odd']),
        numbers,
        numbers,
        st.just('detail'),
    ).map('|'.join)

    @fuzz(
        st.dictionaries(st.sampled_from(names), numbers, max_size=3),
        loads,
        outcomes | st.text('ab|1', max_size=6),
    )
    def check(fields, load, outcome):
        response = make_answer(
            **fields, sedgering_load=load, sedgering_outcome=outcome
        )
        try:
            answer = _hop.decode_answer(response)
        except _hop.HopError:
            return
        numbers = [answer.retry_after_ms]
        if answer.load is not None:
            numbers += msgspec.structs.astuple(answer.load)
        assert all(0 <= number <= LARGEST for number in numbers), answer


# Rows and documents.

#: Values of fields in JSON: numbers beyond any field, odd texts, other types.
ODD_JSON = st.one_of(
    st.integers().map(str),
    st.floats().map(str),
    st.text(max_size=6).map(json.dumps),
    st.sampled_from(
        [
            *NUMBERS.values(),
            '1e999',
            '65536',
            '9007199254740991',
            'null',
            '[]',
            '{}',
            '"127.0.0.1"',
            '"nowhere.example"',
            '"\\u0000"',
            '"\\ud800"',
            '"hall-1"',
            '"away"',
            '"gone"',
        ]
    ),
)


def encode_fields(fields: dict[str, str], changes: dict[str, str]) -> bytes:
    """Encode an object with some of its values replaced by literal JSON."""
    values = {name: json.dumps(value) for name, value in fields.items()}
    values.update(changes)
    items = (f'{json.dumps(name)}:{value}' for name, value in values.items())
    return f'{{{",".join(items)}}}'.encode()


@then('any member row is refused with 6101, or taken and passed on')
def step_any_member(context):
    row = testing.make_member_row('x')
    crash = {'crash': 'i@1', 'ended_ms': 1, 'suspects': [], 'trials': []}
    fields = {
        **msgspec.to_builtins(row),
        'crashes': [crash],
        'link_mbps': 5,
        'version': 'v1',
    }
    fleet = mesh.FleetTable()
    peers = mesh.PeerTable(mesh.MeshSettings())
    crashes = st.dictionaries(
        st.sampled_from(list(crash)), ODD_JSON, max_size=2
    ).map(lambda changes: f'[{encode_fields(crash, changes).decode()}]')

    @fuzz(
        st.dictionaries(st.sampled_from(list(fields)), ODD_JSON, max_size=3),
        st.just('[]') | crashes,
    )
    def check(changes, crashes):
        value = encode_fields(fields, {'crashes': crashes, **changes})
        try:
            row = _members.decode_row('x', value)
        except exceptions.MemberError as error:
            assert error.code == 6101, error
            return
        entry = _members.MemberEntry('x', 7, row)
        encoded = msgspec.msgpack.encode(entry)
        assert msgspec.msgpack.decode(encoded, type=type(entry)) == entry
        fleet.replace({'x': row, 'own': testing.make_member_row('own')})
        _follow.list_store_watchers(fleet.members, 1)
        _relay.choose_relays(list(fleet.members.values()))
        peer = peers.find(row)
        peer.note_cold(1.0 + row.cold_ms / 1000)
        assert math.isfinite(peer.find_limit(1.0))


@then('any row of a rollout or order is refused with 6201, or passed on')
def step_any_rollout(context):
    fields = {
        'target_set': 'x',
        'old': 'v1',
        'new': 'v2',
        'order_revision': 3,
        'stage': 'trial',
        'began_ms': 1,
        'stage_ms': 2,
    }
    order = {'service': 'x', 'to': 'v2', 'duration': '5s'}
    durations = st.sampled_from(['"1e9s"', f'"{"9" * 15}s"', '"٣s"'])
    names = [*fields, *order]

    @fuzz(
        st.dictionaries(
            st.sampled_from(names), ODD_JSON | durations, max_size=3
        )
    )
    def check(changes):
        value = encode_fields(fields, changes)
        order_value = encode_fields(order, changes)
        try:
            found = [
                _rollout_store.decode_rollout(storage.Row('x', 5, value)),
                _rollouts.decode_order(
                    storage.Row('rollout/x', 5, order_value)
                ),
            ]
        except exceptions.RolloutError as error:
            assert error.code == 6201, error
            return
        assert msgspec.msgpack.encode(found)


def make_odd_document(kind: str, field: str, number: str) -> bytes:
    """Make a document with one odd number."""
    share = {'service': 'calendar', 'weight': 1}
    document = json.loads(
        testing.make_document(
            2, [{'split': [share]}], {'desk': {'api_keys': ['k']}}
        )
    )
    (spec,) = [
        item['spec']
        for item in document['resources']
        if item['resource_type'] == f'{kind}s'
    ]
    if field == 'weight':
        spec = spec['split'][0]
    spec[field] = '@'
    return json.dumps(document).replace('"@"', make_number(number)).encode()


@then('a document with the {kind} field {field} of {number} is refused')
def step_odd_document(context, kind, field, number):
    try:
        config = platform.decode_document(
            make_odd_document(kind, field, number)
        )
    except exceptions.BundleError as error:
        assert error.code == 1101, error
        return
    raise AssertionError(config)


@given('a relay with followers that holds version 1')
def step_relay(context):
    context.versions = _versions.VersionLog()
    context.holder = mesh.ConfigHolder(platform.MESH)
    apply_document(context, testing.make_document(1, [{}]))


def apply_document(context, data: bytes) -> None:
    """Apply a document as a relay does."""
    try:
        config = platform.decode_document(data)
    except exceptions.BundleError:
        return
    if context.versions.add(config, True):
        context.holder.apply(config)


@when('a document of version 2 with a priority of 10^30 is written')
def step_write_odd(context):
    try:
        apply_document(
            context, make_odd_document('route', 'priority', '10^30')
        )
    except Exception:
        # The watch goes on after any exception.
        logging.exception('odd document')


@when('a sound document of version 3 is written')
def step_write_sound(context):
    apply_document(context, testing.make_document(3, [{}, {}]))


@then('version 3 is in force, and followers get it')
def step_in_force(context):
    assert context.holder.version == 3
    for held in (0, 1):
        assert context.versions.make_update(held).version == 3


@then('any version in an update of a relay is decoded or refused as a bundle')
def step_any_update(context):
    held = platform.decode_document(testing.make_document(1, [{}]))
    step = bundle.encode_delta(
        bundle.make_delta(held.bundle, b'a', held.bundle, b'b')
    )
    whole = zlib.compress(bundle.encode_bundle(held.bundle))
    digest = bundle.compute_digest(bundle.encode_bundle(held.bundle))
    steps = st.lists(
        st.sampled_from([step, whole, step[:-1], b'', zlib.compress(NESTED)])
        | st.binary(max_size=8),
        max_size=3,
    )

    @fuzz(
        steps.map(tuple),
        st.sampled_from([0, 1, 2, 2**63]),
        st.sampled_from([b'', b'b', digest]),
    )
    def check(steps, base_version, update_digest):
        update = _versions.VersionUpdate(
            2, base_version, steps, update_digest, held.limits, {}
        )
        try:
            _versions.decode_update(update, held)
        except exceptions.BundleError:
            return


# Pages.


class _PagedStore(testing.StoreService):
    """A store that changes a row of the first page before the second one."""

    def __init__(self, engine):
        super().__init__(engine)
        self.change = None
        self.pages = 0

    async def answer(self, request):
        is_page = request.url.startswith('/v1/rows-get')
        self.pages += is_page
        if is_page and self.pages == 2:
            self.change()
        return await super().answer(request)


class PagesSubject:
    """A watch of a table with more rows than a page has."""

    def __init__(self, rows: int):
        self.engine = testing.PlatformEngine()
        for number in range(rows):
            self.write(f'host-{number:04}')
        self.known = _members.MemberLog()

    def write(self, host: str, is_removed: bool = False, port: int = 1):
        row = testing.make_member_row(host, port=port)
        value = None if is_removed else msgspec.json.encode(row)
        self.engine.write(platform.MEMBERS_TABLE, host, value)

    async def watch(self, change):
        """Read the table while it changes, and watch it for a while."""
        (port,) = testing.free_ports(1)
        service = _PagedStore(self.engine)
        service.change = change
        server = await transport.serve(service, '127.0.0.1', port)
        client = platform.StoreClient(
            platform.LoopCarrier(
                platform.StoreSettings('127.0.0.1', port, 1000)
            )
        )
        watcher = _watch.MemberWatcher(
            platform.PlatformTable(client, platform.MEMBERS_TABLE),
            self.known.merge,
            _watch.StoreRecovery(),
        )
        watcher.wait_ms = 100
        task = asyncio.ensure_future(watcher.run())
        await asyncio.sleep(WATCH_S)
        task.cancel()
        server.close()
        assert service.pages > 1, service.pages
        for connection in list(service.connections):
            connection.transport.abort()


WATCH_S = 1.5
CHANGED_PORT = 7
CHANGED_HOST = 'host-0005'
ADDED_HOST = 'host-0005-added'


@given('a table of {rows:d} rows')
def step_table(context, rows):
    context.pages = PagesSubject(rows)


@when('a row of the first page is {change} while the second one is read')
def step_change(context, change):
    subject = context.pages
    changes = {
        'written': lambda: subject.write(CHANGED_HOST, port=CHANGED_PORT),
        'removed': lambda: subject.write(CHANGED_HOST, is_removed=True),
        'added': lambda: subject.write(ADDED_HOST),
    }
    asyncio.run(subject.watch(changes[change]))


@then('a watch of the table has {change} it')
def step_changed(context, change):
    members = context.pages.known.list_members()
    if change == 'written':
        assert members[CHANGED_HOST].port == CHANGED_PORT
    elif change == 'removed':
        assert CHANGED_HOST not in members
    else:
        assert ADDED_HOST in members


# Addresses.


@when('another writer puts a row with the address of the first host, {how}')
def step_claim(context, how):
    subject = context.mesh
    addresses = subject.first.addresses
    fields = {'address': addresses.address, 'port': addresses.peers_port}
    fields |= {
        'of set "nobody"': {'target_set': 'nobody'},
        'of state "draining"': {'state': mesh.TargetState.DRAINING},
        'of state "gone"': {'state': mesh.TargetState.GONE},
        'of its target': {'target': 'i-hall-1', 'slots': LARGEST_COUNT},
    }[how]
    row = testing.make_member_row('claim', **fields)
    engine = subject.fleet.engine
    engine.write(platform.MEMBERS_TABLE, 'claim', msgspec.json.encode(row))
    context.claimed_at = engine.revision
    subject.fleet.run(asyncio.sleep(SETTLE_S))


@then('all daemons send calls to both hosts again')
def step_both(context):
    hosts = context.mesh.fleet.hosts.values()

    def is_known():
        return all(
            {
                row.host
                for row in host.daemon.state.fleet.ready_by_set['calendar']
            }
            == {'hall-1', 'hall-2'}
            for host in hosts
        )

    context.mesh.fleet.wait_for(is_known)


@then('the first host has written its row once for it')
def step_once(context):
    engine = context.mesh.fleet.engine
    context.mesh.fleet.run(asyncio.sleep(SETTLE_S))
    rows = engine.find_changes(platform.MEMBERS_TABLE, context.claimed_at)
    assert [row.key for row in rows] == ['hall-1'], rows


@then('3 odd {rows} of one transaction that are read twice give 3 lines')
def step_logged_once(context, rows):
    writer_steps.collect_log(context)
    odd = tuple(storage.Row(f'rollout/{name}', 9, b'\xff') for name in 'abc')
    page = storage.RowsPage(odd, 9, 1)
    recovery = _watch.StoreRecovery()
    watcher = _rollout_store.RolloutWatcher(None, lambda _rows: None, recovery)
    if rows == 'orders':
        row = _watch.ConfigRow(
            None, 'config', platform.decode_document, _rollouts.decode_order
        )
        watcher = _watch.ConfigWatcher(row, lambda *_args: None, recovery)
        watcher.post_orders = lambda *_args: None
    for _ in range(2):
        watcher.take_changes(page)
    assert context.logged.list_codes() == [6201] * 3, context.logged.records


# Settings.


@when('the file is read with {value}')
def step_odd_settings(context, value):
    subject = context.subject
    settings = json.loads(subject.data)
    context.sound = copy.deepcopy(settings)
    context.sound['platform']['address'] = '10.200.1.8:8627'
    if value == 'a field that is nested':
        data = json.dumps(settings)[:-1].encode()
        subject.data = data + b',"new":' + b'[' * 100_000
    elif value.startswith('a store at port'):
        port = value.rpartition(' ')[2]
        settings['platform']['address'] = f'10.200.1.7:{port}'
        subject.data = json.dumps(settings).encode()
    else:
        name, _equals, number = value.partition('=')
        settings['bounds'] = [
            item
            for item in settings['bounds']
            if not item.startswith(f'{name}=')
        ] + [f'{name}={make_number(number)}']
        subject.data = json.dumps(settings).encode()


@then('the watcher goes on, and applies the next settings')
def step_goes_on(context):
    subject = context.subject

    async def watch():
        task = asyncio.ensure_future(subject.watcher.run())
        await asyncio.sleep(2 * _reload.POLL_INTERVAL_S)
        assert not subject.applied, subject.applied
        subject.data = json.dumps(context.sound).encode()
        await asyncio.sleep(2 * _reload.POLL_INTERVAL_S)
        task.cancel()

    asyncio.run(watch())
    (found,) = subject.applied
    assert found.store.address == '10.200.1.8'


# Answers of targets.


@then('an answer with "Keep-Alive: {value}" arrives whole')
def step_keep_alive(context, value):
    name, _equals, number = value.partition('=')
    field = f'{name}={make_number(number)}'.encode('latin-1')

    async def exchange():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        connection = await transport.connect('127.0.0.1', port, 1.0)
        request = transport.Request('GET', '/', [('Host', 'a')])
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            answer = await connection.exchange(
                transport.encode_request(request), lambda _answer: True
            )
        connection.close()
        server.close()
        return answer

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nKeep-Alive: ' + field)
        writer.write(b'\r\nContent-Length: 5\r\n\r\nwhole')
        await writer.drain()
        writer.close()

    answer = asyncio.run(exchange())
    assert (answer.status, answer.body) == (200, b'whole'), answer

"""Steps for keys of workspaces: bundles, documents, authentication."""

import hashlib
import json
import pathlib
import subprocess
import sys
import tempfile

from adapter_steps import SETTINGS
from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import msgspec
from strategies import PROPERTY

from sedgering import access
from sedgering import base
from sedgering import bundle as bundles
from sedgering.cli import _diff
from sedgering import exceptions
from sedgering import mesh
from sedgering.mesh import _fingerprint
from sedgering.mesh import _hop
from sedgering import platform
from sedgering.platform import _document
from sedgering import testing
from sedgering import transport

ROOT = pathlib.Path(__file__).parent.parent.parent
#: Encoded by the last release without workspaces: a bundle with one object of
#: each kind, and an empty one.
EARLIER_BYTES = (
    '84a46d657368a16da8706f6c69636965739187a46e616d65a170aa74696d656f75745f'
    '6d73cd2710a8617474656d70747302b472657472795f6275646765745f70657263656e'
    '740aae68656467655f61667465725f6d7300af6c6174656e63795f676f616c5f6d7300'
    'a87072696f7269747900ab7461726765745f736574739184a46e616d65a174a5706172'
    '7479a16fa5736c6f74730cab636f6e6e656374696f6e73cc82a6726f757465739189a4'
    '6e616d65a172a57061727479a16fa4686f7374a168ab706174685f707265666978a12f'
    'a7746172676574739182aa7461726765745f736574a174a677656967687401a6706f6c'
    '696379a170a76d6574686f647390a76865616465727390aa72657065617461626c65c2',
    '84a46d657368a16da8706f6c696369657390ab7461726765745f7365747390a6726f75'
    '74657390',
)
#: Fingerprint of a request with an authorization field, by the same release.
EARLIER_FINGERPRINT = '63d4228a-e82662ca765a1cae'
SCHEME = 'Token'
KEY_A = 'k3y-of-a'
KEY_B = 'k3y-of-b'
UNKNOWN = 'k3y-of-nobody'
FIELDS = {
    'the key of a': [f'Token {KEY_A}'],
    'the key of b': [f'Token {KEY_B}'],
    'the scheme odd': [f'tOKEN {KEY_A}'],
    'no key': [],
    'an unknown key': [f'Token {UNKNOWN}'],
    'another scheme': [f'Bearer {KEY_A}'],
    'an empty key': ['Token '],
    'two fields': [f'Token {KEY_A}', f'Token {KEY_B}'],
    'one field twice': [f'Token {KEY_A}', f'Token {KEY_A}'],
    'two keys': [f'Token {KEY_A} {KEY_B}'],
    'two keys, joined': [f'Token {KEY_A},Token {KEY_B}'],
}
LATE_S = 6.0
LIMIT_S = 5.0
FRESHNESS = {
    'current': access.Freshness(),
    'behind': access.Freshness(False, LATE_S),
    'strict': access.Freshness(False, LIMIT_S),
    'strict, late': access.Freshness(False, LATE_S),
}


def digest(key: str) -> str:
    """Return the digest of a key, made without the code under test."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_open_bundle(*workspaces, keyed=()) -> bundles.Bundle:
    """Make a bundle with two routes."""
    routes = [
        bundles.Route(
            name,
            'o',
            'h',
            f'/{name}',
            (bundles.WeightedTargetSet('t'),),
            'p',
        )
        for name in ('keyed', 'public')
    ]
    return bundles.make_bundle(
        'm',
        (bundles.Policy('p'),),
        (bundles.TargetSet('t', 'o'),),
        routes,
        workspaces,
        keyed,
    )


WORKSPACE_A = bundles.Workspace('a', (digest(KEY_A),), priority=1)
WORKSPACE_B = bundles.Workspace('b', (digest(KEY_B),))
FAULTY = {
    'a key held by two': (
        [WORKSPACE_A, bundles.Workspace('c', (digest(KEY_A),))],
        (),
    ),
    'a key listed twice': ([bundles.Workspace('c', (digest(KEY_A),) * 2)], ()),
    'one name twice': ([WORKSPACE_A, bundles.Workspace('a')], ()),
    'a name with a space': ([bundles.Workspace('a b')], ()),
    'a priority below zero': ([bundles.Workspace('a', priority=-1)], ()),
    'a rate below zero': ([bundles.Workspace('a', rate_per_s=-1)], ()),
    'a burst below zero': ([bundles.Workspace('a', burst=-1)], ()),
    'a key that is no digest': ([bundles.Workspace('a', (KEY_A,))], ()),
    'a keyed route that is not': ([WORKSPACE_A], ('other',)),
    'a keyed route twice': ([WORKSPACE_A], ('keyed', 'keyed')),
}


class AccessSubject:
    """A snapshot with two workspaces, and the identity of a request."""

    def __init__(self, state):
        bundle = make_open_bundle(WORKSPACE_A, WORKSPACE_B, keyed=('keyed',))
        self.snapshot = bundles.make_snapshot(1, b'', bundle)
        self.freshness = FRESHNESS[state]
        is_strict = state.startswith('strict')
        self.revocation = access.RevocationPolicy(is_strict, LIMIT_S)
        self.identity = None

    def authenticate(self, route, values):
        """Authenticate a request."""
        self.identity = access.authenticate(
            self.snapshot,
            route,
            values,
            SCHEME,
            self.freshness,
            self.revocation,
        )


@then('bundles without workspaces have the bytes that they had')
def step_earlier_bytes(context):
    bundle = bundles.make_bundle(
        'm',
        (bundles.Policy('p'),),
        (bundles.TargetSet('t', 'o'),),
        (
            bundles.Route(
                'r', 'o', 'h', '/', (bundles.WeightedTargetSet('t'),), 'p'
            ),
        ),
    )
    made = [
        bundles.encode_bundle(item).hex()
        for item in (bundle, bundles.make_bundle('m'))
    ]
    assert made == list(EARLIER_BYTES), made


@then('the fields of earlier deltas come before those on workspaces')
def step_earlier_delta(context):
    old, new = bundles.make_bundle('m'), make_open_bundle()
    delta = bundles.make_delta(old, b'o' * 32, new, b'n' * 32)
    sent = msgspec.msgpack.decode(msgspec.msgpack.encode(delta))
    assert delta.__struct_fields__[:6] == (
        'base_digest',
        'digest',
        'mesh',
        'policies',
        'target_sets',
        'routes',
    )
    assert sent[6:] == [[[], []], [[], []]], sent[6:]
    # A delta of the earlier release ends before the fields on workspaces.
    received = msgspec.convert(sent[:6], bundles.Delta)
    assert received == delta


@given("an operator's document with two workspaces and a public route")
def step_document(context):
    routes = [{}, {'name': 'open', 'prefix': '/open/', 'public': True}]
    context.spec = {
        'blue': {
            'api_keys': [KEY_A, UNKNOWN],
            'priority': 1,
            'rate_per_s': 30,
            'burst': 60,
        },
        'green': {'api_keys': [KEY_B], 'priority': 0},
    }
    context.decoder = _document.DocumentDecoder()
    context.decoded = context.decoder.decode(
        testing.make_document(1, routes, context.spec)
    )
    context.routes = routes


@then('its workspaces hold the digests of their keys and no key')
def step_digests(context):
    blue, green = context.decoded.bundle.workspaces
    assert blue == bundles.Workspace(
        'blue', (digest(KEY_A), digest(UNKNOWN)), 1, 30, 60
    )
    assert green == bundles.Workspace('green', (digest(KEY_B),))
    encoded = bundles.encode_bundle(context.decoded.bundle)
    for key in (KEY_A, KEY_B, UNKNOWN):
        assert key.encode() not in encoded
    bundles.check_bundle(context.decoded.bundle)


@then('the routes that are not public need a key')
def step_keyed(context):
    assert context.decoded.bundle.keyed_routes == ('route-0',)
    plain = platform.decode_document(testing.make_document(1, context.routes))
    assert plain.bundle.keyed_routes == ()
    assert plain.bundle.workspaces == ()


@then('a version that changes one workspace keeps the others as they are')
def step_kept(context):
    before = context.decoded.bundle.workspaces
    context.spec['blue']['api_keys'] = [KEY_A]
    after = context.decoder.decode(
        testing.make_document(2, context.routes, context.spec)
    ).bundle.workspaces
    assert after[0].key_digests == (digest(KEY_A),)
    assert after[1] is before[1]


@then('workspaces with {fault} are refused with {code:d}')
def step_faulty(context, fault, code):
    workspaces, keyed = FAULTY[fault]
    bundle = make_open_bundle(*workspaces, keyed=keyed)
    try:
        bundles.check_bundle(bundle)
    except exceptions.BundleError as error:
        assert int(error.code) == code, str(error)
        assert KEY_A not in str(error), 'a key was shown'
        assert digest(KEY_A) not in str(error), 'a digest was shown whole'
    else:
        raise AssertionError('it was accepted')


@then('a workspace without keys is valid, and no key maps to it')
def step_no_keys(context):
    bundle = make_open_bundle(bundles.Workspace('a'), keyed=('keyed',))
    snapshot = bundles.make_snapshot(1, b'', bundle)
    assert snapshot.workspaces_by_key == {}
    assert snapshot.has_workspaces


@then(
    'a settings file with the bounds "{bounds}" is {strict} with {revoke} ms'
)
@then('a settings file with the bounds "" is {strict} with {revoke} ms')
def step_bounds(context, strict, revoke, bounds=''):
    text = {**SETTINGS, 'bounds': SETTINGS['bounds'] + bounds.split()}
    found = platform.decode_settings(json.dumps(text).encode())
    assert found.revoke_strict is (strict == 'strict')
    assert str(found.revoke_ms) == revoke


@given('a daemon that is {state}')
def step_currency(context, state):
    context.access = AccessSubject(state)


@when('a request with {fields} takes the {route} route')
def step_identify(context, fields, route):
    context.access.authenticate(route, FIELDS[fields])


@then('it is of workspace {name}')
def step_workspace(context, name):
    identity = context.access.identity
    assert identity.code is None
    assert identity.workspace == name
    assert identity.priority == (1 if name == 'a' else 0)


@then('it is anonymous')
def step_anonymous(context):
    assert context.access.identity == access.ANONYMOUS


@then('it is refused {code:d}')
def step_code(context, code):
    identity = context.access.identity
    assert identity.code == code, identity
    assert identity.workspace == base.NO_WORKSPACE
    assert len(identity.key_head) in (0, 8)


@then('any fields give one whole key of one field, or none')
def step_any_fields(context):
    pieces = st.sampled_from(
        ['Token', 'token', 'Bearer', KEY_A, KEY_B, ' ', '  ', '\t', ',', 'é']
    )
    values = st.lists(pieces, max_size=6).map(''.join)

    @PROPERTY
    @hypothesis.given(st.lists(values, max_size=3))
    def check(fields):
        key = access.find_key(fields, SCHEME)
        if key is None:
            return
        (field,) = fields
        scheme, read = field.strip(' \t').split(' ')
        assert scheme.lower() == SCHEME.lower()
        assert read == key
        assert not set(key) & set(' \t,é'), key

    check()


@then('any identifying fields are removed, and all others stay in order')
def step_any_claims(context):
    names = st.sampled_from(
        ['Authorization', 'aUTHORIZATION', 'X-Workspace', 'x-wORKSPACE', 'A']
    )
    fields = st.lists(st.tuples(names, st.text('ab', max_size=2)))

    @PROPERTY
    @hypothesis.given(fields)
    def check(headers):
        values, kept = access.strip_identity_fields(headers, 'x-workspace')
        assert kept == [item for item in headers if item[0] == 'A']
        taken = [item for item in headers if item[0].lower()[:2] == 'au']
        assert values == [value for _name, value in taken]

    check()


@then('of {count:d} workspaces the {limit:d} largest are counted by name')
def step_bounded(context, count, limit):
    counts = access.WorkspaceCounts()
    # Large workspaces are scattered among small ones.
    for number in range(count):
        for _ in range(1 + 50 * (number % 60 == 0)):
            counts.count(base.WorkspaceName(f'w{number}'), 'answered')
        counts.count(base.WorkspaceName(f'w{number}'), 'refused 5008')
    counts.count(base.NO_WORKSPACE, 'answered')
    context.counted = counts.list_largest()
    names = {name for name, _kind, _value in context.counted}
    large = {f'w{number}' for number in range(0, count, 60)}
    assert names - {access.OTHERS} <= large, names
    assert len(names) == limit + 1, names


@then('the counts sum to all requests')
def step_sum(context):
    by_kind = {}
    for _name, kind, value in context.counted:
        by_kind[kind] = by_kind.get(kind, 0) + value
    assert by_kind == {'answered': 1000 + 17 * 50, 'refused 5008': 1000}


@when('the command line computes the digest of a key')
def step_key_digest(context):
    done = subprocess.run(
        [sys.executable, '-m', 'sedgering.cli.operator', 'key-digest'],
        input=f'{KEY_A}\n',
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    )
    context.digest = done.stdout.strip()


@then('a bundle file with it maps the key to its workspace')
def step_bundle_file(context):
    assert context.digest == digest(KEY_A)
    text = (ROOT / 'examples' / 'tuulai' / 'bundle.yaml').read_text()
    text += (
        'workspaces:\n- name: blue\n  key_digests:\n'
        f'  - {context.digest}\n  rate_per_s: 30\n'
        'keyed_routes:\n- calendar\n'
    )
    path = pathlib.Path(tempfile.mkdtemp()) / 'bundle.yaml'
    path.write_text(text)
    snapshot = bundles.make_snapshot(1, b'', bundles.load_bundle(path))
    values = [f'Token {KEY_A}']
    identity = access.authenticate(
        snapshot,
        'calendar',
        values,
        SCHEME,
        access.Freshness(),
        access.RevocationPolicy(),
    )
    assert identity.workspace == 'blue', identity


@then('changes of workspaces and keyed routes are described in lines')
def step_changes(context):
    old = make_open_bundle(WORKSPACE_A, WORKSPACE_B, keyed=('keyed',))
    raised = bundles.Workspace('a', (digest(KEY_A),), rate_per_s=9)
    new = make_open_bundle(raised, keyed=('public',))
    assert list(_diff.describe_changes(old, new)) == [
        '~ workspaces.a.priority: 1 -> 0',
        '~ workspaces.a.rate_per_s: 0 -> 9',
        '- workspaces.b',
        '- keyed_routes.keyed',
        '+ keyed_routes.public',
    ]


def make_call(workspace: str, *fields) -> mesh.TargetCall:
    """Make a call that a daemon sends."""
    request = transport.Request(
        'GET', '/r0/a', [('Host', 'h'), *fields], workspace=workspace
    )
    return mesh.TargetCall(
        request,
        base.RequestId('id'),
        base.TargetSetName('t'),
        base.TargetName('i-1'),
        base.RouteName('r'),
        base.TargetSetName('o'),
        0,
        True,
        mesh.CallUrgency.FIRST,
        1000,
        400,
        base.Version(1),
        workspace=base.WorkspaceName(workspace),
        workspace_priority=1,
    )


def receive(call: mesh.TargetCall) -> mesh.TargetCall:
    """Decode a call as another daemon receives it."""
    head = _hop.encode_call(call).decode('latin-1').split('\r\n')
    headers = [tuple(line.split(': ', 1)) for line in head[1:] if line]
    return _hop.decode_call(transport.Request('GET', '/r0/a', headers))


def make_fingerprint(call: mesh.TargetCall) -> str:
    """Make the fingerprint of a call."""
    fields = mesh.MeshSettings().caller_fields
    return _fingerprint.make_fingerprint(call.request, fields)


@then('a request has the same fingerprint on both sides of a hop')
def step_both_sides(context):
    for workspace in ('', 'a', 'b'):
        call = make_call(workspace)
        received = receive(call)
        assert received.workspace == workspace
        assert make_fingerprint(received) == make_fingerprint(call)


@then('a request of two workspaces has two fingerprints')
def step_two_fingerprints(context):
    found = {make_fingerprint(make_call(name)) for name in ('', 'a', 'b')}
    assert len(found) == 3, found


@then('without a workspace its fingerprint is the one that it had')
def step_earlier_fingerprint(context):
    call = make_call('', ('Authorization', 'Basic x'))
    assert make_fingerprint(call) == EARLIER_FINGERPRINT

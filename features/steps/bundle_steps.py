"""Steps for bundles, deltas and the version in force."""

import pathlib
import tempfile

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import msgspec
from strategies import MESH
from strategies import PROPERTY
from strategies import valid_bundles

from sedgering import bundle as bundles
from sedgering import exceptions

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / 'examples'


class BundleFixture:
    """A bundle holder, to which bundles and deltas are applied."""

    def __init__(self):
        self.holder = bundles.BundleHolder(MESH)
        self.floor = 0
        self.error = None

    def digest(self, bundle):
        return bundles.compute_digest(bundles.encode_bundle(bundle))

    def apply(self, version, bundle):
        try:
            self.holder.apply(version, self.digest(bundle), bundle, self.floor)
        except exceptions.BundleError as error:
            self.error = error

    def delta(self, old, new):
        return bundles.make_delta(old, self.digest(old), new, self.digest(new))

    def receive_full(self, encoded, digest):
        bundle = bundles.decode_bundle(encoded, digest)
        self.holder.apply(self.holder.version + 1, digest, bundle)

    def receive_delta(self, encoded):
        held = self.holder.snapshot
        delta = bundles.decode_delta(encoded)
        bundle = bundles.apply_delta(held.bundle, held.digest, delta)
        self.holder.apply(held.version + 1, delta.digest, bundle)


def corrupt(data, encoded):
    """Truncate the bytes, change one of them or insert others."""
    index = data.draw(st.integers(0, len(encoded) - 1))
    kind = data.draw(st.sampled_from(['cut', 'flip', 'insert']))
    if kind == 'cut':
        return encoded[:index]
    if kind == 'flip':
        flipped = encoded[index] ^ data.draw(st.integers(1, 255))
        return encoded[:index] + bytes([flipped]) + encoded[index + 1 :]
    return encoded[:index] + data.draw(st.binary(min_size=1)) + encoded[index:]


@then('applying the delta between any two bundles gives the second one')
def step_delta(context):
    @PROPERTY
    @hypothesis.given(valid_bundles(), valid_bundles())
    def check(old, new):
        fixture = BundleFixture()
        delta = bundles.decode_delta(
            bundles.encode_delta(fixture.delta(old, new))
        )
        assert bundles.apply_delta(old, fixture.digest(old), delta) == new

    check()


@then('composed deltas lead from the first bundle to the last one')
def step_compose(context):
    @PROPERTY
    @hypothesis.given(st.lists(valid_bundles(), min_size=3, max_size=5))
    def check(sequence):
        fixture = BundleFixture()
        composed = fixture.delta(sequence[0], sequence[1])
        for old, new in zip(sequence[1:], sequence[2:]):
            composed = bundles.compose_deltas(
                composed, fixture.delta(old, new)
            )
        first = sequence[0]
        result = bundles.apply_delta(first, fixture.digest(first), composed)
        assert result == sequence[-1]

    check()


@then('the order of the objects does not change the digest')
def step_canonical(context):
    @PROPERTY
    @hypothesis.given(valid_bundles(), st.randoms(use_true_random=False))
    def check(bundle, random):
        kinds = []
        for kind in (
            bundle.policies,
            bundle.target_sets,
            bundle.routes,
            bundle.workspaces,
            bundle.keyed_routes,
        ):
            shuffled = list(kind)
            random.shuffle(shuffled)
            kinds.append(shuffled)
        fixture = BundleFixture()
        reordered = bundles.make_bundle(MESH, *kinds)
        assert fixture.digest(reordered) == fixture.digest(bundle)

    check()


@then(
    'any corruption of an encoded bundle leaves the version in force unchanged'
)
def step_damaged_bundle(context):
    @PROPERTY
    @hypothesis.given(valid_bundles(), valid_bundles(), st.data())
    def check(held, offered, data):
        fixture = BundleFixture()
        fixture.apply(1, held)
        encoded = bundles.encode_bundle(offered)
        corrupted = corrupt(data, encoded)
        if data.draw(st.booleans()):
            # A valid bundle, but not the one that was signed off.
            corrupted = bundles.encode_bundle(data.draw(valid_bundles()))
        hypothesis.assume(corrupted != encoded)
        try:
            fixture.receive_full(corrupted, fixture.digest(offered))
        except exceptions.BundleError:
            pass
        else:
            raise AssertionError('a corrupted bundle was accepted')
        assert fixture.holder.snapshot.bundle == held

    check()


@then(
    'any corruption of an encoded delta leaves the version in force unchanged'
)
def step_damaged_delta(context):
    @PROPERTY
    @hypothesis.given(valid_bundles(), valid_bundles(), st.data())
    def check(held, offered, data):
        fixture = BundleFixture()
        fixture.apply(1, held)
        corrupted = corrupt(
            data, msgspec.msgpack.encode(fixture.delta(held, offered))
        )
        try:
            decoded = msgspec.msgpack.decode(corrupted, type=bundles.Delta)
            fixture.receive_delta(bundles.encode_delta(decoded))
        except (exceptions.BundleError, msgspec.DecodeError):
            assert fixture.holder.snapshot.bundle == held
        else:
            # Corruption that passes the digest check changes nothing.
            snapshot = fixture.holder.snapshot
            assert snapshot.digest == fixture.digest(snapshot.bundle)
            assert snapshot.bundle == offered

    check()


@then('a delta with another base is refused with 1107')
def step_other_base(context):
    @PROPERTY
    @hypothesis.given(valid_bundles(), valid_bundles(), valid_bundles())
    def check(held, other, new):
        hypothesis.assume(held != other)
        fixture = BundleFixture()
        fixture.apply(1, held)
        try:
            fixture.receive_delta(
                bundles.encode_delta(fixture.delta(other, new))
            )
        except exceptions.BundleError as error:
            assert error.code is exceptions.Code.BUNDLE_BASE, str(error)
        else:
            raise AssertionError('the delta was accepted')
        assert fixture.holder.snapshot.bundle == held

    check()


@then('removing a policy or a target set in use is refused with 1103')
def step_dangling(context):
    @PROPERTY
    @hypothesis.given(valid_bundles(), st.data())
    def check(bundle, data):
        hypothesis.assume(bundle.routes)
        route = data.draw(st.sampled_from(bundle.routes))
        weighted = data.draw(st.sampled_from(route.targets))
        kind, name = data.draw(
            st.sampled_from(
                [
                    ('policies', route.policy),
                    ('target_sets', weighted.target_set),
                ]
            )
        )
        remaining = tuple(i for i in getattr(bundle, kind) if i.name != name)
        broken = msgspec.structs.replace(bundle, **{kind: remaining})
        fixture = BundleFixture()
        fixture.apply(1, bundle)
        fixture.apply(2, broken)
        assert fixture.error.code == exceptions.Code.BUNDLE_DANGLING
        assert fixture.holder.version == 1

    check()


@then('versions applied in any order leave the greatest one in force')
def step_greatest(context):
    bundle = bundles.make_bundle(MESH)

    @PROPERTY
    @hypothesis.given(st.lists(st.integers(1, 50), min_size=1))
    def check(versions):
        fixture = BundleFixture()
        greatest = 0
        for version in versions:
            fixture.apply(version, bundle)
            greatest = max(greatest, version)
            assert fixture.holder.version == greatest

    check()


@given('a holder whose floor is {floor:d}')
def step_floor(context, floor):
    context.bundle = BundleFixture()
    context.bundle.floor = floor


@when('version {version:d} is applied')
def step_apply(context, version):
    context.bundle.apply(version, bundles.make_bundle(MESH))


@then('it is refused with {code:d} and nothing is in force')
def step_refused(context, code):
    assert int(context.bundle.error.code) == code
    assert context.bundle.holder.snapshot is None


@given('a bundle file of {name} where "{old}" is replaced by "{new}"')
def step_file(context, name, old, new):
    text = (EXAMPLES / name / 'bundle.yaml').read_text()
    assert old in text
    path = pathlib.Path(tempfile.mkdtemp()) / 'bundle.yaml'
    path.write_text(text.replace(old, new))
    context.path = path


@then('it is refused with {code:d} naming "{named}"')
def step_file_refused(context, code, named):
    try:
        bundles.load_bundle(context.path)
    except exceptions.BundleError as error:
        assert int(error.code) == code, str(error)
        assert named in str(error), str(error)
    else:
        raise AssertionError('the bundle file was accepted')


@given('a holder with version 1 in force')
def step_in_force(context):
    context.bundle = BundleFixture()
    context.content = bundles.load_bundle(EXAMPLES / 'tuulai' / 'bundle.yaml')
    context.bundle.holder.mesh = context.content.mesh
    context.bundle.apply(1, context.content)


@given('a request that took its snapshot')
def step_snapshot(context):
    context.snapshot = context.bundle.holder.snapshot


@when('version 2 without any route is applied')
def step_no_route(context):
    context.bundle.apply(
        2, msgspec.structs.replace(context.content, routes=())
    )
    assert context.bundle.holder.version == 2


@then('the request still finds its route, and a new one does not')
def step_route_kept(context):
    head = bundles.RequestHead('GET', 'tuulai.example', '/calendar', {})
    assert bundles.find_route(context.snapshot, head).name == 'calendar'
    assert bundles.find_route(context.bundle.holder.snapshot, head) is None


def _find_by_comparing(snapshot, head):
    """Find the most specific route by comparing all routes."""
    matching = [
        route
        for route in snapshot.bundle.routes
        if route.host == head.host
        and _has_prefix(head.path, route.path_prefix)
        and (not route.methods or head.method in route.methods)
    ]
    matching.sort(
        key=lambda route: (
            -len(route.path_prefix),
            0 if route.methods else 1,
            route.name,
        )
    )
    return matching[0] if matching else None


def _has_prefix(path, prefix):
    if not path.startswith(prefix):
        return False
    ends_at_segment = prefix.endswith('/') or len(path) == len(prefix)
    return ends_at_segment or path[len(prefix)] == '/'


@then('any path finds the same route as a comparison of all routes')
def step_any_path(context):
    segments = st.lists(st.sampled_from(['', 'a', 'b', 'ab']), max_size=4)
    paths = segments.map(lambda items: '/' + '/'.join(items))
    methods = st.sampled_from([(), ('GET',), ('POST',)])
    matches = st.lists(
        st.tuples(paths, methods),
        unique_by=lambda item: (item[0], item[1] or '*'),
        max_size=8,
    )

    @hypothesis.settings(
        max_examples=300, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(matches, paths, st.sampled_from(['GET', 'POST']))
    def check(items, path, method):
        routes = tuple(
            bundles.Route(
                name=f'r{number}',
                party='p',
                host='h',
                path_prefix=prefix,
                targets=(bundles.WeightedTargetSet('t'),),
                policy='x',
                methods=route_methods,
            )
            for number, (prefix, route_methods) in enumerate(items)
        )
        bundle = bundles.make_bundle(
            'm',
            (bundles.Policy('x'),),
            (bundles.TargetSet('t', 'p'),),
            routes,
        )
        snapshot = bundles.make_snapshot(1, b'', bundle)
        head = bundles.RequestHead(method, 'h', path, {})
        found = bundles.find_route(snapshot, head)
        assert found == _find_by_comparing(snapshot, head), (items, path)

    check()

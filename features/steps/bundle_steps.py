"""Steps on bundles, differences and the version in force."""

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


class BundleSubject:
    """A holder, and what happens to content on its way into it."""

    def __init__(self):
        self.holder = bundles.BundleHolder(MESH)
        self.floor = 0
        self.error = None

    def digest(self, content):
        return bundles.compute_digest(bundles.encode_bundle(content))

    def apply(self, version, content):
        try:
            self.holder.apply(
                version, self.digest(content), content, self.floor
            )
        except exceptions.BundleError as error:
            self.error = error

    def delta(self, old, new):
        return bundles.make_delta(old, self.digest(old), new, self.digest(new))

    def receive_full(self, encoded, digest):
        content = bundles.decode_bundle(encoded, digest)
        self.holder.apply(self.holder.version + 1, digest, content)

    def receive_delta(self, encoded):
        held = self.holder.snapshot
        delta = bundles.decode_delta(encoded)
        content = bundles.apply_delta(held.bundle, held.digest, delta)
        self.holder.apply(held.version + 1, delta.digest, content)


def damage(data, encoded):
    """Cut, flip or insert bytes."""
    index = data.draw(st.integers(0, len(encoded) - 1))
    kind = data.draw(st.sampled_from(['cut', 'flip', 'insert']))
    if kind == 'cut':
        return encoded[:index]
    if kind == 'flip':
        flipped = encoded[index] ^ data.draw(st.integers(1, 255))
        return encoded[:index] + bytes([flipped]) + encoded[index + 1 :]
    return encoded[:index] + data.draw(st.binary(min_size=1)) + encoded[index:]


@then('applying the difference of any two bundles gives the second one')
def step_delta(context):
    @PROPERTY
    @hypothesis.given(valid_bundles(), valid_bundles())
    def check(old, new):
        subject = BundleSubject()
        delta = bundles.decode_delta(
            bundles.encode_delta(subject.delta(old, new))
        )
        assert bundles.apply_delta(old, subject.digest(old), delta) == new

    check()


@then('joined differences lead from the first bundle to the last one')
def step_compose(context):
    @PROPERTY
    @hypothesis.given(st.lists(valid_bundles(), min_size=3, max_size=5))
    def check(chain):
        subject = BundleSubject()
        joined = subject.delta(chain[0], chain[1])
        for old, new in zip(chain[1:], chain[2:]):
            joined = bundles.compose_deltas(joined, subject.delta(old, new))
        first = chain[0]
        reached = bundles.apply_delta(first, subject.digest(first), joined)
        assert reached == chain[-1]

    check()


@then('the order in which objects are written changes no digest')
def step_canonical(context):
    @PROPERTY
    @hypothesis.given(valid_bundles(), st.randoms(use_true_random=False))
    def check(content, random):
        kinds = []
        for kind in (
            content.policies,
            content.target_sets,
            content.routes,
            content.workspaces,
            content.keyed_routes,
        ):
            shuffled = list(kind)
            random.shuffle(shuffled)
            kinds.append(shuffled)
        subject = BundleSubject()
        again = bundles.make_bundle(MESH, *kinds)
        assert subject.digest(again) == subject.digest(content)

    check()


@then('any damage to an encoded bundle leaves the version in force')
def step_damaged_bundle(context):
    @PROPERTY
    @hypothesis.given(valid_bundles(), valid_bundles(), st.data())
    def check(held, offered, data):
        subject = BundleSubject()
        subject.apply(1, held)
        encoded = bundles.encode_bundle(offered)
        damaged = damage(data, encoded)
        if data.draw(st.booleans()):
            # Sound in itself, but not what was signed off.
            damaged = bundles.encode_bundle(data.draw(valid_bundles()))
        hypothesis.assume(damaged != encoded)
        try:
            subject.receive_full(damaged, subject.digest(offered))
        except exceptions.BundleError:
            pass
        else:
            raise AssertionError('damaged content was accepted')
        assert subject.holder.snapshot.bundle == held

    check()


@then('any damage to an encoded difference leaves the version in force')
def step_damaged_delta(context):
    @PROPERTY
    @hypothesis.given(valid_bundles(), valid_bundles(), st.data())
    def check(held, offered, data):
        subject = BundleSubject()
        subject.apply(1, held)
        damaged = damage(
            data, msgspec.msgpack.encode(subject.delta(held, offered))
        )
        try:
            decoded = msgspec.msgpack.decode(damaged, type=bundles.Delta)
            subject.receive_delta(bundles.encode_delta(decoded))
        except (exceptions.BundleError, msgspec.DecodeError):
            assert subject.holder.snapshot.bundle == held
        else:
            # Damage that the digest does not see changed nothing.
            snapshot = subject.holder.snapshot
            assert snapshot.digest == subject.digest(snapshot.bundle)
            assert snapshot.bundle == offered

    check()


@then('a difference that starts from another bundle is refused with 1107')
def step_other_base(context):
    @PROPERTY
    @hypothesis.given(valid_bundles(), valid_bundles(), valid_bundles())
    def check(held, other, new):
        hypothesis.assume(held != other)
        subject = BundleSubject()
        subject.apply(1, held)
        try:
            subject.receive_delta(
                bundles.encode_delta(subject.delta(other, new))
            )
        except exceptions.BundleError as error:
            assert error.code is exceptions.Code.BUNDLE_BASE, str(error)
        else:
            raise AssertionError('it was accepted')
        assert subject.holder.snapshot.bundle == held

    check()


@then('taking away a policy or a target set in use is refused with 1103')
def step_dangling(context):
    @PROPERTY
    @hypothesis.given(valid_bundles(), st.data())
    def check(content, data):
        hypothesis.assume(content.routes)
        route = data.draw(st.sampled_from(content.routes))
        share = data.draw(st.sampled_from(route.targets))
        kind, name = data.draw(
            st.sampled_from(
                [
                    ('policies', route.policy),
                    ('target_sets', share.target_set),
                ]
            )
        )
        kept = tuple(i for i in getattr(content, kind) if i.name != name)
        broken = msgspec.structs.replace(content, **{kind: kept})
        subject = BundleSubject()
        subject.apply(1, content)
        subject.apply(2, broken)
        assert subject.error.code == exceptions.Code.BUNDLE_DANGLING
        assert subject.holder.version == 1

    check()


@then('versions in any order leave the greatest one in force')
def step_greatest(context):
    content = bundles.make_bundle(MESH)

    @PROPERTY
    @hypothesis.given(st.lists(st.integers(1, 50), min_size=1))
    def check(versions):
        subject = BundleSubject()
        greatest = 0
        for version in versions:
            subject.apply(version, content)
            greatest = max(greatest, version)
            assert subject.holder.version == greatest

    check()


@given('a holder whose floor is {floor:d}')
def step_floor(context, floor):
    context.bundle = BundleSubject()
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
        raise AssertionError('the file was accepted')


@given('a holder with version 1 in force')
def step_in_force(context):
    context.bundle = BundleSubject()
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
    """Find the most specific route by looking at all of them."""
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
    is_cut = prefix.endswith('/') or len(path) == len(prefix)
    return is_cut or path[len(prefix)] == '/'


@then('any path finds the route that comparing all of them finds')
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
                methods=only,
            )
            for number, (prefix, only) in enumerate(items)
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

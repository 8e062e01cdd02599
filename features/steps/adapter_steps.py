"""Steps over the adapter to the users' platform."""

import asyncio
import json

from behave import given
from behave import then
from behave import when

from sedgering import base
from sedgering.cli import _explain
from sedgering import exceptions
from sedgering import mesh
from sedgering.mesh import _pause
from sedgering import observability
from sedgering import platform

SETTINGS = {
    'node': 'sidecar-sukhbaatar-hall-1',
    'role': 'proxy',
    'ip': '10.1.0.41',
    'zone': 'sukhbaatar-hall',
    'listen': {
        'inbound': '10.1.0.41:8624',
        'outbound': '10.1.0.41:8629',
        'ready': '10.1.0.41:8625',
        'control': '10.1.0.41:8620',
    },
    'internal_ports': [7600, 7615],
    'bounds': [
        'drain=2000ms',
        'grace=6s',
        'budget_ratio=0.2',
        'budget_window=10s',
        'budget_extra=62',
    ],
    'app': '10.1.0.41:8628',
    'service': 'huvo11a',
    'platform': {'address': '10.200.1.7:8627', 'form': 'table'},
}
DOCUMENT = (
    '{"version":"r7","resources":[{"resource_type":"routes","metadata":'
    '{"name":"r-ctnfzs9"},"spec":{"host":"hulo84.example","prefix":'
    '"/xapu221/ny95/","kind":"non_idempotent","timeout":"1500ms",'
    '"target_latency":"500ms","priority":1,"service":"wuno96b",'
    '"attempts":2}},{"resource_type":"routes","metadata":{"name":'
    '"r-xd9dnn2"},"spec":{"host":"jepu9.example","prefix":"/lepu270/",'
    '"kind":"safe","timeout":"1200ms","target_latency":"400ms","priority":2,'
    '"split":[{"service":"huvo11a","weight":90},{"service":"kafi81c",'
    '"weight":10}],"attempts":2}},{"resource_type":"services","metadata":'
    '{"name":"huvo11a"},"spec":{"health_path":"/health","max_connections":'
    '130,"protocol":"h1","tls":false}},{"resource_type":"services",'
    '"metadata":{"name":"kafi81c"},"spec":{"health_path":"/health",'
    '"max_connections":130}},{"resource_type":"services","metadata":{"name":'
    '"wuno96b"},"spec":{"health_path":"/health","max_connections":130}},'
    '{"resource_type":"new","metadata":{},"spec":{}},'
    '{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":'
    '16384,"max_body_bytes":67108864,"header_timeout":"3000ms",'
    '"idle_timeout":"15000ms"}}]}'
)


@then('the duration "{text}" is {result}')
def step_duration(context, text, result):
    assert parse(platform.parse_duration_ms, text) == result


@then('the version "{text}" is {result}')
def step_version(context, text, result):
    assert parse(platform.parse_version, text) == result


def parse(parser, text) -> str:
    """Return what a parser makes of a text."""
    try:
        return str(parser(text))
    except ValueError:
        return 'refused'


@given("the settings file of the platform's page")
def step_settings(context):
    context.file = json.loads(json.dumps(SETTINGS))


@given('a field that is not known')
def step_unknown_field(context):
    context.file['new'] = {'deep': [1]}


@given('its field {field} is missing')
def step_missing_field(context, field):
    del context.file[field]


@then('it is decoded with its addresses, bounds and store')
def step_settings_decoded(context):
    found = platform.decode_settings(json.dumps(context.file).encode())
    assert found.identity.target_set == 'huvo11a'
    assert found.identity.data_centre == 'sukhbaatar-hall'
    assert found.addresses == mesh.Addresses(
        '10.1.0.41', 8629, 8625, 8620, 7600, '10.1.0.41', 8628
    )
    assert (found.store.address, found.store.port) == ('10.200.1.7', 8627)
    assert found.grace_ms == 6000
    assert (found.retry_ratio, found.retry_extra) == (0.2, 62)
    assert found.retry_window_s == 10


@then('it is refused with code {code:d}')
def step_settings_refused(context, code):
    try:
        platform.decode_settings(json.dumps(context.file).encode())
    except exceptions.SettingsError as error:
        assert error.code == code
    else:
        raise AssertionError('accepted')


class FollowerSubject:
    """A follower, the file that it reads, and what it applied."""

    def __init__(self):
        self.data = json.dumps(SETTINGS).encode()
        self.applied: list[platform.HostSettings] = []
        self.follower = platform.SettingsFollower(
            platform.decode_settings(self.data),
            self.applied.append,
            lambda: platform.decode_settings(self.data),
        )


@given('a follower of the settings file')
def step_follower(context):
    context.subject = FollowerSubject()


@when('the file changes the address of the store')
def step_change_store(context):
    changed = {**SETTINGS, 'platform': {'address': '10.200.1.8:8627'}}
    context.subject.data = json.dumps(changed).encode()


@then('the change is applied once')
def step_applied(context):
    subject = context.subject
    subject.follower.reload(is_signalled=False)
    subject.follower.reload()
    (found,) = subject.applied
    assert found.store.address == '10.200.1.8'


@then('a file that is half written keeps the settings in force')
def step_half_written(context):
    subject = context.subject
    subject.data = subject.data[:50]
    subject.follower.reload()
    assert len(subject.applied) == 1
    assert subject.follower.host_settings == subject.applied[0]


@given("the document of the platform's page")
def step_document(context):
    context.document = DOCUMENT


@then('requests of that route may run {times}')
def step_may_run(context, times):
    config = platform.decode_document(context.document.encode())
    (route,) = (
        item for item in config.bundle.routes if item.host == 'jepu9.example'
    )
    assert route.repeatable == (times == 'more than once')


@given('its text "{part}" is replaced by "{other}"')
def step_replace_text(context, part, other):
    assert part in context.document
    context.document = context.document.replace(part, other)


@then(
    'it is a bundle with {routes:d} routes, {target_sets:d} target sets and'
    ' limits'
)
def step_bundle(context, routes, target_sets):
    config = platform.decode_document(context.document.encode())
    assert config.version == 7
    assert len(config.bundle.routes) == routes
    assert len(config.bundle.target_sets) == target_sets
    assert config.limits.header_bytes == 16384
    assert config.limits.idle_timeout_ms == 15000
    assert config.health_paths['kafi81c'] == '/health'
    assert mesh.ConfigHolder(platform.MESH).apply(config)
    context.accepted = config


@then('the route that may run once is not repeatable')
def step_not_repeatable(context):
    routes = {route.host: route for route in context.accepted.bundle.routes}
    assert not routes['hulo84.example'].repeatable
    assert routes['jepu9.example'].repeatable


@then('the split has weights 90 and 10')
def step_weights(context):
    (route,) = [
        route for route in context.accepted.bundle.routes if route.repeatable
    ]
    assert [share.weight for share in route.targets] == [90, 10]


@then('it cannot be decoded')
def step_undecodable(context):
    try:
        platform.decode_document(context.document.encode())
    except exceptions.BundleError:
        return
    raise AssertionError('accepted')


@then('it is decoded, and refused as a bundle')
def step_refused_bundle(context):
    config = platform.decode_document(context.document.encode())
    holder = mesh.ConfigHolder(platform.MESH)
    assert not holder.apply(config)
    assert holder.version == base.NO_VERSION


@given('counts of {answers:d} answers and {refusals:d} refusals')
def step_counts(context, answers, refusals):
    context.counts = observability.RequestCounts()
    for _ in range(answers):
        context.counts.count('answered', '200')
        context.counts.observe(0.25)
    for _ in range(refusals):
        context.counts.count('refused', '5008')


@then('their text has both counters and a histogram of {count:d}')
def step_text(context, count):
    text = context.counts.render({'members': 2}).decode()
    assert 'sedgering_requests_total{kind="refused",label="5008"} 2' in text
    assert 'sedgering_requests_total{kind="answered",label="200"} 3' in text
    assert f'sedgering_answer_seconds_bucket{{le="0.3"}} {count}' in text
    assert 'sedgering_answer_seconds_bucket{le="0.2"} 0' in text
    assert 'sedgering_members 2' in text


@given('a process that stood still for {pause_s:g} s')
def step_stood_still(context, pause_s):
    context.pause_s = pause_s


@then('a request read now counts as {pause_s:g} s old for a moment')
def step_counts_old(context, pause_s):
    async def check():
        detector = mesh.PauseDetector()
        now_s = asyncio.get_running_loop().time()
        detector.note_tick(now_s - pause_s - _pause.TICK_S)
        # Not yet beaten again, then just beaten again.
        assert abs(detector.find_lag_s() - pause_s) < 0.1
        detector.note_tick(now_s)
        assert abs(await detector.settle() - pause_s) < 0.1
        assert detector.find_lag_s() == 0

    asyncio.run(check())


@then('a beat that is {late_s:g} s late counts as nothing')
def step_beat_late(context, late_s):
    async def check():
        detector = mesh.PauseDetector()
        now_s = asyncio.get_running_loop().time()
        detector.note_tick(now_s + _pause.TICK_S + late_s)
        assert detector.find_lag_s() == 0

    asyncio.run(check())


LOG_LINES = """
  1.5 hall-2 {"time":"T3","message":"request refused","host":"hall-2","code":5008,"request_id":"id-1"}
  1.4 hall-2 {"time":"T2","message":"attempt failed","host":"hall-2","peer":"hall-1","request_id":"id-1"}
  1.3 hall-2 {"time":"T1","message":"attempt failed","host":"hall-2","peer":"hall-3","request_id":"id-1"}
  1.2 hall-2 {"time":"T1","message":"request answered","host":"hall-2","peer":"hall-1","request_id":"id-2"}
not a log line {"time":
  0.1 hall-1 {"time":"T0","message":"started","host":"hall-1"}
  0.2 hall-2 {"time":"T1","message":"peer suspect","host":"hall-2","peer":"hall-1","detail":"reset"}
"""  # noqa: E501


@given('logs of two hosts in which "id-1" was refused after two attempts')
def step_logs(context):
    context.records = list(_explain.read_records(LOG_LINES.splitlines()))


@when('"{request_id}" is explained')
def step_explain(context, request_id):
    context.told = list(_explain.explain_request(context.records, request_id))


@when('the host "{host}" is explained')
def step_explain_host(context, host):
    context.told = list(_explain.explain_host(context.records, host))


@then('its lines come in the order of time, with the text of SDG-5008')
def step_told(context):
    assert [line[:2] for line in context.told[:3]] == ['T1', 'T2', 'T3']
    assert 'SDG-5008: over its limit' in context.told[-1]


@then('nothing of other requests is shown')
def step_told_alone(context):
    assert not [line for line in context.told if 'id-2' in line]


@then('it is said that plain successes are sampled')
def step_told_nothing(context):
    (line,) = context.told
    assert 'plain success' in line


@then('only its start and what others believed of it are shown')
def step_told_host(context):
    first, second = context.told
    assert 'started' in first
    assert 'peer suspect' in second and 'detail=reset' in second

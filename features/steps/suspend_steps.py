"""Steps for a daemon whose host is suspended."""

import asyncio
import pathlib
import tempfile

from behave import given
from behave import then
from behave import when

from sedgering import platform
from sedgering import transport
from soak import _callers
from soak import _daemons
from soak import _probes
from soak import _settings
from soak import _world

TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


async def _wait_for_target(daemon) -> None:
    """Wait until the target of a daemon answers."""
    async with asyncio.timeout(TIMEOUT_S):
        answer = None
        while answer is None or answer.status != 200:
            await asyncio.sleep(POLL_INTERVAL_S)
            answer = await _probes.ask(
                daemon.address,
                _daemons.CALLERS_PORT,
                _callers.REPEATABLE_PATH,
                headers=((platform.HEADERS.request_id, 'before'),),
            )


@given(
    'a daemon, a target, and a request with a timeout of {stated_s:d} s that '
    'takes {work_s:d} s'
)
def step_daemon(context, stated_s, work_s):
    context.stated_ms = 1000 * stated_s
    context.path = f'/long/{1000 * work_s}/0/'


@when('its host is suspended for {for_s:g} s after {after_s:g} s')
def step_suspended(context, for_s, after_s):
    """Suspend a daemon that runs in its own process.

    The target, which is not suspended, ends its work 1.5 s after the host
    resumes. On a clock that stops during the suspension, 2 s would be left
    then.
    """
    fields = [
        ('Host', _callers.HOST_HEADER),
        (platform.HEADERS.request_id, 'suspended'),
        (platform.HEADERS.deadline_ms, str(context.stated_ms)),
    ]
    request = transport.Request('GET', context.path, fields)

    async def run(folder):
        settings = _settings.WorldSettings(1, 1, callers=0, long_callers=1)
        world = _world.World(pathlib.Path(folder), settings)
        # These callers are only configured to create the routes of long
        # requests.
        world.long_callers = []
        try:
            await world._start()
            (daemon,) = world.daemons
            await _wait_for_target(daemon)
            connection = await transport.connect(
                daemon.address, _daemons.CALLERS_PORT, TIMEOUT_S
            )
            asking = asyncio.ensure_future(
                connection.exchange(
                    transport.encode_request(request), lambda _answer: True
                )
            )
            await asyncio.sleep(after_s)
            await daemon.suspend(for_s)
            context.answer = await asyncio.wait_for(asking, TIMEOUT_S)
            connection.close()
        finally:
            await world.stop()

    with tempfile.TemporaryDirectory(prefix='suspend-') as folder:
        asyncio.run(run(folder))


@then('the caller gets status {status:d}')
def step_status(context, status):
    assert context.answer.status == status, context.answer

"""Steps of the days of a site."""

import asyncio
import random

from sedgering import testing
from soak import _faults

__all__ = ['ACTIONS', 'make_day_faults']

_Kind = _faults.FaultKind
#: Time from the end of a target until another set uses its address.
REUSE_S = 2.0
#: How long callers that leave early wait, if the day does not say.
PATIENCE_MS = 200.0


def make_day_faults(settings) -> tuple[_faults.Fault, ...]:
    """Make the faults of the day in the settings of a soak."""
    return testing.make_day_plan(
        settings.site, settings.day, settings.seed
    ).steps


async def _slow_store(world, fault: _faults.Fault) -> None:
    await world.control_store({'slow_ms': int(fault.detail)})
    await asyncio.sleep(fault.for_s)
    await world.control_store({})


async def _kill_after_ack(world, fault: _faults.Fault) -> None:
    """Kill a daemon as soon as a version has been acknowledged."""
    await world.change_version()
    await world.inject(_faults.Fault(fault.at_s, _Kind.KILL, fault.host, 0.0))


async def _slow_target(world, fault: _faults.Fault) -> None:
    books = world.targets[fault.host].books
    books.work_factor = float(fault.detail)
    await asyncio.sleep(fault.for_s)
    books.work_factor = 1.0


async def _crash_target(world, fault: _faults.Fault) -> None:
    target = world.targets[fault.host]
    if await target.end_lifetime(fault.detail, fault.for_s):
        target.is_over = fault.detail == 'gone'
        await target.start()


async def _start_target(world, fault: _faults.Fault) -> None:
    await world.targets[fault.host].start()


async def _move_target(world, fault: _faults.Fault) -> None:
    """Let a target of another set take over the address of a target."""
    form, target_set = fault.detail.split('|')
    target = world.targets[fault.host]
    if not await target.end_lifetime(form, 0.0):
        return
    target.daemon.target_set = target_set
    kill = _faults.Fault(fault.at_s, _Kind.KILL, fault.host, 0.0)
    await asyncio.gather(world.inject(kill), asyncio.sleep(REUSE_S))
    await target.start()


async def _end_target(world, fault: _faults.Fault) -> None:
    target = world.targets[fault.host]
    target.is_over = await target.end_lifetime('drain', 0.0)


async def _change_callers(world, fault: _faults.Fault) -> None:
    kind, factor, share = fault.detail.split('|')
    rng = random.Random(f'{world.settings.seed} {fault.at_s}')
    callers = rng.sample(
        world.callers, round(float(share) * len(world.callers))
    )
    changes = {
        testing.EventKind.BURST: ('rate_factor', float(factor)),
        testing.EventKind.RETRIES: ('added_repeats', round(float(factor))),
        testing.EventKind.LEAVING_CALLERS: (
            'patience_s',
            (float(factor) or PATIENCE_MS) / 1000,
        ),
    }
    name, value = changes[testing.EventKind(kind)]
    before = [getattr(caller, name) for caller in callers]
    for caller in callers:
        setattr(caller, name, value)
    await asyncio.sleep(fault.for_s)
    for caller, old in zip(callers, before, strict=True):
        setattr(caller, name, old)


ACTIONS = {
    _Kind.STORE_SLOW: _slow_store,
    _Kind.KILL_AFTER_ACK: _kill_after_ack,
    _Kind.TARGET_SLOW: _slow_target,
    _Kind.TARGET_CRASH: _crash_target,
    _Kind.TARGET_JOINS: _start_target,
    _Kind.TARGET_MOVES: _move_target,
    _Kind.TARGET_GOES: _end_target,
    _Kind.CALLERS: _change_callers,
}

"""Loss of power of all hosts, right after something was acknowledged."""

import asyncio
from collections.abc import Iterator
import contextlib
import random

import msgspec

from soak import _faults

__all__ = ['PowerLoss', 'lose_power', 'make_closing', 'make_power_losses']

#: What is acknowledged before: a version, or the departure of a target in
#: either form.
EVENTS = ('version', 'draining', 'deregister')
#: Range of the time from the acknowledgement to the loss, and until power is
#: back.
DELAY_S = (0.0, 0.05)
OFF_S = (0.2, 1.5)
#: How long a target that has left goes on serving.
SERVING_S = 6.0


class PowerLoss(msgspec.Struct, frozen=True):
    """Loss of power of all hosts.

    Parameters
    ----------
    event : str
        What is acknowledged before.
    host : int
        Host whose target leaves.
    delay_s, off_s : float
        Time from the acknowledgement to the loss, and how long it lasts.
    """

    event: str
    host: int
    delay_s: float
    off_s: float


def make_power_losses(
    seed: int, hosts: int, count: int
) -> Iterator[PowerLoss]:
    """Draw losses of power from a generator of their own."""
    rng = random.Random(f'power {seed}')
    for number in range(count):
        yield PowerLoss(
            EVENTS[(seed + number) % len(EVENTS)],
            rng.randrange(hosts),
            rng.uniform(*DELAY_S),
            rng.uniform(*OFF_S),
        )


def make_closing(seed: int, off_s: float) -> Iterator[PowerLoss]:
    """Draw the loss of power at the end of a day."""
    rng = random.Random(f'closing {seed}')
    yield PowerLoss(EVENTS[0], 0, rng.uniform(*DELAY_S), off_s)


async def lose_power(world, loss: PowerLoss) -> None:
    """Wait for an acknowledgement, kill all daemons, and start them again."""
    target = world.targets[loss.host]
    has_left = asyncio.Event()
    target.on_departure = has_left.set
    if loss.event == 'version':
        await world.change_version()
        leaving = None
    else:
        leaving = asyncio.ensure_future(
            target.leave_with_delayed_reports(
                loss.event, SERVING_S, f'{world.settings.seed} {loss.host}'
            )
        )
        await has_left.wait()
    await asyncio.sleep(loss.delay_s)
    with contextlib.ExitStack() as stack:
        for host in range(len(world.daemons)):
            stack.enter_context(
                world.record_disturbance(_faults.FaultKind.KILL, host)
            )
        await asyncio.gather(*(daemon.kill() for daemon in world.daemons))
        await asyncio.sleep(loss.off_s)
        await asyncio.gather(*(daemon.start() for daemon in world.daemons))
        for host in range(len(world.daemons)):
            await world.wait_until_responding(host)
    if leaving is not None:
        await leaving

"""Faults around the starts, ends and settings of daemons."""

import asyncio
from collections.abc import Iterator
import random
import signal
import time

from soak import _faults

__all__ = ['ACTIONS', 'make_host_plan']

_Kind = _faults.FaultKind
MEAN_GAP_S = 0.6
#: Share of faults that are followed at once by another one on the same host.
PAIR_SHARE = 0.4
#: Range of the time from a start to the next signal, and the most restarts of
#: a series.
EARLY_S = (0.0, 1.0)
MAX_RESTARTS = 3
#: Range of the time from SIGTERM to the crash of a target.
CRASH_DELAY_S = (0.0, 2.0)
#: A process that started less than this long ago gets no SIGHUP, unless the
#: plan has signals at starts.
SETTLED_S = 1.0
#: Time between the two halves of a settings file that is rewritten in place.
WRITE_PAUSE_S = 0.02
UNPLANNED_KINDS = (_Kind.CRASH_WHILE_LEAVING, _Kind.DEAD_CONNECTIONS)
START_KINDS = (_Kind.RESTART_SERIES, _Kind.RELOAD_AT_START)


def make_host_plan(
    seed: int, hosts: int, seconds: float, has_early_signals: bool
) -> tuple[_faults.Fault, ...]:
    """Make the plan of a seed, from a generator of its own.

    Parameters
    ----------
    seed : int
        Seed; it also determines whether there are unplanned faults.
    hosts : int
        Number of hosts.
    seconds : float
        Period in which faults start.
    has_early_signals : bool
        Whether processes get signals in the first second of their start.
    """
    rng = random.Random(f'host faults {seed}')
    kinds = (_Kind.RELOAD, _Kind.TERMINATE)
    if has_early_signals:
        kinds += START_KINDS
    if _faults.has_unplanned_faults(seed):
        kinds += UNPLANNED_KINDS
    return tuple(_draw_faults(rng, kinds, hosts, seconds))


def _draw_faults(rng, kinds, hosts, seconds) -> Iterator[_faults.Fault]:
    at_s = rng.expovariate(1 / MEAN_GAP_S)
    while at_s < seconds:
        host = rng.randrange(hosts)
        for _ in range(1 + (rng.random() < PAIR_SHARE)):
            kind = rng.choice(kinds)
            yield _faults.Fault(at_s, kind, host, 0.0, _draw_delays(rng, kind))
        at_s += rng.expovariate(1 / MEAN_GAP_S)


def _draw_delays(rng: random.Random, kind: _faults.FaultKind) -> str:
    bounds, count = EARLY_S, 1
    if kind is _Kind.CRASH_WHILE_LEAVING:
        bounds = CRASH_DELAY_S
    elif kind is _Kind.RESTART_SERIES:
        count = rng.randint(1, MAX_RESTARTS)
    elif kind is not _Kind.RELOAD_AT_START:
        return ''
    return '|'.join(f'{rng.uniform(*bounds):.3f}' for _ in range(count))


def _decode_delays(fault: _faults.Fault) -> list[float]:
    return [float(delay) for delay in fault.detail.split('|')]


async def _reload(world, fault: _faults.Fault) -> None:
    """Rewrite the settings file in place, beside whatever else happens."""
    daemon = world.daemons[fault.host]
    age_s = time.monotonic() - daemon.started_s
    if daemon.is_running and (
        age_s >= SETTLED_S or world.settings.has_early_signals
    ):
        await _rewrite_settings(daemon)


async def _rewrite_settings(daemon) -> None:
    """Rewrite the settings, with SIGHUP between the halves and after."""
    daemon.has_other_link_rate = not daemon.has_other_link_rate
    data = daemon.encode_settings()
    with daemon.settings_path.open('wb', buffering=0) as output:
        output.write(data[: len(data) // 2])
        daemon.signal(signal.SIGHUP)
        await asyncio.sleep(WRITE_PAUSE_S)
        output.write(data[len(data) // 2 :])
    daemon.signal(signal.SIGHUP)


async def _reload_at_start(world, fault: _faults.Fault) -> None:
    daemon = world.daemons[fault.host]
    await world.terminate_host(fault.host)
    await daemon.start()
    await asyncio.sleep(_decode_delays(fault)[0])
    with world.record_disturbance(_Kind.RELOAD, fault.host):
        await _rewrite_settings(daemon)
    await world.wait_until_responding(fault.host)


async def _restart_repeatedly(world, fault: _faults.Fault) -> None:
    """Send SIGTERM again before the daemon is ready."""
    daemon = world.daemons[fault.host]
    await world.terminate_host(fault.host)
    for delay_s in _decode_delays(fault):
        await daemon.start()
        await asyncio.sleep(delay_s)
        await world.terminate_host(fault.host)
    await daemon.start()
    await world.wait_until_responding(fault.host)


async def _crash_while_leaving(world, fault: _faults.Fault) -> None:
    """Let a target crash while its daemon leaves."""
    leaving = asyncio.ensure_future(world.terminate_host(fault.host))
    await asyncio.sleep(_decode_delays(fault)[0])
    world.targets[fault.host].crash()
    await leaving
    await world.daemons[fault.host].start()
    await world.wait_until_responding(fault.host)


async def _silence_connections(world, fault: _faults.Fault) -> None:
    """Silence the open connections of a host to peers and to the store."""
    daemon = world.daemons[fault.host]
    daemon.peer_link.silence_open()
    daemon.store_link.silence_open()


ACTIONS = {
    _Kind.RELOAD: _reload,
    _Kind.RELOAD_AT_START: _reload_at_start,
    _Kind.RESTART_SERIES: _restart_repeatedly,
    _Kind.CRASH_WHILE_LEAVING: _crash_while_leaving,
    _Kind.DEAD_CONNECTIONS: _silence_connections,
}

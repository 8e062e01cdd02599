"""Everything that runs in one soak, and the faults that it is given."""

import asyncio
import contextlib
import functools
import json
import pathlib
import random
import signal
import time

import msgspec

from sedgering import testing
from sedgering import transport
from soak import _callers
from soak import _daemons
from soak import _fatal
from soak import _faults
from soak import _keys
from soak import _links
from soak import _long
from soak import _probes
from soak import _targets

__all__ = ['Disturbance', 'World', 'WorldSettings']

DATA_CENTRES = ('north', 'south')
START_S = 30.0
LOOK_S = 0.1
#: Time after the last fault in which the mesh must recover: a daemon that
#: died starts in a second, suspects rest for 4 s at most.
SETTLE_S = 7.0
CLOSING_S = 2.0
RESTART_S = 0.2


class WorldSettings(msgspec.Struct, frozen=True):
    """How large a soak is.

    Parameters
    ----------
    seed : int
        Of the plan and of all choices.
    hosts : int
        Daemons, each with a target.
    seconds : float
        Faults begin within this time.
    callers : int
        Of each host.
    relay_from_hosts : int
        Hosts from which on relays serve.
    long_callers : int
        Of each host; without them no link is narrow, no host is suspended,
        and no request ends targets.
    has_keys : bool
        Whether callers need keys; some send forged ones.
    """

    seed: int
    hosts: int = 5
    seconds: float = 12.0
    callers: int = 2
    relay_from_hosts: int = 4
    long_callers: int = 2
    has_keys: bool = False


class Disturbance(msgspec.Struct):
    """A fault while it lasts.

    Parameters
    ----------
    fault : Fault
        What is done.
    start_s, end_s : float
        Times of the monotonic clock.
    """

    fault: _faults.Fault
    start_s: float
    end_s: float = float('inf')


class World:
    """Daemons, targets, callers and the store of one soak.

    Parameters
    ----------
    folder : Path
        Settings and logs.
    world_settings : WorldSettings
        Its size.
    """

    def __init__(self, folder: pathlib.Path, world_settings: WorldSettings):
        self.settings = world_settings
        self.ledger = _targets.Ledger()
        self.disturbances: list[Disturbance] = []
        #: How daemons broke the promise to end in time.
        self.bad_ends: list[str] = []
        self.version = 1
        self.closing_s = 0.0
        self.store = _daemons.StoreProcess(
            folder, _daemons.make_address(world_settings.hosts + 1)
        )
        self.daemons = [
            _daemons.Daemon(
                folder,
                number,
                'calendar',
                DATA_CENTRES[number % len(DATA_CENTRES)],
                self.store.address,
                {'relay_from_hosts': world_settings.relay_from_hosts},
            )
            for number in range(world_settings.hosts)
        ]
        self.targets = [
            _targets.Target(daemon, self.ledger) for daemon in self.daemons
        ]
        for number, target in enumerate(self.targets):
            target.note_end = functools.partial(self._note_end, number)
        self.fatal = _fatal.FatalCaller(world_settings.seed)
        self.probes = [_probes.Probe(daemon) for daemon in self.daemons]
        rng = random.Random(world_settings.seed)
        self.callers = [
            _callers.Caller(
                f'{daemon.name}-{number}', daemon, rng.randrange(1 << 30)
            )
            for daemon in self.daemons
            for number in range(world_settings.callers)
        ]
        # Drawn by itself, so that the other choices stay those of the seed.
        rng = random.Random(f'long {world_settings.seed}')
        if world_settings.long_callers:
            for daemon in self.daemons:
                daemon.link_mbps = rng.choice(_long.LINKS_MBPS)
        self.long_callers = [
            _long.LongCaller(
                f'{daemon.name}-long-{number}', daemon, rng.randrange(1 << 30)
            )
            for daemon in self.daemons
            for number in range(world_settings.long_callers)
        ]
        if world_settings.has_keys:
            for caller in (*self.callers, *self.long_callers):
                seed = f'{world_settings.seed} {caller.name}'
                caller.keys = _keys.KeyRing(seed)
        self._busy: set[tuple] = set()

    def list_records(self) -> list[_callers.CallRecord]:
        """List how the requests of all callers ended."""
        callers = (*self.callers, *self.long_callers)
        return [record for caller in callers for record in caller.records]

    async def run(self) -> None:
        """Run the plan of the seed, and let the mesh recover."""
        await self._start()
        size = self.settings
        plan = _faults.make_plan(
            size.seed, size.hosts, size.seconds, size.long_callers > 0
        )
        started_s = time.monotonic()
        tasks = []
        for fault in plan:
            pause_s = started_s + fault.at_s - time.monotonic()
            await asyncio.sleep(max(0.0, pause_s))
            tasks.append(asyncio.ensure_future(self._carry_out(fault)))
        await asyncio.gather(*tasks)
        # What they have under way lasts no longer than the rest.
        for caller in self.long_callers:
            caller.is_stopping = True
        await asyncio.sleep(SETTLE_S)
        self.closing_s = time.monotonic()
        await asyncio.sleep(CLOSING_S)
        for caller in self.callers:
            caller.is_stopping = True
        for caller in (*self.callers, *self.long_callers):
            await asyncio.to_thread(caller.join)
        await asyncio.gather(
            *(probe.look(self.version) for probe in self.probes)
        )

    async def stop(self) -> None:
        """End everything that was started."""
        for caller in (*self.callers, *self.long_callers):
            caller.is_stopping = True
        for probe in self.probes:
            probe.stop()
        for target in self.targets:
            if target.books is not None:
                target.stop()
        for daemon in self.daemons:
            daemon.peer_link.close()
            daemon.store_link.close()
        await asyncio.gather(
            *(daemon.kill() for daemon in self.daemons), self.store.kill()
        )

    async def _start(self) -> None:
        await self.store.start()
        await _wait_for(self._write_version, 'the store to listen')
        for daemon in self.daemons:
            await daemon.start_links()
            await daemon.start()
        for target in self.targets:
            await target.start()
        await _wait_for(self._are_all_ready, 'all daemons to be ready')
        for worker in (*self.callers, *self.long_callers, *self.probes):
            worker.start()

    async def _are_all_ready(self) -> bool:
        answers = await asyncio.gather(
            *(probe.is_ready() for probe in self.probes)
        )
        return all(answers)

    async def _carry_out(self, fault: _faults.Fault) -> None:
        """Carry out a fault, unless one like it lasts there."""
        key = (fault.kind, fault.host)
        if fault.kind in _PROCESS_KINDS:
            key = ('process', fault.host)
        elif fault.kind is _faults.FaultKind.STORE:
            key = ('store',)
        if key in self._busy:
            return
        self._busy.add(key)
        disturbance = Disturbance(fault, time.monotonic())
        self.disturbances.append(disturbance)
        try:
            await _ACTIONS[fault.kind](self, fault)
        finally:
            disturbance.end_s = time.monotonic()
            self._busy.discard(key)

    async def _kill(self, fault: _faults.Fault) -> None:
        daemon = self.daemons[fault.host]
        await daemon.kill()
        await asyncio.sleep(RESTART_S)
        await self._start_again(fault.host)

    async def _terminate(self, fault: _faults.Fault) -> None:
        await self.end_daemon(self.daemons[fault.host], _daemons.GRACE_S)
        await self._start_again(fault.host)

    async def end_daemon(
        self, daemon: _daemons.Daemon, grace_s: float
    ) -> None:
        """Tell a daemon to leave; it is to end by itself within its grace."""
        told_s = time.monotonic()
        daemon.signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                await daemon.process.wait()
        took_s = time.monotonic() - told_s
        await daemon.kill()
        # The soak may learn late that it has ended; what was killed had not.
        if status := daemon.process.returncode:
            what = 'outstayed its grace time,' if status < 0 else 'left'
            self.bad_ends.append(
                f'{daemon.name} {what} with {status} after {took_s:.2f} s'
            )

    async def _start_again(self, host: int) -> None:
        await self.daemons[host].start()
        await _wait_for(self.probes[host].answers, 'a daemon to start')

    async def _pause(self, fault: _faults.Fault) -> None:
        daemon = self.daemons[fault.host]
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        daemon.signal(signal.SIGCONT)

    async def _suspend(self, fault: _faults.Fault) -> None:
        await self.daemons[fault.host].suspend(fault.for_s)

    async def _ask_fatal(self, fault: _faults.Fault) -> None:
        await self.fatal.ask(self.daemons, fault.for_s)

    def _note_end(self, host: int) -> None:
        """Note that a target has ended under a request."""
        for_s = _targets.BACK_AFTER_S
        fault = _faults.Fault(0.0, _Kind.TARGET_ENDS, host, for_s)
        now_s = time.monotonic()
        self.disturbances.append(Disturbance(fault, now_s, now_s + for_s))

    async def _break_peer_link(self, fault: _faults.Fault) -> None:
        await _break_link(self.daemons[fault.host].peer_link, fault)

    async def _throttle(self, fault: _faults.Fault) -> None:
        link = self.daemons[fault.host].peer_link
        link.bytes_per_s = float(fault.detail)
        await asyncio.sleep(fault.for_s)
        link.bytes_per_s = 0.0

    async def _break_store_link(self, fault: _faults.Fault) -> None:
        await _break_link(self.daemons[fault.host].store_link, fault)

    async def _break_store(self, fault: _faults.Fault) -> None:
        await self._control_store({'mode': fault.detail})
        await asyncio.sleep(fault.for_s)
        await self._control_store({})

    async def _change_version(self, _fault: _faults.Fault) -> None:
        self.version += 1
        await _wait_for(self._write_version, 'a version to be written')

    async def _replace_target(self, fault: _faults.Fault) -> None:
        await self.targets[fault.host].replace()

    async def _change_habit(self, fault: _faults.Fault) -> None:
        target = self.targets[fault.host]
        target.books.habit = testing.TargetHabit(fault.detail)
        await asyncio.sleep(fault.for_s)
        target.books.habit = testing.TargetHabit.SOUND

    async def _write_version(self) -> bool:
        """Write the newest version; say whether the store answered."""
        is_long = self.settings.long_callers > 0
        document = _make_document(
            self.version, is_long, self.settings.has_keys
        )
        path, body = testing.encode_write('op', 'config', document)
        answer = await self._call_store(path, body)
        return answer is not None and answer.status == 200

    async def _control_store(self, faults: dict) -> None:
        await self._call_store('/standin/faults', json.dumps(faults).encode())

    async def _call_store(
        self, path: str, body: bytes
    ) -> transport.Response | None:
        return await _probes.ask(
            self.store.address, _daemons.STORE_PORT, path, body
        )


def _make_document(version: int, is_long: bool, has_keys: bool) -> bytes:
    """Make a version: its routes, and one for each version so far."""
    common = {'host': _callers.HOST_HEADER, 'timeout': '1200ms'}
    once = {**common, 'prefix': _callers.ONCE_PATH, 'kind': 'non_idempotent'}
    routes = [{**common, 'prefix': _callers.REPEATABLE_PATH}, once]
    if is_long:
        later = (*_long.ROUTES, {**_fatal.ROUTE, **_PUBLIC})
        routes += [{**common, **fields} for fields in later]
    routes += [
        {**common, **_PUBLIC, 'prefix': _probes.make_path(number)}
        for number in range(1, version + 1)
    ]
    workspaces = _keys.WORKSPACES if has_keys else None
    return testing.make_document(version, routes, workspaces)


async def _break_link(link: _links.Link, fault: _faults.Fault) -> None:
    link.set_mode(_links.LinkMode(fault.detail))
    await asyncio.sleep(fault.for_s)
    link.set_mode(_links.LinkMode.OPEN)


async def _wait_for(condition, what: str) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        Names what did not come about.
    """
    end_s = time.monotonic() + START_S
    while not await condition():
        if time.monotonic() > end_s:
            raise TimeoutError(what)
        await asyncio.sleep(LOOK_S)


#: Fields of routes that need no key.
_PUBLIC = {'public': True}
_Kind = _faults.FaultKind
#: Faults of which a daemon bears one at a time.
_PROCESS_KINDS = frozenset(
    (_Kind.KILL, _Kind.TERMINATE, _Kind.PAUSE, _Kind.SUSPEND)
)
_ACTIONS = {
    _Kind.KILL: World._kill,
    _Kind.TERMINATE: World._terminate,
    _Kind.PAUSE: World._pause,
    _Kind.PEER_LINK: World._break_peer_link,
    _Kind.STORE_LINK: World._break_store_link,
    _Kind.STORE: World._break_store,
    _Kind.VERSION: World._change_version,
    _Kind.TARGET_LEAVES: World._replace_target,
    _Kind.TARGET_HABIT: World._change_habit,
    _Kind.THROTTLE: World._throttle,
    _Kind.SUSPEND: World._suspend,
    _Kind.FATAL_REQUEST: World._ask_fatal,
}

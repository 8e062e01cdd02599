"""Processes, targets and callers of one soak, and fault injection."""

import asyncio
import contextlib
import functools
import json
import pathlib
import random
import signal
import time

import msgspec

from sedgering import platform
from sedgering import testing
from sedgering import transport
from soak import _callers
from soak import _crash_requests
from soak import _daemons
from soak import _day_faults
from soak import _documents
from soak import _faults
from soak import _host_faults
from soak import _keys
from soak import _limits
from soak import _links
from soak import _long_requests
from soak import _odd_callers
from soak import _power_loss
from soak import _probes
from soak import _rollouts
from soak import _settings
from soak import _site_callers
from soak import _strains
from soak import _targets

__all__ = ['Disturbance', 'World']

DATA_CENTRES = ('north', 'south')
WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
BUSY_INTERVAL_S = 0.005
#: Time after the last fault in which the mesh must recover: a killed daemon
#: starts within a second, and a suspect is avoided for at most 4 s.
RECOVERY_S = 7.0
FINAL_LOAD_S = 2.0
RESTART_DELAY_S = 0.2


class Disturbance(msgspec.Struct):
    """Period in which a fault is active.

    Parameters
    ----------
    fault : Fault
        The active fault.
    start_s, end_s : float
        Start and end on the monotonic clock; infinite until it ends.
    """

    fault: _faults.Fault
    start_s: float
    end_s: float = float('inf')


class World:
    """Daemons, targets, callers and the stand-in store of one soak.

    Parameters
    ----------
    folder : Path
        Folder of settings and logs.
    world_settings : WorldSettings
        Size and options.
    """

    def __init__(
        self, folder: pathlib.Path, world_settings: _settings.WorldSettings
    ):
        self.settings = world_settings
        self.ledger = _targets.Ledger()
        self.disturbances: list[Disturbance] = []
        #: Descriptions of daemons that did not exit in time or failed.
        self.bad_exits: list[str] = []
        self.version = 1
        self.final_load_start_s = 0.0
        self.rollout: _rollouts.Rollout | None = None
        hosts = world_settings.hosts
        if world_settings.has_rollouts:
            self.rollout = _rollouts.Rollout(
                _rollouts.make_rollout_plan(world_settings.seed, hosts)
            )
            hosts += _rollouts.NEW_HOSTS
        self.store = _daemons.StoreProcess(
            folder, _daemons.make_address(hosts + 1)
        )
        self.daemons = [
            _daemons.Daemon(
                folder,
                number,
                _documents.choose_set(number, world_settings),
                _choose_data_centre(number, world_settings),
                self.store.address,
                {'relay_from_hosts': world_settings.relay_from_hosts},
            )
            for number in range(hosts)
        ]
        self.targets = [
            _targets.Target(daemon, self.ledger) for daemon in self.daemons
        ]
        #: How often each part of the configuration of a site has changed.
        self.changes: dict[str, int] = {}
        self._day_faults: tuple[_faults.Fault, ...] = ()
        if world_settings.site is not None:
            self._day_faults = _day_faults.make_day_faults(world_settings)
            hosts = world_settings.site.hosts
            for target, host in zip(self.targets, hosts, strict=True):
                target.slots = host.slots
                target.daemon.limits = testing.make_process_limits(host)
            self._day_faults = tuple(
                sorted(
                    (
                        *self._day_faults,
                        *_strains.make_strain_plan(world_settings),
                    ),
                    key=lambda fault: fault.at_s,
                )
            )
        self.watches = [_limits.LimitWatch(item) for item in self.daemons]
        self._watching: list[asyncio.Task] = []
        self.far_links = _daemons.FarLinkProcess(folder, [])
        for number, target in enumerate(self.targets):
            target.on_crash = functools.partial(self._record_crash, number)
        #: Targets of the version that is ordered.
        self.new_targets = self.targets[world_settings.hosts :]
        for target in self.new_targets:
            target.version = _rollouts.NEW_VERSION
            if not self.rollout.plan.is_good:
                target.habit = testing.TargetHabit.FAILING
        for daemon in self.daemons:
            daemon.has_rollouts = world_settings.has_rollouts
            daemon.has_slow_log = world_settings.has_slow_logs
            # The launcher of suspendable programs takes signals later.
            daemon.is_suspendable = (
                not world_settings.has_early_signals
                or _faults.has_unplanned_faults(world_settings.seed)
            )
        self.crash_caller = _crash_requests.CrashRequestCaller(
            world_settings.seed
        )
        self.probes = [_probes.Probe(daemon) for daemon in self.daemons]
        rng = random.Random(world_settings.seed)
        self.callers = [
            _callers.Caller(
                f'{daemon.name}-{number}', daemon, rng.randrange(1 << 30)
            )
            for daemon in self.daemons
            for number in range(world_settings.callers)
        ]
        # A separate generator leaves the other choices of the seed unchanged.
        rng = random.Random(f'long {world_settings.seed}')
        if world_settings.long_callers:
            for daemon in self.daemons:
                daemon.link_mbps = rng.choice(_long_requests.LINK_RATES_MBPS)
        self.long_callers = [
            _long_requests.LongCaller(
                f'{daemon.name}-long-{number}', daemon, rng.randrange(1 << 30)
            )
            for daemon in self.daemons
            for number in range(world_settings.long_callers)
        ]
        self.odd_callers = []
        if world_settings.has_host_faults:
            self.odd_callers = _odd_callers.make_odd_callers(
                world_settings.seed, self.daemons
            )
        if world_settings.has_keys:
            for caller in self._list_callers():
                seed = f'{world_settings.seed} {caller.name}'
                caller.keys = _keys.KeyChooser(seed)
        self._active_keys: set[tuple] = set()
        if world_settings.site is not None:
            self.callers = _site_callers.make_site_callers(
                world_settings, self.daemons
            )
            links = _strains.move_far(world_settings, self.callers)
            self.far_links = _daemons.FarLinkProcess(folder, links)
            self.callers += _strains.make_large_readers(
                world_settings, self.daemons
            )

    def list_records(self) -> list[_callers.CallRecord]:
        """List the requests of all callers that have ended."""
        return [
            record
            for caller in self._list_callers()
            for record in caller.records
        ]

    def _list_callers(self) -> list[_callers.Caller]:
        return [*self.callers, *self.long_callers, *self.odd_callers]

    async def run(self) -> None:
        """Run the plan of the seed and wait for the mesh to recover."""
        await self._start()
        settings = self.settings
        plan = self._day_faults
        if settings.site is None:
            plan = _faults.make_plan(
                settings.seed,
                settings.hosts,
                settings.seconds,
                settings.long_callers > 0,
            )
        tasks = []
        if self.rollout is not None:
            tasks += [
                asyncio.ensure_future(self._roll_out(self.rollout)),
                asyncio.ensure_future(
                    self._inject_all(self.rollout.plan.restarts)
                ),
            ]
        if settings.has_host_faults:
            host_plan = _host_faults.make_host_plan(
                settings.seed,
                settings.hosts,
                settings.seconds,
                settings.has_early_signals,
            )
            tasks.append(asyncio.ensure_future(self._inject_all(host_plan)))
        if settings.site is not None:
            tasks.append(
                asyncio.ensure_future(asyncio.sleep(settings.site.length_s))
            )
        await asyncio.gather(self._inject_all(plan), *tasks)
        losses = _power_loss.make_power_losses(
            settings.seed, settings.hosts, settings.power_losses
        )
        if settings.day is not None and settings.day.closing is not None:
            losses = _power_loss.make_closing(
                settings.seed, settings.day.closing.down_s
            )
        for loss in losses:
            await _power_loss.lose_power(self, loss)
        # Their requests under way end before the final load does.
        for caller in self.long_callers:
            caller.is_stopping = True
        await asyncio.sleep(RECOVERY_S)
        self.final_load_start_s = time.monotonic()
        await asyncio.sleep(FINAL_LOAD_S)
        for caller in (*self.callers, *self.odd_callers):
            caller.is_stopping = True
        for caller in self._list_callers():
            await asyncio.to_thread(caller.join)
        await asyncio.gather(
            *(probe.probe_version(self.version) for probe in self.probes)
        )

    async def stop(self) -> None:
        """Stop everything that was started."""
        for caller in self._list_callers():
            caller.is_stopping = True
        for probe in self.probes:
            probe.stop()
        for target in self.targets:
            if target.books is not None:
                target.stop()
        for watching in self._watching:
            watching.cancel()
        for daemon in self.daemons:
            daemon.peer_link.close()
            daemon.store_link.close()
        await asyncio.gather(
            *(daemon.kill() for daemon in self.daemons),
            self.store.kill(),
            self.far_links.kill(),
        )

    async def _start(self) -> None:
        await self.store.start()
        await _wait_for(
            self._write_version,
            'the store does not accept a version after its start',
        )
        for daemon in self.daemons:
            await daemon.start_links()
            await daemon.start()
        await self.far_links.start()
        self._watching = [
            asyncio.ensure_future(
                watch.run(functools.partial(self._restart_killed, number))
            )
            for number, watch in enumerate(self.watches)
        ]
        late = {
            self.targets[fault.host]
            for fault in self._day_faults
            if fault.kind is _Kind.TARGET_JOINS
        }
        for target in self.targets:
            if target in late:
                target.is_leaving = True
            elif target not in self.new_targets:
                await target.start()
        await _wait_for(
            self._are_all_ready, 'not all daemons are ready after their start'
        )
        for worker in (*self._list_callers(), *self.probes):
            worker.start()

    async def _are_all_ready(self) -> bool:
        answers = await asyncio.gather(
            *(probe.is_ready() for probe in self.probes)
        )
        return all(answers)

    async def _inject_all(self, plan: tuple[_faults.Fault, ...]) -> None:
        """Inject the faults of a plan at their times, and await them."""
        started_s = time.monotonic()
        tasks = []
        for fault in plan:
            delay_s = started_s + fault.at_s - time.monotonic()
            await asyncio.sleep(max(0.0, delay_s))
            tasks.append(asyncio.ensure_future(self.inject(fault)))
        await asyncio.gather(*tasks)

    async def _roll_out(self, rollout: _rollouts.Rollout) -> None:
        """Order the new version, and do what the operator does at the end."""
        plan = rollout.plan
        await asyncio.sleep(plan.join_s)
        for target in self.new_targets:
            await target.start()
        await asyncio.sleep(plan.order_s - plan.join_s)
        path, body = testing.encode_write(
            'op', 'rollout/calendar', _rollouts.encode_order()
        )
        rollout.sent_s = time.monotonic()
        await _wait_for(
            functools.partial(self._write_row, path, body),
            'the store does not accept an order',
        )
        rollout.ordered_s = time.monotonic()
        end_s = rollout.ordered_s + _rollouts.DURATION_S
        while time.monotonic() < end_s:
            rollout.state = await self._read_rollout() or rollout.state
            if rollout.state == 'succeeded':
                for target in self.targets:
                    if target not in self.new_targets:
                        target.end()
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _read_rollout(self) -> str:
        """Return the state of the rollout; empty if it cannot be read."""
        path = testing.encode_read('status', 'rollout/calendar')
        answer = await self._call_store(path)
        if answer is None or answer.status != 200:
            return ''
        rows = platform.decode_rows(answer.body)
        return _rollouts.read_state(rows[0].value) if rows else ''

    async def inject(self, fault: _faults.Fault) -> None:
        """Inject a fault, unless a conflicting fault is active.

        Steps of days wait for the end of such a fault.
        """
        key = (fault.kind, fault.host)
        if fault.kind in _PROCESS_KINDS:
            key = ('process', fault.host)
        elif fault.kind is _faults.FaultKind.STORE:
            key = ('store',)
        while key in self._active_keys:
            if self.settings.site is None:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self._active_keys.add(key)
        disturbance = Disturbance(fault, time.monotonic())
        self.disturbances.append(disturbance)
        try:
            await _ACTIONS[fault.kind](self, fault)
        finally:
            disturbance.end_s = time.monotonic()
            self._active_keys.discard(key)

    async def _kill(self, fault: _faults.Fault) -> None:
        daemon = self.daemons[fault.host]
        await daemon.kill()
        await asyncio.sleep(float(fault.detail or RESTART_DELAY_S))
        await self._restart_daemon(fault.host)

    async def _terminate(self, fault: _faults.Fault) -> None:
        if fault.detail == 'busy':
            await self._wait_until_busy(self.daemons[fault.host])
        await self.terminate_daemon(self.daemons[fault.host], _daemons.GRACE_S)
        await self._restart_daemon(fault.host)

    async def _wait_until_busy(self, daemon: _daemons.Daemon) -> None:
        """Wait until a daemon has a request that it has not answered."""

        async def is_busy() -> bool:
            return any(
                caller.is_waiting
                for caller in self._list_callers()
                if caller.host_daemon is daemon
            )

        await _wait_for(is_busy, 'no caller asks a daemon', BUSY_INTERVAL_S)

    @contextlib.contextmanager
    def record_disturbance(self, kind: _faults.FaultKind, host: int):
        """Record that part of a fault is active."""
        fault = _faults.Fault(0.0, kind, host, 0.0)
        disturbance = Disturbance(fault, time.monotonic())
        self.disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.end_s = time.monotonic()

    async def terminate_host(self, host: int) -> None:
        """Terminate the daemon of a host, which stays down."""
        with self.record_disturbance(_Kind.TERMINATE, host):
            daemon = self.daemons[host]
            await self.terminate_daemon(daemon, _daemons.GRACE_S)

    async def terminate_daemon(
        self, daemon: _daemons.Daemon, grace_s: float
    ) -> None:
        """Send SIGTERM and record if the daemon does not exit properly.

        It must exit with status 0 within `grace_s`, and is killed after it.
        """
        signalled_s = time.monotonic()
        delay_s = daemon.read_run_delay_s()
        daemon.signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                await daemon.process.wait()
        took_s = time.monotonic() - signalled_s
        delay_s = daemon.read_run_delay_s() - delay_s
        await daemon.kill()
        # The soak may notice late that the daemon has exited.  Only the
        # signal in its status proves that it outlasted its grace time.
        if status := daemon.process.returncode:
            problem = (
                'was killed after its grace time with'
                if status < 0
                else 'exited with'
            )
            self.bad_exits.append(
                f'{daemon.name} {problem} status {status} after {took_s:.2f} s'
                f', of which it waited {max(0.0, delay_s):.2f} s to be run'
            )

    async def _restart_killed(self, host: int) -> None:
        """Start a daemon that was killed at its limit."""
        key = ('process', host)
        if key in self._active_keys:
            # The fault that is active starts it again.
            return
        self._active_keys.add(key)
        try:
            await self._restart_daemon(host)
        finally:
            self._active_keys.discard(key)

    async def _restart_daemon(self, host: int) -> None:
        await self.daemons[host].start()
        await self.wait_until_responding(host)

    async def wait_until_responding(self, host: int) -> None:
        """Wait until a daemon answers; start it again if it has ended."""

        async def is_responding() -> bool:
            if not self.daemons[host].is_running:
                await self.daemons[host].start()
            return await self.probes[host].is_responding()

        await _wait_for(is_responding, 'a restarted daemon does not answer')

    async def _pause(self, fault: _faults.Fault) -> None:
        daemon = self.daemons[fault.host]
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        daemon.signal(signal.SIGCONT)

    async def _suspend(self, fault: _faults.Fault) -> None:
        await self.daemons[fault.host].suspend(fault.for_s)

    async def _send_crash_requests(self, fault: _faults.Fault) -> None:
        await self.crash_caller.send_repeatedly(self.daemons, fault.for_s)

    def _record_crash(self, host: int) -> None:
        """Record that a target has crashed on a request."""
        for_s = _targets.RESTART_AFTER_CRASH_S
        fault = _faults.Fault(0.0, _Kind.TARGET_ENDS, host, for_s)
        now_s = time.monotonic()
        self.disturbances.append(Disturbance(fault, now_s, now_s + for_s))

    async def _break_peer_link(self, fault: _faults.Fault) -> None:
        await _break_link(self.daemons[fault.host].peer_link, fault)

    async def _throttle(self, fault: _faults.Fault) -> None:
        link = self.daemons[fault.host].peer_link
        link.set_rate(float(fault.detail))
        await asyncio.sleep(fault.for_s)
        link.set_rate(0.0)

    async def _break_store_link(self, fault: _faults.Fault) -> None:
        await _break_link(self.daemons[fault.host].store_link, fault)

    async def _break_store(self, fault: _faults.Fault) -> None:
        await self.control_store({'mode': fault.detail})
        await asyncio.sleep(fault.for_s)
        await self.control_store({})

    async def _change_version(self, fault: _faults.Fault) -> None:
        self.changes[fault.detail] = self.changes.get(fault.detail, 0) + 1
        await self.change_version()

    async def change_version(self) -> None:
        """Write the next version until the store has acknowledged it."""
        self.version += 1
        await _wait_for(
            self._write_version, 'the store does not accept a new version'
        )

    async def _replace_target(self, fault: _faults.Fault) -> None:
        await self.targets[fault.host].replace()

    async def _change_target_habit(self, fault: _faults.Fault) -> None:
        target = self.targets[fault.host]
        habit, _, share = fault.detail.partition('|')
        target.books.habit_share = float(share or 1)
        target.books.habit = testing.TargetHabit(habit)
        await asyncio.sleep(fault.for_s)
        target.books.habit = testing.TargetHabit.SOUND
        target.books.habit_share = 1.0

    async def _limit_target(self, fault: _faults.Fault) -> None:
        fields = fault.detail.split('|')
        await self.targets[fault.host].limit_rate(fields, fault.for_s)

    async def _leave_unreported(self, fault: _faults.Fault) -> None:
        await self.targets[fault.host].leave_unreported(fault.for_s)

    async def _leave_and_restart(self, fault: _faults.Fault) -> None:
        """Let a target leave, and end the daemon beside it after that."""
        form, *ends = fault.detail.split('|')
        target = self.targets[fault.host]
        has_left = asyncio.Event()
        target.on_departure = has_left.set
        leaving = asyncio.ensure_future(
            target.leave_with_delayed_reports(
                form, fault.for_s, f'{self.settings.seed} {fault.at_s}'
            )
        )
        left = asyncio.ensure_future(has_left.wait())
        await asyncio.wait(
            (leaving, left), return_when=asyncio.FIRST_COMPLETED
        )
        left.cancel()
        for end in ends if has_left.is_set() else ():
            await self.inject(
                _faults.Fault(fault.at_s, _Kind(end), fault.host, 0.0)
            )
        await leaving

    async def _write_version(self) -> bool:
        """Write the newest version; return whether the store accepted it."""
        document = _documents.make_document(
            self.version, self.settings, self.changes
        )
        path, body = testing.encode_write('op', 'config', document)
        return await self._write_row(path, body)

    async def _write_row(self, path: str, body: bytes) -> bool:
        """Write a row; return whether the store accepted it."""
        answer = await self._call_store(path, body)
        return answer is not None and answer.status == 200

    async def control_store(self, faults: dict) -> None:
        """Set the faults of the store."""
        await self._call_store('/standin/faults', json.dumps(faults).encode())

    async def _call_store(
        self, path: str, body: bytes | None = None
    ) -> transport.Response | None:
        return await _probes.ask(
            self.store.address, _daemons.STORE_PORT, path, body
        )


def _choose_data_centre(number: int, settings) -> str:
    if settings.site is not None:
        return settings.site.hosts[number].data_centre
    return DATA_CENTRES[number % len(DATA_CENTRES)]


async def _break_link(link: _links.Link, fault: _faults.Fault) -> None:
    link.set_mode(_links.LinkMode(fault.detail))
    await asyncio.sleep(fault.for_s)
    link.set_mode(_links.LinkMode.OPEN)


async def _wait_for(
    condition, problem: str, interval_s: float = POLL_INTERVAL_S
) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        If the condition does not hold in time; the text is `problem`.
    """
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while not await condition():
        if time.monotonic() > end_s:
            raise TimeoutError(problem)
        await asyncio.sleep(interval_s)


_Kind = _faults.FaultKind
#: Faults of a daemon process, of which only one may be active at a time.
_PROCESS_KINDS = frozenset(
    (
        _Kind.KILL,
        _Kind.TERMINATE,
        _Kind.PAUSE,
        _Kind.SUSPEND,
        _Kind.RELOAD_AT_START,
        _Kind.RESTART_SERIES,
        _Kind.CRASH_WHILE_LEAVING,
    )
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
    _Kind.TARGET_HABIT: World._change_target_habit,
    _Kind.THROTTLE: World._throttle,
    _Kind.TARGET_LIMIT: World._limit_target,
    _Kind.UNREPORTED_LEAVE: World._leave_unreported,
    _Kind.LEAVE_AND_RESTART: World._leave_and_restart,
    _Kind.SUSPEND: World._suspend,
    _Kind.FATAL_REQUEST: World._send_crash_requests,
    **_host_faults.ACTIONS,
    **_day_faults.ACTIONS,
    **_strains.ACTIONS,
}

"""Replays a trace on the real systems and checks expected outcomes."""

import functools
import pathlib

from sedgering import bundle as bundles
from sedgering import exceptions
from sedgering import release
from sedgering.testing import _engine
from sedgering.testing import _exchange
from sedgering.testing import _trace
from sedgering import traffic

__all__ = ['OutcomeDiffers', 'Replay', 'replay_trace']

MESH = 'mesh'
START_TIMEOUT_S = 30.0
SETTLE_S = 3.0
SEEDS = 4


class OutcomeDiffers(Exception):
    """The outcome of a step differs from the expected one."""


class Replay:
    """One replay of a trace.

    After each step no host may have returned to an older version, and no
    host may serve a version older than one that it served before a restart.
    """

    def __init__(self):
        self.calls = 0
        self.engine = _engine.PlatformEngine(now_s=self._advance_clock)
        self.store = _engine.InMemoryPlatform(self.engine)
        self.exchange: _exchange.Exchange | None = None
        self.signed_off_count = 0
        self.claims: dict[str, traffic.Claim] = {}
        self.served: dict[str, int] = {}

    @property
    def nodes(self) -> dict[str, _exchange.Node]:
        """Running hosts by name."""
        return {node.name: node for node in self.exchange.nodes.values()}

    @functools.singledispatchmethod
    def apply(self, step: _trace.Step) -> None:
        """Execute one step."""
        raise NotImplementedError(type(step))

    @apply.register
    def _(self, step: _trace.Start) -> None:
        seeds = [
            {'address': f'127.1.0.{number + 1}', 'port': _exchange.PORT}
            for number in range(SEEDS)
        ]
        options = {'membership': {'seeds': seeds}}
        self.exchange = _exchange.Exchange(self.store, step.seed, options)
        number = 0
        for data_centre, count in step.data_centres.items():
            for _ in range(count):
                number += 1
                self.exchange.add(data_centre, number)
        self._sign_off('anna')
        self._client().roll(1, 'anna', release.make_operation_id())
        self._wait_for(
            lambda: all(node.is_serving for node in self.nodes.values()),
            START_TIMEOUT_S,
            'all hosts to serve',
        )
        self.exchange.run(SETTLE_S)

    @apply.register
    def _(self, step: _trace.SignOff) -> None:
        self._expect_code(step.code, lambda: self._sign_off(step.operator))

    @apply.register
    def _(self, step: _trace.Roll) -> None:
        operation_id = release.make_operation_id()
        self._expect_code(
            step.code,
            lambda: self._client().roll(
                step.version, step.operator, operation_id
            ),
        )

    @apply.register
    def _(self, step: _trace.Platform) -> None:
        self.engine.faults = _engine.Faults(
            mode=(
                _engine.StoreMode.BUSY
                if step.down
                else _engine.StoreMode.SOUND
            ),
            lose_answers=step.lose_answers,
            delay_writes=step.delay_writes,
        )

    @apply.register
    def _(self, step: _trace.DeliverDelayed) -> None:
        self.engine.deliver_delayed()

    @apply.register
    def _(self, step: _trace.Kill) -> None:
        for host in step.hosts:
            self.exchange.kill(self.nodes[host])

    @apply.register
    def _(self, step: _trace.Restart) -> None:
        for host in step.hosts:
            node = self.nodes[host]
            self.exchange.kill(node)
            number = int(host.rpartition('-')[2])
            self.exchange.add(node.tables.settings.data_centre, number)

    @apply.register
    def _(self, step: _trace.Pause) -> None:
        for host in step.hosts:
            self.nodes[host].is_paused = True

    @apply.register
    def _(self, step: _trace.Resume) -> None:
        for host in step.hosts:
            self.nodes[host].is_paused = False

    @apply.register
    def _(self, step: _trace.Partition) -> None:
        self.exchange.cut = {frozenset(pair) for pair in step.pairs}
        self.exchange.cut_platform = set(step.platform)

    @apply.register
    def _(self, step: _trace.Network) -> None:
        self.exchange.loss = step.loss
        self.exchange.duplication = step.duplication
        self.exchange.delay_ticks = step.delay_ticks

    @apply.register
    def _(self, step: _trace.CorruptContents) -> None:
        self.exchange.damage_contents = step.count

    @apply.register
    def _(self, step: _trace.Claim) -> None:
        self.calls += 1
        claim = traffic.make_claim(
            'party', step.key, 'POST /', f'claim-{self.calls}', 0
        )
        (result,) = traffic.commit_claims(self.store, [claim])
        self.claims[step.key] = claim
        self._compare('code', int(result.code or 0), step.code)

    @apply.register
    def _(self, step: _trace.ReleaseClaim) -> None:
        outcome = traffic.change_claim(
            self.claims[step.key], traffic.ClaimState.NOT_RUN
        )
        traffic.commit_claims(self.store, [outcome])

    @apply.register
    def _(self, step: _trace.Wait) -> None:
        for _ in range(int(step.seconds * 1000 / _exchange.TICK_MS)):
            self.exchange.step()
            self.check()

    @apply.register
    def _(self, step: _trace.ExpectHeld) -> None:
        self._wait_for(
            lambda: all(
                node.version == step.version
                for node in self._select_nodes(step.hosts)
            ),
            step.within_s,
            f'version {step.version}',
        )

    @apply.register
    def _(self, step: _trace.ExpectNotServing) -> None:
        for node in self._select_nodes(step.hosts):
            self._compare(f'{node.name} serves', node.is_serving, False)

    @apply.register
    def _(self, step: _trace.ExpectServing) -> None:
        self._wait_for(
            lambda: all(
                node.is_serving and node.version >= step.version
                for node in self._select_nodes(step.hosts)
            ),
            step.within_s,
            f'serving version {step.version}',
        )

    @apply.register
    def _(self, step: _trace.ExpectProgress) -> None:
        def is_reached() -> bool:
            progress = release.read_progress(self.store)
            found = (progress.holding, progress.members)
            is_complete = release.check_complete(progress, progress.version)
            return is_complete and found == (step.holding, step.members)

        self._wait_for(
            is_reached, step.within_s, f'{step.holding} of {step.members}'
        )

    def check(self) -> None:
        """Check the invariants that hold at all times.

        Raises
        ------
        OutcomeDiffers
            When a host returned to an older version.
        """
        for name, node in self.nodes.items():
            if node.versions != sorted(node.versions):
                raise OutcomeDiffers(
                    f'{name} returned to an older version: {node.versions}'
                )
            if not node.is_serving:
                continue
            before = self.served.get(name, 0)
            if node.version < before:
                raise OutcomeDiffers(
                    f'{name} serves {node.version} after {before}'
                )
            self.served[name] = node.version

    def _advance_clock(self) -> int:
        # Each call is one second apart, so that no rate limit is exceeded.
        self.calls += 1
        return self.calls

    def _client(self) -> release.ReleaseClient:
        return release.ReleaseClient(
            self.store, self.store, lambda: 0, lambda attempt: None
        )

    def _sign_off(self, operator: str) -> None:
        self.signed_off_count += 1
        content = bundles.make_bundle(
            MESH,
            policies=(bundles.Policy('p', timeout_ms=self.signed_off_count),),
        )
        self._client().sign_off(content, operator, release.make_operation_id())

    def _select_nodes(self, hosts: list[str]) -> list[_exchange.Node]:
        nodes = self.nodes
        return [nodes[host] for host in hosts] or list(nodes.values())

    def _expect_code(self, code: int, action) -> None:
        found = 0
        try:
            action()
        except exceptions.SedgeringError as error:
            found = int(error.code)
        self._compare('code', found, code)

    def _compare(self, what: str, found, expected) -> None:
        if found != expected:
            raise OutcomeDiffers(f'{what}: {found}, expected {expected}')

    def _wait_for(self, condition, within_s: float, what: str) -> None:
        deadline_ms = self.exchange.now_ms + within_s * 1000
        while not condition():
            if self.exchange.now_ms > deadline_ms:
                raise OutcomeDiffers(f'not met within {within_s} s: {what}')
            self.exchange.step()
            self.check()


def replay_trace(path: pathlib.Path) -> int:
    """Replay a trace and return its number of steps.

    Raises
    ------
    OutcomeDiffers
        With the number and name of the step whose outcome differs.
    SettingsError
        When the trace cannot be read.
    """
    replay = Replay()
    steps = _trace.load_trace(path)
    for number, step in enumerate(steps, 1):
        try:
            replay.apply(step)
            replay.check()
        except OutcomeDiffers as error:
            name = type(step).__struct_config__.tag
            raise OutcomeDiffers(f'step {number}, {name}: {error}') from error
    return len(steps)

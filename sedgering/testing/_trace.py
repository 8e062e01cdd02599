"""Steps of a recorded trace: events and their expected outcomes.

A trace is a file of JSON lines with one step per line.  Time advances only
in ``wait`` and in steps that wait for their outcome.
"""

import pathlib

import msgspec

from sedgering import exceptions

__all__ = ['Step', 'load_trace']


class _Step(
    msgspec.Struct, frozen=True, tag_field='do', forbid_unknown_fields=True
):
    """Base class of all steps."""


class Start(_Step, tag='start'):
    """Start proxies that hold version 1; must be the first step.

    Parameters
    ----------
    data_centres : dict of str to int
        Number of proxies in each data centre.
    seed : int
        Seed of all random choices.
    """

    data_centres: dict[str, int]
    seed: int = 1


class SignOff(_Step, tag='sign-off'):
    """Sign off the next content; `code` is the expected error code or 0."""

    operator: str = 'anna'
    code: int = 0


class Roll(_Step, tag='roll'):
    """Roll a version; `code` is the expected error code or 0."""

    version: int
    operator: str = 'anna'
    code: int = 0


class Platform(_Step, tag='platform'):
    """Replace the injected platform faults; no fields clear them."""

    down: bool = False
    lose_answers: int = 0
    delay_writes: int = 0


class DeliverDelayed(_Step, tag='deliver-delayed'):
    """Deliver the delayed writes to the platform."""


class Kill(_Step, tag='kill'):
    """Crash hosts."""

    hosts: list[str]


class Restart(_Step, tag='restart'):
    """Crash hosts and restart them without any retained state."""

    hosts: list[str]


class Pause(_Step, tag='pause'):
    """Suspend hosts."""

    hosts: list[str]


class Resume(_Step, tag='wake'):
    """Resume suspended hosts."""

    hosts: list[str]


class Partition(_Step, tag='cut'):
    """Replace the network partitions.

    Parameters
    ----------
    pairs : list of list of str
        Pairs of data centres that cannot communicate, or lists of one host
        that is isolated; empty for none.
    platform : list of str
        Data centres and hosts that cannot reach the platform.
    """

    pairs: list[list[str]] = []
    platform: list[str] = []


class Network(_Step, tag='network'):
    """Set the loss, duplication and delay of messages."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_ticks: int = 1


class CorruptContents(_Step, tag='damage-contents'):
    """Corrupt the given number of subsequent contents."""

    count: int


class Claim(_Step, tag='claim'):
    """Claim an idempotency key; `code` is the expected error code or 0."""

    key: str
    code: int = 0


class ReleaseClaim(_Step, tag='let-go'):
    """Release the last claim of a key, as its request was not executed."""

    key: str


class Wait(_Step, tag='wait'):
    """Advance the simulated time."""

    seconds: float


class ExpectHeld(_Step, tag='expect-held'):
    """Expect hosts to hold a version in time; all hosts if none is named."""

    version: int
    within_s: float
    hosts: list[str] = []


class ExpectNotServing(_Step, tag='expect-not-serving'):
    """Expect hosts to accept no requests now."""

    hosts: list[str]


class ExpectServing(_Step, tag='expect-serving'):
    """Expect hosts to accept requests in time, at this version or later."""

    version: int
    within_s: float
    hosts: list[str] = []


class ExpectProgress(_Step, tag='expect-progress'):
    """Expect the progress rows to report these counts in time."""

    holding: int
    members: int
    within_s: float


Step = (
    Start
    | SignOff
    | Roll
    | Platform
    | DeliverDelayed
    | Kill
    | Restart
    | Pause
    | Resume
    | Partition
    | Network
    | CorruptContents
    | Claim
    | ReleaseClaim
    | Wait
    | ExpectHeld
    | ExpectNotServing
    | ExpectServing
    | ExpectProgress
)


def load_trace(path: pathlib.Path) -> tuple[Step, ...]:
    """Read a trace from a file.

    Raises
    ------
    SettingsError
        With the number of the invalid line, or when the first step is not
        `start`.
    """
    steps = []
    for number, line in enumerate(path.read_bytes().splitlines(), 1):
        if not line.strip() or line.startswith(b'#'):
            continue
        try:
            steps.append(msgspec.json.decode(line, type=Step))
        except msgspec.DecodeError as error:
            raise exceptions.SettingsError(
                exceptions.Code.SETTINGS_INVALID,
                f'{path.name}:{number}: {error}',
            ) from error
    if not steps or not isinstance(steps[0], Start):
        raise exceptions.SettingsError(
            exceptions.Code.SETTINGS_INVALID,
            f'{path.name}: the first step must be start',
        )
    return tuple(steps)

"""Steps of a recorded trace: what happened, and what must follow.

A trace is a file of JSON lines, each one step.  Time passes only by
``wait`` and by steps that wait for their outcome.
"""

import pathlib

import msgspec

from sedgering import exceptions

__all__ = ['Step', 'load_trace']


class _Step(
    msgspec.Struct, frozen=True, tag_field='do', forbid_unknown_fields=True
):
    """Any step."""


class Start(_Step, tag='start'):
    """Start proxies that hold version 1; always the first step.

    Parameters
    ----------
    data_centres : dict of str to int
        Number of proxies in each.
    seed : int
        Of all random choices.
    """

    data_centres: dict[str, int]
    seed: int = 1


class SignOff(_Step, tag='sign-off'):
    """Sign off the next content; `code` is what the operator is told."""

    operator: str = 'anna'
    code: int = 0


class Roll(_Step, tag='roll'):
    """Roll a version; `code` is what the operator is told."""

    version: int
    operator: str = 'anna'
    code: int = 0


class Platform(_Step, tag='platform'):
    """Faults of the platform from now on; none given, none left."""

    down: bool = False
    lose_answers: int = 0
    delay_writes: int = 0


class DeliverDelayed(_Step, tag='deliver-delayed'):
    """Writes that were held up arrive."""


class Kill(_Step, tag='kill'):
    """End hosts without a word."""

    hosts: list[str]


class Restart(_Step, tag='restart'):
    """End hosts, and start them with nothing remembered."""

    hosts: list[str]


class Pause(_Step, tag='pause'):
    """Stop hosts where they are."""

    hosts: list[str]


class Wake(_Step, tag='wake'):
    """Let hosts that were stopped go on."""

    hosts: list[str]


class Cut(_Step, tag='cut'):
    """Pairs of data centres, or single hosts, that cannot talk from now on.

    Parameters
    ----------
    pairs : list of list of str
        None given, none left.
    platform : list of str
        Data centres and hosts that cannot reach the platform.
    """

    pairs: list[list[str]] = []
    platform: list[str] = []


class Network(_Step, tag='network'):
    """Loss, duplication and delay of messages from now on."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_ticks: int = 1


class DamageContents(_Step, tag='damage-contents'):
    """So many contents to come arrive damaged."""

    count: int


class Claim(_Step, tag='claim'):
    """A proxy claims an idempotency key; `code` is what it learns."""

    key: str
    code: int = 0


class LetGo(_Step, tag='let-go'):
    """Whoever claimed the key last proves that nothing ran."""

    key: str


class Wait(_Step, tag='wait'):
    """Let time pass."""

    seconds: float


class ExpectHeld(_Step, tag='expect-held'):
    """Hosts hold a version within a time; all hosts if none is named."""

    version: int
    within_s: float
    hosts: list[str] = []


class ExpectNotServing(_Step, tag='expect-not-serving'):
    """Hosts take no requests now."""

    hosts: list[str]


class ExpectServing(_Step, tag='expect-serving'):
    """Hosts take requests within a time, at a version or a greater one."""

    version: int
    within_s: float
    hosts: list[str] = []


class ExpectProgress(_Step, tag='expect-progress'):
    """The progress rows say so within a time."""

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
    | Wake
    | Cut
    | Network
    | DamageContents
    | Claim
    | LetGo
    | Wait
    | ExpectHeld
    | ExpectNotServing
    | ExpectServing
    | ExpectProgress
)


def load_trace(path: pathlib.Path) -> tuple[Step, ...]:
    """Read a trace.

    Raises
    ------
    SettingsError
        With the number of the line that is wrong.
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

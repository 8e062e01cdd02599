"""Load of a target, decoded from one field of its answers."""

import msgspec

__all__ = [
    'MAX_SLOTS',
    'MAX_SLOWNESS_PERCENT',
    'TargetLoad',
    'decode_target_load',
]

#: Largest values that are accepted: targets have some dozens of slots, and
#: work that takes a hundred times as long as usual is as good as hung.
MAX_SLOTS = 10_000
MAX_CALLS = 1_000_000
MAX_SLOWNESS_PERCENT = 10_000
#: More digits than any value within the bounds has.
MAX_DIGITS = 9
NUMBER_COUNT = 3
NUMBER_COUNT_WITH_SLOWNESS = 4


class TargetLoad(msgspec.Struct, frozen=True):
    """Load that a target reports.

    Parameters
    ----------
    running, waiting : int
        Requests in progress at the target, and requests queued there.
    slots : int
        Requests that it can run at a time.
    slowness_percent : int
        Time that work takes on its host now, in percent of the usual time;
        0 if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowness_percent: int = 0


def decode_target_load(field: str) -> TargetLoad | None:
    """Decode a load field: running, waiting, slots, optionally slowness.

    Parameters
    ----------
    field : str
        Three or four decimal numbers, separated by commas.

    Returns
    -------
    TargetLoad or None
        None if the field is malformed or a value is out of bounds.
    """
    numbers = [_parse_number(part.strip()) for part in field.split(',')]
    if None in numbers:
        return None
    if len(numbers) not in (NUMBER_COUNT, NUMBER_COUNT_WITH_SLOWNESS):
        return None
    running, waiting, slots = numbers[:NUMBER_COUNT]
    if max(running, waiting) > MAX_CALLS or not 1 <= slots <= MAX_SLOTS:
        return None
    if len(numbers) == NUMBER_COUNT:
        return TargetLoad(running, waiting, slots)
    slowness_percent = numbers[NUMBER_COUNT]
    if not 1 <= slowness_percent <= MAX_SLOWNESS_PERCENT:
        return None
    return TargetLoad(running, waiting, slots, slowness_percent)


def _parse_number(text: str) -> int | None:
    """Parse a number of ASCII digits; None for anything else."""
    is_valid = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_valid else None

"""What a target tells of its load, read from one field of its answers."""

import msgspec

__all__ = [
    'MOST_SLOTS',
    'MOST_SLOWNESS_PERCENT',
    'TargetLoad',
    'decode_target_load',
]

#: Largest figures that are believed: targets have some dozens of places, and
#: work that takes a hundred times as long is as good as hung.
MOST_SLOTS = 10_000
MOST_CALLS = 1_000_000
MOST_SLOWNESS_PERCENT = 10_000
#: More digits than any figure within bounds.
MOST_DIGITS = 9
FIGURES = 3
FIGURES_WITH_SLOWNESS = 4


class TargetLoad(msgspec.Struct, frozen=True):
    """What a target tells of its load.

    Parameters
    ----------
    running, waiting : int
        Requests that it works on, and that wait there.
    slots : int
        Requests that it works on at a time.
    slowness_percent : int
        How long work takes on its host at this moment, in percent of the
        usual time; 0 when it does not tell.
    """

    running: int
    waiting: int
    slots: int
    slowness_percent: int = 0


def decode_target_load(field: str) -> TargetLoad | None:
    """Read a load field: running, waiting, slots, and slowness if told.

    Parameters
    ----------
    field : str
        Three or four figures, separated by commas.

    Returns
    -------
    TargetLoad or None
        None when it is malformed or beyond all reason.
    """
    figures = [_parse_figure(part.strip()) for part in field.split(',')]
    if None in figures:
        return None
    if len(figures) not in (FIGURES, FIGURES_WITH_SLOWNESS):
        return None
    running, waiting, slots = figures[:FIGURES]
    if max(running, waiting) > MOST_CALLS or not 1 <= slots <= MOST_SLOTS:
        return None
    if len(figures) == FIGURES:
        return TargetLoad(running, waiting, slots)
    slowness_percent = figures[FIGURES]
    if not 1 <= slowness_percent <= MOST_SLOWNESS_PERCENT:
        return None
    return TargetLoad(running, waiting, slots, slowness_percent)


def _parse_figure(text: str) -> int | None:
    """Read a figure of plain digits; None for anything else."""
    is_plain = text.isascii() and text.isdigit() and len(text) <= MOST_DIGITS
    return int(text) if is_plain else None

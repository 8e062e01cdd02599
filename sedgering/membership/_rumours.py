"""News that is passed on a bounded number of times."""

import math

__all__ = ['RumourTable']

#: Each host passes a piece of news on about this often per power of ten
#: of the member count (Das, Gupta and Motivala, SWIM, 2002, section 4.1).
TRANSMISSIONS_PER_DECADE = 4


class RumourTable:
    """Rows worth passing on, and how often that is still to happen."""

    def __init__(self):
        self._remaining: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of rows still passed on."""
        return len(self._remaining)

    def add(self, row: int, members: int) -> None:
        """Pass a row on, however often it was passed on before."""
        decades = math.ceil(math.log10(members + 1))
        self._remaining[row] = TRANSMISSIONS_PER_DECADE * max(1, decades)

    def discard(self, row: int) -> None:
        """Stop passing a row on."""
        self._remaining.pop(row, None)

    def take(self, limit: int) -> list[int]:
        """Choose rows for one datagram, the newest first."""
        chosen = sorted(
            self._remaining, key=self._remaining.__getitem__, reverse=True
        )[:limit]
        for row in chosen:
            self._remaining[row] -= 1
            if not self._remaining[row]:
                del self._remaining[row]
        return chosen

"""Rate limits that targets state in their answers.

A target in need states how many requests a second it takes.  The limit holds
for all callers together, for as long as the answers of the target state it.
"""

import math
import re

__all__ = ['StatedLimit', 'decode_rate_limit']

#: The number of digits is limited, so that the value is always finite.
_RATE = re.compile(r'[0-9]{1,9}(?:\.[0-9]{1,30})?')


def decode_rate_limit(field: str) -> float | None:
    """Decode a rate limit in requests per second.

    Parameters
    ----------
    field : str
        A decimal number without a sign.

    Returns
    -------
    float or None
        None if the field is malformed.
    """
    text = field.strip(' \t')
    return float(text) if _RATE.fullmatch(text) else None


class StatedLimit:
    """The limit that one lifetime of a target states in its answers.

    Answers overtake one another: one without a limit may have been sent before
    another one that states it, but arrive after it.  An answer is known to be
    the newer one only if its request was sent after the other one had arrived.
    Otherwise the lower limit holds, and the next answer decides.
    """

    def __init__(self):
        #: Limit in requests per second; None for no limit.
        self.per_s: float | None = None
        #: Whether any answer has arrived.
        self.is_heard = False
        #: When the last answer that states this limit arrived.
        self._confirmed_s = -math.inf

    def note(self, per_s: float | None, sent_s: float, now_s: float) -> bool:
        """Note the limit in an answer.

        Parameters
        ----------
        per_s : float or None
            Stated limit; None if the answer states none.
        sent_s, now_s : float
            When the request was sent, and when its answer arrived.

        Returns
        -------
        bool
            Whether the limit has changed.
        """
        self.is_heard = True
        is_lower = per_s is not None and (
            self.per_s is None or per_s <= self.per_s
        )
        if not is_lower and sent_s < self._confirmed_s:
            return False
        if per_s is not None:
            self._confirmed_s = now_s
        is_changed = per_s != self.per_s
        self.per_s = per_s
        return is_changed

    def assume(self, per_s: float) -> bool:
        """Assume a limit that another daemon knows, until an answer arrives.

        Returns
        -------
        bool
            Whether the limit has changed.
        """
        if self.is_heard or (self.per_s is not None and self.per_s <= per_s):
            return False
        self.per_s = per_s
        return True

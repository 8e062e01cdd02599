"""Decodes what targets state about themselves in their answers."""

import logging

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _messages
from sedgering import overload
from sedgering import transport

__all__ = ['NO_SIGNALS', 'TargetSignals', 'decode_signals', 'log_malformed']

LOG = logging.getLogger(__name__)

#: Values of the field in which a target states whether it is leaving.
LEAVING = '1'
STAYING = '0'
#: Shown in logs for an empty value.
EMPTY = '(empty)'
#: Longest part of a malformed value in the log.
LOGGED_CHARACTERS = 40


class TargetSignals(msgspec.Struct, frozen=True):
    """What one answer of a target states about the target.

    Parameters
    ----------
    rate_limit_per_s : float or None
        Requests a second that the target takes from all callers together;
        None for no limit.
    is_leaving : bool
        Whether the target is leaving.
    is_limit_malformed : bool
        Whether the answer states a limit that cannot be decoded: then it
        neither states a limit nor that there is none.
    malformed : str
        A value that cannot be decoded, for logs.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    is_limit_malformed: bool = False
    malformed: str = ''


#: Signals of most answers.
NO_SIGNALS = TargetSignals()


def decode_signals(
    response: transport.Response, names: _messages.HeaderNames
) -> TargetSignals:
    """Decode the signals in an answer.

    If the limit is stated more than once, the lowest one counts.

    Parameters
    ----------
    response : Response
        Answer of a target.
    names : HeaderNames
        Names of the header fields.
    """
    limit_field = names.rate_limit.lower()
    leaving = response.find(names.leaving.lower())
    limit = response.find(limit_field)
    if leaving is None and limit is None:
        return NO_SIGNALS
    leaving = (leaving or STAYING).strip()
    is_leaving = leaving == LEAVING
    malformed = '' if leaving in (LEAVING, STAYING) else leaving
    values = [
        value
        for name, value in response.headers
        if name.lower() == limit_field
    ]
    limits = list(map(overload.decode_rate_limit, values))
    if None in limits:
        malformed = ', '.join(values) or EMPTY
        return TargetSignals(None, is_leaving, True, malformed)
    return TargetSignals(
        min(limits, default=None), is_leaving, False, malformed
    )


def log_malformed(target: base.TargetName, value: str) -> None:
    """Log a value that cannot be decoded."""
    code = exceptions.Code.ANSWER_SIGNAL
    LOG.warning(
        'malformed signal of a target',
        extra={
            'code': int(code),
            'target': target,
            'detail': f'{code.text}: {value[:LOGGED_CHARACTERS]!r}',
        },
    )

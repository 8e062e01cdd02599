"""Decodes what targets state about themselves in their answers."""

import logging

import msgspec

from sedgering import exceptions
from sedgering.mesh import _messages
from sedgering import overload
from sedgering import transport

__all__ = ['NO_SIGNALS', 'TargetSignals', 'decode_signals', 'log_malformed']

LOG = logging.getLogger(__name__)

#: Value with which a target states that it is leaving.
LEAVING = '1'
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
    malformed : str
        A rate limit that cannot be decoded: the answer then neither states a
        limit nor that there is none.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False
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
    if response.find(limit_field) is None:
        if leaving is None:
            return NO_SIGNALS
        return TargetSignals(is_leaving=leaving.strip() == LEAVING)
    is_leaving = leaving is not None and leaving.strip() == LEAVING
    limits = []
    for name, value in response.headers:
        if name.lower() != limit_field:
            continue
        per_s = overload.decode_rate_limit(value)
        if per_s is None:
            return TargetSignals(None, is_leaving, value or '(empty)')
        limits.append(per_s)
    return TargetSignals(min(limits), is_leaving)


def log_malformed(target: str, value: str) -> None:
    """Log a rate limit that cannot be decoded."""
    code = exceptions.Code.ANSWER_RATE_LIMIT
    LOG.warning(
        'malformed rate limit',
        extra={
            'code': int(code),
            'target': target,
            'detail': f'{code.text}: {value[:LOGGED_CHARACTERS]!r}',
        },
    )

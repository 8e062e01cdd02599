"""Header names of the platform, and its format of durations and versions."""

import re

from sedgering import base
from sedgering import mesh

__all__ = [
    'HEADERS',
    'SETTINGS_VARIABLE',
    'parse_duration_ms',
    'parse_version',
]

#: Environment variable that names the settings file.
SETTINGS_VARIABLE = 'SEDGERING_NODE_FILE'

#: Names of the platform's HTTP header fields.
HEADERS = mesh.HeaderNames(
    request_id='X-Request-Id',
    # The remaining time for which the sender waits, not a point in time.
    deadline_ms='X-Request-Deadline',
    proof='X-Response-Signature',
    # Id of a target, which may keep its id when it restarts.
    expected_target='X-Expect-Instance',
    # Target set of the host at which the request entered the mesh.
    origin='X-Caller-Service',
    not_run='X-Not-Executed',
    target='X-Instance-Id',
    load='X-Server-Load',
    rate_limit='Server-Limit',
    leaving='Server-Leaving',
    workspace='X-Tenant',
    key_scheme='Token',
)

#: The number of digits is limited, so that the value is always finite.
_DURATION = re.compile(r'([0-9]{1,15}(?:\.[0-9]{1,30})?)(ms|s)')
_VERSION = re.compile(r'r([0-9]{1,18})')


def parse_duration_ms(text: str) -> int:
    """Parse a duration in ms or s, such as ``1500ms`` or ``2.5s``.

    Raises
    ------
    ValueError
        When the text is not a duration.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f'no duration: {text!r}')
    number, unit = match.groups()
    return round(float(number) * (1000 if unit == 's' else 1))


def parse_version(text: str) -> base.Version:
    """Parse a version, such as ``r12``.

    Raises
    ------
    ValueError
        When the text is not a version.
    """
    match = _VERSION.fullmatch(text)
    if match is None:
        raise ValueError(f'no version: {text!r}')
    return base.Version(int(match.group(1)))

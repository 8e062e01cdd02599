"""Names, durations and versions as the platform writes them."""

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

#: The platform's header fields by what they hold.
HEADERS = mesh.HeaderNames(
    request_id='X-Request-Id',
    # The time that the sender still waits, not a moment.
    deadline_ms='X-Request-Deadline',
    proof='X-Response-Signature',
    # The id of a target; it may keep it when it starts again.
    expected_target='X-Expect-Instance',
    # The target set of the host where the request began.
    origin='X-Caller-Service',
    not_run='X-Not-Executed',
    target='X-Instance-Id',
    load='X-Server-Load',
    workspace='X-Tenant',
    key_scheme='Token',
)

#: Fewer digits than an infinite number has.
_DURATION = re.compile(r'([0-9]{1,15}(?:\.[0-9]{1,30})?)(ms|s)')
_VERSION = re.compile(r'r([0-9]{1,18})')


def parse_duration_ms(text: str) -> int:
    """Parse a number with its unit, such as ``1500ms`` or ``2.5s``.

    Raises
    ------
    ValueError
        When it is no duration.
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
        When it is no version.
    """
    match = _VERSION.fullmatch(text)
    if match is None:
        raise ValueError(f'no version: {text!r}')
    return base.Version(int(match.group(1)))

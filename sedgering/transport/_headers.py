"""Header fields: stored as received, looked up by lower-case name."""

__all__ = [
    'HOP_NAMES',
    'Headers',
    'find_header',
    'index_headers',
    'strip_hop_headers',
]

#: Names and values as received, in the order of the message.
Headers = list[tuple[str, str]]

#: Hop-by-hop fields, which concern one connection only (RFC 9110, section
#: 7.6.1).
HOP_NAMES = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a field; `name` must be lower case."""
    length = len(name)
    for field_name, value in headers:
        # Comparing lengths first avoids lower() for three of four fields.
        if len(field_name) == length and field_name.lower() == name:
            return value
    return None


def index_headers(headers: Headers) -> dict[str, str]:
    """Return the first value of each field by its lower-case name."""
    # In reverse order, so that the first value replaces later ones.
    return {name.lower(): value for name, value in reversed(headers)}


def strip_hop_headers(
    headers: Headers,
    dropped: frozenset[str] = HOP_NAMES,
    prefix: str = '',
) -> Headers:
    """Return the fields that are forwarded to the next hop.

    Parameters
    ----------
    headers : Headers
        Fields of the received message.
    dropped : frozenset of str
        Lower-case names to remove; must include `HOP_NAMES`.
    prefix : str
        Lower-case prefix; fields whose names start with it are removed, too.

    Returns
    -------
    Headers
        The remaining fields.  Fields that are listed in ``Connection`` are
        removed, too.
    """
    connection_options = find_header(headers, 'connection')
    if connection_options:
        dropped |= {
            option.strip().lower() for option in connection_options.split(',')
        }
    if not prefix:
        return [field for field in headers if field[0].lower() not in dropped]
    return [
        field
        for field in headers
        if (name := field[0].lower()) not in dropped
        and not name.startswith(prefix)
    ]

"""Header fields: kept as they came, found by their name in lower case."""

__all__ = [
    'HOP_NAMES',
    'Headers',
    'find_header',
    'index_headers',
    'strip_hop_headers',
]

#: Name and value as they came, in the order of the message.
Headers = list[tuple[str, str]]

#: Fields that concern one connection only (RFC 9110, section 7.6.1).
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
    """Return the first value of a field; `name` is in lower case."""
    length = len(name)
    for other, value in headers:
        # Most names differ in length: three of four need no lower().
        if len(other) == length and other.lower() == name:
            return value
    return None


def index_headers(headers: Headers) -> dict[str, str]:
    """Return the first value of each field by its name in lower case."""
    # The first value is the last one written.
    return {name.lower(): value for name, value in reversed(headers)}


def strip_hop_headers(
    headers: Headers,
    dropped: frozenset[str] = HOP_NAMES,
    prefix: str = '',
) -> Headers:
    """Return the fields that are passed on to the next hop.

    Parameters
    ----------
    headers : Headers
        Of the message received.
    dropped : frozenset of str
        Names to leave out, in lower case: at least those of the connection.
    prefix : str
        Names that begin with it are left out, too; in lower case.

    Returns
    -------
    Headers
        Without `dropped`, and without those that the field ``Connection``
        names.
    """
    named = find_header(headers, 'connection')
    if named:
        dropped |= {item.strip().lower() for item in named.split(',')}
    if not prefix:
        return [item for item in headers if item[0].lower() not in dropped]
    return [
        item
        for item in headers
        if (name := item[0].lower()) not in dropped
        and not name.startswith(prefix)
    ]

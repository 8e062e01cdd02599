"""Keys of workspaces: read from a field, and kept as digests only.

Keys are drawn at random by whoever gives them out, so that a plain hash
cannot be turned back; a slow one would be paid on each request.
"""

from collections.abc import Sequence
import hashlib

__all__ = [
    'KEY_FIELD',
    'compute_key_digest',
    'find_key',
    'shorten_digest',
    'take_claims',
]

#: Field that carries a key, in lower case (RFC 9110, section 11.6.2).
KEY_FIELD = 'authorization'

#: Digits by which people tell two keys apart.  They do not help to guess a
#: key, and among a thousand keys two share them once in 8,000 meshes.
HEAD_LENGTH = 8


def compute_key_digest(key: str) -> str:
    """Return what is kept of a key: its SHA-256 in hexadecimal digits."""
    return hashlib.sha256(key.encode('utf-8', 'surrogatepass')).hexdigest()


def shorten_digest(digest: str) -> str:
    """Return the start of a digest, for logs."""
    return digest[:HEAD_LENGTH]


def take_claims(
    headers: Sequence[tuple[str, str]], workspace_field: str
) -> tuple[list[str], list[tuple[str, str]]]:
    """Take what callers say of themselves off the fields of a request.

    Parameters
    ----------
    headers : sequence of (str, str)
        As received.
    workspace_field : str
        Field, in lower case, that tells targets who asks: nobody else may.

    Returns
    -------
    values : list of str
        Of all authorization fields.
    kept : list of (str, str)
        The other fields.
    """
    values: list[str] = []
    kept: list[tuple[str, str]] = []
    for item in headers:
        name = item[0].lower()
        if name == KEY_FIELD:
            values.append(item[1])
        elif name != workspace_field:
            kept.append(item)
    return values, kept


def find_key(values: Sequence[str], scheme: str) -> str | None:
    """Return the key that a request carries.

    Parameters
    ----------
    values : sequence of str
        Of all its authorization fields.
    scheme : str
        That must stand before the key, in any case (RFC 9110, section 11.1).

    Returns
    -------
    str or None
        None without a field, with more than one, or with anything that is
        not the scheme and one key: two readers might take different keys
        from these.
    """
    if len(values) != 1:
        return None
    parts = values[0].strip(' \t').split(' ')
    if len(parts) != 2 or parts[0].lower() != scheme.lower():
        return None
    key = parts[1]
    # A comma joins two fields into one.
    is_plain = key.isascii() and key.isprintable() and ',' not in key
    return key if key and is_plain else None

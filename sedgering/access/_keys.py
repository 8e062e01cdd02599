"""API keys of workspaces: parsed from a field, and kept as digests only.

Keys are generated at random by their issuer, so a plain hash cannot be
inverted by guessing.  A slow password hash would cost time on each request.
"""

from collections.abc import Sequence
import hashlib

__all__ = [
    'KEY_FIELD',
    'compute_key_digest',
    'find_key',
    'shorten_digest',
    'strip_identity_fields',
]

#: Field that carries a key, in lower case (RFC 9110, section 11.6.2).
KEY_FIELD = 'authorization'

#: Digits of a digest that logs show to tell keys apart.  They do not help to
#: guess a key.  Among a thousand keys, two share them in one of 8,000 meshes.
DIGEST_HEAD_LENGTH = 8


def compute_key_digest(key: str) -> str:
    """Return the SHA-256 digest of a key in hexadecimal digits."""
    return hashlib.sha256(key.encode('utf-8', 'surrogatepass')).hexdigest()


def shorten_digest(digest: str) -> str:
    """Return the start of a digest, for logs."""
    return digest[:DIGEST_HEAD_LENGTH]


def strip_identity_fields(
    headers: Sequence[tuple[str, str]], workspace_field: str
) -> tuple[list[str], list[tuple[str, str]]]:
    """Remove the fields by which callers identify themselves.

    Parameters
    ----------
    headers : sequence of (str, str)
        Fields of the request as received.
    workspace_field : str
        Field, in lower case, that tells targets the workspace; only daemons
        may set it.

    Returns
    -------
    values : list of str
        Values of all authorization fields.
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
        Values of all its authorization fields.
    scheme : str
        Authentication scheme that must precede the key, in any letter case
        (RFC 9110, section 11.1).

    Returns
    -------
    str or None
        None without a field, with more than one, or with anything but the
        scheme and one key, as two parsers might read different keys from it.
    """
    if len(values) != 1:
        return None
    parts = values[0].strip(' \t').split(' ')
    if len(parts) != 2 or parts[0].lower() != scheme.lower():
        return None
    key = parts[1]
    # A comma may join the values of two fields into one.
    is_valid = key.isascii() and key.isprintable() and ',' not in key
    return key if key and is_valid else None

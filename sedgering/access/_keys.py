"""Keys of workspaces: read from a field, and kept as digests only.

Keys are drawn at random by whoever gives them out, so that a plain hash
cannot be turned back; a slow one would be paid on each request.
"""

from collections.abc import Sequence
import hashlib

__all__ = ['compute_key_digest', 'find_key', 'shorten_digest']

#: Digits by which people tell two keys apart.  They do not help to guess a
#: key, and among a thousand keys two share them once in 8,000 meshes.
HEAD_LENGTH = 8


def compute_key_digest(key: str) -> str:
    """Return what is kept of a key: its SHA-256 in hexadecimal digits."""
    return hashlib.sha256(key.encode('utf-8', 'surrogatepass')).hexdigest()


def shorten_digest(digest: str) -> str:
    """Return the start of a digest, for logs."""
    return digest[:HEAD_LENGTH]


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

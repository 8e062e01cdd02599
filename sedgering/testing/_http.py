"""Helpers on top of cheroot for the stand-ins."""

import hashlib
import logging

import msgspec

__all__ = [
    'digest_body',
    'ignore_errors',
    'send',
    'send_json',
]

CHUNK_BYTES = 64 * 1024


def digest_body(request) -> str:
    """Read a request body in chunks and return its SHA-256 in hex."""
    digest = hashlib.sha256()
    while chunk := request.rfile.read(CHUNK_BYTES):
        digest.update(chunk)
    return digest.hexdigest()


def send(request, status: bytes, body: bytes, headers=()) -> None:
    """Send a complete response with its Content-Length."""
    request.status = status
    request.outheaders.extend(headers)
    request.outheaders.append((b'Content-Length', str(len(body)).encode()))
    request.sent_headers = True
    request.send_headers()
    request.write(body)


def send_json(request, status: bytes, value) -> bytes:
    """Send a value as JSON and return the encoded body."""
    body = msgspec.json.encode(value)
    send(request, status, body, ((b'Content-Type', b'application/json'),))
    return body


def ignore_errors(msg='', level=logging.INFO, traceback=False) -> None:
    """Discard log messages on connections that a fault closed on purpose."""

"""Responses of http.client that fail when the stream ends early.

For http.client, the end of the stream also ends the head, the size of a chunk
and the trailers.  A response that is cut there would pass for a complete one
with an empty or short body.
"""

import http.client
import io

__all__ = ['WholeResponse']


class _LineReader(io.BufferedReader):
    """Reads lines that must end with a line feed."""

    def readline(self, size=-1):
        """Return the next line, or its first `size` bytes.

        Raises
        ------
        RemoteDisconnected
            When the stream ends within the line.
        """
        line = super().readline(size)
        if len(line) != size and not line.endswith(b'\n'):
            raise http.client.RemoteDisconnected('the stream ended in a line')
        return line


class WholeResponse(http.client.HTTPResponse):
    """A response whose head and chunks must be complete.

    Replaces `response_class` of an `http.client.HTTPConnection`.

    Parameters
    ----------
    sock, *values, **named_values
        As of `http.client.HTTPResponse`.
    """

    def __init__(self, sock, *values, **named_values):
        super().__init__(sock, *values, **named_values)
        self.fp = _LineReader(self.fp.detach())

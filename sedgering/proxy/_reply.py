"""Sends the answer: a target's, or one of the proxy's own."""

import http.client

from sedgering import clock
from sedgering import exceptions
from sedgering.proxy import _answers
from sedgering.proxy import _headers
from sedgering.proxy import _request
from sedgering.proxy import _shared
from sedgering.proxy import _upstream

__all__ = ['Reply']

MAX_LOAD = 100_000
_BODILESS_STATUSES = frozenset((204, 304))


class Reply:
    """The answer to one request.

    Parameters
    ----------
    request : CallerRequest
        Whom to answer.
    state : RequestState
        Shared by all requests.

    Attributes
    ----------
    status : int
        Of the target's answer; 0 while there is none.
    """

    def __init__(
        self,
        request: _request.CallerRequest,
        state: _shared.RequestState,
    ):
        self.request = request
        self.raw = request.raw
        self.state = state
        self.status = 0

    def pass_on(self, attempt: _upstream.Attempt) -> None:
        """Send the target's answer.

        Raises
        ------
        RequestError
            When it ends early.  Its head is out then, so that only a cut
            connection can tell the caller that the body is not whole.
        """
        is_whole = False
        self.status = attempt.response.status
        try:
            self._note_load(attempt)
            self._send_head(attempt.response)
            self._send_body(attempt.response)
            is_whole = True
        finally:
            self._end(attempt, is_whole)

    def send_own(self, error: exceptions.RequestError) -> None:
        """Send an answer that tells of an error."""
        answer = _answers.make_answer(error)
        if self.request.body is not None:
            # What is left of the body is not read, so the connection
            # cannot carry another request.
            self.raw.close_connection = True
        self.raw.status = answer.status
        self.raw.outheaders.extend(answer.headers)
        self._finish_head()
        if self.request.method != 'HEAD':
            self.raw.write(answer.body)

    def _note_load(self, attempt: _upstream.Attempt) -> None:
        stated = attempt.response.getheader(_headers.LOAD_HEADER)
        if stated and stated.isascii() and stated.isdigit():
            in_use = min(int(stated), MAX_LOAD)
            now_ms = clock.monotonic_ms()
            self.state.loads.report(attempt.endpoint, in_use, now_ms)

    def _send_head(self, response: http.client.HTTPResponse) -> None:
        status = f'{response.status} {response.reason or ""}'.strip()
        self.raw.status = status.encode('iso-8859-1')
        out = self.raw.outheaders
        for name, value in response.getheaders():
            if name.lower() not in _headers.HOP_HEADERS:
                out.append(
                    (name.encode('iso-8859-1'), value.encode('iso-8859-1'))
                )
        self._finish_head()

    def _send_body(self, response: http.client.HTTPResponse) -> None:
        if self._is_bodiless(response):
            response.read()
            return
        for chunk in _upstream.read_body(response):
            self.raw.write(chunk)
            if response.length != 0:
                # More may be long in coming; a short answer that is whole
                # leaves in one write with its head.
                self.raw.conn.wfile.flush()

    def _is_bodiless(self, response: http.client.HTTPResponse) -> bool:
        is_head = self.request.method == 'HEAD'
        return is_head or response.status in _BODILESS_STATUSES

    def _end(self, attempt: _upstream.Attempt, is_whole: bool) -> None:
        """Give the slot back, and keep or close the connection."""
        loads = self.state.loads
        now_ms = clock.monotonic_ms()
        if is_whole:
            elapsed_ms = attempt.flight.elapsed_ms
            loads.succeed(attempt.endpoint, elapsed_ms, now_ms)
            self.state.upstream.release(attempt)
        else:
            loads.fail(attempt.endpoint, now_ms)
            self.state.upstream.drop(attempt.flight)

    def _finish_head(self) -> None:
        request_id = self.request.request_id.encode('iso-8859-1')
        self.raw.outheaders.append((b'X-Request-Id', request_id))
        if self.state.gate.is_leaving:
            self.raw.close_connection = True
        self.raw.sent_headers = True
        self.raw.send_headers()

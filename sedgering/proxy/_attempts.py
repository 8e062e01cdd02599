"""Attempts at the targets of one set, until one answers."""

import time

from sedgering import bundle as bundles
from sedgering import clock
from sedgering import exceptions
from sedgering import membership
from sedgering.proxy import _headers
from sedgering.proxy import _request
from sedgering.proxy import _shared
from sedgering.proxy import _upstream
from sedgering import traffic

__all__ = ['Attempts']

#: Least time left for which a request is still sent.
LEAST_TIME_MS = 1

_CODES = {
    traffic.AttemptOutcome.UNKNOWN: exceptions.Code.REQUEST_UNKNOWN,
    traffic.AttemptOutcome.LATE: exceptions.Code.REQUEST_LATE,
    traffic.AttemptOutcome.REFUSED: exceptions.Code.REQUEST_NOT_RUN,
}
_UNKNOWN_CODES = frozenset(
    (exceptions.Code.REQUEST_UNKNOWN, exceptions.Code.REQUEST_LATE)
)


class Attempts:
    """All attempts of one request.

    Parameters
    ----------
    request : CallerRequest
        What to send.
    state : RequestState
        Shared by all requests.
    route, policy
        How to treat it.
    endpoints : tuple of Endpoint
        Targets to choose from.
    """

    def __init__(
        self,
        request: _request.CallerRequest,
        state: _shared.RequestState,
        route: bundles.Route,
        policy: bundles.Policy,
        endpoints: tuple[membership.Endpoint, ...],
    ):
        self.request = request
        self.state = state
        self.route = route
        self.policy = policy
        self.endpoints = endpoints
        self._tried: list[membership.Endpoint] = []
        self._sent = 0
        self._may_have_run = False

    def run(self) -> _upstream.Attempt:
        """Try targets until one answers.

        Returns
        -------
        Attempt
            Answered; its response is not yet read.

        Raises
        ------
        RequestError
            With what is known after the last attempt.
        CallerGone
            When the caller went away.
        """
        spent = self.request.attempts_spent
        allowed = traffic.count_allowed(self.policy, spent)
        budget = self.state.retry_budget
        budget.deposit(self.policy.retry_budget_percent)
        last: _upstream.Attempt | None = None
        while True:
            endpoint = self._take_endpoint()
            if endpoint is None:
                raise self._make_error(last)
            last = self._attempt(endpoint)
            if last.outcome is traffic.AttemptOutcome.ANSWERED:
                return last
            self._remember(last)
            if not self._may_try_again(last, allowed):
                raise self._make_error(last)

    def _may_try_again(self, last: _upstream.Attempt, allowed: int) -> bool:
        tried = len(self._tried)
        if not traffic.may_try_again(
            last.outcome,
            self.route,
            tried,
            allowed,
            self.request.is_body_consumed,
            self.request.remaining_ms,
        ):
            return False
        if not self.state.retry_budget.take(clock.monotonic_ms()):
            return False
        pause_ms = traffic.pause_before(last.outcome, tried, self.state.rng)
        if pause_ms >= self.request.remaining_ms:
            return False
        time.sleep(pause_ms / 1000)
        return True

    def _take_endpoint(self) -> membership.Endpoint | None:
        """Choose a target and take one of its slots."""
        loads = self.state.loads
        while True:
            now_ms = clock.monotonic_ms()
            endpoint = traffic.choose_endpoint(
                self.endpoints,
                self._tried,
                loads,
                self.state.data_centre,
                self.state.rng,
                now_ms,
            )
            if endpoint is None:
                return None
            # Another thread may have taken the last slot meanwhile.
            if loads.start(endpoint, now_ms):
                self._tried.append(endpoint)
                return endpoint

    def _attempt(self, endpoint: membership.Endpoint) -> _upstream.Attempt:
        """Make one attempt, hedged by a second one where allowed."""
        flights: list[_upstream.Flight] = []
        try:
            started = self._start(endpoint)
            if started.flight is None:
                return self._note(started)
            flights.append(started.flight)
            has_body = self.request.body is not None
            if traffic.may_hedge(self.route, self.policy, has_body):
                if not self._wait(flights, self.policy.hedge_after_ms):
                    self._start_hedge(flights)
            return self._finish_first(flights)
        except _upstream.CallerGone:
            # The targets' work is cancelled by closing their connections.
            now_ms = clock.monotonic_ms()
            if not flights:
                self.state.loads.cancel(endpoint, now_ms)
            for flight in flights:
                self.state.upstream.drop(flight)
                self.state.loads.cancel(flight.endpoint, now_ms)
            raise

    def _start(self, endpoint: membership.Endpoint) -> _upstream.Attempt:
        remaining_ms = self.request.remaining_ms
        if remaining_ms < LEAST_TIME_MS:
            self.state.loads.cancel(endpoint, clock.monotonic_ms())
            raise self._make_error(None, exceptions.Code.REQUEST_DEADLINE)
        headers = _headers.make_request_headers(self.request.headers)
        headers[_headers.REQUEST_ID_HEADER] = self.request.request_id
        headers[_headers.DEADLINE_HEADER] = str(remaining_ms)
        headers[_headers.ATTEMPTS_HEADER] = str(self._sent)
        self._sent += 1
        body = self.request.body
        return self.state.upstream.start(
            endpoint,
            _upstream.UpstreamRequest(
                method=self.request.method,
                url=self.request.url,
                headers=headers,
                body=None if body is None else iter(body),
                is_chunked=self.request.raw.chunked_read,
                timeout_ms=remaining_ms,
            ),
        )

    def _start_hedge(self, flights: list[_upstream.Flight]) -> None:
        if not self.state.retry_budget.take(clock.monotonic_ms()):
            return
        endpoint = self._take_endpoint()
        if endpoint is None:
            return
        try:
            started = self._start(endpoint)
        except exceptions.RequestError:
            # The deadline is at hand; the first attempt goes on.
            return
        if started.flight is not None:
            flights.append(started.flight)
        else:
            self._remember(self._note(started))

    def _wait(
        self, flights: list[_upstream.Flight], timeout_ms: float
    ) -> _upstream.Flight | None:
        return self.state.upstream.wait(
            flights,
            self.request.raw.conn.socket,
            min(timeout_ms, self.request.remaining_ms),
        )

    def _finish_first(
        self, flights: list[_upstream.Flight]
    ) -> _upstream.Attempt:
        """Take the first answer, and cancel the other attempt if any.

        An attempt that ends without an answer leaves the other one
        under way.
        """
        while True:
            first = self._wait(flights, self.request.remaining_ms)
            if first is None:
                return self._give_all_up(flights)
            flights.remove(first)
            attempt = self._note(self.state.upstream.finish(first))
            if attempt.outcome is traffic.AttemptOutcome.ANSWERED:
                for flight in flights:
                    self._give_up(flight, False)
                return attempt
            if not flights:
                return attempt
            self._remember(attempt)

    def _give_all_up(
        self, flights: list[_upstream.Flight]
    ) -> _upstream.Attempt:
        """End all attempts at the deadline."""
        for flight in flights:
            self._give_up(flight, True)
        return _upstream.Attempt(
            traffic.AttemptOutcome.LATE, flights[-1].endpoint
        )

    def _remember(self, attempt: _upstream.Attempt) -> None:
        """Remember an attempt that may have run."""
        if attempt.outcome not in traffic.PROVEN_NOT_RUN:
            self._may_have_run = True

    def _give_up(self, flight: _upstream.Flight, is_late: bool) -> None:
        """Cancel an attempt and give its slot back."""
        self.state.upstream.drop(flight)
        now_ms = clock.monotonic_ms()
        if is_late:
            self.state.loads.fail(flight.endpoint, now_ms)
        else:
            self.state.loads.cancel(flight.endpoint, now_ms)

    def _make_error(
        self,
        last: _upstream.Attempt | None,
        code: exceptions.Code = exceptions.Code.REQUEST_NO_TARGET,
    ) -> exceptions.RequestError:
        """Make the error that tells what is known of all attempts.

        The last attempt may be proven not run while an earlier one is
        not: the request as a whole is "not run" only if every one is.
        """
        detail = last.detail if last else ''
        if last is not None:
            code = _CODES.get(last.outcome, code)
        if self._may_have_run and code not in _UNKNOWN_CODES:
            code = exceptions.Code.REQUEST_UNKNOWN
        return exceptions.RequestError(code, detail)

    def _note(self, attempt: _upstream.Attempt) -> _upstream.Attempt:
        """Note an attempt that ended; one that answered holds its slot."""
        now_ms = clock.monotonic_ms()
        if attempt.outcome is traffic.AttemptOutcome.REFUSED:
            self.state.loads.refuse(attempt.endpoint, now_ms)
        elif attempt.outcome is not traffic.AttemptOutcome.ANSWERED:
            self.state.loads.fail(attempt.endpoint, now_ms)
        return attempt

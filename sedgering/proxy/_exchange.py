"""One request, from its head to the end of its answer."""

import logging
import time

from cheroot import server as cheroot_server

from sedgering import base
from sedgering import bundle as bundles
from sedgering import exceptions
from sedgering import membership
from sedgering.proxy import _answers
from sedgering.proxy import _body
from sedgering.proxy import _headers
from sedgering.proxy import _shared
from sedgering.proxy import _upstream
from sedgering import traffic

__all__ = ['Exchange']

LOG = logging.getLogger(__name__)

REQUEST_ID_BITS = 128
MAX_DEADLINE_MS = 3_600_000
MAX_ATTEMPTS_SPENT = 100
MAX_LOAD = 100_000
#: Least time left for which a request is still sent.
LEAST_TIME_MS = 1
#: Longest wait for a claim to stand.
GUARD_WAIT_MS = 3000
_BODILESS_STATUSES = frozenset((204, 304))


def monotonic_ms() -> int:
    """Return monotonic time in milliseconds."""
    return time.monotonic_ns() // 1_000_000


class Exchange:
    """One request of a caller.

    Parameters
    ----------
    request : HTTPRequest
        Of cheroot, its head parsed.
    state : RequestState
        Shared by all requests.
    """

    def __init__(
        self,
        request: cheroot_server.HTTPRequest,
        state: _shared.RequestState,
    ):
        self.request = request
        self.state = state
        self.started_ms = monotonic_ms()
        self.headers = _headers.decode_headers(request)
        self.url = request.uri.decode('iso-8859-1')
        self.request_id = base.RequestId(
            self.headers.get(_headers.REQUEST_ID_HEADER)
            or f'{state.rng.getrandbits(REQUEST_ID_BITS):032x}'
        )
        self.body = _body.make_body(request)
        self.deadline_ms = self.started_ms
        self.attempts = 0
        self.answered_status = 0

    def run(self) -> None:
        """Answer the request: with a target's answer, or an own one."""
        code = 0
        try:
            self._answer()
        except exceptions.RequestError as error:
            code = int(error.code)
            if self.request.sent_headers:
                # Only a cut connection can tell that the body, whose head
                # is out, is not whole.
                self.request.close_connection = True
                self._log(error)
                raise
            self._send_own(error)
        finally:
            metrics = self.state.metrics
            metrics.requests.labels(str(code)).inc()
            elapsed_ms = monotonic_ms() - self.started_ms
            metrics.request_seconds.observe(elapsed_ms / 1000)

    def _answer(self) -> None:
        snapshot = self.state.holder.snapshot
        if snapshot is None or not self.state.gate.is_open:
            raise exceptions.RequestError(exceptions.Code.REQUEST_NOT_READY)
        route = traffic.find_route(snapshot, self._make_head())
        if route is None:
            raise exceptions.RequestError(
                exceptions.Code.REQUEST_NO_ROUTE, self.request_id
            )
        policy = snapshot.policies[route.policy]
        self.deadline_ms = self.started_ms + self._timeout_ms(policy)
        self._admit(route, policy)

    def _make_head(self) -> traffic.RequestHead:
        host = self.headers.get('host', '').partition(':')[0].lower()
        return traffic.RequestHead(
            method=self.request.method.decode('ascii'),
            host=host,
            path=self.url.partition('?')[0],
            headers=self.headers,
        )

    def _timeout_ms(self, policy: bundles.Policy) -> int:
        stated = _headers.parse_number(
            self.headers, _headers.DEADLINE_HEADER, MAX_DEADLINE_MS
        )
        if stated is None:
            return policy.timeout_ms
        return min(policy.timeout_ms, stated)

    def _remaining_ms(self) -> int:
        return self.deadline_ms - monotonic_ms()

    def _admit(self, route: bundles.Route, policy: bundles.Policy) -> None:
        """Wait for admission to the target set, then try its targets."""
        target_set = traffic.choose_target_set(route, self.state.rng)
        endpoints = self.state.view.by_set.get(target_set, ())
        if not endpoints:
            raise exceptions.RequestError(
                exceptions.Code.REQUEST_NO_TARGET, target_set
            )
        self.state.admission.enter(
            target_set,
            self._limit_of(endpoints),
            route.party,
            self.deadline_ms,
            monotonic_ms(),
        )
        try:
            self._guard(route, policy, endpoints)
        finally:
            self.state.admission.leave(
                target_set,
                self._limit_of(endpoints),
                route.party,
                monotonic_ms(),
            )

    def _limit_of(self, endpoints: tuple[membership.Endpoint, ...]) -> int:
        """Return what the targets may get from here together."""
        now_ms = monotonic_ms()
        loads = self.state.loads
        return sum(
            int(loads.get(endpoint, now_ms).limit)
            for endpoint in endpoints
            if not loads.is_ejected(endpoint, now_ms)
        )

    def _guard(
        self,
        route: bundles.Route,
        policy: bundles.Policy,
        endpoints: tuple[membership.Endpoint, ...],
    ) -> None:
        """Claim the idempotency key first, where there is one to claim."""
        key = self.headers.get(_headers.IDEMPOTENCY_HEADER)
        if key is None or route.repeatable:
            self._try_targets(route, policy, endpoints)
            return
        method = self.request.method.decode('ascii')
        claim = traffic.make_claim(
            route.party,
            key,
            f'{method} {route.host} {self.url}',
            f'{self.state.rng.getrandbits(REQUEST_ID_BITS):032x}',
            time.time_ns() // 1_000_000,
        )
        self.state.guard.claim(
            claim, max(LEAST_TIME_MS, min(GUARD_WAIT_MS, self._remaining_ms()))
        )
        self._run_claimed(claim, route, policy, endpoints)

    def _run_claimed(
        self,
        claim: traffic.Claim,
        route: bundles.Route,
        policy: bundles.Policy,
        endpoints: tuple[membership.Endpoint, ...],
    ) -> None:
        """Try targets, and record what is known afterwards.

        A claim without a record stays as it is: "outcome unknown".
        """
        try:
            self._try_targets(route, policy, endpoints)
        except exceptions.RequestError as error:
            told = _answers.make_answer(error).told
            was_sent = self.answered_status or self.request.sent_headers
            if told is _answers.Told.NOT_RUN and not was_sent:
                self.state.guard.record(claim, traffic.ClaimState.NOT_RUN, 0)
            raise
        self.state.guard.record(
            claim, traffic.ClaimState.RUN, self.answered_status
        )

    def _try_targets(
        self,
        route: bundles.Route,
        policy: bundles.Policy,
        endpoints: tuple[membership.Endpoint, ...],
    ) -> None:
        """Try targets until one answers."""
        spent = _headers.parse_number(
            self.headers, _headers.ATTEMPTS_HEADER, MAX_ATTEMPTS_SPENT
        )
        allowed = traffic.count_allowed(policy, spent or 0)
        self.state.retry_budget.deposit(policy.retry_budget_percent)
        tried: list[membership.Endpoint] = []
        last: _upstream.Attempt | None = None
        while True:
            endpoint = self._take_endpoint(endpoints, tried)
            if endpoint is None:
                raise _make_error(last)
            tried.append(endpoint)
            last = self._attempt(endpoint, endpoints, tried, route, policy)
            if last.outcome is traffic.AttemptOutcome.ANSWERED:
                self._pass_on(last)
                return
            if not self._may_try_again(last, route, len(tried), allowed):
                raise _make_error(last)

    def _may_try_again(
        self,
        last: _upstream.Attempt,
        route: bundles.Route,
        attempts: int,
        allowed: int,
    ) -> bool:
        is_consumed = self.body is not None and self.body.is_consumed
        if not traffic.may_try_again(
            last.outcome,
            route,
            attempts,
            allowed,
            is_consumed,
            self._remaining_ms(),
        ):
            return False
        if not self.state.retry_budget.take(monotonic_ms()):
            return False
        pause_ms = traffic.pause_before(last.outcome, attempts, self.state.rng)
        if pause_ms >= self._remaining_ms():
            return False
        time.sleep(pause_ms / 1000)
        return True

    def _take_endpoint(
        self,
        endpoints: tuple[membership.Endpoint, ...],
        tried: list[membership.Endpoint],
    ) -> membership.Endpoint | None:
        loads = self.state.loads
        while True:
            now_ms = monotonic_ms()
            endpoint = traffic.choose_endpoint(
                endpoints,
                tried,
                loads,
                self.state.data_centre,
                self.state.rng,
                now_ms,
            )
            # Another thread may have taken the last slot meanwhile.
            if endpoint is None or loads.start(endpoint, now_ms):
                return endpoint

    def _attempt(
        self,
        endpoint: membership.Endpoint,
        endpoints: tuple[membership.Endpoint, ...],
        tried: list[membership.Endpoint],
        route: bundles.Route,
        policy: bundles.Policy,
    ) -> _upstream.Attempt:
        """Make one attempt, hedged by a second one where allowed."""
        flights: list[_upstream.Flight] = []
        try:
            started = self._start(endpoint)
            if started.flight is None:
                return self._note(started)
            flights.append(started.flight)
            hedges = traffic.may_hedge(route, policy, self.body is not None)
            if hedges and not self._wait(flights, policy.hedge_after_ms):
                self._start_hedge(flights, endpoints, tried)
            return self._finish_first(flights)
        except _upstream.CallerGone:
            # The targets' work is cancelled by closing their connections.
            now_ms = monotonic_ms()
            if not flights:
                self.state.loads.cancel(endpoint, now_ms)
            for flight in flights:
                self.state.upstream.drop(flight)
                self.state.loads.cancel(flight.endpoint, now_ms)
            raise

    def _start(self, endpoint: membership.Endpoint) -> _upstream.Attempt:
        remaining_ms = self._remaining_ms()
        if remaining_ms < LEAST_TIME_MS:
            self.state.loads.cancel(endpoint, monotonic_ms())
            raise exceptions.RequestError(exceptions.Code.REQUEST_DEADLINE)
        headers = _headers.make_request_headers(self.headers)
        headers[_headers.REQUEST_ID_HEADER] = self.request_id
        headers[_headers.DEADLINE_HEADER] = str(remaining_ms)
        headers[_headers.ATTEMPTS_HEADER] = str(self.attempts)
        self.attempts += 1
        return self.state.upstream.start(
            endpoint,
            _upstream.UpstreamRequest(
                method=self.request.method.decode('ascii'),
                url=self.url,
                headers=headers,
                body=None if self.body is None else iter(self.body),
                is_chunked=self.request.chunked_read,
                timeout_ms=remaining_ms,
            ),
        )

    def _start_hedge(
        self,
        flights: list[_upstream.Flight],
        endpoints: tuple[membership.Endpoint, ...],
        tried: list[membership.Endpoint],
    ) -> None:
        if not self.state.retry_budget.take(monotonic_ms()):
            return
        endpoint = self._take_endpoint(endpoints, tried)
        if endpoint is None:
            return
        tried.append(endpoint)
        started = self._start(endpoint)
        if started.flight is not None:
            flights.append(started.flight)
        else:
            self._note(started)

    def _wait(
        self, flights: list[_upstream.Flight], timeout_ms: float
    ) -> _upstream.Flight | None:
        timeout_ms = min(timeout_ms, self._remaining_ms())
        return self.state.upstream.wait(
            flights, self.request.conn.socket, timeout_ms
        )

    def _finish_first(
        self, flights: list[_upstream.Flight]
    ) -> _upstream.Attempt:
        """Take the first answer, and cancel the other attempt if any."""
        first = self._wait(flights, self._remaining_ms())
        last_endpoint = flights[-1].endpoint
        for flight in tuple(flights):
            if flight is not first:
                self.state.upstream.drop(flight)
                flights.remove(flight)
                self._give_up(flight, first)
        if first is None:
            return _upstream.Attempt(
                traffic.AttemptOutcome.LATE, last_endpoint
            )
        flights.remove(first)
        return self._note(self.state.upstream.finish(first))

    def _give_up(self, flight, first) -> None:
        """Give the slot of a dropped attempt back."""
        now_ms = monotonic_ms()
        if first is None:
            self.state.loads.fail(flight.endpoint, now_ms)
        else:
            self.state.loads.cancel(flight.endpoint, now_ms)

    def _note(self, attempt: _upstream.Attempt) -> _upstream.Attempt:
        """Note an attempt that ended without an answer."""
        now_ms = monotonic_ms()
        if attempt.outcome is traffic.AttemptOutcome.REFUSED:
            self.state.loads.refuse(attempt.endpoint, now_ms)
        elif attempt.outcome is not traffic.AttemptOutcome.ANSWERED:
            self.state.loads.fail(attempt.endpoint, now_ms)
        return attempt

    def _pass_on(self, attempt: _upstream.Attempt) -> None:
        """Send the target's answer; an early end cuts the connection."""
        is_whole = False
        self.answered_status = attempt.response.status
        try:
            self._note_load(attempt)
            self._send_head(attempt.response)
            if self._is_bodiless(attempt.response):
                attempt.response.read()
            else:
                self._send_body(attempt.response)
            is_whole = True
        finally:
            self._end(attempt, is_whole)

    def _send_body(self, response) -> None:
        for chunk in _upstream.read_body(response):
            self.request.write(chunk)
            if response.length != 0:
                # More may be long in coming; a short answer that is whole
                # leaves in one write with its head.
                self.request.conn.wfile.flush()

    def _note_load(self, attempt: _upstream.Attempt) -> None:
        stated = attempt.response.getheader(_headers.LOAD_HEADER)
        if stated and stated.isascii() and stated.isdigit():
            self.state.loads.report(
                attempt.endpoint, min(int(stated), MAX_LOAD), monotonic_ms()
            )

    def _end(self, attempt: _upstream.Attempt, is_whole: bool) -> None:
        now_ms = monotonic_ms()
        if is_whole:
            elapsed_ms = attempt.flight.elapsed_ms
            self.state.loads.succeed(attempt.endpoint, elapsed_ms, now_ms)
            self.state.upstream.release(attempt)
        else:
            self.state.loads.fail(attempt.endpoint, now_ms)
            self.state.upstream.drop(attempt.flight)

    def _send_head(self, response) -> None:
        status = f'{response.status} {response.reason or ""}'.strip()
        self.request.status = status.encode('iso-8859-1')
        out = self.request.outheaders
        for name, value in response.getheaders():
            if name.lower() not in _headers.HOP_HEADERS:
                out.append(
                    (name.encode('iso-8859-1'), value.encode('iso-8859-1'))
                )
        self._finish_head()

    def _is_bodiless(self, response) -> bool:
        is_head = self.request.method == b'HEAD'
        return is_head or response.status in _BODILESS_STATUSES

    def _send_own(self, error: exceptions.RequestError) -> None:
        answer = _answers.make_answer(error)
        if self.body is not None:
            # What is left of the body is not read, so the connection
            # cannot carry another request.
            self.request.close_connection = True
        self.request.status = answer.status
        self.request.outheaders.extend(answer.headers)
        self._finish_head()
        if self.request.method != b'HEAD':
            self.request.write(answer.body)

    def _finish_head(self) -> None:
        request_id = self.request_id.encode('iso-8859-1')
        self.request.outheaders.append((b'X-Request-Id', request_id))
        if self.state.gate.is_leaving:
            self.request.close_connection = True
        self.request.sent_headers = True
        self.request.send_headers()

    def _log(self, error: exceptions.RequestError) -> None:
        LOG.warning(
            'answer cut',
            extra={
                'code': int(error.code),
                'request_id': self.request_id,
                'detail': error.detail,
            },
        )


def _make_error(
    last: _upstream.Attempt | None,
) -> exceptions.RequestError:
    """Make the error that tells what is known after the last attempt."""
    if last is None:
        return exceptions.RequestError(exceptions.Code.REQUEST_NO_TARGET)
    code = _CODES.get(last.outcome, exceptions.Code.REQUEST_NO_TARGET)
    return exceptions.RequestError(code, last.detail)


_CODES = {
    traffic.AttemptOutcome.UNKNOWN: exceptions.Code.REQUEST_UNKNOWN,
    traffic.AttemptOutcome.LATE: exceptions.Code.REQUEST_LATE,
    traffic.AttemptOutcome.REFUSED: exceptions.Code.REQUEST_NOT_RUN,
}

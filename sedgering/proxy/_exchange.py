"""One request, from its head to the end of its answer."""

import logging

from cheroot import server as cheroot_server

from sedgering import access
from sedgering import bundle as bundles
from sedgering import clock
from sedgering import exceptions
from sedgering import membership
from sedgering.proxy import _answers
from sedgering.proxy import _attempts
from sedgering.proxy import _headers
from sedgering.proxy import _reply
from sedgering.proxy import _request
from sedgering.proxy import _shared
from sedgering import traffic

__all__ = ['Exchange']

LOG = logging.getLogger(__name__)

#: Longest and shortest wait for a claim to stand.
GUARD_WAIT_MS = 3000
LEAST_WAIT_MS = 1


class Exchange:
    """One request of a caller, and its answer.

    Parameters
    ----------
    raw : HTTPRequest
        Of cheroot, its head parsed.
    state : RequestState
        Shared by all requests.
    """

    def __init__(
        self,
        raw: cheroot_server.HTTPRequest,
        state: _shared.RequestState,
    ):
        self.state = state
        self.request = _request.make_caller_request(raw, state)
        self.reply = _reply.Reply(self.request, state)

    def run(self) -> None:
        """Answer the request: with a target's answer, or an own one."""
        code = 0
        try:
            self._answer()
        except exceptions.RequestError as error:
            code = int(error.code)
            if self.request.raw.sent_headers:
                # Raised on, so that cheroot cuts the connection.
                self.request.raw.close_connection = True
                self._log(error)
                raise
            self.reply.send_own(error)
        finally:
            self._count(code)

    def _answer(self) -> None:
        """Find the route, wait for admission, then go on."""
        snapshot = self.state.holder.snapshot
        if snapshot is None or not self.state.gate.is_open:
            raise exceptions.RequestError(exceptions.Code.REQUEST_NOT_READY)
        route = bundles.find_route(snapshot, self.request.make_head())
        if route is None:
            raise exceptions.RequestError(
                exceptions.Code.REQUEST_NO_ROUTE, self.request.request_id
            )
        if snapshot.has_workspaces:
            self._identify(snapshot, route)
        policy = snapshot.policies[route.policy]
        self.request.set_deadline(policy)
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
            self.request.deadline_ms,
            clock.monotonic_ms(),
        )
        try:
            self._guard(route, policy, endpoints)
        finally:
            self.state.admission.leave(
                target_set,
                self._limit_of(endpoints),
                route.party,
                clock.monotonic_ms(),
            )

    def _identify(
        self, snapshot: bundles.Snapshot, route: bundles.Route
    ) -> None:
        """Find out who asks; the key ends here."""
        headers = self.request.headers
        value = headers.pop(access.KEY_FIELD, None)
        headers.pop(_headers.WORKSPACE_HEADER, None)
        identity = access.authenticate(
            snapshot,
            route.name,
            () if value is None else (value,),
            _headers.KEY_SCHEME,
            access.Freshness(),
            access.RevocationPolicy(),
        )
        if identity.code is not None:
            raise exceptions.RequestError(
                identity.code, self.request.request_id
            )
        if identity.workspace:
            headers[_headers.WORKSPACE_HEADER] = identity.workspace

    def _limit_of(self, endpoints: tuple[membership.Endpoint, ...]) -> int:
        """Return what the targets may get from here together."""
        now_ms = clock.monotonic_ms()
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
        attempts = _attempts.Attempts(
            self.request, self.state, route, policy, endpoints
        )
        key = self.request.headers.get(_headers.IDEMPOTENCY_HEADER)
        if key is None or route.repeatable:
            self.reply.pass_on(attempts.run())
            return
        claim = self._claim(route, key)
        try:
            self.reply.pass_on(attempts.run())
        except exceptions.RequestError as error:
            # A claim without a record stays: "outcome unknown".
            told = _answers.make_answer(error).told
            if told is _answers.Told.NOT_RUN and not self.reply.status:
                self.state.guard.record(claim, traffic.ClaimState.NOT_RUN, 0)
            raise
        self.state.guard.record(
            claim, traffic.ClaimState.RUN, self.reply.status
        )

    def _claim(self, route: bundles.Route, key: str) -> traffic.Claim:
        """Return once the claim of a key stands."""
        claim = traffic.make_claim(
            route.party,
            key,
            f'{self.request.method} {route.host} {self.request.url}',
            _request.make_random_id(self.state),
            clock.wall_ms(),
        )
        wait_ms = min(GUARD_WAIT_MS, self.request.remaining_ms)
        self.state.guard.claim(claim, max(LEAST_WAIT_MS, wait_ms))
        return claim

    def _count(self, code: int) -> None:
        metrics = self.state.metrics
        metrics.requests.labels(str(code)).inc()
        elapsed_ms = clock.monotonic_ms() - self.request.started_ms
        metrics.request_seconds.observe(elapsed_ms / 1000)

    def _log(self, error: exceptions.RequestError) -> None:
        LOG.warning(
            'answer cut',
            extra={
                'code': int(error.code),
                'request_id': self.request.request_id,
                'detail': error.detail,
            },
        )

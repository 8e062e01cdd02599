"""Handles one request of a caller: routing, attempts and the answer."""

import asyncio
import itertools

from sedgering import access
from sedgering import base
from sedgering import bundle as bundles
from sedgering import exceptions
from sedgering.mesh import _attempt
from sedgering.mesh import _chooser
from sedgering.mesh import _messages
from sedgering.mesh import _peers
from sedgering.mesh import _progress
from sedgering.mesh import _refusal
from sedgering.mesh import _request_status
from sedgering.mesh import _search
from sedgering.mesh import _signals
from sedgering.mesh import _state
from sedgering import overload
from sedgering import quota
from sedgering import transport

__all__ = ['Exchange']

#: Longest timeout that a caller may state. A request that states none gets the
#: timeout of its route's policy.
MAX_DEADLINE_MS = 3_600_000
#: Maximum number of attempts that do not count towards the hops limit. These
#: are refused by a host that reports another target, and is then asked again
#: for that one, or that has no listening target. Such a refusal takes a round
#: trip of 3 ms. When they counted, requests failed with four of six targets
#: gone, although the other two could have served them.
UNCOUNTED_HOPS_LIMIT = 8
#: Number of refusals by load shedding after which no other host is tried.
SHEDS_LIMIT = 2
#: Maximum number of attempts in flight listed in a log line; few routes allow
#: more.
LOGGED_ATTEMPTS_LIMIT = 4
SERVER_ERROR = 500
#: Largest server error that is kept while other targets are asked, for the
#: case that these fail too.
KEPT_RESPONSE_BYTES = 64 * 1024
#: Label under which the answers of targets are counted for each workspace.
COUNTED_ANSWER = 'answered'
#: Bounds of Retry-After for a caller whose key may be newer than the version
#: of this daemon. An outdated daemon gets the newest version within about 2 s,
#: and an earlier retry may reach a daemon that is up to date.
KEY_RETRY_AFTER_S = (0.3, 1.0)
#: Bounds of the time in which the next process of a daemon begins to listen.
RESTART_S = (0.2, 0.6)

_Outcome = _messages.CallOutcome
_Reason = _messages.RefusalReason


#: Refusals after which a target receives no calls for a while.
_CLOSING_REASONS = frozenset(
    (_Reason.WRONG_TARGET, _Reason.TARGET_UNKNOWN, _Reason.LEAVING)
)
#: Error codes of requests that the target set had no capacity for in time.
_OVERLOAD_CODES = frozenset(
    (
        exceptions.Code.REQUEST_SHED,
        exceptions.Code.REQUEST_RATE_LIMITED,
        exceptions.Code.REQUEST_LATE,
    )
)
#: Refusals by a healthy target without capacity.
_OVERLOAD_REASONS = frozenset((_Reason.BUSY, _Reason.LINK_FULL, _Reason.SHED))


class Exchange:
    """One request of a caller of this host.

    Parameters
    ----------
    request : Request
        As received.
    state : RequestState
        Shared by all requests.
    """

    def __init__(self, request: transport.Request, state: _state.RequestState):
        self.request = request
        self.state = state
        self.loop = asyncio.get_running_loop()
        names = state.names
        self.request_id = base.RequestId(
            request.find(names.request_id.lower()) or ''
        )
        self.route: bundles.Route | None = None
        self.policy: bundles.Policy | None = None
        self.target_set = base.TargetSetName('')
        self.version = base.NO_VERSION
        self.deadline_s = 0.0
        self.goal_s = 0.0
        self.urgency = _messages.CallUrgency.FIRST
        self.is_early_retry = False
        #: Bounds of Retry-After, as shares of the time that the caller has
        #: left.
        self.retry_after_shares = overload.RETRY_AFTER_SHARES
        #: Whether it ended because its target set was overloaded.
        self.ended_overloaded = False
        #: The token taken from the quota of the workspace.
        self.token: quota.Permit | None = None
        self.stated_timeout_ms = 0
        #: Set once attempts begin.
        self.chooser: _chooser.TargetChooser | None = None
        self.arrivals = 0
        self.may_have_run = False
        self.attempts = _attempt.AttemptGroup(self.loop)
        self.last: _messages.CallAnswer | None = None
        #: Identity of the caller; `ANONYMOUS` when the bundle requires no
        #: keys.
        self.identity = access.ANONYMOUS
        #: Crash evidence against the request; set once the caller is known.
        self.request_status: _request_status.RequestStatus | None = None
        #: Whether a target refused because of its rate limit.
        self.is_rate_limited = False
        #: Whether no attempt was begun because this daemon would end first.
        self.outlasts_daemon = False
        self.answered: _messages.CallAnswer | None = None
        self.answered_by = base.HostId('')

    async def run(self) -> transport.Response:
        """Handle the request and return the answer to the caller."""
        await self.state.start.wait()
        snapshot = self.state.config.snapshot
        if snapshot is None:
            return self._refuse(exceptions.Code.REQUEST_NOT_READY)
        self.version = snapshot.version
        host = self.request.find('host') or ''
        self.route = bundles.find_route(
            snapshot,
            bundles.RequestHead(
                self.request.method,
                host.partition(':')[0].lower(),
                self.request.url.partition('?')[0],
                {},
            ),
        )
        if self.route is None:
            return self._refuse(exceptions.Code.REQUEST_NO_ROUTE)
        self.policy = snapshot.policies[self.route.policy]
        if snapshot.has_workspaces:
            self._identify(snapshot)
            if self.identity.code is not None:
                return self._refuse(self.identity.code)
        self.request_status = _request_status.RequestStatus(
            self.request, self.state.crashes
        )
        self.target_set = self.state.route_weights.choose(self.route)
        try:
            self._set_times()
        except ValueError:
            return self._refuse(exceptions.Code.REQUEST_MALFORMED)
        is_too_late = self.state.serving.is_too_late(self.deadline_s)
        if is_too_late or self._would_be_cut_off():
            # The body may have arrived slowly, or the request was pipelined.
            return self._refuse(exceptions.Code.REQUEST_LEAVING)
        if self.request_status.is_quarantined:
            return self._refuse(exceptions.Code.REQUEST_QUARANTINED)
        if not await self._take_token():
            return self._refuse(exceptions.Code.REQUEST_QUOTA)
        admission_call = self._make_admission_call()
        decision = self.state.admission.decide(admission_call, self._now_s)
        if not decision.is_admitted:
            return self._reject(decision)
        begun_s = self._now_s
        response = await self._serve()
        if self.ended_overloaded:
            self.state.admission.note_refused(admission_call, begun_s)
        return response

    async def _serve(self) -> transport.Response:
        """Make attempts until the request is answered or out of time."""
        self.chooser = self._make_chooser()
        limit = self.state.serving.limit(self.deadline_s)
        try:
            async with limit:
                with self.attempts:
                    return await self._run_attempts()
        except TimeoutError:
            if self.attempts:
                return self._refuse(exceptions.Code.REQUEST_LATE)
            return self._refuse_after_attempts()
        finally:
            self.state.serving.forget(limit)

    def _make_chooser(self) -> _chooser.TargetChooser:
        """Make the chooser of the targets of this request."""
        call = _chooser.CallParameters(
            self.target_set,
            self.route.name,
            len(self.request.body),
            self.urgency,
            self.deadline_s,
            self.goal_s,
        )
        search = _search.FreeSlotSearch(
            self.state.search_stats, call.target_set, call.body_bytes
        )
        return _chooser.TargetChooser(
            self.state, call, self.request_status, search
        )

    def _make_admission_call(self) -> overload.AdmissionRequest:
        """Make the input of the admission decision for the target set."""
        return overload.AdmissionRequest(
            self.target_set,
            self.request_id,
            self.state.peers.typical_work_ms(self.route.name),
            self.policy.priority,
            self.is_early_retry,
            self.identity.workspace,
            self.identity.priority,
            self.urgency is _messages.CallUrgency.TARGET,
        )

    def _reject(
        self, decision: overload.AdmissionDecision
    ) -> transport.Response:
        """Refuse a request that its target set has no capacity for."""
        self.retry_after_shares = overload.REJECTED_AFTER_SHARES
        code = exceptions.Code.REQUEST_SHED
        self.state.decisions.log_rejection(
            self.request_id,
            int(code),
            self.route.name,
            self.target_set,
            self.identity.workspace,
            decision,
            self.version,
        )
        return self._make_refusal(code)

    def _identify(self, snapshot: bundles.Snapshot) -> None:
        """Authenticate the caller, and remove the key from the request.

        The key is not forwarded: neither other daemons nor targets need it,
        and it must not get into their logs or stores.
        """
        request = self.request
        names = self.state.names
        workspace_field = names.workspace.lower()
        values, request.headers = access.strip_identity_fields(
            request.headers, workspace_field
        )
        if request.fields is not None:
            request.fields.pop(access.KEY_FIELD, None)
            request.fields.pop(workspace_field, None)
        self.identity = access.authenticate(
            snapshot,
            self.route.name,
            values,
            names.key_scheme,
            self.state.find_freshness(),
            self.state.revocation,
        )
        request.workspace = self.identity.workspace

    def _find_stated_ms(self) -> int:
        """Return the timeout that the caller states, or that of the policy."""
        text = self.request.find(self.state.names.deadline_ms.lower())
        return self.policy.timeout_ms if text is None else _parse_ms(text)

    def _set_times(self) -> None:
        """Set deadline and goal from the request head."""
        timeout_ms = self.policy.timeout_ms
        stated_ms = self._find_stated_ms()
        started_s = self.request.received_s
        self.deadline_s = started_s + min(timeout_ms, stated_ms) / 1000
        self.stated_timeout_ms = stated_ms
        origin = self.state.callers.note_call(
            self.route.name,
            stated_ms,
            started_s,
            self.state.target_client.latest_deadline_s,
        )
        self.urgency = origin.urgency
        self.is_early_retry = origin.is_early_retry
        goal_ms = self.policy.latency_goal_ms or timeout_ms
        self.goal_s = started_s + (goal_ms - origin.waited_ms) / 1000

    async def _take_token(self) -> bool:
        """Take a quota token of the workspace; return whether one was free."""
        quotas = self.state.quotas
        workspace = self.identity.workspace
        if not quotas.has_quota(workspace):
            return True
        self.token = quotas.take(workspace)
        if self.token is None:
            until_s = min(self.deadline_s, self.state.serving.end_s)
            self.token = await quotas.wait(workspace, until_s)
        return self.token is not None

    @property
    def _now_s(self) -> float:
        return self.loop.time()

    async def _run_attempts(self) -> transport.Response:
        """Start attempts and process their answers until one is final."""
        peer = self._choose()
        while True:
            if peer is not None:
                self._start(peer)
            if not self.attempts:
                return self._refuse_after_attempts()
            answer = await self._wait()
            if answer is None:
                # Silent attempts continue: their answers may still arrive.
                peer = self._choose_retry(True)
                continue
            self.last = answer
            if self._is_final(answer):
                return self._forward(answer)
            peer = self._choose_next(answer)
            if peer is not None or self.attempts:
                self._drop_large(answer)

    def _drop_large(self, answer: _messages.CallAnswer) -> None:
        """Drop a large response that is not final while others are awaited.

        It would be held beside the bound of all responses.
        """
        response = answer.response
        if response is None or len(response.body) <= KEPT_RESPONSE_BYTES:
            return
        answer.response = None
        if self.answered is answer:
            self.answered = None

    def _choose(self) -> _peers.Peer | None:
        """Choose the target of an attempt; None if it could not end."""
        self.outlasts_daemon = self._would_be_cut_off()
        return None if self.outlasts_daemon else self.chooser.choose()

    def _would_be_cut_off(self) -> bool:
        """Whether this daemon is likely to end before an attempt does."""
        return self.state.serving.would_cut_off(
            self.deadline_s,
            self._now_s,
            self.state.peers.call_times,
            self.route.name,
        )

    def _start(self, peer: _peers.Peer) -> None:
        """Start an attempt at a target."""
        if not self.chooser.asked_hosts:
            self.state.budget.note_request(self.target_set, self._now_s)
        self.chooser.record_attempt(peer.row.host)
        progress = _progress.AttemptProgress(peer.row.host, self._now_s)
        expected_ms = self.chooser.make_costs().make_offer(peer).expected_ms
        sent = self.state.sender.begin(
            peer, self._make_call(peer.row), progress
        )
        attempt = _attempt.Attempt(
            peer, sent, progress, self._now_s, expected_ms
        )
        self.attempts.add(attempt, self.route.repeatable)

    async def _wait(self) -> _messages.CallAnswer | None:
        """Wait for an answer; None when a target or daemon is silent."""
        attempt = await self.attempts.wait()
        if attempt is None:
            self._reset_sheds()
            return None
        answer = attempt.task.result()
        self._note_end_time(attempt, answer)
        self._note_signals(attempt, answer)
        self._learn(attempt.peer, answer)
        return answer

    def _note_end_time(
        self, attempt: _attempt.Attempt, answer: _messages.CallAnswer
    ) -> None:
        """Record the actual against the estimated duration of a call."""
        if answer.outcome is _Outcome.ANSWERED:
            elapsed_ms = (self._now_s - attempt.started_s) * 1000
            self.state.peers.end_times.note(
                self.route.name, attempt.expected_ms, elapsed_ms
            )
            if answer.response.status < SERVER_ERROR:
                # A target that fails at once does not work fast.
                self.state.peers.call_times.note(self.route.name, elapsed_ms)

    def _note_signals(
        self, attempt: _attempt.Attempt, answer: _messages.CallAnswer
    ) -> None:
        """Note what an answer of a target states about the target."""
        if answer.response is not None:
            self.state.peers.signals.note(
                attempt.peer.row.lifetime,
                _signals.decode_signals(answer.response, self.state.names),
                attempt.started_s,
                self._now_s,
            )

    def _reset_sheds(self) -> None:
        """Allow hosts again that shed the request before a long silence."""
        self.chooser.shed_refusals = 0
        self.chooser.tried = {
            attempt.peer.row.host for attempt in self.attempts
        }

    def _make_call(self, row: _messages.MemberRow) -> _messages.TargetCall:
        now_s = self._now_s
        # A result cannot be delivered after this daemon has ended.
        deadline_s = min(self.deadline_s, self.state.serving.end_s)
        call = _messages.TargetCall(
            request=self.request,
            request_id=self.request_id,
            target_set=self.target_set,
            target=row.target,
            route=self.route.name,
            origin=self.state.identity.target_set,
            priority=self.policy.priority,
            is_repeatable=self.route.repeatable,
            urgency=self.urgency,
            remaining_ms=max(0, int((deadline_s - now_s) * 1000)),
            goal_ms=self.chooser.find_goal_ms(now_s),
            version=self.version,
            may_wait=not self.chooser.search.is_on,
            workspace=self.identity.workspace,
            workspace_priority=self.identity.priority,
            rate_limit_per_s=self.state.peers.signals.find_rate_limit(row),
        )
        self.request_status.add_evidence(call)
        return call

    def _take_exposure_back(self) -> None:
        self.state.exposure.note_exposed(self.target_set, self.route.name, -1)

    def _learn(self, peer: _peers.Peer, answer: _messages.CallAnswer) -> None:
        """Update the state of the target and the request from an answer."""
        if answer.load is not None:
            self._learn_demand(peer, answer.load.demand_percent)
        if answer.reason is _Reason.BUSY:
            if peer is self.chooser.exposed:
                self._take_exposure_back()
            self.chooser.busy_refusals += 1
            self.chooser.search.note_busy(peer.row.host, answer.retry_after_ms)
            self.state.decisions.count_attempt(answer.reason)
            return
        self.request_status.update(answer)
        if answer.reached_target:
            self.arrivals += 1
            self.state.exposure.note_arrival(self.target_set, self.route.name)
        elif peer is self.chooser.exposed:
            self._take_exposure_back()
        if answer.outcome is not _Outcome.NOT_RUN:
            self.may_have_run = True
        if self.arrivals or self.may_have_run:
            self.chooser.search.end(True)
        if answer.outcome is _Outcome.ANSWERED:
            self.state.peers.note_answer(
                self.route.name, len(answer.response.body)
            )
            self.answered = answer
            self.answered_by = peer.row.host
        if answer.member is not None and self._may_retry_host(peer, answer):
            self.chooser.uncounted_hops += 1
            self.chooser.tried.discard(peer.row.host)
        elif answer.reason in _CLOSING_REASONS:
            peer.close(self._now_s, answer.reason)
            if answer.reason is _Reason.TARGET_UNKNOWN:
                self._uncount_hop()
        elif answer.reason is _Reason.ENDING:
            # Shorter work may still run there.
            peer.shed_until_s = self._now_s + answer.retry_after_ms / 1000
            self._uncount_hop()
        elif answer.reason is _Reason.SUSPECTED:
            # A suspect request may run on one target only: possibly this one.
            self.chooser.tried.discard(peer.row.host)
        elif answer.reason is _Reason.CONNECTION_LOST and answer.crashes:
            # The target has crashed; its row is updated a moment later.
            peer.close(self._now_s, _Reason.TARGET_UNKNOWN)
        elif answer.reason is _Reason.UNREACHABLE:
            self.chooser.was_unreachable = True
        elif answer.reason is _Reason.RATE_LIMITED:
            # Other targets of the set may have no limit.
            self.is_rate_limited = True
        elif answer.reason in _OVERLOAD_REASONS:
            self.chooser.shed_refusals += answer.reason is _Reason.SHED
            peer.shed_until_s = self._now_s + answer.retry_after_ms / 2000
        if answer.outcome is not _Outcome.ANSWERED:
            self.state.decisions.log_attempt(
                self.request_id,
                self.route.name,
                self.target_set,
                peer.row,
                answer,
                self._find_logged_fingerprint(),
            )

    def _uncount_hop(self) -> None:
        """Leave the last attempt out of the hops, unless many are."""
        self.chooser.uncounted_hops += (
            self.chooser.uncounted_hops < UNCOUNTED_HOPS_LIMIT
        )

    def _learn_demand(self, peer: _peers.Peer, demand_percent: int) -> None:
        """Record the demand that a target reports."""
        now_s = self._now_s
        self.state.admission.add_demand_report(
            self.target_set, demand_percent, now_s
        )
        self.state.centres.note(
            self.target_set, peer.row.data_centre, demand_percent, now_s
        )

    def _find_logged_fingerprint(self) -> base.Fingerprint | None:
        """Return the fingerprint of a request that may have run, for logs."""
        return (
            self.request_status.make_fingerprint()
            if self.may_have_run
            else None
        )

    def _may_retry_host(
        self, peer: _peers.Peer, answer: _messages.CallAnswer
    ) -> bool:
        """Apply the row in a refusal; return whether to ask the host again."""
        member = answer.member
        self.state.apply_reported_row(member)
        is_other = member.lifetime != peer.row.lifetime
        return is_other and self.chooser.uncounted_hops < UNCOUNTED_HOPS_LIMIT

    def _is_final(self, answer: _messages.CallAnswer) -> bool:
        """Whether the answer goes to the caller as it is."""
        if answer.outcome is not _Outcome.ANSWERED:
            return False
        if answer.response.status < SERVER_ERROR or not self.route.repeatable:
            return True
        # A server error may be specific to the target.
        return not self.attempts and not self._may_retry()

    def _choose_next(self, answer: _messages.CallAnswer) -> _peers.Peer | None:
        """Choose the next target after an answer that is not final."""
        if self.request_status.is_quarantined:
            return None
        is_not_run = answer.outcome is _Outcome.NOT_RUN
        if is_not_run and not answer.reached_target:
            # Nothing reached a target, so that the next attempt counts neither
            # towards the limit of attempts nor towards the retry budget.
            return (
                self._choose()
                if self.chooser.shed_refusals < SHEDS_LIMIT
                else None
            )
        if is_not_run or self.route.repeatable:
            return self._choose_retry(not is_not_run)
        return None

    def _choose_retry(self, has_run: bool) -> _peers.Peer | None:
        """Choose the target of a retry if attempts and budget allow one."""
        if not self._may_retry():
            return None
        peer = self._choose()
        if peer is None or not self._spend_retry(has_run):
            return None
        return peer

    def _may_retry(self) -> bool:
        under_way = len(self.attempts)
        return self.arrivals + under_way < self.policy.attempts

    def _spend_retry(self, has_run: bool) -> bool:
        """Take a retry from the budget; return whether it allows one.

        A retry of a request that may have run is limited to a smaller share of
        the budget, since it repeats the calls that the first run made.
        """
        limits = self.state.mesh_settings
        share = 1.0
        if has_run:
            # Avoid division by zero: both settings are 0 without retries.
            whole_percent = max(1, limits.retry_share_percent)
            share = min(1.0, limits.rerun_share_percent / whole_percent)
        return self.state.budget.take(self.target_set, self._now_s, share)

    # Answers to the caller.

    def _forward(self, answer: _messages.CallAnswer) -> transport.Response:
        response = answer.response
        self.state.workspace_counts.count(
            self.identity.workspace, COUNTED_ANSWER
        )
        self.state.decisions.log_success(
            self.request_id,
            self.route.name,
            self.target_set,
            self.answered_by,
            response.status,
            self._elapsed_ms(),
            self.version,
        )
        headers = transport.strip_hop_headers(response.headers)
        return transport.Response(
            response.status, headers, response.body, response.reason
        )

    def _refuse_after_attempts(self) -> transport.Response:
        """Make the answer to a request whose attempts are exhausted."""
        if self.answered is not None:
            return self._forward(self.answered)
        if self.may_have_run:
            return self._refuse(exceptions.Code.REQUEST_UNKNOWN)
        if self.request_status.is_quarantined:
            return self._refuse(exceptions.Code.REQUEST_QUARANTINED)
        if self.outlasts_daemon:
            return self._refuse(exceptions.Code.REQUEST_LEAVING)
        if self.last is None:
            return self._refuse(exceptions.Code.REQUEST_NO_TARGET)
        if self.is_rate_limited and not self.chooser.shed_refusals:
            return self._refuse(exceptions.Code.REQUEST_RATE_LIMITED)
        if self.last.reason in _OVERLOAD_REASONS:
            return self._refuse(exceptions.Code.REQUEST_SHED)
        return self._refuse(exceptions.Code.REQUEST_NOT_RUN)

    def _refuse(self, code: exceptions.Code) -> transport.Response:
        self.ended_overloaded = code in _OVERLOAD_CODES
        self.state.decisions.log_refusal(
            self.request_id,
            int(code),
            self.route.name if self.route else _messages.NO_ROUTE,
            self.target_set,
            tuple(self.chooser.asked_hosts) if self.chooser else (),
            self.describe_attempts(),
            self.last,
            self._elapsed_ms(),
            self.version,
            self.request_status.fingerprint if self.request_status else None,
            self.identity.key_head,
        )
        return self._make_refusal(code)

    def _make_refusal(self, code: exceptions.Code) -> transport.Response:
        if self.token is not None and not _refusal.may_have_run(code):
            self.state.quotas.give_back(self.token)
        self.state.workspace_counts.count(
            self.identity.workspace, f'refused {int(code)}'
        )
        return _refusal.make_refusal(
            code,
            self.state.names.request_id,
            self.request_id,
            self._find_retry_after_s(code),
            self.state.names.key_scheme,
        )

    def describe(self) -> str:
        """Describe the age of the request and its attempts in flight."""
        attempts = '; '.join(self.describe_attempts()) or 'no attempt'
        return f'{self._elapsed_ms()} ms, {attempts}'

    def describe_attempts(self) -> list[str]:
        """Describe the progress of each attempt in flight."""
        now_s = self._now_s
        return [
            attempt.progress.describe(now_s)
            for attempt in itertools.islice(
                self.attempts, LOGGED_ATTEMPTS_LIMIT
            )
        ]

    def _find_retry_after_s(self, code: exceptions.Code) -> float:
        """Return the time after which a refused caller should retry."""
        if code is exceptions.Code.REQUEST_QUARANTINED:
            # An earlier retry would only be refused again.
            return self.request_status.find_wait_s()
        if code is exceptions.Code.REQUEST_KEY_UNSURE:
            return self.state.rng.uniform(*KEY_RETRY_AFTER_S)
        if code is exceptions.Code.REQUEST_QUOTA:
            return self.state.quotas.find_retry_after_s(
                self.identity.workspace
            )
        if code is exceptions.Code.REQUEST_LEAVING:
            # The next process listens only once this one has ended.
            left_ms = self.state.serving.find_left_ms(self._now_s)
            return left_ms / 1000 + self.state.rng.uniform(*RESTART_S)
        limits = self.state.mesh_settings
        left_ms = self.stated_timeout_ms - self._elapsed_ms()
        share = self.state.rng.uniform(*self.retry_after_shares)
        pause_ms = max(limits.least_retry_after_ms, share * left_ms)
        pause_ms = min(pause_ms, limits.longest_retry_after_ms)
        if code in _OVERLOAD_CODES:
            # An earlier retry would only be refused again.
            pause_ms += self.state.peers.find_rate_wait_ms(
                self.state.fleet.ready_by_set.get(self.target_set, ()),
                self._now_s,
            )
        return pause_ms / 1000

    def _elapsed_ms(self) -> int:
        return int((self._now_s - self.request.received_s) * 1000)


def _parse_ms(text: str) -> int:
    """Parse a stated timeout in milliseconds.

    Only ASCII digits are accepted, so that all readers parse the same value.

    Raises
    ------
    ValueError
        When it is anything else, or above `MAX_DEADLINE_MS`.
    """
    if not (text.isascii() and text.isdigit()):
        raise ValueError(text)
    stated_ms = int(text)
    if stated_ms > MAX_DEADLINE_MS:
        raise ValueError(text)
    return stated_ms

"""One request of a caller: route, target, attempts, and what is told."""

import asyncio

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
from sedgering.mesh import _search
from sedgering.mesh import _standing
from sedgering.mesh import _state
from sedgering import overload
from sedgering import quota
from sedgering import transport

__all__ = ['Exchange']

#: Deadline of a request that states none is that of its route.
MAX_DEADLINE_MS = 3_600_000
#: Hosts that may name another target, and are asked again with it, or have
#: none that listens, beyond the usual limit of hosts: such a refusal takes a
#: round trip of 3 ms.  With four of six targets gone a caller was refused
#: though two could have served it.
CORRECTIONS_LIMIT = 8
#: Gates that may refuse a request before it is given up.
SHEDS_LIMIT = 2
#: Most attempts under way that a line names; few routes allow more.
ATTEMPTS_TOLD_LIMIT = 4
SERVER_ERROR = 500
#: Kind under which answers of targets are counted by workspace.
COUNTED_ANSWER = 'answered'
#: Bounds of the time after which a caller returns whose key may be new: a
#: daemon that lags behind has the newest version within some 2 s, and the
#: caller may meet another one before.
UNSURE_PAUSES_S = (0.3, 1.0)

_Outcome = _messages.CallOutcome
_Reason = _messages.RefusalReason


#: Refusals after which a target gets nothing for a while.
_CLOSING_REASONS = frozenset(
    (_Reason.WRONG_TARGET, _Reason.TARGET_UNKNOWN, _Reason.LEAVING)
)
#: Ends of a request by which its target set had no room for it in time.
_NO_ROOM_CODES = frozenset(
    (exceptions.Code.REQUEST_SHED, exceptions.Code.REQUEST_LATE)
)
#: Refusals by which a target is well, and has no room.
_FULL_REASONS = frozenset((_Reason.BUSY, _Reason.LINK_FULL, _Reason.SHED))


class Exchange:
    """One request of a caller of this host."""

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
        self.is_hasty = False
        #: Bounds of when it is told to come back, of the time that is left.
        self.pause_shares = overload.RETRY_AFTER_SHARES
        #: Whether it ended for want of room at its target set.
        self.found_no_room = False
        #: Taken from the quota of the workspace.
        self.token: quota.Permit | None = None
        self.caller_left_ms = 0
        #: From when its target set is asked.
        self.chooser: _chooser.TargetChooser | None = None
        self.arrivals = 0
        self.may_have_run = False
        self.attempts: list[_attempt.Attempt] = []
        #: Done when any of them has news.
        self._news: asyncio.Future = self.loop.create_future()
        self.last: _messages.CallAnswer | None = None
        #: Who asks; nobody where the bundle asks for no keys.
        self.identity = access.NOBODY
        #: Known from when it is known who asks.
        self.standing: _standing.KnownRequest | None = None
        self.answered: _messages.CallAnswer | None = None
        self.answered_by = base.HostId('')

    async def run(self) -> transport.Response:
        """Answer the request."""
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
        self.standing = _standing.KnownRequest(
            self.request, self.state.crashes
        )
        self.target_set = self.state.turns.choose(self.route)
        try:
            self._set_times()
        except ValueError:
            return self._refuse(exceptions.Code.REQUEST_MALFORMED)
        if self.state.serving.would_break_off(self.deadline_s):
            # A body that came slowly, or a request sent ahead.
            return self._refuse(exceptions.Code.REQUEST_LEAVING)
        if self.standing.is_quarantined:
            return self._refuse(exceptions.Code.REQUEST_QUARANTINED)
        if not await self._take_token():
            return self._refuse(exceptions.Code.REQUEST_QUOTA)
        asked = self._make_asked()
        verdict = self.state.levels.judge(asked, self._now_s)
        if not verdict.is_admitted:
            return self._reject(verdict)
        begun_s = self._now_s
        response = await self._serve()
        if self.found_no_room:
            self.state.levels.note_refused(asked, begun_s)
        return response

    async def _serve(self) -> transport.Response:
        """Ask targets for as long as the request has time."""
        self.chooser = self._make_chooser()
        limit = self.state.serving.limit(self.deadline_s)
        try:
            async with limit:
                return await self._attempt_all()
        except TimeoutError:
            if self.attempts:
                return self._refuse(exceptions.Code.REQUEST_LATE)
            return self._refuse_after()
        finally:
            self.state.serving.forget(limit)

    def _make_chooser(self) -> _chooser.TargetChooser:
        """Make what chooses where the request goes."""
        call = _chooser.ChosenCall(
            self.target_set,
            self.route.name,
            len(self.request.body),
            self.urgency,
            self.deadline_s,
            self.goal_s,
        )
        search = _search.Search(
            self.state.places, call.target_set, call.body_bytes
        )
        return _chooser.TargetChooser(self.state, call, self.standing, search)

    def _make_asked(self) -> overload.AskedCall:
        """Make what decides whether its target set has room for it."""
        return overload.AskedCall(
            self.target_set,
            self.request_id,
            self.state.peers.typical_work_ms(self.route.name),
            self.policy.priority,
            self.is_hasty,
            self.identity.workspace,
            self.identity.priority,
            self.urgency is _messages.CallUrgency.TARGET,
        )

    def _reject(self, verdict: overload.Verdict) -> transport.Response:
        """Refuse at once what its target set cannot serve."""
        self.pause_shares = overload.REJECTED_AFTER_SHARES
        code = exceptions.Code.REQUEST_SHED
        self.state.decisions.log_rejection(
            self.request_id,
            int(code),
            self.route.name,
            self.target_set,
            self.identity.workspace,
            verdict,
            self.version,
        )
        return self._make_refusal(code)

    def _identify(self, snapshot: bundles.Snapshot) -> None:
        """Find out who asks, and take the key off the request.

        The key ends here: neither other daemons nor targets need it, and what
        they were to log or keep would hold it.
        """
        request = self.request
        names = self.state.names
        workspace_field = names.workspace.lower()
        values, request.headers = access.take_claims(
            request.headers, workspace_field
        )
        if request.fields is not None:
            request.fields.pop(access.KEY_FIELD, None)
            request.fields.pop(workspace_field, None)
        self.identity = access.identify(
            snapshot,
            self.route.name,
            values,
            names.key_scheme,
            self.state.find_currency(),
            self.state.revocation,
        )
        request.workspace = self.identity.workspace

    def _find_stated_ms(self) -> int:
        """Return for how long the caller says that it waits."""
        text = self.request.find(self.state.names.deadline_ms.lower())
        return self.policy.timeout_ms if text is None else _parse_ms(text)

    def _set_times(self) -> None:
        """Set deadline and goal from the head of the request."""
        timeout_ms = self.policy.timeout_ms
        stated_ms = self._find_stated_ms()
        started_s = self.request.received_s
        self.deadline_s = started_s + min(timeout_ms, stated_ms) / 1000
        self.caller_left_ms = stated_ms
        origin = self.state.callers.note_call(
            self.route.name,
            stated_ms,
            started_s,
            self.state.side.latest_deadline_s,
        )
        self.urgency = origin.urgency
        self.is_hasty = origin.is_hasty
        goal_ms = self.policy.latency_goal_ms or timeout_ms
        self.goal_s = started_s + (goal_ms - origin.waited_ms) / 1000

    async def _take_token(self) -> bool:
        """Take a token of the workspace; say whether it may go on."""
        quotas = self.state.quotas
        workspace = self.identity.workspace
        if not quotas.is_counted(workspace):
            return True
        self.token = quotas.take(workspace)
        if self.token is None:
            until_s = min(self.deadline_s, self.state.serving.end_s)
            self.token = await quotas.wait(workspace, until_s)
        return self.token is not None

    @property
    def _now_s(self) -> float:
        return self.loop.time()

    async def _attempt_all(self) -> transport.Response:
        """Ask targets until one answers."""
        try:
            return await self._drive()
        finally:
            for attempt in self.attempts:
                attempt.task.cancel()

    async def _drive(self) -> transport.Response:
        """Start attempts as they are needed, and take their answers in."""
        peer = self.chooser.choose()
        while True:
            if peer is not None:
                self._start(peer)
            if not self.attempts:
                return self._refuse_after()
            answer = await self._wait()
            if answer is None:
                # The silent ones go on: their answers may come yet.
                peer = self._choose_repeat(True)
                continue
            self.last = answer
            if self._is_final(answer):
                return self._pass_on(answer)
            peer = self._choose_next(answer)

    def _start(self, peer: _peers.Peer) -> None:
        """Start an attempt at a target."""
        if not self.chooser.asked:
            self.state.budget.note_request(self.target_set, self._now_s)
        self.chooser.note_asked(peer.row.host)
        progress = _progress.AttemptProgress(peer.row.host, self._now_s)
        expected_ms = self.chooser.make_costs().make_offer(peer).expected_ms
        sent = self.state.sender.begin(
            peer, self._make_call(peer.row), progress
        )
        attempt = _attempt.Attempt(peer, sent, progress)
        attempt.started_s = self._now_s
        attempt.expected_ms = expected_ms
        attempt.task.add_done_callback(self._note_news)
        if self.route.repeatable:
            attempt.watch_silence()
            attempt.silence.add_done_callback(self._note_news)
        self.attempts.append(attempt)

    async def _wait(self) -> _messages.CallAnswer | None:
        """Wait for an answer; None when a target or daemon is silent."""
        while not any(attempt.has_news for attempt in self.attempts):
            self._news = self.loop.create_future()
            await self._news
        for attempt in self.attempts:
            if attempt.task.done():
                self.attempts.remove(attempt)
                attempt.forget_silence()
                answer = attempt.task.result()
                self._note_end_time(attempt, answer)
                self._learn(attempt.peer, answer)
                return answer
        for attempt in self.attempts:
            if attempt.is_silent:
                attempt.watch_silence()
                attempt.silence.add_done_callback(self._note_news)
        self._forget_sheds()
        return None

    def _note_end_time(
        self, attempt: _attempt.Attempt, answer: _messages.CallAnswer
    ) -> None:
        """Learn how far off the estimate of an answered call was."""
        if answer.outcome is _Outcome.ANSWERED:
            elapsed_ms = (self._now_s - attempt.started_s) * 1000
            self.state.peers.end_times.note(
                self.route.name, attempt.expected_ms, elapsed_ms
            )

    def _forget_sheds(self) -> None:
        """Let gates be asked again that were full before a long silence."""
        self.chooser.sheds = 0
        self.chooser.tried = {
            attempt.peer.row.host for attempt in self.attempts
        }

    def _note_news(self, _future: asyncio.Future) -> None:
        """Wake up: an attempt has ended, or is silent for too long."""
        if not self._news.done():
            self._news.set_result(None)

    def _make_call(self, row: _messages.MemberRow) -> _messages.TargetCall:
        now_s = self._now_s
        # Work that ends after this daemon would be done for nobody.
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
        )
        self.standing.tell(call)
        return call

    def _learn(self, peer: _peers.Peer, answer: _messages.CallAnswer) -> None:
        """Remember what an answer tells of its target."""
        if answer.load is not None:
            self._learn_demand(peer, answer.load.demand_percent)
        if answer.reason is _Reason.BUSY:
            if peer is self.chooser.exposed:
                self.state.exposure.note_exposed(self.target_set, -1)
            self.chooser.busy_answers += 1
            self.chooser.search.note_busy(peer.row.host, answer.retry_after_ms)
            self.state.decisions.count_attempt(answer.reason)
            return
        self.standing.note(answer)
        if answer.reached_target:
            self.arrivals += 1
            self.state.exposure.note_arrival(self.target_set)
        elif peer is self.chooser.exposed:
            self.state.exposure.note_exposed(self.target_set, -1)
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
        if answer.member is not None and self._may_ask_again(peer, answer):
            self.chooser.corrections += 1
            self.chooser.tried.discard(peer.row.host)
        elif answer.reason in _CLOSING_REASONS:
            peer.close(self._now_s, answer.reason)
            if answer.reason is _Reason.TARGET_UNKNOWN:
                self.chooser.corrections += (
                    self.chooser.corrections < CORRECTIONS_LIMIT
                )
        elif answer.reason is _Reason.SUSPECTED:
            # It may be the place where the request may run.
            self.chooser.tried.discard(peer.row.host)
        elif answer.reason is _Reason.CONNECTION_LOST and answer.crashes:
            # Its target has ended; its row tells so a moment later.
            peer.close(self._now_s, _Reason.TARGET_UNKNOWN)
        elif answer.reason is _Reason.UNREACHABLE:
            self.chooser.was_unreachable = True
        elif answer.reason in _FULL_REASONS:
            self.chooser.sheds += answer.reason is _Reason.SHED
            peer.shed_until_s = self._now_s + answer.retry_after_ms / 2000
        if answer.outcome is not _Outcome.ANSWERED:
            self.state.decisions.log_attempt(
                self.request_id,
                self.route.name,
                self.target_set,
                peer.row,
                answer,
                self._find_lost(),
            )

    def _learn_demand(self, peer: _peers.Peer, demand_percent: int) -> None:
        """Remember what a gate tells of the demand on it."""
        now_s = self._now_s
        self.state.levels.take_demand(self.target_set, demand_percent, now_s)
        self.state.centres.note(
            self.target_set, peer.row.data_centre, demand_percent, now_s
        )

    def _find_lost(self) -> base.Fingerprint | None:
        """Return what tells repeats of a request that may have run."""
        return self.standing.make_fingerprint() if self.may_have_run else None

    def _may_ask_again(
        self, peer: _peers.Peer, answer: _messages.CallAnswer
    ) -> bool:
        """Believe a host about its target; say whether to ask it again."""
        told = answer.member
        self.state.take_told(told)
        is_other = told.lifetime != peer.row.lifetime
        return is_other and self.chooser.corrections < CORRECTIONS_LIMIT

    def _is_final(self, answer: _messages.CallAnswer) -> bool:
        """Whether the answer goes to the caller as it is."""
        if answer.outcome is not _Outcome.ANSWERED:
            return False
        if answer.response.status < SERVER_ERROR or not self.route.repeatable:
            return True
        # A failure of the target's own may pass at another one.
        return not self.attempts and not self._may_send_again()

    def _choose_next(self, answer: _messages.CallAnswer) -> _peers.Peer | None:
        """Choose where to go on after an answer that is not final."""
        if self.standing.is_quarantined:
            return None
        is_not_run = answer.outcome is _Outcome.NOT_RUN
        if is_not_run and not answer.reached_target:
            # Nothing arrived at a target: neither attempts nor the
            # retry budget are touched.
            return (
                self.chooser.choose()
                if self.chooser.sheds < SHEDS_LIMIT
                else None
            )
        if is_not_run or self.route.repeatable:
            return self._choose_repeat(not is_not_run)
        return None

    def _choose_repeat(self, has_run: bool) -> _peers.Peer | None:
        """Choose where to send again, if that is allowed, and pay for it."""
        if not self._may_send_again():
            return None
        peer = self.chooser.choose()
        if peer is None or not self._spend(has_run):
            return None
        return peer

    def _may_send_again(self) -> bool:
        under_way = len(self.attempts)
        return self.arrivals + under_way < self.policy.attempts

    def _spend(self, has_run: bool) -> bool:
        """Spend a retry; what has run repeats the calls that it made."""
        limits = self.state.mesh_settings
        share = 1.0
        if has_run:
            # With no retries at all, both shares are of nothing.
            whole_percent = max(1, limits.retry_share_percent)
            share = min(1.0, limits.rerun_share_percent / whole_percent)
        return self.state.budget.take(self.target_set, self._now_s, share)

    # What the caller is told.

    def _pass_on(self, answer: _messages.CallAnswer) -> transport.Response:
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

    def _refuse_after(self) -> transport.Response:
        """Tell what is known after the last attempt."""
        if self.answered is not None:
            return self._pass_on(self.answered)
        if self.may_have_run:
            return self._refuse(exceptions.Code.REQUEST_UNKNOWN)
        if self.standing.is_quarantined:
            return self._refuse(exceptions.Code.REQUEST_QUARANTINED)
        if self.last is None:
            return self._refuse(exceptions.Code.REQUEST_NO_TARGET)
        if self.last.reason in _FULL_REASONS:
            return self._refuse(exceptions.Code.REQUEST_SHED)
        return self._refuse(exceptions.Code.REQUEST_NOT_RUN)

    def _refuse(self, code: exceptions.Code) -> transport.Response:
        self.found_no_room = code in _NO_ROOM_CODES
        self.state.decisions.log_refusal(
            self.request_id,
            int(code),
            self.route.name if self.route else _messages.NO_ROUTE,
            self.target_set,
            tuple(self.chooser.asked) if self.chooser else (),
            self.describe_attempts(),
            self.last,
            self._elapsed_ms(),
            self.version,
            self.standing.fingerprint if self.standing else None,
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
            self._find_pause_s(code),
            self.state.names.key_scheme,
        )

    def describe(self) -> str:
        """Say for how long it has been under way, and what it waits for."""
        attempts = '; '.join(self.describe_attempts()) or 'no attempt'
        return f'{self._elapsed_ms()} ms, {attempts}'

    def describe_attempts(self) -> list[str]:
        """Say of each attempt under way where it is."""
        now_s = self._now_s
        return [
            attempt.progress.describe(now_s)
            for attempt in self.attempts[:ATTEMPTS_TOLD_LIMIT]
        ]

    def _find_pause_s(self, code: exceptions.Code) -> float:
        """Return when a refused caller should come back."""
        if code is exceptions.Code.REQUEST_QUARANTINED:
            # Sooner it would only be refused again.
            return self.standing.find_wait_s()
        if code is exceptions.Code.REQUEST_KEY_UNSURE:
            return self.state.rng.uniform(*UNSURE_PAUSES_S)
        if code is exceptions.Code.REQUEST_QUOTA:
            return self.state.quotas.find_pause_s(self.identity.workspace)
        limits = self.state.mesh_settings
        left_ms = self.caller_left_ms - self._elapsed_ms()
        share = self.state.rng.uniform(*self.pause_shares)
        pause_ms = max(limits.least_retry_after_ms, share * left_ms)
        return min(pause_ms, limits.longest_retry_after_ms) / 1000

    def _elapsed_ms(self) -> int:
        return int((self._now_s - self.request.received_s) * 1000)


def _parse_ms(text: str) -> int:
    """Read a stated time: digits only, as other readers would take it.

    Raises
    ------
    ValueError
        When it is anything else, or beyond all reason.
    """
    if not (text.isascii() and text.isdigit()):
        raise ValueError(text)
    stated_ms = int(text)
    if stated_ms > MAX_DEADLINE_MS:
        raise ValueError(text)
    return stated_ms

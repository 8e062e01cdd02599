"""Calls between daemons: our own header fields over HTTP/1.1.

Fields that start with the prefix belong to the daemons; they are removed
from what callers and targets send.
"""

from collections.abc import Iterable

import msgspec

from sedgering import base
from sedgering.mesh import _crash_records
from sedgering.mesh import _messages
from sedgering import transport

__all__ = [
    'HopError',
    'decode_answer',
    'decode_call',
    'encode_answer',
    'encode_call',
    'encode_ping',
    'is_call',
    'is_ping',
    'strip_own',
]

PREFIX = 'sedgering-'
CALL = 'sedgering-call'
OUTCOME = 'sedgering-outcome'
LOAD = 'sedgering-load'
#: Apart from the load, which daemons of the version before read by its
#: exact number of fields.
NESTED = 'sedgering-nested'
#: Apart for the same reason.
ANSWER_WAIT = 'sedgering-answer-wait'
#: Share of calls that its target failed; left out where it is zero.
FAILED = 'sedgering-failed'
#: How long work takes at the moment, and what is asked of the gate; left out
#: where it is not known.
SLOWNESS = 'sedgering-slowness'
DEMAND = 'sedgering-demand'
#: The workspace that asks and its priority, where there is one.
WORKSPACE = 'sedgering-workspace'
#: The row that holds, with a refusal of a call to another target.
MEMBER = 'sedgering-member'
PING = 'sedgering-ping'
#: Set where a call is only to have a free place.
FREE_PLACE = 'sedgering-free-place'
#: Set where a call may run although targets have ended under it.
TRIAL = 'sedgering-trial'
#: Ends of targets under a request: those that speak no more against it, and
#: those that do, in calls and in answers.
FORGIVEN = 'sedgering-forgiven'
CRASHES = 'sedgering-crashes'
#: The reason, where daemons of the version before do not know it.
REASON = 'sedgering-reason'
SEPARATOR = '|'
#: Between the ids of ends, which hold no spaces.
ID_SEPARATOR = ' '
#: Before the id of an end under which a request ran as a suspect.
TRIAL_MARK = 'trial:'
#: Numbers of the load field.
LOAD_FIELDS = 6
#: Reasons that daemons of the version before read as a call that came to
#: nothing, and that may be sent elsewhere.
_NEW_REASONS = frozenset(
    (
        _messages.RefusalReason.SUSPECTED,
        _messages.RefusalReason.QUARANTINED,
    )
)


class HopError(Exception):
    """A message between daemons that cannot be read."""


def strip_own(headers: transport.Headers) -> transport.Headers:
    """Remove the fields that belong to the daemons."""
    return [item for item in headers if not item[0].lower().startswith(PREFIX)]


def _strip(headers: transport.Headers) -> transport.Headers:
    """Remove the daemons' own fields, and those of one connection only."""
    return transport.strip_hop_headers(headers, prefix=PREFIX)


def encode_call(call: _messages.TargetCall) -> bytes:
    """Encode a call for the daemon beside its target."""
    request = call.request
    fields = (
        call.request_id,
        call.target_set,
        call.target,
        call.route,
        call.origin,
        str(call.priority),
        str(int(call.is_repeatable)),
        str(int(call.urgency)),
        str(call.remaining_ms),
        str(call.goal_ms),
        str(call.version),
    )
    headers = _strip(request.headers)
    headers.append((CALL, SEPARATOR.join(fields)))
    if not call.may_wait:
        headers.append((FREE_PLACE, '1'))
    if call.is_trial:
        headers.append((TRIAL, '1'))
    if call.crashes:
        headers.append((CRASHES, _encode_evidence(call.crashes)))
    if call.forgiven:
        headers.append((FORGIVEN, ID_SEPARATOR.join(call.forgiven)))
    if call.workspace:
        value = f'{call.workspace_priority}{SEPARATOR}{call.workspace}'
        headers.append((WORKSPACE, value))
    return transport.encode_request(request, headers)


def decode_call(request: transport.Request) -> _messages.TargetCall:
    """Decode a call.

    Raises
    ------
    HopError
        When it does not come from a daemon.
    """
    value = request.find(CALL)
    fields = (value or '').split(SEPARATOR)
    try:
        (request_id, target_set, target, route, origin) = fields[:5]
        numbers = [int(field) for field in fields[5:]]
        (priority, repeatable, urgency, remaining_ms, goal_ms, version) = (
            numbers
        )
        workspace, workspace_priority = _decode_workspace(request)
    except ValueError as error:
        raise HopError(f'call: {value!r}') from error
    may_wait = request.find(FREE_PLACE) is None
    is_trial = request.find(TRIAL) is not None
    crashes = _decode_evidence(request.find(CRASHES))
    forgiven = _split_ids(request.find(FORGIVEN))
    request.headers = strip_own(request.headers)
    request.workspace = workspace
    return _messages.TargetCall(
        request=request,
        request_id=base.RequestId(request_id),
        target_set=base.TargetSetName(target_set),
        target=base.TargetName(target),
        route=base.RouteName(route),
        origin=base.TargetSetName(origin),
        priority=priority,
        is_repeatable=bool(repeatable),
        urgency=_messages.CallUrgency(urgency),
        remaining_ms=remaining_ms,
        goal_ms=goal_ms,
        version=base.Version(version),
        may_wait=may_wait,
        is_trial=is_trial,
        crashes=crashes,
        forgiven=forgiven,
        workspace=workspace,
        workspace_priority=workspace_priority,
    )


def _decode_workspace(
    request: transport.Request,
) -> tuple[base.WorkspaceName, int]:
    value = request.find(WORKSPACE)
    if value is None:
        return base.NO_WORKSPACE, 0
    priority, _separator, name = value.partition(SEPARATOR)
    return base.WorkspaceName(name), int(priority)


def _split_ids(value: str | None) -> tuple[_crash_records.CrashId, ...]:
    return tuple(map(_crash_records.CrashId, (value or '').split()))


def _encode_evidence(crashes: Iterable[_crash_records.CrashEvidence]) -> str:
    return ID_SEPARATOR.join(
        f'{TRIAL_MARK if item.was_trial else ""}{item.crash}'
        for item in crashes
    )


def _decode_evidence(
    value: str | None,
) -> tuple[_crash_records.CrashEvidence, ...]:
    return tuple(
        _crash_records.CrashEvidence(
            _crash_records.CrashId(text.removeprefix(TRIAL_MARK)),
            text.startswith(TRIAL_MARK),
        )
        for text in _split_ids(value)
    )


def encode_ping() -> bytes:
    """Encode a request that only asks whether a daemon lives."""
    headers = [('Host', 'peer'), (PING, '1')]
    return transport.encode_request(transport.Request('GET', '/', headers))


def is_ping(request: transport.Request) -> bool:
    """Say whether a daemon only asks whether this one lives."""
    return request.find(PING) is not None


def is_call(request: transport.Request) -> bool:
    """Say whether a daemon sends a call to the target."""
    return request.find(CALL) is not None


def encode_answer(answer: _messages.CallAnswer) -> transport.Response:
    """Make the response that tells a daemon how a call ended."""
    response = answer.response or transport.Response(503, [])
    headers = _strip(response.headers)
    reason = answer.reason
    if reason in _NEW_REASONS:
        headers.append((REASON, reason.value))
        reason = _messages.RefusalReason.SHED
    outcome = (
        answer.outcome.value,
        reason.value,
        str(answer.retry_after_ms),
        str(int(answer.reached_target)),
        answer.detail[:100].replace('\r', ' ').replace('\n', ' '),
    )
    headers.append((OUTCOME, SEPARATOR.join(outcome)))
    if answer.load is not None:
        load = answer.load
        numbers = msgspec.structs.astuple(load)[:LOAD_FIELDS]
        headers.append((LOAD, SEPARATOR.join(map(str, numbers))))
        if load.waiting_nested:
            headers.append((NESTED, str(load.waiting_nested)))
        if load.answer_wait_ms:
            headers.append((ANSWER_WAIT, str(load.answer_wait_ms)))
        if load.failed_percent:
            headers.append((FAILED, str(load.failed_percent)))
        if load.slowness_percent:
            headers.append((SLOWNESS, str(load.slowness_percent)))
        if load.demand_percent:
            headers.append((DEMAND, str(load.demand_percent)))
    if answer.crashes:
        headers.append((CRASHES, _encode_evidence(answer.crashes)))
    if answer.member is not None:
        encoded = msgspec.json.encode(answer.member)
        headers.append((MEMBER, encoded.decode('latin-1')))
    return transport.Response(
        response.status, headers, response.body, response.reason
    )


def decode_answer(response: transport.Response) -> _messages.CallAnswer:
    """Decode the response of another daemon.

    Raises
    ------
    HopError
        When it does not come from a daemon.
    """
    value = response.find(OUTCOME)
    fields = (value or '').split(SEPARATOR, 4)
    try:
        outcome = _messages.CallOutcome(fields[0])
        reason = _messages.RefusalReason(response.find(REASON) or fields[1])
        retry_after_ms, reached = int(fields[2]), bool(int(fields[3]))
        detail = fields[4]
        load = _decode_load(response)
        member = _decode_member(response)
    except (ValueError, IndexError, msgspec.MsgspecError) as error:
        raise HopError(f'answer: {value!r}') from error
    answer = _messages.CallAnswer(
        outcome,
        None,
        reason,
        retry_after_ms,
        load,
        reached,
        member,
        detail,
        _decode_evidence(response.find(CRASHES)),
    )
    if outcome is _messages.CallOutcome.ANSWERED:
        response.headers = strip_own(response.headers)
        answer.response = response
    return answer


def _decode_member(
    response: transport.Response,
) -> _messages.MemberRow | None:
    value = response.find(MEMBER)
    if value is None:
        return None
    return msgspec.json.decode(
        value.encode('latin-1'), type=_messages.MemberRow
    )


def _decode_load(response: transport.Response) -> _messages.LoadReport | None:
    value = response.find(LOAD)
    if value is None:
        return None
    running, waiting, limit, work_ms, route_work_ms, link_percent = map(
        int, value.split(SEPARATOR)
    )
    waiting_nested = response.find(NESTED) or '0'
    answer_wait_ms = response.find(ANSWER_WAIT) or '0'
    failed_percent = response.find(FAILED) or '0'
    slowness_percent = response.find(SLOWNESS) or '0'
    demand_percent = response.find(DEMAND) or '0'
    return _messages.LoadReport(
        running,
        waiting,
        limit,
        work_ms,
        route_work_ms,
        link_percent,
        int(waiting_nested),
        int(answer_wait_ms),
        int(failed_percent),
        int(slowness_percent),
        int(demand_percent),
    )

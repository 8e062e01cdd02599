"""Encodes calls between daemons as internal header fields over HTTP/1.1.

Header fields with the internal prefix belong to the daemons; they are removed
from what callers and targets send.
"""

from collections.abc import Iterable

import msgspec

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _crash_records
from sedgering.mesh import _messages
from sedgering.mesh import _peer_responses
from sedgering import overload
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
    'strip_internal',
]

PREFIX = 'sedgering-'
CALL = 'sedgering-call'
OUTCOME = 'sedgering-outcome'
LOAD = 'sedgering-load'
#: Number of waiting nested calls. It has a separate field because daemons of
#: the previous version accept the load field only with `LOAD_FIELDS` values.
NESTED = 'sedgering-nested'
#: Wait of a large answer; a separate field for the same reason.
ANSWER_WAIT = 'sedgering-answer-wait'
#: Percentage of calls that the target failed; omitted when zero.
FAILED = 'sedgering-failed'
#: Current slowness and demand at the target; omitted when unknown.
SLOWNESS = 'sedgering-slowness'
DEMAND = 'sedgering-demand'
#: Wait until the rate limit of the target allows a call; omitted when zero.
RATE_WAIT = 'sedgering-rate-wait'
#: Rate limit that the sender of a call knows; omitted when it knows none.
RATE_LIMIT = 'sedgering-rate-limit'
#: The workspace of the request and its priority, if any.
WORKSPACE = 'sedgering-workspace'
#: The current row of the host, sent when a call to another target is refused.
MEMBER = 'sedgering-member'
PING = 'sedgering-ping'
#: Set when a call may only run if a slot is free.
FREE_PLACE = 'sedgering-free-place'
#: Set when a call may run although targets have crashed while running it.
TRIAL = 'sedgering-trial'
#: Ids of crashes of targets while running a request: those that no longer
#: count against it (in calls), and those that do (in calls and answers).
FORGIVEN = 'sedgering-forgiven'
CRASHES = 'sedgering-crashes'
#: Actual reason of a refusal, if the previous version does not know it.
REASON = 'sedgering-reason'
#: Reason of a refusal, if the previous version does not know it in `REASON`.
LATER_REASON = 'sedgering-later-reason'
SEPARATOR = '|'
#: Separates crash ids, which contain no spaces.
ID_SEPARATOR = ' '
#: Prefix of the id of a crash during a trial run of a suspect request.
TRIAL_PREFIX = 'trial:'
#: Characters of a malformed field that are shown in an error.
SHOWN_CHARACTERS = 200
#: Number of values of the load field.
LOAD_FIELDS = 6
#: Fields of the further values of a load, in their order.
_LOAD_FIELD_NAMES = (
    NESTED,
    ANSWER_WAIT,
    FAILED,
    SLOWNESS,
    DEMAND,
    RATE_WAIT,
)
#: Reasons unknown to daemons of the previous version. They are sent as SHED,
#: so that those daemons know that the call has not run and may be sent to
#: another host.
_EXTENDED_REASONS = frozenset(
    (
        _messages.RefusalReason.SUSPECTED,
        _messages.RefusalReason.QUARANTINED,
        _messages.RefusalReason.RATE_LIMITED,
    )
)

_MEMBER_DECODER = msgspec.json.Decoder(_messages.MemberRow)
_parse_count = _peer_responses.parse_count


class HopError(exceptions.PeerError):
    """A call between daemons, or the answer to one, cannot be decoded.

    Parameters
    ----------
    detail : str
        What cannot be decoded.
    """

    def __init__(self, detail: str):
        super().__init__(exceptions.Code.PEER_DAMAGED, detail)


def strip_internal(headers: transport.Headers) -> transport.Headers:
    """Remove the internal header fields."""
    return [item for item in headers if not item[0].lower().startswith(PREFIX)]


def _strip(headers: transport.Headers) -> transport.Headers:
    """Remove the internal and the hop-by-hop header fields."""
    return transport.strip_hop_headers(headers, prefix=PREFIX)


def encode_call(call: _messages.TargetCall) -> bytes:
    """Encode a call for the daemon of its target."""
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
        headers.append((CRASHES, _encode_crashes(call.crashes)))
    if call.cleared_crashes:
        headers.append((FORGIVEN, ID_SEPARATOR.join(call.cleared_crashes)))
    if call.workspace:
        value = f'{call.workspace_priority}{SEPARATOR}{call.workspace}'
        headers.append((WORKSPACE, value))
    if call.rate_limit_per_s is not None:
        headers.append((RATE_LIMIT, f'{call.rate_limit_per_s:.6f}'))
    return transport.encode_request(request, headers)


def decode_call(request: transport.Request) -> _messages.TargetCall:
    """Decode a call.

    Raises
    ------
    HopError
        When the request is not a valid call of a daemon.
    """
    value = request.find(CALL)
    fields = (value or '').split(SEPARATOR)
    try:
        (request_id, target_set, target, route, origin) = fields[:5]
        numbers = map(_parse_count, fields[5:])
        (priority, repeatable, urgency, remaining_ms, goal_ms, version) = (
            numbers
        )
        urgency = _messages.CallUrgency(urgency)
        workspace, workspace_priority = _decode_workspace(request)
    except ValueError as error:
        raise HopError(f'call: {_shorten(value)!r}') from error
    may_wait = request.find(FREE_PLACE) is None
    is_trial = request.find(TRIAL) is not None
    crashes = _decode_crashes(request.find(CRASHES))
    cleared_crashes = _split_ids(request.find(FORGIVEN))
    rate_limit = request.find(RATE_LIMIT)
    request.headers = strip_internal(request.headers)
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
        urgency=urgency,
        remaining_ms=remaining_ms,
        goal_ms=goal_ms,
        version=base.Version(version),
        may_wait=may_wait,
        is_trial=is_trial,
        crashes=crashes,
        cleared_crashes=cleared_crashes,
        workspace=workspace,
        workspace_priority=workspace_priority,
        rate_limit_per_s=(
            overload.decode_rate_limit(rate_limit) if rate_limit else None
        ),
    )


def _decode_workspace(
    request: transport.Request,
) -> tuple[base.WorkspaceName, int]:
    value = request.find(WORKSPACE)
    if value is None:
        return base.NO_WORKSPACE, 0
    priority, _separator, name = value.partition(SEPARATOR)
    return base.WorkspaceName(name), _parse_count(priority)


def _split_ids(value: str | None) -> tuple[_crash_records.CrashId, ...]:
    return tuple(map(_crash_records.CrashId, (value or '').split()))


def _encode_crashes(crashes: Iterable[_crash_records.CrashEvidence]) -> str:
    return ID_SEPARATOR.join(
        f'{TRIAL_PREFIX if item.was_trial else ""}{item.crash}'
        for item in crashes
    )


def _decode_crashes(
    value: str | None,
) -> tuple[_crash_records.CrashEvidence, ...]:
    return tuple(
        _crash_records.CrashEvidence(
            _crash_records.CrashId(text.removeprefix(TRIAL_PREFIX)),
            text.startswith(TRIAL_PREFIX),
        )
        for text in _split_ids(value)
    )


def _shorten(value: str | None) -> str | None:
    return value if value is None else value[:SHOWN_CHARACTERS]


def encode_ping() -> bytes:
    """Encode a request that only checks that a daemon is alive."""
    headers = [('Host', 'peer'), (PING, '1')]
    return transport.encode_request(transport.Request('GET', '/', headers))


def is_ping(request: transport.Request) -> bool:
    """Whether the request only checks that this daemon is alive."""
    return request.find(PING) is not None


def is_call(request: transport.Request) -> bool:
    """Whether the request is a call of a daemon to the local target."""
    return request.find(CALL) is not None


def encode_answer(answer: _messages.CallAnswer) -> transport.Response:
    """Encode the result of a call for the daemon that sent it."""
    response = answer.response or transport.Response(503, [])
    headers = _strip(response.headers)
    reason = answer.reason
    if reason in _EXTENDED_REASONS:
        headers.append((REASON, reason.value))
        reason = _messages.RefusalReason.SHED
    elif reason is _messages.RefusalReason.ENDING:
        headers.append((LATER_REASON, reason.value))
        reason = _messages.RefusalReason.LEAVING
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
        if load.rate_wait_ms:
            headers.append((RATE_WAIT, str(load.rate_wait_ms)))
    if answer.crashes:
        headers.append((CRASHES, _encode_crashes(answer.crashes)))
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
        When the response is not a valid answer of a daemon.
    """
    value = response.find(OUTCOME)
    fields = (value or '').split(SEPARATOR, 4)
    try:
        outcome = _messages.CallOutcome(fields[0])
        reason = _messages.RefusalReason(
            response.find(LATER_REASON) or response.find(REASON) or fields[1]
        )
        retry_after_ms, reached = map(_parse_count, fields[2:4])
        detail = fields[4]
        load = _decode_load(response)
        member = _decode_member(response)
    except (ValueError, IndexError, exceptions.PeerError) as error:
        raise HopError(f'invalid answer: {_shorten(value)!r}') from error
    answer = _messages.CallAnswer(
        outcome,
        None,
        reason,
        retry_after_ms,
        load,
        bool(reached),
        member,
        detail,
        _decode_crashes(response.find(CRASHES)),
    )
    if outcome is _messages.CallOutcome.ANSWERED:
        response.headers = strip_internal(response.headers)
        answer.response = response
    return answer


def _decode_member(
    response: transport.Response,
) -> _messages.MemberRow | None:
    value = response.find(MEMBER)
    if value is None:
        return None
    return _peer_responses.decode_body(
        value.encode('latin-1'), _MEMBER_DECODER.decode
    )


def _decode_load(response: transport.Response) -> _messages.LoadReport | None:
    value = response.find(LOAD)
    if value is None:
        return None
    numbers = value.split(SEPARATOR)
    if len(numbers) != LOAD_FIELDS:
        raise ValueError(f'no load: {_shorten(value)!r}')
    further = map(response.find, _LOAD_FIELD_NAMES)
    return _messages.LoadReport(
        *map(_parse_count, numbers),
        *[_parse_count(item) if item else 0 for item in further],
    )

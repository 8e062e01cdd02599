"""Steps for the judges of all rules but LOST, on records made by hand."""

import functools
import json
import re

from behave import given
from behave import then
import broken_clauses

from sedgering.testing import judges

HOST, OTHER_HOST = 'host-0', 'host-1'
SENT_S = 100.0
TIMEOUT_S = 1.0


def make_work(target='i-1', began_s=SENT_S + 0.01, **fields):
    """Make a run that its target answered with 200."""
    values = {'ended_s': began_s + 0.1, 'status': 200, **fields}
    return judges.Work(target, OTHER_HOST, began_s, **values)


def make_request(number=0, **fields):
    """Make a request that a target answered with success."""
    values = {
        'status': 200,
        'has_proof': True,
        'is_own': True,
        'work': (make_work(),),
        **fields,
    }
    end = values.pop('end', judges.End.ANSWERED)
    ended_s = values.pop('ended_s', SENT_S + 0.2)
    return judges.Request(f'r-{number}', HOST, SENT_S, ended_s, end, **values)


def make_one(**fields):
    """Make a trial with one request."""
    return judges.Trial(requests=[make_request(**fields)])


def make_own(status, **fields):
    """Make a trial with an answer that a daemon gave on its own."""
    values = {'has_proof': False, 'is_own': False, **fields}
    return make_one(status=status, **values)


def make_outage():
    """Make an outage of the store."""
    return judges.Disruption(judges.Scope.STORE, OTHER_HOST, 0.0, 200.0)


def make_kill(calm_s, at_s=SENT_S + 0.2):
    """Make a kill that was over some time before a moment."""
    end_s = at_s - calm_s
    return judges.Disruption(judges.Scope.MACHINE, HOST, end_s - 1, end_s)


def make_unsent():
    """Make a run that no caller sent."""
    return judges.Trial(unsent=[('smuggled', make_work())])


def make_asked(work, **fields):
    """Make a run with a path and a calling set."""
    return make_one(
        line='GET /a', origin='reader', work=(make_work(**work),), **fields
    )


def make_denials(count, total, status, disruptions=(), **fields):
    """Make a trial in which some requests are rejected."""
    values = {'has_proof': False, 'is_own': False, 'work': (), **fields}
    return judges.Trial(
        requests=[
            make_request(number, status=status, **values)
            if number < count
            else make_request(number)
            for number in range(total)
        ],
        disruptions=list(disruptions),
    )


def make_departure(
    late_s, target='i-1', host=OTHER_HOST, disruptions=(), **fields
):
    """Make a request that reaches a target after a departure."""
    began_s = SENT_S + 0.01
    trial = make_one(work=(make_work(began_s=began_s),), **fields)
    trial.departures = [judges.Departure(target, host, began_s - late_s)]
    trial.disruptions = list(disruptions)
    return trial


def make_no_route(after_s, disruptions=()):
    """Make a request without a route, some time after its version."""
    trial = make_own(404, work=(), route_since_s=SENT_S - after_s)
    trial.disruptions = list(disruptions)
    # Rejections are another rule.
    trial.requests += make_denials(0, 20, 404).requests
    return trial


def make_overdue(count, total, by_s=0.51):
    """Make requests that outlast the timeout of their route."""
    return judges.Trial(
        requests=[
            make_request(
                number,
                timeout_s=TIMEOUT_S,
                ended_s=SENT_S + TIMEOUT_S + (by_s if number < count else 0.1),
            )
            for number in range(total)
        ]
    )


def make_left(count, total, make, **fields):
    """Make requests whose callers left; the first ones end late."""
    return judges.Trial(
        requests=[
            make_request(
                number,
                end=judges.End.CALLER_LEFT,
                status=0,
                work=(make(number < count),),
                **fields,
            )
            for number in range(total)
        ]
    )


def make_arrivals(count, after_s):
    """Make requests that reach targets after their callers left."""
    work = make_work(began_s=SENT_S + 0.2 + after_s)
    return make_left(count, count, lambda _is_late: work)


def make_lasting(count, after_s, **fields):
    """Make runs that would last, of which some go on."""

    def make(is_late):
        ended_s = SENT_S + 0.2 + (after_s if is_late else 0.1)
        return make_work(ended_s=ended_s, due_s=SENT_S + 5.0)

    return make_left(count, 4, make, **fields)


def make_attempts(count, targets, **fields):
    """Make requests that run on several targets."""
    work = tuple(make_work(f'i-{number}') for number in range(targets - 1))
    work += (make_work('i-last', **fields),)
    return judges.Trial(
        requests=[
            make_request(number, attempts=2, work=work)
            for number in range(count)
        ]
    )


def make_repetitions(count, spread_s):
    """Make 100 requests, and repetitions that are spread over some time."""
    requests = [
        make_request(number, work=(), target_set='reader')
        for number in range(99)
    ]
    later = tuple(
        make_work(began_s=SENT_S + number * spread_s / count)
        for number in range(count)
    )
    work = (make_work(), *later)
    requests.append(
        make_request(99, work=work, target_set='reader', attempts=100)
    )
    return judges.Trial(requests=requests)


partial = functools.partial
RECORDS = {
    '2 of 4 lasting runs that may run once and went on for 0.51 s': partial(
        make_lasting, 2, 0.51, is_once=True
    ),
    'a success without proof': partial(make_one, has_proof=False),
    'a success with the body of another request': partial(
        make_one, is_own=False
    ),
    'a success for a failure of the target': partial(
        make_one, work=(make_work(status=500),)
    ),
    "a failure with proof and another status than the target's": partial(
        make_one, status=500, work=(make_work(status=503),)
    ),
    'a failure with proof and the status of the target': partial(
        make_one, status=500, work=(make_work(status=500),)
    ),
    'a failure without proof beside an answer of the target': partial(
        make_own, 502
    ),
    'a success of the target': make_one,
    '2 runs of a request that may run once': partial(
        make_one, is_once=True, work=(make_work(), make_work('i-2'))
    ),
    '1 run of a request that may run once': partial(make_one, is_once=True),
    '2 runs of a request that may be repeated': partial(
        make_one, work=(make_work(), make_work('i-2'))
    ),
    '503 for a request that may run once, not run': partial(
        make_own, 503, is_once=True, work=()
    ),
    '503 for a request that may be repeated and ran': partial(make_own, 503),
    'a run that no caller sent': make_unsent,
    'a run with another path': partial(make_asked, {'line': 'GET /b'}),
    'a run for another calling set': partial(make_asked, {'origin': 'writer'}),
    'a run with its own path and calling set': partial(
        make_asked, {'line': 'GET /a', 'origin': 'reader'}
    ),
    '7 of 500 requests got 400 of their target': partial(
        make_denials, 7, 500, 400, has_proof=True
    ),
    '7 of 500 improper requests got 400': partial(
        make_denials, 7, 500, 400, is_proper=False
    ),
    'a request that reached another target after a departure': partial(
        make_departure, 2.01, 'i-2'
    ),
    'a late request beside a kill of its host': partial(
        make_departure, 2.01, disruptions=[make_kill(2.9, SENT_S)]
    ),
    'a late request beside an outage of the store': partial(
        make_departure, 2.01, disruptions=[make_outage()]
    ),
    'a late request beside an outage, acknowledged by its host': partial(
        make_departure, 2.01, host=HOST, disruptions=[make_outage()]
    ),
    '4 requests that ran on 3 targets, one of which ended': partial(
        make_attempts, 4, 3, is_sound=False
    ),
}
#: Records whose numbers a table gives.
PATTERNS = {
    r'(\d+) of (\d+) requests overdue(?:, by ([\d.]+) s)?': (
        lambda count, total, by_s: make_overdue(count, total, by_s or 0.51)
    ),
    r'(\d+) requests that reached targets ([\d.]+) s after their callers '
    'left': make_arrivals,
    r'(\d+) of 4 lasting runs that went on for ([\d.]+) s': make_lasting,
    r'(\d+) requests that ran on (\d+) targets, 2 allowed': make_attempts,
    r'(\d+) repetitions for 100 requests in (\d+) s': (
        lambda count, seconds: make_repetitions(count, seconds - 0.1)
    ),
    r'(\d+) of (\d+) requests got (\d+)(?: ([\d.]+) s after a kill)?': (
        lambda count, total, status, calm_s: make_denials(
            count, total, status, [make_kill(calm_s)] if calm_s else ()
        )
    ),
    r'404 for a request sent ([\d.]+) s after its route': make_no_route,
    r'404 for a request sent ([\d.]+) s after its route in an outage': (
        lambda after_s: make_no_route(after_s, [make_outage()])
    ),
    r'a request that reached a target ([\d.]+) s after its departure': (
        make_departure
    ),
    r'(\d+) for a request that may run once and ran': (
        lambda status: make_own(status, is_once=True)
    ),
}


def make_record(record):
    """Make the record that a table names."""
    if record in RECORDS:
        return RECORDS[record]()
    for pattern, make in PATTERNS.items():
        if match := re.fullmatch(pattern, record):
            return make(
                *(number and json.loads(number) for number in match.groups())
            )
    raise KeyError(record)


@given('a record of {record}')
def step_record(context, record):
    context.trial = make_record(record)


@then('the rules broken are {findings}')
def step_broken(context, findings):
    found = broken_clauses.check_clauses(context.trial, findings)
    assert all(item.times_s and item.request_id for item in found), found

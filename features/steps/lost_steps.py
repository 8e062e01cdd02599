"""Steps for the judges of lost requests, on records made by hand."""

import functools

from behave import given
from behave import then
import broken_clauses

from sedgering.testing import judges

HOST, OTHER_HOST = 'host-0', 'host-1'
#: Time of the SIGTERM, SIGHUP or configuration.
PLANNED_S = 100.0
BUDGET_S = 8.0


def make_request(sent_s, ended_s, number=0, **fields):
    """Make a request that was passed on and cut."""
    values = {
        'end': judges.End.CUT,
        'budget_s': BUDGET_S,
        'work': (judges.Work('i-1', OTHER_HOST, sent_s + 0.01, ended_s),),
        **fields,
    }
    return judges.Request(f'r-{number}', HOST, sent_s, ended_s, **values)


def make_planned(kind='TERMINATE', host=HOST, at_s=PLANNED_S):
    """Make planned work that is over at once."""
    return judges.PlannedWork(judges.WorkKind[kind], host, at_s, at_s)


def make_disruption(scope, host, start_s, end_s):
    """Make an unplanned disruption."""
    return judges.Disruption(judges.Scope[scope], host, start_s, end_s)


def make_cuts(count=4, disruptions=(), **fields):
    """Make a trial with cuts of requests from kept connections."""
    fields = {'is_kept': True, **fields}
    return judges.Trial(
        requests=[
            make_request(PLANNED_S, PLANNED_S + 0.5, number, **fields)
            for number in range(count)
        ],
        disruptions=list(disruptions),
    )


def make_kill(calm_s, host=HOST, at_s=PLANNED_S + 0.5):
    """Make a kill that was over some time before a moment."""
    end_s = at_s - calm_s
    return make_disruption('MACHINE', host, end_s - 1, end_s)


def make_cut(
    after_s=1.0, lasted_s=0.5, planned=None, disruptions=(), **fields
):
    """Make a trial in which a request is cut some time after planned work."""
    ended_s = PLANNED_S + after_s
    return judges.Trial(
        requests=[make_request(ended_s - lasted_s, ended_s, **fields)],
        planned=[planned or make_planned()],
        disruptions=list(disruptions),
    )


def make_last_sixth(sent_after_s, work_after_s=5.1):
    """Make a cut at which a target works in the last part of the grace."""
    ended_s = PLANNED_S + work_after_s
    return make_cut(work_after_s, ended_s - PLANNED_S - sent_after_s)


def make_config_cuts(beside, elsewhere):
    """Make cuts of 100 requests beside a configuration and 100 elsewhere."""
    requests = []
    for start_s, cuts in ((PLANNED_S, beside), (PLANNED_S + 50, elsewhere)):
        for number in range(100):
            end = judges.End.CUT if number < cuts else judges.End.ANSWERED
            requests.append(
                make_request(start_s, start_s + 0.5, number, end=end)
            )
    return judges.Trial(
        requests=requests, planned=[make_planned('CONFIGURATION')]
    )


def make_config_cut(after_s, **fields):
    """Make a cut some time after a configuration."""
    return make_cut(after_s, planned=make_planned('CONFIGURATION'), **fields)


def make_reload_cut(sent_after_s):
    """Make a cut of a request that was sent some time after SIGHUP."""
    return make_cut(sent_after_s + 0.5, planned=make_planned('RELOAD'))


def make_own_answer(has_sigterm=True, **fields):
    """Make an own answer while a target works."""
    host = HOST if has_sigterm else OTHER_HOST
    fields = {'end': judges.End.OWN_ANSWER, **fields}
    return make_cut(planned=make_planned(host=host), **fields)


def make_end(status, **fields):
    """Make a trial with the end of one process."""
    end = judges.ProcessEnd(HOST, 90.0, PLANNED_S + 6.0, status, **fields)
    return judges.Trial(ends=[end])


def make_unsound():
    """Make the run of a request that its target broke off."""
    return (judges.Work('i-1', OTHER_HOST, 100.0, 100.4, is_sound=False),)


partial = functools.partial
outage = partial(make_disruption, 'STORE', OTHER_HOST, 90.0, 110.0)
no_path = partial(make_disruption, 'STORE_PATH', HOST, 90.0, 110.0)
TRIALS = {
    '4 passed on requests were cut on kept connections': make_cuts,
    '3 passed on requests were cut on kept connections': partial(make_cuts, 3),
    '4 passed on requests were cut on new connections': partial(
        make_cuts, is_kept=False
    ),
    '4 waiting requests were cut on kept connections': partial(
        make_cuts, work=()
    ),
    '4 requests of unsound targets were cut on kept connections': partial(
        make_cuts, work=make_unsound()
    ),
    '4 passed on requests were cut beside an outage of the store': partial(
        make_cuts, disruptions=[outage()]
    ),
    '4 passed on requests were cut 2.9 s after a kill of their host': partial(
        make_cuts, disruptions=[make_kill(2.9)]
    ),
    '4 passed on requests were cut 3.1 s after a kill of their host': partial(
        make_cuts, disruptions=[make_kill(3.1)]
    ),
    '4 passed on requests were cut beside a kill of another host': partial(
        make_cuts, disruptions=[make_kill(0.0, OTHER_HOST)]
    ),
    'a passed on request was cut 1 s after SIGTERM': make_cut,
    'a passed on request was cut 6.9 s after SIGTERM': partial(make_cut, 6.9),
    'a passed on request was cut 7.1 s after SIGTERM': partial(make_cut, 7.1),
    'a passed on request was cut 1 s before SIGTERM': partial(make_cut, -1.0),
    'a passed on request was cut 1 s after SIGTERM of another host': partial(
        make_cut, planned=make_planned(host=OTHER_HOST)
    ),
    'a waiting request was cut 0.21 s after its last byte': partial(
        make_cut, lasted_s=0.21, work=()
    ),
    'a waiting request was cut 0.19 s after its last byte': partial(
        make_cut, lasted_s=0.19, work=()
    ),
    'a request behind another was cut 0.21 s after its last byte': partial(
        make_cut, lasted_s=0.21, work=(), is_behind=True
    ),
    'a passed on request behind another was cut': partial(
        make_cut, is_behind=True
    ),
    'an unread request was cut 0.21 s after its last byte': partial(
        make_cut, lasted_s=0.21, work=(), is_read=False
    ),
    'a passed on request was cut when its time was over': partial(
        make_cut, lasted_s=BUDGET_S
    ),
    'a passed on request was cut just before its time was over': partial(
        make_cut, lasted_s=BUDGET_S - 0.1
    ),
    'a passed on request was cut when its time was over from its first '
    'byte': partial(make_cut, lasted_s=BUDGET_S - 0.1, sending_s=0.11),
    'a passed on request was cut just before its time was over from its '
    'first byte': partial(make_cut, lasted_s=BUDGET_S - 0.1, sending_s=0.09),
    'a target was at work at an own answer when its time was over from its '
    'first byte': partial(
        make_own_answer, lasted_s=BUDGET_S - 0.1, sending_s=0.11
    ),
    'a target was at work at an own answer just before its time was over '
    'from its first byte': partial(
        make_own_answer, lasted_s=BUDGET_S - 0.1, sending_s=0.09
    ),
    'a request was cut whose target broke off': partial(
        make_cut, work=make_unsound()
    ),
    'its caller left 1 s after SIGTERM': partial(
        make_cut, end=judges.End.CALLER_LEFT
    ),
    'a request sent 2.9 s after SIGTERM was cut with its target at work in '
    'the last sixth': partial(make_last_sixth, 2.9),
    'a request sent 3.1 s after SIGTERM was cut with its target at work in '
    'the last sixth': partial(make_last_sixth, 3.1),
    'a request sent 2.9 s after SIGTERM was cut with its target at work '
    'before the last sixth': partial(make_last_sixth, 2.9, 4.9),
    'a passed on request was cut beside SIGTERM and an outage of the '
    'store': partial(make_cut, disruptions=[outage()]),
    'a passed on request was cut beside SIGTERM and no path to the '
    'store': partial(make_cut, disruptions=[no_path()]),
    'a passed on request was cut beside SIGTERM, 2.9 s after a kill': partial(
        make_cut, disruptions=[make_kill(2.9, OTHER_HOST, PLANNED_S + 0.5)]
    ),
    'a passed on request was cut beside SIGTERM, 3.1 s after a kill': partial(
        make_cut, disruptions=[make_kill(3.1, OTHER_HOST, PLANNED_S + 0.5)]
    ),
    'a request sent 1.9 s after SIGHUP was cut': partial(make_reload_cut, 1.9),
    'a request sent 2.1 s after SIGHUP was cut': partial(make_reload_cut, 2.1),
    'a request was cut 2.9 s after a configuration': partial(
        make_config_cut, 3.4
    ),
    'a request was cut 3.1 s after a configuration': partial(
        make_config_cut, 3.6
    ),
    'a request was cut after a configuration, with 0.69 of its time '
    'used': partial(make_config_cut, 1.0, lasted_s=0.69 * BUDGET_S),
    'a request was cut after a configuration, with 0.71 of its time '
    'used': partial(make_config_cut, 1.0, lasted_s=0.71 * BUDGET_S),
    '31 of 100 requests were cut beside a configuration and 10 of 100 '
    'elsewhere': partial(make_config_cuts, 31, 10),
    '30 of 100 requests were cut beside a configuration and 10 of 100 '
    'elsewhere': partial(make_config_cuts, 30, 10),
    'a target was at work at an own answer after SIGTERM': make_own_answer,
    'a target was at work at an own answer without SIGTERM': partial(
        make_own_answer, False
    ),
    'a target had broken off at an own answer after SIGTERM': partial(
        make_own_answer, work=make_unsound()
    ),
    'no target was at work at an own answer after SIGTERM': partial(
        make_own_answer, work=()
    ),
    'a process ended with status -1 after SIGHUP': partial(make_end, -1),
    'a process ended with status 0 without a signal': partial(make_end, 0),
    'a process ended with status -9 without a kill of ours': partial(
        make_end, -9
    ),
    'a process was killed': partial(make_end, -9, killed_s=105.9),
    'a process ended with status 0 after SIGTERM': partial(
        make_end, 0, terminated_s=PLANNED_S
    ),
    'a process ended with status 120 after SIGTERM': partial(
        make_end, 120, terminated_s=PLANNED_S
    ),
    'a process ended with status -15 after SIGTERM': partial(
        make_end, -15, terminated_s=PLANNED_S
    ),
    'a process was killed 6 s after SIGTERM': partial(
        make_end, -9, terminated_s=PLANNED_S, killed_s=PLANNED_S + 6.0
    ),
    'a process was killed 5.9 s after SIGTERM': partial(
        make_end, -9, terminated_s=PLANNED_S, killed_s=PLANNED_S + 5.9
    ),
}


@given('a trial in which {record}')
def step_trial(context, record):
    context.trial = TRIALS[record]()


@then('the judges report {findings}')
def step_findings(context, findings):
    found = broken_clauses.check_clauses(context.trial, findings)
    for item in found:
        assert item.host == HOST and item.times_s, item
        assert item.request_id or item.clause.value.startswith('FAULT'), item


@given('a host with {event} that ended {calm_s:g} s ago')
def step_event(context, event, calm_s):
    context.trial = trial = judges.Trial()
    start_s, end_s = PLANNED_S - calm_s - 1, PLANNED_S - calm_s
    if event == 'a SIGTERM':
        planned = judges.PlannedWork(
            judges.WorkKind.TERMINATE, HOST, start_s, end_s
        )
        trial.planned.append(planned)
        return
    scope, host = {
        'a kill': ('MACHINE', HOST),
        'a kill elsewhere': ('MACHINE', OTHER_HOST),
        'an outage of the store': ('STORE', OTHER_HOST),
        'no path to the store': ('STORE_PATH', HOST),
        'connections that go silent': ('CONNECTIONS', OTHER_HOST),
        'a faulty target': ('TARGET', HOST),
    }[event]
    trial.disruptions.append(make_disruption(scope, host, start_s, end_s))


@then('the host {state} in touch')
def step_in_touch(context, state):
    is_in_touch = judges.is_in_touch(context.trial, HOST, PLANNED_S)
    assert is_in_touch == (state == 'is'), context.trial

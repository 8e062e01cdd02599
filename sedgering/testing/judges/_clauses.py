"""Judges of answers, runs, departures, versions and repetitions.

One judge for each rule but LOST; see `_lost` for the records.
"""

import collections
from collections.abc import Iterator

from sedgering.testing.judges import _lost

__all__ = ['JUDGES']

#: Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Rejections that do not count as denied.
NOT_DENIED_STATUSES = frozenset((408, 421, 429))
#: Rejections of what all versions allow, which count from any host, and how
#: many of them from hosts that are not in touch are tolerated.
ALLOWED_STATUSES = frozenset((401, 403, 404))
TOLERATED_OUT_OF_TOUCH = 10
#: Denied requests that are tolerated, and the share of all beyond them.
TOLERATED_DENIALS = 5
DENIED_SHARE = 1 / 500
STATUS_NO_ROUTE = 404
#: Requests without an answer this long after the timeout of their route.
OVERDUE_S = 0.5
OVERDUE_SHARE, MANY_OVERDUE, MANY_OVERDUE_SHARE = 1 / 2, 8, 1 / 4
#: Time after which a departure of a caller has to have an effect, requests
#: that may reach a target later, and the share of runs that may go on.
LEFT_S = 0.5
TOLERATED_AFTER_LEAVING = 3
LASTING_SHARE = 1 / 4
#: Requests that may run on more targets than their route allows.
TOLERATED_ATTEMPTS = 3
#: Arrivals beyond the first of each request that are tolerated in a window.
BUDGET_RATIO, BUDGET_EXTRA, BUDGET_WINDOW_S = 0.2, 62, 10.0

_Clause = _lost.Clause


class MixedJudge(_lost.Judge):
    """Answers that are not what the target answered to that request."""

    def judge(self, trial: _lost.Trial) -> Iterator[_lost.Finding]:
        """Return the findings in a trial."""
        for request in trial.requests:
            problem = self._find_problem(request)
            if problem:
                yield _lost.make_finding(_Clause.MIXED, request, problem)

    def _find_problem(self, request: _lost.Request) -> str:
        statuses = {work.status for work in request.work if work.status}
        if _is_success(request.status):
            if not request.has_proof:
                return 'a success without proof'
            if not request.is_own:
                return 'a success that is not its own or not whole'
            if statuses and not any(map(_is_success, statuses)):
                return f'a success, its target answered {max(statuses)}'
        elif request.status and request.has_proof:
            if statuses and request.status not in statuses:
                return f'{request.status}, its target answered otherwise'
        return ''


class TwiceJudge(_lost.Judge):
    """Requests that must run at most once."""

    def judge(self, trial: _lost.Trial) -> Iterator[_lost.Finding]:
        """Return the findings in a trial."""
        for request in trial.requests:
            runs = len(request.work)
            if request.is_once and runs > 1:
                yield _lost.make_finding(
                    _Clause.TWICE, request, f'ran {runs} times'
                )


class RefusedJudge(_lost.Judge):
    """Promises that a request has not run, for one that has."""

    def judge(self, trial: _lost.Trial) -> Iterator[_lost.Finding]:
        """Return the findings in a trial."""
        for request in trial.requests:
            is_promised = request.status in NOT_RUN_STATUSES
            if request.is_once and is_promised and request.work:
                detail = f'answered {request.status}, but ran'
                yield _lost.make_finding(_Clause.REFUSED, request, detail)


class UnaskedJudge(_lost.Judge):
    """Runs that nobody asked for, or that were asked for differently."""

    def judge(self, trial: _lost.Trial) -> Iterator[_lost.Finding]:
        """Return the findings in a trial."""
        for request_id, work in trial.unsent:
            yield _lost.Finding(
                _Clause.UNASKED,
                work.host,
                request_id,
                (work.began_s,),
                'ran, but no caller sent it',
            )
        for request in trial.requests:
            for work in request.work:
                for name in ('line', 'origin'):
                    sent = getattr(request, name)
                    seen = getattr(work, name)
                    if sent and seen and sent != seen:
                        detail = f'ran with {name} {seen}, sent with {sent}'
                        yield _lost.make_finding(
                            _Clause.UNASKED, request, detail
                        )


class DeniedJudge(_lost.Judge):
    """Rejections of proper requests that all versions allow."""

    def judge(self, trial: _lost.Trial) -> Iterator[_lost.Finding]:
        """Return the findings in a trial."""
        denied = [item for item in trial.requests if _is_denied(item)]
        is_in_touch = {
            item.request_id: _lost.is_in_touch(trial, item.host, item.ended_s)
            for item in denied
        }
        allowed = [item for item in denied if item.status in ALLOWED_STATUSES]
        counted = [
            item
            for item in denied
            if item.status in ALLOWED_STATUSES or is_in_touch[item.request_id]
        ]
        out_of_touch = [
            item for item in allowed if not is_in_touch[item.request_id]
        ]
        bound = TOLERATED_DENIALS + DENIED_SHARE * len(trial.requests)
        if len(out_of_touch) <= TOLERATED_OUT_OF_TOUCH:
            out_of_touch = []
        for request in counted if len(counted) > bound else out_of_touch:
            detail = f'{request.status}, one of {len(counted)}'
            yield _lost.make_finding(_Clause.DENIED, request, detail)


class DrainJudge(_lost.Judge):
    """Requests that reach a target after its departure took effect."""

    def judge(self, trial: _lost.Trial) -> Iterator[_lost.Finding]:
        """Return the findings in a trial."""
        departures = {item.target: item for item in trial.departures}
        for request in trial.requests:
            for work in request.work:
                departure = departures.get(work.target)
                if departure is None:
                    continue
                late_s = work.began_s - departure.acknowledged_s
                # Its own acknowledgement binds a host without a store, too.
                needs_store = request.host != departure.host
                if late_s > trial.bounds.drain_s and _lost.is_in_touch(
                    trial, request.host, work.began_s, needs_store
                ):
                    detail = f'{late_s:.3f} s after the acknowledgement'
                    yield _lost.make_finding(_Clause.DRAIN, request, detail)


class VersionJudge(_lost.Judge):
    """Requests handled as only an older version allows."""

    def judge(self, trial: _lost.Trial) -> Iterator[_lost.Finding]:
        """Return the findings in a trial."""
        for request in trial.requests:
            late_s = request.sent_s - request.route_since_s
            if (
                request.status == STATUS_NO_ROUTE
                and not request.has_proof
                and late_s > self._find_bound_s(trial, request)
                and _lost.is_in_touch(
                    trial, request.host, request.ended_s, False
                )
            ):
                detail = f'no route {late_s:.3f} s after its version'
                yield _lost.make_finding(_Clause.CONFIG, request, detail)

    def _find_bound_s(
        self, trial: _lost.Trial, request: _lost.Request
    ) -> float:
        """Return the bound, which an unstable store stretches."""
        bounds = trial.bounds
        is_stable = _lost.is_in_touch(trial, request.host, request.ended_s)
        return bounds.apply_s + (0.0 if is_stable else bounds.max_stretch_s)


class TimeoutJudge(_lost.Judge):
    """Requests without an answer after the timeout of their route."""

    def judge(self, trial: _lost.Trial) -> Iterator[_lost.Finding]:
        """Return the findings in a trial."""
        lasting = [
            item
            for item in trial.requests
            if item.age_s >= item.timeout_s
            and item.end is not _lost.End.CALLER_LEFT
            and _lost.is_in_touch(trial, item.host, item.ended_s)
        ]
        overdue = [
            item for item in lasting if item.age_s > item.timeout_s + OVERDUE_S
        ]
        is_most = len(overdue) > OVERDUE_SHARE * len(lasting)
        is_many = len(overdue) >= MANY_OVERDUE and len(
            overdue
        ) > MANY_OVERDUE_SHARE * len(lasting)
        for request in overdue if is_most or is_many else ():
            detail = (
                f'{request.age_s - request.timeout_s:.3f} s after its '
                f'timeout, one of {len(overdue)} of {len(lasting)}'
            )
            yield _lost.make_finding(_Clause.TIMEOUT, request, detail)


class GoneJudge(_lost.Judge):
    """Requests that live on after their callers have left."""

    def judge(self, trial: _lost.Trial) -> Iterator[_lost.Finding]:
        """Return the findings in a trial."""
        left = [
            item
            for item in trial.requests
            if item.end is _lost.End.CALLER_LEFT
            and _lost.is_in_touch(trial, item.host, item.ended_s + LEFT_S)
        ]
        late = [item for item in left if _arrives_late(item)]
        if len(late) > TOLERATED_AFTER_LEAVING:
            for request in late:
                detail = f'reached a target later, one of {len(late)}'
                yield _lost.make_finding(_Clause.GONE, request, detail)
        lasting = [
            item
            for item in left
            if not item.is_once
            and any(_would_last(item, work) for work in item.work)
        ]
        at_work = [
            item
            for item in lasting
            if any(
                _would_last(item, work)
                and work.ended_s > item.ended_s + LEFT_S
                for work in item.work
            )
        ]
        if len(at_work) > LASTING_SHARE * len(lasting):
            for request in at_work:
                detail = (
                    f'a target works on, one of {len(at_work)} of '
                    f'{len(lasting)}'
                )
                yield _lost.make_finding(_Clause.GONE, request, detail)


class AttemptsJudge(_lost.Judge):
    """Requests that run on more targets than their route allows."""

    def judge(self, trial: _lost.Trial) -> Iterator[_lost.Finding]:
        """Return the findings in a trial."""
        beyond = [
            item
            for item in trial.requests
            if len({work.target for work in item.work if work.is_sound})
            > item.attempts
        ]
        if len(beyond) > TOLERATED_ATTEMPTS:
            for request in beyond:
                detail = f'{len(request.work)} runs, one of {len(beyond)}'
                yield _lost.make_finding(_Clause.ATTEMPTS, request, detail)


class RepetitionJudge(_lost.Judge):
    """Arrivals beyond the first of each request, in sliding windows."""

    def judge(self, trial: _lost.Trial) -> Iterator[_lost.Finding]:
        """Return the findings in a trial."""
        sent: dict[str, list[float]] = collections.defaultdict(list)
        repeated: dict[str, list[float]] = collections.defaultdict(list)
        for request in trial.requests:
            sent[request.target_set].append(request.sent_s)
            repeated[request.target_set] += [
                work.began_s for work in request.work[1:]
            ]
        for target_set, times_s in repeated.items():
            for start_s in sorted(times_s):
                count = _count(times_s, start_s)
                requests = max(
                    _count(sent[target_set], start_s - before_s)
                    for before_s in (
                        0.0,
                        BUDGET_WINDOW_S / 2,
                        BUDGET_WINDOW_S,
                    )
                )
                if count > BUDGET_RATIO * requests + BUDGET_EXTRA:
                    yield _lost.Finding(
                        _Clause.REPETITIONS,
                        '',
                        target_set,
                        (start_s, start_s + BUDGET_WINDOW_S),
                        f'{count} repetitions for {requests} requests',
                    )
                    break


JUDGES = (
    MixedJudge(),
    TwiceJudge(),
    RefusedJudge(),
    UnaskedJudge(),
    DeniedJudge(),
    DrainJudge(),
    VersionJudge(),
    TimeoutJudge(),
    GoneJudge(),
    AttemptsJudge(),
    RepetitionJudge(),
)


def _is_success(status: int) -> bool:
    return 200 <= status < 300


def _is_denied(request: _lost.Request) -> bool:
    """Return whether a daemon rejected a proper request on its own."""
    return (
        300 <= request.status < 500
        and request.status not in NOT_DENIED_STATUSES
        and request.is_proper
        and not request.has_proof
    )


def _arrives_late(request: _lost.Request) -> bool:
    latest_s = request.ended_s + LEFT_S
    return any(work.began_s > latest_s for work in request.work)


def _would_last(request: _lost.Request, work: _lost.Work) -> bool:
    """Return whether a run would last beyond the bound by itself."""
    return work.due_s > request.ended_s + LEFT_S


def _count(times_s: list[float], start_s: float) -> int:
    end_s = start_s + BUDGET_WINDOW_S
    return sum(start_s <= time_s < end_s for time_s in times_s)

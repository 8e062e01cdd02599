"""Steps for what targets state about themselves in their answers."""

import asyncio

from behave import given
from behave import then
from behave import when

from sedgering import platform
from sedgering import transport

#: Time after the start of the load from which on a limit binds.
SETTLE_S = 1.0
#: A target gets at most this factor of its limit in a window, and some more.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
CALLERS_PER_HOST = 3
CALL_PAUSE_S = 0.01
REFUSED_PAUSE_S = 0.1
LIMIT_FIELD = platform.HEADERS.rate_limit


class SignalSubject:
    """Callers of all hosts, and the answers that they received."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.statuses: list[int] = []
        self.answers: list[transport.Response] = []
        self.load_started_s = 0.0
        self.limit_per_s = 0.0

    @property
    def fleet(self):
        """Fleet of the scenario."""
        return self.mesh.fleet

    def now_s(self) -> float:
        """Return the time of the event loop of the fleet."""
        return self.fleet.loop.time()

    def state_limit(self, host, field: str | None) -> None:
        """Let the target of a host state a limit, or none."""
        host.books.signal_fields = (
            [(LIMIT_FIELD, field)] if field is not None else []
        )

    def ask_for(self, seconds: float, hosts=None, path='/r0/') -> None:
        """Ask at several hosts at the same time, each in turn."""
        self.load_started_s = self.now_s()
        hosts = hosts or list(self.fleet.hosts.values())

        async def ask_all():
            end_s = self.now_s() + seconds
            await asyncio.gather(
                *(
                    self._ask_until(host, f'{host.name}-{number}', end_s, path)
                    for host in hosts
                    for number in range(CALLERS_PER_HOST)
                )
            )

        self.fleet.run(ask_all())

    async def _ask_until(self, host, name, end_s, path) -> None:
        number = 0
        while self.now_s() < end_s:
            number += 1
            answer = await self.fleet.start_call(
                host.addresses.callers_port,
                path,
                X_Request_Id=f'{name}-{len(self.answers)}-{number}',
                X_Request_Deadline='1500',
            )
            self.answers.append(answer)
            is_good = answer.status == 200
            await asyncio.sleep(CALL_PAUSE_S if is_good else REFUSED_PAUSE_S)

    def count_most(self, books, from_s: float) -> int:
        """Return the most requests that a target got in one window."""
        times_s = [at_s for at_s, _id in books.arrivals if at_s >= from_s]
        return max(
            (
                sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
                for start_s in times_s
            ),
            default=0,
        )


def find_allowed(limit_per_s: float) -> float:
    """Return the most requests that a limit allows in one window."""
    return ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_EXTRA


@given('a third host without a target of the set')
def step_third(context):
    mesh = context.mesh
    mesh.third = mesh.fleet.add_host('hall-3', 'ledger')
    mesh.fleet.wait_ready()
    context.signals = SignalSubject(mesh)


@given('the target of the first host states a limit of "{field}"')
@when('the target of the first host states a limit of "{field}"')
def step_limit(context, field):
    subject = context.signals
    subject.state_limit(context.mesh.first, field)
    subject.limit_per_s = float(field)


@when('callers of all hosts ask for {seconds:g} s')
def step_ask(context, seconds):
    context.signals.ask_for(seconds)


@then('the first target gets no more than its limit allows')
def step_bounded(context):
    subject = context.signals
    books = context.mesh.first.books
    most = subject.count_most(books, subject.load_started_s + SETTLE_S)
    allowed = find_allowed(subject.limit_per_s)
    assert most <= allowed, (most, allowed)


@then('every caller is answered')
def step_all_answered(context):
    statuses = [answer.status for answer in context.signals.answers]
    refused = [status for status in statuses if status != 200]
    assert statuses and not refused, (len(statuses), refused)

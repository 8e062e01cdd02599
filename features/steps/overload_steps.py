"""Steps over the decisions where there is too little room."""

import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st

from sedgering import base
from sedgering import overload

SET = base.TargetSetName('catalogue')
WORK_MS = 100.0
#: Time until a call that finds no room is refused.
REFUSED_AFTER_S = 0.01
LAST_S = 1.0
#: Time over which the gates of the subject average their demand.
DEMAND_MEMORY_S = 0.5
MOST_LOOKED_AT = 400


class LevelSubject:
    """One daemon's level of one set, and who was let through."""

    def __init__(self, demand_percent: float):
        self.table = overload.LevelTable()
        self.demand_percent = demand_percent
        self.now_s = 0.0
        self.rng = random.Random(1)
        #: Calls a second; none for a fixed share of refusals.
        self.room_per_s: float | None = None
        self.refused_share = 0.0
        self.room = 0.0
        #: Calls a second that fill the set, where demand follows them.
        self.full_per_s: float | None = None
        #: Moment, name of the kind, and whether it was let through.
        self.seen: list[tuple[float, str, bool]] = []

    def play(self, kinds: dict, length_s: float, is_told=True) -> None:
        """Let kinds of calls come at their rates, in random order."""
        end_s = self.now_s + length_s
        rate_per_s = sum(rate for rate, _fields in kinds.values())
        names = list(kinds)
        weights = [kinds[name][0] for name in names]
        while self.now_s < end_s:
            step_s = 1 / rate_per_s
            self.now_s += step_s
            if self.room_per_s is not None:
                self.room = min(5.0, self.room + self.room_per_s * step_s)
            (name,) = self.rng.choices(names, weights)
            self._ask(name, kinds[name][1])
            if is_told:
                percent = self._find_demand_percent()
                self.table.take_demand(SET, percent, self.now_s)

    def _find_demand_percent(self) -> float:
        if self.full_per_s is None:
            return self.demand_percent
        from_s = self.now_s - DEMAND_MEMORY_S
        passed = sum(
            is_admitted
            for at_s, _name, is_admitted in self.seen[-MOST_LOOKED_AT:]
            if at_s > from_s
        )
        return 100 * passed / (self.full_per_s * DEMAND_MEMORY_S)

    def _ask(self, name: str, fields: dict) -> None:
        request_id = base.RequestId(str(self.rng.random()))
        given_fields = {'priority': 1, **fields}
        call = overload.AskedCall(SET, request_id, WORK_MS, **given_fields)
        verdict = self.table.judge(call, self.now_s)
        self.seen.append((self.now_s, name, verdict.is_admitted))
        if verdict.is_admitted and not self._finds_room():
            ended_s = self.now_s + REFUSED_AFTER_S
            self.table.note_refused(call, self.now_s, ended_s)

    def _finds_room(self) -> bool:
        if self.room_per_s is None:
            return self.rng.random() >= self.refused_share
        if self.room < 1:
            return False
        self.room -= 1
        return True

    def find_percent(self, name: str, from_s: float, to_s: float) -> float:
        """Return the share of a kind that was let through."""
        found = [
            is_admitted
            for at_s, kind, is_admitted in self.seen
            if kind == name and from_s < at_s <= to_s
        ]
        return 100 * sum(found) / len(found)


@given('a set of which gates tell a demand of {percent:d} %')
def step_set(context, percent):
    context.level = LevelSubject(percent)


@given(
    'a set of which gates tell what is let through, full at {rate:d} a second'
)
def step_follows(context, rate):
    context.level = LevelSubject(0)
    context.level.full_per_s = rate


@given('room for {room:d} calls a second')
def step_room(context, room):
    context.level.room_per_s = room


@when(
    '{rate:d} calls a second of priority {priority:d} come for {length_s:d} '
    's, and half find no room'
)
def step_half(context, rate, priority, length_s):
    context.level.refused_share = 0.5
    kinds = {f'priority {priority}': (rate, {'priority': priority})}
    context.level.play(kinds, length_s)


@when('{rate:d} calls a second of priority 1 come for {length_s:d} s')
def step_come(context, rate, length_s):
    context.level.play({'priority 1': (rate, {})}, length_s)


@when(
    '{one:d} of priority 0 and {other:d} of priority 3 come a second for 6 s'
)
def step_two(context, one, other):
    kinds = {
        'priority 0': (one, {'priority': 0}),
        'priority 3': (other, {'priority': 3}),
    }
    context.level.play(kinds, 6)


@when('workspaces come for 6 s with 20, 30 and 200 calls a second')
def step_workspaces(context):
    kinds = {
        f'workspace "{number}"': (rate, {'workspace': f'{number}'})
        for number, rate in enumerate((20, 30, 200))
    }
    context.level.play(kinds, 6)


@when('{rate:d} calls of targets come a second for {length_s:d} s')
def step_nested(context, rate, length_s):
    kinds = {'priority 1': (rate, {'is_nested': True})}
    context.level.play(kinds, length_s)


@when('100 calls and 100 hasty ones come a second for 6 s')
def step_hasty(context):
    kinds = {
        'the others': (100, {}),
        'the hasty ones': (100, {'is_hasty': True}),
    }
    context.level.play(kinds, 6)


@when('gates tell nothing for {length_s:d} s')
def step_silent(context, length_s):
    context.level.now_s += length_s
    context.level.seen.clear()


@when(
    'the room grows to {room:d} calls a second, and {rate:d} come for '
    '{length_s:d} s'
)
def step_grow(context, room, rate, length_s):
    context.level.room_per_s = room
    context.level.play({'priority 1': (rate, {})}, length_s)


@then('all of priority 1 are let through')
def step_all(context):
    assert context.level.find_percent('priority 1', 0, 99) == 100


@then('all calls are let through again')
def step_again(context):
    context.level.play({'priority 1': (100, {})}, 0.5, is_told=False)
    assert all(found for _at_s, _name, found in context.level.seen)


@then('{least:d} to {most:d} % of {name} are let through in the last second')
def step_share(context, least, most, name):
    level = context.level
    found = level.find_percent(name, level.now_s - LAST_S, level.now_s)
    assert least <= found <= most, found


@then(
    '{least:d} to {most:d} % of {name} are let through in the last 4 seconds'
)
def step_long_share(context, least, most, name):
    level = context.level
    found = level.find_percent(name, level.now_s - 4, level.now_s)
    assert least <= found <= most, found


@then('the shares let through in the last 6 seconds differ by 12 % at most')
def step_steady(context):
    level = context.level
    shares = [
        level.find_percent('priority 1', level.now_s - back, at_s)
        for back in range(6, 0, -1)
        for at_s in (level.now_s - back + 1,)
    ]
    assert max(shares) - min(shares) <= 12, shares


@then('for any demands and room the shares fit the room and are max-min fair')
def step_fair(_context):
    amounts = st.lists(st.floats(0, 1000), min_size=1, max_size=20)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(amounts, st.floats(0, 5000))
    def check(asked, room):
        level = overload.find_fair_level(asked, room)
        got = [min(amount, level) for amount in asked]
        slack = 1e-6 * (1 + room)
        assert sum(got) <= room + slack, (got, room)
        # All room is used, or everybody has what it asks for.
        assert sum(got) >= min(sum(asked), room) - slack, (got, room)

    check()


@when('{count:d} workspaces ask for the same')
def step_many(context, count):
    context.groups = overload.WorkspaceGroups()
    for number in range(count):
        context.groups.note(base.WorkspaceName(f'w{number}'), WORK_MS)
    context.work_ms = count * WORK_MS


@then('at most {most:d} of them are counted apart, and no work is lost')
def step_bounded(context, most):
    works_ms = list(context.groups.list_ms())
    assert len(works_ms) <= most, len(works_ms)
    assert sum(works_ms) == context.work_ms, works_ms


@then(
    'a caller of {longest_ms:d} ms is hasty after {soon_ms:d} ms, and is not '
    'after {later_ms:d} ms'
)
def step_is_hasty(_context, longest_ms, soon_ms, later_ms):
    assert overload.is_hasty(soon_ms, longest_ms)
    assert not overload.is_hasty(later_ms, longest_ms)


def _ask_for(shares, asked) -> None:
    for number, count in enumerate(asked):
        for _ in range(count):
            shares.note_asked(base.WorkspaceName(f'{number}'), WORK_MS, 0.0)


def _serve(shares, served) -> None:
    for number, count in enumerate(served):
        for _ in range(count):
            shares.note_served(base.WorkspaceName(f'{number}'), WORK_MS, 0.0)


@given('a gate whose workspaces ask for {one:d} and {other:d} calls')
def step_shares(context, one, other):
    context.shares = overload.RoomShares()
    _ask_for(context.shares, (one, other))


@given(
    'a gate whose workspaces ask for {one:d} and {other:d} calls, of which '
    '{served:d} of the first are served'
)
def step_shares_served(context, one, other, served):
    context.shares = overload.RoomShares()
    _ask_for(context.shares, (one, other))
    _serve(context.shares, (served, 0))


@when('{one:d} of the first and {other:d} of the other are served')
def step_serve(context, one, other):
    _serve(context.shares, (one, other))


def _judge(context, name: str) -> overload.Standing:
    return context.shares.judge(base.WorkspaceName(name), WORK_MS)


@then('the first one has had more than its share, and the other has not')
def step_over(context):
    assert _judge(context, '0') is overload.Standing.OVER
    assert _judge(context, '1') is not overload.Standing.OVER


@then('the first one is not starved, and the other is')
def step_starved(context):
    assert _judge(context, '0') is not overload.Standing.STARVED
    assert _judge(context, '1') is overload.Standing.STARVED


@then('a call without a workspace is neither first nor last of its rank')
def step_alike(context):
    assert _judge(context, base.NO_WORKSPACE) is overload.Standing.USUAL

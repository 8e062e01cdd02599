"""Steps on the member table, against a plain dictionary."""

from behave import then
import hypothesis
from hypothesis import strategies as st
from strategies import PROPERTY

from sedgering import membership
from sedgering import peer

DATA_CENTRES = ('dc-a', 'dc-b')
STATES = list(peer.HostState)


@st.composite
def host_rows(draw):
    number = draw(st.integers(0, 5))
    targets = [
        peer.TargetRow(f't{i}', f's{draw(st.integers(0, 2))}', 1, state, 12)
        for i, state in enumerate(
            draw(st.lists(st.sampled_from(list(peer.TargetState)), max_size=3))
        )
    ]
    return peer.HostRow(
        host=f'h{number}',
        data_centre=DATA_CENTRES[number % 2],
        address='127.0.0.1',
        peer_port=1,
        data_port=2,
        incarnation=draw(st.integers(1, 3)),
        sequence=draw(st.integers(1, 3)),
        state=draw(st.sampled_from(STATES)),
        held_version=draw(st.integers(0, 9)),
        targets=targets,
    )


class NaiveTable:
    """Rows in a dictionary, everything else worked out anew."""

    def __init__(self):
        self.rows = {}
        self.held = {}

    def merge(self, row):
        held = self.rows.get(row.host)
        key = (row.incarnation, row.sequence, row.state)
        if held is None:
            if row.state == peer.HostState.GONE:
                return False
        elif key <= (held.incarnation, held.sequence, held.state):
            return False
        self.rows[row.host] = row
        self.held[row.host] = max(self.held.get(row.host, 0), row.held_version)
        return True

    def alive(self):
        return {
            host
            for host, row in self.rows.items()
            if row.state < peer.HostState.SUSPECT
        }

    def ranked(self):
        local = [
            host
            for host in self.alive()
            if self.rows[host].data_centre == 'dc-a'
        ]
        return sorted(local, key=membership.rank_of)

    def endpoints(self, target_set):
        return {
            (host, target.name)
            for host in self.alive()
            for target in self.rows[host].targets
            if target.target_set == target_set
            and target.state == peer.TargetState.SERVING
        }


def compare(table, view, naive):
    hosts = table.hosts
    assert [hosts[row] for _rank, row in table.ranked] == naive.ranked()
    members = [
        host
        for host, row in naive.rows.items()
        if row.data_centre == 'dc-a' and row.state != peer.HostState.GONE
    ]
    coverage = 0
    for host in members:
        coverage ^= membership.rank_of(host)
    assert (table.members, table.coverage) == (len(members), coverage)
    for host, held in naive.held.items():
        assert table.held_versions[table.find(host)] == held
    for target_set in ('s0', 's1', 's2'):
        found = view.by_set.get(target_set, ())
        pairs = {(item.host, item.name) for item in found}
        assert pairs == naive.endpoints(target_set), target_set


@then('any sequence of rows leaves the table as a plain dictionary would')
def step_table(context):
    @PROPERTY
    @hypothesis.given(st.lists(host_rows(), max_size=25), st.randoms())
    def check(rows, random):
        table = membership.make_host_table('dc-a')
        view = membership.TargetView()
        naive = NaiveTable()
        for row in rows:
            assert table.merge(row, 0) == naive.merge(row)
            view.refresh(table)
            compare(table, view, naive)
        for host, row in tuple(naive.rows.items()):
            if row.state == peer.HostState.GONE:
                table.forget(table.find(host))
                del naive.rows[host], naive.held[host]
        view.refresh(table)
        compare(table, view, naive)
        # The same rows in another order, gone hosts aside, give the same
        # digest.
        other = membership.make_host_table('dc-b')
        final = [table.make_message(row) for row in table]
        random.shuffle(final)
        for row in final:
            other.merge(row, 0)
        assert other.digest == table.digest
        assert list(other.bucket_digests) == list(table.bucket_digests)

    check()

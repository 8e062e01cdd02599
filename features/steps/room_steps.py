"""Steps for reservations on narrow links."""

import json

from behave import given
from behave import then
from behave import when

from sedgering.mesh import _link_reservations
from sedgering import testing


class LinkSubject:
    """Reservations on one link, with a clock that the test sets."""

    def __init__(self, mbps: int):
        self.now_s = 0.0
        self.reservations = _link_reservations.LinkReservations(
            mbps, lambda: self.now_s
        )

    def reserve(self, size: int, times: int) -> int:
        """Reserve several times; return how many were granted."""
        return sum(self.reservations.reserve(size) for _ in range(times))


@given('a host with a link of {mbps:d} Mbit/s')
def step_host(context, mbps):
    context.row = testing.make_member_row('hall-1', link_mbps=mbps)


@then('a body of {size:d} bytes is sent there {how}')
def step_sent(context, size, how):
    assert _link_reservations.needs_reservation(context.row, size) is (
        how == 'with a reservation'
    )


@given('reservations on a link of {mbps:d} Mbit/s')
def step_link(context, mbps):
    context.link = LinkSubject(mbps)


@then('{count:d} of {times:d} reservations of {size:d} bytes are granted')
def step_reservations(context, size, count, times):
    assert context.link.reserve(size, times) == count
    context.size = size


@then('one more after one of them has arrived')
def step_one_more(context):
    context.link.reservations.release(context.size)
    assert context.link.reserve(context.size, 2) == 1


@then('{count:d} more once the reservations have expired')
def step_run_out(context, count):
    context.link.now_s += _link_reservations.RESERVATION_TIMEOUT_S
    assert context.link.reserve(context.size, 5) == count


class UploadSubject:
    """A mesh of hosts with narrow links; a first host has no target."""

    def __init__(self, hosts: int, mbps: int):
        self.fleet = testing.MeshFleet(link_mbps=mbps)
        self.first = self.fleet.add_host('h0', 'calendar')
        self.others = [
            self.fleet.add_host(f'h{number}', 'archive')
            for number in range(1, hosts)
        ]
        route = {
            'prefix': '/upload/',
            'kind': 'upload',
            'service': 'archive',
        }
        self.fleet.configure(testing.make_document(1, [route, {}]))
        self.fleet.wait_ready()

    def fill(self, hosts) -> None:
        """Reserve the whole capacity of the links of hosts."""
        for host in hosts:
            reservations = host.daemon.state.target_client.link_reservations
            self.fleet.run(_reserve_all(reservations))

    def upload(self, number: int, size: int):
        """Upload one body from the first host."""
        return self.fleet.call(
            self.first.addresses.callers_port,
            '/upload/',
            b'x' * size,
            X_Request_Id=f'up-{number}',
        )


async def _reserve_all(
    reservations: _link_reservations.LinkReservations,
) -> None:
    reservations.now_s = lambda: 0.0
    assert reservations.reserve(reservations.limit_bytes)


@given('a mesh of {hosts:d} hosts with links of {mbps:d} Mbit/s')
def step_uploads(context, hosts, mbps):
    context.uploads = UploadSubject(hosts, mbps)
    context.cleanups.append(context.uploads.fleet.stop)


@when('the links of all hosts but one are full')
def step_fill_most(context):
    context.uploads.fill(context.uploads.others[1:])


@when('the links of all hosts are full')
def step_fill_all(context):
    context.uploads.fill(context.uploads.others)


@then('{count:d} uploads of {size:d} bytes all run there, once each')
def step_run_there(context, count, size):
    subject = context.uploads
    for number in range(count):
        assert subject.upload(number, size).status == 200
    ids = [run[0] for run in subject.others[0].books.runs]
    assert ids == [f'up-{number}' for number in range(count)]
    assert not any(host.books.runs for host in subject.others[1:])


@then(
    'an upload of {size:d} bytes gets {status:d} and code {code:d}, '
    'and has not run'
)
def step_no_room(context, size, status, code):
    subject = context.uploads
    answer = subject.upload(0, size)
    assert answer.status == status, answer
    assert json.loads(answer.body)['code'] == code
    assert not any(host.books.runs for host in subject.others)

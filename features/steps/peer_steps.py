"""Steps on messages between proxies."""

import contextlib
import socket
import struct

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
from strategies import PROPERTY

from sedgering import exceptions
from sedgering import peer
from sedgering import testing


def make_datagram():
    return peer.Datagram(
        mesh='mesh',
        protocol=peer.PROTOCOL_VERSION,
        sender='host',
        incarnation=1,
        announcement=peer.Announcement(version=3, digest=b'd' * 32),
        compare=peer.Compare(1, 2, 3, False),
        rows=[
            peer.HostRow(
                'host',
                'dc',
                '127.0.0.1',
                1,
                2,
                1,
                1,
                peer.HostState.SERVING,
                1,
                [],
            )
        ],
    )


def code_of(data):
    try:
        peer.decode_datagram(data, 'mesh')
    except exceptions.PeerError as error:
        return int(error.code)
    return 0


@then('any datagram either decodes to fields in range or is refused')
def step_fuzz(context):
    sound = peer.encode_datagram(make_datagram())

    @PROPERTY
    @hypothesis.given(st.data())
    def check(data):
        damaged = bytearray(sound)
        for _ in range(data.draw(st.integers(1, 4))):
            index = data.draw(st.integers(0, len(damaged) - 1))
            damaged[index] = data.draw(st.integers(0, 255))
        for candidate in (
            bytes(damaged),
            bytes(damaged[: data.draw(st.integers(0, len(damaged)))]),
            data.draw(st.binary(max_size=200)),
        ):
            try:
                found = peer.decode_datagram(candidate, 'mesh')
            except exceptions.PeerError:
                continue
            assert found.incarnation >= 0 and found.sender
            for row in found.rows or ():
                assert 0 < row.peer_port < 65536 and row.state in range(1, 6)

    check()


@given('a datagram where {field} is {value}')
def step_datagram(context, field, value):
    datagram = make_datagram()
    value = '' if value == 'nothing' else value
    is_number = isinstance(getattr(datagram, field), int)
    setattr(datagram, field, int(value) if is_number else value)
    context.data = peer.encode_datagram(datagram)


@then('decoding it is refused with {code:d}')
def step_refused(context, code):
    assert code_of(context.data) == code


@then('{size:d} bytes are refused with {code:d}')
def step_large(context, size, code):
    assert code_of(b'x' * size) == code


class PeerSubject(peer.PeerHandler):
    """Answers with one version."""

    def content_since(self, held_version):
        return peer.Content(7, b'd' * 32, 0, b'body')

    def list_bucket_digests(self):
        return [0]

    def list_rows(self, buckets):
        return []

    def start(self):
        (port,) = testing.free_ports(1)
        self.address = ('127.0.0.1', port)
        peer.make_peer_server(*self.address, 'mesh', self).start()

    def fetch(self, mesh='mesh'):
        caller = peer.Caller(mesh, peer.PROTOCOL_VERSION, 'host', 1)
        return peer.fetch_content(self.address, caller, 0, 8000)


@given('a peer service that holds one version')
def step_service(context):
    context.peer = PeerSubject()
    context.peer.start()


@when('it gets garbage, a huge frame length, half a frame and a stranger')
def step_garbage(context):
    for data in (
        b'\xff' * 500,
        struct.pack('!i', 2_000_000_000) + b'x' * 100,
        struct.pack('!i', 100) + b'x' * 10,
        struct.pack('!i', 40) + b'\x82\x21\x01\x05fetch' + b'\x1c' * 31,
    ):
        with contextlib.closing(
            socket.create_connection(context.peer.address)
        ) as s:
            s.sendall(data)
    try:
        context.peer.fetch('other')
    except exceptions.PeerError as error:
        assert error.code is exceptions.Code.PEER_MESH
    else:
        raise AssertionError('a stranger was answered')


@then('it still answers a peer of its mesh')
def step_answers(context):
    assert context.peer.fetch().version == 7

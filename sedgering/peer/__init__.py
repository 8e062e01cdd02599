"""Messages between proxies: datagrams, and content over TCP.

The message types come from ``wire.thrift``; ``gen`` holds what the
compiler made of it.
"""

from sedgering.peer._client import bucket_digests
from sedgering.peer._client import fetch_content
from sedgering.peer._client import pull_rows
from sedgering.peer._codec import decode_datagram
from sedgering.peer._codec import encode_datagram
from sedgering.peer._codec import MAX_DATAGRAM_BYTES
from sedgering.peer._codec import PROTOCOL_VERSION
from sedgering.peer._notice import send_head_notice
from sedgering.peer._server import make_peer_server
from sedgering.peer._server import PeerHandler
from sedgering.peer._server import PeerServer
from sedgering.peer.gen.wire.ttypes import Acknowledgement
from sedgering.peer.gen.wire.ttypes import Announcement
from sedgering.peer.gen.wire.ttypes import Caller
from sedgering.peer.gen.wire.ttypes import Compare
from sedgering.peer.gen.wire.ttypes import Content
from sedgering.peer.gen.wire.ttypes import Datagram
from sedgering.peer.gen.wire.ttypes import HostRow
from sedgering.peer.gen.wire.ttypes import HostState
from sedgering.peer.gen.wire.ttypes import PeerRefusal
from sedgering.peer.gen.wire.ttypes import Refusal
from sedgering.peer.gen.wire.ttypes import TargetRow
from sedgering.peer.gen.wire.ttypes import TargetState

__all__ = [
    'Acknowledgement',
    'Announcement',
    'Caller',
    'Compare',
    'Content',
    'Datagram',
    'HostRow',
    'HostState',
    'MAX_DATAGRAM_BYTES',
    'PROTOCOL_VERSION',
    'PeerHandler',
    'PeerRefusal',
    'PeerServer',
    'Refusal',
    'TargetRow',
    'TargetState',
    'bucket_digests',
    'decode_datagram',
    'encode_datagram',
    'fetch_content',
    'make_peer_server',
    'pull_rows',
    'send_head_notice',
]

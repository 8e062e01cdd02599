"""HTTP/1.1 on an asyncio event loop: messages, client and server side."""

from sedgering.transport._body_memory import BodyMemory
from sedgering.transport._client import ClientConnection
from sedgering.transport._client import connect
from sedgering.transport._client import ConnectFailed
from sedgering.transport._client import ExchangeFailed
from sedgering.transport._client import ResponseGaveWay
from sedgering.transport._connection_use import ConnectionUse
from sedgering.transport._headers import find_header
from sedgering.transport._headers import Headers
from sedgering.transport._headers import HOP_NAMES
from sedgering.transport._headers import strip_hop_headers
from sedgering.transport._listening import stop_listening
from sedgering.transport._load import ServiceLoad
from sedgering.transport._loop import BootTimeLoop
from sedgering.transport._messages import encode_request
from sedgering.transport._messages import encode_response
from sedgering.transport._messages import make_json_response
from sedgering.transport._messages import Request
from sedgering.transport._messages import Response
from sedgering.transport._pacing import LinkPacer
from sedgering.transport._pacing import make_pacer
from sedgering.transport._pacing import PacedWrite
from sedgering.transport._pool import ConnectionPool
from sedgering.transport._response_memory import make_response_memory
from sedgering.transport._response_memory import ResponseHolder
from sedgering.transport._response_memory import ResponseMemory
from sedgering.transport._server import serve
from sedgering.transport._service import CallerLimits
from sedgering.transport._service import Service
from sedgering.transport._sockets import reset_connection

__all__ = [
    'BodyMemory',
    'BootTimeLoop',
    'CallerLimits',
    'ClientConnection',
    'ConnectFailed',
    'ConnectionPool',
    'ConnectionUse',
    'ExchangeFailed',
    'HOP_NAMES',
    'Headers',
    'LinkPacer',
    'PacedWrite',
    'Request',
    'Response',
    'ResponseGaveWay',
    'ResponseHolder',
    'ResponseMemory',
    'Service',
    'ServiceLoad',
    'connect',
    'encode_request',
    'encode_response',
    'find_header',
    'make_json_response',
    'make_pacer',
    'make_response_memory',
    'reset_connection',
    'serve',
    'stop_listening',
    'strip_hop_headers',
]

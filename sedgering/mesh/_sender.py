"""Sends one call to one target, beside this daemon or another one."""

import asyncio

from sedgering.mesh import _hop
from sedgering.mesh import _messages
from sedgering.mesh import _peers
from sedgering.mesh import _progress
from sedgering.mesh import _room
from sedgering.mesh import _target_side
from sedgering import transport

__all__ = ['CallSender']

_Outcome = _messages.CallOutcome
_Reason = _messages.RefusalReason
_Stage = _progress.AttemptStage


class CallSender:
    """Sends calls, and learns the load that answers tell.

    Parameters
    ----------
    identity : MeshIdentity
        Who this daemon is.
    side : TargetSide
        The local target.
    peers : PeerTable
        What is known of the targets of others.
    """

    def __init__(
        self,
        identity: _messages.MeshIdentity,
        side: _target_side.TargetSide,
        peers: _peers.PeerTable,
    ):
        self.identity = identity
        self.side = side
        self.peers = peers

    async def send(
        self,
        peer: _peers.Peer,
        call: _messages.TargetCall,
        progress: _progress.AttemptProgress,
    ) -> _messages.CallAnswer:
        """Send a call, and wait for its answer.

        Parameters
        ----------
        peer : Peer
            The target and its daemon.
        call : TargetCall
            To send.
        progress : AttemptProgress
            Is told where the call is.
        """
        loop = asyncio.get_running_loop()
        is_nested = call.urgency is _messages.CallUrgency.TARGET
        peer.start_call(loop.time(), is_nested)
        try:
            if peer.row.host == self.identity.host:
                progress.note(_Stage.OWN_TARGET, loop.time())
                answer = await self.side.run(call)
                self._take_report(peer, call, answer)
                return answer
            return await self._ask(peer, call, progress)
        finally:
            peer.end_call(is_nested)

    def _take_report(
        self,
        peer: _peers.Peer,
        call: _messages.TargetCall,
        answer: _messages.CallAnswer,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self.peers.take_report(peer, answer.load, call.route, now_s)

    async def _ask(
        self,
        peer: _peers.Peer,
        call: _messages.TargetCall,
        progress: _progress.AttemptProgress,
    ) -> _messages.CallAnswer:
        """Send a call to another daemon."""
        now_s = asyncio.get_running_loop().time
        try:
            connection = await peer.pool.take()
        except transport.ConnectFailed as error:
            peer.note_unreachable(now_s(), str(error), error.is_refused)
            return _messages.CallAnswer(
                _Outcome.NOT_RUN,
                reason=_Reason.UNREACHABLE,
                detail=str(error),
            )
        progress.connection = connection
        progress.note(_Stage.ROOM, now_s())
        is_sent = False
        try:
            answer = await self._ask_for_room(peer, connection, call)
            if answer is None:
                is_sent = True
                progress.note(_Stage.ANSWER, now_s())
                answer = await self._exchange(connection, call)
        except (transport.ExchangeFailed, _hop.HopError) as error:
            connection.close()
            peer.fail(now_s(), str(error))
            return _messages.CallAnswer(
                _Outcome.UNKNOWN if is_sent else _Outcome.NOT_RUN,
                reason=_Reason.CONNECTION_LOST,
                reached_target=is_sent,
                detail=str(error),
            )
        peer.pool.put(connection)
        self._take_report(peer, call, answer)
        return answer

    async def _ask_for_room(
        self,
        peer: _peers.Peer,
        connection: transport.ClientConnection,
        call: _messages.TargetCall,
    ) -> _messages.CallAnswer | None:
        """Ask whether a large body may be sent; None when it may."""
        body_bytes = len(call.request.body)
        if not _room.needs_room(peer.row, body_bytes):
            return None
        response = await connection.exchange(
            _room.encode_room_request(body_bytes), lambda _response: True
        )
        answer = _hop.decode_answer(response)
        return None if answer.reason is _Reason.NONE else answer

    async def _exchange(
        self,
        connection: transport.ClientConnection,
        call: _messages.TargetCall,
    ) -> _messages.CallAnswer:
        response = await connection.exchange(
            _hop.encode_call(call),
            lambda _response: True,
            call.request.method == 'HEAD',
        )
        return _hop.decode_answer(response)

"""Sends one call to one target, local or at another daemon."""

import asyncio
from collections.abc import Callable
import functools

from sedgering.mesh import _hop
from sedgering.mesh import _link_reservations
from sedgering.mesh import _messages
from sedgering.mesh import _peers
from sedgering.mesh import _progress
from sedgering.mesh import _target_client
from sedgering import transport

__all__ = ['CallSender', 'SentCall']

_Outcome = _messages.CallOutcome
_Reason = _messages.RefusalReason
_Stage = _progress.AttemptStage


class SentCall:
    """A call sent over an open connection, without a task of its own.

    It has those methods of a task that a request uses.  The waiting request
    is notified in the same event loop iteration in which the answer arrives.

    Parameters
    ----------
    connection : ClientConnection
        Connection that the call was sent over.
    on_cancelled : callable
        Called when the call is cancelled.
    """

    __slots__ = ('_answer', '_connection', '_on_cancelled', '_on_done')

    def __init__(
        self,
        connection: transport.ClientConnection,
        on_cancelled: Callable[[], None],
    ):
        self._connection = connection
        self._on_cancelled = on_cancelled
        self._on_done: Callable[[SentCall], None] | None = None
        self._answer: _messages.CallAnswer | None = None

    def add_done_callback(self, on_done: Callable) -> None:
        """Set the callback that runs when the answer has arrived."""
        self._on_done = on_done

    def end(self, answer: _messages.CallAnswer) -> None:
        """Set the answer and run the callback."""
        self._answer = answer
        on_done, self._on_done = self._on_done, None
        if on_done is not None:
            on_done(self)

    def done(self) -> bool:
        """Whether the answer has arrived."""
        return self._answer is not None

    def result(self) -> _messages.CallAnswer:
        """Return the answer."""
        return self._answer

    def cancel(self) -> None:
        """Cancel the call; the other daemon sees the connection close."""
        if self._answer is None:
            self._connection.abandon()
            self._on_cancelled()


class CallSender:
    """Sends calls, and records the load reported with answers.

    Parameters
    ----------
    identity : MeshIdentity
        Identity of this daemon.
    target_client : TargetClient
        The local target.
    peers : PeerTable
        Load and failures of the targets of other daemons.
    """

    def __init__(
        self,
        identity: _messages.MeshIdentity,
        target_client: _target_client.TargetClient,
        peers: _peers.PeerTable,
    ):
        self.identity = identity
        self.target_client = target_client
        self.peers = peers

    def begin(
        self,
        peer: _peers.Peer,
        call: _messages.TargetCall,
        progress: _progress.AttemptProgress,
    ) -> asyncio.Task | SentCall:
        """Start a call; return a task or an equivalent object.

        Over an open connection no task is needed, which saves 0.1 ms.

        Parameters
        ----------
        peer, call, progress
            As for :meth:`send`.

        Returns
        -------
        Task or SentCall
            Done when the answer has arrived.
        """
        connection = None
        if not self._needs_task(peer, call):
            connection = peer.pool.take_idle()
        if connection is None:
            sending = self.send(peer, call, progress)
            return asyncio.get_running_loop().create_task(sending)
        return self._begin_at(connection, peer, call, progress)

    def _needs_task(
        self, peer: _peers.Peer, call: _messages.TargetCall
    ) -> bool:
        """Whether the call takes more than one exchange, or is local."""
        is_own = peer.row.host == self.identity.host
        return is_own or _link_reservations.needs_reservation(
            peer.row, len(call.request.body)
        )

    def _begin_at(
        self,
        connection: transport.ClientConnection,
        peer: _peers.Peer,
        call: _messages.TargetCall,
        progress: _progress.AttemptProgress,
    ) -> SentCall:
        """Send a call over a connection."""
        now_s = asyncio.get_running_loop().time()
        is_nested = call.urgency is _messages.CallUrgency.TARGET
        sent = SentCall(
            connection, functools.partial(peer.end_call, is_nested)
        )

        def end(outcome: transport.Response | transport.ExchangeFailed):
            try:
                answer = self._take_answer(peer, connection, call, outcome)
            finally:
                peer.end_call(is_nested)
            sent.end(answer)

        peer.start_call(now_s, is_nested)
        progress.connection = connection
        progress.note(_Stage.ANSWER, now_s)
        connection.begin_exchange(
            _hop.encode_call(call),
            _accept_any,
            end,
            call.request.method == 'HEAD',
        )
        return sent

    def _take_answer(
        self,
        peer: _peers.Peer,
        connection: transport.ClientConnection,
        call: _messages.TargetCall,
        outcome: transport.Response | transport.ExchangeFailed,
    ) -> _messages.CallAnswer:
        """Turn the outcome of an exchange into the answer of the call."""
        if isinstance(outcome, transport.ExchangeFailed):
            return self._fail(peer, connection, outcome, True)
        try:
            answer = _hop.decode_answer(outcome)
        except _hop.HopError as error:
            return self._fail(peer, connection, error, True)
        peer.pool.put(connection)
        self._take_report(peer, call, answer)
        return answer

    @staticmethod
    def _fail(
        peer: _peers.Peer,
        connection: transport.ClientConnection,
        error: Exception,
        is_sent: bool,
    ) -> _messages.CallAnswer:
        """Make the answer of a call whose connection or response failed."""
        connection.close()
        if not isinstance(error, transport.ResponseGaveWay):
            peer.fail(asyncio.get_running_loop().time(), str(error))
        return _messages.CallAnswer(
            _Outcome.UNKNOWN if is_sent else _Outcome.NOT_RUN,
            reason=_Reason.CONNECTION_LOST,
            reached_target=is_sent,
            detail=str(error),
        )

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
            The call to send.
        progress : AttemptProgress
            Updated with the stage of the attempt.
        """
        loop = asyncio.get_running_loop()
        is_nested = call.urgency is _messages.CallUrgency.TARGET
        peer.start_call(loop.time(), is_nested)
        try:
            if peer.row.host == self.identity.host:
                progress.note(_Stage.OWN_TARGET, loop.time())
                answer = await self.target_client.run(call)
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
        self.peers.record_report(peer, answer.load, call.route, now_s)

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
            answer = await self._request_reservation(peer, connection, call)
            if answer is None:
                is_sent = True
                progress.note(_Stage.ANSWER, now_s())
                answer = await self._exchange(connection, call)
        except (transport.ExchangeFailed, _hop.HopError) as error:
            return self._fail(peer, connection, error, is_sent)
        peer.pool.put(connection)
        self._take_report(peer, call, answer)
        return answer

    async def _request_reservation(
        self,
        peer: _peers.Peer,
        connection: transport.ClientConnection,
        call: _messages.TargetCall,
    ) -> _messages.CallAnswer | None:
        """Ask whether a large body may be sent; None when it may."""
        body_bytes = len(call.request.body)
        if not _link_reservations.needs_reservation(peer.row, body_bytes):
            return None
        response = await connection.exchange(
            _link_reservations.encode_reservation_request(body_bytes),
            _accept_any,
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
            _accept_any,
            call.request.method == 'HEAD',
        )
        return _hop.decode_answer(response)


def _accept_any(_response: transport.Response) -> bool:
    """Accept any response: a connection carries one call at a time."""
    return True

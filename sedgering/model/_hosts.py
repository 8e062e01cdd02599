"""Hosts of the model: the daemon's own decisions without its sockets."""

import asyncio
import random

import msgspec

from sedgering import base
from sedgering import mesh
from sedgering.mesh import _answer_admission
from sedgering.mesh import _config
from sedgering.mesh import _decisions
from sedgering.mesh import _exchange
from sedgering.mesh import _gate
from sedgering.mesh import _link
from sedgering.mesh import _link_reservations
from sedgering.mesh import _peers
from sedgering.mesh import _sender
from sedgering.mesh import _state
from sedgering.mesh import _target_client
from sedgering.model import _loads
from sedgering.model import _results
from sedgering.model import _targets
from sedgering import transport

__all__ = ['ModelHost', 'ModelTargetClient', 'NAMES', 'WorkBook']

ADDRESS = '10.0.0.1'
#: Ports are never opened.
PORT = 1
NAMES = mesh.HeaderNames(
    'id', 'deadline', 'proof', 'expect', 'origin', 'not-run', 'target', 'load'
)
MESH_NAME = 'model'

#: Work of each request under way, by its id.
WorkBook = dict[str, _targets.Work]


class _ModelConnection:
    """Stands for a connection to a model target."""

    def close(self) -> None:
        """Do nothing: the target ends what is under way itself."""


class ModelTargetClient(_target_client.TargetClient):
    """Runs calls at a model target in place of a socket."""

    def __init__(
        self, mesh_settings, link, link_reservations, gate, target, work_book
    ):
        addresses = mesh.Addresses(
            ADDRESS, PORT, PORT, PORT, PORT, ADDRESS, PORT
        )
        super().__init__(
            NAMES,
            addresses,
            mesh_settings,
            mesh.LocalTarget(),
            gate,
            link,
            link_reservations,
            _answer_admission.AnswerAdmission(None, gate.now_s),
        )
        self.model_target: _targets.ModelTarget = target
        self.work_book: WorkBook = work_book

    async def is_listening(self):
        return self.model_target.is_up

    async def _send(self, call, ticket):
        lifetime = self.target.lifetime
        sent = self._make_sent_call(call, ticket, lifetime)
        connection = _ModelConnection()
        self._in_flight[connection] = sent
        try:
            return await self._run_model(call, ticket)
        except _targets.TargetDown:
            self._handle_crash(lifetime)
            return mesh.CallAnswer(
                mesh.CallOutcome.NOT_RUN,
                reason=mesh.RefusalReason.TARGET_UNKNOWN,
            )
        except _targets.TargetEnded:
            await self._check_lost_call(sent)
            return mesh.CallAnswer(
                mesh.CallOutcome.UNKNOWN,
                reason=mesh.RefusalReason.CONNECTION_LOST,
                reached_target=True,
                crashes=self._list_crashes(call),
            )
        finally:
            del self._in_flight[connection]

    async def _run_model(self, call, ticket):
        work = self.work_book[call.request_id]
        left_s = ticket.deadline_s - self.gate.now_s()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                answer = await self.model_target.run(work, ticket.deadline_s)
        except TimeoutError:
            return mesh.CallAnswer(
                mesh.CallOutcome.ANSWERED,
                transport.Response(504, []),
                reached_target=True,
            )
        self.note_load(self.model_target.load_field)
        return answer


class _ModelSender(_sender.CallSender):
    """Sends calls to other hosts of the model after the time of the way."""

    def __init__(self, identity, target_client, peers, target_clients, load):
        super().__init__(identity, target_client, peers)
        self.target_clients: dict[base.HostId, ModelTargetClient] = (
            target_clients
        )
        self.load: _loads.Load = load
        self.sent = _results.SentCalls()

    async def send(self, peer, call, progress):
        answer = await super().send(peer, call, progress)
        is_far = peer.row.data_centre != self.identity.data_centre
        size_bytes = len(answer.response.body) if answer.response else 0
        self.sent.note_answer(is_far, size_bytes)
        return answer

    async def _ask(self, peer, call, _progress):
        self.sent.calls += 1
        is_far = peer.row.data_centre != self.identity.data_centre
        hop_ms = self.load.far_hop_ms if is_far else self.load.hop_ms
        hop_s = hop_ms / 1000
        await asyncio.sleep(hop_s)
        lag_ms = int(hop_ms)
        arrived = msgspec.structs.replace(
            call,
            remaining_ms=max(0, call.remaining_ms - lag_ms),
            goal_ms=max(0, call.goal_ms - lag_ms),
        )
        answer = await self.target_clients[peer.row.host].run(arrived)
        await asyncio.sleep(hop_s)
        self._take_report(peer, call, answer)
        return answer


class ModelHost:
    """A host: its target, its gate, and the decisions for its callers.

    Parameters
    ----------
    row : MemberRow
        Its host and target.
    target : ModelTarget
        Beside it.
    mesh_settings : MeshSettings
        Of the daemon.
    budget : RetryWindow
        Its share of retries.
    work_book : dict of str to Work
        Shared by all hosts.
    seed : int
        Of its choices.
    """

    def __init__(
        self,
        row: mesh.MemberRow,
        target: _targets.ModelTarget,
        mesh_settings: mesh.MeshSettings,
        budget: mesh.RetryWindow,
        work_book: WorkBook,
        seed: int,
    ):
        now_s = asyncio.get_running_loop().time
        self.row = row
        self.target = target
        identity = mesh.MeshIdentity(row.host, row.data_centre, row.target_set)
        self.target_client = ModelTargetClient(
            mesh_settings,
            _link.LinkMeter(0, now_s),
            _link_reservations.LinkReservations(0, now_s),
            _gate.Gate(mesh_settings, now_s),
            target,
            work_book,
        )
        self.state = _state.RequestState(
            identity,
            NAMES,
            mesh_settings,
            _config.ConfigHolder(MESH_NAME),
            mesh.FleetTable(),
            _peers.PeerTable(mesh_settings),
            self.target_client,
            budget,
            _decisions.DecisionLog(10_000, 1, now_s),
            random.Random(seed),
        )

    def join(self, hosts: dict[base.HostId, 'ModelHost'], load: _loads.Load):
        """Learn of all hosts, and report the own target as ready."""
        self.take_rows({name: host.row for name, host in hosts.items()})
        self.state.start.end()
        self.state.sender = _ModelSender(
            self.state.identity,
            self.target_client,
            self.state.peers,
            {name: host.target_client for name, host in hosts.items()},
            load,
        )
        self.report()

    def report(self) -> None:
        """Report the own target as ready."""
        report = mesh.TargetReport(
            self.row.target,
            self.row.target_set,
            self.row.slots,
            mesh.TargetState.READY,
            0,
            1,
        )
        self.target_client.target.take_report(
            report, self.target_client.gate.now_s()
        )
        self.target_client.handle_new_lifetime()
        self.target_client.refresh_gate()

    def renew(self) -> None:
        """Start another lifetime of the target, and report it."""
        self.target.start()
        name = f'{self.row.host}-{self.target.ends}'
        self.row = msgspec.structs.replace(
            self.row,
            target=base.TargetName(name),
            state=mesh.TargetState.READY,
            crashes=self.target_client.watch.records,
        )
        self.report()

    def note_down(self) -> None:
        """Show in the row that the target has ended."""
        self.row = msgspec.structs.replace(
            self.row,
            state=mesh.TargetState.DOWN,
            crashes=self.target_client.watch.records,
        )

    def take_rows(self, rows: dict[base.HostId, mesh.MemberRow]) -> None:
        """Take over the rows of all hosts, as the store has them."""
        for row in rows.values():
            self.state.crashes.add_row(row)
        self.state.fleet.replace(rows)

    async def ask(
        self,
        path: str,
        request_id: str,
        deadline_ms: int,
        workspace: str,
    ) -> transport.Response:
        """Send a request of this host, and wait for its answer.

        Parameters
        ----------
        path, request_id : str
            Of the request.
        deadline_ms : int
            Time for which its sender waits.
        workspace : str
            That asks; empty for none.
        """
        headers = [
            ('Host', MESH_NAME),
            (NAMES.request_id, request_id),
            (NAMES.deadline_ms, str(deadline_ms)),
        ]
        if workspace:
            headers.append(
                ('Authorization', f'{NAMES.key_scheme} {workspace}')
            )
        now_s = asyncio.get_running_loop().time()
        request = transport.Request('GET', path, headers, received_s=now_s)
        return await _exchange.Exchange(request, self.state).run()

"""Refuses the requests that wait for a daemon that will not start."""

import asyncio

from sedgering import base
from sedgering import exceptions
from sedgering.mesh import _messages
from sedgering.mesh import _refusal
from sedgering.mesh import _settings
from sedgering.mesh import _shutdown
from sedgering import ports
from sedgering import transport

__all__ = ['refuse_waiting']

#: Time for those that are about to send, and for all answers: well below any
#: grace time, which is not known while the settings are not.
AWAITING_S = 0.5
LIMIT_S = 2.0


class RefusalService(transport.Service):
    """Refuses all requests as not run.

    Parameters
    ----------
    names : HeaderNames
        Names of the header fields.
    """

    is_closing = True
    keeps_half_closed = True

    def __init__(self, names: _messages.HeaderNames):
        super().__init__()
        self.names = names

    def find_limits(self) -> transport.CallerLimits:
        """Return the default limits."""
        return transport.CallerLimits()

    async def answer(self, request: transport.Request) -> transport.Response:
        """Return a refusal."""
        id_field = self.names.request_id
        return _refusal.make_refusal(
            exceptions.Code.REQUEST_LEAVING,
            id_field,
            base.RequestId(request.find(id_field.lower()) or ''),
            _settings.MeshSettings().longest_retry_after_ms / 1000,
        )


async def refuse_waiting(
    opened: ports.OpenPorts, names: _messages.HeaderNames
) -> None:
    """Refuse the requests in the queues of open ports, and close these.

    Parameters
    ----------
    opened : OpenPorts
        Ports that no service has taken.
    names : HeaderNames
        Names of the header fields.
    """
    now_s = asyncio.get_running_loop().time()
    service = RefusalService(names)
    for address, port, listener in opened.take_all():
        server = await transport.serve(service, address, port, listener)
        await transport.stop_listening(server, service)
    wait = _shutdown.RequestWait(
        (service,), now_s + AWAITING_S, now_s + LIMIT_S
    )
    await wait.run(_shutdown.LAST_IDLE_CHECKS)
    await wait.close_connections()

"""A fleet in which a version of a target set is rolled out."""

import asyncio

from sedgering import base
from sedgering import testing

SET = base.TargetSetName('calendar')
#: Grace time of daemons that are told to leave.
GRACE_MS = 1000


class RolloutFleet:
    """A fleet, and callers that send calls continuously."""

    def __init__(self, count: int, version: str = 'v1'):
        self.fleet = testing.MeshFleet(has_rollouts=True)
        self.statuses: list[int] = []
        #: Hosts whose callers send the calls; those of v1 if there are none.
        self.callers: list[testing.MeshHost] = []
        self.fleet.configure(testing.make_document(1, [{}]))
        for number in range(count):
            self.fleet.add_host(f'old-{number}', version=version)
        self.fleet.wait_ready()

    def add(self, count: int, version: str) -> None:
        """Add targets of another version."""
        for number in range(count):
            self.fleet.add_host(f'new-{number}', version=version)
        self.fleet.wait_ready()

    def add_callers(self, count: int) -> None:
        """Add hosts of another target set, whose callers send the calls."""
        for number in range(count):
            host = self.fleet.add_host(f'caller-{number}', 'ledger')
            self.callers.append(host)
        self.fleet.wait_ready()

    def end_daemons(self, hosts: list, how: str) -> None:
        """End the daemons beside some targets, all at once."""
        if how == 'killed':
            for host in hosts:
                self.fleet.kill(host)
            return
        self.fleet.run(self._leave(hosts))

    async def _leave(self, hosts: list) -> None:
        await asyncio.gather(*(host.daemon.leave(GRACE_MS) for host in hosts))
        for host in hosts:
            await self.fleet.close_daemon(host)

    def start_daemons(self, hosts: list) -> None:
        """Start daemons again beside targets that ran on."""
        for host in hosts:
            self.fleet.run(self.fleet.start_daemon(host))
        for host in hosts:
            self.fleet.report(host)

    def list_hosts(self, version: str) -> list:
        """Return the hosts whose targets have a version."""
        return [
            host
            for host in self.fleet.hosts.values()
            if host.version == version and host.target_set == SET
        ]

    def count_runs(self, version: str) -> int:
        """Return the number of calls that targets of a version ran."""
        return sum(len(host.books.runs) for host in self.list_hosts(version))

    def ask_until(self, is_over, longest_s: float) -> None:
        """Send calls, one after the other, until a condition holds."""
        self.fleet.run(self._ask_until(is_over, longest_s))

    async def _ask_until(self, is_over, longest_s: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + longest_s
        number = 0
        while not is_over() and loop.time() < end_s:
            for host in self.callers or self.list_hosts('v1'):
                number += 1
                response = await self.fleet.start_call(
                    host.addresses.callers_port,
                    '/r0/x',
                    X_Request_Id=f'q{number}-{len(self.statuses)}',
                    X_Request_Deadline='1000',
                )
                self.statuses.append(response.status)
            await asyncio.sleep(0.005)

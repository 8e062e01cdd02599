"""A request that crashes each target that runs it, sent repeatedly."""

import asyncio
import itertools
import random

from sedgering import platform
from soak import _daemons
from soak import _probes

__all__ = ['CrashRequestCaller', 'FATAL_PATH', 'ROUTE', 'check_quarantine']

FATAL_PATH = '/fatal/'
ROUTE = {'prefix': FATAL_PATH}
DEADLINE_MS = 1500
#: Interval between two attempts, each at a random host.
INTERVAL_S = 0.1
#: Number of crashes after which all hosts must quarantine the request, and
#: the number of runs allowed later than `PROPAGATION_S` after that.
CRASH_LIMIT = 3
LATE_RUN_LIMIT = 3
PROPAGATION_S = 3.0


class CrashRequestCaller:
    """Sends the request to random hosts.

    Parameters
    ----------
    seed : int
        Seed of the choice of hosts.
    """

    def __init__(self, seed: int):
        #: Request ids of all attempts.
        self.ids: set[str] = set()
        self._rng = random.Random(f'fatal {seed}')
        self._numbers = itertools.count()

    async def send_repeatedly(
        self, daemons: list[_daemons.Daemon], for_s: float
    ) -> None:
        """Send attempts for a while, whatever their answers are."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        attempts = []
        while loop.time() < end_s:
            request_id = f'fatal-{next(self._numbers)}'
            self.ids.add(request_id)
            headers = (
                (platform.HEADERS.request_id, request_id),
                (platform.HEADERS.deadline_ms, str(DEADLINE_MS)),
            )
            daemon = self._rng.choice(daemons)
            attempts.append(
                asyncio.ensure_future(
                    _probes.ask(
                        daemon.address,
                        _daemons.CALLERS_PORT,
                        FATAL_PATH,
                        headers=headers,
                    )
                )
            )
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*attempts)


def check_quarantine(
    runs_s: list[float], crashes_s: list[float]
) -> str | None:
    """Return how the quarantine guarantee was violated, or None.

    Parameters
    ----------
    runs_s, crashes_s : list of float
        When the request began to run, and when it crashed targets, in
        seconds of the same clock.
    """
    if len(crashes_s) < CRASH_LIMIT:
        return None
    quarantined_s = sorted(crashes_s)[CRASH_LIMIT - 1] + PROPAGATION_S
    late_runs_s = [run_s for run_s in runs_s if run_s > quarantined_s]
    if len(late_runs_s) <= LATE_RUN_LIMIT:
        return None
    return (
        f'a request that had crashed {CRASH_LIMIT} targets reached '
        f'targets {len(late_runs_s)} more times; '
        f'{len(crashes_s)} crashes in all'
    )

"""A request that ends each target that begins it, asked again and again."""

import asyncio
import itertools
import random

from sedgering import platform
from soak import _daemons
from soak import _probes

__all__ = ['FATAL_PATH', 'FatalCaller', 'ROUTE', 'check_fatal']

FATAL_PATH = '/fatal/'
ROUTE = {'prefix': FATAL_PATH}
DEADLINE_MS = 1500
#: Between two asks, each at some host.
GAP_S = 0.1
#: Targets that may end before the request must be known everywhere, and what
#: may reach targets later than `KNOWN_AFTER_S` after that.
FREE_ENDS = 3
LATE_RUNS = 3
KNOWN_AFTER_S = 3.0


class FatalCaller:
    """Asks the request, at any host.

    Parameters
    ----------
    seed : int
        Of the choice of hosts.
    """

    def __init__(self, seed: int):
        #: Ids of all attempts.
        self.ids: set[str] = set()
        self._rng = random.Random(f'fatal {seed}')
        self._numbers = itertools.count()

    async def ask(self, daemons: list[_daemons.Daemon], for_s: float) -> None:
        """Ask for a while; whatever is answered, it asks again."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        asking = []
        while loop.time() < end_s:
            request_id = f'fatal-{next(self._numbers)}'
            self.ids.add(request_id)
            headers = (
                (platform.HEADERS.request_id, request_id),
                (platform.HEADERS.deadline_ms, str(DEADLINE_MS)),
            )
            daemon = self._rng.choice(daemons)
            asking.append(
                asyncio.ensure_future(
                    _probes.ask(
                        daemon.address,
                        _daemons.CALLERS_PORT,
                        FATAL_PATH,
                        headers=headers,
                    )
                )
            )
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*asking)


def check_fatal(runs_s: list[float], ends_s: list[float]) -> str | None:
    """Say how the promise was broken, if it was.

    Parameters
    ----------
    runs_s, ends_s : list of float
        When the request began to run, and when targets ended under it.
    """
    if len(ends_s) < FREE_ENDS:
        return None
    known_s = sorted(ends_s)[FREE_ENDS - 1] + KNOWN_AFTER_S
    late = [run_s for run_s in runs_s if run_s > known_s]
    if len(late) <= LATE_RUNS:
        return None
    return (
        f'a request under which {FREE_ENDS} targets had ended reached '
        f'targets {len(late)} times more; {len(ends_s)} ended in all'
    )

"""How recently data from the store was known to be current.

A version must be in force everywhere within a given time, `apply`, after the
store has acknowledged it.  A daemon that follows relays holds what was current
at the last proof of its relay: an answer of the store.  Should the relay lose
the store without notice, the follower must still have time to read the store
itself.  `ProofPlan` derives the time for each step from `apply`:

====== =============================================================
share  step
====== =============================================================
1.0    A relay watches each of two tables for that long, but 2 s at
       most.  The watches end by turns, so that an answer comes every
       half of it, and each answer that shows no newer revision proves
       both tables.  Polls are answered when a proof arrives.
0.6    A relay without a proof for that long asks the store at once.
0.7    A follower that holds older data asks the store itself.
0.3    is left for that call and the transfer of the version.
====== =============================================================
"""

import asyncio
import math

import msgspec

__all__ = ['ProofPlan', 'StoreClock', 'WatchSchedule', 'make_proof_plan']

#: Longest wait of a watch in a relay, in milliseconds.
LONGEST_WATCH_MS = 2000
RENEW_SHARE = 0.6
FOLLOW_SHARE = 0.7
#: Longest delay of an answer; with a longer one, the clock of the store has
#: been set back.
LONGEST_DELAY_S = 30.0


class ProofPlan(msgspec.Struct, frozen=True):
    """Largest ages of the last proof at each step.

    Parameters
    ----------
    apply_s : float
        Time within which a version must be in force.
    """

    apply_s: float = 2.0

    @property
    def watch_ms(self) -> int:
        """Wait of the watch of one table in a relay, in milliseconds."""
        return min(LONGEST_WATCH_MS, int(self.apply_s * 1000))

    @property
    def renew_s(self) -> float:
        """Age from which on a relay asks the store for a new proof."""
        return RENEW_SHARE * self.apply_s

    @property
    def follow_s(self) -> float:
        """Age up to which a follower relies on its relays."""
        return FOLLOW_SHARE * self.apply_s

    @property
    def slow_s(self) -> float:
        """Time of a call from which on asking the store does not help."""
        return (1 - FOLLOW_SHARE) * self.apply_s


def make_proof_plan(apply_ms: int) -> ProofPlan:
    """Make the plan for versions that must be in force within a time."""
    return ProofPlan(apply_ms / 1000)


class StoreClock:
    """Converts times of the store's steady clock to event loop time.

    An answer may be read long after it was sent, such as by a process that
    was stopped; what it proves is as old as the answer.
    """

    def __init__(self):
        self._offset_s = -math.inf

    def find_answer_time_s(self, now_ms: int) -> float:
        """Return when the store has sent the answer that just arrived.

        Parameters
        ----------
        now_ms : int
            Time of the store's clock in the answer; 0 if it tells none.
        """
        arrival_s = asyncio.get_running_loop().time()
        if not now_ms:
            return arrival_s
        offset_s = now_ms / 1000 - arrival_s
        if offset_s < self._offset_s - LONGEST_DELAY_S:
            self._offset_s = -math.inf
        self._offset_s = max(self._offset_s, offset_s)
        return now_ms / 1000 - self._offset_s


class WatchSchedule:
    """Lets the watches of two tables end by turns.

    Each then proves both tables, and the store is not called more often.
    """

    def __init__(self):
        self._ends_s: dict[str, float] = {}

    def plan_wait_ms(self, name: str, longest_ms: int) -> int:
        """Return the wait of the next watch of a table.

        Parameters
        ----------
        name : str
            Name of the watch.
        longest_ms : int
            Longest wait in milliseconds.
        """
        now_s = asyncio.get_running_loop().time()
        longest_s = longest_ms / 1000
        end_s = now_s + longest_s
        for other, other_end_s in self._ends_s.items():
            if other != name and other_end_s > now_s:
                end_s = other_end_s + longest_s / 2
                if end_s > now_s + longest_s:
                    end_s -= longest_s
                if end_s <= now_s + longest_s / 4:
                    end_s = now_s + longest_s
        self._ends_s[name] = end_s
        return int((end_s - now_s) * 1000)

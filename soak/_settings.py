"""Size and options of a soak."""

import msgspec

from sedgering import testing

__all__ = ['WorldSettings']


class WorldSettings(msgspec.Struct, frozen=True):
    """Size and options of a soak.

    Parameters
    ----------
    seed : int
        Seed of the plan and of all random choices.
    hosts : int
        Number of hosts, each with a daemon and a target.
    seconds : float
        Period in which faults start.
    callers : int
        Number of callers per host.
    relay_from_hosts : int
        Number of hosts from which on relays are used.
    long_callers : int
        Number of callers with long requests per host.  With 0, no link is
        throttled, no host is suspended, and no request crashes targets.
    has_keys : bool
        Whether routes require API keys; some callers send forged ones.
    has_rollouts : bool
        Whether a version of targets on more hosts is ordered amid restarts.
    has_host_faults : bool
        Whether daemons get SIGHUP, restart in series, and lose connections,
        beside callers that use their connections in unusual ways.
    has_early_signals : bool
        Whether these faults include signals in the first second of a start.
    has_slow_logs : bool
        Whether the log output of daemons is read slowly.
    has_sets : bool
        Whether hosts have targets of three sets, 6 to 4 to 3.
    power_losses : int
        Number of losses of power of all hosts after the plan.
    site, day : Site and SiteDay or None
        Day of a site that is played in place of the plan.
    strains : frozenset of Strain
        Strains on that day.
    rate_share : float
        Share of the requests of the site that callers send.
    """

    seed: int
    hosts: int = 5
    seconds: float = 12.0
    callers: int = 2
    relay_from_hosts: int = 4
    long_callers: int = 2
    has_keys: bool = False
    has_rollouts: bool = False
    has_host_faults: bool = False
    has_early_signals: bool = False
    has_slow_logs: bool = False
    has_sets: bool = False
    power_losses: int = 0
    site: testing.Site | None = None
    day: testing.SiteDay | None = None
    strains: frozenset = frozenset()
    rate_share: float = 0.25

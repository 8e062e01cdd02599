"""Limits and weights of the request path, each with its source."""

from sedgering import settings

__all__ = ['MeshSettings']


class MeshSettings(settings.SettingsStruct):
    """How the request path decides.

    Parameters
    ----------
    connect_timeout_ms : int
        Longest wait for a connection to a peer.  A round trip between
        data centres takes 3 ms, a lost opening packet is sent again
        after 1 s: it is quicker to try another host.
    target_connect_timeout_ms : int
        The same to the local target.
    target_idle_ms : int
        Longest time for which an idle connection to the target is used.
    peer_idle_ms : int
        The same for connections to peers.
    hops_limit : int
        Most hosts that are asked for one request while none has run it.
    suspect_ms, suspect_limit_ms : int
        For how long a peer that failed gets nothing, at first and at
        most; doubles with each failure.
    silence_ms : int
        A daemon with calls under way that answers nothing for so long,
        not even whether it lives, is given up; a target is taken as
        silent after so long at the least.  Work takes 30 to 200 ms, a
        slow target five times that; the goals are 400 and 500 ms.
    report_half_life_ms : int
        Age at which a load report of a peer counts half.
    remote_gain_percent, remote_gain_percent_per_kb : int
        A call leaves its data centre where that lets so many more of 100
        such calls end in time; the second is added for each kilobyte of
        the request body and of the usual answer of the route.
    remote_penalty_ms : int
        What another data centre must be quicker by to be chosen for a call
        that is late wherever it goes.
    remote_penalty_us_per_byte : int
        Added for each byte of the request body and of the usual answer
        of the route.  Links between data centres are shared: a body of
        60 kB leaves its data centre only when that saves 300 ms.
    shed_margin_percent : int
        Share of the mean work time that must fit before the deadline.
    retry_share_percent : int
        Share of the platform's retry budget that is used.
    rerun_share_percent : int
        Share of that budget up to which requests are sent again that have
        run, or may have: these repeat the calls that their targets make,
        so that at a depth of two this share and the one above add up.  A
        call that was refused before work repeats nothing.
    least_retry_after_ms, longest_retry_after_ms : int
        Bounds of the time after which a refused caller is told to return.
        Targets that have just started are slow for 3 s: callers with 10 s
        left that return within 0.8 s are refused again, 1.2 % of them for
        good; with 2 s 0.1 % (load everything-restarts).
    leave_serving_ms : int
        For how long a leaving daemon goes on accepting: its callers stop
        after two missed questions of readiness, one a second.
    leave_margin_ms : int
        Time before the end of the grace time at which it ends anyway.
    relay_from_hosts : int
        Hosts from which on a few of them watch the store for the others.
        Each daemon that watches makes 40 to 70 calls a minute.  With 74 that
        do, versions fill links of 10 Mbit/s and 46 % of calm traffic is
        served; with relays 94 %.
    caller_fields : list of str
        Header fields, in lower case, that say who asks.  Two requests that
        differ in one of them are not the same request.
    quarantine_crashes : int
        Targets that end under a request before it is held back; 0 for never.
        One end says little: a dozen other requests were under way.  Two may
        come together where targets end for another cause; from the second on
        a request runs apart from other suspects, so that the third is its
        own.
    advertised_port : int
        Port at which other daemons reach this one, where that is not the
        port on which it listens; 0 for the same.
    exposed_share_percent : int
        Share of the calls to a set that a version on trial may get at most,
        over the whole fleet; what the operator lets a bad version harm.
    revoke_strict : bool
        Whether known keys are refused, too, by a daemon that has not heard
        for `revoke_ms` which keys were taken away; else it serves them.
    revoke_ms : int
        Time within which a key that is taken away must be refused.
    quota_window_ms : int
        Window in which requests of a workspace are counted against its
        quota; 0 where quotas are not counted.
    quota_excess_percent : int
        Share by which a quota may be passed in a window, over the whole
        fleet.
    quota_slack : int
        Requests by which it may be passed besides.
    success_log_every : int
        One in so many plain successes is logged.
    log_lines_per_s : int
        Most log lines a second; more are counted and dropped.
    """

    connect_timeout_ms: settings.IntervalMs = 300
    target_connect_timeout_ms: settings.IntervalMs = 500
    target_idle_ms: settings.IntervalMs = 8000
    peer_idle_ms: settings.IntervalMs = 20_000
    hops_limit: settings.Count = 4
    suspect_ms: settings.IntervalMs = 500
    suspect_limit_ms: settings.IntervalMs = 4000
    silence_ms: settings.IntervalMs = 800
    report_half_life_ms: settings.IntervalMs = 300
    remote_gain_percent: settings.CountOrNone = 6
    remote_gain_percent_per_kb: settings.CountOrNone = 2
    remote_penalty_ms: settings.Count = 40
    remote_penalty_us_per_byte: settings.Count = 5
    shed_margin_percent: settings.Percent = 70
    retry_share_percent: settings.Percent = 55
    rerun_share_percent: settings.Percent = 30
    least_retry_after_ms: settings.IntervalMs = 100
    longest_retry_after_ms: settings.IntervalMs = 2000
    leave_serving_ms: settings.IntervalMs = 2500
    leave_margin_ms: settings.IntervalMs = 400
    relay_from_hosts: settings.Count = 6
    caller_fields: tuple[str, ...] = ('authorization', 'cookie', 'x-api-key')
    quarantine_crashes: settings.CountOrNone = 3
    advertised_port: settings.PortOrNone = 0
    exposed_share_percent: settings.Percent = 10
    revoke_strict: bool = False
    revoke_ms: settings.IntervalMs = 5000
    quota_window_ms: settings.CountOrNone = 0
    quota_excess_percent: settings.Percent = 0
    quota_slack: settings.CountOrNone = 0
    success_log_every: settings.Count = 100
    log_lines_per_s: settings.Count = 50

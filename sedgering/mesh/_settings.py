"""Settings of the request path."""

from sedgering import settings

__all__ = ['MeshSettings']


class MeshSettings(settings.SettingsStruct):
    """Limits, timeouts and weights of the request path.

    Parameters
    ----------
    connect_timeout_ms : int
        Longest wait for a connection to a peer. A round trip between data
        centres takes 3 ms, and a lost SYN packet is only sent again after 1 s:
        trying another host is quicker.
    target_connect_timeout_ms : int
        The same for the local target.
    target_idle_ms : int
        Longest idle time after which a connection to the target is reused.
    peer_idle_ms : int
        The same for connections to peers.
    hops_limit : int
        Most hosts that one request is sent to while none has run it.
    suspect_ms, suspect_limit_ms : int
        How long a failed peer gets no calls, at first and at most; doubles
        with each failure.
    silence_ms : int
        Time without any answer, even to a ping, after which a daemon with
        calls under way is abandoned; also the shortest time after which a
        target counts as silent. Work takes 30 to 200 ms, on a slow target five
        times that; the latency goals are 400 and 500 ms.
    report_half_life_ms : int
        Age at which the weight of a load report of a peer has halved.
    remote_gain_percent, remote_gain_percent_per_kb : int
        A call is sent to another data centre if so many more of 100 such calls
        then end in time. The second value is added for each kilobyte of the
        request body and of the usual answer of the route.
    remote_penalty_ms : int
        Time that another data centre must save to be chosen for a call that is
        late wherever it is sent.
    remote_penalty_us_per_byte : int
        Added to `remote_penalty_ms` for each byte of the request body and of
        the usual answer of the route. Links between data centres are shared: a
        body of 60 kB leaves its data centre only if that saves 300 ms.
    shed_margin_percent : int
        Share of the mean processing time that must fit before the deadline.
    retry_share_percent : int
        Share of the platform's retry budget that is used. The calls of a run
        that follows a refusal count as repeated, too: at a call depth of two
        this share counts twice.
    rerun_share_percent : int
        Share of that budget that retries of requests which have run, or may
        have run, may use. These repeat work, and not only calls.
    least_retry_after_ms, longest_retry_after_ms : int
        Bounds of the time after which a refused caller is told to return.
        Targets that have just started are slow for 3 s. Callers with 10 s left
        that returned within 0.8 s were refused again, and 1.2 % of them were
        never served; with 2 s it was 0.1 % (restart of all hosts).
    leave_serving_ms : int
        How long a leaving daemon continues to accept requests: its callers
        stop after two failed readiness checks, one a second.
    leave_margin_ms : int
        Time before the end of the grace time at which the daemon ends in any
        case: enough for a pause of the process and the last answers after it.
    relay_from_hosts : int
        Fleet size from which a few hosts watch the store for the others. Each
        watching daemon makes 40 to 70 calls a minute. When 74 daemons watched,
        versions filled links of 10 Mbit/s, and 46 % of the requests under
        normal load were served; with relays it was 94 %.
    apply_ms : int
        Time within which a version must be in force everywhere, once the store
        has acknowledged it.
    caller_fields : list of str
        Header fields, in lower case, that identify the caller. Two requests
        that differ in one of them are not the same request.
    quarantine_crashes : int
        Number of target crashes after which a request is quarantined; 0 to
        disable. One crash proves little: a dozen other requests were running.
        Two may coincide where targets crash for another reason. From the
        second one on, a request runs apart from other suspects, so that the
        third crash is its own.
    advertised_port : int
        Port at which other daemons reach this one, if it differs from the
        listening port; 0 if not.
    exposed_share_percent : int
        Largest share of the calls to a target set that a version on trial may
        get, over the whole fleet. It limits the harm that a bad version can
        do.
    revoke_strict : bool
        Whether a daemon refuses even known keys when it has not been informed
        of revoked keys for `revoke_ms`; if not, it accepts them.
    revoke_ms : int
        Time within which a revoked key must be refused.
    quota_window_ms : int
        Window in which requests of a workspace are counted against its quota;
        0 disables quotas.
    quota_excess_percent : int
        Share by which a quota may be exceeded in a window, over the whole
        fleet.
    quota_slack : int
        Number of requests by which it may be exceeded in addition.
    success_log_every : int
        One of this many successful requests is logged.
    log_lines_per_s : int
        Limit of log lines a second; excess lines are dropped and counted.
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
    retry_share_percent: settings.Percent = 48
    rerun_share_percent: settings.Percent = 30
    least_retry_after_ms: settings.IntervalMs = 100
    longest_retry_after_ms: settings.IntervalMs = 2000
    leave_serving_ms: settings.IntervalMs = 2500
    leave_margin_ms: settings.IntervalMs = 600
    relay_from_hosts: settings.Count = 6
    apply_ms: settings.IntervalMs = 2000
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

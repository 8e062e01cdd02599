"""Prometheus metrics of a proxy."""

import prometheus_client

__all__ = ['Metrics', 'make_metrics']


class Metrics:
    """The metrics of one process, in a separate registry.

    Notes
    -----
    Label values come from bounded sets: channels, directions and codes, never
    names of hosts or requests.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.control_bytes = prometheus_client.Counter(
            'sedgering_control_bytes',
            'Control traffic with headers of IP and UDP or TCP.',
            ['channel', 'direction'],
            registry=self.registry,
        )
        self.requests = prometheus_client.Counter(
            'sedgering_requests',
            'Requests by the code told to the caller; 0 for an answer.',
            ['code'],
            registry=self.registry,
        )
        self.refused_messages = prometheus_client.Counter(
            'sedgering_refused_messages',
            'Datagrams refused, by code.',
            ['code'],
            registry=self.registry,
        )
        self.held_version = prometheus_client.Gauge(
            'sedgering_held_version',
            'Bundle version in force.',
            registry=self.registry,
        )
        self.members = prometheus_client.Gauge(
            'sedgering_members',
            'Hosts in the member table.',
            registry=self.registry,
        )
        self.tick_seconds = prometheus_client.Counter(
            'sedgering_tick_seconds',
            'Processor time spent in ticks of the control loop.',
            registry=self.registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            'sedgering_request_seconds',
            'Time from the request head to the end of the answer.',
            buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5),
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)


def make_metrics() -> Metrics:
    """Create the metrics of a process; all values start at zero."""
    return Metrics()

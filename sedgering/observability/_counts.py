"""Request counters and a latency histogram with little overhead.

prometheus_client takes 6 MB of memory.  The values are therefore kept in
plain dicts and lists, and the library is imported when the metrics are first
read.
"""

import bisect
from collections.abc import Iterable
import sys

__all__ = ['RequestCounts']

#: Upper bounds of the latency buckets in seconds.  They cover common latency
#: goals and deadlines, 0.1 to 3 s.
LATENCY_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 1.0, 1.5, 2.5, 5.0)


class RequestCounts:
    """Counts of request outcomes and failed attempts, and latencies."""

    def __init__(self):
        self.counts: dict[tuple[str, str], int] = {}
        self.buckets = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.latency_sum_s = 0.0

    def count(self, kind: str, label: str) -> None:
        """Count one event.

        Parameters
        ----------
        kind : str
            Kind of the event, such as ``refused``.
        label : str
            Status, code or reason, from a bounded set.
        """
        key = (kind, label)
        self.counts[key] = self.counts.get(key, 0) + 1

    def observe(self, elapsed_s: float) -> None:
        """Record the latency of one answered request, in seconds."""
        self.buckets[bisect.bisect_left(LATENCY_BUCKETS_S, elapsed_s)] += 1
        self.latency_sum_s += elapsed_s

    def render(
        self,
        gauges: dict[str, float],
        workspaces: Iterable[tuple[str, str, int]] = (),
    ) -> bytes:
        """Return the metrics in the text format of Prometheus.

        Parameters
        ----------
        gauges : dict of str to float
            Current values, such as the version in force.
        workspaces : iterable of tuple
            Label, kind and count of the largest workspaces and of the others
            together.
        """
        # The daemon does not use TLS and blocks the import of ssl, which
        # prometheus_client needs.
        if sys.modules.get('ssl', sys) is None:
            del sys.modules['ssl']
        import prometheus_client
        from prometheus_client import core

        registry = prometheus_client.CollectorRegistry()
        registry.register(_Collector(self, gauges, workspaces, core))
        return prometheus_client.generate_latest(registry)


class _Collector:
    """Collector that converts the counts to prometheus_client metrics."""

    def __init__(self, counts: RequestCounts, gauges, workspaces, core):
        self.counts = counts
        self.gauges = gauges
        self.workspaces = workspaces
        self.core = core

    def collect(self):
        """Yield the metric families."""
        events = self.core.CounterMetricFamily(
            'sedgering_requests',
            'Requests and attempts by how they ended.',
            labels=['kind', 'label'],
        )
        for (kind, label), value in sorted(self.counts.counts.items()):
            events.add_metric([kind, label], value)
        yield events
        yield self._make_histogram()
        if self.workspaces:
            yield self._make_workspaces()
        for name, value in self.gauges.items():
            yield self.core.GaugeMetricFamily(
                f'sedgering_{name}', name.replace('_', ' '), value=value
            )

    def _make_workspaces(self):
        # Gauges rather than counters: the value of the others decreases when
        # one of them becomes one of the largest workspaces.
        family = self.core.GaugeMetricFamily(
            'sedgering_workspace_requests',
            'Requests since the start by workspace and by how they ended.',
            labels=['workspace', 'kind'],
        )
        for name, kind, value in self.workspaces:
            family.add_metric([name, kind], value)
        return family

    def _make_histogram(self):
        total = 0
        buckets = []
        bounds = [*map(str, LATENCY_BUCKETS_S), '+Inf']
        for bound, count in zip(bounds, self.counts.buckets):
            total += count
            buckets.append((bound, total))
        return self.core.HistogramMetricFamily(
            'sedgering_answer_seconds',
            'Time from the head of a request to the answer of a target.',
            buckets=buckets,
            sum_value=self.counts.latency_sum_s,
        )

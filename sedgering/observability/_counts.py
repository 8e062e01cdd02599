"""Counters and a latency histogram that cost little until they are read.

prometheus_client takes 6 MB of a daemon; so values are kept in plain
tables, and the library is imported when somebody asks for them.
"""

import bisect
from collections.abc import Iterable
import sys

__all__ = ['RequestCounts']

#: Upper bounds of the latency buckets in seconds: around the goals and
#: deadlines of the first users, 0.1 to 3 s.
LATENCY_BOUNDS_S = (0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 1.0, 1.5, 2.5, 5.0)


class RequestCounts:
    """How requests ended, how attempts failed, and how long answers took."""

    def __init__(self):
        self.counts: dict[tuple[str, str], int] = {}
        self.buckets = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.latency_sum_s = 0.0

    def count(self, kind: str, label: str) -> None:
        """Count one event.

        Parameters
        ----------
        kind : str
            One of a few kinds, such as ``refused``.
        label : str
            Status, code or reason; of a bounded set.
        """
        key = (kind, label)
        self.counts[key] = self.counts.get(key, 0) + 1

    def observe(self, elapsed_s: float) -> None:
        """Take in the latency of one answered request, in seconds."""
        self.buckets[bisect.bisect_left(LATENCY_BOUNDS_S, elapsed_s)] += 1
        self.latency_sum_s += elapsed_s

    def render(
        self,
        gauges: dict[str, float],
        workspaces: Iterable[tuple[str, str, int]] = (),
    ) -> bytes:
        """Return the text exposition.

        Parameters
        ----------
        gauges : dict of str to float
            Present values, such as the version in force.
        workspaces : iterable of tuple
            Label, kind and count of the largest workspaces and of the others.
        """
        # The daemon imports nothing that speaks TLS; this library does.
        if sys.modules.get('ssl', sys) is None:
            del sys.modules['ssl']
        import prometheus_client
        from prometheus_client import core

        registry = prometheus_client.CollectorRegistry()
        registry.register(_Collector(self, gauges, workspaces, core))
        return prometheus_client.generate_latest(registry)


class _Collector:
    """Shows the tables as families of prometheus_client."""

    def __init__(self, counts: RequestCounts, gauges, workspaces, core):
        self.counts = counts
        self.gauges = gauges
        self.workspaces = workspaces
        self.core = core

    def collect(self):
        """Yield the families."""
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
        # Gauges: who comes to be one of the largest leaves the others.
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
        bounds = [*map(str, LATENCY_BOUNDS_S), '+Inf']
        for bound, count in zip(bounds, self.counts.buckets):
            total += count
            buckets.append((bound, total))
        return self.core.HistogramMetricFamily(
            'sedgering_answer_seconds',
            'Time from the head of a request to the answer of a target.',
            buckets=buckets,
            sum_value=self.counts.latency_sum_s,
        )

"""Lightweight counters, gauges and histograms, rendered as Prometheus text on request.

The Prometheus client library takes a tenth of the memory of a small instance, so it is
imported by the first request for metrics; a process that isn't scraped never loads it.
"""

from bisect import bisect_left
from collections import defaultdict


class _Child:
    """Update the value of a metric for one set of label values."""

    def __init__(self, values, key):
        self._values = values
        self._key = key

    def inc(self, amount=1):
        """Add to the value."""
        self._values[self._key] += amount

    def set(self, value):
        """Replace the value."""
        self._values[self._key] = value


class LightMetric:
    """Hold the values of a counter or a gauge by label values.

    :param kind: ``counter`` or ``gauge``.
    """

    def __init__(self, kind, name, help_text, labels=()):
        self.kind = kind
        self.name = name
        self.help_text = help_text
        self.label_names = tuple(labels)
        self._values = defaultdict(float)

    def labels(self, *values):
        """Return the child for the given label values."""
        return _Child(self._values, tuple(str(value) for value in values))

    def inc(self, amount=1):
        """Add to the value of a metric without labels."""
        self._values[()] += amount

    def to_family(self, core):
        """Return the metric family for the Prometheus client library.

        :param core: the module ``prometheus_client.core``.
        """
        classes = {
            "counter": core.CounterMetricFamily,
            "gauge": core.GaugeMetricFamily,
        }
        family = classes[self.kind](
            self.name, self.help_text, labels=list(self.label_names)
        )
        for key, value in sorted(self._values.items()):
            family.add_metric(list(key), value)
        return family


class LightHistogram:
    """Count durations in buckets by label values.

    :param buckets: upper bounds of the buckets in seconds, in ascending order.
    """

    def __init__(self, name, help_text, labels, buckets):
        self.name = name
        self.help_text = help_text
        self.label_names = tuple(labels)
        self._bounds = tuple(buckets)
        self._counts_by_key = {}
        self._sum_by_key = defaultdict(float)

    def observe(self, key, seconds):
        """Record a duration.

        :param key: tuple of the label values.
        """
        counts = self._counts_by_key.get(key)
        if counts is None:
            counts = self._counts_by_key[key] = [0] * (len(self._bounds) + 1)
        counts[bisect_left(self._bounds, seconds)] += 1
        self._sum_by_key[key] += seconds

    def to_family(self, core):
        """Return the metric family for the Prometheus client library.

        :param core: the module ``prometheus_client.core``.
        """
        family = core.HistogramMetricFamily(
            self.name, self.help_text, labels=list(self.label_names)
        )
        bounds = [*map(str, self._bounds), "+Inf"]
        for key, counts in sorted(self._counts_by_key.items()):
            total, buckets = 0, []
            for bound, count in zip(bounds, counts, strict=True):
                total += count
                buckets.append((bound, total))
            family.add_metric(list(key), buckets, self._sum_by_key[key])
        return family


class LightRegistry:
    """Create, collect and render the metrics of a process."""

    def __init__(self):
        self._metrics = []

    def counter(self, name, help_text, labels=()):
        """Create and return a counter."""
        return self._add(LightMetric("counter", name, help_text, labels))

    def gauge(self, name, help_text, labels=()):
        """Create and return a gauge."""
        return self._add(LightMetric("gauge", name, help_text, labels))

    def histogram(self, name, help_text, labels, buckets):
        """Create and return a histogram."""
        return self._add(LightHistogram(name, help_text, labels, buckets))

    def _add(self, metric):
        self._metrics.append(metric)
        return metric

    def collect(self):
        """Return all metric families; called by the client library."""
        from prometheus_client import core

        return [metric.to_family(core) for metric in self._metrics]

    def render(self):
        """Return the content type and the metrics in Prometheus text format."""
        from prometheus_client import exposition

        text = exposition.generate_latest(self)
        return exposition.CONTENT_TYPE_LATEST, text


def add_stopped_callers(registry):
    """Create and return the counter of callers that were asked to stop."""
    return registry.counter(
        "banyanshore_stopped_callers",
        "Callers refused or cut off for memory or descriptors, by what they did.",
        ["stage", "reason"],
    )

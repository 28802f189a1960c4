"""Counters, gauges and histograms that are turned into Prometheus text when asked for.

The client library takes a tenth of the memory of a small instance, so it is imported by
the first request for the metrics, and a process that nobody asks does without it.
"""

from bisect import bisect_left
from collections import defaultdict


class _Child:
    """The value of a metric for one set of labels."""

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
    """A counter or a gauge.

    :param kind: ``counter`` or ``gauge``.
    """

    def __init__(self, kind, name, help_text, labels=()):
        self.kind = kind
        self.name = name
        self.help_text = help_text
        self.label_names = tuple(labels)
        self._values = defaultdict(float)

    def labels(self, *values):
        """Return the child with these values of the labels."""
        return _Child(self._values, tuple(str(value) for value in values))

    def inc(self, amount=1):
        """Add to the value of a metric without labels."""
        self._values[()] += amount

    def family(self, core):
        """Return the metric family.

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
    """A histogram of seconds.

    :param buckets: upper bounds, rising.
    """

    def __init__(self, name, help_text, labels, buckets):
        self.name = name
        self.help_text = help_text
        self.label_names = tuple(labels)
        self._bounds = tuple(buckets)
        self._counts_by_key = {}
        self._sum_by_key = defaultdict(float)

    def observe(self, key, seconds):
        """Count a value for the labels in a tuple."""
        counts = self._counts_by_key.get(key)
        if counts is None:
            counts = self._counts_by_key[key] = [0] * (len(self._bounds) + 1)
        counts[bisect_left(self._bounds, seconds)] += 1
        self._sum_by_key[key] += seconds

    def family(self, core):
        """Return the metric family."""
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
    """The metrics of a process."""

    def __init__(self):
        self._metrics = []

    def counter(self, name, help_text, labels=()):
        """Return a new counter."""
        return self._add(LightMetric("counter", name, help_text, labels))

    def gauge(self, name, help_text, labels=()):
        """Return a new gauge."""
        return self._add(LightMetric("gauge", name, help_text, labels))

    def histogram(self, name, help_text, labels, buckets):
        """Return a new histogram."""
        return self._add(LightHistogram(name, help_text, labels, buckets))

    def _add(self, metric):
        self._metrics.append(metric)
        return metric

    def collect(self):
        """Return the families of all metrics, as the client library wants them."""
        from prometheus_client import core

        return [metric.family(core) for metric in self._metrics]

    def render(self):
        """Return the content type and the metrics in Prometheus text format."""
        from prometheus_client import exposition

        text = exposition.generate_latest(self)
        return exposition.CONTENT_TYPE_LATEST, text

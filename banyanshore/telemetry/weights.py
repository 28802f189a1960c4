"""Metrics of processes that take part in a weight transfer."""

from banyanshore.telemetry.light import LightRegistry


def add_weights_metrics(metrics, registry):
    """Add the metrics of weight transfers as attributes.

    :param metrics: object that the attributes are set on.
    :param registry: the :class:`~banyanshore.telemetry.light.LightRegistry`.
    """
    metrics.weight_bytes = registry.counter(
        "banyanshore_weight_bytes",
        "Bytes of weights by source: origin, peer or sent.",
        ["source"],
    )
    metrics.upload_rate = registry.gauge(
        "banyanshore_upload_rate_bytes",
        "Bytes a second that uploads to another data centre may send now.",
        ["data_centre"],
    )
    metrics.rejected_chunks = registry.counter(
        "banyanshore_rejected_chunks", "Chunks whose digest was wrong."
    )


class LoaderMetrics:
    """Prometheus metrics of a loader."""

    def __init__(self):
        self.registry = LightRegistry()
        add_weights_metrics(self, self.registry)
        self.loads = self.registry.counter(
            "banyanshore_load_orders", "Orders to load by outcome.", ["outcome"]
        )
        self.turns = self.registry.counter(
            "banyanshore_target_turns",
            "Turns of the target from older weights, by cause: planned or late.",
            ["cause"],
        )

"""Metrics of whoever takes part in a transfer of weights."""

from banyanshore.telemetry.light import LightRegistry


def add_weights_metrics(metrics, registry):
    """Add what a transfer counts as attributes.

    :param metrics: object that gets them.
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
    """What a loader counts."""

    def __init__(self):
        self.registry = LightRegistry()
        add_weights_metrics(self, self.registry)
        self.loads = self.registry.counter(
            "banyanshore_load_orders", "Orders to load by outcome.", ["outcome"]
        )

"""Prometheus metrics of whoever takes part in a transfer of weights."""

from prometheus_client import CollectorRegistry, Counter, Gauge


class WeightsMetrics:
    """What a transfer of weights counts.

    :param registry: registry to add to.
    """

    def __init__(self, registry):
        self.registry = registry
        self.weight_bytes = Counter(
            "banyanshore_weight_bytes_total",
            "Bytes of weights by source: origin, peer or sent.",
            ["source"],
            registry=registry,
        )
        self.upload_rate = Gauge(
            "banyanshore_upload_rate_bytes",
            "Bytes a second that uploads to another data centre may send now.",
            ["data_centre"],
            registry=registry,
        )
        self.rejected_chunks = Counter(
            "banyanshore_rejected_chunks_total",
            "Chunks whose digest was wrong.",
            registry=registry,
        )


class LoaderMetrics(WeightsMetrics):
    """What a loader counts."""

    def __init__(self):
        super().__init__(CollectorRegistry())
        self.loads = Counter(
            "banyanshore_load_orders_total",
            "Orders to load by outcome.",
            ["outcome"],
            registry=self.registry,
        )

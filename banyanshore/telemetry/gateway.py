"""Prometheus metrics of a gateway."""

from prometheus_client import CollectorRegistry, Counter, Histogram

from banyanshore.telemetry.weights import WeightsMetrics

_LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 4, 8)


class GatewayMetrics(WeightsMetrics):
    """What a gateway counts."""

    def __init__(self):
        super().__init__(CollectorRegistry())
        self.requests = Counter(
            "banyanshore_gateway_requests_total",
            "Requests by service and outcome.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.rejections = Counter(
            "banyanshore_gateway_rejections_total",
            "Requests answered before a target was looked for, by status.",
            ["status"],
            registry=self.registry,
        )
        self.first_byte = Histogram(
            "banyanshore_gateway_first_byte_seconds",
            "Time to the first byte of an answer.",
            ["service"],
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.total = Histogram(
            "banyanshore_gateway_request_seconds",
            "Time to the end of a request.",
            ["service"],
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )

    def record_end(self, service, outcome, first_seconds, total_seconds):
        """Count a request that has ended.

        :param first_seconds: time to the first byte, ``None`` without any.
        """
        self.requests.labels(service, outcome).inc()
        if first_seconds is not None:
            self.first_byte.labels(service).observe(first_seconds)
        self.total.labels(service).observe(total_seconds)

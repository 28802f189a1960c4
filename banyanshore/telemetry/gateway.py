"""Metrics of a gateway."""

from banyanshore.telemetry.light import LightRegistry, add_stopped_callers
from banyanshore.telemetry.weights import add_weights_metrics

_LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 4, 8)


class GatewayMetrics:
    """Prometheus metrics of a gateway."""

    def __init__(self):
        self.registry = LightRegistry()
        add_weights_metrics(self, self.registry)
        self.requests = self.registry.counter(
            "banyanshore_gateway_requests",
            "Requests by service and outcome.",
            ["service", "outcome"],
        )
        self.rejections = self.registry.counter(
            "banyanshore_gateway_rejections",
            "Requests answered before a target was looked for, by status.",
            ["status"],
        )
        self.stopped_callers = add_stopped_callers(self.registry)
        self.paused_targets = self.registry.counter(
            "banyanshore_gateway_targets_left_alone",
            "Targets that began to be left alone since an answer said so, by reason.",
            ["reason"],
        )
        self.limits = self.registry.counter(
            "banyanshore_gateway_request_limits",
            "Changes of the limits that targets name, by how they were learned.",
            ["change"],
        )
        self.permits = self.registry.counter(
            "banyanshore_gateway_permit_requests",
            "Requests for permits to send to limited targets, by outcome.",
            ["outcome"],
        )
        self.lost_answers = self.registry.counter(
            "banyanshore_gateway_lost_answers",
            "Answers lost with their connection, by what was found out of them.",
            ["finding"],
        )
        self.suspected_parts = self.registry.counter(
            "banyanshore_gateway_suspected_parts",
            "Verdicts on parts of prompts that crash targets, by verdict.",
            ["verdict"],
        )
        self.waits = self.registry.counter(
            "banyanshore_gateway_waits",
            "Requests that found no room at a target, by rank and outcome of the wait.",
            ["rank", "outcome"],
        )
        self.retry_times = self.registry.counter(
            "banyanshore_gateway_retry_times",
            "Refusals for want of weights or places, by what Retry-After rests on.",
            ["reason", "basis"],
        )
        self.withdrawn_offers = self.registry.counter(
            "banyanshore_gateway_withdrawn_offers",
            "Requests withdrawn from targets with older weights, by service.",
            ["service"],
        )
        self.news_age = self.registry.gauge(
            "banyanshore_gateway_news_age_seconds",
            "Mean age of the notices of other gateways as they arrive.",
        )
        self.unseen_requests = self.registry.gauge(
            "banyanshore_gateway_unseen_requests",
            "Requests of other gateways expected to be placed without being known.",
            ["service"],
        )
        self.first_byte = self.registry.histogram(
            "banyanshore_gateway_first_byte_seconds",
            "Time to the first byte of an answer.",
            ["service"],
            _LATENCY_BUCKETS,
        )
        self.total = self.registry.histogram(
            "banyanshore_gateway_request_seconds",
            "Time to the end of a request.",
            ["service"],
            _LATENCY_BUCKETS,
        )

    def record_request(self, service, outcome, first_seconds, total_seconds):
        """Record a completed request.

        :param first_seconds: time to the first byte, ``None`` if there was none.
        """
        self.requests.labels(service, outcome).inc()
        if first_seconds is not None:
            self.first_byte.observe((service,), first_seconds)
        self.total.observe((service,), total_seconds)

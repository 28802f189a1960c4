"""Prometheus metrics of entries and agents, each in a separate registry."""

from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from banyanshore.transport import byte_counter

_LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 5, 10, 30)


def _add_stopped_callers(registry):
    return Counter(
        "banyanshore_stopped_callers_total",
        "Callers refused or cut off for memory or descriptors, by what they did.",
        ["stage", "reason"],
        registry=registry,
    )


def _add_peer_bytes(registry):
    for direction in ("sent", "received"):
        gauge = Gauge(
            f"banyanshore_peer_{direction}_bytes",
            f"Bytes {direction} on connections to other instances since the start.",
            registry=registry,
        )
        gauge.set_function(partial(getattr, byte_counter, direction))


class EntryMetrics:
    """Prometheus metrics of an entry."""

    def __init__(self):
        self.registry = CollectorRegistry()
        _add_peer_bytes(self.registry)
        self.requests = Counter(
            "banyanshore_requests_total",
            "Requests by service and outcome.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.stopped_callers = _add_stopped_callers(self.registry)
        self.refusals = Counter(
            "banyanshore_refusals_total",
            "Offers of a request that were refused, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.retries = Counter(
            "banyanshore_retries_total",
            "Requests offered to a further target.",
            registry=self.registry,
        )
        self.resumed = Counter(
            "banyanshore_resumed_answers_total",
            "Answers resumed after a lost connection.",
            registry=self.registry,
        )
        self.first_byte = Histogram(
            "banyanshore_first_byte_seconds",
            "Time to the first byte of an answer.",
            ["service"],
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.waiting = Gauge(
            "banyanshore_waiting_requests",
            "Requests that wait for a target.",
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "banyanshore_in_flight_requests",
            "Requests in progress.",
            registry=self.registry,
        )
        self.state_version = Gauge(
            "banyanshore_state_version",
            "Version of the desired state in force.",
            registry=self.registry,
        )
        self.suspects = Gauge(
            "banyanshore_suspect_requests",
            "Requests that were running when a target crashed.",
            registry=self.registry,
        )


class AgentMetrics:
    """Prometheus metrics of an agent."""

    def __init__(self):
        self.registry = CollectorRegistry()
        _add_peer_bytes(self.registry)
        self.stopped_callers = _add_stopped_callers(self.registry)
        self.admitted = Counter(
            "banyanshore_admitted_total", "Requests admitted.", registry=self.registry
        )
        self.refused = Counter(
            "banyanshore_refused_total",
            "Requests refused, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.crashes = Counter(
            "banyanshore_target_crashes_total",
            "Times the target broke off requests.",
            registry=self.registry,
        )
        self.weight_bytes = Counter(
            "banyanshore_weight_bytes_total",
            "Bytes of weights by source: origin, peer or sent.",
            ["source"],
            registry=self.registry,
        )
        self.upload_rate = Gauge(
            "banyanshore_upload_rate_bytes",
            "Bytes a second that uploads to another data centre may send now.",
            ["data_centre"],
            registry=self.registry,
        )
        self.rejected_chunks = Counter(
            "banyanshore_rejected_chunks_total",
            "Chunks whose digest was wrong.",
            registry=self.registry,
        )
        self.limit = Gauge(
            "banyanshore_target_limit",
            "Requests at once that the target may have.",
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "banyanshore_target_in_flight",
            "Requests that the target has.",
            registry=self.registry,
        )


def render(metrics):
    """Return the metrics in Prometheus text format, as bytes."""
    return generate_latest(metrics.registry)

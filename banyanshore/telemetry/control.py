"""Metrics of a control instance."""

from banyanshore.telemetry.light import LightRegistry, add_stopped_callers


class ControlMetrics:
    """Prometheus metrics of a control instance."""

    def __init__(self):
        self.registry = LightRegistry()
        self.orders = self.registry.counter(
            "banyanshore_orders",
            "Orders of operators by outcome.",
            ["order", "outcome"],
        )
        self.registrations = self.registry.counter(
            "banyanshore_registrations",
            "Heartbeats of targets by outcome.",
            ["outcome"],
        )
        self.stopped_callers = add_stopped_callers(self.registry)
        self.state_version = self.registry.gauge(
            "banyanshore_state_version", "Version of the desired state in force."
        )

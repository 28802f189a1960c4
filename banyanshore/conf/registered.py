"""Settings of the roles that serve registered targets: control, gateway, loader."""

from banyanshore.conf.fields import setting
from banyanshore.conf.sections import (
    ConsensusSettings,
    TransportSettings,
    WeightsSettings,
    descriptors_setting,
    memory_bytes,
    memory_setting,
)
from banyanshore.core.values import dataclass

# Fraction of a deployment's time bound after which a process acts, so that work in
# progress at that time still completes within the bound.
BOUND_FRACTION = 0.9
# Fraction of the grace period after which a stopping process has answered its requests;
# the answers are written before it ends.
ANSWER_FRACTION = 0.85
# Heartbeat intervals without a heartbeat after which a target is dropped; several,
# since single heartbeats arrive seconds late.
EXPIRY_INTERVALS = 5


@dataclass(frozen=True)
class ControlSettings:
    """Settings of a control instance, which keeps the state and registers targets."""

    role: str = setting("Always ``control``.", choices=["control"])
    instance: str = setting("Name of this instance in logs.")
    data_centre: str = setting("Data centre this instance runs in.")
    control_bind: str = setting(
        "Address for operators and targets; also the name of this voter.",
        kind="address",
    )
    peers_bind: str = setting("Address for other instances.", kind="address")
    peer_port: int = setting("Port of peers_bind, the same on all instances.")
    seeds: list[str] = setting(
        "Control addresses of the initial voters, which start the log of a new "
        "deployment."
    )
    data_dir: str = setting("Folder for durable state.")
    region: str = setting("Region of the data centre.", "")
    metrics_bind: str = setting(
        "Address for /metrics; empty: not served.", "", kind="address"
    )
    log_level: str = setting(
        "Lowest level logged.", "info", choices=["debug", "info", "warning", "error"]
    )
    log_file: str = setting("File for the log; empty: standard output.", "")
    target_heartbeat_ms: float = setting(
        "Milliseconds between heartbeats of a registered target; a target that misses "
        "five in a row is dropped.",
        1200.0,
        minimum=1.0,
    )
    member_expiry_seconds: float = setting(
        "Silence after which an instance is dropped.", 5.0, minimum=0.1
    )
    stop_timeout: float = setting(
        "Longest time that a planned stop waits for requests.", 4.0, minimum=0.0
    )
    memory_mb: float = memory_setting()
    max_descriptors: int = descriptors_setting()
    consensus: ConsensusSettings = setting("Replicated log.", ConsensusSettings)
    transport: TransportSettings = setting("Peer connections.", TransportSettings)

    memory_bytes = property(memory_bytes)

    @property
    def target_expiry_seconds(self):
        """Return the seconds without a heartbeat after which a target is dropped."""
        return EXPIRY_INTERVALS * self.target_heartbeat_ms / 1000


def _version_bound_ms():
    return setting(
        "Milliseconds after a new version of a model is set within which the last "
        "request on an older version must start.",
        8000.0,
        minimum=0.0,
    )


def _version_switch_seconds(settings):
    """Return how many seconds older versions stay in use after a new one is set."""
    return BOUND_FRACTION * settings.version_bound_ms / 1000


@dataclass(frozen=True)
class RetrySettings:
    """Settings of the retry budget that all gateways share."""

    ratio: float = setting("Retries allowed for each request.", 0.1, minimum=0.0)
    burst: float = setting(
        "Retries allowed beyond the ratio; may be a fraction.",
        20.0,
        minimum=0.0,
    )
    window_seconds: float = setting(
        "Time window over which requests and retries are counted.", 10.0, minimum=0.1
    )


@dataclass(frozen=True)
class ColdStartSettings:
    """Limit of the requests per second that all gateways send to a cold target."""

    overage: float = setting(
        "Factor on the rate that the target declares.", 1.0, minimum=0.0
    )
    margin: float = setting(
        "Requests per second allowed in addition.", 0.0, minimum=0.0
    )


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of a gateway, which relays callers' requests to registered targets."""

    role: str = setting("Always ``gateway``.", choices=["gateway"])
    instance: str = setting("Name of this instance, unique in the deployment.")
    data_centre: str = setting("Data centre this instance runs in.")
    region: str = setting("Region of the data centre.")
    callers_bind: str = setting("Address for callers.", kind="address")
    ready_bind: str = setting("Address for readiness.", kind="address")
    peers_bind: str = setting("Address for other instances.", kind="address")
    peer_port: int = setting("Port of peers_bind, the same on all instances.")
    seeds: list[str] = setting("Addresses of control instances for the first contact.")
    regions: dict[str, str] = setting("Region of each data centre.", dict)
    metrics_bind: str = setting(
        "Address for /metrics; empty: not served.", "", kind="address"
    )
    log_level: str = setting(
        "Lowest level logged.", "info", choices=["debug", "info", "warning", "error"]
    )
    log_file: str = setting("File for the log; empty: standard output.", "")
    grace_seconds: float = setting(
        "Time after which a process that was asked to stop is killed.",
        8.0,
        minimum=0.1,
    )
    key_bound_ms: float = setting(
        "Milliseconds within which a revoked key must be refused, even by a gateway "
        "that is cut off; 0: no bound.",
        5000.0,
        minimum=0.0,
    )
    change_bound_ms: float = setting(
        "Milliseconds after its acknowledgement within which a change has to be in "
        "force. A gateway that knows that it lacks one for longer refuses requests.",
        4000.0,
        minimum=1.0,
    )
    version_bound_ms: float = _version_bound_ms()
    memory_mb: float = memory_setting()
    max_descriptors: int = descriptors_setting()
    retries: RetrySettings = setting("Retries.", RetrySettings)
    cold_start: ColdStartSettings = setting("Cold targets.", ColdStartSettings)
    max_target_pause_seconds: float = setting(
        "Longest time for which a target is paused at its own request; a longer "
        "request is treated as an error, and the target is retried after this time.",
        600.0,
        minimum=0.0,
    )
    weights: WeightsSettings = setting("Relaying of weights.", WeightsSettings)
    transport: TransportSettings = setting("Peer connections.", TransportSettings)

    version_switch_seconds = property(_version_switch_seconds)

    memory_bytes = property(memory_bytes)

    @property
    def version_bound_seconds(self):
        """Return the seconds after which no request may start on older versions."""
        return self.version_bound_ms / 1000

    @property
    def stop_answer_seconds(self):
        """Return the seconds after which a stopping gateway has answered all."""
        return ANSWER_FRACTION * self.grace_seconds

    @property
    def stop_timeout(self):
        """Return the longest time in seconds that a planned stop waits for requests."""
        return BOUND_FRACTION * self.grace_seconds

    @property
    def change_seconds(self):
        """Return the seconds after which a change counts as in force elsewhere."""
        return BOUND_FRACTION * self.change_bound_ms / 1000

    @property
    def key_lease_seconds(self):
        """Return the seconds without a confirmed state after which keys are refused."""
        return BOUND_FRACTION * self.key_bound_ms / 1000


@dataclass(frozen=True)
class LoaderSettings:
    """Settings of a loader, which delivers weights to a target and has it load them."""

    role: str = setting("Always ``loader``.", choices=["loader"])
    instance: str = setting("Name of this instance, unique in the deployment.")
    data_centre: str = setting("Data centre this instance runs in.")
    region: str = setting("Region of the data centre.")
    service: str = setting("Service that the target belongs to.")
    target_address: str = setting("HTTP address of the target.", kind="address")
    peers_bind: str = setting("Address for other instances.", kind="address")
    peer_port: int = setting("Port of peers_bind, the same on all instances.")
    seeds: list[str] = setting("Addresses of control instances for the first contact.")
    metrics_bind: str = setting(
        "Address for /metrics; empty: not served.", "", kind="address"
    )
    log_level: str = setting(
        "Lowest level logged.", "info", choices=["debug", "info", "warning", "error"]
    )
    log_file: str = setting("File for the log; empty: standard output.", "")
    target_wait_seconds: float = setting(
        "Longest wait at the start for the target, which may already hold the weights, "
        "before they are fetched.",
        0.5,
        minimum=0.0,
    )
    report_interval: float = setting(
        "Time between reads of the target's load.", 0.15, minimum=0.02
    )
    version_bound_ms: float = _version_bound_ms()
    stop_timeout: float = setting(
        "Longest time that a planned stop takes.", 2.0, minimum=0.0
    )
    weights: WeightsSettings = setting("Transfer of weights.", WeightsSettings)
    transport: TransportSettings = setting("Peer connections.", TransportSettings)

    version_switch_seconds = property(_version_switch_seconds)

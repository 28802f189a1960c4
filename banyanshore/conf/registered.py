"""The settings of the roles before targets that register themselves."""

from dataclasses import dataclass

from banyanshore.conf.fields import setting
from banyanshore.conf.sections import (
    ConsensusSettings,
    TransportSettings,
    WeightsSettings,
)

# Part of a bound of the deployment after which a process acts, so that what is under
# way then still ends within the bound.
USED_BOUND_PART = 0.9
# Heartbeats in a row that a target may miss; some are seconds late.
MISSED_HEARTBEATS = 5


@dataclass(frozen=True)
class ControlSettings:
    """A control instance: keeps the replicated state and takes registrations."""

    role: str = setting("Always ``control``.", choices=["control"])
    instance: str = setting("Name of this instance in logs.")
    data_centre: str = setting("Data centre this instance runs in.")
    control_bind: str = setting(
        "Address for operators and targets; it is also the name of this voter.",
        kind="address",
    )
    peers_bind: str = setting("Address for other instances.", kind="address")
    peer_port: int = setting("Port of peers_bind, the same on all instances.")
    seeds: list[str] = setting(
        "Control addresses of the first voters; they form the log of a new deployment."
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
        "Milliseconds between heartbeats of a registered target; one that misses five "
        "is dropped.",
        1200.0,
        minimum=1.0,
    )
    member_expiry_seconds: float = setting(
        "Silence after which an instance is dropped.", 5.0, minimum=0.1
    )
    stop_timeout: float = setting(
        "Longest time that a planned stop waits for requests.", 4.0, minimum=0.0
    )
    consensus: ConsensusSettings = setting("Replicated log.", ConsensusSettings)
    transport: TransportSettings = setting("Peer connections.", TransportSettings)

    @property
    def target_expiry_seconds(self):
        """Return the silence in seconds after which a target is dropped."""
        return MISSED_HEARTBEATS * self.target_heartbeat_ms / 1000


def _version_bound_ms():
    return setting(
        "Milliseconds after a new version of a model is named within which the last "
        "request has to begin on an older one.",
        8000.0,
        minimum=0.0,
    )


def _version_switch_seconds(settings):
    """Return the seconds for which older versions are used after a name."""
    return USED_BOUND_PART * settings.version_bound_ms / 1000


@dataclass(frozen=True)
class RetrySettings:
    """Requests to a further target, summed over all gateways."""

    ratio: float = setting("Retries allowed for each request.", 0.1, minimum=0.0)
    burst: float = setting(
        "Retries allowed beyond the ratio; deployments may state a part of one.",
        20.0,
        minimum=0.0,
    )
    window_seconds: float = setting(
        "Time over which they are counted.", 10.0, minimum=0.1
    )


@dataclass(frozen=True)
class ColdStartSettings:
    """Bound of the requests a second that a cold target has from all gateways."""

    overage: float = setting(
        "Factor on the rate that the target declares.", 1.0, minimum=0.0
    )
    margin: float = setting("Requests a second beyond that.", 0.0, minimum=0.0)


@dataclass(frozen=True)
class GatewaySettings:
    """A gateway: passes callers' requests on to targets that have registered."""

    role: str = setting("Always ``gateway``.", choices=["gateway"])
    instance: str = setting("Name of this instance, unique in the deployment.")
    data_centre: str = setting("Data centre this instance runs in.")
    region: str = setting("Region of the data centre.")
    callers_bind: str = setting("Address for callers.", kind="address")
    ready_bind: str = setting("Address for readiness.", kind="address")
    peers_bind: str = setting("Address for other instances.", kind="address")
    peer_port: int = setting("Port of peers_bind, the same on all instances.")
    seeds: list[str] = setting("Addresses of control instances to begin with.")
    regions: dict[str, str] = setting("Region of each data centre.", dict)
    metrics_bind: str = setting(
        "Address for /metrics; empty: not served.", "", kind="address"
    )
    log_level: str = setting(
        "Lowest level logged.", "info", choices=["debug", "info", "warning", "error"]
    )
    log_file: str = setting("File for the log; empty: standard output.", "")
    grace_seconds: float = setting(
        "Time after which a process that was told to stop is killed.",
        8.0,
        minimum=0.1,
    )
    key_bound_ms: float = setting(
        "Milliseconds within which a key that was taken away has to be refused also by "
        "a gateway that is cut off; 0: never.",
        5000.0,
        minimum=0.0,
    )
    version_bound_ms: float = _version_bound_ms()
    retries: RetrySettings = setting("Retries.", RetrySettings)
    cold_start: ColdStartSettings = setting("Cold targets.", ColdStartSettings)
    max_target_pause_seconds: float = setting(
        "Longest time for which a target that asks for time is left alone; one that "
        "asks for more is taken to be mistaken, and is asked again after it.",
        600.0,
        minimum=0.0,
    )
    weights: WeightsSettings = setting("Weights passed on.", WeightsSettings)
    transport: TransportSettings = setting("Peer connections.", TransportSettings)

    version_switch_seconds = property(_version_switch_seconds)

    @property
    def stop_timeout(self):
        """Return the longest time in seconds that a planned stop waits."""
        return USED_BOUND_PART * self.grace_seconds

    @property
    def key_lease_seconds(self):
        """Return the seconds without a confirmed state after which keys are refused."""
        return USED_BOUND_PART * self.key_bound_ms / 1000


@dataclass(frozen=True)
class LoaderSettings:
    """A loader: brings weights to one target and orders it to load them."""

    role: str = setting("Always ``loader``.", choices=["loader"])
    instance: str = setting("Name of this instance, unique in the deployment.")
    data_centre: str = setting("Data centre this instance runs in.")
    region: str = setting("Region of the data centre.")
    service: str = setting("Service that the target belongs to.")
    target_address: str = setting("HTTP address of the target.", kind="address")
    peers_bind: str = setting("Address for other instances.", kind="address")
    peer_port: int = setting("Port of peers_bind, the same on all instances.")
    seeds: list[str] = setting("Addresses of control instances to begin with.")
    metrics_bind: str = setting(
        "Address for /metrics; empty: not served.", "", kind="address"
    )
    log_level: str = setting(
        "Lowest level logged.", "info", choices=["debug", "info", "warning", "error"]
    )
    log_file: str = setting("File for the log; empty: standard output.", "")
    target_wait_seconds: float = setting(
        "Longest wait for the target at the start, which may hold the weights, before "
        "they are fetched.",
        0.5,
        minimum=0.0,
    )
    report_interval: float = setting(
        "Time between readings of the target's load.", 0.15, minimum=0.02
    )
    version_bound_ms: float = _version_bound_ms()
    stop_timeout: float = setting(
        "Longest time that a planned stop takes.", 2.0, minimum=0.0
    )
    weights: WeightsSettings = setting("Fetching of weights.", WeightsSettings)
    transport: TransportSettings = setting("Peer connections.", TransportSettings)

    version_switch_seconds = property(_version_switch_seconds)

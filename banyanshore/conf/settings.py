"""The settings of each role with their defaults.

Times are in seconds and sizes in bytes unless a name says otherwise. Addresses are
``HOST:PORT`` with the host as an IP address. A field without a default is required.
The ``help`` of each field is printed in ``docs/reference/settings.md``.
"""

from banyanshore.conf.fields import setting
from banyanshore.conf.registered import ControlSettings, GatewaySettings, LoaderSettings
from banyanshore.conf.sections import (
    AdmissionSettings,
    ConsensusSettings,
    EngineSettings,
    EntryPeer,
    RoutingSettings,
    TransportSettings,
    WeightsSettings,
    descriptors_setting,
    memory_bytes,
    memory_setting,
)
from banyanshore.core.values import dataclass


@dataclass(frozen=True)
class EntrySettings:
    """Settings of an entry, which serves callers and operators and may be a voter."""

    role: str = setting("Always ``entry``.", choices=["entry"])
    instance: str = setting("Name of this instance, unique in the deployment.")
    data_centre: str = setting("Data centre this instance runs in.")
    callers_bind: str = setting("Address for callers.", kind="address")
    peers_bind: str = setting("Address for other instances.", kind="address")
    entries: list[EntryPeer] = setting("All entries, this one included.")
    region: str = setting("Region of the data centre.", "")
    operators_bind: str = setting(
        "Address for operators and /metrics; empty: the callers' address serves both.",
        "",
        kind="address",
    )
    data_dir: str = setting("Folder for durable state; voters need one.", "")
    log_level: str = setting(
        "Lowest level logged.", "info", choices=["debug", "info", "warning", "error"]
    )
    log_file: str = setting("File for the log; empty: standard error.", "")
    trace_file: str = setting("File for spans as JSON lines; empty: none.", "")
    stop_timeout: float = setting(
        "Longest time that a planned stop waits for requests.", 30.0, minimum=0.0
    )
    announce_fanout: int = setting(
        "Entries of the data centre that each agent reports to; as in the agents' "
        "settings.",
        3,
        minimum=1,
    )
    idempotency_header: str = setting(
        "Header with the idempotency key of a call that must not be repeated.",
        "Idempotency-Key",
    )
    workspace_header: str = setting(
        "Header with the workspace of the caller.", "X-Workspace"
    )
    deadline_header: str = setting(
        "Header with the caller's timeout in seconds.", "X-Deadline-Seconds"
    )
    priority_header: str = setting(
        "Header with the priority; lower values go first.", "X-Priority"
    )
    digest_interval: float = setting(
        "Time between digests to other entries.", 1.0, minimum=0.02
    )
    memory_mb: float = memory_setting()
    max_descriptors: int = descriptors_setting()
    consensus: ConsensusSettings = setting("Replicated log.", ConsensusSettings)
    transport: TransportSettings = setting("Peer connections.", TransportSettings)
    routing: RoutingSettings = setting("Requests.", RoutingSettings)

    memory_bytes = property(memory_bytes)


@dataclass(frozen=True)
class AgentSettings:
    """Settings of an agent, which runs beside one target and is its only controller."""

    role: str = setting("Always ``agent``.", choices=["agent"])
    instance: str = setting("Name of this instance, unique in the deployment.")
    data_centre: str = setting("Data centre this instance runs in.")
    service: str = setting("Service that the target belongs to.")
    peers_bind: str = setting("Address for other instances.", kind="address")
    entries: list[EntryPeer] = setting("All entries of the deployment.")
    engine: EngineSettings = setting("The target.")
    region: str = setting("Region of the data centre.", "")
    advertise: str = setting(
        "Address at which others reach peers_bind; empty: peers_bind.",
        "",
        kind="address",
    )
    announce_interval: float = setting(
        "Time between announcements while the load changes.", 0.25, minimum=0.02
    )
    idle_announce_interval: float = setting(
        "Time between announcements while nothing changes.", 1.0, minimum=0.02
    )
    settle_seconds: float = setting(
        "Longest time that a target keeps its load permit once it serves a new "
        "version, so that it takes work again before the next target stops to load.",
        3.0,
        minimum=0.0,
    )
    settle_quiet_seconds: float = setting(
        "Time for which a target with a new version must have had room for another "
        "request before it returns its load permit without having warmed up.",
        0.5,
        minimum=0.0,
    )
    announce_fanout: int = setting("Entries that the agent reports to.", 3, minimum=1)
    data_dir: str = setting("Folder for chunks; empty: memory.", "")
    log_level: str = setting(
        "Lowest level logged.", "info", choices=["debug", "info", "warning", "error"]
    )
    log_file: str = setting("File for the log; empty: standard error.", "")
    trace_file: str = setting("File for spans as JSON lines; empty: none.", "")
    memory_mb: float = memory_setting()
    max_descriptors: int = descriptors_setting()
    metrics_bind: str = setting(
        "Address for /metrics; empty: not served.", "", kind="address"
    )
    stop_timeout: float = setting(
        "Longest time that a planned stop waits for requests.", 30.0, minimum=0.0
    )
    admission: AdmissionSettings = setting("Concurrent requests.", AdmissionSettings)
    weights: WeightsSettings = setting("Transfer of weights.", WeightsSettings)
    transport: TransportSettings = setting("Peer connections.", TransportSettings)

    memory_bytes = property(memory_bytes)


SETTINGS_BY_ROLE = {
    "entry": EntrySettings,
    "agent": AgentSettings,
    "control": ControlSettings,
    "gateway": GatewaySettings,
    "loader": LoaderSettings,
}

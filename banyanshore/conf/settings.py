"""The settings of each role with their defaults.

Times are in seconds and sizes in bytes unless a name says otherwise. Addresses are
``HOST:PORT`` with the host as an IP number. A field without a default is required.
The ``help`` of each field is what ``docs/reference/settings.md`` prints.
"""

from dataclasses import MISSING, dataclass, field


def setting(help_text, default=MISSING, *, minimum=None, choices=(), kind=""):
    """Return a data class field with what the checks need to know.

    :param kind: ``"address"`` for ``HOST:PORT``, ``"url"`` for an HTTP URL.
    """
    metadata = {
        "help": help_text,
        "minimum": minimum,
        "choices": tuple(choices),
        "kind": kind,
    }
    if callable(default):
        return field(default_factory=default, metadata=metadata)
    return field(default=default, metadata=metadata)


@dataclass(frozen=True)
class EntryPeer:
    """One entry of the deployment, as every instance knows it."""

    instance: str = setting("Name of the entry, unique in the deployment.")
    data_centre: str = setting("Data centre the entry runs in.")
    address: str = setting("Address of its peer port.", kind="address")
    region: str = setting("Region of the data centre.", "")
    voter: bool = setting("Whether it keeps the replicated log from the start.", False)


@dataclass(frozen=True)
class ConsensusSettings:
    """Timing and bounds of the replicated log."""

    election_timeout: float = setting(
        "Silence of the leader after which a voter asks for an election; each voter "
        "adds up to the same again at random.",
        1.0,
        minimum=0.05,
    )
    heartbeat_interval: float = setting(
        "Time between the leader's messages to each voter.", 0.25, minimum=0.01
    )
    clock_skew: float = setting(
        "Largest relative difference between the rates of two clocks.",
        0.05,
        minimum=0.0,
    )
    snapshot_every_entries: int = setting(
        "Applied entries after which a snapshot replaces the log.", 2000, minimum=10
    )
    proposal_timeout: float = setting(
        "Longest wait for the quorum to accept a proposal.", 3.0, minimum=0.1
    )
    tolerated_losses: int = setting(
        "Voters that may be lost at once, where any control instance may become one: "
        "twice as many and one more are kept.",
        1,
        minimum=0,
    )


@dataclass(frozen=True)
class TransportSettings:
    """Bounds of the connections between the system's own processes."""

    heartbeat_interval: float = setting(
        "Time between heartbeats on a connection.", 1.0, minimum=0.01
    )
    silence_bound: float = setting(
        "Silence after which a connection is closed and opened anew.",
        2.5,
        minimum=0.05,
    )
    connect_timeout: float = setting(
        "Longest wait for a connection.", 1.0, minimum=0.05
    )
    gather_seconds: float = setting(
        "Shortest time between writes of tokens on one connection, so that those of "
        "many answers share a write; 0 for none.",
        0.004,
        minimum=0.0,
    )


@dataclass(frozen=True)
class RoutingSettings:
    """Bounds of requests at an entry."""

    default_deadline: float = setting(
        "Deadline of a request that names none.", 60.0, minimum=0.1
    )
    max_body_bytes: int = setting(
        "Largest body of a request.", 4 * 1024 * 1024, minimum=1024
    )
    max_queue_seconds: float = setting(
        "Longest time that a request waits for a target.", 0.8, minimum=0.0
    )
    max_queue_length: int = setting(
        "Requests that may wait at one entry.", 512, minimum=0
    )
    max_attempts: int = setting("Targets that one request is offered to.", 4, minimum=1)
    retry_ratio: float = setting(
        "Retries allowed for each success, once the burst is used up.",
        0.1,
        minimum=0.0,
    )
    retry_burst: int = setting("Retries allowed before successes count.", 20, minimum=0)
    max_deadline: float = setting(
        "Longest deadline that a caller may ask for.", 600.0, minimum=1.0
    )
    resume_seconds: float = setting(
        "Longest try to resume an answer after a lost connection.", 3.0, minimum=0.0
    )
    connection_wait: float = setting(
        "Longest wait for a connection to a target.", 0.5, minimum=0.0
    )
    spill_bytes_per_second: int = setting(
        "Answer bytes a second that an entry may draw from other data centres.",
        150_000,
        minimum=0,
    )
    target_expiry: float = setting(
        "Silence after which a target or an entry counts as gone.", 3.0, minimum=0.1
    )


@dataclass(frozen=True)
class EntrySettings:
    """An entry: answers callers and operators, and may keep the replicated state."""

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
        "Entries of the data centre that each agent reports to; as in its settings.",
        3,
        minimum=1,
    )
    idempotency_header: str = setting(
        "Header with the key of a call that may not be repeated.", "Idempotency-Key"
    )
    workspace_header: str = setting(
        "Header with the workspace of the caller.", "X-Workspace"
    )
    deadline_header: str = setting(
        "Header with the seconds that the caller waits.", "X-Deadline-Seconds"
    )
    priority_header: str = setting(
        "Header with the priority, lower goes first.", "X-Priority"
    )
    digest_interval: float = setting(
        "Time between digests to other entries.", 1.0, minimum=0.02
    )
    consensus: ConsensusSettings = setting("Replicated log.", ConsensusSettings)
    transport: TransportSettings = setting("Peer connections.", TransportSettings)
    routing: RoutingSettings = setting("Requests.", RoutingSettings)


@dataclass(frozen=True)
class EngineSettings:
    """The target beside an agent."""

    url: str = setting("Base URL of the target.", kind="url")
    kind: str = setting(
        "``model`` for a model engine, ``plain`` for another service.",
        "model",
        choices=["model", "plain"],
    )
    health_path: str = setting("Path of the health report.", "/health")
    load_path: str = setting("Path of the order to load a version.", "/admin/load")
    chunk_path: str = setting(
        "Path that takes the chunks of a version.", "/admin/chunks"
    )
    health_interval: float = setting("Time between health reports.", 0.5, minimum=0.02)
    health_timeout: float = setting(
        "Longest wait for a health report.", 1.0, minimum=0.05
    )
    load_timeout: float = setting(
        "Longest wait for the order to load.", 120.0, minimum=0.1
    )


@dataclass(frozen=True)
class AdmissionSettings:
    """Work that an agent lets its target have."""

    cold_limit: int = setting(
        "Requests at once that a cold target bears.", 1, minimum=1
    )
    cold_completions: int = setting(
        "Completed requests before a cold target may have more.", 4, minimum=1
    )
    cold_seconds: float = setting(
        "Time since the first of them before a cold target may have more.",
        3.0,
        minimum=0.0,
    )
    full_limit: int = setting(
        "Requests at once that a warm target bears.", 8, minimum=1
    )
    ramp_completions: int = setting(
        "Completed requests for each further request at once.", 2, minimum=1
    )
    cold_ttft_factor: float = setting(
        "Rise of the time to first token that counts as cold again.", 5.0, minimum=1.5
    )
    answer_retention: float = setting(
        "Time that the answer to a claimed call is kept.", 120.0, minimum=0.0
    )
    max_answer_bytes: int = setting(
        "Largest answer to a claimed call that is kept.", 65_536, minimum=1024
    )


@dataclass(frozen=True)
class WeightsSettings:
    """Fetching of weights at an agent."""

    max_origin_fetches: int = setting("Chunks drawn at once.", 2, minimum=1)
    max_peer_fetches: int = setting("Chunks fetched from peers at once.", 4, minimum=1)
    max_uploads: int = setting("Chunks sent to peers at once.", 4, minimum=1)
    neighbours: int = setting("Peers asked in the data centre.", 12, minimum=1)
    grant_seconds: float = setting(
        "Time after which the next agent in line draws a chunk.", 4.0, minimum=0.1
    )
    roster_wait: float = setting(
        "Longest wait of a fresh agent for the rosters before it fetches.",
        2.0,
        minimum=0.0,
    )
    stall_timeout: float = setting(
        "Silence after which a fetch is given up.", 3.0, minimum=0.1
    )
    upload_bytes_per_second: int = setting(
        "Bytes a second sent to peers; 0: no bound.", 0, minimum=0
    )
    yield_delay_seconds: float = setting(
        "Queue on the way to another data centre at which transfers slow down, so that "
        "requests don't wait for them; 0: they don't yield.",
        0.03,
        minimum=0.0,
    )


@dataclass(frozen=True)
class AgentSettings:
    """An agent: stands in the slot of one target and alone gives it orders."""

    role: str = setting("Always ``agent``.", choices=["agent"])
    instance: str = setting("Name of this instance, unique in the deployment.")
    data_centre: str = setting("Data centre this instance runs in.")
    service: str = setting("Service that the target belongs to.")
    peers_bind: str = setting("Address for other instances.", kind="address")
    entries: list[EntryPeer] = setting("All entries of the deployment.")
    engine: EngineSettings = setting("The target.")
    region: str = setting("Region of the data centre.", "")
    advertise: str = setting(
        "Address that others reach peers_bind at; empty: peers_bind.",
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
        "Longest time that a target keeps its turn once it serves a new version, so "
        "that it bears work again before the next one stops to load.",
        3.0,
        minimum=0.0,
    )
    settle_quiet_seconds: float = setting(
        "Time for which a target with a new version must have had room for another "
        "request to give its turn back before it has warmed up.",
        0.5,
        minimum=0.0,
    )
    announce_fanout: int = setting("Entries announced to.", 3, minimum=1)
    data_dir: str = setting("Folder for chunks; empty: memory.", "")
    log_level: str = setting(
        "Lowest level logged.", "info", choices=["debug", "info", "warning", "error"]
    )
    log_file: str = setting("File for the log; empty: standard error.", "")
    trace_file: str = setting("File for spans as JSON lines; empty: none.", "")
    metrics_bind: str = setting(
        "Address for /metrics; empty: not served.", "", kind="address"
    )
    stop_timeout: float = setting(
        "Longest time that a planned stop waits for requests.", 30.0, minimum=0.0
    )
    admission: AdmissionSettings = setting("Work admitted.", AdmissionSettings)
    weights: WeightsSettings = setting("Fetching of weights.", WeightsSettings)
    transport: TransportSettings = setting("Peer connections.", TransportSettings)


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
    target_expiry_seconds: float = setting(
        "Silence after which a registered target is dropped; five heartbeats.",
        6.0,
        minimum=0.1,
    )
    member_expiry_seconds: float = setting(
        "Silence after which an instance is dropped.", 5.0, minimum=0.1
    )
    stop_timeout: float = setting(
        "Longest time that a planned stop waits for requests.", 4.0, minimum=0.0
    )
    consensus: ConsensusSettings = setting("Replicated log.", ConsensusSettings)
    transport: TransportSettings = setting("Peer connections.", TransportSettings)


@dataclass(frozen=True)
class RetrySettings:
    """Requests to a further target, summed over all gateways."""

    ratio: float = setting("Retries allowed for each request.", 0.1, minimum=0.0)
    burst: int = setting("Retries allowed beyond the ratio.", 20, minimum=0)
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
    stop_timeout: float = setting(
        "Longest time that a planned stop waits for requests.", 7.5, minimum=0.0
    )
    key_lease_seconds: float = setting(
        "Time without a confirmed state after which requests with keys are refused; "
        "0: never.",
        4.5,
        minimum=0.0,
    )
    version_switch_seconds: float = setting(
        "Time after a new version of a model is named until which targets with an "
        "older one are used.",
        7.0,
        minimum=0.0,
    )
    retries: RetrySettings = setting("Retries.", RetrySettings)
    cold_start: ColdStartSettings = setting("Cold targets.", ColdStartSettings)
    weights: WeightsSettings = setting("Weights passed on.", WeightsSettings)
    transport: TransportSettings = setting("Peer connections.", TransportSettings)


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
    version_switch_seconds: float = setting(
        "Time after a new version of a model is named until which targets with an "
        "older one are used.",
        7.0,
        minimum=0.0,
    )
    stop_timeout: float = setting(
        "Longest time that a planned stop takes.", 2.0, minimum=0.0
    )
    weights: WeightsSettings = setting("Fetching of weights.", WeightsSettings)
    transport: TransportSettings = setting("Peer connections.", TransportSettings)


SETTINGS_BY_ROLE = {
    "entry": EntrySettings,
    "agent": AgentSettings,
    "control": ControlSettings,
    "gateway": GatewaySettings,
    "loader": LoaderSettings,
}

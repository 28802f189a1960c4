"""Parts of the settings that one or several roles have.

Times are in seconds and sizes in bytes unless a name says otherwise.
"""

from dataclasses import dataclass

from banyanshore.conf.fields import setting


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

"""Sections of the settings that one or several roles have.

Times are in seconds and sizes in bytes unless a name says otherwise.
"""

from banyanshore.conf.fields import setting
from banyanshore.core.values import dataclass


def memory_setting():
    """Return the setting of the memory of a process."""
    return setting(
        "Memory that the process may use, in MB. Callers' requests and answers may "
        "take a quarter of it; whoever takes most without making progress is asked to "
        "stop first.",
        256.0,
        minimum=32.0,
    )


def memory_bytes(settings):
    """Return the bytes of memory that a process with some settings may use."""
    return int(settings.memory_mb * 1_000_000)


def descriptors_setting():
    """Return the setting of the descriptors of a process."""
    return setting(
        "Descriptors that the process may have, the system's own limit if that is "
        "lower. Callers' connections may take half of them.",
        4096,
        minimum=64,
    )


@dataclass(frozen=True)
class EntryPeer:
    """Settings of one entry, as listed in the settings of every instance."""

    instance: str = setting("Name of the entry, unique in the deployment.")
    data_centre: str = setting("Data centre the entry runs in.")
    address: str = setting("Address of its peer port.", kind="address")
    region: str = setting("Region of the data centre.", "")
    voter: bool = setting(
        "Whether the entry is a voter of the log from the start.", False
    )


@dataclass(frozen=True)
class ConsensusSettings:
    """Timing and limits of the replicated log."""

    election_timeout: float = setting(
        "Time without contact with the leader after which a voter starts an election; "
        "each voter adds a random delay of up to the same length.",
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
        "Applied log entries after which a snapshot replaces them.", 2000, minimum=10
    )
    snapshot_every_bytes: int = setting(
        "Size of the entries of the log at which a snapshot replaces the applied ones; "
        "at least twice the size of the last snapshot counts.",
        16 * 1024 * 1024,
        minimum=1024,
    )
    proposal_timeout: float = setting(
        "Longest wait for the quorum to accept a proposal.", 3.0, minimum=0.1
    )
    tolerated_losses: int = setting(
        "Voters that may fail at once, where any control instance may become a voter; "
        "twice as many plus one are kept.",
        1,
        minimum=0,
    )


@dataclass(frozen=True)
class TransportSettings:
    """Timing of the connections between instances."""

    heartbeat_interval: float = setting(
        "Time between heartbeats on a connection.", 1.0, minimum=0.01
    )
    silence_bound: float = setting(
        "Silence after which a connection is closed and opened again.",
        2.5,
        minimum=0.05,
    )
    connect_timeout: float = setting(
        "Longest wait for a connection.", 1.0, minimum=0.05
    )
    gather_seconds: float = setting(
        "Minimum time between writes of tokens on one connection, so that tokens of "
        "many answers share a write; 0: write at once.",
        0.004,
        minimum=0.0,
    )


@dataclass(frozen=True)
class RoutingSettings:
    """Limits of requests at an entry."""

    default_deadline: float = setting(
        "Deadline of a request that sets none.", 60.0, minimum=0.1
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
    retry_burst: int = setting(
        "Retries allowed before the ratio applies.", 20, minimum=0
    )
    max_deadline: float = setting(
        "Longest deadline that a caller may ask for.", 600.0, minimum=1.0
    )
    resume_seconds: float = setting(
        "Longest time spent resuming an answer after a lost connection.",
        3.0,
        minimum=0.0,
    )
    connection_wait: float = setting(
        "Longest wait for a connection to a target.", 0.5, minimum=0.0
    )
    spill_bytes_per_second: int = setting(
        "Answer bytes per second that an entry may relay from other data centres.",
        150_000,
        minimum=0,
    )
    target_expiry: float = setting(
        "Silence after which a target or an entry is considered gone.", 3.0, minimum=0.1
    )


@dataclass(frozen=True)
class EngineSettings:
    """Settings of the target that an agent controls."""

    url: str = setting("Base URL of the target.", kind="url")
    kind: str = setting(
        "``model`` for a model engine, ``plain`` for another service.",
        "model",
        choices=["model", "plain"],
    )
    health_path: str = setting("Path of the health report.", "/health")
    load_path: str = setting("Path of the request to load a version.", "/admin/load")
    chunk_path: str = setting(
        "Path to which the chunks of a version are sent.", "/admin/chunks"
    )
    health_interval: float = setting("Time between health reports.", 0.5, minimum=0.02)
    health_timeout: float = setting(
        "Longest wait for a health report.", 1.0, minimum=0.05
    )
    load_timeout: float = setting(
        "Longest wait for a load request to complete.", 120.0, minimum=0.1
    )


@dataclass(frozen=True)
class AdmissionSettings:
    """Limits of concurrent requests to an agent's target."""

    cold_limit: int = setting(
        "Concurrent requests allowed to a cold target.", 1, minimum=1
    )
    cold_completions: int = setting(
        "Completed requests before the limit of a cold target rises.", 4, minimum=1
    )
    cold_seconds: float = setting(
        "Time since the first completed request before that limit rises.",
        3.0,
        minimum=0.0,
    )
    full_limit: int = setting(
        "Concurrent requests allowed to a warm target.", 8, minimum=1
    )
    ramp_completions: int = setting(
        "Completed requests that raise the limit by one.", 2, minimum=1
    )
    cold_ttft_factor: float = setting(
        "Factor on the average time to first token above which a target is treated as "
        "cold again.",
        5.0,
        minimum=1.5,
    )
    answer_retention: float = setting(
        "Time for which the answer to a claimed call is kept.", 120.0, minimum=0.0
    )
    max_answer_bytes: int = setting(
        "Largest answer to a claimed call that is kept.", 65_536, minimum=1024
    )


@dataclass(frozen=True)
class WeightsSettings:
    """Limits and timing of weight transfers."""

    max_origin_fetches: int = setting(
        "Chunks fetched from the origin at once.", 2, minimum=1
    )
    max_peer_fetches: int = setting("Chunks fetched from peers at once.", 4, minimum=1)
    max_uploads: int = setting("Chunks sent to peers at once.", 4, minimum=1)
    neighbours: int = setting(
        "Peers in the data centre that are asked for chunks.", 12, minimum=1
    )
    grant_seconds: float = setting(
        "Time after which the next instance in line fetches a chunk from the origin.",
        4.0,
        minimum=0.1,
    )
    roster_wait: float = setting(
        "Longest wait of a new agent for the rosters before it fetches.",
        2.0,
        minimum=0.0,
    )
    stall_timeout: float = setting(
        "Time without progress after which a fetch is abandoned.", 3.0, minimum=0.1
    )
    upload_bytes_per_second: int = setting(
        "Limit of the bytes per second sent to peers; 0: none.", 0, minimum=0
    )
    yield_delay_seconds: float = setting(
        "Queueing delay to another data centre above which transfers slow down, so "
        "that requests don't wait behind them; 0: never.",
        0.03,
        minimum=0.0,
    )

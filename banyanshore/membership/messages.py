"""Messages: target announcements, digests and rosters."""

import enum

from banyanshore.state.views import Fence
from banyanshore.transport.codec import message


class TargetStatus(enum.StrEnum):
    """The status of a target that its agent reports."""

    STARTING = "starting"
    SERVING = "serving"
    LOADING = "loading"
    LEAVING = "leaving"


@message(60)
class AgentReport:
    """Announce a target.

    Reports about one instance are ordered by incarnation, then sequence.

    :param incarnation: start time of the agent, in nanoseconds since the epoch.
    :param limit: current limit of concurrent requests at the target.
    :param in_flight: requests in flight at the target, as counted by the agent.
    :param ready_version: version whose weights are complete and verified at the agent.
    :param state_version: version of the desired state in force at the agent.
    :param service_seconds: typical duration of a request.
    """

    instance: str
    data_centre: str
    region: str
    service: str
    address: str
    incarnation: int
    sequence: int
    status: str
    model: str
    model_version: str
    limit: int
    in_flight: int
    ready_version: str
    state_version: int
    service_seconds: float
    roster_digest: int = 0


@message(95)
class TargetLoad:
    """Update the load of a target whose report is otherwise unchanged.

    :param base_sequence: sequence of the report that was last forwarded.
    """

    instance: str
    base_sequence: int
    sequence: int
    limit: int
    in_flight: int
    service_seconds: float


@message(99)
class ForwardedReports:
    """Forward agents' reports to entries that the agents don't report to.

    :param sender: instance that forwards the reports.
    :param reports: the :class:`AgentReport` rows that changed.
    :param loads: the :class:`TargetLoad` rows of targets whose load alone changed.
    :param unchanged_digest: digest of the sender's other reports as last forwarded,
        ``None`` if the batch doesn't cover them.
    :param is_complete: whether ``reports`` holds all reports of the sender.
    """

    sender: str
    reports: tuple
    loads: tuple
    unchanged_digest: int | None
    is_complete: bool


@message(96)
class ReportsRequest:
    """Ask an entry for all the reports that it forwards."""


@message(61)
class CapacityRow:
    """The capacity of one service in one data centre.

    :param targets: number of live targets.
    :param serving: number of targets that accept requests.
    :param limit: sum of their limits of concurrent requests.
    :param in_flight: sum of their requests in flight.
    :param versions: sorted pairs of a model version and the number of targets that
        serve it; the empty version counts targets that serve none.
    """

    service: str
    targets: int
    serving: int
    limit: int
    in_flight: int
    versions: tuple = ()


@message(62)
class EntryDigest:
    """Announce an entry to the entries of its data centre.

    :param leader: instance that this entry considers the leader of the log.
    :param agents_behind: agents known to this entry that lack ``state_version``.
    :param local_out: number of the local order that takes the data centre out of
        service, 0 if there is none.
    """

    instance: str
    data_centre: str
    incarnation: int
    sequence: int
    state_version: int
    fence: Fence
    leader: str
    term: int
    leaving: bool
    agents_behind: tuple
    local_out: int = 0


@message(100)
class DataCentreDigest:
    """Announce the entries and capacity of one data centre to another.

    :param entries: the :class:`EntryDigest` rows of its live entries, or empty if they
        are unchanged since the last message that had rows and the same
        ``entries_digest``.
    :param entries_digest: digest of the rows, ignoring their sequence.
    :param capacity: its :class:`CapacityRow` rows.
    :param roster_digest: digest of its roster.
    """

    data_centre: str
    sender: str
    sequence: int
    entries: tuple
    entries_digest: int
    capacity: tuple
    roster_digest: int


@message(97)
class DigestRequest:
    """Ask for the digest of a data centre, including the rows of its entries."""

    data_centre: str


@message(64)
class StateUpdate:
    """Carry an accepted version of the desired state."""

    published: object


@message(98)
class StateChange:
    """Carry the changes of an accepted version.

    :param delta: the :class:`~banyanshore.state.StateDelta`.
    """

    delta: object


@message(124)
class CompressedNotice:
    """Carry a :class:`StateUpdate` or :class:`StateChange`, for narrow links.

    :param data: the encoded message, compressed by zlib.
    """

    data: bytes


@message(65)
class RosterRow:
    """A live agent."""

    instance: str
    region: str
    service: str
    address: str


@message(66)
class Roster:
    """The live agents of one data centre, ordered by instance."""

    data_centre: str
    rows: tuple
    digest: int


@message(67)
class RosterRequest:
    """Ask for the roster of a data centre."""

    data_centre: str


@message(68)
class SuspectUpdate:
    """Notify others of a request that crashed a target, or that is cleared.

    :param fingerprint: digest of the request.
    :param crash_ids: crashes during which it was running; empty if it is cleared.
    :param alone: whether it was the only running request at one of them.
    :param seconds_ago: time since the last of them; above 0 if the update is repeated.
    """

    fingerprint: bytes
    crash_ids: tuple
    alone: bool
    seconds_ago: float = 0.0

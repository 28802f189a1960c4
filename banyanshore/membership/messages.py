"""Announcements, digests and rosters."""

import enum

from banyanshore.state.views import Fence
from banyanshore.transport.codec import message


class TargetStatus(enum.StrEnum):
    """What an agent says of its target."""

    STARTING = "starting"
    SERVING = "serving"
    LOADING = "loading"
    LEAVING = "leaving"


@message(60)
class AgentReport:
    """Announce a target.

    News about one instance is ordered by incarnation, then sequence.

    :param incarnation: start of the agent, in nanoseconds since the epoch.
    :param limit: requests at once that the target may have now.
    :param in_flight: requests that it has, by the agent's own count.
    :param ready_version: version whose weights are whole and verified here.
    :param state_version: version of the desired state in force at the agent.
    :param service_seconds: typical time that a request takes.
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
    """The load of a target whose report is otherwise the one passed on before.

    :param base_sequence: sequence of the report passed on before.
    """

    instance: str
    base_sequence: int
    sequence: int
    limit: int
    in_flight: int
    service_seconds: float


@message(99)
class PassedReports:
    """Carry agents' reports on to entries that the agents don't report to.

    :param sender: instance that passes them on.
    :param reports: the :class:`AgentReport` rows that changed.
    :param loads: the :class:`TargetLoad` rows of which only the load changed.
    :param unchanged_digest: digest of the sender's other reports as they were passed
        on, ``None`` if nothing is said of them.
    :param is_complete: whether all reports of the sender are in ``reports``.
    """

    sender: str
    reports: tuple
    loads: tuple
    unchanged_digest: int | None
    is_complete: bool


@message(96)
class ReportsRequest:
    """Ask an entry for all the reports that it passes on."""


@message(61)
class CapacityRow:
    """Capacity of one service in one data centre.

    :param versions: pairs of a model version and how many targets serve it, in order;
        the empty version stands for targets that serve none.
    """

    service: str
    targets: int
    serving: int
    limit: int
    in_flight: int
    versions: tuple = ()


@message(62)
class EntryDigest:
    """What an entry says of itself to the entries of its data centre.

    :param leader: instance that leads the log as far as this entry knows.
    :param agents_behind: agents announced here that lack ``state_version``.
    :param local_out: number of the local order by which the data centre is out, 0 if
        there is none.
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
    """What the entries of one data centre say to another data centre.

    :param entries: the :class:`EntryDigest` rows of its live entries, or none if they
        are as they were when ``entries_digest`` was last sent with them.
    :param entries_digest: digest of the rows, whatever their sequence.
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
    """Ask for the digest of a data centre with the rows of its entries."""

    data_centre: str


@message(64)
class StateUpdate:
    """Carry an accepted version of the desired state."""

    published: object


@message(98)
class StateChange:
    """Carry what an accepted version changed.

    :param delta: the :class:`~banyanshore.state.StateDelta`.
    """

    delta: object


@message(65)
class RosterRow:
    """One live agent."""

    instance: str
    region: str
    service: str
    address: str


@message(66)
class Roster:
    """The live agents of one data centre, in order of instance."""

    data_centre: str
    rows: tuple
    digest: int


@message(67)
class RosterRequest:
    """Ask for the roster of a data centre."""

    data_centre: str


@message(68)
class SuspectNews:
    """Tell of a request that crashed a target, or that is cleared.

    :param fingerprint: digest of the request.
    :param crash_ids: crashes that it was running at; none if it is cleared.
    :param alone: whether it ran alone at one of them.
    """

    fingerprint: bytes
    crash_ids: tuple
    alone: bool

"""Routing and authorization of a request, before a target is selected."""

import hashlib

from banyanshore.core.values import dataclass
from banyanshore.routing.caller_requests import CallerRequest
from banyanshore.routing.ranks import ONLY_RANK, Rank
from banyanshore.routing.retry_after import Reason
from banyanshore.state.routes import Route, RouteTable, Workspace

_NO_WORKSPACE = Workspace("")


@dataclass(frozen=True)
class Screened:
    """A request that may be served.

    :param service: name of the service that was selected from those of the route.
    :param rank: its urgency among the requests of the service.
    """

    request: CallerRequest
    route: Route
    workspace: Workspace
    service: str
    rank: Rank = ONLY_RANK

    @property
    def regions(self):
        """Return the sets of regions that may serve it; an empty set allows any."""
        return self.route.regions, self.workspace.regions


@dataclass(frozen=True)
class Rejection:
    """An immediate refusal of a request.

    :param why: explanation for the log.
    :param reason: the :class:`~banyanshore.routing.retry_after.Reason` that determines
        the Retry-After time, ``None`` if retries are pointless.
    """

    status: int
    why: str
    reason: Reason | None = None


class Screening:
    """Look up the routes and workspaces of requests in the state in force.

    :param key_lease_seconds: time without a confirmed state after which requests with
        keys are refused, 0 for never.
    :param change_seconds: time after which a change has to be in force.
    """

    def __init__(self, key_lease_seconds, change_seconds):
        self._key_lease_seconds = key_lease_seconds
        self._change_seconds = change_seconds
        self.table = None

    def use(self, document):
        """Use the document of the desired state in force."""
        self.table = RouteTable(document, self.table)

    def screen(self, request, unconfirmed_seconds, is_behind=False):
        """Return a :class:`Screened` request or a :class:`Rejection`.

        Load pattern: versions follow at short intervals, and reach this gateway late or
        not at all. Another gateway knows the route that is missing here, or that a
        newer one takes precedence over the one found.

        :param unconfirmed_seconds: time since the state was last confirmed as current.
        :param is_behind: whether a newer version is known to have been accepted.
        """
        if self.table is None:
            return Rejection(503, "no state yet", Reason.NO_STATE)
        is_stale = unconfirmed_seconds > self._change_seconds
        if is_stale and is_behind:
            return Rejection(503, "state is outdated", Reason.CUT_OFF)
        may_lack_rows = is_stale or is_behind
        route = self.table.find_route(request.host, request.path)
        if route is None:
            return _reject_missing(404, "no route", may_lack_rows)
        workspace = self.table.find_workspace(request.key) if request.key else None
        if self.table.requires_key and not route.public:
            if not self.are_keys_valid(unconfirmed_seconds):
                return Rejection(503, "keys not confirmed", Reason.CUT_OFF)
            if workspace is None:
                return _reject_missing(401, "unknown key", may_lack_rows)
        service = route.choose_service(_fraction(request.request_id))
        workspace = workspace or _NO_WORKSPACE
        rank = self.table.find_rank(service, route, workspace)
        return Screened(request, route, workspace, service, rank)

    def are_keys_valid(self, unconfirmed_seconds):
        """Return whether the keys in this gateway's state still count as valid."""
        lease_seconds = self._key_lease_seconds
        return not lease_seconds or unconfirmed_seconds <= lease_seconds

    def is_still_allowed(self, screened, unconfirmed_seconds):
        """Return whether a screened request may still be sent to a target.

        Load pattern: after the request was screened and before it is offered, this
        process is stalled, or the caller sends the body slowly.
        """
        is_open = screened.route.public or not self.table.requires_key
        return is_open or self.are_keys_valid(unconfirmed_seconds)


def _reject_missing(status, why, may_lack_rows):
    """Return a rejection, which allows retries if a newer state may hold the row."""
    if may_lack_rows:
        return Rejection(503, f"{why}, state is stale", Reason.CUT_OFF)
    return Rejection(status, why)


def _fraction(request_id):
    """Return a hash of a request id, evenly distributed over [0, 1)."""
    digest = hashlib.blake2b(request_id.encode("latin-1"), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32

"""The routes of the desired state, indexed for request lookup."""

import math
from collections import Counter
from enum import StrEnum

from banyanshore.core.values import dataclass
from banyanshore.routing.ranks import ONLY_RANK, ServiceRanks
from banyanshore.state.document import changed_rows


class RouteKind(StrEnum):
    """Kind of a route, which decides whether its requests may be repeated."""

    STREAMING = "streaming"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True)
class ServiceShare:
    """A service that a route sends requests to, and its share of them."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Routing rules for requests with one host and path prefix.

    :param timeout_seconds: longest time that a caller waits for the answer.
    :param objective_seconds: intended time to the answer, or to the first event of a
        stream.
    :param max_pause_seconds: longest pause between events of a stream.
    :param max_attempts: largest number of targets that a request is sent to.
    :param priority: priority of the requests; 0 goes before higher numbers.
    :param public: whether requests need no key.
    :param resumable: whether an interrupted stream may be resumed.
    :param regions: regions in which requests may be served; empty for all.
    """

    host: str
    prefix: str
    kind: RouteKind
    services: tuple[ServiceShare, ...]
    timeout_seconds: float = math.inf
    objective_seconds: float = math.inf
    max_pause_seconds: float = math.inf
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    regions: frozenset[str] = frozenset()

    @classmethod
    def from_row(cls, row):
        """Return the route defined by a row of the document."""
        fields = dict(row)
        fields["kind"] = RouteKind(row["kind"])
        fields["services"] = tuple(ServiceShare(**share) for share in row["services"])
        fields["regions"] = frozenset(row.get("regions", ()))
        return cls(**fields)

    @property
    def may_repeat(self):
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, fraction):
        """Return a service, chosen in proportion to the weights.

        :param fraction: number that selects the service, at least 0 and below 1.
        """
        remaining = fraction * sum(share.weight for share in self.services)
        for share in self.services:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self.services[-1].service


@dataclass(frozen=True)
class CallerLimits:
    """Size and time limits on the requests and connections of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 5.0
    idle_timeout_seconds: float = 30.0


@dataclass(frozen=True)
class Workspace:
    """The properties of a workspace that apply to its requests."""

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


class RouteTable:
    """Index of the routes, limits and workspace keys in one version.

    :param document: the document of the desired state.
    :param previous: the table of an earlier version; rows that the two documents share
        are not indexed again.
    """

    def __init__(self, document, previous=None):
        self.limits = CallerLimits(**document.get("limits", {}).get("callers", {}))
        self.services = document.get("services", {})
        self._rows = document.get("routes", {})
        # Number of routes by service, priority and whether they are public.
        self._route_counts = Counter(previous._route_counts if previous else ())
        self._routes_by_host = self._index_routes(previous)
        # Requests still need a key if all keys were removed, or all workspaces.
        self.requires_key = bool(document.get("workspaces"))
        self._workspace_by_key = {}
        for name, row in document.get("workspaces", {}).items():
            regions = frozenset(row.get("regions", ()))
            workspace = Workspace(name, row.get("priority"), regions)
            for key in row.get("keys", ()):
                self._workspace_by_key[key] = workspace
        self._ranks_by_service = self._index_ranks(document.get("workspaces", {}))

    def _index_routes(self, previous):
        """Return the routes by prefix, by host."""
        rows_before = previous._rows if previous else {}
        changed = changed_rows(self._rows, rows_before)
        # A changed row may have had another host or prefix.
        outdated = [
            row
            for name, row in rows_before.items()
            if name in changed or name not in self._rows
        ]
        routes_by_host = dict(previous._routes_by_host) if previous else {}
        touched = {row["host"] for row in (*outdated, *changed.values())}
        for host in touched:
            routes_by_host[host] = dict(routes_by_host.get(host, {}))
        for row in outdated:
            route = routes_by_host[row["host"]].pop(row["prefix"])
            self._route_counts.subtract(_rank_keys(route))
        for row in changed.values():
            route = Route.from_row(row)
            routes_by_host[row["host"]][row["prefix"]] = route
            self._route_counts.update(_rank_keys(route))
        return routes_by_host

    def _index_ranks(self, workspaces):
        """Return the :class:`ServiceRanks` by service."""
        with_key = {row.get("priority") for row in workspaces.values()}
        pairs_by_service = {}
        for (service, priority, is_public), count in self._route_counts.items():
            if count <= 0:
                continue
            # Requests of public routes may come without a workspace.
            is_open = is_public or not workspaces
            admitted = with_key | {None} if is_open else with_key
            pairs = pairs_by_service.setdefault(service, set())
            pairs.update((priority, workspace) for workspace in admitted)
        return {
            service: ServiceRanks(pairs) for service, pairs in pairs_by_service.items()
        }

    def find_rank(self, service, route, workspace):
        """Return the :class:`~banyanshore.routing.ranks.Rank` of a request.

        :param service: name of the service that it goes to.
        """
        ranks = self._ranks_by_service.get(service)
        if ranks is None:
            return ONLY_RANK
        return ranks.find(route.priority, workspace.priority)

    def find_route(self, host, path):
        """Return the route with the longest prefix that matches, or ``None``.

        :param host: requested host, with or without a port.
        :param path: path without the query.
        """
        name = host.partition(":")[0].lower()
        by_prefix = self._routes_by_host.get(name)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_workspace(self, key):
        """Return the :class:`Workspace` of a key, or ``None``."""
        return self._workspace_by_key.get(key)


def _rank_keys(route):
    """Return what the ranks of the services of a route depend on."""
    return [(share.service, route.priority, route.public) for share in route.services]

"""The routes of the desired state, arranged for looking requests up."""

import math
from dataclasses import dataclass
from enum import StrEnum


class RouteKind(StrEnum):
    """What may be repeated of the requests on a route."""

    STREAMING = "streaming"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True)
class ServiceShare:
    """One of the services that a route's requests are spread over."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Where the requests under one host and path prefix go, and how.

    :param timeout_seconds: longest time for which a caller is kept waiting.
    :param objective_seconds: time to the answer, or to the first event of a stream.
    :param max_pause_seconds: longest pause between events of a stream.
    :param max_attempts: targets that one request may be sent to.
    :param priority: rank, 0 goes first.
    :param regions: regions it may be served in; empty for all.
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
        """Return the route in a row of the document."""
        fields = dict(row)
        fields["kind"] = RouteKind(row["kind"])
        fields["services"] = tuple(ServiceShare(**share) for share in row["services"])
        fields["regions"] = frozenset(row.get("regions", ()))
        return cls(**fields)

    @property
    def may_repeat(self):
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, fraction):
        """Return one of the services by their weights.

        :param fraction: number from 0 up to 1 that decides.
        """
        left = fraction * sum(share.weight for share in self.services)
        for share in self.services:
            left -= share.weight
            if left < 0:
                return share.service
        return self.services[-1].service


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 5.0
    idle_timeout_seconds: float = 30.0


@dataclass(frozen=True)
class Workspace:
    """A workspace as far as its requests are concerned."""

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


class RouteTable:
    """What one version of the desired state says about requests.

    :param document: the document of the desired state.
    """

    def __init__(self, document):
        self.limits = CallerLimits(**document.get("limits", {}).get("callers", {}))
        self.services = document.get("services", {})
        self._routes_by_host = {}
        for row in document.get("routes", {}).values():
            route = Route.from_row(row)
            prefixes = self._routes_by_host.setdefault(route.host, {})
            prefixes[route.prefix] = route
        # Workspaces that have lost all their keys still want one of every caller.
        self.wants_keys = bool(document.get("workspaces"))
        self._workspace_by_key = {}
        for name, row in document.get("workspaces", {}).items():
            regions = frozenset(row.get("regions", ()))
            workspace = Workspace(name, row.get("priority"), regions)
            for key in row.get("keys", ()):
                self._workspace_by_key[key] = workspace

    def find_route(self, host, path):
        """Return the route with the longest prefix of a path, or ``None``.

        :param host: host that was asked for, with or without a port.
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
        """Return the :class:`Workspace` that holds a key, or ``None``."""
        return self._workspace_by_key.get(key)

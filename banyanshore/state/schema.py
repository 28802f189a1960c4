"""Schema of the desired state: its tables and the fields of their rows."""

import math

from banyanshore.core.values import dataclass

MAX_PRIORITY = 1000


@dataclass(frozen=True)
class Field:
    """Definition of a field.

    :param types: accepted Python types of the JSON value.
    :param expected: description of the accepted values for error messages.
    :param choices: accepted values; empty for any.
    :param minimum: smallest accepted number, ``None`` for values that aren't numbers.
    :param maximum: largest accepted number.
    :param is_secret: whether errors must not quote the value.
    """

    types: tuple
    expected: str
    required: bool = False
    choices: tuple = ()
    minimum: float | None = None
    maximum: float = math.inf
    is_secret: bool = False

    def accepts(self, value):
        """Return whether a value is valid for the field."""
        # In Python bool is a subclass of int; JSON has no other subclasses.
        if type(value) not in self.types:
            return False
        if self.choices and value not in self.choices:
            return False
        if self.minimum is None:
            return True
        return math.isfinite(value) and self.minimum <= value <= self.maximum


_STRING = (str,)
_NUMBER = (int, float)
_INTEGER = (int,)
_MODEL_FIELDS = {
    "version": Field(_STRING, "a text", required=True),
    "manifest_digest": Field(_STRING, "a SHA-256 in hexadecimal", required=True),
    "manifest_url": Field(_STRING, "a URL", required=True),
    "weights_url": Field(_STRING, "a URL", required=True),
    "max_unavailable_ratio": Field(
        _NUMBER, "a number from 0 to 1", minimum=0, maximum=1
    ),
    "max_failures": Field(_INTEGER, "a whole number, 1 or more", minimum=1),
    "paused": Field((bool,), "true or false"),
}
SERVICE_KINDS = ("model", "plain", "direct", "origin")
_SERVICE_FIELDS = {
    "kind": Field(
        _STRING,
        f"one of {', '.join(SERVICE_KINDS)}",
        required=True,
        choices=SERVICE_KINDS,
    ),
    "model": Field(_STRING, "the name of a model"),
    "non_repeatable": Field((list,), "a list of {method, path}"),
    "max_queue_seconds": Field(_NUMBER, "a number of seconds", minimum=0),
    # For services whose targets receive requests from gateways directly.
    "health_path": Field(_STRING, "a path"),
    "max_connections": Field(_INTEGER, "a whole number, 0 or more", minimum=0),
    "cold_seconds": Field(_NUMBER, "a number of seconds", minimum=0),
    "cold_per_second": Field(_NUMBER, "requests a second", minimum=0),
    "engine": Field((dict,), "the cost model of the engine"),
    # For the origins of weights.
    "address": Field(_STRING, "HOST:PORT"),
    "data_centre": Field(_STRING, "a data centre"),
    "bytes_per_second": Field(_NUMBER, "bytes a second", minimum=0),
}
_IN_SERVICE_FIELDS = {
    "in_service": Field((bool,), "true or false", required=True),
    "reason": Field(_STRING, "a text"),
}
_WORKSPACE_FIELDS = {
    "max_in_flight": Field(_INTEGER, "a whole number, 0 or more", minimum=0),
    "priority": Field(
        _INTEGER,
        f"a whole number from {-MAX_PRIORITY} to {MAX_PRIORITY}, lower goes first",
        minimum=-MAX_PRIORITY,
        maximum=MAX_PRIORITY,
    ),
    "keys": Field((list,), "a list of texts", is_secret=True),
    "regions": Field((list,), "a list of regions"),
}
ROUTE_KINDS = ("streaming", "idempotent", "non_idempotent")
_ROUTE_FIELDS = {
    "host": Field(_STRING, "a host name", required=True),
    "prefix": Field(_STRING, "a path that ends with a slash", required=True),
    "kind": Field(
        _STRING, f"one of {', '.join(ROUTE_KINDS)}", required=True, choices=ROUTE_KINDS
    ),
    "services": Field((list,), "a list of {service, weight}", required=True),
    "timeout_seconds": Field(_NUMBER, "seconds above 0", minimum=1e-3),
    "objective_seconds": Field(_NUMBER, "a number of seconds", minimum=0),
    "max_pause_seconds": Field(_NUMBER, "a number of seconds", minimum=0),
    "max_attempts": Field(_INTEGER, "a whole number, 0 or more", minimum=0),
    "priority": Field(_INTEGER, "a whole number", minimum=-MAX_PRIORITY),
    "public": Field((bool,), "true or false"),
    "sticky": Field((bool,), "true or false"),
    "resumable": Field((bool,), "true or false"),
    "regions": Field((list,), "a list of regions"),
}
_DECLARATION_FIELDS = {
    "number": Field(_INTEGER, "a whole number, 0 or more", required=True, minimum=0),
    "source": Field(_STRING, "compressed text", required=True),
}
_ROLLOUT_FIELDS = {
    "version": Field(_INTEGER, "a whole number, 1 or more", required=True, minimum=1),
}
_CALLER_LIMITS_FIELDS = {
    "max_header_bytes": Field(_INTEGER, "a number of bytes", minimum=1),
    "max_body_bytes": Field(_INTEGER, "a number of bytes", minimum=0),
    "header_timeout_seconds": Field(_NUMBER, "a number of seconds", minimum=0),
    "idle_timeout_seconds": Field(_NUMBER, "a number of seconds", minimum=0),
}
_LIMITS_FIELDS = {
    "retention_seconds": Field(
        _NUMBER, "a number of seconds from 60 to 604800", minimum=60, maximum=604_800
    ),
    "max_claims": Field(
        _INTEGER, "a whole number from 1 to 1000000", minimum=1, maximum=1_000_000
    ),
    "max_answer_bytes": Field(
        _INTEGER, "a whole number up to 1073741824", minimum=0, maximum=2**30
    ),
}
FIELDS_BY_TABLE = {
    "models": _MODEL_FIELDS,
    "services": _SERVICE_FIELDS,
    "data_centres": _IN_SERVICE_FIELDS,
    "targets": _IN_SERVICE_FIELDS,
    "workspaces": _WORKSPACE_FIELDS,
    "limits": _LIMITS_FIELDS,
    "routes": _ROUTE_FIELDS,
    "declarations": _DECLARATION_FIELDS,
    "rollouts": _ROLLOUT_FIELDS,
}
# Tables whose rows have fixed names.
NAMES_BY_TABLE = {"limits": ("claims", "callers"), "declarations": ("operator",)}
# Fields of rows that differ from those of their table.
FIELDS_BY_LOCATION = {"limits.callers": _CALLER_LIMITS_FIELDS}

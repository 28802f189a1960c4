"""The desired-state document: its schema, checks and merge patches (RFC 7396)."""

import copy
import fnmatch
import json
import math
from dataclasses import dataclass

from banyanshore.core.exceptions import BanyanshoreError

# Largest document accepted, in bytes of JSON.
MAX_DOCUMENT_BYTES = 1024 * 1024
# Deepest nesting of a patch.
MAX_DEPTH = 16
MAX_PRIORITY = 1000


class DocumentError(BanyanshoreError):
    """Signal a document that may not come into force, naming the bad place."""


@dataclass(frozen=True)
class Field:
    """One key of a table's rows.

    :param types: accepted Python types of the JSON value.
    :param expected: what to tell the operator.
    :param minimum: least number, ``None`` for values that aren't numbers.
    :param maximum: greatest number.
    """

    types: tuple
    expected: str
    required: bool = False
    choices: tuple = ()
    minimum: float | None = None
    maximum: float = math.inf

    def accepts(self, value):
        """Tell whether a value may stand under the key."""
        # In Python a truth value is a whole number too.
        if isinstance(value, bool) and bool not in self.types:
            return False
        if not isinstance(value, self.types):
            return False
        if self.choices and value not in self.choices:
            return False
        if self.minimum is None:
            return True
        return math.isfinite(value) and self.minimum <= value <= self.maximum


_TEXT = (str,)
_NUMBER = (int, float)
_WHOLE = (int,)
_MODEL_FIELDS = {
    "version": Field(_TEXT, "a text", required=True),
    "manifest_digest": Field(_TEXT, "a SHA-256 in hexadecimal", required=True),
    "manifest_url": Field(_TEXT, "a URL", required=True),
    "weights_url": Field(_TEXT, "a URL", required=True),
    "max_unavailable_ratio": Field(
        _NUMBER, "a number from 0 to 1", minimum=0, maximum=1
    ),
    "max_failures": Field(_WHOLE, "a whole number, 1 or more", minimum=1),
    "paused": Field((bool,), "true or false"),
}
SERVICE_KINDS = ("model", "plain", "direct", "origin")
_SERVICE_FIELDS = {
    "kind": Field(
        _TEXT,
        f"one of {', '.join(SERVICE_KINDS)}",
        required=True,
        choices=SERVICE_KINDS,
    ),
    "model": Field(_TEXT, "the name of a model"),
    "non_repeatable": Field((list,), "a list of {method, path}"),
    "max_queue_seconds": Field(_NUMBER, "a number of seconds", minimum=0),
    # Targets that gateways send requests to themselves.
    "health_path": Field(_TEXT, "a path"),
    "max_connections": Field(_WHOLE, "a whole number, 0 or more", minimum=0),
    "cold_seconds": Field(_NUMBER, "a number of seconds", minimum=0),
    "cold_per_second": Field(_NUMBER, "requests a second", minimum=0),
    "engine": Field((dict,), "the cost model of the engine"),
    # Where weights come from.
    "address": Field(_TEXT, "HOST:PORT"),
    "data_centre": Field(_TEXT, "a data centre"),
    "bytes_per_second": Field(_NUMBER, "bytes a second", minimum=0),
}
_IN_SERVICE_FIELDS = {
    "in_service": Field((bool,), "true or false", required=True),
    "reason": Field(_TEXT, "a text"),
}
_WORKSPACE_FIELDS = {
    "max_in_flight": Field(_WHOLE, "a whole number, 0 or more", minimum=0),
    "priority": Field(
        _WHOLE,
        f"a whole number from {-MAX_PRIORITY} to {MAX_PRIORITY}, lower goes first",
        minimum=-MAX_PRIORITY,
        maximum=MAX_PRIORITY,
    ),
    "keys": Field((list,), "a list of texts"),
    "regions": Field((list,), "a list of regions"),
}
ROUTE_KINDS = ("streaming", "idempotent", "non_idempotent")
_ROUTE_FIELDS = {
    "host": Field(_TEXT, "a host name", required=True),
    "prefix": Field(_TEXT, "a path that ends with a slash", required=True),
    "kind": Field(
        _TEXT, f"one of {', '.join(ROUTE_KINDS)}", required=True, choices=ROUTE_KINDS
    ),
    "services": Field((list,), "a list of {service, weight}", required=True),
    "timeout_seconds": Field(_NUMBER, "seconds above 0", minimum=1e-3),
    "objective_seconds": Field(_NUMBER, "a number of seconds", minimum=0),
    "max_pause_seconds": Field(_NUMBER, "a number of seconds", minimum=0),
    "max_attempts": Field(_WHOLE, "a whole number, 0 or more", minimum=0),
    "priority": Field(_WHOLE, "a whole number", minimum=-MAX_PRIORITY),
    "public": Field((bool,), "true or false"),
    "sticky": Field((bool,), "true or false"),
    "resumable": Field((bool,), "true or false"),
    "regions": Field((list,), "a list of regions"),
}
_DECLARATION_FIELDS = {
    "number": Field(_WHOLE, "a whole number, 0 or more", required=True, minimum=0),
    "source": Field(_TEXT, "compressed text", required=True),
}
_ROLLOUT_FIELDS = {
    "version": Field(_WHOLE, "a whole number, 1 or more", required=True, minimum=1),
}
_CALLER_LIMITS_FIELDS = {
    "max_header_bytes": Field(_WHOLE, "a number of bytes", minimum=1),
    "max_body_bytes": Field(_WHOLE, "a number of bytes", minimum=0),
    "header_timeout_seconds": Field(_NUMBER, "a number of seconds", minimum=0),
    "idle_timeout_seconds": Field(_NUMBER, "a number of seconds", minimum=0),
}
_LIMITS_FIELDS = {
    "retention_seconds": Field(
        _NUMBER, "a number of seconds from 60 to 604800", minimum=60, maximum=604_800
    ),
    "max_claims": Field(
        _WHOLE, "a whole number from 1 to 1000000", minimum=1, maximum=1_000_000
    ),
    "max_answer_bytes": Field(
        _WHOLE, "a whole number up to 1073741824", minimum=0, maximum=2**30
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
_NAMES_BY_TABLE = {"limits": ("claims", "callers"), "declarations": ("operator",)}
# Rows whose fields differ from those of their table.
_FIELDS_BY_PLACE = {"limits.callers": _CALLER_LIMITS_FIELDS}


def empty_document():
    """Return the document of version 0, which holds nothing."""
    return {table: {} for table in FIELDS_BY_TABLE}


def merge_patch(target, patch):
    """Return a value with a merge patch applied; neither argument is changed.

    >>> merge_patch({"a": 1, "b": {"c": 2}}, {"a": None, "b": {"d": 3}})
    {'b': {'c': 2, 'd': 3}}
    """
    if not isinstance(patch, dict):
        return copy.deepcopy(patch)
    result = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = merge_patch(result.get(key), value)
    return result


def diff_documents(before, after):
    """Return the merge patch that leads from one document to another.

    Documents hold no ``None``, so there always is one.

    >>> diff_documents({"a": 1, "b": {"c": 2}}, {"b": {"c": 2, "d": 3}})
    {'a': None, 'b': {'d': 3}}
    """
    patch = {key: None for key in before if key not in after}
    for key, value in after.items():
        known = before.get(key)
        if isinstance(value, dict) and isinstance(known, dict):
            inner = diff_documents(known, value)
            if inner:
                patch[key] = inner
        elif key not in before or to_json(known) != to_json(value):
            patch[key] = value
    return patch


def parse_patch(data):
    """Return the merge patch in some JSON.

    :raises DocumentError: it isn't JSON, no object, or nested too deeply.
    """
    try:
        patch = json.loads(data, parse_constant=_refuse_constant)
    except ValueError as error:
        raise DocumentError(f"the patch is not JSON: {error}", step="check") from None
    except RecursionError:
        raise DocumentError("the patch is nested too deeply", step="check") from None
    if not isinstance(patch, dict):
        raise DocumentError("a patch must be a JSON object", step="check")
    if _depth(patch) > MAX_DEPTH:
        raise DocumentError(f"patch is nested deeper than {MAX_DEPTH}", step="check")
    return patch


def _depth(value):
    """Return how deep objects and arrays are nested in a value."""
    depth = 0
    level = [value]
    while level := [item for item in level if isinstance(item, (dict, list))]:
        depth += 1
        level = [
            inner
            for item in level
            for inner in (item.values() if isinstance(item, dict) else item)
        ]
    return depth


def _refuse_constant(name):
    raise ValueError(f"{name} is not JSON")


def to_json(document):
    """Return the JSON of a document; equal documents give equal bytes."""
    return json.dumps(document, separators=(",", ":"), sort_keys=True).encode()


def check_document(document):
    """Raise for a document that may not come into force.

    :raises DocumentError: names the place, the value and what was expected.
    """
    if not isinstance(document, dict):
        raise error_at("(top)", document, "an object")
    for table, rows in document.items():
        fields = FIELDS_BY_TABLE.get(table)
        if fields is None:
            raise error_at(table, rows, f"one of {', '.join(FIELDS_BY_TABLE)}")
        if not isinstance(rows, dict):
            raise error_at(table, rows, "an object of rows by name")
        for name, row in rows.items():
            names = _NAMES_BY_TABLE.get(table, (name,))
            if name not in names:
                raise error_at(f"{table}.{name}", row, f"one of {', '.join(names)}")
            place = f"{table}.{name}"
            _check_row(place, row, _FIELDS_BY_PLACE.get(place, fields))
    _check_references(document)
    check_routes(document)
    check_keys(document)


def is_non_repeatable(service, method, path):
    """Tell whether a call to a service may not be repeated.

    :param service: row of the service in the document.

    >>> rule = {"method": "POST", "path": "/orders*"}
    >>> is_non_repeatable({"non_repeatable": [rule]}, "POST", "/orders/7")
    True
    """
    return any(
        rule["method"] in ("*", method) and fnmatch.fnmatchcase(path, rule["path"])
        for rule in service.get("non_repeatable", ())
    )


def _check_row(place, row, fields):
    if not isinstance(row, dict):
        raise error_at(place, row, "an object")
    for key, value in row.items():
        field = fields.get(key)
        if field is None:
            raise error_at(f"{place}.{key}", value, f"one of {', '.join(fields)}")
        if not field.accepts(value):
            raise error_at(f"{place}.{key}", value, field.expected)
    for key, field in fields.items():
        if field.required and key not in row:
            raise error_at(f"{place}.{key}", None, field.expected)


def _check_references(document):
    models = document.get("models", {})
    for name, service in document.get("services", {}).items():
        model = service.get("model")
        if model is not None and model not in models:
            raise error_at(f"services.{name}.model", model, "a model in the document")
        if service["kind"] == "model" and model is None:
            raise error_at(f"services.{name}.model", None, "the name of a model")
        for position, rule in enumerate(service.get("non_repeatable", ())):
            place = f"services.{name}.non_repeatable.{position}"
            if not isinstance(rule, dict) or set(rule) != {"method", "path"}:
                raise error_at(place, rule, "an object with method and path")
            if not all(isinstance(value, str) for value in rule.values()):
                raise error_at(place, rule, "texts for method and path")


def check_routes(document):
    """Raise for routes that name no service, carry no weight or share a place.

    :raises DocumentError: names the route.
    """
    services = document.get("services", {})
    name_by_place = {}
    for name, route in document.get("routes", {}).items():
        place = f"routes.{name}"
        if not route["prefix"].startswith("/") or not route["prefix"].endswith("/"):
            raise error_at(f"{place}.prefix", route["prefix"], "/ at both ends")
        key = (route["host"], route["prefix"])
        if key in name_by_place:
            detail = f"a place other than that of route {name_by_place[key]}"
            raise error_at(place, "".join(key), detail)
        name_by_place[key] = name
        _check_shares(place, route["services"], services)


def _check_shares(place, shares, services):
    total = 0
    for position, share in enumerate(shares):
        where = f"{place}.services.{position}"
        if not isinstance(share, dict) or set(share) != {"service", "weight"}:
            raise error_at(where, share, "an object with service and weight")
        if share["service"] not in services:
            raise error_at(where, share["service"], "a service in the document")
        weight = share["weight"]
        if isinstance(weight, bool) or not isinstance(weight, _NUMBER) or weight < 0:
            raise error_at(where, weight, "a weight of 0 or more")
        total += weight
    if not 0 < total < math.inf:
        raise error_at(f"{place}.services", total, "weights that add up to more than 0")


def check_keys(document):
    """Raise for a key that two workspaces hold.

    :raises DocumentError: names both workspaces.
    """
    holder_by_key = {}
    for name, workspace in document.get("workspaces", {}).items():
        for key in workspace.get("keys", ()):
            place = f"workspaces.{name}.keys"
            if not isinstance(key, str):
                raise error_at(place, type(key).__name__, "texts")
            if holder_by_key.setdefault(key, name) != name:
                detail = f"no key of workspace {holder_by_key[key]}"
                raise error_at(place, "a shared key", detail)


def error_at(place, value, expected):
    """Return the error of a value at a place in the document."""
    return DocumentError(f"{place}: got {value!r}, expected {expected}", step="check")

"""The desired-state document: validation and merge patches (RFC 7396).

Documents are not modified: a patched document shares all rows that the patch doesn't
change with the one before, so that unchanged rows are recognised by identity.
"""

import fnmatch
import json
import math

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.state.schema import FIELDS_BY_LOCATION, FIELDS_BY_TABLE, NAMES_BY_TABLE

# Largest document accepted, in bytes of JSON: room for the tables and the compressed
# text of a declaration of 4 MiB, the largest body that operators may send.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
# Largest nesting depth of a patch.
MAX_DEPTH = 16


class DocumentError(BanyanshoreError):
    """Raised for an invalid document or patch; the message names the location."""


def empty_document():
    """Return the document of version 0, whose tables are empty."""
    return {table: {} for table in FIELDS_BY_TABLE}


def merge_patch(target, patch):
    """Return a value with a merge patch applied; neither argument is changed.

    The result shares values with both arguments.

    >>> merge_patch({"a": 1, "b": {"c": 2}}, {"a": None, "b": {"d": 3}})
    {'b': {'c': 2, 'd': 3}}
    """
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        elif isinstance(value, dict):
            result[key] = merge_patch(result.get(key), value)
        else:
            result[key] = value
    return result


def diff_documents(before, after):
    """Return the merge patch that turns one document into another.

    It always exists, because documents hold no ``None``.

    >>> diff_documents({"a": 1, "b": {"c": 2}}, {"b": {"c": 2, "d": 3}})
    {'a': None, 'b': {'d': 3}}
    """
    patch = {key: None for key in before if key not in after}
    for key, value in after.items():
        known = before.get(key)
        if known is value:
            # Documents hold no None, so the key is not missing.
            continue
        if isinstance(value, dict) and isinstance(known, dict):
            inner = diff_documents(known, value)
            if inner:
                patch[key] = inner
        elif key not in before or not _json_equal(known, value):
            patch[key] = value
    return patch


def _json_equal(one, other):
    """Return whether two values are equal in JSON, where 1 and true differ."""
    if type(one) is not type(other) or one != other:
        return False
    if isinstance(one, dict):
        return all(_json_equal(value, other[key]) for key, value in one.items())
    if isinstance(one, list):
        return all(map(_json_equal, one, other))
    return True


def parse_patch(data):
    """Parse a merge patch from JSON.

    :raises DocumentError: it isn't JSON, isn't an object, or is nested too deeply.
    """
    try:
        patch = json.loads(data, parse_constant=_reject_constant)
    except ValueError as error:
        raise DocumentError(f"the patch is not JSON: {error}", step="check") from None
    except RecursionError:
        raise DocumentError("the patch is nested too deeply", step="check") from None
    if not isinstance(patch, dict):
        raise DocumentError("a patch must be a JSON object", step="check")
    if _nesting_depth(patch) > MAX_DEPTH:
        raise DocumentError(f"patch is nested deeper than {MAX_DEPTH}", step="check")
    return patch


def _nesting_depth(value):
    """Return the nesting depth of objects and arrays in a value."""
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


def _reject_constant(name):
    raise ValueError(f"{name} is not JSON")


def to_json(document):
    """Return the canonical JSON of a document, the same for equal documents."""
    return json.dumps(document, separators=(",", ":"), sort_keys=True).encode()


def check_document(document, valid=None):
    """Validate a document.

    :param valid: an earlier document that is valid. Rows that it shares with the
        document are validated only against the rows that differ.
    :raises DocumentError: names the location, the value and what was expected.
    """
    if not isinstance(document, dict):
        raise error_at("(top)", document, "an object")
    valid = valid or {}
    for table, rows in document.items():
        fields = FIELDS_BY_TABLE.get(table)
        if fields is None:
            raise error_at(table, rows, f"one of {', '.join(FIELDS_BY_TABLE)}")
        if not isinstance(rows, dict):
            raise error_at(table, rows, "an object of rows by name")
        for name, row in changed_rows(rows, valid.get(table, {})).items():
            names = NAMES_BY_TABLE.get(table, (name,))
            if name not in names:
                raise error_at(f"{table}.{name}", row, f"one of {', '.join(names)}")
            location = f"{table}.{name}"
            _check_row(location, row, FIELDS_BY_LOCATION.get(location, fields))
    _check_references(document, valid)
    check_routes(document, valid)
    check_keys(document, valid)


def changed_rows(rows, before):
    """Return the rows by name that are not the same objects as before.

    >>> row = {"kind": "plain"}
    >>> changed_rows({"a": row, "b": {}}, {"a": row})
    {'b': {}}
    """
    if rows is before:
        return {}
    return {name: row for name, row in rows.items() if before.get(name) is not row}


def is_non_repeatable(service, method, path):
    """Return whether a call to a service may not be repeated.

    :param service: row of the service in the document.

    >>> rule = {"method": "POST", "path": "/orders*"}
    >>> is_non_repeatable({"non_repeatable": [rule]}, "POST", "/orders/7")
    True
    """
    return any(
        rule["method"] in ("*", method) and fnmatch.fnmatchcase(path, rule["path"])
        for rule in service.get("non_repeatable", ())
    )


def _check_row(location, row, fields):
    if not isinstance(row, dict):
        raise error_at(location, row, "an object")
    for key, value in row.items():
        field = fields.get(key)
        if field is None:
            raise error_at(f"{location}.{key}", value, f"one of {', '.join(fields)}")
        if not field.accepts(value):
            shown = type(value).__name__ if field.is_secret else value
            raise error_at(f"{location}.{key}", shown, field.expected)
    for key, field in fields.items():
        if field.required and key not in row:
            raise error_at(f"{location}.{key}", None, field.expected)


def _check_references(document, valid):
    models = document.get("models", {})
    services = document.get("services", {})
    if not _lacks_names(models, valid.get("models", {})):
        services = changed_rows(services, valid.get("services", {}))
    for name, service in services.items():
        model = service.get("model")
        if model is not None and model not in models:
            raise error_at(f"services.{name}.model", model, "a model in the document")
        if service["kind"] == "model" and model is None:
            raise error_at(f"services.{name}.model", None, "the name of a model")
        for position, rule in enumerate(service.get("non_repeatable", ())):
            location = f"services.{name}.non_repeatable.{position}"
            if not isinstance(rule, dict) or set(rule) != {"method", "path"}:
                raise error_at(location, rule, "an object with method and path")
            if not all(isinstance(value, str) for value in rule.values()):
                raise error_at(location, rule, "texts for method and path")


def _lacks_names(rows, before):
    """Return whether a table lacks a row that it had before."""
    return rows is not before and not before.keys() <= rows.keys()


def check_routes(document, valid=None):
    """Validate the prefixes and services of all routes.

    Two routes must not have the same host and prefix, and the weights of a route's
    services must add up to more than 0.

    :param valid: an earlier document that is valid, as for :func:`check_document`.
    :raises DocumentError: names the route.
    """
    valid = valid or {}
    services = document.get("services", {})
    routes = document.get("routes", {})
    changed = changed_rows(routes, valid.get("routes", {}))
    name_by_host_and_prefix = {}
    for name, route in changed.items():
        location = f"routes.{name}"
        if not route["prefix"].startswith("/") or not route["prefix"].endswith("/"):
            raise error_at(f"{location}.prefix", route["prefix"], "/ at both ends")
        key = (route["host"], route["prefix"])
        if key in name_by_host_and_prefix:
            raise _taken_place(location, key, name_by_host_and_prefix[key])
        name_by_host_and_prefix[key] = name
        _check_shares(location, route["services"], services)
    is_service_missing = _lacks_names(services, valid.get("services", {}))
    if len(changed) == len(routes) or not (changed or is_service_missing):
        return
    for name, route in routes.items():
        key = (route["host"], route["prefix"])
        taken_by = name_by_host_and_prefix.get(key, name)
        if taken_by != name:
            raise _taken_place(f"routes.{taken_by}", key, name)
        if is_service_missing:
            _check_shares(f"routes.{name}", route["services"], services)


def _taken_place(location, key, name):
    return error_at(location, "".join(key), f"a place other than that of route {name}")


def _check_shares(location, shares, services):
    total = 0
    for position, share in enumerate(shares):
        share_location = f"{location}.services.{position}"
        if not isinstance(share, dict) or set(share) != {"service", "weight"}:
            raise error_at(share_location, share, "an object with service and weight")
        if share["service"] not in services:
            raise error_at(
                share_location, share["service"], "a service in the document"
            )
        weight = share["weight"]
        if (
            isinstance(weight, bool)
            or not isinstance(weight, (int, float))
            or weight < 0
        ):
            raise error_at(share_location, weight, "a weight of 0 or more")
        total += weight
    if not 0 < total < math.inf:
        raise error_at(
            f"{location}.services", total, "weights that add up to more than 0"
        )


def check_keys(document, valid=None):
    """Validate that no two workspaces have the same key.

    :param valid: an earlier document that is valid, as for :func:`check_document`.
    :raises DocumentError: names both workspaces.
    """
    workspaces = document.get("workspaces", {})
    if not changed_rows(workspaces, (valid or {}).get("workspaces", {})):
        return
    holder_by_key = {}
    for name, workspace in workspaces.items():
        for key in workspace.get("keys", ()):
            location = f"workspaces.{name}.keys"
            if not isinstance(key, str):
                raise error_at(location, type(key).__name__, "texts")
            if holder_by_key.setdefault(key, name) != name:
                detail = f"no key of workspace {holder_by_key[key]}"
                raise error_at(location, "a shared key", detail)


def error_at(location, value, expected):
    """Return the error for a value at a location in the document."""
    return DocumentError(
        f"{location}: got {value!r}, expected {expected}", step="check"
    )

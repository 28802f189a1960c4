"""Decode the operator's declaration into tables of the desired state.

The original text is stored with the tables, since the operator reads it back.
"""

import base64
import re
import zlib

from banyanshore.platform.values import DecodeError, Reader, parse_object
from banyanshore.transport.codec import CodecError, encode

# Marks a stored text in base 64; earlier releases stored it in base 85, which is slow
# and has no colon.
_BASE64_PREFIX = "base64:"
_COMPRESSION_LEVEL = 3
_CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f]")
_KIND_BY_ROUTE_TYPE = {
    "streaming": "streaming",
    "idempotent": "idempotent",
    "non_idempotent": "non_idempotent",
}


class DeclarationDecoder:
    """Decode declarations, most of whose routes are those of the one before.

    Load pattern: declarations of thousands of routes follow at short intervals, and
    each changes a few. The event loop has to get to heartbeats meanwhile.
    """

    def __init__(self):
        self._rows = {}
        self._key_by_source = {}

    def decode(self, body):
        """Return the version number of a declaration and its tables.

        Rows of routes that are the same as in the declaration before are the rows that
        its tables hold now.

        :param body: the declaration as JSON bytes.
        :raises DecodeError: the declaration is invalid.
        """
        reader = Reader(parse_object(body))
        number = reader.integer("version")
        services = reader.objects("backends")
        rows, key_by_source = self._decode_routes(reader)
        tables = {
            "services": _by_name(services, _decode_service),
            "routes": rows,
            "workspaces": _by_name(
                reader.objects("tenants", []), _decode_workspace, _check_header_value
            ),
            "limits": _decode_limits(reader.object("limits")),
            "declarations": {"operator": {"number": number, "source": _pack(body)}},
        }
        self._rows, self._key_by_source = rows, key_by_source
        return number, tables

    def _decode_routes(self, reader):
        """Return the rows by key, and the keys by the encoded routes."""
        rows, key_by_source = {}, {}
        for position, document in enumerate(reader.list("routes")):
            source = _encode_route(document)
            key = self._key_by_source.get(source)
            if key is None:
                row = _decode_route(Reader(document, f"routes.{position}"))
                # Routes are identified by host and prefix; their names are ignored.
                key = f"{row['host']}{row['prefix']}"
            else:
                row = self._rows[key]
            if key in rows:
                path = f"routes.{position}"
                raise DecodeError(path, key, "a host and prefix used once")
            rows[key] = row
            if source is not None:
                key_by_source[source] = key
        return rows, key_by_source


def decode_declaration(body):
    """Return the version number of a declaration and its tables.

    :param body: the declaration as JSON bytes.
    :raises DecodeError: the declaration is invalid.
    """
    return DeclarationDecoder().decode(body)


def _encode_route(document):
    """Return bytes that tell all JSON values apart, or ``None``.

    In Python ``1``, ``1.0`` and ``True`` are equal.
    """
    try:
        return encode(document)
    except (CodecError, ValueError):
        # Numbers and texts that no route may hold.
        return None


def encode_declaration(document):
    """Return the declaration in force as the operator sent it, or ``None``."""
    row = document.get("declarations", {}).get("operator")
    return None if row is None else _unpack(row["source"])


def _pack(body):
    packed = base64.b64encode(zlib.compress(body, _COMPRESSION_LEVEL))
    return _BASE64_PREFIX + packed.decode("ascii")


def _unpack(source):
    if source.startswith(_BASE64_PREFIX):
        return zlib.decompress(base64.b64decode(source[len(_BASE64_PREFIX) :]))
    return zlib.decompress(base64.b85decode(source))


def _by_name(readers, decode, check=lambda path, name: None):
    rows = {}
    for reader in readers:
        name = reader.string("name")
        check(f"{reader.path}.name", name)
        if name in rows:
            raise DecodeError(f"{reader.path}.name", name, "a name used once")
        rows[name] = decode(reader)
    return rows


def _check_header_value(path, name):
    """Check that a name can stand in a header of the requests to targets."""
    if name != name.strip(" \t") or _CONTROL_CHARACTER.search(name):
        raise DecodeError(
            path, name, "a text without control or outer blank characters"
        )


def _decode_route(reader):
    kind = reader.string("routeType")
    if kind not in _KIND_BY_ROUTE_TYPE:
        raise DecodeError(
            f"{reader.path}.routeType", kind, f"one of {', '.join(_KIND_BY_ROUTE_TYPE)}"
        )
    row = {
        "host": reader.string("hostname").lower(),
        "prefix": reader.string("pathPrefix"),
        "kind": _KIND_BY_ROUTE_TYPE[kind],
        "services": _decode_shares(reader),
        "timeout_seconds": reader.seconds("timeoutMs", None),
        # Latency objective: only an answer within this time earns its full worth.
        "objective_seconds": reader.seconds("sloMs", None),
        # Maximum pause between events, not between tokens.
        "max_pause_seconds": reader.seconds("itlTargetMs", None),
        "max_attempts": reader.integer("maxAttempts", None),
        "priority": reader.integer("priority", None),
        "public": reader.boolean("public", None),
        "sticky": reader.boolean("sticky", None),
        "resumable": reader.boolean("resumable", None),
        "regions": reader.strings("allowedRegions", None) or None,
    }
    return _without_none(row)


def _decode_shares(reader):
    shares = reader.objects("split", [])
    if not shares:
        return [{"service": reader.string("backend"), "weight": 1}]
    return [
        {"service": share.string("backend"), "weight": share.number("weight")}
        for share in shares
    ]


def _decode_service(reader):
    if "upstream" in reader.document:
        # The origin of the weights doesn't register; its address is fixed.
        row = {
            "kind": "origin",
            "address": reader.string("upstream"),
            "data_centre": reader.string("zone", None),
            "bytes_per_second": _bytes_per_second(reader.number("linkMbps", None)),
            "max_connections": reader.integer("maxConns", None),
        }
        return _without_none(row)
    row = {
        "kind": "direct",
        "health_path": reader.string("healthPath", None),
        # Limit over all callers together.
        "max_connections": reader.integer("maxConns", None),
        "cold_seconds": reader.number("coldStartS", None),
        "cold_per_second": reader.number("coldPerS", None),
        "engine": _decode_engine(reader.object("runtime")),
    }
    return _without_none(row)


def _decode_engine(reader):
    """Return the cost model of a model engine, with times in seconds."""
    if reader is None:
        return None
    usual = reader.object("usual")
    row = {
        "slots": reader.integer("slots", None),
        "kv_tokens": reader.integer("kvCapacity", None),
        # Steps in a pass that includes decoding requests.
        "steps_per_pass": reader.integer("stride", None),
        "step_seconds": reader.seconds("step_ms", None),
        "request_seconds": reader.seconds("per_seq_ms", None),
        "kilotoken_seconds": reader.seconds("context_per_k", None),
        # Prompt tokens, not bytes.
        "read_tokens_per_second": reader.number("read_per_s", None),
        # Cost of a million pairs of a token and an earlier token.
        "pairs_seconds": reader.seconds("pairs_per_m", None),
        "read_tokens_per_step": reader.integer("chunk", None),
        "report_lag_seconds": reader.seconds("report_lag_ms", None),
        "layers": reader.integer("layers", None),
        "chunk_count": reader.integer("chunkCount", None),
        "chunk_bytes": reader.integer("blockBytes", None),
        "usual_prompt_tokens": usual.number("prompt", None) if usual else None,
        "usual_answer_tokens": usual.number("answer", None) if usual else None,
        "models": [_decode_model(model) for model in reader.objects("models", [])],
    }
    return _without_none(row)


def _decode_model(reader):
    row = {
        "name": reader.string("name"),
        "pace": reader.number("pace", None),
        # Time to load staged weights into the memory of the engine.
        "load_seconds": reader.number("warmupS", None),
    }
    return _without_none(row)


def _decode_workspace(reader):
    row = {
        "priority": reader.integer("priority", None),
        "keys": reader.secrets("apiKeys", None),
        "regions": reader.strings("allowedRegions", None) or None,
    }
    return _without_none(row)


def _decode_limits(reader):
    if reader is None:
        return {}
    row = {
        "max_header_bytes": reader.integer("maxHeaderBytes", None),
        "max_body_bytes": reader.integer("maxBodyBytes", None),
        "header_timeout_seconds": reader.seconds("headerTimeoutMs", None),
        "idle_timeout_seconds": reader.seconds("idleTimeoutMs", None),
    }
    return {"callers": _without_none(row)}


def _bytes_per_second(megabits):
    return None if megabits is None else megabits * 1e6 / 8


def _without_none(row):
    return {key: value for key, value in row.items() if value is not None}

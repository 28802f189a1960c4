"""Decode the operator's declaration into tables of the desired state.

The text itself is kept beside the tables, since the operator reads back what was sent.
"""

import base64
import zlib

from banyanshore.platform.values import DecodeError, Reader, parse_object

_KIND_BY_WORD = {
    "streaming": "streaming",
    "idempotent": "idempotent",
    "non_idempotent": "non_idempotent",
}


def decode_declaration(body):
    """Return the number of a declaration and its tables.

    :param body: the declaration as JSON bytes.
    :raises DecodeError: it can't be read in full.
    """
    reader = Reader(parse_object(body))
    number = reader.whole("version")
    services = reader.objects("backends")
    tables = {
        "services": _by_name(services, _decode_service),
        "routes": _decode_routes(reader.objects("routes")),
        "workspaces": _by_name(reader.objects("tenants", []), _decode_workspace),
        "limits": _decode_limits(reader.object("limits")),
        "declarations": {"operator": {"number": number, "source": _pack(body)}},
    }
    return number, tables


def encode_declaration(document):
    """Return the declaration in force as the operator sent it, or ``None``."""
    row = document.get("declarations", {}).get("operator")
    return None if row is None else _unpack(row["source"])


def _pack(body):
    return base64.b85encode(zlib.compress(body, 6)).decode("ascii")


def _unpack(source):
    return zlib.decompress(base64.b85decode(source))


def _by_name(readers, decode):
    rows = {}
    for reader in readers:
        name = reader.text("name")
        if name in rows:
            raise DecodeError(f"{reader.place}.name", name, "a name used once")
        rows[name] = decode(reader)
    return rows


def _decode_routes(readers):
    rows = {}
    for reader in readers:
        row = _decode_route(reader)
        # The names of routes mean nothing here: the place tells them apart.
        place = f"{row['host']}{row['prefix']}"
        if place in rows:
            raise DecodeError(reader.place, place, "a host and prefix used once")
        rows[place] = row
    return rows


def _decode_route(reader):
    kind = reader.text("routeType")
    if kind not in _KIND_BY_WORD:
        raise DecodeError(
            f"{reader.place}.routeType", kind, f"one of {', '.join(_KIND_BY_WORD)}"
        )
    row = {
        "host": reader.text("hostname").lower(),
        "prefix": reader.text("pathPrefix"),
        "kind": _KIND_BY_WORD[kind],
        "services": _decode_shares(reader),
        "timeout_seconds": reader.seconds("timeoutMs", None),
        # The time within which an answer earns its whole worth.
        "objective_seconds": reader.seconds("sloMs", None),
        # The longest pause between events, not between tokens.
        "max_pause_seconds": reader.seconds("itlTargetMs", None),
        "max_attempts": reader.whole("maxAttempts", None),
        "priority": reader.whole("priority", None),
        "public": reader.flag("public", None),
        "sticky": reader.flag("sticky", None),
        "resumable": reader.flag("resumable", None),
        "regions": reader.texts("allowedRegions", None) or None,
    }
    return _without_none(row)


def _decode_shares(reader):
    shares = reader.objects("split", [])
    if not shares:
        return [{"service": reader.text("backend"), "weight": 1}]
    return [
        {"service": share.text("backend"), "weight": share.number("weight")}
        for share in shares
    ]


def _decode_service(reader):
    if "upstream" in reader.document:
        # The origin of weights: on no list, reached at a fixed address.
        row = {
            "kind": "origin",
            "address": reader.text("upstream"),
            "data_centre": reader.text("zone", None),
            "bytes_per_second": _bytes_per_second(reader.number("linkMbps", None)),
            "max_connections": reader.whole("maxConns", None),
        }
        return _without_none(row)
    row = {
        "kind": "direct",
        "health_path": reader.text("healthPath", None),
        # Over all callers together.
        "max_connections": reader.whole("maxConns", None),
        "cold_seconds": reader.number("coldStartS", None),
        "cold_per_second": reader.number("coldPerS", None),
        "engine": _decode_engine(reader.object("runtime")),
    }
    return _without_none(row)


def _decode_engine(reader):
    """Return the cost model of a model engine; times in seconds."""
    if reader is None:
        return None
    usual = reader.object("usual")
    row = {
        "slots": reader.whole("slots", None),
        "kv_tokens": reader.whole("kvCapacity", None),
        # Steps in a pass that includes requests that are writing.
        "steps_per_pass": reader.whole("stride", None),
        "step_seconds": reader.seconds("step_ms", None),
        "request_seconds": reader.seconds("per_seq_ms", None),
        "kilotoken_seconds": reader.seconds("context_per_k", None),
        # Prompt tokens, not bytes.
        "read_tokens_per_second": reader.number("read_per_s", None),
        # For a million pairs of a token and an earlier one.
        "pairs_seconds": reader.seconds("pairs_per_m", None),
        "read_tokens_per_step": reader.whole("chunk", None),
        "report_lag_seconds": reader.seconds("report_lag_ms", None),
        "layers": reader.whole("layers", None),
        "chunk_count": reader.whole("chunkCount", None),
        "chunk_bytes": reader.whole("blockBytes", None),
        "usual_prompt_tokens": usual.number("prompt", None) if usual else None,
        "usual_answer_tokens": usual.number("answer", None) if usual else None,
        "models": [_decode_model(model) for model in reader.objects("models", [])],
    }
    return _without_none(row)


def _decode_model(reader):
    row = {
        "name": reader.text("name"),
        "pace": reader.number("pace", None),
        # From the weights that are staged beside the engine into its memory.
        "load_seconds": reader.number("warmupS", None),
    }
    return _without_none(row)


def _decode_workspace(reader):
    row = {
        "priority": reader.whole("priority", None),
        "keys": reader.texts("apiKeys", None),
        "regions": reader.texts("allowedRegions", None) or None,
    }
    return _without_none(row)


def _decode_limits(reader):
    if reader is None:
        return {}
    row = {
        "max_header_bytes": reader.whole("maxHeaderBytes", None),
        "max_body_bytes": reader.whole("maxBodyBytes", None),
        "header_timeout_seconds": reader.seconds("headerTimeoutMs", None),
        "idle_timeout_seconds": reader.seconds("idleTimeoutMs", None),
    }
    return {"callers": _without_none(row)}


def _bytes_per_second(megabits):
    return None if megabits is None else megabits * 1e6 / 8


def _without_none(row):
    return {key: value for key, value in row.items() if value is not None}

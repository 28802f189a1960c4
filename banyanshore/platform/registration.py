"""Decode the registrations that targets send as heartbeats."""

import re
from ipaddress import AddressValueError, IPv4Address

from banyanshore.membership.registry import TargetRow, TargetState
from banyanshore.platform.values import DecodeError, Reader, parse_object

# Seconds by which the start time of a target may be ahead of this instance's clock. A
# later one would keep all later starts out, since the latest start counts.
MAX_START_AHEAD_SECONDS = 86_400
_PORT = re.compile(r"[0-9]{1,5}")
_STATE_BY_NAME = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


def decode_registration(target_id, body, now):
    """Return the :class:`TargetRow` of a heartbeat.

    :param target_id: id of the target from the path of the call.
    :param now: seconds since the epoch.
    :raises DecodeError: the heartbeat is invalid.
    """
    reader = Reader(parse_object(body))
    state = reader.string("state")
    if state not in _STATE_BY_NAME:
        raise DecodeError("state", state, f"one of {', '.join(_STATE_BY_NAME)}")
    address = reader.string("address")
    _check_address(address)
    # Not used, but a report in which it has another type is no target's.
    reader.string("phase", "")
    return TargetRow(
        target_id,
        reader.string("backend"),
        address,
        reader.string("zone"),
        # Version of the target's software, not of its weights.
        reader.string("version"),
        reader.integer("slots"),
        _STATE_BY_NAME[state],
        reader.seconds("coldLeftMs"),
        _read_start(reader, now),
        reader.integer("seq"),
        *decode_layers(reader),
    )


def decode_layers(reader):
    """Return the loaded model, its version and its range of layers.

    :return: model, version, first layer, and the layer after the last one. The model is
        empty if there is none, and the numbers are 0 if no layers are loaded.
    """
    models = reader.objects("models", [])
    model = models[0].string("name") if models else ""
    layers = reader.object("layers")
    if layers is None:
        return model, 0, 0, 0
    first, end = layers.integer("from", 0), layers.integer("target", 0)
    if end <= first:
        return model, 0, 0, 0
    return model, layers.integer("version", 0), first, end


def _read_start(reader, now):
    """Return the start time of the target, in milliseconds since the epoch."""
    start = reader.integer("born")
    if start > 1000 * (now + MAX_START_AHEAD_SECONDS):
        raise DecodeError("born", start, "a start time at most a day ahead")
    return start


def _check_address(address):
    host, _, port = address.rpartition(":")
    is_port = _PORT.fullmatch(port) and 0 < int(port) < 65536
    if not is_port or not _is_ipv4_address(host):
        raise DecodeError("address", address, "IP:PORT")


def _is_ipv4_address(host):
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return True

"""Decode the registrations that targets send as heartbeats."""

import re
from ipaddress import AddressValueError, IPv4Address

from banyanshore.membership.registry import TargetRow, TargetState
from banyanshore.platform.values import DecodeError, Reader, parse_object

_PORT = re.compile(r"[0-9]{1,5}")
_STATE_BY_NAME = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


def decode_registration(target_id, body):
    """Return the :class:`TargetRow` of a heartbeat.

    :param target_id: id of the target from the path of the call.
    :raises DecodeError: the heartbeat is invalid.
    """
    reader = Reader(parse_object(body))
    state = reader.string("state")
    if state not in _STATE_BY_NAME:
        raise DecodeError("state", state, f"one of {', '.join(_STATE_BY_NAME)}")
    address = reader.string("address")
    _check_address(address)
    return TargetRow(
        target_id,
        reader.string("backend"),
        address,
        reader.string("zone"),
        # Version of the target's software, not of its weights.
        reader.string("version", ""),
        reader.integer("slots"),
        _STATE_BY_NAME[state],
        reader.seconds("coldLeftMs", 0),
        # Start time of the target, in milliseconds since the epoch.
        reader.integer("born"),
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

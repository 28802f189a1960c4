"""Decode what targets say of themselves when they register."""

from banyanshore.membership.registry import TargetRow, TargetState
from banyanshore.platform.values import DecodeError, Reader, parse_object

_STATE_BY_WORD = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


def decode_registration(target_id, body):
    """Return the :class:`TargetRow` in a heartbeat.

    :param target_id: id in the path of the call.
    :raises DecodeError: it names no target that can be used.
    """
    reader = Reader(parse_object(body))
    state = reader.text("state")
    if state not in _STATE_BY_WORD:
        raise DecodeError("state", state, f"one of {', '.join(_STATE_BY_WORD)}")
    address = reader.text("address")
    _check_address(address)
    return TargetRow(
        target_id,
        reader.text("backend"),
        address,
        reader.text("zone"),
        # The version of the target's software, not of the weights that it holds.
        reader.text("version", ""),
        reader.whole("slots"),
        _STATE_BY_WORD[state],
        reader.seconds("coldLeftMs", 0),
        # The start of the target, in milliseconds since the epoch.
        reader.whole("born"),
        reader.whole("seq"),
        *decode_layers(reader),
    )


def decode_layers(reader):
    """Return the model, the version of its weights, and the layers that are held.

    :return: model, version, first layer, and the layer after the last one; an empty
        model and zeros where none is held.
    """
    models = reader.objects("models", [])
    model = models[0].text("name") if models else ""
    layers = reader.object("layers")
    if layers is None:
        return model, 0, 0, 0
    first, end = layers.whole("from", 0), layers.whole("target", 0)
    if end <= first:
        return model, 0, 0, 0
    return model, layers.whole("version", 0), first, end


def _check_address(address):
    host, _, port = address.rpartition(":")
    parts = host.split(".")
    is_host = len(parts) == 4 and all(p.isdecimal() and int(p) < 256 for p in parts)
    if not is_host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise DecodeError("address", address, "IP:PORT")

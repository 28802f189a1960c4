"""Large commands in the log take less room, and have the same outcome."""

import json
import random

import pytest

from banyanshore.state import PatchCommand, PatchStatus, StateMachine, TimedCommand
from banyanshore.state.compressed_commands import (
    CompressedCommand,
    compress_command,
    decompress_command,
)
from banyanshore.transport.codec import CodecError, decode, encode

ROUTES = 1080


def make_patch(routes):
    """Return a patch that adds a service and routes."""
    source = random.Random(routes)
    rows = {}
    for _ in range(routes):
        host = f"{source.getrandbits(28):07x}.example"
        prefix = f"/{source.getrandbits(36):09x}/"
        rows[f"{host}{prefix}"] = {
            "host": host,
            "prefix": prefix,
            "kind": "streaming",
            "services": [{"service": "desk", "weight": 1}],
            "timeout_seconds": 6.0,
            "objective_seconds": 0.405,
            "max_attempts": 2,
            "sticky": True,
            "resumable": True,
        }
    patch = {"services": {"desk": {"kind": "direct"}}, "routes": rows}
    return PatchCommand("large", 0, json.dumps(patch).encode(), 7.0)


def test_large_command_is_a_fraction_of_its_size():
    """360 KB for each voter held up all orders and heartbeats behind them."""
    command = make_patch(ROUTES)
    assert len(encode(compress_command(command))) < len(encode(command)) / 4


def test_small_command_stays_as_it_is():
    command = make_patch(1)
    assert compress_command(command) is command
    assert decompress_command(command) is command


def test_outcome_is_that_of_the_command():
    command = make_patch(ROUTES)
    plain, compressed = StateMachine(), StateMachine()
    outcome = plain.apply(1, 1, TimedCommand(1.0, command))
    assert outcome.status == PatchStatus.ACCEPTED
    sent = decode(encode(TimedCommand(1.0, compress_command(command))))
    assert compressed.apply(1, 1, sent) == outcome
    assert compressed.snapshot() == plain.snapshot()
    # The same patch sent again, by an instance that doesn't compress.
    assert compressed.apply(2, 1, TimedCommand(2.0, command)) == outcome
    assert compressed.version == 1


@pytest.mark.parametrize("kept", [0, 10, -1])
def test_damaged_command_is_refused(kept):
    data = compress_command(make_patch(ROUTES)).data
    with pytest.raises(CodecError):
        decompress_command(CompressedCommand(data[:kept]))
    with pytest.raises(CodecError):
        decompress_command(CompressedCommand(b"x" + data))

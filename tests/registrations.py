"""Registrations of targets as the platform sends them."""

import json


def make_registration(sequence, state="ready"):
    """Return the body of a heartbeat of a plain target."""
    return json.dumps(
        {
            "backend": "s",
            "address": "127.0.0.1:9",
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": state,
            "coldLeftMs": 0,
            "born": 1_700_000_000_000,
            "seq": sequence,
        }
    ).encode()

"""Heartbeats of other writers: odd values are refused, and never break what holds."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from banyanshore.platform.registration import decode_registration
from banyanshore.platform.values import DecodeError
from banyanshore.transport.codec import decode, encode

NOW = 1_700_000_000.0
HEARTBEAT = {
    "backend": "llm", "address": "10.0.0.1:8000", "zone": "a", "version": "v1",
    "slots": 4, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 2,
    "models": [{"name": "m", "version": 1}],
    "layers": {"from": 0, "target": 4, "version": 1},
}  # fmt: skip
PATHS = [(name,) for name in HEARTBEAT] + [
    ("models", 0, "name"),
    ("layers", "from"),
    ("layers", "target"),
    ("layers", "version"),
]
DEEP = "[" * 900 + "]" * 900
ODD_TEXTS = [
    str(2**64), str(2**63), "1" * 400, "1" * 5000, "1e400", "1e300", "-1", "true",
    "null", DEEP, "[" * 100_000, '"\\ud800"', json.dumps("x" * 100_000), '"\\u0000"',
    '"10.0.0.1:99999"', '"10.0.0.1:0"', '"\\u0661\\u0660.0.0.1:8000"', "{}", "[1]",
    '"10.0.0.1:\\u0668\\u0660"', '"010.0.0.1:8000"', "0.5",
]  # fmt: skip
MARK = "odd-value"


def body_with(path, text):
    document = json.loads(json.dumps(HEARTBEAT))
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = MARK
    return json.dumps(document).replace(f'"{MARK}"', text).encode()


def check(body):
    """Check that a heartbeat is refused, or makes a row that can be sent and used."""
    try:
        row = decode_registration("i-1", body, NOW)
    except DecodeError:
        return
    assert decode(encode(row)) == row
    assert row.address.isascii()
    json.dumps(row.address)


@pytest.mark.parametrize("path", PATHS, ids=lambda path: ".".join(map(str, path)))
@pytest.mark.parametrize("text", ODD_TEXTS, ids=lambda text: text[:16])
def test_odd_value_is_refused_or_can_be_sent(path, text):
    """Numbers of 2^64 were accepted, and no message with the row could be sent."""
    check(body_with(path, text))


@given(
    st.sampled_from(PATHS),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda children: (
            st.lists(children, max_size=3)
            | st.dictionaries(st.text(max_size=3), children, max_size=3)
        ),
        max_leaves=5,
    ),
)
def test_any_value_is_refused_or_can_be_sent(path, value):
    check(body_with(path, json.dumps(value)))


def test_usual_heartbeat_is_accepted():
    row = decode_registration("i-1", json.dumps(HEARTBEAT).encode(), NOW)
    assert (row.slots, row.incarnation, row.sequence) == (4, 2, 1)

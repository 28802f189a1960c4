"""An entry that is a real process ends without losing what it has taken."""

import json
import time
from signal import SIGCONT, SIGSTOP, SIGTERM

import pytest

from tests.deployment import Deployment
from tests.stopping.raw_callers import RawCaller, make_request

# Small enough that most of an answer waits in the entry.
RECEIVE_BUFFER = 8192
STOP_TIMEOUT = 10.0
PADDING = 3_000_000
# Too large for the buffers of the system.
LARGE_PADDING = 8_000_000
PATCH = {
    "services": {
        "orders": {
            "kind": "plain",
            "non_repeatable": [{"method": "POST", "path": "/orders*"}],
        }
    },
    "data_centres": {"antwerpen-a": {"in_service": True}},
}


def start(data_centres=("antwerpen-a",), **options):
    """Return a running deployment of voters and one target of a plain service."""
    deployment = Deployment(
        dict.fromkeys(data_centres, "north"),
        data_centres,
        set(range(len(data_centres))),
        **{"stop_timeout": STOP_TIMEOUT, **options},
    )
    try:
        deployment.start_entries()
        deployment.start_agent("orders-0", "antwerpen-a", "orders", "plain")
        deployment.wait_for_leader()
        deployment.wait_in_force(deployment.patch(PATCH), 20)
        deployment.wait_for_targets("orders", 1)
    except BaseException:
        deployment.close()
        raise
    return deployment


@pytest.fixture
def deployment():
    """A deployment with one entry, whose target refuses none of the callers here."""
    with start(agent_options={"admission": {"cold_limit": 16}}) as running:
        yield running


def make_caller(deployment, **options):
    return RawCaller(deployment.http_port["entry-1"], **options)


def stop(deployment):
    """Send SIGTERM to the entry; return its process."""
    process = deployment.processes["entry-1"]
    process.signal(SIGTERM)
    return process


def ask_for_order(caller, name, **document):
    """Send a call that must not be repeated."""
    body = json.dumps({"name": name, **document}).encode()
    caller.ask("POST", "/services/orders/orders", body, [f"idempotency-key: {name}"])


def test_large_answer_to_a_claimed_call_reaches_a_slow_caller(deployment):
    """It counted as ended once it was handed to the web server."""
    caller = make_caller(
        deployment, receive_buffer=RECEIVE_BUFFER, bytes_per_second=1_600_000
    )
    ask_for_order(caller, "slow", padding=LARGE_PADDING)
    assert caller.began.wait(5)
    process = stop(deployment)
    code = process.process.wait(STOP_TIMEOUT + 5)
    caller.wait()
    assert (caller.status, caller.error) == (201, ""), len(caller.received)
    assert code == 0


def test_answer_reaches_a_caller_that_sends_further_requests(deployment):
    """Requests that nobody read turned the close into a reset."""
    callers = [
        make_caller(
            deployment, receive_buffer=RECEIVE_BUFFER, bytes_per_second=1_500_000
        )
        for _ in range(4)
    ]
    further = make_request("GET", "/services/orders/items/b")
    for caller in callers:
        caller.ask("GET", "/services/orders/items/a", headers=[f"x-padding: {PADDING}"])
        caller.keep_sending(further, 0.15)
    assert all(caller.began.wait(5) for caller in callers)
    process = stop(deployment)
    code = process.process.wait(STOP_TIMEOUT + 5)
    for caller in callers:
        caller.wait()
    assert [(caller.status, caller.error) for caller in callers] == [(200, "")] * 4, [
        bytes(caller.received[:900]) for caller in callers
    ]
    assert code == 0


def test_request_whose_body_arrives_during_the_stop_is_answered(deployment):
    """Nobody waited for it, and its connection ended without an answer."""
    caller = make_caller(deployment)
    body = json.dumps({"name": "parts"}).encode()
    request = make_request("POST", "/services/orders/items/c", body)
    first, rest = request[: -len(body) // 2], request[-len(body) // 2 :]
    caller.send(first)
    time.sleep(0.3)
    process = stop(deployment)
    time.sleep(3.0)
    caller.ask_raw(rest)
    caller.wait()
    assert caller.status == 200, (caller.received, caller.error)
    assert process.process.wait(STOP_TIMEOUT + 5) == 0


def test_request_without_its_body_at_the_end_of_the_stop_is_refused_by_name():
    """Its connection ended without an answer, and no log line named it."""
    with start(stop_timeout=0.5) as deployment:
        caller = make_caller(deployment)
        caller.ask_raw(
            b"POST /services/orders/items/c HTTP/1.1\r\nhost: a\r\n"
            b"x-request-id: halfway\r\ncontent-length: 10\r\n\r\nabc"
        )
        time.sleep(0.3)
        process = stop(deployment)
        caller.wait()
        assert process.process.wait(5) == 0
        assert caller.status == 503, (caller.received, caller.error)
        assert b'"not-run"' in caller.received
        (line,) = [row for row in process.log().splitlines() if "cut off" in row]
        assert '"halfway-' in line


def test_patch_that_waits_for_a_quorum_is_answered():
    """The stop didn't wait for it, so that the operator never knew its outcome."""
    with start(("antwerpen-a", "liege-a", "brussel-a")) as deployment:
        version = deployment.state()["version"]
        frozen = [deployment.processes[name] for name in ("entry-2", "entry-3")]
        for process in frozen:
            process.signal(SIGSTOP)
        body = json.dumps({"data_centres": {"liege-a": {"in_service": True}}}).encode()
        caller = make_caller(deployment)
        caller.ask("PATCH", "/operator/v1/state", body, [f'if-match: "{version}"'])
        time.sleep(0.3)
        process = stop(deployment)
        time.sleep(2.5)
        for other in frozen:
            other.signal(SIGCONT)
        code = process.process.wait(STOP_TIMEOUT + 5)
        caller.wait()
        assert b'"version"' in caller.received or b'"outcome"' in caller.received, (
            caller.received,
            caller.error,
        )
        assert code == 0

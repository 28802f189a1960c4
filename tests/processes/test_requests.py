"""Test requests through a deployment of processes.

This covers cold starts, poisoned requests, lost connections and planned stops.
"""

import re
import signal
import threading
import time
from pathlib import Path

import anyio
import httpx
import pytest

from tests.deployment import Deployment, check_answer, initial_patch, wait_for
from tests.fakes.plain import LARGE_MEGABYTES
from tests.load import Load
from tests.network import Network
from tests.processes.conftest import DATA_CENTRES, ENTRIES, start_deployment


def run_load(deployment, rate, seconds, **options):
    urls = [deployment.url(name) for name in deployment.http_port]
    load = Load(urls, rate, **options)
    anyio.run(load.run, seconds)
    return load.results


def in_background(function):
    """Start a function in a thread; return a function that waits for its result."""
    results = []
    thread = threading.Thread(target=lambda: results.append(function()))
    thread.start()

    def wait():
        thread.join()
        return results[0]

    return wait


def total_crashes(deployment):
    return sum(
        deployment.fake_stats(f"assistant-{number}-target")["falls"]
        for number in range(len(DATA_CENTRES))
    )


def test_burst_does_not_overload_cold_targets(deployment):
    results = run_load(deployment, 150.0, 6.0, deadline=5.0)
    assert total_crashes(deployment) == 0
    for number in range(len(DATA_CENTRES)):
        stats = deployment.fake_stats(f"assistant-{number}-target")
        assert stats["max_cold"] <= 1
    answered = [r for r in results if not r.problem]
    refused = [r for r in results if r.problem]
    assert answered
    assert refused
    # Refused requests did not run, and no request is cut off or lost.
    assert {r.outcome for r in refused} == {"not-run"}


def test_refused_request_is_answered_with_retry_after(deployment):
    # tests/entry/test_proxy_wait.py checks that the wait is the same for any deadline.
    results = run_load(deployment, 150.0, 6.0, deadline=30.0)
    refused = [r for r in results if r.problem]
    assert len(refused) >= 3
    for result in refused:
        assert (result.status, result.outcome) == (503, "not-run"), result
        assert int(result.retry_after) >= 1


def test_poisoned_request_is_refused_after_at_most_two_crashes(deployment):
    innocent = Load(
        [deployment.url(name) for name in deployment.http_port], 5.0, deadline=20.0
    )
    wait = in_background(lambda: anyio.run(innocent.run))
    statuses = []
    for attempt in range(8):
        entry = f"entry-{attempt % 5 + 1}"
        response = deployment.chat(entry, "POISON", timeout=40)
        statuses.append(response.status_code)
        # A request that crashed a target must not be reported as not run.
        if total_crashes(deployment) < 2 or response.json()["outcome"] != "not-run":
            assert response.json()["outcome"] == "unknown"
        if response.status_code == 422:
            break
        time.sleep(0.5)
    assert statuses[-1] == 422, statuses
    for entry in deployment.http_port:
        response = deployment.chat(entry, "POISON", timeout=40)
        assert response.status_code == 422
        assert response.json()["outcome"] == "not-run"
    assert total_crashes(deployment) <= 2
    time.sleep(3)
    innocent.stopped = True
    wait()
    # Requests that ran at the same time are served, and none is quarantined.
    assert not [r for r in innocent.results if r.status == 422]


def test_poisoned_copies_in_two_data_centres_crash_at_most_two_targets(deployment):
    waits = [
        in_background(lambda entry=entry: deployment.chat(entry, "POISON", timeout=40))
        for entry in ("entry-1", "entry-2")
    ]
    for wait in waits:
        # A copy that was sent to the same target as the other may not have run.
        assert wait().json()["outcome"] in ("unknown", "not-run")
    assert total_crashes(deployment) <= 2


def test_entry_that_starts_again_knows_which_requests_are_quarantined(deployment):
    """Updates on crashes are sent once, and not to entries that start later."""
    for _ in range(8):
        if deployment.chat("entry-1", "POISON", timeout=40).status_code == 422:
            break
        time.sleep(0.5)
    before = total_crashes(deployment)
    process = deployment.processes["entry-5"]
    process.kill()
    process.start()
    wait_for(lambda: deployment.chat("entry-5", "sound").status_code == 200, 20)
    # Longer than any update takes to arrive.
    time.sleep(3)
    assert deployment.chat("entry-5", "POISON", timeout=40).status_code == 422
    assert total_crashes(deployment) == before


def test_order_resent_after_its_entry_was_killed_runs_once(deployment):
    def send():
        try:
            deployment.order("entry-1", "slow", "slow-key", seconds=2.0)
        except httpx.HTTPError:
            return "broken"

    wait = in_background(send)
    time.sleep(0.7)
    deployment.processes["entry-1"].kill()
    assert wait() == "broken"
    early = deployment.order("entry-2", "slow", "slow-key", seconds=2.0)
    assert early.status_code in (201, 409, 503)
    response = wait_for(
        lambda: _done(deployment.order("entry-2", "slow", "slow-key", seconds=2.0)),
        15,
        0.3,
        "the stored answer",
    )
    assert response.json() == {"order": "slow", "run": 1}
    runs = [
        deployment.fake_stats(f"orders-{number}-target")["runs"].get("slow", 0)
        for number in range(len(DATA_CENTRES))
    ]
    assert sum(runs) == 1


def _done(response):
    return response if response.status_code == 201 else None


def test_order_with_a_truncated_answer_is_unknown_and_not_run_again(deployment):
    first = deployment.order("entry-1", "BREAK", "break-key")
    again = deployment.order("entry-2", "BREAK", "break-key")
    for response in (first, again):
        assert response.status_code in (409, 502)
        assert response.json()["outcome"] == "unknown"
    runs = [
        deployment.fake_stats(f"orders-{number}-target")["runs"].get("BREAK", 0)
        for number in range(len(DATA_CENTRES))
    ]
    assert sum(runs) == 1


def test_truncated_answer_is_not_passed_on_as_complete(deployment):
    url = f"{deployment.url('entry-1')}/services/orders/items/broken-off"
    with pytest.raises(httpx.RemoteProtocolError):
        deployment.client.get(url, timeout=20)
    # The entry and the connections of other requests still work.
    assert deployment.order("entry-1", "after", "after-key").status_code == 201


def resident_bytes(process):
    status = Path(f"/proc/{process.pid}/status").read_text()
    return 1024 * int(re.search(r"VmRSS:\s+(\d+)", status).group(1))


def test_slow_caller_of_a_large_answer_uses_little_memory(deployment):
    size = LARGE_MEGABYTES * 1024 * 1024
    names = ["entry-1", "orders-0", "orders-1", "orders-2"]
    processes = [deployment.processes[name] for name in names]
    before = [resident_bytes(process) for process in processes]
    url = f"{deployment.url('entry-1')}/services/orders/items/large"
    with deployment.client.stream("GET", url, timeout=60) as response:
        pieces = response.iter_raw()
        received = len(next(pieces))
        # Other requests are served meanwhile, over the same connections.
        for number in range(40):
            order = deployment.order("entry-1", f"beside-{number}", f"key-{number}")
            assert order.status_code == 201
        growth = [
            resident_bytes(process) - resident_before
            for process, resident_before in zip(processes, before, strict=True)
        ]
        assert max(growth) <= size / 5
        received += sum(len(piece) for piece in pieces)
    assert received == size


def test_entry_stops_without_cutting_off_a_request(deployment):
    wait = in_background(
        lambda: deployment.chat("entry-2", "long", stream=True, max_tokens=150)
    )
    time.sleep(0.6)
    process = deployment.processes["entry-2"]
    process.signal(signal.SIGTERM)
    time.sleep(0.2)
    refused = deployment.chat("entry-2", "late")
    assert refused.status_code == 503
    assert refused.json()["outcome"] == "not-run"
    response = wait()
    assert response.text.endswith("data: [DONE]\n\n")
    assert process.process.wait(10) == 0


@pytest.fixture
def hasty():
    """A deployment whose entries wait for half a second when they stop."""
    with start_deployment(stop_timeout=0.5) as deployment:
        yield deployment


def stop_entry_soon(deployment):
    """Ask an entry to stop while a request runs there; return its process."""
    time.sleep(0.6)
    process = deployment.processes["entry-2"]
    process.signal(signal.SIGTERM)
    return process.process


def test_entry_that_stops_answers_a_request_that_outlasts_its_stop(hasty):
    """Its caller got a 500 of the web server, without an outcome."""
    wait = in_background(lambda: hasty.chat("entry-2", "long", max_tokens=600))
    process = stop_entry_soon(hasty)
    response = wait()
    assert response.status_code == 502
    assert response.json()["outcome"] == "unknown"
    assert process.wait(10) == 0


def test_entry_that_stops_ends_a_stream_that_outlasts_its_stop_with_an_error(hasty):
    """It broke off without an event that tells so."""
    received = []

    def read_stream():
        body = {
            "model": "assistant",
            "messages": [{"role": "user", "content": "long"}],
            "stream": True,
            "max_tokens": 600,
        }
        url = f"{hasty.url('entry-2')}/v1/chat/completions"
        with hasty.client.stream("POST", url, json=body) as response:
            received.extend(response.iter_lines())

    def read_until_broken_off():
        with pytest.raises(httpx.RemoteProtocolError):
            read_stream()

    wait = in_background(read_until_broken_off)
    process = stop_entry_soon(hasty)
    wait()
    assert '"outcome": "unknown"' in [line for line in received if line][-1]
    assert process.wait(10) == 0


def test_agent_stops_without_cutting_off_a_request(deployment):
    wait = in_background(
        lambda: deployment.chat("entry-1", "long", stream=True, max_tokens=150)
    )
    time.sleep(0.6)
    name = next(
        f"assistant-{number}"
        for number in range(3)
        if deployment.fake_stats(f"assistant-{number}-target")["in_flight"]
    )
    process = deployment.processes[name]
    process.signal(signal.SIGTERM)
    time.sleep(0.5)
    before = deployment.fake_stats(f"{name}-target")["runs"]
    # New requests go elsewhere while those in flight finish.
    for number in range(6):
        check_answer(deployment.chat("entry-1", f"new-{number}"), f"new-{number}")
    assert deployment.fake_stats(f"{name}-target")["runs"] == before
    assert wait().text.endswith("data: [DONE]\n\n")
    assert process.process.wait(10) == 0
    assert "cut off" not in process.log()


def test_lone_caller_spills_to_an_idle_data_centre_between_digests():
    # A digest built while the caller's request ran reports the other data centre as
    # full, although it is idle again long before the next digest.
    options = {"digest_interval": 3.0, "routing": {"target_expiry": 10.0}}
    agent_options = {"admission": {"cold_seconds": 60.0}}
    with start_deployment(agent_options=agent_options, **options) as deployment:
        process = deployment.processes["assistant-0"]
        process.signal(signal.SIGTERM)
        assert process.process.wait(10) == 0
        for number in range(24):
            response = deployment.chat("entry-1", f"lone-{number}")
            check_answer(response, f"lone-{number}")


def stream_during_a_stop(deployment, entry, *numbers):
    """Stop an entry by two signals during a stream; return its text, and the log."""

    def send():
        try:
            return deployment.chat(entry, "cut", stream=True, max_tokens=600).text
        except httpx.HTTPError:
            return ""

    wait = in_background(send)
    time.sleep(0.6)
    process = deployment.processes[entry]
    process.signal(numbers[0])
    time.sleep(0.6)
    assert process.process.poll() is None
    process.signal(numbers[1])
    assert process.process.wait(30) == 0
    return wait(), process.log()


def test_second_interrupt_forces_a_stop_and_logs_requests_cut_off(deployment):
    text, log = stream_during_a_stop(
        deployment, "entry-2", signal.SIGINT, signal.SIGINT
    )
    assert "requests cut off" in log
    # The caller can detect this: a complete answer ends with the marker.
    assert "[DONE]" not in text


def test_second_sigterm_cuts_off_no_request(deployment):
    """It ended the process at once, with the requests in flight."""
    text, log = stream_during_a_stop(
        deployment, "entry-4", signal.SIGTERM, signal.SIGTERM
    )
    assert "requests cut off" not in log
    assert "[DONE]" in text


def test_answer_is_resumed_when_its_connection_goes_silent():
    network = Network()
    with Deployment(DATA_CENTRES, ENTRIES, {0, 1, 2}, network=network) as deployment:
        deployment.start_origin()
        deployment.start_entries()
        deployment.start_agent("assistant-0", "antwerpen-a", "assistant")
        deployment.wait_for_leader()
        deployment.patch(initial_patch(deployment))
        deployment.wait_for_targets("assistant", 1)
        wait = in_background(
            lambda: deployment.chat("entry-1", "long", stream=True, max_tokens=400)
        )
        # Only a connection that is open and carries the answer can be silenced.
        wait_for(lambda: deployment.fake_stats("assistant-0-target")["in_flight"])
        time.sleep(0.5)
        network.silence(["*"], ["assistant-0"])
        response = wait()
        events = [line for line in response.text.splitlines() if line]
        assert events[-1] == "data: [DONE]"
        assert len(events) == 401
        metrics = deployment.client.get(f"{deployment.url('entry-1')}/metrics").text
        assert "banyanshore_resumed_answers_total 1.0" in metrics
        assert deployment.fake_stats("assistant-0-target")["runs"] == {"long": 1}


def test_data_centre_out_of_service_gets_no_new_requests_and_loses_none(deployment):
    wait = in_background(
        lambda: deployment.chat("entry-2", "long", stream=True, max_tokens=300)
    )
    time.sleep(0.5)
    deployment.patch({"data_centres": {"liege-a": {"in_service": False}}})
    time.sleep(1.0)
    stats = deployment.fake_stats("assistant-1-target")
    for number in range(10):
        entry = f"entry-{number % 5 + 1}"
        check_answer(deployment.chat(entry, f"out-{number}"), f"out-{number}")
    assert deployment.fake_stats("assistant-1-target")["runs"] == stats["runs"]
    assert wait().text.endswith("data: [DONE]\n\n")
    deployment.patch({"data_centres": {"liege-a": {"in_service": True}}})
    time.sleep(1.0)
    check_answer(deployment.chat("entry-2", "back"), "back")
    assert deployment.fake_stats("assistant-1-target")["runs"].get("back") == 1


def test_restarted_agent_does_not_overload_its_busy_target(deployment):
    run = in_background(lambda: run_load(deployment, 40.0, 8.0, deadline=6.0))
    time.sleep(2.5)
    for number in range(3):
        process = deployment.processes[f"assistant-{number}"]
        process.kill()
        process.start()
        time.sleep(1.0)
    run()
    assert total_crashes(deployment) == 0

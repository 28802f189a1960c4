"""Test requests, patches and commands end to end through separate processes."""

import json
import subprocess
import sys

import pytest

from tests.deployment import check_answer, wait_for

pytestmark = pytest.mark.usefixtures("shared_deployment")


def run_command(deployment, *arguments):
    """Run a management command and return the finished process."""
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "banyanshore.management",
            *arguments,
            f"--entry={deployment.url('entry-1')}",
        ],
        capture_output=True,
        text=True,
        check=False,
    )


def test_every_entry_returns_a_complete_answer(shared_deployment):
    for entry in shared_deployment.http_port:
        response = shared_deployment.chat(entry, f"hello {entry}".replace(" ", "-"))
        check_answer(response, f"hello-{entry}", "v1")


def test_streamed_answer_ends_with_the_done_marker(shared_deployment):
    response = shared_deployment.chat("entry-2", "streamed", stream=True)
    events = [line for line in response.text.splitlines() if line]
    assert events[-1] == "data: [DONE]"
    assert len(events) == 11


def test_trace_context_reaches_the_target(shared_deployment):
    trace_id = "4bf92f3577b34da6a3ce929d0e0e4736"
    response = shared_deployment.client.post(
        f"{shared_deployment.url('entry-1')}/v1/chat/completions",
        json={"model": "assistant", "messages": [{"role": "user", "content": "t"}]},
        headers={"traceparent": f"00-{trace_id}-00f067aa0ba902b7-01"},
    )
    target = response.headers["x-banyanshore-target"]

    def has_span_of_each_hop():
        text = "".join(
            (shared_deployment.folder / f"{name}.trace").read_text()
            for name in ("entry-1", target)
        )
        spans = [json.loads(line) for line in text.splitlines()]
        own_spans = [s for s in spans if s["context"]["trace_id"].endswith(trace_id)]
        return {span["name"] for span in own_spans} >= {"entry", "agent", "engine"}

    wait_for(has_span_of_each_hop, 5, what="a span for each hop")


def test_repeated_order_runs_once(shared_deployment):
    first = shared_deployment.order("entry-1", "once", "key-once")
    again = shared_deployment.order("entry-3", "once", "key-once")
    assert first.status_code == again.status_code == 201
    assert first.json() == again.json()
    assert again.headers["idempotent-replayed"] == "true"


def test_key_reused_for_another_body_is_refused(shared_deployment):
    shared_deployment.order("entry-1", "mine", "key-reused")
    response = shared_deployment.order("entry-2", "other", "key-reused")
    assert response.status_code == 422
    assert response.json()["outcome"] == "not-run"


def test_stale_patch_is_refused_with_the_current_version(shared_deployment):
    version = shared_deployment.state()["version"]
    response = shared_deployment.send_patch({}, version - 1)
    assert response.status_code == 412
    assert response.json()["version"] == version


def test_patch_without_a_version_is_refused(shared_deployment):
    response = shared_deployment.client.patch(
        f"{shared_deployment.url('entry-1')}/operator/v1/state", content="{}"
    )
    assert response.status_code == 428


@pytest.mark.parametrize(
    ("content", "status"),
    [
        (b"{", 400),
        (b"[]", 400),
        (b'{"nonsense": {}}', 422),
        (b'{"models": 3}', 422),
        (b'{"workspaces": {"w": {"priority": NaN}}}', 400),
        (b"[" * 100_000, 400),
        (b'{"a": ' + b"[" * 600 + b"]" * 600 + b"}", 400),
    ],
)
def test_invalid_patch_is_rejected_with_a_detail(shared_deployment, content, status):
    version = shared_deployment.state()["version"]
    response = shared_deployment.client.patch(
        f"{shared_deployment.url('entry-1')}/operator/v1/state",
        content=content,
        headers={"if-match": str(version)},
    )
    assert response.status_code == status
    assert response.json()["detail"]
    assert shared_deployment.state()["version"] == version


def test_resent_patch_returns_the_first_outcome(shared_deployment):
    version = shared_deployment.state()["version"]
    patch = {"workspaces": {"w": {"priority": 1}}}
    first = shared_deployment.send_patch(patch, version, "entry-1", "patch-1")
    again = shared_deployment.send_patch(patch, version, "entry-4", "patch-1")
    assert first.status_code == again.status_code == 200
    assert first.json()["version"] == again.json()["version"] == version + 1


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"{", 400),
        (b"[" * 100_000, 400),
        (b'{"model": 3}', 400),
        (b'{"model": "assistant"}', 400),
        (b'{"model": "none", "messages": [{}]}', 404),
        (b" " * (5 * 1024 * 1024), 413),
    ],
)
def test_invalid_request_is_rejected_as_not_run(shared_deployment, body, status):
    response = shared_deployment.client.post(
        f"{shared_deployment.url('entry-1')}/v1/chat/completions", content=body
    )
    assert response.status_code == status
    assert response.json()["outcome"] == "not-run"


def test_unknown_service_is_not_found(shared_deployment):
    response = shared_deployment.order("entry-1", "x", "k", service="nothing")
    assert response.status_code == 404


def test_command_line_patches_and_waits(shared_deployment):
    version = shared_deployment.state()["version"]
    patch = '{"workspaces": {"cli": {"priority": 2}}}'
    accepted = run_command(
        shared_deployment, "patch", patch, f"--version={version}", "--wait=10"
    )
    assert accepted.returncode == 0, accepted.stderr
    assert f"version {version + 1}" in accepted.stdout
    rejected = run_command(shared_deployment, "patch", patch, f"--version={version}")
    assert rejected.returncode == 3
    assert "Traceback" not in rejected.stderr


def test_command_line_shows_status_and_state(shared_deployment):
    status = run_command(shared_deployment, "status")
    assert status.returncode == 0
    assert "entry-5" in status.stdout
    document = run_command(shared_deployment, "get", "--json")
    assert json.loads(document.stdout)["current"] is True


def test_metrics_are_served(shared_deployment):
    response = shared_deployment.client.get(
        f"{shared_deployment.url('entry-1')}/metrics"
    )
    assert "banyanshore_requests_total" in response.text

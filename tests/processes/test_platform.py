"""Test the platform's roles as separate processes in front of fake replicas."""

import json
import signal
import sys
import tempfile
from pathlib import Path

import httpx
import pytest
import yaml

from tests.deployment import Process, wait_for
from tests.fakes.replica import CHUNK_BYTES, CHUNKS, LAYERS, MODEL
from tests.ports import free_ports

ZONES = ["a", "b", "c"]


class PlatformDeployment:
    """Run control instances, gateways, replicas with their loaders, and an origin."""

    def __init__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="banyanshore-platform-"))
        self.processes = {}
        self.peer_ports = {}
        # All peers use the same port, each on its own loopback address.
        self.peer_port = free_ports(1)[0]
        self.control = [f"127.0.0.{11 + i}:{free_ports(1)[0]}" for i in range(3)]
        self.gateways = [f"127.0.0.{21 + i}:{free_ports(1)[0]}" for i in range(2)]
        self.replica_ports = free_ports(3)
        self.origin_port = free_ports(1)[0]
        self.number = 0

    def __enter__(self):
        return self

    def __exit__(self, *details):
        for process in self.processes.values():
            process.kill()

    def spawn(self, name, *command):
        process = Process(name, [sys.executable, "-m", *command], self.folder)
        self.processes[name] = process
        return process

    def spawn_role(self, name, settings):
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return self.spawn(name, "banyanshore.daemon", f"--settings={path}")

    def peer_settings(self, host):
        return {
            "peers_bind": f"{host}:{self.peer_port}",
            "peer_port": self.peer_port,
            "seeds": self.control,
        }

    def start(self):
        self.spawn("origin", "tests.fakes.replica", f"--port={self.origin_port}")
        for number, address in enumerate(self.control):
            self.spawn_role(
                f"core-{number}",
                {
                    "role": "control",
                    "instance": f"core-{number}",
                    "data_centre": ZONES[number],
                    "control_bind": address,
                    "data_dir": str(self.folder / f"data-{number}"),
                    **self.peer_settings(address.partition(":")[0]),
                },
            )
        for number, address in enumerate(self.gateways):
            host = address.partition(":")[0]
            self.spawn_role(
                f"edge-{number}",
                {
                    "role": "gateway",
                    "instance": f"edge-{number}",
                    "data_centre": ZONES[number],
                    "region": ZONES[number],
                    "regions": {zone: zone for zone in ZONES},
                    "callers_bind": address,
                    "ready_bind": f"{host}:{self.peer_port + 1}",
                    **self.peer_settings(host),
                },
            )
        for number, port in enumerate(self.replica_ports):
            self.start_replica(number, port, int(number < 2))

    def start_replica(self, number, port, version):
        self.spawn(
            f"replica-{number}",
            "tests.fakes.replica",
            f"--port={port}",
            f"--control={','.join(self.control)}",
            f"--zone={ZONES[number]}",
            f"--version={version}",
        )
        self.spawn_role(
            f"side-{number}",
            {
                "role": "loader",
                "instance": f"side-{number}",
                "data_centre": ZONES[number],
                "region": ZONES[number],
                "service": "llm",
                "target_address": f"127.0.0.1:{port}",
                "target_wait_seconds": 5.0,
                "version_bound_ms": 1111.0,
                **self.peer_settings(f"127.0.0.{31 + number}"),
            },
        )

    def declaration(self, number, **route):
        row = {
            "name": "r", "hostname": "a.example", "pathPrefix": "/p/",
            "routeType": "streaming", "resumable": True, "timeoutMs": 5000,
            "sloMs": 500, "backend": "llm", "maxAttempts": 2, **route,
        }  # fmt: skip
        runtime = {
            "slots": 4, "layers": LAYERS, "chunkCount": CHUNKS,
            "blockBytes": CHUNK_BYTES, "models": [{"name": MODEL}],
        }  # fmt: skip
        return {
            "version": number,
            "routes": [row],
            "backends": [
                {"name": "llm", "maxConns": 50, "runtime": runtime},
                {"name": "origin", "upstream": f"127.0.0.1:{self.origin_port}",
                 "zone": "a"},
            ],
            "tenants": [{"name": "w", "apiKeys": ["key"]}],
        }  # fmt: skip

    def call_control(self, node, method, path, body=None, seconds=4.0):
        content = None if body is None else json.dumps(body)
        return httpx.request(
            method,
            f"http://{self.control[node]}{path}",
            content=content,
            timeout=seconds,
        )

    def log_rows(self, name, **fields):
        """Return the rows of a process's log with these field values."""
        lines = self.processes[name].log().splitlines()
        rows = [json.loads(line) for line in lines if line.endswith("}")]
        return [row for row in rows if fields.items() <= row.items()]

    def version_in_force(self, name):
        """Return the latest version of the desired state that a process has logged."""
        rows = self.log_rows(name, logger="banyanshore.state.holder")
        return max((int(row["message"].split()[1]) for row in rows), default=0)

    def send_until_accepted(self, node, method, path, body=None):
        def check():
            return self.call_control(node, method, path, body).status_code == 200

        wait_for(check, 20, 0.1, f"{method} {path} is accepted")

    def send_request(self, gateway, key="key", path="/p/1"):
        self.number += 1
        headers = {
            "host": "a.example", "request-id": f"q-{self.number}", "model": MODEL,
            "deadline-ms": "3000", "authorization": f"Bearer {key}",
        }  # fmt: skip
        return httpx.get(
            f"http://{self.gateways[gateway]}{path}", headers=headers, timeout=5
        )

    def is_served(self, gateway):
        return self.send_request(gateway).status_code == 200

    def stats(self, number):
        return httpx.get(f"http://127.0.0.1:{self.replica_ports[number]}/stats").json()

    def is_ready(self, gateway):
        host = self.gateways[gateway].partition(":")[0]
        url = f"http://{host}:{self.peer_port + 1}/api/readyz"
        return httpx.get(url).status_code == 200


@pytest.fixture(scope="module")
def deployment():
    with PlatformDeployment() as running:
        running.start()
        running.send_until_accepted(0, "PUT", "/api/config", running.declaration(1))
        for gateway in (0, 1):
            wait_for(lambda g=gateway: running.is_served(g), 20, what="served")
        yield running


def test_valid_requests_are_served_and_others_are_rejected(deployment):
    for gateway in (0, 1):
        answer = deployment.send_request(gateway)
        assert answer.text == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        assert answer.headers["replica-signature"] == "s"
        assert deployment.send_request(gateway, key="none").status_code == 401
        assert deployment.send_request(gateway, path="/q/").status_code == 404
        assert deployment.is_ready(gateway)
    tenants = {run[2] for n in range(3) for run in deployment.stats(n)["runs"]}
    assert tenants == {"w"}


def test_newest_declaration_is_returned_by_all_control_instances_and_applied(
    deployment,
):
    newest = deployment.declaration(5, pathPrefix="/n/")
    deployment.send_until_accepted(1, "PUT", "/api/config", newest)
    for node in range(3):
        assert deployment.call_control(node, "GET", "/api/config").json() == newest
        # An older version, or the same version with other content, changes nothing.
        for number in (3, 5):
            body = deployment.declaration(number)
            assert (
                deployment.call_control(node, "PUT", "/api/config", body).status_code
                == 200
            )
        assert deployment.call_control(node, "GET", "/api/config").json() == newest
    for gateway in (0, 1):
        wait_for(
            lambda g=gateway: deployment.send_request(g, path="/n/").status_code == 200,
            2,
        )
        assert deployment.send_request(gateway).status_code == 404
    deployment.send_until_accepted(2, "PUT", "/api/config", deployment.declaration(6))
    for gateway in (0, 1):
        wait_for(lambda g=gateway: deployment.is_served(g), 2)


def test_invalid_declaration_is_refused_with_the_reason(deployment):
    invalid = deployment.declaration(90, timeoutMs=0)
    answer = deployment.call_control(0, "PUT", "/api/config", invalid)
    assert answer.status_code == 400
    assert "timeout_seconds" in answer.json()["error"]
    assert deployment.call_control(0, "GET", "/api/config").json()["version"] < 90


def test_replica_without_layers_is_loaded(deployment):
    wait_for(lambda: deployment.stats(2)["loads"], 15, what="loaded")
    assert deployment.stats(2)["loads"][0] == [1, True]


def test_drained_data_centre_gets_no_requests_until_it_is_restored(deployment):
    deployment.send_until_accepted(0, "POST", "/api/drain/a")
    # Control answers once it has applied the order; gateways have five seconds.
    order = wait_for(lambda: deployment.log_rows("core-0", order="data-centre"), 5)[-1]
    assert order["in_service"] is False
    wait_for(lambda: deployment.version_in_force("edge-0") >= order["version"], 5)
    before = len(deployment.stats(0)["runs"])
    for _ in range(10):
        assert deployment.is_served(0)
    assert len(deployment.stats(0)["runs"]) == before
    deployment.send_until_accepted(1, "DELETE", "/api/drain/a")

    def runs_again():
        deployment.send_request(0)
        return len(deployment.stats(0)["runs"]) > before

    wait_for(runs_again, 5)


def test_new_weights_are_complete_at_all_replicas_and_served(deployment):
    deployment.send_until_accepted(
        0, "POST", "/api/version-put", {"model": MODEL, "version": 2}
    )
    for number in range(3):
        wait_for(lambda n=number: [2, True] in deployment.stats(n)["loads"], 20)
    for number in range(3):
        assert all(is_complete for _, is_complete in deployment.stats(number)["loads"])
    for gateway in (0, 1):
        wait_for(lambda g=gateway: deployment.is_served(g), 5)
    assert any(run[1] == 2 for n in range(3) for run in deployment.stats(n)["runs"])


def test_requests_and_declarations_survive_the_loss_of_a_control_instance(deployment):
    deployment.processes["core-0"].kill()
    assert deployment.is_served(0)
    deployment.send_until_accepted(1, "PUT", "/api/config", deployment.declaration(20))
    assert deployment.call_control(2, "GET", "/api/config").json()["version"] == 20
    deployment.processes["core-0"].start()
    wait_for(
        lambda: (
            deployment.call_control(0, "GET", "/api/config").json()["version"] == 20
        ),
        15,
    )


def test_stopping_gateway_still_serves_requests(deployment):
    process = deployment.processes["edge-1"]
    process.signal(signal.SIGTERM)
    wait_for(lambda: not deployment.is_ready(1), 2)
    assert deployment.send_request(1).status_code == 200
    assert process.process.wait(10) == 0
    process.start()
    wait_for(lambda: deployment.is_served(1), 15)

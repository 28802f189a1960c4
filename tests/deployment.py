"""Run entries, agents and fake targets on loopback as separate processes."""

import contextlib
import json
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import httpx
import yaml

from banyanshore.weights.manifest import make_manifest
from tests.fakes.origin import make_weights
from tests.ports import free_ports

ROOT = Path(__file__).resolve().parent.parent
CHUNK_BYTES = 65_536


def wait_for(check, seconds=15.0, step=0.05, what="condition"):
    """Poll a check and return its first true value; fail after a timeout."""
    deadline = time.monotonic() + seconds
    last = None
    while time.monotonic() < deadline:
        with contextlib.suppress(httpx.HTTPError, OSError):
            last = check()
            if last:
                return last
        time.sleep(step)
    raise AssertionError(
        f"timed out after {seconds} s waiting for {what}; last: {last!r}"
    )


class Process:
    """A child process, which is signalled only by its own id."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = command
        self.log_path = folder / f"{name}.log"
        self.process = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=log
            )

    @property
    def pid(self):
        return self.process.pid

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def stop(self, seconds=10):
        if self.process.poll() is None:
            self.process.terminate()
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def log(self):
        return self.log_path.read_text(errors="replace")


class Deployment:
    """Entries in data centres, with agents and their targets.

    :param data_centres: data centre to region.
    :param entries: data centre of each entry, in order.
    :param voters: positions of the entries that are voters.
    :param weights_size: bytes of the weights of each version.
    :param network: the :class:`~tests.network.Network` whose relays connect the
        instances, ``None`` for direct connections.
    :param agent_options: settings of all agents.
    :param entry_options: settings of all entries.
    """

    def __init__(
        self,
        data_centres,
        entries,
        voters,
        weights_size=1_000_000,
        network=None,
        agent_options=None,
        **entry_options,
    ):
        self.network = network
        self.agent_options = agent_options or {}
        self.folder = Path(tempfile.mkdtemp(prefix="banyanshore-"))
        self.data_centres = data_centres
        self.weights_size = weights_size
        self.entry_options = entry_options
        self.processes = {}
        self.fake_port_by_name = {}
        self.entry_rows = []
        ports = free_ports(2 * len(entries))
        self.http_port = {}
        for position, data_centre in enumerate(entries):
            name = f"entry-{position + 1}"
            self.http_port[name] = ports[2 * position]
            self.entry_rows.append(
                {
                    "instance": name,
                    "data_centre": data_centre,
                    "region": data_centres[data_centre],
                    "address": f"127.0.0.1:{ports[2 * position + 1]}",
                    "voter": position in voters,
                }
            )
        self.client = httpx.Client(timeout=30, trust_env=False)

    def __enter__(self):
        return self

    def __exit__(self, *details):
        self.close()

    def close(self):
        for process in self.processes.values():
            if process.process.poll() is None:
                process.process.send_signal(signal.SIGCONT)
                process.kill()
        self.client.close()
        if self.network is not None:
            self.network.close()

    def spawn(self, name, *command):
        process = Process(name, [sys.executable, "-m", *command], self.folder)
        self.processes[name] = process
        return process

    def entry_rows_for(self, instance):
        """Return the entries with the addresses at which an instance reaches them."""
        if self.network is None:
            return self.entry_rows
        return [
            row
            if row["instance"] == instance
            else {
                **row,
                "address": self.network.address(
                    instance, row["instance"], row["address"]
                ),
            }
            for row in self.entry_rows
        ]

    def start_entries(self, names=None):
        for row in self.entry_rows:
            if names is None or row["instance"] in names:
                self.start_entry(row)

    def start_entry(self, row):
        name = row["instance"]
        settings = {
            "role": "entry",
            "instance": name,
            "data_centre": row["data_centre"],
            "region": row["region"],
            "callers_bind": f"127.0.0.1:{self.http_port[name]}",
            "peers_bind": row["address"],
            "entries": self.entry_rows_for(name),
            "trace_file": str(self.folder / f"{name}.trace"),
            **self.entry_options,
        }
        if row["voter"]:
            settings["data_dir"] = str(self.folder / f"{name}.data")
        self.start_daemon(name, settings)

    def start_daemon(self, name, settings):
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return self.spawn(name, "banyanshore.daemon", "--settings", str(path))

    def start_fake(self, name, kind, *flags):
        (port,) = free_ports(1)
        self.fake_port_by_name[name] = port
        return self.spawn(name, f"tests.fakes.{kind}", f"--port={port}", *flags)

    def start_agent(
        self,
        name,
        data_centre,
        service,
        kind="model",
        flags=(),
        engine_options=None,
        **more,
    ):
        """Start a target and its agent."""
        fake = {"model": "engine", "plain": "plain"}[kind]
        target = f"{name}-target"
        if target not in self.processes:
            self.start_fake(target, fake, *flags)
        (port,) = free_ports(1)
        address = f"127.0.0.1:{port}"
        if self.network is not None:
            # All others reach the agent through one relay.
            more.setdefault("advertise", self.network.address("*", name, address))
        settings = {
            "role": "agent",
            "instance": name,
            "data_centre": data_centre,
            "region": self.data_centres[data_centre],
            "service": service,
            "peers_bind": address,
            "entries": self.entry_rows_for(name),
            "engine": {
                "url": self.fake_url(target),
                "kind": kind,
                **(engine_options or {}),
            },
            "trace_file": str(self.folder / f"{name}.trace"),
            **self.agent_options,
            **more,
        }
        return self.start_daemon(name, settings)

    def fake_url(self, name):
        return f"http://127.0.0.1:{self.fake_port_by_name[name]}"

    def fake_stats(self, name):
        return self.client.get(f"{self.fake_url(name)}/fake/stats").json()

    def fake_control(self, name, **order):
        self.client.post(f"{self.fake_url(name)}/fake/control", json=order)

    def url(self, entry):
        return f"http://127.0.0.1:{self.http_port[entry]}"

    # Requests of operators and callers.

    def status(self, entry="entry-1"):
        return self.client.get(f"{self.url(entry)}/operator/v1/status").json()

    def state(self, entry="entry-1"):
        return self.client.get(f"{self.url(entry)}/operator/v1/state").json()

    def send_patch(self, patch, version, entry="entry-1", request_id="", timeout=30):
        headers = {"if-match": f'"{version}"'}
        if request_id:
            headers["x-request-id"] = request_id
        return self.client.patch(
            f"{self.url(entry)}/operator/v1/state",
            content=json.dumps(patch),
            headers=headers,
            timeout=timeout,
        )

    def patch(self, patch, entry="entry-1"):
        """Patch the current version of the state and return the new version."""
        response = wait_for(
            lambda: self._try_patch(patch, entry), 20, 0.1, "accepted patch"
        )
        return response.json()["version"]

    def _try_patch(self, patch, entry):
        state = self.state(entry)
        response = self.send_patch(patch, state["version"], entry)
        assert response.status_code not in (400, 422, 428), response.text
        return response if response.status_code == 200 else None

    def wait_for_leader(self, entry="entry-1", seconds=15):
        return wait_for(
            lambda: self.state(entry).get("current"), seconds, 0.05, "a leader"
        )

    def wait_in_force(self, version, seconds=10, entry="entry-1"):
        wait_for(
            lambda: (
                self.status(entry)["state"]["version"] >= version
                and not self.status(entry)["behind"]
            ),
            seconds,
            0.05,
            f"version {version} in force everywhere",
        )

    def wait_for_targets(self, service, count, seconds=30, entry="entry-1"):
        wait_for(
            lambda: self.serving(service, entry) >= count,
            seconds,
            0.05,
            f"{count} targets of {service}",
        )

    def serving(self, service, entry="entry-1"):
        rows = self.status(entry)["data_centres"].values()
        return sum(row["services"].get(service, {}).get("serving", 0) for row in rows)

    def model_row(self, model, version):
        data = make_weights(model, version, self.weights_size)
        manifest = make_manifest(model, version, data, CHUNK_BYTES)
        base = f"{self.fake_url('origin')}/models/{model}/{version}"
        return {
            "version": version,
            "manifest_digest": manifest.digest,
            "manifest_url": f"{base}/manifest",
            "weights_url": f"{base}/weights",
        }

    def start_origin(self, *flags):
        self.start_fake(
            "origin",
            "origin",
            f"--size={self.weights_size}",
            f"--chunk_bytes={CHUNK_BYTES}",
            *flags,
        )
        url = self.fake_url("origin")
        wait_for(lambda: self.client.get(f"{url}/fake/stats").status_code == 200)

    def chat(self, entry, content, timeout=30, **document):
        body = {
            "model": document.pop("model", "assistant"),
            "messages": [{"role": "user", "content": content}],
            **document,
        }
        return self.client.post(
            f"{self.url(entry)}/v1/chat/completions", json=body, timeout=timeout
        )

    def order(self, entry, name, key, timeout=30, service="orders", **document):
        return self.client.post(
            f"{self.url(entry)}/services/{service}/orders",
            json={"name": name, **document},
            headers={"idempotency-key": key} if key else {},
            timeout=timeout,
        )


def initial_patch(deployment, model="assistant", version="v1"):
    """Return the patch that declares the services of the tests and the demo."""
    return {
        "models": {model: deployment.model_row(model, version)},
        "services": {
            model: {"kind": "model", "model": model},
            "orders": {
                "kind": "plain",
                "non_repeatable": [{"method": "POST", "path": "/orders*"}],
            },
        },
        "data_centres": {
            name: {"in_service": True} for name in deployment.data_centres
        },
    }


def check_answer(response, content, version=None):
    """Assert that an answer is complete, from one version and to this request."""
    assert response.status_code == 200, response.text
    text = response.json()["choices"][0]["message"]["content"]
    tokens = text.split(" ")[:-1]
    assert tokens, "an empty answer"
    versions = set()
    for index, token in enumerate(tokens):
        token_version, echo, number = token.split("|")
        assert echo == content, f"{content!r} got the answer to {echo!r}"
        assert int(number) == index, "a token is missing"
        versions.add(token_version)
    assert len(versions) == 1, f"mixed versions: {versions}"
    assert versions == {response.headers["x-model-version"]}
    if version is not None:
        assert versions == {version}
    return tokens

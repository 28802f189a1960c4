"""The project's own programs, as processes on loopback addresses.

They are started as ``deploy/system.toml`` starts them, with settings like those that
the templates make for a small deployment. Each instance has a loopback address of its
own, since the peer port is the same on all instances.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
ZONES = ("a", "b", "c")
REGIONS = {"a": "ra", "b": "rb", "c": "rc"}
WEIGHTS = {
    "grant_seconds": 1.0,
    "roster_wait": 0.0,
    "stall_timeout": 1.5,
    "yield_delay_seconds": 0,
}


def choose_net():
    """Return the first three numbers of a loopback network, and a free base port."""
    source = random.SystemRandom()
    while True:
        net = f"127.{source.randrange(1, 250)}.{source.randrange(1, 250)}"
        port = source.randrange(20_000, 29_000, 20)
        try:
            for offset in range(8):
                with socket.socket() as probe:
                    probe.bind((f"{net}.1", port + offset))
        except OSError:
            continue
        return net, port


class Process:
    """One process of a role."""

    def __init__(self, settings, folder):
        self.name = settings["instance"]
        self._path = Path(folder) / f"{self.name}.json"
        self._path.write_text(json.dumps(settings))
        self._log_path = Path(folder) / f"{self.name}.log"
        self._process = None

    @property
    def log(self):
        """Return what the process has logged so far."""
        return self._log_path.read_text()

    def start(self):
        """Start the process, or start it again."""
        environment = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        arguments = ["-m", "banyanshore.daemon", "--settings", str(self._path)]
        with open(self._log_path, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self):
        """Kill the process, and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()

    def send(self, number):
        """Send a signal."""
        self._process.send_signal(number)

    @property
    def is_running(self):
        """Return whether the process has not ended."""
        return self._process is not None and self._process.poll() is None


class Fleet:
    """The processes of one small deployment.

    :param folder: temporary folder for settings, logs and disks.
    """

    def __init__(self, folder, bounds=None):
        self.folder = Path(folder)
        self.net, self.port = choose_net()
        self.bounds = {
            "version_ms": 8000, "revokeMs": 5000, "configApplyMs": 2000, "graceS": 8.0,
            **(bounds or {}),
        }  # fmt: skip
        self.processes = []
        self._hosts = iter(range(10, 250))
        self.controls = []

    def next_ip(self):
        """Return a loopback address that nothing else uses."""
        return f"{self.net}.{next(self._hosts)}"

    def reserve_controls(self, count):
        """Choose the addresses of the control instances, which all settings name."""
        self.controls = [f"{self.next_ip()}:{self.port}" for _ in range(count)]

    def _common(self, role, ip, number, zone):
        return {
            "role": role,
            "instance": f"{role}-{zone}-{number}",
            "data_centre": zone,
            "region": REGIONS[zone],
            "peers_bind": f"{ip}:{self.port + 3}",
            "peer_port": self.port + 3,
            "metrics_bind": f"{ip}:{self.port + 4}",
            "seeds": self.controls[:3],
        }

    def add(self, settings):
        """Add a process with some settings."""
        process = Process(settings, self.folder)
        self.processes.append(process)
        return process

    def add_control(self, number):
        """Add the control instance with a number, from 0."""
        address = self.controls[number]
        ip = address.partition(":")[0]
        data_dir = self.folder / f"disk-{number}"
        data_dir.mkdir(exist_ok=True)
        zone = ZONES[number % 3]
        return self.add(
            {
                **self._common("control", ip, number, zone),
                "control_bind": address,
                "data_dir": str(data_dir),
                "memory_mb": 296,
                "max_descriptors": 4096,
                "target_heartbeat_ms": 1200,
                "consensus": {"tolerated_losses": (len(self.controls) - 1) // 2},
            }
        )

    def add_gateway(self, number, zone="a"):
        """Add a gateway; return it, and its addresses for callers and ready."""
        ip = self.next_ip()
        process = self.add(
            {
                **self._common("gateway", ip, number, zone),
                "callers_bind": f"{ip}:{self.port + 1}",
                "ready_bind": f"{ip}:{self.port + 2}",
                "version_bound_ms": self.bounds["version_ms"],
                "key_bound_ms": self.bounds["revokeMs"],
                "change_bound_ms": self.bounds["configApplyMs"],
                "memory_mb": 300,
                "max_descriptors": 4100,
                "grace_seconds": self.bounds["graceS"],
                "regions": REGIONS,
                "retries": {"ratio": 0.2, "burst": 104, "window_seconds": 10},
                "cold_start": {"overage": 1.5, "margin": 5},
                "weights": {**WEIGHTS, "max_origin_fetches": 6},
            }
        )
        return process, f"{ip}:{self.port + 1}", f"{ip}:{self.port + 2}"

    def add_loader(self, number, target_address, service, zone="a"):
        """Add the loader beside a model replica."""
        ip = self.next_ip()
        return self.add(
            {
                **self._common("loader", ip, number, zone),
                "service": service,
                "target_address": target_address,
                "version_bound_ms": self.bounds["version_ms"],
                "target_wait_seconds": 10.0,
                "weights": {
                    **WEIGHTS, "max_origin_fetches": 1, "max_peer_fetches": 2,
                    "max_uploads": 6, "neighbours": 4,
                },
            }
        )  # fmt: skip

    def kill_all(self):
        """Kill all processes."""
        for process in self.processes:
            process.kill()

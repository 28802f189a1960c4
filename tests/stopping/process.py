"""A gateway as a real process, for tests that stop it with real signals."""

import contextlib
import json
import signal
import sys
import time

import anyio
import yaml

from tests.deployment import Process
from tests.gateway.deployment import SETTINGS, make_document
from tests.ports import free_ports


class GatewayProcess:
    """The daemon as a gateway, in a process of its own.

    :param folder: folder for its settings and its log.
    :param targets: addresses of its targets.
    :param settings: settings that differ from the usual ones.
    :param route: fields of its only route that differ from the usual ones.
    """

    def __init__(self, folder, targets, settings=None, **route):
        callers, ready, peers, unused = (f"127.0.0.1:{port}" for port in free_ports(4))
        self.address = callers
        self.settings_path = folder / "gateway.yaml"
        self.settings = {
            **SETTINGS,
            "callers_bind": callers,
            "ready_bind": ready,
            "peers_bind": peers,
            "seeds": [unused],
            **(settings or {}),
        }
        self.write_settings()
        situation = folder / "situation.json"
        situation.write_text(
            json.dumps({"document": make_document(**route), "targets": targets})
        )
        command = [
            sys.executable,
            "-m",
            "tests.stopping.ready_gateway",
            str(self.settings_path),
            str(situation),
        ]
        self._process = Process("gateway", command, folder)
        self.stopped_at = 0.0
        # Seconds from the first signal to the end, ``None`` while it runs.
        self.stop_seconds = None

    def write_settings(self, **changes):
        """Write the settings file, with changes."""
        self.settings.update(changes)
        self.settings_path.write_text(yaml.safe_dump(self.settings))

    async def wait_until_serving(self):
        """Wait until it accepts callers."""
        host, _, port = self.address.partition(":")
        with anyio.fail_after(20):
            while True:
                try:
                    stream = await anyio.connect_tcp(host, int(port))
                except OSError:
                    await anyio.sleep(0.05)
                    continue
                await stream.aclose()
                return

    def signal(self, number):
        """Send a signal."""
        if not self.stopped_at and number != signal.SIGHUP:
            self.stopped_at = time.monotonic()
        self._process.signal(number)

    async def signal_in_turn(self, *steps):
        """Send signals in turn.

        :param steps: pairs of the seconds to wait before a signal, and its number.
        """
        for seconds, number in steps:
            await anyio.sleep(seconds)
            self.signal(number)

    async def wait(self, seconds=15.0):
        """Wait for its end, and return its exit code."""
        with anyio.fail_after(seconds):
            while self._process.process.poll() is None:
                await anyio.sleep(0.01)
        self.stop_seconds = time.monotonic() - self.stopped_at
        return self._process.process.returncode

    def start_again(self):
        """Start it anew after its end, on the same ports and with valid settings."""
        self.write_settings()
        self.stopped_at = 0.0
        self.stop_seconds = None
        self._process.start()

    @property
    def process(self):
        """Return the :class:`~tests.deployment.Process`."""
        return self._process

    def poll(self):
        """Return its exit code, ``None`` while it runs."""
        return self._process.process.poll()

    def kill(self):
        """End it at once."""
        self._process.kill()

    def log(self):
        """Return its log as text."""
        return self._process.log()

    def log_rows(self, message):
        """Return the log records with a message."""
        rows = [json.loads(line) for line in self.log().splitlines() if line[:1] == "{"]
        return [row for row in rows if row["message"] == message]


@contextlib.asynccontextmanager
async def running_gateway_process(folder, targets, settings=None, **route):
    """Run a gateway process; yield it once it accepts callers."""
    gateway = GatewayProcess(folder, targets, settings, **route)
    try:
        await gateway.wait_until_serving()
        yield gateway
    finally:
        gateway.kill()

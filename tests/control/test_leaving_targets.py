"""What an acknowledgement that a target leaves promises when its sender is lost."""

import contextlib
import errno
import itertools
import json

import anyio
import pytest

from banyanshore.control import leaving_store
from banyanshore.control.process import Control
from banyanshore.membership.feed import Registry
from banyanshore.platform.control_api import make_control_api
from tests.control.instance import make_settings, wait_until_listening
from tests.gateway.deployment import ask
from tests.ports import free_ports
from tests.registrations import make_registration

pytestmark = pytest.mark.anyio

TARGET = "t-1"


class Fleet:
    """Control instances in this process, each of which can be lost."""

    def __init__(self, folder, tasks):
        (self._peer_port,) = free_ports(1)
        self.addresses = [f"127.0.0.{61 + n}:{free_ports(1)[0]}" for n in range(3)]
        self.controls = []
        self._scopes = []
        self._running = set()
        self._folder = folder
        self._tasks = tasks

    def start(self, number):
        address = self.addresses[number]
        peers = f"{address.partition(':')[0]}:{self._peer_port}"
        folder = self._folder / str(number)
        settings = make_settings(folder, address, peers, self.addresses)
        control = Control(settings, make_control_api)
        self.controls.append(control)
        self._running.add(control)
        self._scopes.append(anyio.CancelScope())
        self._tasks.start_soon(self._run, control, self._scopes[-1])

    async def _run(self, control, scope):
        with scope:
            await control.run(anyio.Event(), anyio.Event())
        self._running.discard(control)

    async def wait_until_acquainted(self):
        """Wait until the running instances know each other."""
        with anyio.fail_after(15):
            while not all(
                len(control.registry.members_of("control")) == 3
                for control in self.controls
            ):
                await anyio.sleep(0.05)

    async def declare_service(self):
        """Declare the service of the target."""
        body = json.dumps({"version": 1, "routes": [], "backends": [{"name": "s"}]})
        with anyio.fail_after(15):
            while await send(self.addresses[0], "PUT", "config", body.encode()) != 200:
                await anyio.sleep(0.1)
            while any(control.state.desired is None for control in self.controls):
                await anyio.sleep(0.02)

    async def restart_all(self):
        """Kill all instances, and start them again with their disks."""
        for scope in self._scopes:
            scope.cancel()
        with anyio.fail_after(5):
            while self._running:
                await anyio.sleep(0.02)
        self.controls, self._scopes = [], []
        for number in range(3):
            self.start(number)
        for address in self.addresses:
            await wait_until_listening(address)
        await self.wait_until_acquainted()

    def lose(self, number):
        """End an instance without any further step, as a kill does."""
        self._scopes[number].cancel()

    def states(self, numbers):
        """Return the state of the target as the instances know it."""
        rows = [self.controls[n].feed.find_target(TARGET) for n in numbers]
        return [row.state if row else "unknown" for row in rows]


@contextlib.asynccontextmanager
async def running_fleet(folder):
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(folder, tasks)
        for number in range(3):
            fleet.start(number)
        for address in fleet.addresses:
            await wait_until_listening(address)
        await fleet.wait_until_acquainted()
        await fleet.declare_service()
        yield fleet
        tasks.cancel_scope.cancel()


async def call(address, method, body=b""):
    return await send(address, method, f"replicas/{TARGET}", body)


async def send(address, method, path, body):
    lines = [
        f"{method} /api/{path} HTTP/1.1",
        "Host: x",
        "Connection: close",
        f"Content-Length: {len(body)}",
    ]
    status, _ = await ask(address, "\r\n".join([*lines, "", ""]).encode() + body)
    return status


async def leave(address, leaves_by):
    """Tell an instance that the target leaves, until it is acknowledged."""
    with anyio.fail_after(5):
        for sequence in itertools.count(2):
            if leaves_by == "draining":
                body = make_registration(sequence, state="draining")
                status = await call(address, "PUT", body)
            else:
                status = await call(address, "DELETE")
            if status == 200:
                return
            await anyio.sleep(0.2)


@pytest.mark.parametrize("leaves_by", ["draining", "departure"])
async def test_target_that_leaves_is_known_when_the_instance_that_knew_is_lost(
    tmp_path, monkeypatch, leaves_by
):
    """Gateways kept sending to it until its heartbeats had expired."""
    async with running_fleet(tmp_path) as fleet:
        assert await call(fleet.addresses[0], "PUT", make_registration(1)) == 200
        with anyio.fail_after(3):
            while fleet.states([1, 2]) != ["ready", "ready"]:
                await anyio.sleep(0.02)
        # The loss comes before the notices to the others are written.
        monkeypatch.setattr(fleet.controls[0].feed, "_notify_control", do_nothing)
        await leave(fleet.addresses[0], leaves_by)
        fleet.lose(0)
        assert fleet.states([1, 2]).count("ready") <= 1


@pytest.mark.parametrize("leaves_by", ["draining", "departure"])
async def test_target_that_leaves_is_known_after_all_control_instances_were_killed(
    tmp_path, leaves_by
):
    """A gateway that stood still meanwhile kept sending to it for eight seconds."""
    async with running_fleet(tmp_path) as fleet:
        assert await call(fleet.addresses[0], "PUT", make_registration(1)) == 200
        row = fleet.controls[0].feed.find_target(TARGET)
        await leave(fleet.addresses[0], leaves_by)
        await fleet.restart_all()
        with anyio.fail_after(2):
            for control in fleet.controls:
                gateway = Registry()
                gateway.record(0.0, row)
                while is_used(gateway):
                    update = control.feed._complete_update()
                    apply_complete_update(gateway, update)
                    await anyio.sleep(0.02)


def apply_complete_update(registry, update):
    """Apply the first update of a control instance, as a gateway does."""
    for departure in update.departures:
        registry.forget(1.0, departure)
    for row in update.rows:
        registry.record(1.0, row)


def is_used(registry):
    """Return whether requests are sent to a target that the registry holds."""
    return any(row.state == "ready" for row in registry.targets.rows())


async def test_target_that_leaves_is_not_acknowledged_if_no_other_disk_accepts_it(
    tmp_path, monkeypatch
):
    """One full disk is tolerated, two are not."""
    async with running_fleet(tmp_path) as fleet:
        assert await call(fleet.addresses[0], "PUT", make_registration(1)) == 200
        with anyio.fail_after(3):
            while fleet.states([1, 2]) != ["ready", "ready"]:
                await anyio.sleep(0.02)
        full = [tmp_path / "1", tmp_path / "2"]
        replace = leaving_store.replace_file

        def replace_unless_full(path, parts):
            if path.parent in full:
                raise OSError(errno.ENOSPC, "No space left on device")
            replace(path, parts)

        monkeypatch.setattr(leaving_store, "replace_file", replace_unless_full)
        assert await call(fleet.addresses[0], "DELETE") == 503
        full.pop()
        await leave(fleet.addresses[0], "departure")


async def test_instance_that_lacks_the_declaration_does_not_count(
    tmp_path, monkeypatch
):
    """It keeps nothing of a target whose service it doesn't know."""
    async with running_fleet(tmp_path) as fleet:
        assert await call(fleet.addresses[0], "PUT", make_registration(1)) == 200
        for control in fleet.controls[1:]:
            monkeypatch.setattr(control.state, "desired", None)
            control.registry.targets.by_key.clear()
        body = make_registration(2, state="draining")
        assert await call(fleet.addresses[0], "PUT", body) == 503


async def do_nothing(message):
    return


async def test_target_that_leaves_is_not_acknowledged_if_nobody_else_can_know(
    tmp_path,
):
    async with running_fleet(tmp_path) as fleet:
        assert await call(fleet.addresses[0], "PUT", make_registration(1)) == 200
        fleet.lose(1)
        fleet.lose(2)
        await anyio.sleep(0.2)
        body = make_registration(2, state="draining")
        assert await call(fleet.addresses[0], "PUT", body) == 503
        assert await call(fleet.addresses[0], "DELETE") == 503

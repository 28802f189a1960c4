"""Test load orders: which incarnation they name, and when they have ended."""

from types import SimpleNamespace

import anyio
import pytest

from banyanshore.agent import turns
from banyanshore.agent.rollout import LoadResult, RolloutDriver, has_ended
from banyanshore.conf.sections import EngineSettings
from banyanshore.conf.settings import AgentSettings
from banyanshore.engines import EngineError
from banyanshore.engines.base import EngineHealth
from banyanshore.membership.messages import TargetStatus
from banyanshore.routing.admission import Admission, AdmissionOptions
from banyanshore.state import Fence
from banyanshore.state.rollouts import LoadPermitReply, LoadPermitRow
from banyanshore.state.views import ModelSpec

pytestmark = pytest.mark.anyio

SPEC = ModelSpec("m", "v2", "digest", "http://o/m", "http://o/w")


class FakeEngine:
    """Target that records load orders, and may restart between calls."""

    has_weights = True

    def __init__(self):
        self.incarnation = "one"
        self.version = "v1"
        self.error = None
        self.ordered = []

    async def health(self):
        return EngineHealth(self.incarnation, "m", self.version, 0)

    async def load(self, order):
        self.ordered.append((self.incarnation, order.model_version))
        if self.error is not None:
            raise self.error
        self.version = order.model_version


class FakeEntry:
    """Entry that grants all load permits and records the requests."""

    def __init__(self):
        self.requests = []

    async def call(self, request, timeout):
        self.requests.append(request)
        return LoadPermitReply(True, "", Fence(1, len(self.requests)))

    def statuses(self):
        return [(str(item.status), item.target) for item in self.requests]


class FakeAnnouncer:
    """Announcer that sends nothing."""

    status = "serving"
    model = model_version = ready_version = ""

    async def announce(self):
        pass


def make_driver(engine, entry):
    settings = AgentSettings(
        role="agent",
        instance="agent-1",
        data_centre="a",
        service="s",
        peers_bind="127.0.0.1:1",
        entries=[],
        engine=EngineSettings(url="http://127.0.0.1:2"),
        settle_seconds=0.0,
    )
    driver = RolloutDriver(
        settings,
        engine,
        None,
        None,
        None,
        SimpleNamespace(on_change=[]),
        SimpleNamespace(on_change=[], desired=SimpleNamespace(fence=Fence(1, 1))),
        FakeAnnouncer(),
        Admission(AdmissionOptions()),
        None,
        entry.call,
    )
    manifest = SimpleNamespace(chunk_count=0, chunk_digests=(), length=0)
    driver.transfer = SimpleNamespace(manifest=manifest)
    return driver


async def test_permit_names_the_incarnation_that_receives_the_order():
    engine, entry = FakeEngine(), FakeEntry()
    driver = make_driver(engine, entry)
    driver.loaded = ("m", "v1")
    driver._admission.in_flight = 1

    async def restart():
        await anyio.sleep(0.1)
        engine.incarnation = "two"
        driver._admission.in_flight = 0

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(restart)
        await driver._load(SPEC)
    assert engine.ordered == [("two", "v2")]
    assert entry.statuses() == [("wanted", "one"), ("wanted", "two"), ("done", "two")]


async def test_order_is_not_sent_on_a_permit_that_has_expired(monkeypatch):
    """An agent that was paused until others held its permit ordered a load."""
    monkeypatch.setattr(turns, "PERMIT_SECONDS", 0.2)
    engine, entry = FakeEngine(), FakeEntry()
    driver = make_driver(engine, entry)
    driver.loaded = ("m", "v1")
    driver._admission.in_flight = 1

    async def end_request_late():
        await anyio.sleep(0.3)
        driver._admission.in_flight = 0

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(end_request_late)
        await driver._load(SPEC)
    assert engine.ordered == [("one", "v2")]
    statuses = [str(request.status) for request in entry.requests]
    assert statuses == ["wanted", "wanted", "done"]


async def test_order_with_unknown_result_stays_open_and_is_sent_again():
    engine, entry = FakeEngine(), FakeEntry()
    driver = make_driver(engine, entry)
    driver.loaded = ("m", "v1")
    engine.error = EngineError("no answer", step="load")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(driver._load, SPEC)
        while len(engine.ordered) < 1:
            await anyio.sleep(0.01)
        # The target reports v1, but may change its version at any time.
        assert driver.loaded == ("", "")
        assert driver._is_uncertain
        engine.error = None
        while driver.loaded != ("m", "v2"):
            await anyio.sleep(0.01)
        assert not driver._is_uncertain
        tasks.cancel_scope.cancel()
    assert entry.statuses()[:3] == [
        ("wanted", "one"),
        ("unknown", "one"),
        ("wanted", "one"),
    ]


async def test_refusal_of_one_order_leaves_an_earlier_one_open():
    engine, entry = FakeEngine(), FakeEntry()
    driver = make_driver(engine, entry)
    await driver._apply_result(SPEC, LoadResult.UNKNOWN)
    # The target may still be loading v2 when it refuses to load v1.
    await driver._apply_result(SPEC, LoadResult.REFUSED)
    assert driver._is_uncertain
    await driver._apply_result(SPEC, LoadResult.LOADED)
    assert not driver._is_uncertain


async def test_leaving_agent_sends_no_load_order():
    engine, entry = FakeEngine(), FakeEntry()
    driver = make_driver(engine, entry)
    driver._announcer.status = TargetStatus.LEAVING
    with anyio.fail_after(5):
        await driver._load(SPEC)
    assert not engine.ordered
    assert not entry.requests
    assert driver._announcer.status == TargetStatus.LEAVING


async def test_agent_that_leaves_while_it_waits_for_a_permit_sends_no_order():
    """It announced that it was loading, then serving, and ordered the load."""
    engine, entry = FakeEngine(), FakeEntry()
    driver = make_driver(engine, entry)
    driver.loaded = ("m", "v1")
    grant = entry.call

    async def leave_and_grant(request, timeout):
        driver._announcer.status = TargetStatus.LEAVING
        return await grant(request, timeout)

    driver._permits._call_entry = leave_and_grant
    with anyio.fail_after(5):
        await driver._load(SPEC)
    assert not engine.ordered
    assert driver._announcer.status == TargetStatus.LEAVING
    assert [str(request.status) for request in entry.requests] == ["wanted", "done"]


def test_order_has_ended_once_it_is_executed_or_its_target_has_restarted():
    order = LoadPermitRow("m", "v2", "agent-1", "a", 0.0, True, "one")
    assert not has_ended(order, EngineHealth("one", "m", "v1", 0))
    assert not has_ended(order, EngineHealth("one", "", "", 0))
    assert has_ended(order, EngineHealth("one", "m", "v2", 0))
    assert has_ended(order, EngineHealth("two", "", "", 0))

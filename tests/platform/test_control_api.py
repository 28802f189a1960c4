"""The calls of operators and targets to control."""

import json
import time
from dataclasses import replace

import anyio
import pytest

from banyanshore.conf.sections import ConsensusSettings
from banyanshore.control.feed import FeedServer
from banyanshore.core.clock import boottime_now
from banyanshore.membership.feed import (
    ConfirmRequest,
    MemberRow,
    Registry,
    RowUpdate,
)
from banyanshore.membership.registry import TargetRow
from banyanshore.platform.control_api import ControlApi
from banyanshore.state import Fence, PublishedState, StateHolder
from banyanshore.state.document import empty_document, to_json
from banyanshore.telemetry.control import ControlMetrics
from tests.control.copies import KeptCopies
from tests.control.test_feed import Follower

pytestmark = pytest.mark.anyio


class Settings:
    seeds = ()
    peer_port = 7700
    consensus = ConsensusSettings()


class Removal:
    """A target's call that removes it."""

    method = b"DELETE"
    path = "/api/replicas/t"
    status = None

    def __init__(self, age, connection_age=0.0):
        self.arrived_after = boottime_now() - age
        self.connected_at = time.monotonic() - connection_age

    async def read_body(self):
        return b""

    async def respond(self, status, headers=(), body=b""):
        self.status = status


def declare(state, version, *services):
    document = empty_document()
    document["services"] = {name: {"kind": "direct"} for name in services}
    state.apply(PublishedState(version, Fence(1, version), to_json(document)))


def make_feed(state=None):
    member = MemberRow("x", "control", "dc", "r", "10.0.0.1:7700", 1, 1)
    return FeedServer(
        Settings,
        member,
        state or StateHolder(keep_previous=True),
        Registry(),
        None,
        ControlMetrics(),
        KeptCopies(),
    )


async def remove(feed, age=0.0, connection_age=0.0):
    """Remove the target by a call that may be some seconds old; return the status."""
    removal = Removal(age, connection_age)
    with anyio.fail_after(2):
        await ControlApi(None, feed).handle(removal)
    return removal.status


async def test_removal_that_nobody_is_told_of_is_not_acknowledged():
    """The other control instances, which knew the target, kept sending to it."""
    assert await remove(make_feed()) == 503


async def test_removal_that_is_sent_again_is_acknowledged_again():
    feed = make_feed()
    row = TargetRow("t", "s", "10.0.0.2:80", "dc", "v1", 4, "ready", 0.0, 1, 1)
    await feed.record(row)
    assert [await remove(feed), await remove(feed)] == [200, 200]


async def test_late_removal_does_not_remove_a_later_start_of_the_target():
    """It took the newest start away, which was then refused for 120 s."""
    feed = make_feed()
    row = TargetRow("t", "s", "10.0.0.2:80", "dc", "v1", 4, "ready", 0.0, 1, 1)
    await feed.record(row)
    await feed.record(replace(row, incarnation=2))
    assert await remove(feed, age=6.0) == 503
    assert feed.find_target("t").incarnation == 2
    assert await remove(feed) == 200


async def test_removal_that_the_network_delivers_late_keeps_the_next_start():
    """It took the newest start out of use for 120 s, whose reports went on."""
    feed = make_feed()
    row = TargetRow("t", "s", "10.0.0.2:80", "dc", "v1", 4, "ready", 0.0, 1, 1)
    await feed.record(row)
    await feed.record(replace(row, incarnation=2))
    assert await remove(feed, connection_age=6.0) == 503
    assert feed.find_target("t").incarnation == 2
    # A target may open its connection shortly before its first report.
    assert await remove(feed, connection_age=1.0) == 200


ADDRESS = "10.0.0.2:80"
ROW = TargetRow("t", "s", ADDRESS, "dc", "v1", 4, "ready", 0.0, 1_000, 1)


@pytest.fixture
def state():
    state = StateHolder(keep_previous=True)
    declare(state, 1, "s")
    return state


@pytest.fixture
def feed(state):
    return make_feed(state)


async def report(feed, row):
    """Send the report of a target; return the status."""
    body = {
        "backend": row.service, "address": row.address, "zone": row.data_centre,
        "version": row.software, "slots": row.slots, "state": row.state,
        "coldLeftMs": row.cold_seconds * 1000, "born": row.incarnation,
        "seq": row.sequence,
    }  # fmt: skip
    exchange = Removal(0.0)
    exchange.method, exchange.path = b"PUT", f"/api/replicas/{row.id}"

    async def read_body():
        return json.dumps(body).encode()

    exchange.read_body = read_body
    await ControlApi(None, feed).handle(exchange)
    return exchange.status


def used(feed):
    """Return the ids and sequences of the targets that gateways are told of."""
    rows = feed._complete_update().rows
    return [(row.id, row.sequence) for row in rows if isinstance(row, TargetRow)]


@pytest.mark.parametrize("target_id", ["t", "another"])
@pytest.mark.parametrize("address", [ADDRESS, "10.0.0.3:80"])
@pytest.mark.parametrize("incarnation", [1, 1_000, 2_000, 1_700_000_000_000])
@pytest.mark.parametrize("sequence", [1, 100])
@pytest.mark.parametrize("target_state", ["ready", "draining"])
async def test_report_of_an_undeclared_service_displaces_no_target(
    feed, target_id, address, incarnation, sequence, target_state
):
    """The target was refused as older for as long as such reports came."""
    await report(feed, ROW)
    other = replace(
        ROW,
        id=target_id,
        service="undeclared",
        address=address,
        incarnation=incarnation,
        sequence=sequence,
        state=target_state,
    )
    assert await report(feed, other) == 200
    assert used(feed) == [("t", 1)]
    assert await report(feed, replace(ROW, sequence=2)) == 200
    assert used(feed) == [("t", 2)]


async def test_target_is_used_once_its_service_is_declared(feed, state):
    """It may report before the declaration that names its service."""
    connection = Follower()
    row = replace(ROW, id="u", service="next", address="10.0.0.3:80", cold_seconds=9.0)
    await feed.on_confirm_request(connection, ConfirmRequest(MEMBER, 1))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(feed._send_versions)
        await report(feed, row)
        assert used(feed) == []
        declare(state, 2, "s", "next")
        with anyio.fail_after(1):
            while not sent_targets(connection):
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    (sent,) = sent_targets(connection)
    assert sent.id == "u" and 8.0 < sent.cold_seconds <= 9.0


async def test_target_of_a_removed_service_is_followed_until_it_leaves(feed, state):
    """Gateways that still hold the earlier version have to be told that it leaves."""
    await report(feed, ROW)
    declare(state, 2, "other")
    leaving = replace(ROW, sequence=2, state="draining")
    assert await report(feed, leaving) == 200
    assert used(feed) == [("t", 2)]
    assert await remove(feed) == 200
    assert used(feed) == []


@pytest.mark.parametrize("target_state", ["ready", "draining"])
async def test_candidate_that_leaves_is_acknowledged_and_not_used_later(
    feed, state, target_state
):
    row = replace(ROW, service="next", state=target_state)
    assert await report(feed, row) == 200
    assert await remove(feed) == 200
    declare(state, 2, "next")
    await feed.registrations.use_named_candidates()
    assert used(feed) == []
    assert await report(feed, replace(row, sequence=2)) == 200
    assert used(feed) == []


async def test_leaving_target_is_not_acknowledged_without_any_state():
    """Its service may be in use, which an instance that just started can't know."""
    feed = make_feed()
    assert await report(feed, replace(ROW, state="draining")) == 503


@pytest.mark.parametrize("service", ["s", "undeclared"])
async def test_instance_without_a_state_tells_those_that_have_one(
    feed, monkeypatch, service
):
    """A target that reported to an instance with a lost disk was unknown to others."""
    started = make_feed()
    monkeypatch.setattr(started, "_notify_control", feed.on_peer_update)
    assert await report(started, replace(ROW, service=service)) == 200
    assert used(started) == []
    assert used(feed) == ([("t", 1)] if service == "s" else [])


def sent_targets(connection):
    rows = [row for update in connection.sent_of(RowUpdate) for row in update.rows]
    return [row for row in rows if isinstance(row, TargetRow)]


MEMBER = MemberRow("g", "gateway", "dc", "r", "10.0.0.9:7700", 1, 1)

"""The updates that control sends to its followers."""

import json
import zlib
from dataclasses import replace

import anyio
import pytest

from banyanshore.control import feed as feed_module
from banyanshore.control import version_history
from banyanshore.control.feed import GATEWAY_TABLES, FeedServer
from banyanshore.membership.compression import decompress_notice
from banyanshore.membership.feed import (
    ConfirmRequest,
    FeedClient,
    MemberRow,
    Registry,
    RowUpdate,
)
from banyanshore.membership.messages import CompressedNotice, StateChange, StateUpdate
from banyanshore.membership.registry import Departure, TargetRow
from banyanshore.state import Fence, PublishedState, StateHolder
from banyanshore.state.document import empty_document, merge_patch, to_json
from banyanshore.state.views import DesiredState
from banyanshore.telemetry.control import ControlMetrics
from banyanshore.transport import decode, encode_notice
from banyanshore.transport.codec import CodecError, encode
from tests.control.copies import KeptCopies

pytestmark = pytest.mark.anyio


class Settings:
    seeds = ()
    peer_port = 7700


class Follower:
    """A connection that records the messages sent over it."""

    peer = "follower"
    pending_bytes = 0

    def __init__(self):
        self.sent = []

    async def notify(self, body):
        self.sent.append(body)

    async def notify_encoded(self, data):
        self.sent.append(decode(data).body)

    def sent_of(self, *kinds):
        return [body for body in map(decompress, self.sent) if isinstance(body, kinds)]


def decompress(body):
    return decompress_notice(body) if isinstance(body, CompressedNotice) else body


class MeasuredFollower(Follower):
    """A connection that also counts the bytes sent over it."""

    sent_bytes = 0

    async def notify(self, body):
        await self.notify_encoded(encode_notice(body))

    async def notify_encoded(self, data):
        self.sent_bytes += len(data)
        await super().notify_encoded(data)


def member(role, sequence=1):
    return MemberRow("x", role, "dc", "r", "10.0.0.1:7700", 1, sequence)


def publish(state, version, routes):
    document = empty_document()
    for number in range(routes):
        document["routes"][f"r{number}"] = {"host": f"h{number}", "prefix": "/"}
    state.apply(PublishedState(version, Fence(1, version), to_json(document)))


@pytest.fixture
def state():
    return StateHolder(keep_previous=True)


@pytest.fixture
def server(state):
    return FeedServer(
        Settings,
        member("control"),
        state,
        Registry(),
        None,
        ControlMetrics(),
        KeptCopies(),
    )


async def follow(server, role, version=0, sequence=1, connection=None):
    connection = connection or Follower()
    await server.on_confirm_request(
        connection, ConfirmRequest(member(role, sequence), version, 0, True)
    )
    return connection


async def test_new_follower_is_sent_all_rows_and_the_complete_state(server, state):
    publish(state, 1, 3)
    connection = await follow(server, "gateway")
    assert connection.sent_of(RowUpdate)
    assert [body.published.version for body in connection.sent_of(StateUpdate)] == [1]


async def test_follower_of_the_previous_version_is_sent_the_change(server, state):
    publish(state, 1, 3)
    connection = await follow(server, "gateway", 1)
    publish(state, 2, 4)
    await follow(server, "gateway", 1, 2, connection)
    (change,) = connection.sent_of(StateChange, StateUpdate)
    assert isinstance(change, StateChange)


async def test_change_is_computed_once_for_all_followers(server, state, monkeypatch):
    """Computing it per follower took 1.4 s of CPU a version with 72 followers."""
    computed = []
    delta_from = DesiredState.delta_from

    def count(desired, base):
        computed.append(desired.version)
        return delta_from(desired, base)

    monkeypatch.setattr(DesiredState, "delta_from", count)
    publish(state, 1, 3)
    connections = [await follow(server, "gateway", 1) for _ in range(20)]
    for version in (2, 3):
        publish(state, version, 3 + version)
        for connection in connections:
            await follow(server, "gateway", version - 1, version, connection)
    assert computed == [2, 3]
    for connection in connections:
        changes = [body.delta.version for body in connection.sent_of(StateChange)]
        assert changes == [2, 3]


def change_routes(state, version, names):
    """Publish a version with the routes of the one before and some more."""
    document = json.loads(to_json(state.desired.document))
    for name in names:
        document["routes"][name] = {"host": name, "prefix": "/"}
    state.apply(PublishedState(version, Fence(1, version), to_json(document)))


async def test_follower_that_moves_is_sent_only_the_changes_that_it_lacks(
    server, state
):
    """Followers that moved together filled links that the log needed, for seconds."""
    follower = StateHolder()
    publish(state, 1, 500)
    for version in range(2, 12):
        change_routes(state, version, [f"new{version}"])
        if version == 4:
            follower.apply(server.followed_version.published)
    connection = await follow(server, "gateway", 4)
    changes = connection.sent_of(StateChange, StateUpdate)
    assert [body.delta.version for body in changes] == [5, 6, 7, 8, 9, 10, 11]
    for body in changes:
        assert follower.apply_delta(body.delta)
    assert follower.desired.document["routes"] == state.desired.document["routes"]


async def test_follower_that_lacks_more_than_the_document_is_sent_the_document(
    server, state, monkeypatch
):
    monkeypatch.setattr(version_history, "MIN_COMPARED_BYTES", 0)
    publish(state, 1, 1)
    for version in range(2, 6):
        publish(state, version, 100 * (version % 2))
    connection = await follow(server, "gateway", 1)
    (update,) = connection.sent_of(StateChange, StateUpdate)
    assert update.published.version == 5


@pytest.mark.parametrize("version", [0, 1])
async def test_many_new_routes_are_sent_compressed(server, state, version):
    """400 KB to each of 40 gateways kept the links busy for half a second."""
    publish(state, 1, 1)
    publish(state, 2, 1400)
    sent_bytes = {}
    for decompresses in (False, True):
        connection = MeasuredFollower()
        request = ConfirmRequest(member("gateway"), version, 0, decompresses)
        rows_bytes = len(encode_notice(server._complete_update()))
        await server.on_confirm_request(connection, request)
        sent_bytes[decompresses] = connection.sent_bytes - rows_bytes
        follower = FeedClient(
            Settings, member("gateway"), StateHolder(), Registry(), None
        )
        if version:
            publish(follower._state, 1, 1)
            # As control sends it, without the text of the declaration.
            follower._state.desired = follower._state.desired.only(GATEWAY_TABLES)
        notices = [body for body in connection.sent if not isinstance(body, RowUpdate)]
        assert len(notices) == 1
        for body in notices:
            assert isinstance(body, CompressedNotice) == decompresses
            await follower.notice_by_type[type(body)](follower, connection, body)
        assert follower._state.version == 2
        assert len(follower._state.desired.document["routes"]) == 1400
    assert sent_bytes[True] < sent_bytes[False] / 4


async def test_follower_of_an_earlier_build_applies_what_it_is_sent(server, state):
    """It compares the CRC-32 of the whole document, and doesn't decompress."""
    connection = Follower()
    held = None
    for version in range(1, 5):
        publish(state, version, 3 * version)
        held_version = held.version if held else 0
        request = ConfirmRequest(member("gateway", version), held_version)
        connection.sent.clear()
        await server.on_confirm_request(connection, request)
        (body,) = connection.sent_of(StateUpdate, StateChange)
        if isinstance(body, StateUpdate):
            held = body.published
            continue
        document = merge_patch(json.loads(held.document), json.loads(body.delta.patch))
        assert body.delta.base_version == held.version
        assert zlib.crc32(to_json(document)) == body.delta.document_digest
        held = PublishedState(version, Fence(1, version), to_json(document))
    assert isinstance(body, StateChange)
    assert held.document == server.followed_version.published.document


@pytest.mark.parametrize(
    "data", [b"", b"x", zlib.compress(b"x")[:-1], zlib.compress(encode(RowUpdate()))]
)
def test_damaged_compressed_notice_is_refused(data):
    with pytest.raises(CodecError):
        decompress_notice(CompressedNotice(data))


async def test_changes_that_are_kept_are_bounded(server, state, monkeypatch):
    """Looking through all of a long day for each follower would hold the event loop."""
    monkeypatch.setattr(version_history, "MAX_CHANGES", 3)
    for version in range(1, 8):
        publish(state, version, version)
    assert (await follow(server, "gateway", 4)).sent_of(StateChange)
    assert (await follow(server, "gateway", 3)).sent_of(StateUpdate)
    monkeypatch.setattr(version_history, "MAX_HISTORY_BYTES", 1)
    publish(state, 8, 8)
    assert (await follow(server, "gateway", 7)).sent_of(StateUpdate)


async def test_change_of_one_route_is_sent_without_the_text_of_the_declaration(
    server, state
):
    """The text of the declaration, 48 KB for 1,640 routes, went to each gateway."""
    publish(state, 1, 100)
    connections = [
        await follow(server, "gateway", version, connection=MeasuredFollower())
        for version in (0, 1)
    ]
    document = json.loads(to_json(state.desired.document))
    document["routes"]["r7"]["host"] = "h"
    document["declarations"]["operator"] = {"number": 2, "source": "x" * 10_000}
    state.apply(PublishedState(2, Fence(1, 2), to_json(document)))
    for connection in connections:
        connection.sent_bytes = 0
        await follow(server, "gateway", 1, 2, connection)
        assert connection.sent_of(StateChange)
        assert connection.sent_bytes < 200


class BlockedFollower(Follower):
    """A connection whose peer doesn't read; sending more to it never returns."""

    pending_bytes = 5 * 1024 * 1024
    is_blocked = True

    async def notify(self, body):
        if self.is_blocked:
            await anyio.sleep_forever()
        await super().notify(body)

    async def notify_encoded(self, data):
        await self.notify(decode(data).body)


async def test_follower_that_does_not_read_does_not_hold_up_the_others(server, state):
    """One with 4 MB queued kept versions and rows from all others until it closed."""
    publish(state, 1, 3)
    blocked = BlockedFollower()
    blocked.is_blocked, blocked.pending_bytes = False, 0
    await follow(server, "gateway", 1, connection=blocked)
    other = await follow(server, "gateway", 1)
    blocked.is_blocked, blocked.pending_bytes = True, 5 * 1024 * 1024
    row = TargetRow("t", "s", "10.0.0.2:80", "dc", "v", 4, "ready", 0.0, 1, 1)
    with anyio.fail_after(2):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server._send_versions)
            publish(state, 2, 4)
            await server.record(row)
            while not other.sent_of(StateChange):
                await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
    assert other.sent_of(RowUpdate)[-1].rows == (row,)
    # Once it reads again, it is sent all that it lacks.
    blocked.is_blocked, blocked.pending_bytes = False, 0
    blocked.sent.clear()
    await follow(server, "gateway", 1, 2, blocked)
    (update,) = blocked.sent_of(RowUpdate)
    assert update.is_complete
    assert row in update.rows
    assert [body.delta.version for body in blocked.sent_of(StateChange)] == [2]


async def test_follower_that_did_not_apply_a_change_is_sent_the_complete_state(
    server, state
):
    publish(state, 1, 3)
    connection = await follow(server, "gateway", 1)
    publish(state, 2, 4)
    for sequence in (2, 3, 4):
        await follow(server, "gateway", 1, sequence, connection)
    assert connection.sent_of(StateUpdate)


async def test_loader_is_not_sent_routes(server, state):
    """A long list of routes filled the narrow link of a loader for seconds."""
    publish(state, 1, 400)
    connection = await follow(server, "loader")
    publish(state, 2, 800)
    await follow(server, "loader", 1, 2, connection)
    (update,) = connection.sent_of(StateChange, StateUpdate)
    assert json.loads(update.published.document).keys() == {"services", "rollouts"}


async def test_departure_of_an_exited_follower_is_sent_at_once(server, monkeypatch):
    monkeypatch.setattr(feed_module, "RECONNECT_SECONDS", 0.05)
    other = await follow(server, "gateway")
    exited = Follower()
    row = MemberRow("y", "gateway", "dc", "r", "10.0.0.2:7700", 1, 1)
    await server.on_confirm_request(exited, ConfirmRequest(row, 0))
    await server.on_closed(exited)
    assert [d.key for body in other.sent_of(RowUpdate) for d in body.departures] == [
        "y"
    ]


async def test_follower_that_moved_to_another_instance_is_kept(server, monkeypatch):
    monkeypatch.setattr(feed_module, "RECONNECT_SECONDS", 0.05)
    other = await follow(server, "gateway")
    moved = Follower()
    row = MemberRow("y", "gateway", "dc", "r", "10.0.0.2:7700", 1, 1)
    await server.on_confirm_request(moved, ConfirmRequest(row, 0))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.on_closed, moved)
        await anyio.sleep(0.02)
        later = MemberRow("y", "gateway", "dc", "r", "10.0.0.2:7700", 1, 2)
        await server.on_peer_update(RowUpdate((later,)))
    assert not [d for body in other.sent_of(RowUpdate) for d in body.departures]


async def test_log_records_targets_that_register_change_and_leave(server, caplog):
    caplog.set_level("INFO")
    row = TargetRow("t", "s", "10.0.0.2:80", "dc", "v", 4, "ready", 0.0, 1, 1)
    await server.record(row)
    # Unchanged heartbeat.
    await server.record(replace(row, sequence=2))
    await server.record(replace(row, sequence=3, state="draining"))
    await server.forget(Departure("target", "t", 1, is_final=True))
    logged = [(r.message, r.state) for r in caplog.records if hasattr(r, "target")]
    assert logged == [
        ("target told of itself", "ready"),
        ("target told of itself", "draining"),
        ("target left", "draining"),
    ]


async def test_follower_that_was_cut_off_is_told_which_targets_left(server):
    """It kept sending to a target for eight seconds after its departure was lost."""
    row = TargetRow("t", "s", "10.0.0.2:80", "dc", "v", 4, "ready", 0.0, 1, 1)
    await server.record(row)
    await server.forget(Departure("target", "t", 1, is_final=True))
    connection = await follow(server, "gateway")
    known = Registry()
    known.record(0.0, row)
    for update in connection.sent_of(RowUpdate):
        for departure in update.departures:
            known.forget(0.1, departure)
    assert not known.targets.rows()


async def test_control_that_was_cut_off_is_told_which_targets_left(server):
    """It kept a target that had left until its heartbeats had expired."""
    row = TargetRow("t", "s", "10.0.0.2:80", "dc", "v", 4, "ready", 0.0, 1, 1)
    other = FeedServer(
        Settings,
        member("control"),
        StateHolder(keep_previous=True),
        Registry(),
        None,
        ControlMetrics(),
        KeptCopies(),
    )
    await other.record(row)
    gateway = await follow(other, "gateway")
    await server.record(row)
    await server.forget(Departure("target", "t", 1, is_final=True))
    await other.on_peer_update(server._complete_update())
    assert other.find_target("t") is None
    assert [d.key for d in gateway.sent_of(RowUpdate)[-1].departures] == ["t"]


async def test_log_records_what_a_version_costs(server, state, caplog):
    publish(state, 1, 3)
    await follow(server, "gateway", 1)
    await follow(server, "loader", 1)
    publish(state, 2, 4)
    caplog.set_level("INFO")
    await server._send_to_all()
    (record,) = [r for r in caplog.records if r.message == "version sent"]
    assert (record.version, record.followers, record.sent_to) == (2, 2, 2)
    assert record.bytes > 0

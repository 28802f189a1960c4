"""The ages of model versions that control instances know and report."""

import gc

import anyio
import pytest

from banyanshore.conf.loader import parse_settings
from banyanshore.control.feed import REPEATED_SECONDS, FeedServer
from banyanshore.control.process import Control
from banyanshore.core.clock import boottime_now
from banyanshore.membership.feed import Registry, RolloutAges
from banyanshore.membership.messages import StateUpdate
from banyanshore.routing.version_switch import FIRST_STATE_SECONDS, VersionSwitch
from banyanshore.state import Fence, PublishedState, StateHolder
from banyanshore.state.document import empty_document, to_json
from banyanshore.telemetry.control import ControlMetrics
from tests.control.copies import KeptCopies
from tests.control.test_disk import make_order
from tests.control.test_feed import Follower, follow, member
from tests.ports import free_ports

pytestmark = pytest.mark.anyio


class Link:
    """An open link to another control instance that records what is sent over it."""

    is_open = True

    def __init__(self):
        self.connection = Follower()

    async def notify_or_drop(self, body):
        await self.connection.notify(body)


class Links:
    """A pool with one link."""

    def __init__(self):
        self.link = Link()

    def get(self, address, peer=""):
        return self.link


class Settings:
    seeds = ("10.0.0.2:8000",)
    peer_port = 7700


def name_version(state, number, **versions):
    document = empty_document()
    for model, version in versions.items():
        document["rollouts"][model] = {"version": version}
    state.apply(PublishedState(number, Fence(1, number), to_json(document)))


def make_server(state, links=None):
    links = links or Links()
    return FeedServer(
        Settings,
        member("control"),
        state,
        Registry(),
        links,
        ControlMetrics(),
        KeptCopies(),
    )


def started_server(links=None):
    """Return the server of an instance that is up to date, and its state."""
    state = StateHolder(keep_previous=True)
    server = make_server(state, links)
    name_version(state, 1)
    server.record_current(boottime_now())
    return server, state


def ages_sent(connection):
    """Return the latest ages that were sent over a connection."""
    updates = connection.sent_of(RolloutAges)
    return {row[:2]: row[2] for row in updates[-1].rows} if updates else {}


async def allowed_by_new_gateway(server, seconds):
    """Return the oldest version that a new gateway allows some seconds later."""
    ages = ages_sent(await follow(server, "gateway"))
    gateway = VersionSwitch(7.2)
    gateway.record_ages(0.0, ages)
    gateway.record(0.0, {"m": {"version": 2}})
    return gateway.oldest_allowed_version(seconds, "m")


async def test_gateway_that_starts_at_a_restarted_instance_is_cautious():
    """It used older weights 14.3 s after the name: the age was reported as 0."""
    state = StateHolder(keep_previous=True)
    name_version(state, 5, m=2)
    server = make_server(state)
    name_version(state, 6, m=2, other=1)
    assert await allowed_by_new_gateway(server, FIRST_STATE_SECONDS) == 2


async def test_instance_reports_no_age_for_what_it_replays_from_its_log():
    state = StateHolder(keep_previous=True)
    server = make_server(state)
    name_version(state, 1)
    name_version(state, 2, m=2)
    assert await allowed_by_new_gateway(server, FIRST_STATE_SECONDS) == 2


async def test_instance_that_was_cut_off_reports_no_age_for_what_it_catches_up_on():
    server, state = started_server()
    server.current_at -= 5.0
    name_version(state, 2, m=2)
    assert await allowed_by_new_gateway(server, FIRST_STATE_SECONDS) == 2


async def test_instance_that_is_up_to_date_reports_the_age():
    server, state = started_server()
    name_version(state, 2, m=2)
    ages = ages_sent(await follow(server, "gateway"))
    assert ages == {("m", 2): pytest.approx(0.0, abs=0.2)}


async def test_restarted_instance_reports_the_age_that_another_one_knows(caplog):
    caplog.set_level("INFO")
    state = StateHolder(keep_previous=True)
    name_version(state, 5, m=2)
    server = make_server(state)
    server.on_peer_ages(RolloutAges((("m", 2, 6.5),)))
    ages = ages_sent(await follow(server, "gateway"))
    assert ages == {("m", 2): pytest.approx(6.5, abs=0.2)}
    assert [r.age for r in caplog.records if hasattr(r, "earlier_by")] == [6.5]


async def test_follower_is_sent_a_larger_age_for_a_version_that_it_holds():
    """It kept an age that was measured before a delay, or by an instance behind."""
    server, state = started_server()
    name_version(state, 2, m=2)
    connection = await follow(server, "gateway")
    server.on_peer_ages(RolloutAges((("m", 2, 6.5),)))
    await follow(server, "gateway", 2, 2, connection)
    assert ages_sent(connection) == {("m", 2): pytest.approx(6.5, abs=0.2)}


async def test_ages_are_not_repeated_for_ever():
    server, state = started_server()
    name_version(state, 2, m=2)
    server.on_peer_ages(RolloutAges((("m", 2, REPEATED_SECONDS),)))
    connection = await follow(server, "gateway")
    assert ages_sent(connection)
    connection.sent.clear()
    await follow(server, "gateway", 2, 2, connection)
    assert not ages_sent(connection)


async def test_other_instances_are_sent_ages_on_connection_and_on_a_new_version():
    """No instance told a restarted one how old a version was."""
    links = Links()
    server, state = started_server(links)
    name_version(state, 2, old=2)
    server.on_peer_ages(RolloutAges((("old", 2, 99.0),)))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        await anyio.sleep(0.05)
        assert ages_sent(links.link.connection).keys() == {("old", 2)}
        name_version(state, 3, old=2, m=2)
        await anyio.sleep(0.05)
        assert ages_sent(links.link.connection).keys() == {("m", 2)}
        tasks.cancel_scope.cancel()


async def test_process_knows_ages_only_of_what_is_named_while_it_runs(tmp_path):
    address = f"127.0.0.1:{free_ports(1)[0]}"

    async def refuse(exchange):
        await exchange.respond(404)

    async def run(act):
        (peer_port,) = free_ports(1)
        settings = {
            "role": "control",
            "instance": "core-1",
            "data_centre": "a",
            "control_bind": address,
            "peers_bind": f"127.0.0.1:{peer_port}",
            "peer_port": peer_port,
            "seeds": [address],
            "data_dir": str(tmp_path),
        }
        stop = anyio.Event()
        control = Control(parse_settings(settings), lambda orders, feed: refuse)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(control.run, stop, stop)
            await anyio.sleep(0.1)
            await act(control)
            connection = await follow(control.feed, "gateway")
            stop.set()
        return connection

    async def name_versions(control):
        await make_order(control, 2)
        await anyio.sleep(0.6)
        await control.orders.set_model_version("n", 3)
        await control.handle_notice(None, RolloutAges((("p", 4, 5.0),)))

    async def replay(control):
        with anyio.fail_after(8.0):
            while control.state.version < 2 or control.feed.current_at < 0:
                await anyio.sleep(0.05)

    # The age of what is in its first state is not known either.
    assert ages_sent(await run(name_versions)).keys() == {("n", 3), ("p", 4)}
    # The sockets of a process that has ended here are closed with its objects.
    gc.collect()
    connection = await run(replay)
    assert connection.sent_of(StateUpdate)
    assert not ages_sent(connection)

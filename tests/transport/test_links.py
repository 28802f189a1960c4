"""Tests of links: shared connections, and peers that don't connect as expected."""

from contextlib import asynccontextmanager

import anyio
import pytest

from banyanshore.transport import Handler, LinkOptions, LinkPool, serve_peers
from banyanshore.transport.activity import HeartbeatTicker

pytestmark = pytest.mark.anyio

NAMES = ("entry-1", "entry-2")


class Side(Handler):
    """An entry that listens and has a link to the other one."""

    def __init__(self, tasks, instance, addresses, prefers_inbound=True):
        self.instance = instance
        self.addresses = addresses
        self.notices = []
        self.accepted = 0
        self.options = LinkOptions(
            0.05, 0.3, reconnect_delay=0.02, ticker=HeartbeatTicker(0.05)
        )
        self.links = LinkPool(
            tasks,
            self,
            instance,
            self.options,
            lambda peer: prefers_inbound and peer < instance,
        )
        tasks.start_soon(self.options.ticker.run)

    async def handle_call(self, connection, body, responder):
        await responder.finish(f"{body} at {self.instance}")

    async def handle_notice(self, connection, body):
        self.notices.append((connection.peer, body))

    async def handle_open(self, connection):
        self.accepted += 1
        self.link(connection.peer).accept(connection)

    def link(self, peer):
        return self.links.get(self.addresses[peer], peer)

    async def listen(self, task_status):
        await serve_peers(
            self.addresses[self.instance],
            self,
            self.instance,
            self.options,
            task_status=task_status,
        )


@asynccontextmanager
async def open_sides(free_ports, prefers_inbound=True):
    addresses = {
        name: f"127.0.0.1:{port}"
        for name, port in zip(NAMES, free_ports(2), strict=True)
    }
    async with anyio.create_task_group() as tasks:
        sides = [Side(tasks, name, addresses, prefers_inbound) for name in NAMES]
        yield tasks, sides
        tasks.cancel_scope.cancel()


@pytest.fixture
def ports():
    from tests.ports import free_ports

    return free_ports


async def wait_until(check):
    with anyio.fail_after(10):
        while not check():
            await anyio.sleep(0.01)


async def test_one_connection_serves_both_directions(ports):
    async with open_sides(ports) as (tasks, (one, two)):
        for side in (one, two):
            await tasks.start(side.listen)
        links = [one.link("entry-2"), two.link("entry-1")]
        replies = []
        for link in links:
            connection = await link.get_connection(5)
            replies.append(await connection.call("hello", 5))
        assert replies == ["hello at entry-2", "hello at entry-1"]
        # Longer than a link that prefers inbound connections waits before it connects.
        await anyio.sleep(1.5)
        assert (one.accepted, two.accepted) == (0, 1)
        assert all(link.is_open and not link.is_failing for link in links)


async def test_link_that_prefers_inbound_connects_if_its_peer_does_not(ports):
    async with open_sides(ports) as (tasks, (one, two)):
        await tasks.start(one.listen)
        connection = await two.link("entry-1").get_connection(5)
        assert await connection.call("hello", 5) == "hello at entry-1"
        # The connection serves entry-1 too, which couldn't have opened it.
        back = await one.link("entry-2").get_connection(5)
        assert await back.call("hello", 5) == "hello at entry-2"


async def test_inbound_connection_replaces_the_outbound_one(ports):
    async with open_sides(ports) as (tasks, (one, two)):
        await tasks.start(one.listen)
        outbound = await two.link("entry-1").get_connection(5)
        await tasks.start(two.listen)
        one.link("entry-2")
        await wait_until(lambda: two.accepted == 1 and not outbound.is_open)
        connection = await two.link("entry-1").get_connection(5)
        assert await connection.call("hello", 5) == "hello at entry-1"
        connection = await one.link("entry-2").get_connection(5)
        assert await connection.call("hello", 5) == "hello at entry-2"


async def test_lost_connection_is_opened_again(ports):
    async with open_sides(ports) as (tasks, (one, two)):
        for side in (one, two):
            await tasks.start(side.listen)
        links = [one.link("entry-2"), two.link("entry-1")]
        for closing in links:
            (await closing.get_connection(5)).close()
            await wait_until(lambda: all(link.is_open for link in links))
            for link in links:
                connection = await link.get_connection(5)
                assert (await connection.call("x", 5)).startswith("x at entry-")

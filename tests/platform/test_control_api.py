"""The calls of operators and targets to control."""

from dataclasses import replace

import anyio
import pytest

from banyanshore.conf.sections import ConsensusSettings
from banyanshore.control.feed import FeedServer
from banyanshore.core.clock import boottime_now
from banyanshore.membership.feed import MemberRow, Registry
from banyanshore.membership.registry import TargetRow
from banyanshore.platform.control_api import ControlApi
from banyanshore.state import StateHolder
from banyanshore.telemetry.control import ControlMetrics
from tests.control.copies import KeptCopies

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

    def __init__(self, age):
        self.arrived_after = boottime_now() - age

    async def read_body(self):
        return b""

    async def respond(self, status, headers=(), body=b""):
        self.status = status


def make_feed():
    member = MemberRow("x", "control", "dc", "r", "10.0.0.1:7700", 1, 1)
    return FeedServer(
        Settings,
        member,
        StateHolder(keep_previous=True),
        Registry(),
        None,
        ControlMetrics(),
        KeptCopies(),
    )


async def remove(feed, age=0.0):
    """Remove the target by a call that may be some seconds old; return the status."""
    removal = Removal(age)
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

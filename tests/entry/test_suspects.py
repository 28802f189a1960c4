"""Entries that start or come back into contact learn which requests crash targets."""

from types import SimpleNamespace

import msgpack
import pytest

from banyanshore.conf.sections import EntryPeer
from banyanshore.entry.suspects import REPEAT_SECONDS, SuspectExchange
from banyanshore.membership.entries import EntryTable, Newcomers
from banyanshore.membership.messages import EntryDigest, SuspectUpdate
from banyanshore.routing.quarantine import Quarantine, Verdict
from banyanshore.state import Fence
from banyanshore.transport.codec import decode, encode

pytestmark = pytest.mark.anyio

EXPIRY = 3.0
PEERS = [
    EntryPeer(instance=name, data_centre=name[0], address=name)
    for name in ("a-1", "a-2", "b-1", "b-2")
]


class FakeEntry:
    """An entry whose notices are delivered at once.

    :param fleet: all entries by instance.
    """

    def __init__(self, fleet, own, incarnation):
        self.incarnation = incarnation
        self.quarantine = Quarantine()
        self.table = EntryTable(own, PEERS, EXPIRY)
        self.sent = 0
        self._fleet = fleet
        self._own = own
        settings = SimpleNamespace(instance=own.instance, data_centre=own.data_centre)
        self.exchange = SuspectExchange(settings, self.table, self, self.quarantine)

    def is_sibling(self, instance):
        return instance[0] == self._own.data_centre

    async def notify(self, instance, update):
        self.sent += 1
        if instance in self._fleet:
            update = decode(encode(update))
            self._fleet[instance].quarantine.record_update(self._fleet.now, update)

    async def notify_data_centre(self, now, data_centre, update):
        for instance in self.table.contacts_in(now, data_centre):
            await self.notify(instance, update)


class FakeFleet(dict):
    """Entries by instance that receive the digests of the others each second."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self._incarnation = 0
        for peer in PEERS:
            self.start(peer.instance)

    def start(self, instance):
        self._incarnation += 1
        own = next(peer for peer in PEERS if peer.instance == instance)
        self[instance] = FakeEntry(self, own, self._incarnation)

    async def run(self, seconds):
        for _ in range(seconds):
            self.now += 1.0
            for entry in self.values():
                for name, other in self.items():
                    digest = EntryDigest(
                        name, name[0], other.incarnation, int(self.now), 1,
                        Fence(1, 1), "", 1, False, (),
                    )  # fmt: skip
                    entry.table.record(self.now, digest)
            for entry in list(self.values()):
                await entry.exchange.repeat(self.now)

    def verdicts(self, fingerprint):
        return [
            entry.quarantine.verdict(self.now, fingerprint) for entry in self.values()
        ]

    def crash_everywhere(self, crash_id, fingerprints):
        for entry in self.values():
            entry.quarantine.record_crash(self.now, crash_id, fingerprints)


@pytest.mark.parametrize("instances", [["a-1"], ["b-2"], ["a-1", "a-2"]])
async def test_entry_that_starts_later_knows_of_earlier_crashes(instances):
    """Updates on crashes were sent once, to the entries that ran then."""
    fleet = FakeFleet()
    await fleet.run(10)
    fleet.crash_everywhere("c1", (b"p", b"x"))
    fleet.crash_everywhere("c2", (b"p",))
    fleet.crash_everywhere("c3", (b"y",))
    for instance in instances:
        fleet.start(instance)
    await fleet.run(3)
    assert fleet.verdicts(b"p") == [Verdict.QUARANTINED] * 4
    # One crash short of it.
    for fingerprint in (b"x", b"y"):
        assert fleet.verdicts(fingerprint) == [Verdict.EXCLUSIVE] * 4


async def test_entry_that_was_out_of_contact_learns_of_crashes_meanwhile():
    fleet = FakeFleet()
    await fleet.run(10)
    entry = fleet.pop("a-1")
    fleet.crash_everywhere("c1", (b"p",))
    fleet.crash_everywhere("c2", (b"p",))
    await fleet.run(10)
    fleet["a-1"] = entry
    await fleet.run(3)
    assert fleet.verdicts(b"p") == [Verdict.QUARANTINED] * 4


async def test_updates_are_repeated_only_to_newcomers():
    fleet = FakeFleet()
    await fleet.run(10)
    fleet.crash_everywhere("c1", (b"p",))
    await fleet.run(20)
    assert not any(entry.sent for entry in fleet.values())
    fleet.start("a-1")
    await fleet.run(20)
    sent = sum(entry.sent for entry in fleet.values())
    await fleet.run(20)
    assert sum(entry.sent for entry in fleet.values()) == sent
    assert sent


async def test_cleared_and_expired_requests_are_not_suspected_again():
    fleet = FakeFleet()
    await fleet.run(10)
    fleet.crash_everywhere("c1", (b"x",))
    fleet.crash_everywhere("c2", (b"y",))
    # The others missed that it was cleared here.
    fleet["a-2"].quarantine.record_complete_run(fleet.now, b"x")
    fleet.now += 880.0
    fleet.start("a-1")
    fleet["a-2"].incarnation = 9
    await fleet.run(5)
    assert fleet["a-2"].quarantine.verdict(fleet.now, b"x") is Verdict.FREE
    assert fleet["a-1"].quarantine.verdict(fleet.now, b"y") is Verdict.EXCLUSIVE
    await fleet.run(20)
    assert fleet.verdicts(b"y") == [Verdict.FREE] * 4


def test_newcomers_are_those_that_started_or_were_silent():
    table, newcomers = EntryTable(PEERS[0], PEERS, EXPIRY), Newcomers(REPEAT_SECONDS)

    def see(now, instance, incarnation):
        table.record(
            now,
            EntryDigest(
                instance, instance[0], incarnation, int(now), 1, Fence(1, 1), "", 1,
                False, (),
            ),
        )  # fmt: skip
        return newcomers.find(now, table)

    assert see(1.0, "a-2", 1) == ["a-2"]
    assert see(2.0, "b-1", 1) == ["a-2", "b-1"]
    # It has been silent for longer than the expiry, and then comes back.
    assert see(5.0, "b-1", 1) == ["b-1"]
    assert see(6.0, "a-2", 1) == ["a-2", "b-1"]
    assert see(2.0 + REPEAT_SECONDS, "b-1", 1) == ["a-2"]
    # It has started again.
    assert see(6.0 + REPEAT_SECONDS, "a-2", 1) == []
    assert see(7.0 + REPEAT_SECONDS, "a-2", 2) == ["a-2"]


def test_updates_of_earlier_builds_are_read():
    """They have no age."""
    fields = b"p", ("c1",), False
    data = msgpack.packb(msgpack.ExtType(68, encode(fields)))
    assert decode(data) == SuspectUpdate(*fields)

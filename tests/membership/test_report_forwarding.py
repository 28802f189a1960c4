"""Reports forwarded between entries: only changes, and recovery of lost batches."""

import random
from dataclasses import replace

import pytest

from banyanshore.membership.messages import AgentReport, TargetStatus
from banyanshore.membership.report_forwarding import ReportReceiver, ReportSender
from banyanshore.membership.targets import TargetTable
from banyanshore.transport import encode

EXPIRY = 3.0


def make_report(number, sequence, in_flight=0, status=TargetStatus.SERVING):
    name = f"target-{number}"
    return AgentReport(
        name, "a", "north", "assistant", f"127.0.0.1:{7000 + number}", 1, sequence,
        status, "m", "v1", 8, in_flight, "v1", 1, 0.5,
    )  # fmt: skip


class Pair:
    """A sender and a receiver; the test chooses which messages are lost."""

    def __init__(self):
        self.sender = ReportSender("entry-1", EXPIRY)
        self.targets = TargetTable(EXPIRY)
        self.receiver = ReportReceiver(self.targets)
        self.bytes_sent = 0

    def record(self, now, report, is_lost=False):
        if self.sender.record(now, report):
            batch = self.sender.build_urgent(report)
            if not is_lost:
                self.receiver.receive(now, batch)

    def tick(self, now, is_lost=False):
        batch = self.sender.build_batch(now)
        self.bytes_sent = len(encode(batch))
        if not is_lost and not self.receiver.receive(now, batch):
            self.sender.request_complete_batch()
        return batch

    def serving(self, now):
        rows = self.targets.iter_serving(now, "assistant")
        return sorted(row.report.instance for row in rows)


def test_unchanged_targets_stay_live_by_a_digest_alone():
    pair = Pair()
    for tick in range(10):
        for number in range(6):
            pair.record(tick, make_report(number, 1 + tick))
        batch = pair.tick(tick)
    assert (batch.reports, batch.loads) == ((), ())
    assert len(pair.serving(9)) == 6
    assert pair.bytes_sent < 40


def test_change_of_status_does_not_wait_for_the_batch():
    pair = Pair()
    pair.record(0, make_report(0, 1))
    pair.tick(0)
    pair.record(0.1, make_report(0, 2, status=TargetStatus.LEAVING))
    assert pair.serving(0.1) == []


def test_other_changes_of_a_report_wait_for_the_batch():
    # A new state version at every agent must not cost one message per agent.
    pair = Pair()
    pair.record(0, make_report(0, 1))
    pair.tick(0)
    newer = replace(make_report(0, 2), state_version=2)
    assert not pair.sender.record(0.5, newer)
    assert pair.tick(1).reports == (newer,)
    assert pair.targets.by_instance["target-0"].report == newer


def test_load_change_is_sent_without_the_full_report():
    pair = Pair()
    pair.record(0, make_report(0, 1))
    pair.tick(0)
    pair.record(1, make_report(0, 2, in_flight=5))
    batch = pair.tick(1)
    assert batch.reports == ()
    assert pair.targets.by_instance["target-0"].report == make_report(0, 2, 5)


@pytest.mark.parametrize("lost", ["urgent", "batch"])
def test_lost_report_is_recovered_within_two_batches(lost):
    pair = Pair()
    pair.record(0, make_report(0, 1))
    pair.tick(0)
    pair.record(1, make_report(1, 1), is_lost=lost == "urgent")
    pair.record(1, make_report(0, 2, in_flight=7))
    pair.tick(1, is_lost=lost == "batch")
    pair.record(2, make_report(0, 3, in_flight=7))
    pair.record(2, make_report(1, 2))
    pair.tick(2)
    pair.tick(2.5)
    assert pair.serving(2.5) == ["target-0", "target-1"]
    assert pair.targets.by_instance["target-0"].report.in_flight == 7


def test_silent_target_expires_at_the_receiver_too():
    pair = Pair()
    pair.record(0, make_report(0, 1))
    pair.record(0, make_report(1, 1))
    for tick in range(8):
        pair.record(tick, make_report(1, 2 + tick))
        pair.tick(tick)
    assert pair.serving(7) == ["target-1"]


@pytest.mark.parametrize("seed", range(30))
def test_receiver_converges_after_random_losses(seed):
    rng = random.Random(seed)
    pair = Pair()
    sequences = dict.fromkeys(range(5), 0)
    statuses = [TargetStatus.SERVING, TargetStatus.LOADING]
    for tick in range(60):
        lossy = tick < 50
        for number in sequences:
            if lossy and rng.random() < 0.2:
                continue
            sequences[number] += 1
            status = rng.choice(statuses) if lossy else TargetStatus.SERVING
            load = rng.randrange(8) if lossy else number
            report = make_report(number, sequences[number], load, status)
            pair.record(tick, report, is_lost=lossy and rng.random() < 0.3)
        pair.tick(tick, is_lost=lossy and rng.random() < 0.3)
    assert len(pair.serving(59)) == 5
    for number in sequences:
        report = pair.targets.by_instance[f"target-{number}"].report
        assert (report.in_flight, report.status) == (number, TargetStatus.SERVING)


def test_complete_batch_of_a_restarted_sender_replaces_known_reports():
    pair = Pair()
    for number in range(3):
        pair.record(0, make_report(number, 1))
    pair.tick(0)
    pair.sender = ReportSender("entry-1", EXPIRY)
    pair.record(1, make_report(0, 2))
    assert pair.tick(1).is_complete
    assert pair.tick(2).reports == ()
    assert pair.receiver.receive(2, pair.sender.build_batch(2))

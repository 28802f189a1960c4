"""Bugs injected into the core are detected, which proves that the checks can fail."""

import pytest

from banyanshore.consensus.log_clock import LogClock
from banyanshore.consensus.raft import Raft
from banyanshore.consensus.types import FinishedRead
from banyanshore.state import ClaimOutcome, ClaimStatus
from banyanshore.state.claims import ClaimTable
from tests.consensus.cluster import Faults
from tests.consensus.test_schedules import run_schedule

# Seeds of the schedules, at least one of which must detect an injected bug.
SEEDS = range(100)


def is_detected(faults):
    for seed in SEEDS:
        try:
            run_schedule(seed, 3, faults)
        except AssertionError:
            return True
    return False


class VotesTwice(Raft):
    def _may_vote(self, now, request):
        self.voted_for = ""
        return super()._may_vote(now, request)


class CommitsAlone(Raft):
    def _advance_commit(self):
        self.commit_index = max(self.commit_index, self._durable_index)


class VotesForShortLogs(Raft):
    def _may_vote(self, now, request):
        log, self.log = self.log, type(self.log)()
        try:
            return super()._may_vote(now, request)
        finally:
            self.log = log


class ReadsWithoutQuorum(Raft):
    def has_lease(self, now):
        return self.is_leader

    def read(self, now, context):
        if self.is_leader:
            self._reads.append(FinishedRead(context, self.commit_index))


class WallClock(LogClock):
    def read(self, now, term, applied):
        return now


@pytest.mark.parametrize(
    "faults",
    [
        Faults(log_clock_class=WallClock),
        Faults(skip_sync=True),
        Faults(same_disk_identity=True),
        Faults(raft_class=VotesTwice),
        Faults(raft_class=CommitsAlone),
        Faults(raft_class=VotesForShortLogs),
        Faults(raft_class=ReadsWithoutQuorum),
    ],
    ids=lambda faults: (
        "skip_sync"
        if faults.skip_sync
        else "same_disk_identity"
        if faults.same_disk_identity
        else f"{faults.raft_class.__name__}-{faults.log_clock_class.__name__}"
    ),
)
def test_injected_bug_is_detected(faults):
    assert is_detected(faults)


def test_claim_that_is_always_granted_is_detected(monkeypatch):
    def grant(self, index, command, now):
        return ClaimOutcome(ClaimStatus.GRANTED, index)

    monkeypatch.setattr(ClaimTable, "claim", grant)
    assert is_detected(Faults())

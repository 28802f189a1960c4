"""Targets that announce in their answers that they leave, or ask for a pause."""

import math
import random
from dataclasses import replace

import pytest

from banyanshore.membership.registry import TargetRow
from banyanshore.routing.notices import PauseReason, TargetNotice, TargetNotices

ROW = TargetRow("i-1", "s", "10.0.0.1:1", "dc", "v", 4, "ready", 0.0, 7, 3)
OTHER = replace(ROW, id="i-2", address="10.0.0.2:1")
LEAVING = TargetNotice(is_leaving=True)


def asking(seconds):
    return TargetNotice(pause_seconds=seconds)


def test_leaving_target_is_paused_for_good():
    notices = TargetNotices()
    assert notices.record(1.0, ROW, LEAVING) is PauseReason.LEAVING
    assert notices.record(2.0, ROW, LEAVING) is None
    assert notices.record(2.0, ROW, asking(0.5)) is None
    assert not notices.accepts_requests(1e6, ROW)
    assert notices.accepts_requests(2.0, OTHER)


def test_pause_survives_heartbeats_but_not_a_restart():
    notices = TargetNotices()
    notices.record(1.0, ROW, LEAVING)
    assert not notices.accepts_requests(2.0, replace(ROW, sequence=2))
    assert not notices.accepts_requests(2.0, replace(ROW, sequence=9, state="draining"))
    assert notices.accepts_requests(2.0, replace(ROW, incarnation=8))
    assert notices.accepts_requests(2.0, replace(ROW, id="i-9", incarnation=8))


def test_pause_is_kept_for_a_while_after_the_row_is_gone():
    notices = TargetNotices()
    notices.record(1.0, ROW, LEAVING)
    notices.keep_only(100.0, [OTHER])
    assert not notices.accepts_requests(100.0, ROW)
    notices.keep_only(200.0, [OTHER])
    assert notices.accepts_requests(200.0, ROW)


def test_latest_end_of_several_pauses_applies():
    notices = TargetNotices()
    assert notices.record(1.0, ROW, asking(5.0)) is PauseReason.PAUSE_REQUESTED
    assert notices.record(2.0, ROW, asking(1.0)) is None
    assert notices.paused_until(ROW) == 6.0
    assert notices.record(3.0, ROW, asking(4.0)) is None
    assert notices.paused_until(ROW) == 7.0
    assert notices.record(7.5, ROW, asking(1.0)) is PauseReason.PAUSE_REQUESTED


def test_pause_is_bounded():
    notices = TargetNotices(60.0)
    notices.record(1.0, ROW, asking(1e9))
    assert notices.paused_until(ROW) == 61.0


def test_first_pause_end_is_that_of_the_earliest_target():
    notices = TargetNotices()
    notices.record(1.0, ROW, LEAVING)
    assert notices.first_pause_end([ROW]) == math.inf
    notices.record(1.0, OTHER, asking(2.0))
    assert notices.first_pause_end([ROW, OTHER]) == 3.0


@pytest.mark.parametrize("seed", range(30))
def test_pauses_hold_for_any_order_of_notices_and_restarts(seed):
    """Compares the pauses with a list of all notices, sent in random order."""
    rng = random.Random(seed)
    notices, recorded, now = TargetNotices(), [], 0.0
    rows = [
        replace(ROW, id=f"i-{number}", incarnation=start)
        for number in range(3)
        for start in (1, 2)
    ]
    for _ in range(300):
        now += rng.random()
        row = rng.choice(rows)
        notice = rng.choice([TargetNotice(), asking(rng.uniform(0, 5)), LEAVING])
        if notice.is_leaving and rng.random() < 0.9:
            continue
        notices.record(now, row, notice)
        until = math.inf if notice.is_leaving else now + notice.pause_seconds
        recorded.append((row, until))
        for known in rows:
            ends = [end for paused_row, end in recorded if paused_row == known]
            assert notices.accepts_requests(now, known) == all(
                end <= now for end in ends
            )
        notices.keep_only(now, rows)

"""Who is asked to stop when callers exceed the account of a process."""

import random

import pytest

from banyanshore.core.byte_account import (
    CONNECTION_BYTES,
    LARGE_BYTES,
    STALLED_SECONDS,
    ByteAccount,
    Stage,
)

BUDGET = 10_000_000
BODY = 1_000_000
NOW = 100.0
LONG_AGO = NOW - 2 * STALLED_SECONDS


def open_share(account, size=0, at=NOW, stage=Stage.READING):
    """Return the share of a caller that took bytes at a time."""
    share = account.open(at)
    share.holder = object()
    share.stage = stage
    account.hold(share, size, at)
    return share


def test_nobody_is_stopped_within_the_budget():
    account = ByteAccount(BUDGET, 100)
    for _ in range(5):
        open_share(account, BODY, LONG_AGO)
    assert not account.is_over
    assert account.choose(NOW) == []


def test_the_largest_that_stands_still_is_stopped_first():
    account = ByteAccount(BUDGET, 100)
    open_share(account, BODY, LONG_AGO)
    largest = open_share(account, 2 * BODY, LONG_AGO)
    open_share(account, 5 * BODY)
    assert account.choose(NOW) == [largest]


def test_the_largest_is_stopped_if_all_make_progress():
    account = ByteAccount(BUDGET, 100)
    largest = open_share(account, 3 * BODY)
    for _ in range(5):
        open_share(account, BODY)
    assert account.choose(NOW) == [largest]


def test_small_requests_have_room_beside_large_ones():
    """Large bodies took all, and whoever came next was refused."""
    account = ByteAccount(BUDGET, 1000)
    for _ in range(7):
        open_share(account, BODY, stage=Stage.RUNNING)
    small = [open_share(account, 10_000) for _ in range(50)]
    assert not account.is_over
    assert not any(share.is_stopped for share in small)


def test_a_large_body_is_stopped_rather_than_small_ones():
    account = ByteAccount(BUDGET, 1000)
    for _ in range(7):
        open_share(account, BODY, stage=Stage.RUNNING)
    small = open_share(account, 10_000, LONG_AGO)
    large = open_share(account, BODY)
    assert account.choose(NOW) == [large]
    assert not small.is_stopped


def test_requests_that_run_are_never_stopped():
    account = ByteAccount(BUDGET, 100)
    for _ in range(20):
        open_share(account, BODY, LONG_AGO, Stage.RUNNING)
    assert account.is_over
    assert account.choose(NOW) == []


def test_a_running_request_is_stopped_if_its_answer_is_left_unread():
    account = ByteAccount(BUDGET, 100)
    for _ in range(8):
        open_share(account, BODY, LONG_AGO, Stage.RUNNING)
    unread = open_share(account, 0, LONG_AGO, Stage.RUNNING)
    account.record_buffered(unread, 4 * BODY, LONG_AGO, unsent=4 * BODY)
    assert account.choose(NOW) == [unread]
    # What the system still has of the answer is dropped.
    assert unread.stage is Stage.SENDING


def test_bytes_that_were_written_are_looked_at_while_a_connection_idles():
    account = ByteAccount(BUDGET, 100)
    share = open_share(account, 0, NOW, Stage.IDLE)
    assert not account.needs_look(share)
    share.unseen = 1
    assert account.needs_look(share)
    account.record_buffered(share, BODY, NOW, unsent=BODY)
    assert account.needs_look(share)
    account.record_buffered(share, 0, NOW)
    assert not account.needs_look(share)


def test_bytes_in_buffers_that_change_are_progress():
    account = ByteAccount(BUDGET, 100)
    stuck = open_share(account, 0, LONG_AGO, Stage.SENDING)
    reading = open_share(account, 0, LONG_AGO, Stage.SENDING)
    account.record_buffered(stuck, 4 * BODY, LONG_AGO)
    account.record_buffered(reading, 5 * BODY, LONG_AGO)
    account.record_buffered(stuck, 4 * BODY, NOW)
    account.record_buffered(reading, 4 * BODY + 1, NOW)
    assert account.choose(NOW) == [stuck]


def test_a_connection_without_a_request_makes_way_for_another():
    account = ByteAccount(BUDGET, 3)
    open_share(account, 10, LONG_AGO)
    open_share(account, 0, NOW, Stage.IDLE)
    oldest = open_share(account, 0, NOW - 1, Stage.IDLE)
    assert account.needs_descriptor
    assert account.choose_connection() is oldest
    assert not account.needs_descriptor
    # Its descriptor is free only once it has ended.
    assert account.is_full
    account.close(oldest)
    assert not account.is_full


def test_a_share_counts_again_once_its_connection_goes_on():
    account = ByteAccount(BUDGET, 100)
    share = open_share(account, 9 * BODY, LONG_AGO)
    assert account.choose(NOW) == [share]
    assert account.total == 0
    account.hold(share, 0, NOW)
    account.resume(share, Stage.LINGERING)
    assert account.total == CONNECTION_BYTES


@pytest.mark.parametrize("seed", range(50))
def test_schedules_of_callers_keep_the_budget(seed):
    """What counts stays within the budget, and the sums match the shares."""
    rng = random.Random(seed)
    account = ByteAccount(BUDGET, 50)
    shares, now = [], 0.0
    for _ in range(2000):
        now += rng.uniform(0.0, 0.2)
        act = rng.random()
        if account.needs_descriptor:
            chosen = account.choose_connection()
            account.close(chosen)
            shares.remove(chosen)
        if act < 0.2 or not shares:
            shares.append(open_share(account, 0, now, rng.choice(list(Stage)[:2])))
        elif act < 0.3:
            account.close(shares.pop(rng.randrange(len(shares))))
        elif act < 0.8:
            share = rng.choice(shares)
            size = rng.choice([10, LARGE_BYTES, BODY, 4 * BODY])
            account.hold(share, size, now)
        else:
            account.record_buffered(rng.choice(shares), rng.randrange(BODY), now)
        chosen = account.choose(now)
        assert not account.is_over
        for share in chosen:
            if rng.random() < 0.5:
                account.hold(share, 0, now)
                account.resume(share, Stage.LINGERING)
            else:
                account.close(share)
                shares.remove(share)
        counted = [share.size for share in shares if not share.is_stopped]
        assert account.total == sum(counted)
        assert len(shares) <= 50

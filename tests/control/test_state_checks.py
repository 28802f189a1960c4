"""Confirmations of the state for many followers together."""

import math

import anyio
import pytest

from banyanshore.control.state_checks import (
    CHECK_INTERVAL,
    CHECK_TIMEOUT,
    MAX_CHECK_AGE,
    StateChecks,
)
from banyanshore.core.clock import boottime_now
from banyanshore.core.exceptions import UnavailableError
from banyanshore.membership.lease import ConfirmationStatus, StateLease

pytestmark = pytest.mark.anyio


class Quorum:
    """Answer reads of the latest version, or fail to."""

    def __init__(self):
        self.version = 7
        self.reads = 0
        self.stuck_reads = 0
        self.is_lost = False

    async def read_version(self, timeout):
        self.reads += 1
        if self.reads <= self.stuck_reads:
            await anyio.sleep(timeout)
        await anyio.sleep(0.01)
        if self.is_lost or self.reads <= self.stuck_reads:
            raise UnavailableError("no quorum answers")
        return self.version


class Running:
    """Checks that run for the length of a block."""

    def __init__(self, quorum):
        self.current_at = []
        self.checks = StateChecks(quorum.read_version, self.current_at.append)

    async def __aenter__(self):
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        self._tasks.start_soon(self.checks.run)
        return self.checks

    async def __aexit__(self, *details):
        self._tasks.cancel_scope.cancel()
        await self._tasks.__aexit__(*details)


async def test_reads_do_not_grow_with_the_followers():
    """Each of 75 followers had the leader ask all voters once a second."""
    quorum = Quorum()
    answers = []

    async def ask():
        answers.append(await running.wait_for_check())

    async with Running(quorum) as running, anyio.create_task_group() as tasks:
        for _ in range(200):
            tasks.start_soon(ask)
    assert [version for version, _ in answers] == [7] * 200
    assert quorum.reads <= 3


async def test_confirmation_is_no_newer_than_the_read_behind_it():
    """A lease counts from the time at which the state was known to be current."""
    quorum = Quorum()
    running = Running(quorum)
    async with running as checks:
        for _ in range(8):
            sent_at = boottime_now()
            version, age = await checks.wait_for_check()
            assert 0 <= age <= MAX_CHECK_AGE
            lease = StateLease()
            status = lease.record_answer(sent_at - age, 7, version, True)
            assert status is ConfirmationStatus.CURRENT
            known_at = max(running.current_at)
            assert lease.confirmed_at <= known_at + 0.001
            await anyio.sleep(0.07)


async def test_lost_quorum_is_reported_in_time():
    quorum = Quorum()
    async with Running(quorum) as checks:
        await checks.wait_for_check()
        quorum.is_lost = True
        await anyio.sleep(MAX_CHECK_AGE + CHECK_INTERVAL)
        started_at = boottime_now()
        with pytest.raises(UnavailableError):
            await checks.wait_for_check()
        assert boottime_now() - started_at < CHECK_TIMEOUT + 0.15
        quorum.is_lost = False
        assert (await checks.wait_for_check())[0] == 7


async def test_reads_without_an_answer_do_not_hold_up_the_next_ones():
    quorum = Quorum()
    quorum.stuck_reads = 2
    async with Running(quorum) as checks:
        started_at = boottime_now()
        await checks.wait_for_check()
        assert boottime_now() - started_at < CHECK_TIMEOUT


async def test_process_that_stood_still_does_not_confirm_by_an_earlier_read():
    quorum = Quorum()
    async with Running(quorum) as checks:
        await checks.wait_for_check()
        quorum.version = 8
        # As after a freeze of some seconds.
        checks._asked_at -= 5.0
        version, age = await checks.wait_for_check()
        assert version == 8
        assert age <= MAX_CHECK_AGE
    assert not math.isinf(age)

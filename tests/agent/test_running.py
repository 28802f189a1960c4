"""Test that replies are kept for readers in bounded memory."""

import anyio
import pytest

from banyanshore.agent.running import (
    MAX_KEPT_BYTES,
    MAX_UNSENT_BYTES,
    RunningRequest,
)
from banyanshore.routing.messages import Data, Started

pytestmark = pytest.mark.anyio

PIECE = Data(b"x" * 64 * 1024)


def kept_bytes(request):
    return sum(len(r.body) for r in request.replies if isinstance(r, Data))


async def test_reading_from_the_target_pauses_while_the_reader_lags():
    request = RunningRequest(None, 0.0)
    request.begin_reading()
    request.add(Started(200, (), "", "", "agent-1"))
    added = 0

    async def read_target():
        nonlocal added
        for _ in range(1000):
            request.add(PIECE)
            added += 1
            await request.wait_for_reader()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read_target)
        await anyio.wait_all_tasks_blocked()
        assert added * len(PIECE.body) <= MAX_UNSENT_BYTES + len(PIECE.body)
        position = 0
        while added < 1000 or position < len(request.replies):
            position = min(position + 10, len(request.replies))
            request.record_sent(position)
            await anyio.wait_all_tasks_blocked()
            assert kept_bytes(request) <= MAX_KEPT_BYTES + MAX_UNSENT_BYTES
    assert added == 1000
    # The start, and the last replies for a reader that reconnects, are kept.
    assert isinstance(request.replies[0], Started)
    assert request.replies[-1] == PIECE


async def test_reading_from_the_target_continues_without_readers():
    request = RunningRequest(None, 0.0)
    request.begin_reading()

    async def read_target():
        for _ in range(200):
            request.add(PIECE)
            await request.wait_for_reader()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read_target)
        await anyio.wait_all_tasks_blocked()
        assert len(request.replies) < 200
        # The connection of the only reader is lost.
        request.end_reading(1.0)
    assert len(request.replies) == 200


async def test_small_answers_are_kept_completely():
    request = RunningRequest(None, 0.0)
    for _ in range(50):
        request.add(PIECE)
        request.record_sent(len(request.replies))
    assert None not in request.replies

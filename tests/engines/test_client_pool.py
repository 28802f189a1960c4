"""Tests of the client pool, which limits the requests of each HTTP client."""

from contextlib import AsyncExitStack

import pytest

from banyanshore.conf.sections import EngineSettings
from banyanshore.engines.http import CONNECTIONS_PER_CLIENT, ClientPool

pytestmark = pytest.mark.anyio

SETTINGS = EngineSettings(url="http://127.0.0.1:1")


async def test_requests_are_spread_evenly():
    pool = ClientPool(SETTINGS, 200)
    async with AsyncExitStack() as stack:
        for _ in range(200):
            await stack.enter_async_context(pool.acquire())
        assert max(pool.in_use) <= CONNECTIONS_PER_CLIENT
        assert sum(pool.in_use) == 200
    assert sum(pool.in_use) == 0
    await pool.aclose()


async def test_client_is_released_after_a_failed_request():
    pool = ClientPool(SETTINGS, 8)
    with pytest.raises(ValueError, match="broken"):
        async with pool.acquire():
            raise ValueError("broken")
    assert pool.in_use == [0]
    await pool.aclose()

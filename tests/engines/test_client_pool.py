"""HTTP clients of a target: no client is given more than a few requests."""

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
            await stack.enter_async_context(pool.use())
        assert max(pool.in_use) <= CONNECTIONS_PER_CLIENT
        assert sum(pool.in_use) == 200
    assert sum(pool.in_use) == 0
    await pool.aclose()


async def test_client_of_a_failed_request_is_given_back():
    pool = ClientPool(SETTINGS, 8)
    with pytest.raises(ValueError, match="broken"):
        async with pool.use():
            raise ValueError("broken")
    assert pool.in_use == [0]
    await pool.aclose()

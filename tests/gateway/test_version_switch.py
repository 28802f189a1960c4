"""Requests while a model's weights are changed."""

import pytest

from tests.gateway.deployment import WHOLE, Target, ask, gateway_before, make_request

pytestmark = pytest.mark.anyio


async def test_plain_service_is_asked_whatever_weights_are_named():
    """A target without weights was taken for one with weights that are too old."""
    async with gateway_before(Target(WHOLE)) as (gateway, address):
        gateway.versions.oldest_allowed = lambda now, model: 2
        assert (await ask(address, make_request(model="m")))[0] == 200

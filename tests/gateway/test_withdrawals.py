"""Offers that wait at targets with older weights, and when they are withdrawn."""

import math

import anyio
import pytest

from banyanshore.gateway.withdrawals import Withdrawals
from banyanshore.routing.withdrawal import WithdrawalRule
from tests.gateway.deployment import COMPLETE, Target, running_gateway

pytestmark = pytest.mark.anyio

RULE = WithdrawalRule(7.2, 8.0)


async def test_age_that_is_corrected_withdraws_offers_that_wait_already():
    ages = [-math.inf]
    withdrawals = Withdrawals(RULE, lambda model, version: ages[0])
    offer = withdrawals.begin("m", 1, 0.1)
    assert offer.scope.deadline == math.inf
    ages[0] = 7.0
    withdrawals.reschedule()
    assert 0.2 <= offer.scope.deadline - anyio.current_time() <= 0.6
    ages[0] = 7.9
    withdrawals.reschedule()
    assert offer.scope.deadline <= anyio.current_time()


async def test_offers_that_have_ended_are_forgotten():
    withdrawals = Withdrawals(RULE, lambda model, version: 1.0)
    offer = withdrawals.begin("m", 1, 0.1)
    deadline = offer.scope.deadline
    withdrawals.end(offer)
    withdrawals.reschedule()
    assert offer.scope.deadline == deadline
    assert not withdrawals._waiting


async def test_gateway_reschedules_withdrawals_when_the_time_of_a_version_changes():
    """Timers stand still during a suspension, and ages are corrected afterwards."""
    async with running_gateway(Target(COMPLETE)) as (gateway, _):
        offer = gateway.withdrawals.begin("m", 1, 0.1)
        for change in (gateway.feed.on_ages, gateway.feed.on_confirmed):
            offer.scope.deadline = math.inf
            arguments = [{("m", 2): 7.9}] if change is gateway.feed.on_ages else []
            for callback in change:
                callback(*arguments)
            assert offer.scope.deadline < math.inf
        gateway.withdrawals.end(offer)

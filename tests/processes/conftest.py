"""Fixtures that run a deployment of separate processes for a test or a module."""

import pytest

from tests.deployment import Deployment, initial_patch

DATA_CENTRES = {"antwerpen-a": "north", "liege-a": "south", "brussel-a": "centre"}
ENTRIES = [*DATA_CENTRES, "antwerpen-a", "liege-a"]


def start_deployment(**options):
    """Return a running deployment with an initial declaration."""
    deployment = Deployment(DATA_CENTRES, ENTRIES, {0, 1, 2}, **options)
    try:
        deployment.start_origin()
        deployment.start_entries()
        for number, data_centre in enumerate(DATA_CENTRES):
            deployment.start_agent(f"assistant-{number}", data_centre, "assistant")
            deployment.start_agent(f"orders-{number}", data_centre, "orders", "plain")
        deployment.wait_for_leader()
        version = deployment.patch(initial_patch(deployment))
        deployment.wait_in_force(version, 20)
        deployment.wait_for_targets("assistant", len(DATA_CENTRES))
        deployment.wait_for_targets("orders", len(DATA_CENTRES))
    except BaseException:
        deployment.close()
        raise
    return deployment


@pytest.fixture
def deployment():
    with start_deployment() as running:
        yield running


@pytest.fixture(scope="module")
def shared_deployment():
    with start_deployment() as running:
        yield running

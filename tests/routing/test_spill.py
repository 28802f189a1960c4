"""Selection of another data centre: by room, and by probes if digests report none."""

import random

import pytest

from banyanshore.routing.spill import MAX_PROBE_SECONDS, SpareCapacity, SpillChooser

FULL = [SpareCapacity("liege-a", 0), SpareCapacity("brussel-a", -1)]


@pytest.fixture
def chooser():
    return SpillChooser(random.Random(1))


def test_data_centres_are_chosen_in_proportion_to_their_spare_capacity(chooser):
    candidates = [
        SpareCapacity("liege-a", 9),
        SpareCapacity("brussel-a", 1),
        SpareCapacity("antwerpen-a", 0),
    ]
    chosen = [chooser.choose(0.0, "assistant", candidates) for _ in range(1000)]
    assert 850 <= chosen.count("liege-a") <= 950
    assert "antwerpen-a" not in chosen


def test_full_data_centres_are_probed_one_call_at_a_time(chooser):
    assert chooser.choose(0.0, "assistant", FULL) is not None
    assert chooser.choose(0.1, "assistant", FULL) is None
    # Each service has its own probes.
    assert chooser.choose(0.1, "orders", FULL) is not None


def test_probes_go_to_the_least_recently_probed_data_centre(chooser):
    first = chooser.choose(0.0, "assistant", FULL)
    second = chooser.choose(0.3, "assistant", FULL)
    assert {first, second} == {"liege-a", "brussel-a"}


def test_probes_back_off_until_a_call_is_served(chooser):
    probes = [
        step * 0.05
        for step in range(2400)
        if chooser.choose(step * 0.05, "assistant", FULL) is not None
    ]
    # Two minutes of overload: exponential backoff, then one probe per longest interval.
    assert len(probes) <= 5 + 120 / MAX_PROBE_SECONDS
    chooser.record_served("assistant")
    assert chooser.choose(120.0, "assistant", FULL) is not None
    assert chooser.choose(120.3, "assistant", FULL) is not None


def test_nothing_is_probed_without_targets(chooser):
    assert chooser.choose(0.0, "assistant", []) is None

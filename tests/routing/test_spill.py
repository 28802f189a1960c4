"""Choice of another data centre: by room, and by tries where digests say full."""

import random

import pytest

from banyanshore.routing.spill import MAX_PROBE_SECONDS, Room, SpillChooser

FULL = [Room("liege-a", 0), Room("brussel-a", -1)]


@pytest.fixture
def chooser():
    return SpillChooser(random.Random(1))


def test_data_centre_with_room_is_chosen_by_how_much_it_has(chooser):
    rooms = [Room("liege-a", 9), Room("brussel-a", 1), Room("antwerpen-a", 0)]
    chosen = [chooser.choose(0.0, "assistant", rooms) for _ in range(1000)]
    assert 850 <= chosen.count("liege-a") <= 950
    assert "antwerpen-a" not in chosen


def test_full_data_centres_are_tried_one_call_at_a_time(chooser):
    assert chooser.choose(0.0, "assistant", FULL) is not None
    assert chooser.choose(0.1, "assistant", FULL) is None
    # Calls for another service have tries of their own.
    assert chooser.choose(0.1, "orders", FULL) is not None


def test_tries_go_to_the_one_left_alone_for_longest(chooser):
    first = chooser.choose(0.0, "assistant", FULL)
    second = chooser.choose(0.3, "assistant", FULL)
    assert {first, second} == {"liege-a", "brussel-a"}


def test_tries_become_rarer_while_refused_and_frequent_once_served(chooser):
    tries = [
        step * 0.05
        for step in range(2400)
        if chooser.choose(step * 0.05, "assistant", FULL) is not None
    ]
    # Two minutes of overload: a doubling start, then one in each longest interval.
    assert len(tries) <= 5 + 120 / MAX_PROBE_SECONDS
    chooser.record_served("assistant")
    assert chooser.choose(120.0, "assistant", FULL) is not None
    assert chooser.choose(120.3, "assistant", FULL) is not None


def test_nothing_is_tried_where_there_are_no_targets(chooser):
    assert chooser.choose(0.0, "assistant", []) is None

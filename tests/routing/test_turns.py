"""Order and bounds of requests that wait for room, under replayed contention."""

import random
from dataclasses import replace

import pytest

from banyanshore.routing import turns
from banyanshore.routing.ranks import Rank
from banyanshore.routing.turns import Turn, TurnQueue

BODY_BYTES = 1000


class Waiter:
    """A request that records how it is woken."""

    def __init__(self, queue, position=0, workspace="w", **options):
        self.woken_with = []
        self.turn = Turn(
            options.get("service", "s"),
            Rank(position, 3),
            workspace,
            options.get("is_late", False),
            options.get("ends_at", 10.3),
            options.get("needs", "any"),
            options.get("body_bytes", BODY_BYTES),
            self.woken_with.append,
        )
        self.is_waiting = queue.add(10.0, self.turn)


def make_queue(freed=1000):
    """Return a queue at a gateway where places become free often.

    :param freed: places that became free in the last seconds.
    """
    queue = TurnQueue()
    for _ in range(freed):
        queue.record_begin("s", "other")
        queue.record_end(10.0, "s", "other")
    return queue


def serve_all(queue, waiters):
    """Give a place to one waiter after the other; return them in that order."""
    served = []
    while queue.wake_next("s"):
        (woken,) = [waiter for waiter in waiters if len(waiter.woken_with) == 1]
        woken.woken_with.append("served")
        served.append(woken)
        queue.discard(woken.turn)
        queue.record_begin("s", woken.turn.workspace)
    return served


def test_more_urgent_request_goes_first_also_when_it_is_late():
    queue = make_queue()
    waiters = [
        Waiter(queue, 2),
        Waiter(queue, 1, is_late=True),
        Waiter(queue, 1),
        Waiter(queue, 0, is_late=True),
    ]
    assert serve_all(queue, waiters) == [waiters[n] for n in (3, 2, 1, 0)]


def test_workspace_with_the_fewest_requests_in_progress_goes_first():
    """A workspace that asks for most took all places."""
    queue = make_queue()
    for _ in range(3):
        queue.record_begin("s", "large")
    waiters = [Waiter(queue, 0, name) for name in ("large", "large", "a", "b", "a")]
    served = [waiter.turn.workspace for waiter in serve_all(queue, waiters)]
    assert served[:2] in (["a", "b"], ["b", "a"])
    assert served[2:] == ["a", "large", "large"]


def test_request_that_has_to_start_first_goes_first_among_equals():
    queue = make_queue()
    names = "cab"
    waiters = [
        Waiter(queue, 0, name, ends_at=10.1 + ord(name) / 1000) for name in names
    ]
    assert [w.turn.workspace for w in serve_all(queue, waiters)] == ["a", "b", "c"]


def test_request_with_other_needs_gets_the_place_that_the_first_can_not_use():
    queue = make_queue()
    north, south = Waiter(queue, 0, needs="north"), Waiter(queue, 1, needs="south")
    assert queue.wake_next("s")
    assert north.woken_with == [frozenset()]
    assert queue.wake_next("s", frozenset({"north"}))
    assert south.woken_with == [frozenset({"north"})]
    assert not queue.wake_next("s", frozenset({"north", "south"}))


def test_request_is_turned_away_at_once_if_too_few_places_become_free():
    """Two places a second become free, and all requests start within 0.3 s or late."""
    queue = make_queue(freed=4)
    assert Waiter(queue).is_waiting
    assert not Waiter(queue).is_waiting
    # Nothing goes before a more urgent one.
    assert Waiter(queue, position=-1).is_waiting


def test_request_that_can_not_be_in_time_does_not_wait():
    assert not Waiter(make_queue(), ends_at=10.0).is_waiting


def test_less_urgent_request_gives_up_its_memory_to_a_more_urgent_one(monkeypatch):
    monkeypatch.setattr(turns, "MAX_WAITING_BYTES", 2 * BODY_BYTES)
    queue = make_queue()
    first, second = Waiter(queue, 1), Waiter(queue, 2)
    assert not Waiter(queue, 2).is_waiting
    assert Waiter(queue, 0).is_waiting
    assert (first.woken_with, second.woken_with) == ([], [None])
    assert queue.waiting_bytes == 2 * BODY_BYTES
    assert not Waiter(queue, 0, body_bytes=3 * BODY_BYTES).is_waiting


def test_number_of_waiting_requests_is_bounded(monkeypatch):
    monkeypatch.setattr(turns, "MAX_WAITING", 5)
    queue = make_queue()
    assert [Waiter(queue).is_waiting for _ in range(7)].count(True) == 5
    assert len(queue) == 5


def test_stop_ends_all_waits_and_admits_no_more():
    queue = make_queue()
    waiters = [Waiter(queue), Waiter(queue, service="t")]
    queue.close()
    assert [waiter.woken_with for waiter in waiters] == [[None], [None]]
    assert not Waiter(queue).is_waiting


@pytest.mark.parametrize("seed", range(4))
def test_no_workspace_or_rank_is_starved_by_a_large_workspace(seed):
    """One workspace asks for two thirds, and a place becomes free each 40 ms."""
    rng = random.Random(seed)
    queue = TurnQueue()
    asked, served, waiting, running = {}, {}, [], []
    for step in range(4000):
        now = step * 0.01
        for waiter in [w for w in waiting if w.turn.ends_at <= now]:
            queue.discard(waiter.turn)
            waiting.remove(waiter)
        if rng.random() < 0.35:
            workspace = "large" if rng.random() < 0.67 else rng.choice("abc")
            position = rng.choice((0, 1))
            key = workspace, position
            asked[key] = asked.get(key, 0) + 1
            waiter = Waiter(queue, position, workspace, ends_at=-1.0)
            turn = Turn(
                "s", Rank(position, 2), workspace, False, now + 0.25, "any",
                BODY_BYTES, waiter.woken_with.append,
            )  # fmt: skip
            waiter.turn = turn
            if queue.add(now, turn):
                waiting.append(waiter)
        if step % 4 == 0:
            if len(running) > 12:
                queue.record_end(now, "s", running.pop(0))
            queue.wake_next("s")
            for waiter in [w for w in waiting if w.woken_with]:
                waiting.remove(waiter)
                queue.discard(waiter.turn)
                running.append(waiter.turn.workspace)
                queue.record_begin("s", waiter.turn.workspace)
                key = waiter.turn.workspace, waiter.turn.rank.position
                served[key] = served.get(key, 0) + 1
    share = {key: served.get(key, 0) / count for key, count in asked.items()}
    assert min(share.values()) > 0.25 * sum(served.values()) / sum(asked.values())
    for workspace in ("large", "a", "b", "c"):
        assert share[workspace, 0] >= share[workspace, 1] - 0.05
    for workspace in "abc":
        assert share[workspace, 1] > share["large", 1]


def test_requests_do_not_wait_while_most_of_their_kind_wait_in_vain():
    """Others took all places, and every request was held for nothing."""
    queue = make_queue()
    waiters = [Waiter(queue, 1) for _ in range(3)]
    for waiter in waiters:
        queue.discard(waiter.turn)
        queue.record_wait(10.2, waiter.turn, has_found=False)
    assert not Waiter(queue, 1).is_waiting
    urgent = Waiter(queue, 0)
    assert urgent.is_waiting
    queue.discard(urgent.turn)
    # The count fades, so that one tries again.
    turn = replace(waiters[0].turn, ends_at=20.3)
    assert queue.add(20.0, turn)
    for _ in range(2):
        queue.record_wait(20.1, turn, has_found=True)
    queue.discard(turn)
    assert queue.add(20.1, turn)

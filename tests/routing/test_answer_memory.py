"""Which answers are held up when the memory for answers is used up."""

import random

from banyanshore.routing.answer_memory import AnswerMemory

MEMORY_BYTES = 16 * 8 * 1000
# The budget is 8000 bytes, and the share of a target 1000.
TARGET_BYTES = 1000


def open_waiting(memory, target, held, woken, size=200):
    """Return a share that holds some bytes and waits for room for more."""
    share = memory.open(target)
    share.hold(held)
    share.wake = lambda: woken.append(share)
    share.start_waiting(size)
    return share


def test_answer_that_holds_most_is_held_up_first():
    """One slow caller took the room, and the answers of all others were held up."""
    memory = AnswerMemory(MEMORY_BYTES)
    large, small = memory.open("a"), memory.open("a")
    while large.has_room(10):
        large.hold(10)
    assert large.held_bytes == TARGET_BYTES / 2
    while small.has_room(10):
        small.hold(10)
    assert small.held_bytes == TARGET_BYTES / 4
    assert not large.has_room(1)


def test_answer_that_holds_least_goes_on_first():
    memory = AnswerMemory(MEMORY_BYTES)
    woken = []
    open_waiting(memory, "a", 400, woken)
    small = open_waiting(memory, "a", 100, woken)
    open_waiting(memory, "a", 200, woken)
    other = memory.open("a")
    other.hold(300)
    assert woken == []
    other.release(300)
    assert woken == [small]


def test_answer_of_another_target_waits_for_the_whole_budget_alone():
    memory = AnswerMemory(MEMORY_BYTES)
    for number in range(7):
        memory.open(f"t-{number}").hold(TARGET_BYTES)
    last = memory.open("last")
    last.hold(TARGET_BYTES // 2)
    assert not last.has_room(1)
    assert memory.open("last").has_room(1)


def test_answer_without_enough_room_does_not_hold_up_another():
    """It was woken each time as the one that holds least, and nobody else was."""
    memory = AnswerMemory(MEMORY_BYTES)
    woken = []
    memory.open("a").hold(850)
    open_waiting(memory, "a", 0, woken)
    larger = open_waiting(memory, "b", 300, woken)
    other = memory.open("c")
    other.hold(100)
    other.release(100)
    assert woken == [larger]


def test_all_answers_go_on_for_which_there_is_room():
    """One was woken for each release, and the others waited beside free room."""
    memory = AnswerMemory(MEMORY_BYTES)
    woken = []
    full = memory.open("a")
    full.hold(900)
    shares = [open_waiting(memory, "a", held, woken) for held in (10, 20, 30)]
    full.close()
    assert woken == shares


def test_room_is_not_promised_twice():
    memory = AnswerMemory(MEMORY_BYTES)
    woken = []
    full = memory.open("a")
    full.hold(900)
    small = open_waiting(memory, "a", 10, woken, 400)
    open_waiting(memory, "a", 20, woken, 400)
    full.release(400)
    assert woken == [small]


def test_answer_that_has_ended_is_not_woken():
    memory = AnswerMemory(MEMORY_BYTES)
    woken = []
    ended = open_waiting(memory, "a", 100, woken)
    full = memory.open("a")
    full.hold(900)
    ended.close()
    full.close()
    assert woken == []
    assert memory.held_bytes == 0


def test_answers_that_read_ahead_stay_within_the_budget():
    """Seeded schedules of answers that are read, passed on and ended."""
    for seed in range(20):
        rng = random.Random(seed)
        memory = AnswerMemory(MEMORY_BYTES)
        shares = []
        for _ in range(2000):
            act = rng.random()
            if act < 0.1 or not shares:
                shares.append(memory.open(f"t-{rng.randrange(12)}"))
            elif act < 0.15:
                shares.pop(rng.randrange(len(shares))).close()
            elif act < 0.7:
                share, size = rng.choice(shares), rng.randint(1, 200)
                if share.has_room(size):
                    share.hold(size)
            else:
                share = rng.choice(shares)
                share.release(rng.randint(0, share.held_bytes))
            assert memory.held_bytes <= 8 * TARGET_BYTES
            assert memory.held_bytes == sum(share.held_bytes for share in shares)

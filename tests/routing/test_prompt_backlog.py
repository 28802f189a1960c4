"""The prompts that a target has still to read, as far as a gateway knows."""

import random

import pytest

from banyanshore.routing.prompt_backlog import MAX_PROMPTS, PromptBacklog


def test_prompts_are_read_one_after_the_other():
    backlog = PromptBacklog()
    backlog.add(1.0, 0.2, True)
    backlog.add(1.1, 0.3)
    assert backlog.remaining_seconds(1.1) == pytest.approx(0.4)
    assert backlog.remaining_seconds(1.6) == 0.0


def test_answered_prompts_count_no_longer():
    """Five requests in 0.1 s, each answered after 1 ms, left 0.15 s to read."""
    backlog = PromptBacklog()
    for number in range(5):
        sent_at = 1.0 + 0.02 * number
        prompt = backlog.add(sent_at, 0.05, True)
        assert backlog.record_read(sent_at + 0.001, prompt, True)
    assert backlog.remaining_seconds(1.1) == 0.0


def test_prompts_sent_later_count_on():
    """They are read after the one that is being answered, at the earliest from then."""
    backlog = PromptBacklog()
    prompt = backlog.add(1.0, 0.2, True)
    backlog.add(1.01, 0.2)
    backlog.add(1.01, 0.2, True)
    assert backlog.record_read(1.02, prompt, True)
    assert backlog.remaining_seconds(1.02) == pytest.approx(0.4)


def test_prompts_of_others_sent_before_are_read():
    backlog = PromptBacklog()
    backlog.add(1.0, 0.2)
    prompt = backlog.add(1.01, 0.2, True)
    assert backlog.record_read(1.02, prompt, True)
    assert backlog.remaining_seconds(1.02) == 0.0


def test_less_urgent_prompts_of_others_may_be_unread():
    """The target admits more urgent requests first, and no notice tells the rank."""
    backlog = PromptBacklog()
    backlog.add(1.0, 0.2)
    prompt = backlog.add(1.01, 0.2, True)
    assert backlog.record_read(1.02, prompt, False)
    assert backlog.remaining_seconds(1.02) == pytest.approx(0.2)


def test_own_prompt_sent_before_counts_until_it_is_answered_itself():
    """Its connection may have opened later."""
    backlog = PromptBacklog()
    first, second = (backlog.add(1.0, 0.2, True) for _ in range(2))
    assert backlog.record_read(1.02, second, True)
    assert backlog.remaining_seconds(1.02) == pytest.approx(0.2)
    assert backlog.record_read(1.03, first, True)
    assert backlog.remaining_seconds(1.03) == 0.0


def test_answer_that_begins_as_late_as_estimated_changes_nothing():
    backlog = PromptBacklog()
    prompt = backlog.add(1.0, 0.2, True)
    backlog.add(1.0, 0.2)
    assert not backlog.record_read(1.25, prompt, True)
    assert backlog.remaining_seconds(1.25) == pytest.approx(0.15)
    assert not backlog.record_read(1.26, prompt, True)


def test_prompt_that_is_taken_back_after_it_counts_no_longer_lowers_nothing():
    """It was subtracted a second time, from the time for the prompts of others."""
    backlog = PromptBacklog()
    rejected, answered = (backlog.add(1.0, 0.2, own) for own in (False, True))
    backlog.record_read(1.01, answered, True)
    backlog.add(1.01, 0.2, True)
    backlog.remove_of_others(0.2)
    backlog.remove(rejected)
    assert backlog.remaining_seconds(1.01) == pytest.approx(0.2)


def test_prompt_that_is_taken_back_leaves_those_after_it():
    backlog = PromptBacklog()
    rejected = backlog.add(1.0, 0.3, True)
    backlog.add(1.25, 0.1)
    backlog.remove(rejected)
    # It is read from the time at which it was sent.
    assert backlog.remaining_seconds(1.25) == pytest.approx(0.1)


def test_prompt_of_which_nothing_was_heard_is_not_subtracted_when_it_is_taken_back():
    backlog = PromptBacklog()
    backlog.add(1.0, 0.3, True)
    backlog.remove_of_others(0.3)
    backlog.remove_of_others(0.2)
    assert backlog.remaining_seconds(1.0) == pytest.approx(0.3)


def replay_schedule(seed, has_ranks, pace):
    """Send prompts to a target; return what each answer to an own one changes.

    Own prompts arrive after up to 5 ms, those of others are heard of 10 to 40 ms late.
    With ranks, the target reads more urgent ones first.

    :param pace: factor on the estimated time that the target needs for a prompt.
    :return: triples of the estimate before, the estimate after, and the estimated time
        for what is unread of the known prompts.
    """
    rng = random.Random(seed)
    backlog = PromptBacklog()
    now = busy_until = 0.0
    events, known, waiting, found = [], [], [], []
    for _ in range(60):
        now += rng.expovariate(30.0)
        is_own = rng.random() < 0.5
        row = {
            "is_own": is_own,
            "seconds": rng.choice((0.02, 0.05, 0.2)),
            "rank": rng.randrange(2) if has_ranks else 0,
            "arrives": now + (rng.uniform(0, 0.005) if is_own else 0.001),
            "is_read": False,
        }
        known_at = now if is_own else now + rng.uniform(0.01, 0.04)
        events += [(known_at, "known", row), (row["arrives"], "arrives", row)]
    while events:
        events.sort(key=lambda event: event[0])
        now, what, row = events.pop(0)
        if what == "known":
            row["prompt"] = backlog.add(now, row["seconds"], row["is_own"])
            known.append(row)
        elif what == "arrives":
            waiting.append(row)
        else:
            row["is_read"] = True
            if row["is_own"]:
                before = backlog.remaining_seconds(now)
                backlog.record_read(now, row["prompt"], row["rank"] == has_ranks)
                left = sum(other["seconds"] for other in known if not other["is_read"])
                found.append((before, backlog.remaining_seconds(now), left))
        if waiting and busy_until <= now:
            reading = min(waiting, key=lambda row: (row["rank"], row["arrives"]))
            waiting.remove(reading)
            busy_until = now + pace * reading["seconds"]
            events.append((busy_until, "read", reading))
    return found


@pytest.mark.parametrize("pace", [0.02, 0.3, 1.0, 2.5])
@pytest.mark.parametrize("has_ranks", [False, True])
@pytest.mark.parametrize("seed", range(20))
def test_prompts_that_are_not_known_to_be_read_count_on(seed, has_ranks, pace):
    for before, after, left in replay_schedule(seed, has_ranks, pace):
        assert min(before, left) - 1e-9 <= after <= before + 1e-9


@pytest.mark.parametrize("has_ranks", [False, True])
def test_estimate_follows_a_target_that_reads_faster(has_ranks):
    found = [row for seed in range(20) for row in replay_schedule(seed, has_ranks, 0.1)]
    before, after, _ = (sum(column) for column in zip(*found, strict=True))
    assert after < before / 2


def test_prompts_beyond_the_greatest_number_count_on():
    backlog = PromptBacklog()
    for _ in range(MAX_PROMPTS):
        backlog.add(1.0, 1.0)
    prompt = backlog.add(1.0, 1.0, True)
    assert backlog.record_read(2.0, prompt, True)
    assert backlog.remaining_seconds(2.0) == 1.0

"""Target selection, queueing, budgets and quarantine, each in isolation."""

import random
from collections import Counter

from banyanshore.membership.messages import AgentReport, SuspectUpdate, TargetStatus
from banyanshore.membership.targets import TargetTable
from banyanshore.routing.budgets import ByteBudget, RetryBudget
from banyanshore.routing.messages import RefusalReason
from banyanshore.routing.quarantine import (
    MAX_REPEATED_UPDATES,
    Quarantine,
    Verdict,
)
from banyanshore.routing.selection import SelectionCriteria, Selector
from banyanshore.routing.waiting import WaitingQueue, WaitingRow


def report(instance, limit=8, in_flight=0, status=TargetStatus.SERVING, **fields):
    values = {
        "data_centre": "dc",
        "region": "r",
        "service": "s",
        "address": instance,
        "incarnation": 1,
        "sequence": 1,
        "model": "m",
        "model_version": "v1",
        "ready_version": "v1",
        "state_version": 1,
        "service_seconds": 0.5,
        **fields,
    }
    return AgentReport(
        instance=instance, limit=limit, in_flight=in_flight, status=status, **values
    )


def make_selector(*reports, expiry=3.0):
    targets = TargetTable(expiry)
    for item in reports:
        targets.record(0.0, item)
    return Selector(targets, random.Random(1)), targets


def choose(selector, now=0.0, **fields):
    return selector.choose(now, SelectionCriteria("s", **fields), lambda report: True)


def test_full_silent_leaving_and_excluded_targets_are_not_chosen():
    selector, _ = make_selector(
        report("full", limit=2, in_flight=2),
        report("leaving", status=TargetStatus.LEAVING),
        report("excluded"),
    )
    assert choose(selector, excluded=frozenset({"excluded"})) is None
    assert choose(selector).instance == "excluded"
    assert choose(selector, now=10.0) is None


def test_own_requests_count_before_they_are_reported():
    selector, _ = make_selector(report("a", limit=2))
    selector.own_in_flight["a"] = 2
    assert choose(selector) is None
    selector.record_end("a")
    assert choose(selector).instance == "a"


def test_refusal_as_full_is_remembered_until_a_request_ends():
    selector, _ = make_selector(report("a"))
    selector.record_full(0.0, "a", 5.0)
    assert choose(selector, now=1.0) is None
    selector.own_in_flight["a"] = 1
    selector.record_end("a")
    assert choose(selector, now=1.0).instance == "a"


def test_two_choices_spread_the_load_better_than_one():
    worst = {}
    for name in ("two", "random"):
        rng = random.Random(5)
        names = [f"t{number}" for number in range(40)]
        selector, _ = make_selector(*(report(n, limit=100) for n in names))
        for _ in range(800):
            two = name == "two"
            chosen = choose(selector).instance if two else rng.choice(names)
            selector.own_in_flight[chosen] += 1
        worst[name] = max(selector.own_in_flight.values())
    assert worst["two"] <= 24
    assert worst["random"] > worst["two"]


def test_prefix_stays_at_one_target_until_its_load_is_above_the_mean():
    selector, _ = make_selector(*(report(f"t{n}", limit=10) for n in range(5)))
    first = choose(selector, prefix="p").instance
    assert all(choose(selector, prefix="p").instance == first for _ in range(20))
    counts = Counter()
    for _ in range(25):
        chosen = choose(selector, prefix="p").instance
        selector.own_in_flight[chosen] += 1
        counts[chosen] += 1
    assert max(counts.values()) <= 9


def test_exclusive_requests_use_few_targets():
    selector, _ = make_selector(*(report(f"t{n}") for n in range(8)))
    chosen = {choose(selector, exclusive=f"key-{n}").instance for n in range(50)}
    assert len(chosen) <= 2
    assert len({choose(selector, exclusive="same").instance for _ in range(50)}) == 1


def test_newer_report_wins_and_leaving_is_final_for_an_incarnation():
    targets = TargetTable(3.0)
    assert targets.record(0.0, report("a", sequence=5))
    assert not targets.record(0.0, report("a", sequence=4))
    assert targets.record(0.0, report("a", sequence=6, status=TargetStatus.LEAVING))
    assert not targets.record(0.0, report("a", sequence=7))
    assert targets.record(0.0, report("a", incarnation=2, sequence=1))


def enqueue(queue, name, workspace="w", priority=5, expires_at=10.0, woken=None):
    waiting_row = WaitingRow(
        name,
        workspace,
        "s",
        priority,
        expires_at,
        lambda reason: woken.append((name, reason)),
    )
    return queue.add(waiting_row)


def test_lower_priority_number_goes_first():
    woken = []
    queue = WaitingQueue(10)
    enqueue(queue, "late", priority=9, woken=woken)
    enqueue(queue, "first", priority=1, woken=woken)
    queue.wake_next("s")
    assert woken == [("first", None)]


def test_large_workspace_does_not_starve_a_small_one():
    woken = []
    queue = WaitingQueue(100)
    for number in range(20):
        enqueue(queue, f"large-{number}", "large", woken=woken)
    enqueue(queue, "small", "small", woken=woken)
    queue.running["large"] = 5
    queue.wake_next("s")
    assert woken[0][0] == "small"


def test_expired_requests_are_shed_and_a_full_queue_refuses():
    woken = []
    queue = WaitingQueue(2)
    assert enqueue(queue, "a", expires_at=1.0, woken=woken)
    assert enqueue(queue, "b", woken=woken)
    assert not enqueue(queue, "c", woken=woken)
    queue.shed_expired(1.0)
    assert woken == [("a", RefusalReason.FULL)]
    assert queue.length == 1


def test_retry_budget_is_a_share_of_successes():
    budget = RetryBudget(0.1, 3)
    assert [budget.try_spend() for _ in range(4)] == [True, True, True, False]
    for _ in range(10):
        budget.record_success()
    assert budget.try_spend()
    assert not budget.try_spend()


def test_overdrawn_byte_budget_delays_later_transfers():
    budget = ByteBudget(1000)
    assert budget.has_room(0.0)
    budget.spend(0.0, 3000)
    assert not budget.has_room(1.0)
    assert 0.9 < budget.seconds_until_room(1.1) < 1.0
    assert budget.has_room(2.2)


def test_request_that_crashes_alone_twice_is_quarantined():
    quarantine = Quarantine()
    assert quarantine.verdict(0, b"p") is Verdict.FREE
    quarantine.record_crash(0, "c1", (b"p", b"x", b"y"))
    assert {quarantine.verdict(1, f) for f in (b"p", b"x", b"y")} == {Verdict.EXCLUSIVE}
    quarantine.record_crash(1, "c2", (b"p",))
    assert quarantine.verdict(2, b"p") is Verdict.QUARANTINED
    for innocent in (b"x", b"y"):
        quarantine.record_complete_run(2, innocent)
        assert quarantine.verdict(3, innocent) is Verdict.FREE


def test_crash_reported_by_several_entries_counts_once():
    one, two = Quarantine(), Quarantine()
    updates = one.record_crash(0, "c1", (b"p",))
    two.record_crash(0, "c1", (b"p",))
    for item in updates:
        two.record_update(0, item)
    assert two.verdict(1, b"p") is Verdict.EXCLUSIVE
    for item in one.record_crash(1, "c2", (b"p",)):
        two.record_update(1, item)
    assert two.verdict(1, b"p") is Verdict.QUARANTINED


def test_suspects_expire_and_are_bounded():
    quarantine = Quarantine(expiry=10, max_suspects=3)
    quarantine.record_crash(0, "c", (b"a",))
    assert quarantine.verdict(11, b"a") is Verdict.FREE
    for number in range(5):
        quarantine.record_crash(0, f"c{number}", (b"%d" % number,))
    assert len(quarantine) == 3


def test_only_request_common_to_two_crashes_is_quarantined():
    # Sent twice at once, it crashes two targets before either crash is known.
    quarantine = Quarantine()
    quarantine.record_crash(0, "c1", (b"p", b"x"))
    quarantine.record_crash(0, "c2", (b"p", b"y"))
    assert quarantine.verdict(1, b"p") is Verdict.QUARANTINED
    assert quarantine.verdict(1, b"x") is Verdict.EXCLUSIVE
    assert quarantine.verdict(1, b"y") is Verdict.EXCLUSIVE


def test_two_requests_common_to_two_crashes_run_alone_first():
    quarantine = Quarantine()
    quarantine.record_crash(0, "c1", (b"p", b"x", b"z"))
    quarantine.record_crash(0, "c2", (b"p", b"x"))
    assert quarantine.verdict(1, b"p") is Verdict.EXCLUSIVE
    assert quarantine.verdict(1, b"x") is Verdict.EXCLUSIVE
    # One of them completes when it runs alone, so the other is the cause.
    quarantine.record_complete_run(2, b"x")
    assert quarantine.verdict(2, b"p") is Verdict.QUARANTINED


def test_failing_target_is_ejected_but_never_all_of_them():
    selector, _ = make_selector(*(report(f"t{n}") for n in range(4)))
    for _ in range(3):
        selector.record_outcome(0.0, "t0", False)
    assert {choose(selector).instance for _ in range(40)} == {"t1", "t2", "t3"}
    assert "t0" in {choose(selector, now=2.9).instance for _ in range(40)}
    for number in range(4):
        for _ in range(3):
            selector.record_outcome(0.0, f"t{number}", False)
    assert choose(selector) is not None
    selector.record_outcome(0.0, "t0", True)
    assert {choose(selector).instance for _ in range(40)} == {"t0"}


def test_request_lost_with_two_instances_is_quarantined_but_not_others():
    # It crashes the agent along with its target, so nobody reports what ran there.
    quarantine = Quarantine()
    for fingerprint in (b"p", b"x", b"y"):
        quarantine.record_loss(0, "agent-1-7", fingerprint, exclusive=False)
    assert quarantine.verdict(1, b"p") is Verdict.EXCLUSIVE
    quarantine.record_complete_run(1, b"x")
    quarantine.record_loss(1, "agent-2-3", b"p", exclusive=True)
    assert quarantine.verdict(2, b"p") is Verdict.QUARANTINED
    assert quarantine.verdict(2, b"x") is Verdict.FREE
    assert quarantine.verdict(2, b"y") is Verdict.EXCLUSIVE


def test_one_lost_instance_counts_once_for_a_request():
    quarantine = Quarantine()
    quarantine.record_loss(0, "agent-1-7", b"p", exclusive=True)
    quarantine.record_loss(0, "agent-1-7", b"p", exclusive=True)
    assert quarantine.verdict(1, b"p") is Verdict.EXCLUSIVE


def test_suspect_waits_for_updates_on_other_crashes():
    quarantine = Quarantine()
    quarantine.record_crash(10, "c1", (b"p", b"x"))
    assert quarantine.settled_at(b"p") > 10
    # A copy of it crashed another target at the same time; the updates on all requests
    # that ran there arrive before it runs again.
    quarantine.record_update(10.1, SuspectUpdate(b"p", ("c2",), False))
    quarantine.record_update(10.1, SuspectUpdate(b"y", ("c2",), False))
    assert quarantine.settled_at(b"p") > 10.1
    assert quarantine.verdict(quarantine.settled_at(b"p"), b"p") is Verdict.QUARANTINED
    assert quarantine.settled_at(b"unknown") == 0


def test_repeated_updates_neither_delay_nor_keep_a_suspect():
    one, other = Quarantine(expiry=10), Quarantine(expiry=10)
    one.record_crash(0, "c1", (b"p", b"x"))
    for now in range(1, 10):
        for update in one.updates_to_repeat(now):
            other.record_update(now, update)
        assert other.settled_at(b"p") == one.settled_at(b"p")
    assert other.verdict(10, b"p") is Verdict.EXCLUSIVE
    assert other.verdict(11, b"p") is Verdict.FREE
    assert not one.updates_to_repeat(11)


def test_repeated_updates_are_bounded_and_quarantine_no_other_request():
    """A request would seem the only one at two crashes if others were left out."""
    one, other = Quarantine(), Quarantine()
    one.record_crash(0, "c0", (b"q",))
    one.record_crash(0, "c1", (b"q",))
    for crash in range(40):
        beside = [b"%d-%d" % (crash // 2, number) for number in range(60)]
        one.record_crash(1, f"d{crash}", (b"p%d" % (crash // 2), *beside))
    updates = one.updates_to_repeat(2)
    assert len(updates) <= MAX_REPEATED_UPDATES
    for update in updates:
        other.record_update(2, update)
    assert other.verdict(2, b"q") is Verdict.QUARANTINED
    # Those of the latest crashes.
    assert other.verdict(2, b"19-0") is Verdict.EXCLUSIVE
    for update in updates:
        assert other.verdict(2, update.fingerprint) is one.verdict(
            2, update.fingerprint
        )


def test_repeated_update_does_not_make_a_cleared_request_suspect_again():
    one, other = Quarantine(), Quarantine()
    for quarantine in (one, other):
        quarantine.record_crash(0, "c1", (b"x", b"y"))
    one.record_complete_run(5, b"x")
    for update in other.updates_to_repeat(6):
        one.record_update(6, update)
    assert one.verdict(6, b"x") is Verdict.FREE
    assert one.verdict(6, b"y") is Verdict.EXCLUSIVE
    # A later crash counts.
    one.record_update(7, SuspectUpdate(b"x", ("c2",), False))
    assert one.verdict(7, b"x") is Verdict.EXCLUSIVE

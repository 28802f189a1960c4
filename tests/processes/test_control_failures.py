"""Kills, freezes, lost disks, partitions and races of the processes with the state."""

import contextlib
import resource
import shutil
import signal
import threading
import time

import pytest

from tests.deployment import Deployment, check_answer, wait_for
from tests.network import Network
from tests.processes.conftest import DATA_CENTRES, ENTRIES, start_deployment

VOTERS = ["entry-1", "entry-2", "entry-3"]


def leader_of(deployment, entry):
    return wait_for(lambda: deployment.status(entry)["leader"], 15, what="a leader")


def other_entry(name):
    return next(entry for entry in ("entry-4", "entry-5", "entry-1") if entry != name)


def patch_number(deployment, number, entry, timeout=20):
    """Send a patch until it is accepted, as an operator's script would."""
    patch = {"workspaces": {"w": {"priority": number % 10}}}
    request_id = f"patch-{number}"
    deadline = time.monotonic() + timeout
    version = None
    while time.monotonic() < deadline:
        if version is None:
            state = deployment.state(entry)
            if not state.get("current"):
                continue
            version = state["version"]
        response = deployment.send_patch(patch, version, entry, request_id)
        if response.status_code == 200:
            return response.json()["version"]
        # Rejected or outcome unknown: send the same patch again with the same id.
        assert response.status_code in (503, 504), response.text
    raise AssertionError(f"patch {number} was not accepted in {timeout} s")


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_patches_and_claims_survive_the_loss_of_the_leader(deployment, number):
    leader = leader_of(deployment, "entry-4")
    entry = other_entry(leader)
    versions = [patch_number(deployment, i, entry) for i in range(5)]
    deployment.processes[leader].signal(number)
    versions += [patch_number(deployment, i, entry) for i in range(5, 10)]
    assert versions == list(range(versions[0], versions[0] + 10))
    for index in range(5):
        response = deployment.order(entry, f"o{index}", f"k{index}")
        assert response.status_code == 201, response.text
    if number == signal.SIGKILL:
        deployment.processes[leader].process.wait()
        deployment.processes[leader].start()
    else:
        deployment.processes[leader].signal(signal.SIGCONT)
    deployment.wait_in_force(versions[-1], 20, entry)
    # The old leader must not bring an older version back.
    assert deployment.status(leader)["state"]["version"] == versions[-1]
    for index in range(5):
        again = deployment.order(leader, f"o{index}", f"k{index}")
        assert again.headers["idempotent-replayed"] == "true"
    runs = count_runs(deployment)
    assert all(runs[f"o{index}"] == 1 for index in range(5))


def count_runs(deployment):
    total = {}
    for number in range(len(DATA_CENTRES)):
        stats = deployment.fake_stats(f"orders-{number}-target")
        for name, count in stats["runs"].items():
            total[name] = total.get(name, 0) + count
    return total


def test_hundreds_of_patches_survive_a_restart_of_all_processes():
    options = {"consensus": {"snapshot_every_entries": 100}}
    with Deployment(DATA_CENTRES, ENTRIES, {0, 1, 2}, **options) as deployment:
        deployment.start_entries()
        # Patches go to each of them; the last ones may start late on a busy machine.
        for entry in deployment.http_port:
            deployment.wait_for_leader(entry)
        first = deployment.send_patch({}, 0, request_id="first").json()
        for number in range(300):
            version = patch_number(deployment, number, f"entry-{number % 5 + 1}")
        for process in deployment.processes.values():
            process.kill()
        for process in deployment.processes.values():
            process.start()
        deployment.wait_for_leader()
        deployment.wait_in_force(version, 20)
        state = deployment.state()
        assert state["version"] == version == 301
        assert state["document"]["workspaces"]["w"]["priority"] == 299 % 10
        # A request repeated after the restart and the snapshots gets its first outcome.
        again = deployment.send_patch({}, 0, request_id="first").json()
        assert again == first
        folder = deployment.folder / "entry-1.data"
        assert (folder / "snapshot").exists()


def test_one_of_several_racing_patches_is_accepted(deployment):
    version = deployment.state()["version"]
    responses = []

    def race(number):
        patch = {"workspaces": {"race": {"priority": number}}}
        entry = f"entry-{number % 5 + 1}"
        responses.append(deployment.send_patch(patch, version, entry))

    threads = [threading.Thread(target=race, args=(number,)) for number in range(10)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    statuses = sorted(response.status_code for response in responses)
    assert statuses == [200] + [412] * 9
    assert deployment.state()["version"] == version + 1


def replace_disk(deployment, name):
    deployment.processes[name].kill()
    shutil.rmtree(deployment.folder / f"{name}.data")
    deployment.processes[name].start()


def wait_until_voter(deployment, name, seconds=30):
    def check():
        log = deployment.status(name)["log"]
        return log["member"] in log["voters"] and len(log["voters"]) == 3

    wait_for(check, seconds, 0.1, f"{name} has its vote back")


def test_second_voter_may_be_lost_right_after_a_repair(deployment):
    versions = [patch_number(deployment, i, "entry-4") for i in range(5)]
    replace_disk(deployment, "entry-2")
    wait_until_voter(deployment, "entry-2")
    replace_disk(deployment, "entry-3")
    versions.append(patch_number(deployment, 5, "entry-4"))
    wait_until_voter(deployment, "entry-3")
    deployment.processes["entry-1"].kill()
    versions.append(patch_number(deployment, 6, "entry-4"))
    assert versions == list(range(versions[0], versions[0] + 7))


def in_force(deployment, entry):
    return deployment.status(entry)["state"]["version"]


@contextlib.contextmanager
def full_disk(process):
    """Let a process extend or write no file, as on a full disk."""
    limits = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, limits[1]))
    try:
        yield
    finally:
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, limits)


def test_patches_are_accepted_after_all_disks_were_full_in_turn(deployment):
    """A full disk ended the vote of its entry until it was restarted."""
    number = 0
    for voter in VOTERS:
        with full_disk(deployment.processes[voter]):
            until = time.monotonic() + 3.0
            while time.monotonic() < until:
                number += 1
                patch_number(deployment, number, "entry-4")
        wait_for(
            lambda voter=voter: deployment.status(voter)["log"]["role"] != "failed",
            what="the disk to be regained",
        )
    for _ in range(5):
        number += 1
        patch_number(deployment, number, "entry-4", timeout=4)


def test_version_reaches_a_data_centre_whose_only_voter_has_died():
    # The digest interval is so long that only a version sent at once arrives in time.
    options = {"digest_interval": 15.0, "routing": {"target_expiry": 60.0}}
    entries = [*DATA_CENTRES, *DATA_CENTRES]
    with Deployment(DATA_CENTRES, entries, {0, 1, 2}, **options) as deployment:
        deployment.start_entries()
        deployment.wait_for_leader()
        version = deployment.patch({"workspaces": {"w": {"priority": 1}}})
        names = list(deployment.http_port)
        for name in names:
            wait_for(lambda n=name: in_force(deployment, n) == version, 20)
        leader = wait_for(lambda: deployment.status("entry-1")["leader"], 10)
        deployment.processes[leader].kill()
        position = names.index(leader)
        sibling = names[position + len(DATA_CENTRES)]
        other = names[(position + 1) % len(DATA_CENTRES)]
        version = deployment.patch({"workspaces": {"w": {"priority": 2}}}, other)
        wait_for(lambda: in_force(deployment, sibling) == version, 5)


def test_second_voter_may_be_lost_after_one_is_replaced(deployment):
    version = patch_number(deployment, 0, "entry-4")
    deployment.processes["entry-3"].kill()
    wanted = {"entry-1", "entry-2", "entry-4"}
    for row in deployment.entry_rows:
        row["voter"] = row["instance"] in wanted
    for row in deployment.entry_rows:
        name = row["instance"]
        if name != "entry-3":
            deployment.processes[name].stop()
            deployment.start_entry(row)
            deployment.wait_for_leader(name, 30)

    def check():
        log = deployment.status("entry-1")["log"]
        return {voter.partition("/")[0] for voter in log["voters"]} == wanted

    wait_for(check, 30, 0.1, "the voters are those of the settings")
    deployment.processes["entry-1"].kill()
    assert patch_number(deployment, 1, "entry-5") == version + 1


@pytest.fixture
def cuttable():
    with start_deployment(network=Network()) as deployment:
        yield deployment


def cut_off(deployment, data_centre):
    """Cut the entries of one data centre off from those of the others."""
    inside = [
        row["instance"]
        for row in deployment.entry_rows
        if row["data_centre"] == data_centre
    ]
    outside = [
        row["instance"]
        for row in deployment.entry_rows
        if row["data_centre"] != data_centre
    ]
    deployment.network.cut(inside, outside)
    return inside, outside


def test_cut_off_data_centre_keeps_serving_and_refuses_orders(cuttable):
    (inside, *_), (outside, *_) = cut_off(cuttable, "antwerpen-a")
    wait_for(
        lambda: not cuttable.state(inside).get("current"), 10, what="the cut is noticed"
    )
    check_answer(cuttable.chat(inside, "cut-off"), "cut-off", "v1")
    state = cuttable.state(inside)
    assert state["held_seconds"] > 0
    refused = cuttable.send_patch({}, state["version"], inside)
    assert refused.status_code in (503, 504)
    order = cuttable.order(inside, "cut-order", "cut-key")
    assert order.status_code == 503
    assert order.json()["outcome"] == "not-run"
    assert "retry-after" in order.headers
    version = patch_number(cuttable, 1, outside)
    check_answer(cuttable.chat(outside, "rest"), "rest", "v1")
    assert "cut-order" not in count_runs(cuttable)
    cuttable.network.heal()
    cuttable.wait_in_force(version, 20, inside)
    # The order was not run, so its key may be used again.
    again = wait_for(
        lambda: _succeeded(cuttable.order(inside, "cut-order", "cut-key")),
        20,
        what="the order once healed",
    )
    assert again.status_code == 201
    assert count_runs(cuttable)["cut-order"] == 1


def all_remote_entries_expired(deployment, entry):
    status = deployment.status(entry)
    return all(
        not row["live"]
        for row in status["entries"]
        if row["data_centre"] != status["data_centre"]
    )


def _succeeded(response):
    return response if response.status_code == 201 else None


def test_local_order_out_holds_during_a_cut_and_after_it(cuttable):
    (inside, *_), (outside, *_) = cut_off(cuttable, "antwerpen-a")
    wait_for(lambda: not cuttable.state(inside).get("current"), 10)
    check_answer(cuttable.chat(inside, "before"), "before")
    # Until the other entries have expired, a call may be in transit to them.
    wait_for(lambda: all_remote_entries_expired(cuttable, inside), 10)
    response = cuttable.client.post(f"{cuttable.url(inside)}/operator/v1/local-out")
    assert response.status_code == 202
    refused = cuttable.chat(inside, "after")
    assert refused.status_code == 503
    assert refused.json()["outcome"] == "not-run"
    cuttable.network.heal()

    def merged():
        document = cuttable.state(outside)["document"]
        return not document["data_centres"]["antwerpen-a"]["in_service"]

    wait_for(merged, 15, what="the local order is merged")
    # Other data centres serve callers at its entries, while its own targets are idle.
    wait_for(lambda: cuttable.chat(inside, "x").status_code == 200, 10)
    target = cuttable.chat(inside, "healed").headers["x-banyanshore-target"]
    assert target != "assistant-0"
    # Once merged, only a patch restores service, and the order is not applied again.
    cuttable.patch({"data_centres": {"antwerpen-a": {"in_service": True}}}, outside)
    time.sleep(3)
    assert cuttable.state(outside)["document"]["data_centres"]["antwerpen-a"][
        "in_service"
    ]


def test_isolated_leader_accepts_no_patch(cuttable):
    leader = leader_of(cuttable, "entry-4")
    others = [name for name in cuttable.http_port if name != leader]
    cuttable.network.cut([leader], others)
    entry = other_entry(leader)
    version = patch_number(cuttable, 1, entry)
    refused = cuttable.send_patch({}, version - 1, leader)
    assert refused.status_code in (503, 504)
    time.sleep(2)
    cuttable.network.heal()
    cuttable.wait_in_force(version, 20, entry)
    assert cuttable.state(entry)["version"] == version

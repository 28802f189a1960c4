"""Extrapolate the cost of each role at the design size from other benchmarks' slopes.

Reads the reports of control, data_centres and relay in ``results``, and encodes the
membership messages with the real codec for their sizes. Measures no times itself.
"""

import json
import math
import tracemalloc
from dataclasses import replace

from banyanshore.consensus.messages import AppendReply, AppendRequest
from banyanshore.membership.messages import (
    AgentReport,
    CapacityRow,
    DataCentreDigest,
    EntryDigest,
    ForwardedReports,
    RosterRow,
    StateChange,
    StateUpdate,
    TargetLoad,
)
from banyanshore.state import Fence, PublishedState, StateDelta
from banyanshore.transport import decode, encode
from banyanshore.transport.frames import Heartbeat, Notice
from benchmarks.relay import TOKEN_SLOPES
from benchmarks.report import RESULTS, Report

NODES = 400
REPLICAS = 600
INSTANCES = 2_400
REQUESTS = 3_800
TOKENS = 800_000
DATA_CENTRES = 11
CHANGES_A_DAY = 760
FANOUT = 3
VOTERS = 7
SERVICES = 10
DOCUMENT_BYTES = 50_000
CORE_PERCENT = 1.4
MEMORY_BYTES = 32e6
NETWORK_BYTES = 25e3
# Reports a second of an agent whose load keeps changing, and of an idle one.
BUSY_REPORTS = 4
IDLE_REPORTS = 1
# Times per version that a data centre's digest is sent with the rows of its entries:
# while agents lack the version, and once all have it.
ROWS_PER_VERSION = 2
PATCH_BYTES = 200
# Size of the deployment in the control benchmark.
BENCH_DATA_CENTRES = 3
BENCH_ENTRIES_PER_DATA_CENTRE = 8 / 3
# Each further agent in that deployment adds a third of a connection to an entry.
AGENTS_PER_CONNECTION = 3
DAY = 86_400


def run():
    """Return the report."""
    report = Report("capacity")
    sizes = message_sizes()
    for name, size in sizes.items():
        report.add_row("Messages, by the real codec", ["message", "bytes"], name, size)
    slopes = read_slopes()
    counts = role_counts()
    for name, count in counts.items():
        report.add_row("Counts", ["what", "at the size to design for"], name, count)
    traffic = role_traffic(sizes, counts)
    for role, rows in traffic.items():
        for what, per_second in rows.items():
            heads = ["role", "what", "bytes a second, in and out"]
            report.add_row("Control bytes", heads, role, what, per_second)
    add_roles(report, slopes, counts, traffic)
    add_serving(report)
    return report


def message_sizes():
    """Return the encoded size in bytes of each membership message."""
    report = AgentReport(
        "instance-0123",
        "data-centre-07",
        "region-2",
        "assistant",
        "10.20.30.40:7101",
        10**18,
        10**6,
        "serving",
        "assistant",
        "v2026-12-03",
        8,
        5,
        "v2026-12-03",
        100_000,
        0.75,
        2**31,
    )
    digest = EntryDigest(
        "instance-0123",
        "data-centre-07",
        10**18,
        10**6,
        100_000,
        Fence(100, 10**6),
        "instance-0001",
        100,
        False,
        (),
    )
    entries = NODES // DATA_CENTRES
    capacity = CapacityRow("assistant", 200, 190, 1600, 900, (("v2026-12-03", 200),))
    centre = DataCentreDigest(
        "data-centre-07",
        "instance-0123",
        10**6,
        (digest,) * entries,
        2**31,
        (capacity,) * SERVICES,
        2**31,
    )
    batch = ForwardedReports("instance-0123", (), (), 2**31, False)
    load = TargetLoad("instance-0123", 10**6, 10**6, 8, 5, 0.75)
    delta = StateDelta(100_000, 100_001, Fence(100, 10**6), b"x" * PATCH_BYTES, 2**31)
    published = PublishedState(100_000, Fence(100, 10**6), b"x" * DOCUMENT_BYTES)
    member = "instance-0123/0123456789ab"
    append = AppendRequest(100, member, 10**6, 100, (), 10**6, 10**6)
    reply = AppendReply(100, member, True, 10**6, 10**6)
    row = RosterRow("instance-0123", "region-2", "assistant", "10.20.30.40:7101")
    return {
        "heartbeat": len(encode(Heartbeat())),
        "agent's report": len(encode(Notice(report))),
        "batch of reports, nothing changed": len(encode(Notice(batch))),
        "load passed on": len(encode(load)),
        "entry's digest": len(encode(Notice(digest))),
        "data centre's digest": len(encode(Notice(replace(centre, entries=())))),
        "data centre's digest with rows": len(encode(Notice(centre))),
        "version of the state, whole": len(encode(Notice(StateUpdate(published)))),
        "version of the state, as change": len(encode(Notice(StateChange(delta)))),
        "log heartbeat and reply": len(encode(append)) + len(encode(reply)),
        "row of a roster": len(encode(row)),
    }


def role_counts():
    """Return the counts and rates that determine the load of each role."""
    entries = NODES / DATA_CENTRES
    agents = INSTANCES / DATA_CENTRES
    return {
        "entries a data centre": entries,
        "agents a data centre": agents,
        "agents that report to one entry": agents * FANOUT / entries,
        "links of an entry to entries": entries - 1 + VOTERS + 2 * (DATA_CENTRES - 1),
        "requests a second at one entry": REQUESTS / NODES,
        "tokens a second at one entry": TOKENS / NODES,
        "requests a second at one agent of a replica": REQUESTS / REPLICAS,
        "tokens a second at one agent of a replica": TOKENS / REPLICAS,
        "changes a second": CHANGES_A_DAY / DAY,
        "restarts a second": (8 + 58) / DAY,
    }


def role_traffic(sizes, counts):
    """Return the bytes of control traffic a second by role and cause, at the peak."""
    entries = counts["entries a data centre"]
    agents = counts["agents a data centre"]
    reporting = counts["agents that report to one entry"]
    links = counts["links of an entry to entries"]
    changes = counts["changes a second"]
    busy = REPLICAS / INSTANCES
    reports = busy * BUSY_REPORTS + (1 - busy) * IDLE_REPORTS
    batch = sizes["batch of reports, nothing changed"]
    load = sizes["load passed on"]
    change = sizes["version of the state, as change"]
    centre = (
        sizes["data centre's digest"]
        + changes * ROWS_PER_VERSION * sizes["data centre's digest with rows"]
    )
    others = DATA_CENTRES - 1
    entry = {
        "reports of agents": reporting * reports * sizes["agent's report"],
        "batches of siblings, in": (entries - 1) * batch + agents * busy * load,
        "batches to siblings, out": (entries - 1)
        * (batch + agents / entries * busy * load),
        "digests of siblings, in and out": 2 * (entries - 1) * sizes["entry's digest"],
        "digests of data centres, in": others * centre,
        "digests of data centres passed on, out": others
        / entries
        * (entries - 1)
        * centre,
        "heartbeats": 2 * links * sizes["heartbeat"],
        "versions to agents and siblings": changes * (reporting + 2) * change,
    }
    voter = dict(entry)
    voter["log, as follower"] = 4 * sizes["log heartbeat and reply"]
    voter["versions to the data centre"] = changes * entries * change
    leader = dict(entry)
    leader["log, as leader"] = 4 * (VOTERS - 1) * sizes["log heartbeat and reply"]
    leader["versions to the data centre"] = changes * entries * change
    # An entry that is connected to another data centre and forwards its digests to all
    # siblings. The plain entry above has the average share of that traffic.
    relay = dict(entry)
    relay["digests of data centres passed on, out"] = entries * centre
    agent = {
        "reports": FANOUT * reports * sizes["agent's report"],
        "versions": changes * FANOUT * change,
        "rosters": counts["restarts a second"]
        * FANOUT
        * sizes["row of a roster"]
        * agents,
        "heartbeats": 4 * FANOUT * sizes["heartbeat"],
    }
    return {
        "entry": entry,
        "relay entry": relay,
        "voter": voter,
        "leader": leader,
        "agent": agent,
    }


def read_slopes():
    """Return slope and intercept by role and figure, over the number of agents."""
    tables = json.loads((RESULTS / "control.json").read_text())["tables"]
    rows = tables["Slopes in agents of the deployment"][1:]
    return {(role, figure): (slope, base) for role, figure, slope, _, base in rows}


def read_entry_slopes(title):
    """Return the slope of each figure of an entry, with its standard error."""
    tables = json.loads((RESULTS / "data_centres.json").read_text())["tables"]
    return {figure: (slope, spread) for figure, slope, spread, _ in tables[title][1:]}


def add_entry_slopes(report):
    """Report and return the increase of each figure of an entry at the design size."""
    steps = (
        ("Slopes in data centres", DATA_CENTRES - BENCH_DATA_CENTRES),
        (
            "Slopes in entries of one data centre",
            NODES / DATA_CENTRES - BENCH_ENTRIES_PER_DATA_CENTRE,
        ),
    )
    added = {"core_percent": 0.0, "memory_bytes": 0.0}
    heads = ["what", "figure", "slope", "standard error", "more of them", "adds"]
    for title, count in steps:
        slopes = read_entry_slopes(title)
        for figure in added:
            slope, spread = slopes[figure]
            added[figure] += slope * count
            report.add_row(
                "What the size adds to an entry",
                heads,
                title.removeprefix("Slopes in "),
                figure,
                slope,
                spread,
                count,
                slope * count,
            )
    return added


def add_roles(report, slopes, counts, traffic):
    """Add processor time, memory and traffic of each role, with their bounds."""
    reporting = counts["agents that report to one entry"]
    added = add_entry_slopes(report)
    heads = ["role", "% of a core", "private MB", "bytes a second"]
    for role in ("entry", "relay entry", "voter", "leader", "agent"):
        figures = {}
        for figure in ("core_percent", "memory_bytes"):
            # A relay entry wasn't measured separately.
            measured = "entry" if role == "relay entry" else role
            slope, base = slopes[(measured, figure)]
            per_connection = slope * AGENTS_PER_CONNECTION
            figures[figure] = base + reporting * per_connection + added[figure]
        if role == "agent":
            # Its work grows with the changes of the roster, not with its length. Its
            # memory grows with the rows, which are measured separately because the
            # slope over a run includes the growth of a process in its first minutes.
            figures["core_percent"] = slopes[(role, "core_percent")][1]
            figures["memory_bytes"] = slopes[(role, "memory_bytes")][1]
            figures["memory_bytes"] += roster_bytes(INSTANCES)
        total = math.fsum(traffic[role].values())
        report.add_row(
            "Roles, worked out",
            heads,
            role,
            figures["core_percent"],
            figures["memory_bytes"] / 1e6,
            total,
        )
        report.add_bound(
            f"{role}: % of a core", figures["core_percent"], CORE_PERCENT, "1.4%"
        )
        report.add_bound(f"{role}: MB", figures["memory_bytes"] / 1e6, 32.0, "32 MB")
        report.add_bound(f"{role}: bytes", total, NETWORK_BYTES, "25 KB a second")


def roster_bytes(count):
    """Return the memory in bytes of a decoded roster, as an agent stores it."""
    rows = tuple(
        RosterRow(
            f"instance-{n:04}", "region-2", "assistant", f"10.0.{n >> 8}.{n & 255}"
        )
        for n in range(count)
    )
    data = encode(rows)
    tracemalloc.start()
    decoded = decode(data)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size if decoded else 0


def add_serving(report):
    """Add the cost of serving requests, which isn't part of control."""
    tables = json.loads((RESULTS / "relay.json").read_text())["tables"]
    rows = tables[TOKEN_SLOPES][1:]
    heads = ["role", "requests a second", "tokens a second", "% of a core"]
    for role, request_cost, token_cost, _ in rows:
        sharers = NODES if role == "entry" else REPLICAS
        requests = REQUESTS / sharers
        tokens = TOKENS / sharers
        # One percent of a core is 10 ms a second.
        percent = (requests * request_cost + tokens / 1000 * token_cost) / 10
        report.add_row("Serving, worked out", heads, role, requests, tokens, percent)

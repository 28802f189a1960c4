"""Requests through a gateway, and the answers of callers when targets misbehave."""

import time
from dataclasses import replace

import anyio
import pytest

from banyanshore.core.stopping import StopPlan
from banyanshore.membership.registry import Departure, MemberRow
from banyanshore.state import Fence, PublishedState
from banyanshore.state.document import to_json
from tests.gateway.deployment import (
    COMPLETE,
    FAILED,
    NOT_RUN,
    SIGNED,
    Target,
    ask,
    close,
    events,
    hang,
    make_document,
    make_request,
    running_gateway,
)
from tests.http.raw import connect, read_all

pytestmark = pytest.mark.anyio

STREAM = {"kind": "streaming", "resumable": True}
ONCE = {"kind": "non_idempotent", "max_attempts": 1}


async def test_answer_is_passed_on_unchanged():
    target = Target(SIGNED + b"x-more: 1\r\ncontent-length: 2\r\n\r\nok")
    async with running_gateway(target) as (_, address):
        status, answer = await ask(address)
    assert status == 200
    assert b"replica-signature: s" in answer
    assert b"x-more: 1" in answer
    assert answer.endswith(b"\r\n\r\nok")


@pytest.mark.parametrize("name", ["a b", "Léa", "Łódź", "東京"])
async def test_request_of_a_workspace_with_any_letters_in_its_name_is_served(name):
    """Its connection was closed without an answer if Latin-1 lacks a letter."""
    target = Target(COMPLETE)
    async with running_gateway(target) as (gateway, address):
        document = make_document()
        document["workspaces"] = {name: {"keys": ["key"]}}
        gateway.state.apply(PublishedState(2, Fence(1, 2), to_json(document)))
        status, _ = await ask(address)
    assert status == 200
    head, _, _ = target.requests[0].partition(b"\r\n\r\n")
    (line,) = [row for row in head.split(b"\r\n") if row.lower().startswith(b"tenant")]
    value = line.partition(b":")[2].strip()
    assert name.encode() == value or name.encode("latin-1") == value


async def test_request_with_an_event_id_of_thousands_of_digits_is_served():
    """Its connection was closed without an answer."""
    target = Target(COMPLETE)
    async with running_gateway(target) as (_, address):
        status, _ = await ask(address, make_request(last_event_id="9" * 5000))
    assert status == 200


async def test_target_receives_the_request_without_the_key():
    target = Target(COMPLETE)
    request = make_request(
        "POST", body=b"text", deadline_ms=900, tenant="forged", model="m", te="x"
    )
    async with running_gateway(target) as (_, address):
        await ask(address, request)
    head, _, body = target.requests[0].partition(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    assert lines[0] == b"post /p?q=1 http/1.1"
    assert body == b"text"
    for line in (
        b"tenant: w",
        b"expect-replica: i-0",
        b"request-id: id-1",
        b"model: m",
    ):
        assert line in lines
    assert b"forged" not in head
    assert b"authorization" not in head.lower()
    assert b"te: x" not in lines
    left = next(int(line[13:]) for line in lines if line.startswith(b"deadline-ms: "))
    assert 500 < left <= 900


@pytest.mark.parametrize("route", [{}, ONCE])
async def test_request_that_no_target_ran_is_refused_with_retry_after(route):
    target = Target(NOT_RUN)
    async with running_gateway(target, **route) as (_, address):
        status, answer = await ask(address)
    assert status == 503
    assert b"retry-after: " in answer
    assert len(target.requests) == 1


async def test_request_refused_by_one_target_is_run_by_another():
    full, free = Target(NOT_RUN), Target(COMPLETE)
    async with running_gateway(full, free) as (_, address):
        for _ in range(6):
            assert (await ask(address))[0] == 200
        # The first target is chosen at random: six requests may all miss the full one.
        for _ in range(50):
            if full.requests:
                break
            assert (await ask(address))[0] == 200
    assert full.requests


@pytest.mark.parametrize("act", [close, b"nonsense\r\n\r\n", COMPLETE[:-1]])
async def test_lost_answer_is_never_reported_as_not_run(act):
    target = Target(act)
    async with running_gateway(target, **ONCE) as (_, address):
        status, _ = await ask(address)
    assert status == 502
    assert len(target.requests) == 1


@pytest.mark.parametrize("act", [close, b"nonsense\r\n\r\n", COMPLETE[:-1], FAILED])
async def test_idempotent_request_is_offered_to_another_target(act):
    bad, good = Target(act), Target(COMPLETE)
    async with running_gateway(bad, good) as (_, address):
        for _ in range(4):
            assert (await ask(address))[0] == 200


async def test_hung_target_is_given_up_for_another_one():
    bad, good = Target(hang), Target(COMPLETE)
    async with running_gateway(bad, good) as (_, address):
        with anyio.fail_after(2.0):
            for _ in range(3):
                assert (await ask(address))[0] == 200


async def test_non_idempotent_request_waits_for_a_hung_target():
    target = Target(hang)
    async with running_gateway(target, **ONCE, timeout_seconds=0.5) as (_, address):
        status, _ = await ask(address)
    assert status == 504
    assert len(target.requests) == 1


async def test_error_of_the_last_target_is_passed_on():
    async with running_gateway(Target(FAILED), Target(FAILED)) as (_, address):
        status, answer = await ask(address)
    assert status == 500
    assert b"replica-signature: s" in answer
    assert answer.endswith(b"bad")


async def test_refusal_after_a_possible_run_reports_an_unknown_outcome():
    busy = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"
    async with running_gateway(Target(busy), **ONCE) as (_, address):
        assert (await ask(address))[0] == 502


async def test_answer_to_another_request_is_dropped():
    other = COMPLETE.replace(b"id-1", b"id-2")
    async with running_gateway(Target(other), **ONCE) as (_, address):
        status, answer = await ask(address)
    assert status == 502
    assert b"ok" not in answer.split(b"\r\n\r\n", 1)[1]


@pytest.mark.parametrize("status", [b"503 Busy", b"421 Other", b"429 Wait"])
async def test_refusal_of_another_request_proves_nothing(status):
    """A target's refusal was taken as not run, whichever request it answered."""
    other = NOT_RUN.replace(b"503 Busy", status + b"\r\nrequest-id: id-2")
    async with running_gateway(Target(other), **ONCE) as (_, address):
        assert (await ask(address))[0] == 502


async def test_unsigned_success_is_dropped():
    plain = b"HTTP/1.1 200 OK\r\nrequest-id: id-1\r\ncontent-length: 2\r\n\r\nok"
    async with running_gateway(Target(plain), **ONCE) as (_, address):
        assert (await ask(address))[0] == 502


async def test_broken_stream_is_resumed_at_another_target():
    """The incomplete event is not passed on; the second run resumes after event 2."""

    async def break_off(stream):
        await stream.send(SIGNED + b"\r\n" + events(1, 2) + b"id: 3\nda")
        await anyio.sleep(0.05)
        stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
            1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00"
        )

    rest = events(3, 4)
    tail = SIGNED + b"content-length: %d\r\n\r\n" % len(rest) + rest
    first, other = Target(), Target()
    # Whichever target gets the first offer breaks off.
    first.acts = other.acts = [break_off, tail]
    first.requests = other.requests = []
    async with running_gateway(first, other, **STREAM) as (_, address):
        status, answer = await ask(address)
    assert status == 200
    texts = [line for line in answer.split(b"\n") if line.startswith(b"data: ")]
    assert texts == [b"data: e1", b"data: e2", b"data: e3", b"data: e4"]
    assert answer.endswith(b"0\r\n\r\n")
    assert b"last-event-id: 2" in first.requests[1].lower()


async def test_stream_that_is_not_resumable_is_cut_off():
    async def break_off(stream):
        await stream.send(SIGNED + b"content-length: 99\r\n\r\n" + events(1, 2))

    target = Target(break_off)
    async with running_gateway(target, kind="streaming") as (_, address):
        status, answer = await ask(address)
    assert status == 200
    assert not answer.endswith(b"0\r\n\r\n")


async def test_stream_that_no_target_can_resume_is_logged(caplog):
    """The gateway tried a second answer on the same connection, and logged nothing."""

    async def break_off(stream):
        await stream.send(SIGNED + b"content-length: 99\r\n\r\n" + events(1, 2))

    caplog.set_level("INFO")
    async with running_gateway(Target(break_off), **STREAM) as (_, address):
        status, answer = await ask(address)
    assert status == 200
    assert not answer.endswith(b"0\r\n\r\n")
    assert "broken off" in [record.message for record in caplog.records]


async def test_slow_but_healthy_stream_is_not_cut():
    """After 1.2 s without a byte its request was run again at another target."""

    async def act(stream):
        await stream.send(SIGNED + b"\r\n" + events(1, 1))
        await anyio.sleep(1.4)
        await stream.send(events(2, 2))

    targets = Target(act), Target(act)
    async with running_gateway(
        *targets, **STREAM, max_pause_seconds=0.4, timeout_seconds=4.0
    ) as (_, address):
        _, answer = await ask(address)
    assert answer.endswith(b"0\r\n\r\n")
    assert sum(len(target.requests) for target in targets) == 1


async def test_stream_without_complete_events_is_resumed_elsewhere():
    """Each byte restarted its timeout, until the caller's deadline."""

    async def drip(stream):
        await stream.send(SIGNED + b"\r\n" + events(1, 2))
        for _ in range(40):
            await anyio.sleep(0.1)
            await stream.send(b":")

    rest = events(3, 4)
    tail = SIGNED + b"content-length: %d\r\n\r\n" % len(rest) + rest
    first, other = Target(), Target()
    first.acts = other.acts = [drip, tail]
    async with running_gateway(
        first, other, **STREAM, max_pause_seconds=0.3, timeout_seconds=4.0
    ) as (_, address):
        _, answer = await ask(address)
    texts = [line for line in answer.split(b"\n") if line.startswith(b"data: ")]
    assert texts == [b"data: e1", b"data: e2", b"data: e3", b"data: e4"]
    assert answer.endswith(b"0\r\n\r\n")


async def test_event_is_passed_on_as_it_arrives():
    go_on = anyio.Event()

    async def act(stream):
        await stream.send(SIGNED + b"\r\n" + events(1, 1))
        await go_on.wait()
        await stream.send(events(2, 2))

    async with (
        running_gateway(Target(act), **STREAM) as (_, address),
        await connect(address) as stream,
    ):
        await stream.send(make_request())
        data = b""
        with anyio.fail_after(1):
            while b"e1" not in data:
                data += await stream.receive()
        go_on.set()


async def test_connection_to_the_target_closes_when_the_caller_leaves():
    closed = anyio.Event()

    async def act(stream):
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            closed.set()

    async with running_gateway(Target(act), **ONCE) as (gateway, address):
        async with await connect(address) as stream:
            await stream.send(make_request())
            await anyio.sleep(0.1)
        with anyio.fail_after(0.5):
            await closed.wait()
        await anyio.sleep(0.05)
        row = gateway.registry.targets.rows()[0]
        assert gateway.board.load(row.address).own_in_flight == 0


async def test_unreachable_target_is_skipped():
    good = Target(COMPLETE)
    async with running_gateway(good, **ONCE) as (gateway, address):
        row = gateway.registry.targets.rows()[0]
        dead = type(row)("i-9", "s", "127.0.0.1:9", "dc", "v1", 4, "ready", 0.0, 1, 1)
        gateway.registry.record(0.0, dead)
        for _ in range(4):
            assert (await ask(address))[0] == 200


async def test_leaving_gateway_refuses_late_requests():
    target = Target(COMPLETE)
    async with running_gateway(target) as (gateway, address):
        gateway.stop_plan = StopPlan(refuses_at=0.0)
        status, answer = await ask(address)
    assert status == 503
    assert b"retry-after: " in answer
    assert not target.requests


async def test_request_without_targets_is_refused_at_once():
    async with running_gateway() as (_, address):
        with anyio.fail_after(0.5):
            status, answer = await ask(address)
    assert status == 503
    assert b"retry-after: " in answer


async def test_gateway_that_is_cut_off_keeps_its_share_of_limits():
    """Both sides of a network partition used the full rate of a cold target."""
    async with running_gateway() as (gateway, _):
        rows = [
            MemberRow(f"edge-{n}", "gateway", "dc", "r", f"10.0.0.{n}:1", 1, 1)
            for n in range(1, 5)
        ]
        for row in rows:
            gateway.registry.record(0.0, row)
        assert len(gateway.gateway_names()) == 4
        for row in rows[1:]:
            gateway.registry.forget(1.0, Departure("member", row.key, 1))
        assert len(gateway.gateway_names()) == 4
        gateway._roster._seen_at["edge-4"] -= 61
        assert len(gateway.gateway_names()) == 3


async def test_key_lease_that_expires_after_screening_is_respected():
    """The lease on keys was checked only once, when the request was screened."""
    target = Target(COMPLETE)
    request = make_request("POST", body=b"text")
    async with (
        running_gateway(target) as (gateway, address),
        await connect(address) as stream,
    ):
        await stream.send(request[:-2])
        await anyio.sleep(0.1)
        gateway.feed.lease.confirmed_at -= 10.0
        await stream.send(request[-2:])
        answer = await read_all(stream)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after: " in answer
    assert not target.requests


async def test_request_that_crashes_one_target_after_another_is_refused():
    targets = [Target(close, COMPLETE) for _ in range(4)]
    poison = make_request("POST", body=b"poison")
    async with running_gateway(*targets) as (gateway, address):
        for _ in range(2):
            assert (await ask(address, poison))[0] == 502
        for row in gateway.registry.targets.rows():
            gateway.registry.record(1.0, replace(row, incarnation=2))
        await gateway.suspects.find_restarts()
        status, answer = await ask(address, poison)
        assert (status, b"retry-after: 60" in answer) == (503, True)
        assert sum(len(target.requests) for target in targets) == 4
        await anyio.sleep(1.0)
        assert (await ask(address, make_request("POST", body=b"sound")))[0] == 200


async def test_end_of_an_answer_without_length_is_logged(caplog):
    """The log didn't tell whether a target or its connection had ended the answer."""
    caplog.set_level("INFO")
    target = Target(SIGNED + b"\r\n" + events(1, 2) + b"id: 3\nda")
    async with running_gateway(target, kind="streaming") as (_, address):
        await ask(address)
    (line,) = [row for row in caplog.records if row.message == "answer broke off"]
    assert line.framing == "close"
    assert line.incomplete_event_bytes == len(b"id: 3\nda")


async def test_answer_of_another_type_on_a_route_for_streams_is_passed_on():
    """A body without events would look like a stream that ends inside an event."""
    body = b'{"text": "a\\n\\nb"}'
    length = b"content-length: %d\r\n\r\n" % len(body)
    target = Target(SIGNED + b"content-type: application/json\r\n" + length + body)
    async with running_gateway(target, kind="streaming") as (_, address):
        status, answer = await ask(address)
    assert status == 200
    assert answer.endswith(body)


@pytest.mark.parametrize("act", [NOT_RUN, close])
async def test_prompt_that_no_target_has_read_keeps_no_others_away(act, monkeypatch):
    """One request larger than any target's memory kept others away for minutes."""
    target = Target(act)
    async with running_gateway(target, kind="non_idempotent") as (gateway, address):
        monkeypatch.setattr(
            gateway.placements, "_prefill_seconds", lambda screened: 100.0
        )
        await ask(address)
        assert target.requests
        (row,) = gateway.registry.targets.rows()
        load = gateway.board.load(row.address)
        expected = 0.0 if act is NOT_RUN else pytest.approx(100.0, abs=5.0)
        assert load.remaining_prefill_seconds(time.monotonic()) == expected


async def test_target_receives_the_priority_of_the_request():
    """No offer said how urgent its request was, so that the engine couldn't tell."""
    target = Target(COMPLETE)
    async with running_gateway(target, priority=3) as (gateway, address):
        document = make_document(priority=3)
        document["routes"]["r-2"] = {
            **document["routes"]["r"],
            "prefix": "/urgent/",
            "priority": 0,
        }
        gateway.state.apply(PublishedState(2, Fence(1, 2), to_json(document)))
        await ask(address, make_request(request_priority=0))
    assert b"request-priority: 1\r\n" in target.requests[0].lower()


async def test_service_with_one_rank_gets_no_priority():
    target = Target(COMPLETE)
    async with running_gateway(target, priority=3) as (_, address):
        await ask(address, make_request(request_priority=0))
    assert b"request-priority" not in target.requests[0].lower()

"""Reading an answer ahead of its caller."""

import anyio
import pytest

from banyanshore.gateway.read_ahead import BLOCK_BYTES, ReadAhead
from banyanshore.http.upstream import BrokenAnswerError
from banyanshore.http.wire import READ_SIZE_BYTES, PeerClosedError
from banyanshore.routing.answer_memory import AnswerMemory

pytestmark = pytest.mark.anyio

# Turns of the event loop after which all tasks wait.
TURNS = 200


class SlowExchange:
    """A caller that takes a part of the answer when it is told to.

    :ivar sent: pairs of bytes and a mark.
    """

    def __init__(self, is_fast=False):
        self.on_blocked = None
        self.request_id = "id-1"
        self.sent = []
        self.error = None
        self._is_fast = is_fast
        self._taken = anyio.Event()

    async def send(self, data, mark):
        self.sent.append((data, mark))
        if self._is_fast:
            await anyio.lowlevel.checkpoint()
            return
        if self.on_blocked is not None:
            self.on_blocked()
        await self._taken.wait()
        if self.error is not None:
            raise self.error

    def take(self):
        self._taken.set()
        self._taken = anyio.Event()

    def take_all(self):
        self._is_fast = True
        self.take()


class PiecesOfAnswer:
    """An answer of numbered pieces.

    :ivar read: pieces that were read.
    :ivar progress: how often its timeout was restarted.
    """

    def __init__(self, count, size, error=None):
        self.pieces = [(b"%d" % (n % 10) * size, n) for n in range(count)]
        self.read = 0
        self.progress = 0
        self._error = error

    async def iter(self):
        for piece in self.pieces:
            await anyio.lowlevel.checkpoint()
            self.read += 1
            yield piece
        if self._error is not None:
            raise self._error

    def record_progress(self):
        self.progress += 1


async def settle():
    for _ in range(TURNS):
        await anyio.lowlevel.checkpoint()


def make_memory(target_bytes):
    return AnswerMemory(16 * 8 * target_bytes)


def join(pairs):
    return b"".join(data for data, _ in pairs)


async def test_answer_to_a_fast_caller_is_passed_on_piece_by_piece():
    memory = make_memory(4 * READ_SIZE_BYTES)
    answer, exchange = PiecesOfAnswer(5, 100), SlowExchange(is_fast=True)
    reading = ReadAhead(answer, memory.open("a"), exchange)
    await reading.relay(answer.iter(), exchange.send)
    assert exchange.sent == answer.pieces
    assert exchange.on_blocked is None


async def test_answer_to_a_slow_caller_is_read_to_its_end():
    memory = make_memory(4 * READ_SIZE_BYTES)
    answer, exchange = PiecesOfAnswer(50, 1000), SlowExchange()
    reading = ReadAhead(answer, memory.open("a"), exchange)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reading.relay, answer.iter(), exchange.send)
        await settle()
        assert answer.read == 50
        assert exchange.sent == answer.pieces[:1]
        assert memory.held_bytes == 49 * 1000
        exchange.take_all()
    assert join(exchange.sent) == join(answer.pieces)
    assert [mark for _, mark in exchange.sent][-1] == 49
    assert max(len(data) for data, _ in exchange.sent) <= BLOCK_BYTES
    assert memory.held_bytes == 0


async def test_answer_goes_on_at_the_pace_of_its_caller_without_room():
    """It is slower then, and never broken off."""
    memory = make_memory(0)
    answer, exchange = PiecesOfAnswer(20, 1000), SlowExchange()
    reading = ReadAhead(answer, memory.open("a"), exchange)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reading.relay, answer.iter(), exchange.send)
        for count in range(1, 20):
            await settle()
            assert answer.read == count
            exchange.take()
        exchange.take_all()
    assert exchange.sent == answer.pieces
    assert memory.held_bytes == 0
    # The target could not send meanwhile.
    assert answer.progress >= 18


async def test_answer_is_read_on_when_another_makes_room():
    memory = make_memory(2 * READ_SIZE_BYTES)
    memory.hold("a", READ_SIZE_BYTES + 1)
    answer, exchange = PiecesOfAnswer(20, 1000), SlowExchange()
    reading = ReadAhead(answer, memory.open("a"), exchange)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reading.relay, answer.iter(), exchange.send)
        await settle()
        assert answer.read == 1
        memory.release("a", READ_SIZE_BYTES + 1)
        await settle()
        assert answer.read == 20
        exchange.take_all()
    assert join(exchange.sent) == join(answer.pieces)


async def test_what_arrived_before_an_answer_broke_off_is_passed_on():
    memory = make_memory(4 * READ_SIZE_BYTES)
    error = BrokenAnswerError("broke off", step="body")
    answer, exchange = PiecesOfAnswer(20, 1000, error), SlowExchange()
    reading = ReadAhead(answer, memory.open("a"), exchange)
    errors = []

    async def relay():
        try:
            await reading.relay(answer.iter(), exchange.send)
        except BrokenAnswerError as error:
            errors.append(error)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(relay)
        await settle()
        assert errors == []
        exchange.take_all()
    assert errors == [error]
    assert join(exchange.sent) == join(answer.pieces)


async def test_caller_that_leaves_ends_the_reading():
    memory = make_memory(4 * READ_SIZE_BYTES)
    answer, exchange = PiecesOfAnswer(1000, 1000), SlowExchange()
    reading = ReadAhead(answer, memory.open("a"), exchange)
    exchange.error = PeerClosedError("closed", step="send")

    async def relay():
        with pytest.raises(PeerClosedError):
            await reading.relay(answer.iter(), exchange.send)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(relay)
        await settle()
        count = answer.read
        assert 1 < count < 1000
        exchange.take()
    await settle()
    assert answer.read == count


async def test_held_pieces_are_released_as_they_are_passed_on():
    """They counted until the caller had taken the whole answer."""
    memory = make_memory(4 * READ_SIZE_BYTES)
    answer, exchange = PiecesOfAnswer(4, READ_SIZE_BYTES // 2), SlowExchange()
    share = memory.open("a")
    share.hold(len(join(answer.pieces)))
    reading = ReadAhead(answer, share, exchange, answer.pieces, is_read=True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reading.relay, PiecesOfAnswer(0, 0).iter(), exchange.send)
        await settle()
        # What was passed on counts as a part of the caller's connection.
        assert memory.held_bytes == 2 * (READ_SIZE_BYTES // 2)
        exchange.take_all()
    assert join(exchange.sent) == join(answer.pieces)
    assert memory.held_bytes == 0

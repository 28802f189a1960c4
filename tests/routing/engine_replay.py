"""Replay arrivals through the boards of several gateways and modelled engines."""

import heapq
import itertools
import json
import random
from dataclasses import dataclass, field

from banyanshore.membership.load_reports import LoadReport, PlacementNotice
from banyanshore.membership.registry import RowTable, TargetRow
from banyanshore.routing.board import Choice, TargetBoard, Wish
from banyanshore.routing.engine_model import EngineModel
from banyanshore.routing.shares import ColdShares
from banyanshore.state import DesiredState, Fence, PublishedState
from banyanshore.state.document import empty_document

ENGINE = {
    "slots": 16, "steps_per_pass": 5, "step_seconds": 0.00927,
    "request_seconds": 0.0000232, "read_tokens_per_second": 20_700.0,
    "pairs_seconds": 0.00118, "read_tokens_per_step": 2048, "layers": 16,
    "usual_prompt_tokens": 979, "usual_answer_tokens": 92,
}  # fmt: skip
MODEL = EngineModel.from_row(ENGINE)
READ_PER_PASS = ENGINE["steps_per_pass"] * ENGINE["read_tokens_per_step"]
NOTICE_SECONDS = 0.003
WISH = Wish("llm", "m", objective_seconds=0.405)
REPORT_SECONDS = 0.15
# Seconds for which a caller waits, from its first attempt.
PATIENCE_SECONDS = 6.0


@dataclass
class Request:
    """One generation.

    :ivar first_at: time of its first event.
    """

    arrived_at: float
    prompt: int
    answer: int
    gateway: object = None
    row: object = None
    first_at: float | None = None
    has_returned: bool = False
    steps_left: int = 0


@dataclass
class Engine:
    """A target that works in passes, as the cost model says."""

    row: object
    waiting: list = field(default_factory=list)
    writing: list = field(default_factory=list)
    is_busy: bool = False

    def run_pass(self):
        """Return the seconds that a pass takes, the first events and the ends in it."""
        room = ENGINE["slots"] - len(self.writing)
        read, tokens = [], 0
        while self.waiting and len(read) < room and tokens < READ_PER_PASS:
            request = self.waiting.pop(0)
            tokens += request.prompt
            read.append(request)
        seconds = sum(MODEL.read_seconds(request.prompt) for request in read)
        self.writing += read
        steps = ENGINE["steps_per_pass"]
        seconds += steps * (
            MODEL.step_seconds + len(self.writing) * MODEL.request_seconds
        )
        ended = []
        for request in self.writing:
            request.steps_left -= steps
            if request.steps_left <= 0:
                ended.append(request)
        self.writing = [r for r in self.writing if r.steps_left > 0]
        return seconds, read, ended


class Settings:
    data_centre = "dc"
    regions = {"dc": "dc"}  # noqa: RUF012


def make_desired():
    document = empty_document()
    document["services"]["llm"] = {"kind": "direct", "engine": ENGINE}
    data = json.dumps(document).encode()
    return DesiredState(PublishedState(1, Fence(1, 1), data))


class Replay:
    """Gateways and engines under one load.

    :param tells: whether gateways tell each other what they have placed.
    :param returns_after: callable given a reason and the time that the caller has left,
        which returns when it comes back, once; ``None`` if refused callers don't.
    """

    def __init__(self, gateways=8, targets=10, seed=1, tells=True, returns_after=None):
        self.rng = random.Random(seed)
        self.tells = tells
        self.returns_after = returns_after
        self.desired = make_desired()
        table = RowTable("target", 0)
        for number in range(targets):
            address = f"10.0.0.{number}:80"
            row = TargetRow(
                f"i-{number}", "llm", address, "dc", "v1", 16, "ready", 0.0, 1, 1,
                "m", 1, 0, 16,
            )  # fmt: skip
            table.record(0.0, row)
        self.engines = {row.address: Engine(row) for row in table.rows()}
        self.names = [f"gateway-{number}" for number in range(gateways)]
        self.boards = {
            name: TargetBoard(
                Settings,
                table,
                ColdShares(name, 1.5, 5),
                random.Random(f"{seed}{name}"),
            )
            for name in self.names
        }
        self.events = []
        self.order = itertools.count()
        self.refused = []
        self.sequence = 0

    def at(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def run(self, requests):
        for request in requests:
            self.at(request.arrived_at, self.place, request)
        last = max(request.arrived_at for request in requests)
        for step in range(int(last / REPORT_SECONDS)):
            self.at(step * REPORT_SECONDS, self.report)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)

    def place(self, now, request):
        name = self.rng.choice(self.names)
        board = self.boards[name]
        choice = board.choose(now, WISH, self.desired, self.names)
        if not isinstance(choice, Choice):
            self.refuse(now, request, choice.reason)
            return
        request.gateway, request.row = board, choice.row
        request.steps_left = request.answer
        seconds = MODEL.read_seconds(request.prompt) if self.tells else 0.0
        board.begin(now, choice.row, seconds)
        if self.tells:
            notice = PlacementNotice(choice.row.address, seconds)
            for other in self.boards.values():
                if other is not board:
                    self.at(now + NOTICE_SECONDS, self.tell, other, notice)
        engine = self.engines[choice.row.address]
        engine.waiting.append(request)
        if not engine.is_busy:
            engine.is_busy = True
            self.at(now, self.begin_pass, engine)

    def refuse(self, now, request, reason):
        if self.returns_after is None or request.has_returned:
            self.refused.append(request)
            return
        request.has_returned = True
        left = PATIENCE_SECONDS - (now - request.arrived_at)
        self.at(now + self.returns_after(reason, left), self.place, request)

    def tell(self, now, board, notice):
        board.record_placement(now, notice)

    def begin_pass(self, now, engine):
        if not engine.waiting and not engine.writing:
            engine.is_busy = False
            return
        seconds, read, ended = engine.run_pass()
        for request in read:
            request.first_at = now + seconds
        for request in ended:
            self.at(now + seconds, self.end, request)
        self.at(now + seconds, self.begin_pass, engine)

    def end(self, now, request):
        request.gateway.end(request.row)

    def report(self, now):
        self.sequence += 1
        for address, engine in self.engines.items():
            report = LoadReport(
                address, 1, self.sequence, "m", 1, 16,
                len(engine.writing), len(engine.waiting),
            )  # fmt: skip
            for board in self.boards.values():
                board.record_report(now, report)


def make_requests(rate, seconds, seed=1):
    """Return arrivals at a rate, with prompts and answers that differ tenfold."""
    rng = random.Random(seed)
    requests, now = [], 0.0
    while (now := now + rng.expovariate(rate)) < seconds:
        prompt = min(3880, 40 + int(rng.lognormvariate(6.5, 0.8)))
        answer = min(250, 5 + int(rng.expovariate(1 / 87)))
        requests.append(Request(now, prompt, answer))
    return requests


def late_share(requests, objective):
    """Return the part of the requests whose first event missed the objective."""
    late = [
        r
        for r in requests
        if r.first_at is None or r.first_at - r.arrived_at > objective
    ]
    return len(late) / len(requests)

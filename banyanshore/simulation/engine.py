"""A target that works in passes, as its published cost model says."""


class SimulatedEngine:
    """One target.

    :param address: its address, which names it.
    :param plan: the :class:`~banyanshore.simulation.plan.EnginePlan`.
    :param model: the :class:`~banyanshore.routing.engine_model.EngineModel`.
    :ivar waiting: requests whose prompts it has not read.
    :ivar writing: requests that it writes answers to.
    :ivar pace: factor on its times, above 1 while it is slow.
    """

    def __init__(self, address, plan, model):
        self.address = address
        self.waiting = []
        self.writing = []
        self.is_busy = False
        self.is_down = False
        self.pace = 1.0
        # Number of its life, which tells passes of an earlier one.
        self.life = 0
        self._plan = plan
        self._model = model

    @property
    def load(self):
        """Return how many requests are there."""
        return len(self.waiting) + len(self.writing)

    def run_pass(self):
        """Return the seconds that a pass takes, and what it has read and ended."""
        plan, model = self._plan, self._model
        room = plan.slots - len(self.writing)
        most = plan.steps_per_pass * plan.read_tokens_per_step
        read, tokens = [], 0
        while self.waiting and len(read) < room and tokens < most:
            row = self.waiting.pop(0)
            tokens += row.prompt
            read.append(row)
        self.writing += read
        step = plan.step_seconds + len(self.writing) * plan.request_seconds
        seconds = sum(model.prefill_seconds(row.prompt) for row in read)
        seconds += plan.steps_per_pass * step
        for row in self.writing:
            row.steps_left -= plan.steps_per_pass
        ended = [row for row in self.writing if row.steps_left <= 0]
        self.writing = [row for row in self.writing if row.steps_left > 0]
        return seconds * self.pace, read, ended

    def fall(self):
        """Lose all that is there; return it."""
        lost = self.waiting + self.writing
        self.waiting, self.writing = [], []
        self.is_down, self.is_busy = True, False
        self.life += 1
        return lost

    def rise(self):
        """Take requests again."""
        self.is_down = False

"""Simulate a target that runs passes timed by its published cost model."""

import copy


class SimulatedEngine:
    """One simulated target.

    :param address: its address, used as its name.
    :param plan: the :class:`~banyanshore.simulation.plan.EnginePlan`.
    :param model: the :class:`~banyanshore.routing.engine_model.EngineModel`.
    :ivar waiting: requests whose prefill has not run yet.
    :ivar decoding: requests whose answers are being generated.
    :ivar is_busy: whether a pass is running or scheduled.
    :ivar is_down: whether it refuses all requests because it crashed.
    :ivar pace: factor on the duration of its passes, above 1 while it is slow.
    :ivar incarnation: number of crashes so far; a pass that was scheduled under an
        earlier number is ignored.
    """

    def __init__(self, address, plan, model):
        self.address = address
        self.waiting = []
        self.decoding = []
        self.is_busy = False
        self.is_down = False
        self.pace = 1.0
        self.incarnation = 0
        self._plan = plan
        self._model = model

    @property
    def load(self):
        """Return the number of waiting and decoding requests."""
        return len(self.waiting) + len(self.decoding)

    def run_pass(self):
        """Run a pass; return its seconds, and the requests prefilled and completed."""
        plan, model = self._plan, self._model
        free_slots = plan.slots - len(self.decoding)
        max_tokens = plan.steps_per_pass * plan.read_tokens_per_step
        prefilled, tokens = [], 0
        while self.waiting and len(prefilled) < free_slots and tokens < max_tokens:
            row = self.waiting.pop(0)
            tokens += row.prompt
            prefilled.append(row)
        self.decoding += prefilled
        step = plan.step_seconds + len(self.decoding) * plan.request_seconds
        seconds = sum(model.prefill_seconds(row.prompt) for row in prefilled)
        seconds += plan.steps_per_pass * step
        for row in self.decoding:
            row.steps_left -= plan.steps_per_pass
        completed = [row for row in self.decoding if row.steps_left <= 0]
        self.decoding = [row for row in self.decoding if row.steps_left > 0]
        return seconds * self.pace, prefilled, completed

    def snapshot(self):
        """Return a copy that keeps its load while this target goes on."""
        snapshot = copy.copy(self)
        snapshot.waiting = list(self.waiting)
        snapshot.decoding = list(self.decoding)
        return snapshot

    def crash(self):
        """Go down and drop all requests; return them."""
        lost = self.waiting + self.decoding
        self.waiting, self.decoding = [], []
        self.is_down, self.is_busy = True, False
        self.incarnation += 1
        return lost

    def restart(self):
        """Accept requests again."""
        self.is_down = False

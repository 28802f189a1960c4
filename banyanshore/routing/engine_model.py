"""Time estimates for a model engine, from the cost model that its service publishes."""

from banyanshore.core.values import dataclass


@dataclass(frozen=True)
class EngineModel:
    """Cost model of an engine, which works in passes.

    In a pass each request in decode gets some decode steps, and waiting prompts are
    prefilled between the steps, in their order of arrival.

    :param slots: requests that the engine decodes at once.
    :param steps_per_pass: decode steps in a pass.
    :param step_seconds: duration of a decode step.
    :param request_seconds: time that each request in decode adds to a step.
    :param read_tokens_per_second: prompt tokens prefilled per second.
    :param pairs_seconds: time for a million attention pairs (a token and an earlier
        one).
    :param usual_prompt_tokens: mean length of a prompt.
    :param usual_answer_tokens: mean length of an answer.
    :param kv_tokens: tokens that the memory for requests holds, 0 if unknown.
    """

    slots: int = 16
    steps_per_pass: int = 1
    step_seconds: float = 0.01
    request_seconds: float = 0.0
    read_tokens_per_second: float = 20_000.0
    pairs_seconds: float = 0.0
    usual_prompt_tokens: float = 1_000.0
    usual_answer_tokens: float = 100.0
    kv_tokens: int = 0

    @classmethod
    def from_row(cls, row):
        """Return the model in a service's ``engine`` row of the desired state."""
        known = cls.__dataclass_fields__
        return cls(**{name: value for name, value in row.items() if name in known})

    def prefill_seconds(self, tokens):
        """Return the prefill time of a prompt.

        >>> model = EngineModel(read_tokens_per_second=20_000.0, pairs_seconds=0.001)
        >>> round(model.prefill_seconds(2_000), 3)
        0.102
        """
        pairs = tokens * tokens / 2e6
        return tokens / self.read_tokens_per_second + pairs * self.pairs_seconds

    def is_too_large(self, size):
        """Return whether a prompt alone fills the memory of a target.

        :param size: the :class:`~banyanshore.routing.target_memory.RequestSize`.
        """
        return 0 < self.kv_tokens <= size.prompt

    def slot_seconds(self, active):
        """Return the mean time until one of the active requests finishes."""
        step = self.step_seconds + active * self.request_seconds
        return self.usual_answer_tokens * step / max(1, active)

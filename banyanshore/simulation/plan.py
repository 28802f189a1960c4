"""Settings of a simulation: targets, kinds of request, bursts, faults, policies.

Times are in seconds, lengths of prompts and answers in tokens.
"""

from banyanshore.conf.fields import setting
from banyanshore.core.values import dataclass

POLICIES = ("board", "least-in-flight", "two-choices", "round-robin")
FAULTS = ("down", "slow")


@dataclass(frozen=True)
class EnginePlan:
    """Cost model of the targets, with the fields that a service publishes."""

    slots: int = setting("Requests that a target works on at once.", 16, minimum=1)
    steps_per_pass: int = setting("Steps of a pass.", 5, minimum=1)
    step_seconds: float = setting("Time of a step.", 0.00927, minimum=0.0)
    request_seconds: float = setting(
        "Time that each writing request adds to a step.", 0.0000232, minimum=0.0
    )
    read_tokens_per_second: float = setting(
        "Prompt tokens read a second.", 20_700.0, minimum=1.0
    )
    pairs_seconds: float = setting(
        "Time for a million pairs of a token and an earlier one.", 0.00118, minimum=0.0
    )
    read_tokens_per_step: int = setting(
        "Prompt tokens read in a step at most.", 2048, minimum=1
    )
    usual_prompt_tokens: float = setting("Mean prompt.", 979.0, minimum=1.0)
    usual_answer_tokens: float = setting("Mean answer.", 92.0, minimum=1.0)


@dataclass(frozen=True)
class KindPlan:
    """A kind of request: its rate, lengths, objective and worth."""

    name: str = setting("Name in the report.")
    rate: float = setting("Requests a second.", minimum=0.0)
    prompt_tokens: float = setting("Median prompt.", 700.0, minimum=1.0)
    prompt_spread: float = setting(
        "Spread of prompts: standard deviation of their logarithm.", 0.8, minimum=0.0
    )
    longest_prompt: int = setting("Longest prompt.", 3_900, minimum=1)
    answer_tokens: float = setting("Mean answer.", 92.0, minimum=1.0)
    longest_answer: int = setting("Longest answer.", 250, minimum=1)
    objective_seconds: float = setting("Time to the first token.", 0.5, minimum=0.001)
    patience_seconds: float = setting(
        "Time for which a caller waits, from its first attempt.", 6.0, minimum=0.001
    )
    worth: float = setting("Worth of an answer in time.", 1.0, minimum=0.0)
    late_worth: float = setting("Worth of a later answer.", 0.25, minimum=0.0)


@dataclass(frozen=True)
class BurstPlan:
    """A period in which requests arrive at a multiple of their usual rate."""

    at: float = setting("Start.", minimum=0.0)
    seconds: float = setting("Length.", minimum=0.0)
    factor: float = setting("Requests, as a multiple of the usual ones.", minimum=0.0)
    kind: str = setting("Kind of request; all if empty.", "")


@dataclass(frozen=True)
class FaultPlan:
    """A period in which some targets are down or slow."""

    at: float = setting("Start.", minimum=0.0)
    seconds: float = setting("Length.", minimum=0.0)
    targets: int = setting("How many.", 1, minimum=1)
    what: str = setting("What happens.", "down", choices=FAULTS)
    factor: float = setting("How much slower.", 4.0, minimum=1.0)


@dataclass(frozen=True)
class Plan:
    """Complete settings of a simulation."""

    kinds: list[KindPlan] = setting("Kinds of request.")
    seconds: float = setting("Length.", 30.0, minimum=0.1)
    seed: int = setting("Seed of arrivals and of the policy.", 1)
    gateways: int = setting("Gateways.", 8, minimum=1)
    targets: int = setting("Targets.", 10, minimum=1)
    engine: EnginePlan = setting("Cost model of the targets.", EnginePlan)
    bursts: list[BurstPlan] = setting("Bursts.", ())
    faults: list[FaultPlan] = setting("Faults.", ())
    policies: list[str] = setting("Policies to compare.", ("board",), choices=POLICIES)
    callers_return: bool = setting(
        "Whether refused callers come back once, when they are told to.", True
    )
    report_interval: float = setting(
        "Time between reports of the targets' load.", 0.15, minimum=0.01
    )
    notice_seconds: float = setting(
        "Time that the news of a placement takes to other gateways.",
        0.003,
        minimum=0.0,
    )
    report_seconds: float = setting(
        "Time that a report takes to the gateways.", 0.0, minimum=0.0
    )
    news_loss: float = setting(
        "Part of the reports and notices that each gateway doesn't receive.",
        0.0,
        minimum=0.0,
    )

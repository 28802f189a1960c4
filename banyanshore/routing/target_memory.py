"""The tokens that requests hold in the memory of a target, free of I/O.

Load pattern: a few requests are a hundred times larger than usual, and answers become
far longer than their callers have estimated. A target ends, with all that it runs, if
the requests that it holds exceed its memory. Each of several gateways sends a large one
to it before it hears of the others'.

A request holds its prompt and what has been written of its answer, up to its end. What
a target holds is estimated from its last report, what its requests are expected to
write yet, and the requests sent since. A request larger than a target's memory by its
prompt alone fits nowhere; one that is so only by its expected answer gets a target for
itself.
"""

import math
from collections import deque
from statistics import median

from banyanshore.core.values import dataclass

# Seconds after which a report is too old to estimate the load: several report
# intervals.
REPORT_EXPIRY_SECONDS = 1.5
# Part of a target's memory that may be used by estimate; the rest is for answers that
# become longer than expected, and for requests of which nothing is heard yet.
USED_PART = 0.85
# Part of a target's memory above which a request is large.
LARGE_PART = 1 / 16
# Seconds for which room is left for another request as large as the largest one that
# another gateway has sent.
LARGEST_SECONDS = 10.0
# Answers of a service from which the usual length and the error of hints are
# determined, and from how many on.
ANSWERS_KEPT = 64
MIN_ANSWERS = 8
# Largest correction of hints, either way.
MAX_CORRECTION = 4.0


@dataclass(frozen=True)
class RequestSize:
    """The tokens that a request holds.

    :param prompt: length of its prompt, which is certain.
    :param answer: expected length of its answer.
    :param is_large: whether the memory of targets may decide where it finds room.
    """

    prompt: int = 0
    answer: int = 0
    is_large: bool = False

    @property
    def total(self):
        """Return the tokens that it holds at its end."""
        return self.prompt + self.answer


NO_SIZE = RequestSize()


def make_size(prompt, answer, capacity):
    """Return the :class:`RequestSize` of a request.

    :param capacity: tokens that the memory of a target holds, 0 if unknown.

    >>> make_size(900.0, 91.6, 10_000), make_size(900.0, 91.6, 0).is_large
    (RequestSize(prompt=900, answer=92, is_large=True), False)
    """
    prompt, answer = round(prompt), round(answer)
    return RequestSize(prompt, answer, 0 < LARGE_PART * capacity < prompt + answer)


class AnswerLengths:
    """Expected lengths of answers, corrected by those that one gateway has seen."""

    def __init__(self):
        self._lengths_by_service = {}
        self._ratios_by_service = {}

    def record(self, service, hint, tokens):
        """Record the length of an answer that was complete.

        :param hint: length that its caller had estimated, 0 if it has not.
        """
        rows = [(self._lengths_by_service, tokens)]
        if hint:
            rows.append((self._ratios_by_service, tokens / hint))
        for values_by_service, value in rows:
            values = values_by_service.get(service)
            if values is None:
                values = values_by_service[service] = deque(maxlen=ANSWERS_KEPT)
            values.append(value)

    def expected(self, service, usual, hint, longest):
        """Return the expected length of an answer in tokens.

        :param usual: usual length by the service's cost model.
        :param hint: length that the caller estimates, 0 without one.
        :param longest: length at which it ends, 0 if unknown.

        >>> lengths = AnswerLengths()
        >>> lengths.expected("llm", 92.0, 0, 0), lengths.expected("llm", 92.0, 300, 250)
        (92.0, 250)
        >>> for _ in range(8):
        ...     lengths.record("llm", 100, 150)
        >>> lengths.expected("llm", 92.0, 0, 0), lengths.expected("llm", 92.0, 300, 0)
        (150.0, 450.0)
        """
        if hint:
            ratio = self._median(self._ratios_by_service, service, 1.0)
            length = hint * min(MAX_CORRECTION, max(1 / MAX_CORRECTION, ratio))
        else:
            length = self._median(self._lengths_by_service, service, usual)
        return min(length, longest) if longest else length

    def keep_only(self, services):
        """Forget the services that no longer exist."""
        for values_by_service in (self._lengths_by_service, self._ratios_by_service):
            for service in values_by_service.keys() - set(services):
                del values_by_service[service]

    def _median(self, values_by_service, service, default):
        values = values_by_service.get(service, ())
        return median(values) if len(values) >= MIN_ANSWERS else default


class TargetMemory:
    """The tokens that requests at one target hold, as one gateway estimates them.

    :ivar own_tokens: those of this gateway's requests at their ends.
    """

    def __init__(self):
        self.own_tokens = 0.0
        self._own_at_report = 0.0
        self._others_since_report = 0.0
        # The largest request of another gateway lately, and when it was heard of.
        self._largest = 0.0
        self._largest_at = -math.inf
        self._report = None
        self._reported_at = -math.inf

    def record_report(self, now, report, own_unknown):
        """Record a report of the target.

        :param own_unknown: tokens of own requests that it doesn't know yet.
        """
        self._report = report
        self._reported_at = now
        self._own_at_report = self.own_tokens - own_unknown
        self._others_since_report = 0.0

    def record_placement(self, now, tokens):
        """Record a request of another gateway; negative tokens if it did not run."""
        if tokens >= self._largest or self._largest_at <= now - LARGEST_SECONDS:
            self._largest, self._largest_at = max(0.0, tokens), now
        self._others_since_report = max(0.0, self._others_since_report + tokens)

    def has_room(self, now, model, tokens):
        """Return whether a request fits beside what the target holds.

        :param model: the :class:`~banyanshore.routing.engine_model.EngineModel`.
        :param tokens: those that the request is expected to hold at its end.
        """
        capacity = model.kv_tokens
        if not capacity:
            return True
        held = self.own_tokens + self._others_since_report
        if now - self._reported_at <= REPORT_EXPIRY_SECONDS:
            # Requests that run may have their whole answers before them, and those that
            # wait are in no report of the memory.
            report, answer = self._report, model.usual_answer_tokens
            others = report.memory_used * capacity + report.active * answer
            others += report.queued * (model.usual_prompt_tokens + answer)
            held += max(0.0, others - self._own_at_report)
        if not held:
            return True
        # Another gateway may send one at the same time, which isn't known here yet.
        free = (1 - USED_PART) * capacity
        if self._largest > free and self._largest_at > now - LARGEST_SECONDS:
            free = self._largest
        return held + tokens <= capacity - free

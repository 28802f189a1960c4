"""The load of a target as estimated by one gateway."""

import math
from collections import deque
from dataclasses import field

from banyanshore.core.values import dataclass
from banyanshore.routing.prompt_backlog import PromptBacklog
from banyanshore.routing.target_memory import REPORT_EXPIRY_SECONDS, TargetMemory

# Weight of the newest answer in the moving average of failures.
FAILURE_WEIGHT = 0.1


@dataclass
class TargetLoad:
    """The load of one target as estimated by this gateway.

    :ivar own_in_flight: this gateway's requests in flight at the target.
    :ivar report: the last report, or ``None``.
    :ivar own_in_flight_at_report: ``own_in_flight`` when the report was made.
    :ivar own_changes: times at which own requests began or ended lately, and the
        changes of ``own_in_flight``, 1 or -1, and of their tokens then.
    :ivar announced_since_report: requests that other gateways have announced since
        then.
    :ivar memory: the tokens that its requests hold.
    :ivar failures: consecutive offers that failed to reach it or lost its answer.
    :ivar suspended_until: time until which no requests are sent to it.
    :ivar prompts: the prompts that it has still to read.
    :ivar failure_rate: moving average of the part of its answers that were failures.
    :ivar first_byte_seconds: time until the answer to this gateway's last request
        began.
    :ivar awaiting_first_byte: send times of this gateway's requests whose answer has
        not begun.
    """

    own_in_flight: int = 0
    report: object = None
    reported_at: float = -math.inf
    own_in_flight_at_report: int = 0
    own_changes: deque = field(default_factory=deque)
    announced_since_report: int = 0
    failures: int = 0
    suspended_until: float = -math.inf
    prompts: PromptBacklog = field(default_factory=PromptBacklog)
    memory: TargetMemory = field(default_factory=TargetMemory)
    failure_rate: float = 0.0
    first_byte_seconds: float = 0.0
    awaiting_first_byte: list = field(default_factory=list)

    def count_begin(self, now, tokens=0.0):
        """Count a request that this gateway sends to the target.

        :param tokens: those that it is expected to hold at its end.
        """
        self._change_own(now, 1, tokens)

    def count_end(self, now, tokens=0.0):
        """Count the end of a request that this gateway has sent to the target."""
        self._change_own(now, -1, -tokens)

    def _change_own(self, now, change, tokens):
        self.own_in_flight += change
        self.memory.own_tokens += tokens
        self.own_changes.append((now, change, tokens))
        while self.own_changes[0][0] < now - REPORT_EXPIRY_SECONDS:
            self.own_changes.popleft()

    def record_sent(self, now):
        """Record that this gateway sends a request."""
        self.awaiting_first_byte.append(now)

    def record_first_byte(self, now, offered_at):
        """Record that the target has begun to answer a request."""
        if offered_at in self.awaiting_first_byte:
            self.awaiting_first_byte.remove(offered_at)
            self.first_byte_seconds = now - offered_at

    def record_end(self, now, offered_at):
        """Record the end of a request, whether its answer had begun or not."""
        if offered_at in self.awaiting_first_byte:
            self.awaiting_first_byte.remove(offered_at)
            self.first_byte_seconds = max(self.first_byte_seconds, now - offered_at)

    def expected_first_byte_seconds(self, now):
        """Return the expected time until the target begins to answer a new request.

        Load pattern: a link is congested by weight transfers while connections still
        open at once. The age of the oldest request without an answer reveals it.
        """
        oldest = min(self.awaiting_first_byte, default=now)
        return max(self.first_byte_seconds, now - oldest)

    def record_outcome(self, has_failed):
        """Record whether a request to the target has failed."""
        self.failure_rate += FAILURE_WEIGHT * (has_failed - self.failure_rate)

    def record_report(self, now, report, news_age=0.0):
        """Record a report, which counts all requests at the target when it was made.

        Load pattern: news takes longer than the interval of requests. Own requests that
        a report doesn't know must count beside it.

        :param news_age: seconds that the report was on its way.

        >>> from types import SimpleNamespace
        >>> load = TargetLoad()
        >>> load.count_begin(1.0)
        >>> report = SimpleNamespace(active=3, queued=0)
        >>> load.record_report(1.1, report, 0.2)
        >>> load.estimated_in_flight(1.1)
        4
        """
        self.report = report
        self.reported_at = now
        unknown = unknown_tokens = 0
        for time, change, tokens in self.own_changes:
            if time > now - news_age:
                unknown += change
                unknown_tokens += tokens
        self.own_in_flight_at_report = self.own_in_flight - unknown
        self.memory.record_report(now, report, unknown_tokens)
        self.announced_since_report = 0

    def record_placement(self, now, seconds, tokens=0.0):
        """Record a request that another gateway has sent to the target.

        :param seconds: prefill time of its prompt; negative if the target did not run
            the request.
        :param tokens: those that it is expected to hold at its end; negative likewise.
        """
        self.memory.record_placement(now, tokens)
        if seconds < 0:
            self.announced_since_report = max(0, self.announced_since_report - 1)
            self.prompts.remove_of_others(-seconds)
            return
        self.announced_since_report += 1
        if seconds:
            self.prompts.add(now, seconds)

    @property
    def pace(self):
        """Return the target's reported slowdown factor, 1 if unknown."""
        return self.report.pace if self.report is not None else 1.0

    def remaining_prefill_seconds(self, now):
        """Return the time that the target still needs to prefill its prompts."""
        return self.prompts.remaining_seconds(now)

    def estimated_in_flight(self, now):
        """Return the estimated number of requests at the target now."""
        if now - self.reported_at > REPORT_EXPIRY_SECONDS:
            return self.own_in_flight
        total = self.report.active + self.report.queued + self.announced_since_report
        return max(
            self.own_in_flight,
            total - self.own_in_flight_at_report + self.own_in_flight,
        )

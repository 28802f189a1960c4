"""The load of a target as estimated by one gateway."""

import math
from dataclasses import dataclass, field

# Seconds after which a report is too old to estimate the load: several report
# intervals.
REPORT_SECONDS = 1.5
# Weight of the newest answer in the moving average of failures.
FAULT_WEIGHT = 0.1


@dataclass
class TargetLoad:
    """The load of one target as estimated by this gateway.

    :ivar own: this gateway's requests in flight at the target.
    :ivar report: the last report, or ``None``.
    :ivar own_at_report: ``own`` when the report arrived.
    :ivar told_since_report: requests that other gateways have announced since then.
    :ivar failures: consecutive offers that failed to reach it or lost its answer.
    :ivar suspended_until: time until which no requests are sent to it.
    :ivar read_until: time at which it will have prefilled the prompts sent to it.
    :ivar fault_level: moving average of the part of its answers that were failures.
    :ivar begin_seconds: time until the answer to this gateway's last request began.
    :ivar unbegun: send times of this gateway's requests whose answer has not begun.
    """

    own: int = 0
    report: object = None
    reported_at: float = -math.inf
    own_at_report: int = 0
    told_since_report: int = 0
    failures: int = 0
    suspended_until: float = -math.inf
    read_until: float = -math.inf
    fault_level: float = 0.0
    begin_seconds: float = 0.0
    unbegun: list = field(default_factory=list)

    def expect_begin(self, now):
        """Record that this gateway sends a request."""
        self.unbegun.append(now)

    def record_begin(self, now, offered_at):
        """Record that the target has begun to answer a request."""
        if offered_at in self.unbegun:
            self.unbegun.remove(offered_at)
            self.begin_seconds = now - offered_at

    def record_end(self, now, offered_at):
        """Record the end of a request, whether its answer had begun or not."""
        if offered_at in self.unbegun:
            self.unbegun.remove(offered_at)
            self.begin_seconds = max(self.begin_seconds, now - offered_at)

    def expected_begin_seconds(self, now):
        """Return the expected time until the target begins to answer a new request.

        Load pattern: a link is congested by weight transfers while connections still
        open at once. The age of the oldest request without an answer reveals it.
        """
        oldest = min(self.unbegun, default=now)
        return max(self.begin_seconds, now - oldest)

    def record_outcome(self, has_failed):
        """Record whether a request to the target has failed."""
        self.fault_level += FAULT_WEIGHT * (has_failed - self.fault_level)

    def add_reading(self, now, seconds):
        """Add the prefill time of a prompt that is sent to the target."""
        self.read_until = max(now, self.read_until) + seconds

    def record_report(self, now, report):
        """Record a report, which counts all requests at the target when it was made."""
        self.report = report
        self.reported_at = now
        self.own_at_report = self.own
        self.told_since_report = 0

    def record_placement(self, now, seconds):
        """Record a request that another gateway has sent to the target.

        :param seconds: prefill time of its prompt.
        """
        self.told_since_report += 1
        self.add_reading(now, seconds)

    @property
    def pace(self):
        """Return the target's reported slowdown factor, 1 if unknown."""
        return self.report.pace if self.report is not None else 1.0

    def reading_seconds(self, now):
        """Return the time that the target still needs to prefill its prompts."""
        return max(0.0, self.read_until - now)

    def estimate(self, now):
        """Return the estimated number of requests at the target now."""
        if now - self.reported_at > REPORT_SECONDS:
            return self.own
        total = self.report.active + self.report.queued + self.told_since_report
        return max(self.own, total - self.own_at_report + self.own)

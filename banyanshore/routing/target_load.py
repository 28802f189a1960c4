"""What one gateway knows of the load of a target."""

import math
from dataclasses import dataclass, field

# Seconds after which a report says nothing about the load any more: several intervals.
REPORT_SECONDS = 1.5
# Part that the newest answer has in how faulty a target is taken to be.
FAULT_WEIGHT = 0.1


@dataclass
class TargetLoad:
    """What this gateway knows of the load of one target.

    :ivar own: requests of this gateway that are there.
    :ivar report: the last report, or ``None``.
    :ivar own_at_report: ``own`` when the report arrived.
    :ivar told_since_report: requests that other gateways have told of since then.
    :ivar suspended_until: time until which it is left alone.
    :ivar read_until: time until which it reads the prompts that it has been given.
    :ivar fault_level: part of the last answers that were failures, newest first.
    :ivar begin_seconds: time that the last request of this gateway took to begin there.
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
        """Take note of a request of this gateway that is sent to it."""
        self.unbegun.append(now)

    def record_begin(self, now, offered_at):
        """Take note that it has begun to answer a request."""
        if offered_at in self.unbegun:
            self.unbegun.remove(offered_at)
            self.begin_seconds = now - offered_at

    def record_end(self, now, offered_at):
        """Take note of a request that has ended, whether it had begun or not."""
        if offered_at in self.unbegun:
            self.unbegun.remove(offered_at)
            self.begin_seconds = max(self.begin_seconds, now - offered_at)

    def expected_begin_seconds(self, now):
        """Return the time that another request is expected to take to begin there.

        Load pattern: a link that stalls behind weights, over which connections still
        open at once. It shows by what has not begun yet.
        """
        oldest = min(self.unbegun, default=now)
        return max(self.begin_seconds, now - oldest)

    def record_outcome(self, has_failed):
        """Take note of how an answer ended."""
        self.fault_level += FAULT_WEIGHT * (has_failed - self.fault_level)

    def add_reading(self, now, seconds):
        """Take note of a prompt that the target has been given."""
        self.read_until = max(now, self.read_until) + seconds

    def record_report(self, now, report):
        """Take a report, which counts all that were there when it was made."""
        self.report = report
        self.reported_at = now
        self.own_at_report = self.own
        self.told_since_report = 0

    def record_placement(self, now, seconds):
        """Take note of a request that another gateway has sent there.

        :param seconds: time that the target needs to read it.
        """
        self.told_since_report += 1
        self.add_reading(now, seconds)

    @property
    def pace(self):
        """Return the factor on the time that its work takes, 1 if it isn't known."""
        return self.report.pace if self.report is not None else 1.0

    def reading_seconds(self, now):
        """Return the time that the target needs for the prompts it has been given."""
        return max(0.0, self.read_until - now)

    def estimate(self, now):
        """Return how many requests are there now, as far as is known."""
        if now - self.reported_at > REPORT_SECONDS:
            return self.own
        total = self.report.active + self.report.queued + self.told_since_report
        return max(self.own, total - self.own_at_report + self.own)

"""Concurrency limit of a target: cold start, ramp-up and detection of cold targets.

All requests to a target go through its agent, so the agent's own count is
authoritative. A target counts as cold again after one of three signs: a new
incarnation, an error from the target, or late first tokens. A first token that is
overdue lowers the limit before it arrives.
"""

from dataclasses import field

from banyanshore.core.values import dataclass

# Weight of a new sample in the exponential moving averages.
_SMOOTHING = 0.1
# Consecutive slow first tokens after which a target counts as cold.
_SLOW_IN_A_ROW = 2
# Lower bound of the baseline time to first token, in seconds; shorter times are
# dominated by noise.
_MIN_BASELINE_SECONDS = 0.05
# First tokens that must be measured before times are compared with the baseline.
_MIN_BASELINE_SAMPLES = 5


@dataclass(frozen=True)
class AdmissionOptions:
    """Concurrency limits of one target, see ``admission`` in the settings.

    ``cold_seconds`` counts from the first completed request.
    """

    cold_limit: int = 1
    cold_completions: int = 4
    cold_seconds: float = 3.0
    full_limit: int = 8
    ramp_completions: int = 2
    cold_ttft_factor: float = 5.0


@dataclass
class Admission:
    """Concurrency limiter of one target.

    :param limit: requests that may run at once.
    :param foreign: requests at the target that an earlier incarnation of the agent
        started.
    :param exclusive_id: id of the request that runs alone or waits to, empty for none.
    :param baseline_ttft: moving average of the time to first token, in seconds.
    :param service_seconds: moving average of the duration of a request.
    :param started_at_by_id: start time of each request that still waits for its first
        token, by request id.
    """

    options: AdmissionOptions
    limit: int = 0
    in_flight: int = 0
    foreign: int = 0
    exclusive_id: str = ""
    baseline_ttft: float = 0.0
    service_seconds: float = 0.0
    started_at_by_id: dict = field(default_factory=dict)
    _last_full_at: float = float("-inf")
    _incarnation: str = ""
    _cold_since: float | None = None
    _completed: int = 0
    _samples: int = 0
    _slow_in_a_row: int = 0

    def __post_init__(self):
        self.limit = self.options.cold_limit

    def observe_incarnation(self, incarnation):
        """Record the target's incarnation; a new one starts cold."""
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self.become_cold()

    def observe_foreign(self, reported):
        """Update the number of requests that this agent did not start.

        They were started by an earlier incarnation of the agent. Their number only
        falls, since no other process may send requests to the target.

        :param reported: number of requests that the target reports as running.
        """
        self.foreign = min(self.foreign, max(0, reported - self.in_flight))

    def become_cold(self):
        """Reset the limit to the cold limit, and discard baseline and ramp progress."""
        self.limit = self.options.cold_limit
        self.baseline_ttft = 0.0
        self._cold_since = None
        self._completed = self._samples = self._slow_in_a_row = 0

    def current_limit(self, now):
        """Return how many requests may run at the target now."""
        if self._first_token_is_late(now):
            return min(self.limit, self.options.cold_limit)
        return self.limit

    def try_acquire(self, now, request_id, exclusive=False):
        """Admit a request if the limit allows it; return whether it was admitted.

        :param exclusive: whether it must run alone; while it waits for the others to
            finish, no other request is admitted.
        """
        total = self.in_flight + self.foreign
        if self.exclusive_id and self.exclusive_id != request_id:
            return False
        if exclusive:
            self.exclusive_id = request_id
            if total > 0:
                return False
        elif total >= self.current_limit(now):
            self._last_full_at = now
            return False
        self.in_flight += 1
        self._record_if_full(now)
        self.started_at_by_id[request_id] = now
        return True

    def has_settled(self, now, cold_since, quiet_seconds):
        """Return whether a target that became cold can carry its share of the load.

        This is so once its limit is half of the full limit, or once it has had spare
        capacity throughout the last ``quiet_seconds``.
        """
        if 2 * self.limit >= self.options.full_limit:
            return True
        self._record_if_full(now)
        return now - max(cold_since, self._last_full_at) >= quiet_seconds

    def _record_if_full(self, now):
        if self.in_flight + self.foreign >= self.limit:
            self._last_full_at = now

    def abandon_exclusive(self, request_id):
        """Stop waiting for an exclusive request, if this is the one."""
        if self.exclusive_id == request_id:
            self.exclusive_id = ""

    def record_first_token(self, now, request_id):
        """Record the first token of a request, and become cold if several were slow."""
        started_at = self.started_at_by_id.pop(request_id, None)
        if started_at is None:
            return
        ttft = now - started_at
        if self._is_slow(ttft):
            self._slow_in_a_row += 1
            if self._slow_in_a_row >= _SLOW_IN_A_ROW:
                self.become_cold()
            return
        self._slow_in_a_row = 0
        self._samples += 1
        weight = max(_SMOOTHING, 1 / self._samples)
        self.baseline_ttft += weight * (ttft - self.baseline_ttft)

    def release(self, now, request_id, seconds, succeeded):
        """Record the end of a request.

        :param seconds: how long it ran.
        :param succeeded: whether the target answered it completely.
        """
        self._record_if_full(now)
        self.in_flight -= 1
        self.started_at_by_id.pop(request_id, None)
        self.abandon_exclusive(request_id)
        if not succeeded:
            return
        weight = _SMOOTHING if self.service_seconds else 1.0
        self.service_seconds += weight * (seconds - self.service_seconds)
        self._completed += 1
        if self._may_ramp(now):
            self._completed = 0
            self.limit = min(self.limit + 1, self.options.full_limit)

    def _may_ramp(self, now):
        if self.limit > self.options.cold_limit:
            return self._completed >= self.options.ramp_completions
        # Targets warm up by work, by time, or by both, so both are required.
        if self._cold_since is None:
            self._cold_since = now
        warmed_for = now - self._cold_since
        return (
            self._completed >= self.options.cold_completions
            and warmed_for >= self.options.cold_seconds
        )

    def _is_slow(self, ttft):
        if self._samples < _MIN_BASELINE_SAMPLES:
            return False
        baseline = max(self.baseline_ttft, _MIN_BASELINE_SECONDS)
        return ttft > self.options.cold_ttft_factor * baseline

    def _first_token_is_late(self, now):
        oldest = next(iter(self.started_at_by_id.values()), None)
        return oldest is not None and self._is_slow(now - oldest)

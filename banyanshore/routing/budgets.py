"""Token buckets for retries and for the bandwidth of a link."""

from banyanshore.core.values import dataclass


@dataclass
class RetryBudget:
    """Token bucket of retries, which keeps failures from multiplying the load.

    :param ratio: retries earned by each success.
    :param burst: initial and maximum number of available retries.
    """

    ratio: float
    burst: float
    _tokens: float = -1.0

    def __post_init__(self):
        self._tokens = float(self.burst)

    def record_success(self):
        """Add the fraction of a retry that a success earns."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def try_spend(self):
        """Take a retry if one is available; return whether it was."""
        # Fractions of a retry add up with a rounding error.
        if self._tokens < 1 - 1e-9:
            return False
        self._tokens -= 1
        return True


@dataclass
class ByteBudget:
    """Token bucket of bytes that may cross a link, with a burst of one second.

    Spending may overdraw the bucket, since the size of an answer is known only as it
    arrives; later transfers wait until the deficit is paid off.

    :param rate: bytes per second; 0 for no limit.
    """

    rate: float
    _tokens: float = 0.0
    _updated_at: float | None = None

    def has_room(self, now):
        """Return whether any bytes may be sent now."""
        self._refill(now)
        return self.rate == 0 or self._tokens > 0

    def spend(self, now, count):
        """Take a number of bytes from the bucket."""
        self._refill(now)
        self._tokens -= count

    def seconds_until_room(self, now):
        """Return the seconds until any bytes may be sent."""
        if self.has_room(now):
            return 0.0
        return -self._tokens / self.rate + 1e-3

    def _refill(self, now):
        if self._updated_at is None:
            self._tokens = self.rate
        else:
            elapsed = now - self._updated_at
            self._tokens = min(self.rate, self._tokens + elapsed * self.rate)
        self._updated_at = now

"""Confirm the state of a control instance for all of its followers together."""

import logging
import math

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.core.exceptions import BanyanshoreError, UnavailableError

logger = logging.getLogger(__name__)

# Seconds between reads of the latest version from a quorum.
CHECK_INTERVAL = 0.25
# Largest age in seconds of a check that confirms the state. Followers count it.
MAX_CHECK_AGE = 2 * CHECK_INTERVAL
# Seconds for a check; a follower tries another instance after a second.
CHECK_TIMEOUT = 0.8


class StateChecks:
    """Read the latest version at intervals, and share the outcome.

    Load pattern: each of hundreds of followers asks once a second whether its state is
    current. A read for each is a round of messages of the leader to all voters, and a
    leader that is busy for a second has to catch up on all of them.

    :param read_version: coroutine function that is given a timeout, waits until the
        latest version has arrived here, and returns its number.
    :param on_current: callable that is given the time at which the state was current.
    """

    def __init__(self, read_version, on_current):
        self._read_version = read_version
        self._on_current = on_current
        self._asked_at = -math.inf
        self._version = 0
        self._changed = anyio.Event()

    async def run(self):
        """Check the state until cancelled.

        A check that gets no answer doesn't hold up the next ones.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                tasks.start_soon(self._check)
                await anyio.sleep(CHECK_INTERVAL)

    async def _check(self):
        asked_at = boottime_now()
        try:
            version = await self._read_version(CHECK_TIMEOUT)
        except BanyanshoreError as error:
            logger.debug("state not checked", extra={"why": str(error)})
            return
        if asked_at <= self._asked_at:
            return
        self._asked_at, self._version = asked_at, version
        self._on_current(asked_at)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def wait_for_check(self):
        """Return the version that was current a short while ago, and the seconds since.

        :raises UnavailableError: no quorum answered in time.
        """
        arrived_at = boottime_now()
        with anyio.move_on_after(CHECK_TIMEOUT):
            while arrived_at - self._asked_at > MAX_CHECK_AGE:
                await self._changed.wait()
        age = max(0.0, arrived_at - self._asked_at)
        if age > MAX_CHECK_AGE:
            raise UnavailableError("no quorum answers", step="confirm")
        return self._version, age

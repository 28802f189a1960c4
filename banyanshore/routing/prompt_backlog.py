"""The prompts that a target has still to read, as one gateway knows them; free of I/O.

Load pattern: short requests follow each other within a tenth of a second, and each is
answered a few milliseconds after it was sent, while the time that the service's cost
model states for their prompts adds up. The target was idle, but counted as full.

A target reads prompts in the order in which they arrive, more urgent ones first. When
it begins to answer a request, it has read that prompt, and those that others had sent
before it unless they may be less urgent. It may not have read prompts that were sent
later, and of this gateway's own prompts those that aren't being answered yet. An
estimate is only ever lowered to what is known.
"""

import math
from collections import deque
from dataclasses import dataclass

# Number of prompts that are told apart; earlier ones count until the target is
# estimated to have read all.
MAX_PROMPTS = 256


@dataclass(frozen=True, eq=False)
class Prompt:
    """A prompt that was sent to a target.

    :param known_at: time at which this gateway sent it or heard of it.
    :param seconds: time that the target needs to read it.
    :param is_own: whether this gateway has sent it.
    """

    known_at: float
    seconds: float
    is_own: bool = False

    def read_at(self, earlier):
        """Return when it is read if those before it are read at a time."""
        return max(self.known_at, earlier) + self.seconds


class PromptBacklog:
    """The prompts that a target is estimated to have still to read.

    :ivar read_at: time at which it has read all of them.
    """

    def __init__(self):
        self.read_at = -math.inf
        # Those that aren't known to be read, in the order in which they became known,
        # since the target was last estimated to have read all.
        self._prompts = deque()
        # Seconds of those that are no longer told apart.
        self._other_seconds = 0.0

    def remaining_seconds(self, now):
        """Return the time that the target still needs to read its prompts."""
        return max(0.0, self.read_at - now)

    def add(self, now, seconds, is_own=False):
        """Add a prompt; return it."""
        if self.read_at <= now:
            self._prompts.clear()
            self._other_seconds = 0.0
        prompt = Prompt(now, seconds, is_own)
        self._prompts.append(prompt)
        if len(self._prompts) > MAX_PROMPTS:
            self._other_seconds += self._prompts.popleft().seconds
        self.read_at = prompt.read_at(self.read_at)
        return prompt

    def remove(self, prompt):
        """Remove a prompt that the target did not read, unless it counts no longer.

        Load pattern: a request that is larger than the memory of any target is rejected
        by each of them. Its prefill time kept all others away for minutes.

        >>> backlog = PromptBacklog()
        >>> backlog.remove(backlog.add(10.0, 100.0, True))
        >>> backlog.remaining_seconds(10.0)
        0.0
        """
        if prompt not in self._prompts:
            return
        rows = list(self._prompts)
        # Those after it are read from the time at which they were sent, at the
        # earliest.
        read_at = -math.inf
        for later in rows[rows.index(prompt) + 1 :]:
            read_at = later.read_at(read_at)
        self._prompts.remove(prompt)
        self.read_at = max(self.read_at - prompt.seconds, read_at)

    def remove_of_others(self, seconds):
        """Remove the newest prompt of another gateway that needs a time, if any."""
        for prompt in reversed(self._prompts):
            if not prompt.is_own and prompt.seconds == seconds:
                self.remove(prompt)
                return

    def record_read(self, now, prompt, is_least_urgent):
        """Record that the target has begun to answer an own request.

        :param is_least_urgent: whether no request of the service is less urgent.
        :return: whether it has fewer prompts to read than was estimated.

        >>> backlog = PromptBacklog()
        >>> for _ in range(4):
        ...     prompt = backlog.add(1.0, 0.05, True)
        ...     _ = backlog.record_read(1.01, prompt, True)
        >>> backlog.remaining_seconds(1.01)
        0.0
        """
        if self.read_at <= now or prompt not in self._prompts:
            return False
        rows = list(self._prompts)
        count = rows.index(prompt)
        unread = [row for row in rows[:count] if row.is_own or not is_least_urgent]
        unread += rows[count + 1 :]
        self._prompts = deque(unread)
        estimated = self.read_at
        seconds = sum(row.seconds for row in unread) + self._other_seconds
        self.read_at = min(estimated, now + seconds)
        return self.read_at < estimated

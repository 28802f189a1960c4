"""Claims, which let each call that may not be repeated run at most once."""

from collections import OrderedDict
from dataclasses import replace

from banyanshore.core.values import dataclass
from banyanshore.state.commands import Answer, ClaimOutcome, ClaimStatus
from banyanshore.transport.codec import message


@message(47)
class ClaimKey:
    """Idempotency key of a call to a service of a workspace."""

    workspace: str
    service: str
    key: str


@message(48)
class ClaimRecord:
    """A granted claim and the answer of its call.

    :param claim_id: index of the log entry that granted it.
    :param digest: SHA-256 of method, path and body of the call.
    :param attempt: id of the entry's attempt that holds the claim.
    :param at: log time at which it was granted, in seconds.
    :param expires_at: log time from which the outcome counts as unknown if there is no
        answer.
    :param done: whether the call has completed.
    :param answer: the stored answer; ``None`` while there is none, and if it was too
        large to keep or was dropped.
    """

    key: ClaimKey
    claim_id: int
    digest: bytes
    attempt: str
    at: float
    expires_at: float
    done: bool = False
    answer: Answer | None = None


@dataclass(frozen=True)
class ClaimLimits:
    """Bounds of the claim table.

    :param retention: seconds for which a claim is kept at least, also once its call
        has ended.
    :param max_claims: largest number of claims. Further claims are refused: no claim is
        dropped before its retention has passed.
    :param max_answer_bytes: total size of the stored answers; the oldest are dropped.
    """

    retention: float = 3600.0
    max_claims: int = 20_000
    max_answer_bytes: int = 4 * 1024 * 1024


class ClaimTable:
    """Claims by key, oldest first.

    :param limits: the :class:`ClaimLimits`.
    """

    def __init__(self, limits):
        self.limits = limits
        self._by_key = OrderedDict()
        self._answer_bytes = 0
        # Keys with a stored answer, in the order in which the answers arrived.
        self._answered = OrderedDict()

    def __len__(self):
        return len(self._by_key)

    def claim(self, index, command, now):
        """Grant a claim, or return the state of the claim that holds its key.

        :param index: log index of the command, which becomes the claim's id.
        :param now: log time in seconds, which never decreases.
        """
        self._expire(now)
        key = ClaimKey(command.workspace, command.service, command.key)
        record = self._by_key.get(key)
        if record is not None:
            return self._existing_outcome(record, command, now)
        if len(self._by_key) >= self.limits.max_claims:
            return ClaimOutcome(ClaimStatus.FULL)
        self._by_key[key] = ClaimRecord(
            key,
            index,
            command.digest,
            command.attempt,
            now,
            now + command.seconds,
        )
        return ClaimOutcome(ClaimStatus.GRANTED, index, None, command.attempt)

    def complete(self, command):
        """Store the answer of a claimed call if the attempt holds its claim."""
        key = ClaimKey(command.workspace, command.service, command.key)
        record = self._by_key.get(key)
        if record is None or record.attempt != command.attempt or record.done:
            return
        self._by_key[key] = replace(record, done=True, answer=command.answer)
        if command.answer is not None:
            self._answered[key] = None
            self._answer_bytes += len(command.answer.body)
            self._drop_oldest_answers()

    def release(self, command):
        """Delete the claim of a call that did not run if the attempt holds it."""
        key = ClaimKey(command.workspace, command.service, command.key)
        record = self._by_key.get(key)
        if record and record.attempt == command.attempt and not record.done:
            del self._by_key[key]

    def to_rows(self):
        """Return the records, oldest first."""
        return tuple(self._by_key.values())

    def load_rows(self, rows):
        """Replace the records by those of :meth:`to_rows`."""
        self._by_key = OrderedDict((row.key, row) for row in rows)
        answered = [row for row in rows if row.answer is not None]
        self._answered = OrderedDict((row.key, None) for row in answered)
        self._answer_bytes = sum(len(row.answer.body) for row in answered)

    def _existing_outcome(self, record, command, now):
        if record.digest != command.digest:
            status = ClaimStatus.MISMATCH
        elif record.done:
            status = ClaimStatus.DONE
        elif record.attempt == command.attempt:
            status = ClaimStatus.GRANTED
        elif now >= record.expires_at:
            status = ClaimStatus.UNKNOWN
        else:
            status = ClaimStatus.IN_PROGRESS
        answer = record.answer if status == ClaimStatus.DONE else None
        return ClaimOutcome(status, record.claim_id, answer, record.attempt)

    def _expire(self, now):
        while self._by_key:
            key, record = next(iter(self._by_key.items()))
            # A call may have longer to run than claims are kept.
            if max(record.at + self.limits.retention, record.expires_at) > now:
                return
            self._drop_answer(key)
            del self._by_key[key]

    def _drop_oldest_answers(self):
        while self._answer_bytes > self.limits.max_answer_bytes:
            key = next(iter(self._answered))
            self._drop_answer(key)

    def _drop_answer(self, key):
        if key in self._answered:
            record = self._by_key[key]
            del self._answered[key]
            self._answer_bytes -= len(record.answer.body)
            self._by_key[key] = replace(record, answer=None)

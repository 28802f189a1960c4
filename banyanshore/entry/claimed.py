"""Run non-repeatable calls: claim the key, run the call, and store the answer.

A quorum accepts the claim before the call is offered to any target. From then on only
this attempt may run the call, and it runs on at most one target.
"""

import hashlib
import logging
import math
import time
import uuid
from dataclasses import replace

import anyio

from banyanshore.core.exceptions import (
    BanyanshoreError,
    NotAcceptedError,
    OutcomeUnknownError,
)
from banyanshore.core.values import dataclass
from banyanshore.entry.answers import CollectingSink
from banyanshore.entry.exchange import call_or_none
from banyanshore.routing.calls import ANSWERED, CallResult, ResultKind
from banyanshore.routing.messages import (
    AnswerQuery,
    FailureReason,
    RefusalReason,
)
from banyanshore.state import (
    Answer,
    ClaimCommand,
    ClaimStatus,
    CompleteClaimCommand,
    ReleaseClaimCommand,
)

logger = logging.getLogger(__name__)

# Seconds after a call's deadline for which a claim without an answer still counts as in
# progress.
CLAIM_GRACE = 5.0
# Seconds for which a claim command is proposed in the background until it is accepted.
SETTLE_TIMEOUT = 600.0
# Seconds to wait for an agent's reply to an answer query.
QUERY_TIMEOUT = 1.0
# Largest answer that is stored with a claim, in bytes.
MAX_STORED_BYTES = 64 * 1024


@dataclass(frozen=True)
class ClaimedResult:
    """Outcome of a claimed call.

    :param answer: the complete answer, ``None`` if the call was not answered.
    :param replayed: whether the answer is a stored one, not received from the target by
        this call.
    """

    call_result: CallResult
    answer: Answer | None = None
    replayed: bool = False


class ClaimedCalls:
    """Run non-repeatable calls.

    :param proxy: the :class:`~banyanshore.entry.proxy.Proxy`.
    :param client: the :class:`~banyanshore.entry.state_client.StateClient`.
    :param tasks: task group of the entry, in which a call continues after its caller
        disconnects.
    :param recovery: the :class:`AnswerRecovery`.
    """

    def __init__(self, proxy, client, tasks, recovery):
        self._proxy = proxy
        self._client = client
        self._tasks = tasks
        self._recovery = recovery
        # Number of claim commands that are being proposed in the background.
        self.pending_proposals = 0

    async def run(self, call, key):
        """Return the :class:`ClaimedResult` of a call.

        :param key: idempotency key sent by the caller, empty for none.
        """
        if not key:
            return await self._run_without_key(call)
        result = []
        done = anyio.Event()

        async def work():
            try:
                result.append(await self._claim_and_run(call, key))
            except Exception:
                logger.exception("claimed call failed")
                result.append(
                    ClaimedResult(
                        CallResult(ResultKind.UNKNOWN, FailureReason.AGENT_FAILED)
                    )
                )
            done.set()

        self._tasks.start_soon(work)
        await done.wait()
        return result[0]

    async def _run_without_key(self, call):
        # Without a key a resent call can't be recognized, but this one still runs on
        # at most one target.
        sink = CollectingSink()
        result = await self._proxy.handle(call, sink)
        return ClaimedResult(result, sink.answer if result is ANSWERED else None)

    async def _claim_and_run(self, call, key):
        remaining = call.deadline - time.monotonic()
        command = ClaimCommand(
            call.workspace,
            call.service,
            key,
            call_digest(call),
            uuid.uuid4().hex,
            remaining + CLAIM_GRACE,
        )
        try:
            outcome = await self._client.propose(command)
        except NotAcceptedError as error:
            return _not_run(RefusalReason.NO_QUORUM, 2.0, str(error))
        except OutcomeUnknownError as error:
            # The claim may still be accepted, although the call won't be run for it.
            self._tasks.start_soon(self._withdraw, command)
            return _not_run(RefusalReason.NO_QUORUM, 2.0, str(error))
        handler = _METHOD_BY_STATUS[outcome.status]
        return await handler(self, call, command, outcome)

    async def _on_granted(self, call, command, outcome):
        sink = CollectingSink()
        claimed = replace(call, request_id=command.attempt)
        result = await self._proxy.handle(claimed, sink)
        if result is ANSWERED:
            self._tasks.start_soon(self._complete, command, sink.answer)
            return ClaimedResult(result, sink.answer)
        if result.kind is ResultKind.NOT_RUN:
            self._tasks.start_soon(
                self._propose_until_accepted, _build_release(command)
            )
            return ClaimedResult(result)
        return await self._recover(call, command, command.attempt, result)

    async def _on_done(self, call, command, outcome):
        if outcome.answer is not None:
            return ClaimedResult(ANSWERED, outcome.answer, replayed=True)
        result = CallResult(ResultKind.UNKNOWN, FailureReason.ANSWER_NOT_KEPT, math.inf)
        return await self._recover(call, command, outcome.attempt, result)

    async def _on_in_progress(self, call, command, outcome):
        result = CallResult(ResultKind.UNKNOWN, FailureReason.IN_PROGRESS, 1.0)
        return await self._recover(call, command, outcome.attempt, result)

    async def _on_unknown(self, call, command, outcome):
        result = CallResult(ResultKind.UNKNOWN, FailureReason.OUTCOME_UNKNOWN, math.inf)
        return await self._recover(call, command, outcome.attempt, result)

    async def _on_mismatch(self, call, command, outcome):
        return _not_run(
            RefusalReason.KEY_REUSED, math.inf, "the key was used for another call"
        )

    async def _on_full(self, call, command, outcome):
        return _not_run(RefusalReason.CLAIMS_FULL, 60.0, "too many keys remembered")

    async def _recover(self, call, command, attempt, result):
        """Return the answer of an attempt if an agent keeps it, else ``result``."""
        answer = await self._recovery.find(call.service, attempt)
        if answer is None:
            return ClaimedResult(result)
        answered_claim = replace(command, attempt=attempt)
        self._tasks.start_soon(self._complete, answered_claim, answer)
        return ClaimedResult(ANSWERED, answer, replayed=True)

    async def _complete(self, command, answer):
        is_small_enough = len(answer.body) <= MAX_STORED_BYTES
        await self._propose_until_accepted(
            CompleteClaimCommand(
                command.workspace,
                command.service,
                command.key,
                command.attempt,
                answer if is_small_enough else None,
            )
        )

    async def _withdraw(self, command):
        # The outcome of the claim must be known before the claim can be released.
        outcome = await self._propose_until_accepted(command)
        if outcome is not None and outcome.status == ClaimStatus.GRANTED:
            await self._propose_until_accepted(_build_release(command))

    async def _propose_until_accepted(self, command):
        self.pending_proposals += 1
        try:
            deadline = time.monotonic() + SETTLE_TIMEOUT
            while time.monotonic() < deadline:
                try:
                    return await self._client.propose(command)
                except BanyanshoreError as error:
                    name = type(command).__name__
                    logger.warning("%s not accepted yet: %s", name, error)
                    await anyio.sleep(1.0)
            return None
        finally:
            self.pending_proposals -= 1


class AnswerRecovery:
    """Find the answer of a claimed call at the agents that may keep it.

    :param targets: the :class:`~banyanshore.membership.targets.TargetTable` of this
        data centre.
    :param entries: the :class:`~banyanshore.membership.entries.EntryTable`, to reach
        other data centres.
    """

    def __init__(self, settings, targets, entries, links):
        self._settings = settings
        self._targets = targets
        self._entries = entries
        self._links = links

    async def find(self, service, attempt):
        """Return the answer kept by an agent of any data centre, or ``None``."""
        found = []
        now = time.monotonic()
        async with anyio.create_task_group() as tasks:

            async def collect(search):
                answer = await search
                if answer is not None:
                    found.append(answer)
                    tasks.cancel_scope.cancel()

            tasks.start_soon(collect, self.find_locally(service, attempt))
            for name in self._entries.live_data_centres(now):
                tasks.start_soon(
                    collect, self._find_in_data_centre(now, name, service, attempt)
                )
        return found[0] if found else None

    async def find_locally(self, service, attempt):
        """Return the answer kept by an agent of this data centre, or ``None``."""
        now = time.monotonic()
        found = []

        async def query_agent(report):
            link = self._links.get(report.address, report.instance)
            reply = await call_or_none(link, AnswerQuery(attempt), QUERY_TIMEOUT)
            if reply is not None and reply.answer is not None:
                found.append(reply.answer)

        async with anyio.create_task_group() as tasks:
            for row in self._targets.iter_live(now):
                if row.report.service == service:
                    tasks.start_soon(query_agent, row.report)
        return found[0] if found else None

    async def _find_in_data_centre(self, now, data_centre, service, attempt):
        contacts = self._entries.contacts_in(now, data_centre)
        peer = self._entries.peer_by_instance[contacts[0]]
        link = self._links.get(peer.address, peer.instance)
        query = AnswerQuery(attempt, service, data_centre)
        reply = await call_or_none(link, query, 2 * QUERY_TIMEOUT)
        return reply.answer if reply is not None else None


def call_digest(call):
    """Return a SHA-256 digest that tells calls with the same key apart."""
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.path.encode()):
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(call.body)
    return digest.digest()


def _not_run(reason, retry_after, detail=""):
    return ClaimedResult(CallResult(ResultKind.NOT_RUN, reason, retry_after, detail))


def _build_release(command):
    return ReleaseClaimCommand(
        command.workspace, command.service, command.key, command.attempt
    )


_METHOD_BY_STATUS = {
    ClaimStatus.GRANTED: ClaimedCalls._on_granted,
    ClaimStatus.DONE: ClaimedCalls._on_done,
    ClaimStatus.IN_PROGRESS: ClaimedCalls._on_in_progress,
    ClaimStatus.UNKNOWN: ClaimedCalls._on_unknown,
    ClaimStatus.MISMATCH: ClaimedCalls._on_mismatch,
    ClaimStatus.FULL: ClaimedCalls._on_full,
}

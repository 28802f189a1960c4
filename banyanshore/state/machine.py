"""The replicated state machine: applies committed commands in order."""

import hashlib
import json
from collections import OrderedDict
from dataclasses import replace

from banyanshore.state.claims import ClaimLimits, ClaimTable
from banyanshore.state.commands import (
    UNCONDITIONAL,
    ClaimCommand,
    CompleteClaimCommand,
    PatchCommand,
    PatchOutcome,
    PatchStatus,
    ReleaseClaimCommand,
    TimedCommand,
)
from banyanshore.state.compressed_commands import decompress_command
from banyanshore.state.document import (
    MAX_DOCUMENT_BYTES,
    DocumentError,
    check_document,
    empty_document,
    merge_patch,
    parse_patch,
    to_json,
)
from banyanshore.state.rollouts import (
    LoadPermitCommand,
    LoadPermitReply,
    LoadPermitStatus,
    LoadPermitTable,
)
from banyanshore.state.summary import DocumentSummary
from banyanshore.state.views import DesiredState, Fence
from banyanshore.transport.codec import decode, encode, message

# Number of patch outcomes kept, so that a resent patch gets its first outcome.
MAX_PATCH_OUTCOMES = 10_000
# Attributes of ClaimLimits by the keys of ``limits.claims``.
CLAIM_LIMIT_BY_KEY = {
    "retention_seconds": "retention",
    "max_claims": "max_claims",
    "max_answer_bytes": "max_answer_bytes",
}


@message(51)
class RememberedPatch:
    """The first outcome of a patch, and the digest of its base version and content."""

    digest: bytes
    outcome: PatchOutcome


class StateMachine:
    """The replicated state: the desired state, claims and load permits.

    :param claim_limits: the :class:`~banyanshore.state.claims.ClaimLimits` for what the
        document doesn't set; must be the same on all voters.
    """

    def __init__(self, claim_limits=None):
        self.version = 0
        self.fence = Fence()
        self.document = empty_document()
        self._summary = DocumentSummary.of(self.document)
        self._default_claim_limits = claim_limits or ClaimLimits()
        self.claims = ClaimTable(self._default_claim_limits)
        self.load_permits = LoadPermitTable()
        self._now = 0.0
        self._patch_by_request_id = OrderedDict()

    @property
    def now(self):
        """Return the log time of the latest command in seconds; it never decreases."""
        return self._now

    def apply(self, index, term, command):
        """Apply a command and return its outcome, deterministically.

        :param index: log index of the command.
        :param term: term of its log entry.
        :param command: a command, or a
            :class:`~banyanshore.state.commands.TimedCommand` that holds one, perhaps
            compressed.
        """
        if isinstance(command, TimedCommand):
            self._now = max(self._now, command.at)
            command = command.command
        command = decompress_command(command)
        return _HANDLER_BY_COMMAND[type(command)](self, index, term, command)

    def find_outcome(self, command):
        """Return the outcome that a command has at any later position of the log.

        Versions only rise, so a patch against an earlier one is refused for good.

        :return: ``None`` if the outcome isn't certain.
        """
        command = decompress_command(command)
        if not isinstance(command, PatchCommand):
            return None
        if command.request_id in self._patch_by_request_id:
            return self._find_first_outcome(command, _digest_patch(command))
        if UNCONDITIONAL < command.base_version < self.version:
            return self._refuse_outdated(command)
        return None

    def desired_state(self):
        """Return the current version as a :class:`DesiredState`."""
        return DesiredState.from_document(
            self.version, self.fence, self.document, self._summary
        )

    def published_state(self):
        """Return the current version as a :class:`PublishedState`."""
        return self.desired_state().published

    def snapshot(self):
        """Return the complete state, encoded."""
        patches = tuple(self._patch_by_request_id.items())
        return encode(
            (
                self.version,
                self.fence,
                to_json(self.document),
                self._now,
                patches,
                self.claims.to_rows(),
                self.load_permits.to_rows(),
            )
        )

    def restore(self, data):
        """Replace the complete state by one from :meth:`snapshot`."""
        version, fence, document, now, patches, claims, load_permits = decode(data)
        self.version = version
        self.fence = fence
        document = json.loads(document)
        self._set_document(document, DocumentSummary.of(document))
        self._now = now
        self._patch_by_request_id = OrderedDict(patches)
        self.claims.load_rows(claims)
        self.load_permits.load_rows(load_permits)

    def _set_document(self, document, summary):
        self.document = document
        self._summary = summary
        row = document.get("limits", {}).get("claims", {})
        fields = {CLAIM_LIMIT_BY_KEY[key]: value for key, value in row.items()}
        self.claims.limits = replace(self._default_claim_limits, **fields)

    def _apply_patch(self, index, term, command):
        digest = _digest_patch(command)
        if command.request_id in self._patch_by_request_id:
            return self._find_first_outcome(command, digest)
        outcome = self._evaluate_patch(index, term, command)
        remembered = RememberedPatch(digest, outcome)
        self._patch_by_request_id[command.request_id] = remembered
        if len(self._patch_by_request_id) > MAX_PATCH_OUTCOMES:
            self._patch_by_request_id.popitem(last=False)
        return outcome

    def _find_first_outcome(self, command, digest):
        known = self._patch_by_request_id[command.request_id]
        if known.digest == digest:
            return known.outcome
        detail = f"request id {command.request_id!r} was used for another patch"
        return PatchOutcome(PatchStatus.REUSED_ID, self.version, detail)

    def _refuse_outdated(self, command):
        detail = (
            f"the patch is against version {command.base_version}, the current "
            f"version is {self.version}"
        )
        return PatchOutcome(PatchStatus.CONFLICT, self.version, detail)

    def _evaluate_patch(self, index, term, command):
        if command.base_version not in (UNCONDITIONAL, self.version):
            return self._refuse_outdated(command)
        try:
            patch = parse_patch(command.patch)
            document = merge_patch(self.document, patch)
            for table, rows in empty_document().items():
                document.setdefault(table, rows)
            check_document(document, self.document)
        except DocumentError as error:
            return PatchOutcome(PatchStatus.INVALID, self.version, error.message)
        summary = self._summary.updated(self.document, document, patch)
        if summary.size > MAX_DOCUMENT_BYTES:
            detail = f"the document would exceed {MAX_DOCUMENT_BYTES} bytes"
            return PatchOutcome(PatchStatus.INVALID, self.version, detail)
        self._set_document(document, summary)
        self.version += 1
        self.fence = Fence(term, index)
        self.load_permits.retain_versions(
            {(name, row["version"]) for name, row in document["models"].items()}
        )
        return PatchOutcome(PatchStatus.ACCEPTED, self.version)

    def _apply_claim(self, index, term, command):
        return self.claims.claim(index, command, self._now)

    def _apply_complete(self, index, term, command):
        self.claims.complete(command)

    def _apply_release(self, index, term, command):
        self.claims.release(command)

    def _apply_load_permit(self, index, term, command):
        request = command.request
        if request.status == LoadPermitStatus.ASKED:
            order = self.load_permits.open_order(request.instance)
            return LoadPermitReply(False, open_order=order)
        desired = self.desired_state()
        spec = desired.model_of_service(request.service)
        if spec is None or (spec.name, spec.version) != (
            request.model,
            request.version,
        ):
            if request.status == LoadPermitStatus.WANTED:
                return LoadPermitReply(False, "this version is not the intended one")
            self.load_permits.release(request)
            return LoadPermitReply(True)
        detail = self.load_permits.apply(
            command, self._now, spec.max_failures, spec.paused
        )
        return LoadPermitReply(not detail, detail, Fence(term, index))


def _digest_patch(command):
    return hashlib.sha256(b"%d:" % command.base_version + command.patch).digest()


_HANDLER_BY_COMMAND = {
    PatchCommand: StateMachine._apply_patch,
    ClaimCommand: StateMachine._apply_claim,
    CompleteClaimCommand: StateMachine._apply_complete,
    ReleaseClaimCommand: StateMachine._apply_release,
    LoadPermitCommand: StateMachine._apply_load_permit,
}

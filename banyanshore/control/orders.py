"""Operators' orders to control, applied as patches to the desired state.

Each order is accepted only against the latest version, so that it never undoes one that
was accepted before, and an order that is already in force changes nothing. Orders are
therefore idempotent: repeating one after a lost answer has the same outcome.

Declarations and versions of weights have numbers, by which one that comes late changes
nothing. They are made against the version held here first: it is usually the latest
one, and asking a quorum first doubles the trips over links that may be full. Orders
about data centres have no number: they are made against the version that a quorum
names, and proposed only while their caller may still wait for the answer.
"""

import logging
import math
import time
import uuid

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.core.exceptions import BanyanshoreError, UnavailableError
from banyanshore.state.commands import PatchCommand, PatchStatus
from banyanshore.state.compressed_commands import compress_command, size_of
from banyanshore.state.document import (
    DocumentError,
    check_document,
    diff_documents,
    to_json,
)
from banyanshore.state.workspaces import keep_required_keys

logger = logging.getLogger(__name__)

# Seconds for an order to be accepted. Operators without an answer try another instance,
# which learns the outcome of the patch that was proposed here.
ORDER_TIMEOUT = 2.5
# Seconds after its arrival in which an order without a number may be proposed. After
# that, its caller has asked another instance and may have given a later order.
UNNUMBERED_ORDER_SECONDS = 1.0
# Seconds for a read of the latest version.
READ_TIMEOUT = 1.0
# Seconds between checks whether a version has arrived here.
POLL_INTERVAL = 0.005
# Tables of the document that a declaration replaces completely.
DECLARED_TABLES = ("services", "routes", "workspaces", "limits", "declarations")


class Orders:
    """Apply operators' orders to the replicated state.

    :param state: the :class:`~banyanshore.state.StateHolder` of this instance.
    :param client: the :class:`~banyanshore.entry.state_client.StateClient`.
    :param metrics: the :class:`~banyanshore.telemetry.control.ControlMetrics`.
    :param may_compress: callable that tells whether large commands may be compressed.
    """

    def __init__(self, state, client, metrics, may_compress=lambda: False):
        self._state = state
        self._client = client
        self._metrics = metrics
        self._may_compress = may_compress

    async def declare(self, number, tables):
        """Replace the declared tables, unless this or a later declaration is accepted.

        :param number: number of the declaration, assigned by the operator.
        :param tables: the new rows of :data:`DECLARED_TABLES`. Rows that equal those in
            force are replaced by them, so that later comparisons are by identity.
        :return: whether this call changed the state.
        :raises DocumentError: the declaration is invalid or was rejected.
        :raises UnavailableError: no quorum accepted it in time.
        """
        check_document(tables, self._document())

        def make_patch(document):
            if declared_number(document) >= number:
                return None
            current = {name: document.get(name, {}) for name in DECLARED_TABLES}
            wanted = {name: tables.get(name, {}) for name in DECLARED_TABLES}
            wanted["workspaces"] = keep_required_keys(
                wanted["workspaces"], current["workspaces"]
            )
            wanted["limits"] = {**current["limits"], **wanted["limits"]}
            patch = diff_documents(current, wanted)
            _share_rows(tables, document, patch)
            return patch

        is_changed = await self._apply(
            "declaration", {"number": number}, make_patch, is_numbered=True
        )
        document = self._document()
        if is_changed and declared_number(document) == number:
            _share_rows(tables, document, {})
        return is_changed

    async def set_in_service(self, data_centre, in_service, arrived_after):
        """Take a data centre out of service or put it back.

        :param arrived_after: boot time before which the order can't have arrived.
        :raises UnavailableError: no quorum accepted it in time, or it came too late.
        """

        def make_patch(document):
            row = document["data_centres"].get(data_centre, {"in_service": True})
            if row["in_service"] == in_service:
                return None
            return {"data_centres": {data_centre: {"in_service": in_service}}}

        details = {"data_centre": data_centre, "in_service": in_service}
        expires_at = arrived_after + UNNUMBERED_ORDER_SECONDS
        return await self._apply(
            "data-centre",
            details,
            make_patch,
            is_numbered=False,
            expires_at=expires_at,
        )

    async def set_model_version(self, model, version):
        """Set the version of a model's weights that targets serve.

        :raises UnavailableError: no quorum accepted it in time.
        """

        def make_patch(document):
            row = document["rollouts"].get(model, {"version": 0})
            if row["version"] >= version:
                return None
            return {"rollouts": {model: {"version": version}}}

        details = {"model": model, "model_version": version}
        return await self._apply("rollout", details, make_patch, is_numbered=True)

    async def read_document(self):
        """Return the document of the latest accepted version.

        :raises UnavailableError: the latest version could not be determined or did not
            arrive in time.
        """
        await self.wait_for_latest_version(READ_TIMEOUT)
        return self._state.desired.document if self._state.desired else {}

    async def wait_for_latest_version(self, timeout):
        """Wait until the latest accepted version has arrived here; return its number.

        :raises UnavailableError: the latest version could not be determined or did not
            arrive in time.
        """
        version = await self._client.read_version(timeout)
        with anyio.move_on_after(timeout):
            while self._state.version < version:
                await anyio.sleep(POLL_INTERVAL)
            return version
        raise UnavailableError(
            f"version {version} has not arrived, {self._state.version} is held",
            step="read",
        )

    async def _apply(
        self, order, details, make_patch, *, is_numbered, expires_at=math.inf
    ):
        """Propose patches until one is accepted, the later ones on the latest version.

        :param make_patch: callable that takes the current document and returns the
            patch, or ``None`` if the order is already in force.
        :param is_numbered: whether a later order has a higher number.
        :param expires_at: boot time after which the order isn't proposed.
        :return: whether the order changed the state.
        :raises DocumentError: the patch was rejected.
        :raises UnavailableError: no quorum accepted a patch in time.
        """
        started_at = boottime_now()
        deadline = min(started_at + ORDER_TIMEOUT, expires_at)
        # Numbers only rise, so a number that is held here is in force, and a patch
        # against an outdated version is refused.
        must_read = not is_numbered
        while (remaining := deadline - boottime_now()) > 0:
            if must_read:
                await self.wait_for_latest_version(min(remaining, READ_TIMEOUT))
            must_read = True
            if boottime_now() >= deadline:
                # The process may have stood still while it waited.
                break
            patch = make_patch(self._document())
            if patch is None:
                self._log(order, details, "already in force", started_at)
                return False
            command = self._make_command(patch)
            details = {
                **details,
                "proposals": details.get("proposals", 0) + 1,
                "bytes": size_of(command),
            }
            outcome = await self._propose(command, remaining)
            if outcome.status == PatchStatus.ACCEPTED:
                await self._wait_for_version(outcome.version, remaining)
                self._log(order, details, "accepted", started_at)
                return True
            if outcome.status != PatchStatus.CONFLICT:
                raise DocumentError(outcome.detail, step=order)
        self._log(order, details, "not proposed in time", started_at)
        raise UnavailableError(
            "the order was not proposed in time, and has no effect; send it again",
            step=order,
        )

    def _document(self):
        desired = self._state.desired
        return desired.document if desired else _EMPTY_DOCUMENT

    def _make_command(self, patch):
        command = PatchCommand(
            uuid.uuid4().hex, self._state.version, to_json(patch), time.time()
        )
        return compress_command(command) if self._may_compress() else command

    async def _propose(self, command, remaining):
        try:
            return await self._client.propose(command, remaining)
        except BanyanshoreError as error:
            raise UnavailableError(error.message, step="propose") from None

    async def _wait_for_version(self, version, remaining):
        # An order is answered only after this instance has applied it, too.
        with anyio.move_on_after(remaining):
            while self._state.version < version:
                await anyio.sleep(POLL_INTERVAL)

    def _log(self, order, details, outcome, started_at):
        self._metrics.orders.labels(order, outcome).inc()
        logger.info(
            "order %s",
            outcome,
            extra={
                "order": order,
                "version": self._state.version,
                "milliseconds": round((boottime_now() - started_at) * 1000),
                **details,
            },
        )


def _share_rows(tables, document, patch):
    """Replace the rows of tables that a patch doesn't change by those of a document."""
    for table, rows in tables.items():
        changes = patch.get(table, {})
        shared = {
            name: row
            for name, row in document.get(table, {}).items()
            if name in rows and name not in changes
        }
        rows.update(shared)


_EMPTY_DOCUMENT = {"data_centres": {}, "rollouts": {}}


def declared_number(document):
    """Return the number of the declaration in a document, -1 if there is none.

    >>> declared_number({"declarations": {"operator": {"number": 7, "source": ""}}})
    7
    """
    row = document.get("declarations", {}).get("operator")
    return row["number"] if row else -1

"""Transfers of the versions of one service that are carried at the same time."""

import logging

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.weights.manifest import digest_of
from banyanshore.weights.version_order import (
    VersionPlan,
    VersionState,
    are_in_a_row,
    plan_versions,
)

logger = logging.getLogger(__name__)

# Longest time without service that is logged, in seconds.
MAX_GAP = 999.0


class CarriedVersions:
    """The transfers of one service, which share its links in the order of a plan.

    A transfer sends on what it has whenever the preferred one has nothing to send.

    :param switch_seconds: grace period of the weights before a version.
    """

    def __init__(self, switch_seconds):
        self._switch_seconds = switch_seconds
        self._transfers = []
        self._last_versions = ()

    def __iter__(self):
        return iter(tuple(self._transfers))

    def __len__(self):
        return len(self._transfers)

    def add(self, transfer):
        """Add a transfer.

        Of versions named in a row, each is late from the name of the next one on.
        """
        for other in self:
            if are_in_a_row(
                other.known_since, transfer.known_since, self._switch_seconds
            ):
                other.urgent_from = min(other.urgent_from, transfer.known_since)
                transfer.urgent_from = other.urgent_from
        self._transfers.append(transfer)

    def remove(self, transfer):
        """Remove a transfer that has ended."""
        self._transfers.remove(transfer)

    def get(self, version):
        """Return the transfer of a version, or ``None``."""
        return next((row for row in self if row.version == version), None)

    def find(self, manifest_digest):
        """Return the transfer of a manifest, or ``None``."""
        for transfer in self:
            manifest = transfer.manifest
            if manifest is not None and manifest.digest == manifest_digest:
                return transfer
        return None

    def manifest_content(self, digest):
        """Return a manifest as bytes, empty if it isn't known."""
        contents = (transfer.manifest_content(digest) for transfer in self)
        return next(filter(None, contents), b"")

    def chunk_digests(self):
        """Return the digests of all chunks of the versions."""
        return {
            digest
            for transfer in self
            if transfer.manifest is not None
            for digest in transfer.manifest.chunk_digests
        }

    def progressed_at(self):
        """Return the monotonic time of the last new chunk of any version."""
        return max((row.progressed_at for row in self), default=0.0)

    def pushed_at(self):
        """Return the monotonic time at which a chunk of any version was pushed here."""
        return max((row.pushed_at for row in self), default=0.0)

    def plan(self, desired_versions, missing_of=None, copy_seconds=0.0):
        """Return the :class:`~banyanshore.weights.version_order.VersionPlan`.

        :param desired_versions: one or two
            :class:`~banyanshore.weights.desired_versions.DesiredVersion` objects, or
            transfers, the older one first.
        :param missing_of: function that returns the missing fraction of a version,
            ``None`` for what is missing here.
        """
        if len(desired_versions) < 2:
            return VersionPlan(tuple(row.version for row in desired_versions))
        missing_of = missing_of or self.missing_here
        older, newer = (
            VersionState(row.version, row.known_since, missing_of(row.version))
            for row in desired_versions
        )
        return plan_versions(
            boottime_now(),
            older,
            newer,
            self._switch_seconds,
            copy_seconds,
            self.preferred,
        )

    @property
    def preferred(self):
        """Return the version that went first at the last decision, 0 for none."""
        return next(iter(self._last_versions), 0)

    def decide(self, desired_versions):
        """Return the numbers of the versions to carry, and log a new decision.

        :param desired_versions: see :meth:`plan`.
        """
        plan = self.plan(desired_versions)
        if len(desired_versions) > 1 and plan.versions != self._last_versions:
            now = boottime_now()
            logger.info(
                "versions in a row",
                extra={
                    "model": desired_versions[0].model,
                    "carried": list(plan.versions),
                    "ages": [
                        round(now - row.known_since, 2) for row in desired_versions
                    ],
                    "missing": [
                        round(self.missing_here(row.version), 2)
                        for row in desired_versions
                    ],
                    "gap_older_first": min(round(plan.gap_older_first, 2), MAX_GAP),
                    "gap_newer_first": min(round(plan.gap_newer_first, 2), MAX_GAP),
                },
            )
        self._last_versions = plan.versions
        return plan.versions

    def is_preferred(self, transfer, missing_of=None, copy_seconds=0.0):
        """Return whether a transfer goes before all others."""
        if len(self) < 2:
            return True
        rows = sorted(self, key=lambda other: other.version)
        plan = self.plan(rows, missing_of, copy_seconds)
        return plan.versions[0] == transfer.version

    def missing_here(self, version):
        """Return the fraction of a version's chunks that haven't arrived here."""
        transfer = self.get(version)
        return 1.0 if transfer is None else 1.0 - transfer.progress

    def must_leave_origin(self, transfer):
        """Return whether the origin is asked for another transfer's chunks instead.

        A preferred version that the origin doesn't send holds up no other one.
        """
        if self.is_preferred(transfer):
            return False
        return any(
            other.wants_origin_fetch()
            for other in self
            if other is not transfer and self.is_preferred(other)
        )

    def may_push(self, transfer, child_name, limit, chunk_seconds):
        """Return whether a transfer may push another chunk to a child now.

        :param limit: most concurrent pushes to the child, of all versions.
        :param chunk_seconds: seconds for which a chunk occupies the child's link.
        """
        if len(self) < 2:
            return transfer.pushes_to(child_name) < limit
        if sum(other.pushes_to(child_name) for other in self) >= limit:
            return False
        others = [
            other
            for other in self
            if other is not transfer and other.has_chunk_for(child_name)
        ]
        if not others:
            return True
        copy_seconds = chunk_seconds * transfer.manifest.chunk_count
        return self.is_preferred(
            transfer,
            lambda version: self.get(version).missing_at(child_name),
            copy_seconds,
        )


def find_receiver(transfers, push):
    """Return the transfer that a pushed chunk is for, or ``None``.

    The lists of sender and receiver may differ in other chunks than this one.

    :param transfers: iterable of transfers.
    :param push: a :class:`~banyanshore.weights.relay_messages.ChunkPush`.
    """
    transfers = [row for row in transfers if row.manifest is not None]
    for transfer in transfers:
        if transfer.manifest.digest == push.manifest_digest:
            return transfer
    digest = digest_of(push.data)
    for transfer in transfers:
        if transfer.names_chunk(push.index, digest):
            return transfer
    lacking = [row for row in transfers if row.lacks_chunk(push.index)]
    return lacking[0] if len(lacking) == 1 else None


class RunningTransfer:
    """A transfer and its cancel scope.

    :param key: model and version.
    """

    def __init__(self, key, transfer):
        self.key = key
        self.transfer = transfer
        self._scope = anyio.CancelScope()

    async def run(self):
        """Run until stopped."""
        with self._scope:
            await self.transfer.run()

    def stop(self):
        """Cancel the transfer."""
        self._scope.cancel()

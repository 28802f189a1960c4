"""Bring the chunks of one version here and lay them beside the target."""

import logging

import anyio

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.loader.engines import StagedEngineError
from banyanshore.weights.exceptions import OriginError
from banyanshore.weights.manifest import Manifest
from banyanshore.weights.messages import ManifestRequest
from banyanshore.weights.transfer import Transfer, parse_manifest

logger = logging.getLogger(__name__)

# Seconds before the digests are asked for again.
DIGESTS_RETRY_SECONDS = 0.2
# Seconds for a peer to send the digests.
PEER_SECONDS = 0.5


class StagedTransfer(Transfer):
    """A transfer whose chunks are also laid beside the target.

    The digests come from the origin, or from a peer while the origin doesn't answer.

    :param engine: the :class:`~banyanshore.loader.engines.StagedEngine`.
    :param find_origin: callable that returns the
        :class:`~banyanshore.loader.engines.StagedOrigin`, or ``None``.
    :param chunk_bytes: size of each chunk.
    """

    def __init__(self, engine, find_origin, chunk_bytes, *arguments):
        super().__init__(*arguments)
        self._engine = engine
        self._find_origin = find_origin
        self._chunk_bytes = chunk_bytes
        self.has_target = False

    @property
    def version(self):
        """Return the number of the version."""
        return int(self.spec.version)

    async def stage_all(self):
        """Lay all chunks beside the target; return how many were not right there.

        What lies there is read back, since it may turn bad.

        :raises StagedEngineError: the target doesn't answer.
        """
        mended = 0
        for index, digest in enumerate(self.manifest.chunk_digests):
            staged = await self._engine.read_staged(self.spec.name, index)
            if staged is None or not self.manifest.is_chunk(index, staged):
                mended += 1
                data = self._store.get(digest)
                await self._engine.stage(self.spec.name, index, data)
        return mended

    async def _wait_for_rosters(self):
        """Begin at once: the first row of this loader brings those of the others."""

    async def _fetch_manifest(self):
        while True:
            digests = await self._digests_from_origin()
            if digests:
                return self._make_manifest(digests)
            manifest = await self._manifest_from_any_peer()
            if manifest is not None:
                return manifest
            await anyio.sleep(DIGESTS_RETRY_SECONDS)

    async def _digests_from_origin(self):
        origin = self._find_origin()
        if origin is None:
            return ()
        try:
            return await origin.fetch_digests(self.spec.name, self.version)
        except OriginError as error:
            logger.warning("digests not fetched", extra={"why": str(error)})
            return ()

    def _make_manifest(self, digests):
        length = self._chunk_bytes * len(digests)
        return Manifest(
            self.spec.name, self.spec.version, length, self._chunk_bytes, digests
        )

    async def _manifest_from_any_peer(self):
        self._build_placement()
        wanted = f"{self.spec.name}/{self.spec.version}"
        for name, address in self._address_by_instance.items():
            if name == self._settings.instance:
                continue
            try:
                link = self._links.get(address, name)
                connection = await link.get_connection(PEER_SECONDS)
                reply = await connection.call(ManifestRequest(wanted), PEER_SECONDS)
                if reply.content:
                    return parse_manifest(reply.content)
            except BanyanshoreError as error:
                logger.info("peer has no digests", extra={"why": str(error)})
        return None

    def manifest_content(self, digest):
        """Return the manifest as bytes, empty if it isn't the one asked for.

        :param digest: its digest, or ``MODEL/VERSION``.
        """
        wanted = f"{self.spec.name}/{self.spec.version}"
        if self.manifest is not None and digest in (wanted, self.manifest.digest):
            return self.manifest.content
        return b""

    async def _is_stored(self, index, digest):
        if self._store.has(digest):
            return True
        if not self.has_target:
            return False
        try:
            data = await self._engine.read_staged(self.spec.name, index)
        except StagedEngineError as error:
            logger.info("staged chunk not read", extra={"why": str(error)})
            return False
        if data is None or not self.manifest.is_chunk(index, data):
            return False
        self._store.put(digest, data)
        return True

    async def _draw(self, index):
        origin = self._find_origin()
        if origin is None:
            raise OriginError("no origin is declared", step="fetch-chunk")
        return await origin.fetch_chunk(
            self.spec.name, self.version, index, self._chunk_bytes
        )

    async def _keep(self, index, data):
        self._store.put(self.manifest.chunk_digests[index], data)
        if not self.has_target:
            return
        try:
            await self._engine.stage(self.spec.name, index, data)
        except StagedEngineError as error:
            # It is staged again before the order to load.
            logger.info("chunk not staged", extra={"why": str(error)})

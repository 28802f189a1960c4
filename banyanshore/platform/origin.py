"""Call the origin of the weights over HTTP."""

from urllib.parse import quote

from banyanshore.core.exceptions import BanyanshoreError, UnavailableError
from banyanshore.http.upstream import CONNECT_TIMEOUT, fetch
from banyanshore.platform.engine import MAX_REPORT_BYTES, make_request
from banyanshore.platform.values import DecodeError, Reader, parse_object
from banyanshore.weights.exceptions import OriginAwayError, OriginError
from banyanshore.weights.staged import StagedOrigin

# Timeout in seconds of a chunk from the origin, whose bandwidth all fetchers share.
ORIGIN_TIMEOUT = 4.0
_HEX_DIGEST_CHARACTERS = 64


class PlatformOrigin(StagedOrigin):
    """Fetch weights from the service that stores them."""

    async def fetch_digests(self, model, version):
        """Return the hexadecimal SHA-256 digests of the chunks, in order."""
        path = f"/api/manifest/{quote(model)}?version={version}"
        body = await self._fetch("fetch-digests", path, MAX_REPORT_BYTES)
        try:
            reader = Reader(parse_object(body))
            digests = reader.strings("hashes")
            returned = reader.string("model"), reader.integer("version")
        except DecodeError as error:
            raise self._error("fetch-digests", error.message) from None
        if returned != (model, version):
            raise self._error("fetch-digests", f"unexpected digests of {returned}")
        if not digests or not all(map(_is_digest, digests)):
            raise self._error("fetch-digests", "missing or invalid digests")
        return tuple(digests)

    async def fetch_chunk(self, model, version, index, size):
        """Return the bytes of a chunk, without verifying them."""
        path = f"/api/piece/{quote(model)}?num={index}&version={version}"
        return await self._fetch("fetch-chunk", path, size)

    async def _fetch(self, step, path, max_bytes):
        request = make_request(self.address, b"GET", path)
        try:
            status, _, body = await fetch(
                self.address, request, max_bytes, ORIGIN_TIMEOUT, CONNECT_TIMEOUT
            )
        except UnavailableError as error:
            raise OriginAwayError(error.message, step=step, peer=self.address) from None
        except BanyanshoreError as error:
            raise self._error(step, error.message) from None
        if status != 200:
            raise self._error(step, f"status {status}")
        return body

    def _error(self, step, message):
        return OriginError(message, step=step, peer=self.address)


def _is_digest(text):
    is_hex = all(character in "0123456789abcdef" for character in text)
    return len(text) == _HEX_DIGEST_CHARACTERS and is_hex

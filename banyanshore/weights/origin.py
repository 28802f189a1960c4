"""Fetch manifests and chunks from the origin over HTTP."""

import httpx

from banyanshore.core.answer_heads import check_status_line
from banyanshore.weights.exceptions import OriginError
from banyanshore.weights.manifest import MAX_MANIFEST_BYTES, parse_manifest


class OriginClient:
    """Client that fetches manifests and chunks from the origin for one agent.

    :param stall_timeout: seconds without data after which a fetch fails.
    """

    def __init__(self, stall_timeout):
        self._client = httpx.AsyncClient(
            timeout=httpx.Timeout(stall_timeout),
            trust_env=False,
            headers={"accept-encoding": "identity"},
            event_hooks={"response": [check_status_line]},
        )

    async def fetch_manifest(self, url, expected_digest):
        """Return the manifest at a URL.

        :raises OriginError: the origin returned no usable response.
        :raises ManifestError: the manifest is malformed or has another digest.
        """
        content = await self._get(url, {}, MAX_MANIFEST_BYTES, "fetch-manifest")
        return parse_manifest(content, expected_digest)

    async def fetch_chunk(self, url, manifest, index):
        """Return the bytes of a chunk, without verifying its digest.

        :raises OriginError: the origin returned no usable response, or one of a
            different length.
        """
        start, end = manifest.chunk_range(index)
        headers = {"range": f"bytes={start}-{end - 1}"}
        data = await self._get(url, headers, end - start, "fetch-chunk")
        if len(data) != end - start:
            raise OriginError(
                f"chunk {index} has {len(data)} bytes, expected {end - start}",
                step="fetch-chunk",
                peer=url,
            )
        return data

    async def aclose(self):
        """Close the connections."""
        await self._client.aclose()

    async def _get(self, url, headers, max_bytes, step):
        body = bytearray()
        try:
            async with self._client.stream("GET", url, headers=headers) as response:
                expected = 206 if headers else 200
                if response.status_code != expected:
                    raise OriginError(
                        f"status {response.status_code}, expected {expected}",
                        step=step,
                        peer=url,
                    )
                async for data in response.aiter_raw():
                    body += data
                    if len(body) > max_bytes:
                        raise OriginError(
                            f"response has more than {max_bytes} bytes",
                            step=step,
                            peer=url,
                        )
        except httpx.HTTPError as error:
            raise OriginError(f"{error!r}", step=step, peer=url) from error
        return bytes(body)

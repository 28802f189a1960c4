"""Compress large notices of the desired state."""

import zlib

from banyanshore.membership.messages import CompressedNotice, StateChange, StateUpdate
from banyanshore.transport.codec import MAX_FRAME_BYTES, CodecError, decode, encode

# Bytes of a message from which compression saves more on the link than it costs.
MIN_COMPRESSED_BYTES = 4096
_LEVEL = 1


def compress_notice(body):
    """Return a message, or a :class:`CompressedNotice` of it if it is large."""
    data = encode(body)
    if len(data) < MIN_COMPRESSED_BYTES:
        return body
    return CompressedNotice(zlib.compress(data, _LEVEL))


def decompress_notice(notice):
    """Return the message in a :class:`CompressedNotice`.

    :raises CodecError: it isn't a version of the desired state, or is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(notice.data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise CodecError(f"corrupt notice: {error}", step="decompress") from error
    if not decompressor.eof:
        raise CodecError("incomplete or too large a notice", step="decompress")
    body = decode(data)
    if not isinstance(body, (StateUpdate, StateChange)):
        raise CodecError(f"{type(body).__name__} compressed", step="decompress")
    return body

"""Commands that are compressed in the log, on disk and between instances.

Load pattern: an operator declares a thousand routes more, and names new weights a
second later. The leader sends the change to each voter, several of them over the same
thin link between regions, and all later orders and heartbeats wait behind it.
"""

import zlib

from banyanshore.transport.codec import (
    MAX_FRAME_BYTES,
    CodecError,
    decode,
    encode,
    message,
)

# Bytes of a command from which compression saves more on the links than it costs.
MIN_COMPRESSED_BYTES = 4096
_LEVEL = 1


@message(59)
class CompressedCommand:
    """A command in compressed form.

    Builds that don't know it can't apply the log that holds it.

    :param data: the encoded command, compressed with zlib.
    """

    data: bytes


def compress_command(command):
    """Return a command, or a :class:`CompressedCommand` of it if it is large."""
    data = encode(command)
    if len(data) < MIN_COMPRESSED_BYTES:
        return command
    return CompressedCommand(zlib.compress(data, _LEVEL))


def size_of(command):
    """Return the bytes of a patch command's content, as it is sent."""
    if isinstance(command, CompressedCommand):
        return len(command.data)
    return len(command.patch)


def decompress_command(command):
    """Return the command in a :class:`CompressedCommand`; return others unchanged.

    :raises CodecError: it holds no command, or is too large.
    """
    if not isinstance(command, CompressedCommand):
        return command
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(command.data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise CodecError(f"corrupt command: {error}", step="decompress") from error
    if not decompressor.eof:
        raise CodecError("incomplete or too large a command", step="decompress")
    return decode(data)

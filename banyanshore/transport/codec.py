"""Encode registered frozen data classes as msgpack extension types.

Each message class has a unique code, and its fields are encoded by position as an
array, so frames contain no field names. Fields added later need defaults: a shorter
array is accepted, and a longer one from a newer peer is truncated to the known fields.
"""

import operator
from dataclasses import fields

import msgpack

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.values import dataclass

# Largest frame accepted from a peer, in bytes.
MAX_FRAME_BYTES = 64 * 1024 * 1024

_class_by_code = {}
_code_by_class = {}
_getter_by_class = {}


class CodecError(BanyanshoreError):
    """Signal bytes that can't be decoded or an object that can't be encoded."""


def message(code):
    """Register a class as a frozen data class that can be sent between processes.

    :param code: unique number of the message on the wire, 1 to 127.

    >>> @message(127)
    ... class Point:
    ...     x: int
    ...     y: int = 0
    >>> decode(encode(Point(3)))
    Point(x=3, y=0)
    """

    def register(cls):
        if code in _class_by_code:
            raise ValueError(f"message code {code} is already in use: {cls.__name__}")
        cls = dataclass(cls, frozen=True, slots=True)
        names = [field.name for field in fields(cls)]
        _class_by_code[code] = cls
        _code_by_class[cls] = code
        _getter_by_class[cls] = _make_getter(names)
        return cls

    return register


def _make_getter(names):
    if not names:
        return lambda item: ()
    if len(names) == 1:
        return lambda item: (getattr(item, names[0]),)
    return operator.attrgetter(*names)


def _pack_default(item):
    cls = type(item)
    code = _code_by_class.get(cls)
    if code is None:
        if isinstance(item, frozenset):
            return sorted(item)
        raise CodecError(f"{cls.__name__} is not a registered message", step="encode")
    return msgpack.ExtType(code, encode(_getter_by_class[cls](item)))


def _unpack_extension(code, data):
    cls = _class_by_code.get(code)
    if cls is None:
        raise CodecError(f"unknown message code {code}", step="decode")
    values = decode(data)
    return cls(*values[: len(cls.__match_args__)])


def encode(item):
    """Return the bytes of a message, or of a plain value that contains messages."""
    return msgpack.packb(item, default=_pack_default)


def decode(data):
    """Return the message encoded in bytes by :func:`encode`.

    :raises CodecError: the bytes are corrupt or contain an unknown message.
    """
    try:
        return msgpack.unpackb(
            data, ext_hook=_unpack_extension, use_list=False, strict_map_key=False
        )
    except CodecError:
        raise
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise CodecError(f"corrupt message: {error}", step="decode") from error


class Decoder:
    """Decode a byte stream into messages."""

    def __init__(self):
        self._unpacker = msgpack.Unpacker(
            ext_hook=_unpack_extension,
            use_list=False,
            strict_map_key=False,
            max_buffer_size=MAX_FRAME_BYTES,
        )

    def feed(self, data):
        """Add received bytes, and yield each message that is now complete."""
        try:
            self._unpacker.feed(data)
            yield from self._unpacker
        except CodecError:
            raise
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise CodecError(f"corrupt stream: {error}", step="decode") from error

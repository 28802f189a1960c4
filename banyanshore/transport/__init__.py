"""Msgpack connections between the processes of the system."""

from banyanshore.transport.activity import byte_counter
from banyanshore.transport.codec import Decoder, decode, encode, message
from banyanshore.transport.connection import Connection, encode_notice
from banyanshore.transport.handlers import Handler, TableHandler
from banyanshore.transport.links import (
    Link,
    LinkOptions,
    LinkPool,
    notify_all_or_drop,
    serve_peers,
)
from banyanshore.transport.replies import Responder

__all__ = [
    "Connection",
    "Decoder",
    "Handler",
    "Link",
    "LinkOptions",
    "LinkPool",
    "Responder",
    "TableHandler",
    "byte_counter",
    "decode",
    "encode",
    "encode_notice",
    "message",
    "notify_all_or_drop",
    "serve_peers",
]

"""Routing state of a call, and of concurrent copies of one request."""

import math
from dataclasses import field

import anyio

from banyanshore.core.values import dataclass
from banyanshore.routing.messages import Refused


@dataclass
class Progress:
    """Routing state of one call.

    :param refused_by: targets that refused the call since it last waited.
    :param failed_at: targets that the call failed on, which it isn't offered to again.
    :param may_have_run: whether an attempt ended with neither a refusal nor a complete
        answer.
    """

    attempts: int = 0
    refused_by: set = field(default_factory=set)
    failed_at: set = field(default_factory=set)
    may_have_run: bool = False
    excluded_data_centres: set = field(default_factory=set)
    gives_up_at: float = math.inf
    has_waited: bool = False
    is_forwarded: bool = False
    last_refusal: Refused | None = None


@dataclass
class Copies:
    """Running attempts of requests with the same fingerprint.

    :param changed: set when one of the attempts ends.
    """

    running: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)

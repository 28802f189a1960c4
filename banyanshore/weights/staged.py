"""Interfaces of engines that load staged chunks, and of the origin of the chunks."""

import abc
from enum import StrEnum

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.values import dataclass


class StagedEngineError(BanyanshoreError):
    """Signal that an engine returned no usable response."""


class OrderOutcome(StrEnum):
    """Reply of an engine to a load order."""

    STARTED = "begun"
    IN_EFFECT = "in-effect"
    MISFIT = "misfit"
    FENCED = "fenced"


@dataclass(frozen=True)
class EngineReport:
    """State of an engine.

    :param model: name of the loaded model, empty if none is loaded.
    :param model_version: version of the loaded weights, 0 if none are loaded.
    :param first_layer: first loaded layer.
    :param end_layer: layer after the last loaded one.
    :param active: number of requests that it is processing.
    :param queued: number of requests that wait in its queue.
    :param pace: factor on the time that it takes for its work.
    :param is_busy: whether it is executing an order.
    :param memory_used: part of its memory for requests that is in use, 0 if unknown.
    """

    model: str
    model_version: int
    first_layer: int
    end_layer: int
    active: int
    queued: int
    pace: float
    is_busy: bool
    memory_used: float = 0.0


class StagedEngine(abc.ABC):
    """Interface of an engine on this machine that loads staged chunks."""

    @abc.abstractmethod
    async def read_report(self):
        """Return the current :class:`EngineReport`.

        :raises StagedEngineError: the engine returned no usable response.
        """

    @abc.abstractmethod
    async def stage(self, model, index, data):
        """Stage a chunk, replacing the staged one with the same index.

        :raises StagedEngineError: the chunk may or may not have been staged.
        """

    @abc.abstractmethod
    async def read_staged(self, model, index, size):
        """Return the staged chunk with an index, or ``None``.

        :param size: largest size of a chunk in bytes.
        :raises StagedEngineError: the engine returned no usable response.
        """

    @abc.abstractmethod
    async def load(self, model, version, end_layer=None, may_send=lambda: True):
        """Order the engine to load the staged chunks; return the :class:`OrderOutcome`.

        :param end_layer: layer after the last one to load, ``None`` for all.
        :param may_send: callable that returns whether to send the order, called when
            nothing has to be waited for any more.
        :raises StagedEngineError: ``may_send`` returned false, or the order may or may
            not have arrived.
        """


class StagedOrigin(abc.ABC):
    """Interface of the origin, which holds the chunks of all versions.

    :param address: HTTP address.
    """

    def __init__(self, address):
        self.address = address

    @abc.abstractmethod
    async def fetch_digests(self, model, version):
        """Return the digests of all chunks in hexadecimal, in order.

        :raises OriginError: the origin returned no usable response.
        """

    @abc.abstractmethod
    async def fetch_chunk(self, model, version, index, size):
        """Return the bytes of a chunk, without verifying its digest.

        :param size: expected size in bytes.
        :raises OriginError: the origin returned no usable response.
        """

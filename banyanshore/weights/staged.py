"""Engines that load weights from chunks that are staged beside them."""

import abc
from dataclasses import dataclass
from enum import StrEnum

from banyanshore.core.exceptions import BanyanshoreError


class StagedEngineError(BanyanshoreError):
    """Signal an engine that gives no usable answer."""


class OrderOutcome(StrEnum):
    """What an engine says to an order."""

    STARTED = "begun"
    IN_EFFECT = "in-effect"
    MISFIT = "misfit"
    FENCED = "fenced"


@dataclass(frozen=True)
class EngineReport:
    """The state of an engine.

    :param model: name of the model it holds, empty for none.
    :param model_version: version of its weights, 0 for none.
    :param end_layer: the layer after the last one that it holds.
    :param active: requests that it works on.
    :param queued: requests that wait there.
    :param pace: factor on the time that its work takes.
    :param is_busy: whether it carries out an order.
    """

    model: str
    model_version: int
    first_layer: int
    end_layer: int
    active: int
    queued: int
    pace: float
    is_busy: bool


class StagedEngine(abc.ABC):
    """An engine on this machine."""

    @abc.abstractmethod
    async def read_report(self):
        """Return the :class:`EngineReport` as of now.

        :raises StagedEngineError: there is no usable answer.
        """

    @abc.abstractmethod
    async def stage(self, model, index, data):
        """Lay a chunk beside the engine, in place of the one with that index.

        :raises StagedEngineError: it is not certain that it lies there.
        """

    @abc.abstractmethod
    async def read_staged(self, model, index):
        """Return the chunk that lies beside the engine, or ``None``.

        :raises StagedEngineError: there is no usable answer.
        """

    @abc.abstractmethod
    async def load(self, model, version):
        """Order the engine to load what is staged; return the :class:`OrderOutcome`.

        :raises StagedEngineError: the order may or may not have arrived.
        """


class StagedOrigin(abc.ABC):
    """Where the chunks of each version come from.

    :param address: HTTP address.
    """

    def __init__(self, address):
        self.address = address

    @abc.abstractmethod
    async def fetch_digests(self, model, version):
        """Return the digests of the chunks in hexadecimal.

        :raises OriginError: there is no usable answer.
        """

    @abc.abstractmethod
    async def fetch_chunk(self, model, version, index, size):
        """Return the bytes of a chunk, unchecked.

        :raises OriginError: there is no usable answer.
        """

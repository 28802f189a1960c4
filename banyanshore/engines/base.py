"""Define the interface through which an agent uses its target."""

import abc

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.values import dataclass


class EngineError(BanyanshoreError):
    """Signal that a call to the target failed; the request may have run."""


class EngineUnreachableError(EngineError):
    """Signal that connecting to the target failed; nothing was sent to it."""


class EngineInvalidAnswerError(EngineError):
    """Signal that the head of an answer is invalid, though its connection lasted."""


class EngineRefusedError(EngineError):
    """Signal that the target refused an order, such as one with a stale fence."""


@dataclass(frozen=True)
class EngineHealth:
    """Health report of a target, which may be outdated.

    :param incarnation: changes whenever the target restarts.
    :param model: loaded model, empty if there is none or for a plain service.
    :param in_flight: requests that the target is running.
    """

    incarnation: str
    model: str
    model_version: str
    in_flight: int


@dataclass(frozen=True)
class LoadOrder:
    """Order to load and serve one version of a model.

    :param fence: term and index of the committed state that contains the order.
    :param digests: hexadecimal SHA-256 digests of the chunks, in order.
    """

    model: str
    model_version: str
    fence: tuple
    digests: tuple
    length: int


class Engine(abc.ABC):
    """Interface of a target.

    Subclasses implement all methods; :meth:`load` and :meth:`put_chunk` only if
    :attr:`has_weights` is true.
    """

    has_weights = True

    @abc.abstractmethod
    async def health(self):
        """Return the :class:`EngineHealth`.

        :raises EngineError: the target doesn't answer.
        """

    @abc.abstractmethod
    def run(self, dispatch, traceparent):
        """Return an async context manager that yields the response to a request.

        The response has ``status``, ``headers`` as pairs of bytes, and
        ``iter_body()``.

        :raises EngineUnreachableError: nothing was sent to the target.
        :raises EngineInvalidAnswerError: the request may have run; the target answered.
        :raises EngineError: the request may have run.
        """

    @abc.abstractmethod
    async def put_chunk(self, order, index, data):
        """Send the target one verified chunk of a version."""

    @abc.abstractmethod
    async def load(self, order):
        """Order the target to load a version; return once it has confirmed the version.

        :raises EngineRefusedError: the target refused; the message has its reason.
        """

    @abc.abstractmethod
    async def aclose(self):
        """Close all connections."""

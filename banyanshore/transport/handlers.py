"""Dispatch the calls and notices received on a connection."""

import abc
from types import MappingProxyType

from banyanshore.core.exceptions import BanyanshoreError


class Handler(abc.ABC):
    """Handle the calls and notices that the peer of a connection sends."""

    @abc.abstractmethod
    async def handle_call(self, connection, body, responder):
        """Answer a call with :meth:`Responder.send` and :meth:`Responder.finish`."""

    async def handle_notice(self, connection, body):
        """Handle a message that needs no reply."""

    async def handle_open(self, connection):
        """Handle the opening of an accepted connection, once its peer is named."""

    async def handle_close(self, connection):
        """Handle the end of a connection."""


class TableHandler(Handler):
    """Dispatch each message to the method registered for its class.

    Calls of an unregistered class fail; notices of an unregistered class are dropped.
    """

    #: Async methods by class of call, called with the body and the responder.
    call_by_type = MappingProxyType({})
    #: Async methods by class of notice, called with the connection and the body.
    notice_by_type = MappingProxyType({})

    async def handle_call(self, connection, body, responder):
        """Call the method registered for the class of the call."""
        action = self.call_by_type.get(type(body))
        if action is None:
            raise BanyanshoreError(
                f"{type(self).__name__} doesn't answer {type(body).__name__}"
            )
        await action(self, body, responder)

    async def handle_notice(self, connection, body):
        """Call the method registered for the class of the notice, if any."""
        action = self.notice_by_type.get(type(body))
        if action is not None:
            await action(self, connection, body)

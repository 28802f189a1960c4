"""Run one attempt of a call on an agent, across lost connections."""

import logging
import time

import anyio

from banyanshore.core.exceptions import BanyanshoreError, UnavailableError
from banyanshore.routing.messages import (
    CancelRequest,
    Failed,
    FailureReason,
    Finished,
    RefusalReason,
    Refused,
    Resume,
)
from banyanshore.transport.replies import CallFailedError, ConnectionLostError

logger = logging.getLogger(__name__)

# Seconds to wait for the first connection to an agent.
CONNECTION_WAIT = 0.5
_LAST_REPLIES = (Refused, Finished, Failed)


class Exchange:
    """Send a request to one agent and forward its replies.

    When the connection is lost, the answer is resumed over a new one after the last
    reply received, so that no reply is lost or repeated.

    :param link: the :class:`~banyanshore.transport.Link` to the agent.
    :param incarnation: incarnation of the agent, required to resume an answer.
    :param get_reconnect_timeout: callable that returns the seconds to wait for a new
        connection after one was lost.
    :param may_send: callable that returns whether the request may still be sent once
        the connection is there.
    """

    def __init__(self, link, incarnation, get_reconnect_timeout, metrics, may_send):
        self._link = link
        self._incarnation = incarnation
        self._get_reconnect_timeout = get_reconnect_timeout
        self._metrics = metrics
        self._may_send = may_send

    async def run(self, dispatch, on_reply):
        """Return the last reply; call ``on_reply`` with each earlier one."""
        deadline = time.monotonic() + dispatch.seconds_left
        try:
            connection = await self._link.get_connection(
                min(CONNECTION_WAIT, dispatch.seconds_left)
            )
        except UnavailableError as error:
            return Refused(RefusalReason.NO_CONNECTION, 0.0, str(error))
        if not self._may_send():
            return Refused(RefusalReason.QUARANTINED)
        received = 0
        message = dispatch
        try:
            while True:
                try:
                    replies = await connection.open_call(message)
                    async for reply in _closing(replies):
                        received += 1
                        if isinstance(reply, _LAST_REPLIES):
                            return reply
                        await on_reply(reply)
                    return Failed(FailureReason.BROKEN_ANSWER)
                except ConnectionLostError as error:
                    logger.warning("connection lost, resuming the answer: %s", error)
                except CallFailedError as error:
                    logger.error("agent failed: %s", error)
                    return Failed(FailureReason.AGENT_FAILED)
                self._metrics.resumed.inc()
                message = Resume(dispatch.request_id, received, self._incarnation)
                connection = await self._reconnect(deadline)
                if connection is None:
                    return Failed(FailureReason.CONNECTION_LOST)
        except anyio.get_cancelled_exc_class():
            with anyio.CancelScope(shield=True):
                await self._link.notify(CancelRequest(dispatch.request_id))
            raise

    async def _reconnect(self, deadline):
        remaining = min(self._get_reconnect_timeout(), deadline - time.monotonic())
        try:
            return await self._link.get_connection(max(0.0, remaining))
        except UnavailableError:
            return None


async def _closing(replies):
    try:
        async for reply in replies:
            yield reply
    finally:
        with anyio.CancelScope(shield=True):
            await replies.aclose()


async def call_or_none(link, body, timeout):
    """Return the reply to a call, or ``None`` if it fails or times out."""
    try:
        connection = await link.get_connection(timeout)
        return await connection.call(body, timeout)
    except BanyanshoreError:
        return None

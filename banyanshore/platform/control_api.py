"""Serve the HTTP calls of operators and targets to control."""

import json
import logging
import time

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.values import dataclass
from banyanshore.http.wire import PeerClosedError
from banyanshore.membership.registry import Departure, TargetState
from banyanshore.platform.declaration import DeclarationDecoder, encode_declaration
from banyanshore.platform.registration import decode_registration
from banyanshore.platform.values import DecodeError, Reader, parse_object
from banyanshore.state.document import DocumentError

logger = logging.getLogger(__name__)

# Most seconds between the first connection of a target and its first report.
FIRST_REPORT_SECONDS = 2.0
# Size from which a body is handled while no other one of this size is.
LARGE_BODY_BYTES = 256 * 1024
_JSON = ((b"content-type", b"application/json"),)
_CONFIG_PATH = "/api/config"
_REPLICAS_PREFIX = "/api/replicas/"
_DRAIN_PREFIX = "/api/drain/"
_VERSION_PATH = "/api/version-put"


@dataclass(frozen=True)
class Call:
    """A call to control.

    :param argument: last part of the path, empty if the path has none.
    :param arrived_after: boot time before which the call can't have arrived.
    :param connected_at: monotonic time at which its connection was accepted.
    """

    argument: str
    body: bytes
    arrived_after: float
    connected_at: float


class ControlApi:
    """Handle the calls of operators and targets.

    :param orders: the :class:`~banyanshore.control.orders.Orders`.
    :param feed: the :class:`~banyanshore.control.feed.FeedServer`.
    """

    def __init__(self, orders, feed):
        self._orders = orders
        self._feed = feed
        self._declarations = DeclarationDecoder()
        self._large_calls = anyio.Semaphore(1)

    async def handle(self, exchange):
        """Handle one call."""
        body = await exchange.read_body()
        action, argument = self._find_action(exchange)
        if action is None:
            await self._respond(exchange, 404, {"error": "no such call"})
            return
        arrived_after, connected_at = exchange.arrived_after, exchange.connected_at
        call = Call(argument, body, arrived_after, connected_at)

        async def answer():
            status, document = await self._answer(exchange.path, action, call)
            await self._respond(exchange, status, document)

        if action in _UNNUMBERED_ACTIONS:
            is_answered = await exchange.run_while_connected(answer)
        elif len(body) >= LARGE_BODY_BYTES:
            is_answered = await self._answer_in_turn(exchange, answer)
        else:
            await answer()
            is_answered = True
        if not is_answered:
            logger.info("call withdrawn by its caller", extra={"path": exchange.path})

    async def _answer_in_turn(self, exchange, answer):
        """Answer a call with a large body once no other one is handled.

        Load pattern: eight declarations of megabytes arrive at once, and again after a
        second without an answer. Each takes many times its size while it is handled.

        :return: whether it was handled before its caller left.
        """
        if not await exchange.run_while_connected(self._large_calls.acquire):
            return False
        try:
            await answer()
        finally:
            self._large_calls.release()
        return True

    async def _answer(self, path, action, call):
        """Return the status and the document of the answer to a call."""
        try:
            return await action(self, call)
        except (DecodeError, DocumentError) as error:
            logger.info("call refused", extra={"path": path, "why": error.message})
            return 400, {"error": error.message}
        except PeerClosedError:
            raise
        except BanyanshoreError as error:
            logger.warning("call not answered", extra={"path": path, "why": str(error)})
            return 503, {"error": error.message}

    def _find_action(self, exchange):
        method, path = exchange.method.decode("latin-1"), exchange.path
        action = _ACTION_BY_CALL.get((method, path))
        if action is not None:
            return action, ""
        prefix, _, argument = path.rpartition("/")
        return _ACTION_BY_CALL.get((method, f"{prefix}/")), argument

    async def _respond(self, exchange, status, document):
        body = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        await exchange.respond(status, _JSON, body)

    async def _put_config(self, call):
        number, tables = self._declarations.decode(call.body)
        await self._orders.declare(number, tables)
        return 200, {}

    async def _get_config(self, call):
        declaration = encode_declaration(await self._orders.read_document())
        if declaration is None:
            return 503, {"error": "nothing has been declared yet"}
        return 200, declaration

    async def _start_drain(self, call):
        await self._orders.set_in_service(call.argument, False, call.arrived_after)
        return 200, {}

    async def _end_drain(self, call):
        await self._orders.set_in_service(call.argument, True, call.arrived_after)
        return 200, {}

    async def _put_version(self, call):
        reader = Reader(parse_object(call.body))
        version = reader.integer("version")
        if version < 1:
            raise DecodeError("version", version, "1 or more")
        await self._orders.set_model_version(reader.string("model"), version)
        return 200, {}

    async def _put_replica(self, call):
        row = decode_registration(call.argument, call.body, time.time())
        if row.state != TargetState.DRAINING:
            await self._feed.registrations.record(row)
            return 200, {}
        return _answer_leaving(await self._feed.registrations.record_leaving(row))

    async def _delete_replica(self, call):
        target_id = call.argument
        known = self._feed.registrations.find(target_id)
        if known is not None:
            if _may_precede(call, known.known_since):
                return 503, {"error": f"may be of an earlier start: {target_id!r}"}
            departure = Departure("target", target_id, known.row.incarnation, True)
        else:
            departure = self._feed.registrations.find_departure(target_id)
        if departure is not None:
            is_kept = await self._feed.registrations.forget_for_good(departure)
            return _answer_leaving(is_kept)
        # Another control instance may know it, and its incarnation to tell others of.
        return 503, {"error": f"no such target is known: {target_id!r}"}


def _may_precede(call, known_since):
    """Return whether an earlier start of a target may have sent a call.

    The call names no start. The network may deliver what a target sent before it
    crashed once the next one has started, but over the connections of that time.
    """
    age = boottime_now() - call.arrived_after
    is_connection_older = call.connected_at < known_since - FIRST_REPORT_SECONDS
    return is_connection_older or age > time.monotonic() - known_since


def _answer_leaving(is_known_elsewhere):
    """Return the answer to a target that leaves."""
    if is_known_elsewhere:
        return 200, {}
    return 503, {"error": "too few control instances know that the target leaves"}


_ACTION_BY_CALL = {
    ("PUT", _CONFIG_PATH): ControlApi._put_config,
    ("GET", _CONFIG_PATH): ControlApi._get_config,
    ("POST", _DRAIN_PREFIX): ControlApi._start_drain,
    ("DELETE", _DRAIN_PREFIX): ControlApi._end_drain,
    ("POST", _VERSION_PATH): ControlApi._put_version,
    ("PUT", _REPLICAS_PREFIX): ControlApi._put_replica,
    ("DELETE", _REPLICAS_PREFIX): ControlApi._delete_replica,
}
# Orders that a later one may have overtaken without a number that tells so.
_UNNUMBERED_ACTIONS = frozenset({ControlApi._start_drain, ControlApi._end_drain})


def make_control_api(orders, feed):
    """Return the coroutine function that handles the calls to control."""
    return ControlApi(orders, feed).handle

"""Relaying of streams of events from targets to a caller."""

from contextlib import aclosing
from functools import partial

from banyanshore.gateway.read_ahead import ReadAhead
from banyanshore.http.upstream import BrokenAnswerError
from banyanshore.routing.events import EventSplitter, EventStreamError


class EventRelay:
    """Relay the events of one request, which several targets may send in turn.

    :param exchange: the caller's :class:`~banyanshore.http.exchange.Exchange`.
    :param dialect: the :class:`~banyanshore.routing.caller_requests.CallerDialect`.
    :param memory: the :class:`~banyanshore.routing.answer_memory.AnswerMemory`.
    :ivar last_event_id: id of the last event that was passed on, or ``None``.
    :ivar event_count: events that were passed on.
    :ivar incomplete_bytes: size of the event that the current answer has begun.
    """

    def __init__(self, exchange, dialect, memory):
        self.last_event_id = None
        self.event_count = 0
        self.incomplete_bytes = 0
        self._exchange = exchange
        self._dialect = dialect
        self._memory = memory

    async def relay(self, answer, target, event_timeout, on_begun, on_read):
        """Pass on events as they arrive, each one completely, to the end.

        :param answer: the :class:`~banyanshore.http.upstream.UpstreamAnswer`.
        :param target: id of the target.
        :param event_timeout: function that returns the seconds until the next event
            is due.
        :param on_begun: coroutine function that is called before the first event.
        :param on_read: called once the last event was read, while a slow caller is
            waited for.
        :raises BrokenAnswerError: the answer broke off, or its events are invalid.
            Events that arrived before were passed on.
        """
        share = self._memory.open(target)
        reading = ReadAhead(answer, share, self._exchange)
        reading.on_read = on_read
        try:
            async with aclosing(
                self._iter_events(answer, event_timeout, on_begun)
            ) as pieces:
                await reading.relay(pieces, partial(self._send, answer))
        finally:
            share.close()
        await self._exchange.finish()

    async def _iter_events(self, answer, event_timeout, on_begun):
        """Yield events as they become complete, with the id of the last one."""
        splitter = EventSplitter(resumed_after=self.last_event_id)
        try:
            while data := await answer.receive():
                has_begun = splitter.has_events
                events, event_id = splitter.feed(data)
                self.incomplete_bytes = splitter.incomplete_bytes
                if events:
                    if not has_begun:
                        await on_begun()
                    yield events, event_id
                    answer.record_progress(event_timeout())
            rest = splitter.finish(answer.framing)
        except EventStreamError as error:
            raise BrokenAnswerError(error.message, step="events") from None
        yield rest, None

    async def _send(self, answer, events, event_id):
        if not self._exchange.started:
            # A resumed stream has another length than announced in its first answer.
            headers = [
                pair
                for pair in self._dialect.answer_headers(answer)
                if pair[0] != b"content-length"
            ]
            await self._exchange.start(answer.status, headers)
        await self._exchange.send(events)
        self.event_count += events.count(b"\n\n")
        if event_id is not None:
            self.last_event_id = event_id

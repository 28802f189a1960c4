"""Announcement of requests that this gateway places at targets."""

from banyanshore.membership.load_reports import PlacementNotice
from banyanshore.routing.engine_model import EngineModel
from banyanshore.routing.target_memory import NO_SIZE, AnswerLengths, make_size


class PlacementExchange:
    """Count the requests sent to targets, and announce them to other gateways.

    :param state: the :class:`~banyanshore.state.StateHolder`.
    :param board: the :class:`~banyanshore.routing.board.TargetBoard`.
    :param updates: the :class:`~banyanshore.gateway.news.UpdateExchange`.
    :param metrics: the :class:`~banyanshore.telemetry.gateway.GatewayMetrics`.
    """

    def __init__(self, state, board, updates, metrics):
        self._state = state
        self._board = board
        self._updates = updates
        self._metrics = metrics
        self.answer_lengths = AnswerLengths()

    async def announce(self, now, row, screened, size):
        """Count a request that is sent to a target, and announce it.

        :param row: row of the target.
        :param screened: the :class:`~banyanshore.gateway.screening.Screened` request.
        :param size: its :class:`~banyanshore.routing.target_memory.RequestSize`.
        :return: its :class:`~banyanshore.routing.prompt_backlog.Prompt`, ``None`` if
            the target needs no time for it.
        """
        seconds = self._prefill_seconds(screened)
        prompt = self._board.begin(now, row, seconds, size.total)
        if prompt is not None:
            unseen = self._board.unseen
            self._metrics.news_age.labels().set(unseen.age_seconds)
            self._metrics.unseen_requests.labels(row.service).set(
                unseen.expected(now, row.service)
            )
            notice = PlacementNotice(
                row.address, seconds, row.data_centre, tokens=size.total
            )
            await self._updates.send(notice)
        return prompt

    async def take_back(self, row, prompt, size):
        """Take back the announcement of a request that a target did not run."""
        if prompt is not None:
            self._board.take_back(row, prompt)
            notice = PlacementNotice(
                row.address,
                -prompt.seconds,
                row.data_centre,
                tokens=-size.total,
            )
            await self._updates.send(notice)

    def measure(self, screened):
        """Return the :class:`~banyanshore.routing.target_memory.RequestSize`."""
        model = self._model(screened)
        if model is None:
            return NO_SIZE
        request = screened.request
        answer = self.answer_lengths.expected(
            screened.service,
            model.usual_answer_tokens,
            request.answer_tokens_hint,
            request.max_answer_tokens,
        )
        prompt = request.prompt_tokens or model.usual_prompt_tokens
        return make_size(prompt, answer, model.kv_tokens)

    def record_answer(self, screened, events):
        """Record how many events a complete stream had."""
        model = self._model(screened)
        if model is not None and events:
            self.answer_lengths.record(
                screened.service,
                screened.request.answer_tokens_hint,
                events * model.steps_per_pass,
            )

    def _model(self, screened):
        """Return the cost model of the service of a request, ``None`` for a plain one.

        It is ``None`` as well while there is no state.
        """
        desired = self._state.desired
        service = desired.service(screened.service) if desired else None
        engine = (service or {}).get("engine")
        return EngineModel.from_row(engine) if engine else None

    def _prefill_seconds(self, screened):
        model = self._model(screened)
        if model is None:
            return 0.0
        tokens = screened.request.prompt_tokens or model.usual_prompt_tokens
        return model.prefill_seconds(tokens)

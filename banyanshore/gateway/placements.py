"""Announcement of requests that this gateway places at targets."""

from banyanshore.membership.load_reports import PlacementNotice
from banyanshore.routing.engine_model import EngineModel


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

    async def announce(self, now, row, screened):
        """Count a request that is sent to a target, and announce it.

        :param row: row of the target.
        :param screened: the :class:`~banyanshore.gateway.screening.Screened` request.
        :return: its :class:`~banyanshore.routing.prompt_backlog.Prompt`, ``None`` if
            the target needs no time for it.
        """
        seconds = self._prefill_seconds(screened)
        prompt = self._board.begin(now, row, seconds)
        if prompt is not None:
            unseen = self._board.unseen
            self._metrics.news_age.labels().set(unseen.age_seconds)
            self._metrics.unseen_requests.labels(row.service).set(
                unseen.expected(now, row.service)
            )
            notice = PlacementNotice(row.address, seconds, row.data_centre)
            await self._updates.send(notice)
        return prompt

    async def take_back(self, row, prompt):
        """Take back the announcement of a request that a target did not run."""
        if prompt is not None:
            self._board.take_back(row, prompt)
            notice = PlacementNotice(row.address, -prompt.seconds, row.data_centre)
            await self._updates.send(notice)

    def _prefill_seconds(self, screened):
        service = self._state.desired.service(screened.service) or {}
        engine = service.get("engine")
        if not engine:
            return 0.0
        model = EngineModel.from_row(engine)
        tokens = screened.request.prompt_tokens or model.usual_prompt_tokens
        return model.prefill_seconds(tokens)

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
        """
        seconds = self._prefill_seconds(screened)
        self._board.begin(now, row, seconds)
        if seconds:
            unseen = self._board.unseen
            self._metrics.news_age.labels().set(unseen.age_seconds)
            self._metrics.unseen_requests.labels(row.service).set(
                unseen.expected(now, row.service)
            )
            notice = PlacementNotice(row.address, seconds, row.data_centre)
            await self._updates.send(notice)

    async def take_back(self, row, screened):
        """Take back the announcement of a request that a target did not run."""
        seconds = self._prefill_seconds(screened)
        if seconds:
            self._board.take_back(row, seconds)
            notice = PlacementNotice(row.address, -seconds, row.data_centre)
            await self._updates.send(notice)

    def _prefill_seconds(self, screened):
        service = self._state.desired.service(screened.service) or {}
        engine = service.get("engine")
        if not engine:
            return 0.0
        model = EngineModel.from_row(engine)
        tokens = screened.request.prompt_tokens or model.usual_prompt_tokens
        return model.prefill_seconds(tokens)

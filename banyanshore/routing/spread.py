"""Select one of the targets that have room for a request, free of I/O.

Load pattern: many gateways choose at the same time, based on reports that are some
hundred milliseconds old, and prompts differ tenfold in length, so that two long ones at
the same target delay everything there. A request goes to the target that can start it
first; a little noise spreads requests over targets with equal estimates.
"""

from dataclasses import dataclass

# Penalty of a target in another data centre, in seconds: the network latency and the
# cost of traffic between regions.
REMOTE_PENALTY_SECONDS = 0.02
# Penalty of a cold target, in seconds.
COLD_PENALTY_SECONDS = 0.02
# Upper bound of the random noise added to the estimated times, in seconds.
MAX_NOISE_SECONDS = 0.01
# Penalty of a target whose answers all fail, in seconds: about one objective, since a
# request that fails has to be run again elsewhere.
FAILURE_PENALTY_SECONDS = 0.5
# Assumed duration of a request at a plain target, in seconds.
PLAIN_REQUEST_SECONDS = 0.02


@dataclass(frozen=True)
class Candidate:
    """A target that may run a request.

    :param row: registry row of the target.
    :param load: the :class:`~banyanshore.routing.target_load.TargetLoad`.
    """

    row: object
    load: object
    is_cold: bool


class TargetSpread:
    """Select targets for one gateway.

    :param data_centre: data centre of the gateway.
    :param rng: source of the noise.
    """

    def __init__(self, data_centre, rng):
        self._data_centre = data_centre
        self._rng = rng

    def select(self, now, candidates, model):
        """Return the best of several candidates.

        :param candidates: the :class:`Candidate` rows, at least one.
        :param model: the :class:`~banyanshore.routing.engine_model.EngineModel`, or
            ``None`` for a plain service.
        """
        return min(
            candidates,
            key=lambda candidate: self._estimated_start_seconds(now, candidate, model),
        )

    def _estimated_start_seconds(self, now, candidate, model):
        """Return the estimated time until a target starts a request, for ranking.

        Penalties and some noise are added.

        :param model: the :class:`EngineModel`, or ``None`` for a plain target.
        """
        load = candidate.load
        count = load.estimated_in_flight(now)
        if model is None:
            seconds = count * PLAIN_REQUEST_SECONDS / max(1, candidate.row.slots)
        else:
            waiting = max(0, count + 1 - candidate.row.slots)
            seconds = load.remaining_prefill_seconds(now)
            seconds += waiting * model.slot_seconds(candidate.row.slots)
            seconds += count * model.steps_per_pass * model.request_seconds
            seconds *= max(1.0, load.pace)
        seconds += load.failure_rate * FAILURE_PENALTY_SECONDS
        if candidate.row.data_centre != self._data_centre:
            seconds += REMOTE_PENALTY_SECONDS
        if candidate.is_cold:
            seconds += COLD_PENALTY_SECONDS
        return seconds + self._rng.uniform(0, MAX_NOISE_SECONDS)

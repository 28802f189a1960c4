"""Select one of the targets that have room for a request, free of I/O.

Load pattern: many gateways choose at the same time, based on news that is some tens or
hundreds of milliseconds old; prompts differ tenfold in length, and some targets are 2.5
times slower than others for a while. If all gateways chose the target that looks best,
they would overrun the targets in turns. Each gateway therefore assumes that the
requests of which it has no news yet fill up the targets to an even level, and draws
targets with the probability of their parts of these requests. With fresh news, or
without other gateways, only the best target has a part.
"""

from banyanshore.core.values import dataclass

# Penalty of a target in another data centre, in seconds: the network latency and the
# cost of traffic between regions.
REMOTE_PENALTY_SECONDS = 0.02
# Penalty of a cold target, in seconds.
COLD_PENALTY_SECONDS = 0.02
# Penalty of a target whose answers all fail, in seconds: about one objective, since a
# request that fails has to be run again elsewhere.
FAILURE_PENALTY_SECONDS = 0.5
# Assumed duration of a request at a plain target, in seconds.
PLAIN_REQUEST_SECONDS = 0.02
# Passes of an engine from the arrival of a request to its first event: half of the one
# in progress, and its own.
PASSES_TO_FIRST_EVENT = 1.5
# Delay caused by a request that is past its prefill, as a fraction of a usual prefill:
# it delays others only if the slots run out.
DECODE_PART = 0.05
# Targets of this data centre, and of others, that a choice looks at; of more, that many
# are drawn at random.
MAX_LOCAL = 24
MAX_REMOTE = 8
# Targets that are drawn for a choice, of which the better one is taken. Since that
# prefers the best ones again, as many times the unseen requests are assumed.
DRAWS = 2
# Unseen requests that are assumed at least: notices may be lost.
MIN_UNSEEN = 0.1


@dataclass(frozen=True)
class Candidate:
    """A target that may run a request.

    :param row: registry row of the target.
    :param load: the :class:`~banyanshore.routing.target_load.TargetLoad`.
    """

    row: object
    load: object
    is_cold: bool


def fill_evenly(levels, requests):
    """Return how many of some requests each target gets if they fill up evenly.

    :param levels: pairs of the estimated start time at a target and the time by which
        each request delays the next one there, both in seconds.
    :param requests: number of requests, above 0; it may be a fraction.
    :return: the parts in the order of the targets, 0 for those above the common level.

    >>> [round(part, 2) for part in fill_evenly([(0.1, 0.1), (0.2, 0.1)], 3)]
    [2.0, 1.0]
    >>> [round(part, 2) for part in fill_evenly([(0.1, 0.1), (0.5, 0.1)], 1)]
    [1.0, 0.0]
    """
    rate = filled = surface = 0.0
    for start, delay in sorted(levels):
        if rate and start >= surface:
            break
        rate += 1 / delay
        filled += start / delay
        surface = (requests + filled) / rate
    return [max(0.0, (surface - start) / delay) for start, delay in levels]


class TargetSpread:
    """Select targets for one gateway.

    :param data_centre: data centre of the gateway.
    :param rng: source of the draws.
    """

    def __init__(self, data_centre, rng):
        self._data_centre = data_centre
        self._rng = rng

    def select(self, now, candidates, model, unseen):
        """Return one of several candidates.

        :param candidates: the :class:`Candidate` rows, at least one.
        :param model: the :class:`~banyanshore.routing.engine_model.EngineModel`, or
            ``None`` for a plain service.
        :param unseen: expected number of requests of other gateways that have been
            placed at these candidates without being known here.
        """
        compared, compared_part = self._sample(candidates)
        prefill = model and model.prefill_seconds(model.usual_prompt_tokens)
        levels = [self._level(now, k, model, prefill) for k in compared]
        # Targets of another data centre are an alternative to the best of this one, not
        # to each of the others: their own gateways fill them up as well.
        best = min(range(len(levels)), key=levels.__getitem__)
        data_centre = compared[best].row.data_centre
        near = [
            number
            for number, candidate in enumerate(compared)
            if candidate.row.data_centre == data_centre
        ]
        requests = DRAWS * max(MIN_UNSEEN, unseen * compared_part)
        parts = fill_evenly([levels[number] for number in near], requests)
        drawn = self._rng.choices(near, parts, k=DRAWS)
        return compared[min(drawn, key=lambda number: levels[number][0])]

    def _sample(self, candidates):
        """Return the candidates to look at, and the part of the local ones in them."""
        own = self._data_centre
        local = [k for k in candidates if k.row.data_centre == own]
        remote = [k for k in candidates if k.row.data_centre != own]
        part = 1.0
        if len(local) > MAX_LOCAL:
            part = MAX_LOCAL / len(local)
            local = self._rng.sample(local, MAX_LOCAL)
        if len(remote) > MAX_REMOTE:
            remote = self._rng.sample(remote, MAX_REMOTE)
        return local + remote, part

    def _level(self, now, candidate, model, prefill):
        """Return when a target starts a request, and how long each delays the next.

        :param model: the :class:`EngineModel`, or ``None`` for a plain target.
        :param prefill: time in seconds for a prompt of the usual length.
        """
        load = candidate.load
        slots = max(1, candidate.row.slots)
        count = load.estimated_in_flight(now)
        if model is None:
            delay = PLAIN_REQUEST_SECONDS / slots
            start = count * delay
        else:
            pace = max(1.0, load.pace)
            delay = pace * (1 + DECODE_PART) * prefill
            step = model.step_seconds + count * model.request_seconds
            start = prefill + load.remaining_prefill_seconds(now)
            start += PASSES_TO_FIRST_EVENT * model.steps_per_pass * step
            start += count * DECODE_PART * prefill
            if count >= slots:
                start += (count + 1 - slots) * model.slot_seconds(slots)
            start *= pace
        start += load.failure_rate * FAILURE_PENALTY_SECONDS
        if candidate.row.data_centre != self._data_centre:
            start += REMOTE_PENALTY_SECONDS
        if candidate.is_cold:
            start += COLD_PENALTY_SECONDS
        return start, delay

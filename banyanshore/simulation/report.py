"""Summarize the outcomes of a simulation by kind of request and over time."""

from dataclasses import asdict

from banyanshore.core.values import dataclass

# Length of a window in the figures over time.
WINDOW_SECONDS = 1.0


@dataclass(frozen=True)
class Figures:
    """Summary of the outcomes of some arrivals.

    :param asked: number of arrivals.
    :param in_time: number answered with a first event that met the objective.
    :param late: number answered with a later first event.
    :param lost: number without a complete answer.
    :param worth: total worth of the answers, as a fraction of the highest possible.
    :param first_p50: median time to the first event of complete answers, in seconds,
        0 without any.
    :param first_p95: 95th percentile of the same times.
    """

    asked: int
    in_time: int
    late: int
    lost: int
    worth: float
    first_p50: float
    first_p95: float

    def to_row(self):
        """Return the figures as a mapping that JSON can encode."""
        return asdict(self)


def count(arrivals):
    """Return the :class:`Figures` of arrivals."""
    completed = [row for row in arrivals if row.completed_at is not None]
    in_time = sum(row.is_in_time for row in completed)
    max_worth = sum(row.kind.worth for row in arrivals)
    first_seconds = sorted(row.first_seconds for row in completed)
    return Figures(
        len(arrivals),
        in_time,
        len(completed) - in_time,
        len(arrivals) - len(completed),
        round(sum(row.worth for row in arrivals) / max_worth, 4) if max_worth else 0.0,
        _percentile(first_seconds, 0.5),
        _percentile(first_seconds, 0.95),
    )


def count_by_kind(arrivals):
    """Return the :class:`Figures` by kind of request."""
    names = dict.fromkeys(row.kind.name for row in arrivals)
    return {
        name: count([row for row in arrivals if row.kind.name == name])
        for name in names
    }


def count_by_window(arrivals):
    """Return the :class:`Figures` by the start of the window of the first attempt."""
    windows = {}
    for row in arrivals:
        start = int(row.arrived_at / WINDOW_SECONDS) * WINDOW_SECONDS
        windows.setdefault(start, []).append(row)
    return {start: count(rows) for start, rows in sorted(windows.items())}


def _percentile(ordered, fraction):
    if not ordered:
        return 0.0
    return round(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))], 4)

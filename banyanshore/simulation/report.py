"""Figures of a simulation: by kind, and over time."""

from dataclasses import asdict, dataclass

# Seconds of a row of the figures over time.
WINDOW_SECONDS = 1.0


@dataclass(frozen=True)
class Figures:
    """What became of some arrivals.

    :param in_time: those whose first event met the objective.
    :param late: those that were answered later.
    :param lost: those that were never answered whole.
    :param worth: what the answers were worth, as a part of what they could be.
    :param first_p50: median time to the first event, in seconds, 0 without any.
    """

    asked: int
    in_time: int
    late: int
    lost: int
    worth: float
    first_p50: float
    first_p95: float

    def to_row(self):
        """Return the figures as a mapping for JSON."""
        return asdict(self)


def count(arrivals):
    """Return the :class:`Figures` of arrivals."""
    whole = [row for row in arrivals if row.ended_at is not None]
    in_time = sum(row.is_in_time for row in whole)
    owed = sum(row.kind.worth for row in arrivals)
    firsts = sorted(row.first_seconds for row in whole)
    return Figures(
        len(arrivals),
        in_time,
        len(whole) - in_time,
        len(arrivals) - len(whole),
        round(sum(row.worth for row in arrivals) / owed, 4) if owed else 0.0,
        _percentile(firsts, 0.5),
        _percentile(firsts, 0.95),
    )


def count_by_kind(arrivals):
    """Return the :class:`Figures` by kind of request."""
    names = dict.fromkeys(row.kind.name for row in arrivals)
    return {
        name: count([row for row in arrivals if row.kind.name == name])
        for name in names
    }


def count_by_window(arrivals):
    """Return the :class:`Figures` by the start of the second of the first attempt."""
    windows = {}
    for row in arrivals:
        start = int(row.arrived_at / WINDOW_SECONDS) * WINDOW_SECONDS
        windows.setdefault(start, []).append(row)
    return {start: count(rows) for start, rows in sorted(windows.items())}


def _percentile(ordered, part):
    if not ordered:
        return 0.0
    return round(ordered[min(len(ordered) - 1, int(part * len(ordered)))], 4)

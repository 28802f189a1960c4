"""Plot simulations, with one line for each policy."""

from pathlib import Path

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.simulation.report import count_by_window


def draw_plots(arrivals_by_policy, path):
    """Plot the share of answers in time and the unanswered requests over time.

    :param path: file to write; its suffix selects the format, such as ``.png``.
    :raises BanyanshoreError: matplotlib isn't installed, or the file can't be written.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError:
        raise BanyanshoreError(
            "plots need matplotlib: pip install 'banyanshore[plots]'", step="plot"
        ) from None
    figure = Figure(figsize=(9, 6), layout="constrained")
    upper, lower = figure.subplots(2, 1, sharex=True)
    for policy, arrivals in arrivals_by_policy.items():
        windows = count_by_window(arrivals)
        times = list(windows)
        rows = windows.values()
        upper.plot(times, [row.in_time / row.asked for row in rows], label=policy)
        lower.plot(times, [row.lost for row in rows], label=policy)
    upper.set_ylabel("part answered in time")
    upper.set_ylim(0, 1.05)
    upper.legend()
    lower.set_ylabel("never answered")
    lower.set_xlabel("second of the first attempt")
    try:
        figure.savefig(Path(path))
    except (OSError, ValueError) as error:
        raise BanyanshoreError(f"can't write {path}: {error}", step="plot") from None

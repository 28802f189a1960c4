"""Simulate how targets handle a burst of requests or a fault."""

from banyanshore.conf import SettingsError
from banyanshore.conf.loader import parse_document, read_yaml
from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.management.base import (
    BaseCommand,
    CommandError,
    ExitCode,
    expect_arguments,
)
from banyanshore.simulation.plan import Plan
from banyanshore.simulation.plots import draw_plots
from banyanshore.simulation.report import count, count_by_kind
from banyanshore.simulation.run import Simulation

_HEADER = (
    f"{'policy':<16} {'kind':<16} {'asked':>6} {'in time':>8} {'late':>6} "
    f"{'lost':>6} {'worth':>6} {'p50 ms':>7} {'p95 ms':>7}"
)


class Command(BaseCommand):
    """Simulate targets under load without starting a process."""

    help = "Simulate targets, gateways and callers from a YAML file; see the how-to."
    arguments = "FILE"

    def define_flags(self):
        """Define the flag for the plot file."""
        self._define("string", "plot", "", "File to draw plots to, such as x.png.")

    def handle(self, arguments):
        """Simulate the plan with each of its policies and print the outcomes."""
        (path,) = expect_arguments(arguments, "FILE")
        try:
            plan = parse_document(Plan, read_yaml(path), path)
        except SettingsError as error:
            raise CommandError(error.message, ExitCode.INVALID) from None
        if not plan.kinds:
            raise CommandError(
                f"{path}: the plan has no kinds of request", ExitCode.INVALID
            )
        arrivals = {name: Simulation(plan, name).run() for name in plan.policies}
        self.print_result(
            {name: _to_document(rows) for name, rows in arrivals.items()},
            [_HEADER, *_iter_lines(arrivals)],
        )
        if self.values.plot:
            try:
                draw_plots(arrivals, self.values.plot)
            except BanyanshoreError as error:
                raise CommandError(error.message) from None


def _to_document(arrivals):
    by_kind = count_by_kind(arrivals).items()
    kinds = {kind: figures.to_row() for kind, figures in by_kind}
    return {"all": count(arrivals).to_row(), "kinds": kinds}


def _iter_lines(arrivals_by_policy):
    for policy, arrivals in arrivals_by_policy.items():
        for kind, row in {**count_by_kind(arrivals), "all": count(arrivals)}.items():
            yield (
                f"{policy:<16} {kind:<16} {row.asked:>6} {row.in_time:>8} "
                f"{row.late:>6} {row.lost:>6} {row.worth:>6.3f} "
                f"{row.first_p50 * 1000:>7.0f} {row.first_p95 * 1000:>7.0f}"
            )

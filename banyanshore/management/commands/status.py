"""Show the status of the deployment as seen by one entry."""

from banyanshore.management.base import BaseCommand, expect_arguments
from banyanshore.management.client import EntryClient


class Command(BaseCommand):
    """Print the status of entries, data centres and targets."""

    help = (
        "Show entries, data centres, targets and instances without the current version."
    )

    def handle(self, arguments):
        """Print the status of the deployment as seen by one entry."""
        expect_arguments(arguments)
        status = EntryClient(self.values.entry, self.values.timeout).get_status()
        self.print_result(status, iter_lines(status))


def iter_lines(status):
    """Yield lines of text that show the status."""
    state = status["state"]
    leader = status["leader"] or "none known"
    yield (
        f"{status['instance']} ({status['data_centre']}): version {state['version']}, "
        f"held for {state['held_seconds']:.0f} s; leader: {leader}"
    )
    if status["local_order"]:
        yield "this data centre is OUT by a local order"
    log = status["log"]
    if log and log["failure"]:
        yield f"the log has FAILED here: {log['failure']}"
    yield ""
    yield f"{'entry':<20} {'data centre':<16} {'version':>8}  state"
    for row in status["entries"]:
        liveness = (
            "live" if row["live"] else "leaving" if row["leaving"] else "not heard"
        )
        version = "-" if row["version"] is None else row["version"]
        yield f"{row['instance']:<20} {row['data_centre']:<16} {version:>8}  {liveness}"
    yield ""
    yield from _iter_data_centre_lines(status)
    yield ""
    yield f"{'target here':<20} {'service':<16} {'status':<10} {'model':<12} load"
    for row in status["targets"]:
        yield (
            f"{row['instance']:<20} {row['service']:<16} {row['status']:<10} "
            f"{row['model_version'] or '-':<12} {row['in_flight']}/{row['limit']}"
        )
    if status["behind"]:
        yield ""
        yield f"without version {state['version']}: {', '.join(status['behind'])}"


def _iter_data_centre_lines(status):
    yield f"{'data centre':<16} {'in service':<10} {'service':<16} {'serving':>8} load"
    for name, row in sorted(status["data_centres"].items()):
        in_service = {True: "yes", False: "no", None: "?"}[row["in_service"]]
        for service, capacity in sorted(row["services"].items()) or [("-", None)]:
            counts = "-"
            load = "-"
            if capacity:
                counts = f"{capacity['serving']}/{capacity['targets']}"
                load = f"{capacity['in_flight']}/{capacity['limit']}"
            yield f"{name:<16} {in_service:<10} {service:<16} {counts:>8} {load}"

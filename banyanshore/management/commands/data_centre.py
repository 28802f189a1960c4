"""Take a data centre out of service or bring it back."""

from banyanshore.management.base import (
    BaseCommand,
    CommandError,
    ExitCode,
    expect_arguments,
)
from banyanshore.management.client import EntryClient

_IN_SERVICE_BY_DIRECTION = {"out": False, "in": True}


class Command(BaseCommand):
    """Set whether a data centre gets new requests."""

    help = "Take a data centre out of service, or bring it back in."
    arguments = "out|in NAME"

    def define_flags(self):
        """Define the reason, the wait and the local order."""
        self._define("string", "reason", "", "Reason, kept in the desired state.")
        self._define(
            "float", "wait", 0.0, "Seconds to wait until in force at all instances."
        )
        self._define(
            "bool",
            "local",
            False,
            "Give a local order in the data centre of --entry, while it is cut off.",
        )

    def handle(self, arguments):
        """Patch the data centre in the current version, or give a local order."""
        direction, name = expect_arguments(arguments, "out|in", "NAME")
        if direction not in _IN_SERVICE_BY_DIRECTION:
            raise CommandError(f"got {direction!r}, expected out or in", ExitCode.USAGE)
        client = EntryClient(self.values.entry, self.values.timeout)
        if self.values.local:
            self._give_local_order(client, direction, name)
            return
        known = client.get_status()["data_centres"]
        document = client.get_state()["document"]
        if name not in known and name not in document["data_centres"]:
            raise CommandError(
                f"no data centre {name!r}; known: {', '.join(sorted(known))}",
                ExitCode.INVALID,
            )
        row = {"in_service": _IN_SERVICE_BY_DIRECTION[direction]}
        # None removes the reason of an earlier patch.
        row["reason"] = self.values.reason or None
        version = client.patch_current({"data_centres": {name: row}})
        if self.values.wait:
            client.wait_in_force(version, self.values.wait)
        lines = [f"{name} is {direction} as of version {version}"]
        self.print_result({"version": version}, lines)

    def _give_local_order(self, client, direction, name):
        if direction != "out":
            raise CommandError(
                "a local order can only take a data centre out; bring it back in by a "
                "patch",
                ExitCode.USAGE,
            )
        own = client.get_status()["data_centre"]
        if own != name:
            raise CommandError(
                f"--entry is in {own!r}; local orders apply only to that data centre",
                ExitCode.USAGE,
            )
        order = client.take_out_locally()
        self.print_result(order, [f"{name} is out by local order {order['order']}"])

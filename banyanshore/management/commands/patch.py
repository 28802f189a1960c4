"""Apply a merge patch to a version of the desired state."""

import sys

from banyanshore.management.base import (
    BaseCommand,
    CommandError,
    ExitCode,
    expect_arguments,
)
from banyanshore.management.client import EntryClient
from banyanshore.state import DocumentError
from banyanshore.state.document import parse_patch


class Command(BaseCommand):
    """Apply a patch from a file, from standard input or from the command line."""

    help = "Apply a JSON merge patch (RFC 7396) to a version of the desired state."
    arguments = "FILE|-|JSON --version N"

    def define_flags(self):
        """Define the flags for the version, the request id and the wait."""
        self._define("integer", "version", None, "Version to apply the patch to.")
        self._define(
            "string", "request_id", "", "Request id of a patch that is sent again."
        )
        self._define(
            "float", "wait", 0.0, "Seconds to wait until in force at all instances."
        )

    def handle(self, arguments):
        """Apply the patch and print the new version."""
        (source,) = expect_arguments(arguments, "FILE|-|JSON")
        if self.values.version is None:
            raise CommandError(
                "--version is required; `banyanshore get` prints the current one",
                ExitCode.USAGE,
            )
        patch = read_patch(source)
        client = EntryClient(self.values.entry, self.values.timeout)
        version = client.patch(patch, self.values.version, self.values.request_id)
        if self.values.wait:
            client.wait_in_force(version, self.values.wait)
        self.print_result({"version": version}, [f"accepted as version {version}"])


def read_patch(source):
    """Return the patch from a file, from standard input (``-``) or from JSON text."""
    try:
        if source == "-":
            text = sys.stdin.read()
        elif source.lstrip().startswith("{"):
            text = source
        else:
            with open(source, encoding="utf-8") as stream:
                text = stream.read()
    except OSError as error:
        raise CommandError(f"{source}: {error.strerror}", ExitCode.INVALID) from None
    try:
        return parse_patch(text)
    except DocumentError as error:
        raise CommandError(
            f"{source[:60]}: {error.message}", ExitCode.INVALID
        ) from None

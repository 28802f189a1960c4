"""Print the desired state."""

import json

from banyanshore.management.base import BaseCommand, expect_arguments
from banyanshore.management.client import EntryClient


class Command(BaseCommand):
    """Print the document of the desired state and its version."""

    help = "Print the desired state and its version."

    def handle(self, arguments):
        """Print the document, with a note if it may be outdated."""
        expect_arguments(arguments)
        state = EntryClient(self.values.entry, self.values.timeout).get_state()
        self.print_result(state, _iter_lines(state))


def _iter_lines(state):
    yield f"# version {state['version']}"
    if not state["current"]:
        yield (
            "# no quorum answers; this is what the entry has held for "
            f"{state['held_seconds']:.0f} s"
        )
    yield json.dumps(state["document"], indent=2, sort_keys=True)
